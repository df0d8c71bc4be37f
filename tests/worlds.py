"""Worlds without sockets, for tests of systems."""

import socket

from laburnumlatch.experiments import workworlds
from laburnumlatch.slots import planrows
from laburnumlatch.slots import rows
from laburnumlatch.slots import settings
from laburnumlatch.slots import ticks
from laburnumlatch.slots import world as world_module

SEED = 20261204
START = 1_000_000
WARM_MS = 10_000


def agent_settings(host_id='bokun-1', domain='grandi'):
    """Return settings of a host; nothing listens there."""
    return settings.Settings(
        host_id=host_id,
        region='reykjavik',
        domain=domain,
        address='127.0.0.1:1',
        datagram_address='127.0.0.1:2',
        peer_address='127.0.0.1:3',
        store_address='127.0.0.1:4',
    )


def service(name='bokun', **changes):
    """Return a service with a read and a non-repeatable write."""
    fields = {
        'name': name,
        'team': 'bookings',
        'divided_by_key': True,
        'slot_count': 8,
        'checks_grants': True,
        'prefer': rows.Prefer.AVAILABILITY,
        'classes': {
            'crew': rows.RequestClass('crew', 0, 4),
            'resident': rows.RequestClass('resident', 1, 4),
        },
        'operations': {
            'rack': rows.Operation('rack', 'crew', True, 400),
            'book': rows.Operation('book', 'resident', False, 4000),
        },
        'concurrent': 2,
        'connections': 130,
        'body_bytes': 1024,
    }
    return rows.Service(**(fields | changes))


def host(host_id, incarnation=1, service_name='bokun', domain='grandi'):
    """Return the row of a ready host."""
    return rows.Host(
        host_id,
        incarnation,
        service_name,
        'reykjavik',
        domain,
        f'{host_id}:http',
        f'{host_id}:udp',
        f'{host_id}:peer',
        state=rows.HostState.READY,
    )


def create(host_id='bokun-1', incarnation=1):
    """Return the empty world of one agent, started at START."""
    return world_module.create(
        agent_settings(host_id), incarnation, SEED, START
    )


def with_plan(owners, host_id='bokun-1', **changes):
    """Return a world whose slots belong to `owners`, in turn."""
    world = create(host_id)
    served = service(**changes)
    world.services.put(served.name, served)
    for name in dict.fromkeys((*owners, host_id)):
        world.hosts.put(name, host(name, service_name=served.name))
    world.servers.put(
        host_id,
        rows.Server(
            host_id,
            served.name,
            '127.0.0.1:5',
            concurrent=served.concurrent,
            connections=served.connections,
            state=rows.HostState.READY,
            ready_since=START - WARM_MS,
        ),
    )
    slots = tuple(
        planrows.SlotPlan(
            planrows.Incarnation(owners[number % len(owners)], 1), (), 7, 1
        )
        for number in range(served.slot_count)
    )
    workworlds.install(world, planrows.Plan(served.name, 1, slots))
    return world


def tick(world, now, *messages):
    """Post messages and run one tick."""
    for message in messages:
        world.inbox.post(message)
    ticks.tick(world, now)


def free_port():
    """Return a TCP port on loopback that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]

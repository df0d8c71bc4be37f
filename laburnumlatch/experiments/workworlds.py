"""Worlds, plans and fake backend servers with which a workload starts."""

import random

import attrs

from laburnumlatch.experiments import fakeserver
from laburnumlatch.experiments import workload
from laburnumlatch.slots import leaserows
from laburnumlatch.slots import planrows
from laburnumlatch.slots import plans
from laburnumlatch.slots import rows
from laburnumlatch.slots import settings
from laburnumlatch.slots import world as world_module

NOWHERE = '127.0.0.1:1'
FOREVER = 1_000_000_000_000


def create(scenario):
    """Return the worlds of all hosts, a dict by host ID."""
    hosts = _hosts(scenario)
    plans_made = {
        service.name: first_plan(
            scenario,
            service,
            [host for host in hosts if host.service == service.name],
        )
        for service in scenario.services
    }
    return {
        host.host_id: _world(scenario, host, hosts, plans_made)
        for host in hosts
    }


def first_plan(scenario, service, hosts):
    """Return the plan at the start, as the scenario asks."""
    if scenario.plan == 'initial':
        return plans.initial(service, hosts, hosts)
    slots = tuple(
        planrows.SlotPlan(
            planrows.Incarnation(hosts[number % len(hosts)].host_id, 1),
            (),
            1,
            1,
        )
        for number in range(service.slot_count)
    )
    return planrows.Plan(service.name, 1, slots)


def install(world, plan):
    """Put a plan and hold its slots under a lease that does not end."""
    own = world.incarnation
    witness_set = planrows.WitnessSet(own, (own,))
    installed = attrs.evolve(plan, witness_sets=(witness_set,))
    world.plans.put(plan.service, installed)
    world.leases.put(own, leaserows.Lease(own, until=FOREVER))
    for number, slot in enumerate(plan.slots):
        key = (plan.service, number)
        world.slots.pop(key)
        if slot.owner.host_id == own.host_id:
            held = leaserows.Slot(
                plan.service,
                number,
                leaserows.SlotState.HELD,
                slot.epoch,
                slot.since,
                accepted_token=slot.epoch,
                accepted_until=FOREVER,
            )
            world.slots.put(key, held)


def plan_of(worlds, service_name):
    """Return the plan that all worlds have."""
    return next(iter(worlds.values())).plans.get(service_name)


def fake_servers(scenario):
    """Return the fake backend servers, a dict by host ID."""
    made = {}
    for service in scenario.services:
        speeds = scenario.deployment.speeds[service.name]
        names = workload.host_ids(scenario, service.name)
        for host_id, speed in zip(names, speeds, strict=True):
            faults = [
                fault for fault in scenario.faults if fault.host_id == host_id
            ]
            made[host_id] = fakeserver.FakeServer(
                speed,
                service.concurrent,
                faults,
                random.Random(f'{scenario.seed}/{host_id}'),
            )
    return made


def _hosts(scenario):
    domains = scenario.deployment.domains
    return [
        rows.Host(
            host_id,
            1,
            service.name,
            scenario.deployment.name,
            domains[number % len(domains)],
            NOWHERE,
            NOWHERE,
            NOWHERE,
            state=rows.HostState.READY,
        )
        for service in scenario.services
        for number, host_id in enumerate(
            workload.host_ids(scenario, service.name),
        )
    ]


def _world(scenario, host, hosts, plans_made):
    own = settings.Settings(
        host.host_id,
        host.region,
        host.domain,
        NOWHERE,
        NOWHERE,
        NOWHERE,
        NOWHERE,
    )
    seed = f'{scenario.seed}/world/{host.host_id}'
    world = world_module.create(own, 1, seed, 0)
    for service in scenario.services:
        world.services.put(service.name, service)
        install(world, plans_made[service.name])
        if service.name == host.service:
            world.servers.put(
                host.host_id,
                rows.Server(
                    host.host_id,
                    service.name,
                    NOWHERE,
                    service.concurrent,
                    service.connections,
                    state=rows.HostState.READY,
                    ready_since=-fakeserver.COLD_MS,
                ),
            )
    for known in hosts:
        world.hosts.put(known.host_id, attrs.evolve(known))
    if scenario.policy is not None:
        world.policy = scenario.policy()
    return world

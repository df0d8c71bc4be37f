"""What status, explain and the publishing step show, as plain dicts."""

import collections
import json
import operator

import attrs

from laburnumlatch.core import errors
from laburnumlatch.core import hashing
from laburnumlatch.core import wire
from laburnumlatch.operators import configuration
from laburnumlatch.operators import merge
from laburnumlatch.slots import documents


def to_json(shown):
    """Return `shown` as JSON text for programs."""
    return f'{json.dumps(shown, indent=2)}\n'


def of_findings(found):
    """Return findings, each with its file, line and column."""
    return {
        'findings': [
            {
                **attrs.asdict(finding.place),
                'problem': finding.problem,
                'expected': finding.expected,
            }
            for finding in found
        ]
    }


def of_conflicts(conflicts):
    """Return conflicts, each with both places."""
    return [attrs.asdict(conflict) for conflict in conflicts]


def of_published(published):
    """Return what a `publish.Published` says."""
    return {
        'version': published.version,
        'conflicts': of_conflicts(published.conflicts),
        'superseded': [entry.place for entry in published.superseded],
    }


def published_text(published):
    """Return the dict of `of_published` as lines for people."""
    return '\n'.join((
        f'published as version {published["version"]}',
        *(
            f'{place}: not in force, a newer revision was accepted'
            for place in published['superseded']
        ),
        *conflict_lines(published['conflicts']),
        '',
    ))


def conflict_lines(conflicts):
    """Return a line for each dict of `of_conflicts`."""
    return [
        f'conflict about {conflict["service"]}: {conflict["problem"]}: '
        f'{conflict["first_place"]} and {conflict["second_place"]}'
        for conflict in conflicts
    ]


def status(world):
    """Return the state of a `world.World` in short."""
    return {
        'configuration': _configuration(world),
        'plans': [_plan_in_short(world, plan) for plan in world.plans],
        'members': members(world),
    }


def members(world):
    """Return one dict for each host, by name."""
    shown = [
        {
            'host': host.host_id,
            'state': host.state,
            'service': host.service,
            'region': host.region,
            'domain': host.domain,
            'address': host.address,
            'incarnation': host.incarnation,
        }
        for host in world.hosts
    ]
    return sorted(shown, key=operator.itemgetter('host'))


def plan(world, service):
    """Return every slot of a service; raise InvalidInputError."""
    known = _known(world.plans, service, 'no plan for service')
    return {
        **_plan_in_short(world, known),
        'slots': [attrs.asdict(slot) for slot in known.slots],
        'witness_sets': [attrs.asdict(held) for held in known.witness_sets],
    }


def explain(world, service, key):
    """Return who owns a key and why; raise InvalidInputError."""
    configured = _known(world.services, service, 'unknown service')
    planned = _known(world.plans, service, 'no plan for service')
    number = hashing.slot_of(key, configured.slot_count)
    if number >= len(planned.slots):
        raise errors.InvalidInputError(
            f'the plan of {service} has {len(planned.slots)} slots, '
            f'the configuration {configured.slot_count}',
        )
    slot = planned.slots[number]
    return {
        'service': service,
        'key': key,
        'slot': number,
        'owner': slot.owner.host_id,
        'epoch': slot.epoch,
        'chain': [incarnation.host_id for incarnation in slot.chain],
        'plan_version': _version(world, documents.PLAN, service),
        'why': _why(configured, slot, number),
    }


def status_text(shown):
    """Return the dict of `status` as lines for people."""
    config = shown['configuration']
    lines = [
        f'configuration version {config["version"]}, '
        f'in force up to {config["in_force"]}',
    ]
    for service in config['services']:
        lines.append(
            f'  {service["service"]} of team {service["team"]} '
            f'version {service["version"]}',
        )
    lines.extend(conflict_lines(config['conflicts']))
    for planned in shown['plans']:
        owners = ', '.join(
            f'{host} {count}' for host, count in planned['owners'].items()
        )
        lines.append(
            f'plan of {planned["service"]} version {planned["version"]}: '
            f'{planned["moving"]} slots move; slots by owner: {owners}',
        )
    for host in shown['members']:
        lines.append(
            f'{host["host"]} {host["state"]}: {host["service"]} in '
            f'{host["domain"]} at {host["address"]}',
        )
    return '\n'.join((*lines, ''))


def explain_text(shown):
    """Return the dict of `explain` as lines for people."""
    lines = [f'{shown["owner"]} owns it: {shown["why"]}']
    lines.append(f'epoch {shown["epoch"]}, plan {shown["plan_version"]}')
    serving = shown.get('serving')
    if serving is not None:
        lines.append(
            f'the agent takes {serving["host_id"]} to serve it '
            f'at epoch {serving["epoch"]}',
        )
    return '\n'.join((*lines, ''))


def _configuration(world):
    configured = world.configured
    entries = []
    for document in world.documents:
        is_head = document.name == configuration.HEAD_NAME
        if is_head or document.kind != documents.CONFIG:
            continue
        stated = wire.unpack(document.body, configuration.Stated)
        entries.extend(stated.entries)
    return {
        'version': configured.head.count,
        'in_force': configured.in_force,
        'services': [
            {
                'service': service.name,
                'team': service.team,
                'version': configured.counts.get(service.name),
            }
            for service in sorted(world.services, key=_name)
        ],
        'conflicts': of_conflicts(merge.conflicts(entries)),
    }


def _name(service):
    return service.name


def _plan_in_short(world, known):
    owners = collections.Counter(slot.owner.host_id for slot in known.slots)
    return {
        'service': known.service,
        'version': _version(world, documents.PLAN, known.service),
        'owners': dict(sorted(owners.items())),
        'moving': sum(slot.previous is not None for slot in known.slots),
    }


def _why(service, slot, number):
    why = (
        f'the key is in slot {number} of {service.slot_count}, '
        f'which the plan gives to {slot.owner.host_id}'
    )
    if not service.divided_by_key:
        return (
            f'{why}; {service.name} is not divided by key, so any host may '
            'serve it and the slot only keeps records of request IDs'
        )
    if slot.previous is not None:
        return f'{why} once {slot.previous.host_id} has released it'
    return why


def _known(table, name, problem):
    row = table.get(name)
    if row is None:
        known = ', '.join(sorted(table.keys())) or 'none'
        raise errors.InvalidInputError(
            f'{problem} {name!r}; expected one of: {known}',
        )
    return row


def _version(world, kind, name):
    document = world.documents.get((kind, name))
    return 0 if document is None else document.version

"""Output of `status`, `explain`, `check` and `publish`, as dicts and text."""

import collections
import json
import operator

import attrs

from laburnumlatch.core import errors
from laburnumlatch.mesh import ranges
from laburnumlatch.operators import assembly


def to_json(document):
    """Return a dict as indented JSON text for programs."""
    return f'{json.dumps(document, indent=2)}\n'


def findings_dict(findings):
    """Return `findings.Finding`s with their file, line and column."""
    return {
        'findings': [
            {
                **attrs.asdict(finding.place),
                'problem': finding.problem,
                'expected': finding.expected,
            }
            for finding in findings
        ]
    }


def conflict_dicts(conflicts):
    """Return a dict for each `configuration.Conflict`."""
    return [attrs.asdict(conflict) for conflict in conflicts]


def published_dict(published):
    """Return a `publish.Published` with the places of superseded entries."""
    return {
        'version': published.version,
        'conflicts': conflict_dicts(published.conflicts),
        'superseded': [entry.place for entry in published.superseded],
    }


def published_text(published):
    """Return the dict of `published_dict` as lines for people."""
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
    """Return a line for each dict of `conflict_dicts`."""
    return [
        f'conflict about {conflict["service"]}: {conflict["problem"]}: '
        f'{conflict["first_place"]} and {conflict["second_place"]}'
        for conflict in conflicts
    ]


def status(state):
    """Return a summary of a `state.State`."""
    return {
        'configuration': _configuration(state),
        'planner': state.planner,
        'plans': [_plan_summary(plan) for plan in state.plans],
        'plan_faults': [_plan_fault(fault) for fault in state.plan_faults],
        'hosts': hosts(state),
        'evacuations': _evacuations(state),
    }


def hosts(state):
    """Return a dict for each host, ordered by host ID."""
    host_dicts = [
        {
            'host': host.host_id,
            'state': host.state,
            'service': host.service,
            'domain': host.domain,
            'address': host.address,
            'slots': host.slots,
        }
        for host in state.hosts
    ]
    return sorted(host_dicts, key=operator.itemgetter('host'))


def explain(state, service, key):
    """Return the owner of a key and the reason for it.

    `key` is the text of a number. Raises `errors.InvalidInputError` if it is
    not, or if the service has no plan.
    """
    number = _parse_key(key)
    plan = _find_plan(state, service)
    piece = plan.piece_of(number)
    return {
        'service': service,
        'key': number,
        'owner': piece.host_id,
        'fence': piece.fence,
        'server': piece.life.server_id,
        'former': piece.former,
        'plan_version': plan.version,
        'why': _reason(piece),
    }


def status_text(document):
    """Return the dict of `status` as lines for people."""
    config = document['configuration']
    lines = [f'configuration version {config["version"]}']
    lines.extend(_service_line(service) for service in config['services'])
    lines.extend(conflict_lines(config['conflicts']))
    lines.append(f'planner: {document["planner"] or "none"}')
    for plan in document['plans']:
        owners = ', '.join(
            f'{host} {count}' for host, count in plan['owners'].items()
        )
        lines.append(
            f'plan of {plan["service"]} version {plan["version"]}: '
            f'{plan["moving"]} keys move; keys by owner: {owners}',
        )
    lines.extend(
        f'not planned: {fault["step"]} of {fault["entity"]} has failed '
        f'{fault["failures"]} times: {fault["detail"]} at {fault["place"]}'
        for fault in document['plan_faults']
    )
    for host in document['hosts']:
        lines.append(
            f'{host["host"]} {host["state"]}: {host["service"]} in '
            f'{host["domain"]} at {host["address"]}',
        )
    lines.extend(_evacuation_lines(document['evacuations']))
    return '\n'.join((*lines, ''))


def explain_text(document):
    """Return the dict of `explain` as lines for people."""
    lines = (
        f'{document["owner"]} owns it: {document["why"]}',
        f'fence {document["fence"]}, plan {document["plan_version"]}',
        '',
    )
    return '\n'.join(lines)


def _service_line(service):
    teams = ', '.join(service['teams']) or 'unknown'
    kind = 'divided by key' if service['divided_by_key'] else 'undivided'
    return (
        f'  {service["service"]} of {teams}: {kind}, '
        f'{len(service["routes"])} routes'
    )


def _configuration(state):
    """Return the configuration in force; version 0 if there is none."""
    in_force = state.in_force
    empty = {'version': 0, 'services': [], 'conflicts': []}
    if in_force is None:
        return empty
    assembled = assembly.assemble(state.entries)
    return {
        'version': in_force.version,
        'services': [
            _service(state, service)
            for service in sorted(in_force.services.values(), key=_name)
        ],
        'conflicts': conflict_dicts(assembled.conflicts),
    }


def _service(state, service):
    """Return a service with its teams and its routes as host and path.

    An agent has no entries, so its teams are empty.
    """
    teams = {
        entry.team
        for entry in state.entries
        if entry.name == service.name and entry.intent is not None
    }
    return {
        'service': service.name,
        'divided_by_key': service.is_divided,
        'teams': sorted(teams),
        'routes': [
            f'{route.host}{route.prefix}'
            for route in state.in_force.routes
            if any(share.service == service.name for share in route.shares)
        ],
    }


def _name(service):
    return service.name


def _plan_summary(plan):
    """Return the keys of each owner, and how many a former owner may hold."""
    owners = collections.Counter()
    moving = 0
    for piece in plan.pieces:
        owners[piece.host_id] += piece.size
        moving += piece.size if piece.former else 0
    return {
        'service': plan.service,
        'version': plan.version,
        'owners': dict(sorted(owners.items())),
        'moving': moving,
    }


def _plan_fault(fault):
    """Return a dict of a `leaserows.PlanFault`."""
    return {
        'entity': fault.entity,
        'step': fault.step,
        'failures': fault.count,
        'detail': fault.detail,
        'place': fault.place,
    }


def _evacuations(state):
    """Return the evacuated domains, and what has yet to leave their hosts.

    `requests` are those at the agent's own host, None if it is not known.
    """
    host_ids = {
        host.host_id for host in state.hosts if host.domain in state.evacuated
    }
    pieces = [
        piece
        for plan in state.plans
        for piece in plan.pieces
        if piece.host_id in host_ids or piece.former in host_ids
    ]
    return {
        'domains': sorted(state.evacuated),
        'pieces': len(pieces),
        'keys': sum(piece.size for piece in pieces),
        'requests': state.requests_left,
    }


def _evacuation_lines(evacuations):
    if not evacuations['domains']:
        return []
    line = (
        f'evacuated: {", ".join(evacuations["domains"])}; yet to leave: '
        f'{evacuations["pieces"]} pieces with {evacuations["keys"]} keys'
    )
    requests = evacuations['requests']
    return [line if requests is None else f'{line}, {requests} requests here']


def _reason(piece):
    reason = (
        f'the plan gives keys {piece.start} to {piece.end} to {piece.host_id}'
    )
    if piece.former:
        return f'{reason} once {piece.former} has released them'
    return reason


def _parse_key(key):
    last = ranges.KEY_COUNT - 1
    if key.isdecimal() and int(key) <= last:
        return int(key)
    raise errors.InvalidInputError(
        f'key {key!r}; expected a number from 0 to {last}',
    )


def _find_plan(state, service):
    plans = {plan.service: plan for plan in state.plans}
    service_plan = plans.get(service)
    if service_plan is not None:
        return service_plan
    services = ', '.join(sorted(plans)) or 'none'
    raise errors.InvalidInputError(
        f'no plan for service {service!r}; expected one of: {services}',
    )

"""Checks a simulated deployment against the one-owner rule."""

from laburnumlatch.experiments import grantledger


def check_exclusive_ownership(fleet):
    """Record in `violations` keys that two backend servers hold at once.

    Each service that is divided by key has keys of its own.
    """
    services = {backend.service for backend in fleet.backends.values()}
    for service in sorted(services):
        ledgers = {
            host_id: backend.ledger
            for host_id, backend in fleet.backends.items()
            if backend.is_up and backend.service == service
        }
        overlaps = grantledger.find_overlaps(ledgers, fleet.now)
        fleet.violations.extend((fleet.now, *overlap) for overlap in overlaps)


def check_no_running_work(fleet, host_id, grant):
    """Record in `early_grants` keys on which another server still works."""
    service = fleet.backends[host_id].service
    for other_id, backend in fleet.backends.items():
        if other_id == host_id or not backend.is_up:
            continue
        if backend.service != service:
            continue
        fleet.early_grants.extend(
            (fleet.now, host_id, other_id, key)
            for key, _end in backend.running.values()
            if key is not None and grant.start <= key <= grant.end
        )


def check_rising_fence(fleet, host_id, grant):
    """Record in `low_fences` keys that another run had under such a fence.

    Runs of one server count like other servers: the next one holds nothing. A
    renewal is the same grant once more, whatever was granted since.
    """
    backend = fleet.backends[host_id]
    owner = (backend.service, host_id, backend.life)
    key = (grant.start, grant.end, grant.fence, owner)
    if key in fleet.fenced_ranges:
        return
    fleet.low_fences.extend(
        (fleet.now, *key, *earlier)
        for earlier in fleet.fenced_ranges
        if _is_not_above(grant, owner, earlier)
    )
    fleet.fenced_ranges.add(key)


def _is_not_above(grant, owner, earlier):
    """Return whether the fence of a grant is not above that of another run.

    `owner` and the last item of `earlier` are (service, host ID, run).
    """
    start, end, fence, former = earlier
    if former == owner or former[0] != owner[0] or fence < grant.fence:
        return False
    return start <= grant.end and grant.start <= end

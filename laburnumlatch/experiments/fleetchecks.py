"""Checks a simulated deployment against the one-owner rule."""

from laburnumlatch.experiments import grantledger


def check_exclusive_ownership(fleet):
    """Record in `violations` keys that two backend servers hold at once."""
    ledgers = {
        host_id: backend.ledger
        for host_id, backend in fleet.backends.items()
        if backend.is_up
    }
    overlaps = grantledger.find_overlaps(ledgers, fleet.now)
    fleet.violations.extend((fleet.now, *overlap) for overlap in overlaps)


def check_no_running_work(fleet, host_id, grant):
    """Record in `early_grants` keys on which another server still works."""
    for other_id, backend in fleet.backends.items():
        if other_id == host_id or not backend.is_up:
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
    owner = (host_id, fleet.backends[host_id].life)
    key = (grant.start, grant.end, grant.fence, owner)
    if key in fleet.fenced_ranges:
        return
    fleet.low_fences.extend(
        (fleet.now, *key, *earlier)
        for earlier in fleet.fenced_ranges
        if earlier[-1] != owner
        and earlier[0] <= grant.end
        and grant.start <= earlier[1]
        and grant.fence <= earlier[2]
    )
    fleet.fenced_ranges.add(key)

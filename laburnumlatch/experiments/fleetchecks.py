"""Checks of a deployment in memory against the one-owner rule."""

from laburnumlatch.experiments import grantledger


def check_owners(fleet):
    """Note keys that two backend servers hold at the same time."""
    ledgers = {
        host_id: backend.ledger
        for host_id, backend in fleet.backends.items()
        if backend.is_up
    }
    found = grantledger.find_overlaps(ledgers, fleet.now)
    fleet.violations.extend((fleet.now, *shared) for shared in found)


def check_work(fleet, host_id, grant):
    """Note keys that are granted while another server works on them."""
    for other, backend in fleet.backends.items():
        if other == host_id or not backend.is_up:
            continue
        fleet.early_grants.extend(
            (fleet.now, host_id, other, key)
            for key, _end in backend.running.values()
            if key is not None and grant.start <= key <= grant.end
        )

"""When the lease of a host has ended: pure functions over its row.

The planner issues each lease for one run of the host's backend server. The
host gives it up by a renewal that names another run or none, and grants no keys
until it has got a lease in response to a later renewal.
"""

from laburnumlatch.mesh import leaserows


def record_lease(holder, now):
    """Note that the host is issued a lease for the run that it reports."""
    holder.leased_life = holder.life
    holder.leased_at = now
    holder.expires = now + leaserows.latest_end_ms()


def end_if_given_up(holder, renew):
    """End the lease of a host whose renewal certainly gives it up.

    Renewals may arrive out of order. One that returns the time of a lease was
    sent after that lease had arrived, so it gives up that one and all before.
    """
    is_other_life = renew.life != holder.leased_life
    if is_other_life and renew.lease_issued_at >= holder.leased_at:
        holder.expires = 0


def update_grants_end(holder, renew, now):
    """Note until when grants may last that the plan does not cover.

    Renewals may arrive out of order, or twice. Only one that was certainly sent
    after the last report had arrived may tell of an earlier end.
    """
    end = now + int(renew.grants_end_ms * leaserows.LATEST_END_RATIO)
    if renew.lease_issued_at >= holder.grants_reported_at:
        holder.grants_end = end
        holder.grants_reported_at = now
    else:
        holder.grants_end = max(holder.grants_end, end)


def may_renew(holder, now):
    """Return whether the host may get a lease for the run that it reports.

    A lease for another run must have ended, since only one is recorded.
    """
    if holder.life is None:
        return False
    return holder.life == holder.leased_life or now >= holder.expires


def holds_no_keys(holder, life, now):
    """Return whether a host with recent contact certainly holds no keys.

    `life` is the run of its backend server that owned the keys, None for any.
    """
    if holder.life is not None and life in {None, holder.life}:
        return False
    is_leased = life in {None, holder.leased_life} and now < holder.expires
    return not is_leased and now >= holder.grants_end


def silent_holds_no_keys(holder, former_leases_end, now):
    """Return whether a host without recent contact certainly holds no keys.

    `holder` is None if it never renewed a lease. Once it has given up its
    lease, its grants still last as long as it has reported. Leases of earlier
    planners have ended from `former_leases_end` on.
    """
    if holder is None:
        return now >= former_leases_end
    return now >= max(former_leases_end, holder.expires, holder.grants_end)

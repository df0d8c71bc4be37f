"""Case 1: keys are given away while their holder has come back to work."""

import asyncio
import itertools
import random
import sys
import time

import harness

SEED = 31
WORK_MS = 220
WORKERS = 80
BUDGET_MS = 2000
THINK_S = 0.02
SERVERS = 18
CUTS_END_S = 92
REST_S = 1.2
# Shorter than the 10 s of `srv_cut` in the site file; about as long as a grant
# lasts.
CUT_S = 2.85
CUT_AFTER_CHECK_IN_S = 0.26
POLL_S = 0.01
CUT_AT_ONCE = 4
THAW_SLACK_MS = 300
KEY_COUNT = 65_536


class Watch:
    """Checks each accepted grant as the rule OWNER is written."""

    def __init__(self, deployed, record):
        """Watch the backend servers of the divided service."""
        self.broken = 0
        self._record = record
        self._healed_at = {}
        # The last time at which each server accepted a range with a fence.
        self._accepted_at = {}
        self._servers = {
            host_id: host.backend
            for host_id, host in deployed.hosts.items()
            if host.backend.profile.is_divided
        }
        for backend in self._servers.values():
            backend.on_grant = self.check

    def note_healed(self, host_id, now):
        """Note when the link of a server healed."""
        self._healed_at[host_id] = now

    def check(self, backend, grant):
        """Look for another server at work on the keys of a grant."""
        now = backend.now()
        self._record.add(
            'grant',
            server=backend.host_id,
            keys=f'{grant.start}-{grant.end}',
            fence=grant.fence,
        )
        grants = self._accepted_at.setdefault(backend.host_id, {})
        grants[grant.fence, grant.start, grant.end] = now
        if self._is_excused(backend.host_id, now):
            return
        for host_id, other in self._servers.items():
            if host_id == backend.host_id:
                continue
            for run in _runs_on_held_keys(other, grant, now):
                self._report_unless_excused(backend, other, run, grant)

    def _is_excused(self, host_id, now):
        """Return whether the link healed within `thaw_slack`."""
        healed_at = self._healed_at.get(host_id)
        return healed_at is not None and now <= healed_at + THAW_SLACK_MS

    def _report_unless_excused(self, backend, other, run, grant):
        """Report work on a key unless the hold is from an excused grant."""
        now = backend.now()
        held = next(
            one for one in other.ledger.live_grants(now) if one.covers(run.key)
        )
        accepted = self._accepted_at.get(other.host_id, {})
        accepted_at = max(
            (
                at
                for (fence, start, end), at in accepted.items()
                if fence == held.fence and start <= run.key <= end
            ),
            default=0,
        )
        facts = {
            'key': run.key,
            'granted_to': backend.host_id,
            'fence': grant.fence,
            'at_work': other.host_id,
            'request': run.request_id,
            'its_fence': held.fence,
            'its_hold_ms': held.until - now,
            'its_grant_ms_ago': now - accepted_at,
        }
        if self._is_excused(other.host_id, accepted_at):
            self._record.add('excused-by-thaw-slack', **facts)
        else:
            self.broken += 1
            self._record.add('OWNER-broken', **facts)


def _runs_on_held_keys(server, grant, now):
    """Return the work of a server on keys of a grant that it holds itself."""
    return [
        run
        for run in server.running
        if run.key is not None
        and grant.covers(run.key)
        and server.ledger.holds(run.key, now)
    ]


async def send_requests(deployed, record, numbers, rng):
    """Send lookups and bookings, one after another, until cancelled."""
    hosts = list(deployed.hosts.values())
    while True:
        number = next(numbers)
        request_id = f'{number:08x}'
        kind = rng.choice((('GET', '/lohu930/'), ('POST', '/pufi791/')))
        request = harness.encode(
            *kind, request_id, BUDGET_MS, rng.randrange(KEY_COUNT)
        )
        address = rng.choice(hosts).caller_address
        await harness.call(record, address, request_id, request, 3)
        await asyncio.sleep(THINK_S)


async def cut_in_turn(deployed, watch, host_ids):
    """Partition one of these servers after the other, as `srv_cut` does.

    A cut begins so long after a check-in that the first one behind the cut
    comes over `thaw_slack` after its end.
    """
    ends_at = time.monotonic() + CUTS_END_S
    for host_id in itertools.cycle(host_ids):
        host = deployed.hosts[host_id]
        while time.monotonic() > host.control.due_at + POLL_S * 2:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(CUT_AFTER_CHECK_IN_S)
        if time.monotonic() > ends_at:
            return
        if harness.has_trouble():
            deployed.cut_server(host_id, is_cut=True)
        await asyncio.sleep(CUT_S)
        if harness.has_trouble():
            deployed.cut_server(host_id, is_cut=False)
            watch.note_healed(host_id, host.backend.now())
        await asyncio.sleep(REST_S)


async def run(folder, record):
    """Play the case; return its exit code."""
    profiles = harness.profiles_of(SERVERS, 3, work_ms=WORK_MS)
    rng = random.Random(SEED)
    async with harness.running(
        folder, profiles, record, has_proxies=True
    ) as deployed:
        watch = Watch(deployed, record)
        numbers = itertools.count(1)
        workers = [
            asyncio.ensure_future(send_requests(deployed, record, numbers, rng))
            for _ in range(WORKERS)
        ]
        divided = [
            host_id
            for host_id, host in deployed.hosts.items()
            if host.backend.profile.is_divided
        ]
        await asyncio.gather(
            *(
                cut_in_turn(deployed, watch, divided[lane::CUT_AT_ONCE])
                for lane in range(CUT_AT_ONCE)
            )
        )
        await harness.end(workers)
        deployed.record_runs()
    sys.stderr.write(f'OWNER broken: {watch.broken}\n')
    return harness.EXIT_BROKEN if watch.broken else harness.EXIT_HELD


if __name__ == '__main__':
    harness.main(__file__, run)

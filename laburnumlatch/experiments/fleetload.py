"""Simulated callers, and load patterns that compare policies.

Each pattern is a load that is hard for simple policies. It is measured once
with a simple policy and once with the policies in force.
"""

import attrs

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import choosing
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import waiting

STEP_MS = 10
# Time in which all requests end after the last one was sent.
COMPLETION_MS = 2500
FIRST_HOT_KEY = 20_000
HOT_KEYS = 200
DISCONNECT_AFTER_MS = 50
DURATION_MS = 4000
SLOW_WORK_MS = 800
FAILED_WORK_MS = 5
DRAIN_AFTER_MS = 1000
# 2, 4/3 and 2/3 of what two hosts can serve in `STEP_MS`.
DOUBLE_LOAD_PER_STEP = 2.4
OVERLOAD_PER_STEP = 1.6
MODERATE_LOAD_PER_STEP = 0.8


@attrs.define
class Load:
    """Callers that send `per_step` requests to `path` every `STEP_MS`.

    A share `hot_share` of the requests has one of the `hot_keys` keys from
    `first_hot_key` on; the other keys are uniformly distributed. The callers
    are on `hosts`, on all if it is empty. A share
    `leaving_share` of the callers disconnects `DISCONNECT_AFTER_MS` after
    the request was sent.

    A rejected caller retries up to `retries` times, after the time given in
    the rejection, or at once if `is_impatient`. It gives up `patience_ms`
    after its first attempt.

    `started` maps request numbers to (first attempt in ms, retries left).
    """

    fleet: fleetsim.Fleet
    path: str
    per_step: float
    retries: int = 0
    is_impatient: bool = False
    patience_ms: int = fleetconfig.LOOK_TIMEOUT_MS
    hot_share: float = 0
    first_hot_key: int = FIRST_HOT_KEY
    hot_keys: int = HOT_KEYS
    hosts: tuple = ()
    body: bytes = b''
    leaving_share: float = 0
    caller_count: int = 0
    started: dict = attrs.Factory(dict)
    _unsent: float = 0
    _disconnected: set = attrs.Factory(set)
    _open: dict = attrs.Factory(dict)
    _pending_retries: list = attrs.Factory(list)

    def run(self, duration_ms):
        """Send requests for a time, then wait until all have ended."""
        for _ in range(duration_ms // STEP_MS):
            self.send()
            self.fleet.run(STEP_MS)
            self.process_outcomes()
        for _ in range(COMPLETION_MS // STEP_MS):
            self.fleet.run(STEP_MS)
            self.process_outcomes()

    def send(self):
        """Send the requests of one step."""
        self._unsent += self.per_step
        while self._unsent >= 1:
            self._unsent -= 1
            self.caller_count += 1
            self._send(self.fleet.now, self.retries)

    def process_outcomes(self):
        """Schedule retries of rejected requests, and send those now due."""
        for number in tuple(self._open):
            outcome = self.fleet.outcomes[number]
            if outcome is not None:
                self._open.pop(number)
                self._schedule_retry(number, outcome)
        due_retries = [
            retry
            for retry in self._pending_retries
            if retry[0] <= self.fleet.now
        ]
        self._pending_retries = [
            retry
            for retry in self._pending_retries
            if retry[0] > self.fleet.now
        ]
        for _due_at, first_sent_at, retries in due_retries:
            self._send(first_sent_at, retries)

    def share_answered_within(self, target_ms):
        """Return the share of callers with a good answer within `target_ms`.

        The time counts from the first attempt. Callers that disconnected are
        left out.
        """
        answered = [
            number
            for number, (first_sent_at, _retries) in self.started.items()
            if number not in self._disconnected
            and _is_success(self.fleet.outcomes[number])
            and self.fleet.ended_at[number] - first_sent_at <= target_ms
        ]
        return len(answered) / (self.caller_count - len(self._disconnected))

    def _send(self, first_sent_at, retries):
        fleet = self.fleet
        key = None
        if self.path != '/':
            key = fleet.rng.randrange(fleetconfig.KEY_COUNT)
            if fleet.rng.random() < self.hot_share:
                key = self.first_hot_key + fleet.rng.randrange(self.hot_keys)
        time_left_ms = first_sent_at + self.patience_ms - fleet.now
        if time_left_ms <= 0:
            return
        host_id = fleet.rng.choice(self.hosts or sorted(fleet.agents))
        number = fleet.call(
            host_id, self.path, key, time_left_ms, body=self.body
        )
        self.started[number] = (first_sent_at, retries)
        if fleet.rng.random() < self.leaving_share:
            self._disconnected.add(number)
            fleet.schedule(
                DISCONNECT_AFTER_MS,
                fleet.post,
                host_id,
                messages.CallerLeft(number),
            )
        self._open[number] = True

    def _schedule_retry(self, number, outcome):
        first_sent_at, retries = self.started[number]
        is_rejected = isinstance(outcome, messages.Refuse)
        if is_rejected and retries:
            delay_ms = 0 if self.is_impatient else outcome.retry_after_ms
            self._pending_retries.append((
                self.fleet.now + delay_ms,
                first_sent_at,
                retries - 1,
            ))


@attrs.define(frozen=True)
class Pattern:
    """A load, and the simple policies that it is hard for.

    `load` are fields of `Load`; `before` are fields of `AgentState` with the
    policies to compare with; `hosts` is the number of hosts of the service
    that is not divided by key. `prepare` is a function that changes the
    running `fleetsim.Fleet` before the load starts.
    """

    name: str
    load: dict
    before: dict
    hosts: int = 2
    prepare: object = None

    def measure(self, policies):
        """Return the share of callers answered in time with `policies`."""
        fleet = fleetsim.deployment(others=self.hosts, **policies)
        if self.prepare is not None:
            self.prepare(fleet)
        load = Load(
            fleet, '/', patience_ms=fleetconfig.STATUS_TIMEOUT_MS, **self.load
        )
        load.run(DURATION_MS)
        return load.share_answered_within(fleetconfig.STATUS_TARGET_MS)


def compare(pattern):
    """Return shares answered in time, `before` and with the policies `now`."""
    return {
        'before': pattern.measure(pattern.before),
        'now': pattern.measure({}),
    }


def as_text(figures):
    """Return a line for each pattern; `figures` holds `compare` by name."""
    lines = [
        f'{name}: {shares["before"]:.2f} before, {shares["now"]:.2f} now'
        for name, shares in figures.items()
    ]
    return '\n'.join((*lines, ''))


def _is_success(outcome):
    is_answer = isinstance(outcome, messages.Deliver)
    return is_answer and outcome.answer.status == fleetbackend.STATUS_OK


def _slow_third(fleet):
    fleet.backends['m0'].work_ms = SLOW_WORK_MS


def _failing_third(fleet):
    fleet.backends['m0'].work_ms = FAILED_WORK_MS
    fleet.backends['m0'].status = fleetbackend.STATUS_ERROR


def _drain(fleet):
    fleet.schedule(
        DRAIN_AFTER_MS, setattr, fleet.backends['m0'], 'is_draining', True
    )


def _deadline_wait_policy():
    return {'wait_policy': waiting.DeadlineWaitPolicy()}


def _random_host_policy():
    return {'host_policy': choosing.RandomPolicy()}


def patterns():
    """Return all patterns in a dict by name."""
    all_patterns = (
        Pattern(
            'burst', {'per_step': DOUBLE_LOAD_PER_STEP}, _deadline_wait_policy()
        ),
        Pattern(
            'return',
            {'per_step': OVERLOAD_PER_STEP, 'retries': 1},
            _deadline_wait_policy(),
        ),
        Pattern(
            'impatient',
            {'per_step': OVERLOAD_PER_STEP, 'retries': 3, 'is_impatient': True},
            _deadline_wait_policy(),
        ),
        Pattern(
            'slow-third',
            {'per_step': MODERATE_LOAD_PER_STEP},
            _random_host_policy(),
            3,
            _slow_third,
        ),
        Pattern(
            'failing-third',
            {'per_step': MODERATE_LOAD_PER_STEP},
            _random_host_policy(),
            3,
            _failing_third,
        ),
        Pattern(
            'drain',
            {'per_step': OVERLOAD_PER_STEP, 'retries': 1},
            _deadline_wait_policy(),
            3,
            _drain,
        ),
    )
    return {pattern.name: pattern for pattern in all_patterns}

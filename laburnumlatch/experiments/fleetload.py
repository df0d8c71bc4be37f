"""Callers of a deployment in memory, and loads at their worst.

Each pattern names the load that a policy answers, and the policy before it, so
that both can be measured on the same load.
"""

import attrs

from laburnumlatch.experiments import fleetbackend
from laburnumlatch.experiments import fleetconfig
from laburnumlatch.experiments import fleetsim
from laburnumlatch.mesh import choosing
from laburnumlatch.mesh import messages
from laburnumlatch.mesh import waiting

STEP_MS = 10
# All that was sent has ended by then.
COMPLETION_MS = 2500
FIRST_HOT_KEY = 20_000
HOT_KEYS = 200
LEAVE_MS = 50
DURATION_MS = 4000
SLOW_WORK_MS = 800
FAILED_WORK_MS = 5
DRAIN_AT_MS = 1000
# Twice, four thirds and two thirds of what two hosts can serve, a step.
TWICE = 2.4
BEYOND = 1.6
WITHIN = 0.8


@attrs.define
class Load:
    """Callers of one kind: `per_step` requests every `STEP_MS`.

    `hot_share` of them are about `hot_keys` keys from `first_hot_key` on.

    After a refusal a caller comes back up to `repeats` times: when it was
    told to, or at once if `is_impatient`. Each gives up after `patience_ms`.
    """

    fleet: fleetsim.Fleet
    path: str
    per_step: float
    repeats: int = 0
    is_impatient: bool = False
    patience_ms: int = fleetconfig.LOOK_TIMEOUT_MS
    hot_share: float = 0
    first_hot_key: int = FIRST_HOT_KEY
    hot_keys: int = HOT_KEYS
    body: bytes = b''
    leaving_share: float = 0
    callers: int = 0
    started: dict = attrs.Factory(dict)
    _credit: float = 0
    _left: set = attrs.Factory(set)
    _open: dict = attrs.Factory(dict)
    _back: list = attrs.Factory(list)

    def run(self, duration_ms):
        """Send for a time, and let all end."""
        for _ in range(duration_ms // STEP_MS):
            self.send()
            self.fleet.run(STEP_MS)
            self.follow()
        for _ in range(COMPLETION_MS // STEP_MS):
            self.fleet.run(STEP_MS)
            self.follow()

    def send(self):
        """Let the callers of one step arrive."""
        self._credit += self.per_step
        while self._credit >= 1:
            self._credit -= 1
            self.callers += 1
            self._send(self.fleet.now, self.repeats)

    def follow(self):
        """Let refused callers come back when it is time."""
        for number in tuple(self._open):
            outcome = self.fleet.outcomes[number]
            if outcome is not None:
                self._open.pop(number)
                self._come_back(number, outcome)
        due = [one for one in self._back if one[0] <= self.fleet.now]
        self._back = [one for one in self._back if one[0] > self.fleet.now]
        for _due, since, repeats in due:
            self._send(since, repeats)

    def share_answered_within(self, target_ms):
        """Return the share of the callers who stay that is answered in time.

        The time counts from the first attempt.
        """
        good = [
            number
            for number, (since, _left) in self.started.items()
            if number not in self._left
            and _is_good(self.fleet.outcomes[number])
            and self.fleet.ended_at[number] - since <= target_ms
        ]
        return len(good) / (self.callers - len(self._left))

    def _send(self, since, repeats):
        fleet = self.fleet
        key = None
        if self.path != '/':
            key = fleet.rng.randrange(fleetconfig.KEY_COUNT)
            if fleet.rng.random() < self.hot_share:
                key = self.first_hot_key + fleet.rng.randrange(self.hot_keys)
        left_ms = since + self.patience_ms - fleet.now
        if left_ms <= 0:
            return
        host_id = fleet.rng.choice(sorted(fleet.agents))
        number = fleet.call(host_id, self.path, key, left_ms, body=self.body)
        self.started[number] = (since, repeats)
        if fleet.rng.random() < self.leaving_share:
            self._left.add(number)
            fleet.schedule(
                LEAVE_MS, fleet.post, host_id, messages.CallerLeft(number)
            )
        self._open[number] = True

    def _come_back(self, number, outcome):
        since, repeats = self.started[number]
        is_refused = isinstance(outcome, messages.Refuse)
        if is_refused and repeats:
            wait_ms = 0 if self.is_impatient else outcome.retry_after_ms
            self._back.append((self.fleet.now + wait_ms, since, repeats - 1))


@attrs.define(frozen=True)
class Pattern:
    """A load, and the policies before those in force.

    `hosts` is how many serve the undivided service, `prepare` changes a
    started `fleetsim.Fleet`, `load` are fields of `Load`.
    """

    name: str
    load: dict
    before: dict
    hosts: int = 2
    prepare: object = None

    def measure(self, policies):
        """Return the share of callers answered in time under policies."""
        fleet = fleetsim.deployment(others=self.hosts, **policies)
        if self.prepare is not None:
            self.prepare(fleet)
        callers = Load(
            fleet, '/', patience_ms=fleetconfig.STATUS_TIMEOUT_MS, **self.load
        )
        callers.run(DURATION_MS)
        return callers.share_answered_within(fleetconfig.STATUS_TARGET_MS)


def compare(pattern):
    """Return the share `before` and `now`, with the policies in force."""
    return {
        'before': pattern.measure(pattern.before),
        'now': pattern.measure({}),
    }


def as_text(figures):
    """Return a line for each pattern; `figures` are what `compare` gave."""
    lines = [
        f'{name}: {shares["before"]:.2f} before, {shares["now"]:.2f} now'
        for name, shares in figures.items()
    ]
    return '\n'.join((*lines, ''))


def _is_good(outcome):
    is_answer = isinstance(outcome, messages.Deliver)
    return is_answer and outcome.answer.status == fleetbackend.STATUS_OK


def _slow_third(fleet):
    fleet.backends['m0'].work_ms = SLOW_WORK_MS


def _failing_third(fleet):
    fleet.backends['m0'].work_ms = FAILED_WORK_MS
    fleet.backends['m0'].status = fleetbackend.STATUS_ERROR


def _drain(fleet):
    fleet.schedule(
        DRAIN_AT_MS, setattr, fleet.backends['m0'], 'is_draining', True
    )


def _by_deadline():
    return {'wait_policy': waiting.DeadlineWaitPolicy()}


def _by_chance():
    return {'host_policy': choosing.RandomPolicy()}


def patterns():
    """Return all patterns by name."""
    found = (
        Pattern('burst', {'per_step': TWICE}, _by_deadline()),
        Pattern('return', {'per_step': BEYOND, 'repeats': 1}, _by_deadline()),
        Pattern(
            'impatient',
            {'per_step': BEYOND, 'repeats': 3, 'is_impatient': True},
            _by_deadline(),
        ),
        Pattern(
            'slow-third', {'per_step': WITHIN}, _by_chance(), 3, _slow_third
        ),
        Pattern(
            'failing-third',
            {'per_step': WITHIN},
            _by_chance(),
            3,
            _failing_third,
        ),
        Pattern(
            'drain',
            {'per_step': BEYOND, 'repeats': 1},
            _by_deadline(),
            3,
            _drain,
        ),
    )
    return {pattern.name: pattern for pattern in found}

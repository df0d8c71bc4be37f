"""Which host gets a request that any host of the service may serve."""

import abc

from laburnumlatch.slots import rows

SLOWNESS_WEIGHT = 0.1
TYPICAL_WEIGHT = 0.02


class Choice(abc.ABC):
    """A policy that picks one host."""

    @abc.abstractmethod
    def pick(self, hosts, rng):
        """Return one of `hosts`, a non-empty list of `rows.Host`."""


class RandomChoice(Choice):
    """Any host with equal probability: the baseline."""

    def pick(self, hosts, rng):
        """Return a random host."""
        return rng.choice(hosts)


class RoundRobin(Choice):
    """Each host in turn: the other baseline."""

    def __init__(self):
        """Begin with the first host."""
        self._turn = 0

    def pick(self, hosts, rng):
        """Return the next host."""
        self._turn += 1
        return hosts[self._turn % len(hosts)]


class TwoChoice(Choice):
    """The less loaded of two random hosts.

    The expected wait is own requests in flight times the slowness of the
    host. Reported load lags or misleads, so it only breaks ties.
    """

    def pick(self, hosts, rng):
        """Return the host with the lower expected wait."""
        pair = rng.sample(hosts, min(2, len(hosts)))
        return min(pair, key=_expected_wait)


def learn(world, request, now):
    """Learn the slowness of a host from a request that it answered.

    Slowness is the time that the host took over the time that the operation
    takes on average, so a host that got heavy uploads does not look slow.
    """
    host = world.hosts.get(request.target)
    if host is None or request.exchange > 1:
        return
    took_ms = max(1, now - request.arrived)
    key = (request.service, request.operation)
    typical = world.typical_times.get(key)
    if typical is None:
        typical = world.typical_times.put(key, rows.Average(took_ms))
    typical.learn(took_ms, TYPICAL_WEIGHT)
    relative = took_ms / typical.mean
    host.slowness += SLOWNESS_WEIGHT * (relative - host.slowness)


def _expected_wait(host):
    return ((host.in_flight + 1) * host.slowness, host.reported_load)

"""Faults that a workload can inject into a simulated deployment."""

import abc
import types

from laburnumlatch.core import clock

SLOWDOWN_RATIO = 4
# A cold server that bears 2.35 requests a second may get 11 in one.
MAX_COLD_STARTS = 11
# Machines of the users are slow for moments, a fifth of the time.
SLOW_MOMENT_RATIO = 3
SLOW_MS = 400
SLOW_PERIOD_MS = 2000


class Fault(abc.ABC):
    """A fault that lasts for a part of a run."""

    @abc.abstractmethod
    def begin(self, fleet, host_ids):
        """Inject the fault at `host_ids` of a `fleetsim.Fleet`."""

    @abc.abstractmethod
    def end(self, fleet, host_ids):
        """Repair what has not recovered by itself."""


class NoFault(Fault):
    """A run without a fault."""

    def begin(self, fleet, host_ids):
        """Do nothing."""

    def end(self, fleet, host_ids):
        """Do nothing."""


class SlowServers(Fault):
    """Backend servers that take four times as long for each request."""

    def begin(self, fleet, host_ids):
        """Slow down the backend servers of all hosts in `host_ids`."""
        for host_id in host_ids:
            fleet.backends[host_id].work_ms *= SLOWDOWN_RATIO

    def end(self, fleet, host_ids):
        """Restore their speed."""
        for host_id in host_ids:
            fleet.backends[host_id].work_ms //= SLOWDOWN_RATIO


class LostHost(Fault):
    """A host that fails and restarts without its state."""

    def begin(self, fleet, host_ids):
        """Stop the agent and the backend server of the first host."""
        fleet.stop(host_ids[0])
        fleet.backends[host_ids[0]].is_up = False

    def end(self, fleet, host_ids):
        """Restart both."""
        fleet.backends[host_ids[0]].restart()
        fleet.start(host_ids[0])


class RestartedAgent(Fault):
    """An agent that restarts while its backend server keeps running."""

    def begin(self, fleet, host_ids):
        """Stop the first host's agent, and restart it a second later."""
        fleet.stop(host_ids[0])
        fleet.schedule(clock.MS_PER_S, fleet.start, host_ids[0])

    def end(self, fleet, host_ids):
        """Do nothing: the agent has restarted."""


class StoreOutage(Fault):
    """A store that fails all calls."""

    def begin(self, fleet, host_ids):
        """Make the store unavailable."""
        fleet.store.is_down = True

    def end(self, fleet, host_ids):
        """Make the store available again."""
        fleet.store.is_down = False


class ColdServers(Fault):
    """Backend servers that restart under load, and are cold then."""

    def begin(self, fleet, host_ids):
        """Restart the server of the first host."""
        backend = fleet.backends[host_ids[0]]
        backend.max_cold_starts = MAX_COLD_STARTS
        backend.restart_cold()

    def end(self, fleet, host_ids):
        """Do nothing: the server becomes warm by itself."""


class UnevenServers(Fault):
    """Machines that are slow for moments, as their servers report."""

    def begin(self, fleet, host_ids):
        """Begin with the slow moments, one machine after another."""
        for number, host_id in enumerate(host_ids):
            backend = fleet.backends[host_id]
            backend.reported_slots = backend.slots
            fleet.schedule(number * SLOW_MS, self._slow_down, fleet, host_id)

    def end(self, fleet, host_ids):
        """End the last moments."""
        for host_id in host_ids:
            fleet.backends[host_id].reported_slots = None

    def _slow_down(self, fleet, host_id):
        backend = fleet.backends[host_id]
        if backend.reported_slots is not None:
            backend.slowness = SLOW_MOMENT_RATIO
            fleet.schedule(SLOW_MS, setattr, backend, 'slowness', 1)
            fleet.schedule(SLOW_PERIOD_MS, self._slow_down, fleet, host_id)


BY_NAME = types.MappingProxyType({
    'none': NoFault(),
    'slow': SlowServers(),
    'lost': LostHost(),
    'restart': RestartedAgent(),
    'store': StoreOutage(),
    'cold': ColdServers(),
    'uneven': UnevenServers(),
})

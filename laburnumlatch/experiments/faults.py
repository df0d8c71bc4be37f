"""Faults that a workload can inject into a simulated deployment."""

import abc
import types

from laburnumlatch.core import clock

SLOWDOWN_RATIO = 4


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


BY_NAME = types.MappingProxyType({
    'none': NoFault(),
    'slow': SlowServers(),
    'lost': LostHost(),
    'restart': RestartedAgent(),
    'store': StoreOutage(),
})

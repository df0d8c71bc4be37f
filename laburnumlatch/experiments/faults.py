"""Faults of a workload on a deployment in memory."""

import abc
import types

from laburnumlatch.core import clock

SLOW_RATE = 4


class Fault(abc.ABC):
    """Something that goes wrong for a while at some hosts."""

    @abc.abstractmethod
    def begin(self, fleet, host_ids):
        """Strike `host_ids` of a `fleetsim.Fleet`."""

    @abc.abstractmethod
    def end(self, fleet, host_ids):
        """Heal what has not healed by itself."""


class NoFault(Fault):
    """A run without a fault."""

    def begin(self, fleet, host_ids):
        """Leave all as it is."""

    def end(self, fleet, host_ids):
        """Leave all as it is."""


class SlowServers(Fault):
    """Backend servers that work four times as long."""

    def begin(self, fleet, host_ids):
        """Slow all of them down."""
        for host_id in host_ids:
            fleet.backends[host_id].work_ms *= SLOW_RATE

    def end(self, fleet, host_ids):
        """Let them work as before."""
        for host_id in host_ids:
            fleet.backends[host_id].work_ms //= SLOW_RATE


class LostHost(Fault):
    """A host that is gone, and comes back empty."""

    def begin(self, fleet, host_ids):
        """End the first host's agent and backend server."""
        fleet.stop(host_ids[0])
        fleet.backends[host_ids[0]].is_up = False

    def end(self, fleet, host_ids):
        """Start both anew."""
        fleet.backends[host_ids[0]].restart()
        fleet.start(host_ids[0])


class RestartedAgent(Fault):
    """An agent that starts again beside its backend server."""

    def begin(self, fleet, host_ids):
        """End the first host's agent, and start it a second later."""
        fleet.stop(host_ids[0])
        fleet.schedule(clock.MS_PER_S, fleet.start, host_ids[0])

    def end(self, fleet, host_ids):
        """Nothing is left to heal."""


class StoreOutage(Fault):
    """The store refuses everybody."""

    def begin(self, fleet, host_ids):
        """Take the store away."""
        fleet.store.is_down = True

    def end(self, fleet, host_ids):
        """Bring it back."""
        fleet.store.is_down = False


BY_NAME = types.MappingProxyType({
    'none': NoFault(),
    'slow': SlowServers(),
    'lost': LostHost(),
    'restart': RestartedAgent(),
    'store': StoreOutage(),
})

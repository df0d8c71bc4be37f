"""System: notices that the store was restored from a copy.

The store has then lost its last writes, and gives their versions out again.
All rows are read again, and what this agent has written is written again where
it is missing. `role` takes the next term, and `planepochs` confirms the plans.
"""

from laburnumlatch.core import logs
from laburnumlatch.core import storemsg
from laburnumlatch.core import versions
from laburnumlatch.mesh import departures
from laburnumlatch.mesh import members

_log = logs.logger('store')


def run(agent, _now):
    """Follow the newest epoch that the store or the planner has shown."""
    epoch = _newest_epoch(agent)
    former = agent.store_epoch
    if epoch is None or (former is not None and epoch <= former):
        return
    agent.store_epoch = epoch
    if former is None:
        return
    _log.warning('store-restored', former=former, epoch=epoch)
    members.read_again(agent)
    departures.read_again(agent)


def _newest_epoch(agent):
    """Return the newest epoch that is known, None if none is.

    A planner has read the store before it takes the role, so its term shows
    the epoch to agents that make no call themselves.
    """
    responses = (
        *agent.inbox.peek(storemsg.StoreChanges),
        *agent.inbox.peek(storemsg.StoreWritten),
    )
    epochs = [versions.epoch_of(response.version) for response in responses]
    if agent.role.term:
        epochs.append(versions.epoch_of(agent.role.term))
    return max(epochs, default=None)

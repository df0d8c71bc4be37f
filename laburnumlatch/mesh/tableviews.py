"""What an agent knows of the tables of the store that it watches.

A table is read once and then watched: the store answers a watch with the next
change. If that response is lost, the watch stays open and silent for half a
minute. So something else must show that nothing was missed: the planner, whose
leases name the newest changes that it knows, or polls, which return at once.
The planner itself always polls, and every other agent while it follows no
planner that reaches the store.
"""

import attrs

from laburnumlatch.mesh import plannercontact
from laburnumlatch.mesh import storeretry

# A lost response, the time-out of the poll and its retry must fit into the time
# within which changes are to be known after a silence of the store.
POLL_INTERVAL_MS = 1000


@attrs.define
class TableView:
    """What is known of a table.

    All changes up to version `known_to` of the store are known; the newest of
    them is of version `changed_in`. `updated_at` is when the store last
    responded, 0 if it never has. With `needs_read` all rows are to be read:
    they were not yet, or a call has failed. While `is_watched` a watch is open,
    unless the next one starts at `watch_at`, None if none is to start. Since
    `behind_since` the planner has known of newer changes, None if it does not.
    """

    known_to: int = 0
    changed_in: int = 0
    updated_at: int = 0
    needs_read: bool = True
    is_watched: bool = False
    watch_at: int | None = None
    behind_since: int | None = None
    retry: storeretry.Backoff = attrs.Factory(storeretry.Backoff)

    @property
    def has_open_watch(self):
        """Whether a watch waits for the response of the store."""
        return self.is_watched and self.watch_at is None


def update(view, known_to, changed_in, now):
    """Note a response of the store.

    A read, a watch and polls run side by side, and may end in any order.
    """
    view.updated_at = now
    view.retry.record_success()
    view.known_to = max(view.known_to, known_to)
    view.changed_in = max(view.changed_in, changed_in)


def compare(view, planner_version, now):
    """Note whether the planner knows of changes that this agent has missed."""
    if planner_version <= view.known_to:
        view.behind_since = None
    elif view.behind_since is None:
        view.behind_since = now


def must_poll(agent, view, delay_ms, now):
    """Return whether changes of a table may be missing without a poll.

    Those that the planner knows may still come by the watch for `delay_ms`.
    """
    if view.needs_read:
        return False
    if not plannercontact.follows_planner(agent, now):
        return True
    behind_since = view.behind_since
    return behind_since is not None and now >= behind_since + delay_ms

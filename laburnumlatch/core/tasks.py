"""Tasks of a front end; none ends without a word."""

import asyncio
import functools

from laburnumlatch.core import logs

_log = logs.logger('tasks')


class Tasks:
    """Runs coroutines, and reports those that fail."""

    def __init__(self):
        """Start without a task."""
        self._running = set()

    def start(self, work, on_error):
        """Run a coroutine; call `on_error` with what it raised, if it did."""
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(functools.partial(self._done, on_error))
        return task

    def cancel(self):
        """Stop all tasks, without a report."""
        for task in self._running:
            task.cancel()

    def _done(self, on_error, task):
        self._running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error('task-failed', detail=repr(error))
            on_error(error)

"""Background tasks of a front end, whose errors are always reported."""

import asyncio
import functools

from laburnumlatch.core import logs

_log = logs.logger('tasks')


class Tasks:
    """Runs coroutines as tasks and reports those that raise.

    asyncio would report an unhandled error only when the task is garbage
    collected.
    """

    def __init__(self):
        """Start without tasks."""
        self._running = set()

    def start(self, work, on_error):
        """Run the coroutine `work` as a task and return the task.

        If it raises, the error is logged and passed to `on_error`.
        """
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(functools.partial(self._on_done, on_error))
        return task

    def cancel(self):
        """Cancel all tasks; canceled tasks are not reported."""
        for task in self._running:
            task.cancel()

    def _on_done(self, on_error, task):
        self._running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            _log.error('task-failed', detail=repr(error))
            on_error(error)

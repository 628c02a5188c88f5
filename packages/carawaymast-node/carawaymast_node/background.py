"""Background tasks whose exceptions are always reported.

A ``TaskSet`` holds a reference to each of its tasks until it ends. An
exception that a task does not handle goes to the exception handler of the
loop, which stops the node if it is an ``InvariantError``.
"""

import asyncio
import typing

__all__ = ['TaskSet']


class TaskSet:
    """A set of running background tasks.

    Its length is the number of tasks that have not ended.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: typing.Coroutine) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        asyncio.get_running_loop().call_exception_handler(
            {
                'message': 'unhandled exception in a background task',
                'exception': task.exception(),
                'task': task,
            }
        )

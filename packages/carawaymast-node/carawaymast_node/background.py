"""Background tasks whose failures are never lost.

A ``TaskSet`` keeps its tasks alive until they end. An exception that a task
does not handle goes to the exception handler of the loop, which stops the
node if an invariant was broken.
"""

import asyncio
import typing

__all__ = ['TaskSet']


class TaskSet:
    """The background tasks of one role."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coroutine: typing.Coroutine) -> None:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        asyncio.get_running_loop().call_exception_handler(
            {
                'message': 'a background task failed',
                'exception': task.exception(),
                'task': task,
            }
        )

"""Waits for events with a time limit.

``asyncio.wait_for`` of Python 3.11 returns normally if its task is cancelled
in the same iteration in which the event is set, so that the task goes on.
The linter forbids it.
"""

import asyncio

__all__ = ['wait_event']


async def wait_event(event: asyncio.Event, timeout_ms: float) -> bool:
    """Wait until an event is set; return False if it is not in time.

    A cancellation always ends the wait, also as the event is set::

        if not await wait_event(self._wake, 100):
            self._metrics.count('idle_plans_total')
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await event.wait()
    except TimeoutError:
        return False
    return True

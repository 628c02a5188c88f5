"""Run circuits on the asyncio loop, in one thread.

``AsyncioPoller`` watches the sockets of circuits by asyncio. ``Root``
dispatches the events of circuits in callbacks of the same loop, so that
handlers and coroutines never run at the same time.
"""

import asyncio
import typing

import circuits
from circuits.core import pollers

__all__ = ['AsyncioPoller', 'Root', 'periodic']


class AsyncioPoller(pollers.BasePoller):
    """A poller that uses the running asyncio loop to wait for sockets."""

    channel = 'asyncio'

    def __init__(self, channel=channel):
        super().__init__(channel=channel)
        self._loop = asyncio.get_running_loop()

    def _create_control_con(self):
        return None, None

    def resume(self):
        """Do nothing; a fired event schedules a callback of the loop."""

    def _generate_events(self, event):
        """Do nothing; asyncio calls ``_on_ready`` for ready sockets."""

    def addReader(self, source, fd):  # noqa: N802
        """Watch a socket for reading."""
        super().addReader(source, fd)
        self._loop.add_reader(fd, self._on_ready, pollers._read, fd)

    def addWriter(self, source, fd):  # noqa: N802
        """Watch a socket for writing."""
        super().addWriter(source, fd)
        self._loop.add_writer(fd, self._on_ready, pollers._write, fd)

    def removeReader(self, fd):  # noqa: N802
        """Stop watching a socket for reading."""
        self._loop.remove_reader(fd)
        super().removeReader(fd)

    def removeWriter(self, fd):  # noqa: N802
        """Stop watching a socket for writing."""
        self._loop.remove_writer(fd)
        super().removeWriter(fd)

    def discard(self, fd):
        """Stop watching a socket."""
        if fd.fileno() >= 0:
            self._loop.remove_reader(fd)
            self._loop.remove_writer(fd)
        super().discard(fd)

    def _on_ready(self, event_type, fd) -> None:
        if fd in self._targets:
            self.fire(event_type(fd), self.getTarget(fd))
            self.root.dispatch_events()


class Root(circuits.BaseComponent):
    """The root component, whose events the asyncio loop dispatches."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self._is_scheduled = False
        self._is_dispatching = False

    def mark_started(self) -> None:
        """Mark the component tree as running, in place of circuits' loop."""
        self._running = True
        self.fire(circuits.core.events.started(self))

    def _fire(self, event, channel, priority=0):
        super()._fire(event, channel, priority)
        if not self._is_scheduled and not self._is_dispatching:
            self._is_scheduled = True
            self._loop.call_soon(self.dispatch_events)

    def dispatch_events(self) -> None:
        """Dispatch all queued events and step all generator handlers."""
        self._is_scheduled = False
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while len(self._queue) or self._tasks:
                for task in self._tasks.copy():
                    self.processTask(*task)
                self.flush()
        finally:
            self._is_dispatching = False


async def periodic(
    interval_ms: typing.Callable[[], int],
    step: typing.Callable[[], typing.Awaitable[None]],
) -> typing.NoReturn:
    """Await ``step()`` repeatedly, after a pause of ``interval_ms()``."""
    while True:
        await asyncio.sleep(interval_ms() / 1000)
        await step()

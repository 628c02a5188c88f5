"""Time in whole milliseconds.

``Clock`` is the only source of time that the decisions use. A process makes
one with ``monotonic()``; a test makes a ``ManualClock`` and moves it.
"""

import time
import typing

__all__ = ['Clock', 'ManualClock', 'monotonic', 'wall_ms']

NANOSECONDS_PER_MS = 1_000_000


class Clock:
    """A monotonic clock that reads whole milliseconds.

    The origin is arbitrary, so that only differences carry meaning::

        started = clock.now()
        elapsed_ms = clock.now() - started
    """

    def __init__(self, read: typing.Callable[[], int]):
        self._read = read

    def now(self) -> int:
        """Return the present reading in milliseconds."""
        return self._read()


class ManualClock(Clock):
    """A clock that moves only when it is told to."""

    def __init__(self, start_ms: int = 0):
        super().__init__(lambda: self._now_ms)
        self._now_ms = start_ms

    def advance(self, ms: int) -> None:
        """Move the clock forward by ``ms``.

        Raises ``ValueError`` if ``ms`` is negative.
        """
        if ms < 0:
            raise ValueError(f'ms must not be negative, got {ms}')
        self._now_ms += ms


def monotonic() -> Clock:
    """Return a clock that reads the monotonic clock of the system."""
    return Clock(lambda: time.monotonic_ns() // NANOSECONDS_PER_MS)


def wall_ms() -> int:
    """Return the milliseconds since 1970, for records that people read."""
    return time.time_ns() // NANOSECONDS_PER_MS

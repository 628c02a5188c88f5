"""Time in whole milliseconds.

``Clock`` is the only source of time that the decisions use. A process makes
one with ``monotonic()``; a test makes a ``ManualClock`` and moves it.
"""

import time
import typing

__all__ = ['Clock', 'ManualClock', 'monotonic', 'wall_ms']

NANOSECONDS_PER_MS = 1_000_000


class Clock:
    """A clock that reads whole milliseconds, monotonic and by the calendar.

    The origin of ``now`` is arbitrary, so that only differences carry
    meaning; ``wall`` is for records that outlive the process::

        started = clock.now()
        elapsed_ms = clock.now() - started
    """

    def __init__(
        self,
        read: typing.Callable[[], int],
        read_wall: typing.Callable[[], int] | None = None,
    ):
        self._read = read
        self._read_wall = read_wall or read

    def now(self) -> int:
        """Return the present reading in milliseconds."""
        return self._read()

    def wall(self) -> int:
        """Return the milliseconds since 1970."""
        return self._read_wall()


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
    """Return a clock that reads the clocks of the system."""
    return Clock(lambda: time.monotonic_ns() // NANOSECONDS_PER_MS, wall_ms)


def wall_ms() -> int:
    """Return the milliseconds since 1970, for records that people read."""
    return time.time_ns() // NANOSECONDS_PER_MS

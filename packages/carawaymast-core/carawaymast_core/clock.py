"""Time in whole milliseconds.

``Clock`` is the only source of time of the scheduling logic. A process uses
the clock that ``monotonic()`` returns; a test advances a ``ManualClock``.
"""

import time
import typing

__all__ = ['Clock', 'ManualClock', 'monotonic', 'wall_ms']

NANOSECONDS_PER_MS = 1_000_000


class Clock:
    """A monotonic and a wall clock, in whole milliseconds.

    ``now`` stands still while the machine is suspended, ``since_boot`` does
    not. The origins are arbitrary, so only the difference of two readings is
    meaningful. Use ``wall`` for records that outlive the process::

        started = clock.now()
        elapsed_ms = clock.now() - started
    """

    def __init__(
        self,
        read: typing.Callable[[], int],
        read_wall: typing.Callable[[], int] | None = None,
        read_since_boot: typing.Callable[[], int] | None = None,
    ):
        self._read = read
        self._read_wall = read_wall or read
        self._read_since_boot = read_since_boot or read

    def now(self) -> int:
        """Return the monotonic time in milliseconds."""
        return self._read()

    def since_boot(self) -> int:
        """Return the monotonic time that also counts suspension, in ms."""
        return self._read_since_boot()

    def wall(self) -> int:
        """Return the milliseconds since the Unix epoch (1970)."""
        return self._read_wall()


class ManualClock(Clock):
    """A clock that moves only when ``advance`` or ``suspend`` is called."""

    def __init__(self, start_ms: int = 0):
        super().__init__(
            lambda: self._now_ms,
            read_since_boot=lambda: self._now_ms + self._suspended_ms,
        )
        self._now_ms = start_ms
        self._suspended_ms = 0

    def advance(self, ms: int) -> None:
        """Move the clock forward by ``ms``.

        Raises ``ValueError`` if ``ms`` is negative.
        """
        if ms < 0:
            raise ValueError(f'ms must not be negative, got {ms}')
        self._now_ms += ms

    def suspend(self, ms: int) -> None:
        """Suspend the machine for ``ms``: only ``since_boot`` goes on.

        Raises ``ValueError`` if ``ms`` is negative.
        """
        if ms < 0:
            raise ValueError(f'ms must not be negative, got {ms}')
        self._suspended_ms += ms


def monotonic() -> Clock:
    """Return a clock that reads the clocks of the operating system."""
    return Clock(
        lambda: time.monotonic_ns() // NANOSECONDS_PER_MS,
        wall_ms,
        lambda: (
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS
        ),
    )


def wall_ms() -> int:
    """Return the milliseconds since 1970, for records that people read."""
    return time.time_ns() // NANOSECONDS_PER_MS

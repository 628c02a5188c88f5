"""Counts the lease of a worker's incarnation on the worker's own clock."""

import math

from carawaymast_core import errors

__all__ = ['WorkerLease', 'max_real_ms', 'usual_ms']

# From the platform's contract: a worker's steady clock may be 2% slow.
MIN_CLOCK_RATE = 0.98
RECKONING_ERROR = 1 / MIN_CLOCK_RATE - 1


def max_real_ms(worker_clock_ms: int) -> int:
    """Return how long an interval on a worker's clock may last."""
    return math.ceil(worker_clock_ms / MIN_CLOCK_RATE)


def usual_ms(lease_ms: int) -> int:
    """Return the longest lease that calls for ``lease_ms`` may leave.

    A leader reckons a worker's clock ahead by up to a lease.
    """
    return math.ceil(lease_ms * (1 + RECKONING_ERROR))


class WorkerLease:
    """The end of a worker's lease, as far as the leader knows its clock.

    ``assumed_lost_at_ms`` is when the lease counts as expired if this leader
    has never reached the worker, None once the worker has answered.
    """

    def __init__(self, worker_id: str, born_ms: int):
        self._key = (worker_id, born_ms)
        self._clock_ms = 0
        # When the worker's clock was last read; None before the first time.
        self._clock_read_at_ms: int | None = None
        # The lease's end on the worker's clock.
        self._deadline_ms = 0
        self.assumed_lost_at_ms: int | None = None
        # Until when a call without an answer may extend the lease.
        self.late_until_ms = 0

    @property
    def clock_ms(self) -> int:
        """The latest reading of the worker's clock, 0 before the first."""
        return self._clock_ms

    @property
    def deadline_ms(self) -> int:
        """The latest end that the lease may have, on the worker's clock."""
        return self._deadline_ms

    @property
    def left_ms(self) -> int:
        """How long the lease may last at the latest reading of the clock."""
        return max(0, self._deadline_ms - self._clock_ms)

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock.

        Readings that are older than the latest one are ignored.
        """
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at_ms = now_ms

    def next_deadline(self, now_ms: int, lease_ms: int) -> int:
        """Return the lease's end on the worker's clock for a call sent now.

        It may be before ``deadline_ms``, which includes what others may have
        sent; a worker never shortens its lease. It is recorded even if the
        call fails, since the call may still take effect. Raises
        ``InvariantError`` if the clock was never read: the lease would last
        until the worker has run for as long as the leader's VM.
        """
        errors.check(
            self._clock_read_at_ms is not None,
            f'the clock of worker {self._key} has not been read, so no '
            'deadline on it is known',
        )
        max_clock_ms = self._clock_ms + now_ms - self._clock_read_at_ms
        deadline_ms = max_clock_ms + lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def record_late_call(self, until_ms: int) -> None:
        """Record that a call may extend the lease until ``until_ms``."""
        self.late_until_ms = max(self.late_until_ms, until_ms)

    def assume_longest(self, max_lease_ms: int) -> None:
        """Assume the longest lease, until calls of this leader replace it.

        Calls of a previous leader, or for a former incarnation, may have
        extended it up to now. They cannot any more, since the worker has
        accepted a higher fencing token.
        """
        self._deadline_ms = max(
            self._deadline_ms, self._clock_ms + max_lease_ms
        )

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the lease has certainly expired.

        The worker's clock is assumed to run at the slowest allowed rate.
        """
        if self.assumed_lost_at_ms is not None:
            return now_ms >= self.assumed_lost_at_ms
        if self._clock_read_at_ms is None:
            return False
        passed_ms = (now_ms - self._clock_read_at_ms) * MIN_CLOCK_RATE
        return self._clock_ms + passed_ms > self._deadline_ms

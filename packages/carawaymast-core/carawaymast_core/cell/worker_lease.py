"""Counts the lease of a worker's incarnation on the worker's own clock."""

import typing

from carawaymast_core import errors

__all__ = ['WorkerLease']

# From the platform's contract: a worker's steady clock may be 2% slow.
MIN_CLOCK_RATE = 0.98
# Calls without an answer may be carried out this long after they were sent.
LATE_CALL_MS = 10_000


class _FormerLease(typing.NamedTuple):
    """The latest deadline that was sent to former incarnations of a worker.

    Calls with it may arrive until ``until_ms`` on the leader's clock.
    """

    deadline_ms: int
    max_lease_ms: int
    until_ms: int


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
        self._former: _FormerLease | None = None
        self.assumed_lost_at_ms: int | None = None

    @property
    def clock_ms(self) -> int:
        """The latest reading of the worker's clock, 0 before the first."""
        return self._clock_ms

    @property
    def deadline_ms(self) -> int:
        """The latest end that the lease may have, on the worker's clock."""
        return self._deadline_ms

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
        """Record a reading of the worker's clock.

        Readings that are older than the latest one are ignored.
        """
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at_ms = now_ms
        former = self._former
        if former is not None and now_ms < former.until_ms:
            self._deadline_ms = max(
                self._deadline_ms,
                min(former.deadline_ms, clock_ms + former.max_lease_ms),
            )

    def inherit(
        self, predecessor: 'WorkerLease', max_lease_ms: int, now_ms: int
    ) -> None:
        """Allow for calls to a former incarnation that reach this one.

        They have the same id, and deadlines on the former clock, which this
        worker shortens to ``max_lease_ms``.
        """
        deadline_ms = predecessor._deadline_ms
        for former in (predecessor._former, self._former):
            if former is not None:
                deadline_ms = max(deadline_ms, former.deadline_ms)
        self._former = _FormerLease(
            deadline_ms, max_lease_ms, now_ms + LATE_CALL_MS
        )

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

    def assume_longest(self, max_lease_ms: int) -> None:
        """Assume the longest lease, until calls of this leader replace it.

        Calls of a previous leader, or for a former incarnation, may have
        extended it up to now. They cannot any more, since the worker has
        accepted a higher epoch.
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

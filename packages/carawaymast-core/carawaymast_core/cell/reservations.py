"""Reserves workers for gangs that wait, for a limited time.

The capacity that other steps leave free is too scattered for a gang, so a gang
that does not fit keeps the workers that it may use from later steps. No
prediction shows for certain that it will fit there, so a reservation expires
once the free capacity of its workers has stopped growing. Then all steps have
their turn, and the gang's next reservation comes later.
"""

import typing

from carawaymast_core.cell import free_capacity

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['Backoff', 'Reservations']

# Gangs with a reservation at the same time: two of the users' gangs need
# about a fifth of the fleet.
MAX_RESERVING_GANGS = 2
# A reservation expires if the free capacity has not grown for this time.
# While less than half of it is in use, time counts twice: the platform calls a
# job lost that has waited for 3 s beside free capacity.
STALL_MS = 5_000
IDLE_TIME_FACTOR = 2
IDLE_USED_SHARE = 0.5
# By how much the free share has to grow.
MIN_PROGRESS_SHARE = 0.01
# In any case a reservation expires after this time.
MAX_RESERVATION_MS = 20_000
# How long a gang reserves nothing after an expiry; twice as long after each
# further one, up to the maximum.
BACKOFF_MS = 5_000
MAX_BACKOFF_MS = 40_000
# After an expiry, no gang reserves workers of that service for this time.
PAUSE_MS = 500
# A reservation that was not asked for in this time has ended: the store was
# unavailable, or more urgent gangs were in front.
MAX_GAP_MS = 1_000
# A gang that cannot fit is checked again at this interval, and at most as
# many gangs are checked in one plan.
CHECK_INTERVAL_MS = 1_000
MAX_CHECKS_PER_PLAN = 20


class _Reservation:
    """The reservation of a service's workers, until a gang starts."""

    def __init__(self, now_ms: int, free_share: float):
        self._began_at_ms = self._asked_at_ms = now_ms
        self._best_free_share = free_share
        self._stalled_ms = 0

    def is_current(self, now_ms: int) -> bool:
        """Return whether it was extended a moment before ``now_ms``."""
        return now_ms - self._asked_at_ms <= MAX_GAP_MS

    def extend(self, now_ms: int, free_share: float) -> bool:
        """Keep the reservation at ``now_ms``; return False if it expires.

        ``free_share`` is the free share of the reserved workers.
        """
        passed_ms = now_ms - self._asked_at_ms
        self._asked_at_ms = now_ms
        if free_share >= self._best_free_share + MIN_PROGRESS_SHARE:
            self._best_free_share = free_share
            self._stalled_ms = 0
        is_idle = 1 - free_share < IDLE_USED_SHARE
        self._stalled_ms += passed_ms * (IDLE_TIME_FACTOR if is_idle else 1)
        return (
            self._stalled_ms <= STALL_MS
            and now_ms - self._began_at_ms <= MAX_RESERVATION_MS
        )


class Backoff:
    """When a waiting gang may reserve workers again."""

    def __init__(self) -> None:
        self.next_at_ms = 0
        self._pause_ms = BACKOFF_MS

    def extend(self, now_ms: int) -> None:
        """Pause, twice as long as the last time."""
        self.next_at_ms = now_ms + self._pause_ms
        self._pause_ms = min(2 * self._pause_ms, MAX_BACKOFF_MS)


class Reservations:
    """The reservations of a cell's gangs, from plan to plan.

    Example::

        reservations.begin_plan()
        if reservations.reserve(gang, allowed_workers, now_ms):
            # Later steps leave ``reservations.worker_ids`` alone.
    """

    def __init__(self, log_expiry: typing.Callable[..., None]):
        self._log_expiry = log_expiry
        self._paused_until_ms_by_service: dict[str, int] = {}
        self._reservation_by_service: dict[str, _Reservation] = {}
        # Of the present plan.
        self._checks = 0
        self._gangs = 0
        self._services: set[str] = set()
        self.worker_ids: set[str] = set()

    def begin_plan(self) -> None:
        """Forget the reservations of the last plan."""
        self._checks = self._gangs = 0
        self._services = set()
        self.worker_ids = set()

    @property
    def is_exhausted(self) -> bool:
        """Whether no further gang may reserve workers in this plan."""
        return (
            self._gangs >= MAX_RESERVING_GANGS
            or self._checks >= MAX_CHECKS_PER_PLAN
        )

    def may_reserve(self, step: 'jobs.StepState', now_ms: int) -> bool:
        """Return whether ``reserve`` is to be called for a waiting gang."""
        service = step.job.submission.queue.service
        return (
            not self.is_exhausted
            and now_ms >= step.backoff.next_at_ms
            and now_ms >= self._paused_until_ms_by_service.get(service, 0)
        )

    def reserve(
        self,
        step: 'jobs.StepState',
        allowed: typing.Sequence['worker_mod.Worker'],
        now_ms: int,
    ) -> bool:
        """Reserve workers for a gang; return whether it has them.

        It does not if it cannot fit there, or if the reservation of workers of
        its service has expired. Then no gang reserves any of these for a
        while, so that every other step has its turn.
        """
        self._checks += 1
        service = step.job.submission.queue.service
        # Of several gangs of a service, the first one in the order decides.
        is_first = service not in self._services
        headroom = free_capacity.headroom_share(step, allowed)
        if not free_capacity.could_fit_beside_services(
            step, allowed, headroom
        ):
            if is_first:
                step.backoff.next_at_ms = now_ms + CHECK_INTERVAL_MS
            return False
        if is_first and not self._extend(service, allowed, now_ms):
            step.backoff.extend(now_ms)
            self._log_expiry(
                step=step.name,
                next_in_ms=step.backoff.next_at_ms - now_ms,
                workers=len(allowed),
            )
            return False
        self._services.add(service)
        self._gangs += 1
        self.worker_ids.update(w.worker_id for w in allowed)
        return True

    def end(self, service: str) -> None:
        """Record that a gang of a service has started."""
        self._reservation_by_service.pop(service, None)

    def _extend(
        self,
        service: str,
        allowed: typing.Sequence['worker_mod.Worker'],
        now_ms: int,
    ) -> bool:
        """Keep the workers of a service; return False if that expires."""
        free_share = sum(w.free_share for w in allowed) / len(allowed)
        reservation = self._reservation_by_service.get(service)
        if reservation is None or not reservation.is_current(now_ms):
            self._reservation_by_service[service] = _Reservation(
                now_ms, free_share
            )
            return True
        if reservation.extend(now_ms, free_share):
            return True
        del self._reservation_by_service[service]
        self._paused_until_ms_by_service[service] = now_ms + PAUSE_MS
        return False

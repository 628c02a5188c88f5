"""Decides which waiting tasks start next and where.

Groups of steps with the same need are examined in the order of their first
steps (see ``start_order``). Gangs that do not fit yet reserve the workers
they may use: steps later in the order are not placed there, except those of
the most urgent rank.

A plan leaves no step waiting that fits, whatever stands before it. It looks
only at groups of which a task fits on some worker, so its time depends on
these and on what it places, not on how many steps wait.
"""

import heapq
import typing

from carawaymast_core.cell import choosing
from carawaymast_core.cell import cursor as cursor_mod
from carawaymast_core.cell import eligibility
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import gang_search
from carawaymast_core.cell import largest_free
from carawaymast_core.cell import needs
from carawaymast_core.cell import reservations as reservations_mod
from carawaymast_core.cell import waiting as waiting_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['PlanClock', 'ReservationCallback', 'plan']

ReservationCallback = typing.Callable[
    ['jobs.StepState', typing.Sequence['worker_mod.Worker']], None
]

# Limits the duration of a plan; the next one follows once its starts are
# stored.
MAX_PLACED_STEPS_PER_PLAN = 120
# A search in vain takes about as long as a look at this many workers.
LOOKS_PER_MISS = 32


class PlanClock(typing.NamedTuple):
    """The time of a plan, see ``cell.Cell``."""

    now_ms: int
    wall_ms: int


def plan(
    waiting: waiting_mod.WaitingSteps,
    fleet: fleet_mod.Fleet,
    reservations: reservations_mod.Reservations,
    clock: PlanClock,
    place: typing.Callable[[choosing.Placement], None],
    on_reservation: ReservationCallback = lambda step, workers: None,
) -> None:
    """Call ``place`` for each task that should start now, in order.

    ``place`` must update the worker's free capacity before it returns: the
    next choice reads it. It must not change ``waiting``. ``on_reservation`` is
    called with each gang that waits and with the workers that it reserves.
    """
    waiting.sort_for(clock.wall_ms)
    current = _Plan(
        waiting, fleet, reservations, clock.now_ms, place, on_reservation
    )
    current.run()


class _Plan:
    """The state of one plan."""

    def __init__(
        self,
        waiting: waiting_mod.WaitingSteps,
        fleet: fleet_mod.Fleet,
        reservations: reservations_mod.Reservations,
        now_ms: int,
        place: typing.Callable[[choosing.Placement], None],
        on_reservation: ReservationCallback,
    ):
        self._waiting = waiting
        self._fleet = fleet
        self._reservations = reservations
        self._now_ms = now_ms
        self._place = place
        self._on_reservation = on_reservation
        self._largest_by_kind: dict[needs.Kind, largest_free.LargestFree] = {}
        self._gangs = gang_search.GangSearch(fleet, now_ms)
        self._placed_steps = 0
        self._requests = 0
        self._queue: list[cursor_mod.Entry] = []
        reservations.begin_plan()

    def run(self) -> None:
        """Examine the steps that may fit, in order."""
        self._queue = [
            cursor_mod.Entry(group.positions[0], group, None)
            for group in self._fitting_groups()
        ]
        self._queue += [
            cursor_mod.Entry(cursor.position, cursor.group, cursor)
            for cursor in gang_search.cursors(
                self._waiting, self._fleet, self._largest
            )
        ]
        heapq.heapify(self._queue)
        while self._queue and not self._is_over:
            entry = heapq.heappop(self._queue)
            cursor = entry.cursor or cursor_mod.Cursor(entry.group)
            if self._examine_next(cursor):
                heapq.heappush(
                    self._queue,
                    cursor_mod.Entry(cursor.position, cursor.group, cursor),
                )
        for group in self._gangs.take_postponed():
            cursor = cursor_mod.Cursor(group)
            while not self._gangs.is_exhausted and not self._is_over:
                if not self._examine_next(cursor) or cursor.is_full:
                    break

    @property
    def _is_over(self) -> bool:
        return self._placed_steps >= MAX_PLACED_STEPS_PER_PLAN

    def _fitting_groups(self) -> typing.Iterator[waiting_mod.Group]:
        """Yield the groups of which a task fits, except gangs."""
        for kind, index in self._waiting.index_by_kind.items():
            yield from index.fitting(self._largest(kind))

    def _keep_fitting(self, kind: needs.Kind) -> None:
        """Drop the groups of a kind that no longer fit from the queue."""
        has = self._largest(kind).has
        self._queue = [
            entry
            for entry in self._queue
            if entry.group.need.kind != kind
            or entry.group.need.gang_count
            or has(entry.group.need.cpu_millis, entry.group.need.memory_mb)
        ]
        heapq.heapify(self._queue)

    def _examine_next(self, cursor: cursor_mod.Cursor) -> bool:
        """Examine the next step of a group; return whether one is left."""
        step = self._waiting.step_at(cursor.position)
        advice = step.advice
        if advice is None or advice.has_tickets(self._now_ms):
            examine = (
                self._examine_gang
                if step.spec.is_gang
                else self._examine_single
            )
            if not examine(step, cursor):
                return False
        cursor.advance()
        return cursor.position is not None

    def _examine_single(
        self, step: 'jobs.StepState', cursor: cursor_mod.Cursor
    ) -> bool:
        """Place the tasks of a step that fit.

        Return whether others of its group may fit, too.
        """
        need = cursor.group.need
        if not self._largest(need.kind).has(need.cpu_millis, need.memory_mb):
            return False
        may_fit = cursor.workers is None or eligibility.may_use_any(
            step, cursor.workers, self._now_ms
        )
        if may_fit and self._place_tasks(step):
            return True
        is_individual = need.is_individual or eligibility.has_suspects(step)
        if may_fit:
            self._record_miss(step, cursor)
        return is_individual

    def _record_miss(
        self, step: 'jobs.StepState', cursor: cursor_mod.Cursor
    ) -> None:
        """Update what a search in vain shows to be out of date.

        That takes a look at all workers and groups, and is done after as many
        misses as take as long.
        """
        kind = cursor.group.need.kind
        largest = self._largest(kind)
        largest.misses += 1
        cursor.misses += 1
        workers_total = len(self._fleet.workers(kind.service, kind.label))
        looks = max(workers_total, len(self._queue))
        if largest.misses * LOOKS_PER_MISS >= looks:
            del self._largest_by_kind[kind]
            self._keep_fitting(kind)
        if cursor.misses * LOOKS_PER_MISS >= workers_total:
            cursor.misses = 0
            cursor.workers = eligibility.workers_with_capacity(
                step, self._fleet, self._excluded_ids(step)
            )

    def _examine_gang(
        self, step: 'jobs.StepState', cursor: cursor_mod.Cursor
    ) -> bool:
        """Place the tasks of a gang, or reserve workers for it.

        Return whether others of its group are to be examined.
        """
        if not cursor.is_full:
            if self._gangs.is_exhausted:
                # A reservation now would keep the gang itself from workers.
                self._gangs.postpone(cursor.group)
                return False
            if self._place_gang(step, cursor):
                return True
        self._requests += 1
        if self._reservations.may_reserve(step, self._now_ms):
            self._reserve(step)
        return not cursor.is_full or (
            self._requests < gang_search.MAX_RESERVATION_REQUESTS
            and not self._reservations.is_exhausted
        )

    def _place_gang(
        self, step: 'jobs.StepState', cursor: cursor_mod.Cursor
    ) -> bool:
        group = cursor.group
        if not self._largest(group.need.kind).has_members(group.need):
            cursor.is_full = True
            return False
        excluded_ids = self._excluded_ids(step)
        if self._gangs.may_fit(step, group, cursor.workers, excluded_ids):
            if self._place_tasks(step):
                step.backoff = reservations_mod.Backoff()
                self._reservations.end(step.job.submission.queue.service)
                return True
        self._record_miss(step, cursor)
        cursor.is_full = (
            not group.need.is_individual
            and not eligibility.has_suspects(step)
            and len(step.waiting()) == len(step.tasks)
        )
        return False

    def _place_tasks(self, step: 'jobs.StepState') -> bool:
        """Place the tasks of a step that fit; return whether all did."""
        is_placed = False
        # Tasks that should share a rack are placed in one rack at a time.
        while step.waiting():
            placements = choosing.choose(
                step, self._fleet, self._now_ms, self._excluded_ids(step)
            )
            if not placements:
                break
            for placement in placements:
                self._place(placement)
                self._fleet.update(placement.worker)
            is_placed = True
        self._placed_steps += is_placed
        return is_placed and not step.waiting()

    def _reserve(self, step: 'jobs.StepState') -> None:
        if len(step.waiting()) < len(step.tasks):
            # Members of its previous run are still being stopped.
            return
        allowed = eligibility.allowed_workers(
            step, self._fleet, self._now_ms, self._excluded_ids(step)
        )
        if self._reservations.reserve(step, allowed, self._now_ms):
            self._on_reservation(step, allowed)

    def _excluded_ids(self, step: 'jobs.StepState') -> typing.Container[str]:
        return self._reserved_ids(step.job.submission.queue.rank == 0)

    def _reserved_ids(self, is_urgent: bool) -> typing.Container[str]:
        return frozenset() if is_urgent else self._reservations.worker_ids

    def _largest(self, kind: needs.Kind) -> largest_free.LargestFree:
        """Return the largest free amounts, of now or from an earlier time."""
        largest = self._largest_by_kind.get(kind)
        if largest is None:
            largest = self._largest_by_kind[kind] = largest_free.LargestFree(
                kind,
                self._fleet.workers(kind.service, kind.label),
                self._now_ms,
                self._reserved_ids(kind.is_urgent),
            )
        return largest

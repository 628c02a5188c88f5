"""Which waiting tasks start next and where: the policy under load.

Pure functions over the state of a cell. Steps are ordered by how soon they
must start to end within their objective, more urgent ranks first; large gangs
that do not fit yet hold the workers they may use against less urgent work.
"""

import typing

from carawaymast_core.cell import choosing
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_capacity

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['ReservationCallback', 'sort_steps', 'plan']

ReservationCallback = typing.Callable[
    ['jobs.StepState', typing.Sequence['worker_mod.Worker']], None
]

# Gangs that wait for room at a time while others may not fill it: two of the
# users' gangs need about a fifth of the fleet.
MAX_RESERVING_GANGS = 2
# Each rank below the most urgent is ordered as if it had this much more time.
RANK_PENALTY_MS = 1_500
# A job that cannot meet its objective any more is ordered behind those that
# can, but moves up as it ages, so that none waits for ever. What is of use for
# a shorter time than this, though late, is ordered by the end of its use.
LATE_PENALTY_MS = 20_000
# A late gang moves up sooner: rooms that others leave are of no use to it, so
# that it never starts before it may hold workers.
LATE_GANG_PENALTY_MS = 8_000
# Steps looked at in one plan: bounds the time of a plan under a flood.
MAX_STEPS_PER_PLAN = 120
# Steps in a row that found no room, after which the fleet counts as full.
MAX_MISSES_PER_PLAN = 40


def sort_steps(
    steps: typing.Iterable['jobs.StepState'], wall_ms: int
) -> list['jobs.StepState']:
    """Return steps in the order in which they shall start."""
    return sorted(steps, key=lambda step: _start_by_ms(step, wall_ms))


def _start_by_ms(step: 'jobs.StepState', wall_ms: int) -> int:
    """Return the latest useful start, later for ranks that may wait."""
    start_by_ms = step.latest_start_ms
    if start_by_ms < wall_ms:
        is_gang = step.spec.is_gang
        start_by_ms += LATE_GANG_PENALTY_MS if is_gang else LATE_PENALTY_MS
        if wall_ms < step.latest_useful_start_ms:
            start_by_ms = min(start_by_ms, step.latest_useful_start_ms)
    return start_by_ms + step.job.submission.queue.rank * RANK_PENALTY_MS


def plan(
    ordered: typing.Iterable['jobs.StepState'],
    fleet: fleet_mod.Fleet,
    now_ms: int,
    place: typing.Callable[[choosing.Placement], None],
    on_reservation: ReservationCallback = lambda step, workers: None,
) -> None:
    """Call ``place`` for each task that shall start now, in order.

    ``place`` must count the room at once, since the next choice reads it.
    ``note_holding`` is told of each gang that waits and holds workers.
    """
    reserved_ids: set[str] = set()
    reserving_gangs = 0
    misses = 0
    # Steps that wait for tickets take no turn: a fleet of 176 workers is
    # asked about for 1.8 s, and at 70 steps/s 120 of them wait for that.
    startable = (s for s in ordered if _has_tickets(s, now_ms))
    for position, step in enumerate(startable):
        if position >= MAX_STEPS_PER_PLAN or misses >= MAX_MISSES_PER_PLAN:
            return
        is_urgent = step.job.submission.queue.rank == 0
        excluded_ids = frozenset() if is_urgent else reserved_ids
        placements = choosing.choose(step, fleet, now_ms, excluded_ids)
        for placement in placements:
            place(placement)
            fleet.update(placement.worker)
        if placements:
            continue
        misses += 1
        is_whole = len(step.waiting()) == len(step.tasks)
        if (
            step.spec.is_gang
            and is_whole
            and reserving_gangs < MAX_RESERVING_GANGS
        ):
            allowed = choosing.allowed_workers(
                step, fleet, now_ms, excluded_ids
            )
            if free_capacity.could_fit(
                step, allowed, free_capacity.headroom_share(step, allowed)
            ):
                reserving_gangs += 1
                reserved_ids.update(w.worker_id for w in allowed)
                on_reservation(step, allowed)


def _has_tickets(step: 'jobs.StepState', now_ms: int) -> bool:
    return step.advice is None or step.advice.has_tickets(now_ms)

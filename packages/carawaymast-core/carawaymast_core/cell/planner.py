"""Which waiting tasks start next and where: the policy under load.

Pure functions over the state of a cell. Steps are ordered by how soon they
must start to end within their objective, more urgent ranks first; large gangs
that do not fit yet hold the workers they may use against less urgent work.
"""

import typing

from carawaymast_core.cell import pace
from carawaymast_core.cell import rooms

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'Placement',
    'choose',
    'order',
    'plan',
    'urgent_preference',
]

# Gangs that wait for room at a time while others may not fill it: two of the
# users' gangs need about a fifth of the fleet.
MAX_HOLDING_GANGS = 2
# Each rank below the most urgent is ordered as if it had this much more time.
RANK_PENALTY_MS = 1_500
# A job that cannot meet its objective any more is ordered behind those that
# can, but moves up as it ages, so that none waits for ever.
LATE_PENALTY_MS = 20_000
# A late gang moves up sooner: rooms that others leave are of no use to it, so
# that it never starts before it may hold workers.
LATE_GANG_PENALTY_MS = 8_000
# Steps looked at in one plan: bounds the time of a plan under a flood.
MAX_STEPS_A_PLAN = 120
# Steps in a row that found no room, after which the fleet counts as full.
MAX_MISSES_A_PLAN = 40
# Which workers suit urgent and other tasks, the best first.
URGENT_TIERS = (
    pace.Tier.UNKNOWN,
    pace.Tier.FAST,
    pace.Tier.TYPICAL,
    pace.Tier.SLOW,
    pace.Tier.FAULTY,
)
PATIENT_TIERS = (
    pace.Tier.UNKNOWN,
    pace.Tier.SLOW,
    pace.Tier.TYPICAL,
    pace.Tier.FAST,
    pace.Tier.FAULTY,
)


class Placement(typing.NamedTuple):
    """A task and the worker it shall run on."""

    task: 'jobs.Task'
    worker: 'worker_mod.Worker'
    ticket: str


Holding = typing.Callable[
    ['jobs.StepState', typing.Sequence['worker_mod.Worker']], None
]


def order(
    steps: typing.Iterable['jobs.StepState'], wall_ms: int
) -> list['jobs.StepState']:
    """Return steps in the order in which they shall start."""
    return sorted(steps, key=lambda step: _start_by_ms(step, wall_ms))


def _start_by_ms(step: 'jobs.StepState', wall_ms: int) -> int:
    """Return the latest useful start, later for ranks that may wait."""
    penalty_ms = step.job.submission.queue.rank * RANK_PENALTY_MS
    if step.latest_start_ms < wall_ms:
        is_gang = step.spec.is_gang
        penalty_ms += LATE_GANG_PENALTY_MS if is_gang else LATE_PENALTY_MS
    return step.latest_start_ms + penalty_ms


def plan(
    ordered: typing.Iterable['jobs.StepState'],
    workers: typing.Sequence['worker_mod.Worker'],
    now_ms: int,
    place: typing.Callable[[Placement], None],
    note_holding: Holding = lambda step, workers: None,
) -> None:
    """Call ``place`` for each task that shall start now, in order.

    ``place`` must count the room at once, since the next choice reads it.
    ``note_holding`` is told of each gang that waits and holds workers.
    """
    held: set[tuple[str, int]] = set()
    holding = 0
    misses = 0
    # Steps that wait for tickets take no turn: a fleet of 176 workers is
    # asked about for 1.8 s, and at 70 steps/s 120 of them wait for that.
    startable = (s for s in ordered if _has_tickets(s, now_ms))
    for position, step in enumerate(startable):
        if position >= MAX_STEPS_A_PLAN or misses >= MAX_MISSES_A_PLAN:
            return
        rank = step.job.submission.queue.rank
        allowed = [
            w
            for w in allowed_workers(step, workers, now_ms)
            if rank == 0 or w.key not in held
        ]
        placements = choose(step, allowed, now_ms)
        for placement in placements:
            place(placement)
        if placements:
            continue
        misses += 1
        is_whole = len(step.waiting()) == len(step.tasks)
        if step.spec.is_gang and is_whole and holding < MAX_HOLDING_GANGS:
            if rooms.could_fit(step, allowed, rooms.kept_share(step, allowed)):
                holding += 1
                held.update(w.key for w in allowed)
                note_holding(step, allowed)


def _has_tickets(step: 'jobs.StepState', now_ms: int) -> bool:
    return step.advice is None or step.advice.has_tickets(now_ms)


def allowed_workers(
    step: 'jobs.StepState',
    workers: typing.Iterable['worker_mod.Worker'],
    now_ms: int,
) -> list['worker_mod.Worker']:
    """Return the workers that admit a step and for which it has tickets."""
    advice = step.advice
    return [
        w
        for w in workers
        if admits(step, w)
        and (advice is None or advice.ticket(w.worker_id, now_ms))
    ]


def admits(step: 'jobs.StepState', worker: 'worker_mod.Worker') -> bool:
    """Tell whether a worker is of the service and kind that a step needs."""
    entry = worker.entry
    label = step.spec.required_label
    return entry.service == step.job.submission.queue.service and (
        not label or label in entry.labels
    )


def choose(
    step: 'jobs.StepState',
    workers: typing.Sequence['worker_mod.Worker'],
    now_ms: int,
) -> list[Placement]:
    """Return placements for the waiting tasks of a step.

    All of them for a gang, or none; otherwise as many as fit.
    """
    tasks = step.waiting()
    if step.spec.is_gang and len(tasks) < len(step.tasks):
        # Members of the run before are still being stopped.
        return []
    kept = rooms.kept_share(step, workers)
    for group in _groups(step, workers):
        chosen = _fill(step, tasks, group, kept, now_ms)
        if len(chosen) == len(tasks) or not step.spec.is_gang and chosen:
            return chosen
    return []


def _groups(step, workers) -> list[list['worker_mod.Worker']]:
    """Return sets of workers to try in turn: near the data, one rack, all."""
    wanted_rack = step.spec.data_rack
    if wanted_rack:
        near = [w for w in workers if w.rack == wanted_rack]
        return [near, list(workers)]
    if not step.spec.is_rack_local:
        return [list(workers)]
    by_rack: dict[str, list[worker_mod.Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    return [*by_rack.values(), list(workers)]


def _fill(
    step, tasks, workers, kept_share: float, now_ms: int
) -> list[Placement]:
    """Fill workers with tasks, the tightest first."""
    size = step.spec.size
    options = []
    for worker in workers:
        count = rooms.fitting(size, worker, worker.free, kept_share)
        limit = step.spec.max_per_worker
        if limit:
            count = min(count, limit - _here(step, worker))
        if count > 0:
            options.append((_preference(step, worker), count, worker))
    options.sort(key=lambda row: row[0])
    chosen = []
    waiting = iter(tasks)
    for _, count, worker in options:
        ticket = ''
        if step.advice is not None:
            ticket = step.advice.ticket(worker.worker_id, now_ms) or ''
        for _ in range(count):
            task = next(waiting, None)
            if task is None:
                return chosen
            chosen.append(Placement(task, worker, ticket))
    return chosen


def urgent_preference(worker: 'worker_mod.Worker') -> tuple[bool, int]:
    """Return a key that is smaller for workers to ask about for urgent work.

    Fast ones, if they have any room worth asking about.
    """
    is_full = rooms.free_share(worker) < rooms.URGENT_HEADROOM_SHARE
    return is_full, URGENT_TIERS.index(worker.tier)


def _preference(step, worker: 'worker_mod.Worker') -> tuple:
    """Return a key that is smaller for workers that suit a step better.

    Urgent tasks, which have little time to lose, go to fast workers, the
    others to slow ones, and all to those whose speed is to be found out. Of
    equal workers the fullest is best, since room in one piece serves large
    tasks.
    """
    is_urgent = step.job.submission.queue.rank == 0
    tiers = URGENT_TIERS if is_urgent else PATIENT_TIERS
    tier = tiers.index(worker.tier)
    return tier, rooms.free_share(worker), worker.worker_id


def _here(step, worker) -> int:
    """Count the tasks of a step's occurrence that may be at a worker."""
    return sum(1 for t in step.tasks if t.name in worker.run_by_task)

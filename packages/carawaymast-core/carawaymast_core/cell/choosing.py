"""Chooses workers for the waiting tasks of one step, the best first.

Pure functions over a step, its tickets and the free capacity of the fleet.
"""

import typing

from carawaymast_core.cell import eligibility
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import isolation
from carawaymast_core.cell import throttling
from carawaymast_core.cell import tiers

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'Option',
    'Placement',
    'choose',
    'first_option',
]


class Placement(typing.NamedTuple):
    """A task and the worker on which to run it."""

    task: 'jobs.Task'
    worker: 'worker_mod.Worker'
    ticket: str


class Option(typing.NamedTuple):
    """A worker with free capacity for ``count`` tasks of a step."""

    worker: 'worker_mod.Worker'
    count: int
    ticket: str


def choose(
    step: 'jobs.StepState',
    fleet: fleet_mod.Fleet,
    now_ms: int,
    excluded_ids: typing.Container[str] = frozenset(),
) -> list[Placement]:
    """Return placements for the waiting tasks of a step.

    All of them or none for a gang, otherwise as many as fit.
    """
    tasks = step.waiting()
    if step.spec.is_gang and len(tasks) < len(step.tasks):
        # Members of the previous run are still being stopped.
        return []
    headroom = _usual_headroom_share(step)
    found = _options(step, fleet, now_ms, excluded_ids, headroom)
    chosen = _choose(step, tasks, found, now_ms)
    if chosen or not headroom:
        return chosen
    allowed = eligibility.iter_allowed(step, fleet, now_ms, excluded_ids)
    if free_capacity.headroom_share(step, allowed):
        return []
    found = _options(step, fleet, now_ms, excluded_ids, 0.0)
    return _choose(step, tasks, found, now_ms)


def first_option(
    step: 'jobs.StepState',
    fleet: fleet_mod.Fleet,
    now_ms: int,
    excluded_ids: typing.Container[str],
) -> 'Option | None':
    """Return the best worker for one more task of a step, or None."""
    headroom = _usual_headroom_share(step)
    found = _options(step, fleet, now_ms, excluded_ids, headroom)
    return next(found, None)


def _usual_headroom_share(step: 'jobs.StepState') -> float:
    """Return the share of a worker that a step leaves free if it can."""
    is_urgent = step.job.submission.queue.rank == 0
    return 0.0 if is_urgent else free_capacity.URGENT_HEADROOM_SHARE


def _options(
    step: 'jobs.StepState',
    fleet: fleet_mod.Fleet,
    now_ms: int,
    excluded_ids: typing.Container[str],
    headroom_share: float,
) -> typing.Iterator[Option]:
    """Yield workers with free capacity for tasks of a step, the best first.

    Urgent tasks, which have little time to spare, go to fast workers, the
    others to those of unknown speed and to slow ones.
    """
    if step.spec.is_filler:
        allowed = eligibility.allowed_workers(
            step, fleet, now_ms, excluded_ids
        )
        yield from _filler_options(step, allowed, now_ms)
        return
    queue = step.job.submission.queue
    size = step.spec.allocated_size
    limit = step.spec.max_per_worker
    for worker in fleet.with_free_capacity(
        queue.service, size, tiers.preferred(step), headroom_share
    ):
        ticket = ''
        if step.advice is not None:
            ticket = step.advice.ticket(worker.worker_id, now_ms)
            if ticket is None:
                continue
        if worker.worker_id in excluded_ids or not eligibility.is_eligible(
            step, worker
        ):
            continue
        capacity = worker.entry.capacity
        count = free_capacity.fit_count(
            size, capacity, worker.free, headroom_share
        )
        if limit:
            count = min(count, limit - eligibility.count_at(step, worker))
        if count > 0:
            yield Option(worker, count, ticket)


def _filler_options(
    step: 'jobs.StepState',
    allowed: typing.Iterable['worker_mod.Worker'],
    now_ms: int,
) -> typing.Iterator[Option]:
    """Yield workers for fillers, by least pressure, then most free capacity.

    All fillers of a worker together may request no more processor time than
    it has.
    """
    rows = []
    for worker in allowed:
        if now_ms < worker.no_fillers_until_ms or worker.isolated_by_name:
            continue
        fillers_millis = throttling.filler_cpu_millis(worker)
        capacity = worker.entry.capacity
        count = free_capacity.fit_count(
            step.spec.allocated_size, capacity, worker.free, 0.0
        )
        millis = max(1, step.spec.size.cpu_millis)
        count = min(count, (capacity.cpu_millis - fillers_millis) // millis)
        if step.spec.max_per_worker:
            count = min(
                count,
                step.spec.max_per_worker - eligibility.count_at(step, worker),
            )
        if count <= 0:
            continue
        left = worker.free.cpu_millis - fillers_millis
        pressure = throttling.pressure_at(worker)
        rows.append((pressure, -left, worker.worker_id, worker, count))
    for *_, worker, count in sorted(rows, key=lambda row: row[:3]):
        ticket = ''
        if step.advice is not None:
            ticket = step.advice.ticket(worker.worker_id, now_ms) or ''
        yield Option(worker, count, ticket)


def _choose(
    step: 'jobs.StepState',
    tasks: list['jobs.Task'],
    options: typing.Iterator[Option],
    now_ms: int,
) -> list[Placement]:
    """Place tasks in the first group of workers that is sufficient.

    That is one with capacity for all tasks or, unless they are a gang, for
    any of them.
    """
    for group in _groups(step, options):
        chosen = _fill(tasks, group, now_ms)
        if len(chosen) == len(tasks) or not step.spec.is_gang and chosen:
            return chosen
    return []


def _groups(
    step: 'jobs.StepState', options: typing.Iterator[Option]
) -> typing.Iterator[typing.Iterable[Option]]:
    """Yield groups of workers to try: near the data, by rack, then all."""
    wanted_rack = step.spec.data_rack
    if not wanted_rack and not step.spec.is_rack_local:
        yield options
        return
    found = list(options)
    if wanted_rack:
        yield [o for o in found if o.worker.rack == wanted_rack]
    else:
        by_rack: dict[str, list[Option]] = {}
        for option in found:
            by_rack.setdefault(option.worker.rack, []).append(option)
        yield from by_rack.values()
    yield found


def _fill(
    tasks: list['jobs.Task'], options: typing.Iterable[Option], now_ms: int
) -> list[Placement]:
    """Place tasks on workers in the order given, suspects before others."""
    chosen = []
    suspects = [task for task in tasks if isolation.is_suspect(task)]
    if suspects:
        tasks = [task for task in tasks if not isolation.is_suspect(task)]
        pairs, options = isolation.place_suspects(
            suspects, list(options), now_ms
        )
        chosen = [
            Placement(task, option.worker, option.ticket)
            for task, option in pairs
        ]
    waiting = iter(tasks)
    for worker, count, ticket in options:
        for _ in range(count):
            task = next(waiting, None)
            if task is None:
                return chosen
            chosen.append(Placement(task, worker, ticket))
    return chosen

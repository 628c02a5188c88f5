"""Logs steps that wait although workers of their kind have free capacity.

The event says what keeps the step from each of these workers. It tells apart
a worker that is not listed, that was never adopted, that does not answer or is
avoided for a while, and a job for which the cell has no worker at all.
"""

import collections
import itertools
import typing

from carawaymast_core.cell import eligibility
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import largest_free

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import needs
    from carawaymast_core.cell import waiting as waiting_mod
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['log_idle_waits']

# The platform calls a job lost that has waited for so long beside free
# capacity.
MIN_WAIT_MS = 3_000
# Between two looks, and between two log events on the same group of steps.
CHECK_INTERVAL_MS = 2_000
LOG_INTERVAL_MS = 10_000
# Each takes a look at all workers of its kind.
MAX_GROUPS_PER_CHECK = 3
FULL = 'full'


def log_idle_waits(cell: 'cell_mod.Cell', now_ms: int) -> None:
    """Log the steps that a plan left waiting beside free capacity.

    Gangs and fillers are left out: they need more than free capacity for one
    task.
    """
    waiting = cell.ready_by_name
    if now_ms - waiting.checked_at_ms < CHECK_INTERVAL_MS:
        return
    waiting.checked_at_ms = now_ms
    due = (
        (group, workers)
        for group, workers in _fitting_groups(cell, now_ms)
        if now_ms - group.checked_at_ms >= LOG_INTERVAL_MS
        and _waited_ms(_first_step(cell, group), now_ms) >= MIN_WAIT_MS
    )
    for group, workers in itertools.islice(due, MAX_GROUPS_PER_CHECK):
        group.checked_at_ms = now_ms
        _log_group(cell, group, workers, now_ms)


def _fitting_groups(
    cell: 'cell_mod.Cell', now_ms: int
) -> typing.Iterator[
    tuple['waiting_mod.Group', typing.Sequence['worker_mod.Worker']]
]:
    """Yield groups that fit on a worker, usable or not, or that have none.

    Each comes with all known workers of its kind.
    """
    for kind, index in cell.ready_by_name.index_by_kind.items():
        if kind.is_filler:
            continue
        workers = _workers_of_kind(cell, kind)
        largest = largest_free.LargestFree(kind, workers, now_ms)
        groups = index.fitting(largest) if workers else index
        for group in groups:
            yield group, workers


def _workers_of_kind(
    cell: 'cell_mod.Cell', kind: 'needs.Kind'
) -> list['worker_mod.Worker']:
    return [
        worker
        for worker in cell.worker_by_key.values()
        if worker.entry.service == kind.service
        and (not kind.label or kind.label in worker.entry.labels)
    ]


def _first_step(
    cell: 'cell_mod.Cell', group: 'waiting_mod.Group'
) -> 'jobs.StepState':
    return cell.ready_by_name.step_at(group.positions[0])


def _waited_ms(step: 'jobs.StepState', now_ms: int) -> int:
    """Return how long a task of a step has waited for a start."""
    since_ms = min(
        (task.waiting_since_ms for task in step.waiting()), default=now_ms
    )
    return now_ms - max(step.ready_at_ms, since_ms)


def _log_group(
    cell: 'cell_mod.Cell',
    group: 'waiting_mod.Group',
    workers: typing.Sequence['worker_mod.Worker'],
    now_ms: int,
) -> None:
    step = _first_step(cell, group)
    headroom = free_capacity.headroom_share(step, workers)
    counts = collections.Counter(
        _reason(cell, step, worker, headroom, now_ms) for worker in workers
    )
    if workers and set(counts) == {FULL}:
        return
    cell.log_event(
        'step_waits',
        step=step.name,
        steps=len(group.positions),
        size=list(step.spec.size),
        label=step.spec.required_label,
        waited_ms=_waited_ms(step, now_ms),
        workers=dict(counts),
    )


def _reason(
    cell: 'cell_mod.Cell',
    step: 'jobs.StepState',
    worker: 'worker_mod.Worker',
    headroom: float,
    now_ms: int,
) -> str:
    """Return what keeps a step from a worker; 'none' if nothing does."""
    size = step.spec.allocated_size
    capacity = worker.entry.capacity
    limit = step.spec.max_per_worker
    is_urgent = step.job.submission.queue.rank == 0
    is_reserved = worker.worker_id in cell.reservations.worker_ids
    advice = step.advice
    reasons = (
        (
            not free_capacity.fit_count(size, capacity, worker.free, headroom),
            FULL,
        ),
        (not worker.is_listed, 'not listed'),
        (worker.entry.is_draining, 'draining'),
        (not worker.is_adopted, 'not adopted'),
        (worker.is_unresponsive, 'silent'),
        (now_ms < worker.suspect_until_ms, 'suspected'),
        (bool(worker.isolated_by_name), 'isolated'),
        (is_reserved and not is_urgent, 'reserved'),
        (
            limit > 0 and eligibility.count_at(step, worker) >= limit,
            'spread',
        ),
        (
            advice is not None
            and advice.ticket(worker.worker_id, now_ms) is None,
            'no ticket',
        ),
    )
    return next((reason for holds, reason in reasons if holds), 'none')

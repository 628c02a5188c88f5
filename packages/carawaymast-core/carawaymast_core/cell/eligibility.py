"""Which workers a step may use, by its service, label, tickets and spread."""

import typing

from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import isolation
from carawaymast_core.cell import tiers

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'allowed_workers',
    'count_at',
    'has_suspects',
    'is_eligible',
    'is_spread_exceeded',
    'iter_allowed',
    'may_use_any',
    'workers_with_capacity',
]


def is_eligible(step: 'jobs.StepState', worker: 'worker_mod.Worker') -> bool:
    """Return whether a worker has the service and label that a step needs."""
    entry = worker.entry
    label = step.spec.required_label
    return entry.service == step.job.submission.queue.service and (
        not label or label in entry.labels
    )


def is_spread_exceeded(
    step: 'jobs.StepState', worker: 'worker_mod.Worker'
) -> bool:
    """Return whether a worker has more tasks of a step than it may have."""
    limit = step.spec.max_per_worker
    return limit > 0 and count_at(step, worker) > limit


def has_suspects(step: 'jobs.StepState') -> bool:
    """Return whether a worker has crashed under any waiting task."""
    return any(map(isolation.is_suspect, step.waiting()))


def workers_with_capacity(
    step: 'jobs.StepState',
    fleet: fleet_mod.Fleet,
    excluded_ids: typing.Container[str],
) -> list['worker_mod.Worker']:
    """Return the eligible workers with free capacity for a task of a step.

    Also those for which it lacks a ticket, or that run as many of its tasks
    as they may.
    """
    service = step.job.submission.queue.service
    size = step.spec.allocated_size
    return [
        w
        for w in fleet.with_free_capacity(service, size, tiers.preferred(step))
        if w.worker_id not in excluded_ids and is_eligible(step, w)
    ]


def may_use_any(
    step: 'jobs.StepState',
    workers: typing.Iterable['worker_mod.Worker'],
    now_ms: int,
) -> bool:
    """Return whether tickets and spread let a step use any of the workers."""
    advice, limit = step.advice, step.spec.max_per_worker
    return any(
        (advice is None or advice.ticket(w.worker_id, now_ms) is not None)
        and (not limit or count_at(step, w) < limit)
        for w in workers
    )


def allowed_workers(
    step: 'jobs.StepState',
    fleet: fleet_mod.Fleet,
    now_ms: int,
    excluded_ids: typing.Container[str] = frozenset(),
) -> list['worker_mod.Worker']:
    """Return the eligible workers, except those that lack a ticket."""
    return list(iter_allowed(step, fleet, now_ms, excluded_ids))


def iter_allowed(
    step: 'jobs.StepState',
    fleet: fleet_mod.Fleet,
    now_ms: int,
    excluded_ids: typing.Container[str],
) -> typing.Iterator['worker_mod.Worker']:
    """Yield the workers of ``allowed_workers``."""
    advice = step.advice
    if advice is None:
        service = step.job.submission.queue.service
        workers = fleet.workers(service, step.spec.required_label)
        yield from (w for w in workers if w.worker_id not in excluded_ids)
        return
    for worker_id in advice.grant_by_worker:
        worker = fleet.worker_by_id.get(worker_id)
        if (
            worker is not None
            and advice.ticket(worker_id, now_ms)
            and worker_id not in excluded_ids
            and is_eligible(step, worker)
        ):
            yield worker


def count_at(step: 'jobs.StepState', worker: 'worker_mod.Worker') -> int:
    """Count the tasks of a step that may be running on a worker."""
    return sum(1 for t in step.tasks if t.name in worker.run_by_task)

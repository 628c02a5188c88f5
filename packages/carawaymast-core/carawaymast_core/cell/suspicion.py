"""Suspends placement on workers that fail their runs or are far too slow."""

import typing

from carawaymast_core.cell import reports
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['check_overdue', 'record_end', 'run_sample']

# Consecutive failures of a worker's runs after which it is suspected.
SUSPECT_AFTER_FAILURES = 3
# A suspected worker gets no new runs for this long.
SUSPECT_MS = 4_000
# From this share of suspected workers on, none is suspected for being slow: a
# slow worker is better than none, and at the users' sites slow phases affect
# 15% of the workers.
MAX_SUSPECTED_SHARE = 0.25
# Overdue runs after which a worker is suspected. A single one may be a task
# with too short an estimate.
OVERDUE_RUNS = 2


def record_end(
    cell: 'cell_mod.Cell',
    run: worker_mod.Run,
    how: reports.EndKind,
    now_ms: int,
) -> None:
    """Record the end of a run; suspect its worker if that is warranted.

    A worker is suspected after consecutive failures, or if it is far too
    slow.
    """
    worker = run.worker
    if how is reports.EndKind.DONE:
        worker.consecutive_failures = 0
        _record_speed(cell, run, now_ms)
    elif how is reports.EndKind.FAILED:
        worker.consecutive_failures += 1
    if worker.consecutive_failures >= SUSPECT_AFTER_FAILURES:
        # One more failure makes it suspected again.
        worker.consecutive_failures = SUSPECT_AFTER_FAILURES - 1
        _suspect(cell, worker, 'failures', now_ms)


def _record_speed(cell, run: worker_mod.Run, now_ms: int) -> None:
    """Update the estimate of a worker's speed; suspect a faulty worker."""
    worker = run.worker
    sample = run_sample(run, now_ms)
    if sample is None or worker.is_gone:
        return
    cell.speeds.add_run(sample)
    worker.tier = cell.speeds.tier(worker.key)
    if worker.tier is worker_speed.Tier.FAULTY:
        _suspect_slow(cell, worker, now_ms)


def check_overdue(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """Suspect a worker on which several runs are overdue.

    The runs continue. Ends of runs alone would show too late how slow a
    worker is.
    """
    if worker.suspect_until_ms > now_ms:
        return
    samples = (run_sample(run, now_ms) for run in worker.run_by_task.values())
    overdue = sum(1 for run in samples if run and cell.speeds.is_overdue(run))
    if overdue >= OVERDUE_RUNS:
        _suspect_slow(cell, worker, now_ms)


def run_sample(
    run: worker_mod.Run, now_ms: int
) -> worker_speed.RunSample | None:
    """Return a sample of a run's duration so far.

    It is None if the duration does not depend on the worker's speed alone:
    for services, for runs without a known start, and for gangs, of which all
    members end together with the slowest.
    """
    step = run.task.step
    if run.began_at_ms is None or step.spec.is_service or step.spec.is_gang:
        return None
    return worker_speed.RunSample(
        run.worker.key,
        step.job.submission.queue.name,
        step.sibling_average,
        len(step.tasks),
        step.spec.estimate_ms,
        now_ms - run.began_at_ms,
    )


def _suspect_slow(cell, worker: worker_mod.Worker, now_ms: int) -> None:
    """Suspect a slow worker unless too many workers are suspected."""
    if _is_suspect_limit_reached(cell, now_ms):
        return
    _suspect(cell, worker, 'slow', now_ms)
    # Its speed is estimated anew afterwards.
    cell.speeds.discard(worker.key)
    worker.tier = worker_speed.Tier.UNKNOWN


def _is_suspect_limit_reached(cell, now_ms: int) -> bool:
    workers = cell.worker_by_key.values()
    suspected = sum(1 for w in workers if w.suspect_until_ms > now_ms)
    return suspected >= MAX_SUSPECTED_SHARE * len(workers)


def _suspect(cell, worker: worker_mod.Worker, why: str, now_ms: int) -> None:
    worker.suspect_until_ms = now_ms + SUSPECT_MS
    cell.log_event(
        'worker_suspected',
        worker=worker.worker_id,
        why=why,
        until_ms=worker.suspect_until_ms,
    )

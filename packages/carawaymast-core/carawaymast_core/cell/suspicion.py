"""Leaves out workers that fail what they start, or are far too slow."""

import typing

from carawaymast_core.cell import reports
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['record_end', 'check_overdue', 'run_sample']

# Failures of a worker's runs in a row after which it gets nothing for a while.
SUSPECT_AFTER_FAILURES = 3
SUSPECT_MS = 4_000
# No more of a cell's workers are left out for being slow: a slow worker is
# better than none, and the users' slow phases hit 15% of them.
MAX_SUSPECTED_SHARE = 0.25
# One overdue run may be a task that was declared too short; two are not.
OVERDUE_RUNS = 2


def record_end(
    cell: 'cell_mod.Cell',
    run: worker_mod.Run,
    how: reports.EndKind,
    now_ms: int,
) -> None:
    """Leave out a worker that fails all that it starts, or is too slow."""
    worker = run.worker
    if how is reports.EndKind.DONE:
        worker.consecutive_failures = 0
        _record_speed(cell, run, now_ms)
    elif how is reports.EndKind.FAILED:
        worker.consecutive_failures += 1
    if worker.consecutive_failures >= SUSPECT_AFTER_FAILURES:
        worker.consecutive_failures = SUSPECT_AFTER_FAILURES - 1
        _suspect(cell, worker, 'failures', now_ms)


def _record_speed(cell, run: worker_mod.Run, now_ms: int) -> None:
    """Learn a worker's speed; leave it out for a while if it is faulty."""
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
    """Leave out a worker whose tasks should have ended long ago.

    Its tasks go on; ends alone would show too late how slow it is.
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
    """Return a run's time so far, None if it says nothing of its worker.

    The members of a gang end together, as fast as the slowest of them.
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
    if _is_suspect_limit_reached(cell, now_ms):
        return
    _suspect(cell, worker, 'slow', now_ms)
    # It is judged anew after the pause.
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

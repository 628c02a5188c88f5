"""Suspends placement on workers that fail their runs or are far too slow."""

import typing

from carawaymast_core.cell import progress
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = [
    'MOVE_REASON',
    'check_overdue',
    'check_stalled',
    'record_end',
    'run_sample',
]

# Consecutive failures of a worker's runs after which it is suspected.
SUSPECT_AFTER_FAILURES = 3
# A suspected worker gets no new runs for this long; twice as long each time
# that it turns out to be still too slow, up to the maximum.
SUSPECT_MS = 4_000
MAX_SUSPECT_MS = 16_000
# From this share of suspected workers on, none is suspected for being slow: a
# slow worker is better than none, and at the users' sites slow phases affect
# 15% of the workers.
MAX_SUSPECTED_SHARE = 0.25
# Overdue runs after which a worker is suspected. A single one may be a task
# with too short an estimate.
OVERDUE_RUNS = 2
MOVE_REASON = 'its worker is far too slow'


def record_end(
    cell: 'cell_mod.Cell',
    run: run_mod.Run,
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


def _record_speed(cell, run: run_mod.Run, now_ms: int) -> None:
    """Update the estimate of a worker's speed; suspect a faulty worker."""
    worker = run.worker
    sample = run_sample(run, now_ms)
    if sample is None or worker.is_gone:
        return
    sample = sample._replace(total_ms=sample.ran_ms)
    if not cell.speeds.is_overdue(sample):
        worker.next_suspect_ms = 0
    cell.speeds.add_run(sample)
    worker.tier = cell.speeds.tier(worker.key)
    if worker.tier is worker_speed.Tier.FAULTY:
        _suspect_slow(cell, worker, 'slow', now_ms)


def check_overdue(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> list[run_mod.Run]:
    """Suspect a worker on which several runs are overdue.

    Ends of runs alone would show too late how slow a worker is. Return the
    runs that are to be stopped, so that they start elsewhere.
    """
    if worker.suspect_until_ms > now_ms:
        return []
    overdue = [
        run
        for run in worker.run_by_task.values()
        if _is_overdue(cell, run, now_ms)
    ]
    if len(overdue) < OVERDUE_RUNS:
        return []
    _suspect_slow(cell, worker, 'slow', now_ms)
    return _runs_to_move(worker, overdue, now_ms)


def check_stalled(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> list[run_mod.Run]:
    """Suspect a worker on which all progress has stopped.

    Return the runs that are to be stopped, so that they start elsewhere.
    """
    runs = worker.run_by_task.values()
    stalled = [run for run in runs if progress.is_stalled(run, now_ms)]
    if not stalled:
        return []
    if any(progress.is_progressing(run, now_ms) for run in runs):
        return []
    if worker.suspect_until_ms <= now_ms:
        _suspect_slow(cell, worker, 'stalled', now_ms)
    return _runs_to_move(worker, stalled, now_ms)


def _is_overdue(cell, run: run_mod.Run, now_ms: int) -> bool:
    sample = run_sample(run, now_ms)
    return sample is not None and cell.speeds.is_overdue(sample)


def _runs_to_move(
    worker: worker_mod.Worker,
    runs: typing.Iterable[run_mod.Run],
    now_ms: int,
) -> list[run_mod.Run]:
    """Return the most urgent runs if their worker is suspected.

    The others, which have time to spare, go on, and steps that allow copies
    get these.
    """
    if worker.suspect_until_ms <= now_ms:
        # Too many others are: the runs might start here again.
        return []
    return [
        run
        for run in runs
        if run.task.step.job.submission.queue.rank == 0
        and not run.task.step.spec.is_speculative
    ]


def run_sample(run: run_mod.Run, now_ms: int) -> worker_speed.RunSample | None:
    """Return a sample of a run's duration, as far as its progress shows it.

    It is None if the duration does not depend on the worker's speed alone:
    for services, for runs without a known start, and for gangs, of which all
    members end together with the slowest.
    """
    step = run.task.step
    total_ms = progress.expected_total_ms(run, now_ms)
    if total_ms is None or step.spec.is_service or step.spec.is_gang:
        return None
    return worker_speed.RunSample(
        run.worker.key,
        step.job.submission.queue.name,
        step.sibling_average,
        len(step.tasks),
        step.spec.estimate_ms,
        now_ms - run.began_at_ms,
        total_ms,
    )


def _suspect_slow(
    cell, worker: worker_mod.Worker, why: str, now_ms: int
) -> None:
    """Suspect a slow worker unless too many workers are suspected."""
    if _is_suspect_limit_reached(cell, now_ms):
        return
    _suspect(cell, worker, why, now_ms, worker.next_suspect_ms or SUSPECT_MS)
    # Twice as long as this time.
    suspected_ms = worker.suspect_until_ms - now_ms
    worker.next_suspect_ms = min(2 * suspected_ms, MAX_SUSPECT_MS)
    # Its speed is estimated anew afterwards.
    cell.speeds.discard(worker.key)
    worker.tier = worker_speed.Tier.UNKNOWN


def _is_suspect_limit_reached(cell, now_ms: int) -> bool:
    workers = cell.worker_by_key.values()
    suspected = sum(1 for w in workers if w.suspect_until_ms > now_ms)
    return suspected >= MAX_SUSPECTED_SHARE * len(workers)


def _suspect(
    cell,
    worker: worker_mod.Worker,
    why: str,
    now_ms: int,
    suspect_ms: int = SUSPECT_MS,
) -> None:
    worker.suspect_until_ms = now_ms + suspect_ms
    cell.log_event(
        'worker_suspected',
        worker=worker.worker_id,
        why=why,
        until_ms=worker.suspect_until_ms,
    )

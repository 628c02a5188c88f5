"""Restores a cell's state at a new leader from the stored records."""

import typing

from carawaymast_core import errors
from carawaymast_core import resources
from carawaymast_core.cell import crashes
from carawaymast_core.cell import jobs
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import run_ends
from carawaymast_core.cell import view as view_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_lifecycle

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['load', 'restore']


def load(
    cell: 'cell_mod.Cell', view: view_mod.JobView, now_ms: int, wall_ms: int
) -> None:
    """Load the stored jobs that are not over, and the workers' speeds."""
    _load_speeds(cell, view)
    for job_id in view.open_ids():
        cell.sync_job(view, job_id, now_ms, wall_ms)
    for job_id, record in view.record_by_id.items():
        if record.phase.is_final and record.tasks:
            cell.sync_job(view, job_id, now_ms, wall_ms)
    _load_unreached(cell, view, now_ms)


def _load_unreached(
    cell: 'cell_mod.Cell', view: view_mod.JobView, now_ms: int
) -> None:
    """Apply what the leader before this one knew of workers that are lost."""
    if not view.encoded_unreached:
        return
    try:
        found = records.decode(records.UnreachedRecord, view.encoded_unreached)
    except ValueError as error:
        cell.log_event(
            'record_unreadable', key=records.UNREACHED_KEY, error=str(error)
        )
        return
    if found.epoch != cell.former_epoch:
        return
    for worker_id, born_ms, left_ms in found.rows:
        worker = cell.worker_by_key.get((worker_id, born_ms))
        if worker is not None:
            worker.lapses_at_ms = now_ms + left_ms


def _load_speeds(cell: 'cell_mod.Cell', view: view_mod.JobView) -> None:
    if not view.encoded_speeds:
        return
    try:
        found = records.decode(records.SpeedRecord, view.encoded_speeds)
    except ValueError as error:
        # The speeds are estimated anew.
        cell.log_event('record_unreadable', key='paces', error=str(error))
        return
    cell.speeds.restore(found.rows)
    for worker in cell.worker_by_key.values():
        worker.tier = cell.speeds.tier(worker.key)


def restore(cell: 'cell_mod.Cell', job: jobs.Job, record, now_ms: int) -> None:
    """Restore a job's state from the previous leader's record."""
    job.phase = record.phase
    job.cause = record.cause
    job.has_started = record.has_started
    for steps, rows in zip(
        job.steps_by_occurrence, record.tasks, strict=False
    ):
        for step, task_rows in zip(steps, rows, strict=True):
            for task, row in zip(step.tasks, task_rows, strict=True):
                _restore_task(cell, task, row, now_ms)
    _end_lost_runs(cell, job, now_ms)
    # Runs that are only known from the record may never have begun.
    has_ends = any(
        task.is_done or task.failures
        for step in job.steps()
        for task in step.tasks
    )
    job.has_begun = has_ends or (record.has_started and not any(job.runs()))


def _end_lost_runs(cell: 'cell_mod.Cell', job: jobs.Job, now_ms: int) -> None:
    """End the runs that have ended with a former incarnation."""
    for run in list(job.runs()):
        if run.is_crash_counted and late_starts.ends_with_incarnation(run):
            how = late_starts.end_kind(cell, run)
            run_ends.apply(cell, run, how, '', now_ms)


def _restore_task(
    cell: 'cell_mod.Cell', task: jobs.Task, row, now_ms: int
) -> None:
    task.is_done = row.is_done
    task.last_run_id = row.last_run_id
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.crashes = row.crashes or records.NO_CRASHES
    task.waiting_since_ms = now_ms
    for run_row in row.runs:
        key = (run_row.worker_id, run_row.born_ms)
        worker = _latest_incarnation(cell, key) or _add_unlisted(
            cell, run_row, now_ms
        )
        run = run_mod.Run(task, run_row.run_id, worker, now_ms)
        run.state = run_mod.RunState.ORDERED
        # The first lease renewal with the new epoch shows whether the run is
        # on the worker: no order of the previous leader can take effect
        # after it.
        run.known_at_ms = -1
        # Its ticket came before its record was stored.
        run.ticket_at_ms = now_ms - 1
        run.lease_ms = run_row.lease_ms
        has_restarted = worker.born_ms != run_row.born_ms
        if has_restarted:
            crashes.record_restart(cell, run, now_ms)
        late_starts.assume_sent(run, has_restarted, now_ms)
        worker.add(run)
        task.runs.append(run)


def _latest_incarnation(
    cell: 'cell_mod.Cell', key: tuple[str, int]
) -> worker_mod.Worker | None:
    """Return the latest incarnation of a worker that a run may be on.

    It is the one that the key names or a successor: a start that was sent to
    one incarnation may have reached the next, which has the same id. It is
    None if no such worker is in the cell.
    """
    worker_id, born_ms = key
    candidates = [
        worker
        for worker in cell.worker_by_key.values()
        if worker.worker_id == worker_id and worker.born_ms >= born_ms
    ]
    return max(candidates, key=lambda w: w.born_ms, default=None)


def _add_unlisted(
    cell: 'cell_mod.Cell', run_row: records.RunRecord, now_ms: int
) -> worker_mod.Worker:
    """Add a worker that is in a stored record but not in the list.

    It replaces an earlier incarnation, whose entry is then out of date.
    """
    earlier = _latest_incarnation(cell, (run_row.worker_id, 0))
    entry = _unlisted_entry(run_row)
    if earlier is not None:
        entry = earlier.entry._replace(born_ms=run_row.born_ms)
    worker = worker_lifecycle.apply_worker_entry(cell, entry, now_ms)
    errors.check(
        worker is not None,
        f'worker {run_row.worker_id} has a later incarnation than the one '
        f'that started at {run_row.born_ms}',
    )
    worker.is_listed = False
    return worker


def _unlisted_entry(run_row: records.RunRecord) -> reports.WorkerEntry:
    """Return an entry for a worker that only a run's record names."""
    return reports.WorkerEntry(
        run_row.worker_id,
        run_row.address,
        run_row.born_ms,
        '',
        '',
        False,
        resources.ZERO,
        (),
        0,
        None,
    )

"""Applies the end of a run to its task, its gang and its job."""

import typing

from carawaymast_core.cell import late_starts
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import suspicion

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import jobs

__all__ = ['apply', 'apply_untracked']

# The ends of a run of which nothing shows that it ever began.
_ENDS_BEFORE_BEGIN = (
    reports.EndKind.REFUSED,
    reports.EndKind.WITHDRAWN,
    reports.EndKind.ABSENT,
)


def apply(
    cell: 'cell_mod.Cell',
    run: run_mod.Run,
    how: reports.EndKind,
    checkpoint: str,
    now_ms: int,
) -> None:
    """Apply the end of a run that the cell has placed."""
    task = run.task
    if late_starts.is_held(run, how, now_ms):
        late_starts.hold(cell, run, now_ms)
    else:
        cell.release(run)
    if how in _ENDS_BEFORE_BEGIN:
        task.step.job.record_not_begun()
    else:
        task.step.job.record_begun()
    task.waiting_since_ms = now_ms
    cell.log_event(
        'run_ended',
        task=task.name,
        run_id=run.run_id,
        worker=run.worker.worker_id,
        how=how,
        ran_ms=now_ms - run.placed_at_ms,
        why=run.stop_reason,
    )
    if checkpoint:
        task.checkpoint = checkpoint
    suspicion.record_end(cell, run, how, now_ms)
    _apply_to_task(cell, task, run.run_id, how, now_ms)


def apply_untracked(
    cell: 'cell_mod.Cell', end: reports.EndedRun, now_ms: int
) -> None:
    """Apply the end of an untracked run.

    This leader or a previous one has assumed that the worker's lease had
    expired. A task that has ended as done need not run again.
    """
    task = cell.find_task(end.task)
    if task is None or end.how is not reports.EndKind.DONE:
        return
    if task.step.job.phase.is_final or task.is_done:
        return
    if end.run_id > task.last_run_id:
        return
    task.step.job.record_begun()
    cell.log_event('late_end_used', task=task.name, run_id=end.run_id)
    _apply_to_task(cell, task, end.run_id, end.how, now_ms)


def _apply_to_task(
    cell, task: 'jobs.Task', run_id: int, how: reports.EndKind, now_ms
) -> None:
    """Update a task, its gang and its job after the end of a run."""
    step = task.step
    if how is reports.EndKind.DONE and not step.spec.is_service:
        _finish(cell, task)
    elif how is reports.EndKind.FAILED:
        _count_failure(cell, task, run_id, now_ms)
    if step.spec.is_gang and how is not reports.EndKind.DONE:
        _stop_gang(cell, task, run_id)
    cell.update_job(step.job, now_ms)


def _finish(cell, task: 'jobs.Task') -> None:
    """Mark a task as done, or all members if it belongs to a gang.

    The members of a gang end together.
    """
    members = task.step.tasks if task.step.spec.is_gang else [task]
    for member in members:
        member.is_done = True
    if not task.step.spec.is_gang:
        for other in list(task.runs):
            cell.stop(other, 'another copy is done')


def _count_failure(cell, task: 'jobs.Task', run_id: int, now_ms: int) -> None:
    """Count a failed attempt, once per run of a gang."""
    step = task.step
    if step.spec.is_service or task.is_done:
        return
    members = step.tasks if step.spec.is_gang else [task]
    if step.spec.is_gang:
        if run_id <= step.failed_run_id:
            return
        step.failed_run_id = run_id
    for member in members:
        member.failures += 1
    limit = step.job.submission.queue.max_attempts
    if task.failures >= limit:
        cell.fail_job(
            step.job,
            f'task {task.name} failed {task.failures} times',
            now_ms,
        )


def _stop_gang(cell, task: 'jobs.Task', run_id: int) -> None:
    """Stop the other members of a gang's run, which cannot complete."""
    if task.is_done:
        return
    for member in task.step.tasks:
        for run in member.runs:
            if run.run_id == run_id:
                cell.stop(run, 'its gang has lost a member')

"""Runs that a worker lists and the leader does not have there."""

import typing

from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import jobs

__all__ = ['stop_or_adopt']


def stop_or_adopt(
    cell: 'cell_mod.Cell',
    worker: worker_mod.Worker,
    row: reports.ListedRun,
    task: 'jobs.Task | None',
    now_ms: int,
) -> run_mod.Run | None:
    """Return the run if its task waits, so that it can go on; else stop it.

    If it were stopped, its task could start elsewhere before it has ended.
    ``task`` is None if the leader does not know it.
    """
    is_adopted = (
        task is not None
        and task.is_waiting
        and row.run_id <= task.last_run_id
        and not task.step.job.phase.is_final
        # All members of a gang must have the same run.
        and not task.step.spec.is_gang
    )
    cell.log_event(
        'untracked_run',
        task=row.task,
        run_id=row.run_id,
        worker=worker.worker_id,
        born_ms=worker.born_ms,
        adopted=is_adopted,
        # Run and worker; None if the leader does not know the task.
        placed=None
        if task is None
        else [(run.run_id, run.worker.worker_id) for run in task.runs],
    )
    if not is_adopted:
        cell.stops.append(
            worker_mod.StopOrder(worker, row.task, row.run_id, None)
        )
        return None
    run = run_mod.Run(task, row.run_id, worker, now_ms)
    run.state = run_mod.RunState.ORDERED
    # Other starts of it may have had no answer.
    run.starts = 2
    worker.add(run)
    task.runs.append(run)
    cell.mark_dirty(task.step.job)
    cell.update_job(task.step.job, now_ms)
    return run

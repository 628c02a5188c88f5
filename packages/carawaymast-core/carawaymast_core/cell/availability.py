"""Decides before each stop of a run whether enough other tasks are running.

A step may limit how many of its tasks the system makes unavailable at a time.
The stop of a running task waits while that many others are unavailable, for
whatever cause.
"""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import run as run_mod

__all__ = ['count_unavailable', 'may_stop']


def may_stop(run: 'run_mod.Run') -> bool:
    """Return whether a run may be stopped now.

    Always if it certainly does not run at full speed, if its job has ended,
    or if its worker is leaving or lost anyway.
    """
    step = run.task.step
    worker = run.worker
    if not step.spec.may_miss or step.job.phase.is_final or worker.is_gone:
        return True
    if worker.entry.is_draining or not worker.is_listed:
        return True
    if not run.is_at_full_speed:
        return not run.is_unconfirmed
    return count_unavailable(step, run.task) < step.spec.may_miss


def count_unavailable(step: 'jobs.StepState', excluded: 'jobs.Task') -> int:
    """Count the other tasks that are being stopped or not at full speed."""
    return sum(
        1
        for task in step.tasks
        if task is not excluded
        and not any(
            r.is_at_full_speed and not r.is_stop_sent for r in task.runs
        )
    )

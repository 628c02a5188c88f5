"""Decides whether a run that is stored may still be started at its worker.

Storing a placement may take seconds, in which the worker may have restarted,
shrunk, changed its kind, or been told to leave.
"""

import typing

from carawaymast_core.cell import eligibility
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import run_ends

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['is_wanted', 'refusal', 'refusal_now', 'withdraw']


def refusal(run: run_mod.Run) -> str:
    """Return why a run must not be started at its worker, '' if it may."""
    worker, step = run.worker, run.task.step
    if step.job.phase.is_final:
        return f'its job is {step.job.phase.value}'
    if run.task.is_done:
        return 'its task is done'
    if worker.is_gone or not worker.is_adopted:
        return 'its worker is not adopted'
    if worker.entry.is_draining:
        return 'its worker is leaving'
    if not eligibility.is_eligible(step, worker):
        return 'its worker is of another kind'
    if eligibility.is_spread_exceeded(step, worker):
        return 'its worker has too many tasks of its step'
    return run.stop_reason


def refusal_now(run: run_mod.Run) -> str:
    """Return the same as ``refusal``, and whether the worker has shrunk."""
    if min(run.worker.free) < 0:
        return 'its worker has shrunk'
    return refusal(run)


def is_wanted(run: run_mod.Run) -> bool:
    """Return whether a run is still on its worker and not known to run."""
    is_on_worker = run.worker.run_by_task.get(run.task.name) is run
    return is_on_worker and run.state is not run_mod.RunState.RUNNING


def withdraw(
    cell: 'cell_mod.Cell', run: run_mod.Run, reason: str, now_ms: int
) -> None:
    """End a run whose start was never sent; its task is placed anew.

    The other members of a gang's run are stopped, or withdrawn in their turn.
    """
    run.is_under_way = False
    run.stop_reason = run.stop_reason or reason
    run_ends.apply(cell, run, reports.EndKind.WITHDRAWN, '', now_ms)

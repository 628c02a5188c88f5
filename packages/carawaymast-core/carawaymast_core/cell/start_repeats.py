"""Repeats starts that were not answered, at the same worker.

A worker that has begun the run meanwhile answers the second start as it would
have answered the first, so the task need not wait until the first one can no
longer act.
"""

import typing

from carawaymast_core.cell import late_starts
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import start_check

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['repeat_or_stop']

# How long after the placement a start is repeated. The members of a gang wait
# 3 s for each other.
REPEAT_MS = 3_000
MAX_STARTS = 8


def repeat_or_stop(
    cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int
) -> None:
    """Start a held run again that its worker does not list, or stop it.

    After a stop was answered, this incarnation never begins the run.
    """
    if not _may_repeat(run, now_ms):
        late_starts.hold(cell, run, now_ms)
        return
    cell.log_event(
        'start_repeated',
        task=run.task.name,
        run_id=run.run_id,
        worker=run.worker.worker_id,
    )
    late_starts.take_number(run)
    cell.mark_dirty(run.task.step.job)
    # Lists that are sent before this start tell nothing of it.
    run.known_at_ms = None
    run.starts += 1
    run.lease_ms = 0
    # A further crash of its worker counts again.
    run.is_crash_counted = False
    cell.starts.append(run)


def _may_repeat(run: run_mod.Run, now_ms: int) -> bool:
    """Return whether the worker may begin the run now."""
    return not (
        run.is_held
        or run.state is not run_mod.RunState.ORDERED
        or run.is_stop_sent
        or run.starts >= MAX_STARTS
        or now_ms - run.placed_at_ms >= REPEAT_MS
        or min(run.worker.free) < 0
        or start_check.refusal(run)
    )

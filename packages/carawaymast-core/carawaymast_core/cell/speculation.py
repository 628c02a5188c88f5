"""Speculative copies of tasks that take far longer than their siblings.

A step may allow copies: the first end counts, and the others are stopped. Only
the slowest tasks are copied, one copy each, with the capacity that is left
after all waiting work has been placed.
"""

import typing

from carawaymast_core.cell import choosing
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import isolation
from carawaymast_core.cell import progress
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import suspicion

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import jobs

__all__ = ['CHECK_INTERVAL_MS', 'choose']

# Between the users' tasks of one step, the logarithm of the run time has a
# standard deviation of 0.15, and slow workers take 1.25 times as long; a
# straggler takes seven times as long.
LATE_FACTOR = 1.6
CHECK_INTERVAL_MS = 100


def choose(
    cell: 'cell_mod.Cell', fleet: fleet_mod.Fleet, now_ms: int
) -> typing.Iterator[choosing.Placement]:
    """Yield placements of copies.

    The caller must add each run to its worker before it takes the next one.
    """
    for step in list(cell.speculative_by_name.values()):
        if step.is_done or not any(task.runs for task in step.tasks):
            del cell.speculative_by_name[step.name]
            continue
        for task in step.tasks:
            run = _only_run(task)
            if run is None or not _is_late(cell, run, now_ms):
                continue
            option = choosing.first_option(
                step, fleet, now_ms, {run.worker.worker_id}
            )
            if option is None:
                break
            cell.log_event(
                'copy_placed',
                task=task.name,
                slow_at=run.worker.worker_id,
                ran_ms=now_ms - (run.began_at_ms or now_ms),
                worker=option.worker.worker_id,
            )
            yield choosing.Placement(task, option.worker, option.ticket)


def _only_run(task: 'jobs.Task') -> run_mod.Run | None:
    """Return the only run of a task if it is confirmed, else None."""
    if task.is_done or len(task.runs) != 1 or isolation.is_suspect(task):
        return None
    (run,) = task.runs
    is_running = run.state is run_mod.RunState.RUNNING
    return run if is_running and not run.stop_reason else None


def _is_late(cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int) -> bool:
    if progress.is_stalled(run, now_ms):
        return True
    run_sample = suspicion.run_sample(run, now_ms)
    if run_sample is None:
        return False
    expected_ms = cell.speeds.expected_ms(run_sample)
    return (
        expected_ms is not None
        # A predicted duration would lead to many more copies, and what makes
        # a run fail often fails its copy too, which uses up the attempts.
        and run_sample.ran_ms > LATE_FACTOR * expected_ms
    )

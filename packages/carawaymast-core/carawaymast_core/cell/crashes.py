"""Records which runs were on a worker when it crashed."""

import typing

from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['record']


def record(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """Record that a worker's incarnation ended without notice.

    Runs whose start was not sent yet have nothing to do with it.
    """
    runs = [
        run
        for run in worker.run_by_task.values()
        if run.state is not worker_mod.RunState.PLACED
    ]
    if not runs:
        return
    silent_since_ms = worker.silent_since_ms or worker.last_answer_at_ms
    cell.crashed_workers += 1
    cell.log_event(
        'worker_crashed',
        worker=worker.worker_id,
        address=worker.entry.address,
        silent_ms=now_ms - silent_since_ms,
        # Task, run, and how long it had been placed when the worker fell
        # silent.
        runs=[
            (run.task.name, run.run_id, silent_since_ms - run.placed_at_ms)
            for run in runs
        ],
    )

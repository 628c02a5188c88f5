"""The log events of steps that start."""

import typing

from carawaymast_core.cell import run as run_mod

__all__ = ['fields_by_step']


def fields_by_step(
    starts: typing.Iterable[run_mod.Run], wall_ms: int
) -> list[dict[str, typing.Any]]:
    """Return the fields of one log event for each step that starts."""
    runs_by_step: dict[str, list[run_mod.Run]] = {}
    for run in starts:
        runs_by_step.setdefault(run.task.step.name, []).append(run)
    events = []
    for name, runs in runs_by_step.items():
        first = runs[0]
        job = first.task.step.job
        events.append(
            {
                'step': name,
                'waited_ms': wall_ms - job.submission.accepted_at_ms,
                # Task, run, worker and the free CPU left there.
                'runs': [
                    (
                        run.task.index,
                        run.run_id,
                        run.worker.worker_id,
                        run.worker.free.cpu_millis,
                    )
                    for run in runs
                ],
                'heard_ms_ago': first.placed_at_ms
                - first.worker.last_answer_at_ms,
                'has_ticket': bool(first.ticket),
            }
        )
    return events

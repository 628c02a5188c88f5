"""Finds runs of one task that were there at the same time."""

import math
import typing

from review.second import judging

__all__ = ['Run', 'overlaps']


class Run(typing.NamedTuple):
    """A run as its runner saw it."""

    task: str
    begin_s: float
    run_id: int
    runner: str
    end_s: float = math.inf
    how: str = 'goes on'


def overlaps(
    events: typing.Iterable[tuple],
) -> list[tuple[Run, Run]]:
    """Return the pairs of runs of one task that were there together.

    ``events`` are those of ``review.second.runner.History``.
    """
    began: dict[tuple[str, str], Run] = {}
    runs = []
    for event in events:
        at_s, runner, what, task, run_id, _ = event
        if what == 'start':
            began[runner, task] = Run(task, at_s, run_id, runner)
        elif what in judging.ENDS and (runner, task) in began:
            run = began.pop((runner, task))
            runs.append(run._replace(end_s=at_s, how=what))
    runs = sorted([*runs, *began.values()])
    return [
        (one, other)
        for i, one in enumerate(runs)
        for other in runs[i + 1 :]
        if one.task == other.task and other.begin_s < one.end_s
    ]

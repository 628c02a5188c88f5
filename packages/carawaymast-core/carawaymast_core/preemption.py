"""Selection of the running tasks to preempt for urgent work.

``choose`` selects the worker on which the least work is lost. Only tasks of a
less urgent rank whose row is preemptible are victims; those that started last
are stopped first, since they lose least.
"""

import typing

from carawaymast_core import attempts
from carawaymast_core import resources
from carawaymast_core import table as table_mod

__all__ = ['Victims', 'choose']


class Victims(typing.NamedTuple):
    """The tasks to stop on one worker, and the run time lost, in ms."""

    worker_id: str
    tasks: tuple[attempts.RunningTask, ...]
    lost_ms: int


def choose(
    usages: typing.Iterable[attempts.WorkerUsage],
    size: resources.Resources,
    rank: int,
    by_kind: typing.Mapping[str, table_mod.Row],
    now_ms: int,
) -> Victims | None:
    """Return the victims to stop so that ``size`` fits on a worker.

    Returns None if there is no such worker.
    """
    best = None
    for usage in usages:
        victims = _on_worker(usage, size, rank, by_kind, now_ms)
        if victims is None:
            continue
        if best is None or victims.lost_ms < best.lost_ms:
            best = victims
    return best


def _on_worker(usage, size, rank, by_kind, now_ms) -> Victims | None:
    free = usage.free
    chosen = []
    lost_ms = 0
    for task in sorted(usage.tasks, key=lambda t: -t.started_at_ms):
        if size.fits_in(free):
            break
        row = by_kind.get(task.kind)
        if row is None or not row.preemptible or row.rank <= rank:
            continue
        chosen.append(task)
        free = free.plus(task.size)
        lost_ms += now_ms - task.started_at_ms
    if not chosen or not size.fits_in(free):
        return None
    return Victims(usage.worker_id, tuple(chosen), lost_ms)

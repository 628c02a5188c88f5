"""Which workers a step that finds no room holds, and what gives way there.

A gang needs all its room at one time, and gets it only if workers are kept
for it while they drain. It holds as few as will do: first those whose room
is free or about to be, then those where less urgent tasks can be stopped
without losing work, and only then those that are merely large enough.
"""

import typing

from carawaymast_core.cell import rooms
from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_core import resources
    from carawaymast_core.cell import jobs

__all__ = ['Hold', 'choose']

# Room beyond what a gang needs at workers that drain by themselves, so that
# the slowest of them need not be waited for.
DRAIN_MARGIN = 1.25
# A task gives way so often at most; then it runs to its end.
MAX_PREEMPTIONS = 3


class Hold(typing.NamedTuple):
    """Workers kept for a step, and the runs that shall stop there."""

    workers: list[worker_mod.Worker]
    victims: list[worker_mod.Run]


class _Option(typing.NamedTuple):
    """A worker, and how many tasks of the step fit there.

    ``soon`` once what is stopping has ended, ``later`` if ``stoppable`` is
    stopped too.
    """

    worker: worker_mod.Worker
    soon: int
    later: int
    stoppable: list[worker_mod.Run]


def choose(
    step: 'jobs.StepState',
    workers: typing.Sequence[worker_mod.Worker],
    may_preempt: bool,
) -> Hold | None:
    """Return what a step should hold, None if it could never fit.

    ``workers`` are those that it may use and that nobody else holds.
    """
    needed = len(step.waiting())
    kept = rooms.kept_share(step, workers)
    options = [_option(step, w, kept, may_preempt) for w in workers]
    options.sort(key=lambda o: (-o.soon, -o.later, o.worker.worker_id))
    covered = _cover(step, options, needed, kept)
    if covered is not None:
        return covered
    if not step.spec.is_gang:
        return None
    return _drain(step, workers, needed, kept)


def _option(step, worker, kept: float, may_preempt: bool) -> _Option:
    runs = worker.run_by_task.values()
    room = worker.free
    for run in runs:
        if run.stop_reason:
            room = room.plus(_room_of(run))
    soon = _fitting(step, worker, room, kept)
    stoppable = []
    if may_preempt:
        stoppable = [run for run in runs if _gives_way(run, step)]
    for run in stoppable:
        room = room.plus(_room_of(run))
    later = _fitting(step, worker, room, kept) if stoppable else soon
    return _Option(worker, soon, later, stoppable)


def _cover(step, options, needed: int, kept: float) -> Hold | None:
    """Hold the fewest workers that will have room after the stops."""
    hold = Hold([], [])
    for option in options:
        if needed <= 0:
            break
        if not option.later:
            continue
        wanted = min(option.later, needed)
        hold.workers.append(option.worker)
        hold.victims.extend(_victims(step, option, wanted, kept))
        needed -= wanted
    return hold if needed <= 0 else None


def _victims(step, option: _Option, wanted: int, kept: float):
    """Return the runs to stop so that ``wanted`` tasks fit, largest first."""
    chosen: list[worker_mod.Run] = []
    if option.soon >= wanted:
        return chosen
    worker = option.worker
    room = worker.free
    for run in worker.run_by_task.values():
        if run.stop_reason:
            room = room.plus(_room_of(run))
    for run in sorted(option.stoppable, key=_room_of, reverse=True):
        if _fitting(step, worker, room, kept) >= wanted:
            break
        chosen.append(run)
        room = room.plus(_room_of(run))
    return chosen


def _drain(step, workers, needed: int, kept: float) -> Hold | None:
    """Hold the emptiest workers that could take the step if they drained."""
    needed = int(needed * DRAIN_MARGIN)
    least = len(step.waiting())
    held = []
    room = 0
    for worker in sorted(workers, key=rooms.free_share, reverse=True):
        if room >= needed:
            break
        count = _fitting(step, worker, worker.entry.capacity, kept)
        if count:
            held.append(worker)
            room += count
    return Hold(held, []) if room >= least else None


def _gives_way(run: worker_mod.Run, step: 'jobs.StepState') -> bool:
    """Whether a run may be stopped for a step, and loses no work by it."""
    task = run.task
    spec = task.step.spec
    return (
        task.step.job.submission.queue.rank > step.job.submission.queue.rank
        and spec.is_checkpointing
        and not (spec.is_gang or spec.is_service or spec.is_filler)
        and run.state is worker_mod.RunState.RUNNING
        and not run.stop_reason
        and task.preemptions < MAX_PREEMPTIONS
    )


def _room_of(run: worker_mod.Run) -> 'resources.Resources':
    return run.task.step.spec.size


def _fitting(step, worker, room, kept: float) -> int:
    count = rooms.fitting(step.spec.size, worker, room, kept)
    limit = step.spec.max_per_worker
    if limit:
        here = sum(1 for t in step.tasks if t.name in worker.run_by_task)
        count = min(count, max(0, limit - here))
    return count

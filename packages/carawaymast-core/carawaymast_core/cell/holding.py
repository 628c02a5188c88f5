"""Workers that large gangs hold until enough of them are drained.

A gang that finds no room holds just as many workers as it needs, and keeps
them from plan to plan: less urgent and newer work passes over them, so that
they drain within the length of the tasks that run there. Urgent tasks of rank
0 pass over them too: one on each held worker would keep a gang out for good.
"""

import typing

from carawaymast_core import resources

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['Holds']

# All gangs together hold no more than this share of the workers; one gang
# alone may hold what it needs. A quarter, as urgent tasks need the rest.
MAX_HELD_SHARE = 0.25

Key = tuple[str, int]
# How many tasks of a step a worker with so much room takes.
Fits = typing.Callable[
    ['jobs.StepState', 'worker_mod.Worker', resources.Resources], int
]


class Holds:
    """Who holds which worker, within one plan.

    The keys of a gang's workers are kept at its step in between.
    """

    def __init__(
        self, steps: typing.Iterable['jobs.StepState'], worker_count: int
    ):
        self._holder_by_key: dict[Key, jobs.StepState] = {
            key: step for step in steps for key in step.held_keys
        }
        self._most = int(worker_count * MAX_HELD_SHARE)

    def usable(
        self,
        step: 'jobs.StepState',
        allowed: typing.Sequence['worker_mod.Worker'],
    ) -> list['worker_mod.Worker']:
        """Return those of the workers allowed to a step that it may use.

        A step of rank 0 for which nothing else is left may use held ones.
        """
        own = [
            w for w in allowed if self._holder_by_key.get(w.key, step) is step
        ]
        if not own and step.job.submission.queue.rank == 0:
            return list(allowed)
        return own

    def let_go(self, step: 'jobs.StepState') -> None:
        """End the hold of a step that was placed, or may not hold."""
        for key in step.held_keys:
            if self._holder_by_key.get(key) is step:
                del self._holder_by_key[key]
        step.held_keys = frozenset()

    def hold(
        self,
        step: 'jobs.StepState',
        allowed: typing.Sequence['worker_mod.Worker'],
        fits: Fits,
    ) -> list['worker_mod.Worker']:
        """Hold workers for a gang that found no room; return them.

        Those that it holds already come first, then those that have most of
        the room now. Nothing is held if the gang would not fit on them.
        """
        held_before = step.held_keys
        self.let_go(step)
        ranked = sorted(
            allowed,
            key=lambda w: (
                w.key not in held_before,
                -fits(step, w, w.free),
                w.worker_id,
            ),
        )
        chosen = []
        room = 0
        for worker in ranked:
            if room >= step.spec.count:
                break
            count = fits(step, worker, _drained(worker))
            if count:
                room += count
                chosen.append(worker)
        is_alone = not self._holder_by_key
        is_too_much = len(self._holder_by_key) + len(chosen) > self._most
        if room < step.spec.count or (is_too_much and not is_alone):
            return []
        step.held_keys = frozenset(w.key for w in chosen)
        self._holder_by_key.update((w.key, step) for w in chosen)
        return chosen


def _drained(worker: 'worker_mod.Worker') -> resources.Resources:
    """Return the room of a worker once all that ends by itself has ended."""
    room = worker.entry.capacity
    for run in worker.run_by_task.values():
        spec = run.task.step.spec
        if spec.is_service and not spec.is_filler:
            room = room.minus(spec.size)
    return room

"""How many tasks of a step fit into the rooms of workers."""

import collections
import typing

from carawaymast_core import resources

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'URGENT_HEADROOM_SHARE',
    'could_fit',
    'fit_count',
    'headroom_share',
    'total_fit_count',
]

# Share of a worker that only the most urgent rank may use: Kilima's
# placement checks need 11% of the fleet on average.
URGENT_HEADROOM_SHARE = 0.08
# A task of no size at all: the slots of an endpoint bound how many run.
MAX_PER_WORKER = 64


def could_fit(
    step: 'jobs.StepState',
    workers: typing.Iterable['worker_mod.Worker'],
    headroom: float,
) -> bool:
    """Tell whether a step would fit on these workers if they were empty.

    A share ``kept`` of each worker is left for the most urgent rank.
    """
    size = step.spec.allocated_size
    limit = step.spec.max_per_worker or step.spec.count
    count_by_capacity = collections.Counter(w.entry.capacity for w in workers)
    room = sum(
        count * min(limit, fit_count(size, capacity, capacity, headroom))
        for capacity, count in count_by_capacity.items()
    )
    return room >= step.spec.count


def total_fit_count(
    step: 'jobs.StepState', workers: typing.Sequence['worker_mod.Worker']
) -> int:
    """Return how many tasks of a step these workers have room for now."""
    headroom = headroom_share(step, workers)
    return sum(
        fit_count(step.spec.allocated_size, w.entry.capacity, w.free, headroom)
        for w in workers
    )


def headroom_share(
    step: 'jobs.StepState', workers: typing.Sequence['worker_mod.Worker']
) -> float:
    """Return the share of a worker that a step must leave to the urgent.

    Nothing if the step, or a gang as a whole, would then never fit.
    """
    if step.job.submission.queue.rank == 0:
        return 0.0
    if step.spec.is_gang:
        fits = could_fit(step, workers, URGENT_HEADROOM_SHARE)
    else:
        size = step.spec.allocated_size
        fits = any(
            fit_count(size, capacity, capacity, URGENT_HEADROOM_SHARE)
            for capacity in {w.entry.capacity for w in workers}
        )
    return URGENT_HEADROOM_SHARE if fits else 0.0


def fit_count(
    size: resources.Resources,
    capacity: resources.Resources,
    room: resources.Resources,
    headroom: float,
) -> int:
    """Return how many tasks fit into a room of a worker.

    The share ``kept`` of the worker's capacity does not count.
    """
    counts = []
    if size.cpu_millis:
        kept_millis = int(capacity.cpu_millis * headroom)
        counts.append((room.cpu_millis - kept_millis) // size.cpu_millis)
    if size.memory_mb:
        kept_mb = int(capacity.memory_mb * headroom)
        counts.append((room.memory_mb - kept_mb) // size.memory_mb)
    if size.accelerators:
        counts.append(room.accelerators // size.accelerators)
    return max(0, min(counts, default=MAX_PER_WORKER))

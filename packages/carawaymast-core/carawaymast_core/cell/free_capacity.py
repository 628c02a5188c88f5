"""Computes how many tasks of a step fit into the free capacity of workers."""

import typing

from carawaymast_core import resources

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'URGENT_HEADROOM_SHARE',
    'could_fit_beside_services',
    'fit_count',
    'headroom_share',
    'total_fit_count',
]

# Share of a worker's capacity that only the most urgent rank may use: at
# Kilima, a site of the users, its placement checks need 11% of the fleet on
# average.
URGENT_HEADROOM_SHARE = 0.08
# For tasks of size zero: their number is limited by the endpoint's slots.
MAX_PER_WORKER = 64


def could_fit_beside_services(
    step: 'jobs.StepState',
    workers: typing.Iterable['worker_mod.Worker'],
    headroom: float,
) -> bool:
    """Return whether a gang fits once all tasks that end by themselves have.

    Tasks of services stay until their job is cancelled.
    """
    size = step.spec.allocated_size
    limit = step.spec.max_per_worker or step.spec.count
    missing = step.spec.count
    for worker in workers:
        capacity = worker.entry.capacity
        free = capacity.minus(worker.services_size)
        missing -= min(limit, fit_count(size, capacity, free, headroom))
        if missing <= 0:
            return True
    return False


def total_fit_count(
    step: 'jobs.StepState', workers: typing.Sequence['worker_mod.Worker']
) -> int:
    """Return how many tasks of a step fit on these workers now."""
    headroom = headroom_share(step, workers)
    return sum(
        fit_count(step.spec.allocated_size, w.entry.capacity, w.free, headroom)
        for w in workers
    )


def headroom_share(
    step: 'jobs.StepState', workers: typing.Iterable['worker_mod.Worker']
) -> float:
    """Return the share of each worker that a step must leave free.

    It is 0.0 for the most urgent rank. It is also 0.0 if with it even empty
    workers would be too small for one task or, for a gang, for all tasks.
    """
    if step.job.submission.queue.rank == 0:
        return 0.0
    size = step.spec.allocated_size
    missing = step.spec.count if step.spec.is_gang else 1
    limit = step.spec.max_per_worker or missing
    for worker in workers:
        capacity = worker.entry.capacity
        count = fit_count(size, capacity, capacity, URGENT_HEADROOM_SHARE)
        missing -= min(limit, count)
        if missing <= 0:
            return URGENT_HEADROOM_SHARE
    return 0.0


def fit_count(
    size: resources.Resources,
    capacity: resources.Resources,
    free: resources.Resources,
    headroom: float,
) -> int:
    """Return how many tasks fit into a worker's free capacity.

    The share ``headroom`` of ``capacity`` must remain free, except of
    accelerators. None fit on a worker that has shrunk below what it runs, not
    even tasks that need nothing of what is lacking.
    """
    if min(free) < 0:
        return 0
    counts = []
    if size.cpu_millis:
        headroom_millis = int(capacity.cpu_millis * headroom)
        counts.append((free.cpu_millis - headroom_millis) // size.cpu_millis)
    if size.memory_mb:
        headroom_mb = int(capacity.memory_mb * headroom)
        counts.append((free.memory_mb - headroom_mb) // size.memory_mb)
    if size.accelerators:
        counts.append(free.accelerators // size.accelerators)
    return max(0, min(counts, default=MAX_PER_WORKER))

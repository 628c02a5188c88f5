"""How many tasks of a step fit into the rooms of workers."""

import typing

from carawaymast_core import resources

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'URGENT_HEADROOM_SHARE',
    'could_fit',
    'fitting',
    'free_share',
    'kept_share',
    'room_for',
]

# Share of a worker that only the most urgent rank may use: Kilima's
# placement checks need 11% of the fleet on average.
URGENT_HEADROOM_SHARE = 0.08
# A task of no size at all: the slots of an endpoint bound how many run.
MAX_PER_WORKER = 64


def could_fit(
    step: 'jobs.StepState',
    workers: typing.Iterable['worker_mod.Worker'],
    kept: float = 0.0,
) -> bool:
    """Tell whether a step would fit on these workers if they were empty.

    A share ``kept`` of each worker is left for the most urgent rank.
    """
    limit = step.spec.max_per_worker or step.spec.count
    room = sum(
        min(limit, fitting(step.spec.size, w, w.entry.capacity, kept))
        for w in workers
    )
    return room >= step.spec.count


def room_for(
    step: 'jobs.StepState', workers: typing.Sequence['worker_mod.Worker']
) -> int:
    """Return how many tasks of a step these workers have room for now."""
    kept = kept_share(step, workers)
    return sum(fitting(step.spec.size, w, w.free, kept) for w in workers)


def kept_share(
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
        fits = any(
            step.spec.size.fits_in(
                _open_room(w, w.entry.capacity, URGENT_HEADROOM_SHARE)
            )
            for w in workers
        )
    return URGENT_HEADROOM_SHARE if fits else 0.0


def fitting(
    size: resources.Resources,
    worker: 'worker_mod.Worker',
    room: resources.Resources,
    kept: float,
) -> int:
    """Return how many tasks fit into a worker's room less what is kept."""
    return _times(size, _open_room(worker, room, kept))


def _open_room(
    worker: 'worker_mod.Worker', room: resources.Resources, kept: float
) -> resources.Resources:
    """Return a worker's room less a share of its capacity."""
    capacity = worker.entry.capacity
    return resources.Resources(
        room.cpu_millis - int(capacity.cpu_millis * kept),
        room.memory_mb - int(capacity.memory_mb * kept),
        room.accelerators,
    )


def _times(size: resources.Resources, room: resources.Resources) -> int:
    """Return how many times a size fits into a room."""
    counts = [
        have // need for have, need in zip(room, size, strict=True) if need
    ]
    return max(0, min(counts, default=MAX_PER_WORKER))


def free_share(worker: 'worker_mod.Worker') -> float:
    """Return the free share of a worker's scarcer resource."""
    free = worker.free
    capacity = worker.entry.capacity
    return min(
        free.cpu_millis / max(1, capacity.cpu_millis),
        free.memory_mb / max(1, capacity.memory_mb),
    )

"""Best-fit placement over an index of the free capacity of workers.

Workers with similar free capacity share a bucket. A search visits the
occupied buckets, whose number does not grow with the fleet, in increasing
order of capacity, and examines only a few workers of each.
"""

import math
import typing

from carawaymast_core import resources

__all__ = ['PlacementIndex']

# Between the free processors, or memory, of one bucket and the next.
BUCKET_RATIO = 1.2
BUCKET_UNIT_CPU_MILLIS = 100
BUCKET_UNIT_MEMORY_MB = 128
MAX_CANDIDATES_PER_BUCKET = 8
_LOG_RATIO = math.log(BUCKET_RATIO)

Bucket = tuple[int, int, int]


def _level(amount: int, unit: int) -> int:
    """Return the logarithmic level of ``amount``, -1 if below one unit."""
    if amount < unit:
        return -1
    return int(math.log(amount / unit) / _LOG_RATIO)


def _bucket(free: resources.Resources) -> Bucket:
    return (
        max(0, free.accelerators),
        _level(free.cpu_millis, BUCKET_UNIT_CPU_MILLIS),
        _level(free.memory_mb, BUCKET_UNIT_MEMORY_MB),
    )


class PlacementIndex:
    """An index of workers by free capacity."""

    def __init__(self) -> None:
        self._free_by_id: dict[str, resources.Resources] = {}
        self._ids_by_bucket: dict[Bucket, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._free_by_id)

    def set_free(self, worker_id: str, free: resources.Resources) -> None:
        """Add a worker or update its free capacity."""
        old = self._free_by_id.get(worker_id)
        self._free_by_id[worker_id] = free
        bucket = _bucket(free)
        if old is not None:
            if _bucket(old) == bucket:
                return
            self._remove_from_bucket(worker_id, _bucket(old))
        self._ids_by_bucket.setdefault(bucket, {})[worker_id] = None

    def remove(self, worker_id: str) -> None:
        """Remove a worker, if it is in the index."""
        free = self._free_by_id.pop(worker_id, None)
        if free is not None:
            self._remove_from_bucket(worker_id, _bucket(free))

    def best_fit(
        self,
        size: resources.Resources,
        is_allowed: typing.Callable[[str], bool] = lambda worker_id: True,
    ) -> str | None:
        """Return a worker that ``size`` fits with little left over, or None.

        Workers for which ``is_allowed`` is False are skipped, such as those
        in quarantine.
        """
        wanted = _bucket(size)
        fitting = [
            bucket
            for bucket in self._ids_by_bucket
            if bucket[0] >= wanted[0]
            and bucket[1] >= wanted[1]
            and bucket[2] >= wanted[2]
        ]
        fitting.sort(key=lambda b: (b[0], b[1] + b[2], b[1]))
        for bucket in fitting:
            found = self._tightest(bucket, size, is_allowed)
            if found is not None:
                return found
        return None

    def _tightest(self, bucket, size, is_allowed) -> str | None:
        best = None
        best_left = math.inf
        candidates = 0
        for worker_id in self._ids_by_bucket[bucket]:
            free = self._free_by_id[worker_id]
            if not size.fits_in(free) or not is_allowed(worker_id):
                continue
            left = _left_over(free, size)
            if left < best_left:
                best = worker_id
                best_left = left
            candidates += 1
            if candidates >= MAX_CANDIDATES_PER_BUCKET:
                break
        return best

    def _remove_from_bucket(self, worker_id: str, bucket: Bucket) -> None:
        ids = self._ids_by_bucket[bucket]
        del ids[worker_id]
        if not ids:
            del self._ids_by_bucket[bucket]


def _left_over(free: resources.Resources, size: resources.Resources) -> float:
    left = free.minus(size)
    return (
        left.cpu_millis / BUCKET_UNIT_CPU_MILLIS
        + left.memory_mb / BUCKET_UNIT_MEMORY_MB
    )

"""Whether the fleet could run a job if all workers were empty.

The shape of a worker is its capacity. ``can_place`` checks whether a job could
ever run. ``FleetShapes`` keeps the recent numbers of workers of each shape, so
that workers which are just changing their owner still count.
"""

import collections
import typing

from carawaymast_core import resources

__all__ = ['CountByShape', 'FleetShapes', 'can_place', 'dominant_share']

SAMPLE_RETENTION_MS = 60_000

CountByShape = typing.Mapping[resources.Resources, int]


def can_place(
    sizes: typing.Iterable[resources.Resources], count_by_shape: CountByShape
) -> bool:
    """Return whether tasks of these sizes fit on empty workers at once.

    The tasks are packed by best fit in decreasing order of size. The result
    is exact for one task; for several it is False in rare cases where
    another packing would fit.
    """
    free = collections.Counter(count_by_shape)
    for size in sorted(sizes, key=_size_key, reverse=True):
        fitting = [shape for shape in free if size.fits_in(shape)]
        if not fitting:
            return False
        best = min(fitting, key=_size_key)
        free[best] -= 1
        if not free[best]:
            del free[best]
        free[best.minus(size)] += 1
    return True


def dominant_share(
    sizes: typing.Iterable[resources.Resources], count_by_shape: CountByShape
) -> float:
    """Return the dominant share of the sizes, from 0 to 1 if they fit.

    This is the largest share that they need together of any resource.
    """
    needed = resources.total(sizes)
    total = resources.total(
        resources.Resources(*(count * n for n in shape))
        for shape, count in count_by_shape.items()
    )
    return max(
        (
            needed_amount / total_amount
            for needed_amount, total_amount in zip(needed, total, strict=True)
            if total_amount
        ),
        default=0.0,
    )


class FleetShapes:
    """The largest number of workers of each capacity seen recently.

    Samples are kept for ``SAMPLE_RETENTION_MS``.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, CountByShape]]
        self._samples = collections.deque()

    def observe(self, count_by_shape: CountByShape, now_ms: int) -> None:
        """Record how many workers of each capacity have an owner now."""
        while (
            self._samples
            and self._samples[0][0] + SAMPLE_RETENTION_MS <= now_ms
        ):
            self._samples.popleft()
        if self._samples and self._samples[-1][1] == count_by_shape:
            self._samples.pop()
        self._samples.append((now_ms, count_by_shape))

    def counts(self) -> dict[resources.Resources, int]:
        """Return the number of workers of each capacity."""
        highest: dict[resources.Resources, int] = {}
        for _, count_by_shape in self._samples:
            for shape, count in count_by_shape.items():
                highest[shape] = max(count, highest.get(shape, 0))
        return highest


def _size_key(size: resources.Resources) -> tuple[int, int, int]:
    return (size.accelerators, size.cpu_millis, size.memory_mb)

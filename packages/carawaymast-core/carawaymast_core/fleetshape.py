"""What the whole fleet could hold if it were empty.

``can_place`` answers whether a job could ever run. ``FleetShapes`` remembers
how many workers of each capacity were seen lately, so that workers which
change their owner at this moment still count.
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
    """Tell whether tasks of these sizes fit on empty workers all at once.

    The answer comes from best fit in the order of decreasing size. It is
    exact for one task; for many it may, seldom, refuse what a cleverer
    packing could hold.
    """
    free = collections.Counter(count_by_shape)
    for size in sorted(sizes, key=_weight, reverse=True):
        fitting = [shape for shape in free if size.fits_in(shape)]
        if not fitting:
            return False
        best = min(fitting, key=_weight)
        free[best] -= 1
        if not free[best]:
            del free[best]
        free[best.minus(size)] += 1
    return True


def dominant_share(
    sizes: typing.Iterable[resources.Resources], count_by_shape: CountByShape
) -> float:
    """Return the largest share of a resource that the sizes need in all."""
    needed = resources.total(sizes)
    total = resources.total(
        resources.Resources(*(count * n for n in shape))
        for shape, count in count_by_shape.items()
    )
    return max(
        (
            want / have
            for want, have in zip(needed, total, strict=True)
            if have
        ),
        default=0.0,
    )


class FleetShapes:
    """The most workers of each capacity seen within the memory."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, CountByShape]]
        self._samples = collections.deque()

    def observe(self, count_by_shape: CountByShape, now_ms: int) -> None:
        """Note how many workers of each capacity have an owner now."""
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
        most: dict[resources.Resources, int] = {}
        for _, count_by_shape in self._samples:
            for shape, count in count_by_shape.items():
                most[shape] = max(count, most.get(shape, 0))
        return most


def _weight(size: resources.Resources) -> tuple[int, int, int]:
    return (size.accelerators, size.cpu_millis, size.memory_mb)

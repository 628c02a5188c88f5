"""Vectors of processors, memory and accelerators."""

import functools
import typing

__all__ = ['Resources', 'ZERO', 'total']


class Resources(typing.NamedTuple):
    """An amount of each resource that a worker has.

    ``cpu_millis`` counts thousandths of a processor and ``memory_mb``
    megabytes::

        free = worker.capacity.minus(task.size)
        if small.fits_in(free): ...
    """

    cpu_millis: int
    memory_mb: int
    accelerators: int

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of the two amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return this amount less ``other``; parts may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: 'Resources') -> bool:
        """Tell whether no part exceeds the same part of ``other``."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def raised_to(self, other: 'Resources') -> 'Resources':
        """Return the larger of the two amounts, part by part."""
        return Resources(*map(max, self, other))

    def lowered_to(self, other: 'Resources') -> 'Resources':
        """Return the smaller of the two amounts, part by part."""
        return Resources(*map(min, self, other))


ZERO = Resources(0, 0, 0)


def total(amounts: typing.Iterable[Resources]) -> Resources:
    """Return the sum of amounts, part by part."""
    return functools.reduce(Resources.plus, amounts, ZERO)

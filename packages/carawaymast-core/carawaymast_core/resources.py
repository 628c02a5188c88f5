"""Amounts of processors, memory and accelerators."""

import functools
import typing

__all__ = ['Resources', 'ZERO', 'total']


class Resources(typing.NamedTuple):
    """An amount of each resource.

    ``cpu_millis`` is in thousandths of a processor, ``memory_mb`` in
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
        """Return this amount minus ``other``; fields may become negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: 'Resources') -> bool:
        """Return whether no field exceeds the same field of ``other``."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def raised_to(self, other: 'Resources') -> 'Resources':
        """Return the larger of the two amounts, field by field."""
        return Resources(*map(max, self, other))

    def lowered_to(self, other: 'Resources') -> 'Resources':
        """Return the smaller of the two amounts, field by field."""
        return Resources(*map(min, self, other))


ZERO = Resources(0, 0, 0)


def total(amounts: typing.Iterable[Resources]) -> Resources:
    """Return the sum of amounts, field by field."""
    return functools.reduce(Resources.plus, amounts, ZERO)

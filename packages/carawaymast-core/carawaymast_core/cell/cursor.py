"""Walks through the steps of a group in their order, for one plan."""

import typing

from carawaymast_core.cell import waiting as waiting_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['Cursor', 'Entry']


class Cursor:
    """The next step of a group that is to be examined."""

    def __init__(self, group: waiting_mod.Group):
        self.group = group
        self._positions = iter(group.positions)
        self.position: waiting_mod.Position | None = next(self._positions)
        # Of gangs that do not fit: they are examined for reservations only.
        self.is_full = False
        # Of steps that may be kept from different workers: those with free
        # capacity at some time in this plan, and the misses since then.
        self.workers: list[worker_mod.Worker] | None = None
        self.misses = 0

    def advance(self) -> None:
        """Go on to the next step; ``position`` is None after the last."""
        self.position = next(self._positions, None)


class Entry(typing.NamedTuple):
    """A group in the queue of a plan; ``cursor`` is None before its first."""

    position: waiting_mod.Position
    group: waiting_mod.Group
    cursor: Cursor | None

"""The steps that wait to start, by what they need and in their order."""

import collections.abc
import heapq
import itertools
import math
import typing

import sortedcontainers

from carawaymast_core import resources
from carawaymast_core.cell import need_index
from carawaymast_core.cell import needs
from carawaymast_core.cell import start_order

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = ['Group', 'Position', 'WaitingSteps']


class Position(typing.NamedTuple):
    """A step's place in the order; ``number`` counts from the oldest."""

    start_by_ms: int
    number: int


class Group:
    """Steps with the same need, in their order."""

    def __init__(self, need: needs.Need, number: int):
        self.need = need
        self.number = number
        self.positions = sortedcontainers.SortedList()
        # The estimated ms of all waiting tasks.
        self.task_ms = 0
        # On the leader's clock, see ``gang_search``.
        self.examined_at_ms = 0
        # The same, see ``idle_waits``.
        self.checked_at_ms = -math.inf
        # What a task is allocated, see ``spec.Step.allocated_size``.
        self.size = resources.Resources(
            0 if need.kind.is_filler else need.cpu_millis,
            need.memory_mb,
            need.kind.accelerators,
        )


class _Entry(typing.NamedTuple):
    step: 'jobs.StepState'
    group: Group
    position: Position
    task_ms: int


class WaitingSteps(
    collections.abc.MutableMapping[str, 'jobs.StepState'],
):
    """The waiting steps by name, with their groups and their order.

    Example::

        waiting[step.name] = step
        waiting.sort_for(wall_ms)
        for step in waiting.in_order():
            ...
    """

    def __init__(self) -> None:
        self._entry_by_name: dict[str, _Entry] = {}
        self._name_by_number: dict[int, str] = {}
        self._group_by_need: dict[needs.Need, Group] = {}
        # Of all groups that are no gangs, and the groups of gangs.
        self.index_by_kind: dict[needs.Kind, need_index.NeedIndex] = {}
        self.gang_groups_by_kind: dict[needs.Kind, dict[int, Group]] = {}
        self._numbers = itertools.count()
        # When the order of which step changes, a heap; steps that no longer
        # wait stay in it until then.
        self._changes: list[tuple[int, int]] = []
        self._wall_ms = 0
        # On the leader's clock, see ``idle_waits``.
        self.checked_at_ms = -math.inf

    def __getitem__(self, name: str) -> 'jobs.StepState':
        return self._entry_by_name[name].step

    def __iter__(self) -> typing.Iterator[str]:
        return iter(self._entry_by_name)

    def __len__(self) -> int:
        return len(self._entry_by_name)

    def __setitem__(self, name: str, step: 'jobs.StepState') -> None:
        if name in self._entry_by_name:
            del self[name]
        number = next(self._numbers)
        self._name_by_number[number] = name
        self._insert(name, step, number)

    def __delitem__(self, name: str) -> None:
        entry = self._entry_by_name.pop(name)
        del self._name_by_number[entry.position.number]
        self._remove(entry)

    def update_tasks(self, step: 'jobs.StepState') -> None:
        """Record that tasks of a step were placed or wait again."""
        entry = self._entry_by_name[step.name]
        task_ms = _task_ms(step)
        entry.group.task_ms += task_ms - entry.task_ms
        self._entry_by_name[step.name] = entry._replace(task_ms=task_ms)

    def groups(self) -> typing.Iterable[Group]:
        """Return the groups of all steps, of gangs too."""
        return self._group_by_need.values()

    def step_at(self, position: Position) -> 'jobs.StepState':
        """Return the step with a position of one of the groups."""
        return self[self._name_by_number[position.number]]

    def sort_for(self, wall_ms: int) -> None:
        """Bring all steps in their order at a time of day.

        Only those are moved whose order has changed since the last call. If
        the time of day was set back, that is all.
        """
        if wall_ms < self._wall_ms:
            names = list(self._entry_by_name)
            self._changes.clear()
        else:
            names = []
            while self._changes and self._changes[0][0] <= wall_ms:
                _, number = heapq.heappop(self._changes)
                if number in self._name_by_number:
                    names.append(self._name_by_number[number])
        self._wall_ms = wall_ms
        for name in names:
            entry = self._entry_by_name[name]
            self._remove(entry)
            self._insert(name, entry.step, entry.position.number)

    def in_order(
        self, is_included: typing.Callable[[needs.Need], bool]
    ) -> typing.Iterator['jobs.StepState']:
        """Yield the steps whose need is included, in their order."""
        groups = [
            group.positions
            for need, group in self._group_by_need.items()
            if is_included(need)
        ]
        for position in heapq.merge(*groups):
            yield self.step_at(position)

    def _insert(self, name: str, step: 'jobs.StepState', number: int) -> None:
        need = needs.need_of(step)
        group = self._group_by_need.get(need)
        if group is None:
            group = self._group_by_need[need] = Group(need, number)
            self._add_group(group)
        position = Position(
            start_order.start_by_ms(step, self._wall_ms), number
        )
        group.positions.add(position)
        task_ms = _task_ms(step)
        group.task_ms += task_ms
        self._entry_by_name[name] = _Entry(step, group, position, task_ms)
        change_ms = start_order.next_change_ms(step, self._wall_ms)
        if change_ms is not None:
            heapq.heappush(self._changes, (change_ms, number))

    def _remove(self, entry: _Entry) -> None:
        entry.group.positions.remove(entry.position)
        entry.group.task_ms -= entry.task_ms
        if not entry.group.positions:
            del self._group_by_need[entry.group.need]
            self._remove_group(entry.group)

    def _add_group(self, group: Group) -> None:
        kind = group.need.kind
        if group.need.gang_count:
            gangs = self.gang_groups_by_kind.setdefault(kind, {})
            gangs[group.number] = group
        else:
            index = self.index_by_kind.get(kind)
            if index is None:
                index = self.index_by_kind[kind] = need_index.NeedIndex()
            index.add(group)

    def _remove_group(self, group: Group) -> None:
        kind = group.need.kind
        if group.need.gang_count:
            gangs = self.gang_groups_by_kind[kind]
            del gangs[group.number]
            if not gangs:
                del self.gang_groups_by_kind[kind]
        else:
            index = self.index_by_kind[kind]
            index.remove(group)
            if not index:
                del self.index_by_kind[kind]


def _task_ms(step: 'jobs.StepState') -> int:
    """Return the estimated ms of a step's waiting tasks."""
    return len(step.waiting()) * step.spec.estimate_ms

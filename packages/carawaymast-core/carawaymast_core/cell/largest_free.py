"""The largest free amounts on the workers of one kind, in one plan.

A task fits on some worker if it fits in one of these amounts, of which none
covers another. Free capacity only shrinks during a plan, so they hold for all
of it: what does not fit in them does not fit later in the plan.
"""

import bisect
import typing

from carawaymast_core import resources
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import throttling

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import needs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['LargestFree']


# Processors in thousandths, and memory in MB.
_Amount = tuple[int, int]


class _Staircase:
    """The most memory that is free beside each amount of processors."""

    def __init__(self, amounts: typing.Iterable[tuple[int, int]]):
        self.cpu_millis: list[int] = []
        self._memory_mb: list[int] = []
        most_memory_mb = -1
        for cpu_millis, memory_mb in sorted(set(amounts), reverse=True):
            if memory_mb > most_memory_mb:
                most_memory_mb = memory_mb
                self.cpu_millis.append(cpu_millis)
                self._memory_mb.append(memory_mb)
        self.cpu_millis.reverse()
        self._memory_mb.reverse()

    def has(self, cpu_millis: int, memory_mb: int) -> bool:
        """Return whether one of the amounts has both."""
        position = bisect.bisect_left(self.cpu_millis, cpu_millis)
        return (
            position < len(self._memory_mb)
            and memory_mb <= self._memory_mb[position]
        )


class LargestFree:
    """The largest free amounts on workers of one kind.

    ``workers`` are those of the service and label. If the kind is not urgent,
    a task that fits beside the headroom on each of them when it is empty never
    uses the headroom.
    """

    def __init__(
        self,
        kind: 'needs.Kind',
        workers: typing.Iterable['worker_mod.Worker'],
        now_ms: int,
        excluded_ids: typing.Container[str] = frozenset(),
    ):
        # Searches in vain for what should fit, see ``planner``.
        self.misses = 0
        self._keeps_headroom = not kind.is_urgent and not kind.is_filler
        amounts: set[tuple[int, int]] = set()
        amounts_beside_headroom: set[tuple[int, int]] = set()
        headroom_by_capacity: dict[resources.Resources, _Amount] = {}
        total_cpu_millis = total_memory_mb = 0
        for worker in workers:
            capacity = worker.entry.capacity
            headroom = headroom_by_capacity.get(capacity)
            if headroom is None:
                headroom = headroom_by_capacity[capacity] = _headroom(capacity)
            cpu_millis, memory_mb, accelerators = worker.free
            if (
                cpu_millis < 0
                or memory_mb < 0
                or accelerators < kind.accelerators
                or worker.isolated_by_name
                or worker.worker_id in excluded_ids
            ):
                continue
            if kind.is_filler:
                if now_ms < worker.no_fillers_until_ms:
                    continue
                cpu_millis = (
                    capacity.cpu_millis - throttling.filler_cpu_millis(worker)
                )
            total_cpu_millis += cpu_millis
            total_memory_mb += memory_mb
            amounts.add((cpu_millis, memory_mb))
            if self._keeps_headroom:
                amounts_beside_headroom.add(
                    (cpu_millis - headroom[0], memory_mb - headroom[1])
                )
        self.total_cpu_millis = total_cpu_millis
        self.total_memory_mb = total_memory_mb
        self._all = _Staircase(amounts)
        self._beside_headroom = _Staircase(
            (max(0, cpu_millis), max(0, memory_mb))
            for cpu_millis, memory_mb in amounts_beside_headroom
        )
        # The least of each resource that empty workers have beside it.
        self._least_beside_headroom = tuple(
            min(
                (c[n] - h[n] for c, h in headroom_by_capacity.items()),
                default=0,
            )
            for n in range(2)
        )
        self.cpu_millis = max(self._all.cpu_millis, default=-1)

    def has(self, cpu_millis: int, memory_mb: int) -> bool:
        """Return whether a task may fit on some worker.

        It certainly does not if the result is false.
        """
        if not self._keeps_headroom:
            return self._all.has(cpu_millis, memory_mb)
        if self._beside_headroom.has(cpu_millis, memory_mb):
            return True
        return not self._certainly_keeps_headroom(
            cpu_millis, memory_mb
        ) and self._all.has(cpu_millis, memory_mb)

    def has_members(self, need: 'needs.Need') -> bool:
        """Return whether a gang may fit, of which one task may.

        A gang may use the headroom if it would not fit beside it on empty
        workers either.
        """
        return (
            need.gang_count * need.cpu_millis <= self.total_cpu_millis
            and need.gang_count * need.memory_mb <= self.total_memory_mb
            and self._all.has(need.cpu_millis, need.memory_mb)
        )

    def may_have(
        self,
        least_cpu_millis: int,
        least_memory_mb: int,
        most_cpu_millis: int,
        most_memory_mb: int,
    ) -> bool:
        """Return whether ``has`` may hold for any need within these bounds."""
        if not self._keeps_headroom:
            return self._all.has(least_cpu_millis, least_memory_mb)
        if self._beside_headroom.has(least_cpu_millis, least_memory_mb):
            return True
        return not self._certainly_keeps_headroom(
            most_cpu_millis, most_memory_mb
        ) and self._all.has(least_cpu_millis, least_memory_mb)

    def _certainly_keeps_headroom(
        self, cpu_millis: int, memory_mb: int
    ) -> bool:
        least_cpu_millis, least_memory_mb = self._least_beside_headroom
        return cpu_millis <= least_cpu_millis and memory_mb <= least_memory_mb


def _headroom(capacity: resources.Resources) -> _Amount:
    """Return what a task that is not urgent leaves free of a capacity."""
    share = free_capacity.URGENT_HEADROOM_SHARE
    return int(capacity.cpu_millis * share), int(capacity.memory_mb * share)

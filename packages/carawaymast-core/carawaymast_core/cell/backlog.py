"""Predicts how long a new job waits, by the workers that it may use.

Waiting work is spread over the classes of workers that may run it, the least
loaded ones first. A class is loaded by the time that its workers take for the
work. A new step waits as long as the least loaded class that may run it: work
that can only run elsewhere does not delay it. Nor does work that fits on no
worker beside the services there, except steps that do not fit either.
"""

import typing

from carawaymast_core import resources
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import waiting as waiting_mod

__all__ = ['Backlog']

# Processors and memory in one of so many equal parts of the largest worker's
# count as equal.
AMOUNT_LEVELS = 8
# Work with different choices of workers is spread again that often.
ROUNDS = 3


class _ClassKey(typing.NamedTuple):
    """What workers have in common: labels that matter, and amounts."""

    labels: frozenset[str]
    cpu_level: int
    memory_level: int
    accelerators: int


class _Class:
    """Workers of a class: the most that services leave of one, and weight.

    ``weight`` is the class's share of the capacity of the service's workers.
    """

    def __init__(self, labels: frozenset[str]):
        self.labels = labels
        self.room = resources.ZERO
        self.weight = 0.0

    def may_run(self, label: str, size: resources.Resources) -> bool:
        """Return whether a task may fit on a worker of this class."""
        return self.has(label) and size.fits_in(self.room)

    def has(self, label: str) -> bool:
        """Return whether its workers have a label ('': any)."""
        return not label or label in self.labels


class _Demand:
    """Waiting work of about the same needs, in ms of all workers."""

    def __init__(self, label: str, size: resources.Resources):
        self.label = label
        self.least_size = size
        self.ms = 0.0

    def lower(self, size: resources.Resources) -> None:
        """Include work of a size that may be smaller."""
        if not self.least_size.fits_in(size):
            self.least_size = self.least_size.lowered_to(size)


class _Service:
    """The classes of the workers of one service, and the work for them."""

    def __init__(
        self,
        fleet: fleet_mod.Fleet,
        service: str,
        groups: typing.Sequence[waiting_mod.Group],
    ):
        self._largest = fleet.largest_by_service[service]
        self._total = fleet.total(service)
        labels = frozenset(g.need.kind.label for g in groups)
        self._class_by_key: dict[_ClassKey, _Class] = {}
        self._key_by_worker: dict[str, _ClassKey] = {}
        self._keys_by_label: dict[str, set[_ClassKey]] = {}
        for worker in fleet.workers(service, ''):
            capacity = worker.entry.capacity
            room = capacity.minus(worker.services_size)
            key = _ClassKey(
                labels.intersection(worker.entry.labels), *self._levels(room)
            )
            found = self._class_by_key.setdefault(key, _Class(key.labels))
            found.room = found.room.raised_to(room)
            found.weight += _mean_share(capacity, self._total)
            self._key_by_worker[worker.worker_id] = key
        self._demands_by_rank: dict[int, list[_Demand]] = {}
        self._add_demands(groups)
        self._loads_by_rank: dict[
            tuple[int, bool], dict[_ClassKey, float]
        ] = {}

    def _levels(self, amount: resources.Resources) -> tuple[int, int, int]:
        largest = self._largest
        return (
            AMOUNT_LEVELS * amount.cpu_millis // max(1, largest.cpu_millis),
            AMOUNT_LEVELS * amount.memory_mb // max(1, largest.memory_mb),
            amount.accelerators,
        )

    def _add_demands(self, groups: typing.Sequence[waiting_mod.Group]) -> None:
        largest, total = self._largest, self._total
        largest_cpu = max(1, largest.cpu_millis)
        largest_memory = max(1, largest.memory_mb)
        total_cpu = max(1, total.cpu_millis)
        total_memory = max(1, total.memory_mb)
        total_accelerators = max(1, total.accelerators)
        demand_by_key: dict[tuple, _Demand] = {}
        for group in groups:
            need, size = group.need, group.size
            cpu, memory, accelerators = size
            key = (
                need.rank,
                need.kind.label,
                AMOUNT_LEVELS * cpu // largest_cpu,
                AMOUNT_LEVELS * memory // largest_memory,
                accelerators,
            )
            demand = demand_by_key.get(key)
            if demand is None:
                demand = _Demand(need.kind.label, size)
                demand_by_key[key] = demand
                self._demands_by_rank.setdefault(need.rank, []).append(demand)
            else:
                demand.lower(size)
            # The share of the resource that a task uses most.
            share = max(
                cpu / total_cpu,
                memory / total_memory,
                accelerators / total_accelerators,
            )
            demand.ms += share * group.task_ms

    def wait_ms(
        self, step: spec_mod.Step, rank: int, fleet: fleet_mod.Fleet, name: str
    ) -> float:
        """Return how long a new step waits for work of its rank and above.

        0 if there is no worker with its label: it waits for that alone.
        """
        label = step.required_label
        keys = self._keys_by_label.get(label)
        if keys is None:
            keys = self._keys_by_label[label] = {
                self._key_by_worker[w.worker_id]
                for w in fleet.workers(name, label)
            }
        if not keys:
            return 0.0
        size = step.allocated_size
        usable = {
            key for key in keys if size.fits_in(self._class_by_key[key].room)
        }
        load_by_key = self._loads(rank, not usable)
        return min(load_by_key[key] for key in usable or keys)

    def _loads(self, rank: int, is_with_stuck: bool) -> dict[_ClassKey, float]:
        """Return the load of each class by work of a rank and above, in ms.

        ``is_with_stuck`` is whether work counts that fits on no worker beside
        the services there.
        """
        found = self._loads_by_rank.get((rank, is_with_stuck))
        if found is None:
            found = self._spread(
                [
                    demand
                    for other, demands in self._demands_by_rank.items()
                    if other <= rank
                    for demand in demands
                ],
                is_with_stuck,
            )
            self._loads_by_rank[rank, is_with_stuck] = found
        return found

    def _spread(
        self, demands: typing.Iterable[_Demand], is_with_stuck: bool
    ) -> dict[_ClassKey, float]:
        load_by_key = dict.fromkeys(self._class_by_key, 0.0)
        rows = []
        for demand in demands:
            keys = self._usable(demand, is_with_stuck)
            if keys:
                weight = sum(self._class_by_key[k].weight for k in keys)
                rows.append((weight, demand.ms, keys))
        # Work with the least choice first.
        rows.sort(key=lambda row: row[0])
        added_by_row: list[dict[_ClassKey, float]] = [{} for _ in rows]
        rounds = ROUNDS if len(load_by_key) > 1 else 1
        for _ in range(rounds):
            for number, (_, ms, keys) in enumerate(rows):
                for key, load in added_by_row[number].items():
                    load_by_key[key] -= load
                added_by_row[number] = self._pour(ms, keys, load_by_key)
        return load_by_key

    def _usable(self, demand: _Demand, is_with_stuck: bool) -> list[_ClassKey]:
        usable = [
            key
            for key, found in self._class_by_key.items()
            if found.may_run(demand.label, demand.least_size)
        ]
        if usable or not is_with_stuck:
            return usable
        return [
            key
            for key, found in self._class_by_key.items()
            if found.has(demand.label)
        ]

    def _pour(
        self,
        ms: float,
        keys: typing.Sequence[_ClassKey],
        load_by_key: dict[_ClassKey, float],
    ) -> dict[_ClassKey, float]:
        """Add work to classes, the least loaded first, until they are level.

        Return what was added to the load of each.
        """
        ordered = sorted(keys, key=load_by_key.__getitem__)
        weight = 0.0
        level = 0.0
        for position, key in enumerate(ordered):
            # With ``level`` the load of the classes before this one.
            step_ms = (load_by_key[key] - level) * weight
            if step_ms >= ms and weight:
                ordered = ordered[:position]
                break
            ms -= step_ms
            level = load_by_key[key]
            weight += self._class_by_key[key].weight
        level += ms / weight if weight else 0.0
        added = {}
        for key in ordered:
            added[key] = level - load_by_key[key]
            load_by_key[key] = level
        return added


class Backlog:
    """The work that waits as of a plan, and the workers for it."""

    def __init__(
        self, waiting: waiting_mod.WaitingSteps, fleet: fleet_mod.Fleet
    ):
        self._fleet = fleet
        groups_by_service: dict[str, list[waiting_mod.Group]] = {}
        for group in waiting.groups():
            groups_by_service.setdefault(group.need.kind.service, []).append(
                group
            )
        self._groups_by_service = groups_by_service
        self._service_by_name: dict[str, _Service] = {}

    def wait_ms(
        self, service: str, rank: int, steps: typing.Iterable[spec_mod.Step]
    ) -> float:
        """Return how long the step waits that waits longest, in ms."""
        groups = self._groups_by_service.get(service)
        if not groups or service not in self._fleet.largest_by_service:
            return 0.0
        found = self._service_by_name.get(service)
        if found is None:
            found = self._service_by_name[service] = _Service(
                self._fleet, service, groups
            )
        return max(
            found.wait_ms(step, rank, self._fleet, service) for step in steps
        )


def _mean_share(
    size: resources.Resources, total: resources.Resources
) -> float:
    """Return the mean of the shares of all resources of which there is any."""
    shares = [
        need / have for need, have in zip(size, total, strict=True) if have
    ]
    return sum(shares) / len(shares) if shares else 0.0

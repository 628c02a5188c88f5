"""The usable workers of a cell, indexed by free capacity for one plan.

A plan needs, for each waiting step, the workers with free capacity for it,
the best first. On a full fleet these are few, so the index is sorted by free
share, and only workers that may have capacity for one of the step's tasks are
visited.
"""

import collections
import typing

import sortedcontainers

from carawaymast_core import resources
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['Fleet']


class _Row(typing.NamedTuple):
    """A worker's sort key in the index, and its free resources."""

    free_share: float
    worker_id: str
    cpu_millis: int
    memory_mb: int
    accelerators: int


class Fleet:
    """Workers by service, speed and free share, updated during a plan.

    Example::

        fleet = Fleet(usable)
        for worker in fleet.with_free_capacity('desk', size, tiers):
            ...
        worker.add(run)
        fleet.update(worker)
    """

    def __init__(self, workers: typing.Iterable['worker_mod.Worker']):
        self.worker_by_id: dict[str, worker_mod.Worker] = {}
        self.workers_by_service: dict[str, list[worker_mod.Worker]] = (
            collections.defaultdict(list)
        )
        # The largest and the smallest capacity, each resource on its own.
        self.largest_by_service: dict[str, resources.Resources] = {}
        self._smallest_by_service: dict[str, resources.Resources] = {}
        self._row_by_id: dict[str, _Row] = {}
        # By service and label, '' for workers with any labels.
        self._counts_by_kind: dict[
            tuple[str, str], collections.Counter[resources.Resources]
        ] = collections.defaultdict(collections.Counter)
        self._workers_by_kind: dict[
            tuple[str, str], list[worker_mod.Worker]
        ] = {}
        rows_by_service_tier = collections.defaultdict(list)
        for worker in workers:
            service = worker.entry.service
            self.worker_by_id[worker.worker_id] = worker
            self.workers_by_service[service].append(worker)
            self._update_capacity_bounds(service, worker.entry.capacity)
            for label in {'', *worker.entry.labels}:
                counts = self._counts_by_kind[service, label]
                counts[worker.entry.capacity] += 1
            row = self._row_by_id[worker.worker_id] = _row(worker)
            rows_by_service_tier[service, worker.tier].append(row)
        self._rows_by_service_tier = {
            key: sortedcontainers.SortedList(rows)
            for key, rows in rows_by_service_tier.items()
        }

    def _update_capacity_bounds(
        self, service: str, capacity: resources.Resources
    ) -> None:
        largest = self.largest_by_service.setdefault(service, capacity)
        smallest = self._smallest_by_service.setdefault(service, capacity)
        if capacity != largest:
            self.largest_by_service[service] = largest.raised_to(capacity)
        if capacity != smallest:
            self._smallest_by_service[service] = smallest.lowered_to(capacity)

    def has_workers(self, service: str, label: str) -> bool:
        """Return whether any worker has this service and label ('': any)."""
        return (service, label) in self._counts_by_kind

    def workers(
        self, service: str, label: str
    ) -> typing.Sequence['worker_mod.Worker']:
        """Return the workers with a service and label ('': any)."""
        found = self._workers_by_kind.get((service, label))
        if found is None:
            found = self._workers_by_kind[service, label] = [
                worker
                for worker in self.workers_by_service.get(service, ())
                if not label or label in worker.entry.labels
            ]
        return found

    def total(self, service: str) -> resources.Resources:
        """Return the capacity of all workers of a service."""
        workers = self.workers_by_service.get(service, ())
        return resources.total(w.entry.capacity for w in workers)

    def update(self, worker: 'worker_mod.Worker') -> None:
        """Update the index after a run was placed at a worker.

        A worker with an isolated task is removed from it.
        """
        rows = self._rows_by_service_tier[worker.entry.service, worker.tier]
        old_row = self._row_by_id.pop(worker.worker_id, None)
        if old_row is None:
            return
        rows.remove(old_row)
        if worker.isolated_by_name:
            return
        row = self._row_by_id[worker.worker_id] = _row(worker)
        rows.add(row)

    def with_free_capacity(
        self,
        service: str,
        size: resources.Resources,
        tiers: typing.Iterable[worker_speed.Tier],
        headroom_share: float = 0.0,
    ) -> typing.Iterator['worker_mod.Worker']:
        """Yield the workers with free capacity for a task of this size.

        In the order of ``tiers``, then the fullest first, so that others keep
        enough in one piece for large tasks. The share ``headroom_share`` of a
        worker must stay free; where workers differ in size, some may be
        yielded that lack a part of it.
        """
        smallest = self._smallest_by_service.get(service)
        if smallest is None:
            return
        min_cpu_millis = size.cpu_millis + int(
            smallest.cpu_millis * headroom_share
        )
        min_memory_mb = size.memory_mb + int(
            smallest.memory_mb * headroom_share
        )
        first = (self._min_free_share(service, size), '')
        for tier in tiers:
            rows = self._rows_by_service_tier.get((service, tier))
            if rows is None:
                continue
            for _, worker_id, cpu, memory, accelerators in rows.irange(first):
                if (
                    cpu >= min_cpu_millis
                    and memory >= min_memory_mb
                    and accelerators >= size.accelerators
                ):
                    yield self.worker_by_id[worker_id]

    def _min_free_share(
        self, service: str, size: resources.Resources
    ) -> float:
        """Return a lower bound of the free share of workers with capacity.

        A worker's free share is that of its scarcer resource, so the smaller
        of the needed shares is the bound.
        """
        largest = self.largest_by_service[service]
        return min(
            size.cpu_millis / max(1, largest.cpu_millis),
            size.memory_mb / max(1, largest.memory_mb),
        )


def _row(worker: 'worker_mod.Worker') -> _Row:
    return _Row(worker.free_share, worker.worker_id, *worker.free)

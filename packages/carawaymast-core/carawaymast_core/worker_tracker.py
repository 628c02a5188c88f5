"""Reservations and running tasks of the workers that a node owns.

A task starts only with a valid reservation. An attempt that was reported as
never started is refused from then on. A gang that has waited long may get a
pending reservation: the capacity that it needs is kept from younger jobs
until enough running tasks have ended, and the rest of the worker remains
available to others.
"""

import collections
import itertools
import typing

from carawaymast_core import attempts
from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import placement
from carawaymast_core import resources

__all__ = ['WorkerTracker']

RESERVATION_TTL_MS = 3_000
MAX_REFUSED_ATTEMPTS = 50_000


class _Worker:
    """Capacity, running tasks and reservations of one worker."""

    def __init__(self, capacity: resources.Resources, domain: str):
        self.capacity = capacity
        self.domain = domain
        self.running_by_ref: dict[jobs.TaskRef, attempts.RunningTask] = {}
        self.reserved_by_ref: dict[jobs.TaskRef, attempts.Reservation] = {}
        self.used = resources.ZERO
        self.reserved = resources.ZERO

    def free(self) -> resources.Resources:
        """Return the capacity that is neither used nor reserved.

        It may be negative, since pending reservations are subtracted too.
        """
        return self.capacity.minus(self.used).minus(self.reserved)


class WorkerTracker:
    """Reservations and running tasks of the workers that one node owns.

    Invariant: the running tasks and firm reservations of a worker together
    fit its capacity. A reservation is firm unless ``is_pending``.
    """

    def __init__(self, clock: clock_mod.Clock):
        self._clock = clock
        self._worker_by_id: dict[str, _Worker] = {}
        self._worker_id_by_ref: dict[jobs.TaskRef, str] = {}
        self._refused: dict[jobs.TaskRef, None] = {}
        self._index = placement.PlacementIndex()
        self._tokens = itertools.count(1)
        self._used_by_kind: dict[str, resources.Resources] = {}

    def __len__(self) -> int:
        return len(self._worker_by_id)

    @property
    def running_total(self) -> int:
        """The number of tasks that run or are starting."""
        return sum(
            len(worker.running_by_ref)
            for worker in self._worker_by_id.values()
        )

    @property
    def capacity(self) -> resources.Resources:
        """The total capacity of all owned workers."""
        return resources.total(
            worker.capacity for worker in self._worker_by_id.values()
        )

    @property
    def used(self) -> resources.Resources:
        """The total size of the tasks on all owned workers."""
        return resources.total(
            worker.used for worker in self._worker_by_id.values()
        )

    def used_by(self, kind: str) -> resources.Resources:
        """Return what a kind uses and has reserved on all owned workers."""
        return self._used_by_kind.get(kind, resources.ZERO)

    def usages(self) -> typing.Iterator[attempts.WorkerUsage]:
        """Yield the free capacity and the running tasks of each worker."""
        for worker_id, worker in self._worker_by_id.items():
            tasks = tuple(worker.running_by_ref.values())
            yield attempts.WorkerUsage(worker_id, worker.free(), tasks)

    def count_by_shape(self) -> collections.Counter[resources.Resources]:
        """Return the number of owned workers of each capacity."""
        return collections.Counter(
            worker.capacity for worker in self._worker_by_id.values()
        )

    def add_worker(
        self,
        worker_id: str,
        capacity: resources.Resources,
        domain: str,
        running: typing.Iterable[attempts.RunningTask],
    ) -> None:
        """Add a worker with the tasks that it reports as running.

        Raises ``InvariantError`` if they exceed its capacity.
        """
        worker = _Worker(capacity, domain)
        self._worker_by_id[worker_id] = worker
        for task in running:
            self._add_running(worker_id, worker, task)
        self._reindex(worker_id)

    def drop_worker(self, worker_id: str) -> None:
        """Remove a worker that is no longer owned."""
        worker = self._worker_by_id.pop(worker_id, None)
        if worker is None:
            return
        self._index.remove(worker_id)
        for task in worker.running_by_ref.values():
            self._add_usage(task.kind, resources.ZERO.minus(task.size))
            self._worker_id_by_ref.pop(task.ref, None)
        for reservation in worker.reserved_by_ref.values():
            self._add_usage(
                reservation.kind, resources.ZERO.minus(reservation.size)
            )
            self._worker_id_by_ref.pop(reservation.ref, None)

    def has_worker(self, worker_id: str) -> bool:
        """Return whether the worker is owned."""
        return worker_id in self._worker_by_id

    def running(
        self, worker_id: str, ref: jobs.TaskRef
    ) -> attempts.RunningTask | None:
        """Return a running or starting task of a worker, None if absent."""
        worker = self._worker_by_id.get(worker_id)
        return worker.running_by_ref.get(ref) if worker else None

    def running_on(self, worker_id: str) -> list[attempts.RunningTask]:
        """Return the tasks that run or are starting on a worker."""
        worker = self._worker_by_id.get(worker_id)
        return list(worker.running_by_ref.values()) if worker else []

    def reserve(
        self,
        ref: jobs.TaskRef,
        kind: str,
        size: resources.Resources,
        claimant: attempts.Claimant,
        may_hold: bool = False,
        avoid_domains: typing.Container[str] = (),
        is_allowed: typing.Callable[[str], bool] = lambda worker_id: True,
    ) -> attempts.Reservation | None:
        """Reserve capacity for an attempt; return None if none is free.

        A repeated call renews the reservation. Workers for which
        ``is_allowed`` is False are skipped, and those in ``avoid_domains``.

        With ``may_hold``, if no such worker has enough free capacity, younger
        reservations may be dropped on a worker of any domain. The reservation
        may then be pending; it becomes firm when it is renewed after enough
        running tasks have ended.
        """
        if ref in self._refused:
            return None
        existing = self._find_reservation(ref)
        if existing is not None:
            return self._renew(existing)
        if ref in self._worker_id_by_ref:
            return None
        worker_id = self._index.best_fit(
            size,
            lambda w: (
                is_allowed(w)
                and self._worker_by_id[w].domain not in avoid_domains
            ),
        )
        if worker_id is not None:
            return self._add_reservation(
                ref, worker_id, kind, size, claimant, False
            )
        if not may_hold:
            return None
        return self._reserve_with_eviction(
            ref, kind, size, claimant, is_allowed
        )

    def reserve_pending(
        self,
        ref: jobs.TaskRef,
        worker_id: str,
        kind: str,
        size: resources.Resources,
        claimant: attempts.Claimant,
    ) -> attempts.Reservation:
        """Reserve capacity of a worker that is about to become free."""
        return self._add_reservation(
            ref, worker_id, kind, size, claimant, True
        )

    def release(self, ref: jobs.TaskRef) -> None:
        """Drop the reservation of an attempt, if any."""
        reservation = self._find_reservation(ref)
        if reservation is not None:
            self._drop_reservation(reservation)

    def expire(self) -> list[jobs.TaskRef]:
        """Drop the reservations that were not renewed; return their refs."""
        now_ms = self._clock.now()
        expired = [
            reservation
            for worker in self._worker_by_id.values()
            for reservation in worker.reserved_by_ref.values()
            if reservation.expires_at_ms <= now_ms
        ]
        for reservation in expired:
            self._drop_reservation(reservation)
        return [reservation.ref for reservation in expired]

    def is_reserved(self, ref: jobs.TaskRef) -> bool:
        """Return whether there is a reservation for an attempt."""
        return self._find_reservation(ref) is not None

    def begin_start(
        self, ref: jobs.TaskRef, worker_id: str, token: int
    ) -> bool:
        """Turn a firm reservation into a starting task.

        Returns whether the attempt may start. If not, it is refused for good.
        """
        reservation = self._find_reservation(ref, worker_id)
        if reservation is None or reservation.is_pending:
            self.refuse(ref)
            return False
        if reservation.token != token:
            self.refuse(ref)
            return False
        if reservation.expires_at_ms <= self._clock.now():
            self.refuse(ref)
            return False
        self._drop_reservation(reservation)
        task = attempts.RunningTask(
            ref,
            reservation.kind,
            reservation.size,
            attempts.AttemptStatus.STARTING,
            self._clock.now(),
        )
        self._add_running(worker_id, self._worker_by_id[worker_id], task)
        self._reindex(worker_id)
        return True

    def confirm_start(self, ref: jobs.TaskRef) -> None:
        """Record that the worker runs the attempt."""
        worker_id = self._worker_id_by_ref.get(ref)
        if worker_id is None:
            return
        worker = self._worker_by_id[worker_id]
        task = worker.running_by_ref.get(ref)
        if task is not None:
            running = task._replace(status=attempts.AttemptStatus.RUNNING)
            worker.running_by_ref[ref] = running

    def end(self, ref: jobs.TaskRef) -> None:
        """Record that the attempt ended or that the worker refused it."""
        worker_id = self._worker_id_by_ref.pop(ref, None)
        if worker_id is None:
            return
        worker = self._worker_by_id[worker_id]
        task = worker.running_by_ref.pop(ref, None)
        if task is not None:
            worker.used = worker.used.minus(task.size)
            self._add_usage(task.kind, resources.ZERO.minus(task.size))
        self._reindex(worker_id)

    def refuse(self, ref: jobs.TaskRef) -> None:
        """Refuse all later starts and reservations of an attempt.

        The last ``MAX_REFUSED_ATTEMPTS`` refused attempts are kept.
        """
        reservation = self._find_reservation(ref)
        if reservation is not None:
            self._drop_reservation(reservation)
        self._refused[ref] = None
        if len(self._refused) > MAX_REFUSED_ATTEMPTS:
            del self._refused[next(iter(self._refused))]

    def status(
        self, ref: jobs.TaskRef, worker_id: str
    ) -> attempts.AttemptStatus:
        """Return the status of an attempt on an owned worker.

        ``NEVER`` is final: the attempt is refused from then on. Raises
        ``InvariantError`` if the worker is not owned.
        """
        errors.check(
            worker_id in self._worker_by_id,
            f'worker {worker_id} is not owned',
        )
        worker = self._worker_by_id[worker_id]
        task = worker.running_by_ref.get(ref)
        if task is not None:
            return task.status
        if self._find_reservation(ref, worker_id) is not None:
            return attempts.AttemptStatus.RESERVED
        self.refuse(ref)
        return attempts.AttemptStatus.NEVER

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` if the sums of a worker do not add up."""
        for worker_id, worker in self._worker_by_id.items():
            self._check_worker(worker_id, worker)
        self._check_kinds()

    def _check_kinds(self) -> None:
        total = resources.total(self._used_by_kind.values())
        counted = resources.total(
            worker.used.plus(worker.reserved)
            for worker in self._worker_by_id.values()
        )
        errors.check(
            total == counted, f'kinds use {total}, workers use {counted}'
        )

    def _check_worker(self, worker_id: str, worker: _Worker) -> None:
        used = resources.total(
            task.size for task in worker.running_by_ref.values()
        )
        firm = resources.total(
            reservation.size
            for reservation in worker.reserved_by_ref.values()
            if not reservation.is_pending
        )
        errors.check(
            used == worker.used,
            f'{worker_id}: tasks use {used}, counted {worker.used}',
        )
        errors.check(
            used.plus(firm).fits_in(worker.capacity),
            f'{worker_id}: {used} used and {firm} reserved exceed '
            f'{worker.capacity}',
        )

    def _find_reservation(
        self, ref: jobs.TaskRef, on_worker: str | None = None
    ) -> attempts.Reservation | None:
        """Return the reservation of an attempt, on ``on_worker`` if given."""
        worker_id = self._worker_id_by_ref.get(ref)
        if worker_id is None or on_worker not in (None, worker_id):
            return None
        return self._worker_by_id[worker_id].reserved_by_ref.get(ref)

    def _add_reservation(
        self, ref, worker_id, kind, size, claimant, is_pending
    ) -> attempts.Reservation:
        reservation = attempts.Reservation(
            ref,
            worker_id,
            kind,
            size,
            claimant,
            self._clock.now() + RESERVATION_TTL_MS,
            is_pending,
            next(self._tokens),
        )
        worker = self._worker_by_id[worker_id]
        worker.reserved_by_ref[ref] = reservation
        worker.reserved = worker.reserved.plus(size)
        self._add_usage(kind, size)
        self._worker_id_by_ref[ref] = worker_id
        self._reindex(worker_id)
        return reservation

    def _renew(self, old: attempts.Reservation) -> attempts.Reservation:
        worker = self._worker_by_id[old.worker_id]
        is_pending = old.is_pending and not self._has_drained(worker, old)
        renewed = old._replace(
            expires_at_ms=self._clock.now() + RESERVATION_TTL_MS,
            is_pending=is_pending,
        )
        worker.reserved_by_ref[old.ref] = renewed
        return renewed

    def _has_drained(
        self, worker: _Worker, reservation: attempts.Reservation
    ) -> bool:
        """Return whether a pending reservation can become firm."""
        occupied = worker.used
        for other in worker.reserved_by_ref.values():
            if not other.is_pending:
                occupied = occupied.plus(other.size)
        return occupied.plus(reservation.size).fits_in(worker.capacity)

    def _reserve_with_eviction(
        self, ref, kind, size, claimant, is_allowed
    ) -> attempts.Reservation | None:
        """Reserve on the emptiest worker that older reservations leave open.

        Younger reservations there are dropped as far as needed. The
        reservation is pending if running tasks still use the capacity.
        """
        best = None
        best_free = None
        for worker_id, worker in self._worker_by_id.items():
            if not size.fits_in(worker.capacity) or not is_allowed(worker_id):
                continue
            if self._is_filled_by_older(worker, claimant, size):
                continue
            if best is None or worker.free() > best_free:
                best = worker_id
                best_free = worker.free()
        if best is None:
            return None
        worker = self._worker_by_id[best]
        for other in list(worker.reserved_by_ref.values()):
            if claimant < other.claimant and not size.fits_in(worker.free()):
                self._drop_reservation(other)
        is_pending = not size.fits_in(worker.free())
        return self._add_reservation(
            ref, best, kind, size, claimant, is_pending
        )

    def _is_filled_by_older(self, worker, claimant, size) -> bool:
        """Return whether older reservations leave too little for ``size``."""
        older = resources.ZERO
        for other in worker.reserved_by_ref.values():
            if other.claimant <= claimant:
                older = older.plus(other.size)
        return not older.plus(size).fits_in(worker.capacity)

    def _add_running(self, worker_id, worker, task) -> None:
        worker.running_by_ref[task.ref] = task
        worker.used = worker.used.plus(task.size)
        self._add_usage(task.kind, task.size)
        self._worker_id_by_ref[task.ref] = worker_id
        errors.check(
            worker.used.fits_in(worker.capacity),
            f'{worker_id}: {worker.used} used exceeds {worker.capacity}',
        )

    def _drop_reservation(self, reservation: attempts.Reservation) -> None:
        worker = self._worker_by_id[reservation.worker_id]
        del worker.reserved_by_ref[reservation.ref]
        worker.reserved = worker.reserved.minus(reservation.size)
        freed = resources.ZERO.minus(reservation.size)
        self._add_usage(reservation.kind, freed)
        del self._worker_id_by_ref[reservation.ref]
        self._reindex(reservation.worker_id)

    def _add_usage(self, kind: str, size: resources.Resources) -> None:
        self._used_by_kind[kind] = self.used_by(kind).plus(size)

    def _reindex(self, worker_id: str) -> None:
        self._index.set_free(worker_id, self._worker_by_id[worker_id].free())

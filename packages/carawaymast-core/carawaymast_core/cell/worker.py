"""A cell leader's state of a worker: lease, clock, free capacity and runs."""

import typing

from carawaymast_core import errors
from carawaymast_core import resources
from carawaymast_core.cell import isolation
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker_lease
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = [
    'SpeedLimitOrder',
    'StopOrder',
    'Worker',
]

# A sound worker is adopted within a lease renewal, which waits up to 1 s.
ADOPTION_TIMEOUT_MS = 3_000


class StopOrder(typing.NamedTuple):
    """An order to a worker to stop a run.

    ``run`` is None for an untracked run, which this leader did not place.
    """

    worker: 'Worker'
    task_name: str
    run_id: int
    run: run_mod.Run | None


class SpeedLimitOrder(typing.NamedTuple):
    """An order to limit the speed of a run, in percent of full speed."""

    run: run_mod.Run
    percent: int


class Worker:
    """One incarnation of a worker."""

    def __init__(self, entry: reports.WorkerEntry):
        self._entry = entry
        self.worker_id = entry.worker_id
        self.born_ms = entry.born_ms
        self.key = (entry.worker_id, entry.born_ms)
        # Goes with each call to it, see ``fencing.FencingTokens``.
        self.fencing_token = 0
        self.run_by_task: dict[str, run_mod.Run] = {}
        self._used = resources.ZERO
        # Of it, what services use, whose tasks do not end by themselves.
        self.services_size = resources.ZERO
        self._untracked_size = resources.ZERO
        self._has_unsized_run = False
        # The capacity that no run can be using, and the share of the scarcer
        # resource that is free. They are kept up to date, since each plan
        # reads both for each worker and waiting step.
        self.free = entry.capacity
        self.free_share = 1.0
        # Set by the first answer to this leader's lease renewals, cleared when
        # the lease expires.
        self.is_adopted = False
        self.is_gone = False
        # Whether the leader has known no other incarnation of the worker.
        self.is_first = False
        # When its lease has expired, as its former leader knew it.
        self.lapses_at_ms: int | None = None
        self.is_listed = True
        # Since when it is known and not adopted, and when that was last
        # logged.
        self.unadopted_since_ms = 0
        self.unadopted_logged_at_ms = 0
        # When a call was first not answered; None again after the next answer
        # to a lease renewal.
        self.silent_since_ms: int | None = None
        # Numbers of ended runs, see ``reports.EndedRun``: the last one of
        # which the effect is stored, and the last one that was received.
        self.ack_number = 0
        self.seen_number = 0
        self.last_answer_at_ms = 0
        # When the latest renewal that it has answered was sent: at that time
        # this incarnation had not ended.
        self.confirmed_at_ms = -1
        self.lease = worker_lease.WorkerLease(self.worker_id, self.born_ms)
        self.suspect_until_ms = 0
        # How long it is suspected if it is found too slow again before a run
        # is on time; 0 for the usual time.
        self.next_suspect_ms = 0
        self.tier = worker_speed.Tier.UNKNOWN
        # When a filler was last sped up here, and until when no filler is
        # placed here.
        self.sped_up_at_ms = 0
        self.no_fillers_until_ms = 0
        self.consecutive_failures = 0
        # The tasks that must have no others beside them here, by name.
        self.isolated_by_name: dict[str, jobs.Task] = {}
        # The tasks whose runs ended here when the lease expired, until it is
        # known whether the worker has crashed, and until when that counts.
        self.lapsed_tasks: list[jobs.Task] = []
        self.lapsed_until_ms = 0

    @property
    def entry(self) -> reports.WorkerEntry:
        """The worker's latest entry in the platform's list."""
        return self._entry

    @entry.setter
    def entry(self, entry: reports.WorkerEntry) -> None:
        self._entry = entry
        self._update_free()

    @property
    def untracked_size(self) -> resources.Resources:
        """The size of untracked runs, which this leader did not place here.

        They are being stopped, and take capacity until the worker no longer
        lists them.
        """
        return self._untracked_size

    @untracked_size.setter
    def untracked_size(self, untracked_size: resources.Resources) -> None:
        self.set_untracked(untracked_size, has_unsized_run=False)

    def set_untracked(
        self, untracked_size: resources.Resources, has_unsized_run: bool
    ) -> None:
        """Set the size of untracked runs, and whether others have no size.

        A run of a job that the leader does not know may take the whole
        worker, also after the worker has grown.
        """
        is_changed = untracked_size != self._untracked_size
        if is_changed or has_unsized_run is not self._has_unsized_run:
            self._untracked_size = untracked_size
            self._has_unsized_run = has_unsized_run
            self._update_free()

    @property
    def rack(self) -> str:
        """The label of the worker's rack, '' if it has none."""
        labels = self.entry.labels
        return labels[1] if len(labels) > 1 else ''

    def is_overdue_for_adoption(self, now_ms: int) -> bool:
        """Return whether it is listed, and has not been adopted for long."""
        return (
            self.is_listed
            and not self.is_adopted
            and now_ms - self.unadopted_since_ms >= ADOPTION_TIMEOUT_MS
        )

    @property
    def is_unresponsive(self) -> bool:
        """Whether the last call was not answered."""
        return self.silent_since_ms is not None

    def mark_unresponsive(self, now_ms: int) -> None:
        """Record that a call was not answered."""
        if self.silent_since_ms is None:
            self.silent_since_ms = now_ms

    def is_usable(self, now_ms: int) -> bool:
        """Return whether new runs may be placed here."""
        return (
            self.is_adopted
            and self.is_listed
            and not self.is_gone
            and not self.is_unresponsive
            and not self.entry.is_draining
            and not self.isolated_by_name
            and now_ms >= self.suspect_until_ms
        )

    def add(self, run: run_mod.Run) -> None:
        """Add a run and allocate its size.

        Raises ``InvariantError`` if another run of the task is here.
        """
        name = run.task.name
        errors.check(
            name not in self.run_by_task,
            f'task {name} already has a run on worker {self.key}',
        )
        self.run_by_task[name] = run
        if isolation.must_be_alone(run.task):
            self.isolated_by_name[name] = run.task
        spec = run.task.step.spec
        self._used = self._used.plus(spec.allocated_size)
        if spec.is_service:
            self.services_size = self.services_size.plus(spec.allocated_size)
        self._update_free()

    def remove(self, run: run_mod.Run) -> None:
        """Remove a run and free its size."""
        del self.run_by_task[run.task.name]
        self.isolated_by_name.pop(run.task.name, None)
        spec = run.task.step.spec
        self._used = self._used.minus(spec.allocated_size)
        if spec.is_service:
            self.services_size = self.services_size.minus(spec.allocated_size)
        self._update_free()

    def _update_free(self) -> None:
        capacity = self._entry.capacity
        free = capacity.minus(self._used).minus(self._untracked_size)
        if self._has_unsized_run:
            free = free.lowered_to(resources.ZERO)
        self.free = free
        self.free_share = min(
            free.cpu_millis / max(1, capacity.cpu_millis),
            free.memory_mb / max(1, capacity.memory_mb),
        )

    def record_answer(self, clock_ms: int, now_ms: int) -> None:
        """Record an answer and the reading of the worker's clock in it."""
        self.lease.record_clock(clock_ms, now_ms)
        self.last_answer_at_ms = now_ms

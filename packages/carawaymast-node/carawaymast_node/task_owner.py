"""The tasks on owned workers: start, end and preemption.

The tracker has what runs and what is reserved, the log has what is claimed.
Each report of a worker is used to reconcile the two.
"""

import typing

from carawaymast_core import attempts
from carawaymast_core import clock as clock_mod
from carawaymast_core import jobs
from carawaymast_core import membership
from carawaymast_core import preemption
from carawaymast_core import quarantine as quarantine_mod
from carawaymast_core import resources
from carawaymast_core import table as table_mod
from carawaymast_core import worker_tracker
from carawaymast_node import background
from carawaymast_node import messages
from carawaymast_node import worker_port

__all__ = ['HeldWorker', 'TaskOwner']

URGENT_RANK = 0


class HeldWorker(typing.NamedTuple):
    """A worker whose lease this node holds, and the epoch of the lease."""

    vm: membership.Vm
    epoch: int


class TaskCounters(typing.TypedDict):
    """Counters of the tasks on owned workers since the node started."""

    ended: int
    preempted: int
    worker_errors: int


class TaskOwner:
    """Manages the tasks on the workers that this node owns.

    ``record_task_end`` records the end of an attempt in the log and returns
    whether it is there.
    """

    def __init__(
        self,
        clock: clock_mod.Clock,
        port: worker_port.WorkerPort,
        held: typing.Callable[[str], HeldWorker | None],
        renew_now: typing.Callable[[str], None],
    ):
        self._clock = clock
        self._port = port
        self._held_worker = held
        self._renew_now = renew_now
        self._ended_by_ref: dict[jobs.TaskRef, str] = {}
        self._recording: set[jobs.TaskRef] = set()
        self._background = background.TaskSet()
        self.record_task_end: typing.Callable[
            [jobs.TaskRef, str], typing.Awaitable[bool]
        ]
        self.claimed_on: typing.Callable[
            [str], typing.Iterable[jobs.TaskRef]
        ] = lambda worker_id: ()
        self.is_wanted: typing.Callable[[jobs.TaskRef], bool]
        self.is_wanted = lambda ref: True
        self.table = table_mod.EMPTY
        self.tracker = worker_tracker.WorkerTracker(clock)
        self.quarantine = quarantine_mod.Quarantine(clock)
        self.counters: TaskCounters = {
            'ended': 0,
            'preempted': 0,
            'worker_errors': 0,
        }

    def on_worker_acquired(self, vm: membership.Vm, report) -> None:
        """Add a newly acquired worker with the tasks that it reports."""
        running = [
            attempts.RunningTask(
                jobs.parse_ref(task['ref']),
                task['kind'],
                messages.to_resources(task['size']),
                attempts.AttemptStatus.RUNNING,
                self._clock.now(),
            )
            for task in report['tasks']
        ]
        capacity = messages.to_resources(report['capacity'])
        self.tracker.add_worker(vm.vm_id, capacity, vm.domain, running)

    def drop(self, worker_id: str) -> None:
        """Drop the state of a worker that is no longer owned."""
        for ref in self.claimed_on(worker_id):
            self._ended_by_ref.pop(ref, None)
        self.tracker.drop_worker(worker_id)

    def apply_report(self, worker_id: str, report, sent_at_ms: int) -> None:
        """Apply a worker's report that was requested at ``sent_at_ms``."""
        ended = {
            jobs.parse_ref(task['ref']): task['outcome']
            for task in report['ended']
        }
        running = {jobs.parse_ref(task['ref']) for task in report['tasks']}
        for task in self.tracker.running_on(worker_id):
            if task.ref in ended or task.ref in running:
                continue
            if task.started_at_ms < sent_at_ms:
                self._on_missing(worker_id, task)
        for ref in running:
            self.tracker.confirm_start(ref)
        for ref, outcome in ended.items():
            self._end(worker_id, ref, outcome)
        self._reconcile(worker_id)

    async def start_task(
        self, worker_id: str, ref: jobs.TaskRef, token: int, run_ms: int
    ) -> str:
        """Start a reserved attempt and return its status afterwards.

        ``NEVER`` is final: the attempt is refused from then on.
        """
        known = self.status(worker_id, ref)
        if known is not attempts.AttemptStatus.RESERVED:
            return known.value
        if not self.tracker.begin_start(ref, worker_id, token):
            return attempts.AttemptStatus.NEVER.value
        self.quarantine.record_start(worker_id)
        held = self._held_worker(worker_id)
        task = self.tracker.running(worker_id, ref)
        if held is None or task is None:
            return attempts.AttemptStatus.STARTING.value
        try:
            answer = await self._port.start(
                held.vm,
                held.epoch,
                str(ref),
                task.kind,
                task.size,
                run_ms,
            )
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1
            return attempts.AttemptStatus.STARTING.value
        if answer['started']:
            self.tracker.confirm_start(ref)
            return attempts.AttemptStatus.RUNNING.value
        self.tracker.end(ref)
        self.tracker.refuse(ref)
        return attempts.AttemptStatus.NEVER.value

    def status(
        self, worker_id: str, ref: jobs.TaskRef
    ) -> attempts.AttemptStatus:
        """Return the status of an attempt on an owned worker."""
        if ref in self._ended_by_ref:
            return attempts.AttemptStatus.ENDED
        return self.tracker.status(ref, worker_id)

    async def stop_task(
        self, worker_id: str, ref: jobs.TaskRef, outcome: str = 'failed'
    ) -> None:
        """Make a worker stop an attempt, or refuse it if it starts later.

        ``outcome`` is the outcome that the worker then reports.
        """
        held = self._held_worker(worker_id)
        if held is None:
            return
        try:
            await self._port.stop(held.vm, held.epoch, str(ref), outcome)
            # The next renewal returns the report that it has ended.
            self._renew_now(worker_id)
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1

    def is_within_limit(self, kind: str, size: resources.Resources) -> bool:
        """Return whether a task keeps its kind within the limit of its row.

        Each owner applies a limit that is a share to its own workers, so that
        the sum is within the share of the fleet. The first task of a kind is
        always within the limit.
        """
        row = self.table.by_kind.get(kind)
        if row is None or not row.limit.is_share:
            return True
        used = self.tracker.used_by(kind)
        if used == resources.ZERO:
            return True
        capacity = self.tracker.capacity
        allowed = resources.Resources(
            *(int(row.limit.of(amount)) for amount in capacity)
        )
        return used.plus(size).fits_in(allowed)

    def preempt(
        self,
        ref: jobs.TaskRef,
        kind: str,
        size: resources.Resources,
        claimant: attempts.Claimant,
        may_place: typing.Callable[[str], bool],
    ) -> attempts.Reservation | None:
        """Stop less urgent tasks and reserve their capacity for an urgent one.

        Return None if the kind is not urgent or too little can be stopped.
        """
        by_kind = self.table.by_kind
        row = by_kind.get(kind)
        if row is None or row.rank > URGENT_RANK:
            return None
        usages = (r for r in self.tracker.usages() if may_place(r.worker_id))
        victims = preemption.choose(
            usages, size, row.rank, by_kind, self._clock.now()
        )
        if victims is None:
            return None
        for task in victims.tasks:
            self.counters['preempted'] += 1
            self._background.spawn(
                self.stop_task(victims.worker_id, task.ref, 'preempted')
            )
        return self.tracker.reserve_pending(
            ref, victims.worker_id, kind, size, claimant
        )

    def _reconcile(self, worker_id: str) -> None:
        """Compare the claims in the log on a worker with the tracker.

        A claimed attempt that neither runs nor has a reservation will never
        start: the tracker refuses it, and its end is recorded in the log.
        """
        for ref in self.claimed_on(worker_id):
            status = self.status(worker_id, ref)
            if status is attempts.AttemptStatus.ENDED:
                # It was not recorded before, as in an outage of the log.
                self._end(worker_id, ref, self._ended_by_ref[ref])
            elif status is attempts.AttemptStatus.NEVER:
                self._end(worker_id, ref, 'never')
        for task in self.tracker.running_on(worker_id):
            if not self.is_wanted(task.ref):
                self._background.spawn(self.stop_task(worker_id, task.ref))

    def _on_missing(self, worker_id: str, task: attempts.RunningTask) -> None:
        """Handle a task that the worker neither runs nor reports as ended."""
        if task.status is attempts.AttemptStatus.RUNNING:
            self._end(worker_id, task.ref, 'failed')
            return
        # The start may still be in transit. The worker is made to refuse it
        # and then reports the attempt as ended.
        self._background.spawn(self.stop_task(worker_id, task.ref))

    def _end(self, worker_id: str, ref: jobs.TaskRef, outcome: str) -> None:
        if ref in self._recording:
            return
        self._ended_by_ref[ref] = outcome
        self._recording.add(ref)
        self.tracker.end(ref)
        self._background.spawn(self._record_end(worker_id, ref, outcome))

    async def _record_end(
        self, worker_id: str, ref: jobs.TaskRef, outcome: str
    ) -> None:
        """Record the end of an attempt in the log, then acknowledge it."""
        try:
            if not await self.record_task_end(ref, outcome):
                return
            self.counters['ended'] += 1
            self._ended_by_ref.pop(ref, None)
            held = self._held_worker(worker_id)
            if held is not None:
                await self._port.acknowledge(held.vm, held.epoch, [str(ref)])
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1
        finally:
            self._recording.discard(ref)

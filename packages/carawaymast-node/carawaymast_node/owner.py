"""The owner role: leases on workers, their slots and their tasks.

The worker decides who owns it; rendezvous hashing only says who should try.
Each renewal brings a report, from which the owner learns which slots are
idle and which tasks run or ended.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import lease as lease_mod
from carawaymast_core import membership
from carawaymast_core import preemption
from carawaymast_core import quarantine as quarantine_mod
from carawaymast_core import resources
from carawaymast_core import slots
from carawaymast_core import workerbook
from carawaymast_node import background
from carawaymast_node import grants
from carawaymast_node import messages
from carawaymast_node import worker_port

__all__ = ['OwnerService']

RENEWALS_PER_LEASE = 6
ACQUIRE_POLL_MS = 500
UNREACHABLE_AFTER_CALLS = 3
UNREACHABLE_POLL_MS = 2_000
PARALLEL_CALLS = 32
URGENT_RANK = 0


class _Owned:
    """A worker that this node tries to own or owns."""

    def __init__(self, vm: membership.Vm, clock: clock_mod.Clock):
        self.vm = vm
        self.lease = lease_mod.HeldLease(clock)
        self.boot = ''
        self.version = 0
        self.report: messages.WorkerReport | None = None
        self.next_call_at_ms = 0
        self.failed_calls = 0
        self.is_draining = False
        self.is_busy = False


class OwnerCounters(typing.TypedDict):
    """What the owner role counted since the node started."""

    acquired: int
    renewed: int
    refused: int
    lapsed: int
    handed_over: int
    worker_errors: int
    tasks_ended: int
    preempted: int


TaskEnded = typing.Callable[[jobs.TaskRef, str], typing.Awaitable[bool]]


class OwnerService:
    """The workers that this node owns."""

    def __init__(
        self,
        holder: str,
        clock: clock_mod.Clock,
        port: worker_port.WorkerPort,
        members: membership.Membership,
        lease_ms: int,
        call: grants.Call,
    ):
        self._holder = holder
        self._clock = clock
        self._port = port
        self._members = members
        self._lease_ms = lease_ms
        self._owned_by_id: dict[str, _Owned] = {}
        self._ended_by_ref: dict[jobs.TaskRef, str] = {}
        self._recording: set[jobs.TaskRef] = set()
        self._background = background.TaskSet()
        self._gate = asyncio.Semaphore(PARALLEL_CALLS)
        self.may_own: typing.Callable[[], bool] = lambda: True
        self.reaches: typing.Callable[[str, str], bool]
        self.reaches = lambda node_id, worker_id: True
        self.task_ended: TaskEnded
        self.claimed_on: typing.Callable[
            [str], typing.Iterable[jobs.TaskRef]
        ] = lambda worker_id: ()
        self.is_wanted: typing.Callable[[jobs.TaskRef], bool]
        self.is_wanted = lambda ref: True
        self.book = workerbook.WorkerBook(clock)
        self.quarantine = quarantine_mod.Quarantine(clock)
        self.grantor = grants.Grantor(
            members.own.node_id,
            clock,
            call,
            self._grantable_ms,
            lambda worker_id: self._owned_by_id[worker_id].lease.epoch,
            self._address_of,
        )
        self.counters: OwnerCounters = {
            'acquired': 0,
            'renewed': 0,
            'refused': 0,
            'lapsed': 0,
            'handed_over': 0,
            'worker_errors': 0,
            'tasks_ended': 0,
            'preempted': 0,
        }

    @property
    def owned_ids(self) -> list[str]:
        """The workers whose lease this node holds now."""
        return [
            worker_id
            for worker_id, owned in self._owned_by_id.items()
            if owned.lease.is_held()
        ]

    @property
    def unreachable_ids(self) -> list[str]:
        """The workers that this node tried in vain to reach."""
        return [
            worker_id
            for worker_id, owned in self._owned_by_id.items()
            if owned.failed_calls >= UNREACHABLE_AFTER_CALLS
        ]

    def owns(self, worker_id: str) -> bool:
        """Tell whether this node holds the lease on a worker now."""
        owned = self._owned_by_id.get(worker_id)
        return owned is not None and owned.lease.is_held()

    def take_list(self, vms: typing.Iterable[membership.Vm]) -> None:
        """Take the platform's list of workers."""
        for vm in vms:
            if vm.role != 'worker':
                continue
            owned = self._owned_by_id.get(vm.vm_id)
            if owned is None:
                self._owned_by_id[vm.vm_id] = _Owned(vm, self._clock)
            else:
                owned.vm = vm

    async def keep_leases(self) -> typing.NoReturn:
        """Acquire, renew and hand over, for as long as the node runs."""
        while True:
            self.tick()
            await asyncio.sleep(0.05)

    def tick(self) -> None:
        """Start the calls that are due."""
        now_ms = self._clock.now()
        self._drop_lapsed()
        self.book.expire()
        self.grantor.tick()
        staying = self._members.staying()
        for owned in self._owned_by_id.values():
            if owned.is_busy or now_ms < owned.next_call_at_ms:
                continue
            self._step(owned, staying)

    async def hand_over_all(self) -> None:
        """Give all leases back; for a node that stops."""
        for owned in self._owned_by_id.values():
            owned.is_draining = True
        held = [o for o in self._owned_by_id.values() if o.lease.is_held()]
        await asyncio.gather(*(self._release(owned) for owned in held))

    async def start_task(
        self, worker_id: str, ref: jobs.TaskRef, token: int, run_ms: int
    ) -> str:
        """Start a reserved attempt; return its status afterwards.

        ``NEVER`` is binding: the attempt is refused from then on.
        """
        known = self.status(worker_id, ref)
        if known is not workerbook.AttemptStatus.RESERVED:
            return known.value
        if not self.book.begin_start(ref, worker_id, token):
            return workerbook.AttemptStatus.NEVER.value
        self.quarantine.begin(worker_id)
        owned = self._owned_by_id[worker_id]
        task = self.book.running(worker_id, ref)
        try:
            answer = await self._port.start(
                owned.vm,
                owned.lease.epoch,
                str(ref),
                task.kind,
                task.size,
                run_ms,
            )
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1
            return workerbook.AttemptStatus.STARTING.value
        if answer['started']:
            self.book.confirm_start(ref)
            return workerbook.AttemptStatus.RUNNING.value
        self.book.end(ref)
        self.book.refuse(ref)
        return workerbook.AttemptStatus.NEVER.value

    def status(
        self, worker_id: str, ref: jobs.TaskRef
    ) -> workerbook.AttemptStatus:
        """Return what is known of an attempt on an owned worker."""
        if ref in self._ended_by_ref:
            return workerbook.AttemptStatus.ENDED
        return self.book.status(ref, worker_id)

    async def stop_task(
        self, worker_id: str, ref: jobs.TaskRef, outcome: str = 'failed'
    ) -> None:
        """Ask a worker to stop an attempt or refuse it from then on.

        ``outcome`` is what the worker then reports of it.
        """
        owned = self._owned_by_id.get(worker_id)
        if owned is None or not owned.lease.is_held():
            return
        try:
            await self._port.stop(
                owned.vm, owned.lease.epoch, str(ref), outcome
            )
            # The next renewal brings the report that it has ended.
            owned.next_call_at_ms = self._clock.now()
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1

    def check_accounts(self) -> None:
        """Raise ``InvariantError`` unless book and ledger add up."""
        self.book.check_accounts()
        self.grantor.ledger.check_accounts()

    def _step(self, owned: _Owned, staying) -> None:
        if owned.lease.is_held():
            self._step_held(owned, staying)
            return
        is_unreachable = owned.failed_calls >= UNREACHABLE_AFTER_CALLS
        wait_ms = UNREACHABLE_POLL_MS if is_unreachable else ACQUIRE_POLL_MS
        owned.next_call_at_ms = self._clock.now() + wait_ms
        is_due = is_unreachable or self._should_own(owned, staying)
        if is_due and self.may_own():
            self._spawn(owned, self._acquire(owned))

    def _step_held(self, owned: _Owned, staying) -> None:
        owned.is_draining = not self._should_own(owned, staying)
        if not self.may_own():
            return
        ledger = self.grantor.ledger
        if owned.is_draining and not ledger.is_leased(owned.vm.vm_id):
            self._spawn(owned, self._release(owned))
            return
        interval_ms = self._lease_ms // RENEWALS_PER_LEASE
        owned.next_call_at_ms = self._clock.now() + interval_ms
        self._spawn(owned, self._acquire(owned))

    def _should_own(self, owned: _Owned, staying) -> bool:
        worker_id = owned.vm.vm_id
        reaching = [
            member
            for member in staying
            if self.reaches(member.node_id, worker_id)
        ]
        best = membership.preferred_owner(
            worker_id, owned.vm.domain, reaching or staying
        )
        return best in (None, self._members.own.node_id)

    def _spawn(self, owned: _Owned, coroutine: typing.Coroutine) -> None:
        owned.is_busy = True
        self._background.spawn(self._gated(owned, coroutine))

    async def _gated(self, owned, coroutine) -> None:
        try:
            async with self._gate:
                await coroutine
        finally:
            owned.is_busy = False

    async def _acquire(self, owned: _Owned) -> None:
        sent_at_ms = self._clock.now()
        try:
            answer = await self._port.acquire(
                owned.vm, self._holder, self._lease_ms, owned.version
            )
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1
            owned.failed_calls += 1
            return
        owned.failed_calls = 0
        if not answer['granted']:
            self.counters['refused'] += 1
            self._lose(owned)
            wait_ms = min(answer['remaining_ms'], ACQUIRE_POLL_MS)
            owned.next_call_at_ms = self._clock.now() + wait_ms
            return
        is_new_boot = owned.boot != answer['boot']
        if is_new_boot:
            # Epochs are compared within one boot of the worker only.
            owned.lease = lease_mod.HeldLease(self._clock)
        was_held = (
            self.book.has_worker(owned.vm.vm_id)
            and owned.lease.epoch == answer['epoch']
        )
        owned.lease.record_grant(sent_at_ms, self._lease_ms, answer['epoch'])
        if not owned.lease.is_held():
            return
        if answer['report'] is not None:
            owned.report = answer['report']
        report = owned.report
        owned.version = answer['version']
        if was_held and not is_new_boot:
            self.counters['renewed'] += 1
        else:
            self.counters['acquired'] += 1
            if is_new_boot:
                self.quarantine.forget(owned.vm.vm_id)
            owned.boot = answer['boot']
            self._take_in(owned, report)
        self._learn(owned, report, sent_at_ms)

    async def _release(self, owned: _Owned) -> None:
        epoch = owned.lease.epoch
        self._lose(owned)
        self.counters['handed_over'] += 1
        try:
            await self._port.release(owned.vm, self._holder, epoch)
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1

    def _take_in(self, owned: _Owned, report) -> None:
        worker_id = owned.vm.vm_id
        self._lose_book(worker_id)
        running = [
            workerbook.RunningTask(
                jobs.parse_ref(task['ref']),
                task['kind'],
                messages.to_resources(task['size']),
                workerbook.AttemptStatus.RUNNING,
                self._clock.now(),
            )
            for task in report['tasks']
        ]
        capacity = messages.to_resources(report['capacity'])
        self.book.add_worker(worker_id, capacity, owned.vm.domain, running)
        usable_from_ms = self._clock.now() + slots.SLOT_GUARD_MS
        self.grantor.ledger.add_worker(
            worker_id, report['slots'], usable_from_ms
        )

    def _learn(self, owned: _Owned, report, sent_at_ms: int) -> None:
        worker_id = owned.vm.vm_id
        freed = self.grantor.ledger.prove_idle(
            worker_id, report['busy'], sent_at_ms
        )
        if freed:
            self.grantor.schedule_rebalance()
        ended = {
            jobs.parse_ref(task['ref']): task['outcome']
            for task in report['ended']
        }
        running = {jobs.parse_ref(task['ref']) for task in report['tasks']}
        for task in self.book.running_on(worker_id):
            if task.ref in ended or task.ref in running:
                continue
            if task.started_at_ms >= sent_at_ms:
                continue
            self._vanished(owned, task)
        for ref in running:
            self.book.confirm_start(ref)
        for ref, outcome in ended.items():
            self._spawn_end(owned, ref, outcome)
        self._reconcile(owned)

    def _reconcile(self, owned: _Owned) -> None:
        """Compare what the log has claimed on a worker with its book.

        An attempt that neither runs nor has a reservation never will: the
        book refuses it, and the log is told.
        """
        worker_id = owned.vm.vm_id
        for ref in self.claimed_on(worker_id):
            status = self.status(worker_id, ref)
            if status is workerbook.AttemptStatus.NEVER:
                self._spawn_end(owned, ref, 'never')
        for task in self.book.running_on(worker_id):
            if not self.is_wanted(task.ref):
                self._background.spawn(self.stop_task(worker_id, task.ref))

    def _vanished(self, owned: _Owned, task: workerbook.RunningTask) -> None:
        """Handle a task that the worker neither runs nor reports ended."""
        if task.status is workerbook.AttemptStatus.RUNNING:
            self._spawn_end(owned, task.ref, 'failed')
            return
        # The start may still be on its way: have the worker refuse it.
        # Once it does, the worker reports the attempt as ended.
        self._background.spawn(self.stop_task(owned.vm.vm_id, task.ref))

    def _spawn_end(self, owned, ref: jobs.TaskRef, outcome: str) -> None:
        if ref in self._recording:
            return
        self._ended_by_ref[ref] = outcome
        self._recording.add(ref)
        self.book.end(ref)
        self._background.spawn(self._record_end(owned, ref, outcome))

    async def _record_end(self, owned, ref, outcome: str) -> None:
        """Record the end of an attempt in the log, then acknowledge it."""
        try:
            if not await self.task_ended(ref, outcome):
                return
            self.counters['tasks_ended'] += 1
            self._ended_by_ref.pop(ref, None)
            await self._port.acknowledge(
                owned.vm, owned.lease.epoch, [str(ref)]
            )
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1
        finally:
            self._recording.discard(ref)

    def _drop_lapsed(self) -> None:
        for owned in self._owned_by_id.values():
            worker_id = owned.vm.vm_id
            if self.book.has_worker(worker_id) and not owned.lease.is_held():
                self.counters['lapsed'] += 1
                self._lose(owned)

    def _lose(self, owned: _Owned) -> None:
        owned.lease.drop()
        self._lose_book(owned.vm.vm_id)

    def _lose_book(self, worker_id: str) -> None:
        self.book.drop_worker(worker_id)
        self.grantor.ledger.drop_worker(worker_id)

    def _grantable_ms(self, worker_id: str) -> int:
        """Return how long slots of a worker may be leased from now."""
        owned = self._owned_by_id.get(worker_id)
        if owned is None or owned.is_draining:
            return 0
        if owned.vm.state == 'leaving' or self._members.is_leaving:
            return 0
        return owned.lease.remaining_ms()

    def is_within_limit(self, kind: str, size: resources.Resources) -> bool:
        """Tell whether a task stays within the limit of its row.

        Each owner applies the share to its own workers, so that the shares
        add up over the fleet. One task is always within the limit.
        """
        row = self.grantor.table.by_kind.get(kind)
        if row is None or not row.limit.is_share:
            return True
        used = self.book.used_by(kind)
        if used == resources.ZERO:
            return True
        capacity = self.book.capacity
        allowed = resources.Resources(
            *(int(row.limit.of(amount)) for amount in capacity)
        )
        return used.plus(size).fits_in(allowed)

    def preempt(
        self,
        ref: jobs.TaskRef,
        kind: str,
        size: resources.Resources,
        claimant: workerbook.Claimant,
    ) -> workerbook.Reservation | None:
        """Stop less urgent tasks for an urgent one; hold their room."""
        by_kind = self.grantor.table.by_kind
        row = by_kind.get(kind)
        if row is None or row.rank > URGENT_RANK:
            return None
        victims = preemption.choose(
            self.book.rooms(), size, row.rank, by_kind, self._clock.now()
        )
        if victims is None or not self.may_place(victims.worker_id):
            return None
        for task in victims.tasks:
            self.counters['preempted'] += 1
            self._background.spawn(
                self.stop_task(victims.worker_id, task.ref, 'preempted')
            )
        return self.book.hold_on(ref, victims.worker_id, kind, size, claimant)

    def may_place(self, worker_id: str) -> bool:
        """Tell whether new tasks may go to a worker."""
        is_owned = self._grantable_ms(worker_id) > 0
        return is_owned and self.quarantine.may_place(worker_id)

    def _address_of(self, worker_id: str) -> tuple[str, int]:
        vm = self._owned_by_id[worker_id].vm
        return vm.host, vm.port

    def summary(self) -> tuple[int, int, resources.Resources]:
        """Return the number of workers, of slots, and the capacity."""
        ledger = self.grantor.ledger
        errors.check(
            ledger.free_total <= ledger.total, 'more free slots than slots'
        )
        return len(self.book), ledger.total, self.book.capacity

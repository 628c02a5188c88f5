"""The owner role: leases on workers.

The worker decides who owns it; rendezvous hashing only says who should try.
Each renewal brings a report, from which the grantor learns which slots are
idle and the task owner which tasks run or ended.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import lease as lease_mod
from carawaymast_core import membership
from carawaymast_core import slots
from carawaymast_node import background
from carawaymast_node import grants
from carawaymast_node import messages
from carawaymast_node import task_owner
from carawaymast_node import worker_port

__all__ = ['OwnerService']

RENEWALS_PER_LEASE = 6
ACQUIRE_POLL_MS = 500
UNREACHABLE_AFTER_CALLS = 3
UNREACHABLE_POLL_MS = 2_000
PARALLEL_CALLS = 32
TICK_MS = 50


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
        self._background = background.TaskSet()
        self._gate = asyncio.Semaphore(PARALLEL_CALLS)
        self.may_own: typing.Callable[[], bool] = lambda: True
        self.reaches: typing.Callable[[str, str], bool]
        self.reaches = lambda node_id, worker_id: True
        self.tasks = task_owner.TaskOwner(
            clock, port, self._held, self._renew_soon
        )
        self.book = self.tasks.book
        self.quarantine = self.tasks.quarantine
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
            await asyncio.sleep(TICK_MS / 1000)

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
        self.tasks.take_in(owned.vm, report)
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
        self.tasks.learn(worker_id, report, sent_at_ms)

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
        self.tasks.drop(worker_id)
        self.grantor.ledger.drop_worker(worker_id)

    def _grantable_ms(self, worker_id: str) -> int:
        """Return how long slots of a worker may be leased from now."""
        owned = self._owned_by_id.get(worker_id)
        if owned is None or owned.is_draining:
            return 0
        if owned.vm.state == 'leaving' or self._members.is_leaving:
            return 0
        return owned.lease.remaining_ms()

    def _held(self, worker_id: str) -> task_owner.HeldWorker | None:
        owned = self._owned_by_id.get(worker_id)
        if owned is None or not owned.lease.is_held():
            return None
        return task_owner.HeldWorker(owned.vm, owned.lease.epoch)

    def _renew_soon(self, worker_id: str) -> None:
        self._owned_by_id[worker_id].next_call_at_ms = self._clock.now()

    def may_place(self, worker_id: str) -> bool:
        """Tell whether new tasks may go to a worker."""
        is_owned = self._grantable_ms(worker_id) > 0
        return is_owned and self.quarantine.may_place(worker_id)

    def _address_of(self, worker_id: str) -> tuple[str, int]:
        vm = self._owned_by_id[worker_id].vm
        return vm.host, vm.port

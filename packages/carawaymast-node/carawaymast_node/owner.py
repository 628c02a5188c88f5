"""The owner role: leases on workers.

The worker grants its lease to one owner; rendezvous hashing only selects the
node that should request it. Each renewal returns a report, which gives the
grantor the idle slots and the task owner the running and ended tasks.
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
ACQUIRE_INTERVAL_MS = 500
UNREACHABLE_AFTER_CALLS = 3
UNREACHABLE_INTERVAL_MS = 2_000
MAX_PARALLEL_CALLS = 32
TICK_INTERVAL_MS = 50


class _TrackedWorker:
    """State of a listed worker, owned by this node or not.

    ``version`` is that of the newest report, within the ``boot`` of the
    worker.
    """

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
    """Counters of the owner role since the node started."""

    acquired: int
    renewed: int
    refused: int
    lapsed: int
    handed_over: int
    worker_errors: int


class OwnerService:
    """Acquires, renews and releases the leases on workers."""

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
        self._tracked_by_id: dict[str, _TrackedWorker] = {}
        self._background = background.TaskSet()
        self._call_semaphore = asyncio.Semaphore(MAX_PARALLEL_CALLS)
        self.may_own: typing.Callable[[], bool] = lambda: True
        self.can_reach: typing.Callable[[str, str], bool]
        self.can_reach = lambda node_id, worker_id: True
        self.tasks = task_owner.TaskOwner(
            clock, port, self._held_worker, self._renew_now
        )
        self.tracker = self.tasks.tracker
        self.quarantine = self.tasks.quarantine
        self.grantor = grants.Grantor(
            members.local.node_id,
            clock,
            call,
            self._grantable_ms,
            lambda worker_id: self._tracked_by_id[worker_id].lease.epoch,
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
            for worker_id, tracked in self._tracked_by_id.items()
            if tracked.lease.is_held()
        ]

    @property
    def unreachable_ids(self) -> list[str]:
        """The workers whose last calls from this node all failed."""
        return [
            worker_id
            for worker_id, tracked in self._tracked_by_id.items()
            if tracked.failed_calls >= UNREACHABLE_AFTER_CALLS
        ]

    def owns(self, worker_id: str) -> bool:
        """Return whether this node holds the lease on a worker now."""
        tracked = self._tracked_by_id.get(worker_id)
        return tracked is not None and tracked.lease.is_held()

    def update_workers(self, vms: typing.Iterable[membership.Vm]) -> None:
        """Apply the platform's list of VMs."""
        for vm in vms:
            if vm.role != 'worker':
                continue
            tracked = self._tracked_by_id.get(vm.vm_id)
            if tracked is None:
                self._tracked_by_id[vm.vm_id] = _TrackedWorker(vm, self._clock)
            else:
                tracked.vm = vm

    async def keep_leases(self) -> typing.NoReturn:
        """Acquire, renew and hand over leases for as long as the node runs."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    def tick(self) -> None:
        """Expire what is due and start the calls that are due."""
        now_ms = self._clock.now()
        self._drop_expired()
        self.tracker.expire()
        self.grantor.tick()
        staying = self._members.staying()
        for tracked in self._tracked_by_id.values():
            if tracked.is_busy or now_ms < tracked.next_call_at_ms:
                continue
            self._start_due_call(tracked, staying)

    async def hand_over_all(self) -> None:
        """Release all leases, for a node that shuts down."""
        for tracked in self._tracked_by_id.values():
            tracked.is_draining = True
        held = [t for t in self._tracked_by_id.values() if t.lease.is_held()]
        await asyncio.gather(*(self._release(tracked) for tracked in held))

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` unless all counts are consistent."""
        self.tracker.check_invariants()
        self.grantor.ledger.check_invariants()

    def _start_due_call(self, tracked: _TrackedWorker, staying) -> None:
        if tracked.lease.is_held():
            self._renew_or_release(tracked, staying)
            return
        is_unreachable = tracked.failed_calls >= UNREACHABLE_AFTER_CALLS
        wait_ms = (
            UNREACHABLE_INTERVAL_MS if is_unreachable else ACQUIRE_INTERVAL_MS
        )
        tracked.next_call_at_ms = self._clock.now() + wait_ms
        is_due = is_unreachable or self._should_own(tracked, staying)
        if is_due and self.may_own():
            self._spawn(tracked, self._acquire(tracked))

    def _renew_or_release(self, tracked: _TrackedWorker, staying) -> None:
        tracked.is_draining = not self._should_own(tracked, staying)
        if not self.may_own():
            return
        ledger = self.grantor.ledger
        if tracked.is_draining and not ledger.is_leased(tracked.vm.vm_id):
            self._spawn(tracked, self._release(tracked))
            return
        interval_ms = self._lease_ms // RENEWALS_PER_LEASE
        tracked.next_call_at_ms = self._clock.now() + interval_ms
        self._spawn(tracked, self._acquire(tracked))

    def _should_own(self, tracked: _TrackedWorker, staying) -> bool:
        worker_id = tracked.vm.vm_id
        reaching = [
            member
            for member in staying
            if self.can_reach(member.node_id, worker_id)
        ]
        best = membership.preferred_owner(
            worker_id, tracked.vm.domain, reaching or staying
        )
        return best in (None, self._members.local.node_id)

    def _spawn(
        self, tracked: _TrackedWorker, coroutine: typing.Coroutine
    ) -> None:
        tracked.is_busy = True
        self._background.spawn(self._run_limited(tracked, coroutine))

    async def _run_limited(self, tracked, coroutine) -> None:
        try:
            async with self._call_semaphore:
                await coroutine
        finally:
            tracked.is_busy = False

    async def _acquire(self, tracked: _TrackedWorker) -> None:
        sent_at_ms = self._clock.now()
        try:
            answer = await self._port.acquire(
                tracked.vm, self._holder, self._lease_ms, tracked.version
            )
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1
            tracked.failed_calls += 1
            return
        tracked.failed_calls = 0
        if not answer['granted']:
            self.counters['refused'] += 1
            self._drop_lease(tracked)
            wait_ms = min(answer['remaining_ms'], ACQUIRE_INTERVAL_MS)
            tracked.next_call_at_ms = self._clock.now() + wait_ms
            return
        is_new_boot = tracked.boot != answer['boot']
        if is_new_boot:
            # Epochs are comparable only within one boot of the worker.
            tracked.lease = lease_mod.HeldLease(self._clock)
        was_held = (
            self.tracker.has_worker(tracked.vm.vm_id)
            and tracked.lease.epoch == answer['epoch']
        )
        tracked.lease.record_grant(sent_at_ms, self._lease_ms, answer['epoch'])
        if not tracked.lease.is_held():
            return
        if answer['report'] is not None:
            tracked.report = answer['report']
        report = tracked.report
        tracked.version = answer['version']
        if was_held and not is_new_boot:
            self.counters['renewed'] += 1
        else:
            self.counters['acquired'] += 1
            if is_new_boot:
                self.quarantine.remove(tracked.vm.vm_id)
            tracked.boot = answer['boot']
            self._on_acquired(tracked, report)
        self._apply_report(tracked, report, sent_at_ms)

    async def _release(self, tracked: _TrackedWorker) -> None:
        epoch = tracked.lease.epoch
        self._drop_lease(tracked)
        self.counters['handed_over'] += 1
        try:
            await self._port.release(tracked.vm, self._holder, epoch)
        except worker_port.WorkerDownError:
            self.counters['worker_errors'] += 1

    def _on_acquired(self, tracked: _TrackedWorker, report) -> None:
        worker_id = tracked.vm.vm_id
        self._drop_worker(worker_id)
        self.tasks.on_worker_acquired(tracked.vm, report)
        usable_from_ms = self._clock.now() + slots.SLOT_GUARD_MS
        self.grantor.ledger.add_worker(
            worker_id, report['slots'], usable_from_ms
        )

    def _apply_report(
        self, tracked: _TrackedWorker, report, sent_at_ms: int
    ) -> None:
        worker_id = tracked.vm.vm_id
        freed = self.grantor.ledger.prove_idle(
            worker_id, report['busy'], sent_at_ms
        )
        if freed:
            self.grantor.schedule_rebalance()
        self.tasks.apply_report(worker_id, report, sent_at_ms)

    def _drop_expired(self) -> None:
        for tracked in self._tracked_by_id.values():
            worker_id = tracked.vm.vm_id
            if (
                self.tracker.has_worker(worker_id)
                and not tracked.lease.is_held()
            ):
                self.counters['lapsed'] += 1
                self._drop_lease(tracked)

    def _drop_lease(self, tracked: _TrackedWorker) -> None:
        tracked.lease.drop()
        self._drop_worker(tracked.vm.vm_id)

    def _drop_worker(self, worker_id: str) -> None:
        self.tasks.drop(worker_id)
        self.grantor.ledger.drop_worker(worker_id)

    def _grantable_ms(self, worker_id: str) -> int:
        """Return for how many ms from now slots of a worker may be leased."""
        tracked = self._tracked_by_id.get(worker_id)
        if tracked is None or tracked.is_draining:
            return 0
        if tracked.vm.state == 'leaving' or self._members.is_leaving:
            return 0
        return tracked.lease.remaining_ms()

    def _held_worker(self, worker_id: str) -> task_owner.HeldWorker | None:
        tracked = self._tracked_by_id.get(worker_id)
        if tracked is None or not tracked.lease.is_held():
            return None
        return task_owner.HeldWorker(tracked.vm, tracked.lease.epoch)

    def _renew_now(self, worker_id: str) -> None:
        self._tracked_by_id[worker_id].next_call_at_ms = self._clock.now()

    def may_place(self, worker_id: str) -> bool:
        """Return whether new tasks may be placed on a worker."""
        is_owned = self._grantable_ms(worker_id) > 0
        return is_owned and self.quarantine.may_place(worker_id)

    def _address_of(self, worker_id: str) -> tuple[str, int]:
        vm = self._tracked_by_id[worker_id].vm
        return vm.host, vm.port

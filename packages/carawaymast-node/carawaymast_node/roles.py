"""The roles of a node, connected to each other and to the given ports.

``Roles`` opens nothing itself, so that the same roles run over HTTP and gRPC
in a node process and over plain functions on a virtual clock in tests.
"""

import asyncio
import collections
import typing

import circuits

from carawaymast_core import account as account_mod
from carawaymast_core import clock as clock_mod
from carawaymast_core import fleetshape
from carawaymast_core import membership
from carawaymast_core import resources
from carawaymast_node import account_writer
from carawaymast_node import coordinator as coordinator_mod
from carawaymast_node import endpoint as endpoint_mod
from carawaymast_node import entry as entry_mod
from carawaymast_node import expiry_cleaner
from carawaymast_node import heartbeats as heartbeats_mod
from carawaymast_node import log_port as log_port_mod
from carawaymast_node import log_service
from carawaymast_node import logs
from carawaymast_node import owner as owner_mod
from carawaymast_node import peers
from carawaymast_node import reservations
from carawaymast_node import slot_requester
from carawaymast_node import table_service
from carawaymast_node import task_owner
from carawaymast_node import worker_port as worker_port_mod

__all__ = ['Ports', 'Roles']

ISOLATED_AFTER_MS = 4_000
CHECK_INTERVAL_MS = 500

CallPeer = typing.Callable[..., typing.Awaitable[typing.Any]]


class Ports(typing.NamedTuple):
    """The external interfaces of a node."""

    log: log_port_mod.LogPort
    workers: worker_port_mod.WorkerPort
    endpoints: endpoint_mod.EndpointClient
    call_peer: CallPeer


class Roles(circuits.BaseComponent):
    """All roles of one node."""

    channel = 'roles'

    def __init__(
        self,
        local: membership.Member,
        holder: str,
        clock: clock_mod.Clock,
        ports: Ports,
        owner_lease_ms: int,
        log_retention_ms: int,
    ):
        super().__init__()
        self._ports = ports
        self._isolated_since_ms: int | None = None
        self.clock = clock
        self.service = peers.PeerService()
        self.members = membership.Membership(local)
        self.account = account_mod.Account()
        self.shapes = fleetshape.FleetShapes()
        self.log = log_service.LogService(
            ports.log,
            local.node_id,
            clock,
            log_retention_ms,
            lambda: len(self.members.live()),
        ).register(self)
        self.tables = table_service.TableService(self.log).register(self)
        self.entry = entry_mod.EntryService(
            clock, ports.endpoints, self.account
        )
        self.owner = owner_mod.OwnerService(
            holder,
            clock,
            ports.workers,
            self.members,
            owner_lease_ms,
            self.call,
        )
        self.requester = slot_requester.SlotRequester(
            clock, self.members, self.call, self.entry
        )
        self.heartbeats = heartbeats_mod.Heartbeats(
            clock,
            self.members,
            self.call,
            self.entry,
            self.requester,
            self.owner,
            self.tables,
            self.log,
        )
        self.coordinator = coordinator_mod.Coordinator(
            clock,
            self.log,
            self.members,
            self.call,
            self._free_cpu_of,
            self.count_by_shape,
            self._is_urgent,
        ).register(self)
        self.tally_writer = account_writer.AccountWriter(
            holder, clock, self.log, self.account
        )
        self.expiry_cleaner = expiry_cleaner.ExpiryCleaner(
            clock, self.log, self._is_preferred_writer
        )
        self._connect_roles()

    @property
    def is_isolated(self) -> bool:
        """Whether log and peers have been unreachable for long.

        The limit is ``ISOLATED_AFTER_MS``.
        """
        if self._isolated_since_ms is None:
            return False
        isolated_ms = self.clock.now() - self._isolated_since_ms
        return isolated_ms > ISOLATED_AFTER_MS

    def coroutines(self) -> list[typing.Coroutine]:
        """Return the coroutines that run for as long as the node runs."""
        return [
            self.log.follow(),
            self.log.write(),
            log_service.keep_snapshots(self.log, self._is_preferred_writer),
            self.heartbeats.keep_sending(),
            self.owner.keep_leases(),
            self.entry.keep_expiring(),
            self.coordinator.keep_advancing(),
            self.tally_writer.keep_writing(),
            self.expiry_cleaner.keep_cleaning(),
            self._keep_checking(),
        ]

    async def call(
        self,
        member: membership.Member,
        method: str,
        message: typing.Any,
        timeout_ms: int = peers.CALL_TIMEOUT_MS,
    ) -> typing.Any:
        """Call a member; a call to this node itself is local."""
        if member.node_id == self.members.local.node_id:
            return await self.service.handler_by_method[method](message)
        return await self._ports.call_peer(member, method, message, timeout_ms)

    def update_vms(self, vms: typing.Sequence[membership.Vm]) -> None:
        """Apply the platform's list of VMs."""
        self.members.update_list(vms)
        self.owner.update_workers(vms)
        for vm in vms:
            if vm.state == 'leaving':
                self.entry.cache.drop_worker(vm.vm_id)

    def count_by_shape(self) -> fleetshape.CountByShape:
        """Return the number of workers of each capacity in the fleet."""
        self._observe_fleet()
        return self.shapes.counts()

    def _observe_fleet(self) -> None:
        """Record the number of owned workers of each capacity."""
        total: collections.Counter[resources.Resources]
        total = collections.Counter()
        for view in self.heartbeats.view_by_id.values():
            total.update(view.count_by_shape)
        self.shapes.observe(total, self.clock.now())

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` unless the roles are consistent."""
        self.entry.check_invariants()
        self.owner.check_invariants()

    def _connect_roles(self) -> None:
        """Connect the roles to each other by callbacks and handlers."""
        self.requester.send_heartbeat = self.heartbeats.send
        self.requester.slots_of = self.heartbeats.slots_of
        self.entry.request_more_slots = self.requester.request_slots
        self.entry.release_spare_slots = self.requester.release_idle
        self.entry.return_slot = self.requester.return_slot
        self.owner.tasks.record_task_end = self.coordinator.record_end
        self.coordinator.on_outcome = self.owner.quarantine.record_outcome
        self.owner.tasks.claimed_on = self.coordinator.index.claimed_on
        self.owner.tasks.is_wanted = self.coordinator.is_wanted
        self.owner.may_own = lambda: not self.is_isolated
        self.owner.can_reach = self.heartbeats.can_reach
        handlers = self.service.handler_by_method
        handlers['Beat'] = self.heartbeats.on_heartbeat
        handlers['OfferSlots'] = self.requester.on_offer
        handlers['RecallSlots'] = self.requester.on_recall
        handlers['ReturnSlots'] = self.owner.grantor.on_return_message
        reservations.register(self.service, self.owner)

    @circuits.handler('table_changed', channel='*')
    def _on_table_changed(self, table) -> None:
        """Apply a newer table in all roles."""
        self.entry.apply_table(table)
        self.owner.grantor.table = table
        self.owner.tasks.table = table
        logs.log_event('table', version=table.version)

    def _free_cpu_of(self, node_id: str) -> int:
        view = self.heartbeats.view_by_id.get(node_id)
        if view is None:
            return 0
        return view.capacity[0] - view.used[0]

    def _is_urgent(self, kind: str) -> bool:
        row = self.tables.table.by_kind.get(kind)
        return row is not None and row.rank <= task_owner.URGENT_RANK

    def _is_preferred_writer(self) -> bool:
        node_ids = [member.node_id for member in self.members.staying()]
        best = membership.preferred('snapshot', node_ids)
        return best == self.members.local.node_id

    async def _keep_checking(self) -> typing.NoReturn:
        """Check isolation and invariants for as long as the node runs."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            self._update_isolation()
            self._observe_fleet()
            self.check_invariants()

    def _update_isolation(self) -> None:
        if self.log.is_reachable or self.heartbeats.is_connected:
            if self.is_isolated:
                logs.log_event('isolated', isolated=False)
            self._isolated_since_ms = None
        elif self._isolated_since_ms is None:
            self._isolated_since_ms = self.clock.now()
            logs.log_event('isolated', isolated=True)

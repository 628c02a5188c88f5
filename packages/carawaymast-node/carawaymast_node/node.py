"""The node: its roles, wired together, from start to graceful shutdown."""

import asyncio
import contextlib
import os
import resource
import typing
import uuid

import aiohttp
import circuits
from circuits.web import servers
from grpclib import server as grpc_server

from carawaymast_core import account as account_mod
from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import membership
from carawaymast_core import resources
from carawaymast_node import account_writer
from carawaymast_node import api as api_mod
from carawaymast_node import beats as beats_mod
from carawaymast_node import coordinator as coordinator_mod
from carawaymast_node import dump
from carawaymast_node import endpoint
from carawaymast_node import entry as entry_mod
from carawaymast_node import events
from carawaymast_node import guard as guard_mod
from carawaymast_node import log_port
from carawaymast_node import log_service
from carawaymast_node import logs
from carawaymast_node import loop as loop_mod
from carawaymast_node import owner as owner_mod
from carawaymast_node import peers
from carawaymast_node import reservations
from carawaymast_node import settings as settings_mod
from carawaymast_node import table_keeper
from carawaymast_node import vm_list
from carawaymast_node import worker_port

__all__ = ['Node']

SWEEP_MS = 500
CHECK_MS = 1_000
DRAIN_POLL_MS = 20
READY_GRACE_MS = 1_000
ISOLATED_AFTER_MS = 4_000


class Node(circuits.BaseComponent):
    """One node with all of its roles.

    Use it as an asynchronous context manager around ``serve``.
    """

    channel = 'node'

    def __init__(self, settings: settings_mod.Settings):
        super().__init__()
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._stop = asyncio.Event()
        self._ready_since_ms: int | None = None
        self._isolated_since_ms: int | None = None
        self.clock = clock_mod.monotonic()
        self.started_at_ms = self.clock.now()
        self.is_draining = False

    async def __aenter__(self) -> 'Node':
        await self._stack.__aenter__()
        await self._build()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.__aexit__(*exc_info)

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def serve(self) -> None:
        """Run until ``request_stop`` and then drain."""
        steps = [
            self.log.follow(),
            self.log.write(),
            log_service.keep_snapshots(self.log, self._writes_snapshots),
            self.vms.keep_reading(),
            self.beats.keep_beating(),
            self.owner.keep_leases(),
            self.entry.keep_expiring(),
            self.coordinator.keep_working(),
            self.accounts.keep_writing(),
            self._keep_checking(),
        ]
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(step) for step in steps]
            await self._stop.wait()
            await self._drain()
            for task in tasks:
                task.cancel()

    async def _build(self) -> None:
        settings = self._settings
        own = membership.Member(
            settings.node_id,
            settings.host,
            settings.peer_port,
            settings.domain,
        )
        holder = f'{settings.node_id}-{uuid.uuid4().hex[:8]}'
        self.holder = holder
        self.members = membership.Membership(own)
        session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, limit_per_host=4)
            )
        )
        self.clients = await self._stack.enter_async_context(
            peers.PeerClients()
        )
        endpoints = await self._stack.enter_async_context(
            endpoint.EndpointClient()
        )
        self.service = peers.PeerService()
        self.account = account_mod.Account()
        self.log = log_service.LogService(
            log_port.LogPort(session, settings.log_url),
            settings.node_id,
            self.clock,
            settings.log_retention_ms,
            lambda: len(self.members.live()),
        ).register(self)
        self.tables = table_keeper.TableKeeper(self.log).register(self)
        self.entry = entry_mod.EntryService(
            self.clock, endpoints, self.account
        )
        self.owner = owner_mod.OwnerService(
            holder,
            self.clock,
            worker_port.http_port(session),
            self.members,
            settings.owner_lease_ms,
            self._call,
        )
        self.beats = beats_mod.Beats(
            self.clock,
            self.members,
            self._call,
            self.entry,
            self.owner,
            self.tables,
            self.log,
        )
        self.coordinator = coordinator_mod.Coordinator(
            self.clock,
            self.log,
            self.members,
            self._call,
            self._free_cpu_of,
        ).register(self)
        self.accounts = account_writer.AccountWriter(
            holder, self.log, self.account
        )
        self.vms = vm_list.VmListReader(
            session, settings.vms_url, self._take_vms
        )
        self._wire()
        await self._open()

    def _wire(self) -> None:
        """Connect the roles to each other by plain functions."""
        self.entry.want_slots = self.beats.demand
        self.entry.give_back = self.beats.give_back
        self.owner.task_ended = self.coordinator.record_end
        self.owner.claimed_on = self.coordinator.index.claimed_on
        self.owner.is_wanted = self.coordinator.is_wanted
        self.owner.may_own = lambda: not self.is_isolated
        handlers = self.service.handler_by_method
        handlers['Beat'] = self.beats.on_beat
        handlers['OfferSlots'] = self.beats.on_offer
        handlers['RecallSlots'] = self.beats.on_recall
        handlers['ReturnSlots'] = self.beats.on_return
        reservations.register(self.service, self.owner)

    async def _open(self) -> None:
        """Open the ports for peers and callers."""
        settings = self._settings
        peer_server = grpc_server.Server([self.service])
        await peer_server.start(settings.host, settings.peer_port)
        self._stack.callback(peer_server.close)
        loop_mod.AsyncioPoller().register(self)
        self.web = servers.BaseServer(
            (settings.host, settings.http_port), display_banner=False
        ).register(self)
        self.guard = guard_mod.Guard(
            self.clock,
            settings.max_connections,
            settings.max_body_bytes,
            settings.client_timeout_ms,
        ).register(self)
        self.api = api_mod.Api(
            self.guard,
            self.entry,
            self.tables,
            self.log,
            self._reports(),
            self.fleet_shapes,
        ).register(self)

    def _reports(self):
        return {
            '/livez': lambda: (200, {'alive': True}),
            '/readyz': self._readyz,
            '/v1/metrics': lambda: (200, dump.metrics(self)),
            '/v1/account': lambda: (200, self.account.tally_by_kind),
            '/v1/state': lambda: (200, dump.state(self)),
        }

    def _readyz(self) -> api_mod.Answered:
        body = {
            'ready': self.is_ready,
            'draining': self.is_draining,
            'table_version': self.tables.table.version,
            'isolated': self.is_isolated,
        }
        return (200 if self.is_ready else 503), body

    @property
    def is_ready(self) -> bool:
        """Whether the node serves requests."""
        has_table = self.tables.table.version > 0
        return has_table and not self.is_draining and not self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Whether the node has reached neither log nor peers for long."""
        if self._isolated_since_ms is None:
            return False
        silent_ms = self.clock.now() - self._isolated_since_ms
        return silent_ms > ISOLATED_AFTER_MS

    def fleet_shapes(self) -> set[resources.Resources]:
        """Return the distinct capacities of all owned workers."""
        shapes = set(self.owner.book.shapes())
        for view in self.beats.view_by_id.values():
            shapes.update(resources.Resources(*s) for s in view.shapes)
        return shapes

    @circuits.handler('table_changed', channel='*')
    def _on_table_changed(self, table) -> None:
        """Put a newer table in force in all roles."""
        self.entry.take_table(table)
        self.owner.grantor.table = table
        logs.changed('table', version=table.version)

    async def _call(
        self, member, method: str, message, timeout_ms=peers.CALL_TIMEOUT_MS
    ):
        """Call a member; a call to this node itself takes no network."""
        if member.node_id == self.members.own.node_id:
            return await self.service.handler_by_method[method](message)
        return await self.clients.call(member, method, message, timeout_ms)

    def _free_cpu_of(self, node_id: str) -> int:
        view = self.beats.view_by_id.get(node_id)
        if view is None:
            return 0
        return view.capacity[0] - view.used[0]

    def _take_vms(self, vms: list[membership.Vm]) -> None:
        self.members.update_list(vms)
        self.owner.take_list(vms)
        leaving = {vm.vm_id for vm in vms if vm.state == 'leaving'}
        for worker_id in leaving:
            self.entry.cache.drop_worker(worker_id)

    def _writes_snapshots(self) -> bool:
        node_ids = [member.node_id for member in self.members.staying()]
        best = membership.preferred('snapshot', node_ids)
        return best == self.members.own.node_id

    async def _keep_checking(self) -> typing.NoReturn:
        """Assert the invariants and sweep connections, again and again."""
        while True:
            await asyncio.sleep(SWEEP_MS / 1000)
            self.guard.sweep()
            self._watch_isolation()
            self.entry.check_accounts()
            self.owner.check_accounts()

    def _watch_isolation(self) -> None:
        if self.log.is_reachable or self.beats.is_connected:
            if self.is_isolated:
                logs.changed('isolated', isolated=False)
            self._isolated_since_ms = None
        elif self._isolated_since_ms is None:
            self._isolated_since_ms = self.clock.now()
            logs.changed('isolated', isolated=True)

    async def _drain(self) -> None:
        """Shut down gracefully: nothing new in, everything answered."""
        self.is_draining = True
        self.fire(events.drain_started(), '*')
        logs.changed('draining', in_flight=self.entry.in_flight)
        give_up_at_ms = self.clock.now() + self._settings.drain_ms
        await self.beats.say_leaving()
        # The balancer needs a moment to see that readiness fails.
        await asyncio.sleep(READY_GRACE_MS / 1000)
        self.entry.is_draining = True
        self.api.is_draining = True
        while self.entry.in_flight or self.coordinator.is_active:
            if self.clock.now() > give_up_at_ms:
                break
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        await self.owner.hand_over_all()
        await self.accounts.write_last()
        await asyncio.sleep(DRAIN_POLL_MS / 1000)
        logs.changed('stopped', in_flight=self.entry.in_flight)

    def resources_used(self) -> dict[str, float]:
        """Return processor seconds and resident megabytes of the process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        with open(f'/proc/{os.getpid()}/statm') as statm:
            pages = int(statm.read().split()[1])
        errors.check(pages > 0, 'a process has resident pages')
        return {
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'rss_mb': pages * resource.getpagesize() / 1_000_000,
        }

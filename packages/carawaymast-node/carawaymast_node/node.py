"""The node process: its ports and roles, startup and graceful shutdown."""

import asyncio
import os
import resource
import typing
import uuid

import aiohttp
from circuits.web import servers
from grpclib import server as grpc_server

from carawaymast_core import clock as clock_mod
from carawaymast_core import membership
from carawaymast_node import api as api_mod
from carawaymast_node import channels
from carawaymast_node import connection_limiter as connection_limiter_mod
from carawaymast_node import dump
from carawaymast_node import endpoint
from carawaymast_node import lifecycle
from carawaymast_node import log_port
from carawaymast_node import logs
from carawaymast_node import loop as loop_mod
from carawaymast_node import peer_grpc
from carawaymast_node import peers
from carawaymast_node import roles as roles_mod
from carawaymast_node import settings as settings_mod
from carawaymast_node import vm_list
from carawaymast_node import worker_port

__all__ = ['Node']

SWEEP_INTERVAL_MS = 500
DRAIN_POLL_INTERVAL_MS = 20
READY_GRACE_MS = 1_000
PLATFORM_CONNECTIONS = 4


class Node(lifecycle.Process):
    """One node with all of its roles.

    It is an asynchronous context manager; call ``serve`` inside it.
    """

    def __init__(self, settings: settings_mod.Settings):
        super().__init__()
        self._settings = settings
        self.clock = clock_mod.monotonic()
        self.started_at_ms = self.clock.now()

    @property
    def is_ready(self) -> bool:
        """Whether the node serves requests."""
        has_table = self.roles.tables.table.version > 0
        is_isolated = self.roles.is_isolated
        return has_table and not self.is_draining and not is_isolated

    async def serve(self) -> None:
        """Run until ``request_stop``, then drain."""
        coroutines = [
            *self.roles.coroutines(),
            self.vms.keep_reading(),
            self._keep_sweeping(),
        ]
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(coroutine) for coroutine in coroutines]
            await self._stop.wait()
            if self._failure is not None:
                raise self._failure
            await self._drain()
            for task in tasks:
                task.cancel()

    def resources_used(self) -> dict[str, float]:
        """Return CPU seconds and resident megabytes of the process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        with open(f'/proc/{os.getpid()}/statm') as statm:
            pages = int(statm.read().split()[1])
        return {
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'rss_mb': pages * resource.getpagesize() / 1_000_000,
        }

    async def _build(self) -> None:
        """Create the ports and the roles that use them."""
        settings = self._settings
        local = membership.Member(
            settings.node_id,
            settings.host,
            settings.peer_port,
            settings.domain,
        )
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=PLATFORM_CONNECTIONS
        )
        enter = self._stack.enter_async_context
        session = await enter(aiohttp.ClientSession(connector=connector))
        self.clients = await enter(
            channels.PeerChannels(peer_grpc.PeerStub, logs.log_event)
        )
        self.endpoints = await enter(
            endpoint.EndpointClient(lambda: len(self.roles.members.live()))
        )
        ports = roles_mod.Ports(
            log_port.LogPort(session, settings.log_url),
            worker_port.http_worker_port(session),
            self.endpoints,
            peers.calls_over(self.clients),
        )
        # A restarted node must not use the leases of its previous process.
        holder = f'{settings.node_id}-{uuid.uuid4().hex[:8]}'
        self.roles = roles_mod.Roles(
            local,
            holder,
            self.clock,
            ports,
            settings.owner_lease_ms,
            settings.log_retention_ms,
        ).register(self)
        self.vms = vm_list.VmListReader(
            session, settings.vms_url, self.roles.update_vms
        )

    async def _open(self) -> None:
        """Open the ports for peers and callers."""
        settings = self._settings
        peer_server = grpc_server.Server([self.roles.service])
        await peer_server.start(settings.host, settings.peer_port)
        self._stack.callback(peer_server.close)
        loop_mod.AsyncioPoller().register(self)
        self.web = servers.BaseServer(
            (settings.host, settings.http_port), display_banner=False
        ).register(self)
        self.connection_limiter = connection_limiter_mod.ConnectionLimiter(
            self.clock,
            settings.max_connections,
            settings.max_body_bytes,
            settings.client_timeout_ms,
        ).register(self)
        self.api = api_mod.Api(
            self.connection_limiter,
            self.roles,
            self._reports(),
        ).register(self)

    def _reports(
        self,
    ) -> dict[str, typing.Callable[[], api_mod.StatusAndBody]]:
        account = self.roles.account
        return {
            '/livez': lambda: (200, {'alive': True}),
            '/readyz': self._readyz,
            '/v1/metrics': lambda: (200, dump.metrics(self)),
            '/v1/account': lambda: (200, account.tally_by_kind),
            '/v1/state': lambda: (200, dump.state(self)),
        }

    def _readyz(self) -> api_mod.StatusAndBody:
        body = {
            'ready': self.is_ready,
            'draining': self.is_draining,
            'table_version': self.roles.tables.table.version,
            'isolated': self.roles.is_isolated,
        }
        return (200 if self.is_ready else 503), body

    async def _keep_sweeping(self) -> typing.NoReturn:
        """Close slow and idle connections for as long as the node runs."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1000)
            self.connection_limiter.sweep()

    async def _drain(self) -> None:
        """Shut down gracefully: refuse new requests, answer accepted ones."""
        roles = self.roles
        self.is_draining = True
        logs.log_event('draining', in_flight=roles.entry.in_flight)
        give_up_at_ms = self.clock.now() + self._settings.drain_ms
        await roles.heartbeats.announce_leaving()
        # The load balancer needs time to see that readiness fails.
        await asyncio.sleep(READY_GRACE_MS / 1000)
        roles.entry.is_draining = True
        self.api.is_draining = True
        while roles.entry.in_flight or roles.coordinator.is_active:
            if self.clock.now() > give_up_at_ms:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
        await roles.owner.hand_over_all()
        await roles.tally_writer.write_final()
        # The last responses are sent in the next iterations of the loop.
        await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / 1000)
        logs.log_event('stopped', in_flight=roles.entry.in_flight)

"""A node that serves a cell on a platform: startup, roles and shutdown."""

import asyncio
import typing
import uuid

from circuits.web import servers
from grpclib import server as grpc_server
import msgspec

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import candidacy
from carawaymast_node import connection_limiter as connection_limiter_mod
from carawaymast_node import lifecycle
from carawaymast_node import loop as loop_mod
from carawaymast_node.cells import advice_dispatcher
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import draining
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import frontend as frontend_mod
from carawaymast_node.cells import gauges
from carawaymast_node.cells import intake as intake_mod
from carawaymast_node.cells import leader as leader_mod
from carawaymast_node.cells import leader_calls
from carawaymast_node.cells import leader_watch as leader_watch_mod
from carawaymast_node.cells import leadership
from carawaymast_node.cells import membership
from carawaymast_node.cells import pages
from carawaymast_node.cells import ports
from carawaymast_node.cells import relay
from carawaymast_node.cells import replica as replica_mod
from carawaymast_node.cells import telemetry as telemetry_mod

__all__ = ['CellNode']

MAX_BODY_BYTES = 262_144  # the platform's limit
# How long a caller's request may take to arrive.
CALLER_TIMEOUT_MS = 3_000
SWEEP_INTERVAL_MS = 500
# Short, since a claim needs a read that was sent some time after the leader's
# last renewal.
LEAD_READ_WAIT_MS = 450
STATE_PATH = '/state'  # on the metrics port


class CellNode(lifecycle.Process):
    """A node process: frontend, replica and, at times, leader of a cell."""

    def __init__(
        self, platform: ports.Platform, clock: clock_mod.Clock
    ) -> None:
        super().__init__()
        self.platform = platform
        self.settings = platform.settings
        self.clock = clock
        self.boot_id = uuid.uuid4().hex[:12]
        self.metrics = telemetry_mod.Metrics()
        self.log = telemetry_mod.Telemetry(
            clock, self.metrics, self.settings.node_id
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers to this node."""
        return not self.is_draining and self.replica.is_usable

    async def _build(self) -> None:
        settings = self.settings
        enter = self._stack.enter_async_context
        self.peers = await enter(
            fabric.Peers(self.clock, settings.node_id, self.log.log_event)
        )
        self.route = relay.StoreRoute(
            self.platform.store_link,
            self.peers,
            self.clock,
            self.log,
            self.metrics,
        )
        self.store = self.platform.make_store(self.route.send)
        reader_factory = replica_mod.ReaderFactory(
            self.store, self.clock, self.log, lambda: self.route.is_direct
        )
        replica = self.replica = replica_mod.Replica(
            reader_factory,
            self.platform,
            self.peers,
            lambda: self.leader is not None,
            self._on_job,
        )
        self.membership = membership.Membership(
            self.store,
            membership.make_record(settings, self.boot_id),
            self.log,
        )
        self.peers.is_complete = lambda: replica.has_members
        self.election = election_mod.Election(
            self.store,
            self.clock,
            settings.node_id,
            self.boot_id,
            replica_mod.PART,
            lambda: self.leadership.on_change(),
            lambda epoch: self.leader_watch.loss.is_lost(epoch),
            lambda: candidacy.may_succeed_itself(
                settings.speed,
                [peer.speed for peer in self.peers.member_by_id.values()],
            ),
        )
        self.leader_watch = leader_watch_mod.LeaderWatch(
            self.election,
            self.peers,
            self.log,
            self.metrics,
            lambda: self.leader.epoch if self.leader is not None else None,
            lambda: self.leadership.wake(),
            self.clock,
            settings.node_id,
        )
        self._lead_reader = reader_factory.topic_reader(
            election_mod.TOPIC,
            self.election.apply_update,
            wait_ms=LEAD_READ_WAIT_MS,
        )
        self.leader_calls = leader_calls.LeaderCalls(
            settings.node_id,
            self.election,
            self.peers,
            replica.apply_intake_record,
            replica.view.phase,
            lambda: self.leader,
        )
        self.intake = intake_mod.Intake(
            self.store,
            self.clock,
            self.metrics,
            replica_mod.PART,
            self.leader_calls.deliver,
        )
        context = context_mod.CellContext(
            self.clock,
            self.log,
            self.metrics,
            self.platform,
            self.store,
            self.peers,
            replica.view,
            replica.intake_reader,
            replica.state_reader,
            self.election,
        )
        self.leadership = leadership.Leadership(
            context,
            self._lead_reader,
            self.fail,
            self.leader_watch.loss,
            lambda: self.route.lost_at_ms,
            self.boot_id,
        )

    def _on_job(self, job_id: str) -> None:
        """Pass a job that is stored to the leader, if this node leads."""
        if self.leader is not None:
            self.leader.on_job(job_id)

    @property
    def leader(self) -> leader_mod.Leader | None:
        """The current term of leadership, if this node leads."""
        return self.leadership.leader

    async def _open(self) -> None:
        """Open the ports for peers, callers and the balancer."""
        settings = self.settings
        service = fabric.FabricService(
            {
                'CallStore': self.route.answer,
                'Advise': advice_dispatcher.make_advise_handler(
                    self.platform.advise, self.clock, self.log
                ),
                'Submit': self.leader_calls.answer_submit,
                'Deliver': self.leader_calls.answer_deliver,
                'ShowJob': self.leader_calls.answer_show,
                'ShowTerm': self.leadership.show_term,
                'Watch': self.leader_watch.answer_watch,
            }
        )
        peer_server = grpc_server.Server([service])
        await peer_server.start(settings.host, settings.peer_port)
        self._stack.callback(peer_server.close)
        await self._stack.enter_async_context(
            self.leader_watch.listening(settings.host, settings.peer_port)
        )
        loop_mod.AsyncioPoller().register(self)
        servers.BaseServer(
            settings.caller_address, display_banner=False
        ).register(self)
        self.connection_limiter = connection_limiter_mod.ConnectionLimiter(
            self.clock,
            settings.max_connections,
            MAX_BODY_BYTES,
            CALLER_TIMEOUT_MS,
        ).register(self)
        parts = frontend_mod.FrontendParts(
            self.clock,
            self.log,
            self.metrics,
            self.platform.ingress,
            self.platform.replies,
            self.replica.configuration,
            self.replica.view,
            self.intake,
            self.replica.wait_current,
            self.leader_calls,
        )
        self.frontend = frontend_mod.Frontend(
            self.connection_limiter, parts
        ).register(self)
        pages.open_pages(
            self,
            'ready',
            settings.ready_address,
            {settings.ready_path: self._ready_page},
        )
        self.metrics.add_gauges(lambda: gauges.of_node(self))
        pages.open_pages(
            self,
            'metrics',
            (settings.host, settings.metrics_port),
            {
                settings.metrics_path: lambda: (200, self.metrics.text()),
                STATE_PATH: self._state_page,
            },
        )

    def _ready_page(self) -> tuple[int, str]:
        return (200, 'ready\n') if self.is_ready else (503, 'not ready\n')

    def log_state(self) -> None:
        """Log the state of the node, at an operator's request."""
        self.log.log_event('state_asked', **gauges.state(self))

    def _state_page(self) -> tuple[int, str]:
        return 200, msgspec.json.encode(gauges.state(self)).decode()

    async def serve(self) -> None:
        """Run until ``request_stop`` and then shut down gracefully."""
        coroutines = [
            *self.replica.coroutines(),
            self._lead_reader.run(),
            self.intake.run(),
            self.leadership.keep_electing(),
            self.leader_watch.keep_beating(),
            self.leader_watch.keep_watching(),
            self._keep_sweeping(),
            self._join(),
            self.route.keep_probing(self._probe_store),
            telemetry_mod.stream_to_stdout(self.metrics),
        ]
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(coroutine) for coroutine in coroutines]
            self.log.log_event(
                'started', node=self.settings.node_id, boot=self.boot_id
            )
            await self._stop.wait()
            if self._failure is None:
                await draining.drain(self)
            else:
                self.log.log_event('failed', error=repr(self._failure))
                self.leadership.end()
            for task in tasks:
                task.cancel()
        if self._failure is not None:
            raise self._failure

    async def _join(self) -> None:
        """Store this node's record, and let it claim from then on.

        A next leader asks all members whether they have stopped.
        """
        await self.membership.advertise()
        self.leadership.allow_claims()

    async def leave(self) -> None:
        """Drop this node's record, so that no peer counts on it."""
        await self.membership.withdraw(self.replica.members_reader.end_offset)

    async def _probe_store(self, timeout_ms: int) -> None:
        """Send the store a read that it answers at once, by itself."""
        store = self.platform.make_store(self.route.send_anew)
        reader = self._lead_reader
        await store.read(
            reader.topic, reader.part, reader.offset or 0, 0, timeout_ms
        )

    async def _keep_sweeping(self) -> typing.NoReturn:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1000)
            self.connection_limiter.sweep()

"""A node that serves cells on a platform: start, roles, graceful shutdown."""

import asyncio
import contextlib
import os
import random
import resource
import signal
import typing
import uuid

import circuits
from circuits.web import servers
from grpclib import server as grpc_server

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import view as view_mod
from carawaymast_node import guard as guard_mod
from carawaymast_node import loop as loop_mod
from carawaymast_node.cells import advice_desk
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import front as front_mod
from carawaymast_node.cells import intake as intake_mod
from carawaymast_node.cells import leader as leader_mod
from carawaymast_node.cells import leader_calls
from carawaymast_node.cells import ports
from carawaymast_node.cells import relay
from carawaymast_node.cells import routing
from carawaymast_node.cells import tail as tail_mod
from carawaymast_node.cells import telemetry as telemetry_mod

__all__ = ['CellNode', 'serve']

PART = 0
MAX_BODY_BYTES = 262_144  # the platform's limit of a body
CALLER_TIMEOUT_MS = 3_000
SWEEP_MS = 500
# Pause between reads of jobs. The leader is told of new ones directly, and
# callers' questions go to it, so that this bounds only what is late when such
# a call fails.
FOLLOW_PAUSE_MS = 400
LEAD_PAUSE_MS = 200
MEMBER_PAUSE_MS = 3_000
# Members and configuration change rarely; a silent long poll is noticed
# within its wait and a second.
RARE_WAIT_MS = 1_000
# The leader's silence has to be shown by a read that was sent after it.
LEAD_WAIT_MS = 450
CLAIM_POLL_MS = 60
CLAIM_JITTER_MS = 120
MEMBER_RETRY_MS = 500
# The balancer takes a node out after two looks, a second apart.
DRAIN_SERVE_MS = 2_600
DRAIN_POLL_MS = 20
# The hand-over waits so long for a write under way and for its own record.
FINISH_MS = 300
RELEASE_MS = 800
# Closing connections and the interpreter's end, before SIGKILL.
EXIT_MS = 1_000


class CellNode(circuits.BaseComponent):
    """One process: front, follower of the cell and, at times, its leader."""

    channel = 'node'

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
        self._stack = contextlib.AsyncExitStack()
        self._stop = asyncio.Event()
        self._failure: BaseException | None = None
        self.leader: leader_mod.Leader | None = None
        self._leader_task: asyncio.Task | None = None
        self.is_draining = False

    async def __aenter__(self) -> 'CellNode':
        await self._stack.__aenter__()
        await self._build()
        await self._open()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.__aexit__(*exc_info)

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    def fail(self, error: BaseException) -> None:
        """Stop at once: a node that broke an invariant must not go on."""
        self._failure = error
        self._stop.set()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer shall send callers here."""
        return (
            not self.is_draining
            and self.routes.version is not None
            and self._intake_tail.current_as_of_ms is not None
        )

    async def _build(self) -> None:
        settings = self.settings
        enter = self._stack.enter_async_context
        self.peers = await enter(fabric.Peers(self.clock, settings.node_id))
        self.route = relay.StoreRoute(
            self.platform.send_to_store,
            self.peers,
            self.clock,
            self.log,
            self.metrics,
        )
        self.store = self.platform.store_over(self.route.send)
        self.view = view_mod.JobView()
        self.routes = routing.Routes(self.log)
        self.election = election_mod.Election(
            self.store,
            self.clock,
            settings.node_id,
            self.boot_id,
            PART,
            self._on_leader_change,
        )
        self.leader_calls = leader_calls.LeaderCalls(
            settings.node_id,
            self.election,
            self.peers,
            self._take_delivered,
            self.view.phase,
            lambda: self.leader,
        )
        self.intake = intake_mod.Intake(
            self.store, self.metrics, PART, self.leader_calls.deliver
        )
        self._intake_tail = self._tail(
            intake_mod.TOPIC, self._take_intake, pause_ms=self._pause_ms
        )
        self._state_tail = self._tail(
            'state', self._take_state, pause_ms=self._pause_ms
        )
        self._lead_tail = self._tail(election_mod.TOPIC, self.election.take)
        self._member_tail = self._tail(
            fabric.MEMBERS_TOPIC,
            self.peers.take,
            pause_ms=lambda: MEMBER_PAUSE_MS,
        )
        self._declared_tail = self._tail(
            settings.declarations_topic, self._take_declared
        )

    def _tail(
        self, topic, apply, pause_ms=lambda: 0, wait_ms=RARE_WAIT_MS
    ) -> tail_mod.Tail:
        return tail_mod.Tail(
            self.store,
            self.clock,
            self.log,
            topic,
            PART,
            apply,
            wait_ms,
            pause_ms,
            lambda: self.route.is_direct,
        )

    def _pause_ms(self) -> int:
        is_leading = self.leader is not None
        return LEAD_PAUSE_MS if is_leading else FOLLOW_PAUSE_MS

    async def _open(self) -> None:
        """Open the ports for peers, callers and the balancer."""
        settings = self.settings
        service = fabric.FabricService(
            {
                'CallStore': self.route.answer,
                'Advise': advice_desk.answer_peer(self.platform.advise),
                'Submit': self.leader_calls.answer_submit,
                'Deliver': self.leader_calls.answer_deliver,
                'ShowJob': self.leader_calls.answer_show,
            }
        )
        peer_server = grpc_server.Server([service])
        await peer_server.start(settings.host, settings.peer_port)
        self._stack.callback(peer_server.close)
        loop_mod.AsyncioPoller().register(self)
        servers.BaseServer(
            settings.caller_address, display_banner=False
        ).register(self)
        self.guard = guard_mod.Guard(
            self.clock,
            settings.max_connections,
            MAX_BODY_BYTES,
            CALLER_TIMEOUT_MS,
        ).register(self)
        parts = front_mod.FrontParts(
            self.clock,
            self.log,
            self.metrics,
            self.platform.ingress,
            self.routes,
            self.view,
            self.intake,
            self._intake_tail,
            self.leader_calls,
        )
        self.front = front_mod.Front(self.guard, parts).register(self)
        self._open_pages(
            'ready', settings.ready_address, {'/-/readyz': self._ready_page}
        )
        self.metrics.add_gauges(self._gauges)
        self._open_pages(
            'metrics',
            (settings.host, settings.metrics_port),
            {'/metrics': lambda: (200, self.metrics.text())},
        )

    def _open_pages(self, channel, address, pages) -> None:
        servers.BaseServer(
            address, channel=channel, display_banner=False
        ).register(self)
        front_mod.Pages(channel, pages).register(self)

    def _ready_page(self) -> tuple[int, str]:
        return (200, 'ready\n') if self.is_ready else (503, 'not ready\n')

    def _gauges(self) -> dict[str, float]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        found = {
            'process_cpu_seconds': usage.ru_utime + usage.ru_stime,
            'process_peak_memory_mb': usage.ru_maxrss / 1_000,
            'is_leader': float(self.leader is not None),
            'configuration_version': float(self.routes.version or 0),
            'callers_connections': self.guard.open_total,
            'jobs_known': len(self.view.submission_by_id),
        }
        if self.leader is not None:
            cell = self.leader.cell
            found['steps_waiting'] = len(cell.ready_by_name)
            found['workers_known'] = len(cell.worker_by_key)
        return found

    # -- records -----------------------------------------------------------

    def _take_intake(self, item: ports.StoredItem) -> None:
        self._take_delivered(item.key, item.value)

    def _take_delivered(self, key: str, value: bytes) -> None:
        job_id = self.view.take_intake(key, value)
        if job_id is not None and self.leader is not None:
            self.leader.take_job(job_id)

    def _take_state(self, item: ports.StoredItem) -> None:
        self.view.take_state(item.key, item.value)

    def _take_declared(self, item: ports.StoredItem) -> None:
        declared = self.platform.ingress.decode_declarations(item)
        if declared is not None:
            self.routes.take(declared)

    # -- leadership --------------------------------------------------------

    def _on_leader_change(self) -> None:
        election = self.election
        self.log.note(
            'leader_seen',
            epoch=election.epoch,
            node=election.record.node_id,
            released=election.record.is_released,
        )
        if election.is_own:
            if self.leader is None or self.leader.epoch != election.epoch:
                self._end_leading('superseded by an own claim')
                self._begin_leading(election.epoch)
        elif self.leader is not None:
            self._end_leading('another node leads')

    def _begin_leading(self, epoch: int) -> None:
        context = leader_mod.CellContext(
            self.clock,
            self.log,
            self.metrics,
            self.platform,
            self.store,
            self.peers,
            self.view,
            self._intake_tail,
            self._state_tail,
            self.election,
        )
        self.election.confirmed_at_ms = self.clock.now()
        self.leader = leader_mod.Leader(context, epoch)
        self._leader_task = asyncio.ensure_future(self._lead(self.leader))
        self._intake_tail.hurry()

    async def _lead(self, leader: leader_mod.Leader) -> None:
        try:
            await leader.run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # A broken invariant: nothing that this node believes is safe.
            self.fail(error)
        if self.leader is leader:
            self.leader = None

    def _end_leading(self, why: str) -> None:
        if self.leader is None:
            return
        self.log.note('leading_ended', epoch=self.leader.epoch, why=why)
        self.leader = None
        if self._leader_task is not None:
            self._leader_task.cancel()

    async def _keep_electing(self) -> typing.NoReturn:
        renewed_at_ms = 0
        while True:
            await asyncio.sleep(CLAIM_POLL_MS / 1000)
            leader = self.leader
            now_ms = self.clock.now()
            try:
                if leader is not None and not self.is_draining:
                    if now_ms - renewed_at_ms >= election_mod.RENEW_MS:
                        renewed_at_ms = now_ms
                        await self.election.renew(leader.epoch, ())
                elif not self.is_draining:
                    await self._claim_if_vacant()
            except ports.StoreError as error:
                self.log.note('election_call_failed', error=str(error))

    async def _claim_if_vacant(self) -> None:
        if not self.election.is_vacant(self._lead_tail):
            return
        await asyncio.sleep(random.uniform(0, CLAIM_JITTER_MS) / 1000)
        if self.election.is_vacant(self._lead_tail):
            self.log.note('leadership_claimed')
            await self.election.claim(self._lead_tail.end_offset)

    # -- the process -------------------------------------------------------

    async def serve(self) -> None:
        """Run until ``request_stop`` and then shut down gracefully."""
        steps = [
            self._intake_tail.run(),
            self._state_tail.run(),
            self._lead_tail.run(),
            self._member_tail.run(),
            self._declared_tail.run(),
            self.intake.run(),
            self._keep_electing(),
            self._keep_sweeping(),
            self._join(),
            self.route.keep_probing(self._probe_store),
            telemetry_mod.open_stdout(self.metrics),
        ]
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(step) for step in steps]
            self.log.note(
                'started', node=self.settings.node_id, boot=self.boot_id
            )
            await self._stop.wait()
            if self._failure is None:
                await self._drain()
            else:
                self.log.note('failed', error=repr(self._failure))
            for task in tasks:
                task.cancel()
        if self._failure is not None:
            raise self._failure

    async def _join(self) -> None:
        """Tell the other nodes where this one is."""
        settings = self.settings
        member = records.MemberRecord(
            settings.node_id,
            settings.host,
            settings.peer_port,
            settings.domain,
            self.boot_id,
        )
        item = ports.KeyValue(settings.node_id, records.encode(member))
        while True:
            try:
                await self.store.append(fabric.MEMBERS_TOPIC, PART, [item])
                return
            except ports.StoreError as error:
                self.log.note('join_failed', error=str(error))
                await asyncio.sleep(MEMBER_RETRY_MS / 1000)

    async def _probe_store(self) -> None:
        """Ask the store directly for what it would answer at once."""
        store = self.platform.store_over(self.route.send_direct)
        tail = self._lead_tail
        await store.read(tail.topic, tail.part, tail.offset or 0, 0)

    async def _keep_sweeping(self) -> typing.NoReturn:
        while True:
            await asyncio.sleep(SWEEP_MS / 1000)
            self.guard.sweep()

    async def _drain(self) -> None:
        """Hand over, go on answering until the balancer has noticed."""
        began_ms = self.clock.now()
        until_ms = began_ms + self.settings.grace_ms - EXIT_MS
        self.is_draining = True
        self.front.is_draining = True
        self.log.note('draining', in_flight=self.front.in_flight)
        await self._hand_over()
        served_ms = self.clock.now() - began_ms
        await asyncio.sleep(max(0, DRAIN_SERVE_MS - served_ms) / 1000)
        while self.front.in_flight and self.clock.now() < until_ms:
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        self.log.note('stopped', in_flight=self.front.in_flight)

    async def _hand_over(self) -> None:
        """Give up the leadership, so that another node claims it at once."""
        leader = self.leader
        if leader is None:
            return
        await leader.finish(FINISH_MS)
        try:
            async with asyncio.timeout(RELEASE_MS / 1000):
                await self.election.release(leader.epoch)
        except (ports.StoreError, TimeoutError) as error:
            self.log.note('release_failed', error=repr(error))
        self._end_leading('handed over')


async def serve(
    connect: typing.Callable[
        [], contextlib.AbstractAsyncContextManager[ports.Platform]
    ],
) -> None:
    """Run a node on a platform until SIGTERM or SIGINT."""
    root = loop_mod.Root()
    loop = asyncio.get_running_loop()
    async with connect() as platform:
        node = CellNode(platform, clock_mod.monotonic())
        async with node:
            node.register(root)
            root.begin()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, node.request_stop)
            loop.add_signal_handler(
                signal.SIGHUP,
                lambda: node.log.note('reload_asked', pid=os.getpid()),
            )
            loop.set_exception_handler(
                lambda loop, context: _on_fault(node, context)
            )
            await node.serve()


def _on_fault(node: CellNode, context: dict) -> None:
    """Log a fault that nothing handled, and stop.

    Without an exception it is a warning, say of a channel closed late.
    """
    error = context.get('exception')
    node.log.note('fault', message=context['message'], error=repr(error))
    if error is not None:
        node.fail(error)

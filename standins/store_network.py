"""Nodes that follow a configuration over connections that can fail.

``StorePath`` stands for a node's HTTP client and its path to the store: a
pool of connections that can be cut, fall silent for good, or be refused.
``ConfiguredNode`` runs the real readers and the real route of store calls on
such a path, with its peers behind links that can be cut as well. All run on a
``virtual.VirtualLoop``.
"""

import asyncio
import collections
import contextlib
import json
import types
import typing
import urllib.parse

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import relay
from carawaymast_node.cells import replica as replica_mod
from carawaymast_node.cells import service
from carawaymast_node.cells import telemetry
from carawaymast_platform import ingress
from carawaymast_platform import store as store_mod
from standins import keyed_log

__all__ = [
    'APPLY_MS',
    'ConfiguredNode',
    'HOST',
    'StorePath',
    'add_members',
    'declare',
]

MS_PER_S = 1_000
HOST = 'desk.example'
APPLY_MS = 2_000
CALL_MS = 6
PEER_CALL_MS = 4
# A lost packet is sent again after this time, then after twice that, and so
# on; a SYN packet after a second.
RETRANSMISSION_S = 0.2
SYN_RETRANSMISSION_S = 1.0
CONNECT_TIMEOUT_S = 1.5
STEP_S = 0.01


class _Connection:
    """A connection to the store; a silent one carries nothing more."""

    def __init__(self) -> None:
        self.is_silent = False


class StorePath:
    """A node's connections to the store.

    ``is_cut`` holds packets up until the cut ends. ``refusal`` is '' or how
    the store treats the node's calls: 'busy' or 'mute'.
    """

    def __init__(self, log: keyed_log.KeyedLog):
        self._log = log
        self._connections: set[_Connection] = set()
        self._idle: collections.deque[_Connection] = collections.deque()
        self.is_cut = False
        self.refusal = ''
        self.calls = 0

    def silence_connections(self) -> None:
        """Let all open connections carry nothing more, without a sign."""
        for connection in self._connections:
            connection.is_silent = True

    async def send(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> ports.StoreReply:
        """Send a call on a connection of the pool, or on a new one."""
        return await self._send(method, target, body, timeout_ms, self._idle)

    async def send_anew(
        self, method: str, target: str, body: bytes, timeout_ms: float
    ) -> ports.StoreReply:
        """Send a call on a connection of its own."""
        pool: collections.deque[_Connection] = collections.deque()
        return await self._send(method, target, body, timeout_ms, pool)

    def drop_connections(self) -> None:
        """Use none of the connections that are idle now."""
        self._idle.clear()

    async def _send(self, method, target, body, timeout_ms, pool):
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                async with self._connection(pool) as connection:
                    return await self._call(connection, method, target, body)
        except TimeoutError:
            raise ports.StoreError('no answer', True) from None

    @contextlib.asynccontextmanager
    async def _connection(self, pool) -> typing.AsyncIterator[_Connection]:
        connection = pool.popleft() if pool else await self._connect()
        self._connections.add(connection)
        try:
            yield connection
        except ports.StoreError:
            # The store has answered: the connection can be used again.
            pool.append(connection)
            raise
        except BaseException:
            self._connections.discard(connection)
            raise
        pool.append(connection)

    async def _connect(self) -> _Connection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._deliver(SYN_RETRANSMISSION_S)
        except TimeoutError:
            raise ports.StoreError('no connection', False) from None
        return _Connection()

    async def _deliver(self, retransmission_s: float) -> None:
        """Return once a packet that is sent now has arrived."""
        while self.is_cut:
            await asyncio.sleep(retransmission_s)
            retransmission_s *= 2

    async def _call(self, connection, method, target, body):
        await self._deliver(RETRANSMISSION_S)
        if connection.is_silent or self.refusal == 'mute':
            await asyncio.Event().wait()
        await asyncio.sleep(CALL_MS / MS_PER_S)
        if self.refusal == 'busy':
            raise ports.StoreError('status 503', False)
        reply = await self._answer(method, target, body)
        await self._deliver(RETRANSMISSION_S)
        if connection.is_silent:
            await asyncio.Event().wait()
        return reply

    async def _answer(self, method, target, body):
        query = urllib.parse.parse_qs(target.partition('?')[2])
        wait_s = int(query.get('wait_ms', ['0'])[0]) / MS_PER_S
        while True:
            reply = self._log.send(method, target, body)
            is_empty = len(reply.body) == keyed_log.READ_HEADER.size
            if reply.status != 200 or not is_empty or wait_s <= 0:
                return reply
            await asyncio.sleep(STEP_S)
            wait_s -= STEP_S


class _PeerChannels:
    """Calls to other nodes, over links that can be cut."""

    def __init__(self, node: 'ConfiguredNode', node_by_id):
        self._node = node
        self._node_by_id = node_by_id

    def close(self, node_id: str) -> None:
        """Do nothing; there is no channel."""

    async def call(self, node_id, address, method, message, timeout_ms):
        """Call a node, and wait for its answer while the link is cut."""
        peer = self._node_by_id[node_id]
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while self._node.is_cut_off or peer.is_cut_off:
                    await asyncio.sleep(STEP_S)
                await asyncio.sleep(PEER_CALL_MS / MS_PER_S)
                return await peer.route.answer(message)
        except TimeoutError:
            raise channels.PeerError('no answer') from None


class ConfiguredNode:
    """A node's readers, and its route to the store.

    ``is_cut_off`` cuts it from all other nodes, ``path.is_cut`` from the
    store.
    """

    def __init__(
        self,
        node_id: str,
        log: keyed_log.KeyedLog,
        clock: clock_mod.Clock,
        node_by_id: dict[str, 'ConfiguredNode'],
    ):
        self.node_id = node_id
        self.is_cut_off = False
        self.path = StorePath(log)
        self._clock = clock
        self.events: list[tuple[int, str, dict]] = []
        metrics = telemetry.Metrics()
        telemetry_log = telemetry.Telemetry(clock, metrics, node_id)
        telemetry_log.log_event = self._add_event  # type: ignore
        peers = fabric.Peers(clock, node_id, lambda *event, **fields: None)
        peers._channels = _PeerChannels(self, node_by_id)  # type: ignore
        self.route = make_route(
            self.path, peers, clock, telemetry_log, metrics
        )
        store = store_mod.Store(self.route.send)
        factory = replica_mod.ReaderFactory(
            store, clock, telemetry_log, lambda: self.route.is_direct
        )
        platform = types.SimpleNamespace(
            ingress=ingress.INGRESS,
            settings=types.SimpleNamespace(
                declarations_topic='op',
                declarations_apply_ms=APPLY_MS,
                workers_topic='servers',
            ),
        )
        self.replica = replica_mod.Replica(
            factory, platform, peers, lambda: False, lambda job_id: None
        )
        self._lead_reader = factory.topic_reader(
            election_mod.TOPIC,
            lambda item: None,
            wait_ms=service.LEAD_READ_WAIT_MS,
        )
        self._tasks: list[asyncio.Task] = []

    def _add_event(self, event_type: str, **fields: typing.Any) -> None:
        self.events.append((self._clock.now(), event_type, fields))

    def start(self) -> None:
        """Run the readers and the probes of the store."""
        loop = asyncio.get_event_loop()
        coroutines = [
            *self.replica.coroutines(),
            self._lead_reader.run(),
            self.route.keep_probing(self._probe),
        ]
        self._tasks = [loop.create_task(c) for c in coroutines]

    def stop(self) -> None:
        """Cancel everything that the node runs."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, timeout_ms: int) -> None:
        store = store_mod.Store(self.route.send_anew)
        await store.read(election_mod.TOPIC, 0, 0, 0, timeout_ms)

    async def status(self, path: str) -> int:
        """Return 200 if a queue is found at a path, or the refusal's."""
        try:
            await self.replica.configuration.find(HOST, path)
        except errors.SchedulerError as error:
            return error.answer.status
        return 200


def make_route(path, peers, clock, log, metrics) -> relay.StoreRoute:
    """Return a node's route of store calls."""
    link = ports.StoreLink(path.send, path.send_anew, path.drop_connections)
    return relay.StoreRoute(link, peers, clock, log, metrics)


def add_members(
    log: keyed_log.KeyedLog, node_ids: typing.Iterable[str]
) -> None:
    """Publish the records of nodes, as they do when they start."""
    for number, node_id in enumerate(node_ids):
        member = records.MemberRecord(
            node_id, '127.0.0.1', number + 1, 'd', 'boot'
        )
        log.put('keyed.members', node_id, records.encode(member))


def declare(
    log: keyed_log.KeyedLog, version: int, prefixes: typing.Iterable[str]
) -> None:
    """Acknowledge a version of the configuration with queues at prefixes."""
    routes = [
        {
            'name': prefix,
            'host': HOST,
            'path_prefix': prefix,
            'service': 's',
        }
        for prefix in prefixes
    ]
    value = json.dumps({'version': version, 'routes': routes}).encode()
    log.put('keyed.op', 'config', value)

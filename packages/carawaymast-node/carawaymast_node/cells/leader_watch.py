"""Heartbeats of a cell's leader and its successors' calls to it.

Each heartbeat is a datagram to one successor. A successor also keeps one call
to the leader open: its connection is reset once the leader's process ends.
"""

import asyncio
import contextlib
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import leader_loss
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import telemetry

__all__ = ['LeaderWatch']

HEARTBEAT_INTERVAL_MS = 100
# The open call is repeated, so that a silent connection is replaced.
WATCH_WAIT_MS = 5_000
WATCH_RETRY_INTERVAL_MS = 20
WATCH_TIMEOUT_MS = WATCH_WAIT_MS + 1_000


class LeaderWatch(asyncio.DatagramProtocol):
    """Sends heartbeats while this node leads, else listens for them.

    ``leading_epoch`` returns the epoch of this node's term or None.
    ``on_lost`` is called when the leader seems to be lost.
    """

    def __init__(
        self,
        election: election_mod.Election,
        peers: fabric.Peers,
        log: telemetry.Telemetry,
        metrics: telemetry.Metrics,
        leading_epoch: typing.Callable[[], int | None],
        on_lost: typing.Callable[[], None],
        clock: clock_mod.Clock,
        node_id: str,
    ):
        self._election = election
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._leading_epoch = leading_epoch
        self._on_lost = on_lost
        self._clock = clock
        self._node_id = node_id
        self._transport: asyncio.DatagramTransport | None = None
        self._successors = leader_loss.Successors()
        self._successors_epoch: int | None = None
        self.loss = leader_loss.LeaderLoss()

    @contextlib.asynccontextmanager
    async def listening(
        self, host: str, port: int
    ) -> typing.AsyncIterator['LeaderWatch']:
        """Listen for heartbeats on a UDP port until the context is left."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        try:
            yield self
        finally:
            transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, for the heartbeats that this node sends."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Record a heartbeat; ignore a datagram that is none.

        One of an epoch that this node has not read yet is ignored too: more
        will follow, and bytes of other software could hold any number.
        """
        try:
            heartbeat = records.decode(records.Heartbeat, data)
            leader_loss.check_rank(heartbeat.rank)
        except ValueError as error:
            self._metrics.count('heartbeats_unreadable_total')
            self._log.log_event(
                'heartbeat_unreadable', sender=str(addr), error=str(error)
            )
            return
        if heartbeat.epoch == self._election.epoch:
            self.loss.record_heartbeat(heartbeat.epoch, heartbeat.rank)

    async def keep_beating(self) -> typing.NoReturn:
        """Send a heartbeat in each interval, or count a missed one."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)
            epoch = self._leading_epoch()
            if epoch is not None:
                self._send(epoch)
                continue
            self.loss.record_interval()
            if self.loss.is_lost(self._election.epoch):
                self._on_lost()

    def _send(self, epoch: int) -> None:
        if epoch != self._successors_epoch:
            self._successors_epoch = epoch
            self._successors = leader_loss.Successors()
        successors = self._successors.choose(
            self._peers.member_by_id.values(),
            self._peers.unreachable_ids,
            self._clock.now(),
        )
        for rank, member in enumerate(successors):
            heartbeat = records.Heartbeat(epoch, rank)
            self._transport.sendto(
                records.encode(heartbeat), (member.host, member.port)
            )

    async def keep_watching(self) -> typing.NoReturn:
        """Keep a call to the leader open while this is a successor."""
        while True:
            member = self._watched_leader()
            if member is None:
                await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)
                continue
            epoch = self._election.epoch
            message = fabric_pb2.WatchCall(epoch=epoch, node_id=self._node_id)
            try:
                await self._peers.call(
                    member, 'Watch', message, WATCH_TIMEOUT_MS
                )
            except channels.PeerError as error:
                # After a connection that has failed, the next call shows
                # whether the process still listens.
                if not error.is_sent:
                    self._log.log_event('leader_ended', epoch=epoch)
                    self.loss.record_ended(epoch)
                    self._on_lost()
                await asyncio.sleep(WATCH_RETRY_INTERVAL_MS / 1000)

    def _watched_leader(self) -> records.MemberRecord | None:
        """Return the leader if this node is one of its successors."""
        record = self._election.record
        epoch = self._election.epoch
        if record is None or record.is_released:
            return None
        if epoch != self.loss.epoch or self.loss.is_lost(epoch):
            return None
        return self._peers.member_by_id.get(record.node_id)

    async def answer_watch(
        self, message: fabric_pb2.WatchCall
    ) -> fabric_pb2.WatchAnswer:
        """Answer a successor's call after a while.

        The call shows that both processes run.
        """
        self._successors.record_watch(message.node_id, self._clock.now())
        await asyncio.sleep(WATCH_WAIT_MS / 1000)
        return fabric_pb2.WatchAnswer()

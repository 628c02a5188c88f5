"""Calls between the nodes of a cell, and the list of its other nodes."""

import random
import typing

from grpclib import server

from carawaymast_core import clock as clock_mod
from carawaymast_core import decoding
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node import fabric_grpc
from carawaymast_node.cells import ports

__all__ = ['FabricService', 'Peers']

MEMBERS_TOPIC = 'members'
# How long a failed peer is not called. For calls that any peer can answer, the
# time doubles with each further failure, up to the maximum.
MIN_AVOID_MS = 2_000
MAX_AVOID_MS = 16_000


class Peers:
    """The other nodes, with one channel to each; a context manager."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        local_id: str,
        log_event: channels.LogEvent,
    ):
        self._clock = clock
        self._local_id = local_id
        self._channels = channels.PeerChannels(
            fabric_grpc.FabricStub, log_event
        )
        self._failed_at_by_id: dict[str, int] = {}
        self._failures_by_id: dict[str, int] = {}
        self.member_by_id: dict[str, records.MemberRecord] = {}
        # The peers whose last call had no reply.
        self.unreachable_ids: set[str] = set()
        # Whether the members topic has been read to its end.
        self.is_complete: typing.Callable[[], bool] = lambda: False

    async def __aenter__(self) -> 'Peers':
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._channels.__aexit__(*exc_info)

    def apply_update(self, item: ports.StoredItem) -> None:
        """Apply a record of the members topic."""
        if item.key == self._local_id:
            return
        if not item.value:
            self.member_by_id.pop(item.key, None)
            self._channels.close(item.key)
            return
        member = records.decode(records.MemberRecord, item.value)
        decoding.parse_address(f'{member.host}:{member.port}')
        if self.member_by_id.get(item.key) != member:
            self._channels.close(item.key)
            self._clear_failures(item.key)
        self.member_by_id[item.key] = member

    def candidates(self) -> list[records.MemberRecord]:
        """Return the peers that are not avoided, in random order."""
        now_ms = self._clock.now()
        found = [
            member
            for member in self.member_by_id.values()
            if self._avoid_until_ms(member.node_id) <= now_ms
        ]
        random.shuffle(found)
        return found

    def reachable(self, node_id: str) -> records.MemberRecord | None:
        """Return a peer, or None if it is unknown or has just failed.

        For calls that only this peer can answer: unlike in ``candidates``, it
        is avoided for ``MIN_AVOID_MS`` only, however often it has failed.
        """
        failed_at_ms = self._failed_at_by_id.get(node_id)
        now_ms = self._clock.now()
        if failed_at_ms is not None and now_ms - failed_at_ms < MIN_AVOID_MS:
            return None
        return self.member_by_id.get(node_id)

    def avoid(self, member: records.MemberRecord) -> None:
        """Record a failure of a peer, which is then not called for a while."""
        node_id = member.node_id
        self._failed_at_by_id[node_id] = self._clock.now()
        self._failures_by_id[node_id] = (
            self._failures_by_id.get(node_id, 0) + 1
        )

    def _avoid_until_ms(self, node_id: str) -> int:
        failures = self._failures_by_id.get(node_id, 0)
        if not failures:
            return 0
        backoff_ms = min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** (failures - 1))
        return self._failed_at_by_id[node_id] + backoff_ms

    def _clear_failures(self, node_id: str) -> None:
        self._failed_at_by_id.pop(node_id, None)
        self._failures_by_id.pop(node_id, None)
        self.unreachable_ids.discard(node_id)

    async def call(
        self,
        member: records.MemberRecord,
        method: str,
        message: typing.Any,
        timeout_ms: float,
    ) -> typing.Any:
        """Call ``method`` of a peer and return its reply.

        Raises ``PeerError`` if there is none within ``timeout_ms``; the peer
        is then avoided for a while.
        """
        address = (member.host, member.port)
        try:
            reply = await self._channels.call(
                member.node_id, address, method, message, timeout_ms
            )
        except channels.PeerError:
            self.avoid(member)
            self.unreachable_ids.add(member.node_id)
            raise
        self._clear_failures(member.node_id)
        return reply


class FabricService(channels.MethodDispatcher, fabric_grpc.FabricBase):
    """The calls that this node answers, each by its handler."""

    async def CallStore(self, stream: server.Stream) -> None:  # noqa: N802
        """Send a store call on behalf of a peer."""
        await self._dispatch('CallStore', stream)

    async def Advise(self, stream: server.Stream) -> None:  # noqa: N802
        """Call the advice service on behalf of the leader."""
        await self._dispatch('Advise', stream)

    async def Submit(self, stream: server.Stream) -> None:  # noqa: N802
        """Store a job for another node."""
        await self._dispatch('Submit', stream)

    async def Deliver(self, stream: server.Stream) -> None:  # noqa: N802
        """Apply intake records that another node has stored."""
        await self._dispatch('Deliver', stream)

    async def ShowJob(self, stream: server.Stream) -> None:  # noqa: N802
        """Return the phase of a job."""
        await self._dispatch('ShowJob', stream)

    async def ShowTerm(self, stream: server.Stream) -> None:  # noqa: N802
        """Return whether this process may still send orders as a leader."""
        await self._dispatch('ShowTerm', stream)

    async def Watch(self, stream: server.Stream) -> None:  # noqa: N802
        """Stay open while this process runs."""
        await self._dispatch('Watch', stream)

"""Calls between a node and the leader of the cell.

They only make things faster: whatever is delivered or shown here is in the
store too, and a call that fails falls back on it.
"""

import typing

from carawaymast_core.cell import records
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports

__all__ = ['LeaderCalls']

# A leader that is well answers within some ms; callers should not wait for
# one that is not.
CALL_TIMEOUT_MS = 300


class LeaderCalls:
    """Reaches the leader, this node's own or a peer's."""

    def __init__(
        self,
        node_id: str,
        election: election_mod.Election,
        peers: fabric.Peers,
        take: typing.Callable[[str, bytes], None],
        show: typing.Callable[[str], records.JobPhase | None],
        is_leading: typing.Callable[[], bool],
    ):
        self._node_id = node_id
        self._election = election
        self._peers = peers
        self._take = take
        self._show = show
        self._is_leading = is_leading

    async def deliver(self, items: typing.Sequence[ports.KeyValue]) -> None:
        """Hand records that are stored to the leader."""
        if self._is_leading():
            for item in items:
                self._take(item.key, item.value)
            return
        leader = self._leader()
        if leader is None:
            return
        message = fabric_pb2.DeliverCall(
            records=[
                fabric_pb2.Record(key=item.key, value=item.value)
                for item in items
            ]
        )
        try:
            await self._peers.call(leader, 'Deliver', message, CALL_TIMEOUT_MS)
        except fabric.PeerError:
            # The leader's tail of the store brings them a little later.
            return

    async def phase(self, job_id: str) -> records.JobPhase | None:
        """Return the state that the leader knows, None if it tells none."""
        leader = self._leader()
        if self._is_leading() or leader is None:
            return None
        try:
            answer = await self._peers.call(
                leader,
                'ShowJob',
                fabric_pb2.ShowCall(job_id=job_id),
                CALL_TIMEOUT_MS,
            )
        except fabric.PeerError:
            return None
        if not answer.is_leader or not answer.phase:
            return None
        return records.JobPhase(answer.phase)

    async def answer_deliver(
        self, message: fabric_pb2.DeliverCall
    ) -> fabric_pb2.DeliverAnswer:
        """Take records from another node."""
        is_taken = self._is_leading()
        if is_taken:
            for record in message.records:
                self._take(record.key, record.value)
        return fabric_pb2.DeliverAnswer(taken=is_taken)

    async def answer_show(
        self, message: fabric_pb2.ShowCall
    ) -> fabric_pb2.ShowAnswer:
        """Tell another node the state of a job."""
        if not self._is_leading():
            return fabric_pb2.ShowAnswer(is_leader=False)
        phase = self._show(message.job_id)
        text = phase.value if phase is not None else ''
        return fabric_pb2.ShowAnswer(is_leader=True, phase=text)

    def _leader(self) -> records.MemberRecord | None:
        record = self._election.record
        if record is None or record.is_released:
            return None
        if record.node_id == self._node_id:
            return None
        return self._peers.reachable(record.node_id)

"""Calls between a node and the leader of the cell.

They only save time: everything they do is also possible through the store,
and a call that fails falls back to it.
"""

import asyncio
import typing

from carawaymast_core import errors
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import leader as leader_mod
from carawaymast_node.cells import ports

__all__ = ['LeaderCalls']

# A healthy leader answers within some ms; callers should not wait for one that
# does not.
CALL_TIMEOUT_MS = 300
# The leader's write takes some ms, and half a second on a slow store. After
# this time the caller's node stores the job without the leader.
SUBMIT_TIMEOUT_MS = 1_200


class LeaderCalls:
    """Calls the leader, on this node or a peer, and answers such calls."""

    def __init__(
        self,
        node_id: str,
        election: election_mod.Election,
        peers: fabric.Peers,
        apply_record: typing.Callable[[str, bytes], None],
        get_phase: typing.Callable[[str], records.JobPhase | None],
        leader: typing.Callable[[], leader_mod.Leader | None],
    ):
        self._node_id = node_id
        self._election = election
        self._peers = peers
        self._apply_record = apply_record
        self._get_phase = get_phase
        self._local_leader = leader

    async def submit(
        self, submission: spec_mod.Submission
    ) -> ports.StoreOutcome:
        """Store a job through the leader and return the outcome.

        Storing the job again is harmless, whatever the outcome. Raises
        ``SchedulerError`` if the leader refuses the job.
        """
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_MS / 1000):
                local_leader = self._local_leader()
                if local_leader is not None:
                    return await local_leader.accept(submission)
                return await self._submit_to_peer(submission)
        except TimeoutError:
            return ports.StoreOutcome.UNKNOWN

    async def _submit_to_peer(self, submission) -> ports.StoreOutcome:
        leader = self._peer_leader()
        if leader is None:
            return ports.StoreOutcome.NO
        message = fabric_pb2.SubmitCall(
            record=fabric_pb2.Record(
                key=submission.job_id, value=records.encode(submission)
            )
        )
        try:
            answer = await self._peers.call(
                leader, 'Submit', message, SUBMIT_TIMEOUT_MS
            )
        except channels.PeerError as error:
            return (
                ports.StoreOutcome.UNKNOWN
                if error.is_sent
                else ports.StoreOutcome.NO
            )
        if answer.refusal:
            kind = errors.ErrorKind.IMPOSSIBLE_JOB
            if answer.retry_after_s:
                kind = errors.ErrorKind.OVERLOADED
            raise errors.SchedulerError(
                kind, answer.refusal, answer.retry_after_s
            )
        return _outcome(answer.taken)

    async def answer_submit(
        self, message: fabric_pb2.SubmitCall
    ) -> fabric_pb2.SubmitAnswer:
        """Store a job for another node, if this one leads."""
        local_leader = self._local_leader()
        if local_leader is None:
            return fabric_pb2.SubmitAnswer(taken=ports.StoreOutcome.NO.value)
        submission = records.decode(spec_mod.Submission, message.record.value)
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_MS / 1000):
                outcome = await local_leader.accept(submission)
        except TimeoutError:
            outcome = ports.StoreOutcome.UNKNOWN
        except errors.SchedulerError as error:
            return fabric_pb2.SubmitAnswer(
                taken=ports.StoreOutcome.NO.value,
                refusal=error.detail,
                retry_after_s=error.retry_after_s,
            )
        return fabric_pb2.SubmitAnswer(taken=outcome.value)

    async def deliver(self, items: typing.Sequence[ports.KeyValue]) -> None:
        """Pass stored intake records on to the leader."""
        if self._is_leading():
            for item in items:
                self._apply_record(item.key, item.value)
            return
        leader = self._peer_leader()
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
        except channels.PeerError:
            # The leader's topic reader gets them a little later.
            return

    async def phase(self, job_id: str) -> records.JobPhase | None:
        """Return a job's phase from a leader on another node, else None."""
        leader = self._peer_leader()
        if self._is_leading() or leader is None:
            return None
        try:
            answer = await self._peers.call(
                leader,
                'ShowJob',
                fabric_pb2.ShowCall(job_id=job_id),
                CALL_TIMEOUT_MS,
            )
        except channels.PeerError:
            return None
        if not answer.is_leader or not answer.phase:
            return None
        return records.JobPhase(answer.phase)

    async def answer_deliver(
        self, message: fabric_pb2.DeliverCall
    ) -> fabric_pb2.DeliverAnswer:
        """Apply intake records from another node, if this one leads."""
        is_applied = self._is_leading()
        if is_applied:
            for record in message.records:
                self._apply_record(record.key, record.value)
        return fabric_pb2.DeliverAnswer(taken=is_applied)

    async def answer_show(
        self, message: fabric_pb2.ShowCall
    ) -> fabric_pb2.ShowAnswer:
        """Return the phase of a job to another node, if this one leads."""
        if not self._is_leading():
            return fabric_pb2.ShowAnswer(is_leader=False)
        phase = self._get_phase(message.job_id)
        text = phase.value if phase is not None else ''
        return fabric_pb2.ShowAnswer(is_leader=True, phase=text)

    def _is_leading(self) -> bool:
        local_leader = self._local_leader()
        return local_leader is not None and local_leader.is_open

    def _peer_leader(self) -> records.MemberRecord | None:
        record = self._election.record
        if record is None or record.is_released:
            return None
        if record.node_id == self._node_id:
            return None
        return self._peers.reachable(record.node_id)


def _outcome(taken: str) -> ports.StoreOutcome:
    """Return the outcome in an answer; UNKNOWN also for other values."""
    try:
        return ports.StoreOutcome(taken)
    except ValueError:
        return ports.StoreOutcome.UNKNOWN

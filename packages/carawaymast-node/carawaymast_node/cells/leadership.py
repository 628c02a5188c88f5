"""A node's part in the leadership: claim, renew, lead and hand over."""

import asyncio
import random
import typing

from carawaymast_core.cell import candidacy
from carawaymast_core.cell import lag
from carawaymast_core.cell import leader_loss
from carawaymast_core.cell import records
from carawaymast_node import fabric_pb2
from carawaymast_node import waiting
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import leader as leader_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import successor_search
from carawaymast_node.cells import topic_reader as topic_reader_mod

__all__ = ['Leadership']

# The polls are the iterations that ``lag.SLOW_AFTER_ITERATIONS`` counts.
LEADING_POLL_INTERVAL_MS = 60
# A follower only checks whether there is a leader.
FOLLOWING_POLL_INTERVAL_MS = 100
# Spreads the claims of several nodes; the first one wins.
CLAIM_JITTER_MS = 120
# How long a hand-over waits for a write in flight and for its own record.
FINISH_TIMEOUT_MS = 300
RELEASE_TIMEOUT_MS = 800
# A longer lag of the event loop is logged; calls between nodes time out after
# 300 ms.
LATE_LOOP_MS = 100
# How long a node does not claim after it has stepped down; periods in which a
# node is slow last 5 s and more on the users' platform.
STEP_DOWN_COOLDOWN_MS = 6_000
# After a hand-over that no node took.
HAND_OVER_RETRY_MS = 30_000


class Leadership:
    """Begins and ends this node's terms of leadership."""

    def __init__(
        self,
        context: context_mod.CellContext,
        lead_reader: topic_reader_mod.TopicReader,
        fail: typing.Callable[[BaseException], None],
        loss: leader_loss.LeaderLoss,
        path_lost_at_ms: typing.Callable[[], int | None],
        boot_id: str,
    ):
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._election = context.election
        self._reader = lead_reader
        self._fail = fail
        self._loss = loss
        self._path_lost_at_ms = path_lost_at_ms
        self._boot_id = boot_id
        self._wake = asyncio.Event()
        self._is_handing_over = False
        self._may_claim = False
        self._lag = lag.LagMeter()
        self._began_at_ms = 0
        self._renewed_at_ms = 0
        self._no_claim_until_ms = 0
        self._no_hand_over_until_ms = 0
        self._search = successor_search.SuccessorSearch(context)
        self._leader_task: asyncio.Task | None = None
        self.leader: leader_mod.Leader | None = None

    def on_change(self) -> None:
        """Begin or end a term according to the newest leader record."""
        election = self._election
        self._log.log_event(
            'leader_seen',
            epoch=election.epoch,
            node=election.record.node_id,
            released=election.record.is_released,
        )
        self.wake()
        if election.is_claimed_locally:
            if self.leader is None or self.leader.epoch != election.epoch:
                self._end_leading('superseded by a later claim of this node')
                self._begin_leading(election.epoch)
        elif self.leader is not None:
            self._end_leading('another node leads')

    def _begin_leading(self, epoch: int) -> None:
        self._election.confirmed_at_ms = self._clock.now()
        self.leader = leader_mod.Leader(self._context, epoch)
        self._leader_task = asyncio.ensure_future(self._lead(self.leader))
        self._context.intake_reader.wake()
        self._began_at_ms = self._clock.now()

    async def _lead(self, leader: leader_mod.Leader) -> None:
        try:
            await leader.run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # An invariant is broken, so the node's state is not reliable.
            self._fail(error)
        if self.leader is leader:
            self.leader = None

    def _end_leading(self, reason: str) -> None:
        if self.leader is None:
            return
        epoch = self.leader.epoch
        self._log.log_event('leading_ended', epoch=epoch, why=reason)
        self.leader = None
        if self._leader_task is not None:
            self._leader_task.cancel()

    def end(self) -> None:
        """End the term at once, without a release, as the process ends."""
        self._end_leading('the process ends')

    def allow_claims(self) -> None:
        """Let this node claim from now on."""
        self._may_claim = True
        self.wake()

    async def show_term(
        self, message: fabric_pb2.TermCall
    ) -> fabric_pb2.TermAnswer:
        """Answer a later leader whether this process still sends orders."""
        task, leader = self._leader_task, self.leader
        if leader is None and task is not None and not task.done():
            # What was cancelled ends within some iterations of the loop.
            await asyncio.wait([task])
            leader = self.leader
        return fabric_pb2.TermAnswer(
            boot_id=self._boot_id,
            is_leading=leader is not None,
            epoch=0 if leader is None else leader.epoch,
            may_claim=self._is_able_to_claim(),
        )

    async def keep_electing(self) -> typing.NoReturn:
        """Renew while leading, claim while there is no leader."""
        while True:
            poll_ms = (
                LEADING_POLL_INTERVAL_MS
                if self.leader
                else FOLLOWING_POLL_INTERVAL_MS
            )
            slept_at_ms = self._clock.now()
            await self._pause(poll_ms)
            now_ms = self._clock.now()
            self._record_lag(now_ms - slept_at_ms - poll_ms)
            if self._is_handing_over:
                continue
            try:
                await self._elect(now_ms)
            except ports.StoreError as error:
                self._log.log_event('election_call_failed', error=str(error))

    def wake(self) -> None:
        """Check at once whether this node may claim."""
        self._wake.set()

    async def _pause(self, poll_ms: int) -> None:
        self._wake.clear()
        await waiting.wait_event(self._wake, poll_ms)

    def _record_lag(self, lag_ms: int) -> None:
        """Record how late the event loop is, which delays all its work."""
        self._lag.record_lag(lag_ms)
        self._context.metrics.record_ms('loop_lag', max(0, lag_ms))
        if lag_ms > LATE_LOOP_MS:
            self._log.log_event('loop_late', lag_ms=lag_ms)

    async def _elect(self, now_ms: int) -> None:
        leader = self.leader
        if leader is None:
            await self._claim_if_possible()
            return
        better = self._better_peers(now_ms)
        if better:
            if self._search.has_found(now_ms):
                await self._step_down(leader, now_ms)
                return
            self._search.begin(better)
        if now_ms - self._renewed_at_ms >= election_mod.RENEW_INTERVAL_MS:
            self._renewed_at_ms = now_ms
            await self._election.renew(leader.epoch)

    def _better_peers(self, now_ms: int) -> list[records.MemberRecord]:
        """Return the nodes that are better suited to lead, if they are there.

        Their records say nothing of that: they stay after a node is gone.
        """
        if now_ms < self._no_hand_over_until_ms:
            return []
        peers = self._context.peers.candidates()
        if candidacy.should_step_aside(
            self._path_lost_at_ms(), self._election.confirmed_at_ms, now_ms
        ):
            return peers
        return candidacy.better_peers(
            self._context.platform.settings.speed,
            peers,
            self._lag.is_slow,
            now_ms - self._began_at_ms,
        )

    async def _step_down(self, leader: leader_mod.Leader, now_ms: int) -> None:
        """Release the leadership and do not claim it for a while."""
        self._log.log_event(
            'leader_too_slow',
            epoch=leader.epoch,
            lag_ms=round(self._lag.average_ms),
            speed=self._context.platform.settings.speed,
            store_direct=self._path_lost_at_ms() is None,
        )
        self._lag.reset()
        self._no_claim_until_ms = now_ms + STEP_DOWN_COOLDOWN_MS
        await self._release(leader)

    async def _claim_if_possible(self) -> None:
        is_left = self._is_left_unclaimed()
        if not (self._is_able_to_claim() or is_left):
            return
        if not self._election.can_claim(self._reader):
            return
        await asyncio.sleep(self._claim_delay_ms() / 1000)
        if self._is_handing_over:
            return
        if self._election.can_claim(self._reader):
            self._log.log_event('leadership_claimed', left=is_left)
            if is_left:
                self._no_hand_over_until_ms = (
                    self._clock.now() + HAND_OVER_RETRY_MS
                )
            await self._election.claim(self._reader.end_offset)

    def _is_able_to_claim(self) -> bool:
        """Whether this node claims if there is no leader.

        Without a path of its own to the store it would hand over to a peer
        that has one.
        """
        return (
            self._may_claim
            and not self._is_handing_over
            and self._clock.now() >= self._no_claim_until_ms
            and self._path_lost_at_ms() is None
        )

    def _is_left_unclaimed(self) -> bool:
        """Whether better nodes have left the claim to this one."""
        record = self._election.record
        if record is None or not self._may_claim or self._is_handing_over:
            return False
        free_since_ms = self._election.record_read_at_ms
        if not record.is_released:
            free_since_ms += election_mod.LEADER_TIMEOUT_MS
        return candidacy.is_unclaimed(
            free_since_ms,
            self._reader.current_as_of_ms or 0,
            self._clock.now(),
        )

    def _claim_delay_ms(self) -> float:
        """Return how long this node leaves the claim to better ones."""
        election = self._election
        if self._loss.epoch == election.epoch:
            return self._loss.claim_delay_ms
        if election.is_from_this_node:
            return 0.0
        jitter_ms = random.uniform(0, CLAIM_JITTER_MS)
        # Also peers that are avoided: after an outage of the store all are.
        members = self._context.peers.member_by_id.values()
        return jitter_ms + candidacy.claim_delay_ms(
            self._context.platform.settings.speed,
            (member.speed for member in members),
        )

    async def hand_over(self) -> None:
        """Release the leadership for good, before this node stops.

        Another node can claim it at once.
        """
        self._is_handing_over = True
        if self.leader is not None:
            await self._release(self.leader)

    async def _release(self, leader: leader_mod.Leader) -> None:
        # The next leader counts on it that no order follows the release.
        await leader.finish(FINISH_TIMEOUT_MS)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_MS / 1000):
                await self._election.release(leader.epoch)
        except (ports.StoreError, TimeoutError) as error:
            self._log.log_event('release_failed', error=repr(error))
        self._end_leading('handed over')

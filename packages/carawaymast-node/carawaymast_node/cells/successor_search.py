"""Looks for a node that can lead, before a leader hands over."""

import random
import typing

from carawaymast_core.cell import records
from carawaymast_node import background
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import context as context_mod

__all__ = ['SuccessorSearch']

# How recent the sign of life of a successor must be at the hand-over.
SIGN_OF_LIFE_MS = 1_000
ASK_INTERVAL_MS = 1_000
ASK_TIMEOUT_MS = 500
# Asked at a time: the fastest, and others at random.
MAX_ASKED = 4


class SuccessorSearch:
    """Asks peers whether they would claim, in the background."""

    def __init__(self, context: context_mod.CellContext):
        self._clock = context.clock
        self._context = context
        self._tasks = background.TaskSet()
        self._asked_at_ms: int | None = None
        self._found_at_ms: int | None = None

    def has_found(self, now_ms: int) -> bool:
        """Return whether a peer has just answered that it would claim."""
        return (
            self._found_at_ms is not None
            and now_ms - self._found_at_ms <= SIGN_OF_LIFE_MS
        )

    def begin(self, peers: typing.Sequence[records.MemberRecord]) -> None:
        """Ask some of the peers, unless some were asked a moment ago."""
        now_ms = self._clock.now()
        if (
            self._asked_at_ms is not None
            and now_ms - self._asked_at_ms < ASK_INTERVAL_MS
        ):
            return
        self._asked_at_ms = now_ms
        fastest = max(peers, key=lambda peer: peer.speed)
        others = [peer for peer in peers if peer is not fastest]
        count = min(MAX_ASKED - 1, len(others))
        for peer in [fastest, *random.sample(others, count)]:
            self._tasks.spawn(self._ask(peer))

    async def _ask(self, peer: records.MemberRecord) -> None:
        sent_at_ms = self._clock.now()
        try:
            answer = await self._context.peers.call(
                peer, 'ShowTerm', fabric_pb2.TermCall(), ASK_TIMEOUT_MS
            )
        except channels.PeerError:
            # It is avoided for a while.
            return
        if answer.may_claim:
            self._found_at_ms = sent_at_ms

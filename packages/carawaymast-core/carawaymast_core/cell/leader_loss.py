"""Judges from heartbeats and calls whether a cell's leader is lost.

Pure state without I/O. It only allows a claim sooner than the store's records
would: the store decides claims, and epochs fence a leader that was wrongly
taken for lost.
"""

import typing

__all__ = ['LeaderLoss', 'Successors', 'check_rank']

# Single datagrams get lost; four in a row are missed only by an ended,
# unreachable or stopped leader.
MAX_MISSED_HEARTBEATS = 4
# Bounds what heartbeats cost the leader of a large cell.
MAX_SUCCESSORS = 8
# The time that a claim takes to reach the next successor.
CLAIM_STEP_MS = 25
# A successor keeps a call to the leader open, of 5 s at a time. One without
# such a call leaves its place to others for a while.
FIRST_CALL_MS = 2_000
CALL_MS = 7_000
SILENCE_MS = 16_000


class _Candidate(typing.Protocol):
    node_id: str
    speed: float


CandidateT = typing.TypeVar('CandidateT', bound=_Candidate)


class Successors:
    """The nodes that should lead next, as the leader of a term sees them.

    Records of nodes stay after these are gone, so those that do not watch the
    leader after a while come after all others.
    """

    def __init__(self) -> None:
        self._chosen_at_ms_by_id: dict[str, int] = {}
        self._watched_at_ms_by_id: dict[str, int] = {}

    def record_watch(self, node_id: str, now_ms: int) -> None:
        """Record that a node has called to watch the leader."""
        self._watched_at_ms_by_id[node_id] = now_ms

    def choose(
        self,
        peers: typing.Iterable[CandidateT],
        unreachable_ids: typing.Container[str],
        now_ms: int,
    ) -> list[CandidateT]:
        """Return the nodes that should lead next, the first to claim first.

        They are the fastest, in the order of their ids if equally fast. Those
        that cannot be reached, or are silent, come after all others: they may
        be lost.
        """
        ordered = sorted(
            peers,
            key=lambda p: (
                p.node_id in unreachable_ids
                or self._is_silent(p.node_id, now_ms),
                -p.speed,
                p.node_id,
            ),
        )
        chosen = ordered[:MAX_SUCCESSORS]
        for peer in chosen:
            chosen_at_ms = self._chosen_at_ms_by_id.get(peer.node_id)
            if chosen_at_ms is None or now_ms - chosen_at_ms > SILENCE_MS:
                self._chosen_at_ms_by_id[peer.node_id] = now_ms
        return chosen

    def _is_silent(self, node_id: str, now_ms: int) -> bool:
        chosen_at_ms = self._chosen_at_ms_by_id.get(node_id)
        if chosen_at_ms is None or now_ms - chosen_at_ms <= FIRST_CALL_MS:
            return False
        watched_at_ms = self._watched_at_ms_by_id.get(node_id)
        if watched_at_ms is not None and now_ms - watched_at_ms <= CALL_MS:
            return False
        return now_ms - chosen_at_ms <= SILENCE_MS


def check_rank(rank: int) -> None:
    """Raise ``ValueError`` unless ``rank`` is that of a successor."""
    if not 0 <= rank < MAX_SUCCESSORS:
        raise ValueError(f'rank is {rank}, 0 to {MAX_SUCCESSORS - 1} allowed')


class LeaderLoss:
    """What a successor has observed of the leader of the latest epoch.

    Silence is counted in missed heartbeats and not in time: a node that was
    stopped itself has missed one heartbeat when it resumes, not several.

    Example::

        loss = LeaderLoss()
        loss.record_heartbeat(7, 0)
        loss.record_interval()
        loss.is_lost(7)
    """

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._ended_epoch: int | None = None
        self._rank = 0
        self._missed = 0

    @property
    def epoch(self) -> int | None:
        """The latest epoch of which this node has heard heartbeats."""
        return self._epoch

    @property
    def claim_delay_ms(self) -> int:
        """How long this successor leaves the claim to those before it."""
        return self._rank * CLAIM_STEP_MS

    def record_heartbeat(self, epoch: int, rank: int) -> None:
        """Record a heartbeat, unless a later epoch's was heard before.

        ``rank`` is this node's among the successors, 0 for the first.
        """
        if self._epoch is not None and epoch < self._epoch:
            return
        self._epoch = epoch
        self._rank = rank
        self._missed = 0

    def record_interval(self) -> None:
        """Record that an interval between heartbeats has passed."""
        self._missed += 1

    def record_ended(self, epoch: int) -> None:
        """Record that the process that led in ``epoch`` has ended."""
        self._ended_epoch = epoch

    def is_lost(self, epoch: int | None) -> bool:
        """Return whether the leader of ``epoch`` seems to be lost.

        A node that never heard its heartbeats cannot tell.
        """
        if epoch is None or epoch != self._epoch:
            return False
        return (
            self._ended_epoch == epoch or self._missed >= MAX_MISSED_HEARTBEATS
        )

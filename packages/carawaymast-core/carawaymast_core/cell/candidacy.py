"""Which node should lead a cell: one with processor time to spare.

A leader needs several times the processor time of the other nodes. VMs of
different sizes serve one cell, so the slower ones leave the leadership to the
faster, and a leader whose loop runs late leaves it to anybody else.
"""

import typing

__all__ = ['claim_delay_ms', 'should_hand_over']

# A node counts as faster from this factor on: below it, the difference is
# within what VMs of one size vary by.
FASTER_FACTOR = 1.25
# So long a node leaves a vacant leadership to faster ones: the jitter of
# their claims, a poll and an append.
CLAIM_DELAY_MS = 300
# A slow leader steps aside at most once in this time, so that a fleet of slow
# nodes does not pass the leadership round.
MIN_TERM_IF_LATE_MS = 3_000
# A leader whose loop is in time hands over to a faster node only after this,
# since the faster one may be unable to claim.
MIN_TERM_IF_ON_TIME_MS = 5_000


def claim_delay_ms(speed: float, peer_speeds: typing.Iterable[float]) -> int:
    """Return how long a node shall wait before it claims, in ms."""
    return CLAIM_DELAY_MS if _is_any_faster(speed, peer_speeds) else 0


def should_hand_over(
    speed: float,
    peer_speeds: typing.Sequence[float],
    is_late: bool,
    term_ms: int,
) -> bool:
    """Tell whether a leader should leave its place to one of its peers.

    ``peer_speeds`` are those of the peers that seem to be well, in cores;
    ``is_late`` tells that the leader's loop runs late, ``term_ms`` how long
    it has led.
    """
    if is_late and term_ms > MIN_TERM_IF_LATE_MS:
        return bool(peer_speeds)
    return term_ms > MIN_TERM_IF_ON_TIME_MS and _is_any_faster(
        speed, peer_speeds
    )


def _is_any_faster(speed: float, peer_speeds: typing.Iterable[float]) -> bool:
    return any(peer >= speed * FASTER_FACTOR for peer in peer_speeds)

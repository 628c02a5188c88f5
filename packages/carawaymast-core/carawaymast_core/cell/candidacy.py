"""Decides which node should lead a cell: one with processor time to spare.

A leader needs several times the processor time of the other nodes. VMs of
different sizes serve one cell, so slower nodes leave the leadership to faster
ones, and a leader whose event loop runs late leaves it to any other node.
"""

import typing

__all__ = [
    'better_peers',
    'claim_delay_ms',
    'is_unclaimed',
    'may_succeed_itself',
    'should_step_aside',
]

# A node counts as faster from this factor on: smaller differences occur among
# VMs of one size.
FASTER_FACTOR = 1.25
# How long a node lets faster nodes claim first when there is no leader: the
# jitter of their claims, a poll and an append.
CLAIM_DELAY_MS = 300
# A leader whose event loop runs late steps down only after this time, so that
# slow nodes do not keep handing the leadership to each other.
MIN_TERM_IF_LATE_MS = 3_000
# A leader whose event loop is on time hands over to a faster node only after
# this time, since the faster one may be unable to claim.
MIN_TERM_IF_ON_TIME_MS = 5_000
# A path that only one call has found lost is regained by the next probe.
PATH_LOST_MS = 300
# A successor claims within the delays of claims, a poll and a long poll.
UNCLAIMED_MS = 1_500
MAX_READ_AGE_MS = 600


class _Peer(typing.Protocol):
    speed: float


PeerT = typing.TypeVar('PeerT', bound=_Peer)


def claim_delay_ms(speed: float, peer_speeds: typing.Iterable[float]) -> int:
    """Return how long a node waits before it claims, in ms."""
    return CLAIM_DELAY_MS if _is_any_faster(speed, peer_speeds) else 0


def may_succeed_itself(
    speed: float, peer_speeds: typing.Iterable[float]
) -> bool:
    """Return whether a node claims at once after its leading process ended.

    A slow one does not: all nodes may have restarted together, and faster
    ones claim a little later.
    """
    return not _is_any_faster(speed, peer_speeds)


def better_peers(
    speed: float,
    peers: typing.Sequence[PeerT],
    is_late: bool,
    term_ms: int,
) -> list[PeerT]:
    """Return the peers to which a leader should hand over, if they are alive.

    ``is_late`` is whether the leader's event loop runs late, and ``term_ms``
    how long it has led.
    """
    if is_late and term_ms > MIN_TERM_IF_LATE_MS:
        return list(peers)
    if term_ms <= MIN_TERM_IF_ON_TIME_MS:
        return []
    return [peer for peer in peers if peer.speed >= speed * FASTER_FACTOR]


def is_unclaimed(free_since_ms: int, read_at_ms: int, now_ms: int) -> bool:
    """Return whether nobody has claimed though any node might have.

    ``read_at_ms`` is when the last read was sent that found no claim. Nodes
    that have left the claim to others then claim too: leases outlast that.
    """
    return (
        now_ms - free_since_ms >= UNCLAIMED_MS
        and read_at_ms - free_since_ms >= UNCLAIMED_MS - MAX_READ_AGE_MS
    )


def should_step_aside(
    path_lost_at_ms: int | None, confirmed_at_ms: int, now_ms: int
) -> bool:
    """Return whether a leader leaves it to a peer that reaches the store.

    ``path_lost_at_ms`` is when it lost its own path to the store, and
    ``confirmed_at_ms`` when it sent its last renewal that was stored: if that
    was later, a peer has passed it on.
    """
    if path_lost_at_ms is None:
        return False
    is_relayed = confirmed_at_ms > path_lost_at_ms
    return is_relayed and now_ms - path_lost_at_ms > PATH_LOST_MS


def _is_any_faster(speed: float, peer_speeds: typing.Iterable[float]) -> bool:
    return any(peer >= speed * FASTER_FACTOR for peer in peer_speeds)

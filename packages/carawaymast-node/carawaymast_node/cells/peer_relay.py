"""Sends a store call through peers, for a node that the store does not serve.

A peer that does not reach the store says whether the call certainly has no
effect. Whatever else happens, the outcome counts as unknown.
"""

import asyncio

from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports

__all__ = ['send']

# Peers tried for one call; more would only load a store that is down.
MAX_RELAYS = 2
# A peer that takes longer may have lost power, and another one is called.
RELAY_TIMEOUT_MS = 900
# The next peer is called as well if one does not answer within this time: it
# may have lost its own path a moment ago.
RELAY_STEP_MS = 150


async def send(
    peers: fabric.Peers,
    method: str,
    target: str,
    body: bytes,
    timeout_ms: float,
) -> ports.StoreReply:
    """Send a store call through peers until one reaches the store.

    Raises ``StoreError`` if none does. The call may be carried out by several
    peers.
    """
    message = fabric_pb2.StoreCall(
        method=method,
        target=target,
        body=body,
        timeout_ms=min(int(timeout_ms), RELAY_TIMEOUT_MS),
        reads_not_sent=True,
    )
    candidates = peers.candidates()[:MAX_RELAYS]
    calls: set[asyncio.Task] = set()
    is_unknown = False
    try:
        while candidates or calls:
            if candidates:
                call = _call(peers, candidates.pop(), message)
                calls.add(asyncio.ensure_future(call))
            ended, calls = await asyncio.wait(
                calls,
                timeout=RELAY_STEP_MS / 1000 if candidates else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers = [call.result() for call in ended]
            is_unknown = is_unknown or not all(map(_is_certain, answers))
            for answer in answers:
                if answer.reached:
                    reply = ports.StoreReply(answer.status, answer.body)
                    # Other peers may still be carrying the call out.
                    return reply.after_tries(is_unknown or bool(calls))
    finally:
        for call in calls:
            call.cancel()
    # Yields to the event loop even if there was no peer to call.
    await asyncio.sleep(0)
    raise ports.StoreError('no peer reached the store', is_unknown)


async def _call(
    peers: fabric.Peers,
    peer: records.MemberRecord,
    message: fabric_pb2.StoreCall,
) -> fabric_pb2.StoreAnswer:
    """Send a call through one peer."""
    try:
        answer = await peers.call(peer, 'CallStore', message, RELAY_TIMEOUT_MS)
    except channels.PeerError as error:
        return fabric_pb2.StoreAnswer(
            reached=False, not_sent=not error.is_sent
        )
    if not answer.reached:
        peers.avoid(peer)
    return answer


def _is_certain(answer: fabric_pb2.StoreAnswer) -> bool:
    """Return whether it is known if a relayed call took effect."""
    return answer.reached or answer.not_sent

"""Calls between nodes over grpclib.

``PeerClients`` keeps one channel for each peer and replaces a channel whose
calls time out. ``PeerService`` hands each call to the function registered for
it, so that the roles need not know grpclib.
"""

import asyncio
import typing

from grpclib import client
from grpclib import exceptions
from grpclib import server

from carawaymast_core import membership
from carawaymast_core import slots
from carawaymast_node import peer_grpc
from carawaymast_node import peer_pb2

__all__ = ['PeerClients', 'PeerError', 'PeerService', 'masks', 'slot_numbers']

CALL_TIMEOUT_MS = 1_000

Handler = typing.Callable[[typing.Any], typing.Awaitable[typing.Any]]


class PeerError(Exception):
    """A call to a peer failed; whether it took effect is not known."""


class PeerClients:
    """One channel to each peer, used as a context manager."""

    def __init__(self) -> None:
        self._channel_by_id: dict[str, client.Channel] = {}
        self.replaced_total = 0

    async def __aenter__(self) -> 'PeerClients':
        return self

    async def __aexit__(self, *exc_info) -> None:
        for node_id in list(self._channel_by_id):
            self.close(node_id)

    def close(self, node_id: str) -> None:
        """Close the channel to a peer."""
        channel = self._channel_by_id.pop(node_id, None)
        if channel is not None:
            channel.close()

    async def call(
        self,
        member: membership.Member,
        method: str,
        message: typing.Any,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> typing.Any:
        """Call ``method`` of a peer and return its reply.

        Raises ``PeerError`` if there is no reply in time. The channel is
        then replaced, since a connection may be silent while new ones work.
        """
        stub = peer_grpc.PeerStub(self._channel(member))
        try:
            return await getattr(stub, method)(
                message, timeout=timeout_ms / 1000
            )
        except (
            OSError,
            asyncio.TimeoutError,
            exceptions.GRPCError,
            exceptions.StreamTerminatedError,
        ) as error:
            self.close(member.node_id)
            self.replaced_total += 1
            raise PeerError(f'{method} to {member.node_id}: {error}') from None

    def _channel(self, member: membership.Member) -> client.Channel:
        channel = self._channel_by_id.get(member.node_id)
        if channel is None:
            channel = client.Channel(member.host, member.peer_port)
            self._channel_by_id[member.node_id] = channel
        return channel


class PeerService(peer_grpc.PeerBase):
    """The calls that this node answers."""

    def __init__(self) -> None:
        self.handler_by_method: dict[str, Handler] = {}

    async def _answer(self, method: str, stream: server.Stream) -> None:
        message = await stream.recv_message()
        reply = await self.handler_by_method[method](message)
        await stream.send_message(reply)

    async def Beat(self, stream):  # noqa: N802
        """Answer a heartbeat."""
        await self._answer('Beat', stream)

    async def ReturnSlots(self, stream):  # noqa: N802
        """Take slots back."""
        await self._answer('ReturnSlots', stream)

    async def OfferSlots(self, stream):  # noqa: N802
        """Take in offered slots."""
        await self._answer('OfferSlots', stream)

    async def RecallSlots(self, stream):  # noqa: N802
        """Give up slots."""
        await self._answer('RecallSlots', stream)

    async def ReserveTasks(self, stream):  # noqa: N802
        """Reserve room for tasks."""
        await self._answer('ReserveTasks', stream)

    async def ReleaseTasks(self, stream):  # noqa: N802
        """Release reservations."""
        await self._answer('ReleaseTasks', stream)

    async def StartTasks(self, stream):  # noqa: N802
        """Start reserved tasks."""
        await self._answer('StartTasks', stream)


def masks(slot_ids: typing.Iterable) -> dict[str, int]:
    """Return the slots of each worker as a bit mask."""
    mask_by_worker: dict[str, int] = {}
    for slot_id in slot_ids:
        mask = mask_by_worker.get(slot_id.worker_id, 0)
        mask_by_worker[slot_id.worker_id] = mask | 1 << slot_id.number
    return mask_by_worker


def held_slots(slot_ids: typing.Iterable) -> list[peer_pb2.HeldSlots]:
    """Return slots in the form in which they travel."""
    return [
        peer_pb2.HeldSlots(worker_id=worker_id, mask=mask)
        for worker_id, mask in masks(slot_ids).items()
    ]


def released_slots(
    released: typing.Iterable[slots.ReleasedSlot],
) -> list[peer_pb2.ReleasedSlot]:
    """Return slots that are given back in the form in which they travel."""
    return [
        peer_pb2.ReleasedSlot(
            worker_id=one.slot_id.worker_id,
            number=one.slot_id.number,
            serial=one.serial,
        )
        for one in released
    ]


def slot_numbers(mask: int) -> list[int]:
    """Return the slot numbers that a bit mask holds."""
    return [n for n in range(mask.bit_length()) if mask >> n & 1]

"""The calls between the roles of different nodes, over ``channels``."""

import typing

from carawaymast_core import membership
from carawaymast_core import slots
from carawaymast_node import channels
from carawaymast_node import peer_grpc
from carawaymast_node import peer_pb2

__all__ = ['PeerService', 'calls_over', 'masks', 'slot_numbers']

CALL_TIMEOUT_MS = 1_000

# Takes the member, the method, the message and optionally a timeout in ms.
Call = typing.Callable[..., typing.Awaitable[typing.Any]]


def calls_over(clients: channels.PeerChannels) -> Call:
    """Return a function that calls members over ``clients``."""

    async def call(
        member: membership.Member,
        method: str,
        message: typing.Any,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> typing.Any:
        address = (member.host, member.peer_port)
        return await clients.call(
            member.node_id, address, method, message, timeout_ms
        )

    return call


class PeerService(channels.MethodDispatcher, peer_grpc.PeerBase):
    """The gRPC service for the calls of peers."""

    async def Beat(self, stream):  # noqa: N802
        """Answer a heartbeat."""
        await self._dispatch('Beat', stream)

    async def ReturnSlots(self, stream):  # noqa: N802
        """Release returned slots."""
        await self._dispatch('ReturnSlots', stream)

    async def OfferSlots(self, stream):  # noqa: N802
        """Accept offered slots."""
        await self._dispatch('OfferSlots', stream)

    async def RecallSlots(self, stream):  # noqa: N802
        """Return recalled slots."""
        await self._dispatch('RecallSlots', stream)

    async def ReserveTasks(self, stream):  # noqa: N802
        """Reserve capacity for tasks."""
        await self._dispatch('ReserveTasks', stream)

    async def ReleaseTasks(self, stream):  # noqa: N802
        """Release reservations."""
        await self._dispatch('ReleaseTasks', stream)

    async def StartTasks(self, stream):  # noqa: N802
        """Start reserved tasks."""
        await self._dispatch('StartTasks', stream)


def masks(slot_ids: typing.Iterable) -> dict[str, int]:
    """Return the bit mask of slot numbers of each worker."""
    mask_by_worker: dict[str, int] = {}
    for slot_id in slot_ids:
        mask = mask_by_worker.get(slot_id.worker_id, 0)
        mask_by_worker[slot_id.worker_id] = mask | 1 << slot_id.number
    return mask_by_worker


def held_slots(slot_ids: typing.Iterable) -> list[peer_pb2.HeldSlots]:
    """Return slots as messages, one for each worker."""
    return [
        peer_pb2.HeldSlots(worker_id=worker_id, mask=mask)
        for worker_id, mask in masks(slot_ids).items()
    ]


def released_slots(
    released: typing.Iterable[slots.ReleasedSlot],
) -> list[peer_pb2.ReleasedSlot]:
    """Return released slots as messages."""
    return [
        peer_pb2.ReleasedSlot(
            worker_id=one.slot_id.worker_id,
            number=one.slot_id.number,
            serial=one.serial,
        )
        for one in released
    ]


def slot_numbers(mask: int) -> list[int]:
    """Return the slot numbers in a bit mask."""
    return [n for n in range(mask.bit_length()) if mask >> n & 1]

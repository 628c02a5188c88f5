"""The owner's side of the slot messages: lease slots to entry nodes.

The grantor answers heartbeats with grants while slots are free. When too few
are free, it divides its slots between the entry nodes by their demand, recalls
what a node holds beyond its target, and offers what is returned.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import membership
from carawaymast_core import shares
from carawaymast_core import slot_ledger
from carawaymast_core import slots
from carawaymast_core import table as table_mod
from carawaymast_node import background
from carawaymast_node import channels
from carawaymast_node import peer_pb2
from carawaymast_node import peers

__all__ = ['Grantor']

DEMAND_TTL_MS = 3_000

Call = typing.Callable[..., typing.Awaitable[typing.Any]]


class _Demand:
    """The demand of an entry node, from its newest heartbeat.

    ``basis_ms`` is when the heartbeat was sent, on the clock of the entry
    node. ``recalled`` is the number of slots recalled from it since.
    """

    def __init__(
        self,
        member: membership.Member,
        heartbeat: peer_pb2.BeatRequest,
        now_ms,
    ):
        self.member = member
        self.by_kind = dict(heartbeat.demand_by_kind)
        self.wanted = heartbeat.wanted
        self.basis_ms = heartbeat.sent_at_ms
        self.received_at_ms = now_ms
        self.recalled = 0


class Grantor:
    """Leases the slots of the ledger to the entry nodes."""

    def __init__(
        self,
        node_id: str,
        clock: clock_mod.Clock,
        call: Call,
        lease_left_ms: typing.Callable[[str], int],
        epoch_of: typing.Callable[[str], int],
        address_of: typing.Callable[[str], tuple[str, int]],
    ):
        self._node_id = node_id
        self._clock = clock
        self._call = call
        self._lease_left_ms = lease_left_ms
        self._epoch_of = epoch_of
        self._address_of = address_of
        self._demand_by_entry: dict[str, _Demand] = {}
        self._is_scheduled = False
        self._background = background.TaskSet()
        self.table = table_mod.EMPTY
        self.ledger = slot_ledger.SlotLedger()
        self.offers_total = 0
        self.recalls_total = 0

    def on_heartbeat(
        self, member: membership.Member, heartbeat: peer_pb2.BeatRequest
    ) -> tuple[list[slots.SlotId], list[peer_pb2.SlotGrant]]:
        """Renew the slots that an entry node holds and grant it free ones.

        Return the renewed slots and the new grants.
        """
        now_ms = self._clock.now()
        demand = _Demand(member, heartbeat, now_ms)
        self._demand_by_entry[member.node_id] = demand
        renewed = self._renew(member.node_id, heartbeat.held, now_ms)
        if not heartbeat.wanted:
            return renewed, []
        others_want = self._wanted_total() - demand.wanted
        if others_want:
            self.schedule_rebalance()
            return renewed, []
        granted = self._lease(member.node_id, demand.wanted, now_ms)
        demand.wanted -= len(granted)
        if demand.wanted:
            self.schedule_rebalance()
        return renewed, self._grants(granted)

    async def on_return_message(
        self, message: peer_pb2.ReturnSlotsRequest
    ) -> peer_pb2.Empty:
        """Handle a ``ReturnSlots`` call."""
        self.on_return(message.node_id, message.slots)
        return peer_pb2.Empty()

    def on_return(
        self, entry_id: str, released: typing.Iterable[peer_pb2.ReleasedSlot]
    ) -> None:
        """Release slots that an entry node returns."""
        for one in released:
            slot_id = slots.SlotId(one.worker_id, one.number)
            self.ledger.release(entry_id, slot_id, one.serial)
        if self._wanted_total():
            self.schedule_rebalance()

    def tick(self) -> None:
        """Expire slot leases and the demand of unresponsive entry nodes."""
        now_ms = self._clock.now()
        self.ledger.expire_leases(now_ms)
        expired = [
            entry_id
            for entry_id, demand in self._demand_by_entry.items()
            if demand.received_at_ms + DEMAND_TTL_MS <= now_ms
        ]
        for entry_id in expired:
            del self._demand_by_entry[entry_id]
        self.ledger.check_invariants()

    def schedule_rebalance(self) -> None:
        """Rebalance the slots in the next iteration of the event loop."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self._rebalance)

    def _rebalance(self) -> None:
        self._is_scheduled = False
        demand_by_entry = {
            entry_id: demand.by_kind
            for entry_id, demand in self._demand_by_entry.items()
        }
        targets = shares.divide_entries(
            self.ledger.total, self.table.by_kind, demand_by_entry
        )
        self._offer_free(targets)
        self._recall_excess(targets)

    def _offer_free(self, targets: dict[str, int]) -> None:
        """Offer free slots up to the targets, then to whoever wants them."""
        for entry_id, demand in self._by_deficit(targets):
            deficit = targets[entry_id] - self.ledger.held_count(entry_id)
            self._offer_some(entry_id, demand, deficit)
        for entry_id, demand in self._by_deficit(targets):
            self._offer_some(entry_id, demand, demand.wanted)

    def _offer_some(
        self, entry_id: str, demand: _Demand, max_count: int
    ) -> None:
        count = min(max_count, demand.wanted, self.ledger.free_total)
        if count <= 0:
            return
        granted = self._lease(entry_id, count, demand.received_at_ms)
        if granted:
            demand.wanted -= len(granted)
            self._background.spawn(self._offer(demand, granted))

    def _recall_excess(self, targets: dict[str, int]) -> None:
        missing = 0
        for entry_id, demand in self._by_deficit(targets):
            deficit = targets[entry_id] - self.ledger.held_count(entry_id)
            missing += max(0, min(deficit, demand.wanted))
        for entry_id, demand in self._demand_by_entry.items():
            held = self.ledger.held_count(entry_id) - demand.recalled
            excess = min(held - targets.get(entry_id, 0), missing)
            if excess <= 0:
                continue
            missing -= excess
            demand.recalled += excess
            self._background.spawn(self._recall(demand, excess))

    def _by_deficit(self, targets) -> list[tuple[str, _Demand]]:
        """Return the entry nodes that want slots, largest deficit first."""
        wanting = [
            (entry_id, demand)
            for entry_id, demand in self._demand_by_entry.items()
            if demand.wanted and entry_id in targets
        ]
        wanting.sort(
            key=lambda item: self.ledger.held_count(item[0]) - targets[item[0]]
        )
        return wanting

    async def _offer(self, demand: _Demand, granted) -> None:
        self.offers_total += 1
        message = peer_pb2.OfferSlotsRequest(
            owner_id=self._node_id,
            basis_ms=demand.basis_ms,
            lease_ms=slots.SLOT_LEASE_MS,
            grants=self._grants(granted),
        )
        try:
            await self._call(demand.member, 'OfferSlots', message)
        except channels.PeerError:
            # The leases expire; a usage report then shows the slots idle.
            return

    async def _recall(self, demand: _Demand, count: int) -> None:
        self.recalls_total += 1
        message = peer_pb2.RecallSlotsRequest(
            owner_id=self._node_id, count=count
        )
        try:
            reply = await self._call(demand.member, 'RecallSlots', message)
        except channels.PeerError:
            return
        self.on_return(demand.member.node_id, reply.slots)

    def _wanted_total(self) -> int:
        return sum(d.wanted for d in self._demand_by_entry.values())

    def _renew(self, entry_id, held, now_ms) -> list[slots.SlotId]:
        renewed = []
        for one in held:
            left_ms = self._lease_left_ms(one.worker_id)
            if left_ms < slots.SLOT_LEASE_MS:
                continue
            for number in peers.slot_numbers(one.mask):
                slot_id = slots.SlotId(one.worker_id, number)
                until_ms = now_ms + slots.SLOT_LEASE_MS
                if self.ledger.renew(entry_id, slot_id, until_ms):
                    renewed.append(slot_id)
        return renewed

    def _lease(self, entry_id, count, start_ms) -> list[slots.SlotId]:
        """Lease slots whose worker's lease lasts for a whole slot lease."""
        until_ms = start_ms + slots.SLOT_LEASE_MS
        leased = self.ledger.lease(entry_id, count, until_ms)
        usable = []
        for slot_id in leased:
            left_ms = self._lease_left_ms(slot_id.worker_id)
            if left_ms < slots.SLOT_LEASE_MS:
                serial = self.ledger.serial_of(slot_id)
                self.ledger.release(entry_id, slot_id, serial)
            else:
                usable.append(slot_id)
        return usable

    def _grants(self, slot_ids) -> list[peer_pb2.SlotGrant]:
        """Return the grants for slots that were leased together."""
        grants = []
        if not slot_ids:
            return grants
        serial = self.ledger.serial_of(slot_ids[0])
        for worker_id, mask in peers.masks(slot_ids).items():
            host, port = self._address_of(worker_id)
            grants.append(
                peer_pb2.SlotGrant(
                    worker_id=worker_id,
                    mask=mask,
                    epoch=self._epoch_of(worker_id),
                    host=host,
                    port=port,
                    serial=serial,
                )
            )
        return grants

"""The entry node's side of the slot messages: request, accept and return."""

import random
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import membership
from carawaymast_core import slots
from carawaymast_node import background
from carawaymast_node import channels
from carawaymast_node import endpoint as endpoint_mod
from carawaymast_node import entry as entry_mod
from carawaymast_node import peer_pb2
from carawaymast_node import peers

__all__ = ['SlotRequester']

DEMAND_REPEAT_INTERVAL_MS = 100
KEEP_IDLE_MANY_FREE_MS = 500
KEEP_IDLE_FEW_FREE_MS = 20
MANY_FREE_SHARE = 0.2

SendHeartbeat = typing.Callable[
    [membership.Member, int], typing.Awaitable[int]
]


class SlotRequester:
    """Requests slots for this node's requests and returns idle ones."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        members: membership.Membership,
        call: typing.Callable[..., typing.Awaitable[typing.Any]],
        entry: entry_mod.EntryService,
    ):
        self._clock = clock
        self._members = members
        self._call = call
        self._entry = entry
        self._last_demand_at_ms = 0
        self._demand_sent = 0
        self._open_calls = 0
        self._free_by_id: dict[str, int] = {}
        self._background = background.TaskSet()
        self.slots_of: typing.Callable[[str], int] = lambda node_id: 0
        self.send_heartbeat: SendHeartbeat
        self.failed_total = 0

    def record_free_slots(self, node_id: str, free: int) -> None:
        """Record the number of free slots that an owner reports."""
        self._free_by_id[node_id] = free

    def drop_owner(self, node_id: str) -> None:
        """Drop the record of an owner that is no longer live."""
        self._free_by_id.pop(node_id, None)

    def record_broadcast(self) -> None:
        """Record that the present demand is being sent to all owners."""
        self._demand_sent = 0

    def request_slots(self) -> None:
        """Request slots from owners, unless earlier calls have no reply yet.

        Owners that reported free slots are asked first. If there are none,
        the demand goes to all owners, which store it and offer slots as those
        become free. It is not repeated within
        ``DEMAND_REPEAT_INTERVAL_MS`` unless it has more than doubled.
        """
        waiting = self.shortage()
        if waiting <= 0 or self._open_calls:
            return
        wanted_by_id = self._wanted_from_free(waiting)
        if not wanted_by_id:
            if not self._should_broadcast(waiting):
                return
            wanted_by_id = {
                member.node_id: self.owner_share(member.node_id, waiting)
                for member in self._owners()
            }
        for node_id, wanted in wanted_by_id.items():
            member = self._members.member(node_id)
            if wanted and member is not None:
                self._open_calls += 1
                self._background.spawn(self._request_from(member, wanted))

    async def _request_from(
        self, member: membership.Member, wanted: int
    ) -> None:
        try:
            granted = await self.send_heartbeat(member, wanted)
        finally:
            self._open_calls -= 1
        if granted < wanted:
            # The owner has demand of other nodes too and divides its slots.
            self._free_by_id[member.node_id] = 0
        self.request_slots()

    def _wanted_from_free(self, waiting: int) -> dict[str, int]:
        """Return how many slots to request from each owner with free ones."""
        wanted_by_id = {}
        by_free = sorted(self._free_by_id.items(), key=lambda item: -item[1])
        for node_id, free in by_free:
            if waiting <= 0 or free <= 0:
                break
            wanted_by_id[node_id] = min(waiting, free)
            waiting -= wanted_by_id[node_id]
        return wanted_by_id

    def _should_broadcast(self, waiting: int) -> bool:
        """Return whether to send the demand to all owners now."""
        now_ms = self._clock.now()
        is_old = now_ms - self._last_demand_at_ms >= DEMAND_REPEAT_INTERVAL_MS
        if not is_old and waiting <= 2 * self._demand_sent:
            return False
        self._last_demand_at_ms = now_ms
        self._demand_sent = waiting
        return True

    def release_idle(self) -> None:
        """Return the slots that have been idle for too long."""
        keep_ms = self._keep_idle_ms()
        until_ms = self._clock.now() - keep_ms
        released_by_owner: dict[str, list[slots.ReleasedSlot]] = {}
        for owner_id, one in self._entry.cache.pop_idle_since(until_ms):
            released_by_owner.setdefault(owner_id, []).append(one)
        for owner_id, released in released_by_owner.items():
            self._return(released, owner_id)

    def _keep_idle_ms(self) -> int:
        """Return for how many ms an idle slot is kept.

        While many slots are free it is kept for long, since a kept slot saves
        a message; while none are free it is not kept, since other nodes may
        wait for one.
        """
        free = sum(self._free_by_id.values())
        if free > self._entry.fleet_slots * MANY_FREE_SHARE:
            return KEEP_IDLE_MANY_FREE_MS
        return KEEP_IDLE_FEW_FREE_MS if free else 0

    def return_slot(self, released: slots.ReleasedSlot, owner_id: str) -> None:
        """Return a recalled slot whose request has ended."""
        self._return([released], owner_id)

    def _return(
        self, released: list[slots.ReleasedSlot], owner_id: str
    ) -> None:
        member = self._members.member(owner_id)
        if member is None:
            return
        message = peer_pb2.ReturnSlotsRequest(
            node_id=self._members.local.node_id,
            slots=peers.released_slots(released),
        )
        self._background.spawn(self._send(member, 'ReturnSlots', message))

    async def on_recall(
        self, recall: peer_pb2.RecallSlotsRequest
    ) -> peer_pb2.RecallSlotsReply:
        """Return idle slots and mark busy ones for return."""
        released = self._entry.cache.recall(recall.owner_id, recall.count)
        return peer_pb2.RecallSlotsReply(slots=peers.released_slots(released))

    async def on_offer(
        self, offer: peer_pb2.OfferSlotsRequest
    ) -> peer_pb2.Empty:
        """Accept slots that an owner offers."""
        self.add_granted(
            offer.owner_id, offer.grants, offer.basis_ms + offer.lease_ms
        )
        return peer_pb2.Empty()

    def shortage(self) -> int:
        """Return how many more slots waiting requests could use now."""
        cache = self._entry.cache
        protected = self._entry.queue.protected_slots(cache.total)
        return len(self._entry.queue) - cache.idle_total + protected

    def owner_share(self, owner_id: str, waiting: int) -> int:
        """Return one owner's share of the ``waiting`` slots to request.

        The share is proportional to the owner's slots. Its fraction is
        rounded up or down at random, so that a single wanted slot is
        requested from one owner on average.
        """
        fleet = self._entry.fleet_slots
        if waiting <= 0 or not fleet:
            return 0
        share = waiting * self.slots_of(owner_id) / fleet
        return int(share + random.random())

    def extend_leases(self, renewed, expires_at_ms: int) -> None:
        """Extend the slot leases that an owner has renewed."""
        for one in renewed:
            for number in peers.slot_numbers(one.mask):
                slot_id = slots.SlotId(one.worker_id, number)
                self._entry.cache.renew(slot_id, expires_at_ms)

    def add_granted(self, owner_id: str, grants, expires_at_ms: int) -> None:
        """Add the slots that an owner has leased to this node."""
        if expires_at_ms <= self._clock.now():
            return
        for grant in grants:
            self._entry.endpoint_by_worker[grant.worker_id] = (
                endpoint_mod.Endpoint(grant.worker_id, grant.host, grant.port)
            )
            for number in peers.slot_numbers(grant.mask):
                self._entry.cache.add(
                    slots.SlotId(grant.worker_id, number),
                    owner_id,
                    grant.epoch,
                    grant.serial,
                    expires_at_ms,
                    self._clock.now(),
                )
        if grants:
            self._demand_sent = 0
            self._entry.start_waiting()

    def _owners(self) -> list[membership.Member]:
        return [self._members.local, *self._members.peers()]

    async def _send(self, member, method: str, message) -> None:
        try:
            await self._call(member, method, message)
        except channels.PeerError:
            self.failed_total += 1

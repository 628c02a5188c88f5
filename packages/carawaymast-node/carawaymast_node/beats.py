"""Heartbeats: who lives, who demands slots, which table is in force.

One message does all of it: a beat renews the slots that this node holds from
the receiver, tells it the demand, and learns of a newer table. A beat is sent
to each peer at a steady interval, and at once to owners when requests wait
and no slot is idle.
"""

import asyncio
import random
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import membership
from carawaymast_core import resources
from carawaymast_core import slots
from carawaymast_node import background
from carawaymast_node import endpoint as endpoint_mod
from carawaymast_node import entry as entry_mod
from carawaymast_node import log_service
from carawaymast_node import owner as owner_mod
from carawaymast_node import peer_pb2
from carawaymast_node import peers
from carawaymast_node import table_keeper

__all__ = ['Beats', 'PeerView']

BEAT_INTERVAL_MS = 1_000
DEMAND_REPEAT_MS = 100
KEEP_IDLE_PLENTY_MS = 500
KEEP_IDLE_SOME_MS = 20
PLENTY_SHARE = 0.2
BEAT_TIMEOUT_MS = 800


class PeerView(typing.NamedTuple):
    """What a peer said of itself in its newest beat."""

    table_version: int
    workers: int
    slots: int
    capacity: resources.Resources
    used: resources.Resources
    count_by_shape: dict[resources.Resources, int]
    reaches_log: bool
    demand_by_kind: dict[str, int]
    unreachable: frozenset[str]


class Beats:
    """Sends and answers the heartbeats of one node."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        members: membership.Membership,
        call: typing.Callable[..., typing.Awaitable[typing.Any]],
        entry: entry_mod.EntryService,
        owner: owner_mod.OwnerService,
        tables: table_keeper.TableKeeper,
        log: log_service.LogService,
    ):
        self._clock = clock
        self._members = members
        self._call = call
        self._entry = entry
        self._owner = owner
        self._tables = tables
        self._log = log
        self._last_demand_at_ms = 0
        self._asking = 0
        self._free_by_id: dict[str, int] = {}
        self._demand_sent = 0
        self._background = background.TaskSet()
        self._last_reply_at_ms = clock.now()
        self.view_by_id: dict[str, PeerView] = {}
        self.sent_total = 0
        self.failed_total = 0

    @property
    def is_connected(self) -> bool:
        """Whether this node reaches a peer, or has none to reach."""
        silent_ms = self._clock.now() - self._last_reply_at_ms
        return not self._members.peers() or silent_ms < BEAT_INTERVAL_MS * 3

    def reaches(self, node_id: str, worker_id: str) -> bool:
        """Tell whether a node has not said that it cannot reach a worker."""
        view = self.view_by_id.get(node_id)
        return view is None or worker_id not in view.unreachable

    async def keep_beating(self) -> typing.NoReturn:
        """Send beats to all members, for as long as the node runs."""
        while True:
            self._members.forget_silent(self._clock.now())
            self._forget_views()
            self._demand_sent = 0
            for member in self._targets():
                self._background.spawn(self._beat(member))
            await asyncio.sleep(self._interval_ms() / 1000)

    def demand(self) -> None:
        """Ask owners for slots at once, unless that was done just now.

        Owners that are known to have free slots are asked first. If there
        are none, all owners are told the demand; they remember it and offer
        slots as they come back.
        """
        waiting = self._short()
        if waiting <= 0 or self._asking:
            return
        asked = self._free_first(waiting)
        if not asked:
            if not self._is_news(waiting):
                return
            asked = {
                member.node_id: self._part(member.node_id, waiting)
                for member in self._targets()
            }
        for node_id, wanted in asked.items():
            member = self._members.member(node_id)
            if wanted and member is not None:
                self._asking += 1
                self._background.spawn(self._ask(member, wanted))

    async def _ask(self, member: membership.Member, wanted: int) -> None:
        try:
            granted = await self._beat(member, wanted)
        finally:
            self._asking -= 1
        if granted < wanted:
            # Others wait there too; what is free goes by their shares.
            self._free_by_id[member.node_id] = 0
        self.demand()

    def _free_first(self, waiting: int) -> dict[str, int]:
        """Return how many slots to ask of owners that have free ones."""
        asked = {}
        by_free = sorted(self._free_by_id.items(), key=lambda item: -item[1])
        for node_id, free in by_free:
            if waiting <= 0 or free <= 0:
                break
            asked[node_id] = min(waiting, free)
            waiting -= asked[node_id]
        return asked

    def _is_news(self, waiting: int) -> bool:
        """Tell whether the demand differs from what all owners know."""
        now_ms = self._clock.now()
        is_old = now_ms - self._last_demand_at_ms >= DEMAND_REPEAT_MS
        if not is_old and waiting <= 2 * self._demand_sent:
            return False
        self._last_demand_at_ms = now_ms
        self._demand_sent = waiting
        return True

    def release_idle(self) -> None:
        """Give back slots that were idle for longer than is useful now."""
        keep_ms = self._keep_idle_ms()
        until_ms = self._clock.now() - keep_ms
        released_by_owner: dict[str, list[slots.ReleasedSlot]] = {}
        for owner_id, one in self._entry.cache.pop_idle_since(until_ms):
            released_by_owner.setdefault(owner_id, []).append(one)
        for owner_id, released in released_by_owner.items():
            self._return(released, owner_id)

    def _keep_idle_ms(self) -> int:
        """Return how long an idle slot is kept.

        Slots are kept long while many are free, since a kept slot saves a
        message, and not at all while others may wait for one.
        """
        free = sum(self._free_by_id.values())
        if free > self._entry.fleet_slots * PLENTY_SHARE:
            return KEEP_IDLE_PLENTY_MS
        return KEEP_IDLE_SOME_MS if free else 0

    async def say_leaving(self) -> None:
        """Tell all members at once that this node is leaving."""
        self._members.is_leaving = True
        await asyncio.gather(*(self._beat(m) for m in self._targets()))

    async def on_beat(self, beat: peer_pb2.BeatRequest) -> peer_pb2.BeatReply:
        """Answer a beat."""
        member = membership.Member(
            beat.member.node_id,
            beat.member.host,
            beat.member.peer_port,
            beat.member.domain,
        )
        self._members.hear(member, self._clock.now(), beat.is_leaving)
        self.view_by_id[member.node_id] = _view(beat)
        self._free_by_id[member.node_id] = beat.owner.free_slots
        renewed, grants = self._owner.grantor.on_beat(member, beat)
        reply = peer_pb2.BeatReply(
            table_version=self._tables.table.version,
            grants=grants,
            renewed=peers.held_slots(renewed),
            lease_ms=slots.SLOT_LEASE_MS,
            free_slots=self._owner.grantor.ledger.free_total,
        )
        if beat.table_version < self._tables.table.version:
            reply.table_json = self._tables.travelling()
        return reply

    async def on_offer(
        self, offer: peer_pb2.OfferSlotsRequest
    ) -> peer_pb2.Empty:
        """Take in slots that an owner offers."""
        self._add(offer.owner_id, offer.grants, offer.basis_ms, offer.lease_ms)
        return peer_pb2.Empty()

    async def on_recall(
        self, recall: peer_pb2.RecallSlotsRequest
    ) -> peer_pb2.RecallSlotsReply:
        """Give idle slots back and mark busy ones."""
        released = self._entry.cache.recall(recall.owner_id, recall.count)
        return peer_pb2.RecallSlotsReply(slots=peers.released_slots(released))

    async def on_return(
        self, message: peer_pb2.ReturnSlotsRequest
    ) -> peer_pb2.Empty:
        """Take back slots of this node's workers."""
        self._owner.grantor.on_return(message.node_id, message.slots)
        return peer_pb2.Empty()

    def give_back(self, released: slots.ReleasedSlot, owner_id: str) -> None:
        """Return a recalled slot whose request has ended."""
        self._return([released], owner_id)

    def _return(
        self, released: list[slots.ReleasedSlot], owner_id: str
    ) -> None:
        member = self._members.member(owner_id)
        if member is None:
            return
        message = peer_pb2.ReturnSlotsRequest(
            node_id=self._members.own.node_id,
            slots=peers.released_slots(released),
        )
        self._background.spawn(self._tell(member, 'ReturnSlots', message))

    async def _beat(
        self, member: membership.Member, wanted: int | None = None
    ) -> int:
        """Send a beat; return how many slots it brought."""
        if wanted is None:
            wanted = self._part(member.node_id, self._short())
        beat = self._message(member, wanted)
        self.sent_total += 1
        try:
            reply = await self._call(
                member, 'Beat', beat, timeout_ms=BEAT_TIMEOUT_MS
            )
        except peers.PeerError:
            self.failed_total += 1
            return 0
        if member.node_id != self._members.own.node_id:
            self._last_reply_at_ms = self._clock.now()
        self._free_by_id[member.node_id] = reply.free_slots
        if reply.table_json:
            self._tables.adopt(reply.table_json)
        self._renew(reply.renewed, beat.sent_at_ms + reply.lease_ms)
        self._add(
            member.node_id, reply.grants, beat.sent_at_ms, reply.lease_ms
        )
        return sum(grant.mask.bit_count() for grant in reply.grants)

    def _message(
        self, member: membership.Member, wanted: int
    ) -> peer_pb2.BeatRequest:
        own = self._members.own
        entry = self._entry
        held = entry.cache.held_of(member.node_id)
        return peer_pb2.BeatRequest(
            member=peer_pb2.Member(
                node_id=own.node_id,
                host=own.host,
                peer_port=own.peer_port,
                domain=own.domain,
            ),
            is_leaving=self._members.is_leaving,
            table_version=self._tables.table.version,
            sent_at_ms=self._clock.now(),
            demand_by_kind=entry.queue.demand_by_kind(),
            held=peers.held_slots(held),
            wanted=wanted,
            owner=self._summary(),
            reaches_log=self._log.is_reachable,
            unreachable=self._owner.unreachable_ids,
        )

    def _short(self) -> int:
        """Return how many more slots could be used at once."""
        cache = self._entry.cache
        protected = self._entry.queue.protected_slots(cache.total)
        return len(self._entry.queue) - cache.idle_total + protected

    def _part(self, owner_id: str, waiting: int) -> int:
        """Return one owner's part of the slots that could be used.

        The part is proportional to the owner's slots; fractions are drawn,
        so that a single wanted slot is asked of one owner on average.
        """
        fleet = self._entry.fleet_slots
        if waiting <= 0 or not fleet:
            return 0
        exact = waiting * self._slots_of(owner_id) / fleet
        return int(exact + random.random())

    def _summary(self) -> peer_pb2.OwnerSummary:
        book = self._owner.book
        return peer_pb2.OwnerSummary(
            workers=len(book),
            slots=self._owner.grantor.ledger.total,
            free_slots=self._owner.grantor.ledger.free_total,
            capacity=peer_pb2.Resources(**book.capacity._asdict()),
            used=peer_pb2.Resources(**book.used._asdict()),
            shapes=[
                peer_pb2.Shape(
                    capacity=peer_pb2.Resources(**shape._asdict()),
                    count=count,
                )
                for shape, count in book.count_by_shape().items()
            ],
        )

    def _slots_of(self, node_id: str) -> int:
        if node_id == self._members.own.node_id:
            return self._owner.grantor.ledger.total
        view = self.view_by_id.get(node_id)
        return view.slots if view else 0

    def _targets(self) -> list[membership.Member]:
        return [self._members.own, *self._members.peers()]

    def _interval_ms(self) -> int:
        return beat_interval_ms(len(self._members.live()))

    def _forget_views(self) -> None:
        for node_id in list(self.view_by_id):
            if not self._members.is_live(node_id):
                del self.view_by_id[node_id]
                self._free_by_id.pop(node_id, None)
        live = self._members.live()
        self._entry.node_count = len(live)
        self._entry.fleet_slots = sum(
            self._slots_of(member.node_id) for member in live
        )

    def _renew(self, renewed, expires_at_ms: int) -> None:
        for one in renewed:
            for number in peers.slot_numbers(one.mask):
                slot_id = slots.SlotId(one.worker_id, number)
                self._entry.cache.renew(slot_id, expires_at_ms)

    def _add(self, owner_id, grants, basis_ms: int, lease_ms: int) -> None:
        expires_at_ms = basis_ms + lease_ms
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
            self._entry.pump()

    async def _tell(self, member, method: str, message) -> None:
        try:
            await self._call(member, method, message)
        except peers.PeerError:
            self.failed_total += 1


def beat_interval_ms(node_count: int) -> int:
    """Return the interval of beats, longer for many nodes.

    The messages a node sends in a second stay bounded, since each node
    beats to every other.
    """
    return max(BEAT_INTERVAL_MS, BEAT_INTERVAL_MS * node_count // 16)


def _view(beat: peer_pb2.BeatRequest) -> PeerView:
    return PeerView(
        beat.table_version,
        beat.owner.workers,
        beat.owner.slots,
        _vector(beat.owner.capacity),
        _vector(beat.owner.used),
        {_vector(s.capacity): s.count for s in beat.owner.shapes},
        beat.reaches_log,
        dict(beat.demand_by_kind),
        frozenset(beat.unreachable),
    )


def _vector(message: peer_pb2.Resources) -> resources.Resources:
    return resources.Resources(
        message.cpu_millis, message.memory_mb, message.accelerators
    )

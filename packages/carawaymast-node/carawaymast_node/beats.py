"""Heartbeats: who lives, who demands slots, which table is in force.

One message does all of it: a beat renews the slots that this node holds from
the receiver, tells it the demand, and learns of a newer table. A beat is sent
to each peer at a steady interval, and at once to owners when requests wait
and no slot is idle (``slot_seeker`` decides when).
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import membership
from carawaymast_core import resources
from carawaymast_core import slots
from carawaymast_node import background
from carawaymast_node import channels
from carawaymast_node import entry as entry_mod
from carawaymast_node import log_service
from carawaymast_node import owner as owner_mod
from carawaymast_node import peer_pb2
from carawaymast_node import peers
from carawaymast_node import slot_seeker
from carawaymast_node import table_keeper

__all__ = ['Beats', 'PeerView']

BEAT_INTERVAL_MS = 1_000
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
        seeker: slot_seeker.SlotSeeker,
        owner: owner_mod.OwnerService,
        tables: table_keeper.TableKeeper,
        log: log_service.LogService,
    ):
        self._clock = clock
        self._members = members
        self._call = call
        self._entry = entry
        self._seeker = seeker
        self._owner = owner
        self._tables = tables
        self._log = log
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
            self._seeker.note_told()
            for member in self._targets():
                self._background.spawn(self.beat(member))
            await asyncio.sleep(self._interval_ms() / 1000)

    async def say_leaving(self) -> None:
        """Tell all members at once that this node is leaving."""
        self._members.is_leaving = True
        await asyncio.gather(*(self.beat(m) for m in self._targets()))

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
        self._seeker.note_free(member.node_id, beat.owner.free_slots)
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

    async def beat(
        self, member: membership.Member, wanted: int | None = None
    ) -> int:
        """Send a beat; return how many slots it brought."""
        if wanted is None:
            wanted = self._seeker.part(member.node_id, self._seeker.short())
        beat = self._message(member, wanted)
        self.sent_total += 1
        try:
            reply = await self._call(
                member, 'Beat', beat, timeout_ms=BEAT_TIMEOUT_MS
            )
        except channels.PeerError:
            self.failed_total += 1
            return 0
        if member.node_id != self._members.own.node_id:
            self._last_reply_at_ms = self._clock.now()
        self._seeker.note_free(member.node_id, reply.free_slots)
        if reply.table_json:
            self._tables.adopt(reply.table_json)
        expires_at_ms = beat.sent_at_ms + reply.lease_ms
        self._seeker.take_renewed(reply.renewed, expires_at_ms)
        self._seeker.take_grants(member.node_id, reply.grants, expires_at_ms)
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

    def slots_of(self, node_id: str) -> int:
        """Return how many slots the workers of a node have."""
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
                self._seeker.forget(node_id)
        live = self._members.live()
        self._entry.node_count = len(live)
        self._entry.fleet_slots = sum(
            self.slots_of(member.node_id) for member in live
        )


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

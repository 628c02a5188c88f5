"""Heartbeats: liveness, demand for slots and the table version.

A heartbeat shows that the sender is live, renews the slots that it holds from
the receiver, reports its demand, and fetches a newer table. It is sent to each
peer at a fixed interval, and at once to owners when requests wait and no slot
is idle (``slot_requester`` decides when).
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
from carawaymast_node import slot_requester
from carawaymast_node import table_service

__all__ = ['Heartbeats', 'PeerView']

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 800


class PeerView(typing.NamedTuple):
    """The state of a peer, from its newest heartbeat."""

    table_version: int
    workers: int
    slots: int
    capacity: resources.Resources
    used: resources.Resources
    count_by_shape: dict[resources.Resources, int]
    reaches_log: bool
    demand_by_kind: dict[str, int]
    unreachable: frozenset[str]


class Heartbeats:
    """Sends and answers the heartbeats of one node."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        members: membership.Membership,
        call: typing.Callable[..., typing.Awaitable[typing.Any]],
        entry: entry_mod.EntryService,
        requester: slot_requester.SlotRequester,
        owner: owner_mod.OwnerService,
        tables: table_service.TableService,
        log: log_service.LogService,
    ):
        self._clock = clock
        self._members = members
        self._call = call
        self._entry = entry
        self._requester = requester
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
        """Whether a peer has answered lately, or there are no peers."""
        since_reply_ms = self._clock.now() - self._last_reply_at_ms
        return (
            not self._members.peers()
            or since_reply_ms < HEARTBEAT_INTERVAL_MS * 3
        )

    def can_reach(self, node_id: str, worker_id: str) -> bool:
        """Return whether a node can reach a worker.

        True unless the node has reported the worker as unreachable.
        """
        view = self.view_by_id.get(node_id)
        return view is None or worker_id not in view.unreachable

    async def keep_sending(self) -> typing.NoReturn:
        """Send heartbeats to all members for as long as the node runs."""
        while True:
            self._members.expire_heartbeats(self._clock.now())
            self._drop_stale_views()
            self._requester.record_broadcast()
            for member in self._recipients():
                self._background.spawn(self.send(member))
            await asyncio.sleep(self._interval_ms() / 1000)

    async def announce_leaving(self) -> None:
        """Notify all members at once that this node is leaving."""
        self._members.is_leaving = True
        await asyncio.gather(*(self.send(m) for m in self._recipients()))

    async def on_heartbeat(
        self, heartbeat: peer_pb2.BeatRequest
    ) -> peer_pb2.BeatReply:
        """Answer a heartbeat."""
        member = membership.Member(
            heartbeat.member.node_id,
            heartbeat.member.host,
            heartbeat.member.peer_port,
            heartbeat.member.domain,
        )
        self._members.record_heartbeat(
            member, self._clock.now(), heartbeat.is_leaving
        )
        self.view_by_id[member.node_id] = _view(heartbeat)
        self._requester.record_free_slots(
            member.node_id, heartbeat.owner.free_slots
        )
        renewed, grants = self._owner.grantor.on_heartbeat(member, heartbeat)
        reply = peer_pb2.BeatReply(
            table_version=self._tables.table.version,
            grants=grants,
            renewed=peers.held_slots(renewed),
            lease_ms=slots.SLOT_LEASE_MS,
            free_slots=self._owner.grantor.ledger.free_total,
        )
        if heartbeat.table_version < self._tables.table.version:
            reply.table_json = self._tables.encoded()
        return reply

    async def send(
        self, member: membership.Member, wanted: int | None = None
    ) -> int:
        """Send a heartbeat; return the number of slots granted in reply.

        ``wanted`` is the number of slots to ask for, by default the owner's
        share of the shortage.
        """
        if wanted is None:
            wanted = self._requester.owner_share(
                member.node_id, self._requester.shortage()
            )
        heartbeat = self._message(member, wanted)
        self.sent_total += 1
        try:
            reply = await self._call(
                member, 'Beat', heartbeat, timeout_ms=HEARTBEAT_TIMEOUT_MS
            )
        except channels.PeerError:
            self.failed_total += 1
            return 0
        if member.node_id != self._members.local.node_id:
            self._last_reply_at_ms = self._clock.now()
        self._requester.record_free_slots(member.node_id, reply.free_slots)
        if reply.table_json:
            self._tables.apply_encoded(reply.table_json)
        expires_at_ms = heartbeat.sent_at_ms + reply.lease_ms
        self._requester.extend_leases(reply.renewed, expires_at_ms)
        self._requester.add_granted(
            member.node_id, reply.grants, expires_at_ms
        )
        return sum(grant.mask.bit_count() for grant in reply.grants)

    def _message(
        self, member: membership.Member, wanted: int
    ) -> peer_pb2.BeatRequest:
        local = self._members.local
        entry = self._entry
        held = entry.cache.leased_from(member.node_id)
        return peer_pb2.BeatRequest(
            member=peer_pb2.Member(
                node_id=local.node_id,
                host=local.host,
                peer_port=local.peer_port,
                domain=local.domain,
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
        tracker = self._owner.tracker
        return peer_pb2.OwnerSummary(
            workers=len(tracker),
            slots=self._owner.grantor.ledger.total,
            free_slots=self._owner.grantor.ledger.free_total,
            capacity=peer_pb2.Resources(**tracker.capacity._asdict()),
            used=peer_pb2.Resources(**tracker.used._asdict()),
            shapes=[
                peer_pb2.Shape(
                    capacity=peer_pb2.Resources(**shape._asdict()),
                    count=count,
                )
                for shape, count in tracker.count_by_shape().items()
            ],
        )

    def slots_of(self, node_id: str) -> int:
        """Return how many slots the workers of a node have."""
        if node_id == self._members.local.node_id:
            return self._owner.grantor.ledger.total
        view = self.view_by_id.get(node_id)
        return view.slots if view else 0

    def _recipients(self) -> list[membership.Member]:
        return [self._members.local, *self._members.peers()]

    def _interval_ms(self) -> int:
        return heartbeat_interval_ms(len(self._members.live()))

    def _drop_stale_views(self) -> None:
        for node_id in list(self.view_by_id):
            if not self._members.is_live(node_id):
                del self.view_by_id[node_id]
                self._requester.drop_owner(node_id)
        live = self._members.live()
        self._entry.node_count = len(live)
        self._entry.fleet_slots = sum(
            self.slots_of(member.node_id) for member in live
        )


def heartbeat_interval_ms(node_count: int) -> int:
    """Return the heartbeat interval in ms, longer for many nodes.

    Each node sends to every other. The interval grows with their number, so
    that a node sends about 16 heartbeats a second at most.
    """
    return max(HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS * node_count // 16)


def _view(heartbeat: peer_pb2.BeatRequest) -> PeerView:
    return PeerView(
        heartbeat.table_version,
        heartbeat.owner.workers,
        heartbeat.owner.slots,
        _to_resources(heartbeat.owner.capacity),
        _to_resources(heartbeat.owner.used),
        {_to_resources(s.capacity): s.count for s in heartbeat.owner.shapes},
        heartbeat.reaches_log,
        dict(heartbeat.demand_by_kind),
        frozenset(heartbeat.unreachable),
    )


def _to_resources(message: peer_pb2.Resources) -> resources.Resources:
    return resources.Resources(
        message.cpu_millis, message.memory_mb, message.accelerators
    )

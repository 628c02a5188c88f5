"""Cluster membership, and which node should own a worker.

A member is live while its heartbeats arrive. The VM list of the platform,
which lags behind, gives the addresses of the nodes and which of them are
leaving. Rendezvous hashing over the live members, those of the same failure
domain first, selects the node that should try to own a worker or coordinate a
job. It is only a preference: the lease in the worker decides.
"""

import hashlib
import typing

__all__ = [
    'LastHeartbeat',
    'Member',
    'Membership',
    'Vm',
    'preferred',
    'preferred_owner',
]

# At the shortest heartbeat interval, 1,000 ms, one heartbeat may be lost.
SUSPECT_AFTER_MS = 2_500


class Vm(typing.NamedTuple):
    """One row of the VM list of the platform.

    ``role`` is ``node`` or ``worker``; ``state`` is ``live`` or ``leaving``.
    """

    vm_id: str
    role: str
    host: str
    port: int
    peer_port: int
    domain: str
    rack: str
    state: str


class Member(typing.NamedTuple):
    """A node of the cluster."""

    node_id: str
    host: str
    peer_port: int
    domain: str


class LastHeartbeat(typing.NamedTuple):
    """The time of the last heartbeat, and whether the member is leaving."""

    at_ms: int
    is_leaving: bool


def score(key: str, node_id: str) -> int:
    """Return the rendezvous weight of a node for a key."""
    digest = hashlib.blake2b(f'{key}\0{node_id}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def preferred(key: str, node_ids: typing.Iterable[str]) -> str | None:
    """Return the node that rendezvous hashing prefers for ``key``."""
    return max(node_ids, key=lambda n: (score(key, n), n), default=None)


def preferred_owner(
    worker_id: str, domain: str, members: typing.Iterable[Member]
) -> str | None:
    """Return the node that should own a worker.

    Nodes in the failure domain of the worker are preferred.
    """
    members = list(members)
    same_domain = [m.node_id for m in members if m.domain == domain]
    return preferred(worker_id, same_domain or [m.node_id for m in members])


class Membership:
    """The members of the cluster as one node sees them.

    ``is_leaving`` is whether this node itself is leaving.
    """

    def __init__(self, local: Member):
        self._local = local
        self._member_by_id: dict[str, Member] = {local.node_id: local}
        self._last_heartbeat_by_id: dict[str, LastHeartbeat] = {}
        self.is_leaving = False

    @property
    def local(self) -> Member:
        """The member that stands for this node."""
        return self._local

    def update_list(self, vms: typing.Iterable[Vm]) -> None:
        """Apply the VM list of the platform.

        Nodes that are neither listed nor live are removed.
        """
        listed = {
            vm.vm_id: Member(vm.vm_id, vm.host, vm.peer_port, vm.domain)
            for vm in vms
            if vm.role == 'node'
        }
        gone = [
            node_id
            for node_id in self._member_by_id
            if node_id not in listed
            and node_id not in self._last_heartbeat_by_id
        ]
        for node_id in gone:
            if node_id != self._local.node_id:
                del self._member_by_id[node_id]
        for node_id, member in listed.items():
            if node_id != self._local.node_id:
                self._member_by_id[node_id] = member

    def record_heartbeat(
        self, member: Member, now_ms: int, is_leaving: bool
    ) -> None:
        """Record a heartbeat, also from a node that is not listed."""
        if member.node_id == self._local.node_id:
            return
        self._member_by_id[member.node_id] = member
        self._last_heartbeat_by_id[member.node_id] = LastHeartbeat(
            now_ms, is_leaving
        )

    def expire_heartbeats(self, now_ms: int) -> list[str]:
        """Remove and return the ids of members whose heartbeats stopped.

        They remain peers until the VM list no longer has them.
        """
        expired = [
            node_id
            for node_id, heartbeat in self._last_heartbeat_by_id.items()
            if heartbeat.at_ms + SUSPECT_AFTER_MS <= now_ms
        ]
        for node_id in expired:
            del self._last_heartbeat_by_id[node_id]
        return expired

    def peers(self) -> list[Member]:
        """Return all known members except this node, live or not."""
        return [
            member
            for node_id, member in self._member_by_id.items()
            if node_id != self._local.node_id
        ]

    def live(self) -> list[Member]:
        """Return this node and the members with recent heartbeats."""
        live = [
            self._member_by_id[node_id]
            for node_id in self._last_heartbeat_by_id
        ]
        return [self._local, *live]

    def staying(self) -> list[Member]:
        """Return the live members that are not leaving."""
        staying = [
            self._member_by_id[node_id]
            for node_id, heartbeat in self._last_heartbeat_by_id.items()
            if not heartbeat.is_leaving
        ]
        if not self.is_leaving:
            staying.append(self._local)
        return staying

    def is_live(self, node_id: str) -> bool:
        """Return whether a node is live; this node always is."""
        return (
            node_id == self._local.node_id
            or node_id in self._last_heartbeat_by_id
        )

    def member(self, node_id: str) -> Member | None:
        """Return a member by id, live or not."""
        return self._member_by_id.get(node_id)

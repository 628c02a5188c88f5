"""The slots that an entry node has leased, idle and busy."""

import typing

from carawaymast_core import errors
from carawaymast_core import slots

__all__ = ['SlotCache', 'SlotUse']


class SlotUse(typing.NamedTuple):
    """The slot for one request, and the epoch to send with it."""

    slot_id: slots.SlotId
    epoch: int


class _HeldSlot:
    """The lease and the use of one slot."""

    def __init__(
        self, owner_id: str, epoch: int, serial: int, expires_at_ms: int
    ):
        self.owner_id = owner_id
        self.epoch = epoch
        self.serial = serial
        self.expires_at_ms = expires_at_ms
        self.request_id = ''
        self.is_recalled = False


class SlotCache:
    """The slots that one entry node holds, idle and busy.

    Invariant: a slot runs at most one request.
    """

    def __init__(self) -> None:
        self._held_by_id: dict[slots.SlotId, _HeldSlot] = {}
        # In the order in which the slots became idle.
        self._idle_since_by_id: dict[slots.SlotId, int] = {}

    @property
    def total(self) -> int:
        """The number of slots held."""
        return len(self._held_by_id)

    @property
    def idle_total(self) -> int:
        """The number of slots held and not in use."""
        return len(self._idle_since_by_id)

    def add(
        self,
        slot_id: slots.SlotId,
        owner_id: str,
        epoch: int,
        serial: int,
        expires_at_ms: int,
        now_ms: int,
    ) -> None:
        """Add a slot that was just leased to this node."""
        held = self._held_by_id.get(slot_id)
        if held is not None and held.request_id:
            # The answer to the last request has not arrived yet.
            held.owner_id = owner_id
            held.epoch = epoch
            held.serial = serial
            held.expires_at_ms = expires_at_ms
            held.is_recalled = False
            return
        held = _HeldSlot(owner_id, epoch, serial, expires_at_ms)
        self._held_by_id[slot_id] = held
        self._idle_since_by_id.pop(slot_id, None)
        self._idle_since_by_id[slot_id] = now_ms

    def renew(self, slot_id: slots.SlotId, expires_at_ms: int) -> None:
        """Extend a lease, unless the slot has left the cache."""
        held = self._held_by_id.get(slot_id)
        if held is not None:
            held.expires_at_ms = max(held.expires_at_ms, expires_at_ms)

    def has_idle(self, now_ms: int) -> bool:
        """Return whether an idle slot can be used.

        Idle slots whose lease has expired are dropped on the way.
        """
        while self._idle_since_by_id:
            slot_id = next(reversed(self._idle_since_by_id))
            if self._held_by_id[slot_id].expires_at_ms > now_ms:
                return True
            del self._idle_since_by_id[slot_id]
            del self._held_by_id[slot_id]
        return False

    def begin_use(self, request_id: str) -> SlotUse:
        """Start using the idle slot that ``has_idle`` found.

        The slot used last is reused first, so that the others stay idle and
        can be released.
        """
        slot_id, _ = self._idle_since_by_id.popitem()
        held = self._held_by_id[slot_id]
        errors.check(
            not held.request_id,
            f'slot {slot_id} already runs {held.request_id}',
        )
        held.request_id = request_id
        return SlotUse(slot_id, held.epoch)

    def end_use(
        self, slot_id: slots.SlotId, request_id: str, now_ms: int
    ) -> slots.ReleasedSlot | None:
        """End the use of a slot; return it if it is to be released.

        A slot that was recalled or whose lease has expired leaves the cache.
        Raises ``InvariantError`` if the slot does not run ``request_id``.
        """
        held = self._held_by_id.get(slot_id)
        errors.check(
            held is not None and held.request_id == request_id,
            f'slot {slot_id} does not run {request_id}',
        )
        held.request_id = ''
        if held.expires_at_ms <= now_ms:
            del self._held_by_id[slot_id]
            return None
        if held.is_recalled:
            del self._held_by_id[slot_id]
            return slots.ReleasedSlot(slot_id, held.serial)
        self._idle_since_by_id[slot_id] = now_ms
        return None

    def discard(self, slot_id: slots.SlotId, request_id: str) -> None:
        """Drop a slot in which the endpoint may still run the request.

        The slot is neither used again nor released, so that the owner leases
        it again only after a usage report shows it idle.
        """
        held = self._held_by_id.pop(slot_id, None)
        errors.check(
            held is not None and held.request_id == request_id,
            f'slot {slot_id} does not run {request_id}',
        )

    def recall(self, owner_id: str, count: int) -> list[slots.ReleasedSlot]:
        """Release up to ``count`` slots of an owner.

        Idle slots are returned at once. For the rest, busy slots are marked
        and leave the cache when their request ends.
        """
        of_owner = [
            slot_id
            for slot_id, held in self._held_by_id.items()
            if held.owner_id == owner_id and not held.is_recalled
        ]
        idle = [
            slot_id
            for slot_id in of_owner
            if slot_id in self._idle_since_by_id
        ]
        released = []
        for slot_id in idle[:count]:
            del self._idle_since_by_id[slot_id]
            held = self._held_by_id.pop(slot_id)
            released.append(slots.ReleasedSlot(slot_id, held.serial))
        left = count - len(released)
        busy = [slot_id for slot_id in of_owner if slot_id in self._held_by_id]
        for slot_id in busy[:left]:
            self._held_by_id[slot_id].is_recalled = True
        return released

    def pop_idle_since(
        self, until_ms: int
    ) -> list[tuple[str, slots.ReleasedSlot]]:
        """Remove and return the slots that became idle by ``until_ms``.

        Each is returned with the id of the owner that leased it.
        """
        released = []
        for slot_id, since_ms in list(self._idle_since_by_id.items()):
            if since_ms > until_ms:
                break
            del self._idle_since_by_id[slot_id]
            held = self._held_by_id.pop(slot_id)
            slot = slots.ReleasedSlot(slot_id, held.serial)
            released.append((held.owner_id, slot))
        return released

    def drop_worker(self, worker_id: str) -> None:
        """Stop using the slots of one worker.

        Idle slots leave the cache at once, busy ones when their request ends.
        """
        for slot_id, held in list(self._held_by_id.items()):
            if slot_id.worker_id != worker_id:
                continue
            held.is_recalled = True
            if slot_id in self._idle_since_by_id:
                del self._idle_since_by_id[slot_id]
                del self._held_by_id[slot_id]

    def leased_from(self, owner_id: str) -> list[slots.SlotId]:
        """Return the slots leased from one owner."""
        return [
            slot_id
            for slot_id, held in self._held_by_id.items()
            if held.owner_id == owner_id
        ]

    def owner_of(self, slot_id: slots.SlotId) -> str:
        """Return the id of the owner that leased a held slot."""
        return self._held_by_id[slot_id].owner_id

    def expire_leases(self, now_ms: int) -> int:
        """Drop idle slots whose lease has expired; return how many."""
        expired = [
            slot_id
            for slot_id in self._idle_since_by_id
            if self._held_by_id[slot_id].expires_at_ms <= now_ms
        ]
        for slot_id in expired:
            del self._idle_since_by_id[slot_id]
            del self._held_by_id[slot_id]
        return len(expired)

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` if idle and busy slots do not add up."""
        busy = sum(bool(h.request_id) for h in self._held_by_id.values())
        errors.check(
            busy + len(self._idle_since_by_id) == len(self._held_by_id),
            f'{busy} busy and {len(self._idle_since_by_id)} idle of '
            f'{len(self._held_by_id)} slots',
        )

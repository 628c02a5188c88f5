"""Leased slots: the ledger of the owner and the cache of the entry node.

The owner of a worker leases the slots of its runner to entry nodes; an entry
node uses the slots it holds for request after request without asking again.
All times that travel are counted on the clock of the entry node from before
it sent its request, so the entry node always stops first.
"""

import enum
import typing

from carawaymast_core import errors

__all__ = [
    'ReleasedSlot',
    'SLOT_LEASE_MS',
    'SlotCache',
    'SlotId',
    'SlotLedger',
    'SlotState',
]

SLOT_LEASE_MS = 4_000
SLOT_GUARD_MS = 250


class SlotId(typing.NamedTuple):
    """One slot of the runner on one worker."""

    worker_id: str
    number: int


class SlotState(enum.StrEnum):
    """What the owner knows about a slot."""

    FREE = 'free'
    LEASED = 'leased'
    UNPROVEN = 'unproven'


class _Slot:
    """The ledger's entry for one slot."""

    def __init__(self) -> None:
        self.state = SlotState.UNPROVEN
        self.entry_id = ''
        self.serial = 0
        self.expires_at_ms = 0
        self.unproven_since_ms = 0


class SlotLedger:
    """The slots of the workers that one node owns.

    A slot whose lease lapsed without a release is ``UNPROVEN``: it is leased
    again only after a usage report, taken after the lapse, shows it idle.
    Each lease has a serial number, so that a release which arrives late
    cannot end a newer lease of the same slot.
    Invariant: a slot is leased to one entry node at most.
    """

    def __init__(self) -> None:
        self._slot_by_id: dict[SlotId, _Slot] = {}
        self._ids_by_worker: dict[str, list[SlotId]] = {}
        self._free: dict[SlotId, None] = {}
        self._ids_by_entry: dict[str, dict[SlotId, None]] = {}
        self._serial = 0

    @property
    def total(self) -> int:
        """The number of slots in the ledger."""
        return len(self._slot_by_id)

    @property
    def free_total(self) -> int:
        """The number of slots that may be leased now."""
        return len(self._free)

    def add_worker(
        self, worker_id: str, slot_count: int, usable_from_ms: int
    ) -> None:
        """Take in the slots of a worker that was just acquired.

        Leases of the former owner may still run, so each slot starts
        unproven and a report counts only if taken after
        ``usable_from_ms``.
        """
        if worker_id in self._ids_by_worker:
            return
        ids = [SlotId(worker_id, number) for number in range(slot_count)]
        self._ids_by_worker[worker_id] = ids
        for slot_id in ids:
            slot = _Slot()
            slot.unproven_since_ms = usable_from_ms
            self._slot_by_id[slot_id] = slot

    def drop_worker(self, worker_id: str) -> None:
        """Forget the slots of a worker that is no longer owned."""
        for slot_id in self._ids_by_worker.pop(worker_id, []):
            self._unlink(slot_id)
            del self._slot_by_id[slot_id]

    def has_worker(self, worker_id: str) -> bool:
        """Tell whether the slots of the worker are in the ledger."""
        return worker_id in self._ids_by_worker

    def is_leased(self, worker_id: str) -> bool:
        """Tell whether any slot of the worker is leased."""
        return any(
            self._slot_by_id[slot_id].state is SlotState.LEASED
            for slot_id in self._ids_by_worker.get(worker_id, [])
        )

    def lease(self, entry_id: str, count: int, until_ms: int) -> list[SlotId]:
        """Lease up to ``count`` free slots until ``until_ms``."""
        taken = []
        self._serial += 1
        while self._free and len(taken) < count:
            slot_id = next(iter(self._free))
            self._lease_one(slot_id, entry_id, until_ms)
            taken.append(slot_id)
        return taken

    def renew(self, entry_id: str, slot_id: SlotId, until_ms: int) -> bool:
        """Extend a lease; tell whether ``entry_id`` really holds it."""
        slot = self._slot_by_id.get(slot_id)
        if slot is None or slot.state is not SlotState.LEASED:
            return False
        if slot.entry_id != entry_id:
            return False
        slot.expires_at_ms = max(slot.expires_at_ms, until_ms)
        return True

    def serial_of(self, slot_id: SlotId) -> int:
        """Return the serial number of the newest lease of a slot."""
        return self._slot_by_id[slot_id].serial

    def release(self, entry_id: str, slot_id: SlotId, serial: int) -> bool:
        """Take back an idle slot if just this lease of it still runs."""
        slot = self._slot_by_id.get(slot_id)
        if slot is None or slot.state is not SlotState.LEASED:
            return False
        if slot.entry_id != entry_id or slot.serial != serial:
            return False
        self._unlink(slot_id)
        self._set_free(slot_id, slot)
        return True

    def lapse(self, now_ms: int) -> list[SlotId]:
        """Mark each lease that ran out as unproven and return those."""
        lapsed = [
            slot_id
            for slot_ids in self._ids_by_entry.values()
            for slot_id in slot_ids
            if self._slot_by_id[slot_id].expires_at_ms + SLOT_GUARD_MS
            <= now_ms
        ]
        for slot_id in lapsed:
            self._unlink(slot_id)
            slot = self._slot_by_id[slot_id]
            slot.state = SlotState.UNPROVEN
            slot.unproven_since_ms = now_ms
        return lapsed

    def prove_idle(
        self, worker_id: str, busy: typing.Container[int], taken_at_ms: int
    ) -> int:
        """Free the unproven slots that a report shows idle.

        ``taken_at_ms`` is when the report was asked for, on the owner's
        clock. Returns how many slots were freed.
        """
        freed = 0
        for slot_id in self._ids_by_worker.get(worker_id, []):
            slot = self._slot_by_id[slot_id]
            if slot.state is not SlotState.UNPROVEN:
                continue
            if taken_at_ms < slot.unproven_since_ms:
                continue
            if slot_id.number in busy:
                continue
            self._set_free(slot_id, slot)
            freed += 1
        return freed

    def held_count(self, entry_id: str) -> int:
        """Return how many slots an entry node holds."""
        return len(self._ids_by_entry.get(entry_id, ()))

    def held_by(self, entry_id: str) -> list[SlotId]:
        """Return the slots that an entry node holds."""
        return list(self._ids_by_entry.get(entry_id, ()))

    def holders(self) -> list[str]:
        """Return the entry nodes that hold any slot."""
        return [entry for entry, ids in self._ids_by_entry.items() if ids]

    def check_accounts(self) -> None:
        """Raise ``InvariantError`` unless each slot is counted once."""
        leased = sum(len(ids) for ids in self._ids_by_entry.values())
        unproven = sum(
            slot.state is SlotState.UNPROVEN
            for slot in self._slot_by_id.values()
        )
        errors.check(
            leased + unproven + len(self._free) == self.total,
            f'{leased} leased, {unproven} unproven, {len(self._free)} free '
            f'of {self.total} slots',
        )

    def _lease_one(self, slot_id, entry_id, until_ms) -> None:
        slot = self._slot_by_id[slot_id]
        errors.check(
            slot.state is SlotState.FREE,
            f'slot {slot_id} is {slot.state}, held by {slot.entry_id!r}',
        )
        del self._free[slot_id]
        slot.state = SlotState.LEASED
        slot.entry_id = entry_id
        slot.serial = self._serial
        slot.expires_at_ms = until_ms
        self._ids_by_entry.setdefault(entry_id, {})[slot_id] = None

    def _set_free(self, slot_id: SlotId, slot: _Slot) -> None:
        slot.state = SlotState.FREE
        slot.entry_id = ''
        self._free[slot_id] = None

    def _unlink(self, slot_id: SlotId) -> None:
        slot = self._slot_by_id[slot_id]
        self._free.pop(slot_id, None)
        ids = self._ids_by_entry.get(slot.entry_id)
        if ids is not None:
            ids.pop(slot_id, None)
            if not ids:
                del self._ids_by_entry[slot.entry_id]


class _Held:
    """The cache's entry for one slot."""

    def __init__(
        self, owner_id: str, epoch: int, serial: int, expires_at_ms: int
    ):
        self.owner_id = owner_id
        self.epoch = epoch
        self.serial = serial
        self.expires_at_ms = expires_at_ms
        self.request_id = ''
        self.is_recalled = False


class ReleasedSlot(typing.NamedTuple):
    """A slot that an entry node gives back, and which lease of it."""

    slot_id: SlotId
    serial: int


class SlotUse(typing.NamedTuple):
    """The right to run one request in a slot."""

    slot_id: SlotId
    epoch: int


class SlotCache:
    """The slots that one entry node holds, idle and busy.

    Invariant: a slot runs one request at most.
    """

    def __init__(self) -> None:
        self._held_by_id: dict[SlotId, _Held] = {}
        # Slots in the order of becoming idle, with the time of it.
        self._idle: dict[SlotId, int] = {}

    @property
    def total(self) -> int:
        """The number of slots held."""
        return len(self._held_by_id)

    @property
    def idle_total(self) -> int:
        """The number of slots held and not in use."""
        return len(self._idle)

    def add(
        self,
        slot_id: SlotId,
        owner_id: str,
        epoch: int,
        serial: int,
        expires_at_ms: int,
        now_ms: int,
    ) -> None:
        """Take in a slot that was just leased to this node."""
        held = self._held_by_id.get(slot_id)
        if held is not None and held.request_id:
            # The answer of the last use is still on its way.
            held.owner_id = owner_id
            held.epoch = epoch
            held.serial = serial
            held.expires_at_ms = expires_at_ms
            held.is_recalled = False
            return
        held = _Held(owner_id, epoch, serial, expires_at_ms)
        self._held_by_id[slot_id] = held
        self._idle.pop(slot_id, None)
        self._idle[slot_id] = now_ms

    def renew(self, slot_id: SlotId, expires_at_ms: int) -> None:
        """Extend a lease, unless the slot was given up meanwhile."""
        held = self._held_by_id.get(slot_id)
        if held is not None:
            held.expires_at_ms = max(held.expires_at_ms, expires_at_ms)

    def has_idle(self, now_ms: int) -> bool:
        """Tell whether an idle slot can be taken, dropping lapsed ones."""
        while self._idle:
            slot_id = next(reversed(self._idle))
            if self._held_by_id[slot_id].expires_at_ms > now_ms:
                return True
            del self._idle[slot_id]
            del self._held_by_id[slot_id]
        return False

    def take(self, request_id: str) -> SlotUse:
        """Start using the idle slot that ``has_idle`` found.

        The slot used last is taken first, so that the others stay idle and
        can be given back.
        """
        slot_id, _ = self._idle.popitem()
        held = self._held_by_id[slot_id]
        errors.check(
            not held.request_id,
            f'slot {slot_id} already runs {held.request_id}',
        )
        held.request_id = request_id
        return SlotUse(slot_id, held.epoch)

    def put_back(
        self, slot_id: SlotId, request_id: str, now_ms: int
    ) -> ReleasedSlot | None:
        """End the use of a slot; return it if it is to be given back.

        A slot that was recalled, or whose lease ran out meanwhile, leaves
        the cache.
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
            return ReleasedSlot(slot_id, held.serial)
        self._idle[slot_id] = now_ms
        return None

    def quarantine(self, slot_id: SlotId, request_id: str) -> None:
        """Give up a slot whose use may go on at the endpoint.

        The slot is neither used nor released, so that the owner leases it
        again only after a usage report shows it idle.
        """
        held = self._held_by_id.pop(slot_id, None)
        errors.check(
            held is not None and held.request_id == request_id,
            f'slot {slot_id} does not run {request_id}',
        )

    def recall(self, owner_id: str, count: int) -> list[ReleasedSlot]:
        """Give back up to ``count`` slots of an owner.

        Idle slots are returned at once; for the rest, busy slots are marked
        and leave the cache when their request ends.
        """
        of_owner = [
            slot_id
            for slot_id, held in self._held_by_id.items()
            if held.owner_id == owner_id and not held.is_recalled
        ]
        idle = [slot_id for slot_id in of_owner if slot_id in self._idle]
        released = []
        for slot_id in idle[:count]:
            del self._idle[slot_id]
            held = self._held_by_id.pop(slot_id)
            released.append(ReleasedSlot(slot_id, held.serial))
        left = count - len(released)
        busy = [slot_id for slot_id in of_owner if slot_id in self._held_by_id]
        for slot_id in busy[:left]:
            self._held_by_id[slot_id].is_recalled = True
        return released

    def pop_idle_since(self, until_ms: int) -> list[tuple[str, ReleasedSlot]]:
        """Give back the slots that became idle by ``until_ms``.

        Returns each with the owner that leased it.
        """
        released = []
        for slot_id, since_ms in list(self._idle.items()):
            if since_ms > until_ms:
                break
            del self._idle[slot_id]
            held = self._held_by_id.pop(slot_id)
            one = ReleasedSlot(slot_id, held.serial)
            released.append((held.owner_id, one))
        return released

    def drop_worker(self, worker_id: str) -> None:
        """Stop using the slots of one worker.

        Idle ones leave the cache at once, busy ones when they end.
        """
        for slot_id, held in list(self._held_by_id.items()):
            if slot_id.worker_id != worker_id:
                continue
            held.is_recalled = True
            if slot_id in self._idle:
                del self._idle[slot_id]
                del self._held_by_id[slot_id]

    def held_of(self, owner_id: str) -> list[SlotId]:
        """Return the slots leased from one owner."""
        return [
            slot_id
            for slot_id, held in self._held_by_id.items()
            if held.owner_id == owner_id
        ]

    def owner_of(self, slot_id: SlotId) -> str:
        """Return the owner that leased a held slot."""
        return self._held_by_id[slot_id].owner_id

    def lapse(self, now_ms: int) -> int:
        """Drop idle slots whose lease ran out; return how many."""
        lapsed = [
            slot_id
            for slot_id in self._idle
            if self._held_by_id[slot_id].expires_at_ms <= now_ms
        ]
        for slot_id in lapsed:
            del self._idle[slot_id]
            del self._held_by_id[slot_id]
        return len(lapsed)

    def check_accounts(self) -> None:
        """Raise ``InvariantError`` unless idle and busy slots add up."""
        busy = sum(bool(h.request_id) for h in self._held_by_id.values())
        errors.check(
            busy + len(self._idle) == len(self._held_by_id),
            f'{busy} busy and {len(self._idle)} idle of '
            f'{len(self._held_by_id)} slots',
        )

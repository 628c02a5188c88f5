"""The slots of the workers that a node owns, and their leases."""

import enum
import typing

from carawaymast_core import errors
from carawaymast_core import slots

__all__ = ['SlotLedger', 'SlotState']


class SlotState(enum.StrEnum):
    """The state of a slot at the owner of its worker.

    An ``UNPROVEN`` slot may still run a request.
    """

    FREE = 'free'
    LEASED = 'leased'
    UNPROVEN = 'unproven'


class _Slot:
    """The state and the newest lease of one slot."""

    def __init__(self) -> None:
        self.state = SlotState.UNPROVEN
        self.entry_id = ''
        self.serial = 0
        self.expires_at_ms = 0
        self.unproven_since_ms = 0


class SlotLedger:
    """The slots of the workers that one node owns.

    A slot whose lease expired without a release is ``UNPROVEN``: it is leased
    again only after a usage report, taken after the expiry, shows it idle.
    Each lease has a serial number, so that a delayed release cannot end a
    newer lease of the same slot.

    Invariant: a slot is leased to at most one entry node.
    """

    def __init__(self) -> None:
        self._slot_by_id: dict[slots.SlotId, _Slot] = {}
        self._ids_by_worker: dict[str, list[slots.SlotId]] = {}
        self._free: dict[slots.SlotId, None] = {}
        self._ids_by_entry: dict[str, dict[slots.SlotId, None]] = {}
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
        """Add the slots of a worker that was just acquired.

        Leases from the former owner may still be valid, so each slot starts
        as ``UNPROVEN``, and only a report taken at ``usable_from_ms`` or
        later can free it.
        """
        if worker_id in self._ids_by_worker:
            return
        ids = [slots.SlotId(worker_id, number) for number in range(slot_count)]
        self._ids_by_worker[worker_id] = ids
        for slot_id in ids:
            slot = _Slot()
            slot.unproven_since_ms = usable_from_ms
            self._slot_by_id[slot_id] = slot

    def drop_worker(self, worker_id: str) -> None:
        """Remove the slots of a worker that is no longer owned."""
        for slot_id in self._ids_by_worker.pop(worker_id, []):
            self._unlink(slot_id)
            del self._slot_by_id[slot_id]

    def has_worker(self, worker_id: str) -> bool:
        """Return whether the slots of the worker are in the ledger."""
        return worker_id in self._ids_by_worker

    def is_leased(self, worker_id: str) -> bool:
        """Return whether any slot of the worker is leased."""
        return any(
            self._slot_by_id[slot_id].state is SlotState.LEASED
            for slot_id in self._ids_by_worker.get(worker_id, [])
        )

    def lease(
        self, entry_id: str, count: int, until_ms: int
    ) -> list[slots.SlotId]:
        """Lease up to ``count`` free slots until ``until_ms``."""
        leased = []
        self._serial += 1
        while self._free and len(leased) < count:
            slot_id = next(iter(self._free))
            self._lease_one(slot_id, entry_id, until_ms)
            leased.append(slot_id)
        return leased

    def renew(
        self, entry_id: str, slot_id: slots.SlotId, until_ms: int
    ) -> bool:
        """Extend a lease; return False if ``entry_id`` does not hold it."""
        slot = self._slot_by_id.get(slot_id)
        if slot is None or slot.state is not SlotState.LEASED:
            return False
        if slot.entry_id != entry_id:
            return False
        slot.expires_at_ms = max(slot.expires_at_ms, until_ms)
        return True

    def serial_of(self, slot_id: slots.SlotId) -> int:
        """Return the serial number of the newest lease of a slot."""
        return self._slot_by_id[slot_id].serial

    def release(
        self, entry_id: str, slot_id: slots.SlotId, serial: int
    ) -> bool:
        """Free a slot; return False if this lease is not the current one."""
        slot = self._slot_by_id.get(slot_id)
        if slot is None or slot.state is not SlotState.LEASED:
            return False
        if slot.entry_id != entry_id or slot.serial != serial:
            return False
        self._unlink(slot_id)
        self._set_free(slot_id, slot)
        return True

    def expire_leases(self, now_ms: int) -> list[slots.SlotId]:
        """Mark the slots whose lease expired as unproven and return them."""
        expired = [
            slot_id
            for slot_ids in self._ids_by_entry.values()
            for slot_id in slot_ids
            if self._slot_by_id[slot_id].expires_at_ms + slots.SLOT_GUARD_MS
            <= now_ms
        ]
        for slot_id in expired:
            self._unlink(slot_id)
            slot = self._slot_by_id[slot_id]
            slot.state = SlotState.UNPROVEN
            slot.unproven_since_ms = now_ms
        return expired

    def prove_idle(
        self, worker_id: str, busy: typing.Container[int], taken_at_ms: int
    ) -> int:
        """Free the unproven slots that a usage report shows idle.

        ``busy`` holds the numbers of the busy slots. ``taken_at_ms`` is the
        time of the request for the report, on the clock of the owner.
        Returns the number of slots freed.
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
        """Return the number of slots that an entry node holds."""
        return len(self._ids_by_entry.get(entry_id, ()))

    def held_by(self, entry_id: str) -> list[slots.SlotId]:
        """Return the slots that an entry node holds."""
        return list(self._ids_by_entry.get(entry_id, ()))

    def holders(self) -> list[str]:
        """Return the ids of the entry nodes that hold a slot."""
        return [entry for entry, ids in self._ids_by_entry.items() if ids]

    def check_invariants(self) -> None:
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

    def _set_free(self, slot_id: slots.SlotId, slot: _Slot) -> None:
        slot.state = SlotState.FREE
        slot.entry_id = ''
        self._free[slot_id] = None

    def _unlink(self, slot_id: slots.SlotId) -> None:
        slot = self._slot_by_id[slot_id]
        self._free.pop(slot_id, None)
        ids = self._ids_by_entry.get(slot.entry_id)
        if ids is not None:
            ids.pop(slot_id, None)
            if not ids:
                del self._ids_by_entry[slot.entry_id]

"""What owners and entry nodes both know of leased slots.

The owner of a worker leases the slots of its runner to entry nodes
(``slot_ledger``); an entry node uses the slots it holds for request after
request without asking again (``slot_cache``). All times that travel are
counted on the clock of the entry node from before it sent its request, so
the entry node always stops first.
"""

import typing

__all__ = ['ReleasedSlot', 'SLOT_GUARD_MS', 'SLOT_LEASE_MS', 'SlotId']

SLOT_LEASE_MS = 4_000
SLOT_GUARD_MS = 250


class SlotId(typing.NamedTuple):
    """One slot of the runner on one worker."""

    worker_id: str
    number: int


class ReleasedSlot(typing.NamedTuple):
    """A slot that an entry node gives back, and which lease of it."""

    slot_id: SlotId
    serial: int

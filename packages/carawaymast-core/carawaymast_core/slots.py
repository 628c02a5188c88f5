"""Types and times of slot leases that owners and entry nodes share.

The owner of a worker leases the slots of its endpoint to entry nodes
(``slot_ledger``). An entry node uses a leased slot for one request after
another without contacting the owner (``slot_cache``). The duration of a lease
is counted on the clock of the entry node from before it sent its request, so
the lease always expires at the entry node first.
"""

import typing

__all__ = ['ReleasedSlot', 'SLOT_GUARD_MS', 'SLOT_LEASE_MS', 'SlotId']

SLOT_LEASE_MS = 4_000
# The owner treats a lease as valid for this long after its expiry.
SLOT_GUARD_MS = 250


class SlotId(typing.NamedTuple):
    """One slot of the endpoint on one worker."""

    worker_id: str
    number: int


class ReleasedSlot(typing.NamedTuple):
    """A slot that an entry node releases, and the serial of its lease."""

    slot_id: SlotId
    serial: int

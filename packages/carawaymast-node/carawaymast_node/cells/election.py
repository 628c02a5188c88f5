"""Leader election of a cell by claims and renewals in the store.

A claim is appended on condition that the partition still ends at the offset
that the claimant has read. Its own offset is the epoch: unique, increasing
and the same for all readers. Other nodes measure a leader's silence on their
own monotonic clocks.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import former_terms as former_terms_mod
from carawaymast_core.cell import records
from carawaymast_node.cells import confirmation as confirmation_mod
from carawaymast_node.cells import ports

__all__ = ['Election', 'RENEW_INTERVAL_MS', 'LEADER_TIMEOUT_MS']

TOPIC = 'lead'
KEY = 'leader'
# A renewal takes 6 ms; three in a row may be lost or late before another node
# claims.
RENEW_INTERVAL_MS = former_terms_mod.RENEWAL_INTERVAL_MS
LEADER_TIMEOUT_MS = 1_500
# After this time without a renewal, a successor that misses the leader's
# heartbeats claims. A node that is only cut off from the leader still reads
# its renewals.
LOST_LEADER_TIMEOUT_MS = RENEW_INTERVAL_MS + 150
# Time for the leader to renew after an outage of the store, before other nodes
# claim.
STORE_REGAINED_GRACE_MS = 1_000
# Stands in the record of a claim, whose epoch is only known once it is stored:
# it is the record's offset.
CLAIM_EPOCH = -1


class Election:
    """The leadership of one cell, as this node has read and claimed it.

    ``record`` is the newest record of the leader topic, ``epoch`` its epoch
    and ``record_read_at_ms`` when this node received it. ``end_offset`` is the
    end of the topic as far as it is known. ``confirmed_at_ms`` is when this
    node sent the last of its own records that has been stored, and
    ``confirmation`` has the same on a clock that counts suspension.
    ``former_terms`` has what is known of the leaders before.
    ``is_lost`` returns whether the leader of an epoch seems to be lost before
    its record in the store is old, and ``may_succeed_itself`` whether this
    node claims at once after its own leading process has ended.
    """

    def __init__(
        self,
        store: ports.StorePort,
        clock: clock_mod.Clock,
        node_id: str,
        boot_id: str,
        part: int,
        on_change: typing.Callable[[], None],
        is_lost: typing.Callable[[int | None], bool] = lambda epoch: False,
        may_succeed_itself: typing.Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._clock = clock
        self._node_id = node_id
        self._boot_id = boot_id
        self._part = part
        self._on_change = on_change
        self._is_lost = is_lost
        self._may_succeed_itself = may_succeed_itself
        # Concurrent appends of one process would conflict with each other.
        self._append_lock = asyncio.Lock()
        self.end_offset = 0
        self.epoch: int | None = None
        self.record: records.LeaderRecord | None = None
        self.record_read_at_ms = 0
        self.confirmed_at_ms = 0
        self.confirmation = confirmation_mod.Confirmation(clock)
        self.former_terms = former_terms_mod.FormerTerms(node_id)

    @property
    def is_claimed_locally(self) -> bool:
        """Whether the latest claim is this process's and not released."""
        return (
            self.record is not None
            and self.record.boot_id == self._boot_id
            and not self.record.is_released
        )

    @property
    def is_from_this_node(self) -> bool:
        """Whether the latest claim is of a process of this node."""
        return self.record is not None and self.record.node_id == self._node_id

    def apply_update(self, item: ports.StoredItem) -> None:
        """Apply a record of the leader topic."""
        self.end_offset = item.offset + 1
        record = records.decode(records.LeaderRecord, item.value)
        epoch = record.epoch
        if epoch == CLAIM_EPOCH:
            epoch = item.offset
        is_change = epoch != self.epoch or record.is_released
        self.epoch = epoch
        self.record = record
        self.record_read_at_ms = self._clock.now()
        self.former_terms.record(
            record, epoch, item.offset, self.record_read_at_ms
        )
        if is_change:
            self._on_change()

    def can_claim(self, reader) -> bool:
        """Return whether this node may claim, given the topic's reader."""
        if reader.offset is None or reader.reachable_since_ms is None:
            return False
        if self.is_claimed_locally:
            return False
        record = self.record
        if record is None or record.is_released:
            return True
        if self.is_from_this_node and self._may_succeed_itself():
            # The leader is the previous process of this node, which has ended.
            return True
        now_ms = self._clock.now()
        # In an outage of the store nobody could have read a renewal.
        readable_since_ms = max(
            self.record_read_at_ms, reader.reachable_since_ms
        )
        silent_ms = now_ms - readable_since_ms
        if silent_ms > LOST_LEADER_TIMEOUT_MS and self._is_lost(self.epoch):
            return True
        silent_since_ms = max(
            self.record_read_at_ms,
            reader.reachable_since_ms
            - LEADER_TIMEOUT_MS
            + STORE_REGAINED_GRACE_MS,
        )
        last_read_ms = reader.current_as_of_ms or 0
        # A recent read must have found no renewal.
        return (
            now_ms - silent_since_ms > LEADER_TIMEOUT_MS
            and last_read_ms - silent_since_ms
            > LEADER_TIMEOUT_MS - 2 * RENEW_INTERVAL_MS
        )

    async def claim(self, end_offset: int) -> bool:
        """Append a claim; return False if the partition ends elsewhere.

        Raises ``StoreError``, after which the reader of the topic shows
        whether the claim was stored.
        """
        record = records.LeaderRecord(
            self._node_id, self._boot_id, CLAIM_EPOCH, False
        )
        self.end_offset = max(end_offset, self.end_offset)
        return await self._append(record)

    async def renew(self, epoch: int) -> bool:
        """Renew the leadership; return False if another node has claimed."""
        record = records.LeaderRecord(
            self._node_id, self._boot_id, epoch, False
        )
        return await self._append(record)

    async def release(self, epoch: int) -> bool:
        """Release the leadership, so that others need not wait to claim."""
        record = records.LeaderRecord(
            self._node_id, self._boot_id, epoch, True
        )
        return await self._append(record)

    async def _append(self, record: records.LeaderRecord) -> bool:
        async with self._append_lock:
            return await self._append_locked(record)

    async def _append_locked(self, record: records.LeaderRecord) -> bool:
        sent_at_ms = self._clock.now()
        sent_since_boot_ms = self._clock.since_boot()
        item = ports.KeyValue(KEY, records.encode(record))
        try:
            appended = await self._store.append(
                TOPIC, self._part, [item], self.end_offset
            )
        except ports.ConflictError:
            return False
        if self.end_offset <= appended.offset:
            self.apply_update(
                ports.StoredItem(appended.offset, item.key, item.value)
            )
        self.confirmed_at_ms = sent_at_ms
        self.confirmation.confirm(sent_since_boot_ms)
        return True

"""Who leads a cell: claims and renewals in the store.

A claim is appended on condition that the partition still ends where the
claimant saw it end. Its offset is the epoch: unique and rising, the same for
all readers. The others judge a leader's silence on their own steady clocks.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import records
from carawaymast_node.cells import ports

__all__ = ['Election', 'RENEW_INTERVAL_MS', 'LEADER_TIMEOUT_MS']

TOPIC = 'lead'
KEY = 'leader'
# A renewal takes 6 ms; three may be lost or late before another node claims.
RENEW_INTERVAL_MS = 400
LEADER_TIMEOUT_MS = 1_500
# After an outage of the store the leader gets this long to renew first.
STORE_REGAINED_GRACE_MS = 1_000
CLAIM_EPOCH = -1


class Election:
    """What a node knows of the leadership of one cell."""

    def __init__(
        self,
        store: ports.StorePort,
        clock: clock_mod.Clock,
        node_id: str,
        boot_id: str,
        part: int,
        on_change: typing.Callable[[], None],
    ):
        self._store = store
        self._clock = clock
        self._node_id = node_id
        self._boot_id = boot_id
        self._part = part
        self._on_change = on_change
        # Appends of one process must not race each other for the same end.
        self._append_lock = asyncio.Lock()
        self.end_offset = 0
        self.epoch: int | None = None
        self.record: records.LeaderRecord | None = None
        self.seen_at_ms = 0
        self.confirmed_at_ms = 0

    @property
    def is_claimed_locally(self) -> bool:
        """Whether the latest claim is this process's."""
        return (
            self.record is not None
            and self.record.boot_id == self._boot_id
            and not self.record.is_released
        )

    def apply_update(self, item: ports.StoredItem) -> None:
        """Apply a record of the topic."""
        self.end_offset = item.offset + 1
        record = records.decode(records.LeaderRecord, item.value)
        epoch = record.epoch
        if epoch == CLAIM_EPOCH:
            epoch = item.offset
        is_change = epoch != self.epoch or record.is_released
        self.epoch = epoch
        self.record = record
        self.seen_at_ms = self._clock.now()
        if is_change:
            self._on_change()

    def can_claim(self, topic_reader) -> bool:
        """Whether this node may claim, given the tail of the topic."""
        if (
            topic_reader.offset is None
            or topic_reader.reachable_since_ms is None
        ):
            return False
        if self.is_claimed_locally:
            return False
        record = self.record
        if record is None or record.is_released:
            return True
        if record.node_id == self._node_id:
            # The process before this one led, and has ended.
            return True
        now_ms = self._clock.now()
        silent_since_ms = max(
            self.seen_at_ms,
            topic_reader.reachable_since_ms
            - LEADER_TIMEOUT_MS
            + STORE_REGAINED_GRACE_MS,
        )
        last_read_ms = topic_reader.current_as_of_ms or 0
        return (
            now_ms - silent_since_ms > LEADER_TIMEOUT_MS
            and last_read_ms - silent_since_ms
            > LEADER_TIMEOUT_MS - 2 * RENEW_INTERVAL_MS
        )

    async def claim(self, end_offset: int) -> bool:
        """Try to take the leadership; the tail shows whether it worked."""
        record = records.LeaderRecord(
            self._node_id, self._boot_id, CLAIM_EPOCH, False
        )
        self.end_offset = max(end_offset, self.end_offset)
        return await self._append(record)

    async def renew(self, epoch: int) -> bool:
        """Say that the leader is there; False if somebody else claimed."""
        record = records.LeaderRecord(
            self._node_id, self._boot_id, epoch, False
        )
        return await self._append(record)

    async def release(self, epoch: int) -> bool:
        """Give the leadership up, so that others need not wait."""
        record = records.LeaderRecord(
            self._node_id, self._boot_id, epoch, True
        )
        return await self._append(record)

    async def _append(self, record: records.LeaderRecord) -> bool:
        async with self._append_lock:
            return await self._append_locked(record)

    async def _append_locked(self, record: records.LeaderRecord) -> bool:
        sent_at_ms = self._clock.now()
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
        return True

"""Stores this node's record for the other nodes, and drops it at the end."""

import asyncio

from carawaymast_core.cell import records
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import replica
from carawaymast_node.cells import telemetry

__all__ = ['Membership', 'make_record']

RETRY_INTERVAL_MS = 500
WITHDRAW_TRIES = 4
WITHDRAW_RETRY_INTERVAL_MS = 150
WITHDRAW_TIMEOUT_MS = 1_000


def make_record(
    settings: ports.CellSettings, boot_id: str
) -> records.MemberRecord:
    """Return the record of a process of this node."""
    return records.MemberRecord(
        settings.node_id,
        settings.host,
        settings.peer_port,
        settings.domain,
        boot_id,
        settings.speed,
    )


class Membership:
    """The record by which the other nodes reach this one."""

    def __init__(
        self,
        store: ports.StorePort,
        record: records.MemberRecord,
        log: telemetry.Telemetry,
    ):
        self._store = store
        self._log = log
        self.record = record

    async def advertise(self) -> None:
        """Store the record; retry until it is stored."""
        item = ports.KeyValue(self.record.node_id, records.encode(self.record))
        while True:
            try:
                await self._append(item, None)
                return
            except ports.StoreError as error:
                self._log.log_event('join_failed', error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)

    async def withdraw(self, end_offset: int) -> None:
        """Drop the record, if the topic ends at ``end_offset``.

        On that condition a call that is carried out late drops no record of
        the node's next process, which is stored behind that offset.
        """
        try:
            async with asyncio.timeout(WITHDRAW_TIMEOUT_MS / 1000):
                await self._withdraw(end_offset)
        except TimeoutError:
            self._log.log_event('leave_failed', error='the store is slow')

    async def _withdraw(self, end_offset: int) -> None:
        item = ports.KeyValue(self.record.node_id, b'')
        for _ in range(WITHDRAW_TRIES):
            try:
                await self._append(item, end_offset)
                return
            except ports.ConflictError as conflict:
                # Another node has joined or left.
                end_offset = conflict.end_offset
            except ports.StoreError as error:
                self._log.log_event('leave_failed', error=str(error))
                await asyncio.sleep(WITHDRAW_RETRY_INTERVAL_MS / 1000)

    async def _append(
        self, item: ports.KeyValue, end_offset: int | None
    ) -> None:
        await self._store.append(
            fabric.MEMBERS_TOPIC, replica.PART, [item], end_offset
        )

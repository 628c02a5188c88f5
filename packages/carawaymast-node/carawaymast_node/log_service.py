"""Read the log continuously and commit records to it.

The reader keeps a ``Replica`` up to date and fires ``log_changed`` for the
other components. The writer appends queued records in batches, at a rate that
keeps all nodes together within the append limit of the log. ``commit`` returns
once the record was read back and either applied or rejected.
"""

import asyncio
import contextlib
import random
import typing
import uuid

import circuits

from carawaymast_core import clock as clock_mod
from carawaymast_core import jobs
from carawaymast_core import records
from carawaymast_core import retry
from carawaymast_node import events
from carawaymast_node import log_port

__all__ = ['CommitError', 'LogService']

APPENDS_PER_S = 55
MAX_BATCH_RECORDS = 500
RETRY_BASE_MS = 50
MAX_RETRY_WAIT_MS = 1_000
# A read without new records may take up to READ_WAIT_MS + READ_MARGIN_MS of
# log_port.
REACHABLE_TIMEOUT_MS = 9_000
SNAPSHOTS_PER_RETENTION = 4
# A read that returns fewer records has reached the end of the log.
CATCH_UP_LIMIT = log_port.READ_MAX_RECORDS
SNAPSHOT_POLL_INTERVAL_MS = 500
TAKEOVER_PROBABILITY = 0.1


class CommitError(Exception):
    """A record was not read back in time.

    If ``is_sent`` is false, the record will not apply.
    """

    def __init__(self, detail: str, is_sent: bool):
        super().__init__(detail)
        self.is_sent = is_sent


class _Pending:
    """A record that is queued, or appended and not yet read back."""

    def __init__(self, record: records.LogRecord, future: asyncio.Future):
        self.record = record
        self.future = future
        self.is_sent = False


class LogCounters(typing.TypedDict):
    """Counters of the log service since the node started."""

    appends: int
    append_errors: int
    records_appended: int
    records_read: int
    read_errors: int
    snapshots: int
    skips: int


class LogService(circuits.BaseComponent):
    """The reader and the writer of the log on one node."""

    channel = 'log'

    def __init__(
        self,
        port: log_port.LogPort,
        node_id: str,
        clock: clock_mod.Clock,
        retention_ms: int,
        node_count: typing.Callable[[], int],
    ):
        super().__init__()
        self._port = port
        self._node_id = node_id
        self._clock = clock
        self._retention_ms = retention_ms
        self._node_count = node_count
        self._queued_by_id: dict[str, _Pending] = {}
        self._pending_by_id: dict[str, _Pending] = {}
        self._has_work = asyncio.Event()
        self._last_read_at_ms = -REACHABLE_TIMEOUT_MS
        self._last_append_at_ms = 0
        self._snapshot_at_ms = clock.now()
        self.replica = records.Replica()
        self.is_caught_up = False
        self.counters: LogCounters = {
            'appends': 0,
            'append_errors': 0,
            'records_appended': 0,
            'records_read': 0,
            'read_errors': 0,
            'snapshots': 0,
            'skips': 0,
        }

    @property
    def is_reachable(self) -> bool:
        """Whether a read of the log has succeeded lately."""
        since_read_ms = self._clock.now() - self._last_read_at_ms
        return since_read_ms < REACHABLE_TIMEOUT_MS

    @property
    def queued_total(self) -> int:
        """The number of records that are queued for append."""
        return len(self._queued_by_id)

    async def commit(self, writes: jobs.Writes, timeout_ms: int) -> bool:
        """Append a record and return whether it applied.

        Raises ``CommitError`` if it is not read back within ``timeout_ms``.
        """
        record: records.LogRecord = {
            'id': uuid.uuid4().hex,
            'node': self._node_id,
            'expects': writes.expects,
            'puts': writes.puts,
        }
        pending = self._enqueue(record)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await pending.future
        except TimeoutError:
            detail = f'record not read back within {timeout_ms} ms'
            raise CommitError(detail, pending.is_sent) from None
        finally:
            self._queued_by_id.pop(record['id'], None)
            self._pending_by_id.pop(record['id'], None)

    async def follow(self) -> typing.NoReturn:
        """Read the log for as long as the node runs."""
        failures = 0
        while True:
            try:
                await self._read_once()
                failures = 0
            except log_port.LogTrimmedError as error:
                self._skip(error.first)
            except log_port.LogDownError:
                self.counters['read_errors'] += 1
                wait_ms = retry.backoff_ms(
                    failures, RETRY_BASE_MS, MAX_RETRY_WAIT_MS
                )
                failures += 1
                await asyncio.sleep(wait_ms / 1000)

    async def write(self) -> typing.NoReturn:
        """Append queued records for as long as the node runs."""
        failures = 0
        while True:
            await self._has_work.wait()
            await self._throttle()
            batch = list(self._queued_by_id.values())[:MAX_BATCH_RECORDS]
            if not batch:
                self._has_work.clear()
                continue
            try:
                await self._append(batch)
                failures = 0
            except log_port.LogDownError:
                self.counters['append_errors'] += 1
                wait_ms = retry.backoff_ms(
                    failures, RETRY_BASE_MS, MAX_RETRY_WAIT_MS
                )
                failures += 1
                await asyncio.sleep(wait_ms / 1000)

    def is_snapshot_due(self) -> bool:
        """Return whether a new snapshot should be written.

        One snapshot in each quarter of the retention leaves time for an
        outage of the log before the newest snapshot is trimmed.
        """
        age_ms = self._clock.now() - self._snapshot_at_ms
        is_old = age_ms > self._retention_ms / SNAPSHOTS_PER_RETENTION
        return is_old and self.replica.is_complete and self.is_reachable

    async def write_snapshot(self) -> None:
        """Append the whole state as the parts of one snapshot."""
        as_of = self.replica.next_offset
        state = self.replica.copy()
        self._snapshot_at_ms = self._clock.now()
        snapshot_id = uuid.uuid4().hex
        for part in records.snapshot_parts(snapshot_id, as_of, state):
            record: records.LogRecord = {
                'id': uuid.uuid4().hex,
                'node': self._node_id,
                'snapshot': part,
            }
            pending = self._enqueue(record)
            await pending.future
        self.counters['snapshots'] += 1

    def _enqueue(self, record: records.LogRecord) -> _Pending:
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(record, future)
        self._queued_by_id[record['id']] = pending
        self._pending_by_id[record['id']] = pending
        self._has_work.set()
        return pending

    async def _throttle(self) -> None:
        interval_ms = 1000 * max(1, self._node_count()) // APPENDS_PER_S
        due_ms = self._last_append_at_ms + interval_ms
        left_ms = due_ms - self._clock.now()
        if left_ms > 0:
            await asyncio.sleep(left_ms / 1000)

    async def _append(self, batch: list[_Pending]) -> None:
        self._last_append_at_ms = self._clock.now()
        self.counters['appends'] += 1
        fresh = [pending for pending in batch if not pending.is_sent]
        for pending in batch:
            pending.is_sent = True
        try:
            await self._port.append([pending.record for pending in batch])
        except log_port.LogDownError as error:
            if not error.is_sent:
                for pending in fresh:
                    pending.is_sent = False
            raise
        self.counters['records_appended'] += len(batch)
        for pending in batch:
            self._queued_by_id.pop(pending.record['id'], None)

    async def _read_once(self) -> None:
        offset = self.replica.next_offset
        wait_ms = log_port.READ_WAIT_MS if self.is_caught_up else 0
        batch = await self._port.read(offset, wait_ms)
        self._last_read_at_ms = self._clock.now()
        changes = []
        for index, record in enumerate(batch['records']):
            applied, made = self.replica.apply(offset + index, record)
            changes.extend(made)
            self._resolve(record, applied)
        self.counters['records_read'] += len(batch['records'])
        is_at_end = len(batch['records']) < CATCH_UP_LIMIT
        self.is_caught_up = is_at_end and self.replica.is_complete
        if changes:
            self.fire(events.log_changed(changes), '*')

    def _resolve(self, record: records.LogRecord, applied: bool) -> None:
        if 'snapshot' in record:
            self._snapshot_at_ms = self._clock.now()
        pending = self._pending_by_id.pop(record['id'], None)
        self._queued_by_id.pop(record['id'], None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(applied)

    def _skip(self, first: int) -> None:
        self.counters['skips'] += 1
        self.is_caught_up = False
        self.replica.skip_to(first)
        for pending in self._pending_by_id.values():
            if pending.is_sent and not pending.future.done():
                error = CommitError(
                    'the log was trimmed before read-back', True
                )
                pending.future.set_exception(error)


async def keep_snapshots(
    service: LogService, is_writer: typing.Callable[[], bool]
) -> typing.NoReturn:
    """Write a snapshot when one is due and this node is the writer.

    ``is_writer`` is only a preference: if no snapshot appears, each other
    node writes one with ``TAKEOVER_PROBABILITY`` per check.
    """
    while True:
        await asyncio.sleep(SNAPSHOT_POLL_INTERVAL_MS / 1000)
        if not service.is_snapshot_due():
            continue
        if not is_writer() and random.random() > TAKEOVER_PROBABILITY:
            continue
        with contextlib.suppress(CommitError):
            await service.write_snapshot()

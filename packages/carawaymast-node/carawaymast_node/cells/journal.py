"""The leader's writes: one append in flight, retried until it is stored."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import batching
from carawaymast_core.cell import records
from carawaymast_core.cell import view as view_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod

__all__ = ['Journal']

WRITER = 'leader'
RETRY_INTERVAL_MS = 100
# A store that is 80 times slower than usual answers within 0.35 s.
STALL_TIMEOUT_MS = 500


class Journal:
    """Appends the records of one epoch to the state topic of a cell."""

    def __init__(
        self,
        store: ports.StorePort,
        clock: clock_mod.Clock,
        metrics: telemetry.Metrics,
        view: view_mod.JobView,
        state_reader: topic_reader_mod.TopicReader,
        epoch: int,
    ):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._view = view
        self._reader = state_reader
        self._epoch = epoch
        self._sequence = 0
        # Whether the last append had no answer, or an error.
        self._is_failing = False
        self._sent_at_ms: int | None = None

    @property
    def is_stalled(self) -> bool:
        """Whether the store fails or has not answered a write in time."""
        if self._is_failing:
            return True
        if self._sent_at_ms is None:
            return False
        return self._clock.now() - self._sent_at_ms > STALL_TIMEOUT_MS

    async def open(self) -> None:
        """Fence earlier leaders and read everything that they wrote.

        Raises ``FencedError`` if a newer leader has fenced this one.
        """
        opened = await self._append([])
        while True:
            try:
                await self._reader.catch_up(opened.end_offset)
                break
            except ports.StoreError:
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
        # From here on only this process writes to the topic.
        self._reader.is_suspended = True

    async def write(self, batch: batching.Batch) -> None:
        """Store a batch, with as many retries as it takes.

        Raises ``FencedError`` once another leader has fenced this one.
        """
        items = [
            ports.KeyValue(
                job_id + records.SUBMISSION_SUFFIX, records.encode(submission)
            )
            for job_id, submission in batch.submission_by_id.items()
        ]
        items += [
            ports.KeyValue(job_id, records.encode(record))
            for job_id, record in batch.records_by_id.items()
        ]
        items += [ports.KeyValue(key, b'') for key in batch.dropped_keys]
        if batch.speeds is not None:
            encoded_speeds = records.encode(batch.speeds)
            items.append(ports.KeyValue(records.SPEEDS_KEY, encoded_speeds))
        if batch.unreached is not None:
            encoded_unreached = records.encode(batch.unreached)
            items.append(
                ports.KeyValue(records.UNREACHED_KEY, encoded_unreached)
            )
        if items:
            started_ms = self._clock.now()
            appended = await self._append(items)
            elapsed_ms = self._clock.now() - started_ms
            self._metrics.record_ms('journal_append', elapsed_ms)
            self._metrics.count(
                'journal_bytes_total', sum(len(i.value) for i in items)
            )
            self._reader.offset = max(
                self._reader.offset or 0, appended.end_offset
            )
        for job_id, submission in batch.submission_by_id.items():
            self._view.submission_by_id.setdefault(job_id, submission)
        self._view.record_by_id.update(batch.records_by_id)
        if batch.speeds is not None:
            self._view.encoded_speeds = encoded_speeds
        if batch.unreached is not None:
            self._view.encoded_unreached = encoded_unreached
        for key in batch.dropped_keys:
            self._view.apply_state(key, b'')

    async def _append(
        self, items: typing.Sequence[ports.KeyValue]
    ) -> ports.Appended:
        """Append with retries, which the store detects by sequence number."""
        while True:
            writer = ports.Writer(WRITER, self._epoch, self._sequence)
            self._sent_at_ms = self._clock.now()
            try:
                appended = await self._store.append(
                    'state', self._reader.part, items, writer=writer
                )
            except ports.SequenceError as error:
                if items and self._sequence > 1:
                    # Its numbers are certain by now: another writer used one.
                    raise ports.FencedError(str(error)) from None
                # Whether an empty append uses a number depends on the store.
                self._sequence = error.expected
                continue
            except ports.StoreError:
                self._metrics.count('journal_errors_total')
                self._is_failing = True
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
                continue
            self._sequence += 1
            self._is_failing = False
            self._sent_at_ms = None
            return appended

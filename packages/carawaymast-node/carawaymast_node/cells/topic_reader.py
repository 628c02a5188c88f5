"""Follows a topic of the store.

A reader first gets the newest record of each key and then reads the log of
later records.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_node import waiting
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['TopicReader']

# The store holds a long poll for at most 30 s; one without an answer is
# detected after its wait and a second.
DEFAULT_WAIT_MS = 1_000
RETRY_INTERVAL_MS = 150
# Between reads through a peer, which do not wait for records.
RELAYED_READ_INTERVAL_MS = 120


class TopicReader:
    """Reads a topic partition and applies its records in order.

    ``apply`` may get a record again after the store has trimmed the log. It
    raises ``ValueError`` for a record that cannot be read, which is skipped.
    """

    def __init__(
        self,
        store: ports.StorePort,
        clock: clock_mod.Clock,
        log: telemetry.Telemetry,
        topic: str,
        part: int,
        apply: typing.Callable[[ports.StoredItem], None],
        wait_ms: int = DEFAULT_WAIT_MS,
        read_interval_ms: typing.Callable[[], int] = lambda: 0,
        is_direct: typing.Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._apply = apply
        self._wait_ms = wait_ms
        self._read_interval_ms = read_interval_ms
        self._is_direct = is_direct
        self._wake = asyncio.Event()
        # Callers that need a fresh read share one.
        self._reading = asyncio.Lock()
        self.topic = topic
        self.part = part
        # Where the next read starts; None before the newest record of each key
        # has been read.
        self.offset: int | None = None
        # The end of the partition at the last read.
        self.end_offset = 0
        # When the last read that reached the end was sent.
        self.current_as_of_ms: int | None = None
        # Since when all reads have been answered; None after a failed one.
        self.reachable_since_ms: int | None = None
        # Whether ``run`` pauses, because this node is the topic's only writer.
        self.is_suspended = False

    async def run(self) -> typing.NoReturn:
        """Read the topic until cancelled."""
        while True:
            if self.is_suspended:
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
                continue
            try:
                await self._read_next()
            except ports.TrimmedError as error:
                self._restart(error)
            except ports.StoreError as error:
                self._on_store_lost(error)
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)

    async def catch_up(self, until: int) -> None:
        """Read until all records before offset ``until`` are applied.

        With 0, only read the newest record of each key, if that has not been
        done yet. Raises ``StoreError``.
        """
        while self.offset is None or self.offset < until:
            try:
                await self._read_next(may_wait=False)
            except ports.TrimmedError as error:
                self._restart(error)

    async def wait_current(self, since_ms: int) -> None:
        """Wait until a read sent at ``since_ms`` or later has found the end.

        Sends its own read, since the long poll in flight may last; concurrent
        callers share one. Retries until cancelled.
        """
        while not self._is_current(since_ms):
            async with self._reading:
                if self._is_current(since_ms):
                    return
                try:
                    await self.catch_up(0)
                    await self._read_next(may_wait=False)
                except ports.TrimmedError as error:
                    self._restart(error)
                except ports.StoreError:
                    await asyncio.sleep(RETRY_INTERVAL_MS / 1000)

    def _is_current(self, since_ms: int) -> bool:
        return (
            self.current_as_of_ms is not None
            and self.current_as_of_ms >= since_ms
        )

    def wake(self) -> None:
        """End the current pause between reads."""
        self._wake.set()

    async def _read_next(self, may_wait: bool = True) -> None:
        sent_at_ms = self._clock.now()
        if self.offset is None:
            self._count('topic_newest_total')
            newest = await self._store.newest(self.topic, self.part)
            if self.offset is not None:
                # A concurrent read was faster and may have applied more.
                return
            items = sorted(newest.items, key=lambda item: item.offset)
            self._apply_items(items)
            self.offset = self.end_offset = newest.end_offset
        else:
            start = self.offset
            # A long poll would occupy the peer that relays it.
            is_long = may_wait and self._is_direct()
            wait_ms = self._wait_ms if is_long else 0
            self._count('topic_reads_total')
            answer = await self._store.read(
                self.topic, self.part, start, wait_ms
            )
            if self.offset != start:
                return
            self._apply_items(answer.items)
            self.offset = answer.next_offset
            self.end_offset = answer.end_offset
            if start == self.offset < self.end_offset:
                self._log.log_event(
                    'read_without_progress',
                    topic=self.topic,
                    offset=start,
                    end_offset=self.end_offset,
                )
        if self.reachable_since_ms is None:
            self.reachable_since_ms = self._clock.now()
            self._log.log_event(
                'store_reached', topic=self.topic, part=self.part
            )
        if self.offset >= self.end_offset:
            self.current_as_of_ms = max(
                sent_at_ms, self.current_as_of_ms or sent_at_ms
            )
        else:
            # The next records can be read at once.
            return
        read_interval_ms = self._read_interval_ms()
        if not self._is_direct():
            read_interval_ms = max(read_interval_ms, RELAYED_READ_INTERVAL_MS)
        if read_interval_ms and may_wait:
            await self._pause(read_interval_ms)

    def _restart(self, error: ports.TrimmedError) -> None:
        """Go on from the newest record of each key."""
        self._log.log_event(
            'reader_restarted',
            topic=self.topic,
            offset=self.offset,
            first_offset=error.first_offset,
        )
        self.offset = None

    def _count(self, name: str) -> None:
        self._log.metrics.count(f'{name}{{topic="{self.topic}"}}')

    def _apply_items(self, items: typing.Iterable[ports.StoredItem]) -> None:
        for item in items:
            try:
                self._apply(item)
            except ValueError as error:
                # Damaged, or written by other software.
                self._log.log_event(
                    'record_unreadable',
                    topic=self.topic,
                    key=item.key,
                    offset=item.offset,
                    error=str(error),
                )

    async def _pause(self, read_interval_ms: int) -> None:
        self._wake.clear()
        await waiting.wait_event(self._wake, read_interval_ms)

    def _on_store_lost(self, error: ports.StoreError) -> None:
        if self.reachable_since_ms is not None:
            self._log.log_event(
                'store_lost',
                topic=self.topic,
                part=self.part,
                error=str(error),
            )
        self.reachable_since_ms = None

    async def read_to_end(self) -> None:
        """Read up to the end that the topic has now, with retries."""
        while True:
            try:
                if self.offset is None:
                    # Reads the newest record of each key.
                    await self.catch_up(0)
                    return
                answer = await self._store.read(
                    self.topic, self.part, self.offset, 0
                )
                await self.catch_up(answer.end_offset)
                return
            except ports.TrimmedError:
                self.offset = None
            except ports.StoreError:
                await asyncio.sleep(RETRY_INTERVAL_MS / 1000)

"""Log events on stdout, and the counters and histograms of a node.

Events go through eliot to a buffer that the loop writes to stdout without
blocking. Each event type has a token bucket; the events that it drops are
counted, and the next event of that type contains their number.
"""

import asyncio
import collections
import os
import time
import typing

import eliot
from hdrh import histogram
import msgspec

from carawaymast_core import clock as clock_mod

__all__ = ['Metrics', 'Telemetry', 'keep_flushing', 'stream_to_stdout']

# Lines of one event type a second, and in a burst. The most frequent event is
# a task start: 180 a second at the design size, spread over some leaders.
LINES_PER_S = 120
BURST_LINES = 500
# Further lines are dropped until stdout is read.
MAX_BUFFERED_BYTES = 512 * 1024
FLUSH_INTERVAL_S = 0.05
# Histograms cover 1 ms to ten minutes with two digits, in 24 KB each.
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0)


class _TokenBucket:
    """The number of lines that one event type may write now."""

    __slots__ = ('dropped', 'filled_at_ms', 'tokens')

    def __init__(self, now_ms: int):
        self.tokens = float(BURST_LINES)
        self.filled_at_ms = now_ms
        self.dropped = 0


class _Output:
    """A bounded buffer in front of a file descriptor."""

    def __init__(self, fd: int):
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self.dropped_total = 0
        self.filled = asyncio.Event()

    def put(self, line: bytes) -> None:
        """Add a line, or drop it if the buffer is full."""
        if self._bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_total += 1
            return
        self._lines.append(line)
        self._bytes += len(line)
        self.filled.set()

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self._lines:
            chunk = b''.join(self._lines)
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log is gone; the node runs without it.
                written = len(chunk)
                self.dropped_total += len(self._lines)
            self._lines.clear()
            if written < len(chunk):
                self._lines.append(chunk[written:])
            self._bytes = len(chunk) - written
        self.filled.clear()


class Telemetry:
    """Writes log events; counts all of them, also those not written."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        metrics: 'Metrics',
        node_id: str = '',
    ):
        self._node_id = node_id
        self._clock = clock
        self.metrics = metrics
        self._bucket_by_type: dict[str, _TokenBucket] = {}

    def log_event(self, event_type: str, **fields: typing.Any) -> None:
        """Count an event, and write it if its token bucket allows.

        ``fields`` are the fields of its line.
        """
        self.metrics.count(f'decisions_total{{kind="{event_type}"}}')
        now_ms = self._clock.now()
        bucket = self._bucket_by_type.get(event_type)
        if bucket is None:
            bucket = self._bucket_by_type[event_type] = _TokenBucket(now_ms)
        passed_ms = now_ms - bucket.filled_at_ms
        bucket.filled_at_ms = now_ms
        bucket.tokens = min(
            BURST_LINES, bucket.tokens + passed_ms * LINES_PER_S / 1000
        )
        if bucket.tokens < 1:
            bucket.dropped += 1
            self.metrics.count('log_lines_dropped_total')
            return
        bucket.tokens -= 1
        if bucket.dropped:
            fields['lines_dropped'] = bucket.dropped
            bucket.dropped = 0
        eliot.log_message(
            message_type=f'carawaymast:{event_type}',
            at_node=self._node_id,
            at_ms=now_ms,
            **fields,
        )


class Metrics:
    """Counters, gauges and latency histograms, exported as text."""

    def __init__(self) -> None:
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._histogram_by_name: dict[str, histogram.HdrHistogram] = {}
        self._gauges: list[
            typing.Callable[[], typing.Mapping[str, float]]
        ] = []

    def count(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self._count_by_name[name] += by

    def total(self, name: str) -> int:
        """Return the value of a counter."""
        return self._count_by_name[name]

    def record_ms(self, name: str, value_ms: float) -> None:
        """Add a duration to a histogram."""
        found = self._histogram_by_name.get(name)
        if found is None:
            found = histogram.HdrHistogram(
                1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS
            )
            self._histogram_by_name[name] = found
        found.record_value(min(MAX_RECORDED_MS, max(1, int(value_ms))))

    def add_gauges(
        self, read: typing.Callable[[], typing.Mapping[str, float]]
    ) -> None:
        """Export the values that ``read`` returns."""
        self._gauges.append(read)

    def text(self) -> str:
        """Return all metrics, a line each, with the type of each name."""
        lines: list[str] = []
        described: set[str] = set()

        def add(name: str, kind: str, value: float) -> None:
            base = name.partition('{')[0]
            if base not in described:
                described.add(base)
                lines.append(f'# TYPE carawaymast_{base} {kind}')
            lines.append(f'carawaymast_{name} {value}')

        for name, value in sorted(self._count_by_name.items()):
            add(name, 'counter', value)
        for read in self._gauges:
            for name, number in read().items():
                add(name, 'gauge', number)
        for name, found in sorted(self._histogram_by_name.items()):
            lines.append(f'# TYPE carawaymast_{name}_ms summary')
            lines.extend(_quantiles(name, found))
        return '\n'.join(lines) + '\n'


def _quantiles(name: str, found: histogram.HdrHistogram) -> list[str]:
    lines = [
        f'carawaymast_{name}_ms{{quantile="{percent / 100:g}"}} '
        f'{found.get_value_at_percentile(percent)}'
        for percent in PERCENTILES
    ]
    lines.append(f'carawaymast_{name}_ms_count {found.get_total_count()}')
    return lines


async def keep_flushing(output: _Output) -> typing.NoReturn:
    """Write buffered lines in batches, until cancelled."""
    while True:
        await output.filled.wait()
        await asyncio.sleep(FLUSH_INTERVAL_S)
        output.flush()


async def stream_to_stdout(metrics: Metrics) -> typing.NoReturn:
    """Write eliot's messages to stdout until cancelled."""
    fd = 1
    os.set_blocking(fd, False)
    output = _Output(fd)

    def write(message: dict[str, typing.Any]) -> None:
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        line = msgspec.json.encode(message, enc_hook=str) + b'\n'
        output.put(line)

    metrics.add_gauges(lambda: {'log_lines_lost_total': output.dropped_total})
    eliot.add_destinations(write)
    try:
        await keep_flushing(output)
    finally:
        eliot.remove_destination(write)
        deadline_s = time.monotonic() + FLUSH_INTERVAL_S
        while time.monotonic() < deadline_s:
            output.flush()
            await asyncio.sleep(0)

"""Measure the cost of a log event.

Writes events of the most frequent type through the whole path (token bucket,
eliot, encoding, buffer, a pipe that is read) and prints the microseconds of
a written and of a dropped event::

    python -m bench.lines
"""

import asyncio
import os
import threading
import time

from carawaymast_core import clock as clock_mod
from carawaymast_node.cells import telemetry

__all__ = ['main']

EVENTS = 20_000
RUNS = [(index, 1, f'i-{index:010x}', 4_000) for index in range(4)]


async def measure() -> tuple[float, float]:
    """Return the microseconds of a written and of a dropped event."""
    clock = clock_mod.ManualClock()
    log = telemetry.Telemetry(clock, telemetry.Metrics(), 'node-1')
    writing = asyncio.create_task(
        telemetry.stream_to_stdout(telemetry.Metrics())
    )
    await asyncio.sleep(0)
    began_s = time.process_time()
    for number in range(EVENTS):
        clock.advance(1_000 // telemetry.LINES_PER_S + 1)
        log.log_event('started_step', step=f'{number:016x}.0.0', runs=RUNS)
        if number % 100 == 0:
            await asyncio.sleep(0)
    written_s = time.process_time() - began_s
    began_s = time.process_time()
    for number in range(EVENTS):
        log.log_event('started_step', step=f'{number:016x}.0.0', runs=RUNS)
    dropped_s = time.process_time() - began_s
    writing.cancel()
    return written_s * 1e6 / EVENTS, dropped_s * 1e6 / EVENTS


def main() -> None:
    """Measure with stdout redirected to a pipe; print to the old stdout."""
    old_stdout = os.dup(1)
    read, write = os.pipe()
    os.dup2(write, 1)

    def drain() -> None:
        while os.read(read, 1 << 20):
            continue

    threading.Thread(target=drain, daemon=True).start()
    written, dropped = asyncio.run(measure())
    text = f'written {written:.1f} us an event, dropped {dropped:.1f} us\n'
    os.write(old_stdout, text.encode())


if __name__ == '__main__':
    main()

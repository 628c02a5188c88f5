"""What a decision's log line costs: python -m bench.lines

Writes lines of the node's busiest kinds through the whole way (bucket,
eliot, encoding, buffer, a pipe that is read) and prints microseconds a line,
written and dropped.
"""

import asyncio
import os
import threading
import time

from carawaymast_core import clock as clock_mod
from carawaymast_node.cells import telemetry

__all__ = ['main']

LINES = 20_000
RUNS = [(index, 1, f'i-{index:010x}', 4_000) for index in range(4)]


async def measure() -> tuple[float, float]:
    """Return microseconds for a written line and for a dropped one."""
    clock = clock_mod.ManualClock()
    log = telemetry.Telemetry(clock, telemetry.Metrics(), 'node-1')
    writing = asyncio.create_task(
        telemetry.stream_to_stdout(telemetry.Metrics())
    )
    await asyncio.sleep(0)
    began_s = time.process_time()
    for number in range(LINES):
        clock.advance(1_000 // telemetry.LINES_PER_S + 1)
        log.log_event('started_step', step=f'{number:016x}.0.0', runs=RUNS)
        if number % 100 == 0:
            await asyncio.sleep(0)
    written_s = time.process_time() - began_s
    began_s = time.process_time()
    for number in range(LINES):
        log.log_event('started_step', step=f'{number:016x}.0.0', runs=RUNS)
    dropped_s = time.process_time() - began_s
    writing.cancel()
    return written_s * 1e6 / LINES, dropped_s * 1e6 / LINES


def main() -> None:
    """Measure with stdout led into a pipe, and print to the old stdout."""
    real = os.dup(1)
    read, write = os.pipe()
    os.dup2(write, 1)

    def drain() -> None:
        while os.read(read, 1 << 20):
            continue

    threading.Thread(target=drain, daemon=True).start()
    written, dropped = asyncio.run(measure())
    text = f'written {written:.1f} us a line, dropped {dropped:.1f} us\n'
    os.write(real, text.encode())


if __name__ == '__main__':
    main()

"""Measure requests per second and CPU time per request of one node.

The baseline is a bare ``circuits.web`` handler that answers at once, under
the same load in the same run::

    python -m bench.path
"""

import asyncio
import os
import signal
import statistics
import subprocess
import sys
import time
import typing

import aiohttp
import msgspec
import tabulate

from standins import deployment

__all__ = ['main']

ROUNDS = 3
DURATION_S = 5.0
CALLERS = 32
CONSTANT_RATE_PER_S = 1_000
CONSTANT_RATE_DURATION_S = 8.0
BODY = msgspec.json.encode(
    {
        'kind': 'glyph-preview',
        'team': 'ficha',
        'deadline_ms': 4_000,
        'idempotent': True,
        'payload': {'run_ms': 0, 'echo': 'x'},
    }
)
REFUSED_BODY = BODY.replace(b'glyph-preview', b'no-such-kind')
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


class Target(typing.NamedTuple):
    """A process under load, and the answer that is expected of it."""

    url: str
    pid: int
    body: bytes
    status: int


class Figures(typing.NamedTuple):
    """Requests a second, CPU time per request and failures of one round."""

    rate: float
    cpu_us: float
    failed: int


def cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    with open(f'/proc/{pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    with open(f'/proc/{pid}/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1_000_000


async def closed_loop(
    url: str, body: bytes, expected: int, seconds: float
) -> tuple[int, int]:
    """Keep all callers busy; return how many calls were done and failed."""
    done = failed = 0
    deadline_s = time.monotonic() + seconds
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def caller() -> None:
            nonlocal done, failed
            while time.monotonic() < deadline_s:
                async with session.post(url, data=body) as response:
                    await response.read()
                    if response.status == expected:
                        done += 1
                    else:
                        failed += 1

        await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return done, failed


def measure(target: Target) -> Figures:
    """Return the figures of one round."""
    before, started = cpu_s(target.pid), time.monotonic()
    done, failed = asyncio.run(
        closed_loop(target.url, target.body, target.status, DURATION_S)
    )
    elapsed = time.monotonic() - started
    cpu_us = (cpu_s(target.pid) - before) / max(1, done) * 1_000_000
    return Figures(done / elapsed, cpu_us, failed)


async def send_at_constant_rate(url: str) -> None:
    """Send at a constant rate, independently of the answers."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send_one() -> None:
            async with session.post(url, data=BODY) as response:
                await response.read()

        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(
                int(CONSTANT_RATE_PER_S * CONSTANT_RATE_DURATION_S)
            ):
                due = started + number / CONSTANT_RATE_PER_S
                wait_s = due - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                group.create_task(send_one())


def main() -> None:
    """Measure node and baseline in turn and print both."""
    port = deployment.free_port()
    bare = subprocess.Popen(
        [sys.executable, '-m', 'bench.bare', str(port)],
        cwd=deployment.ROOT,
        stderr=subprocess.DEVNULL,
    )
    try:
        with deployment.Deployment(1, 4) as running:
            _compare(running, f'http://127.0.0.1:{port}/', bare.pid)
    finally:
        bare.send_signal(signal.SIGTERM)
        bare.wait()


def _compare(running, bare_url: str, bare_pid: int) -> None:
    node_url = running.url_by_name['node-0']
    node_requests = f'{node_url}/v1/requests'
    node_pid = running.process_by_name['node-0'].pid
    targets = {
        'bare handler': Target(bare_url, bare_pid, BODY, 200),
        'node, served': Target(node_requests, node_pid, BODY, 200),
        'node, refused': Target(node_requests, node_pid, REFUSED_BODY, 422),
    }
    rounds: dict[str, list[Figures]] = {name: [] for name in targets}
    for _ in range(ROUNDS):
        for name, target in targets.items():
            rounds[name].append(measure(target))
    rows = [
        [
            name,
            statistics.median(f.rate for f in figures),
            statistics.median(f.cpu_us for f in figures),
            sum(f.failed for f in figures),
        ]
        for name, figures in rounds.items()
    ]
    headers = ['process', 'requests/s', 'CPU us/request', 'failed']
    print(tabulate.tabulate(rows, headers, floatfmt='.0f'))
    print(f'ratio of rates {rows[1][1] / rows[0][1]:.2f} (target 0.50)')
    print(f'CPU refused/served {rows[2][2] / rows[1][2]:.2f} (target 0.20)')
    print(f'node memory {rss_mb(node_pid):.0f} MB (target under 128)')
    asyncio.run(send_at_constant_rate(node_requests))
    metrics = deployment.call('GET', f'{node_url}/v1/metrics')[1]
    print(
        f'decision at {CONSTANT_RATE_PER_S}/s: {metrics["decision_us"]} us '
        '(target p99 under 1000)'
    )


if __name__ == '__main__':
    main()

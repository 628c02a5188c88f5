"""Compare leased slots with an ideal queue, reservation and static shares.

All four serve the same arrivals. The leased slots are the real roles of the
nodes on a virtual clock; the others are small models in this file. The ideal
queue is one queue for all slots, without cost. With reservation, each request
reserves a slot of it by a round trip. With static shares, each node has a
queue and an equal part of the slots::

    python -m bench.slots [SEED]
"""

import asyncio
import heapq
import random
import sys
import time
import typing

import tabulate

from bench import fleets
from carawaymast_core import table as table_mod
from standins import virtual

__all__ = ['main']

NODES = 8
WORKERS = 6
SLOTS_PER_WORKER = 8
SLOTS = WORKERS * SLOTS_PER_WORKER
MEAN_RUN_MS = 40
DURATION_S = 15.0
# The mean of two transfers, each of a delay uniformly distributed between
# 0.0002 s and the maximum, see ``virtual.Fleet.deliver``.
ROUND_TRIP_S = virtual.MAX_DELAY_S + 0.0002
MEAN_SLOT_USE_S = MEAN_RUN_MS / 1000 + ROUND_TRIP_S
SAMPLE_INTERVAL_S = 0.01


class Arrival(typing.NamedTuple):
    """A request: when, at which node, and for how long it runs."""

    at_s: float
    node: int
    run_ms: int


class Result(typing.NamedTuple):
    """The figures of one way of serving."""

    name: str
    waits_ms: list[float]
    messages: float
    bytes: float
    idle_share: float


def draw_arrivals(load: float, is_skewed: bool, seed: int) -> list[Arrival]:
    """Return random arrivals that use the share ``load`` of all slots."""
    source = random.Random(seed)
    rate = load * SLOTS / MEAN_SLOT_USE_S
    arrivals = []
    at_s = 0.0
    while at_s < DURATION_S:
        at_s += source.expovariate(rate)
        node = 0 if is_skewed else source.randrange(NODES)
        run_ms = max(1, int(source.expovariate(1 / MEAN_RUN_MS)))
        arrivals.append(Arrival(at_s, node, run_ms))
    return arrivals


def queue_model(
    name: str, arrivals: list[Arrival], groups: int, reservation_s: float
) -> Result:
    """Serve with ``groups`` separate queues that share the slots evenly.

    ``reservation_s`` is the time in which each request reserves its slot,
    while the slot is already in use.
    """
    size = SLOTS // groups
    free_by_group = [[0.0] * size for _ in range(groups)]
    waits = []
    for arrival in arrivals:
        free = free_by_group[arrival.node % groups]
        ready_s = arrival.at_s + reservation_s
        start_s = max(ready_s, heapq.heappop(free))
        waits.append((start_s - arrival.at_s) * 1000)
        slot_use_s = arrival.run_ms / 1000 + ROUND_TRIP_S + reservation_s
        heapq.heappush(free, start_s + slot_use_s)
    # Counted for a reservation: 4 messages of 60 bytes.
    messages = 4.0 if reservation_s else 0.0
    return Result(name, waits, messages, messages * 60, 0.0)


def serve_with_leases(arrivals: list[Arrival], seed: int) -> Result:
    """Serve with the real roles of eight nodes."""
    rows = fleets.table()
    # The only kind that arrives may use all slots, as in the models.
    full_limit = table_mod.Amount(1.0, True)
    rows['renewal'] = rows['renewal']._replace(limit=full_limit)
    fleet = fleets.start(rows, seed, NODES, WORKERS, SLOTS_PER_WORKER)
    fleet.peer_messages = fleet.peer_bytes = 0
    idle: list[float] = []
    fleet.run(_send_load(fleet, arrivals, idle))
    nodes = fleet.node_by_id.values()
    waits: list[float] = []
    for node in nodes:
        histogram = node.roles.entry.wait_ms_by_kind.get('renewal')
        if histogram is not None:
            for item in histogram.get_recorded_iterator():
                waits += [item.value_iterated_to] * (
                    item.count_added_in_this_iter_step
                )
    result = Result(
        'leased slots',
        waits,
        fleet.peer_messages / len(arrivals),
        fleet.peer_bytes / len(arrivals),
        sum(idle) / max(1, len(idle)),
    )
    fleet.close()
    return result


async def _send_load(fleet, arrivals, idle) -> None:
    nodes = list(fleet.node_by_id.values())
    started = fleet.loop.time()
    sampler = asyncio.ensure_future(_sample_idle(fleet, nodes, idle))
    for number, arrival in enumerate(arrivals):
        wait_s = started + arrival.at_s - fleet.loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        node = nodes[arrival.node]
        fleets.submit(node, f'r{number}', 'renewal', 'kilima', arrival.run_ms)
    sampler.cancel()
    await fleets.wait_until_answered(nodes)


async def _sample_idle(fleet, nodes, idle) -> None:
    """Sample the share of idle slots while a request waits at any node."""
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        if not any(len(node.roles.entry.queue) for node in nodes):
            continue
        caches = [node.roles.entry.cache for node in nodes]
        busy = sum(cache.total - cache.idle_total for cache in caches)
        idle.append(1 - busy / SLOTS)


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of ``values``."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def main(seed: int) -> None:
    """Print one row for each load, spread and way of serving."""
    rows = []
    for load in (0.5, 0.9, 1.2):
        for is_skewed in (False, True):
            arrivals = draw_arrivals(load, is_skewed, seed)
            started = time.monotonic()
            results = [
                queue_model('ideal queue', arrivals, 1, 0.0),
                serve_with_leases(arrivals, seed),
                queue_model('reservation', arrivals, 1, ROUND_TRIP_S),
                queue_model('static shares', arrivals, NODES, 0.0),
            ]
            ideal = percentile(results[0].waits_ms, 99)
            for result in results:
                p99 = percentile(result.waits_ms, 99)
                rows.append(
                    [
                        f'{load:.0%}',
                        'one node' if is_skewed else 'even',
                        result.name,
                        percentile(result.waits_ms, 50),
                        p99,
                        p99 / max(ideal, 1),
                        result.messages,
                        result.bytes,
                        f'{result.idle_share:.1%}',
                    ]
                )
            elapsed_s = time.monotonic() - started
            print(
                f'{load:.0%} skewed={is_skewed}: {elapsed_s:.0f} s', flush=True
            )
    headers = [
        'load',
        'callers',
        'way',
        'p50 ms',
        'p99 ms',
        'p99/ideal',
        'messages/request',
        'bytes/request',
        'idle while waiting',
    ]
    print(tabulate.tabulate(rows, headers, floatfmt='.2f'))


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 3)

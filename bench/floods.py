"""Measure how a flood of one kind of work affects the other kinds.

The real roles of four nodes on a virtual clock serve a light load of six
kinds; then one kind, or two, arrives at 3 or 10 times the capacity. The run
without a flood and with the same seed is the baseline::

    python -m bench.floods [SEED]
"""

import asyncio
import random
import sys
import typing

import tabulate

from bench import fleets
from standins import load

__all__ = ['main']

NODES = 4
WORKERS = 6
SLOTS_PER_WORKER = 8
SLOTS = WORKERS * SLOTS_PER_WORKER
DURATION_S = 8.0
FLOOD_START_S = 1.0
RUN_MS_BY_KIND = {
    'placement-check': 15,
    'glyph-preview': 20,
    'tool-path-check': 50,
    'renewal': 100,
    'roster': 200,
    'engraving-set': 400,
}
BASELINE_LOAD = 0.08  # share of all slots, for each kind


class Flood(typing.NamedTuple):
    """Kinds that together arrive at ``load_factor`` times the capacity."""

    kinds: tuple[str, ...]
    load_factor: float


class KindFigures(typing.NamedTuple):
    """The figures of one kind in one run."""

    sent: int
    done: int
    refused: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    slot_share: float


def make_streams(rows, flood: Flood | None) -> list[load.Stream]:
    """Return the streams of the baseline load and those of the flood."""
    found = []
    for kind, run_ms in RUN_MS_BY_KIND.items():
        rate = BASELINE_LOAD * SLOTS / (run_ms / 1000)
        team = rows[kind].team
        baseline = load.Stream(
            kind, team, rate, run_ms, False, fleets.DEADLINE_MS
        )
        found.append(baseline)
        if flood is not None and kind in flood.kinds:
            load_factor = flood.load_factor / len(flood.kinds)
            extra = rate / BASELINE_LOAD * load_factor
            found.append(baseline._replace(rate=extra, from_s=FLOOD_START_S))
    return found


def run(flood: Flood | None, seed: int) -> dict[str, KindFigures]:
    """Run one load; return the figures of each kind."""
    rows = fleets.table()
    fleet = fleets.start(rows, seed, NODES, WORKERS, SLOTS_PER_WORKER)
    arrivals = load.draw_arrivals(make_streams(rows, flood), DURATION_S, seed)
    slot_share_by_kind: dict[str, float] = dict.fromkeys(RUN_MS_BY_KIND, 0.0)
    fleet.run(_send_load(fleet, arrivals, slot_share_by_kind, seed))
    result = {
        kind: _kind_figures(fleet, arrivals, kind, slot_share_by_kind)
        for kind in RUN_MS_BY_KIND
    }
    fleet.close()
    return result


async def _send_load(fleet, arrivals, slot_share_by_kind, seed) -> None:
    nodes = list(fleet.node_by_id.values())
    source = random.Random(seed)
    started = fleet.loop.time()
    sampler = asyncio.ensure_future(_sample(nodes, slot_share_by_kind))
    for arrival in arrivals:
        wait_s = started + arrival.at_s - fleet.loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        stream = arrival.stream
        run_ms = max(1, int(source.uniform(0.5, 1.5) * stream.run_ms))
        node = nodes[arrival.number % NODES]
        name = f'r{arrival.number}'
        fleets.submit(node, name, stream.kind, stream.team, run_ms)
    sampler.cancel()
    await fleets.wait_until_answered(nodes)


async def _sample(nodes, slot_share_by_kind) -> None:
    """Average each kind's share of the slots while the flood lasts."""
    await asyncio.sleep(FLOOD_START_S + 1)
    samples = 0
    while True:
        samples += 1
        for kind in slot_share_by_kind:
            running = sum(
                node.roles.entry.queue.running(kind) for node in nodes
            )
            share = running / SLOTS
            slot_share_by_kind[kind] += (
                share - slot_share_by_kind[kind]
            ) / samples
        await asyncio.sleep(0.01)


def _kind_figures(
    fleet, arrivals, kind: str, slot_share_by_kind
) -> KindFigures:
    tallies = [
        node.roles.account.tally_by_kind[kind]
        for node in fleet.node_by_id.values()
        if kind in node.roles.account.tally_by_kind
    ]
    waits = None
    for node in fleet.node_by_id.values():
        histogram = node.roles.entry.wait_ms_by_kind.get(kind)
        if histogram is None:
            continue
        if waits is None:
            waits = histogram
        else:
            waits.add(histogram)
    return KindFigures(
        sum(arrival.stream.kind == kind for arrival in arrivals),
        sum(tally['done'] for tally in tallies),
        sum(tally['refused'] for tally in tallies),
        waits.get_value_at_percentile(50) if waits else 0,
        waits.get_value_at_percentile(99) if waits else 0,
        waits.get_max_value() if waits else 0,
        slot_share_by_kind[kind],
    )


FLOODS = (
    Flood(('engraving-set',), 3),
    Flood(('engraving-set',), 10),
    Flood(('placement-check',), 3),
    Flood(('placement-check',), 10),
    Flood(('placement-check', 'engraving-set'), 10),
)


def main(seed: int) -> None:
    """Print one table for each flood, with the baseline beside it."""
    baseline = run(None, seed)
    for flood in FLOODS:
        flooded = run(flood, seed)
        print(
            f'\n{" and ".join(flood.kinds)} at {flood.load_factor} x capacity'
        )
        rows = [
            [
                kind,
                baseline[kind].p99_ms,
                row.p99_ms,
                row.p99_ms / max(1, baseline[kind].p99_ms),
                row.max_ms,
                row.sent,
                row.done,
                row.refused,
                f'{baseline[kind].slot_share:.1%}',
                f'{row.slot_share:.1%}',
            ]
            for kind, row in flooded.items()
        ]
        headers = [
            'kind',
            'baseline p99 ms',
            'p99 ms',
            'ratio',
            'longest ms',
            'sent',
            'done',
            'refused',
            'baseline slots',
            'slots',
        ]
        print(tabulate.tabulate(rows, headers, floatfmt='.1f'), flush=True)


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)

"""Measure the time of a leader's plan by the size of its fleet.

It measures a plan of 200 and more waiting steps on a fleet that is 88% used,
and a search for the steps that need tickets, of which there are none. The
search runs twice, as the first one stores for how long each step needs none.
The plan is measured twice, too: after the first one hardly any waiting step
fits. The baseline scans all workers for each step, by the same rules::

    python -m bench.plans [SEED]
"""

import itertools
import random
import sys
import time
import typing

import tabulate

from carawaymast_core.cell import eligibility
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import placing
from carawaymast_core.cell import planner
from standins import cells

__all__ = ['main']

FLEETS = (24, 176, 270, 2_600)
STEP_COUNTS = (200, 5_000, 50_000)
USED_SHARE = 0.88
ROUNDS = 3
# Calls for advice that a leader begins at a time: one through each node.
MAX_CALLS = 40
MS_PER_S = 1_000


def scan(cell) -> None:
    """Scan all workers for each step in order, and sort those that fit."""
    workers = list(cell.worker_by_key.values())
    ordered = cell.ready_by_name.in_order(lambda need: True)
    for step in itertools.islice(ordered, planner.MAX_PLACED_STEPS_PER_PLAN):
        found = []
        for worker in workers:
            if not eligibility.is_eligible(step, worker):
                continue
            capacity = worker.entry.capacity
            count = free_capacity.fit_count(
                step.spec.size, capacity, worker.free, 0.0
            )
            if count:
                found.append((worker.free_share, worker.worker_id, count))
        found.sort()


def find_steps_needing_advice(cell) -> None:
    """Find the first steps that need tickets, as many as there are calls."""
    found = placing.steps_needing_advice(cell, cells.NOW_MS, cells.NOW_MS)
    list(itertools.islice(found, MAX_CALLS))


def plan(cell) -> None:
    """Place the steps that fit."""
    placing.plan(cell, cells.NOW_MS, cells.NOW_MS)


def cpu_time_ms(action: typing.Callable[[typing.Any], None], cell) -> float:
    """Return the processor time of an action, in milliseconds."""
    started = time.process_time()
    action(cell)
    return (time.process_time() - started) * MS_PER_S


def measure(workers: int, steps: int, source: random.Random) -> list:
    """Return the minimum time of each action over ``ROUNDS`` rounds."""
    rows = []
    for _ in range(ROUNDS):
        cell = cells.make_random_cell(source, workers, steps, USED_SHARE)
        rows.append(
            [
                cpu_time_ms(a, cell)
                for a in (
                    scan,
                    find_steps_needing_advice,
                    find_steps_needing_advice,
                    plan,
                    plan,
                )
            ]
        )
    return [workers, steps, *map(min, zip(*rows, strict=True))]


def main() -> None:
    """Print one row for each size of fleet."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    source = random.Random(seed)
    headers = [
        'workers',
        'steps',
        'scan ms',
        'first find ms',
        'find ms',
        'plan ms',
        'next plan ms',
    ]
    rows = [
        measure(workers, steps, source)
        for workers in FLEETS
        for steps in STEP_COUNTS
    ]
    print(tabulate.tabulate(rows, headers, floatfmt='.2f'))


if __name__ == '__main__':
    main()

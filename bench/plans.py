"""Time of a leader's plan against the size of its fleet.

A plan of 200 waiting steps on a fleet that is used to 88%, and a look for the
steps that need tickets, which they all hold. The baseline looks at each
worker for each step, by the same rules::

    python -m bench.plans [SEED]
"""

import random
import sys
import time
import typing

import tabulate

from carawaymast_core.cell import choosing
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import placing
from carawaymast_core.cell import planner
from standins import cells

__all__ = ['main']

FLEETS = (24, 176, 270, 2_600)
STEPS = 200
USED_SHARE = 0.88
ROUNDS = 5
MS_PER_S = 1_000


def scan(cell) -> None:
    """Look at each worker for each step in order, and sort what fits."""
    workers = list(cell.worker_by_key.values())
    ordered = planner.sort_steps(cell.ready_by_name.values(), cells.NOW_MS)
    for step in ordered[: planner.MAX_STEPS_PER_PLAN]:
        found = []
        for worker in workers:
            if not choosing.is_eligible(step, worker):
                continue
            capacity = worker.entry.capacity
            room = free_capacity.fit_count(
                step.spec.size, capacity, worker.free, 0.0
            )
            if room:
                found.append((worker.free_share, worker.worker_id, room))
        found.sort()


def find_steps_needing_advice(cell) -> None:
    """Look for the steps that need tickets."""
    list(placing.steps_needing_advice(cell, cells.NOW_MS, cells.NOW_MS))


def plan(cell) -> None:
    """Place what fits."""
    placing.plan(cell, cells.NOW_MS, cells.NOW_MS)


def cpu_time_ms(action: typing.Callable[[typing.Any], None], cell) -> float:
    """Return the processor time that an action takes."""
    started = time.process_time()
    action(cell)
    return (time.process_time() - started) * MS_PER_S


def measure(workers: int, source: random.Random) -> list:
    """Return the least times of some rounds on a fleet."""
    rows = []
    for _ in range(ROUNDS):
        cell = cells.make_random_cell(source, workers, STEPS, USED_SHARE)
        rows.append(
            [
                cpu_time_ms(a, cell)
                for a in (
                    scan,
                    find_steps_needing_advice,
                    find_steps_needing_advice,
                    plan,
                )
            ]
        )
    return [workers, *map(min, zip(*rows, strict=True))]


def main() -> None:
    """Print one row for each size of fleet."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    source = random.Random(seed)
    headers = ['workers', 'scan ms', 'first look ms', 'look ms', 'plan ms']
    rows = [measure(workers, source) for workers in FLEETS]
    print(tabulate.tabulate(rows, headers, floatfmt='.2f'))


if __name__ == '__main__':
    main()

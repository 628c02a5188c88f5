"""Measure the cost of placement decisions by fleet size, and the packing.

The baseline for cost is a scan of all workers with the same best-fit rule;
the baseline for packing is first fit over tasks sorted by decreasing size,
which needs all tasks beforehand::

    python -m bench.placement [SEED]
"""

import random
import sys
import time
import typing

import tabulate

from carawaymast_core import placement
from carawaymast_core import resources

__all__ = ['main']

FLEETS = (650, 1_300, 2_600, 5_200)
TASKS_PER_WORKER = 46_000 / 2_600
DECISIONS = 4_000
SCANS = 60
SHAPES = (
    resources.Resources(16_000, 64_000, 0),
    resources.Resources(64_000, 256_000, 0),
    resources.Resources(64_000, 256_000, 4),
)
PACKING_WORKERS = 100


def draw_size(source: random.Random, shape: resources.Resources):
    """Return a random size of a task, a small part of a worker."""
    part = min(0.5, source.expovariate(TASKS_PER_WORKER * 1.4))
    mix = source.uniform(0.4, 1.6)
    wants_accelerator = shape.accelerators and source.random() < 0.1
    return resources.Resources(
        max(50, int(shape.cpu_millis * part)),
        max(64, int(shape.memory_mb * part * mix)),
        1 if wants_accelerator else 0,
    )


class Fleet:
    """Workers with their free capacity, and the tasks they run."""

    def __init__(self, count: int, seed: int):
        self.source = random.Random(seed)
        self.index = placement.PlacementIndex()
        self.free_by_id: dict[str, resources.Resources] = {}
        self.tasks: list[tuple[str, resources.Resources]] = []
        for number in range(count):
            shape = SHAPES[number % len(SHAPES)]
            self.set_free(f'w{number}', shape)

    def set_free(self, worker_id: str, free: resources.Resources) -> None:
        """Change the free capacity of a worker."""
        self.free_by_id[worker_id] = free
        self.index.set_free(worker_id, free)

    def place(self, size: resources.Resources) -> bool:
        """Place a task; return whether it fitted on a worker."""
        worker_id = self.index.best_fit(size)
        if worker_id is None:
            return False
        self.set_free(worker_id, self.free_by_id[worker_id].minus(size))
        self.tasks.append((worker_id, size))
        return True

    def end_random_task(self) -> None:
        """End a random task."""
        index = self.source.randrange(len(self.tasks))
        self.tasks[index], self.tasks[-1] = self.tasks[-1], self.tasks[index]
        worker_id, size = self.tasks.pop()
        self.set_free(worker_id, self.free_by_id[worker_id].plus(size))

    def next_size(self) -> resources.Resources:
        """Return a random size for the next task."""
        return draw_size(self.source, self.source.choice(SHAPES))


def percentile_us(samples_ns: list[int], percent: float) -> float:
    """Return a percentile of samples, in microseconds."""
    ordered = sorted(samples_ns)
    position = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[position] / 1000


def measure_cost(count: int, seed: int) -> list[typing.Any]:
    """Return one row of the table of costs."""
    fleet = Fleet(count, seed)
    for _ in range(int(count * TASKS_PER_WORKER)):
        fleet.place(fleet.next_size())
    samples = []
    for _ in range(DECISIONS):
        fleet.end_random_task()
        size = fleet.next_size()
        started = time.perf_counter_ns()
        fleet.place(size)
        samples.append(time.perf_counter_ns() - started)
    scans = []
    for _ in range(SCANS):
        size = fleet.next_size()
        started = time.perf_counter_ns()
        min(
            (
                (tuple(free.minus(size)), worker_id)
                for worker_id, free in fleet.free_by_id.items()
                if size.fits_in(free)
            ),
            default=None,
        )
        scans.append(time.perf_counter_ns() - started)
    return [
        count,
        len(fleet.tasks),
        percentile_us(samples, 50),
        percentile_us(samples, 99),
        percentile_us(scans, 50),
        percentile_us(scans, 99),
    ]


def pack(order: list[resources.Resources], first_fit: bool) -> float:
    """Place the tasks that fit; return the share of processors in use."""
    shape = SHAPES[1]
    free = [shape] * PACKING_WORKERS
    index = placement.PlacementIndex()
    for number in range(PACKING_WORKERS):
        index.set_free(str(number), shape)
    used = 0
    for size in order:
        if first_fit:
            fitting = (n for n, f in enumerate(free) if size.fits_in(f))
            found = next(fitting, None)
        else:
            worker_id = index.best_fit(size)
            found = None if worker_id is None else int(worker_id)
        if found is None:
            continue
        free[found] = free[found].minus(size)
        index.set_free(str(found), free[found])
        used += size.cpu_millis
    return used / (PACKING_WORKERS * shape.cpu_millis)


def measure_packing(seed: int) -> list[typing.Any]:
    """Return one row of the table of packing."""
    source = random.Random(seed)
    sizes = [draw_size(source, SHAPES[1]) for _ in range(3_000)]
    by_size = sorted(sizes, reverse=True)
    online = pack(sizes, first_fit=False)
    offline = pack(by_size, first_fit=True)
    return [seed, online, offline, online / offline]


def main(seed: int) -> None:
    """Print both tables."""
    rows = [measure_cost(count, seed) for count in FLEETS]
    headers = [
        'workers',
        'tasks',
        'index p50 us',
        'index p99 us',
        'scan p50 us',
        'scan p99 us',
    ]
    print(tabulate.tabulate(rows, headers, floatfmt='.0f'))
    rows = [measure_packing(seed + number) for number in range(5)]
    headers = ['seed', 'best fit', 'offline first fit decreasing', 'ratio']
    print(tabulate.tabulate(rows, headers, floatfmt='.3f'))


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)

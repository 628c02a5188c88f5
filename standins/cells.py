"""Build random cells: workers in use, and waiting steps with tickets."""

import random

from carawaymast_core import resources
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_speed

__all__ = ['NOW_MS', 'SERVICE', 'make_mixed_cell', 'make_random_cell']

NOW_MS = 100_000
SERVICE = 'desk'
CAPACITY = resources.Resources(16_000, 65_536, 0)
WORKERS_PER_RACK = 20
VALID_MS = 2_500
# (queue policy, weight in the mix, mean number of tasks in a step, size of a
# task, share of gangs)
QUEUE_MIX = (
    (
        spec_mod.QueuePolicy(
            'check',
            SERVICE,
            0,
            2,
            1.5,
            250,
            spec_mod.AdvicePolicy(20.8, 0.3, VALID_MS),
        ),
        6,
        3,
        resources.Resources(3_900, 8_100, 0),
        0.3,
    ),
    (
        spec_mod.QueuePolicy(
            'renewal',
            SERVICE,
            1,
            4,
            2.2,
            1_000,
            spec_mod.AdvicePolicy(507.0, 7.3, VALID_MS),
        ),
        1,
        13,
        resources.Resources(4_500, 9_400, 0),
        1.0,
    ),
    (
        spec_mod.QueuePolicy('roster', SERVICE, 2, 4, 4.0, 3_000, None),
        2,
        24,
        resources.Resources(2_800, 5_600, 0),
        0.0,
    ),
)
TICKET_SHARE = 0.5


def make_random_cell(
    source: random.Random, workers: int, steps: int, used_share: float
) -> cell_mod.Cell:
    """Return a cell of workers with waiting steps, all random.

    About ``used_share`` of the workers' capacity is in use. Steps of queues
    with advice have tickets for about half of the workers.
    """
    cell = cell_mod.Cell(1, 4_500, lambda event_type, **fields: None)
    for number in range(workers):
        _add_worker(cell, source, number, used_share)
    for number in range(steps):
        _add_step(cell, source, number)
    for step in cell.ready_by_name.values():
        _grant_tickets(cell, source, step)
    return cell


def make_mixed_cell(
    source: random.Random, workers: int, steps: int, used_share: float
) -> cell_mod.Cell:
    """Return a random cell whose steps differ in all that they may need."""
    cell = cell_mod.Cell(1, 4_500, lambda event_type, **fields: None)
    for number in range(workers):
        _add_worker(cell, source, number, used_share)
    for number in range(steps):
        _add_mixed_step(cell, source, number)
    for step in cell.ready_by_name.values():
        _grant_tickets(cell, source, step)
    return cell


def _add_mixed_step(cell, source, number: int) -> None:
    rank = source.randrange(3)
    advice = QUEUE_MIX[0][0].advice if source.random() < 0.3 else None
    queue = spec_mod.QueuePolicy(
        f'q{rank}', SERVICE, rank, 4, 2.0, 1_000, advice
    )
    is_gang = source.random() < 0.3
    step = spec_mod.Step(
        source.randint(1, 8),
        resources.Resources(
            source.randint(500, 16_000), source.randint(500, 65_000), 0
        ),
        source.randint(500, 6_000),
        is_gang=is_gang,
        is_rack_local=source.random() < 0.2,
        is_filler=not is_gang and source.random() < 0.05,
        required_label=source.choice(['', '', 'a', 'b', 'r0', 'gone']),
        max_per_worker=source.choice([0, 0, 1, 2]),
    )
    spec = spec_mod.JobSpec('payload', (step,))
    submission = spec_mod.Submission(f'{number:016x}', queue, spec, NOW_MS)
    cell.accept(submission, NOW_MS, NOW_MS)


def _add_worker(cell, source, number: int, used_share: float) -> None:
    labels = (source.choice('ab'), f'r{number // WORKERS_PER_RACK}')
    entry = reports.WorkerEntry(
        f'w{number:04}',
        'host:1',
        1,
        SERVICE,
        'domain',
        False,
        CAPACITY,
        labels,
        0,
        None,
    )
    worker = worker_mod.Worker(entry)
    worker.is_adopted = True
    worker.tier = source.choice(
        [
            worker_speed.Tier.FAST,
            worker_speed.Tier.TYPICAL,
            worker_speed.Tier.SLOW,
        ]
    )
    # One share for processors, one for memory.
    shares = [min(1.0, used_share * source.uniform(0.6, 1.2)) for _ in 'cm']
    worker.untracked_size = resources.Resources(
        int(CAPACITY.cpu_millis * shares[0]),
        int(CAPACITY.memory_mb * shares[1]),
        0,
    )
    cell.worker_by_key[worker.key] = worker


def _add_step(cell, source, number: int) -> None:
    weights = [row[1] for row in QUEUE_MIX]
    queue, _, mean, size, gang_share = source.choices(QUEUE_MIX, weights)[0]
    step = spec_mod.Step(
        source.randint(1, 2 * mean),
        size,
        source.randint(500, 6_000),
        is_gang=source.random() < gang_share,
        required_label=source.choice(['', '', '', 'a']),
        max_per_worker=source.choice([0, 0, 2]),
    )
    spec = spec_mod.JobSpec('payload', (step,))
    submission = spec_mod.Submission(f'{number:016x}', queue, spec, NOW_MS)
    cell.accept(submission, NOW_MS, NOW_MS)


def _grant_tickets(cell, source, step) -> None:
    if step.advice is None:
        return
    ids = [worker.worker_id for worker in cell.worker_by_key.values()]
    granted = {i: 't' for i in ids if source.random() < TICKET_SHARE}
    step.advice.apply_answer(ids, granted, NOW_MS, VALID_MS)

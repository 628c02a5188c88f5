"""Steps on the choice of workers, against a scan of the whole fleet."""

import random

from behave import given
from behave import then
from behave import when

from carawaymast_core import resources
from carawaymast_core.cell import advice as advice_mod
from carawaymast_core.cell import choosing
from carawaymast_core.cell import eligibility
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import placing
from carawaymast_core.cell import tiers
from carawaymast_core.cell import worker_speed
from features import cell_world
from standins import cells

SEED = 7
TASK = resources.Resources(2_000, 4_000, 0)


def all_workers(cell):
    return list(cell.worker_by_key.values())


@given(
    'a fleet of {full:d} full workers and {few:d} with free capacity for one '
    'task'
)
def full_fleet(context, full, few):
    context.cell = cells.make_random_cell(
        random.Random(SEED), full + few, 0, 1.0
    )
    for number, worker in enumerate(all_workers(context.cell)):
        worker.tier = worker_speed.Tier.TYPICAL
        worker.untracked_size = cells.CAPACITY
        if number < few:
            left = resources.Resources(2_000 + number, 4_000 + number, 0)
            worker.untracked_size = cells.CAPACITY.minus(left)


@when('a task looks for free capacity')
def find_free_capacity(context):
    fleet = fleet_mod.Fleet(all_workers(context.cell))
    found = fleet.with_free_capacity(cells.SERVICE, TASK, tiers.URGENT_TIERS)
    context.checked_ids = [worker.worker_id for worker in found]


@then('only those {few:d} workers were examined, the fullest first')
def checked_few(context, few):
    expected = [f'w{number:04}' for number in range(few)]
    assert context.checked_ids == expected, context.checked_ids


@given(
    '{count:d} fleets of up to {workers:d} workers with {steps:d} waiting '
    'steps, at random'
)
def random_fleets(context, count, workers, steps):
    source = random.Random(SEED)
    context.cells = [
        cells.make_random_cell(
            source, source.randint(1, workers), steps, source.uniform(0, 1)
        )
        for _ in range(count)
    ]


@then('each step is given the workers that a scan finds')
def as_scan_finds(context):
    chosen = 0
    for cell in context.cells:
        fleet = fleet_mod.Fleet(all_workers(cell))
        for step in cell.ready_by_name.values():
            by_index = [
                (placement.worker.worker_id, placement.ticket)
                for placement in choosing.choose(step, fleet, cells.NOW_MS)
            ]
            assert by_index == scan(step, all_workers(cell)), step.name
            chosen += len(by_index)
    assert chosen > len(context.cells), chosen


def scan(step, workers):
    """Return worker and ticket of each task, by examining each worker."""
    tier_order = tiers.preferred(step)
    allowed = [
        w
        for w in workers
        if eligibility.is_eligible(step, w)
        and (
            step.advice is None
            or step.advice.ticket(w.worker_id, cells.NOW_MS)
        )
    ]
    headroom = free_capacity.headroom_share(step, allowed)
    allowed.sort(
        key=lambda w: (tier_order.index(w.tier), w.free_share, w.worker_id)
    )
    rows = []
    for worker in allowed:
        count = free_capacity.fit_count(
            step.spec.size, worker.entry.capacity, worker.free, headroom
        )
        if step.spec.max_per_worker:
            count = min(count, step.spec.max_per_worker)
        ticket = (
            step.advice.ticket(worker.worker_id, cells.NOW_MS)
            if (step.advice)
            else ''
        )
        rows += [(worker.worker_id, ticket)] * count
    rows = rows[: step.spec.count]
    is_whole = len(rows) == step.spec.count
    return rows if is_whole or not step.spec.is_gang else []


@given('{count:d} steps that hold tickets for all workers')
def ticketed_steps(context, count):
    cell = context.cell
    ids = [worker.worker_id for worker in all_workers(cell)]
    policy = cell_world.queue(
        advice=cells.QUEUE_MIX[0][0].advice,
    )._replace(service=cells.SERVICE)
    for number in range(count):
        step = cell_world.step(cpu=20_000)
        submission = cell_world.job(
            f'{number:016x}', step, policy=policy, accepted_at_ms=cells.NOW_MS
        )
        cell.accept(submission, cells.NOW_MS, cells.NOW_MS)
    for step in cell.ready_by_name.values():
        tickets = dict.fromkeys(ids, 't')
        step.advice.apply_answer(ids, tickets, cells.NOW_MS, cells.VALID_MS)


def count_advice_checks(context, now_ms):
    """Return how many steps the leader asks for workers that need advice."""
    asked = []
    ids_to_ask = advice_mod.StepAdvice.ids_to_ask

    def counted(advice, *arguments):
        asked.append(advice)
        return ids_to_ask(advice, *arguments)

    advice_mod.StepAdvice.ids_to_ask = counted
    try:
        list(placing.steps_needing_advice(context.cell, now_ms, now_ms))
    finally:
        advice_mod.StepAdvice.ids_to_ask = ids_to_ask
    return len(asked)


@when('the leader looks for steps that need tickets')
def first_check(context):
    assert count_advice_checks(context, cells.NOW_MS) == 120


@when('it looks again {ms:d} ms later')
def second_check(context, ms):
    context.asked = count_advice_checks(context, cells.NOW_MS + ms)


@then('the second pass asked no step for its workers')
def none_asked(context):
    assert context.asked == 0, context.asked

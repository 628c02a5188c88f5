"""Steps on jobs that wait behind others that cannot run."""

import random
from unittest import mock

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import choosing
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import jobs
from carawaymast_core.cell import placing
from carawaymast_core.cell import reservations
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker as worker_mod
from features import cell_world
from standins import cells

SEED = 5
LONG_MS = 600_000
CYCLE_MS = 25
ADVICE_CALL_MS = 300
VALID_MS = 2_500
ADVICE = spec_mod.AdvicePolicy(20.0, 0.3, VALID_MS)


def submit(context, job_id, step, work_ms=None, policy=None):
    world = context.world
    if work_ms is not None:
        world.work_ms_by_job[job_id] = work_ms
    world.submit(
        cell_world.job(
            job_id, step, policy=policy, accepted_at_ms=world.clock.now()
        )
    )


def steps_of(context, prefix):
    """Return the ready steps of the jobs whose ids begin with ``prefix``."""
    return [
        step
        for step in context.world.cell.ready_by_name.values()
        if step.job.job_id.startswith(prefix)
    ]


def started_jobs(context):
    """Return the ids of the jobs of which a task was started."""
    return {
        name.partition('.')[0]
        for runner in context.world.runner_by_id.values()
        for name, _ in runner.started
    }


@given(
    'a service "{job_id}" of {count:d} tasks of {cpu:d} processors, 1 on a '
    'worker'
)
def submit_service(context, job_id, count, cpu):
    step = cell_world.step(
        count, cpu * 1_000, is_service=True, max_per_worker=1, may_miss=1
    )
    submit(context, job_id, step, LONG_MS)
    context.world.run_cycle()
    assert len(context.world.running()) == count


@given('a task that takes 600 s on each worker')
@given('a task of {cpu:d} processors that takes 600 s on each worker')
def submit_long(context, cpu=1):
    count = len(context.world.runner_by_id)
    step = cell_world.step(
        count, cpu * 1_000, estimate_ms=LONG_MS, max_per_worker=1
    )
    submit(context, 'long', step, LONG_MS)
    context.world.run_cycle()
    assert len(context.world.running()) == count


@given('{gangs:d} gangs of {count:d} tasks of {cpu:d} processors')
def submit_gangs(context, gangs, count, cpu):
    for number in range(gangs):
        submit(context, f'g{number}', cell_world.gang(count, cpu * 1_000))


@given('{count:d} jobs of 1 task that need the label "{label}"')
def submit_labelled(context, count, label):
    for number in range(count):
        step = cell_world.step(cpu=15_000, required_label=label)
        submit(context, f'x{number}', step)


@given('{count:d} jobs of 1 task that need {cpu:d} and more CPU millis')
def submit_large(context, count, cpu):
    for number in range(count):
        # The largest first, so that none shows that the next has no room.
        step = cell_world.step(cpu=cpu + count - number)
        submit(context, f'x{number}', step)


@given('{count:d} jobs of {cpu:d} processors with tickets for all workers')
def submit_ticketed(context, count, cpu):
    policy = cell_world.queue(advice=ADVICE)
    for number in range(count):
        step = cell_world.step(cpu=cpu * 1_000)
        submit(context, f'x{number}', step, policy=policy)
    ids = list(context.world.runner_by_id)
    now_ms = context.world.clock.now()
    for step in steps_of(context, 'x'):
        tickets = dict.fromkeys(ids, 't')
        step.advice.apply_answer(ids, tickets, now_ms, LONG_MS)


@given('{count:d} jobs of {cpu:d} processors that need advice')
def submit_advised(context, count, cpu):
    policy = cell_world.queue(advice=ADVICE)
    for number in range(count):
        step = cell_world.step(cpu=cpu * 1_000)
        submit(context, f'x{number}', step, policy=policy)


@when('a job "{job_id}" of {cpu:d} processor that needs advice comes')
def submit_one_advised(context, job_id, cpu):
    policy = cell_world.queue(advice=ADVICE)
    step = cell_world.step(cpu=cpu * 1_000)
    submit(context, job_id, step, policy=policy)


@given('{nodes:d} node that makes calls for advice of {ms:d} ms')
def scarce_calls(context, nodes, ms):
    calls = context.world.cell.advice_calls
    calls.nodes = nodes
    calls.max_workers = len(context.world.runner_by_id)
    context.policy = cell_world.queue(
        advice=spec_mod.AdvicePolicy(ms, 0.0, VALID_MS)
    )


@given('{count:d} jobs that need such a call')
def submit_calling(context, count):
    for number in range(count):
        submit(context, f'x{number}', cell_world.step(), policy=context.policy)
    context.world.run_cycle()


def refusal_by_rank(context, rank):
    policy = context.policy._replace(rank=rank)
    submission = cell_world.job('j1', cell_world.step(), policy=policy)
    return context.world.cell.check_admission(submission)


@then('a further such job is {decision}')
def further_job(context, decision):
    refusal = refusal_by_rank(context, context.policy.rank)
    assert (refusal is None) == (decision == 'admitted'), refusal
    assert refusal is None or refusal.retry_after_s > 0, refusal


@then('a more urgent one is admitted')
def urgent_admitted(context):
    refusal = refusal_by_rank(context, context.policy.rank - 1)
    assert refusal is None, refusal


def submit_in_time(context, number):
    policy = cell_world.queue(advice=ADVICE)
    context.world.submit(
        cell_world.job(
            f'x{number}',
            cell_world.step(cpu=100, estimate_ms=1),
            policy=policy,
            accepted_at_ms=context.world.clock.wall(),
        )
    )


@given('a job "{job_id}" that needs advice and is late by far')
def submit_late(context, job_id):
    submit(
        context,
        job_id,
        cell_world.step(),
        policy=cell_world.queue(advice=ADVICE),
    )


@when('a job that is in time comes for each call for {seconds:d} s')
def come_in_time(context, seconds):
    for number in range(seconds * 1_000 // ADVICE_CALL_MS):
        submit_in_time(context, f'{number}-a')
        submit_in_time(context, f'{number}-b')
        answer_calls(context, ADVICE_CALL_MS / 1_000)


@when('one call for advice a time is answered for {seconds:d} s')
def answer_calls(context, seconds):
    world = context.world
    until_ms = world.clock.now() + seconds * 1_000
    while world.clock.now() < until_ms:
        cell, now_ms = world.cell, world.clock.now()
        found = placing.steps_needing_advice(cell, now_ms, now_ms)
        step, ids = next(found, (None, ()))
        if step is None:
            world.run_cycle()
            continue
        step.advice.is_call_pending = True
        cell.advice_calls.record(step)
        for _ in range(ADVICE_CALL_MS // 100):
            world.run_cycle()
        tickets = {i: world.runner_by_id[i].ticket() for i in ids}
        step.advice.apply_answer(ids, tickets, world.clock.now(), VALID_MS)


@given('the worker of kind "b" filled by a service')
def fill_kind(context):
    context.world.set_labels('w0', ('b', 'r1'))
    step = cell_world.step(
        1, 15_000, memory=1_000, is_service=True, required_label='b'
    )
    submit(context, 'service', step, LONG_MS)
    context.world.run_cycle()
    assert len(context.world.running()) == 1


@given('a worker with {count:d} accelerators')
def add_accelerators(context, count):
    capacity = cell_world.CAPACITY._replace(accelerators=count)
    context.world.set_whole_capacity('w0', capacity)


def accelerated_step(number=0):
    step = cell_world.step(memory=1_000 + number)
    return step._replace(size=step.size._replace(accelerators=1))


@then('a job with an accelerator is refused')
def accelerated_refused(context):
    submission = cell_world.job('j3', accelerated_step())
    assert context.world.cell.check_admission(submission) is not None


def blocked_step(cause, number):
    """Return a step that fits nowhere, and its policy.

    None of a cause needs as much of everything as another one.
    """
    rare = {'required_label': 'b'}
    policy = cell_world.queue()
    cpu, memory = 2_000 + 4 * number, 62_000 - 15 * number
    if cause == 'a full kind, urgent':
        policy = cell_world.queue(rank=0)
    if cause == 'accelerators':
        return accelerated_step(number), policy
    if cause == 'tickets':
        policy = cell_world.queue(advice=ADVICE)
        return cell_world.step(cpu=2_000 + number, memory=1_000), policy
    if cause == 'gangs':
        return cell_world.gang(9 + number, 15_000 - number, 1_000), policy
    if cause == 'spread':
        # One on each worker is one more than there are.
        step = cell_world.step(
            9, 1 + number % 10, memory=number // 10, max_per_worker=1
        )
        return step, policy
    if cause == 'sizes':
        # On the idle workers a task leaves less processors than these need.
        return cell_world.step(cpu=15_500 + number % 500), policy
    return cell_world.step(cpu=cpu, memory=memory, **rare), policy


@given('{count:d} jobs that cannot run, for {cause}')
def submit_blocked(context, count, cause):
    world = context.world
    if cause == 'sizes':
        step = cell_world.step(7, 1_000, max_per_worker=1)
        submit(context, 'long', step, LONG_MS)
        world.run_cycle()
    for number in range(count):
        step, policy = blocked_step(cause, number)
        submit(context, f'x{number}', step, LONG_MS, policy)
    if cause == 'tickets':
        now_ms = world.clock.now()
        for step in steps_of(context, 'x'):
            step.advice.apply_answer(['w0'], {'w0': 't'}, now_ms, LONG_MS)


@given('{count:d} urgent gangs of different forms that nearly fit')
def submit_nearly_fitting(context, count):
    # Each worker has 8 processors left, enough for one member.
    workers = len(context.world.runner_by_id)
    for number in range(count):
        gang = cell_world.gang(workers + 1 + number % 10, 5_000 + number)
        submit(context, f'x{number}', gang, LONG_MS, cell_world.queue(rank=0))


@when(
    'an urgent gang "{job_id}" of {count:d} tasks of {cpu:d} processors comes'
)
def submit_urgent_gang(context, job_id, count, cpu):
    gang = cell_world.gang(count, cpu * 1_000)
    submit(context, job_id, gang, LONG_MS, cell_world.queue(rank=0))


@given('{ms:d} ms pass')
def pass_ms(context, ms):
    context.world.run_cycle(ms)


@then('a job of 1 task for each idle worker is admitted')
def all_admitted(context):
    for number in range(7):
        step = cell_world.step(cpu=13_000)
        submission = cell_world.job(f'a{number}', step)
        refusal = context.world.cell.check_admission(submission)
        assert refusal is None, refusal


@then('a job for the full kind is refused')
def rare_refused(context):
    step = cell_world.step(cpu=2_000, required_label='b')
    submission = cell_world.job('j2', step)
    assert context.world.cell.check_admission(submission) is not None


@given('gangs that reserve nothing')
def reserve_nothing(context):
    context.stack.enter_context(
        mock.patch.object(
            reservations.Reservations, 'may_reserve', return_value=False
        )
    )


@given(
    'jobs of 1 task of 1 processor that take {work:d} ms, each {interval:d} ms'
)
def set_flow(context, work, interval):
    context.flow = work, interval


@given('{seconds:d} s pass with them')
@when('they go on for {seconds:d} s')
def flow(context, seconds):
    send_jobs(context, seconds, *context.flow)


@when(
    'jobs of 1 task of 1 processor come for {seconds:d} s, each {interval:d} '
    'ms'
)
def come(context, seconds, interval):
    send_jobs(context, seconds, 600, interval)
    for _ in range(70):
        context.world.run_cycle()


def send_jobs(context, seconds, work_ms, interval_ms):
    """Submit small jobs at an interval, and record when each started."""
    world = context.world
    if not hasattr(context, 'submitted_at_ms_by_id'):
        context.submitted_at_ms_by_id = {}
    submitted = context.submitted_at_ms_by_id
    until_ms = world.clock.now() + seconds * 1_000
    next_ms = world.clock.now()
    while world.clock.now() < until_ms:
        while next_ms <= world.clock.now():
            job_id = f'n{len(submitted)}'
            submitted[job_id] = world.clock.now()
            step = cell_world.step(memory=10, estimate_ms=work_ms)
            submit(context, job_id, step, work_ms)
            next_ms += interval_ms
        world.run_cycle(CYCLE_MS)


def waits_ms(context):
    """Return how long each of the small jobs waited; None if for good."""
    start_by_id = {}
    for at_ms, job_id in context.world.job_starts:
        start_by_id.setdefault(job_id, at_ms)
    return [
        start_by_id[job_id] - at_ms if job_id in start_by_id else None
        for job_id, at_ms in context.submitted_at_ms_by_id.items()
    ]


@then('each of them started within {seconds:g} s')
def all_started(context, seconds):
    late = [w for w in waits_ms(context) if w is None or w > seconds * 1_000]
    assert not late, late


@then('half of them started within {seconds:d} s')
def half_started(context, seconds):
    waits = waits_ms(context)
    soon = [w for w in waits if w is not None and w <= seconds * 1_000]
    assert len(soon) * 2 >= len(waits), waits


@then('"{job_id}" has started')
def has_started(context, job_id):
    assert job_id in started_jobs(context)


@then('"{job_id}" has not started')
def has_not_started(context, job_id):
    assert job_id not in started_jobs(context)


@given('gangs of two services that do not fit, each with {count:d} workers')
def gangs_of_two_services(context, count):
    world = cell_world.CellWorld(count)
    entries = [world.entry(r) for r in world.runner_by_id.values()]
    context.expired_steps = []
    context.reservations = reservations.Reservations(
        lambda **fields: context.expired_steps.append(fields['step'])
    )
    context.waiting = []
    for service in ('s1', 's2'):
        policy = cell_world.queue()._replace(service=service)
        gang = cell_world.gang(count, 16_000)
        submission = cell_world.job(f'g-{service}', gang, policy=policy)
        workers = [
            worker_mod.Worker(
                entry._replace(
                    worker_id=f'{service}-{entry.worker_id}', service=service
                )
            )
            for entry in entries
        ]
        job = jobs.Job(submission, 0)
        context.waiting.append((next(job.steps()), workers))


@when(
    'plans ask for both for {seconds:d} s, and gangs of the first start all '
    'the time'
)
def ask_for_reservations(context, seconds):
    for now_ms in range(0, seconds * 1_000, 100):
        context.reservations.begin_plan()
        if now_ms % 1_000 == 0:
            context.reservations.end('s1')
        for step, workers in context.waiting:
            if context.reservations.may_reserve(step, now_ms):
                context.reservations.reserve(step, workers, now_ms)


@then('the reservation of the second service has expired')
def second_expired(context):
    assert set(context.expired_steps) == {'g-s2.0.0'}, context.expired_steps


@given(
    '{count:d} random cells of {least:d} to {most:d} workers with {steps:d} '
    'waiting steps'
)
def random_cells(context, count, least, most, steps):
    source = random.Random(SEED)
    context.cells = [
        cells.make_random_cell(
            source,
            source.randint(least, most),
            steps,
            source.uniform(0.5, 1),
        )
        for _ in range(count)
    ]


@given(
    '{count:d} random cells of {least:d} to {most:d} workers with {steps:d} '
    'mixed waiting steps'
)
def mixed_cells(context, count, least, most, steps):
    source = random.Random(SEED)
    context.cells = [
        cells.make_mixed_cell(
            source,
            source.randint(least, most),
            steps,
            source.uniform(0.75, 1),
        )
        for _ in range(count)
    ]


@when('each of them is planned {count:d} times')
def plan_often(context, count):
    for cell in context.cells:
        for number in range(count):
            now_ms = cells.NOW_MS + number
            placing.plan(cell, now_ms, now_ms)
            cell.starts.clear()


@then('no step that fits is left waiting')
def none_fits(context):
    waiting = 0
    for cell in context.cells:
        fleet = fleet_mod.Fleet(cell.worker_by_key.values())
        for step in cell.ready_by_name.values():
            is_urgent = step.job.submission.queue.rank == 0
            excluded = () if is_urgent else cell.reservations.worker_ids
            found = choosing.choose(step, fleet, cells.NOW_MS, excluded)
            assert not found, (step.name, step.spec, found)
            waiting += 1
    assert waiting > len(context.cells), waiting


@then('a job of 1 task is admitted')
def is_admitted(context):
    submission = cell_world.job('j1', cell_world.step())
    refusal = context.world.cell.check_admission(submission)
    assert refusal is None, refusal

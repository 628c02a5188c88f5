"""Steps on workers that change between a placement and its start."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import batching
from carawaymast_core.cell import placing
from carawaymast_core.cell import reports
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_lifecycle
from features import cell_world
from features import leader_parts

LABEL = 'a'


@given('a job "{job_id}" of {count:d} tasks that needs the label "{label}"')
def submit_labelled(context, job_id, count, label):
    step = cell_world.step(count, required_label=label)
    context.world.submit(cell_world.job(job_id, step))


def restart_while_storing(context, **changes):
    """Restart the worker of the first placement while it is being stored."""
    world = context.world

    def restart():
        run = next(
            run
            for worker in world.cell.worker_by_key.values()
            for run in worker.run_by_task.values()
        )
        context.restarted_id = worker_id = run.worker.worker_id
        if 'capacity' in changes:
            world.capacity_by_id[worker_id] = changes['capacity']
        runner = world.add_runner(worker_id, born_ms=2)
        entry = world.entry(runner)._replace(**changes)
        worker_lifecycle.apply_worker_entry(
            world.cell, entry, world.clock.now()
        )

    world.plan(is_sent=False, while_storing=restart)
    context.starts = [run for run, *_ in world.pending_starts]
    context.unadopted = [
        run.task.name for run in context.starts if not run.worker.is_adopted
    ]
    world.send_starts()


@when('its worker restarts under its id while it is being stored')
def restart_same_kind(context):
    restart_while_storing(context)


@when('its worker restarts as kind "{kind}" while it is being stored')
def restart_as_kind(context, kind):
    restart_while_storing(context, labels=(kind, 'r1'))


@when('its worker restarts with {cpu:d} CPU millis while it is being stored')
def restart_small(context, cpu):
    capacity = cell_world.CAPACITY._replace(cpu_millis=cpu)
    restart_while_storing(context, capacity=capacity)


@then('no start is sent to a worker that was not adopted')
def none_unadopted(context):
    assert not context.unadopted, context.unadopted


@then('no member is started')
def none_started(context):
    assert not context.starts, context.starts


@when('that worker is lost for good')
def lose_worker(context):
    world = context.world
    for _ in range(5):
        world.run_cycle()
    world.runner_by_id.pop(context.restarted_id)
    worker_lifecycle.unlist_worker(world.cell, context.restarted_id)


@then('nothing was started at a worker of kind "{kind}"')
def none_of_kind(context, kind):
    runner = context.world.runner_by_id[context.restarted_id]
    assert not runner.started, runner.started


class StartPort:
    """A worker port that counts the starts."""

    def __init__(self):
        self.started = []

    async def start(self, run, epoch, deadline_ms, timeout_ms):
        self.started.append(run.task.name)
        return reports.StartOutcome(True)


@given('a leader with a run that is stored and not started')
def stored_run(context):
    context.clock = clock_mod.ManualClock(100_000)
    context.port = StartPort()
    context.orders, worker = leader_parts.make_orders_and_worker(
        context.clock, context.port
    )
    context.cell = cell = context.orders._cell
    now_ms = context.clock.now()
    worker.entry = worker.entry._replace(
        service=cell_world.SERVICE, labels=(LABEL, 'r1')
    )
    worker.record_answer(5_000, now_ms)
    worker.is_adopted = True
    worker.lease.assume_longest(cell.max_lease_ms)
    context.worker = worker
    step = cell_world.step(required_label=LABEL)
    cell.accept(cell_world.job('j1', step), now_ms, now_ms)
    placing.plan(cell, now_ms, now_ms)
    batch = batching.collect(cell, now_ms)
    (context.run,) = batching.mark_stored(cell, batch)


@when('its worker {changes} before the start is sent')
def change_worker(context, changes):
    entry, now_ms = context.worker.entry, context.clock.now()
    if changes == 'lets its lease expire':
        context.clock.advance(60_000)
        now_ms = context.clock.now()
        worker_lifecycle.sweep(context.cell, now_ms, now_ms)
        return
    changed = {
        'restarts under its id': {'born_ms': 2},
        'is told to leave': {'is_draining': True},
        'loses the label': {'labels': ('b', 'r1')},
        'changes the service': {'service': 'other'},
    }[changes]
    worker_lifecycle.apply_worker_entry(
        context.cell, entry._replace(**changed), now_ms
    )


@then('no start is sent, and the task waits again')
def not_started(context):
    asyncio.run(context.orders.start(context.run))
    assert not context.port.started, context.port.started
    assert context.run.task.is_waiting


@given('a worker that has not answered this leader')
def unread_worker(context):
    runner = cell_world.CellWorld(1).runner_by_id['w0']
    entry = cell_world.CellWorld(1).entry(runner)
    context.worker = worker_mod.Worker(entry)


@then('it gives no deadline, and names the worker and the reason')
def no_deadline(context):
    try:
        context.worker.lease.next_deadline(1_000_000, 4_500)
    except errors.InvariantError as error:
        assert 'w0' in str(error) and 'clock' in str(error), error
    else:
        raise AssertionError('a deadline was given')
    assert not context.worker.lease.is_expired(1_000_000)


@given('the clock of a worker is far ahead')
def advance_clock(context):
    world = context.world
    world.runner_by_id['w0'].clock_ms = 500_000
    for _ in range(3):
        world.run_cycle()


@when('that worker restarts under its id and answers a renewal')
def restart_and_answer(context):
    world = context.world
    runner = world.add_runner('w0', born_ms=2)
    # The call is addressed to the former incarnation; the id is the same.
    world.renew_lease('w0')
    entry = world.entry(runner)
    now_ms = world.clock.now()
    worker_lifecycle.apply_worker_entry(world.cell, entry, now_ms)
    world.renew_lease('w0')


@when('a task that takes 60 s is started there')
def start_there(context):
    world = context.world
    world.work_ms = 60_000
    world.worker('w1').suspect_until_ms = world.clock.now() + 1
    step = cell_world.step(estimate_ms=60_000)
    world.submit(cell_world.job('j1', step))
    world.plan()
    assert world.running()['j1.0.0.0'] == ['w0'], world.running()


@when('the worker is cut off for {seconds:d} s')
def cut_off_and_watch(context, seconds):
    world = context.world
    cut = world.runner_by_id.pop('w0')
    context.overlaps_ms = []
    for _ in range(seconds * 10):
        cut.advance(100)
        world.run_cycle(100)
        if cut.running and world.running():
            context.overlaps_ms.append(world.clock.now())


@then('the task ran nowhere else while it ran there')
def no_overlap(context):
    assert not context.overlaps_ms, context.overlaps_ms


@then('it runs elsewhere now')
def runs_elsewhere(context):
    assert context.world.running()['j1.0.0.0'] == ['w1']

"""Steps on calls that reach the next incarnation of a restarted worker."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import batching
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import placing
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node.cells import ports
from features import cell_world
from features import leader_parts
from features import restart_machine


@then("the worker's own lease ends within {seconds:d} s")
def lease_ends_soon(context, seconds):
    runner = context.world.runner_by_id['w0']
    left_ms = runner.lease_until_ms - runner.clock_ms
    assert 0 < left_ms <= seconds * 1_000, left_ms


@when('a start for that worker reaches its next incarnation')
def start_at_successor(context):
    world = context.world
    world.work_ms = 60_000
    world.worker('w1').suspect_until_ms = world.clock.now() + 1
    world.submit(cell_world.job('j1', cell_world.step(estimate_ms=60_000)))
    world.plan(is_sent=False)
    world.add_runner('w0', born_ms=2)
    world.advance(100)
    world.send_starts()
    assert world.running()['j1.0.0.0'] == ['w0'], world.running()


@when(
    'the worker is cut off for {seconds:d} s, '
    'and its task ends there after {ended:d} s'
)
def end_behind_cut(context, seconds, ended):
    world = context.world
    context.cut = world.runner_by_id.pop('w0')
    for second in range(seconds):
        if second == ended:
            context.cut.end_run('j1.0.0.0', reports.EndKind.DONE)
        for _ in range(10):
            context.cut.advance(100)
            world.run_cycle(100)


@then('no other worker has started the task')
def started_nowhere_else(context):
    started = [
        runner.started for runner in context.world.runner_by_id.values()
    ]
    assert not any(started), started


@when('the worker is reached again')
def reach_worker(context):
    world = context.world
    world.runner_by_id['w0'] = context.cut
    world.run_cycle()
    world.run_cycle()


@then('the leader knows that the task is done')
def knows_done(context):
    world = context.world
    assert world.cell.find_task('j1.0.0.0') is None, world.running()
    assert world.view.phase('j1') is records.JobPhase.COMPLETED


@when('the worker of the lost start is suspected')
def suspect_worker_of_lost_start(context):
    (lost,) = context.late
    lost[0].worker.suspect_until_ms = context.world.clock.now() + 60_000


@when('the worker of the lost start restarts and answers a renewal')
def restart_worker_of_lost_start(context):
    world = context.world
    (lost,) = context.late
    worker_id = lost[0].worker.worker_id
    assert world.running()['j1.0.0.0'] != [worker_id], world.running()
    restart(world, worker_id)


def restart(world, worker_id):
    """Restart a runner under its id; the leader reads its entry and lists."""
    runner = world.add_runner(worker_id, born_ms=2)
    worker_lifecycle.apply_worker_entry(
        world.cell, world.entry(runner), world.clock.now()
    )
    world.renew_lease(worker_id)


@given(
    'a worker where {count:d} tasks have ended, and a renewal under way to it'
)
def end_tasks(context, count):
    world = context.world
    world.submit(cell_world.job('j0', cell_world.step(count)))
    world.run_until('j0', records.JobPhase.COMPLETED)
    world.run_cycle()
    worker = world.worker('w0')
    deadline_ms = worker.lease.next_deadline(
        world.clock.now(), cell_world.LEASE_MS
    )
    context.renewal = worker.fencing_token, worker.ack_number, deadline_ms
    assert worker.ack_number >= count, worker.ack_number


@when('a task ends there just before the renewal arrives')
def end_before_renewal(context):
    world = context.world
    world.submit(cell_world.job('j1', cell_world.step()))
    world.run_cycle()
    assert world.running()['j1.0.0.0'] == ['w0']
    world.advance(world.work_ms)
    assert not world.running()
    world.runner_by_id['w0'].renew_lease(*context.renewal)


@then('the leader reads that the task is done, and it runs once')
def is_done_once(context):
    world = context.world
    world.run_until('j1', records.JobPhase.COMPLETED)
    started = world.runner_by_id['w0'].started
    assert started == [('j1.0.0.0', 1)], started


class StaleCalls:
    """A worker port whose calls wait, and are refused as stale in the end."""

    def __init__(self):
        self.arrived = asyncio.Event()
        self.refused = asyncio.Event()

    async def renew_lease(self, *call):
        self.arrived.set()
        await self.refused.wait()
        raise ports.WorkerFencedError('w0')

    async def start(self, *call):
        self.arrived.set()
        await self.refused.wait()
        return reports.StartOutcome(True, reports.StartRefusal.FENCED)


@given('a leader whose {call} is under way to a worker')
def leader_with_call(context, call):
    context.call = call
    context.clock = clock_mod.ManualClock(100_000)
    context.port = StaleCalls()
    context.fenced = []
    context.orders, context.worker = leader_parts.make_orders_and_worker(
        context.clock, context.port, on_fenced=context.fenced.append
    )


@when('that worker restarts under its id, and refuses the call as stale')
def refuse_as_stale(context):
    async def play():
        call = asyncio.create_task(begin_call(context))
        await context.port.arrived.wait()
        entry = context.worker.entry._replace(born_ms=2)
        worker_lifecycle.apply_worker_entry(
            context.orders._cell, entry, context.clock.now()
        )
        context.port.refused.set()
        await call

    asyncio.run(play())


async def begin_call(context):
    """Renew the lease until the incarnation is gone, or start a run there."""
    worker, cell = context.worker, context.orders._cell
    if context.call == 'renewal':
        await context.orders.keep_lease_renewed(worker)
        return
    now_ms = context.clock.now()
    worker.entry = worker.entry._replace(service=cell_world.SERVICE)
    worker.record_answer(5_000, now_ms)
    worker.is_adopted = True
    cell.accept(cell_world.job('j1', cell_world.step()), now_ms, now_ms)
    placing.plan(cell, now_ms, now_ms)
    batch = batching.collect(cell, now_ms)
    (run,) = batching.mark_stored(cell, batch)
    await context.orders.start(run)


@then('the leader leads on')
def leads_on(context):
    assert not context.fenced, context.fenced


@given('a start that reached a restarted worker and is stored')
def start_at_restarted(context):
    world = context.world
    world.work_ms = 60_000
    context.former = world.runner_by_id['w0']
    restart(world, 'w0')
    world.worker('w1').suspect_until_ms = world.clock.now() + 1
    world.submit(cell_world.job('j1', cell_world.step(estimate_ms=60_000)))
    world.plan()
    assert world.running()['j1.0.0.0'] == ['w0'], world.running()


@when("another leader takes over with the worker's entry before its restart")
def take_over_with_old_entry(context):
    world = context.world
    present = world.runner_by_id.pop('w0')
    world.take_over(listed=[context.former])
    world.runner_by_id['w0'] = present


@then('it has one incarnation of that worker, the later one')
def has_later_incarnation(context):
    born_ms = [
        worker.born_ms
        for worker in context.world.cell.worker_by_key.values()
        if worker.worker_id == 'w0'
    ]
    assert born_ms == [2], born_ms


@when('the worker of the start restarts, is listed and cut off')
def restart_cut_off(context):
    world = context.world
    ((run, *_),) = context.late
    assert run.worker.worker_id == 'w0'
    context.cut = world.add_runner('w0', born_ms=2)
    del world.runner_by_id['w0']
    worker_lifecycle.apply_worker_entry(
        world.cell, world.entry(context.cut), world.clock.now()
    )
    context.overlaps_ms = []


@when('the leader waits for {seconds:d} s')
def wait_beside_cut(context, seconds):
    world = context.world
    for _ in range(seconds * 10):
        context.cut.advance(100)
        world.run_cycle(100)
        if context.cut.running and world.running():
            context.overlaps_ms.append(world.clock.now())


@when('another leader follows for {seconds:d} s')
def follow_beside_cut(context, seconds):
    context.world.take_over(listed=[context.cut])
    wait_beside_cut(context, seconds)


@when('the start arrives there, and {seconds:d} s pass')
def deliver_to_cut(context, seconds):
    ((run, fencing_token, deadline_ms),) = context.late
    outcome = context.cut.start(
        fencing_token, run.task.name, run.run_id, deadline_ms, 60_000
    )
    assert outcome.is_running, outcome
    wait_beside_cut(context, seconds)


@given('a task with a ticket for that worker')
def add_ticket(context):
    world = context.world
    policy = spec.AdvicePolicy(1, 1, 60_000)
    world.submit(
        cell_world.job(
            'j1', cell_world.step(), policy=cell_world.queue(advice=policy)
        )
    )
    context.step = world.cell.find_task('j1.0.0.0').step
    context.step.advice.apply_answer(
        ['w0'], {'w0': 'ticket'}, world.clock.now(), 60_000
    )


@then('the task waits, and a new ticket is asked for')
def waits_for_ticket(context):
    world = context.world
    world.plan()
    assert not world.running(), world.running()
    now_ms = world.clock.now()
    needed = list(placing.steps_needing_advice(world.cell, now_ms, now_ms))
    assert needed == [(context.step, ['w0'])], needed


@given('a platform that grants leases of up to {seconds:d} s')
def cell_with_long_leases(context, seconds):
    context.cell = cell_mod.Cell(
        1, cell_world.LEASE_MS, lambda *event, **fields: None, seconds * 1_000
    )


@when('a leader reads the entry of a worker that it cannot reach')
def read_entry(context):
    world = cell_world.CellWorld(1)
    context.read_at_ms = world.clock.now()
    context.worker = worker_lifecycle.apply_worker_entry(
        context.cell,
        world.entry(world.runner_by_id['w0']),
        context.read_at_ms,
    )


@then(
    "it counts the worker's lease as expired after {late:d} s, "
    'not after {early:d} s'
)
def expires_after(context, late, early):
    lease, read_at_ms = context.worker.lease, context.read_at_ms
    assert not lease.is_expired(read_at_ms + early * 1_000)
    # The worker's clock may be 2% slow.
    assert lease.is_expired(read_at_ms + int(late * 1_000 / 0.98) + 1)


@when('its worker is cut off, with a lease longer than any, for {seconds:d} s')
def cut_off_with_long_lease(context, seconds):
    world = context.world
    (context.worker_id,) = world.running()['j1.0.0.0']
    context.cut = world.runner_by_id.pop(context.worker_id)
    context.cut.lease_until_ms += 60_000
    (other_id,) = world.runner_by_id
    context.other = world.worker(other_id)
    context.other.suspect_until_ms = world.clock.now() + 60_000
    for _ in range(seconds * 10):
        context.cut.advance(100)
        world.run_cycle(100)


@when('no other worker is usable before it is reached again')
def reach_with_run(context):
    world = context.world
    assert not world.running(), world.running()
    assert 'j1.0.0.0' in context.cut.running
    world.runner_by_id[context.worker_id] = context.cut
    context.other.suspect_until_ms = 0
    for _ in range(30):
        world.run_cycle()
        world.check_runners()


@then('the task goes on there, and was started once')
def goes_on(context):
    world = context.world
    assert world.running()['j1.0.0.0'] == [context.worker_id], world.running()
    started = [runner.started for runner in world.runner_by_id.values()]
    assert sum(map(len, started)) == 1, started


@given('two workers where tasks have ended, and a start of "j4" under way')
def start_under_way(context):
    machine = context.machine = restart_machine.RestartMachine()
    for _ in range(3):
        machine.submit(2, False, restart_machine.SHORT_WORK_MS)
        machine.run_cycles(12)
    machine.run_cycles(20)
    machine.submit(1, False, restart_machine.SHORT_WORK_MS)
    machine.lose_starts(False)


@given('a renewal under way to the same worker')
def renewal_under_way(context):
    (start,) = context.machine.late_calls
    context.worker_id = start.worker_key[0]
    worker = context.machine.world.worker(context.worker_id)
    assert worker.ack_number > 0
    worker.silent_since_ms = None
    context.machine.lose_renewal(context.worker_id)


@when('that worker restarts behind a cut, and the start arrives there')
def restart_behind_cut(context):
    machine = context.machine
    machine.restart(context.worker_id, True, True, 1.0)
    machine.run_cycles(1)
    machine.deliver_late_call(0)
    assert machine.started[-1] == 'j4.0.0.0', machine.started


@when('the task ends there before the renewal arrives')
def end_before_late_renewal(context):
    machine = context.machine
    machine.run_cycles(10)
    machine.deliver_late_call(0)
    assert 'j4.0.0.0' in machine.acknowledged, machine.acknowledged


@then('the task is not started again')
def not_started_again(context):
    # The machine asserts it at each start.
    machine = context.machine
    machine.reconnect()
    machine.run_cycles(80)
    assert machine.started.count('j4.0.0.0') == 1, machine.started

"""Steps on one cell, its leaders and in-memory runners."""

import asyncio
import types

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import candidacy
from carawaymast_core.cell import lag
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node.cells import ports
from features import cell_world
from features import leader_parts

FAILED = reports.EndKind.FAILED
BROKEN = reports.EndKind.BROKEN
TICKET_VALID_MS = 60_000


@given('a cell of {count:d} workers')
def make_cell(context, count):
    context.world = cell_world.CellWorld(count)


@given('a job "{job_id}" of {first:d} tasks and then {second:d} tasks')
def submit_job(context, job_id, first, second):
    context.world.submit(
        cell_world.job(
            job_id,
            cell_world.step(first),
            cell_world.step(second, after=(0,)),
        )
    )


@given('a job "{job_id}" of {count:d} tasks with tickets for all workers')
def submit_ticketed_job(context, job_id, count):
    world = context.world
    policy = cell_world.queue(advice=spec.AdvicePolicy(1, 1, TICKET_VALID_MS))
    world.submit(cell_world.job(job_id, cell_world.step(count), policy=policy))
    ticket_by_id = {
        runner_id: runner.ticket()
        for runner_id, runner in world.runner_by_id.items()
    }
    advice = world.cell.find_task(f'{job_id}.0.0.0').step.advice
    advice.apply_answer(
        list(ticket_by_id), ticket_by_id, world.clock.now(), TICKET_VALID_MS
    )


@given('a gang "{job_id}" of {count:d} tasks of {cpu:d} processors')
def submit_gang(context, job_id, count, cpu):
    step = cell_world.gang(count, cpu * 1_000)
    context.world.submit(cell_world.job(job_id, step))


@given('a gang "{job_id}" of {count:d} tasks, at most {limit:d} on a worker')
def submit_spread_gang(context, job_id, count, limit):
    step = cell_world.gang(count, max_per_worker=limit)
    context.world.submit(cell_world.job(job_id, step))


@given('tasks that take {seconds:d} s')
def slow_tasks(context, seconds):
    context.world.work_ms = seconds * 1_000


@given('the leader has started them')
def started(context):
    context.world.plan()
    assert context.world.running()


@given('the leader has led for {seconds:d} s')
def led_for(context, seconds):
    pass_time(context, seconds)


@given('the leader has stored but not sent their starts')
def store_starts(context):
    world = context.world
    world.plan(is_sent=False)
    context.late = list(world.pending_starts)
    assert context.late


@given('every run of task "{task}" fails')
def task_fails(context, task):
    context.world.fails = lambda name: name == task


@given('the first run of "{job_id}" fails in two members')
def gang_fails_once(context, job_id):
    world = context.world
    world.plan()
    members = sorted(world.running())
    for number, task in enumerate(members):
        runner = world.runner_by_id[world.running()[task][0]]
        how = FAILED if number < 2 else BROKEN
        runner.end_run(task, how)


@given('the leader plans')
@when('the leader plans')
def plan(context):
    context.world.plan()


@when('time passes until "{job_id}" is {phase}')
def run_until(context, job_id, phase):
    context.world.run_until(job_id, records.JobPhase(phase))


@when('another leader takes over')
def take_over(context):
    context.world.take_over()


@when('the late starts arrive')
@when('the lost starts arrive late')
def late_starts(context):
    world = context.world
    for run, fencing_token, deadline_ms in context.late:
        world.deliver_start(run, fencing_token, deadline_ms)
        world.check_runners()


@when('the starts are lost on their way')
def lose_starts(context):
    world = context.world
    world.plan(is_sent=False)
    context.late = list(world.pending_starts)
    for runner in world.runner_by_id.values():
        runner.is_up = False
    world.send_starts()
    for runner in world.runner_by_id.values():
        runner.is_up = True


@when('the leader has found that no worker lists them')
def find_absent(context):
    world = context.world
    world.run_cycle()
    world.run_cycle()
    assert world.running()


@when('a worker is cut off for {seconds:d} s')
def cut_off(context, seconds):
    world = context.world
    context.cut = world.runner_by_id.pop('w0')
    context.cut_tasks = set(context.cut.running)
    assert context.cut_tasks
    pass_time(context, seconds)


@when('it stays cut off for {seconds:d} s more')
def stay_cut_off(context, seconds):
    pass_time(context, seconds)


@when('a worker restarts under the same id')
def restart_worker(context):
    world = context.world
    runner = world.add_runner('w0', born_ms=2)
    worker_lifecycle.apply_worker_entry(
        world.cell, world.entry(runner), world.clock.now()
    )


@when('a worker restarts under the same id, unlisted')
def restart_worker_unlisted(context):
    context.world.add_runner('w0', born_ms=2)


@when('a leader takes over without the records of their placement')
def take_over_without_state(context):
    world = context.world
    world.state_by_key.clear()
    world.take_over()


@then('the leader counts the capacity used by the runs there')
def counts_running(context):
    world = context.world
    worker = world.worker('w0')
    used = world.capacity.minus(worker.free)
    running = len(world.runner_by_id['w0'].running)
    assert running > 0
    assert used.cpu_millis >= running * 1_000, (used, running)


@when('{seconds:d} s pass')
def pass_time(context, seconds):
    world = context.world
    for _ in range(seconds * 10):
        cut = getattr(context, 'cut', None)
        if cut is not None:
            cut.advance(100)
        world.run_cycle(100)
        world.check_runners()


@when('"{job_id}" is cancelled')
def cancel(context, job_id):
    context.world.cancel(job_id)


@when('its submission arrives once more at a new leader')
def submit_again(context):
    world = context.world
    world.take_over()
    submission = world.view.submission_by_id['j1']
    world.view.apply_intake('j1', records.encode(submission))
    now_ms = world.clock.now()
    world.cell.sync_job(world.view, 'j1', now_ms, now_ms)


@then('no task of the second step began before the first was done')
def in_order(context):
    done = set()
    for event_type, fields in context.world.events:
        if event_type == 'run_ended' and fields['how'] == 'done':
            task = fields['task']
            if '.0.1.' in task:
                assert len(done) == 4, f'{task} ended after {done} only'
            else:
                done.add(task)


@then('all members of "{job_id}" run under one run id')
def gang_runs_whole(context, job_id):
    run_ids = set()
    total = 0
    for runner in context.world.runner_by_id.values():
        for task, run in runner.running.items():
            assert task.startswith(job_id)
            run_ids.add(run.run_id)
            total += 1
    assert total == 6, total
    assert len(run_ids) == 1, run_ids


@then('nothing runs')
@then('nothing is left at the workers')
def nothing_runs(context):
    world = context.world
    for _ in range(3):
        world.run_cycle()
    assert not world.running(), dict(world.running())
    assert all(not w.run_by_task for w in world.cell.worker_by_key.values())


@then('each task was started once')
def started_once(context):
    started = _started(context)
    assert len(started) == len(set(started)), started


@then('no task ran in two places at once')
def one_place(context):
    context.world.check_runners()


@then('its tasks run nowhere else')
def nowhere_else(context):
    elsewhere = context.cut_tasks & set(context.world.running())
    assert not elsewhere, elsewhere


@then('its tasks run elsewhere')
def elsewhere(context):
    assert not context.cut.running, context.cut.running
    missing = context.cut_tasks - set(context.world.running())
    assert not missing, missing


@then('task "{task}" was started {count:d} times')
def started_times(context, task, count):
    names = [name for name, _ in _started(context)]
    assert names.count(task) == count, names.count(task)


def _started(context):
    return [
        pair
        for runner in context.world.runner_by_id.values()
        for pair in runner.started
    ]


@when('an event loop is {late:d} ms late in {iterations:d} iterations')
def late_iterations(context, late, iterations):
    context.meter = lag.LagMeter()
    for _ in range(iterations):
        context.meter.record_lag(late)


@then('the node counts as slow: {answer}')
def counts_as_slow(context, answer):
    assert context.meter.is_slow == (answer == 'yes'), context.meter.average_ms


@given('a leader of {speed:g} cores that has led for {term:d} ms')
def leader_of_speed(context, speed, term):
    context.speed = speed
    context.term_ms = term


@given('its peers have "{peers}" cores')
def peers_of_speed(context, peers):
    context.peer_speeds = [float(text) for text in peers.split()]


@given('its peers have "" cores')
def no_peers(context):
    context.peer_speeds = []


@then('it stays: {stays}, and waits {wait:d} ms before it claims')
def stays_or_not(context, stays, wait):
    peers = [types.SimpleNamespace(speed=s) for s in context.peer_speeds]
    better = candidacy.better_peers(
        context.speed, peers, False, context.term_ms
    )
    assert bool(better) == (stays == 'no'), better
    found = candidacy.claim_delay_ms(context.speed, context.peer_speeds)
    assert found == wait, found


class UnreliableWorkerPort:
    """A worker port that answers call ``n`` only if ``answered[n]``.

    Each call takes ``call_ms``. After the last one the worker is gone, which
    ends the renewals.
    """

    def __init__(self, clock):
        self._clock = clock
        self.answered = [True, True]
        self.call_ms = 100
        self.deadlines = []

    async def renew_lease(
        self, worker, epoch, deadline_ms, wait_ms, timeout_ms
    ):
        is_answered = self.answered[len(self.deadlines)]
        self.deadlines.append(deadline_ms)
        self._clock.advance(self.call_ms)
        worker.is_gone = len(self.deadlines) == len(self.answered)
        if not is_answered:
            raise ports.WorkerError('no answer')
        return reports.LeaseRenewal(self._clock.now(), 1, (), ())


def renew_until_gone(context):
    context.worker.is_gone = False
    asyncio.run(context.orders.keep_lease_renewed(context.worker))


@given('a leader that has renewed the lease of a worker')
def renewed(context):
    context.clock = clock_mod.ManualClock(10_000)
    context.port = UnreliableWorkerPort(context.clock)
    context.orders, context.worker = leader_parts.make_orders_and_worker(
        context.clock, context.port
    )
    renew_until_gone(context)
    assert context.port.deadlines[-1] is not None


@when('{count:d} calls in {seconds:d} s are not answered')
def unanswered(context, count, seconds):
    context.unanswered = count
    context.port.answered += [False] * count
    context.port.call_ms = seconds * 1_000 // count
    renew_until_gone(context)


@when('the next {count:d} are answered')
def next_answered(context, count):
    context.port.answered += [True] * count
    context.port.call_ms = 100
    renew_until_gone(context)


@then("the worker's lease counts as expired")
def lease_expired(context):
    assert context.worker.lease.is_expired(context.clock.now())


@then('none of the unanswered calls but the first renewed it')
def not_renewed(context):
    last = context.port.deadlines[-context.unanswered + 1 :]
    assert set(last) == {None}, last


@then('the last of them renewed the lease')
def renewed_again(context):
    assert context.port.deadlines[-2] is None, context.port.deadlines
    assert context.port.deadlines[-1] is not None, context.port.deadlines
    assert not context.worker.lease.is_expired(context.clock.now())

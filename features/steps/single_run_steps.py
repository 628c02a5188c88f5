"""Steps on what may still begin a second run, or end one that is sound."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import answers
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import reports
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node.cells import confirmation as confirmation_mod
from carawaymast_node.cells import orders as orders_mod
from carawaymast_node.cells import ports
from features import cell_world

WORK_MS = 300_000
TASK = 'j1.0.0.0'
FIRST_CLOCK_MS = 1_000_000


class _Clock:
    def __init__(self, world):
        self._world = world

    def now(self):
        return self._world.clock.now()

    since_boot = wall = now


class _Silent:
    """A log and metrics that nobody reads."""

    def log_event(self, *args, **fields):
        pass

    def count(self, *args):
        pass

    def record_ms(self, *args):
        pass


class _Port:
    """Workers of which the test decides what calls lead to."""

    def __init__(self):
        self.started = []
        self.while_renewing = lambda: None

    async def start(self, run, *args):
        self.started.append(run)
        return reports.StartOutcome(True)

    async def renew_lease(self, *args):
        self.while_renewing()
        raise ports.WorkerError('no answer')


def _orders(world, port):
    confirmation = confirmation_mod.Confirmation(_Clock(world))
    callbacks = orders_mod.LeaderCallbacks(
        lambda: None, lambda reason: None, confirmation, asyncio.Event
    )
    quiet = _Silent()
    made = orders_mod.Orders(
        _Clock(world), quiet, quiet, port, world.cell, callbacks
    )
    return made, confirmation


def _begin(context, *steps, workers=2):
    """Leave the starts of a job's first step under way."""
    world = context.world = cell_world.CellWorld(workers)
    world.work_ms = WORK_MS
    for runner in world.runner_by_id.values():
        runner.clock_ms = FIRST_CLOCK_MS
    world.renew_leases()
    world.submit(cell_world.job('j1', *steps))
    world.plan(is_sent=False)
    context.calls, world.pending_starts = world.pending_starts, []
    context.cut_off = []


def _fail(context, run):
    answers.apply_start_outcome(
        context.world.cell,
        run,
        cell_world.NO_ANSWER,
        context.world.clock.now(),
    )


def _cycle(context, ms=10):
    world = context.world
    began_ms = world.clock.now()
    world.advance(ms)
    world.renew_leases()
    world.plan()
    # Calls take time too.
    for runner in context.cut_off:
        runner.advance(world.clock.now() - began_ms)


def _places(context, task=TASK):
    runners = [*context.world.runner_by_id.values(), *context.cut_off]
    return [r.runner_id for r in runners if task in r.running]


def _list_worker(context, runner, **more):
    world = context.world
    worker_lifecycle.apply_worker_entry(
        world.cell, world.entry(runner, **more), world.clock.now()
    )


def _arrive(context, call):
    run, token, deadline_ms = call
    worker_id = run.worker.worker_id
    context.world.advance(1_000)
    runner = context.world.add_runner(worker_id, 2)
    return runner.start(token, run.task.name, run.run_id, deadline_ms, WORK_MS)


@given('a running {kind} of {count:d} tasks on as many workers')
def running_job(context, kind, count):
    more = {'is_service': True, 'may_miss': 1} if kind == 'service' else {}
    _begin(context, cell_world.step(count, cpu=9_000, **more), workers=count)
    context.world.pending_starts = context.calls
    context.world.send_starts()
    for _ in range(5):
        _cycle(context, 100)


@when('another leader follows whose list lacks the workers, all alive')
def unlisted_takeover(context):
    world = context.world
    runners = dict(world.runner_by_id)
    world.runner_by_id.clear()
    world.take_over()
    world.runner_by_id.update(runners)


@when('it plans before the workers have answered, and 2 s pass')
def plan_first(context):
    context.world.plan()
    for _ in range(20):
        _cycle(context, 100)


@then('no task was stopped')
def none_stopped(context):
    ended = [
        (runner_id, end.task, end.how)
        for runner_id, runner in context.world.runner_by_id.items()
        for end in runner.ended
    ]
    assert not ended, ended


@given('a start under way as its worker begins to drain')
def draining_start(context):
    _begin(context, cell_world.step(is_checkpointing=True))
    ((run, *_),) = context.calls
    runner = context.world.runner_by_id[run.worker.worker_id]
    _list_worker(context, runner, is_draining=True, remaining_ms=20_000)
    context.call = context.calls[0]


@given('a start under way as another member of its gang is refused')
def refused_gang(context):
    _begin(context, cell_world.gang(2, cpu=9_000), workers=4)
    (first, *_), context.call = context.calls
    refusal = reports.StartRefusal.NO_ROOM
    answers.apply_start_outcome(
        context.world.cell,
        first,
        reports.StartOutcome(True, refusal),
        context.world.clock.now(),
    )


@when('a stop is answered and a list read before the start times out')
def stop_first(context):
    run = context.call[0]
    run.worker.suspect_until_ms = context.world.clock.now() + 9_000
    context.world.plan(is_sent=False)
    _cycle(context)
    context.world.advance(60)
    _fail(context, run)
    _cycle(context)


@when('the worker restarts under its id, and the start arrives there')
def restart_and_arrive(context):
    _arrive(context, context.call)


@then('the task of that start runs at one worker at most')
def one_place(context):
    places = _places(context, context.call[0].task.name)
    assert len(places) <= 1, places


@given('a service whose start was repeated, and which then ends as done')
def service_done(context):
    _begin(context, cell_world.step(is_service=True, may_miss=1))
    context.call = context.calls[0]
    run = context.call[0]
    context.world.advance(100)
    _fail(context, run)
    for _ in range(3):
        _cycle(context)
    assert _places(context) == [run.worker.worker_id]
    context.world.worker(run.worker.worker_id).suspect_until_ms = (
        context.world.clock.now() + 5_000
    )
    runner = context.world.runner_by_id[run.worker.worker_id]
    runner.end_run(TASK, reports.EndKind.DONE)
    for _ in range(3):
        _cycle(context)


@given('a task whose start was repeated, and runs for {seconds:d} s')
def repeated(context, seconds):
    _begin(context, cell_world.step())
    context.call = context.calls[0]
    context.world.advance(100)
    _fail(context, context.call[0])
    for _ in range(10 * seconds):
        _cycle(context, 100)


@when('its worker restarts while a renewal is under way, and is cut off')
def restart_in_renewal(context):
    world = context.world
    worker = world.worker(context.call[0].worker.worker_id)
    port = _Port()
    context.sent_at_ms = world.clock.now()
    context.renewal_token = worker.fencing_token

    def restart():
        world.advance(600)
        runner = world.add_runner(worker.worker_id, 2)
        _list_worker(context, runner)
        del world.runner_by_id[worker.worker_id]
        context.cut_off.append(runner)
        world.advance(800)
        runner.advance(800)

    port.while_renewing = restart
    made, _ = _orders(world, port)
    try:
        asyncio.run(made._renew_lease(worker))
    except ports.WorkerError:
        pass
    context.renewal_deadline_ms = FIRST_CLOCK_MS + 10_000


@when('the start and the renewal arrive there within 12 s of their sending')
def late_calls(context):
    world = context.world
    run, token, deadline_ms = context.call
    (runner,) = context.cut_off
    context.overlaps_ms = []
    times = {
        run.late_until_ms - 100: lambda: runner.start(
            token, TASK, run.run_id, deadline_ms, WORK_MS
        ),
        context.sent_at_ms + late_starts.LATE_CALL_MS - 100: (
            lambda: runner.renew_lease(
                context.renewal_token, 0, context.renewal_deadline_ms
            )
        ),
    }
    while world.clock.now() < context.sent_at_ms + 40_000:
        for at_ms in [t for t in times if t <= world.clock.now()]:
            times.pop(at_ms)()
        _cycle(context, 50)
        if len(_places(context)) > 1:
            context.overlaps_ms.append(world.clock.now() - context.sent_at_ms)


@then('the task never ran at two workers')
def never_two(context):
    found = context.overlaps_ms
    assert not found, f'from {found[0]} to {found[-1]} ms'


@given('a repeated start that waits for the store, as a list shows the run')
def waiting_repeat(context):
    _begin(context, cell_world.step())
    run, token, deadline_ms = context.calls[0]
    world = context.world
    context.call = context.calls[0]
    world.advance(100)
    _fail(context, run)
    world.advance(10)
    world.renew_leases()
    world.plan(is_sent=False)
    assert [r for r, *_ in world.pending_starts] == [run]
    world.pending_starts = []
    runner = world.runner_by_id[run.worker.worker_id]
    runner.start(token, TASK, run.run_id, deadline_ms, WORK_MS)


@when('the store is slow for 13 s, the worker drains, and the store is back')
def slow_store(context):
    world = context.world
    run = context.call[0]
    port = _Port()
    made, confirmation = _orders(world, port)

    async def wait_and_start():
        start = asyncio.ensure_future(made.start(run))
        await asyncio.sleep(0)
        for _ in range(130):
            world.advance(100)
            world.renew_leases()
            world.plan(is_sent=False)
        runner = world.runner_by_id[run.worker.worker_id]
        _list_worker(context, runner, is_draining=True, remaining_ms=20_000)
        confirmation.confirm(world.clock.now())
        await start

    asyncio.run(wait_and_start())
    world.plan()


@given('a start that waits for the store')
def waiting_start(context):
    _begin(context, cell_world.step(cpu=9_000))
    context.call = context.calls[0]


@when('its worker shrinks below the size of the task, and the store is back')
def shrink_while_waiting(context):
    world = context.world
    run = context.call[0]
    context.port = _Port()
    made, confirmation = _orders(world, context.port)

    async def wait_and_start():
        start = asyncio.ensure_future(made.start(run))
        await asyncio.sleep(0)
        world.advance(2_000)
        world.set_capacity(run.worker.worker_id, 500)
        world.plan(is_sent=False)
        confirmation.confirm(world.clock.now())
        await start

    asyncio.run(wait_and_start())


@then('that start is not sent')
def not_sent(context):
    assert not context.port.started, context.port.started


@when('another leader follows that never reaches the worker')
def follow(context):
    _begin(context, cell_world.step())
    world = context.world
    context.call = context.calls[0]
    world.pending_starts = context.calls
    world.send_starts()
    _cycle(context, 100)
    runner = world.runner_by_id.pop(context.call[0].worker.worker_id)
    world.take_over(listed=[runner])
    context.worker = world.worker(runner.runner_id)


@then(
    'it counts with renewals of its predecessor for as long as they may come'
)
def counts_renewals(context):
    (run,) = context.worker.run_by_task.values()
    taken_over_ms = run.late_until_ms - (
        late_starts.MAX_UNCONFIRMED_START_MS + late_starts.LATE_CALL_MS
    )
    until_ms = (
        taken_over_ms
        + late_starts.MAX_UNCONFIRMED_RENEWAL_MS
        + late_starts.LATE_CALL_MS
    )
    assert context.worker.lease.late_until_ms >= until_ms, (
        until_ms - context.worker.lease.late_until_ms
    )

"""Steps on workers whose tasks slow down or stand still."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import records
from features import cell_world

CYCLE_MS = 100
MS_PER_S = 1_000
# Two such tasks fill a worker.
TASK_CPU = cell_world.CAPACITY.cpu_millis // 2


def submit(context, job_id, tasks, work_ms, **more):
    """Submit an urgent job of tasks, two of which fill a worker."""
    world = context.world
    world.work_ms = work_ms
    step = cell_world.step(tasks, TASK_CPU, estimate_ms=work_ms, **more)
    policy = cell_world.queue(rank=0, name='checks')
    now_ms = world.clock.now()
    world.submit(
        cell_world.job(job_id, step, policy=policy, accepted_at_ms=now_ms)
    )
    world.plan()


def run_for(context, seconds, until=lambda: False):
    """Run cycles until a condition holds; return the seconds that passed."""
    world = context.world
    began_ms = world.clock.now()
    while world.clock.now() - began_ms < seconds * MS_PER_S and not until():
        world.run_cycle(CYCLE_MS)
        world.check_runners()
    return (world.clock.now() - began_ms) / MS_PER_S


def suspicions(context):
    return [
        (fields['worker'], fields['why'])
        for event_type, fields in context.world.events
        if event_type == 'worker_suspected'
    ]


@given(
    'a cell of {count:d} workers, each with {tasks:d} urgent tasks of '
    '{ms:d} ms'
)
def make_busy_cell(context, count, tasks, ms):
    context.world = cell_world.CellWorld(count)
    submit(context, 'j1', count * tasks, ms)
    assert len(context.world.running()) == count * tasks


@given('a cell of {count:d} workers, where "{name}" takes {x:d} times as long')
def make_uneven_cell(context, count, name, x):
    context.world = cell_world.CellWorld(count)
    context.world.slowdown_by_id[name] = x


@when('the tasks of worker "{name}" stand still after {ms:d} ms')
def stand_still(context, name, ms):
    run_for(context, ms / MS_PER_S)
    runner = context.world.runner_by_id[name]
    runner.is_stalled = True
    context.started_before = len(runner.started)
    context.stalled_tasks = set(runner.running)
    assert context.stalled_tasks


@when('{seconds:d} s go by')
def go_by(context, seconds):
    run_for(context, seconds)


@when('a step of {tasks:d} urgent tasks of {ms:d} ms starts on all of them')
def start_step(context, tasks, ms):
    submit(context, 'j1', tasks, ms)


@when('a step of {tasks:d} tasks of {ms:d} ms starts, of which copies may run')
def start_speculative(context, tasks, ms):
    submit(context, 'j1', tasks, ms, is_speculative=True)


@then('within {seconds:g} s worker "{name}" is suspected as "{why}"')
def suspected(context, seconds, name, why):
    run_for(context, seconds, lambda: (name, why) in suspicions(context))
    assert (name, why) in suspicions(context), suspicions(context)


@then('no worker is suspected')
def none_suspected(context):
    assert not suspicions(context), suspicions(context)


@then('its urgent tasks run elsewhere within {seconds:d} s more')
def run_elsewhere(context, seconds):
    def have_moved():
        runners = context.world.running()
        return all(
            runners.get(task, ['w0']) != ['w0']
            for task in context.stalled_tasks
        )

    run_for(context, seconds + CYCLE_MS / MS_PER_S, have_moved)
    assert have_moved(), context.world.running()


@then('no task starts at "{name}" for {seconds:d} s')
def none_starts(context, name, seconds):
    submit(context, 'j2', 12, 500)
    run_for(context, seconds)
    runner = context.world.runner_by_id[name]
    assert len(runner.started) == context.started_before, runner.started


@then('the job is completed within {seconds:g} s')
def completed_within(context, seconds):
    view = context.world.view
    completed = records.JobPhase.COMPLETED
    run_for(context, seconds, lambda: view.phase('j1') is completed)
    assert view.phase('j1') is completed, context.world.running()


@then('no copy has started after {seconds:g} s')
def no_copy(context, seconds):
    run_for(context, seconds)
    events = [event_type for event_type, _ in context.world.events]
    assert 'copy_placed' not in events, events

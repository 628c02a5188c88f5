"""Steps on workers that crash, by a task or by themselves."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import records
from carawaymast_core.cell import worker_lifecycle
from features import cell_world

CYCLE_MS = 100


@given(
    'a job "{job_id}" of {count:d} tasks, of which the first crashes its '
    'workers'
)
def submit_crashing(context, job_id, count):
    _submit_crashing(context, job_id, cell_world.step(count))


@given('{shape} "{job_id}" of which the first task crashes its workers')
def submit_crashing_shape(context, shape, job_id):
    now_ms = context.world.clock.now()
    step = {
        'a gang': lambda: cell_world.gang(4),
        'a service': lambda: cell_world.step(4, is_service=True, may_miss=1),
        'a step with copies': lambda: cell_world.step(4, is_speculative=True),
        'a job that repeats': lambda: cell_world.step(4),
    }[shape]()
    repeats = {}
    if shape == 'a job that repeats':
        repeats = {
            'occurrences': 2,
            'first_at_ms': now_ms + 500,
            'interval_ms': 1_000,
        }
    _submit_crashing(context, job_id, step, **repeats)


def _submit_crashing(context, job_id, step, **repeats):
    world = context.world
    submission = cell_world.job(job_id, step, accepted_at_ms=world.clock.now())
    spec = submission.spec._replace(**repeats)
    world.crashes_runners = lambda task: task == f'{job_id}.0.0.0'
    world.submit(submission._replace(spec=spec))


@given('{jobs:d} jobs of {count:d} tasks')
@when('{jobs:d} jobs of {count:d} tasks are submitted')
def submit_jobs(context, jobs, count):
    world = context.world
    context.other_ids = [f'j{number}' for number in range(jobs)]
    for job_id in context.other_ids:
        world.submit(
            cell_world.job(
                job_id,
                cell_world.step(count),
                accepted_at_ms=world.clock.now(),
            )
        )


@given('starts that are not answered before a crash')
def crashing_starts_unanswered(context):
    context.world.is_crashing_start_answered = False


@given('workers that keep their ids')
def keep_ids(context):
    context.world.keeps_id = True


@when(
    'another leader takes over during each restart until "{job_id}" is failed'
)
def take_over_during_restarts(context, job_id):
    world = context.world
    crashes = 0
    for _ in range(400):
        world.run_cycle(CYCLE_MS)
        world.check_runners()
        if world.view.phase(job_id) is records.JobPhase.FAILED:
            return
        if world.crashes_by_task.total() > crashes:
            crashes = world.crashes_by_task.total()
            world.take_over()
    raise AssertionError(f'{job_id} is {world.view.phase(job_id)}')


@when('a worker crashes and another leader takes over once it has restarted')
def crash_before_takeover(context):
    world = context.world
    (first, *_) = world.running()['j1.0.0.0']
    context.cut_tasks = set(world.runner_by_id[first].running)
    world.crash(first)
    # The present leader learns nothing of it.
    world.cell = None
    world.advance(world.restart_ms)
    world.take_over()


@when(
    '{seconds:d} s pass without renewals and its worker restarts, '
    '{times:d} times'
)
def restart_after_lease(context, seconds, times):
    world = context.world
    for _ in range(times):
        (worker_id,) = world.running()['j1.0.0.0']
        world.advance(seconds * 1_000)
        assert not world.running()
        former = world.runner_by_id[worker_id]
        runner = world.add_runner(worker_id, former.born_ms + 1)
        worker_lifecycle.apply_worker_entry(
            world.cell, world.entry(runner), world.clock.now()
        )
        for _ in range(10):
            world.run_cycle()
        if not world.running():
            return


@then('the job "{job_id}" has not failed')
def has_not_failed(context, job_id):
    world = context.world
    assert world.view.phase(job_id) is records.JobPhase.RUNNING
    assert world.running()['j1.0.0.0'], world.running()


@then('its tasks run again and {count:d} crash counts against each')
def run_again(context, count):
    world = context.world
    assert context.cut_tasks <= set(world.running()), dict(world.running())
    for name in context.cut_tasks:
        crashes = world.cell.find_task(name).crashes
        assert len(crashes.crashed_at) == count, crashes


@then('"{task}" crashed at least {least:d} workers and at most {most:d}')
def crashed_between(context, task, least, most):
    crashes = context.world.crashes_by_task[task]
    assert least <= crashes <= most, crashes


@when('the worker of "{task}" crashes after {seconds:d} s, {times:d} times')
def worker_of_crashes(context, task, seconds, times):
    world = context.world
    for _ in range(times):
        _run(world, seconds * 1_000)
        (runner_id,) = world.running()[task]
        world.crash(runner_id)
        while not world.running()[task]:
            _run(world, CYCLE_MS)


def _run(world, ms, cycle_ms=CYCLE_MS):
    for _ in range(ms // cycle_ms):
        world.run_cycle(cycle_ms)
        world.check_runners()


@then('"{task}" is alone on its worker')
def is_alone(context, task):
    assert _tasks_beside(context, task) == 0


@then('"{task}" is not alone on its worker')
def is_not_alone(context, task):
    assert _tasks_beside(context, task) > 0


def _tasks_beside(context, task):
    world = context.world
    (runner_id,) = world.running()[task]
    return len(world.runner_by_id[runner_id].running) - 1


@then('the last crash of "{task}" took no other task')
def last_crash_alone(context, task):
    companions = context.world.companions_by_task[task]
    assert companions[0] > 0 and companions[-1] == 0, companions


@then('the leader is certain of at least {count:d} of its crashes')
def certain_crashes(context, count):
    found = sum(
        event_type == 'worker_crashed' and 'bad.0.0.0' in fields['lapsed']
        for event_type, fields in context.world.events
    )
    assert found >= count, found


@then('no copy was placed after the first crash was known')
def no_late_copy(context):
    types = [event_type for event_type, _ in context.world.events]
    assert 'copy_placed' not in types[types.index('worker_crashed') :]


@then('all other jobs are completed')
def others_completed(context):
    phases = {i: context.world.view.phase(i) for i in context.other_ids}
    assert set(phases.values()) == {records.JobPhase.COMPLETED}, phases


@given(
    'workers that restart after {seconds:d} s and are not listed in between'
)
def restart_late(context, seconds):
    context.world.restart_ms = seconds * 1_000
    context.world.is_unlisted_while_down = True


@when('it comes back')
def come_back(context):
    world = context.world
    world.runner_by_id['w0'] = context.cut
    context.cut = None
    world.run_cycle(CYCLE_MS)
    world.check_runners()


@when('a worker is told to leave and another id answers at its address')
def leave(context):
    world = context.world
    runner = world.runner_by_id.pop('w0')
    now_ms = world.clock.now()
    entry = world.entry(runner, is_draining=True, remaining_ms=0)
    worker_lifecycle.apply_worker_entry(world.cell, entry, now_ms)
    worker = world.worker('w0')
    worker_lifecycle.end_incarnation(
        world.cell, worker, 'another id answered', now_ms
    )


@then('{count:d} lost worker counts against its tasks')
def counts_lost(context, count):
    tasks = [context.world.cell.find_task(name) for name in context.cut_tasks]
    assert {task.crashes.lost for task in tasks} == {count}


@then('no lost worker counts against any task')
def counts_none(context):
    for job in context.world.cell.job_by_id.values():
        for step in job.steps():
            for task in step.tasks:
                assert task.crashes == records.NO_CRASHES, task.crashes


@when('all workers crash twice, {seconds:d} s apart')
def all_crash_twice(context, seconds):
    _crash_repeatedly(context, sorted, 2, seconds)


@when('half of the workers crash {times:d} times, {seconds:d} s apart')
def half_crash(context, times, seconds):
    _crash_repeatedly(context, lambda ids: sorted(ids)[::2], times, seconds)


@when('one worker crashes every {seconds:d} s, {times:d} times')
def one_crashes(context, seconds, times):
    _crash_repeatedly(
        context,
        lambda ids: [i for i in ids if i.partition('~')[0] == 'w0'],
        times,
        seconds,
    )


def _crash_repeatedly(context, choose, times, seconds, cycle_ms=CYCLE_MS):
    """Crash the runners that are chosen from all ids, time after time."""
    world = context.world
    for _ in range(times):
        for runner_id in choose(world.runner_by_id):
            if world.runner_by_id[runner_id].is_up:
                world.crash(runner_id)
        _run(world, seconds * 1_000, cycle_ms)


@when('one of its workers crashes every {seconds:d} s, {times:d} times')
def service_worker_crashes(context, seconds, times):
    context.world.send_starts()
    _crash_repeatedly(
        context,
        lambda ids: context.world.running()[f'{context.job_id}.0.0.0'],
        times,
        seconds,
        cycle_ms=500,
    )


@then('no task of "{job_id}" has failed and all run')
def service_runs(context, job_id):
    world = context.world
    assert world.view.phase(job_id) is records.JobPhase.RUNNING
    assert len(world.running()) == 4, dict(world.running())

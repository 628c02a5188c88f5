"""Steps on long-running tasks, and on speculative copies of slow ones."""

from behave import given
from behave import then
from behave import when

from features import cell_world

RUN_MS = 600_000


def tasks_running(context, job_id):
    return {
        task: runner_ids
        for task, runner_ids in context.world.running().items()
        if task.startswith(f'{job_id}.')
    }


def ended_runs(context, job_id, reason=None):
    return [
        fields
        for event_type, fields in context.world.events
        if event_type == 'run_ended'
        and fields['task'].startswith(f'{job_id}.')
        and (reason is None or fields['why'] == reason)
    ]


@given(
    'a service "{job_id}" of {count:d} tasks on {workers:d} workers, of which '
    '{may_miss:d} may be unavailable'
)
def service_on(context, job_id, count, workers, may_miss):
    context.world = cell_world.CellWorld(workers)
    context.world.work_ms = RUN_MS
    step = cell_world.step(
        count, 2_000, is_service=True, max_per_worker=1, may_miss=may_miss
    )
    context.job_id = job_id
    context.world.submit(
        cell_world.job(job_id, step, accepted_at_ms=context.world.clock.now())
    )
    context.world.plan(is_sent=False)
    context.starts = list(context.world.pending_starts)
    assert len(context.starts) == count


def start_tasks(context):
    """Send the starts and let the workers list them; return the runs."""
    context.world.send_starts()
    context.world.run_cycle()
    return [run for run, _, _ in context.starts]


@when('the stops of two of its tasks are ordered')
def stop_two(context):
    context.runs = start_tasks(context)
    for run in context.runs[:2]:
        context.world.cell.stop(run, 'by test')


@then('one is stopped, and the other once that one runs again')
def one_after_the_other(context):
    world = context.world
    ended_at_ms = []
    for _ in range(60):
        world.run_cycle()
        count = len(ended_runs(context, context.job_id, 'by test'))
        ended_at_ms += [world.clock.now()] * (count - len(ended_at_ms))
    first_ms, second_ms = ended_at_ms
    # The second stop begins once the first task runs again, and a stop takes
    # 0.9 s.
    assert second_ms - first_ms > 900, ended_at_ms
    assert len(tasks_running(context, context.job_id)) == 4


@when('its job is cancelled')
def cancel_service(context):
    start_tasks(context)
    context.world.cancel(context.job_id)


@then('all its tasks are stopped')
def all_stopped(context):
    for _ in range(15):
        context.world.run_cycle()
    assert not tasks_running(context, context.job_id)


@when('the answer to the start of one of its tasks is lost')
def answer_lost(context):
    world = context.world
    starts = world.pending_starts
    world.pending_starts = starts[:1]
    world.send_starts(is_answered=False)
    world.pending_starts = starts[1:]
    world.send_starts()


@when('the start of one of its tasks is lost and may come late')
def start_lost(context):
    world = context.world
    starts = world.pending_starts
    context.late = starts[0]
    run = context.late[0]
    runner = world.runner_by_id[run.worker.worker_id]
    runner.is_up = False
    world.pending_starts = starts[:1]
    world.send_starts()
    runner.is_up = True
    world.pending_starts = starts[1:]
    world.send_starts()


@when('the late start comes')
def late_start(context):
    context.world.deliver_start(*context.late)
    for _ in range(10):
        context.world.run_cycle()


@then('no task of "{job_id}" was stopped and all run')
def none_stopped(context, job_id):
    assert not ended_runs(context, job_id), ended_runs(context, job_id)
    assert len(tasks_running(context, job_id)) == 4


@then('all tasks of "{job_id}" run once')
def all_run_once(context, job_id):
    running = tasks_running(context, job_id)
    assert len(running) == 4, running
    assert all(len(ids) == 1 for ids in running.values()), running


@when('one of its workers is lost and another is leaving')
def lose_and_leave(context):
    world = context.world
    runs = start_tasks(context)
    lost, leaving = runs[0].worker.worker_id, runs[1].worker.worker_id
    world.runner_by_id[lost].is_up = False
    context.leaving = runs[1]
    entry = world.entry(world.runner_by_id[leaving], True, 4_000)
    context.leaving.worker.entry = entry


@then('the task on the leaving worker was stopped')
def leaving_stopped(context):
    found = ended_runs(context, context.job_id, 'worker is leaving')
    assert [f['task'] for f in found] == [context.leaving.task.name], found


def submit_with_straggler(context, job_id, count, factor, is_speculative):
    """Submit a step whose first task has a first run ``factor`` times as long.

    A copy or a retry of that task takes the usual time.
    """
    world = context.world
    world.work_ms = 1_000
    step = cell_world.step(
        count, 2_000, estimate_ms=1_000, is_speculative=is_speculative
    )
    world.submit(
        cell_world.job(job_id, step, accepted_at_ms=world.clock.now())
    )
    slow = f'{job_id}.0.0.0'
    for runner in world.runner_by_id.values():
        start = runner.start

        def slow_start(epoch, task, run_id, *rest, start=start):
            deadline_ms, work_ms, *more = rest
            if task == slow and run_id == 1:
                work_ms *= factor
            return start(epoch, task, run_id, deadline_ms, work_ms, *more)

        runner.start = slow_start
    world.plan()


@given(
    'a step "{job_id}" of {count:d} tasks of which copies may run, one '
    '{factor:d} times as long'
)
def straggler_with_copies(context, job_id, count, factor):
    submit_with_straggler(context, job_id, count, factor, True)


@given('a step "{job_id}" of {count:d} tasks, one {factor:d} times as long')
def straggler_without_copies(context, job_id, count, factor):
    submit_with_straggler(context, job_id, count, factor, False)


def placed_copies(context):
    return [
        f
        for event_type, f in context.world.events
        if event_type == 'copy_placed'
    ]


@then('"{job_id}" is completed and one copy was started')
def completed_by_copy(context, job_id):
    assert context.world.view.phase(job_id).is_final
    assert len(placed_copies(context)) == 1, placed_copies(context)


@then('"{job_id}" is not completed and no copy was started')
def no_copy(context, job_id):
    assert not context.world.view.phase(job_id).is_final
    assert not placed_copies(context), placed_copies(context)

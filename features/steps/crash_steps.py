"""Steps on workers that crash, by a task or by themselves."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import records
from features import cell_world

CYCLE_MS = 100


@given(
    'a job "{job_id}" of {count:d} tasks, of which the first crashes its '
    'workers'
)
def submit_deadly(context, job_id, count):
    _submit_deadly(context, job_id, cell_world.step(count))


@given('{shape} "{job_id}" of which the first task crashes its workers')
def submit_deadly_shape(context, shape, job_id):
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
    _submit_deadly(context, job_id, step, **repeats)


def _submit_deadly(context, job_id, step, **repeats):
    world = context.world
    submission = cell_world.job(job_id, step, accepted_at_ms=world.clock.now())
    spec = submission.spec._replace(**repeats)
    world.is_deadly = lambda task: task == f'{job_id}.0.0.0'
    world.submit(submission._replace(spec=spec))


@given('{jobs:d} jobs of {count:d} tasks')
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
def deadly_starts_unanswered(context):
    context.world.is_deadly_start_answered = False


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


@then('"{task}" crashed at least {least:d} workers and at most {most:d}')
def crashed_between(context, task, least, most):
    crashes = context.world.crashes_by_task[task]
    assert least <= crashes <= most, crashes


@then('all other jobs are completed')
def others_completed(context):
    phases = {i: context.world.view.phase(i) for i in context.other_ids}
    assert set(phases.values()) == {records.JobPhase.COMPLETED}, phases

"""Steps on the records that the leader drops from the store."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import records
from features import cell_world


@given('a job "{job_id}" of {count:d} tasks that has completed')
def completed_job(context, job_id, count):
    world = context.world
    context.submission = cell_world.job(job_id, cell_world.step(count))
    world.submit(context.submission)
    world.run_until(job_id, records.JobPhase.COMPLETED)
    context.ended_at_ms = world.clock.now()


@given('a job "{job_id}" that is too large for any worker')
def oversized_job(context, job_id):
    too_much = cell_world.CAPACITY.cpu_millis + 1
    context.world.submit(cell_world.job(job_id, cell_world.step(1, too_much)))
    context.ended_at_ms = context.world.clock.now()


@when('the unknown job "{job_id}" is cancelled')
def cancel_unknown(context, job_id):
    context.world.cancel(job_id)
    context.ended_at_ms = context.world.clock.now()


@when('the leader drops what has expired after {seconds:d} s')
def drop(context, seconds):
    passed_ms = context.world.clock.now() - context.ended_at_ms
    context.world.drop_expired(seconds * 1_000 - passed_ms)
    context.world.plan()


@when(
    'a copy of the submission of "{job_id}" is stored and a new leader '
    'takes over'
)
def store_submission_copy(context, job_id):
    world = context.world
    context.lines_before = len(world.events)
    world.put_intake(job_id, records.encode(context.submission))
    world.take_over()
    world.cell.sync_job(
        world.view, job_id, world.clock.now(), world.clock.now()
    )


@then('no task of "{job_id}" starts again')
def starts_no_more(context, job_id):
    for _ in range(20):
        context.world.run_cycle()
        assert not context.world.running()
    assert job_id not in context.world.cell.job_by_id


@then('the store still has the {what} of "{job_id}"')
def still_has(context, what, job_id):
    view = context.world.view
    kept = {
        'submission': view.submission_by_id,
        'cancel': view.cancelled_at_ms_by_id,
    }
    assert job_id in kept[what]


@then('the store has the state of "{job_id}" and no submission')
def has_state_only(context, job_id):
    view = context.world.view
    assert not view.has_intake(job_id)
    assert view.phase(job_id) is records.JobPhase.COMPLETED


@then('the store has nothing of "{job_id}"')
def has_nothing(context, job_id):
    view = context.world.view
    assert not view.has_intake(job_id) and not view.has_job(job_id)

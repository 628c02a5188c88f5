"""Steps on workers whose capacity changes while they run."""

from behave import given
from behave import then
from behave import when

from carawaymast_core import resources
from carawaymast_core.cell import records
from carawaymast_core.cell import worker_lifecycle
from features import cell_world

CYCLE_MS = 100
WAIT_MS = 60_000


@when('"{runner_id}" shrinks to {cpu:d} processors')
@when('"{runner_id}" grows to {cpu:d} processors')
def change_capacity(context, runner_id, cpu):
    context.world.set_capacity(runner_id, cpu * 1_000)


@when(
    '"{runner_id}" shrinks to {cpu:d} processors while they are being stored'
)
def shrink_while_storing(context, runner_id, cpu):
    context.world.plan(
        while_storing=lambda: context.world.set_capacity(
            runner_id, cpu * 1_000
        )
    )


@when('"{runner_id}" is told to leave while they are being stored')
def leave_while_storing(context, runner_id):
    world = context.world
    entry = world.entry(
        world.runner_by_id[runner_id], is_draining=True, remaining_ms=5_000
    )
    world.plan(
        while_storing=lambda: worker_lifecycle.apply_worker_entry(
            world.cell, entry, world.clock.now()
        )
    )


@when('time passes until all other jobs are completed')
def until_completed(context):
    world = context.world
    for job_id in context.other_ids:
        world.run_until(job_id, records.JobPhase.COMPLETED)


@then('no worker ever ran more than it may')
def within_capacity(context):
    # Each start was checked by the world.
    assert not context.world.running()


@when('the stops are ordered but not done')
def stops_ordered(context):
    context.world.run_cycle(CYCLE_MS)
    context.world.run_cycle(CYCLE_MS)


@then('no task of the new jobs runs')
def none_of_new(context):
    assert not _running_of(context, context.other_ids)


@then('{count:d} tasks of the new jobs run')
def count_of_new(context, count):
    assert len(_running_of(context, context.other_ids)) == count


def _running_of(context, job_ids):
    names = context.world.running()
    return [n for n in names if n.partition('.')[0] in job_ids]


@then('{count:d} tasks run')
def tasks_run(context, count):
    running = context.world.running()
    assert len(running) == count, dict(running)


@then('nothing runs on "{runner_id}"')
def nothing_on(context, runner_id):
    assert not context.world.runner_by_id[runner_id].running


@when(
    '"{runner_id}" restarts with {cpu:d} processors, of which its list entry '
    'comes late'
)
def restart_smaller(context, runner_id, cpu):
    world = context.world
    world.add_runner(runner_id, born_ms=2)
    world.capacity_by_id[runner_id] = world.capacity._replace(
        cpu_millis=cpu * 1_000
    )
    context.runner_id = runner_id


@when('its leases are renewed and the leader plans')
def renew_and_plan(context):
    for _ in range(3):
        context.world.run_cycle(CYCLE_MS)


@when('its list entry comes')
def entry_comes(context):
    world = context.world
    worker = worker_lifecycle.apply_worker_entry(
        world.cell,
        world.entry(world.runner_by_id[context.runner_id]),
        world.clock.now(),
    )
    # Else the leader would not renew its lease.
    assert worker is not None


@given('an unknown run of {cpu:d} processors on "{runner_id}"')
def unknown_run(context, cpu, runner_id):
    world = context.world
    context.unknown_size = resources.Resources(cpu * 1_000, 1_000, 0)
    world.runner_by_id[runner_id].start(
        world.worker(runner_id).fencing_token,
        'gone.0.0.0',
        1,
        1_000_000,
        600_000,
    )
    world.size_by_unknown_task['gone.0.0.0'] = context.unknown_size
    world.renew_leases()


@then('nothing of the new jobs runs beside the unknown run')
def none_beside_unknown(context):
    running = context.world.running()
    assert 'gone.0.0.0' not in running or len(running) == 1, dict(running)


@then('a job of {cpu:d} processors is refused with a time to come back')
def refused_for_now(context, cpu):
    refusal = _check_admission(context, cpu)
    assert refusal is not None and refusal.retry_after_s > 0, refusal


@then('a job of {cpu:d} processors is refused for good')
def refused_for_good(context, cpu):
    refusal = _check_admission(context, cpu)
    assert refusal is not None and refusal.retry_after_s == 0, refusal


@then('a job of {cpu:d} processors is admitted')
def admitted(context, cpu):
    assert _check_admission(context, cpu) is None


def _check_admission(context, cpu):
    step = cell_world.step(cpu=cpu * 1_000)
    return context.world.cell.check_admission(cell_world.job('new', step))


@when('a filler of {cpu:d} processors is submitted')
def submit_filler(context, cpu):
    step = cell_world.step(cpu=cpu * 1_000, memory=0, is_filler=True)
    context.world.submit(
        cell_world.job('fill', step, accepted_at_ms=context.world.clock.now())
    )

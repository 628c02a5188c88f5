"""Steps on the number of jobs that wait in a queue."""

from behave import then
from behave import when

from carawaymast_core.cell import answers
from carawaymast_core.cell import reports
from features import cell_world


@when('its start is {what}, and the worker is suspected')
def lose_start(context, what):
    world = context.world
    world.plan(is_sent=False)
    ((run, *_),) = world.pending_starts
    worker = run.worker
    worker.suspect_until_ms = world.clock.now() + 60_000
    outcome = cell_world.NO_ANSWER
    if what == 'refused':
        outcome = reports.StartOutcome(True, reports.StartRefusal.UNHEALTHY)
    world.pending_starts = []
    answers.apply_start_outcome(world.cell, run, outcome, world.clock.now())
    for _ in range(5):
        world.run_cycle()
    assert not run.task.runs


@then('{count:d} job of its queue waits')
@then('{count:d} jobs of its queue wait')
def jobs_wait(context, count):
    pending = context.world.view.pending(cell_world.queue().name)
    assert pending == count, pending


@when('the worker is not suspected any more, and {seconds:d} s pass')
def clear_suspicion(context, seconds):
    world = context.world
    world.worker('w0').suspect_until_ms = 0
    for _ in range(10 * seconds):
        world.run_cycle()
    assert world.running()


@when('the worker is cut off, and its start is not answered')
def cut_off_before_start(context):
    world = context.world
    world.plan(is_sent=False)
    (context.late,) = world.pending_starts
    context.cut = world.runner_by_id.pop('w0')
    world.run_cycle()
    world.run_cycle()
    assert context.late[0].task.runs


@when('the start arrives late, and the worker is reached again')
def reach_again(context):
    world = context.world
    world.runner_by_id['w0'] = context.cut
    world.deliver_start(*context.late)
    world.run_cycle()
    world.run_cycle()


@when('its starts get no answer for {seconds:d} s')
def lose_starts(context, seconds):
    world = context.world
    for _ in range(10 * seconds):
        world.advance(100)
        world.renew_leases()
        world.plan(is_sent=False)
        starts, world.pending_starts = world.pending_starts, []
        for run, *_ in starts:
            answers.apply_start_outcome(
                world.cell, run, cell_world.NO_ANSWER, world.clock.now()
            )


@then('its task is not started for {seconds:d} s more')
def not_started(context, seconds):
    world = context.world
    for _ in range(10 * seconds):
        world.run_cycle()
        assert not world.runner_by_id['w0'].started


@when('its start is stored and not sent, and another leader takes over')
def take_over_before_start(context):
    world = context.world
    world.plan(is_sent=False)
    world.take_over()
    world.worker('w0').suspect_until_ms = world.clock.now() + 60_000
    world.run_cycle()

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

"""Steps on entries that are back at once, and on lists out of order."""

from behave import then
from behave import when

from carawaymast_core.cell import answers
from carawaymast_core.cell import reports
from features.steps import lost_with_leader_steps

TASK = 'j1.0.0.0'


@when('its entry is removed and is back in one read')
def return_at_once(context):
    context.parts.unlist_worker('w0')
    context.parts.list_worker('w0')
    context.parts.advance(1)


@then('the log says once that the entry is back')
def logged_back(context):
    found = [
        (event_type, fields['worker'])
        for event_type, fields in context.parts.events
        if event_type in ('worker_unlisted', 'worker_relisted')
    ]
    expected = [('worker_unlisted', 'w0'), ('worker_relisted', 'w0')]
    assert found == expected, found


@when('a list is read, the run fails, and a later list overtakes the first')
def overtake(context):
    world = context.case.world
    runner = context.case.runner()
    worker = world.worker(runner.runner_id)
    sent_at_ms = world.clock.now()

    def read():
        context.case.world.advance(lost_with_leader_steps.CYCLE_MS)
        return runner.renew_lease(
            worker.fencing_token, worker.ack_number, None
        )

    first = read()
    runner.end_run(TASK, reports.EndKind.FAILED)
    for answer in (read(), first):
        answers.apply_lease_renewal(
            world.cell, worker, answer, sent_at_ms, world.clock.now()
        )


@then('the task waits at once, and no run of it is adopted')
def waits_at_once(context):
    world = context.case.world
    assert world.cell.find_task(TASK).is_waiting
    assert 'untracked_run' not in [name for name, _ in world.events]

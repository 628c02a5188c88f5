"""Steps on the log events of steps that wait beside free capacity."""

from behave import given
from behave import then

from features import cell_world

LONG_MS = 600_000


@given('all its workers are {state}')
def set_state(context, state):
    world = context.world
    for worker in world.cell.worker_by_key.values():
        runner = world.runner_by_id[worker.worker_id]
        if state in ('silent', 'not adopted'):
            runner.is_up = False
        if state == 'not adopted':
            worker.is_adopted = False
        if state == 'suspected':
            worker.suspect_until_ms = world.clock.now() + LONG_MS


@given('a job of 1 task for workers of {kind} kind')
def submit_job(context, kind):
    label = '' if kind == 'any' else 'of no worker'
    step = cell_world.step(cpu=2_000, required_label=label)
    now_ms = context.world.clock.now()
    context.world.submit(cell_world.job('j1', step, accepted_at_ms=now_ms))


def waits(context):
    """Return the fields of the log events of steps that wait."""
    return [
        fields
        for event_type, fields in context.world.events
        if event_type == 'step_waits'
    ]


@then('the log says once that it waits, beside {count:d} workers, {reason}')
def logged_once(context, count, reason):
    (found,) = waits(context)
    assert found['step'] == 'j1.0.0', found
    assert found['workers'] == ({reason: count} if count else {}), found
    assert 3_000 <= found['waited_ms'] <= 5_100, found


@then('the log says {count:d} times that a step waits')
def logged_times(context, count):
    found = waits(context)
    assert len(found) == count, found

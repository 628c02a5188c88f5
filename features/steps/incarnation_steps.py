"""Steps on calls that reach the next incarnation of a restarted worker."""

from behave import then
from behave import when

from features import cell_world


@then("the worker's own lease ends within {seconds:d} s")
def lease_ends_soon(context, seconds):
    runner = context.world.runner_by_id['w0']
    left_ms = runner.lease_until_ms - runner.clock_ms
    assert 0 < left_ms <= seconds * 1_000, left_ms


@when('a start for that worker reaches its next incarnation')
def start_at_successor(context):
    world = context.world
    world.work_ms = 60_000
    world.worker('w1').suspect_until_ms = world.clock.now() + 1
    world.submit(cell_world.job('j1', cell_world.step(estimate_ms=60_000)))
    world.plan(is_sent=False)
    world.add_runner('w0', born_ms=2)
    world.advance(100)
    world.send_starts()
    assert world.running()['j1.0.0.0'] == ['w0'], world.running()

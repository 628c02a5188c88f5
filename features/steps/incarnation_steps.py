"""Steps on calls that reach the next incarnation of a restarted worker."""

from behave import then


@then("the worker's own lease ends within {seconds:d} s")
def lease_ends_soon(context, seconds):
    runner = context.world.runner_by_id['w0']
    left_ms = runner.lease_until_ms - runner.clock_ms
    assert 0 < left_ms <= seconds * 1_000, left_ms

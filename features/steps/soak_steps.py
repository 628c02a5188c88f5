"""Steps that run the soak, which prints its report."""

import subprocess
import sys

from behave import then
from behave import when

# The soak waits up to 60 s for the last jobs to end.
TIMEOUT_S = 180


@when('the soak runs for {seconds:d} s with seed {seed:d}')
def run_soak(context, seconds, seed):
    context.soak = subprocess.run(
        [sys.executable, '-m', 'bench.soak', str(seconds), str(seed)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then('it reports no lost, doubled or endless job')
def soak_is_clean(context):
    assert context.soak.returncode == 0, context.soak.stdout[-2_000:]

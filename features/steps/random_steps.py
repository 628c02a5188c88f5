"""Steps that run hypothesis state machines, also with injected faults."""

import math

from behave import given
from behave import then
from behave import when

from features import mutants
from features import randomised

STEPS_PER_EXAMPLE = {
    'fleet': 30,
    'trusting fleet': 30,
    'shares': 100,
    'restarting cell': 20,
}
DEFAULT_STEPS = 90
# Examples more than needed, since some end early.
EXAMPLE_MARGIN = 1.3
# A low estimate: many examples of this machine end early.
SHARE_STEPS_TAKEN_PER_EXAMPLE = 40


@given('the injected fault "{fault}"')
def inject_fault(context, fault):
    context.stack.enter_context(mutants.FAULT_BY_NAME[fault]())


@when('the {machine} machine takes at least {steps:d} random steps')
def take_steps(context, machine, steps):
    length = STEPS_PER_EXAMPLE.get(machine, DEFAULT_STEPS)
    taken_per_example = (
        SHARE_STEPS_TAKEN_PER_EXAMPLE if machine == 'shares' else length
    )
    examples = math.ceil(EXAMPLE_MARGIN * steps / taken_per_example)
    context.steps_taken = randomised.run(machine, examples, length)
    context.steps_wanted = steps


@when('the {machine} machine takes up to {examples:d} random examples')
def take_examples(context, machine, examples):
    length = STEPS_PER_EXAMPLE.get(machine, DEFAULT_STEPS)
    context.failure = None
    try:
        randomised.run(machine, examples, length)
    except (AssertionError, Exception) as error:
        context.failure = error


@then('every assertion held')
def assertions_held(context):
    assert context.steps_taken >= context.steps_wanted, context.steps_taken


@then('the run failed')
def run_failed(context):
    assert context.failure is not None, 'the fault was not found'

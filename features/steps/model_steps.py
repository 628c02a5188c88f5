"""Steps that check the models of the protocol."""

import ast

from behave import given
from behave import then

from spec import cells
from spec import checking
from spec import claims
from spec import incarnations
from spec import ownership

MODULE_BY_NAME = {
    'ownership': ownership,
    'claims': claims,
    'cells': cells,
    'incarnations': incarnations,
}


@given('the {name} model')
def make_model(context, name):
    """Make a model; ``name`` may end in `` model with RULE as VALUE, ...``."""
    name, _, change = name.partition(' model with ')
    module = MODULE_BY_NAME[name]
    rules = module.Rules()
    for part in change.split(', ') if change else ():
        rule, _, value = part.partition(' as ')
        rules = rules._replace(**{rule: ast.literal_eval(value)})
    context.model = module.model(rules)


@given('the {name} model with {rule} as {value}')
def make_changed_model(context, name, rule, value):
    make_model(context, f'{name} model with {rule} as {value}')


@then('no violation is found within {depth:d} steps')
def no_violation(context, depth):
    found = checking.find_violation(context.model, depth)
    assert found is None, f'a violation after {found} steps'


@then('a violation is found within {depth:d} steps')
def some_violation(context, depth):
    assert checking.find_violation(context.model, depth) is not None


@then('safety and lemma are inductive')
def inductive(context):
    assert checking.is_inductive(context.model)


@then('safety and lemma are not inductive')
def not_inductive(context):
    assert not checking.is_inductive(context.model)

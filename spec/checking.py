"""Bounded checking and induction over a model given as z3 formulas."""

import typing

import z3

__all__ = ['Model', 'find_violation', 'is_inductive']

State = typing.Mapping[str, z3.ExprRef]
Formula = typing.Callable[..., z3.BoolRef]


class Model(typing.NamedTuple):
    """State variables, initial states, transitions and a safety property.

    A transition is a function of the states before and after it, in the
    models ``s`` and ``t``. ``lemma`` strengthens ``safety`` so that the two
    are inductive.
    """

    variables: dict[str, z3.SortRef]
    initial: Formula
    transitions: typing.Sequence[Formula]
    safety: Formula
    lemma: Formula


def state(model: Model, number: int) -> dict[str, z3.ExprRef]:
    """Return the constants of the state after ``number`` transitions."""
    return {
        name: z3.Const(f'{name}@{number}', sort)
        for name, sort in model.variables.items()
    }


def any_transition(model: Model, before: State, after: State) -> z3.BoolRef:
    """Return the formula that a transition leads from one state to another."""
    return z3.Or(
        [transition(before, after) for transition in model.transitions]
    )


def find_violation(model: Model, depth: int) -> int | None:
    """Return the least number of transitions that can violate safety.

    Returns None if no more than ``depth`` transitions can.
    """
    solver = z3.Solver()
    now = state(model, 0)
    solver.add(model.initial(now))
    for number in range(depth + 1):
        solver.push()
        solver.add(z3.Not(model.safety(now)))
        if solver.check() == z3.sat:
            return number
        solver.pop()
        after = state(model, number + 1)
        solver.add(any_transition(model, now, after))
        now = after
    return None


def is_inductive(model: Model) -> bool:
    """Return whether safety and lemma hold at first and stay invariant."""
    now, after = state(model, 0), state(model, 1)
    base = z3.Solver()
    base.add(model.initial(now), z3.Not(_invariant(model, now)))
    if base.check() != z3.unsat:
        return False
    for transition in model.transitions:
        solver = z3.Solver()
        solver.add(_invariant(model, now), transition(now, after))
        solver.add(z3.Not(_invariant(model, after)))
        if solver.check() != z3.unsat:
            return False
    return True


def _invariant(model: Model, now: State) -> z3.BoolRef:
    return z3.And(model.safety(now), model.lemma(now))


def unchanged(before: State, after: State, *changed: str) -> z3.BoolRef:
    """Return the formula that only ``changed`` may differ between states."""
    return z3.And(
        [after[name] == before[name] for name in before if name not in changed]
    )

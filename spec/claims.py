"""Attempt claims and snapshots in the log.

Two coordinators claim the same attempt, each at a worker of its own, while
the log may be down and answers may be lost. A reader may also load a
snapshot that was taken earlier. What must hold: the attempt runs in one
place at most, and the version a reader knows never goes down.
"""

import functools
import typing

import z3

from spec import checking

__all__ = ['Rules', 'model']

COORDINATORS = (1, 2)


class Rules(typing.NamedTuple):
    """Which rules of the protocol are in force."""

    waits_for_read_back: bool = True
    checks_versions: bool = True
    snapshot_never_reverts: bool = True


ALL_RULES = Rules()


def variables() -> dict[str, z3.SortRef]:
    """Return the variables of a state."""
    number, flag = z3.IntSort(), z3.BoolSort()
    found = {
        'winner': number,
        'version': number,
        'known': number,
        'highest': number,
        'snapshot': number,
    }
    for one in COORDINATORS:
        found.update(
            {
                f'sent{one}': flag,
                f'in_log{one}': flag,
                f'applied{one}': flag,
                f'runs{one}': flag,
            }
        )
    return found


def initial(s) -> z3.BoolRef:
    """Return the first state: nothing is claimed."""
    flags = [
        z3.Not(value) for value in s.values() if value.sort() == z3.BoolSort()
    ]
    numbers = [
        value == 0 for value in s.values() if value.sort() == z3.IntSort()
    ]
    return z3.And(flags + numbers)


def send(one, s, t):
    """A coordinator sends its claim, which expects version 0."""
    return z3.And(t[f'sent{one}'], checking.unchanged(s, t, f'sent{one}'))


def append(rules, one, s, t):
    """The log takes a claim in, also twice; it applies or does not."""
    applies = s['version'] == 0
    if not rules.checks_versions:
        applies = z3.BoolVal(True)
    names = f'in_log{one}', f'applied{one}', 'version', 'winner'
    return z3.And(
        s[f'sent{one}'],
        t[f'in_log{one}'],
        t[f'applied{one}'] == z3.Or(s[f'applied{one}'], applies),
        t['version'] == z3.If(applies, s['version'] + 1, s['version']),
        t['winner'] == z3.If(applies, one, s['winner']),
        checking.unchanged(s, t, *names),
    )


def run(rules, one, s, t):
    """A coordinator starts the attempt once it may."""
    may_start = z3.And(s[f'in_log{one}'], s[f'applied{one}'])
    if not rules.waits_for_read_back:
        may_start = s[f'sent{one}']
    return z3.And(
        may_start, t[f'runs{one}'], checking.unchanged(s, t, f'runs{one}')
    )


def catch_up(s, t):
    """A reader catches up with the log."""
    return z3.And(
        t['known'] == s['version'],
        t['highest']
        == z3.If(s['version'] > s['highest'], s['version'], s['highest']),
        checking.unchanged(s, t, 'known', 'highest'),
    )


def take_snapshot(s, t):
    """Somebody takes a snapshot of the present state."""
    return z3.And(
        t['snapshot'] == s['version'], checking.unchanged(s, t, 'snapshot')
    )


def load_snapshot(rules, s, t):
    """The reader comes upon the snapshot."""
    is_newer = s['snapshot'] > s['known']
    if not rules.snapshot_never_reverts:
        is_newer = z3.BoolVal(True)
    return z3.And(
        t['known'] == z3.If(is_newer, s['snapshot'], s['known']),
        t['highest']
        == z3.If(s['snapshot'] > s['highest'], s['snapshot'], s['highest']),
        checking.unchanged(s, t, 'known', 'highest'),
    )


def safety(s) -> z3.BoolRef:
    """What must hold: one place at once, and no version goes down."""
    return z3.And(
        z3.Not(z3.And(s['runs1'], s['runs2'])), s['known'] >= s['highest']
    )


def lemma(s) -> z3.BoolRef:
    """Why it holds: only the winner's claim is ever seen as applied."""
    parts = [
        s['known'] <= s['version'],
        s['snapshot'] <= s['version'],
        s['highest'] <= s['version'],
        s['version'] >= 0,
        z3.Implies(s['version'] == 0, s['winner'] == 0),
    ]
    for one in COORDINATORS:
        parts += [
            z3.Implies(s[f'applied{one}'], s['winner'] == one),
            z3.Implies(s[f'runs{one}'], s[f'applied{one}']),
        ]
    return z3.And(parts)


def model(rules: Rules = ALL_RULES) -> checking.Model:
    """Return the model under some rules."""
    transitions = [
        catch_up,
        take_snapshot,
        functools.partial(load_snapshot, rules),
    ]
    for one in COORDINATORS:
        transitions += [
            functools.partial(send, one),
            functools.partial(append, rules, one),
            functools.partial(run, rules, one),
        ]
    return checking.Model(variables(), initial, transitions, safety, lemma)

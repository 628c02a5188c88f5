"""Model attempt claims and snapshots in the log.

Two coordinators claim the same attempt, each at a different worker, while
the log may be down and answers may be lost. A reader may also load a
snapshot that was taken earlier. Safety: the attempt runs on at most one
worker, and the version at the reader never decreases.
"""

import functools
import typing

import z3

from spec import checking

__all__ = ['Rules', 'model']

COORDINATORS = (1, 2)


class Rules(typing.NamedTuple):
    """Which rules of the protocol are in force.

    - ``waits_for_read_back``: a coordinator starts the attempt only after it
      has read its own claim in the log, as applied.
    - ``checks_versions``: a claim applies only at the version it expects.
    - ``snapshot_never_reverts``: a reader loads only newer snapshots.
    """

    waits_for_read_back: bool = True
    checks_versions: bool = True
    snapshot_never_reverts: bool = True


ALL_RULES = Rules()


def variables() -> dict[str, z3.SortRef]:
    """Return the variables of a state.

    ``winner`` is the coordinator whose claim applied last, 0 for none, and
    ``version`` the attempt's version in the log. ``known`` is the version at
    the reader, ``highest`` the highest that it has had, ``snapshot`` that of
    the snapshot. For each coordinator: its claim was sent, is in the log and
    has applied, and its worker runs the attempt.
    """
    number, flag = z3.IntSort(), z3.BoolSort()
    found = {
        'winner': number,
        'version': number,
        'known': number,
        'highest': number,
        'snapshot': number,
    }
    for coordinator in COORDINATORS:
        found.update(
            {
                f'sent{coordinator}': flag,
                f'in_log{coordinator}': flag,
                f'applied{coordinator}': flag,
                f'runs{coordinator}': flag,
            }
        )
    return found


def initial(s) -> z3.BoolRef:
    """Return the initial state: nothing is claimed."""
    flags = [
        z3.Not(value) for value in s.values() if value.sort() == z3.BoolSort()
    ]
    numbers = [
        value == 0 for value in s.values() if value.sort() == z3.IntSort()
    ]
    return z3.And(flags + numbers)


def send(coordinator, s, t):
    """A coordinator sends its claim, which expects version 0."""
    return z3.And(
        t[f'sent{coordinator}'], checking.unchanged(s, t, f'sent{coordinator}')
    )


def append(rules, coordinator, s, t):
    """The log appends a claim, perhaps twice; it may apply or not."""
    applies = s['version'] == 0
    if not rules.checks_versions:
        applies = z3.BoolVal(True)
    names = (
        f'in_log{coordinator}',
        f'applied{coordinator}',
        'version',
        'winner',
    )
    return z3.And(
        s[f'sent{coordinator}'],
        t[f'in_log{coordinator}'],
        t[f'applied{coordinator}']
        == z3.Or(s[f'applied{coordinator}'], applies),
        t['version'] == z3.If(applies, s['version'] + 1, s['version']),
        t['winner'] == z3.If(applies, coordinator, s['winner']),
        checking.unchanged(s, t, *names),
    )


def run(rules, coordinator, s, t):
    """A coordinator starts the attempt once its claim has applied."""
    may_start = z3.And(s[f'in_log{coordinator}'], s[f'applied{coordinator}'])
    if not rules.waits_for_read_back:
        may_start = s[f'sent{coordinator}']
    return z3.And(
        may_start,
        t[f'runs{coordinator}'],
        checking.unchanged(s, t, f'runs{coordinator}'),
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
    """A snapshot of the present state is taken."""
    return z3.And(
        t['snapshot'] == s['version'], checking.unchanged(s, t, 'snapshot')
    )


def load_snapshot(rules, s, t):
    """The reader finds the snapshot and loads it if it is newer."""
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
    """Return the safety property: one run, and no version decreases."""
    return z3.And(
        z3.Not(z3.And(s['runs1'], s['runs2'])), s['known'] >= s['highest']
    )


def lemma(s) -> z3.BoolRef:
    """Return the lemma: only the winner's claim is ever seen as applied."""
    parts = [
        s['known'] <= s['version'],
        s['snapshot'] <= s['version'],
        s['highest'] <= s['version'],
        s['version'] >= 0,
        z3.Implies(s['version'] == 0, s['winner'] == 0),
    ]
    for coordinator in COORDINATORS:
        parts += [
            z3.Implies(s[f'applied{coordinator}'], s['winner'] == coordinator),
            z3.Implies(s[f'runs{coordinator}'], s[f'applied{coordinator}']),
        ]
    return z3.And(parts)


def model(rules: Rules = ALL_RULES) -> checking.Model:
    """Return the model under some rules."""
    transitions = [
        catch_up,
        take_snapshot,
        functools.partial(load_snapshot, rules),
    ]
    for coordinator in COORDINATORS:
        transitions += [
            functools.partial(send, coordinator),
            functools.partial(append, rules, coordinator),
            functools.partial(run, rules, coordinator),
        ]
    return checking.Model(variables(), initial, transitions, safety, lemma)

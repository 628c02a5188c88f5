"""Counters of request outcomes.

Every request that a node accepts ends in exactly one outcome, so the outcomes
plus the requests in flight equal the requests accepted. A ``Tally`` holds the
counts of one kind of work; ``Account`` holds the tallies of one node.
"""

import collections
import enum
import typing

from carawaymast_core import errors

__all__ = ['Account', 'Outcome', 'Tally', 'delta', 'differences', 'merge']


class Outcome(enum.StrEnum):
    """The outcome of a request."""

    DONE = 'done'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    DISCONNECTED = 'disconnected'


class Tally(typing.TypedDict):
    """Counts of one kind of work on one node.

    ``carried`` counts requests that were already in flight when the tally
    began. ``disconnected`` counts requests whose caller closed the
    connection before the answer, whether or not they ran.
    """

    team: str
    carried: int
    accepted: int
    in_flight: int
    done: int
    failed: int
    refused: int
    unknown: int
    disconnected: int


OUTCOME_BY_RAN = {
    errors.Ran.NO: Outcome.REFUSED,
    errors.Ran.UNKNOWN: Outcome.UNKNOWN,
    errors.Ran.YES: Outcome.FAILED,
}


def empty_tally(team: str) -> Tally:
    """Return a tally whose counts are all zero."""
    return {
        'team': team,
        'carried': 0,
        'accepted': 0,
        'in_flight': 0,
        'done': 0,
        'failed': 0,
        'refused': 0,
        'unknown': 0,
        'disconnected': 0,
    }


class Account:
    """The tallies of one node, by kind."""

    def __init__(self) -> None:
        self.tally_by_kind: dict[str, Tally] = {}

    def accept(self, kind: str, team: str) -> None:
        """Count a request that was accepted."""
        if kind not in self.tally_by_kind:
            self.tally_by_kind[kind] = empty_tally(team)
        tally = self.tally_by_kind[kind]
        tally['accepted'] += 1
        tally['in_flight'] += 1

    def complete(self, kind: str, outcome: Outcome) -> None:
        """Count the outcome of a request.

        Raises ``InvariantError`` if no request of ``kind`` is in flight.
        """
        tally = self.tally_by_kind[kind]
        errors.check(
            tally['in_flight'] > 0,
            f'{kind}: an outcome without a request in flight',
        )
        tally['in_flight'] -= 1
        tally[outcome.value] += 1

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` unless each tally adds up."""
        errors.check(
            not differences(self.tally_by_kind),
            f'tallies do not add up: {differences(self.tally_by_kind)}',
        )


def merge(
    tallies: typing.Iterable[typing.Mapping[str, Tally]],
) -> dict[str, Tally]:
    """Return the sum of the tallies of several nodes, by kind."""
    total: dict[str, Tally] = {}
    for by_kind in tallies:
        for kind, tally in by_kind.items():
            into = total.setdefault(kind, empty_tally(tally['team']))
            for field, count in tally.items():
                if field != 'team':
                    into[field] += count
    return total


def delta(
    now: typing.Mapping[str, Tally], base: typing.Mapping[str, Tally]
) -> dict[str, Tally]:
    """Return the tallies of the period from ``base`` to ``now``."""
    by_kind: dict[str, Tally] = {}
    for kind, tally in now.items():
        part = dict(tally)
        start = base.get(kind)
        if start is not None:
            for field in ('accepted', *Outcome):
                part[field] -= start[field]
            part['carried'] = start['in_flight']
        by_kind[kind] = part
    return by_kind


def differences(
    tally_by_kind: typing.Mapping[str, Tally],
) -> dict[str, int]:
    """Return by how much each tally fails to add up, where not 0.

    ``carried`` plus ``accepted`` must equal all outcomes plus the requests
    in flight.
    """
    found: dict[str, int] = collections.defaultdict(int)
    for kind, tally in tally_by_kind.items():
        completed = sum(tally[outcome.value] for outcome in Outcome)
        received = tally['carried'] + tally['accepted']
        difference = received - completed - tally['in_flight']
        if difference:
            found[kind] = difference
    return dict(found)

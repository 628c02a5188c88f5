"""Division of slots between rows and entry nodes.

``divide_rows`` computes the share of each row; ``divide_entries`` turns the
shares into a target for each entry node in proportion to its demand.
"""

import collections
import typing

from carawaymast_core import errors
from carawaymast_core import table as table_mod

__all__ = ['DemandByEntry', 'divide_entries', 'divide_rows']

DemandByEntry = typing.Mapping[str, typing.Mapping[str, int]]

EPSILON = 1e-9


def divide_rows(
    total: float,
    by_kind: typing.Mapping[str, table_mod.Row],
    demand_by_kind: typing.Mapping[str, int],
) -> dict[str, float]:
    """Return the number of slots of each row, including fractions.

    Each row first gets its demand up to its reserve. The remaining slots are
    divided rank by rank, and by weight within a rank, up to the demand and
    the limit of each row. Slots without demand are not divided.
    """
    cap_by_kind = {
        kind: min(float(demand), by_kind[kind].limit.of(total))
        for kind, demand in demand_by_kind.items()
        if kind in by_kind and demand > 0
    }
    share_by_kind = {
        kind: min(cap, by_kind[kind].reserve.of(total))
        for kind, cap in cap_by_kind.items()
    }
    _scale_down(share_by_kind, total)
    left = total - sum(share_by_kind.values())
    kinds_by_rank = collections.defaultdict(list)
    for kind in cap_by_kind:
        kinds_by_rank[by_kind[kind].rank].append(kind)
    for rank in sorted(kinds_by_rank):
        rows = [by_kind[kind] for kind in kinds_by_rank[rank]]
        left -= _fill_by_weight(left, rows, cap_by_kind, share_by_kind)
    errors.check(
        sum(share_by_kind.values()) <= total + 1e-6,
        f'shares exceed the total of {total} slots',
    )
    return share_by_kind


def divide_entries(
    total: int,
    by_kind: typing.Mapping[str, table_mod.Row],
    demand_by_entry: DemandByEntry,
) -> dict[str, int]:
    """Return the target number of slots of each entry node.

    The targets are whole numbers that add up to ``total`` at most. Slots left
    over by rounding go to the largest remainders, ties by name.
    """
    demand_by_kind: collections.Counter[str] = collections.Counter()
    for demands in demand_by_entry.values():
        demand_by_kind.update(demands)
    share_by_kind = divide_rows(total, by_kind, demand_by_kind)
    exact_by_entry = {
        entry: sum(
            share_by_kind.get(kind, 0.0) * count / demand_by_kind[kind]
            for kind, count in demands.items()
            if count
        )
        for entry, demands in demand_by_entry.items()
    }
    return _round_by_remainder(exact_by_entry, total)


def _scale_down(share_by_kind: dict[str, float], total: float) -> None:
    wanted = sum(share_by_kind.values())
    if wanted <= total:
        return
    for kind in share_by_kind:
        share_by_kind[kind] *= total / wanted


def _fill_by_weight(left, rows, cap_by_kind, share_by_kind) -> float:
    """Divide up to ``left`` slots between ``rows``; return the sum given."""
    given = 0.0
    open_rows = list(rows)
    while open_rows and left - given > EPSILON:
        weight = sum(row.weight for row in open_rows)
        unit = (left - given) / weight
        still_open = []
        for row in open_rows:
            missing = cap_by_kind[row.kind] - share_by_kind[row.kind]
            part = min(missing, unit * row.weight)
            share_by_kind[row.kind] += part
            given += part
            if missing - part > EPSILON:
                still_open.append(row)
        if len(still_open) == len(open_rows):
            break
        open_rows = still_open
    return given


def _round_by_remainder(exact_by_entry, total: int) -> dict[str, int]:
    floor_by_entry = {
        entry: int(exact + EPSILON) for entry, exact in exact_by_entry.items()
    }
    wanted = min(total, round(sum(exact_by_entry.values())))
    spare = wanted - sum(floor_by_entry.values())
    by_remainder = sorted(
        exact_by_entry,
        key=lambda entry: (
            floor_by_entry[entry] - exact_by_entry[entry],
            entry,
        ),
    )
    for entry in by_remainder[: max(0, spare)]:
        floor_by_entry[entry] += 1
    return floor_by_entry

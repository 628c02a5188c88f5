"""The table of weights and limits.

A ``Row`` sets the limits and the rank of one kind of work. ``parse`` and
``render`` convert a whole table from and to CSV. ``checked_row`` refuses a
row with invalid values, ``checked_table`` rows that contradict each other.
"""

import csv
import io
import typing

import msgspec

from carawaymast_core import errors

__all__ = [
    'Amount',
    'Row',
    'Table',
    'checked_row',
    'checked_table',
    'parse',
    'parse_row',
    'render',
    'row_fields',
    'row_for',
]

MAX_RANK = 9
MAX_WEIGHT = 1000.0
MAX_WAIT_MS = 7 * 24 * 3600 * 1000
MAX_QUEUE = 100_000
PERCENT = 100.0


class Amount(typing.NamedTuple):
    """A share of the fleet (0 to 1) or a count of slots."""

    value: float
    is_share: bool

    def of(self, total: float) -> float:
        """Return the number of slots that this amount is of ``total``."""
        if self.is_share:
            return self.value * total
        return self.value

    def share_of(self, total: float) -> float:
        """Return this amount as a share (0 to 1) of ``total`` slots."""
        if self.is_share:
            return self.value
        if total <= 0:
            return 0.0
        return min(1.0, self.value / total)

    def __str__(self) -> str:
        if self.is_share:
            return f'{self.value * PERCENT:g}%'
        return f'{self.value:g}'


class Row(typing.NamedTuple):
    """The limits and the rank of one kind of work.

    Rank 0 is the most urgent. ``reserve`` is the amount that the row gets
    however many requests other rows have; ``limit`` is the maximum that it
    gets. ``longest_wait_ms`` bounds the time from acceptance to start.
    """

    kind: str
    team: str
    rank: int
    weight: float
    limit: Amount
    reserve: Amount
    longest_wait_ms: int
    queue_bound: int
    preemptible: bool


class Table(typing.NamedTuple):
    """All rows by kind, and the version of the table in the log."""

    version: int
    by_kind: dict[str, Row]


EMPTY = Table(0, {})
COLUMNS = Row._fields


def parse_amount(column: str, text: str) -> Amount:
    """Return the amount written as ``text``, such as ``25%`` or ``12``.

    Raises ``SchedulerError`` of kind ``INVALID_ROW``.
    """
    try:
        if text.endswith('%'):
            return Amount(float(text[:-1]) / PERCENT, True)
        return Amount(float(text), False)
    except ValueError:
        raise _invalid(column, text, 'a count or a percentage') from None


def parse_row(fields: typing.Mapping[str, str]) -> Row:
    """Return the row with the given text ``fields``.

    Raises ``SchedulerError`` of kind ``INVALID_ROW`` if a column is unknown,
    missing or invalid.
    """
    for column in fields:
        if column not in COLUMNS:
            raise _invalid('column', str(column), ', '.join(COLUMNS))
    for column in COLUMNS:
        if not isinstance(fields.get(column), str):
            raise _invalid(column, str(fields.get(column)), 'a value')
    return checked_row(
        Row(
            kind=fields['kind'],
            team=fields['team'],
            rank=_parse_number(fields, 'rank', int),
            weight=_parse_number(fields, 'weight', float),
            limit=parse_amount('limit', fields['limit']),
            reserve=parse_amount('reserve', fields['reserve']),
            longest_wait_ms=_parse_number(fields, 'longest_wait_ms', int),
            queue_bound=_parse_number(fields, 'queue_bound', int),
            preemptible=_parse_flag(fields, 'preemptible'),
        )
    )


def row_fields(row: Row) -> dict[str, str]:
    """Return the text fields of ``row``; the inverse of ``parse_row``."""
    fields = {name: str(value) for name, value in row._asdict().items()}
    fields['weight'] = f'{row.weight:g}'
    fields['preemptible'] = 'yes' if row.preemptible else 'no'
    return fields


def checked_row(row: Row) -> Row:
    """Return ``row`` if all of its values are valid.

    Raises ``SchedulerError`` of kind ``INVALID_ROW`` otherwise.
    """
    _check_name('kind', row.kind)
    _check_name('team', row.team)
    _check_range('rank', row.rank, 0, MAX_RANK)
    _check_range('weight', row.weight, 0.001, MAX_WEIGHT)
    _check_range('longest_wait_ms', row.longest_wait_ms, 1, MAX_WAIT_MS)
    _check_range('queue_bound', row.queue_bound, 1, MAX_QUEUE)
    _check_amount('limit', row.limit)
    _check_amount('reserve', row.reserve)
    if row.limit.value == 0:
        raise _invalid('limit', str(row.limit), 'more than 0')
    same_unit = row.limit.is_share == row.reserve.is_share
    if same_unit and row.reserve.value > row.limit.value:
        raise _invalid('reserve', str(row.reserve), f'up to {row.limit}')
    return row


def checked_table(by_kind: dict[str, Row]) -> dict[str, Row]:
    """Return ``by_kind`` if its reserves add up to 100% at most.

    Raises ``SchedulerError`` of kind ``INVALID_ROW`` otherwise.
    """
    total = sum(
        row.reserve.value for row in by_kind.values() if row.reserve.is_share
    )
    if total > 1.0 + 1e-9:
        raise _invalid(
            'reserve', f'{total * PERCENT:g}% in all', 'up to 100% in all'
        )
    return by_kind


def parse(text: str) -> dict[str, Row]:
    """Return the rows by kind of a CSV text with a header line.

    Raises ``SchedulerError`` of kind ``INVALID_ROW``.
    """
    by_kind: dict[str, Row] = {}
    for fields in csv.DictReader(io.StringIO(text)):
        row = parse_row(fields)
        if row.kind in by_kind:
            raise _invalid('kind', row.kind, 'one row for each kind')
        by_kind[row.kind] = row
    return checked_table(by_kind)


def render(by_kind: typing.Mapping[str, Row]) -> str:
    """Return the CSV text of the rows, sorted by kind."""
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, lineterminator='\n')
    writer.writeheader()
    for kind in sorted(by_kind):
        writer.writerow(row_fields(by_kind[kind]))
    return out.getvalue()


def row_for(table: Table, kind: str, team: str) -> Row:
    """Return the row of a kind that belongs to ``team``.

    Raises ``SchedulerError`` of kind ``UNKNOWN_KIND`` if there is no such
    row, ``BAD_REQUEST`` if it belongs to another team.
    """
    row = table.by_kind.get(kind)
    if row is None:
        raise errors.SchedulerError(
            errors.ErrorKind.UNKNOWN_KIND,
            f'kind is {kind!r}, the table has no such row',
        )
    if row.team != team:
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST,
            f'team is {team!r}, allowed for kind {row.kind}: {row.team}',
        )
    return row


def encode_row(row: Row) -> dict[str, str]:
    """Return the log value of a row."""
    return row_fields(row)


def decode_row(value: object) -> Row:
    """Return the row of a log value."""
    return parse_row(msgspec.convert(value, dict[str, str]))


def _parse_number(fields, column, number_type):
    try:
        return number_type(fields[column])
    except ValueError:
        raise _invalid(column, fields[column], 'a number') from None


def _parse_flag(fields, column) -> bool:
    text = fields[column].lower()
    if text not in ('yes', 'no'):
        raise _invalid(column, fields[column], 'yes or no')
    return text == 'yes'


def _check_name(column: str, name: str) -> None:
    plain = name.replace('-', '').replace('_', '')
    if not plain.isalnum() or len(name) > 64:
        raise _invalid(column, name, 'letters, digits, - and _, up to 64')


def _check_range(column: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise _invalid(column, str(value), f'{low} to {high}')


def _check_amount(column: str, amount: Amount) -> None:
    high = 1.0 if amount.is_share else float(MAX_QUEUE)
    if not 0.0 <= amount.value <= high:
        raise _invalid(column, str(amount), '0 to 100% or a count')


def _invalid(column: str, value: str, allowed: str) -> errors.SchedulerError:
    return errors.SchedulerError(
        errors.ErrorKind.INVALID_ROW,
        f'{column} is {value!r}, allowed: {allowed}',
    )

"""The ``table`` commands: show, diff, apply and set."""

import time
import typing

from carawaymast_cli import client as client_mod
from carawaymast_cli import output
from carawaymast_core import table as table_mod

__all__ = ['apply', 'diff', 'set_columns', 'show']

IN_FORCE_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.1


def show(client: client_mod.Client, out: output.Output) -> int:
    """Print the table that is in force."""
    body = client.get('/v1/table')
    out.rows(body['rows'], table_mod.COLUMNS, body)
    return 0


def diff(client: client_mod.Client, out: output.Output, path: str) -> int:
    """Print the changes that ``apply`` would make.

    Return exit status 1 if there are any.
    """
    changes = _list_changes(client.get('/v1/table'), _read_table(path))
    out.rows(changes, ('kind', 'column', 'now', 'file'), changes)
    return 1 if changes else 0


def apply(client: client_mod.Client, out: output.Output, path: str) -> int:
    """Replace the table by that of a file and wait until it is in force."""
    rows = [table_mod.row_fields(row) for row in _read_table(path).values()]
    version = client.get('/v1/table')['version']
    answer = client.call('PUT', '/v1/table', rows, {'If-Match': str(version)})
    return _wait_until_in_force(client, out, answer['version'])


def set_columns(
    client: client_mod.Client,
    out: output.Output,
    kind: str,
    assignments: typing.Sequence[str],
) -> int:
    """Change columns of the row of ``kind``.

    ``assignments`` have the form ``column=value``. Raises ``CallError`` if
    there is no such row.
    """
    body = client.get('/v1/table')
    fields = next((r for r in body['rows'] if r['kind'] == kind), None)
    if fields is None:
        raise client_mod.CallError(f'the table has no row of kind {kind!r}')
    for assignment in assignments:
        column, _, value = assignment.partition('=')
        fields[column] = value
    row = table_mod.row_fields(table_mod.parse_row(fields))
    answer = client.call(
        'PUT',
        f'/v1/table/rows/{kind}',
        row,
        {'If-Match': str(body['version'])},
    )
    return _wait_until_in_force(client, out, answer['version'])


def _read_table(path: str) -> dict[str, table_mod.Row]:
    with open(path) as file:
        return table_mod.parse(file.read())


def _list_changes(body, by_kind) -> list[dict[str, str]]:
    current = {fields['kind']: fields for fields in body['rows']}
    desired = {kind: table_mod.row_fields(r) for kind, r in by_kind.items()}
    changes = []
    for kind in sorted(current | desired):
        for column in table_mod.COLUMNS[1:]:
            old = current.get(kind, {}).get(column, '')
            new = desired.get(kind, {}).get(column, '')
            if old != new:
                changes.append(
                    {'kind': kind, 'column': column, 'now': old, 'file': new}
                )
    return changes


def _wait_until_in_force(client, out: output.Output, version: int) -> int:
    """Wait until a version is in force on all live nodes, and print that.

    Return exit status 1 if it is not within ``IN_FORCE_TIMEOUT_S``.
    """
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        members = client.get('/v1/state')['members']
        in_force = sum(
            (member['table_version'] or 0) >= version
            for member in members.values()
        )
        is_timed_out = time.monotonic() > deadline_s
        if in_force == len(members) or is_timed_out:
            break
        time.sleep(POLL_INTERVAL_S)
    body = {'version': version, 'in_force': in_force, 'live': len(members)}
    out.line(
        f'version {version} is in force on {in_force} of {len(members)} '
        'live nodes',
        body,
    )
    return 0 if in_force == len(members) else 1

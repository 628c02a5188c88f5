"""The ``account`` command: check that each request has one outcome."""

from carawaymast_cli import client as client_mod
from carawaymast_cli import output

__all__ = ['show']

COLUMNS = (
    'kind',
    'team',
    'carried',
    'accepted',
    'done',
    'failed',
    'refused',
    'unknown',
    'disconnected',
    'in_flight',
    'difference',
)


def show(
    client: client_mod.Client,
    out: output.Output,
    first_day: str,
    last_day: str,
) -> int:
    """Print the tallies of a range of days by kind.

    Return exit status 1 if the outcomes of any kind do not add up. Requests
    in flight on a node that was killed stay counted as ``in_flight``; their
    callers lost the connection.
    """
    body = client.get(f'/v1/account?from={first_day}&to={last_day}')
    differences = body['differences']
    rows = [
        {'kind': kind, 'difference': differences.get(kind, 0), **tally}
        for kind, tally in sorted(body['by_kind'].items())
    ]
    out.rows(rows, COLUMNS, body)
    return 1 if differences else 0

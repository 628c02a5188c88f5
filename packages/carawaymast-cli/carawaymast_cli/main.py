"""The ``carawaymast`` command.

Commands::

    carawaymast table show
    carawaymast table diff FILE
    carawaymast table apply FILE
    carawaymast table set KIND COLUMN=VALUE ...
    carawaymast status
    carawaymast state NODE
    carawaymast job submit FILE
    carawaymast job show ID
    carawaymast job cancel ID
    carawaymast account [--from=DAY] [--to=DAY]
    carawaymast explain ID LOG...
"""

import datetime
import os
import sys
import typing

from absl import flags
import msgspec

from carawaymast_cli import accounts
from carawaymast_cli import client as client_mod
from carawaymast_cli import explain
from carawaymast_cli import output
from carawaymast_cli import tables
from carawaymast_core import errors

__all__ = ['run']

EXIT_FAILED = 1
EXIT_USAGE = 2

STATUS_COLUMNS = (
    'node',
    'domain',
    'ready',
    'table',
    'workers',
    'slots',
    'free',
    'held',
    'queued',
    'in_flight',
    'tasks',
    'jobs',
    'log',
)


class UsageError(Exception):
    """The command line is invalid."""


def define_flags(flag_values: flags.FlagValues) -> None:
    """Define the flags of the command line in ``flag_values``."""
    flags.DEFINE_list(
        'nodes',
        os.environ.get('CARAWAYMAST_NODES', 'http://127.0.0.1:8080'),
        'Comma-separated URLs of nodes.',
        flag_values=flag_values,
    )
    flags.DEFINE_bool(
        'json', False, 'Print JSON instead of tables.', flag_values=flag_values
    )
    flags.DEFINE_string(
        'key', None, 'Idempotency key of a job.', flag_values=flag_values
    )
    today = datetime.datetime.now(datetime.UTC).date().isoformat()
    for name in ('from', 'to'):
        flags.DEFINE_string(
            name,
            today,
            f'{name.capitalize()} this day, as 2026-12-31 (UTC).',
            flag_values=flag_values,
        )


def show_status(client: client_mod.Client, out: output.Output) -> int:
    """Print a row per node; return exit status 1 if any gave no answer."""
    states = client.get_from_all('/v1/state')
    rows = []
    for url, state in states.items():
        if state is None:
            rows.append({'node': url, 'ready': 'out of reach'})
            continue
        rows.append(
            {
                'node': state['node'],
                'domain': state['domain'],
                'ready': state['ready'],
                'table': state['table_version'],
                'workers': len(state['owner']['workers']),
                'slots': state['owner']['slots'],
                'free': state['owner']['slots_free'],
                'held': state['entry']['slots_held'],
                'queued': state['entry']['queued'],
                'in_flight': state['entry']['in_flight'],
                'tasks': state['owner']['tasks_running'],
                'jobs': state['jobs']['open'],
                'log': 'up' if state['log']['reachable'] else 'down',
            }
        )
    out.rows(rows, STATUS_COLUMNS, states)
    return EXIT_FAILED if None in states.values() else 0


def show_state(
    client: client_mod.Client, out: output.Output, node: str
) -> int:
    """Print the state of the node whose id or URL is ``node``."""
    for url, state in client.get_from_all('/v1/state').items():
        if state is not None and node in (url, state['node']):
            out.tree(state)
            return 0
    raise client_mod.CallError(f'no reachable node has the id or URL {node!r}')


def submit_job(
    client: client_mod.Client, out: output.Output, path: str, key: str | None
) -> int:
    """Submit the job of a JSON file and print its id."""
    with open(path, 'rb') as file:
        spec = msgspec.json.decode(file.read())
    headers = {'Idempotency-Key': key} if key else None
    answer = client.call('POST', '/v1/jobs', spec, headers)
    out.line(answer['job_id'], answer)
    return 0


def show_job(
    client: client_mod.Client, out: output.Output, job_id: str
) -> int:
    """Print a job's state and its tasks."""
    body = client.get(f'/v1/jobs/{job_id}')
    rows = [{'job': body['state'], **task} for task in body['tasks']]
    out.rows(rows, ('job', 'name', 'state', 'attempt', 'worker'), body)
    return 0


def cancel_job(
    client: client_mod.Client, out: output.Output, job_id: str
) -> int:
    """Cancel a job and print its state."""
    answer = client.call('DELETE', f'/v1/jobs/{job_id}')
    out.line(f'{job_id} {answer["state"]}', answer)
    return 0


def explain_id(
    out: output.Output, entity_id: str, paths: typing.Sequence[str]
) -> int:
    """Print the log lines of an id and a summary; exit status 1 if none."""
    lines = explain.find(explain.read_files(paths), entity_id)
    summary = explain.summarize(lines, entity_id)
    texts = [line.text(lines[0].at_s) for line in lines]
    body = {'lines': [line._asdict() for line in lines], 'cause': summary}
    out.line('\n'.join([*texts, summary]), body)
    return 0 if lines else EXIT_FAILED


def dispatch(args: typing.Sequence[str], values: flags.FlagValues) -> int:
    """Run the command in ``args`` and return its exit status.

    Raises ``UsageError`` if there is no such command.
    """
    client = client_mod.Client(values.nodes)
    out = output.Output(values.json)
    match list(args):
        case ['table', 'show']:
            return tables.show(client, out)
        case ['table', 'diff', path]:
            return tables.diff(client, out, path)
        case ['table', 'apply', path]:
            return tables.apply(client, out, path)
        case ['table', 'set', kind, *assignments] if assignments:
            return tables.set_columns(client, out, kind, assignments)
        case ['status']:
            return show_status(client, out)
        case ['state', node]:
            return show_state(client, out, node)
        case ['job', 'submit', path]:
            return submit_job(client, out, path, values.key)
        case ['job', 'show', job_id]:
            return show_job(client, out, job_id)
        case ['job', 'cancel', job_id]:
            return cancel_job(client, out, job_id)
        case ['account']:
            first_day, last_day = values['from'].value, values['to'].value
            return accounts.show(client, out, first_day, last_day)
        case ['explain', entity_id, *paths] if paths:
            return explain_id(out, entity_id, paths)
    raise UsageError(f'unknown command {" ".join(args)!r}\n{__doc__}')


def run() -> None:
    """Run the command line and exit: the ``carawaymast`` entry point."""
    values = flags.FlagValues()
    define_flags(values)
    try:
        args = values(sys.argv)[1:]
        status = dispatch(args, values)
    except (UsageError, flags.Error) as error:
        print(f'carawaymast: {error}', file=sys.stderr)
        status = EXIT_USAGE
    except (
        client_mod.CallError,
        errors.SchedulerError,
        msgspec.DecodeError,
        OSError,
    ) as error:
        print(f'carawaymast: {error}', file=sys.stderr)
        status = EXIT_FAILED
    sys.exit(status)

"""Steps that start a node with invalid settings."""

import os
import subprocess

from behave import then
from behave import when

from standins import deployment

VALID_SETTINGS = {
    'node_id': 'n',
    'http_port': '18080',
    'peer_port': '18081',
    'domain': 'd',
    'log_url': 'http://127.0.0.1:1',
    'vms_url': 'http://127.0.0.1:2',
}


def start(context, values, environment=()):
    arguments = [f'--{name}={value}' for name, value in values.items()]
    context.completed = subprocess.run(
        [str(deployment.DAEMON_PATH), *arguments],
        env=os.environ | dict(environment),
        capture_output=True,
        text=True,
        timeout=30,
    )


@when('carawaymastd is started with {name} as "{value}"')
def start_with(context, name, value):
    if name.startswith('CARAWAYMAST_'):
        setting = name.removeprefix('CARAWAYMAST_').lower()
        values = {k: v for k, v in VALID_SETTINGS.items() if k != setting}
        start(context, values, {name: value})
    else:
        start(context, VALID_SETTINGS | {name: value})


@when('carawaymastd is started without {name}')
def start_without(context, name):
    start(context, {k: v for k, v in VALID_SETTINGS.items() if k != name})


@then('it ends with status 2 and one line that has "{a}", "{b}" and "{c}"')
def ends_with(context, a, b, c):
    assert context.completed.returncode == 2, context.completed
    lines = context.completed.stderr.strip().splitlines()
    assert len(lines) == 1, lines
    for part in (a, b, c):
        assert part in lines[0], (part, lines[0])

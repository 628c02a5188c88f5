"""Steps on real node processes over a stand-in of the users' platform."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from behave import given
from behave import then
from behave import when

from standins import deployment
from standins import platform_http

LIMIT_S = 60.0
PAUSE_S = 0.1
NODES = 3
RUNNERS = 4
INTERNAL_PORT = 7_720
FRONT_PORT = 8_161
READY_PORT = 8_167
METRICS_PORT = 9_464
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "westlands"
internal_port_range = [{internal}, {internal}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
max_fds = 4000
cpu_share = 0.5
cores = 2
[bounds]
hold_max_ms = 10000
drain_ms = 2000
grace_s = 6
status_s = 120
[platform]
address = "127.0.0.1:{store}"
"""


class Node:
    """One carawaymastd on a loopback address of its own."""

    def __init__(self, number, directory, store_port):
        self.name = f'node-{number}'
        self.ip = f'127.0.7.{number + 1}'
        path = pathlib.Path(directory) / f'{self.name}.toml'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                internal=INTERNAL_PORT,
                front=FRONT_PORT,
                ready=READY_PORT,
                store=store_port,
            )
        )
        self.log_path = pathlib.Path(directory) / f'{self.name}.log'
        with self.log_path.open('w') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'carawaymast_node',
                    '--adapter=carawaymast_platform',
                ],
                env=os.environ | {'CARAWAYMAST_NODE_FILE': str(path)},
                stdout=log,
            )

    def call(self, method, path, body=None, port=FRONT_PORT):
        """Return the status and the body of an answer, (0, '') if none."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f'http://{self.ip}:{port}{path}',
            data,
            {'Host': platform_http.QUEUE_HOST},
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except OSError:
            return 0, ''

    def is_leader(self):
        _, text = self.call('GET', '/metrics', port=METRICS_PORT)
        return 'carawaymast_is_leader 1.0' in text


def wait_for(condition, what):
    until_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < until_s, f'{what}: not within {LIMIT_S} s'
        time.sleep(PAUSE_S)


def end(process):
    if process.poll() is None:
        process.kill()
    process.wait()


@given("three nodes and four runners on the platform's stand-in")
def start_nodes(context):
    directory = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.ports = [deployment.free_port() for _ in range(RUNNERS + 1)]
    platform = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'standins.platform_http',
            *map(str, context.ports),
        ],
        cwd=deployment.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(end, platform)
    assert platform.stdout.readline() == 'ready\n'
    context.nodes = [
        Node(number, directory, context.ports[0]) for number in range(NODES)
    ]
    for node in context.nodes:
        context.stack.callback(end, node.process)
    for node in context.nodes:
        wait_for(
            lambda node=node: (
                node.call('GET', '/-/readyz', port=READY_PORT)[0] == 200
            ),
            f'{node.name} is ready',
        )
    wait_for(
        lambda: any(node.is_leader() for node in context.nodes), 'a leader'
    )


@when('{count:d} jobs are handed in at different nodes')
def hand_in(context, count):
    context.job_paths = []
    phase = {'count': 3, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 600}
    for number in range(count):
        path = f'{platform_http.QUEUE_PREFIX}{number:016x}'
        node = context.nodes[number % NODES]
        status, text = node.call(
            'POST', path, {'spec': 'x', 'phases': [phase]}
        )
        assert status == 200, (status, text)
        context.job_paths.append(path)


@when('the leading node is killed')
def kill_leader(context):
    leader = next(node for node in context.nodes if node.is_leader())
    leader.process.send_signal(signal.SIGKILL)
    leader.process.wait()
    context.nodes.remove(leader)


@then('every job is shown as completed by the other nodes')
def all_completed(context):
    for node in context.nodes:
        for path in context.job_paths:
            wait_for(
                lambda node=node, path=path: (
                    '"completed"' in node.call('GET', path)[1]
                ),
                f'{path} at {node.name}',
            )


@then('no task was started twice without need')
def started_once(context):
    started = []
    for port in context.ports[1:]:
        url = f'http://127.0.0.1:{port}/started'
        started += deployment.call('GET', url)[1]['started']
    runs = [tuple(row) for row in started]
    assert len(runs) == len(set(runs)), runs
    tasks = {task for task, _ in runs}
    assert len(tasks) == 3 * len(context.job_paths), len(tasks)


@then('the metrics of a node name its store calls')
def metrics_shown(context):
    _, text = context.nodes[0].call('GET', '/metrics', port=METRICS_PORT)
    assert 'carawaymast_store_call_ms_count' in text, text


@then('the state of the leading node names its epoch, topics and workers')
def state_shown(context):
    states = [
        json.loads(node.call('GET', '/state', port=METRICS_PORT)[1])
        for node in context.nodes
    ]
    leading = [state for state in states if state['leads']]
    assert len(leading) == 1, states
    assert {state['leader'] for state in states} == {leading[0]['node']}
    assert {state['epoch'] for state in states} == {leading[0]['epoch']}
    assert len(leading[0]['workers']) == RUNNERS, leading
    assert leading[0]['cell']['workers_known'] == RUNNERS, leading
    topics = {topic['topic'] for topic in leading[0]['topics']}
    assert {'intake', 'state'} <= topics, topics


@then('its state goes to its log on SIGUSR1')
def state_logged(context):
    node = context.nodes[0]
    node.process.send_signal(signal.SIGUSR1)
    wait_for(
        lambda: 'carawaymast:state_asked' in node.log_path.read_text(),
        'the state in the log',
    )


@then('a stopped node ends with status 0')
def stops(context):
    node = context.nodes[0]
    node.process.send_signal(signal.SIGTERM)
    assert node.process.wait(LIMIT_S) == 0
    lines = node.log_path.read_text().splitlines()
    kinds = [json.loads(line)['message_type'] for line in lines]
    assert 'carawaymast:started' in kinds
    assert 'carawaymast:stopped' in kinds, kinds[-5:]

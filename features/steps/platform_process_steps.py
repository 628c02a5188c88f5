"""Steps on real node processes over a stand-in of the platform."""

import json
import signal
import tempfile
import time

from behave import given
from behave import then
from behave import when

from standins import deployment
from standins import platform_http
from standins import platform_nodes

TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
NODES = 3
READY = platform_nodes.READY_PORT
RUNNERS = 4


def wait_for(condition, description):
    until_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until_s, (
            f'{description}: not within {TIMEOUT_S} s'
        )
        time.sleep(POLL_INTERVAL_S)


def end(process):
    if process.poll() is None:
        process.kill()
    process.wait()


@given("three nodes and four runners on the platform's stand-in")
def start_nodes(context):
    directory = context.stack.enter_context(tempfile.TemporaryDirectory())
    platform, context.ports = platform_nodes.start_platform(RUNNERS)
    context.stack.callback(end, platform)
    context.nodes = [
        platform_nodes.Node(number, directory, context.ports[0])
        for number in range(NODES)
    ]
    for node in context.nodes:
        node.start()
    for node in context.nodes:
        context.stack.callback(end, node.process)
    for node in context.nodes:
        wait_for(
            lambda node=node: (
                node.call('GET', '/-/readyz', port=platform_nodes.READY_PORT)[
                    0
                ]
                == 200
            ),
            f'{node.name} is ready',
        )
    wait_for(
        lambda: any(node.is_leader() for node in context.nodes), 'a leader'
    )


@when('{count:d} jobs are submitted at different nodes')
def submit_jobs(context, count):
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


ODD_ENTRIES = (
    b'{"odd":' + b'[' * 100_000 + b']' * 100_000 + b'}',
    b'{"service":"desk","address":"127.0.0.1:99999","state":"ready",'
    b'"capacity":{"cpu":1,"mem_mb":1}}',
    b'{"service":"desk","address":"127.0.0.1:80","state":"ready",'
    b'"capacity":{"cpu":1' + b'0' * 30 + b'}}',
)


@when('another writer leaves odd entries of runners')
def leave_odd_entries(context):
    for number, entry in enumerate(ODD_ENTRIES):
        platform_nodes.put_record(
            context.ports[0], 'keyed.servers', f'odd-{number}', entry
        )


@when('the leading node is killed and starts again')
def restart_leader(context):
    nodes = list(context.nodes)
    kill_leader(context)
    (killed,) = (node for node in nodes if node not in context.nodes)
    killed.start()
    context.stack.callback(end, killed.process)
    context.nodes.append(killed)
    wait_for(
        lambda: killed.call('GET', '/-/readyz', port=READY)[0] == 200,
        'the node is ready again',
    )
    wait_for(
        lambda: any(node.is_leader() for node in context.nodes), 'a leader'
    )


@then('all nodes run, and the leader names each odd entry in one line')
def odd_entries_named(context):
    assert all(node.process.poll() is None for node in context.nodes)
    leader = next(node for node in context.nodes if node.is_leader())
    events = [
        json.loads(line) for line in leader.log_path.read_text().splitlines()
    ]
    kinds = [event['message_type'] for event in events]
    # An earlier process of the node may have been killed before it wrote.
    started = len(kinds) - kinds[::-1].index('carawaymast:started')
    terms = kinds[started:].count('carawaymast:leading')
    odd = [
        event
        for event in events[started:]
        if 'worker_entry_unreadable' in event['message_type']
    ]
    for number in range(len(ODD_ENTRIES)):
        lines = [e for e in odd if e['worker'] == f'odd-{number}']
        # Each term of a leader reads the list anew.
        assert 1 <= len(lines) <= terms, (number, terms, lines)
    assert all(event['error'] for event in odd), odd


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


@then('no run of a task was started twice')
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
    _, text = context.nodes[0].call(
        'GET', '/metrics', port=platform_nodes.METRICS_PORT
    )
    assert 'carawaymast_store_call_ms_count' in text, text


@then('the state of the leading node names its epoch, topics and workers')
def state_shown(context):
    states = [
        json.loads(
            node.call('GET', '/state', port=platform_nodes.METRICS_PORT)[1]
        )
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
    assert node.process.wait(TIMEOUT_S) == 0
    lines = node.log_path.read_text().splitlines()
    kinds = [json.loads(line)['message_type'] for line in lines]
    assert 'carawaymast:started' in kinds
    assert 'carawaymast:stopped' in kinds, kinds[-5:]

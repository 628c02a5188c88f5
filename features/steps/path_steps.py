"""Steps that talk to a running deployment over HTTP and raw sockets."""

import asyncio
import concurrent.futures
import json
import signal
import socket
import subprocess
import tempfile
import time

from behave import given
from behave import then
from behave import when

from standins import deployment
from standins import load

COMMAND = deployment.DAEMON_PATH.parent / 'carawaymast'
MAX_CONNECTIONS = 120
SETTINGS = {
    'client_timeout_ms': '700',
    'max_connections': str(MAX_CONNECTIONS),
}
SOCKET_TIMEOUT_S = 10.0


@given('the shared deployment')
def shared_deployment(context):
    if not hasattr(context.feature, 'cluster'):
        cluster = deployment.Deployment(settings=SETTINGS)
        context.feature.cluster = cluster.__enter__()
    context.cluster = context.feature.cluster


def url(context, node='node-0'):
    return context.cluster.url_by_name[node]


def post(context, path, raw, headers=None, node='node-0'):
    command = ['curl', '-s', '-m', '10', '-w', '\n%{http_code}']
    for name, value in (headers or {}).items():
        command += ['-H', f'{name}: {value}']
    command += ['--data-binary', raw, url(context, node) + path]
    completed = subprocess.run(command, capture_output=True, text=True)
    body, _, status = completed.stdout.rpartition('\n')
    context.status = int(status)
    context.body = json.loads(body)


@when('a caller sends {raw}')
def send(context, raw):
    post(context, '/v1/requests', raw)


@when(
    '{count:d} requests with different answers are sent at once through '
    'all nodes'
)
def send_many(context, count):
    urls = [url(context, node) for node in context.cluster.node_names]
    stream = load.Stream('glyph-preview', 'ficha', 1, 30, True, 5_000)
    arrivals = [load.Arrival(0.0, stream, number) for number in range(count)]
    context.caller = load.Caller(lambda: urls)
    asyncio.run(context.caller.send_load(arrivals))


@then('each caller has the whole answer to its own request')
def whole_answers(context):
    result = context.caller.result_by_kind['glyph-preview']
    assert result.wrong_answers == 0
    assert result.done > 0 and result.is_consistent
    assert result.done + result.refused == result.sent, vars(result)


@then('the status is {status:d}')
def status_is(context, status):
    assert context.status == status, (context.status, context.body)


@then('the status is {status:d} and the body has "{field}" as "{value}"')
def status_and_field(context, status, field, value):
    status_is(context, status)
    assert context.body[field] == value, context.body


@then('the body has "{field}" as "{value}"')
def field_is(context, field, value):
    assert context.body[field] == value, context.body


@then('the result is {raw}')
def result_is(context, raw):
    assert context.body['result'] == json.loads(raw), context.body


def job_raw(gang, count, cpu, memory, accelerators, run_ms=300):
    size = (cpu, memory, accelerators)
    body = load.job_body('renewal', 'kilima', count, size, run_ms, gang)
    return json.dumps(body)


@when(
    'a caller submits a {gang} job of {count:d} tasks with {cpu:d} '
    'processors, {memory:d} MB and {accelerators:d} accelerators'
)
def submit_job(context, gang, count, cpu, memory, accelerators):
    raw = job_raw(gang == 'gang', count, cpu, memory, accelerators)
    post(context, '/v1/jobs', raw)


@then('the job is done within {seconds:d} s on every node')
def job_done(context, seconds):
    path = '/v1/jobs/' + context.body['job_id']

    def is_done():
        return all(
            deployment.call('GET', url(context, node) + path)[1].get('state')
            == 'done'
            for node in context.cluster.node_names
        )

    context.cluster.wait_until(is_done, 'the job', seconds)


@when('a caller submits the same job twice with one key')
def submit_twice(context):
    raw = job_raw(False, 1, 100, 10, 0)
    context.job_ids = []
    for node in ('node-0', 'node-1'):
        post(context, '/v1/jobs', raw, {'Idempotency-Key': 'one'}, node)
        assert context.status == 202, context.body
        context.job_ids.append(context.body['job_id'])
        time.sleep(1)


@then('both answers name the same job')
def same_job(context):
    assert len(set(context.job_ids)) == 1, context.job_ids


@when('a caller submits a job of {seconds:d} s and cancels it')
def submit_and_cancel(context, seconds):
    post(context, '/v1/jobs', job_raw(False, 2, 100, 10, 0, seconds * 1000))
    context.job_id = context.body['job_id']
    path = '/v1/jobs/' + context.job_id
    context.cluster.wait_until(
        lambda: running_tasks(context) == 2, 'the tasks to run', 10
    )
    status, body = deployment.call('DELETE', url(context) + path)
    assert status == 200 and body['state'] == 'cancelled', body


def running_tasks(context):
    return sum(
        ref.startswith(context.job_id)
        for worker in context.cluster.worker_names
        for ref in context.cluster.evidence(worker)['running']
    )


@then('the job is cancelled and no worker runs it after {seconds:d} s')
def job_cancelled(context, seconds):
    context.cluster.wait_until(
        lambda: running_tasks(context) == 0, 'the tasks to stop', seconds
    )


REQUEST_HEAD = 'POST /v1/requests HTTP/1.1\r\nHost: x\r\n'
RAW_BY_NAME = {
    'no Host': 'GET /livez HTTP/1.1\r\n\r\n',
    'a head of 20000 bytes': REQUEST_HEAD + 'X: ' + 'a' * 20_000 + '\r\n\r\n',
    '400 headers of 100 bytes': REQUEST_HEAD
    + ('Y: ' + 'b' * 95 + '\r\n') * 400,
    'a body of 300000 bytes': REQUEST_HEAD
    + 'Content-Length: 300000\r\n\r\n'
    + 'c' * 300_000,
    'a length of 99999999999': REQUEST_HEAD
    + 'Content-Length: 99999999999\r\n\r\n'
    + 'd' * 300_000,
    'a length of -1': REQUEST_HEAD + 'Content-Length: -1\r\n\r\n',
    'two lengths': REQUEST_HEAD
    + 'Content-Length: 1\r\nContent-Length: 2\r\n\r\n',
    'half a head and then nothing': REQUEST_HEAD,
    'half a body and then nothing': REQUEST_HEAD
    + 'Content-Length: 9\r\n\r\nabc',
    'garbage': '\x00\x01\x02 nothing\r\n\r\n',
}


def connect(context):
    port = context.cluster.port_by_name['node-0']
    sock = socket.create_connection(('127.0.0.1', port), SOCKET_TIMEOUT_S)
    context.stack.enter_context(sock)
    return sock


def read_all(sock):
    received = b''
    try:
        while data := sock.recv(65_536):
            received += data
    except ConnectionResetError:
        pass
    return received.decode('latin-1')


@when('a client sends {what}')
def send_raw(context, what):
    if what.startswith('two requests'):
        return send_pipelined(context)
    sock = connect(context)
    try:
        sock.sendall(RAW_BY_NAME[what].encode('latin-1'))
    except OSError:
        pass
    context.received = read_all(sock)


def send_pipelined(context):
    body = json.dumps(
        {
            'kind': 'renewal',
            'team': 'kilima',
            'deadline_ms': 5_000,
            'idempotent': False,
            'payload': {'run_ms': 100, 'echo': 'first'},
        }
    )
    one = f'{REQUEST_HEAD}Content-Length: {len(body)}\r\n\r\n{body}'
    sock = connect(context)
    sock.sendall(one.encode() + one.replace('first', 'later').encode())
    context.received = read_all(sock)


@then('the raw answer begins with "{answer}"')
def raw_answer(context, answer):
    assert context.received.startswith(answer), context.received[:200]


@then('the connection is closed')
def connection_closed(context):
    """Check for one answer; ``read_all`` has returned, so no more can come."""
    assert context.received.count('HTTP/1.1') == 1, context.received


@then('the first is answered and the connection is closed')
def first_answered(context):
    connection_closed(context)
    assert 'first' in context.received, context.received


@when('{count:d} clients connect and send nothing')
def connect_many(context, count):
    context.clients = [connect(context) for _ in range(count)]


@then('a node still answers others and at most {most:d} stay connected')
def still_answers(context, most):
    def is_bounded():
        state = context.cluster.state('node-1')
        assert state['ready']
        open_total = 0
        for sock in context.clients:
            sock.settimeout(0.01)
            try:
                if sock.recv(65_536, socket.MSG_PEEK):
                    continue
            except TimeoutError:
                open_total += 1
            except OSError:
                continue
        return open_total <= most

    context.cluster.wait_until(is_bounded, 'the bound', 10)
    for sock in context.clients:
        sock.close()
    context.cluster.wait_until(
        lambda: context.cluster.state('node-0')['connections'] < most,
        'the connections to end',
    )


def put_row(context, node, version, changes):
    table = deployment.call('GET', url(context, node) + '/v1/table')[1]
    row = next(r for r in table['rows'] if r['kind'] == 'roster')
    return deployment.call(
        'PUT',
        url(context, node) + '/v1/table/rows/roster',
        row | changes,
        {'If-Match': str(version or table['version'])},
    )


@when('two operators edit the table from the same version')
def edit_race(context):
    table = deployment.call('GET', url(context) + '/v1/table')[1]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        calls = [
            pool.submit(
                put_row, context, node, table['version'], {'weight': weight}
            )
            for node, weight in (('node-0', '1.5'), ('node-1', '1'))
        ]
        context.edits = [call.result() for call in calls]


@then('one has status 200 and the other 409 and "conflict"')
def one_lost(context):
    statuses = sorted(status for status, _ in context.edits)
    assert statuses == [200, 409], context.edits
    lost = next(body for status, body in context.edits if status == 409)
    assert lost['error'] == 'conflict', lost
    put_row(context, 'node-0', 0, {'weight': '1'})


@when('an operator sets "{column}" to "{value}"')
def set_cell(context, column, value):
    context.status, context.body = put_row(
        context, 'node-0', 0, {column: value}
    )


@when('SIGUSR1 is sent to {node}')
def signal_node(context, node):
    context.node = node
    context.cluster.signal(node, signal.SIGUSR1)


@then('its dump names the node and has the fields of /v1/state')
def dump_written(context):
    path = context.cluster.log_path(f'{context.node}.err')
    context.cluster.wait_until(
        lambda: '"fleet_slots"' in path.read_text(), 'the dump'
    )
    # The dump is a JSON object whose first key is "node".
    lines = [x for x in path.read_text().splitlines() if x.startswith('{"no')]
    dumped = json.loads(lines[-1])
    assert dumped['node'] == context.node
    assert dumped.keys() == context.cluster.state(context.node).keys()


def run_command(context, words):
    nodes = ','.join(url(context, n) for n in context.cluster.node_names)
    return subprocess.run(
        [str(COMMAND), f'--nodes={nodes}', *words],
        cwd=deployment.ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@when('an operator runs "{command}"')
def run_operator_command(context, command):
    context.completed = run_command(context, command.split())


@then('the exit status is {status:d} and the output has "{text}"')
def command_ended(context, status, text):
    assert context.completed.returncode == status, context.completed
    assert text in context.completed.stdout + context.completed.stderr, (
        context.completed
    )


@when('an operator submits a job, shows it and cancels it')
def run_job_commands(context):
    with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
        file.write(job_raw(False, 1, 100, 10, 0, 60_000))
        file.flush()
        submitted = run_command(context, ['job', 'submit', file.name])
    job_id = submitted.stdout.strip()
    shown = run_command(context, ['job', 'show', job_id])
    cancelled = run_command(context, ['job', 'cancel', job_id])
    context.results = [submitted, shown, cancelled]


@then('the exit statuses are 0, 0, 0')
def all_succeeded(context):
    assert [e.returncode for e in context.results] == [0, 0, 0], (
        context.results
    )

"""Steps that make real processes fail under load."""

import asyncio
import os
import signal
import subprocess
import sys
import threading
import time

from behave import given
from behave import then
from behave import when

from carawaymast_core import account
from standins import deployment
from standins import load

SEED = 11
STREAMS = [
    load.Stream('glyph-preview', 'ficha', 40, 20, True, 8_000),
    load.Stream('renewal', 'kilima', 40, 60, False, 30_000),
    load.Stream('roster', 'kilima', 5, 300, False, 30_000),
]
READY_POLL_S = 0.1
JOIN_TIMEOUT_S = 60


class SteadyLoad:
    """A steady load on a deployment, in a thread of its own."""

    def __init__(self, cluster, seconds, urls, factor):
        self.cluster = cluster
        self.caller = load.Caller(urls)
        streams = [s._replace(rate=s.rate * factor) for s in STREAMS]
        self.arrivals = load.draw_arrivals(streams, seconds, SEED)
        self.started = time.monotonic()
        self.thread = threading.Thread(target=self._send_load)
        self.thread.start()

    def _send_load(self):
        asyncio.run(self.caller.send_load(self.arrivals))

    def join(self):
        self.thread.join(JOIN_TIMEOUT_S)
        assert not self.thread.is_alive(), 'callers still wait for answers'

    def sleep_until(self, seconds):
        left = self.started + seconds - time.monotonic()
        time.sleep(max(0, left))


def live_urls(cluster, without=()):
    return [
        cluster.url_by_name[name]
        for name in cluster.node_names
        if name not in without and cluster.process_by_name[name].poll() is None
    ]


class LoadBalancer:
    """Poll which nodes are ready, as the platform's load balancer does."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.urls = live_urls(cluster)
        self.is_closed = False
        threading.Thread(target=self._poll, daemon=True).start()

    def _poll(self):
        while not self.is_closed:
            ready = []
            for url in live_urls(self.cluster):
                try:
                    if deployment.call('GET', f'{url}/readyz')[0] == 200:
                        ready.append(url)
                except (OSError, ValueError):
                    continue
            self.urls = ready or self.urls
            time.sleep(READY_POLL_S)


@given('a deployment of {nodes:d} nodes and {workers:d} workers')
def start_deployment(context, nodes, workers):
    context.cluster = context.stack.enter_context(
        deployment.Deployment(nodes, workers)
    )
    context.load = None


def begin_load(context, seconds, urls, factor=1):
    context.load = SteadyLoad(context.cluster, seconds, urls, factor)
    context.stack.callback(context.load.thread.join)


@given('a steady load for {seconds:d} s')
def start_load(context, seconds):
    begin_load(context, seconds, lambda: live_urls(context.cluster))


@given('a steady load for {seconds:d} s at {factor:d} times the rate')
def start_heavy_load(context, seconds, factor):
    urls = live_urls(context.cluster)
    begin_load(context, seconds, lambda: urls, factor)


@given('a steady load for {seconds:d} s that follows readiness')
def start_balanced_load(context, seconds):
    balancer = LoadBalancer(context.cluster)
    begin_load(context, seconds, lambda: balancer.urls)
    context.stack.callback(setattr, balancer, 'is_closed', True)


@given('a steady load for {seconds:d} s that avoids {node}')
def start_avoiding_load(context, seconds, node):
    begin_load(context, seconds, lambda: live_urls(context.cluster, {node}))


@given('a job of {count:d} tasks of {run_ms:d} ms over HTTP')
def start_job(context, count, run_ms):
    body = load.job_body('roster', 'kilima', count, (1_000, 100, 0), run_ms)
    url = live_urls(context.cluster)[0]
    status, answer = deployment.call('POST', f'{url}/v1/jobs', body)
    assert status == 202, answer
    context.job_id = answer['job_id']


def start_relay(context, target_port):
    port = deployment.free_port()
    context.relay = subprocess.Popen(
        [sys.executable, '-m', 'standins.relay', str(port), str(target_port)],
        cwd=deployment.ROOT,
    )
    context.stack.callback(context.relay.wait)
    context.stack.callback(context.relay.terminate)
    return port


@given('{worker} is reached through a relay')
def relay_worker(context, worker):
    cluster = context.cluster
    port = start_relay(context, cluster.port_by_name[worker])
    cluster.add_vm(worker, 'worker', port, 0, deployment.DOMAINS[0])
    # Until the nodes have read the list.
    time.sleep(2)


@given('{node} is reached by its peers through a relay')
def relay_node(context, node):
    """Put a relay before a node's peer port and list the relay's port."""
    cluster = context.cluster
    ports = cluster.peer_port_by_name
    port = start_relay(context, ports[node])
    cluster.add_vm(
        node, 'node', cluster.port_by_name[node], port, deployment.DOMAINS[1]
    )
    # Until the nodes have read the list.
    time.sleep(2)


@when('the process {node} is killed after {seconds:d} s')
def kill_node(context, node, seconds):
    context.load.sleep_until(seconds)
    context.cluster.kill(node)
    context.cluster.remove_vm(node)
    context.killed = node


@when('{node} is stopped by SIGTERM after {seconds:d} s')
def stop_node(context, node, seconds):
    context.load.sleep_until(seconds)
    context.cluster.signal(node, signal.SIGTERM)


@when('every node is replaced by a new one')
def replace_nodes(context):
    cluster = context.cluster
    for number, name in enumerate(list(cluster.node_names)):
        context.load.sleep_until(1 + 6 * number)
        domain = deployment.DOMAINS[number]
        new = f'node-{number}b'
        cluster.start_node(new, domain)
        cluster.wait_until(
            lambda new=new: (
                deployment.call('GET', f'{cluster.url_by_name[new]}/readyz')[0]
                == 200
            ),
            new,
        )
        cluster.signal(name, signal.SIGTERM)
        cluster.process_by_name[name].wait(30)
        assert cluster.process_by_name[name].returncode == 0
        cluster.remove_vm(name)


@when('{node} is frozen after {after:d} s for {length:d} s')
def freeze_node(context, node, after, length):
    context.load.sleep_until(after)
    context.cluster.signal(node, signal.SIGSTOP)
    time.sleep(length)
    context.cluster.signal(node, signal.SIGCONT)


@when('the worker that ran most is listed as leaving after {seconds:d} s')
def list_busiest_as_leaving(context, seconds):
    """List as leaving the worker with the most runs, so one that had work."""
    cluster = context.cluster
    context.load.sleep_until(seconds)
    runs = {
        name: cluster.evidence(name)['counters']['runs']
        for name in cluster.worker_names
    }
    context.leaving = max(runs, key=runs.get)
    number = cluster.worker_names.index(context.leaving)
    cluster.add_vm(
        context.leaving,
        'worker',
        cluster.port_by_name[context.leaving],
        0,
        deployment.DOMAINS[number % len(deployment.DOMAINS)],
        'leaving',
    )


@when('the relay silences all open connections after {seconds:d} s')
def silence_connections(context, seconds):
    if context.load is not None:
        context.load.sleep_until(seconds)
    context.relay.send_signal(signal.SIGUSR1)


@when('the log is down after {after:d} s for {length:d} s')
def log_down(context, after, length):
    log_fault(context, after, length, 'down')


@when('the log hangs after {after:d} s for {length:d} s')
def log_hangs(context, after, length):
    log_fault(context, after, length, 'hang')


def log_fault(context, after, length, fault):
    url = context.cluster.url_by_name['log'] + '/v1/fault'
    time.sleep(after)
    deployment.call('POST', url, {fault: True})
    time.sleep(length)
    deployment.call('POST', url, {fault: False})


@then('the load has run')
def load_ran(context):
    context.load.join()
    sent = sum(r.sent for r in context.load.caller.result_by_kind.values())
    assert sent == len(context.load.arrivals)


@then('only callers of {node} lost their connection')
def only_callers_lost(context, node):
    results = context.load.caller.result_by_kind.values()
    lost = sum(r.node_lost for r in results)
    unknown = sum(r.unknown for r in results)
    assert all(r.is_consistent for r in results)
    assert unknown == 0, f'{unknown} unknown outcomes'
    assert lost < len(context.load.arrivals) / 10, lost


@then('{node} ended with status {status:d}')
def ended_with(context, node, status):
    process = context.cluster.process_by_name[node]
    assert process.wait(30) == status


@then('no caller saw a failure')
@then('every request is done')
def no_failure(context):
    for kind, result in context.load.caller.result_by_kind.items():
        assert result.done == result.sent, (
            kind,
            vars(result),
            context.load.caller.first_errors,
        )
        assert not result.wrong_answers


@then('every request has one outcome')
def one_outcome(context):
    for kind, result in context.load.caller.result_by_kind.items():
        assert result.is_consistent, (kind, vars(result))
        assert not result.node_lost, (kind, vars(result))


@then('nothing ran twice, and nothing reported as "not run" ran')
def nothing_ran_twice(context):
    cluster = context.cluster
    executed = {}
    for worker in cluster.worker_names:
        evidence = cluster.evidence(worker)
        counters = evidence['counters']
        for violation in ('doubles', 'overlaps', 'overcommits'):
            assert not counters[violation], (worker, counters)
        for name, count in evidence['executions'].items():
            if name not in evidence['repeatable']:
                executed[name] = executed.get(name, 0) + count
    doubled = {name: n for name, n in executed.items() if n != 1}
    assert not doubled, doubled
    if context.load is not None:
        ran_anyway = context.load.caller.not_run_ids & executed.keys()
        assert not ran_anyway, ran_anyway


@then('the job over HTTP is done within {seconds:d} s')
def job_done(context, seconds):
    path = f'/v1/jobs/{context.job_id}'
    context.cluster.wait_until(
        lambda: (
            deployment.call('GET', live_urls(context.cluster)[0] + path)[
                1
            ].get('state')
            == 'done'
        ),
        'the job',
        seconds,
    )


@then('the account of all nodes adds up')
def account_adds_up(context):
    """Compare the account, which includes the replaced nodes' counts."""
    url = live_urls(context.cluster)[0]
    day = time.strftime('%Y-%m-%d', time.gmtime())
    sent = {
        kind: result.sent
        for kind, result in context.load.caller.result_by_kind.items()
    }

    def is_whole():
        path = f'{url}/v1/account?from={day}&to={day}'
        by_kind = deployment.call('GET', path)[1]['by_kind']
        assert not account.differences(by_kind), by_kind
        return {k: t['accepted'] for k, t in by_kind.items()} == sent

    context.cluster.wait_until(is_whole, 'the account', 10)


@then('that worker gets no new work {seconds:d} s later')
def no_new_work(context, seconds):
    worker = context.leaving
    time.sleep(seconds)
    before = context.cluster.evidence(worker)['counters']['runs']
    time.sleep(2)
    after = context.cluster.evidence(worker)['counters']['runs']
    assert before and after == before, (before, after)


@then('silent connections were found and replaced')
def silence_found(context):
    found = sum(
        deployment.call('GET', f'{url}/v1/metrics')[1]['endpoints']['silent']
        for url in live_urls(context.cluster)
    )
    assert found > 0


@then('all nodes see all members again within {seconds:d} s')
def members_back(context, seconds):
    cluster = context.cluster
    time.sleep(1)

    def is_whole():
        return all(
            len(cluster.state(name)['members']) == len(cluster.node_names)
            for name in cluster.node_names
        )

    cluster.wait_until(is_whole, 'the members', seconds)


@then('a keyed request is done within {seconds:d} s')
def keyed_done(context, seconds):
    body = {
        'kind': 'renewal',
        'team': 'kilima',
        'deadline_ms': seconds * 1000,
        'idempotent': False,
        'payload': {'run_ms': 10, 'echo': 'keyed'},
    }
    answers = [
        deployment.call(
            'POST',
            f'{url}/v1/requests',
            body,
            {'Idempotency-Key': 'after'},
            seconds + 5,
        )
        for url in live_urls(context.cluster)
    ]
    assert all(status == 200 for status, _ in answers), answers
    assert all(body == answers[0][1] for _, body in answers), answers


@when('the demo runs')
def run_demo(context):
    context.demo = subprocess.run(
        [sys.executable, '-m', 'standins.demo'],
        cwd=deployment.ROOT,
        capture_output=True,
        text=True,
        timeout=180,
    )


@then('it exits with 0 and prints that the account adds up')
def demo_adds_up(context):
    assert context.demo.returncode == 0, context.demo.stdout[-3000:]
    assert 'the account adds up' in context.demo.stdout


@when('the deployment is started to stay up')
def start_up(context):
    context.up = subprocess.Popen(
        [sys.executable, '-m', 'standins.up'],
        cwd=deployment.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(context.up.wait)
    context.stack.callback(context.up.terminate)
    context.lines = []
    for line in context.up.stdout:
        context.lines.append(line.split())
        if context.lines[-1] == ['ready']:
            break


@then('it prints {nodes:d} nodes, {processes:d} processes and ready')
def prints_lines(context, nodes, processes):
    kinds = [line[0] for line in context.lines]
    assert kinds.count('node') == nodes, context.lines
    assert kinds.count('pid') == processes, context.lines
    assert kinds[-1] == 'ready', context.lines
    for line in context.lines[:nodes]:
        assert deployment.call('GET', f'{line[1]}/readyz')[0] == 200


@then('after SIGTERM it ends with status 0 and leaves no process')
def up_ends(context):
    pids = [int(line[2]) for line in context.lines if line[0] == 'pid']
    assert all(os.path.exists(f'/proc/{pid}') for pid in pids)
    context.up.send_signal(signal.SIGTERM)
    assert context.up.wait(60) == 0
    assert not any(os.path.exists(f'/proc/{pid}') for pid in pids)

"""A soak test: node processes under random faults, checked at the runners.

``python -m bench.soak SECONDS SEED`` submits jobs to 5 nodes while nodes are
killed, frozen and stopped at random, the store has random faults and runners
crash, by themselves or by a task. Then it repairs everything and checks that
each accepted job completes, or fails if a task of it crashes its runners, that
no task ran on two runners at once, that none ran again after it was done,
that none was started three times after three runners had crashed under it, and
that each node finds the queue of the newest version of the configuration,
which an operator changes meanwhile. Another writer leaves odd entries among
those of the runners. It prints a report and exits with 1 if a check fails.
"""

import collections
import http.client
import json
import random
import signal
import sys
import tempfile
import time
import typing

from standins import deployment
from standins import platform_http
from standins import platform_nodes

__all__ = ['main']

NODES = 5
# Soaks with different seeds may run at the same time.
FIRST_SUBNET = 10
SUBNETS = 200
CALL_TIMEOUT_S = 5.0
RUNNERS = 6
JOB_INTERVAL_S = 0.25
FAULT_INTERVAL_S = 3.0
# For all jobs to complete, once all nodes and the store are repaired.
COMPLETION_TIMEOUT_S = 60.0
# The share of jobs of which the task crashes its runners.
CRASHING_SHARE = 0.05
# The platform's limits for such a task.
MAX_CRASHES = 3
MAX_LATE_STARTS = 2
SIGNAL_BY_FAULT = {
    'kill': signal.SIGKILL,
    'freeze': signal.SIGSTOP,
    'stop': signal.SIGTERM,
}
# How often, at each job, the operator declares a version, and another writer
# leaves an entry among those of the runners.
VERSION_SHARE = 0.1
ODD_ENTRY_SHARE = 0.05
ODD_ENTRIES = (
    b'{"odd":' + b'[' * 100_000 + b']' * 100_000 + b'}',
    b'{"service":"desk","address":"127.0.0.1:0","state":"ready",'
    b'"capacity":{"cpu":4000,"mem_mb":8000}}',
    b'\xff\xfe',
)
STORE_FAULTS = ('busy', 'silent', 'lost', 'late', 'forgetful')


class _Repair(typing.NamedTuple):
    """When to repair a node, in monotonic s; a frozen one is only resumed."""

    at_s: float
    is_frozen: bool


class Soak:
    """One run: its nodes, and the accepted jobs and faults so far."""

    def __init__(self, directory: str, seed: int):
        self._random = random.Random(seed)
        subnet = FIRST_SUBNET + seed % SUBNETS
        # Callers keep their connections until these break.
        self._connection_by_name: dict[str, http.client.HTTPConnection] = {}
        self._platform, self._ports = platform_nodes.start_platform(RUNNERS)
        self._nodes = [
            platform_nodes.Node(number, directory, self._ports[0], subnet)
            for number in range(NODES)
        ]
        # Nodes that are down, frozen or shutting down, by number.
        self._repair_by_number: dict[int, _Repair] = {}
        # Counts by status, 0 for a call without an answer.
        self.answers: collections.Counter[int] = collections.Counter()
        self.faults: collections.Counter[str] = collections.Counter()
        self.accepted_paths: list[str] = []
        self.crashing_paths: set[str] = set()
        self._job_number = 0
        # Its own source, so that a seed's faults stay the same.
        self._writer_random = random.Random(f'{seed}-writer')
        self._version = 1

    def __enter__(self) -> 'Soak':
        for node in self._nodes:
            node.start()
        return self

    def __exit__(self, *exc_info) -> None:
        for process in [*(n.process for n in self._nodes), self._platform]:
            if process.poll() is None:
                process.kill()
            process.wait()

    def run(self, seconds: float) -> None:
        """Submit jobs and inject faults for ``seconds``."""
        until_s = time.monotonic() + seconds
        next_fault_s = time.monotonic() + 2 * FAULT_INTERVAL_S
        while time.monotonic() < until_s:
            self._submit_job()
            self._repair()
            self._write()
            if time.monotonic() >= next_fault_s:
                next_fault_s += FAULT_INTERVAL_S
                self._inject_fault()
            time.sleep(JOB_INTERVAL_S)

    def _write(self) -> None:
        """At times, declare a version or leave an odd entry of a runner."""
        chance = self._writer_random.random()
        if chance < VERSION_SHARE:
            self._version += self._writer_random.randint(1, 3)
            value = platform_http.config_of(self._version, self._newest_path)
            self._put('keyed.op', 'config', value)
        elif chance < VERSION_SHARE + ODD_ENTRY_SHARE:
            key = f'odd-{self._writer_random.randrange(3)}'
            self._put(
                'keyed.servers', key, self._writer_random.choice(ODD_ENTRIES)
            )

    @property
    def _newest_path(self) -> str:
        """The path of the queue that the newest version has added."""
        return f'/r{self._version}/'

    def _put(self, topic: str, key: str, value: bytes) -> None:
        platform_nodes.put_record(self._ports[0], topic, key, value)

    def nodes_behind(self) -> list[str]:
        """Return the nodes that do not find the newest version's queue."""
        if self._version == 1:
            return []
        behind = list(self._nodes)
        until_s = time.monotonic() + COMPLETION_TIMEOUT_S
        while behind and time.monotonic() < until_s:
            behind = [
                node
                for node in behind
                if self._call(node, 'GET', self._newest_path)[0] != 200
            ]
            time.sleep(JOB_INTERVAL_S)
        return [node.name for node in behind]

    def repair_all(self) -> list[str]:
        """Repair all nodes; return the accepted jobs that don't end well.

        Those are jobs that don't complete in ``COMPLETION_TIMEOUT_S`` or, if
        a task of theirs crashes its runners, don't fail.
        """
        for number in self._repair_by_number:
            node = self._nodes[number]
            node.process.kill()
            node.process.wait()
            node.start()
        self._repair_by_number.clear()
        not_completed = list(self.accepted_paths)
        until_s = time.monotonic() + COMPLETION_TIMEOUT_S
        while not_completed and time.monotonic() < until_s:
            not_completed = [
                path for path in not_completed if not self._has_ended(path)
            ]
            time.sleep(JOB_INTERVAL_S)
        return not_completed

    def history(self) -> list[tuple[float, str, str, int]]:
        """Return all starts and ends at the runners, sorted by time."""
        rows = []
        for port in self._ports[1:]:
            url = f'http://{deployment.HOST}:{port}/started'
            _, body = deployment.call('GET', url)
            rows += [tuple(row) for row in body['history']]
        return sorted(rows)

    def _submit_job(self) -> None:
        """Submit a job to a random node, or else to a second one.

        The second is used if the first is down or does not accept the job.
        """
        path = f'{platform_http.QUEUE_PREFIX}{self._job_number:016x}'
        self._job_number += 1
        step = {
            'count': self._random.randint(1, 4),
            'cpu': self._random.choice([500, 1_000, 2_000]),
            'mem_mb': 100,
            'estimate_ms': platform_http.WORK_MS,
            'gang': self._random.random() < 0.3,
        }
        is_crashing = self._random.random() < CRASHING_SHARE
        payload = platform_http.CRASH_PAYLOAD if is_crashing else 'soak'
        body = {'spec': payload, 'phases': [step]}
        if is_crashing:
            self.crashing_paths.add(path)
        for node in self._random.sample(self._nodes, 2):
            if node.process.poll() is not None:
                continue
            status, _ = self._call(node, 'POST', path, body)
            self.answers[status] += 1
            if status == 200:
                self.accepted_paths.append(path)
                return

    def _call(
        self, node: platform_nodes.Node, method: str, path: str, body=None
    ) -> tuple[int, str]:
        """Return the status and body of an answer, (0, '') without one."""
        connection = self._connection_by_name.setdefault(
            node.name,
            http.client.HTTPConnection(
                node.ip, platform_nodes.FRONTEND_PORT, timeout=CALL_TIMEOUT_S
            ),
        )
        headers = {'Host': platform_http.QUEUE_HOST}
        data = None if body is None else json.dumps(body).encode()
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0, ''

    def _has_ended(self, path: str) -> bool:
        node = self._random.choice(self._nodes)
        _, text = self._call(node, 'GET', path)
        wanted = 'failed' if path in self.crashing_paths else 'completed'
        return f'"{wanted}"' in text

    def _inject_fault(self) -> None:
        fault = self._random.choice(
            [*SIGNAL_BY_FAULT, 'hup', 'store', 'all', 'crash']
        )
        for_s = self._random.uniform(0.5, 5.0)
        if fault == 'store':
            fault = self._random.choice(STORE_FAULTS)
            url = f'http://{deployment.HOST}:{self._ports[0]}/fault'
            deployment.call('POST', url, {'how': fault, 'for_s': for_s})
        elif fault == 'hup':
            process = self._random.choice(self._nodes).process
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)
        elif fault == 'crash':
            ports = self._random.sample(self._ports[1:], 2)
            for port in ports:
                url = f'http://{deployment.HOST}:{port}/crash'
                deployment.call('POST', url, {})
        elif fault == 'all':
            for number in range(NODES):
                self._signal(number, signal.SIGKILL, 0.5)
        else:
            number = self._random.randrange(NODES)
            self._signal(number, SIGNAL_BY_FAULT[fault], for_s)
        self.faults[fault] += 1

    def _signal(self, number: int, signal_number: int, for_s: float) -> None:
        node = self._nodes[number]
        if number in self._repair_by_number:
            return
        node.process.send_signal(signal_number)
        at_s = time.monotonic() + for_s
        is_frozen = signal_number == signal.SIGSTOP
        self._repair_by_number[number] = _Repair(at_s, is_frozen)

    def _repair(self) -> None:
        """Resume or start the nodes whose repair is due."""
        for number, repair in list(self._repair_by_number.items()):
            if time.monotonic() < repair.at_s:
                continue
            node = self._nodes[number]
            if repair.is_frozen:
                node.process.send_signal(signal.SIGCONT)
            elif node.process.poll() is None:
                # It is still shutting down.
                continue
            else:
                node.start()
            del self._repair_by_number[number]


def find_repeated_starts(
    history: typing.Iterable[tuple[float, str, str, int]],
) -> list:
    """Return the starts of tasks that were running or done already.

    An end that its runner has lost, unacknowledged, in a crash is not known
    to anybody: its task may run again.
    """
    running: dict[str, int] = {}
    done: set[str] = set()
    found = []
    for at_s, event, task, run_id in history:
        if event == 'start':
            if task in running or task in done:
                found.append((at_s, task, run_id))
            running[task] = run_id
        else:
            running.pop(task, None)
            if event == 'done':
                done.add(task)
            elif event == 'forgotten':
                done.discard(task)
    return found


def find_late_starts(
    history: typing.Iterable[tuple[float, str, str, int]],
) -> list[str]:
    """Return the tasks that crashed too many runners."""
    crashes: collections.Counter[str] = collections.Counter()
    late_starts: collections.Counter[str] = collections.Counter()
    for _, event, task, _ in history:
        if event == 'crashed':
            crashes[task] += 1
        elif event == 'start' and crashes[task] >= MAX_CRASHES:
            late_starts[task] += 1
    return [t for t, count in late_starts.items() if count > MAX_LATE_STARTS]


def main(arguments: typing.Sequence[str]) -> int:
    """Run a soak; return the exit status."""
    seconds, seed = float(arguments[0]), int(arguments[1])
    with tempfile.TemporaryDirectory() as directory:
        with Soak(directory, seed) as soak:
            soak.run(seconds)
            not_completed = soak.repair_all()
            nodes_behind = soak.nodes_behind()
            history = soak.history()
    repeated_starts = find_repeated_starts(history)
    late_starts = [
        task
        for task in find_late_starts(history)
        if _path_of(task) in soak.crashing_paths
    ]
    report = {
        'seed': seed,
        'seconds': seconds,
        'accepted': len(soak.accepted_paths),
        'answers': dict(soak.answers),
        'faults': dict(soak.faults),
        'starts': sum(1 for row in history if row[1] == 'start'),
        'not completed': not_completed,
        'nodes behind': nodes_behind,
        'crashing': len(soak.crashing_paths),
        'crashed': sum(1 for row in history if row[1] == 'crashed'),
        'doubled': repeated_starts,
        'their history': [
            row for row in history if row[2] in {r[1] for r in repeated_starts}
        ],
        'started too often': late_starts,
    }
    print(json.dumps(report, indent=2), flush=True)
    is_bad = not_completed or repeated_starts or late_starts or nodes_behind
    return 1 if is_bad or not soak.accepted_paths else 0


def _path_of(task: str) -> str:
    """Return the path of the job that a task belongs to."""
    return platform_http.QUEUE_PREFIX + task.partition('.')[0]


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

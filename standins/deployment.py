"""Run a small deployment on loopback: platform stand-ins and real nodes.

``Deployment`` is a context manager that ends the processes it started, and
no others. The demo, the scenarios and the benchmarks use it.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing
import urllib.error
import urllib.request

import ephemeral_port_reserve

__all__ = ['Deployment', 'call', 'free_port']

ROOT = pathlib.Path(__file__).parent.parent
HOST = '127.0.0.1'
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
MAX_ERROR_CHARS = 2_000  # shows the end of a traceback
DOMAINS = ('westlands', 'embakasi', 'kasarani')
DAEMON_PATH = pathlib.Path(sys.executable).parent / 'carawaymastd'


def free_port() -> int:
    """Return a TCP port that is not returned again within a minute.

    The library leaves the port in TIME_WAIT, so that the kernel assigns it
    to no other process until the one that is given its number binds it.
    """
    return ephemeral_port_reserve.reserve(HOST)


def call(
    method: str,
    url: str,
    body: typing.Any = None,
    headers: typing.Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, typing.Any]:
    """Make one HTTP call with JSON bodies; return status and body.

    Raises ``OSError`` if there is no answer, and ``ValueError`` if its body
    is not JSON.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data, dict(headers or {}), method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, json.loads(response.read() or b'null')
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b'null')


class Deployment:
    """The processes of a small deployment: log, VM list, workers and nodes."""

    def __init__(
        self,
        node_count: int = 3,
        worker_count: int = 6,
        retention_ms: int = 3_600_000,
        settings: typing.Mapping[str, str] | None = None,
    ):
        self._node_count = node_count
        self._worker_count = worker_count
        self._retention_ms = retention_ms
        self._settings = dict(settings or {})
        self._directory = tempfile.TemporaryDirectory(prefix='carawaymast-')
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.url_by_name: dict[str, str] = {}
        self.port_by_name: dict[str, int] = {}
        self.peer_port_by_name: dict[str, int] = {}

    def __enter__(self) -> 'Deployment':
        try:
            self._start_all()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        for name in list(self.process_by_name):
            self.signal(name, signal.SIGCONT)
            self.process_by_name[name].terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self.process_by_name.values():
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._directory.cleanup()

    @property
    def node_names(self) -> list[str]:
        """The names of the nodes that were started."""
        return [n for n in self.process_by_name if n.startswith('node')]

    @property
    def worker_names(self) -> list[str]:
        """The names of the workers that were started."""
        return [n for n in self.process_by_name if n.startswith('worker')]

    def start_node(self, name: str, domain: str) -> None:
        """Start a node and add it to the VM list; don't wait until ready."""
        port, peer_port = free_port(), free_port()
        self.peer_port_by_name[name] = peer_port
        values = {
            'node_id': name,
            'http_port': port,
            'peer_port': peer_port,
            'domain': domain,
            'log_url': self.url_by_name['log'],
            'vms_url': self.url_by_name['vms'],
            'log_retention_ms': self._retention_ms,
            'log_file': self.log_path(name),
            **self._settings,
        }
        arguments = [f'--{key}={value}' for key, value in values.items()]
        self.spawn(name, port, [str(DAEMON_PATH), *arguments])
        self.add_vm(name, 'node', port, peer_port, domain)

    def start_worker(
        self,
        name: str,
        domain: str,
        capacity: typing.Sequence[int],
        port: int | None = None,
    ) -> None:
        """Start a worker and add it to the VM list.

        ``capacity`` is in thousandths of a processor, megabytes and
        accelerators.
        """
        port = port or free_port()
        numbers = [str(number) for number in (port, *capacity)]
        module = [sys.executable, '-m', 'standins.worker']
        self.spawn(name, port, module + numbers)
        self.add_vm(name, 'worker', port, 0, domain)

    def spawn(self, name: str, port: int, command: list[str]) -> None:
        """Start a process of the deployment that listens on ``port``.

        Its output is appended to ``NAME.err.log``.
        """
        self.url_by_name[name] = f'http://{HOST}:{port}'
        self.port_by_name[name] = port
        with open(self.log_path(f'{name}.err'), 'ab') as errors:
            self.process_by_name[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                env=os.environ | {'PYTHONPATH': str(ROOT)},
            )

    def add_vm(
        self,
        name: str,
        role: str,
        port: int,
        peer_port: int,
        domain: str,
        state: str = 'live',
    ) -> None:
        """Add a VM to the platform's list, or replace its entry."""
        vm = {
            'id': name,
            'role': role,
            'host': HOST,
            'port': port,
            'peer_port': peer_port,
            'domain': domain,
            'rack': f'{domain}-1',
            'state': state,
        }
        call('POST', f'{self.url_by_name["vms"]}/v1/vms', {'vms': [vm]})

    def remove_vm(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        url = self.url_by_name['vms']
        call('POST', f'{url}/v1/vms/remove', {'id': name})

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process unless it has ended."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """End a process by SIGKILL and wait for it."""
        process = self.process_by_name[name]
        process.kill()
        process.wait()

    def state(self, name: str) -> typing.Any:
        """Return a node's state dump, from ``/v1/state``."""
        return call('GET', f'{self.url_by_name[name]}/v1/state')[1]

    def evidence(self, name: str) -> typing.Any:
        """Return a worker's counters and executions from ``/v1/evidence``."""
        return call('GET', f'{self.url_by_name[name]}/v1/evidence')[1]

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of a process's log file."""
        return pathlib.Path(self._directory.name) / f'{name}.log'

    def wait_until(
        self,
        condition: typing.Callable[[], bool],
        awaited: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> float:
        """Wait until ``condition`` returns true; return the seconds taken.

        ``OSError`` and ``ValueError`` from ``condition`` count as false.
        ``awaited`` is named in the error. Raises ``TimeoutError`` after
        ``timeout_s``, and ``RuntimeError`` at once if ``awaited`` is the name
        of a process that has ended.
        """
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            self._check_alive(awaited)
            try:
                if condition():
                    return time.monotonic() - started
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f'waited {timeout_s} s for {awaited}')

    def wait_ready(self, names: typing.Sequence[str]) -> None:
        """Wait until nodes are ready and have the slots of all workers."""

        def is_ready() -> bool:
            return all(
                call('GET', f'{self.url_by_name[name]}/readyz')[0] == 200
                for name in names
            )

        def has_slots() -> bool:
            workers = len(self.worker_names)
            return all(
                self.state(name)['entry']['fleet_slots'] == workers * 8
                for name in names
            )

        self.wait_until(is_ready, f'{names} to be ready')
        self.wait_until(has_slots, 'all workers to be owned')

    def load_table(self, node: str) -> None:
        """Put the table of ``standins/table.csv`` in force, through a node.

        Raises ``RuntimeError`` if the node refuses it.
        """
        self.wait_until(
            lambda: self.state(node)['log']['caught_up'], 'the log'
        )
        text = (ROOT / 'standins' / 'table.csv').read_text()
        header, *lines = text.splitlines()
        names = header.split(',')
        rows = [
            dict(zip(names, line.split(','), strict=True)) for line in lines
        ]
        status, body = call(
            'PUT',
            f'{self.url_by_name[node]}/v1/table',
            rows,
            {'If-Match': '0'},
        )
        if status != 200:
            raise RuntimeError(f'the table was refused: {body}')

    def _start_all(self) -> None:
        log_port, vms_port = free_port(), free_port()
        python = [sys.executable, '-m']
        self.spawn(
            'log',
            log_port,
            [*python, 'standins.log', str(log_port), str(self._retention_ms)],
        )
        self.spawn('vms', vms_port, [*python, 'standins.vms', str(vms_port)])
        self.wait_until(lambda: self._is_answering('log', '/v1/stats'), 'log')
        self.wait_until(lambda: self._is_answering('vms', '/v1/vms'), 'vms')
        for number in range(self._worker_count):
            domain = DOMAINS[number % len(DOMAINS)]
            self.start_worker(f'worker-{number}', domain, (16_000, 64_000, 2))
        for number in range(self._node_count):
            domain = DOMAINS[number % len(DOMAINS)]
            self.start_node(f'node-{number}', domain)
        for name in [*self.worker_names, *self.node_names]:
            path = '/livez' if name in self.node_names else '/v1/evidence'
            self.wait_until(
                lambda name=name, path=path: self._is_answering(name, path),
                name,
            )
        self.load_table(self.node_names[0])
        self.wait_ready(self.node_names)

    def _check_alive(self, name: str) -> None:
        process = self.process_by_name.get(name)
        if process is not None and process.poll() is not None:
            errors = self.log_path(f'{name}.err').read_text()
            raise RuntimeError(
                f'{name} ended with {process.returncode}: '
                f'{errors[-MAX_ERROR_CHARS:]}'
            )

    def _is_answering(self, name: str, path: str) -> bool:
        return call('GET', self.url_by_name[name] + path)[0] == 200

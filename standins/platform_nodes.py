"""Start node processes and the stand-in for the users' platform.

The scenarios and the soak use it. Each node has its own loopback address, so
that all use the same ports.
"""

import json
import os
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request

from standins import deployment
from standins import platform_http

__all__ = [
    'FRONTEND_PORT',
    'METRICS_PORT',
    'Node',
    'READY_PORT',
    'put_record',
    'start_platform',
]

INTERNAL_PORT = 7_720
FRONTEND_PORT = 8_161
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
config_apply_ms = 2000
hold_max_ms = 10000
drain_ms = 2000
grace_s = 6
status_s = 120
[platform]
address = "127.0.0.1:{store}"
"""


class Node:
    """One node process on its own loopback address.

    Deployments that run at the same time need different subnets, 0 to 255.
    """

    def __init__(self, number, directory, store_port, subnet=7):
        self.name = f'node-{number}'
        self.ip = f'127.0.{subnet}.{number + 1}'
        path = pathlib.Path(directory) / f'{self.name}.toml'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                internal=INTERNAL_PORT,
                front=FRONTEND_PORT,
                ready=READY_PORT,
                store=store_port,
            )
        )
        self._settings_path = path
        self.log_path = pathlib.Path(directory) / f'{self.name}.log'
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the node's log."""
        with self.log_path.open('a') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'carawaymast_node',
                    '--adapter=carawaymast_platform',
                ],
                env=os.environ
                | {'CARAWAYMAST_NODE_FILE': str(self._settings_path)},
                stdout=log,
            )

    def call(self, method, path, body=None, port=FRONTEND_PORT):
        """Return the status and the body of an answer, (0, '') without one."""
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
        """Return whether the node's metrics show it as leader."""
        _, text = self.call('GET', '/metrics', port=METRICS_PORT)
        return 'carawaymast_is_leader 1.0' in text


def put_record(store_port: int, topic: str, key: str, value: bytes) -> None:
    """Store a record as an operator or another writer does."""
    url = f'http://{deployment.HOST}:{store_port}/put?topic={topic}&key={key}'
    request = urllib.request.Request(url, value, method='POST')
    with urllib.request.urlopen(request, timeout=5):
        return


def start_platform(runners: int) -> tuple[subprocess.Popen, list[int]]:
    """Start store and runners; return the process and its ports.

    The first port is the store's, the others are the runners'.
    """
    ports = [deployment.free_port() for _ in range(runners + 1)]
    platform = subprocess.Popen(
        [sys.executable, '-m', 'standins.platform_http', *map(str, ports)],
        cwd=deployment.ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert platform.stdout.readline() == 'ready\n'
    return platform, ports

"""Starts a small deployment: store, runners and the project's own nodes.

The nodes are separate processes, started with the command of the deploy file
on loopback addresses of their own. Store and runners are stand-ins in this
process. ``python3`` must find ``target/deps`` on its path.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

import aiohttp
from aiohttp import web

from review.second import runner as runner_mod
from standins import platform_http

__all__ = ['Bed', 'Node', 'finish', 'is_troubled', 'main']

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST_NAME = 'desk.example'
PREFIX = '/jobs/'
PORTS = (7_720, 8_161, 8_167, 9_464)
INTERNAL_PORT, FRONT_PORT, READY_PORT, _ = PORTS
CAPACITY = {'cpu': 16_000, 'mem_mb': 65_536, 'gpu': 0}
SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "westlands"
region = "nairobi"
internal_port_range = [7720, 7735]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "invoke"
advice = "{advice}"
[zones]
westlands = "nairobi"
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
[limits]
cpu_share = {cpu_share}
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 10000
stop_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 1
fencing_enforced = true
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 12
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
"""
ROUTE = {
    'name': 'jobs',
    'host': HOST_NAME,
    'path_prefix': PREFIX,
    'service': 'desk',
    'priority': 1,
    'max_attempts': 2,
    'stretch_factor': 4.0,
    'target_completion_ms': 20_000,
}
CPU_SHARE = 0.537
READY_TIMEOUT_S = 20.0
MAX_PRINTED = 3


class CannotRunError(Exception):
    """The case could not run here."""


def is_troubled() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def free_subnet() -> str:
    """Return the first three numbers of a loopback net with free ports."""
    for _ in range(50):
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for port in PORTS:
                with socket.socket() as probe:
                    probe.bind((f'{net}.1', port))
        except OSError:
            continue
        return net
    raise CannotRunError('no free loopback addresses')


class Store(platform_http.StoreServer):
    """The project's stand-in for the store, which can be down in part."""

    def __init__(self) -> None:
        super().__init__()
        self.down_topic = ''
        self.down_until_s = 0.0

    async def handle(self, request: web.Request) -> web.Response:
        """Carry out one call, unless its topic is down."""
        if time.monotonic() < self.down_until_s:
            if request.query.get('topic') == self.down_topic:
                await request.read()
                return web.Response(status=503)
        return await super().handle(request)


class Node:
    """One node process."""

    def __init__(
        self,
        number: int,
        net: str,
        folder: pathlib.Path,
        store,
        advice,
        cpu_share,
    ):
        self.name = f'edge-westlands-{number}'
        self.ip = f'{net}.{number}'
        self.settings = folder / f'{self.name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                store=store,
                advice=advice,
                cpu_share=cpu_share,
            )
        )
        self.log_path = folder / f'{self.name}.log'
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['node']
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env |= role.get('env', {})
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['CARAWAYMAST_NODE_FILE'] = str(self.settings)
        with self.log_path.open('a') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(), env=env, cwd=ROOT, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    async def terminate(self) -> None:
        """Stop the process with SIGTERM and wait for its end."""
        self.process.terminate()
        await self.process.wait()

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Bed:
    """A small deployment and its record."""

    def __init__(self, case: pathlib.Path):
        self.case = case
        self.history = runner_mod.History()
        self.gangs = runner_mod.Gangs()
        self.store = Store()
        self.runners: list[runner_mod.Runner] = []
        self.nodes: list[Node] = []
        self.notes: list[str] = []
        # Of the advice service, if a case has served one.
        self.advice_port = 0
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._tasks: list[asyncio.Task] = []
        self._sites: list[web.AppRunner] = []
        self._site_by_port: dict[int, web.AppRunner] = {}
        self._listener_by_port: dict[int, web.TCPSite] = {}

    async def __aenter__(self) -> 'Bed':
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        for node in self.nodes:
            await node.kill()
        for task in self._tasks:
            task.cancel()
        await self.session.close()
        for site in self._sites:
            await site.cleanup()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f'{self.history.now_s():8.3f} {text}')

    async def open(
        self,
        nodes: int,
        runners: typing.Sequence[typing.Sequence[str]],
        config: typing.Any = None,
        cpu_shares: typing.Sequence[float] = (),
    ) -> None:
        """Start all; ``runners`` has the labels of each.

        ``cpu_shares`` are those of the nodes, if they differ.
        """
        store_port = free_port()
        await self.serve(
            [web.route('*', '/{tail:.*}', self.store.handle)], store_port
        )
        self.store.log.put(
            'keyed.op',
            'config',
            json.dumps(
                config
                or {
                    'version': 1,
                    'routes': [ROUTE],
                    'services': [{'name': 'desk', 'enforces_capacity': False}],
                    'limits': {},
                }
            ).encode(),
        )
        for number, labels in enumerate(runners):
            port = free_port()
            runner = runner_mod.Runner(
                f'{number:02}',
                port,
                self.history,
                self.gangs,
                self.store.log.put,
                list(labels),
                CAPACITY,
            )
            await self.serve(runner.routes(), port)
            self.runners.append(runner)
            self._tasks.append(asyncio.create_task(runner.live()))
        net = free_subnet()
        for number in range(1, nodes + 1):
            advice = ''
            if self.advice_port:
                advice = f'127.0.0.1:{self.advice_port}'
            share = dict(enumerate(cpu_shares, 1)).get(number, CPU_SHARE)
            node = Node(number, net, self.folder, store_port, advice, share)
            self.nodes.append(node)
            await node.start()
        await self.wait_ready(self.nodes)

    async def serve(self, routes, port: int) -> None:
        """Serve a stand-in at a port."""
        app = web.Application(client_max_size=4 << 20)
        app.add_routes(routes)
        site = web.AppRunner(app, shutdown_timeout=0.2, access_log=None)
        await site.setup()
        self._sites.append(site)
        self._site_by_port[port] = site
        await self._listen(site, port)

    async def _listen(self, site: web.AppRunner, port: int) -> None:
        listener = web.TCPSite(
            site, '127.0.0.1', port, backlog=1024, reuse_address=True
        )
        await listener.start()
        self._listener_by_port[port] = listener

    async def crash(
        self, runner: runner_mod.Runner, down_s: float | None
    ) -> None:
        """Crash a runner; its port refuses until it is up again, if ever."""
        runner.crash()
        listener = self._listener_by_port.pop(runner.port)
        site = self._site_by_port[runner.port]
        await listener.stop()

        async def come_back() -> None:
            await asyncio.sleep(down_s)
            await self._listen(site, runner.port)
            runner.restart()

        if down_s is None:
            self.note(f'runner {runner.id} is lost for good')
        else:
            self.note(f'runner {runner.id} crashes, and is down {down_s} s')
            self._tasks.append(asyncio.create_task(come_back()))

    async def wait_ready(self, nodes: typing.Iterable[Node]) -> None:
        """Wait until nodes report themselves ready."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        for node in nodes:
            while True:
                url = f'http://{node.ip}:{READY_PORT}/-/readyz'
                if (await self.call('GET', url))[0] == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(f'{node.name} is not ready')
                await asyncio.sleep(0.1)

    async def leader(self) -> Node:
        """Return the node that says in its metrics that it leads."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            for node in self.nodes:
                url = f'http://{node.ip}:9464/metrics'
                _, text = await self.call('GET', url)
                if 'carawaymast_is_leader 1.0' in text:
                    return node
            await asyncio.sleep(0.05)
        raise CannotRunError('no node leads')

    async def call(self, method, url, body=None, timeout_s=3.0):
        """Return status and text of an answer; status 0 without one."""
        headers = {
            'Host': HOST_NAME,
            'Content-Type': 'application/json',
            'Deadline-Ms': str(int(1000 * timeout_s)),
        }
        data = None if body is None else json.dumps(body).encode()
        try:
            async with self.session.request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.text()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return 0, ''

    async def job_call(
        self, method, node: Node, job_id: str, body=None, prefix=PREFIX
    ):
        """Make a caller's call about a job and record it."""
        url = f'http://{node.ip}:{FRONT_PORT}{prefix}{job_id}'
        status, text = await self.call(method, url, body)
        self.note(f'{method} {job_id} at {node.name}: {status} {text}')
        return status, text

    async def submit(
        self, node: Node, job_id: str, spec, phases, prefix=PREFIX
    ) -> None:
        """Hand a job in, again after no answer, until it is accepted."""
        body = {'spec': json.dumps(spec), 'phases': phases}
        for _ in range(10):
            status, _ = await self.job_call('POST', node, job_id, body, prefix)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRunError(f'job {job_id} was not accepted')

    async def state(self, job_id: str) -> str:
        """Return a job's state as a node that answers shows it."""
        for node in self.nodes:
            if node.process is None or node.process.returncode is not None:
                continue
            status, text = await self.job_call('GET', node, job_id)
            if status == 200:
                return json.loads(text)['state']
        return ''

    def set_store_fault(self, how: str, for_s: float) -> None:
        """Start a fault of the store, see ``StoreServer.set_fault``."""
        self.store.fault = how
        self.store.fault_until_s = time.monotonic() + for_s
        self.note(f'the store is {how} for {for_s} s')

    def take_topic_down(self, topic: str, for_s: float) -> None:
        """Let the store refuse all calls to one topic with 503."""
        self.store.down_topic = topic
        self.store.down_until_s = time.monotonic() + for_s
        self.note(f'the store serves not {topic} for {for_s} s, 503')

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run to the case's record."""
        lines = [f'verdict: {verdict}', '', 'calls and disruptions:']
        lines += self.notes
        lines += ['', 'at the runners:']
        lines += [
            f'{e.at_s:8.3f} {e.runner} {e.what} {e.task} {e.run_id} {e.detail}'
            for e in self.history.events
        ]
        (self.case / 'record.txt').write_text('\n'.join(lines) + '\n')

    def keep_logs(self, folder: str) -> None:
        """Copy the nodes' logs, to look for causes."""
        for node in self.nodes:
            target = pathlib.Path(folder) / node.log_path.name
            target.write_bytes(node.log_path.read_bytes())


def finish(bed: Bed, broken: typing.Sequence[str]) -> int:
    """Write the record; return 1 if the rule was broken, else 0."""
    for line in broken:
        bed.note(f'BROKEN {line}')
    print(*broken[:MAX_PRINTED], sep='\n')
    verdict = f'broken, {len(broken)} times' if broken else 'held'
    bed.write_record(verdict)
    if os.environ.get('KEEP_LOGS'):
        bed.keep_logs(os.environ['KEEP_LOGS'])
    print(verdict)
    return 1 if broken else 0


def main(
    case_file: str, play: typing.Callable[[Bed], typing.Awaitable[int]]
) -> typing.NoReturn:
    """Play a case and exit: 0 held, 1 broken, 2 could not run."""
    folder = pathlib.Path(case_file).resolve().parent

    async def run() -> int:
        async with Bed(folder) as bed:
            try:
                return await play(bed)
            except (CannotRunError, OSError) as error:
                bed.write_record(f'could not run: {error}')
                print(f'could not run: {error}')
                return 2

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))

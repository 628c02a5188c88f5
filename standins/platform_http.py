"""Serve stand-ins for the users' platform on loopback: store and runners.

``python -m standins.platform_http STORE_PORT RUNNER_PORT...`` serves the
in-memory store and, on each further port, one runner. Runners are listed
from the start and do not expire. A runner crashes on request, or by a task
whose payload is ``CRASH_PAYLOAD``, and restarts at its port, in turn under the
id that it had and under another one.
It prints ``ready`` once it listens.
"""

import asyncio
import functools
import json
import random
import sys
import time
import typing

from aiohttp import web

from standins import keyed_log
from standins import runner as runner_mod

__all__ = [
    'CRASH_PAYLOAD',
    'QUEUE_HOST',
    'QUEUE_PREFIX',
    'config_of',
    'main',
]

HOST = '127.0.0.1'
SERVERS_TOPIC = 'keyed.servers'
SERVICE = 'desk'
QUEUE_HOST = 'desk.example'
QUEUE_PREFIX = '/jobs/'
WORK_MS = 600  # the duration of every run
CRASH_PAYLOAD = 'crash'
CRASH_DELAY_S = 0.01
RESTART_S = 1.0
INCARNATIONS_PER_ID = 2
CLOCK_STEP_MS = 1_000_000
MAX_CLOCK_STEPS = 1_000
TICK_INTERVAL_S = 0.02
POLL_INTERVAL_S = 0.02
# A silent store closes a call after this time; nodes time out before.
SILENT_CALL_S = 5.0
LOST_ANSWER_SHARE = 0.3
# The operator's configuration: a queue, and the route to it.
CONFIG: dict[str, typing.Any] = {
    'version': 1,
    'routes': [
        {
            'name': 'jobs',
            'host': QUEUE_HOST,
            'path_prefix': QUEUE_PREFIX,
            'service': SERVICE,
            'priority': 1,
            'max_attempts': 2,
            'stretch_factor': 2.0,
            'target_completion_ms': 1_000,
        }
    ],
}


def config_of(version: int, prefix: str) -> bytes:
    """Return a version of the configuration with a route more."""
    route = CONFIG['routes'][0]
    routes = [route, {**route, 'name': prefix, 'path_prefix': prefix}]
    return json.dumps({'version': version, 'routes': routes}).encode()


class StoreServer:
    """Serves the calls to the store; long polls wait for records."""

    def __init__(self) -> None:
        self.log = keyed_log.KeyedLog()
        # The kind of the last fault, and when it ends.
        self.fault = ''
        self.fault_until_s = 0.0

    async def set_fault(self, request: web.Request) -> web.Response:
        """Start a fault.

        ``busy`` refuses calls, ``silent`` does not answer them, ``lost``
        loses the answers to some writes, ``late`` carries writes out late
        without an answer, and ``forgetful`` drops the history at once.
        """
        body = await request.json()
        self.fault = body['how']
        self.fault_until_s = time.monotonic() + body['for_s']
        if self.fault == 'forgetful':
            self.log.drop_history()
        return _json(200, {})

    async def put(self, request: web.Request) -> web.Response:
        """Store the body as another writer does, at ``topic`` and ``key``."""
        topic = request.query['topic']
        self.log.put(topic, request.query['key'], await request.read())
        return _json(200, {})

    async def handle(self, request: web.Request) -> web.Response:
        """Carry out one call, subject to the present fault."""
        body = await request.read()
        target = request.path_qs
        fault = self.fault if time.monotonic() < self.fault_until_s else ''
        if fault == 'busy':
            return web.Response(status=503)
        if fault == 'silent':
            return await _close_unanswered(request, SILENT_CALL_S)
        is_write = request.path == '/-/log-append'
        if is_write and fault == 'late':
            await asyncio.sleep(random.uniform(0.5, 3.0))
            self.log.send(request.method, target, body)
            return await _close_unanswered(request, 0)
        status, answer, _ = self.log.send(request.method, target, body)
        if (
            is_write
            and fault == 'lost'
            and random.random() < LOST_ANSWER_SHARE
        ):
            return await _close_unanswered(request, 0)
        wait_ms = int(request.query.get('wait_ms', '0'))
        until_s = time.monotonic() + wait_ms / 1_000
        while status == 200 and _is_empty_read(request, answer):
            if time.monotonic() >= until_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
            status, answer, _ = self.log.send(request.method, target, body)
        return web.Response(status=status, body=answer)


async def _close_unanswered(
    request: web.Request, after_s: float
) -> web.Response:
    """Close the connection after ``after_s``, without an answer."""
    await asyncio.sleep(after_s)
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class RunnerServer:
    """Serves the calls to one runner, through all its incarnations."""

    def __init__(self, number: int, port: int, log: keyed_log.KeyedLog):
        self._number = number
        self._port = port
        self._log = log
        self._is_up = False
        # Rows of (time in s, event, task, run id). The event is 'start', a
        # kind of end, 'crashed' for a run that a crash ended, or 'forgotten'
        # for an end that was not acknowledged before a crash.
        self.history: list[tuple[float, str, str, int]] = []
        self._incarnations = 0
        self._restart()

    def _restart(self) -> None:
        """Begin an incarnation and list it."""
        id_number = self._incarnations // INCARNATIONS_PER_ID
        suffix = f'-{id_number}' if id_number else ''
        self._incarnations += 1
        self.runner = runner_mod.RunnerStandin(
            f'i-{self._number}{suffix}', self._incarnations
        )
        # The clocks of former incarnations are ahead.
        self.runner.clock_ms = CLOCK_STEP_MS * max(
            0, MAX_CLOCK_STEPS - self._incarnations
        )
        self.runner.on_change = self._record
        self._is_up = True
        entry = {
            'service': SERVICE,
            'address': f'{HOST}:{self._port}',
            'state': 'ready',
            'born': self.runner.born_ms,
            'capacity': {'cpu': 4_000, 'mem_mb': 8_000},
            'labels': ['a', 'r1'],
        }
        self._log.put(
            SERVERS_TOPIC, self.runner.runner_id, json.dumps(entry).encode()
        )

    def _record(self, event: str, task: str, run_id: int) -> None:
        self.history.append((time.monotonic(), event, task, run_id))

    async def crash(self, request: web.Request | None = None) -> web.Response:
        """End all runs and answer nothing until the restart."""
        if self._is_up:
            self._is_up = False
            for task, run in self.runner.running.items():
                self._record('crashed', task, run.run_id)
            self.runner.running.clear()
            for end in self.runner.ended:
                self._record('forgotten', end.task, end.run_id)
            asyncio.get_running_loop().call_later(RESTART_S, self._reappear)
        return _json(200, {})

    def _reappear(self) -> None:
        former_id = self.runner.runner_id
        self._restart()
        if self.runner.runner_id != former_id:
            self._log.put(SERVERS_TOPIC, former_id, b'')

    async def answer(
        self,
        handler: typing.Callable[
            [web.Request], typing.Awaitable[web.Response]
        ],
        request: web.Request,
    ) -> web.Response:
        """Answer a call unless the runner is down or another is meant."""
        # So that the handler does not wait, and act after a crash.
        await request.read()
        if not self._is_up:
            return await _close_unanswered(request, 0)
        runner = self.runner
        if request.headers.get('Expected-Instance') != runner.runner_id:
            return web.Response(status=421)
        response = await handler(request)
        if not self._is_up or runner is not self.runner:
            return await _close_unanswered(request, 0)
        return response

    async def run_clock(self) -> None:
        """Advance the runner's clock with real time."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_s = time.monotonic()
            if self._is_up:
                self.runner.advance((now_s - last_s) * 1_000)
            last_s = now_s

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renew the lease; wait up to ``wait_ms`` for a run to end."""
        body = await request.json()
        until_s = time.monotonic() + body.get('wait_ms', 0) / 1_000
        answer = self.runner.renew_lease(
            body['fence'], body['ack_cursor'], body.get('deadline_ms')
        )
        while answer is not None and not answer.ended:
            if time.monotonic() >= until_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
            answer = self.runner.renew_lease(
                body['fence'], body['ack_cursor'], None
            )
        if answer is None:
            return _json(409, {'reason': 'fence'})
        return _json(
            200,
            {
                'clock_ms': answer.clock_ms,
                'born': answer.born_ms,
                'running': [[*row, 0] for row in answer.running],
                'ended': [list(row) for row in answer.ended],
            },
        )

    async def start(self, request: web.Request) -> web.Response:
        """Start a run."""
        body = await request.json()
        outcome = self.runner.start(
            body['fence'],
            body['task'],
            body['run_id'],
            body['deadline_ms'],
            WORK_MS,
        )
        clock = {'clock_ms': int(self.runner.clock_ms)}
        if outcome.is_running and body['spec'] == CRASH_PAYLOAD:
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, asyncio.ensure_future, self.crash()
            )
        if outcome.is_running:
            return _json(200, clock)
        reason = {'fenced': 'fence', 'stale-run': 'old', 'late': 'late'}
        return _json(409, {**clock, 'reason': reason[outcome.refusal]})

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a run."""
        body = await request.json()
        is_done = self.runner.stop(body['fence'], body['task'], body['run_id'])
        return _json(200 if is_done else 409, {})

    async def show(self, request: web.Request) -> web.Response:
        """Return all starts and the history, for the tests to check."""
        return _json(
            200, {'started': self.runner.started, 'history': self.history}
        )


def _is_empty_read(request: web.Request, answer: bytes) -> bool:
    is_read = request.path == '/-/log-read'
    return is_read and len(answer) == keyed_log.READ_HEADER.size


def _json(status: int, body) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type='application/json',
    )


async def _listen(app: web.Application, port: int) -> None:
    app_runner = web.AppRunner(app)
    await app_runner.setup()
    await web.TCPSite(app_runner, HOST, port).start()


async def main(store_port: int, runner_ports: list[int]) -> None:
    """Serve until the process is ended."""
    store = StoreServer()
    store.log.put('keyed.op', 'config', json.dumps(CONFIG).encode())
    tasks = []
    for number, port in enumerate(runner_ports):
        server = RunnerServer(number, port, store.log)
        app = web.Application()
        for target, handler in (
            ('/-/hold', server.renew_lease),
            ('/-/run-start', server.start),
            ('/-/run-stop', server.stop),
        ):
            answer = functools.partial(server.answer, handler)
            app.router.add_post(target, answer)
        app.router.add_post('/crash', server.crash)
        app.router.add_get('/started', server.show)
        await _listen(app, port)
        tasks.append(asyncio.create_task(server.run_clock()))
    app = web.Application()
    app.router.add_post('/fault', store.set_fault)
    app.router.add_post('/put', store.put)
    app.router.add_route('*', '/{tail:.*}', store.handle)
    await _listen(app, store_port)
    print('ready', flush=True)
    await asyncio.gather(*tasks)


if __name__ == '__main__':
    ports = [int(argument) for argument in sys.argv[1:]]
    asyncio.run(main(ports[0], ports[1:]))

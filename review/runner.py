"""Runners, as the platform's pages describe them.

The payload of a job says how long its tasks work, in ms; ``LASTING`` tasks
work until they are stopped.
"""

import asyncio
import json
import time
import typing

from review import store as store_mod
from review import web

__all__ = ['LASTING', 'Event', 'Runner', 'RunnerSpec']

LASTING = 'lasting'
HEARTBEAT_S = 1.5
# The store drops an entry after three heartbeat intervals of silence.
EXPIRY_S = 3 * HEARTBEAT_S
MAX_LEASE_MS = 10_000
STOP_S = 0.2
TICK_S = 0.02
SERVERS = 'keyed.servers'


class RunnerSpec(typing.NamedTuple):
    """What a runner says of itself; ``labels`` are its kind and rack."""

    runner_id: str
    service: str
    labels: tuple[str, str]
    cpu: int = 16_000
    mem_mb: int = 65_536


class Event(typing.NamedTuple):
    """The start or the end of a run at a runner, ``at_s`` monotonic."""

    at_s: float
    runner: RunnerSpec
    what: str
    task: str
    run_id: int


class _Run:
    def __init__(self, work_ms: float | None):
        self.work_ms = work_ms
        self.began_s = time.monotonic()
        self.stops_at_s: float | None = None


class Runner:
    """One machine through all its lives, at one address.

    ``on_event`` is called with each ``Event``.
    """

    def __init__(
        self,
        spec: RunnerSpec,
        store: store_mod.Store,
        on_event: typing.Callable[[Event], None],
    ):
        self.spec = spec
        self._store = store
        self._on_event = on_event
        self._server: asyncio.Server | None = None
        self.port = 0
        self.is_up = False
        self._heard_s = 0.0
        self._heartbeat_at_s = 0.0
        self.running: dict[tuple[str, int], _Run] = {}

    async def open(self) -> None:
        """Listen, and begin the first life."""
        self._server = await web.serve(web.HOST, 0, self._handle)
        self.port = self._server.sockets[0].getsockname()[1]
        self._begin_life()

    def _begin_life(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._fence = 0
        self._lease_until_ms = 0.0
        self._ended: list[list] = []
        self._end_number = 0
        self._highest_ended: dict[str, int] = {}
        self._sequence = 0
        self.running.clear()
        self._heartbeat_at_s = 0.0
        self.is_up = True

    def crash(self) -> None:
        """End all runs; answer nothing until ``restart``."""
        self.is_up = False
        for task, run_id in self.running:
            self._tell('crashed', task, run_id)
        self.running.clear()

    def restart(self, spec: RunnerSpec) -> None:
        """Begin another life at the same address."""
        self.spec = spec
        self._begin_life()

    def _tell(self, what: str, task: str, run_id: int) -> None:
        self._on_event(Event(time.monotonic(), self.spec, what, task, run_id))

    def _clock_ms(self) -> int:
        return 1_000 + int((time.monotonic() - self._born_s) * 1000)

    # -- the list of runners ----------------------------------------------

    def tick(self) -> None:
        """Let time pass: heartbeats, the expiry of the entry, ends of runs."""
        now_s = time.monotonic()
        if self.is_up:
            self._end_runs(now_s)
        is_listed = bool(self._store.newest(SERVERS, self.spec.runner_id))
        is_expired = now_s - self._heard_s > EXPIRY_S
        if is_listed and is_expired and not self._store.is_down:
            self._store.put(SERVERS, self.spec.runner_id, b'')
        if not self.is_up or now_s < self._heartbeat_at_s:
            return
        # A heartbeat that the store does not take is not repeated.
        self._heartbeat_at_s = now_s + HEARTBEAT_S
        if not self._store.is_down:
            self._beat(now_s)

    def _beat(self, now_s: float) -> None:
        self._heard_s = now_s
        self._sequence += 1
        entry = {
            'service': self.spec.service,
            'address': f'{web.HOST}:{self.port}',
            'zone': 'westlands',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'seq': self._sequence,
            'born': self.born_ms,
            'clock_ms': self._clock_ms(),
            'capacity': {'cpu': self.spec.cpu, 'mem_mb': self.spec.mem_mb},
            'labels': list(self.spec.labels),
        }
        self._store.put(
            SERVERS, self.spec.runner_id, json.dumps(entry).encode()
        )

    # -- runs ---------------------------------------------------------------

    def _end_runs(self, now_s: float) -> None:
        for key, run in list(self.running.items()):
            ran_ms = (now_s - run.began_s) * 1000
            if run.stops_at_s is not None:
                if now_s >= run.stops_at_s:
                    self._end(key, 'stopped')
            elif run.work_ms is not None and ran_ms >= run.work_ms:
                self._end(key, 'done')
        if self.running and self._clock_ms() > self._lease_until_ms:
            for key in list(self.running):
                self._end(key, 'lapsed')

    def _end(self, key: tuple[str, int], how: str) -> None:
        task, run_id = key
        del self.running[key]
        self._end_number += 1
        self._ended.append([self._end_number, task, run_id, how, ''])
        self._mark_ended(task, run_id)
        self._tell(how, task, run_id)

    def _mark_ended(self, task: str, run_id: int) -> None:
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, run_id)

    async def _handle(self, request: web.Request) -> web.Reply | None:
        if not self.is_up:
            return None
        wanted = request.headers.get('expected-instance')
        if wanted and wanted != self.spec.runner_id:
            return web.Reply(421)
        life = self.born_ms
        body = request.json()
        if body.get('fence', 0) < self._fence:
            return self._refuse('fence')
        self._fence = body.get('fence', 0)
        if request.path == '/-/hold':
            reply = await self._hold(body)
        elif request.path == '/-/run-start':
            reply = self._start(body)
        elif request.path == '/-/run-stop':
            reply = self._stop(body)
        else:
            reply = web.Reply(404)
        # What a crash has cut off is not answered.
        return reply if self.is_up and life == self.born_ms else None

    def _refuse(self, reason: str) -> web.Reply:
        return web.json_reply(
            409, {'clock_ms': self._clock_ms(), 'reason': reason}
        )

    def _extend(self, deadline_ms: int) -> None:
        latest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_until_ms = max(
            self._lease_until_ms, min(deadline_ms, latest_ms)
        )

    async def _hold(self, body) -> web.Reply:
        if 'deadline_ms' in body:
            self._extend(body['deadline_ms'])
        cursor = body.get('ack_cursor', 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        until_s = time.monotonic() + body.get('wait_ms', 0) / 1000
        while not self._ended and time.monotonic() < until_s:
            await asyncio.sleep(TICK_S)
        running = [
            [task, run_id, '', self._percent(run), 0]
            for (task, run_id), run in self.running.items()
        ]
        answer = {
            'clock_ms': self._clock_ms(),
            'born': self.born_ms,
            'running': running,
            'ended': self._ended[:500],
        }
        return web.json_reply(200, answer)

    def _percent(self, run: _Run) -> int:
        if run.work_ms is None:
            return 100
        ran_ms = (time.monotonic() - run.began_s) * 1000
        return min(99, int(100 * ran_ms / max(1, run.work_ms)))

    def _start(self, body) -> web.Reply:
        task, run_id = body['task'], body['run_id']
        self._extend(body['deadline_ms'])
        answer = {'clock_ms': self._clock_ms()}
        if (task, run_id) in self.running:
            return web.json_reply(200, answer)
        if run_id <= self._highest_ended.get(task, 0):
            return self._refuse('old')
        if body['deadline_ms'] <= self._clock_ms():
            return self._refuse('late')
        spec = body['spec']
        work_ms = None if spec == LASTING else float(spec)
        self.running[task, run_id] = _Run(work_ms)
        self._tell('start', task, run_id)
        return web.json_reply(200, answer)

    def _stop(self, body) -> web.Reply:
        task, run_id = body['task'], body['run_id']
        run = self.running.get((task, run_id))
        if run is not None and run.stops_at_s is None:
            run.stops_at_s = time.monotonic() + STOP_S
        self._mark_ended(task, run_id)
        return web.json_reply(200, {'clock_ms': self._clock_ms()})

"""A stand-in for a runner, by the published protocol, on the real clock.

What a task does stands in the job's ``spec``, a JSON text: ``work_ms``, and
``gang`` (the number of members) for tasks that work only together. All that
the runner begins, ends and lists is recorded in a ``History``.
"""

import asyncio
import json
import time
import typing

from aiohttp import web

__all__ = ['Event', 'Gangs', 'History', 'Runner']

HOLD_MAX_MS = 10_000
MAX_LISTED_ENDS = 500
STOP_MS = 300
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_MS = 1_000
TICK_S = 0.01
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
OTHER_INSTANCE = 421
# A call that gets no answer is broken off after its caller has given up.
SILENT_S = 3.0


def _break_off(request: web.Request) -> web.Response:
    """Close the connection of a call without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class Event(typing.NamedTuple):
    """Something that a runner has seen or done, ``at_s`` seconds in."""

    at_s: float
    runner: str
    what: str
    task: str
    run_id: int
    detail: str = ''


class History:
    """All events of all runners, in order."""

    def __init__(self) -> None:
        self._began_s = time.monotonic()
        self.events: list[Event] = []

    def now_s(self) -> float:
        """Return the seconds since the history began."""
        return time.monotonic() - self._began_s

    def add(self, runner, what, task='', run_id=0, detail='') -> None:
        """Record an event."""
        self.events.append(
            Event(self.now_s(), runner, what, task, run_id, detail)
        )


class Gangs:
    """The runs of gangs: their members on all runners."""

    def __init__(self) -> None:
        self.members: dict[tuple[str, int], dict[str, 'Runner']] = {}

    def is_complete(self, run: '_Run') -> bool:
        """Return whether all members of a run are present."""
        return len(self.members.get(run.gang_key, {})) >= run.gang

    def add(self, run: '_Run', runner: 'Runner') -> None:
        """Add a member that has begun."""
        self.members.setdefault(run.gang_key, {})[run.task] = runner

    def remove(self, run: '_Run', how: str) -> None:
        """Remove a member that has ended; the others break or end too."""
        members = self.members.get(run.gang_key, {})
        members.pop(run.task, None)
        if how in ('broken', 'alone'):
            return
        other_end = 'done' if how == 'done' else 'broken'
        for task, runner in list(members.items()):
            runner.end(task, other_end)


class _Run:
    """A run of a task."""

    def __init__(self, task: str, run_id: int, spec: str, saved: str):
        self.task = task
        self.run_id = run_id
        fields = json.loads(spec)
        self.work_ms = float(fields['work_ms'])
        self.gang = int(fields.get('gang', 0))
        self.saves = bool(fields.get('saves'))
        self.gang_key = (task.rpartition('.')[0], run_id)
        self.job_part = task[4:12]
        self.worked_ms = float(int(saved[:8], 16)) if saved else 0.0
        self.saved_ms = int(self.worked_ms)
        self.began_s = time.monotonic()
        self.stops_at_s: float | None = None

    @property
    def saved(self) -> str:
        """The last checkpoint, '' if there is none."""
        if not self.saves or not self.saved_ms:
            return ''
        return f'{self.saved_ms:08x}{self.job_part}'


class Runner:
    """One machine's runner, through its lives; each has another id."""

    def __init__(self, name, port, history, gangs, put, labels, capacity):
        self.name = name
        self.port = port
        self.history = history
        self.labels = labels
        self.capacity = capacity
        self._gangs = gangs
        self._put = put
        self._lives = 0
        self._seq = 0
        self.is_up = False
        self.leaves_at_s: float | None = None
        self._late_calls: list[asyncio.Future] = []
        # Until when calls get no answer, and are carried out late: after so
        # many seconds, by path.
        self.late_until_s = 0.0
        self.late_s_by_path: dict[str, float] = {}
        # Until when no call arrives.
        self.cut_until_s = 0.0
        self.restart()

    # -- lives -------------------------------------------------------------

    def restart(self, keeps_id: bool = False) -> None:
        """Begin a new life, under a new id or the one that it had."""
        self._lives += 1
        self._clock_from_s = time.monotonic()
        if not keeps_id:
            self.id = f'i-{self.name}-{self._lives}'
            self._clock_from_s -= 1000.0 * self._lives
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0.0
        self.lapsed_number = 0
        self.running: dict[str, _Run] = {}
        self.ended: list[tuple[int, str, int, str, str]] = []
        self._number = 0
        self._highest_ended: dict[str, int] = {}
        self._changed = asyncio.Event()
        self.is_up = True
        self.history.add(self.id, 'up')
        self.register()

    def register(self) -> None:
        """Write the runner's entry to the platform's list."""
        self._seq += 1
        state = 'ready' if self.leaves_at_s is None else 'draining'
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{self.port}',
            'zone': 'westlands',
            'version': '1',
            'slots': 8,
            'state': state,
            'cold_remaining_ms': 0,
            'seq': self._seq,
            'born': self.born_ms,
            'clock_ms': self.clock_ms,
            'capacity': self.capacity,
            'labels': self.labels,
        }
        if self.leaves_at_s is not None:
            left_s = max(0.0, self.leaves_at_s - time.monotonic())
            entry['remaining_ms'] = int(1000 * left_s)
        self._put('keyed.servers', self.id, json.dumps(entry).encode())

    def drain(self, for_s: float) -> None:
        """Report that the runner leaves after ``for_s``, and leave then."""
        self.leaves_at_s = time.monotonic() + for_s
        self.history.add(self.id, 'draining', detail=f'for {for_s} s')
        self.register()
        asyncio.get_running_loop().call_later(for_s, self.crash)

    def crash(self, stays_listed: bool = False) -> None:
        """End this life at once: all runs are gone, nothing is answered.

        Its entry goes after three heartbeats, unless it is back by then.
        """
        if not self.is_up:
            return
        self.is_up = False
        self.history.add(self.id, 'crashed')
        for run in list(self.running.values()):
            self.history.add(self.id, 'lost', run.task, run.run_id)
            del self.running[run.task]
            if run.gang:
                self._gangs.remove(run, 'crashed')
        if stays_listed:
            return
        former = self.id
        asyncio.get_running_loop().call_later(
            SILENT_HEARTBEATS * HEARTBEAT_S,
            self._put,
            'keyed.servers',
            former,
            b'',
        )

    @property
    def clock_ms(self) -> int:
        """The runner's own steady clock."""
        return int(1000 * (time.monotonic() - self._clock_from_s))

    async def live(self) -> None:
        """Let runs work and end, leases lapse and heartbeats go out."""
        last_s = time.monotonic()
        beat_s = last_s
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            elapsed_ms = 1000 * (now_s - last_s)
            last_s = now_s
            if not self.is_up:
                beat_s = now_s
                continue
            if now_s - beat_s >= HEARTBEAT_S:
                beat_s = now_s
                self.register()
            self._advance(now_s, elapsed_ms)

    def _advance(self, now_s: float, elapsed_ms: float) -> None:
        for run in list(self.running.values()):
            if run.task not in self.running:
                continue
            if run.stops_at_s is not None and now_s >= run.stops_at_s:
                run.saved_ms = int(run.worked_ms)
                self.end(run.task, 'stopped')
                continue
            if run.gang and not self._gangs.is_complete(run):
                if 1000 * (now_s - run.began_s) >= GANG_TIMEOUT_MS:
                    self.end(run.task, 'alone')
                continue
            run.worked_ms += elapsed_ms
            steps = int(run.worked_ms // CHECKPOINT_MS)
            run.saved_ms = max(run.saved_ms, steps * CHECKPOINT_MS)
            if run.worked_ms >= run.work_ms:
                self.end(run.task, 'done')
        if self.running and self.clock_ms >= self.lease_ms:
            for task in list(self.running):
                self.end(task, 'lapsed')
            self.lapsed_number = self._number

    def end(self, task: str, how: str) -> None:
        """End a run and list its end."""
        run = self.running.pop(task, None)
        if run is None:
            return
        self._number += 1
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, run.run_id)
        self.ended.append((self._number, task, run.run_id, how, run.saved))
        self.history.add(self.id, how, task, run.run_id)
        if run.gang:
            self._gangs.remove(run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    # -- calls -------------------------------------------------------------

    def routes(self) -> list[web.RouteDef]:
        """Return the calls that the runner answers."""
        return [
            web.post('/-/hold', self._guard(self._hold)),
            web.post('/-/run-start', self._guard(self._start)),
            web.post('/-/run-stop', self._guard(self._stop)),
        ]

    def _guard(self, handler):
        async def handle(request: web.Request) -> web.Response:
            body = json.loads(await request.read())
            life = self.id
            now_s = time.monotonic()
            if now_s < self.cut_until_s:
                await asyncio.sleep(SILENT_S)
                return _break_off(request)
            if now_s < self.late_until_s:
                late_s = self.late_s_by_path.pop(request.path, None)
                if late_s is not None:
                    asyncio.get_running_loop().call_later(
                        late_s, self._carry_out, request.path, handler, body
                    )
                await asyncio.sleep(SILENT_S)
                return _break_off(request)
            if not self.is_up:
                return _break_off(request)
            if request.headers.get('Expected-Instance', life) != life:
                return web.Response(status=OTHER_INSTANCE)
            if body.get('fence', 0) < self.fence:
                self.history.add(
                    self.id, 'fenced', body.get('task', ''), 0, request.path
                )
                return self._answer(409, reason='fence')
            self.fence = body.get('fence', 0)
            answer = await handler(body)
            if not self.is_up or life != self.id:
                return _break_off(request)
            return answer

        return handle

    def _carry_out(self, path: str, handler, body) -> None:
        """Carry out a call that was not answered, if the fence allows it."""
        task, run_id = body.get('task', ''), body.get('run_id', 0)
        if not self.is_up or body.get('fence', 0) < self.fence:
            self.history.add(self.id, 'late call refused', task, run_id, path)
            return
        self.fence = body.get('fence', 0)
        cursor = body.get('ack_cursor', '')
        self.history.add(
            self.id, 'late call', task, run_id, f'{path} {cursor}'
        )
        body.pop('wait_ms', None)
        self._late_calls.append(asyncio.ensure_future(handler(body)))

    def _answer(self, status: int, **fields) -> web.Response:
        fields |= {'clock_ms': self.clock_ms, 'born': self.born_ms}
        return web.Response(
            status=status,
            body=json.dumps(fields).encode(),
            content_type='application/json',
        )

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            longest_ms = self.clock_ms + HOLD_MAX_MS
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    async def _hold(self, body) -> web.Response:
        cursor = body.get('ack_cursor', 0)
        for number, task, run_id, how, _ in self.ended:
            if number <= cursor:
                lapsed = number <= self.lapsed_number
                noted = 'lapsed since' if lapsed else ''
                self.history.add(self.id, f'noted {how}', task, run_id, noted)
        self.ended = [row for row in self.ended if row[0] > cursor]
        self._extend(body.get('deadline_ms'))
        wait_ms = min(2_000, body.get('wait_ms', 0))
        if wait_ms and not self.ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [
            [
                run.task,
                run.run_id,
                run.saved,
                min(100, int(100 * run.worked_ms / run.work_ms)),
                0,
            ]
            for run in self.running.values()
        ]
        ended = [list(row) for row in self.ended[:MAX_LISTED_ENDS]]
        if len(self.ended) > MAX_LISTED_ENDS:
            self.history.add(
                self.id,
                'page',
                detail=f'{len(self.ended)} ends, {len(ended)} returned',
            )
        return self._answer(200, running=running, ended=ended)

    async def _start(self, body) -> web.Response:
        task, run_id = body['task'], body['run_id']
        if body['deadline_ms'] <= self.clock_ms:
            return self._answer(409, reason='late')
        self._extend(body['deadline_ms'])
        current = self.running.get(task)
        if current is not None and current.run_id == run_id:
            return self._answer(200)
        if current is not None or run_id <= self._highest_ended.get(task, 0):
            return self._answer(409, reason='old')
        saved = body.get('checkpoint', '')
        run = _Run(task, run_id, body['spec'], saved)
        self.running[task] = run
        self.history.add(self.id, 'start', task, run_id, saved)
        if run.gang:
            self._gangs.add(run, self)
        return self._answer(200)

    async def _stop(self, body) -> web.Response:
        task, run_id = body['task'], body['run_id']
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, run_id)
        run = self.running.get(task)
        if run is not None and run.run_id <= run_id and not run.stops_at_s:
            run.stops_at_s = time.monotonic() + STOP_MS / 1000
        return self._answer(200)

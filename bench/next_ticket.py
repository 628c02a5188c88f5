"""Processes whose start reaches a runner's next incarnation unnoticed.

Three nodes are started with the command of the deploy file; store, runners
and the advice service are stand-ins in this process, as in ``review.second``.
Each round hands in a job whose advice takes 0.4 s a call. While the call is
under way, the runner where the job's data is restarts under its id, and its
entry comes late. So the ticket, and the start with it, are of an incarnation
that the leader does not know yet. Right after the start the runner is cut off
while it runs the tasks. If the leader starts them elsewhere instead, though it
has that ticket, the round counts too::

    python -m bench.next_ticket [ROUNDS]

``TROUBLE=0`` leaves the restarts out, ``ENTRY=never`` the entries of the new
incarnations. ``KEEP_LOGS=DIR`` keeps the nodes' logs and the record. Exits
with 0 if no task ran twice at a time, 1 if one did, 2 if it could not run.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing
import weakref

from aiohttp import web

from bench import run_overlaps
from review.second import bed as bed_mod
from review.second import runner as runner_mod

__all__ = ['Advice', 'Runner', 'play']

ROUNDS, RUNNERS, TASKS = 2, 4, 2
WORK_MS = 30_000
# After the call for advice has begun, in s.
CRASH_AFTER_S = (0.15, 0.25)
DARK_S = 0.1
# The entry comes this long after the new incarnation takes calls.
ENTRY_AFTER_S = (0.2, 0.3)
CUT_S, PLACED_S, WATCH_S, CLEAR_S = 12.0, 5.0, 14.0, 20.0
# Longer than the leases that a former leader may have left.
SETTLE_S = 11.5
# When an unanswered call is broken off; its caller has given up before.
SILENT_S = 3.0
NEVER_S = 3_600.0
# When an entry that is not renewed expires.
EXPIRY_S = runner_mod.SILENT_HEARTBEATS * runner_mod.HEARTBEAT_S
ADVICE = {'decide_ms': 380.0, 'per_worker_ms': 5.0, 'valid_ms': 2_500}
CONFIG = {
    'version': 1,
    'routes': [{**bed_mod.ROUTE, 'advice': ADVICE}],
    'services': [{'name': 'desk', 'enforces_capacity': False}],
    'limits': {},
}


async def _leave_unanswered(request: web.Request) -> web.Response:
    """Close a connection after its caller has given up."""
    await asyncio.sleep(SILENT_S)
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class Runner(runner_mod.Runner):
    """A runner that takes tickets and whose entry may be late."""

    def __init__(self, number: int, port: int, bed: bed_mod.Bed):
        # Until when its entry is not written, and holds are not answered.
        self.entry_from_s = self.unread_until_s = 0.0
        # Whether it is cut off after the next start, and when it was.
        self.is_cut_next, self.cut_at_s = False, 0.0
        self.expires_s_by_ticket: dict[str, float] = {}
        # Of each connection, the incarnation that took its first call.
        self._opened = weakref.WeakKeyDictionary()
        shared = (bed.history, bed.gangs, bed.store.log.put)
        labels, room = ['a', f'r{number}'], bed_mod.CAPACITY
        super().__init__(f'{number:02}', port, *shared, labels, room)

    def restart(self, keeps_id: bool = False) -> None:
        """Begin an incarnation, which takes no former ticket."""
        self.expires_s_by_ticket.clear()
        super().restart(keeps_id)

    def register(self) -> None:
        """Write the entry, unless it is late."""
        if time.monotonic() >= self.entry_from_s:
            super().register()

    def issue(self, phase: str) -> str:
        """Return a ticket of this incarnation."""
        ticket, now_s = f'{phase}/{self._lives}', time.monotonic()
        self.expires_s_by_ticket[ticket] = now_s + ADVICE['valid_ms'] / 1000
        return ticket

    def _guard(self, handler):
        handle = super()._guard(handler)

        async def handle_or_not(request: web.Request) -> web.Response:
            is_unread = time.monotonic() < self.unread_until_s
            if not self.is_up or (is_unread and request.path == '/-/hold'):
                return await _leave_unanswered(request)
            called = self._lives
            # Connections to a former incarnation are reset.
            if called != self._opened.setdefault(request.transport, called):
                request.transport.abort()
                return web.Response(status=500)
            answer = await handle(request)
            if not self.is_up or called != self._lives:
                return await _leave_unanswered(request)
            return answer

        return handle_or_not

    async def _start(self, body) -> web.Response:
        ticket = body.get('ticket', '')
        if time.monotonic() >= self.expires_s_by_ticket.get(ticket, 0.0):
            return self._answer(409, reason='ticket')
        response = await super()._start(body)
        if self.is_cut_next and body['task'] in self.running:
            # The other starts of the batch are taken too.
            asyncio.get_running_loop().call_later(0.02, self._cut)
        return response

    def _cut(self) -> None:
        if self.is_cut_next:
            self.is_cut_next = False
            self.cut_at_s = time.monotonic()
            self.cut_until_s = self.cut_at_s + CUT_S
            self.history.add(self.id, 'cut off')


class Advice:
    """Grants all runners, with tickets of the incarnations at its answer."""

    def __init__(self, runners: typing.Sequence[Runner]) -> None:
        self._runners = runners
        self._turn_by_caller = collections.defaultdict(asyncio.Lock)
        # Jobs about which a call is under way, or was.
        self.begun_by_job = collections.defaultdict(asyncio.Event)

    async def answer(self, request: web.Request) -> web.Response:
        """Decide, one call at a time for each caller."""
        body = json.loads(await request.read())
        phase, ids = body['phase'], body['workers']
        took_ms = ADVICE['decide_ms'] + ADVICE['per_worker_ms'] * len(ids)
        async with self._turn_by_caller[request.remote or '']:
            self.begun_by_job[phase.partition('.')[0]].set()
            await asyncio.sleep(took_ms / 1000)
        rows = [[r.id, r.issue(phase)] for r in self._runners if r.id in ids]
        return web.json_response(
            {'granted': rows, 'valid_ms': ADVICE['valid_ms']}
        )


async def _disturb(bed: bed_mod.Bed, runner: Runner, called) -> None:
    """Restart a runner while a call for advice is under way."""
    await called.wait()
    if not bed_mod.is_troubled():
        return
    await asyncio.sleep(random.uniform(*CRASH_AFTER_S))
    is_never = os.environ.get('ENTRY') == 'never'
    entry_s = NEVER_S if is_never else random.uniform(*ENTRY_AFTER_S)
    now_s = time.monotonic()
    runner.entry_from_s = now_s + DARK_S + entry_s
    runner.unread_until_s = now_s + CUT_S
    runner.crash(stays_listed=True)
    await asyncio.sleep(DARK_S)
    runner.restart(keeps_id=True)
    if is_never:
        await asyncio.sleep(EXPIRY_S)
        bed.store.log.put('keyed.servers', runner.id, b'')
        return
    await asyncio.sleep(runner.entry_from_s - time.monotonic())
    runner.register()
    bed.note(f'{runner.id}: its new entry is written')


async def _settle(bed: bed_mod.Bed) -> bed_mod.Node:
    """Return a node once it has led for ``SETTLE_S``."""
    leader, since_s = None, 0.0
    while leader is None or time.monotonic() - since_s < SETTLE_S:
        found = await bed.leader()
        if found is not leader:
            leader, since_s = found, time.monotonic()
        await asyncio.sleep(0.2)
    return leader


def _is_withheld(bed: bed_mod.Bed, runner: Runner, job: str) -> bool:
    """Return whether a job runs only elsewhere, though it has the ticket."""
    others = [other for other in bed.runners if other is not runner]
    tasks = [task for other in others for task in other.running]
    has_ticket = any(t.startswith(job) for t in runner.expires_s_by_ticket)
    return has_ticket and any(task.startswith(job) for task in tasks)


async def _play_round(
    bed: bed_mod.Bed, advice: Advice, runner: Runner, number: int
) -> bool:
    """Play a round; return whether the start went as it is meant to."""
    leader = await _settle(bed)
    job = f'{0xC0001 + number:016x}'
    phase = {'count': TASKS, 'cpu': 1_000, 'estimate_ms': WORK_MS}
    phase |= {'data_rack': runner.labels[1], 'remote_factor': 4.0}
    runner.is_cut_next = True
    called = advice.begun_by_job[job]
    disturbance = asyncio.create_task(_disturb(bed, runner, called))
    await bed.submit(bed.nodes[0], job, {'work_ms': WORK_MS}, [phase])
    until_s = time.monotonic() + PLACED_S
    is_withheld = False
    while runner.is_cut_next and time.monotonic() < until_s:
        is_withheld = bed_mod.is_troubled() and _is_withheld(bed, runner, job)
        if is_withheld:
            break
        await asyncio.sleep(0.01)
    has_begun_unread = runner.cut_at_s < runner.entry_from_s
    is_meant = not runner.is_cut_next and await bed.leader() is leader
    is_meant &= has_begun_unread is bed_mod.is_troubled()
    runner.is_cut_next = False
    is_meant |= is_withheld
    if is_meant:
        await asyncio.sleep(WATCH_S)
    await disturbance
    await bed.job_call('DELETE', bed.nodes[0], job)
    runner.entry_from_s = runner.unread_until_s = 0.0
    until_s = time.monotonic() + CLEAR_S
    while any(r.running for r in bed.runners) and time.monotonic() < until_s:
        await asyncio.sleep(0.1)
    return is_meant


async def play(bed: bed_mod.Bed, rounds: int) -> int:
    """Play all rounds."""
    runners = [Runner(n, bed_mod.free_port(), bed) for n in range(RUNNERS)]
    for runner in runners:
        await bed.serve(runner.routes(), runner.port)
    lives = [asyncio.create_task(runner.live()) for runner in runners]
    bed.runners += runners
    advice = Advice(runners)
    bed.advice_port = bed_mod.free_port()
    await bed.serve([web.post('/-/advise', advice.answer)], bed.advice_port)
    await bed.open(3, [], CONFIG)
    meant = 0
    for number in range(rounds):
        runner = runners[number % RUNNERS]
        meant += await _play_round(bed, advice, runner, number)
    for life in lives:
        life.cancel()
    print(f'{meant} of {rounds} rounds as they are meant to be')
    found = run_overlaps.overlaps(bed.history.events)
    if not meant and not found:
        raise bed_mod.CannotRunError('no start came as it was meant to')
    lines = ['\n  '.join(['TWICE:', *map(str, pair)]) for pair in found]
    return bed_mod.finish(bed, lines)


async def _main(rounds: int, folder: pathlib.Path) -> int:
    async with bed_mod.Bed(folder) as bed:
        try:
            return await play(bed, rounds)
        except (bed_mod.CannotRunError, OSError) as error:
            print(f'could not run: {error}')
            bed.write_record(f'could not run: {error}')
            return 2


if __name__ == '__main__':
    count = int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS
    with tempfile.TemporaryDirectory() as temporary:
        kept = os.environ.get('KEEP_LOGS') or temporary
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        sys.exit(asyncio.run(_main(count, pathlib.Path(kept))))

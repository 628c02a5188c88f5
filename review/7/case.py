"""One of three nodes is left; a queue's advice takes half a second."""

import asyncio
import json
import time

from aiohttp import web

from review.second import bed as bed_mod

RUNNERS = 7
TASKS = 2
WORK_MS = 640
# As on the sheet of a small deployment: the call names all runners.
LONG_MS, LONG_WORKER_MS = 440.0, 6.3
SHORT_MS, SHORT_WORKER_MS = 6.5, 0.093
VALID_MS = 2_500
LONG_PREFIX = '/renewal/'
CONTACT_S = 3.0
WATCH_S = 30.0
# From the rule: a task's turn has come, and nothing runs for 3 s on end.
IDLE_S = 3.0


class Advice:
    """The service that says which runners may run a step: all of them."""

    def __init__(self) -> None:
        self._turn_by_caller: dict[str, asyncio.Lock] = {}
        self.calls: list[tuple[str, int]] = []

    async def answer(self, request: web.Request) -> web.Response:
        """Decide in the time that the queue declares, one call at a time."""
        body = json.loads(await request.read())
        phase, workers = body['phase'], body['workers']
        is_long = phase.startswith('a')
        first_ms = LONG_MS if is_long else SHORT_MS
        each_ms = LONG_WORKER_MS if is_long else SHORT_WORKER_MS
        turn = self._turn_by_caller.setdefault(
            request.remote or '', asyncio.Lock()
        )
        async with turn:
            await asyncio.sleep((first_ms + each_ms * len(workers)) / 1000)
        self.calls.append((phase, len(workers)))
        rows = [[worker, f'{phase}@{worker}'] for worker in workers]
        return web.json_response({'granted': rows, 'valid_ms': VALID_MS})


def config() -> dict:
    """Return a configuration of an urgent queue and one with long advice."""
    short = {
        'decide_ms': SHORT_MS,
        'per_worker_ms': SHORT_WORKER_MS,
        'valid_ms': VALID_MS,
    }
    long = {
        'decide_ms': LONG_MS,
        'per_worker_ms': LONG_WORKER_MS,
        'valid_ms': VALID_MS,
    }
    routes = [
        {**bed_mod.ROUTE, 'priority': 0, 'advice': short},
        {
            **bed_mod.ROUTE,
            'name': 'renewal',
            'path_prefix': LONG_PREFIX,
            'advice': long,
        },
    ]
    services = [{'name': 'desk', 'enforces_capacity': False}]
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': {},
    }


async def play(bed: bed_mod.Bed) -> int:
    """Play the case."""
    advice = Advice()
    bed.advice_port = bed_mod.free_port()
    await bed.serve([web.post('/-/advise', advice.answer)], bed.advice_port)
    labels = [('a', f'r{n // 4}') for n in range(RUNNERS)]
    await bed.open(3, labels, config())
    leader = await bed.leader()
    left = leader
    if bed_mod.is_troubled():
        for node in bed.nodes:
            if node is not left:
                bed.note(f'{node.name} is removed for good, with SIGTERM')
                await node.terminate()
    await asyncio.sleep(CONTACT_S)
    phases = [
        {
            'count': TASKS,
            'cpu': 1_000,
            'mem_mb': 500,
            'estimate_ms': WORK_MS,
        }
    ]
    spec = {'work_ms': WORK_MS}
    urgent, renewal = f'{0xB0001:016x}', f'{0xA000000000000001:016x}'
    await bed.submit(left, urgent, spec, phases)
    await bed.submit(left, renewal, spec, phases, LONG_PREFIX)
    accepted_s = bed.history.now_s()
    until_s = time.monotonic() + WATCH_S
    while time.monotonic() < until_s:
        await asyncio.sleep(1.0)
        await bed.job_call('GET', left, urgent)
        await bed.job_call('GET', left, renewal, None, LONG_PREFIX)
    begun = {e.task[:16] for e in bed.history.events if e.what == 'start'}
    for phase, count in advice.calls:
        bed.note(f'advice was given on {phase}, {count} runners')
    if urgent not in begun:
        raise bed_mod.CannotRunError('the urgent job has not begun either')
    broken = []
    first_s = min(
        (
            e.at_s
            for e in bed.history.events
            if e.what == 'start' and e.task.startswith(renewal)
        ),
        default=bed.history.now_s(),
    )
    if first_s - accepted_s > IDLE_S:
        broken.append(
            f'LOST: job {renewal} was accepted at {accepted_s:.3f} s and has '
            f'nothing running until {first_s:.3f} s, with all runners idle'
        )
    return bed_mod.finish(bed, broken)


if __name__ == '__main__':
    bed_mod.main(__file__, play)

"""A runner is lost for good as the leader is killed; a task lasts."""

import asyncio
import time

from review.second import bed as bed_mod
from review.second import judging

JOB = '00000000000d0001'
RUNNERS = 7
TASKS = 3
WORK_MS = 3_600_000
SETTLE_S = 4.0
WATCH_S = 40.0


async def play(bed: bed_mod.Bed) -> int:
    """Play the case."""
    await bed.open(3, [('a', f'r{n // 4}') for n in range(RUNNERS)])
    phases = [
        {
            'count': TASKS,
            'cpu': 3_400,
            'mem_mb': 6_900,
            'estimate_ms': 270,
            'long_running': True,
            'anti_affinity': 1,
        }
    ]
    await bed.submit(bed.nodes[0], JOB, {'work_ms': WORK_MS}, phases)
    await asyncio.sleep(SETTLE_S)
    if len({t for r in bed.runners for t in r.running}) < TASKS:
        raise bed_mod.CannotRunError('not all tasks have begun')
    leader = await bed.leader()
    if bed_mod.is_troubled():
        runner = next(r for r in bed.runners if r.running)
        await bed.crash(runner, None)
        await asyncio.sleep(0.2)
        bed.note(f'the leader {leader.name} is killed, and started again')
        await leader.kill()
        await leader.start()
    calm_from_s = bed.history.now_s()
    await bed.wait_ready(bed.nodes)
    until_s = time.monotonic() + WATCH_S
    while time.monotonic() < until_s:
        await asyncio.sleep(1.0)
        await bed.state(JOB)
    broken = judging.idle_for_too_long(bed, calm_from_s, bed.history.now_s())
    return bed_mod.finish(bed, broken)


if __name__ == '__main__':
    bed_mod.main(__file__, play)

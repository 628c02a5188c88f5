"""The larger machines are removed; the small one that is left leads."""

import asyncio

from review.second import bed as bed_mod
from review.second import judging

JOB = '00000000000f0001'
RUNNERS = 7
TASKS = 3
MAY_MISS = 1
WORK_MS = 3_600_000
# 0.537 and 2.15 cores: the machines of a grown deployment have both.
SMALL_SHARE, LARGE_SHARE = 0.2685, 1.075
SETTLE_S = 4.0
CONTACT_S = 3.0
WATCH_S = 60.0


async def play(bed: bed_mod.Bed) -> int:
    """Play the case."""
    labels = [('a', f'r{n // 4}') for n in range(RUNNERS)]
    shares = [SMALL_SHARE, LARGE_SHARE, LARGE_SHARE]
    await bed.open(3, labels, None, shares)
    phases = [
        {
            'count': TASKS,
            'cpu': 3_400,
            'mem_mb': 6_900,
            'estimate_ms': 270,
            'long_running': True,
            'anti_affinity': 1,
            'may_miss': MAY_MISS,
        }
    ]
    await bed.submit(bed.nodes[0], JOB, {'work_ms': WORK_MS}, phases)
    await asyncio.sleep(SETTLE_S)
    if len({t for r in bed.runners for t in r.running}) < TASKS:
        raise bed_mod.CannotRunError('not all tasks have begun')
    if bed_mod.is_troubled():
        for node in bed.nodes[1:]:
            bed.note(f'{node.name} is removed for good, with SIGTERM')
            await node.terminate()
    calm_from_s = bed.history.now_s() + CONTACT_S
    await asyncio.sleep(WATCH_S)
    await bed.job_call('GET', bed.nodes[0], JOB)
    return bed_mod.finish(
        bed,
        judging.idle_for_too_long(bed, calm_from_s, bed.history.now_s()),
    )


if __name__ == '__main__':
    bed_mod.main(__file__, play)

"""More than 500 runs end on one runner while the store is down."""

import asyncio
import time

from review.second import bed as bed_mod
from review.second import judging

JOBS = 38
TASKS = 32
WORK_MS = 8_000
# The first job ends before the others.
FIRST_WORK_MS = 7_000
BETWEEN_S = 0.06
# Long enough after the last start, and before the first end.
DOWN_AFTER_S = 6.8
DOWN_S = 4.5
FINISH_S = 60.0


async def play(bed: bed_mod.Bed) -> int:
    """Play the case."""
    await bed.open(3, [('a', 'r1'), ('a', 'r1'), ('b', 'r2')])
    node = bed.nodes[0]
    phases = [
        {
            'count': TASKS,
            'cpu': 10,
            'mem_mb': 40,
            'estimate_ms': WORK_MS,
            'required_label': 'b',
        }
    ]
    ids = [f'{number:016x}' for number in range(0xA000, 0xA000 + JOBS)]
    began_s = time.monotonic()
    await bed.submit(node, ids[0], {'work_ms': FIRST_WORK_MS}, phases)
    for job_id in ids[1:]:
        await bed.submit(node, job_id, {'work_ms': WORK_MS}, phases)
        await asyncio.sleep(BETWEEN_S)
    await asyncio.sleep(max(0.0, began_s + DOWN_AFTER_S - time.monotonic()))
    if bed_mod.is_troubled():
        bed.take_topic_down('keyed.state', DOWN_S)
    until_s = time.monotonic() + FINISH_S
    waiting = list(ids)
    while waiting and time.monotonic() < until_s:
        await asyncio.sleep(2.0)
        waiting = [i for i in waiting if await bed.state(i) != 'completed']
    if waiting and not bed_mod.is_troubled():
        raise bed_mod.CannotRunError(f'not completed: {waiting}')
    return bed_mod.finish(bed, judging.started_after_done(bed))


if __name__ == '__main__':
    bed_mod.main(__file__, play)

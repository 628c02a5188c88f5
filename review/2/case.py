"""A job is rejected as not run, though a peer has stored it."""

import asyncio

from review import bed as bed_mod
from review import runner as runner_mod

JOBS = '/jobs/'
TURNED_AWAY_S = 9.0
LOSSY_S = 4.5
LOST_SHARE = 0.35
INTERVAL_S = 0.1
SETTLE_S = 15.0
SPECS = [
    runner_mod.RunnerSpec(f'i-{n}', bed_mod.SERVICE, ('a', 'r1'))
    for n in range(8)
]


async def case(bed: bed_mod.Bed) -> bool:
    """Hand in jobs at a node that the store turns away."""
    leader = await bed.leader()
    node = next(n for n in bed.nodes if n is not leader)
    await asyncio.sleep(3.0)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    if bed.is_trouble:
        bed.note(f'the store turns {node.name} away with 503')
        node.gate.is_busy = True
    attempts = []
    while (passed_s := loop.time() - began_s) < TURNED_AWAY_S:
        # Two periods in which answers are lost, with a pause.
        is_lossy = passed_s % (LOSSY_S + 0.2) < LOSSY_S
        bed.store.lost_share = LOST_SHARE * (bed.is_trouble and is_lossy)
        job = bed.make_job(JOBS, '600')
        # These clients don't retry.
        attempts.append(asyncio.create_task(bed.hand_in(job, node)))
        await asyncio.sleep(INTERVAL_S)
    bed.store.lost_share = 0.0
    node.gate.is_busy = False
    bed.note('the store serves all nodes')
    await asyncio.gather(*attempts)
    await asyncio.sleep(SETTLE_S)
    bed.note(f'{bed.store.lost_writes} of {bed.store.writes} answers lost')
    broken = [
        job for job in bed.jobs.values() if job.is_rejected and bed.starts(job)
    ]
    for job in broken:
        bed.note(f'{job.job_id} has run, but was rejected: {job.answers}')
    return not broken


if __name__ == '__main__':
    bed_mod.main('REFUSED', case, SPECS, [bed_mod.route(JOBS)])

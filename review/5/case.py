"""A run on a lost runner is never given up, so its job never ends."""

import asyncio

from review import bed as bed_mod
from review import runner as runner_mod

JOBS = '/jobs/'
RUNNERS = 8
WORK_MS = 12_000
OUTAGE_S = 4.5
CRASH_AFTER_S = 1.0
DOWN_S = 1.92
LOST_AFTER_S = 4.0
SPECS = [
    runner_mod.RunnerSpec(f'i-{n}', bed_mod.SERVICE, ('a', 'r1'))
    for n in range(RUNNERS)
]


async def case(bed: bed_mod.Bed) -> bool:
    """Restart a runner in an outage of the store, and lose it later."""
    await asyncio.sleep(3.0)
    leader = await bed.leader()
    if bed.is_trouble:
        bed.note('the store is down')
        bed.store.is_down = True
    job = bed.make_job(JOBS, str(WORK_MS), RUNNERS, anti_affinity=1)
    attempt = asyncio.create_task(bed.hand_in(job, leader))
    await asyncio.sleep(CRASH_AFTER_S)
    runner = bed.runners[0]
    if bed.is_trouble:
        bed.note(f'{runner.spec.runner_id} crashes')
        runner.crash()
    await asyncio.sleep(DOWN_S)
    if bed.is_trouble:
        runner.restart(runner.spec)
        bed.note(f'{runner.spec.runner_id} is back')
    await asyncio.sleep(OUTAGE_S - CRASH_AFTER_S - DOWN_S)
    if bed.is_trouble:
        bed.store.is_down = False
        bed.note('the store is back')
    await attempt
    if not job.is_accepted:
        await bed.hand_in_until_answered(job)
    await asyncio.sleep(LOST_AFTER_S)
    if bed.is_trouble:
        bed.note(f'{runner.spec.runner_id} is lost for good')
        runner.crash()
    # The other tasks end, and every lease of the lost runner too.
    await asyncio.sleep(WORK_MS / 1000)

    def may_run(job: bed_mod.Job) -> bool:
        phase = job.body['phases'][0]
        is_free = any(
            bed.free_cpu(runner) >= 2 * phase['cpu']
            for runner in bed.runners
            if runner.is_up
        )
        return is_free and bed.used_cpu_share() < 0.5

    return not await bed.idle_jobs([job], may_run)


if __name__ == '__main__':
    bed_mod.main('LOST', case, SPECS, [bed_mod.route(JOBS)])

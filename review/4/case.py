"""Jobs that wait for a lost kind of runner keep all others from running."""

import asyncio

from review import bed as bed_mod
from review import runner as runner_mod

JOBS = '/jobs/'
RUNNERS = 8
RARE = 'b'
RARE_JOBS = 60
OTHER_JOBS = 20
RARE_INTERVAL_S = 0.2
INTERVAL_S = 1.0
PAUSE_S = 15.0
CPU = 500
SPECS = [
    runner_mod.RunnerSpec(
        f'i-{n}', bed_mod.SERVICE, (RARE if n == 0 else 'a', 'r1')
    )
    for n in range(RUNNERS)
]


async def case(bed: bed_mod.Bed) -> bool:
    """Hand in jobs for a rare kind of runner, then jobs for any kind."""
    await asyncio.sleep(3.0)
    if bed.is_trouble:
        bed.note('the only runner of its kind is lost for good')
        bed.runners[0].crash()
    await asyncio.sleep(8.0)
    for _ in range(RARE_JOBS):
        job = bed.make_job(JOBS, '600', cpu=CPU, required_label=RARE)
        await bed.hand_in_until_answered(job)
        await asyncio.sleep(RARE_INTERVAL_S)
    await asyncio.sleep(PAUSE_S)
    jobs = []
    for _ in range(OTHER_JOBS):
        job = bed.make_job(JOBS, '600', cpu=CPU)
        await bed.hand_in_until_answered(job)
        jobs.append(job)
        await asyncio.sleep(INTERVAL_S)

    def may_run(job: bed_mod.Job) -> bool:
        is_free = any(
            bed.free_cpu(runner) >= 2 * CPU
            for runner in bed.runners
            if runner.is_up
        )
        return is_free and bed.used_cpu_share() < 0.5

    return not await bed.idle_jobs(jobs, may_run)


if __name__ == '__main__':
    bed_mod.main('LOST', case, SPECS, [bed_mod.route(JOBS)])

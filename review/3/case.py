"""A gang that can never run keeps all other jobs from running."""

import asyncio

from review import bed as bed_mod
from review import runner as runner_mod

JOBS = '/jobs/'
RUNNERS = 4
LASTING_CPU = 4_000
GANG_CPU = 14_000
JOB_CPU = 1_000
JOBS_BEFORE = 10
JOBS_AFTER = 30
INTERVAL_S = 1.0
SPECS = [
    runner_mod.RunnerSpec(f'i-{n}', bed_mod.SERVICE, ('a', 'r1'))
    for n in range(RUNNERS)
]


async def case(bed: bed_mod.Bed) -> bool:
    """Hand in jobs before and after one that can never be done."""
    await asyncio.sleep(3.0)
    lasting = bed.make_job(
        JOBS,
        runner_mod.LASTING,
        RUNNERS,
        LASTING_CPU,
        long_running=True,
        anti_affinity=1,
    )
    await bed.hand_in_until_answered(lasting)
    await asyncio.sleep(3.0)
    if len(bed.starts(lasting)) < RUNNERS:
        raise bed_mod.CannotRunError('the lasting tasks did not start')
    jobs = []
    for number in range(JOBS_BEFORE + JOBS_AFTER):
        if number == JOBS_BEFORE and bed.is_trouble:
            bed.note('a job comes that can never be done')
            gang = bed.make_job(JOBS, '600', RUNNERS, GANG_CPU, gang=True)
            await bed.hand_in_until_answered(gang)
        job = bed.make_job(JOBS, '600', cpu=JOB_CPU)
        await bed.hand_in_until_answered(job)
        jobs.append(job)
        await asyncio.sleep(INTERVAL_S)

    def may_run(job: bed_mod.Job) -> bool:
        is_free = any(
            bed.free_cpu(runner) >= 2 * JOB_CPU for runner in bed.runners
        )
        return is_free and bed.used_cpu_share() < 0.5

    return not await bed.idle_jobs(jobs, may_run)


if __name__ == '__main__':
    bed_mod.main('LOST', case, SPECS, [bed_mod.route(JOBS)])

"""Runners whose entries expire in an outage of the store are lost."""

import asyncio

from review import bed as bed_mod
from review import runner as runner_mod

JOBS = '/jobs/'
KINDS = 'abcdefghijkl'
OUTAGE_S = 4.5
SPECS = [
    runner_mod.RunnerSpec(f'i-{kind}', bed_mod.SERVICE, (kind, 'r1'))
    for kind in KINDS
]


async def case(bed: bed_mod.Bed) -> bool:
    """Hand in jobs for each kind of runner after an outage of the store."""
    # All runners are idle.
    await asyncio.sleep(5.0)
    if bed.is_trouble:
        bed.note('the store is down')
        bed.store.is_down = True
    await asyncio.sleep(OUTAGE_S)
    if bed.is_trouble:
        bed.store.is_down = False
        bed.note('the store is back')
    await asyncio.sleep(10.0)
    jobs = []
    for kind in KINDS:
        job = bed.make_job(JOBS, '600', required_label=kind)
        await bed.hand_in_until_answered(job)
        jobs.append(job)

    def may_run(job: bed_mod.Job) -> bool:
        phase = job.body['phases'][0]
        fitting = [
            runner
            for runner in bed.runners
            if runner.is_up
            and phase['required_label'] in runner.spec.labels
            and bed.free_cpu(runner) >= 2 * phase['cpu']
        ]
        return bool(fitting) and bed.used_cpu_share() < 0.5

    return not await bed.idle_jobs(jobs, may_run)


if __name__ == '__main__':
    bed_mod.main('LOST', case, SPECS, [bed_mod.route(JOBS)])

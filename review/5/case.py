"""A task starts on a runner that has come back without the label."""

import asyncio

from review.bed import bed as bed_mod
from review.bed import runner as runner_mod

JOBS = '/jobs/'
RUNNERS = 8
RARE, USUAL = 'b', 'a'
OUTAGE_S = 4.5
CRASH_AFTER_S = 1.0
DOWN_S = 2.0
SETTLE_S = 8.0
SPECS = [
    runner_mod.RunnerSpec(
        f'i-{n}', bed_mod.SERVICE, (RARE if n == 0 else USUAL, 'r1')
    )
    for n in range(RUNNERS)
]


async def case(bed: bed_mod.Bed) -> bool:
    """Hand in jobs in an outage in which their runner starts anew."""
    await asyncio.sleep(3.0)
    leader = await bed.leader()
    if bed.is_trouble:
        bed.note('the store is down')
        bed.store.is_down = True
    job = bed.make_job(JOBS, '600', required_label=RARE)
    attempt = asyncio.create_task(bed.hand_in(job, leader))
    await asyncio.sleep(CRASH_AFTER_S)
    runner = bed.runners[0]
    if bed.is_trouble:
        bed.note('the runner crashes')
        runner.crash()
    await asyncio.sleep(DOWN_S)
    if bed.is_trouble:
        runner.restart(runner.spec._replace(labels=(USUAL, 'r1')))
        bed.note(f'the runner is back, as of kind {USUAL}')
    await asyncio.sleep(OUTAGE_S - CRASH_AFTER_S - DOWN_S)
    if bed.is_trouble:
        bed.store.is_down = False
        bed.note('the store is back')
    await attempt
    await asyncio.sleep(SETTLE_S)
    broken = [
        event for event in bed.starts(job) if RARE not in event.runner.labels
    ]
    for event in broken:
        bed.note(f'{event.task} started on a runner without label {RARE}')
    return not broken


if __name__ == '__main__':
    bed_mod.main('ROUTE', case, SPECS, [bed_mod.route(JOBS)])

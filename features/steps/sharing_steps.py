"""Steps on fillers beside services, without a network."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import throttling
from features import cell_world

FULL_PERCENT = 100
RUN_MS = 600_000
SERVICE_CPU = 1_000
MS_PER_S = 1_000


def submit(context, job_id, step, rank=1):
    policy = cell_world.queue(rank=rank, name=job_id)
    world = context.world
    world.submit(
        cell_world.job(
            job_id, step, policy=policy, accepted_at_ms=world.clock.now()
        )
    )


def filler(count, cpu, memory, image='filler'):
    return cell_world.step(
        count, cpu, memory, is_filler=True, is_checkpointing=True, image=image
    )


def running(context, job_id):
    return {
        task: runner_ids[0]
        for task, runner_ids in context.world.running().items()
        if task.startswith(f'{job_id}.')
    }


@given('a job "{job_id}" that takes all {cpu:d} processors of a worker')
def full_worker(context, job_id, cpu):
    context.world.work_ms = RUN_MS
    submit(context, job_id, cell_world.step(1, cpu * 1_000, 1_000), rank=0)
    context.world.plan()
    assert running(context, job_id)


@when(
    'a filler "{job_id}" of {count:d} tasks comes, each of {cpu:d} processors '
    'and {memory:d} MB'
)
def filler_comes(context, job_id, count, cpu, memory):
    context.world.work_ms = RUN_MS
    submit(context, job_id, filler(count, cpu * 1_000, memory))


@then('{count:d} tasks of "{job_id}" run')
def running_count_is(context, count, job_id):
    assert len(running(context, job_id)) == count, running(context, job_id)


@given(
    'a service "{job_id}" of {count:d} tasks, one a worker, with a target of '
    '{ms:d} ms'
)
def service(context, job_id, count, ms):
    context.world.work_ms = RUN_MS
    step = cell_world.step(
        count,
        SERVICE_CPU,
        is_service=True,
        max_per_worker=1,
        latency_target_ms=ms,
        image='web',
    )
    submit(context, job_id, step)
    context.target_ms = ms
    context.world.plan()
    assert len(running(context, job_id)) == count


@then('the task of "{job_id}" runs beside no service')
def beside_none(context, job_id):
    (place,) = running(context, job_id).values()
    assert place not in running(context, 'web').values()


def raise_tail_latency(context, base_ms, max_rise_ms, images=None):
    """Make the tail latency of services rise with the speed of fillers.

    It is ``base_ms`` without fillers, and up to ``max_rise_ms`` more for each
    filler at full speed whose image is one of ``images``.
    """

    def use_of(runner, task):
        if not task.startswith('web.'):
            return 0.0
        load = sum(
            run.percent / FULL_PERCENT
            for name, run in runner.running.items()
            if context.image_by_job.get(name.partition('.')[0]) in images
        )
        return base_ms + max_rise_ms * load

    context.image_by_job = {'f1': 'filler'}
    images = images or {'filler'}
    for runner in context.world.runner_by_id.values():
        runner.use_of = lambda task, runner=runner: use_of(runner, task)


@given('fillers raise its tail latency from {calm:d} ms by up to {most:d} ms')
def fillers_disturb(context, calm, most):
    raise_tail_latency(context, calm, most)


@when('fillers raise its tail latency from {calm:d} ms by up to {most:d} ms')
def fillers_disturb_less(context, calm, most):
    raise_tail_latency(context, calm, most)


@given(
    'only the image "{image}" raises its tail latency from {calm:d} ms by up '
    'to {most:d} ms'
)
def one_image_disturbs(context, image, calm, most):
    raise_tail_latency(context, calm, most, {image})
    context.image_by_job = {'f1': 'light', 'f2': 'heavy'}


@when(
    'a filler "{one}" with image "{light}" and a filler "{two}" with '
    '"{heavy}" come'
)
def two_fillers(context, one, light, two, heavy):
    context.world.work_ms = RUN_MS
    for job_id, image in ((one, light), (two, heavy)):
        submit(context, job_id, filler(1, 4_000, 100, image))


@when('{seconds:d} s pass with a lease renewal each {pause:g} s')
def run_with_renewals(context, seconds, pause):
    world = context.world
    pause_ms = int(pause * MS_PER_S)
    context.over_ms = getattr(context, 'over_ms', 0)
    context.longest_over_ms = getattr(context, 'longest_over_ms', 0)
    context.worked_ms = 0.0
    for _ in range(seconds * MS_PER_S // pause_ms):
        world.run_cycle(pause_ms)
        for runner in world.runner_by_id.values():
            _record_cycle(context, runner, pause_ms)
    context.elapsed_ms = seconds * MS_PER_S


def _record_cycle(context, runner, pause_ms):
    """Add to the time over the target and to the filler's work."""
    tail_latencies_ms = [runner.use_of(task) for task in runner.running]
    if max(tail_latencies_ms, default=0) > context.target_ms:
        context.over_ms += pause_ms
    else:
        context.over_ms = 0
    context.longest_over_ms = max(context.longest_over_ms, context.over_ms)
    for task, run in runner.running.items():
        if task.startswith('f1.'):
            context.worked_ms += pause_ms * run.percent / FULL_PERCENT


@then('the service was over its target for at most {seconds:g} s at a time')
def not_long_over(context, seconds):
    assert context.longest_over_ms > 0, 'it was never disturbed'
    assert context.longest_over_ms <= seconds * MS_PER_S, (
        context.longest_over_ms
    )


@then('the filler did at least {percent:d}% of the work that it does alone')
def filler_worked(context, percent):
    share = FULL_PERCENT * context.worked_ms / context.elapsed_ms
    assert share >= percent, share


@then('the filler runs at {percent:d} percent')
def filler_at(context, percent):
    found = [
        run.percent
        for runner in context.world.runner_by_id.values()
        for task, run in runner.running.items()
        if task.startswith('f1.')
    ]
    assert found == [percent], found


@then('the filler was stopped and does not run there')
def filler_stopped(context):
    assert not running(context, 'f1'), running(context, 'f1')
    reasons = {
        fields['why']
        for event_type, fields in context.world.events
        if event_type == 'run_ended' and fields['task'].startswith('f1.')
    }
    assert reasons == {'it disturbs a service at any speed'}, reasons


@then('the disturbance score of "{first}" is above that of "{second}"')
def scores_rank(context, first, second):
    scores = context.world.cell.disturbances
    assert scores.score(first, ['web']) > scores.score(second, ['web'])


@given('empty disturbance scores')
def make_scores(context):
    context.scores = throttling.DisturbanceScores()


@when('{count:d} pairs of images are recorded once each')
def record_pairs(context, count):
    context.count = count
    for number in range(count):
        context.scores.record_pressure(f'f{number}', 'web', 0.5)


@then('the last pair has a score and the first has none')
def keeps_last(context):
    assert context.scores.score(f'f{context.count - 1}', ['web']) > 0
    assert context.scores.score('f0', ['web']) == 0

"""Steps that find the cause of a failure by a request's id, and on logs."""

import json
import os
import pathlib
import subprocess
import tempfile

from behave import given
from behave import then
from behave import when
import eliot

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node.cells import frontend
from carawaymast_node.cells import gauges
from carawaymast_node.cells import refusals
from carawaymast_node.cells import start_events
from carawaymast_node.cells import telemetry
from features import cell_world
from features.steps import path_steps

FLOOD_JOBS = 60


class LoggedWorld(cell_world.CellWorld):
    """A cell whose log events go to a file, as the node writes them."""

    def __init__(self, workers):
        directory = tempfile.TemporaryDirectory()
        self.directory = directory
        self.path = pathlib.Path(directory.name) / 'node.log'
        self.path.touch()
        super().__init__(workers)

    def log(self, event_type, **fields):
        super().log(event_type, **fields)
        line = {
            'timestamp': self.clock.now() / 1_000,
            'message_type': f'carawaymast:{event_type}',
            'at_node': 'node-1',
            'at_ms': self.clock.now(),
            **fields,
        }
        with self.path.open('a') as file:
            # A log collector may put a time and a host before each line.
            file.write(f'12.5 node-1 {json.dumps(line)}\n')

    def plan(self, is_stored=True, is_sent=True):
        super().plan(is_stored, is_sent=False)
        runs = [start[0] for start in self.pending_starts]
        for line in start_events.fields_by_step(runs, self.clock.now()):
            self.log('started_step', **line)
        self.send_starts()


def submit(world, job_id, *steps, **more):
    submission = cell_world.job(
        job_id, *steps, accepted_at_ms=world.clock.now(), **more
    )
    world.submit(submission)
    world.log('job_accepted', job=job_id, queue=submission.queue.name)


def explain(context, job_id):
    """Return the last line that the explain command prints, the cause."""
    world = context.world
    completed = subprocess.run(
        [str(path_steps.COMMAND), 'explain', job_id, str(world.path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed
    return completed.stdout.splitlines()[-1]


@given('a cell whose waiting work takes a minute')
def flooded_cell(context):
    world = context.world = LoggedWorld(1)
    context.stack.callback(world.directory.cleanup)
    for number in range(FLOOD_JOBS):
        step = cell_world.step(16, 1_000, 1_000, 1_000)
        submit(world, f'f{number}', step)
    world.plan()


@when('a job "{job_id}" comes whose result would be of no use by then')
def refused_job(context, job_id):
    world = context.world
    submission = cell_world.job(job_id, cell_world.step())
    context.refusal = world.cell.check_admission(submission)
    error = refusals.to_error(context.refusal)
    answer = frontend._error_answer(error)
    world.log(
        'request_refused',
        method='POST',
        path=f'/x/{job_id}',
        status=answer.status,
        kind=error.kind.value,
        detail=error.detail,
        retry_after_s=answer.retry_after_s,
    )


@then('it is refused with a time to retry after')
def has_retry_after(context):
    assert context.refusal.retry_after_s >= 1, context.refusal
    assert context.refusal.wait_ms > 30_000, context.refusal


@then(
    'the explain command reports that "{job_id}" was refused and did not run'
)
def explains_refused(context, job_id):
    text = explain(context, job_id)
    assert 'was refused with 429 and did not run' in text, text
    assert 'a start is predicted in' in text, text


@given('a cell of {count:d} workers that writes logs')
def logged_cell(context, count):
    context.world = LoggedWorld(count)
    context.stack.callback(context.world.directory.cleanup)


@given('a job "{job_id}" that starts and loses its worker')
def lose_worker(context, job_id):
    world = context.world
    submit(world, job_id, cell_world.step())
    world.plan()
    assert world.running()
    world.runner_by_id.pop('w0')
    world.add_runner('w1')
    entry = world.entry(world.runner_by_id['w1'])
    worker_lifecycle.apply_worker_entry(world.cell, entry, world.clock.now())


@then(
    'the explain command reports that "{job_id}" was late and lost with its '
    'lease'
)
def explains_late(context, job_id):
    text = explain(context, job_id)
    assert 'completed late' in text, text
    assert 'was lost with its lease at w0' in text, text


@given('a job "{job_id}" whose task fails each time')
def failing_job(context, job_id):
    context.world.fails = lambda task: True
    submit(context.world, job_id, cell_world.step())


@then('the explain command reports that "{job_id}" failed 2 times, and where')
def explains_failed(context, job_id):
    text = explain(context, job_id)
    assert f'task {job_id}.0.0.0 failed 2 times' in text, text
    assert 'run 1 at w0, run 2 at w0' in text, text


@given('a telemetry with a manual clock')
def make_telemetry(context):
    context.clock = clock_mod.ManualClock()
    context.metrics = telemetry.Metrics()
    context.telemetry = telemetry.Telemetry(context.clock, context.metrics)


@when('{count:d} lines of one kind are written in a second')
def write_lines(context, count):
    context.count = count
    context.passed = []
    eliot.add_destinations(context.passed.append)
    try:
        for number in range(count):
            if number % 2 == 0:
                context.clock.advance(1)
            context.telemetry.log_event('kind', number=number)
    finally:
        eliot.remove_destination(context.passed.append)


@then('at most {count:d} are passed on and the rest is counted')
def lines_bounded(context, count):
    # The first destination of eliot also gets lines of earlier scenarios.
    lines = [
        line
        for line in context.passed
        if line['message_type'] == 'carawaymast:kind'
    ]
    passed = len(lines)
    assert 0 < passed <= count, passed
    dropped = context.metrics.total('log_lines_dropped_total')
    assert passed + dropped == context.count
    reported = sum(line.get('lines_dropped', 0) for line in lines)
    assert reported > 0


@given('a pipe that is not read')
def unread_pipe(context):
    read, write = os.pipe()
    context.stack.callback(os.close, read)
    context.stack.callback(os.close, write)
    os.set_blocking(write, False)
    context.output = telemetry._Output(write)


@when('a megabyte of lines is written to it')
def write_much(context):
    for _ in range(1_000):
        context.output.put(b'x' * 1_048)
        context.output.flush()


@then('every call returned and the loss is counted')
def loss_counted(context):
    assert context.output.dropped_total > 0


@then('an urgent job is not refused')
def urgent_accepted(context):
    policy = cell_world.queue(rank=0, name='urgent')
    submission = cell_world.job('u1', cell_world.step(), policy=policy)
    assert context.world.cell.check_admission(submission) is None


@then('a job larger than any worker is refused for good')
def oversize_refused(context):
    submission = cell_world.job('o1', cell_world.step(cpu=17_000))
    refusal = context.world.cell.check_admission(submission)
    assert refusal.retry_after_s == 0, refusal
    assert '17000' in refusal.reason, refusal


def gauges_now(context):
    world = context.world
    return gauges.of_cell(world.cell, world.clock.now())


@then(
    'the gauges of the cell show waiting tasks of "{queue}" for {least:d} s '
    'or more'
)
def shows_waiting(context, queue, least):
    found = gauges_now(context)
    assert found[f'waiting_tasks{{queue="{queue}"}}'] > 0, found
    waited_ms = found[f'oldest_wait_ms{{queue="{queue}"}}']
    assert least * 1_000 <= waited_ms < 2_000 * least, found


@then("the capacity asked for and used is that of the job's tasks")
def shows_capacity(context):
    found = gauges_now(context)
    running = len(context.world.running())
    assert found['room_used_cpu_millis'] == 1_000 * running, found
    asked = found['waiting_cpu_millis{queue="renewals"}']
    assert asked == 1_000 * (40 - running), found
    assert found['room_cpu_millis'] == 2 * cell_world.CAPACITY.cpu_millis


@then('every name in the metrics has a type')
def names_have_types(context):
    metrics = telemetry.Metrics()
    metrics.count('jobs_accepted_total')
    metrics.record_ms('plan', 3)
    metrics.add_gauges(lambda: gauges_now(context))
    lines = metrics.text().splitlines()
    typed = {line.split()[2] for line in lines if line.startswith('# TYPE')}
    for line in lines:
        if not line.startswith('#'):
            name = line.partition('{')[0].split()[0].removesuffix('_count')
            assert name in typed, (name, typed)

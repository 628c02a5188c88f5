"""Steps on a store that is unavailable, on a virtual clock."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import batching
from carawaymast_core.cell import outage
from carawaymast_node.cells import intake as intake_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_platform import store as store_mod
from features import cell_world
from standins import keyed_log
from standins import virtual

MS_PER_S = 1_000
# How long a caller waits, less the time to answer.
CALLER_WAIT_MS = 2_850


class IntakeNode:
    """A node that stores jobs without a leader, and its callers' answers."""

    def __init__(self):
        self.loop = virtual.VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.clock = clock_mod.Clock(lambda: int(self.loop.time() * MS_PER_S))
        self.log = keyed_log.KeyedLog()
        store = store_mod.Store(self.log.transport('n1'))
        self.intake = intake_mod.Intake(
            store, self.clock, telemetry.Metrics(), 0, self._deliver
        )
        self._running = self.loop.create_task(self.intake.run())
        # By job: its error, or None if it was accepted, and the time in ms.
        self.outcome_by_id = {}
        self._calls = []

    async def _deliver(self, items):
        """Do nothing: there is no leader to deliver stored jobs to."""
        return None

    async def _submit(self, submission):
        """Return the outcome of a call that reached no leader."""
        return ports.StoreOutcome.NO

    def submit_job(
        self, job_id, objective_ms=3_000, caller_wait_ms=CALLER_WAIT_MS
    ):
        """Start to submit a job."""
        call = self._submit_job(job_id, objective_ms, caller_wait_ms)
        self._calls.append(self.loop.create_task(call))

    async def _submit_job(self, job_id, objective_ms, caller_wait_ms):
        # The objective is the time of its run plus the queue's target.
        policy = cell_world.queue()._replace(stretch_factor=0.0)
        submission = cell_world.job(
            job_id,
            cell_world.step(),
            policy=policy._replace(target_ms=objective_ms),
        )
        began_ms = self.clock.now()
        outcome = None
        try:
            await intake_mod.store_job(
                submission,
                self._submit,
                self.intake,
                lambda: began_ms + caller_wait_ms - self.clock.now(),
            )
        except errors.SchedulerError as error:
            outcome = error
        took_ms = self.clock.now() - began_ms
        self.outcome_by_id[job_id] = (outcome, took_ms)

    def advance(self, seconds):
        """Advance the virtual clock, running what is due."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self):
        """Stop the intake and close the loop."""
        self._running.cancel()
        self.advance(0.01)
        self.loop.close()


@given('a node that stores jobs by itself, over a store')
def make_node(context):
    context.node = IntakeNode()
    context.stack.callback(context.node.close)


@when(
    'a job comes, the store stops answering, and then {count:d} jobs come in '
    '{seconds:d} s'
)
def flood_without_answers(context, count, seconds):
    node = context.node
    node.submit_job('first')
    # After this time the store's last answer is no longer recent.
    node.advance(2.0)
    node.log.is_silent = True
    for number in range(count):
        node.submit_job(f'j{number}')
        node.advance(seconds / count)
    node.advance(2.0)


@then('the first job is accepted')
def first_accepted(context):
    assert context.node.outcome_by_id['first'][0] is None


@then('the others are refused as not run, each within {seconds:g} s')
def others_refused(context, seconds):
    found = dict(context.node.outcome_by_id)
    del found['first']
    assert len(found) == 20, found
    for job_id, (error, took_ms) in found.items():
        assert error.kind is errors.ErrorKind.LOG_UNAVAILABLE, (job_id, error)
        assert error.answer.ran is errors.Ran.NO
        assert took_ms <= seconds * MS_PER_S, (job_id, took_ms)


@then('none of the refused jobs was sent to the store')
def none_sent(context):
    appends = context.node.log.calls.count('/-/log-append')
    assert appends == 1, context.node.log.calls
    assert context.node.intake._pending == []


@when('a job comes, and the store stops answering for {seconds:g} s')
def stops_answering(context, seconds):
    node = context.node
    node.submit_job('first')
    # After this time the store's last answer is no longer recent.
    node.advance(2.0)
    node.log.is_silent = True
    # A probe is sent, and its failure begins the outage.
    node.submit_job('probing')
    node.advance(2 * intake_mod.PROBE_TIMEOUT_MS / MS_PER_S + seconds)


@when('a job comes with an objective of {objective:d} ms')
def comes_later(context, objective):
    context.node.submit_job('late', objective)
    context.node.advance(2.0)


@then(
    'it is refused after {ms:d} ms, with a Retry-After of {least:d} to '
    '{most:d} s'
)
def refused_after(context, ms, least, most):
    error, took_ms = context.node.outcome_by_id['late']
    assert error.kind is errors.ErrorKind.LOG_UNAVAILABLE, error
    assert abs(took_ms - ms) <= 2, took_ms
    assert least <= error.retry_after_s <= most, error.retry_after_s


@when('a job comes whose caller waits only {ms:d} ms')
def comes_with_little_time(context, ms):
    context.node.submit_job('late', 16_000, ms)


@when('the store stays silent for {seconds:d} s')
def seconds_pass(context, seconds):
    context.node.advance(seconds)


@when('the store answers after {seconds:g} s')
def answers_after(context, seconds):
    context.node.advance(seconds)
    context.node.log.is_silent = False
    context.node.advance(1.0)


@then('it is refused as not run within {ms:d} ms, and no call carried it')
def refused_in_time(context, ms):
    error, took_ms = context.node.outcome_by_id['late']
    assert error.answer.ran is errors.Ran.NO, error
    assert error.answer.status == 503, error
    assert took_ms <= ms, took_ms
    none_sent(context)


@when(
    'an urgent and a non-urgent job come, and the store answers after {s:g} s'
)
def urgent_and_non_urgent(context, s):
    node = context.node
    node.submit_job('urgent', 1_200)
    node.submit_job('non-urgent', 16_000)
    node.advance(s)
    node.log.is_silent = False
    node.advance(2.0)


@then('the non-urgent job is accepted and the urgent one was refused')
def non_urgent_accepted(context):
    urgent, took_ms = context.node.outcome_by_id['urgent']
    assert urgent.kind is errors.ErrorKind.LOG_UNAVAILABLE, urgent
    # A quarter of its objective.
    assert took_ms <= 302, took_ms
    assert context.node.outcome_by_id['non-urgent'][0] is None


@when('the store answers again for {seconds:d} s and another job comes')
def store_back(context, seconds):
    context.node.log.is_silent = False
    context.node.advance(seconds)
    context.node.submit_job('late')
    context.node.advance(1.0)


@then('it is accepted')
def late_accepted(context):
    assert context.node.outcome_by_id['late'][0] is None


@when('a job comes, and the store stops answering as the next is written')
def silent_midway(context):
    node = context.node
    node.submit_job('first')
    node.advance(0.1)
    node.log.is_silent = True
    node.submit_job('next')
    node.advance(0.1)
    node.submit_job('after')
    node.advance(6.0)


@then('the caller of the next gets an unknown outcome')
def next_unknown(context):
    error, _ = context.node.outcome_by_id['next']
    assert error.kind is errors.ErrorKind.OUTCOME_UNKNOWN, error


@then('a job that came after it is refused as not run')
def after_refused(context):
    error, took_ms = context.node.outcome_by_id['after']
    assert error.kind is errors.ErrorKind.LOG_UNAVAILABLE, error
    # A quarter of its objective.
    assert took_ms <= 760, took_ms


@when('the leader accepts "{first}", writes it, and accepts "{second}"')
def accept_two(context, first, second):
    world = context.world
    now_ms = world.clock.now()
    submissions = [
        cell_world.job(job_id, cell_world.step(), accepted_at_ms=now_ms)
        for job_id in (first, second)
    ]
    world.cell.accept(submissions[0], now_ms, now_ms)
    context.batch = batching.collect(world.cell, now_ms)
    world.cell.accept(submissions[1], now_ms, now_ms)


@then('"{second}" can be withdrawn and "{first}" cannot')
def withdrawn(context, second, first):
    assert context.world.cell.withdraw(second)
    assert not context.world.cell.withdraw(first)


@then('no task of "{job_id}" starts when the leader plans')
def nothing_starts(context, job_id):
    context.world.plan()
    running = context.world.running()
    assert not any(task.startswith(job_id) for task in running), running


@given('a store that has been unavailable for {seconds:d} s')
def unavailable_for(context, seconds):
    context.outage = outage.Outage()
    context.outage.record_answer(0)
    context.outage.record_failure(1_000)
    context.now_ms = 1_000 + seconds * MS_PER_S


@then('callers get a Retry-After of {least:d} to {most:d} s')
def retry_after(context, least, most):
    for _ in range(100):
        seconds = context.outage.retry_after_s(context.now_ms)
        assert least <= seconds <= most, seconds

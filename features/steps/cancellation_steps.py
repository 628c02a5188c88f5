"""Steps on tasks that are cancelled as what they wait for happens."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import reports
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod
from features import leader_parts
from standins import virtual

MS_PER_S = 1_000
CALL_MS = 5
# A task that waits ends in a few iterations; one that turns needs thousands.
MAX_ITERATIONS = 100


class EndingWorkerPort:
    """A worker of which a run has ended, which no renewal acknowledges."""

    async def renew_lease(
        self, worker, epoch, deadline_ms, wait_ms, timeout_ms
    ):
        await asyncio.sleep(CALL_MS / MS_PER_S)
        worker.seen_number = worker.ack_number + 1
        return reports.LeaseRenewal(1, worker.born_ms, (), ())


class EmptyStore:
    """A store whose topics have no records."""

    async def newest(self, topic, part):
        return ports.NewestAnswer([], 0)

    async def read(self, topic, part, start, wait_ms):
        return ports.ReadAnswer([], start, start)


def make_loop(context):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    context.clock = clock_mod.Clock(
        lambda: int(context.loop.time() * MS_PER_S)
    )


def advance(context, ms):
    """Run the loop for a time; return how often it looked for events."""
    looks = []
    select = context.loop._selector.select

    def count(timeout=None):
        looks.append(timeout)
        # Stands for the time that an iteration takes.
        context.loop._selector.now_s += 1e-5
        return select(timeout)

    context.loop._selector.select = count
    try:
        context.loop.run_until_complete(asyncio.sleep(ms / MS_PER_S))
    finally:
        context.loop._selector.select = select
    return len(looks)


def end(context):
    context.task.cancel()
    advance(context, 1_000)


@given('a leader that waits for a commit before it acknowledges an end')
def waiting_leader(context):
    make_loop(context)
    context.committed = asyncio.Event()
    sender, worker = leader_parts.make_orders_and_worker(
        context.clock, EndingWorkerPort(), lambda: context.committed
    )
    context.task = context.loop.create_task(sender.keep_lease_renewed(worker))
    context.stack.callback(end, context)
    advance(context, 4 * CALL_MS)


@when('its term ends')
def end_term(context):
    # As a leader does at the end of its term.
    context.committed.set()
    context.task.cancel()


@then('the renewals of its lease end within {ms:d} ms')
@then('it ends within {ms:d} ms')
def ends_within(context, ms):
    context.looks = advance(context, ms)
    assert context.task.done()


@then('the event loop was not kept busy')
def not_busy(context):
    assert context.looks <= MAX_ITERATIONS, context.looks


@given('a reader that pauses between its reads')
def pausing_reader(context):
    make_loop(context)
    context.reader = topic_reader_mod.TopicReader(
        EmptyStore(),
        context.clock,
        telemetry.Telemetry(context.clock, telemetry.Metrics()),
        't',
        0,
        lambda item: None,
        read_interval_ms=lambda: 1_000,
    )
    context.task = context.loop.create_task(context.reader.run())
    context.stack.callback(end, context)
    advance(context, 100)


@when('it is woken and cancelled at the same time')
def wake_and_cancel(context):
    context.reader.wake()
    context.task.cancel()

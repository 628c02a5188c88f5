"""Steps on a leader whose machine was suspended, and its starts."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import reports
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node.cells import election as election_mod
from carawaymast_platform import store as store_mod
from features import leader_parts
from standins import keyed_log
from standins import virtual

MS_PER_S = 1_000
# ``Leadership`` checks this often whether to renew.
POLL_MS = 60
START_INTERVAL_MS = 37


class StartPort:
    """A worker port that notes when each start was sent, and deadlines."""

    def __init__(self, clock):
        self._clock = clock
        self.deadlines = []
        self.sent_at_ms_by_task = {}

    async def start(self, run, fencing_token, deadline_ms, timeout_ms):
        """Answer at once that the run is at work."""
        self.sent_at_ms_by_task[run.task.name] = self._clock.now()
        return reports.StartOutcome(True)

    async def renew_lease(
        self, worker, fencing_token, deadline_ms, wait_ms, timeout_ms
    ):
        """Answer at once that there are no runs."""
        self.deadlines.append(deadline_ms)
        return reports.LeaseRenewal(self._clock.now(), worker.born_ms, (), ())


class Node:
    """A node's election over a store whose answers can be held back."""

    def __init__(self, log, clock, node_id):
        self._send = log.transport(node_id)
        self.answers = asyncio.Event()
        self.answers.set()
        self.answer_ms = 0
        self.election = election_mod.Election(
            store_mod.Store(self.send),
            clock,
            node_id,
            f'boot-{node_id}',
            0,
            lambda: None,
        )

    async def send(self, method, target, body, timeout_ms):
        """Carry out a call at once, and answer it later."""
        reply = await self._send(method, target, body, timeout_ms)
        if self.answer_ms:
            await asyncio.sleep(self.answer_ms / MS_PER_S)
        await self.answers.wait()
        return reply

    async def renew(self):
        """Renew the leadership; return whether it was confirmed."""
        return await self.election.renew(self.election.epoch)


class Part:
    """A leader's orders and election, and the log of its cell."""

    def __init__(self, loop, clock):
        self.loop = loop
        self.clock = clock
        self.log = keyed_log.KeyedLog()
        self.node = Node(self.log, clock, 'n1')
        self.port = StartPort(clock)
        self.orders, self.worker = leader_parts.make_orders_and_worker(
            clock, self.port, confirmation=self.node.election.confirmation
        )
        self.tasks = []

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    def spawn(self, coroutine):
        """Run a coroutine beside the test, up to its first wait."""
        task = self.loop.create_task(coroutine)
        self.tasks.append(task)
        self.settle()
        return task

    def settle(self):
        """Let all tasks run up to their next wait."""
        self.run(asyncio.sleep(0.001))

    def stop(self):
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()
        self.settle()


def make_part(context, clock=None):
    loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    context.stack.callback(loop.close)
    loop_clock = clock_mod.Clock(lambda: int(loop.time() * MS_PER_S))
    context.part = part = Part(loop, clock or loop_clock)
    context.stack.callback(part.stop)
    assert part.run(part.node.election.claim(0))
    return part


@given('a leader with a run that is stored, and a renewal that was stored')
def make_leader(context):
    clock = clock_mod.ManualClock(100_000)
    part = make_part(context, clock)
    clock.advance(300)
    assert part.run(part.node.renew())
    (context.run,) = leader_parts.store_runs(
        part.orders, part.worker, clock.now()
    )


@when('its machine is suspended for {seconds:d} s')
def suspend(context, seconds):
    context.part.clock.suspend(seconds * MS_PER_S)


@when(
    'its machine is suspended for {seconds:d} s as the answer to a renewal '
    'comes'
)
def suspend_in_renewal(context, seconds):
    part = context.part
    part.node.answers.clear()
    renewal = part.spawn(part.node.renew())
    part.clock.suspend(seconds * MS_PER_S)
    part.node.answers.set()
    assert part.run(renewal)


@when('it is about to start the run')
def begin_start(context):
    part = context.part
    context.start = part.spawn(part.orders.start(context.run))


@when('it renews the leadership')
def renew(context):
    part = context.part
    assert part.run(part.node.renew())
    part.settle()


@when('another node claims the leadership')
def claim_elsewhere(context):
    part = context.part
    other = Node(part.log, part.clock, 'n2')
    assert part.run(other.election.claim(part.node.election.end_offset))


@when('it tries to renew the leadership, and is refused')
def renew_in_vain(context):
    assert not context.part.run(context.part.node.renew())
    context.part.settle()


@when('{seconds:d} s pass at the leader that resumed')
def let_pass(context, seconds):
    context.part.clock.advance(seconds * MS_PER_S)
    context.part.run(asyncio.sleep(seconds))


@when('the term of that leader ends')
def end_term(context):
    assert not context.start.done()
    context.part.stop()


@when('the worker of the waiting start restarts under its id')
def restart_worker(context):
    part = context.part
    worker_lifecycle.apply_worker_entry(
        part.orders._cell,
        part.worker.entry._replace(born_ms=2),
        part.clock.now(),
    )


@then('the leader that resumed sends no start')
def none_sent(context):
    sent = context.part.port.sent_at_ms_by_task
    assert not sent, sent


@then('the leader that resumed sends the start')
def one_sent(context):
    assert list(context.part.port.sent_at_ms_by_task) == ['j1.0.0.0']


@when('it goes on renewing the lease of the worker for {seconds:d} s')
def renew_lease(context, seconds):
    part = context.part
    part.spawn(part.orders.keep_lease_renewed(part.worker))
    part.run(asyncio.sleep(seconds))


@then('it sends no renewal of the lease')
def no_lease_renewal(context):
    deadlines = context.part.port.deadlines
    assert not deadlines, deadlines


@then('it renews the lease')
def lease_renewed(context):
    deadlines = context.part.port.deadlines
    assert deadlines, deadlines
    assert None not in deadlines, deadlines


@given('a leader that starts a run each {interval:d} ms, renewing regularly')
def make_busy_leader(context, interval):
    context.interval_ms = interval
    make_part(context)


async def keep_renewing(node):
    """Renew as ``Leadership`` does."""
    loop = asyncio.get_running_loop()
    renewed_at_ms = 0
    while True:
        await asyncio.sleep(POLL_MS / MS_PER_S)
        now_ms = int(loop.time() * MS_PER_S)
        if now_ms - renewed_at_ms >= election_mod.RENEW_INTERVAL_MS:
            renewed_at_ms = now_ms
            assert await node.renew()


@when('the store takes {answer_ms:d} ms for each answer for {seconds:d} s')
def play_slow_store(context, answer_ms, seconds):
    part = context.part
    part.node.answer_ms = answer_ms
    part.spawn(keep_renewing(part.node))
    part.run(asyncio.sleep(2))
    count = seconds * MS_PER_S // context.interval_ms
    runs = leader_parts.store_runs(
        part.orders, part.worker, part.clock.now(), count
    )
    context.due_at_ms_by_task = {}
    for run in runs:
        context.due_at_ms_by_task[run.task.name] = part.clock.now()
        part.spawn(part.orders.start(run))
        part.run(asyncio.sleep(context.interval_ms / MS_PER_S))
    part.run(asyncio.sleep(2))


@then('each run was started, at most {delay_ms:d} ms late')
def started_in_time(context, delay_ms):
    sent = context.part.port.sent_at_ms_by_task
    delays_ms = [
        sent[name] - due_ms
        for name, due_ms in context.due_at_ms_by_task.items()
    ]
    assert max(delays_ms) <= delay_ms, max(delays_ms)

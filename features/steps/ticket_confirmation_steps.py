"""Steps on starts that wait until their worker has confirmed their tickets."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import batching
from carawaymast_core.cell import placing
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node.cells import ports
from features import cell_world
from features import leader_parts
from standins import virtual

MS_PER_S = 1_000
ADVICE = spec_mod.AdvicePolicy(1, 1, 60_000)


class Port:
    """A worker port that notes calls; ``born_by_read`` are its answers."""

    def __init__(self, clock):
        self._clock = clock
        self.started = []
        self.reads = 0
        # The incarnation that answers each read in turn, None for nobody.
        self.born_by_read = []

    async def start(self, run, *rest):
        """Answer at once that the run is at work."""
        self.started.append(run.task.name)
        return reports.StartOutcome(True)

    async def renew_lease(self, worker, token, deadline_ms, wait_ms, timeout):
        """Answer at once, or not at all."""
        self.reads += 1
        born_ms = (self.born_by_read or [None]).pop(0)
        await asyncio.sleep(timeout / MS_PER_S if born_ms is None else 0.001)
        if born_ms is None:
            raise ports.WorkerError('no answer')
        return reports.LeaseRenewal(self._clock.now(), born_ms, (), ())


@given(
    'a leader with {count:d} stored runs, whose tickets came after the last '
    'answer'
)
def make_leader(context, count):
    _make_leader(context)
    _store(context, count, ADVICE)


@given('a leader with {count:d} stored runs without tickets')
def make_leader_without_tickets(context, count):
    _make_leader(context)
    _store(context, count, None)


def _make_leader(context):
    context.loop = loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    context.stack.callback(loop.close)
    context.clock = clock = clock_mod.Clock(
        lambda: 100_000 + int(loop.time() * MS_PER_S)
    )
    context.port = Port(clock)
    context.orders, worker = leader_parts.make_orders_and_worker(
        clock, context.port
    )
    context.worker = worker
    context.cell = context.orders._cell
    worker.entry = worker.entry._replace(service=cell_world.SERVICE)
    now_ms = clock.now()
    worker.record_answer(5_000, now_ms)
    worker.confirmed_at_ms = now_ms - 1
    worker.is_adopted = True
    worker.lease.assume_longest(context.cell.max_lease_ms)


def _store(context, count, advice):
    """Place the tasks of a job at the worker, and store that."""
    cell, now_ms = context.cell, context.clock.now()
    step = cell_world.step(count, cpu=1, memory=1)
    policy = cell_world.queue(advice=advice)
    cell.accept(cell_world.job('j1', step, policy=policy), now_ms, now_ms)
    for state, ids in placing.steps_needing_advice(cell, now_ms, now_ms):
        tickets = dict.fromkeys(ids, 'ticket')
        state.advice.apply_answer(ids, tickets, now_ms, ADVICE.valid_ms)
    placing.plan(cell, now_ms, now_ms)
    context.runs = batching.mark_stored(cell, batching.collect(cell, now_ms))
    assert len(context.runs) == count, context.runs


def _begin_starts(context, born_by_read):
    context.port.born_by_read = born_by_read
    context.starts = [
        context.loop.create_task(context.orders.start(run))
        for run in context.runs
    ]
    _pass(context, 2)


def _pass(context, ms):
    context.loop.run_until_complete(asyncio.sleep(ms / MS_PER_S))


@when('it is about to start them, and the worker answers {answer}')
def start_all(context, answer):
    born_by_read = {
        'as the leader knows it': [1],
        'as its next incarnation': [2],
        'the second call only': [None, 1],
        'nothing': [],
    }[answer]
    _begin_starts(context, born_by_read)


@when('it starts them, and the worker answers')
def start_without_tickets(context):
    _begin_starts(context, [1])


@when('the worker answers a renewal, and the leader is about to start them')
def renew_first(context):
    context.worker.confirmed_at_ms = context.clock.now() + 1
    _begin_starts(context, [])


@when('its entry shows a restart before the calls have failed')
def read_restart(context):
    worker_lifecycle.apply_worker_entry(
        context.cell,
        context.worker.entry._replace(born_ms=2),
        context.clock.now(),
    )


@then('it sends {starts:d} starts and then {reads:d} read of the lists')
@then('it sends {starts:d} starts after {reads:d} reads of the lists')
def count_calls(context, starts, reads):
    _pass(context, 2_000)
    assert all(task.done() for task in context.starts)
    port = context.port
    assert (len(port.started), port.reads) == (starts, reads), vars(port)


@then('{count:d} tasks wait again')
def tasks_wait(context, count):
    tasks = [run.task for run in context.runs]
    waiting = [task for task in tasks if task.is_waiting]
    assert len(waiting) == count, waiting


@then('no crash counts against them')
def no_crash(context):
    for run in context.runs:
        assert run.task.crashes == records.NO_CRASHES, run.task.crashes

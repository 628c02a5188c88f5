"""Steps on workers that list more ends than fit in one answer."""

import asyncio
import collections
import json
import types

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import answers
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_platform import client as client_mod
from carawaymast_platform import workers as workers_mod
from features import cell_world
from features import leader_parts
from standins import runner as runner_mod
from standins import virtual

TASKS_PER_JOB = 100
WORK_MS = 8_000
LATE_WORK_MS = 7_000
CYCLE_MS = 100
OUTAGE_MS = 12_000
FINISH_MS = 30_000
MS_PER_S = 1_000
CALL_MS = 2


def submit(context, count):
    job_id = f'j{len(context.job_ids)}'
    context.job_ids.append(job_id)
    step = cell_world.step(count, cpu=10, memory=40, estimate_ms=WORK_MS)
    context.world.submit(cell_world.job(job_id, step))


@given('a cell of 1 worker and {count:d} small tasks that run there')
def run_tasks(context, count):
    world = context.world = cell_world.CellWorld(1)
    world.work_ms = WORK_MS
    context.job_ids = []
    (context.runner,) = world.runner_by_id.values()
    while count:
        submit(context, min(count, TASKS_PER_JOB))
        count -= min(count, TASKS_PER_JOB)
    for _ in range(10):
        world.run_cycle(CYCLE_MS)


@when('they end while nothing can be stored')
def end_unstored(context):
    world = context.world
    for _ in range(OUTAGE_MS // CYCLE_MS):
        world.advance(CYCLE_MS)
        world.renew_leases()
    assert not context.runner.running


@when('a start gets no answer, and its run is the last of all that end')
def last_unanswered(context):
    world = context.world
    submit(context, 1)
    world.work_ms_by_job[context.job_ids[-1]] = LATE_WORK_MS
    world.plan(is_sent=False)
    ((run, *call),) = world.pending_starts
    world.pending_starts = []
    world.advance(CYCLE_MS)
    world.deliver_start(run, *call)
    end_unstored(context)
    answers.apply_start_outcome(
        world.cell, run, cell_world.NO_ANSWER, world.clock.now()
    )
    world.renew_leases()
    world.send_stops()


@when('the store is back')
def store_back(context):
    context.world.plan()


@when('another leader follows')
def follow(context):
    context.world.take_over()


@then('each task was started once, and all jobs are completed')
def all_completed(context):
    world = context.world
    for job_id in context.job_ids:
        world.run_until(job_id, records.JobPhase.COMPLETED, FINISH_MS)
    starts = collections.Counter(task for task, _ in context.runner.started)
    repeated = [task for task, times in starts.items() if times > 1]
    assert not repeated, (len(repeated), repeated[:5])


class Port:
    """A worker port to one stand-in of a runner, with a delay."""

    def __init__(self, clock, runner):
        self.runner = runner
        self.calls = 0
        self._clock = clock

    async def renew_lease(
        self, worker, fencing_token, deadline_ms, wait_ms, timeout_ms
    ):
        self.calls += 1
        await asyncio.sleep(CALL_MS / MS_PER_S)
        answer = self.runner.renew_lease(
            fencing_token, worker.ack_number, deadline_ms
        )
        return answer._replace(clock_ms=self._clock.now())


@given('a worker with {count:d} ends, of which it lists 500 at a time')
def worker_with_ends(context, count):
    loop = context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    context.stack.callback(loop.close)
    clock = context.clock = clock_mod.Clock(
        lambda: int(loop.time() * MS_PER_S)
    )
    runner = runner_mod.RunnerStandin('w0')
    runner.ended = [
        reports.EndedRun(n + 1, f'x.0.0.{n}', 1, reports.EndKind.DONE, '')
        for n in range(count)
    ]
    port = Port(clock, runner)
    context.committed = asyncio.Event()
    sender, worker = leader_parts.make_orders_and_worker(
        clock, port, lambda: context.committed
    )
    context.parts = types.SimpleNamespace(
        port=port, sender=sender, worker=worker, count=count
    )


@when('the leader renews its lease, and stores each page at once')
def renew_and_store(context):
    parts = context.parts

    async def store():
        while parts.worker.ack_number < parts.count:
            if parts.worker.ack_number < parts.worker.seen_number:
                parts.worker.ack_number = parts.worker.seen_number
                committed = context.committed
                context.committed = asyncio.Event()
                committed.set()
            await asyncio.sleep(CALL_MS / MS_PER_S)

    async def play():
        renewing = asyncio.ensure_future(
            parts.sender.keep_lease_renewed(parts.worker)
        )
        began_ms = context.clock.now()
        await store()
        context.took_ms = context.clock.now() - began_ms
        context.calls = parts.port.calls
        renewing.cancel()

    context.loop.run_until_complete(play())


@then('it has read all of them after {calls:d} calls, within {ms:d} ms')
def all_read(context, calls, ms):
    assert context.calls == calls, context.calls
    assert context.took_ms <= ms, context.took_ms


class PageClient:
    """A client whose calls get one page of ends."""

    def __init__(self, ends):
        rows = [[n, f'x.0.0.{n}', 1, 'done', ''] for n in range(ends, 0, -1)]
        body = {'clock_ms': 1, 'born': 1, 'running': [], 'ended': rows}
        self._reply = client_mod.Reply(200, json.dumps(body).encode(), {})

    async def call(self, *call):
        return self._reply


@when('a worker answers a renewal with {ends:d} ends, the last one first')
def answer_page(context, ends):
    port = workers_mod.Workers(PageClient(ends))
    _, worker = leader_parts.make_orders_and_worker(
        clock_mod.ManualClock(1_000), port
    )
    context.answer = asyncio.run(port.renew_lease(worker, 1, None, 0, 100))


@then('the list is complete: {complete}')
def list_complete(context, complete):
    assert context.answer.is_complete == (complete == 'yes')


@then('the ends are in the order of their numbers')
def ends_in_order(context):
    numbers = [end.number for end in context.answer.ended]
    assert numbers == sorted(numbers), numbers

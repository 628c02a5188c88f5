"""Steps on the lease renewals of a leader's workers, on a virtual clock."""

import asyncio
import collections
import json
import random
import types
import urllib.parse

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import former_terms
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import view as view_mod
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import gauges
from carawaymast_node.cells import leader as leader_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader
from carawaymast_platform import ingress
from carawaymast_platform import store as store_mod
from features import cell_world
from features import leader_parts
from standins import keyed_log
from standins import virtual

MS_PER_S = 1_000
SEED = 11
STORE_DELAY_MS = 5
WORKERS_TOPIC = 'servers'


class WorkerCalls:
    """A worker port; an idle worker waits as long as the call allows."""

    def __init__(self, clock):
        self._clock = clock
        self.born_ms_by_id = {}
        self.silent_ids = set()
        self.in_flight = collections.Counter()
        self.total = 0
        self.started = []

    async def renew_lease(
        self, worker, epoch, deadline_ms, wait_ms, timeout_ms
    ):
        """Answer after ``wait_ms``, or not at all."""
        worker_id = worker.worker_id
        self.in_flight[worker_id] += 1
        self.total += 1
        try:
            if worker_id in self.silent_ids:
                await asyncio.sleep(timeout_ms / MS_PER_S)
                raise ports.WorkerError('no answer')
            await asyncio.sleep((wait_ms + 1) / MS_PER_S)
        finally:
            self.in_flight[worker_id] -= 1
        return reports.LeaseRenewal(
            self._clock.now(), self.born_ms_by_id[worker_id], (), ()
        )

    async def start(self, run, epoch, deadline_ms, timeout_ms):
        """Answer at once."""
        self.started.append(run.task.name)
        return reports.StartOutcome(True)

    async def stop(self, order, epoch, timeout_ms):
        """Answer at once."""
        return True


class Election:
    """An election that is won for good."""

    confirmation = leader_parts.Confirmed()
    former_terms = former_terms.FormerTerms('n1')


def waiting_transport(log):
    """Return a transport to the store ``log`` that holds long polls."""
    send = log.transport('n1')

    async def send_and_wait(method, target, body, timeout_ms):
        query = dict(urllib.parse.parse_qsl(target.partition('?')[2]))
        left_ms = int(query.get('wait_ms', 0))
        while True:
            await asyncio.sleep(STORE_DELAY_MS / MS_PER_S)
            reply = await send(method, target, body, timeout_ms)
            left_ms -= STORE_DELAY_MS
            is_empty = len(reply.body) <= keyed_log.READ_HEADER.size
            if left_ms <= 0 or not is_empty:
                return reply

    return send_and_wait


class Parts:
    """A leader over an in-memory store, with the worker port that it calls."""

    def __init__(self, loop):
        self.loop = loop
        self.clock = clock_mod.Clock(lambda: int(loop.time() * MS_PER_S))
        self.log = keyed_log.KeyedLog()
        self.calls = WorkerCalls(self.clock)
        metrics = telemetry.Metrics()
        log = telemetry.Telemetry(self.clock, metrics)
        store = store_mod.Store(waiting_transport(self.log))
        view = view_mod.JobView()
        platform = types.SimpleNamespace(
            ingress=ingress.INGRESS,
            workers=self.calls,
            advise=None,
            settings=types.SimpleNamespace(
                workers_topic=WORKERS_TOPIC,
                max_lease_ms=10_000,
                keep_ended_ms=120_000,
            ),
        )
        readers = [
            topic_reader.TopicReader(store, self.clock, log, topic, 0, apply)
            for topic, apply in (
                ('intake', lambda item: None),
                ('state', lambda item: None),
            )
        ]
        context = context_mod.CellContext(
            self.clock,
            log,
            metrics,
            platform,
            store,
            None,
            view,
            *readers,
            Election(),
        )
        self.leader = leader_mod.Leader(context, 1)
        self.cell = self.leader.cell
        self.events = []
        self.cell._log = lambda event_type, **fields: self.events.append(
            (event_type, fields)
        )

    def list_worker(self, worker_id, born_ms=1):
        """Put a worker's entry into the store."""
        entry = {
            'service': 'desk',
            'address': '127.0.0.1:80',
            'state': 'ready',
            'born': born_ms,
            'capacity': {'cpu': 4_000, 'mem_mb': 8_000},
            'labels': ['a', 'r1'],
        }
        self.calls.born_ms_by_id.setdefault(worker_id, born_ms)
        self.log.put(
            f'keyed.{WORKERS_TOPIC}', worker_id, json.dumps(entry).encode()
        )

    def unlist_worker(self, worker_id):
        """Remove a worker's entry from the store."""
        self.log.put(f'keyed.{WORKERS_TOPIC}', worker_id, b'')

    def is_usable(self, worker_id):
        """Return whether the leader may place runs at a worker."""
        now_ms = self.clock.now()
        return any(
            worker.worker_id == worker_id and worker.is_usable(now_ms)
            for worker in self.cell.worker_by_key.values()
        )

    def advance(self, seconds):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))


@given('a leader that renews the lease of an idle worker')
def make_leader(context):
    make_leader_of_many(context, 1)


@given('a leader that renews the leases of {count:d} idle workers')
def make_leader_of_many(context, count):
    loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    context.stack.callback(loop.close)
    context.parts = parts = Parts(loop)
    context.ids = [f'w{number}' for number in range(count)]
    for worker_id in context.ids:
        parts.list_worker(worker_id)
    leading = loop.create_task(parts.leader.run())

    def stop():
        leading.cancel()
        parts.advance(0.01)

    context.stack.callback(stop)
    parts.advance(2)
    assert all(map(parts.is_usable, context.ids))


@when('the leader finishes, to release the leadership')
def finish(context):
    parts = context.parts
    parts.loop.run_until_complete(parts.leader.finish(300))
    context.calls = parts.calls.total


@when('a job is being stored as the leader finishes, for {ms:d} ms')
def store_while_finishing(context, ms):
    parts = context.parts
    write = parts.leader._journal.write

    async def write_slowly(batch):
        await asyncio.sleep(ms / MS_PER_S)
        await write(batch)

    parts.leader._journal.write = write_slowly
    now_ms = parts.clock.now()
    submission = cell_world.job('j1', cell_world.step(1, cpu=100, memory=100))
    parts.cell.accept(submission, now_ms, now_ms)
    parts.leader._wake.set()
    parts.advance(0.1)
    assert parts.leader._commit_task is not None
    parts.loop.run_until_complete(parts.leader.finish(300))


@then('no start is sent')
def no_start(context):
    context.parts.advance(2)
    assert not context.parts.calls.started, context.parts.calls.started


@then('it calls no worker any more')
def no_more_calls(context):
    context.parts.advance(5)
    assert context.parts.calls.total == context.calls


@when(
    'its entry is removed and is back after {first:d} to {last:d} ms, '
    '{count:d} times'
)
def remove_and_return(context, first, last, count):
    parts = context.parts
    context.late_pauses_ms = []
    for number in range(count):
        pause_ms = first + (last - first) * number // (count - 1)
        # So that the call in flight is of another age each time.
        parts.advance(0.3 + 0.037 * number)
        parts.unlist_worker('w0')
        parts.advance(pause_ms / MS_PER_S)
        parts.list_worker('w0')
        parts.advance(3)
        if not parts.is_usable('w0'):
            context.late_pauses_ms.append(pause_ms)


@then('the worker was usable within 3 s each time')
def was_usable(context):
    assert not context.late_pauses_ms, context.late_pauses_ms


@when('their entries are removed and return at random for {seconds:d} s')
def remove_at_random(context, seconds):
    parts, source = context.parts, random.Random(SEED)
    until_ms = parts.clock.now() + seconds * MS_PER_S
    while parts.clock.now() < until_ms:
        for worker_id in source.sample(context.ids, 3):
            parts.unlist_worker(worker_id)
        parts.advance(source.uniform(0.02, 0.6))
        for worker_id in context.ids:
            parts.list_worker(worker_id)
        parts.advance(source.uniform(0.02, 0.6))


@then('all workers are usable within 3 s')
def all_usable(context):
    context.parts.advance(3)
    unused = [i for i in context.ids if not context.parts.is_usable(i)]
    assert not unused, unused


@then('each of them is renewed by one call at a time')
def one_call(context):
    counts = context.parts.calls.in_flight
    assert max(counts.values()) <= 1, counts


@given('a task that runs there')
def run_task(context):
    parts = context.parts
    now_ms = parts.clock.now()
    submission = cell_world.job('j1', cell_world.step(1))
    parts.cell.accept(submission, now_ms, now_ms)
    (step,) = parts.cell.ready_by_name.values()
    (worker,) = parts.cell.worker_by_key.values()
    run = run_mod.Run(step.tasks[0], 1, worker, now_ms)
    run.state = run_mod.RunState.RUNNING
    run.known_at_ms = now_ms + 60 * MS_PER_S
    worker.add(run)
    step.tasks[0].runs.append(run)
    del parts.cell.ready_by_name[step.name]


@when('the worker restarts under its id, and its entry is late')
def restart_unlisted(context):
    context.parts.calls.born_ms_by_id['w0'] = 2


@then('the task ends as absent within 3 s')
def ends_absent(context):
    context.parts.advance(3)
    ends = [f['how'] for e, f in context.parts.events if e == 'run_ended']
    assert ends == ['absent'], context.parts.events


@given('a worker that is listed and never answers')
def add_silent_worker(context):
    context.parts.calls.silent_ids.add('w1')
    context.parts.list_worker('w1')


@when('{seconds:d} s pass on the virtual clock')
def pass_virtual_time(context, seconds):
    context.parts.advance(seconds)


@then('the log says once that the second worker is not adopted')
def logged_once(context):
    named = [
        fields['worker']
        for event_type, fields in context.parts.events
        if event_type == 'worker_not_adopted'
    ]
    assert named == ['w1'], named


@then('the metrics count 1 worker that is not adopted')
def counted(context):
    parts = context.parts
    found = gauges.of_cell(parts.cell, parts.clock.now())
    assert found['workers_not_adopted'] == 1, found

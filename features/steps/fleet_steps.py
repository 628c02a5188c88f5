"""Steps on whole nodes and their failures, on a virtual clock."""

import asyncio
import functools
import os
import pathlib

from behave import given
from behave import then
from behave import when

from carawaymast_core import errors
from carawaymast_core import expiry
from carawaymast_core import jobs
from carawaymast_core import membership
from carawaymast_core import table as table_mod
from carawaymast_node import account_writer
from standins import load
from standins import virtual

TABLE = pathlib.Path(__file__).parent.parent.parent / 'standins' / 'table.csv'
SEED = int(os.environ.get('CARAWAYMAST_TEST_SEED', '7'))
# Time for requests to be answered after the last one was sent.
COMPLETION_S = 25.0
POLL_S = 0.1
RUN_MS = 60
DEADLINE_MS = 12_000


class World:
    """The fleet of a scenario and the answers to its callers."""

    def __init__(
        self, nodes: int, workers: int, skips_checks: bool, seed: int = SEED
    ):
        self.loop = virtual.VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.fleet = virtual.Fleet(
            self.loop, seed, nodes, workers, skips_checks
        )
        rows = table_mod.parse(TABLE.read_text())
        # Here gangs of renewals may use the whole fleet.
        whole = table_mod.Amount(1.0, True)
        rows['renewal'] = rows['renewal']._replace(limit=whole)
        self.fleet.start(rows)
        self.answers: dict[str, list] = {}
        self.node_by_request: dict[str, virtual._Node] = {}
        self.job_ids: list[str] = []
        self.keyed_requests: list[str] = []
        self.edits: list = []
        # By how much the version of a node's table rose from poll to poll.
        self.version_changes: list[int] = []
        self.previous_owner = ''

    @property
    def nodes(self):
        return list(self.fleet.node_by_id.values())

    def node(self, node_id):
        return self.fleet.node_by_id[node_id]

    def owner_of(self, worker_id: str) -> str:
        for node in self.nodes:
            if node.resumed.is_set() and node.roles.owner.owns(worker_id):
                return node.node_id
        return ''

    def reply_to(self, request_id):
        def reply(status, body):
            self.answers.setdefault(request_id, []).append((status, body))

        return reply

    def send(self, node, idempotent=False, run_ms=RUN_MS):
        request_id = f'request-{len(self.node_by_request)}'
        self.node_by_request[request_id] = node
        body = request_body(idempotent, run_ms)
        reply = self.reply_to(request_id)
        try:
            node.roles.entry.submit(request_id, body, reply)
        except errors.SchedulerError as error:
            reply(400, errors.error_body(error, request_id))
        return request_id

    async def load(self, rate, seconds, run_ms=RUN_MS):
        for number in range(int(rate * seconds)):
            nodes = [n for n in self.nodes if n.resumed.is_set()]
            self.send(nodes[number % len(nodes)], run_ms=run_ms)
            await asyncio.sleep(1 / rate)

    def accept(self, node, spec):
        job_id = self.fleet.run(node.jobs_service.accept(spec, b'', None))
        self.job_ids.append(job_id)

    def wait_until(self, condition, seconds) -> float:
        waited = 0.0
        while not condition():
            assert waited < seconds, f'not within {seconds} s'
            self.fleet.advance(POLL_S)
            waited += POLL_S
        return waited

    def is_done(self, job_id) -> bool:
        return self.nodes[0].jobs_service.show(job_id)['state'] == 'done'


def request_body(idempotent=False, run_ms=RUN_MS):
    return {
        'kind': 'renewal',
        'team': 'kilima',
        'deadline_ms': DEADLINE_MS,
        'idempotent': idempotent,
        'payload': {'run_ms': run_ms, 'echo': 1},
    }


def job_spec(count, cpu, run_ms, gang=False):
    size = (cpu, 100, 0)
    return load.job_body('renewal', 'kilima', count, size, run_ms, gang)


def replayable(function):
    """Record the calls of a step, to repeat them with another seed."""

    @functools.wraps(function)
    def step(context, *args, **kwargs):
        if not hasattr(context, 'replayable_steps'):
            context.replayable_steps = []
        context.replayable_steps.append((function, args, kwargs))
        function(context, *args, **kwargs)

    return step


def create_world(context, nodes, workers, skips_checks=False):
    if hasattr(context, 'world'):
        context.world.fleet.close()
    seed = getattr(context, 'seed', SEED)
    context.world = World(nodes, workers, skips_checks, seed)
    if not hasattr(context, 'has_close_callback'):
        context.has_close_callback = True
        context.stack.callback(lambda: context.world.fleet.close())


@given('{nodes:d} nodes and {workers:d} workers on a virtual clock')
def start_fleet(context, nodes, workers):
    create_world(context, nodes, workers)


@given('{nodes:d} nodes and {workers:d} trusting workers on a virtual clock')
@replayable
def start_trusting_fleet(context, nodes, workers):
    """Start a fleet whose workers check no epochs."""
    create_world(context, nodes, workers, skips_checks=True)


@given('a load of {rate:d} requests a second for {seconds:d} s')
def start_load(context, rate, seconds):
    world = context.world
    world.loop.create_task(world.load(rate, seconds))
    context.load_ends_at = world.loop.time() + seconds


@given(
    'a load of {rate:d} requests a second of {run_ms:d} ms for {seconds:d} s'
)
@replayable
def start_long_load(context, rate, run_ms, seconds):
    world = context.world
    world.loop.create_task(world.load(rate, seconds, run_ms))
    context.load_ends_at = world.loop.time() + seconds


@given('the log is down')
def log_down(context):
    context.world.fleet.is_log_down = True


@given('a job of {count:d} tasks of {run_ms:d} ms')
def send_job(context, count, run_ms):
    world = context.world
    world.accept(world.nodes[0], job_spec(count, 2_000, run_ms))


@given('{count:d} gangs of {tasks:d} tasks with {cpu:d} of 8000 processors')
def send_gangs(context, count, tasks, cpu):
    world = context.world
    for number in range(count):
        node = world.nodes[number % len(world.nodes)]
        world.accept(node, job_spec(tasks, cpu, 500, gang=True))


@given('{count:d} rosters of {cpu:d} processors that run for {seconds:d} s')
def send_rosters(context, count, cpu, seconds):
    world = context.world
    for _ in range(count):
        spec = dict(job_spec(1, cpu, seconds * 1000), kind='roster')
        world.accept(world.nodes[0], spec)
    world.fleet.advance(5)


@when('an urgent task of {cpu:d} processors comes')
def send_urgent(context, cpu):
    world = context.world
    # Renewals fill what the limit of the rosters leaves.
    for _ in range(12):
        world.accept(world.nodes[0], job_spec(1, 1_000, 60_000))
    world.fleet.advance(5)
    context.rosters = world.job_ids[:30]
    spec = dict(job_spec(1, cpu, 1_000), kind='placement-check')
    world.accept(world.nodes[0], spec)


@then('the urgent task starts within {seconds:f} s')
def urgent_starts(context, seconds):
    world = context.world
    job_id = world.job_ids[-1]
    world.wait_until(
        lambda: str(jobs.TaskRef(job_id, 't0', 1)) in world.fleet.executions(),
        seconds,
    )
    preempted = sum(
        node.roles.owner.tasks.counters['preempted'] for node in world.nodes
    )
    assert preempted, 'the fleet was not full'


@then('every roster runs again in the end')
def rosters_run(context):
    world = context.world
    world.wait_until(lambda: all(map(world.is_done, context.rosters)), 400)


@then('rosters use at most {percent:d}% of the processors')
def within_limit(context, percent):
    world = context.world
    used = sum(
        node.roles.owner.tracker.used_by('roster').cpu_millis
        for node in world.nodes
    )
    total = sum(
        node.roles.owner.tracker.capacity.cpu_millis for node in world.nodes
    )
    assert 0 < used <= total * percent / 100, (used, total)


@given('{worker_id} fails every task')
def break_worker(context, worker_id):
    context.world.fleet.worker_by_id[worker_id].set_fault({'fail_tasks': True})


@given('all tasks fail on every worker')
def break_workers(context):
    for worker_id in context.world.fleet.worker_by_id:
        break_worker(context, worker_id)


@when('{worker_id} is repaired')
def repair_worker(context, worker_id):
    context.world.fleet.worker_by_id[worker_id].set_fault(
        {'fail_tasks': False}
    )


@when('a roster comes every {pause:d} s for {seconds:d} s')
def submit_periodically(context, pause, seconds):
    world = context.world
    for _ in range(seconds // pause):
        spec = dict(job_spec(1, 100, 500), kind='roster')
        world.accept(world.nodes[0], spec)
        world.fleet.advance(pause)


def quarantined(world):
    """Return the ids of workers that their current owners quarantine."""
    return [
        worker_id
        for node in world.nodes
        for worker_id in node.roles.owner.quarantine.quarantined()
        if node.roles.owner.owns(worker_id)
    ]


@then('{worker_id} is in quarantine and no other worker is')
def is_quarantined(context, worker_id):
    assert quarantined(context.world) == [worker_id]


@then('no worker is in quarantine')
def none_quarantined(context):
    assert quarantined(context.world) == []


@given('a stream of small jobs on all workers for {seconds:d} s')
def stream_jobs(context, seconds):
    world = context.world

    async def stream():
        for _ in range(seconds * 4):
            jobs_service = world.nodes[0].jobs_service
            await jobs_service.accept(job_spec(10, 1_500, 1_500), b'', None)
            await asyncio.sleep(0.25)

    world.loop.create_task(stream())


@when('the owner of {worker_id} is killed after {seconds:d} s')
def kill_owner(context, worker_id, seconds):
    world = context.world
    world.fleet.advance(seconds)
    world.previous_owner = world.owner_of(worker_id)
    world.fleet.kill(world.previous_owner)


@when('the owner of {worker_id} is paused after {after:d} s for {length:d} s')
def pause_owner(context, worker_id, after, length):
    world = context.world
    world.fleet.advance(after)
    world.previous_owner = world.owner_of(worker_id)
    pause(world, world.previous_owner, length)
    world.fleet.advance(length)


@when(
    'a node that does not own {worker_id} is paused after {after:d} s for '
    '{length:d} s'
)
def pause_entry(context, worker_id, after, length):
    world = context.world
    world.fleet.advance(after)
    owner = world.owner_of(worker_id)
    other = next(n for n in world.nodes if n.node_id != owner)
    pause(world, other.node_id, length)


def pause(world, node_id, length):
    node = world.node(node_id)
    node.resumed.clear()
    world.loop.call_later(length, node.resumed.set)


@when('the log is down from {start:d} s to {end:d} s')
def log_outage(context, start, end):
    fleet = context.world.fleet
    fleet.advance(start)
    fleet.is_log_down = True
    fleet.advance(end - start)
    fleet.is_log_down = False


@when(
    'the log is down from {start:d} s to {end:d} s and {worker_id} restarts '
    'meanwhile'
)
def outage_with_restart(context, start, end, worker_id):
    """Restart all workers, among them ``worker_id``, while the log is down."""
    fleet = context.world.fleet
    fleet.advance(start)
    fleet.is_log_down = True
    fleet.advance(2)
    for restarted_id in fleet.worker_by_id:
        fleet.restart_worker(restarted_id)
    assert worker_id in fleet.worker_by_id
    fleet.advance(end - start - 2)
    fleet.is_log_down = False


@when('every node is replaced, one every {seconds:d} s')
def replace_nodes(context, seconds):
    fleet = context.world.fleet
    for node_id in list(fleet.node_by_id):
        fleet.run(fleet.start_node())
        fleet.advance(seconds)
        fleet.kill(node_id)


@when('{worker_id} restarts after {seconds:d} s')
def restart_worker(context, worker_id, seconds):
    fleet = context.world.fleet
    fleet.advance(seconds)
    fleet.restart_worker(worker_id)


@when('all nodes are cut off from each other from {start:d} s to {end:d} s')
def cut_all(context, start, end):
    fleet = context.world.fleet
    fleet.advance(start)
    names = list(fleet.node_by_id)
    fleet.cut_links.update((a, b) for a in names for b in names if a != b)
    fleet.advance(end - start)
    fleet.cut_links.clear()


@when(
    'the answers of {worker_id} to its owner are lost from {start:d} s to '
    '{end:d} s'
)
def lose_answers(context, worker_id, start, end):
    world = context.world
    world.fleet.advance(start)
    # Any owner counts as new, also the one whose answers were lost.
    world.previous_owner = 'nobody'
    world.fleet.cut_links.add((worker_id, world.owner_of(worker_id)))
    world.fleet.advance(end - start)
    world.fleet.cut_links.clear()


@when('the owner of {worker_id} is cut off from it after {seconds:d} s')
def cut_owner(context, worker_id, seconds):
    world = context.world
    world.fleet.advance(seconds)
    owner = world.owner_of(worker_id)
    world.fleet.cut_links.add((owner, worker_id))
    world.fleet.advance(context.load_ends_at - world.loop.time() + 5)


@when('a node is cut off from its peers after {seconds:d} s')
@replayable
def cut_node(context, seconds):
    world = context.world
    world.fleet.advance(seconds)
    names = [node.node_id for node in world.nodes]
    for other in names[1:]:
        world.fleet.cut_links.update({(names[0], other), (other, names[0])})
    world.fleet.advance(context.load_ends_at - world.loop.time() + 5)


@when('a keyed request with a deadline of {seconds:d} s is sent')
def send_keyed(context, seconds):
    world = context.world
    submit_keyed(world, world.nodes[0], seconds)


@when('the same keyed request is sent to another node after {seconds:d} s')
def send_keyed_again(context, seconds):
    world = context.world
    world.fleet.advance(seconds)
    submit_keyed(world, world.nodes[1], 8)


def submit_keyed(world, node, seconds):
    request_id = f'keyed-{len(world.keyed_requests)}'
    world.keyed_requests.append(request_id)
    body = dict(request_body(), deadline_ms=seconds * 1000)
    reply = world.reply_to(request_id)
    world.loop.create_task(
        node.keyed_requests.submit('key', b'raw', request_id, body, reply)
    )


@when('a job comes while all nodes are cut off from each other')
@replayable
def job_in_cut(context):
    world = context.world
    names = list(world.fleet.node_by_id)
    world.fleet.cut_links.update(
        (a, b) for a in names for b in names if a != b
    )
    world.fleet.advance(4)
    world.accept(world.nodes[0], job_spec(2, 2_000, 1_000))
    world.fleet.advance(context.load_ends_at - world.loop.time() + 5)
    world.fleet.cut_links.clear()


@when('{worker_id} is listed as leaving after {seconds:d} s on the clock')
def list_as_leaving(context, worker_id, seconds):
    fleet = context.world.fleet
    fleet.advance(seconds)
    fleet.leaving_ids.add(worker_id)
    fleet.publish_vms()


@then('{worker_id} starts nothing from {seconds:d} s later on')
def starts_nothing(context, worker_id, seconds):
    fleet = context.world.fleet
    worker = fleet.worker_by_id[worker_id]
    fleet.advance(seconds)
    before = worker.evidence({})['counters']['runs']
    fleet.advance(5)
    after = worker.evidence({})['counters']['runs']
    assert before and after == before, (before, after)


@when('{hours:d} hours pass on the wall clock')
def pass_hours(context, hours):
    fleet = context.world.fleet
    context.first_day = expiry.day_of(fleet.clock.wall())
    for _ in range(hours):
        fleet.wall_offset_ms += 3600 * 1000
        fleet.advance(5)
    # Two more cleanings of the state, one each 60 s.
    fleet.advance(130)


@then('the state holds {jobs_left:d} job, {tasks:d} tasks and {keys:d} key')
@then('the state holds {jobs_left:d} jobs, {tasks:d} tasks and {keys:d} keys')
def state_holds(context, jobs_left, tasks, keys):
    for node in context.world.nodes:
        replica = node.roles.log.replica
        counts = [
            len(replica.with_prefix(prefix))
            for prefix in ('job/', 'task/', 'key/')
        ]
        assert counts == [jobs_left, tasks, keys], counts


@then('one entity has the account of the first day, and it adds up')
def merged_account(context):
    world = context.world
    day = context.first_day
    for node in world.nodes:
        replica = node.roles.log.replica
        found = replica.with_prefix(f'account/{day}/')
        assert list(found) == [f'account/{day}/all'], list(found)
        merged = account_writer.merged(replica, day, '9999-12-31')
        assert not merged['differences'], merged
        tally = merged['by_kind']['renewal']
        assert tally['accepted'] == len(world.node_by_request), merged


@when('the log is up after {seconds:d} s')
def log_up(context, seconds):
    context.world.fleet.advance(seconds)
    context.world.fleet.is_log_down = False


@when(
    'a gang of {tasks:d} tasks with {cpu:d} of 8000 processors comes after '
    '{seconds:d} s'
)
def send_large_gang(context, tasks, cpu, seconds):
    world = context.world
    world.fleet.advance(seconds)
    world.accept(world.nodes[0], job_spec(tasks, cpu, 500, gang=True))


@when('every node edits the table from the same version at once')
def race_edits(context):
    world = context.world
    version = world.nodes[0].roles.tables.table.version
    context.version = version + 1

    async def edit(node):
        return await try_edit(node, version, node.node_id)

    async def race():
        return await asyncio.gather(*map(edit, world.nodes))

    world.edits = world.fleet.run(race())


async def try_edit(node, version, text):
    row = node.roles.tables.table.by_kind['renewal']
    row = row._replace(weight=1.0 + len(text))
    try:
        return await node.roles.tables.edit(version, [row])
    except errors.SchedulerError as error:
        return error.kind


@when('node-0 is cut off from the log')
def cut_from_log(context):
    context.world.fleet.cut_links.update(
        {('node-0', 'log'), ('log', 'node-0')}
    )


@when('node-1 edits the table')
def edit_table(context):
    world = context.world
    node = world.node('node-1')
    version = node.roles.tables.table.version
    context.version = world.fleet.run(try_edit(node, version, 'x'))


@when('node-0 is paused while node-1 edits the table twice')
def edit_past_pause(context):
    world = context.world
    watching = watch_versions(world)
    context.stack.callback(watching.cancel)
    world.node('node-0').resumed.clear()
    edit_table(context)
    world.fleet.advance(3)
    edit_table(context)
    world.fleet.advance(3)
    world.node('node-0').resumed.set()
    world.fleet.advance(3)


def watch_versions(world):
    highest = {}

    async def watch():
        while True:
            for node in world.nodes:
                version = node.roles.tables.table.version
                before = highest.get(node.node_id, 0)
                world.version_changes.append(version - before)
                highest[node.node_id] = version
            await asyncio.sleep(0.01)

    return world.loop.create_task(watch())


@when('{count:d} retention periods of the log pass')
def pass_retentions(context, count):
    context.world.fleet.advance(count * virtual.RETENTION_MS / 1000)
    assert context.world.fleet.log.stats({})['first'] > 0


@when('a node starts')
def start_node(context):
    fleet = context.world.fleet
    context.new_id = fleet.run(fleet.start_node())


@when('node-0 is cut off from everything but the workers')
def isolate(context):
    fleet = context.world.fleet
    for name in [*fleet.node_by_id, 'log']:
        fleet.cut_links.update({('node-0', name), (name, 'node-0')})


@then('{worker_id} has a new owner within {seconds:d} s')
def has_new_owner(context, worker_id, seconds):
    world = context.world

    def is_owned():
        owner = world.owner_of(worker_id)
        return owner not in ('', world.previous_owner)

    world.wait_until(is_owned, seconds)


@then('the callers of live nodes have one answer each')
def answered_once(context):
    world = context.world
    left = context.load_ends_at - world.loop.time()
    world.fleet.advance(max(0, left) + COMPLETION_S)
    executions = world.fleet.executions()
    assert world.node_by_request
    for request_id, node in world.node_by_request.items():
        found = world.answers.get(request_id, [])
        if node.is_up:
            assert len(found) == 1, (request_id, found)
        for answer in found:
            wrong = virtual.check_request(answer, executions)
            assert not wrong, wrong


@then('the workers detected no violation')
def no_violation(context):
    violations = context.world.fleet.violations()
    assert not violations, violations


@then('the workers detected a violation with one of {count:d} seeds')
def some_violation(context, count):
    steps = list(context.replayable_steps)
    for seed in range(count):
        if context.world.fleet.violations():
            return
        context.seed = seed
        for function, args, kwargs in steps:
            function(context, *args, **kwargs)
    assert context.world.fleet.violations()


@then('the job ends within {seconds:d} s')
@then('all gangs end within {seconds:d} s')
def jobs_end(context, seconds):
    world = context.world
    world.wait_until(lambda: all(map(world.is_done, world.job_ids)), seconds)


@then('each task of the job ran once')
def ran_once(context):
    executions = context.world.fleet.executions()
    assert executions and set(executions.values()) == {1}, executions


@then('no gang ran in part')
def whole_gangs(context):
    world = context.world
    executions = world.fleet.executions()
    for job_id in world.job_ids:
        runs = [n for n in executions if jobs.parse_ref(n).job_id == job_id]
        assert len(runs) == 3, runs


@then('the gang has started within {seconds:d} s')
def gang_started(context, seconds):
    world = context.world
    job_id = world.job_ids[-1]

    def is_started():
        tasks = world.nodes[0].jobs_service.show(job_id)['tasks']
        return all(task['attempt'] for task in tasks)

    world.wait_until(is_started, seconds)


@then('the keyed request is done')
def keyed_done(context):
    world = context.world
    world.fleet.advance(COMPLETION_S)
    [(status, _)] = world.answers[world.keyed_requests[0]]
    assert status == 200


@then('the keyed request is refused, not run, after {seconds:d} s')
def keyed_refused(context, seconds):
    world = context.world
    world.fleet.advance(seconds + 0.5)
    [(_, body)] = world.answers[world.keyed_requests[0]]
    assert body['ran'] == 'no', body
    world.fleet.is_log_down = False
    world.fleet.advance(COMPLETION_S)
    assert not world.fleet.executions(), 'a refused request ran'


@then('both keyed requests got the same answer and one ran')
def keyed_same(context):
    world = context.world
    world.fleet.advance(COMPLETION_S)
    first, second = (world.answers[name] for name in world.keyed_requests)
    assert first == second and len(first) == 1, (first, second)
    assert sum(world.fleet.executions().values()) == 1


@then('all requests are done')
def all_done(context):
    world = context.world
    left = context.load_ends_at - world.loop.time()
    world.fleet.advance(left + COMPLETION_S)
    statuses = [found[0][0] for found in world.answers.values()]
    assert statuses and set(statuses) == {200}, set(statuses)
    assert len(statuses) == len(world.node_by_request)


@then('exactly one edit is accepted and the others get a conflict')
def one_edit(context):
    edits = context.world.edits
    assert edits.count(context.version) == 1, edits
    lost = edits.count(errors.ErrorKind.CONFLICT)
    assert lost == len(edits) - 1, edits


@then('the edit is in force on every node within {seconds:d} s')
def edit_in_force(context, seconds):
    world = context.world
    world.wait_until(
        lambda: all(
            node.roles.tables.table.version >= context.version
            for node in world.nodes
        ),
        seconds,
    )


@then('the version of the table never went down anywhere')
def never_reverted(context):
    assert context.world.version_changes
    assert min(context.world.version_changes) >= 0


@then('the new node has the table and the job')
def new_node_has_all(context):
    world = context.world
    world.fleet.advance(5)
    node = world.node(context.new_id)
    assert node.roles.log.is_caught_up
    assert node.roles.tables.table.by_kind
    for job_id in world.job_ids:
        assert node.jobs_service.show(job_id)['state'] == 'done'


@then(
    'node-0 refuses new work after {seconds:d} s and before workers get '
    'new owners'
)
def refuses_work(context, seconds):
    world = context.world
    world.fleet.advance(seconds)
    roles = world.node('node-0').roles
    assert roles.is_isolated
    world.fleet.advance(10)
    assert not roles.owner.owned_ids
    assert isinstance(roles.members.local, membership.Member)

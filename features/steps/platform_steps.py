"""Steps on the adapter and the election, over an in-memory store."""

import ast
import asyncio
import json
import types

from behave import given
from behave import then
from behave import when
import msgspec

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import batching
from carawaymast_core.cell import records
from carawaymast_core.cell import view as view_mod
from carawaymast_node import fabric_pb2
from carawaymast_node import settings as settings_mod
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import frontend as frontend_mod
from carawaymast_node.cells import intake as intake_mod
from carawaymast_node.cells import journal as journal_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import relay
from carawaymast_node.cells import replica as replica_mod
from carawaymast_node.cells import routing
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod
from carawaymast_platform import adapter
from carawaymast_platform import ingress
from carawaymast_platform import replies
from carawaymast_platform import store as store_mod
from features import cell_world
from standins import deployment
from standins import keyed_log

TICK_MS = 50
CALLER_WAIT_MS = 2_850
POLL_S = 0.02
MAX_POLLS = 500


class Node:
    """A node's view of the lead topic."""

    def __init__(self, context, name):
        self.store = store_mod.Store(context.log.transport(name))
        self.election = election_mod.Election(
            self.store, context.clock, name, f'boot-{name}', 0, lambda: None
        )
        self.topic_reader = topic_reader_mod.TopicReader(
            self.store,
            context.clock,
            make_telemetry(context.clock),
            election_mod.TOPIC,
            0,
            self.election.apply_update,
        )

    async def follow(self):
        try:
            await self.topic_reader._read_next(may_wait=False)
        except ports.StoreError as error:
            self.topic_reader._on_store_lost(error)


def make_telemetry(clock):
    return telemetry.Telemetry(clock, telemetry.Metrics())


def batch(job_id):
    record = records.JobRecord(records.JobPhase.RUNNING, '', True, 0, ())
    return batching.Batch({}, {job_id: record}, [], {})


def state_keys(context):
    """Return the keys in the state topic; a length precedes each key."""
    part = context.log._partition('keyed.state', 0)
    return [raw[1 : 1 + raw[0]].decode() for raw in part.records]


@given("the platform's store")
def make_store(context):
    context.log = keyed_log.KeyedLog()
    context.clock = clock_mod.ManualClock(100_000)
    context.store = store_mod.Store(context.log.transport('n1'))


@when('{count:d} records with keys are appended')
def append_records(context, count):
    context.items = [ports.KeyValue(f'k{n}', b'%d' % n) for n in range(count)]
    asyncio.run(context.store.append('t', 0, context.items))


@then('the newest of each key are returned with the end offset')
def newest(context):
    found = asyncio.run(context.store.newest('t', 0))
    assert found.end_offset == len(context.items)
    pairs = {(item.key, item.value) for item in found.items}
    assert pairs == set(context.items), pairs


@when('two nodes append at the same end')
def append_twice(context):
    item = ports.KeyValue('k', b'v')
    asyncio.run(context.store.append('t', 0, [item], at=0))
    context.conflict = None
    try:
        asyncio.run(context.store.append('t', 0, [item], at=0))
    except ports.ConflictError as error:
        context.conflict = error


@then('one of them gets a conflict with the end offset and stores nothing')
def conflict_has_end(context):
    assert context.conflict.end_offset == 1
    assert asyncio.run(context.store.read('t', 0, 0, 0)).end_offset == 1


@given('two nodes that follow the lead topic')
def two_nodes(context):
    context.nodes = [Node(context, 'n1'), Node(context, 'n2')]
    follow_all(context)


def follow_all(context):
    for node in context.nodes:
        asyncio.run(node.follow())


@when('both claim the leadership')
def both_claim(context):
    for node in context.nodes:
        assert node.election.can_claim(node.topic_reader)
        asyncio.run(node.election.claim(0))
    follow_all(context)


@then('both see the same leader and epoch')
def same_leader(context):
    first, second = (node.election for node in context.nodes)
    assert first.epoch == second.epoch == 0
    assert first.record == second.record
    assert first.is_claimed_locally and not second.is_claimed_locally


@given('the first node leads')
def first_leads(context):
    asyncio.run(context.nodes[0].election.claim(0))
    follow_all(context)
    assert context.nodes[1].election.record.node_id == 'n1'


@when('the nodes follow for {seconds:d} s and the leader renews')
def pass_and_renew(context, seconds):
    pass_time(context, seconds)
    asyncio.run(context.nodes[0].election.renew(0))
    follow_all(context)


@when('the nodes follow for {seconds:d} s')
def pass_time(context, seconds):
    for _ in range(seconds * 1_000 // TICK_MS):
        context.clock.advance(TICK_MS)
        follow_all(context)


@when('the store is unavailable for {seconds:d} s')
def store_unavailable(context, seconds):
    context.log.is_down = True
    pass_time(context, seconds)
    context.log.is_down = False
    follow_all(context)


@then('the second node may not claim the leadership')
def cannot_claim(context):
    node = context.nodes[1]
    assert not node.election.can_claim(node.topic_reader)


@then('the second node may claim the leadership')
def may_claim(context):
    node = context.nodes[1]
    follow_all(context)
    assert node.election.can_claim(node.topic_reader)


@when('it renews and releases at the same time')
def renew_and_release(context):
    election = context.nodes[0].election

    async def both():
        await asyncio.gather(election.renew(0), election.release(0))

    asyncio.run(both())


def open_journal(context, epoch):
    view = view_mod.JobView()
    topic_reader = topic_reader_mod.TopicReader(
        context.store,
        context.clock,
        make_telemetry(context.clock),
        'state',
        0,
        lambda item: None,
    )
    journal = journal_mod.Journal(
        context.store,
        context.clock,
        telemetry.Metrics(),
        view,
        topic_reader,
        epoch,
    )
    asyncio.run(journal.open())
    return journal


@given('a journal of epoch {epoch:d}')
def make_journal(context, epoch):
    context.journal = open_journal(context, epoch)


@when('a journal of epoch {epoch:d} is opened')
def other_journal(context, epoch):
    open_journal(context, epoch)


@when('a batch is written and {count:d} answers are lost')
def write_lost(context, count):
    context.log.answers_to_lose = count
    asyncio.run(context.journal.write(batch('j1')))


@then('the state topic holds it once')
def stored_once(context):
    assert state_keys(context) == ['j1'], state_keys(context)


@when('a batch is written late and another follows')
def write_late(context):
    context.log.writes_to_delay = 1
    asyncio.run(context.journal.write(batch('j1')))
    asyncio.run(context.journal.write(batch('j2')))
    context.log.apply_delayed_writes()


@then('the state topic holds both once and in order')
def stored_both(context):
    assert state_keys(context) == ['j1', 'j2'], state_keys(context)


@when('the first journal writes a batch')
def write_fenced(context):
    context.error = None
    try:
        asyncio.run(context.journal.write(batch('j1')))
    except ports.FencedError as error:
        context.error = error


@then('the write is fenced')
def is_fenced(context):
    assert context.error is not None
    assert not state_keys(context)


@given('a follower of a topic')
def make_follower(context):
    context.seen = {}
    context.topic_reader = topic_reader_mod.TopicReader(
        context.store,
        context.clock,
        make_telemetry(context.clock),
        't',
        0,
        lambda item: context.seen.update({item.key: item.value}),
    )
    asyncio.run(context.topic_reader._read_next(may_wait=False))


@when('records are written and the history is dropped')
def write_and_drop(context):
    for value in (b'1', b'2'):
        item = ports.KeyValue('k', value)
        asyncio.run(context.store.append('t', 0, [item]))
    context.log.drop_history()
    asyncio.run(context.topic_reader.catch_up(2))


@then('the follower has the newest of each key')
def has_newest(context):
    assert context.seen == {'k': b'2'}, context.seen


class OnePeer:
    """A peer whose route sends to the store directly."""

    def __init__(self, context):
        self.member = records.MemberRecord('n2', 'host', 1, 'domain', 'b')
        self.route = route_of(context, 'n2', None)
        self.answered = 0

    def candidates(self):
        return [self.member]

    def avoid(self, member):
        raise AssertionError('the peer was avoided but reaches the store')

    async def call(self, member, method, message, timeout_ms):
        assert method == 'CallStore'
        assert isinstance(message, fabric_pb2.StoreCall)
        self.answered += 1
        return await self.route.answer(message)


def route_of(context, name, peers):
    send = context.log.transport(name)
    return relay.StoreRoute(
        ports.StoreLink(send, send, lambda: None),
        peers,
        context.clock,
        make_telemetry(context.clock),
        telemetry.Metrics(),
    )


@given('a node that the store refuses, with a peer')
def refused_by_store(context):
    context.log.refused.add('n1')
    context.peer = OnePeer(context)
    context.route = route_of(context, 'n1', context.peer)
    context.relayed = store_mod.Store(context.route.send)


@when('it appends a record')
def append_relayed(context):
    item = ports.KeyValue('k', b'v')
    asyncio.run(context.relayed.append('t', 0, [item]))


@then('the record is stored and the peer has sent it')
def relayed(context):
    assert context.log._partition('keyed.t', 0).end == 1
    assert context.peer.answered == 1
    assert not context.route.is_direct


@when('the store serves it again')
def serve_again(context):
    append_relayed(context)
    direct = store_mod.Store(context.route.send_direct)

    async def come_back():
        probing = asyncio.create_task(
            context.route.keep_probing(
                lambda timeout_ms: direct.read('t', 0, 0, 0, timeout_ms)
            )
        )
        await asyncio.sleep(0)
        context.log.refused.clear()
        for _ in range(MAX_POLLS):
            if context.route.is_direct:
                break
            await asyncio.sleep(POLL_S)
        probing.cancel()

    asyncio.run(come_back())


@then('the node reaches the store by itself')
def direct_again(context):
    assert context.route.is_direct


def submit_job(context, answer=ports.StoreOutcome.NO):
    async def deliver(items):
        return None

    async def submit(submission):
        return answer

    async def store():
        intake = intake_mod.Intake(
            context.store, context.clock, telemetry.Metrics(), 0, deliver
        )
        running = asyncio.create_task(intake.run())
        submission = cell_world.job('j1', cell_world.step())
        try:
            await intake_mod.store_job(
                submission, submit, intake, lambda: CALLER_WAIT_MS
            )
        except errors.SchedulerError as error:
            return error
        finally:
            running.cancel()
        return None

    context.error = asyncio.run(store())


@when('the store is down and the leader answers "{answer}" to a job')
def submit_job_after(context, answer):
    context.log.is_down = True
    submit_job(context, ports.StoreOutcome(answer))


@then('the caller gets the error "{kind}"')
def answered_kind(context, kind):
    assert context.error.kind.value == kind, context.error


@when('the store is down and a job is submitted')
def submit_job_while_down(context):
    context.log.is_down = True
    submit_job(context)


@when('answers are lost and a job is submitted')
def submit_job_unanswered(context):
    context.log.answers_to_lose = intake_mod.MAX_TRIES
    submit_job(context)


@then('the caller gets the answer that it was not stored')
def answered_not_stored(context):
    assert context.error.kind is errors.ErrorKind.LOG_UNAVAILABLE
    assert context.error.answer.ran is errors.Ran.NO
    assert not context.log._partition('keyed.intake', 0).end


@then('the caller gets the answer that the outcome is unknown')
def answered_unknown(context):
    assert context.error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
    assert context.error.answer.ran is errors.Ran.UNKNOWN


@when('a job "{body}" is decoded')
def decode_job(context, body):
    context.error = None
    try:
        ingress.decode_job(body.encode())
    except errors.SchedulerError as error:
        context.error = error


@then('it is refused and the reason names "{reason}"')
def refused(context, reason):
    assert context.error is not None
    assert context.error.kind is errors.ErrorKind.BAD_REQUEST
    assert reason in context.error.detail, context.error.detail


@when('entries with missing, mistyped and unreadable fields are decoded')
def decode_entries(context):
    values = (
        b'\xff\xfe',
        b'[]',
        b'{"service":"s"}',
        b'{"service":1,"address":"a:1","state":"ready","capacity":{}}',
        b'{"service":"s","address":"a:1","state":"odd","capacity":{}}',
        b'{"service":"s","address":"a","state":"ready","capacity":{}}',
    )
    context.decoded = []
    for value in values:
        try:
            item = ports.StoredItem(0, 'i-1', value)
            context.decoded.append(ingress.decode_worker(item))
        except ValueError:
            continue


@then('none of them names a worker')
def no_worker(context):
    assert context.decoded == [], context.decoded


@when('versions 3, 7 and 5 are put in force')
def put_versions(context):
    context.routes = routing.Routes(make_telemetry(clock_mod.ManualClock()))
    for version in (3, 7, 5):
        queues = tuple(
            ports.Queue(
                'h', prefix, cell_world.queue(name=f'{prefix}@{version}')
            )
            for prefix in ('/a/', '/a/b/')
        )
        context.routes.apply_update(ports.Declarations(version, queues))


@then('version 7 stays in force and its queues are found by longest prefix')
def version_in_force(context):
    assert context.routes.version == 7
    queue, job_id = context.routes.find('h:80', '/a/b/0123')
    assert (queue.policy.name, job_id) == ('/a/b/@7', '0123')
    queue, job_id = context.routes.find('h', '/a/')
    assert (queue.policy.name, job_id) == ('/a/@7', '')


@when('a settings file without its internal ports is read')
def read_wrong_settings(context):
    document = {
        'node_name': 'n',
        'ip': '10.0.0.1',
        'zone': 'z',
        'listen': {'front': '10.0.0.1:1', 'ready': '10.0.0.1:2'},
        'bounds': {'hold_max_ms': 6_000, 'drain_ms': 2_000, 'grace_s': 6},
        'limits': {'max_fds': 4_000, 'cpu_share': 0.5, 'cores': 2},
    }
    context.error = None
    try:
        adapter.read_settings(document)
    except settings_mod.SettingError as error:
        context.error = error


@then('the reason names "{text}"')
def reason_names(context, text):
    assert text in str(context.error), context.error


@when('a caller asks for a job that is {phase}')
def ask_for_job(context, phase):
    job_phase = None if phase == 'unknown' else records.JobPhase(phase)
    context.reply = replies.REPLIES.job(job_phase)


@then('the answer is {status:d} with {body}')
def reply_is(context, status, body):
    assert context.reply.status == status, context.reply
    assert context.reply.body == json.loads(body), context.reply


# Names of the platform's interface that only the adapter may use.
PLATFORM_NAMES = (
    'phases',
    'anti_affinity',
    'long_running',
    'rack_local',
    'repeats',
    'target_completion_ms',
    'Deadline-Ms',
    '/-/',
    'keyed.',
    'log-append',
    'log-read',
    'log-newest',
)
PRODUCT_FOLDERS = (
    'packages/carawaymast-core/carawaymast_core/cell',
    'packages/carawaymast-node/carawaymast_node/cells',
)


def strings_of(path):
    """Yield the strings in the code of a module, without its docstrings."""
    tree = ast.parse(path.read_text())
    docstring_ids = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstring_ids:
            if isinstance(node.value, str):
                yield node.value


@then("no module outside the adapter has a string of the platform's interface")
def names_stay_inside(context):
    found = [
        (path.name, text)
        for folder in PRODUCT_FOLDERS
        for path in (deployment.ROOT / folder).glob('*.py')
        for text in strings_of(path)
        if any(word in text for word in PLATFORM_NAMES)
    ]
    assert not found, found


class IdleStore:
    """A store without new records: a read that may wait never returns."""

    def __init__(self):
        self.polling = asyncio.Event()

    async def newest(self, topic, part):
        return ports.NewestAnswer([], 0)

    async def read(self, topic, part, start, wait_ms):
        if wait_ms:
            self.polling.set()
            await asyncio.Event().wait()
        return ports.ReadAnswer([], start, start)


FRESH_READ_TIMEOUT_S = 1.0  # reached only if no read is sent


@given('a node that follows the intake by a long poll that nothing ends')
def follow_idle_store(context):
    context.clock = clock_mod.ManualClock()
    context.idle_store = IdleStore()


@when('a caller asks for a job that the node does not have')
def ask_for_unknown(context):
    async def ask():
        topic_reader = topic_reader_mod.TopicReader(
            context.idle_store,
            context.clock,
            make_telemetry(context.clock),
            intake_mod.TOPIC,
            0,
            lambda item: None,
        )
        following = asyncio.ensure_future(topic_reader.run())
        await context.idle_store.polling.wait()
        context.clock.advance(1)
        try:
            async with asyncio.timeout(FRESH_READ_TIMEOUT_S):
                await topic_reader.wait_current(context.clock.now())
            return True
        except TimeoutError:
            return False
        finally:
            following.cancel()

    context.is_fresh = asyncio.run(ask())


@then('a read that does not wait is sent for the caller')
def fresh_read(context):
    assert context.is_fresh, 'the lookup waited for the long poll'


class SilentLeader:
    """Calls to a leader that does not answer."""

    async def phase(self, job_id):
        return None


@given('a node that has read the store, and a leader that does not answer')
def node_beside_leader(context):
    make_store(context)
    source = replica_mod.ReaderFactory(
        context.store,
        context.clock,
        make_telemetry(context.clock),
        lambda: True,
    )
    platform = types.SimpleNamespace(
        ingress=ingress.INGRESS,
        settings=types.SimpleNamespace(
            declarations_topic='op',
            declarations_apply_ms=2_000,
            workers_topic='servers',
        ),
    )
    context.replica = replica_mod.Replica(
        source,
        platform,
        types.SimpleNamespace(apply_update=lambda item: None),
        lambda: False,
        lambda job_id: None,
    )
    parts = frontend_mod.FrontendParts(
        context.clock,
        make_telemetry(context.clock),
        telemetry.Metrics(),
        ingress.INGRESS,
        replies.REPLIES,
        None,
        context.replica.view,
        None,
        context.replica.wait_current,
        SilentLeader(),
    )
    context.frontend = frontend_mod.Frontend(None, parts)
    asyncio.run(context.replica.wait_current(context.clock.now()))


@when('the leader stores a job and a caller asks the node for it at once')
def ask_beside_leader(context):
    submission = cell_world.job('j1', cell_world.step())
    key = 'j1' + records.SUBMISSION_SUFFIX
    item = ports.KeyValue(key, records.encode(submission))
    asyncio.run(context.store.append('state', 0, [item]))
    context.clock.advance(1)
    context.found = asyncio.run(context.frontend._phase('j1'))


@then('the node finds the job')
def job_found(context):
    assert context.found is records.JobPhase.QUEUED, context.found


MAX_ANSWER_BYTES = 300_000


@given('a node on a link that loses each answer of over 300 KB')
def size_limited_link(context):
    make_store(context)
    plain = context.log.transport('thin')
    context.reads = 0
    context.pause_offsets = []

    async def send(method, target, body, timeout_ms):
        reply = await plain(method, target, body, timeout_ms)
        context.reads += 'log-read' in target
        if len(reply.body) > MAX_ANSWER_BYTES:
            raise ports.StoreError('timed out', True)
        return reply

    def read_interval_ms():
        context.pause_offsets.append(context.topic_reader.offset)
        return 0

    context.topic_reader = topic_reader_mod.TopicReader(
        store_mod.Store(send),
        context.clock,
        make_telemetry(context.clock),
        't',
        0,
        lambda item: None,
        read_interval_ms=read_interval_ms,
    )
    asyncio.run(context.topic_reader.catch_up(0))


@when('900 KB are written to a topic that the node follows')
def write_much(context):
    context.count = 30
    for number in range(context.count):
        item = ports.KeyValue(f'k{number}', b'x' * 30_000)
        asyncio.run(context.store.append('t', 0, [item]))


@then('the node has read them after a few reads without a pause')
def has_read(context):
    context.pause_offsets.clear()
    for _ in range(5):
        try:
            asyncio.run(context.topic_reader._read_next())
        except ports.StoreError:
            continue
    assert context.topic_reader.offset == context.count, (
        context.topic_reader.offset
    )
    assert set(context.pause_offsets) == {context.count}, context.pause_offsets


@given('the record of a job of {count:d} tasks that run')
def wide_record(context, count):
    tasks = tuple(
        records.TaskRecord(
            False, 1, 0, '', (records.RunRecord(1, f'i-{n:010x}', n),)
        )
        for n in range(count)
    )
    context.record = records.JobRecord(
        records.JobPhase.RUNNING, '', True, 1, ((tasks,),)
    )


@then('its bytes are at most half of what they hold, and are read back')
def is_small(context):
    raw = records.encode(context.record)
    assert len(raw) * 2 <= len(msgspec.msgpack.encode(context.record))
    assert records.decode(records.JobRecord, raw) == context.record


@then('damaged bytes are refused')
def damaged(context):
    raw = records.encode(context.record)
    for wrong in (raw[:-9], raw[:1], raw[:2] + b'x' + raw[3:], b''):
        try:
            records.decode(records.JobRecord, wrong)
        except ValueError:
            continue
        raise AssertionError(wrong)

"""Steps on bytes that another writer has left in the store or sent."""

import asyncio
import json
import resource
import types
import zlib

from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies
import msgspec

from carawaymast_core import clock as clock_mod
from carawaymast_core import decoding
from carawaymast_core import errors
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from carawaymast_node.cells import replica as replica_mod
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import worker_follower
from carawaymast_platform import advice
from carawaymast_platform import client as client_mod
from carawaymast_platform import ingress
from carawaymast_platform import store as store_mod
from carawaymast_platform import workers as workers_mod
from features import cell_world
from standins import keyed_log

DEPTH = 100_000
NESTED = '[' * DEPTH + ']' * DEPTH
DIGITS_31 = '1' + '0' * 30
DIGITS_5000 = '1' * 5_000
NO_UTF8 = b'{"service":"\xff\xfe"}'
KILOBYTES_PER_MB = 1_000


def entry_text(**fields):
    """Return a worker's entry; values are JSON texts."""
    rows = {
        'service': '"desk"',
        'address': '"10.0.0.1:8000"',
        'state': '"ready"',
        'born': '1',
        'capacity': '{"cpu":4000,"mem_mb":8000}',
        'labels': '["a","r1"]',
    } | fields
    return '{' + ','.join(f'"{k}":{v}' for k, v in rows.items()) + '}'


def config_text(**fields):
    """Return a configuration; values are JSON texts."""
    rows = {'version': '5', 'routes': '[]'} | fields
    return '{' + ','.join(f'"{k}":{v}' for k, v in rows.items()) + '}'


def job_text(step='', **fields):
    """Return a job of one step with a further field of its step."""
    rows = {
        'spec': '"x"',
        'phases': '[{"count":1,"cpu":500,"mem_mb":10' + step + '}]',
    } | fields
    return '{' + ','.join(f'"{k}":{v}' for k, v in rows.items()) + '}'


def capacity(cpu):
    return entry_text(capacity=f'{{"cpu":{cpu},"mem_mb":1}}')


def address(text):
    return entry_text(address=json.dumps(text))


ENTRY_BY_NAME = {
    'an unknown field nested 100000 deep': entry_text(odd=NESTED),
    'labels nested 100000 deep': entry_text(labels=NESTED),
    '100000 open brackets': '[' * DEPTH,
    'port 0': address('10.0.0.1:0'),
    'port 99999': address('10.0.0.1:99999'),
    'port ²': address('10.0.0.1:²'),
    'port of 5000 digits': address(f'10.0.0.1:{DIGITS_5000}'),
    'host 10.0.0.1/x': address('10.0.0.1/x:80'),
    'host 10.0.0 1': address('10.0.0 1:80'),
    'host with a null character': address('10.0.0.1\0:80'),
    'host example': address('example:80'),
    'cpu 1e30': capacity('1e30'),
    'cpu of 31 digits': capacity(DIGITS_31),
    'cpu of 5000 digits': capacity(DIGITS_5000),
    'cpu -5': capacity('-5'),
    'cpu 1e400': capacity('1e400'),
    'born -1': entry_text(born='-1'),
    'born 18446744073709551615': entry_text(born='18446744073709551615'),
    'clock_ms 9223372036854775807': entry_text(clock_ms='9223372036854775807'),
    'remaining_ms -1': entry_text(remaining_ms='-1'),
    'a service of 100000 characters': entry_text(service=f'"{"x" * 10**5}"'),
    'bytes that are no UTF-8': NO_UTF8,
    'no bytes of JSON': '\0\1',
}
CONFIG_BY_FAULT = {
    'an unknown field nested 100000 deep': config_text(odd=NESTED),
    'routes nested 100000 deep': config_text(routes=NESTED),
    'a version of 31 digits': config_text(version=DIGITS_31),
    'a version of -7': config_text(version='-7'),
    'no routes': '{"version":5}',
    'a stretch_factor of 1e400': config_text(
        routes='[{"name":"q","host":"h","path_prefix":"/","service":"s",'
        '"stretch_factor":1e400}]'
    ),
    'bytes that are no UTF-8': NO_UTF8,
}
JOB_BY_FAULT = {
    'an unknown field nested 100000 deep': job_text(odd=NESTED),
    'after nested 100000 deep': job_text(f',"after":{NESTED}'),
    'a cpu of 31 digits': job_text(f',"gpu":{DIGITS_31}'),
    'a start_ms of 31 digits': job_text(start_ms=DIGITS_31, repeats='2'),
    'bytes that are no UTF-8': NO_UTF8,
}


def to_bytes(value):
    return value if isinstance(value, bytes) else value.encode()


class RecordingLog(telemetry.Telemetry):
    """A log that keeps its events."""

    def __init__(self, clock):
        super().__init__(clock, telemetry.Metrics())
        self.events = []

    def log_event(self, event_type, **fields):
        self.events.append((event_type, fields))

    def unreadable(self, name):
        """Return the faults logged about a key."""
        return [
            fields['error']
            for event_type, fields in self.events
            if 'unreadable' in event_type
            and name in (fields.get('worker'), fields.get('key'))
        ]


@given('a list of workers with entries of "w1" and "w3"')
def make_list(context):
    context.log = keyed_log.KeyedLog()
    context.log.put('keyed.servers', 'w1', entry_text().encode())


@given('another writer\'s entry "w2" between them: {name}')
def add_odd_entry(context, name):
    value = to_bytes(ENTRY_BY_NAME[name])
    context.log.put('keyed.servers', 'w2', value)
    context.log.put('keyed.servers', 'w3', entry_text(born='3').encode())


@when('a leader reads the list, and a new leader after a restart')
def read_twice(context):
    context.readings = [read_list(context) for _ in range(2)]


def read_list(context):
    """Return the ids of the workers that a leader knows, and its log."""
    clock = clock_mod.ManualClock(1_000)
    log = RecordingLog(clock)
    cell = cell_mod.Cell(1, 4_500, lambda event_type, **fields: None)
    follower = worker_follower.WorkerFollower(
        types.SimpleNamespace(
            platform=types.SimpleNamespace(
                ingress=ingress.INGRESS,
                settings=types.SimpleNamespace(workers_topic='servers'),
            ),
            clock=clock,
            log=log,
            store=store_mod.Store(context.log.transport('n')),
        ),
        cell,
        lambda worker: None,
        lambda: None,
    )
    asyncio.run(follower.reader.catch_up(0))
    return [key[0] for key in cell.worker_by_key], log


@then('each knows "w1" and "w3" alone')
def knows(context):
    for worker_ids, _ in context.readings:
        assert sorted(worker_ids) == ['w1', 'w3'], worker_ids


@then('each has logged one line about "{name}" that names a fault')
def logged(context, name):
    for _, log in context.readings:
        (fault,) = log.unreadable(name)
        assert 0 < len(fault) < 400, fault


@given('a configuration of version 1 that a node follows')
def follow_config(context):
    context.log = keyed_log.KeyedLog()
    put_config(context, config_text(version='1'))
    clock = clock_mod.ManualClock(1_000)
    context.events = RecordingLog(clock)
    context.replica = replica_mod.Replica(
        replica_mod.ReaderFactory(
            store_mod.Store(context.log.transport('n')),
            clock,
            context.events,
            lambda: True,
        ),
        types.SimpleNamespace(
            ingress=ingress.INGRESS,
            settings=types.SimpleNamespace(
                declarations_topic='op',
                declarations_apply_ms=2_000,
                workers_topic='servers',
            ),
        ),
        types.SimpleNamespace(apply_update=lambda item: None),
        lambda: False,
        lambda job_id: None,
    )
    asyncio.run(context.replica.declarations_reader.catch_up(0))


def put_config(context, value):
    context.log.put('keyed.op', 'config', to_bytes(value))


@when('another writer stores a configuration with {fault}')
def put_odd_config(context, fault):
    put_config(context, CONFIG_BY_FAULT[fault])


@when('a configuration of version 2 is stored')
def put_version_2(context):
    put_config(context, config_text(version='2'))
    asyncio.run(context.replica.declarations_reader.catch_up(3))


@then('version 2 is in force')
def version_2(context):
    assert context.replica.configuration.routes.version == 2


@then('one line has been logged about "{name}" that names a fault')
def logged_once(context, name):
    (fault,) = context.events.unreadable(name)
    assert 0 < len(fault) < 400, fault


@when('a caller submits a job with {fault}')
def submit_odd(context, fault):
    context.error = None
    try:
        ingress.decode_job(to_bytes(JOB_BY_FAULT[fault]))
    except errors.SchedulerError as error:
        context.error = error


@then('it is refused as a bad request')
def bad_request(context):
    assert context.error is not None
    assert context.error.kind is errors.ErrorKind.BAD_REQUEST
    assert len(context.error.detail) < 400, context.error.detail


class NestedClient:
    """A client whose every answer is nested too deeply."""

    body = f'{{"clock_ms":1,"odd":{NESTED}}}'.encode()

    async def call(self, *arguments):
        return client_mod.Reply(200, self.body, {})

    async def send(self, method, target, body, timeout_ms):
        return ports.StoreReply(200, self.body)


@when('the {service} answers with an unknown field nested 100000 deep')
def answer_nested(context, service):
    client = NestedClient()
    entry = reports.WorkerEntry(
        'w0', 'a:1', 1, 's', 'd', False, cell_world.CAPACITY, (), 0, None
    )
    worker = worker_mod.Worker(entry)
    call = {
        'store': lambda: store_mod.Store(client.send).newest('t', 0),
        'worker': lambda: workers_mod.Workers(client).renew_lease(
            worker, 1, None, 0, 400
        ),
        'advice': lambda: advice.make_advise(client, 'a:1')('s', []),
    }[service]
    context.error = None
    try:
        asyncio.run(call())
    except (ports.StoreError, ports.WorkerError, ports.AdviceError) as error:
        context.error = error


@then('the call fails as one without a usable answer')
def no_usable_answer(context):
    assert context.error is not None


def member_bytes(host, port):
    return records.encode(records.MemberRecord('n1', host, port, 'd', 'b'))


def zeros(megabytes):
    """Return zlib data of zeros, made a megabyte at a time."""
    stream = zlib.compressobj(1)
    parts = [stream.compress(bytes(10**6)) for _ in range(megabytes)]
    return b''.join([*parts, stream.flush()])


def odd_record(name):
    return {
        'arrays nested 100000 deep': lambda: b'\x91' * DEPTH + b'\xc0',
        'zlib data of 1 GB': lambda: zeros(1_000),
        'zlib data that are cut short': lambda: zeros(1)[:-9],
        'a port of 99999': lambda: member_bytes('10.0.0.1', 99_999),
        'a host with a slash': lambda: member_bytes('10.0.0.1/x', 80),
        'a time of 5000 digits': lambda: DIGITS_5000.encode(),
    }[name]()


@when('a record of a {kind} holds {name}')
def read_record(context, kind, name):
    raw = odd_record(name)
    peers = fabric.Peers(
        clock_mod.ManualClock(1_000), 'n0', lambda *event, **fields: None
    )
    read = {
        'job': lambda: records.decode(records.JobRecord, raw),
        'submission': lambda: records.decode(spec_mod.Submission, raw),
        'member': lambda: peers.apply_update(ports.StoredItem(0, 'n1', raw)),
        'cancel': lambda: records.decode_cancel(raw),
    }[kind]
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    context.error = None
    try:
        read()
    except ValueError as error:
        context.error = error
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    context.grown_mb = (after - before) / KILOBYTES_PER_MB


@then('it cannot be read, in less than {megabytes:d} MB')
def unreadable_record(context, megabytes):
    assert context.error is not None
    assert len(str(context.error)) < 400
    assert context.grown_mb < megabytes, context.grown_mb


WHOLE_NUMBERS = strategies.integers(-(10**40), 10**40)
TEXTS = strategies.text(max_size=30)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | WHOLE_NUMBERS
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)
HOSTS = strategies.sampled_from(['10.0.0.1', '', 'a b', '1.2.3', '::1', '/'])
ADDRESSES = strategies.builds(
    lambda host, port: f'{host}:{port}', HOSTS, WHOLE_NUMBERS | TEXTS
)
FIELDS = (
    'service',
    'state',
    'capacity',
    'labels',
    'zone',
    'clock_ms',
    'born',
    'remaining_ms',
    'odd',
)


@when('{count:d} random entries are decoded')
def decode_random(context, count):
    context.named = 0

    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        # It measures time, which depends on what else runs.
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given_any(
        strategies.dictionaries(strategies.sampled_from(FIELDS), VALUES),
        ADDRESSES,
    )
    def check(fields, text):
        entry = json.loads(entry_text()) | fields | {'address': text}
        item = ports.StoredItem(0, 'w', json.dumps(entry).encode())
        try:
            change = ingress.decode_worker(item)
        except ValueError:
            return
        context.named += 1
        assert decoding.parse_address(change.entry.address)
        # What is decoded can be stored and sent again.
        msgspec.msgpack.encode(change.entry)

    check()


@then('each names a worker at an address, or raises ValueError')
def named_some(context):
    assert context.named > 0

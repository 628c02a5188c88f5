"""Steps on the configuration by which nodes answer, on a virtual clock."""

import asyncio

from aiohttp import web
from behave import given
from behave import then
from behave import when

from bench import late_configuration
from carawaymast_core import clock as clock_mod
from carawaymast_platform import client as client_mod
from standins import deployment
from standins import keyed_log
from standins import store_network
from standins import virtual

MS_PER_S = 1_000
BASE = '/base/'
WARM_UP_S = 3


@when(
    'nodes follow a configuration while their paths fail, with seed {seed:d}'
)
def run_trial(context, seed):
    context.late_answers = late_configuration.find_late_answers(seed)


@then('no node in touch has answered by a version that is out of force')
def none_late(context):
    assert not context.late_answers, (
        len(context.late_answers),
        context.late_answers[:3],
    )


@given('two nodes that follow a configuration')
def make_nodes(context):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    clock = clock_mod.Clock(lambda: int(context.loop.time() * MS_PER_S))
    context.log = keyed_log.KeyedLog()
    context.node_by_id = {}
    for node_id in ('n0', 'n1'):
        context.node_by_id[node_id] = store_network.ConfiguredNode(
            node_id, context.log, clock, context.node_by_id
        )
    context.first = context.node_by_id['n0']
    store_network.add_members(context.log, context.node_by_id)
    store_network.declare(context.log, 1, [BASE])
    for node in context.node_by_id.values():
        node.start()
    context.stack.callback(stop_nodes, context)
    advance(context, WARM_UP_S)


def stop_nodes(context):
    for node in context.node_by_id.values():
        node.stop()
    advance(context, 1)


def advance(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


def ask_first(context, path):
    """Return the status of the first node's answer, and how long it took."""
    began_s = context.loop.time()
    status = context.loop.run_until_complete(context.first.status(path))
    return status, round((context.loop.time() - began_s) * MS_PER_S)


@given('the first has made {count:d} calls to the store at once')
def call_at_once(context, count):
    async def call_all():
        await asyncio.gather(
            *(read_op(context.first.path) for _ in range(count))
        )

    context.loop.run_until_complete(call_all())


async def read_op(path):
    target = '/-/log-newest?topic=keyed.op&part=0'
    await path.send('GET', target, b'', MS_PER_S)


@when('the first is cut off, and a queue "{path}" is added')
def cut_first(context, path):
    context.first.path.is_cut = context.first.is_cut_off = True
    add_queue(context, path)


@when('the queue "{path}" is then added')
def add_queue(context, path):
    store_network.declare(context.log, 2, [BASE, path])


@when('nothing more happens for {seconds:d} s')
def pass_time(context, seconds):
    advance(context, seconds)


@when('all open connections of the first fall silent as it loses its peers')
def silence(context):
    context.first.path.silence_connections()
    context.first.is_cut_off = True


@then(
    'the first node answers "{new}" with {new_status:d} and "{known}" with '
    '{known_status:d}'
)
def first_answers(context, new, new_status, known, known_status):
    assert ask_first(context, new)[0] == new_status
    assert ask_first(context, known)[0] == known_status


@then('it answers "{path}" with {status:d} in {seconds:d} s after the cut')
def answers_after_cut(context, path, status, seconds):
    context.first.path.is_cut = context.first.is_cut_off = False
    advance(context, seconds)
    assert ask_first(context, path)[0] == status


@then('the first node answers "{path}" with {status:d} within {ms:d} ms')
def answers_within(context, path, status, ms):
    assert ask_first(context, path) == (status, ms)


@then('the first node has it in force within {seconds:d} s')
def in_force_within(context, seconds):
    advance(context, seconds)
    assert context.first.replica.configuration.routes.version == 2


class NamingServer:
    """Answers each call with the number of its connection."""

    def __init__(self):
        self._number_by_port = {}
        self.held = asyncio.Event()

    async def answer(self, request):
        """Answer, a held call only once ``held`` is set."""
        port = request.transport.get_extra_info('peername')[1]
        number = self._number_by_port.setdefault(
            port, len(self._number_by_port) + 1
        )
        if request.path == '/held':
            await self.held.wait()
        return web.Response(text=str(number))


@given('a client and a server that names the connection of each call')
def name_connections(context):
    context.numbers = []
    context.steps = []


@when('it calls twice, calls singly, drops its connections during a call')
def call_and_drop(context):
    async def run(client, call, server):
        await call('/')
        await call('/')
        await call('/', is_single=True)
        held = asyncio.ensure_future(call('/held'))
        await asyncio.sleep(0)
        client.drop_connections()
        server.held.set()
        await held

    context.steps.append(run)


@when('it calls twice again')
def call_again(context):
    async def run(client, call, server):
        await call('/')
        await call('/')

    context.steps.append(run)


@then('the calls used connections 1, 1, 2, 1, 3 and 3')
def connections_are(context):
    asyncio.run(run_calls(context))
    assert context.numbers == [1, 1, 2, 1, 3, 3], context.numbers


async def run_calls(context):
    server = NamingServer()
    app = web.Application()
    app.router.add_get('/{tail:.*}', server.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    port = deployment.free_port()
    await web.TCPSite(runner, '127.0.0.1', port).start()

    async def call(path, **options):
        reply = await client.call(
            'GET', f'127.0.0.1:{port}', path, b'', 10_000, **options
        )
        context.numbers.append(int(reply.body))

    async with client_mod.Client() as client:
        for step in context.steps:
            await step(client, call, server)
    await runner.cleanup()

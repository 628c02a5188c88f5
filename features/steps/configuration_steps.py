"""Steps on the configuration by which nodes answer, on a virtual clock."""

import asyncio

from behave import given
from behave import then
from behave import when

from bench import late_configuration
from carawaymast_core import clock as clock_mod
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

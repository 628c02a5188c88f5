"""Steps on the path of a node's store calls, on a virtual clock."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node.cells import ports
from carawaymast_node.cells import relay
from carawaymast_node.cells import telemetry
from carawaymast_platform import store as store_mod
from standins import keyed_log
from standins import virtual

MS_PER_S = 1_000
USUAL_DELAY_MS = 6
TOPIC = 't'
WARM_UP_CALLS = 100


class Path:
    """The store as one node's direct calls reach it."""

    def __init__(self, log):
        self._log = log
        self.delay_ms = USUAL_DELAY_MS
        self.is_silent = False
        self.answers_to_lose = 0

    async def send(self, method, target, body, timeout_ms):
        """Send a call; raise ``StoreError`` at its time-out if silent."""
        is_lost = self.answers_to_lose > 0
        self.answers_to_lose -= is_lost
        if self.is_silent or is_lost:
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise ports.StoreError('no answer', True)
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        return self._log.send(method, target, body)


class Peers:
    """Peers by their routes; the last one is called first."""

    def __init__(self, routes):
        self.route_by_id = {f'n{n}': route for n, route in enumerate(routes)}

    def candidates(self):
        return [
            records.MemberRecord(node_id, 'host', 1, 'd', 'boot')
            for node_id in self.route_by_id
        ]

    def avoid(self, member):
        """Do nothing: the peers stay the same."""

    async def call(self, member, method, message, timeout_ms):
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self.route_by_id[member.node_id].answer(message)
        except TimeoutError:
            raise channels.PeerError('no answer') from None


def link_of(send):
    """Return a link whose calls all go through ``send``."""
    return ports.StoreLink(send, send, lambda: None)


def make_route(context, path, peers):
    return relay.StoreRoute(
        link_of(path.send),
        peers,
        context.clock,
        telemetry.Telemetry(context.clock, telemetry.Metrics()),
        context.metrics,
    )


def advance(context, ms):
    context.loop.run_until_complete(asyncio.sleep(ms / MS_PER_S))


async def append(context):
    item = ports.KeyValue('k', b'v')
    await context.store.append(TOPIC, 0, [item])


@given('a node with a peer, over a store that answers both')
def make_node(context):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    context.clock = clock_mod.Clock(
        lambda: int(context.loop.time() * MS_PER_S)
    )
    context.metrics = telemetry.Metrics()
    log = keyed_log.KeyedLog()
    context.path = Path(log)
    context.peer_path = Path(log)
    context.peers = Peers([make_route(context, context.peer_path, None)])
    context.route = make_route(context, context.path, context.peers)
    context.store = store_mod.Store(context.route.send)
    direct = store_mod.Store(context.route.send_anew)

    async def probe(timeout_ms):
        await direct.read(TOPIC, 0, 0, 0, timeout_ms)

    task = context.loop.create_task(context.route.keep_probing(probe))
    context.stack.callback(lambda: (task.cancel(), advance(context, 1)))
    for _ in range(WARM_UP_CALLS):
        context.loop.run_until_complete(append(context))


@given('another peer, for which the store falls silent too')
def add_silent_peer(context):
    path = Path(None)
    path.is_silent = True
    context.peers.route_by_id['silent'] = make_route(context, path, None)


@when('the store falls silent for the node alone')
def fall_silent(context):
    context.path.is_silent = True


@when('the answer to one call is lost without a sign')
def lose_answer(context):
    context.path.answers_to_lose = 1


@when('the store refuses all calls once it is probed')
def refuse_after_probe(context):
    send = context.path.send
    peer_send = context.peer_path.send
    context.is_probed = False

    async def send_until_probed(method, target, body, timeout_ms):
        if context.is_probed:
            raise ports.StoreError('status 503', False)
        context.is_probed = method == 'GET'
        return await send(method, target, body, timeout_ms)

    async def send_of_peer(method, target, body, timeout_ms):
        if context.is_probed:
            raise ports.StoreError('status 503', False)
        return await peer_send(method, target, body, timeout_ms)

    context.route._link = link_of(send_until_probed)
    context.peers.route_by_id['n0']._link = link_of(send_of_peer)


@then('a record that the node appends has an unknown outcome')
def unknown_outcome(context):
    try:
        context.loop.run_until_complete(append(context))
    except ports.StoreError as error:
        assert error.is_unknown, error
    else:
        raise AssertionError('the record was stored')


@when('the store takes {ms:d} ms for each call for {seconds:d} s')
def slow_down(context, ms, seconds):
    context.path.delay_ms = ms
    until_ms = context.clock.now() + seconds * MS_PER_S
    context.loop.run_until_complete(append(context))
    first_second_ms = context.clock.now() + MS_PER_S
    context.abandoned_later = 0
    while context.clock.now() < until_ms:
        before = abandoned(context)
        context.loop.run_until_complete(append(context))
        if context.clock.now() > first_second_ms:
            context.abandoned_later += abandoned(context) - before


def abandoned(context):
    for line in context.metrics.text().splitlines():
        if line.startswith('store_calls_abandoned_total'):
            return float(line.split()[-1])
    return 0


@then('a record that the node appends is stored within {seconds:g} s')
def stored_within(context, seconds):
    began_ms = context.clock.now()
    context.loop.run_until_complete(append(context))
    took_ms = context.clock.now() - began_ms
    assert took_ms <= seconds * MS_PER_S, took_ms


@then(
    'when the store answers it again, its calls are direct within '
    '{seconds:g} s'
)
def direct_within(context, seconds):
    assert not context.route.is_direct
    context.path.is_silent = False
    advance(context, seconds * MS_PER_S)
    assert context.route.is_direct


@then('its calls are still direct')
def still_direct(context):
    assert context.route.is_direct


@then('no call was abandoned after the first second')
def none_abandoned(context):
    assert context.abandoned_later == 0, context.abandoned_later

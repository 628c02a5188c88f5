"""Steps on the path of a node's store calls, on a virtual clock."""

import asyncio
import types

from behave import given
from behave import then
from behave import when
from grpclib import exceptions

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import leader_calls
from carawaymast_node.cells import ports
from carawaymast_node.cells import relay
from carawaymast_node.cells import telemetry
from carawaymast_platform import client
from carawaymast_platform import store as store_mod
from features import cell_world
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
        # How the store treats writes; '' if it carries them out and answers.
        self.write_fault = ''

    async def send(self, method, target, body, timeout_ms):
        """Send a call; raise ``StoreError`` at its time-out if silent."""
        is_lost = self.answers_to_lose > 0
        self.answers_to_lose -= is_lost
        if self.is_silent or is_lost:
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise ports.StoreError('no answer', True)
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        if self.write_fault and method == 'POST':
            return self._send_faulty(method, target, body)
        return self._log.send(method, target, body)

    def _send_faulty(self, method, target, body):
        """Send a write as the adapter does to a store with a fault."""
        if self.write_fault == 'has no space for':
            return ports.StoreReply(507, b'{}')
        if self.write_fault == 'refuses':
            raise ports.StoreError('status 503', False)
        if self.write_fault == 'answers with 504':
            raise ports.StoreError('status 504', True)
        self._log.send(method, target, body)
        raise ports.StoreError('no answer', True)


class Peers:
    """Peers by their routes; the last one is called first."""

    def __init__(self, routes):
        self.route_by_id = {f'n{n}': route for n, route in enumerate(routes)}
        # Whether the peers, or the node that calls them, are of a version
        # before ``StoreAnswer.not_sent``.
        self.are_older = False
        self.is_node_older = False
        # Whether their processes are down.
        self.are_down = False

    def candidates(self):
        return [
            records.MemberRecord(node_id, 'host', 1, 'd', 'boot')
            for node_id in self.route_by_id
        ]

    def avoid(self, member):
        """Do nothing: the peers stay the same."""

    async def call(self, member, method, message, timeout_ms):
        if self.are_down:
            raise channels.PeerError('refused', is_sent=False)
        if self.is_node_older or self.are_older:
            message.ClearField('reads_not_sent')
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                route = self.route_by_id[member.node_id]
                answer = await self._answer(route, message)
        except (TimeoutError, exceptions.GRPCError) as error:
            raise channels.PeerError(repr(error)) from None
        if self.is_node_older and not answer.reached:
            # It takes this answer for "not sent".
            answer.not_sent = True
        return answer

    async def _answer(self, route, message):
        try:
            answer = await route.answer(message)
        except exceptions.GRPCError:
            if not self.are_older:
                raise
            return fabric_pb2.StoreAnswer(reached=False)
        if self.are_older:
            answer.ClearField('not_sent')
        return answer


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


@then('a record that the node appends has a known outcome')
def known_outcome(context):
    try:
        context.loop.run_until_complete(append(context))
    except ports.StoreError as error:
        assert not error.is_unknown, error
    else:
        raise AssertionError('the record was stored')


@given('another peer, whose writes are carried out late and not answered')
def add_late_peer(context):
    path = Path(keyed_log.KeyedLog())
    path.write_fault = 'carries out but not answers'
    context.peers.route_by_id['late'] = make_route(context, path, None)


@given('the {older} knows no "not sent"')
def make_older(context, older):
    context.peers.are_older = older == 'peer'
    context.peers.is_node_older = older == 'node'


@given('the peer refuses connections')
def peer_is_down(context):
    context.peers.are_down = True


@when("the store refuses the node, and {what} the peer's write")
def refuse_and_treat(context, what):
    async def refuse(method, target, body, timeout_ms):
        raise ports.StoreError('status 503', False)

    context.route._link = link_of(refuse)
    context.peer_path.write_fault = what


@when('the store has no space left once it is probed')
def full_after_probe(context):
    send = context.path.send

    async def send_until_probed(method, target, body, timeout_ms):
        if method == 'GET':
            context.path.write_fault = 'has no space for'
        return await send(method, target, body, timeout_ms)

    context.route._link = link_of(send_until_probed)


@when('the store answers an append with status {status:d}')
def append_with_status(context, status):
    async def call(*arguments, **options):
        return client.Reply(status, b'{}', {})

    link = store_mod.make_link(
        types.SimpleNamespace(call=call, drop_connections=None), 'host:1'
    )
    try:
        asyncio.run(
            store_mod.Store(link.send).append(
                TOPIC, 0, [ports.KeyValue('k', b'v')]
            )
        )
    except ports.StoreError as error:
        context.is_unknown = error.is_unknown


@then('the append has {outcome} outcome')
def append_outcome(context, outcome):
    assert context.is_unknown == (outcome == 'an unknown')


@when('a leader answers a submitted job with "{taken}"')
def answer_submission(context, taken):
    answer = fabric_pb2.SubmitAnswer(taken=taken)

    async def call(member, method, message, timeout_ms):
        return answer

    calls = leader_calls.LeaderCalls(
        'n1',
        types.SimpleNamespace(
            record=records.LeaderRecord('n2', 'boot', 1, False)
        ),
        types.SimpleNamespace(reachable=lambda node_id: node_id, call=call),
        lambda key, value: None,
        lambda job_id: None,
        lambda: None,
    )
    submission = cell_world.job('j1', cell_world.step())
    context.outcome = asyncio.run(calls.submit(submission))


@then('the node takes the outcome as unknown')
def outcome_is_unknown(context):
    assert context.outcome is ports.StoreOutcome.UNKNOWN, context.outcome


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

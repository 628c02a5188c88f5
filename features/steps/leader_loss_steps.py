"""Steps on a lost leader, over datagrams in memory and a virtual clock."""

import asyncio
import typing

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import candidacy
from carawaymast_core.cell import leader_loss
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import leader_watch
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod
from carawaymast_platform import store as store_mod
from standins import keyed_log
from standins import virtual

MS_PER_S = 1_000
POLL_S = 0.005
RENEW_INTERVAL_MS = election_mod.RENEW_INTERVAL_MS
LEADER_ID = 'leader'
PORT = 7_720


class Network:
    """Delivers datagrams and calls between nodes, unless told not to."""

    def __init__(self, loop):
        self.loop = loop
        self.node_by_host: dict[str, Node] = {}
        self.is_delivered: typing.Callable[[int], bool] = lambda number: True
        self.sent_count = 0
        self.is_leader_running = True
        self.open_calls: list[asyncio.Future] = []

    def sendto(self, data, address):
        """Deliver a datagram; also the transport of all nodes."""
        self.sent_count += 1
        if self.is_delivered(self.sent_count):
            node = self.node_by_host[address[0]]
            node.receive(data)


class PeersStandin:
    """The other nodes, as one node knows them."""

    def __init__(self, network):
        self._network = network
        self.member_by_id: dict[str, records.MemberRecord] = {}
        self.unreachable_ids: set[str] = set()

    async def call(self, member, method, message, timeout_ms):
        """Stay open until the test ends the call with an error."""
        if not self._network.is_leader_running:
            raise channels.PeerError('refused', is_sent=False)
        future = self._network.loop.create_future()
        self._network.open_calls.append(future)
        await future


class Node:
    """A node's election and its watch over the leader."""

    def __init__(self, context, node_id, speed):
        loop = context.loop
        self.clock = clock_mod.Clock(lambda: int(loop.time() * MS_PER_S))
        self.metrics = telemetry.Metrics()
        log = telemetry.Telemetry(self.clock, self.metrics)
        self.member = records.MemberRecord(
            node_id, node_id, PORT, 'd', f'boot-{node_id}', speed
        )
        self.peers = PeersStandin(context.network)
        store = store_mod.Store(context.log.transport(node_id))
        self.election = election_mod.Election(
            store,
            self.clock,
            node_id,
            self.member.boot_id,
            0,
            lambda: None,
            lambda epoch: self.watch.loss.is_lost(epoch),
        )
        self.reader = topic_reader_mod.TopicReader(
            store,
            self.clock,
            log,
            election_mod.TOPIC,
            0,
            self.election.apply_update,
        )
        self.watch = leader_watch.LeaderWatch(
            self.election,
            self.peers,
            log,
            self.metrics,
            lambda: 0 if self.election.is_claimed_locally else None,
            lambda: None,
            self.clock,
            node_id,
        )
        self.watch.connection_made(context.network)
        self.resumed = asyncio.Event()
        self.resumed.set()
        self._unread: list[bytes] = []
        self.tasks: list[asyncio.Task] = []
        context.network.node_by_host[node_id] = self

    def receive(self, data):
        """Take a datagram, at once or when the node resumes."""
        if self.resumed.is_set():
            self.watch.datagram_received(data, ('peer', PORT))
        else:
            self._unread.append(data)

    def resume(self):
        """Go on after a stop: what has arrived is read first."""
        self.resumed.set()
        for data in self._unread:
            self.watch.datagram_received(data, ('peer', PORT))
        self._unread.clear()
        self.start(self.watch.keep_beating())

    def start(self, coroutine):
        """Run one of the node's coroutines."""
        self.tasks.append(asyncio.get_event_loop().create_task(coroutine))

    def stop(self):
        """Run none of the node's coroutines."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    def may_claim(self):
        return self.election.can_claim(self.reader)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def advance(context, ms):
    run(context, asyncio.sleep(ms / MS_PER_S))


@given('a leader with {count:d} successors that hear its heartbeats')
def make_cell(context, count):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    context.log = keyed_log.KeyedLog()
    context.network = Network(context.loop)
    # The last node is the fastest, so that it is the first successor.
    names = [LEADER_ID, *(f'n{number}' for number in range(count))]
    nodes = [
        Node(context, name, 1.0 + number) for number, name in enumerate(names)
    ]
    context.leader, *context.successors = nodes
    context.first_successor = context.successors[-1]
    for node in nodes:
        node.peers.member_by_id = {
            other.member.node_id: other.member
            for other in nodes
            if other is not node
        }
    run(context, context.leader.election.claim(0))
    context.stack.callback(stop_all, context, nodes)
    for node in nodes:
        run(context, node.reader._read_next(may_wait=False))
        node.start(node.watch.keep_beating())
        node.start(node.watch.keep_watching())
    advance(context, 450)
    assert not any(node.may_claim() for node in context.successors)


def stop_all(context, nodes):
    for node in nodes:
        node.stop()
    advance(context, 1)


@when('the leader falls silent')
def fall_silent(context):
    context.leader.stop()


@when("the leader's process ends")
def end_process(context):
    context.leader.stop()
    context.network.is_leader_running = False
    fail_calls(context)


def fail_calls(context):
    for future in context.network.open_calls:
        future.set_exception(channels.PeerError('reset'))
    context.network.open_calls.clear()


@when('a successor gets no datagrams and no answers for {seconds:d} s')
def cut_off(context, seconds):
    context.network.is_leader_running = False
    fail_calls(context)
    context.network.is_delivered = lambda number: False
    for _ in range(seconds * MS_PER_S // RENEW_INTERVAL_MS):
        advance(context, RENEW_INTERVAL_MS)
        run(context, context.leader.election.renew(0))
        for node in context.successors:
            run(context, node.reader._read_next(may_wait=False))
            assert not node.may_claim()


@when('the leader reaches none of them by calls for {seconds:d} s')
def reach_none(context, seconds):
    peers = context.leader.peers
    peers.unreachable_ids = set(peers.member_by_id)
    advance(context, seconds * MS_PER_S)


@when('the store is down for {seconds:d} s, and one successor is dropped')
def drop_in_outage(context, seconds):
    context.log.is_down = True
    for node in context.successors:
        try:
            run(context, node.reader._read_next(may_wait=False))
        except ports.StoreError as error:
            node.reader._on_store_lost(error)
    dropped = context.first_successor.member
    del context.leader.peers.member_by_id[dropped.node_id]
    advance(context, seconds * MS_PER_S)
    context.log.is_down = False
    for node in context.successors:
        run(context, node.reader._read_next(may_wait=False))
    assert context.first_successor.watch.loss.is_lost(0)


@when('{lost:d} of {of:d} heartbeats are lost for {seconds:d} s')
def lose_heartbeats(context, lost, of, seconds):
    successors = len(context.successors)
    # Each successor loses the same share, whatever its rank.
    context.network.is_delivered = lambda number: (
        number // successors % of >= lost
    )
    advance(context, seconds * MS_PER_S)


@when('the open calls to the leader fail')
def calls_fail(context):
    fail_calls(context)
    advance(context, 300)


@when('a successor is stopped for {seconds:d} s while the leader goes on')
def stop_successor(context, seconds):
    node = context.first_successor
    node.resumed.clear()
    node.stop()
    for _ in range(seconds):
        advance(context, MS_PER_S)
        run(context, context.leader.election.renew(0))
    node.resume()
    for follower in context.successors:
        run(context, follower.reader._read_next(may_wait=False))
    advance(context, 1)


@when('each successor gets datagrams of other software and of an old leader')
def foreign_datagrams(context):
    for node in context.successors:
        node.receive(b'GET / HTTP/1.1')
        node.receive(b'')
        node.receive(b'\x92\xa1x\xa1y')
        node.receive(records.encode(records.Heartbeat(0, 10**9)))
        node.receive(records.encode(records.Heartbeat(10**9, 0)))
        node.receive(records.encode(records.Heartbeat(-1, 0)))
    advance(context, 300)


@then('the unreadable ones are counted')
def unreadable_counted(context):
    text = context.first_successor.metrics.text()
    assert 'heartbeats_unreadable_total 4' in text, text
    assert context.first_successor.watch.loss.epoch == 0
    assert context.first_successor.watch.loss.claim_delay_ms == 0


@then('the first successor may claim within {ms:d} ms')
def may_claim_within(context, ms):
    waited_ms = 0
    while not context.first_successor.may_claim():
        advance(context, POLL_S * MS_PER_S)
        waited_ms += POLL_S * MS_PER_S
        assert waited_ms <= ms, waited_ms


@then('the successors claim {ms:d} ms apart, the fastest first')
def claims_apart(context, ms):
    delays = [
        node.watch.loss.claim_delay_ms for node in reversed(context.successors)
    ]
    assert delays == [n * ms for n in range(len(delays))], delays


@then('no successor may claim')
def none_may_claim(context):
    assert not any(node.may_claim() for node in context.successors)


@then('a node that never heard its heartbeats may not claim after {ms:d} ms')
def unheard_may_not(context, ms):
    node = context.first_successor
    node.watch.loss = leader_loss.LeaderLoss()
    advance(context, ms)
    assert not node.may_claim()


@given('{count:d} nodes of unlike speed')
def many_nodes(context, count):
    context.members = [
        records.MemberRecord(
            f'n{n:02}', 'host', PORT, 'd', 'boot', 0.5 + n * 7 % count / 10
        )
        for n in range(count)
    ]


@then('the {count:d} fastest are the successors, the fastest first')
def fastest_first(context, count):
    chosen = leader_loss.Successors().choose(context.members, (), 0)
    speeds = sorted((m.speed for m in context.members), reverse=True)
    assert [m.speed for m in chosen] == speeds[:count], chosen


@given('a leader that lost its path to the store {lost} ms ago')
def lost_path(context, lost):
    context.now_ms = 100_000
    is_lost = lost != 'none'
    context.lost_at_ms = context.now_ms - int(lost) if is_lost else None


@when('its last stored renewal was sent {ms:d} ms ago')
def renewed(context, ms):
    context.confirmed_at_ms = context.now_ms - ms


@then('it steps aside: {aside}')
def steps_aside(context, aside):
    found = candidacy.should_step_aside(
        context.lost_at_ms, context.confirmed_at_ms, context.now_ms
    )
    assert found == (aside == 'yes'), found


@given('a node of {speed:g} cores that led before it restarted')
def restarted_leader(context, speed):
    context.speed = speed


@then('beside peers of "{peers}" cores it claims at once: {claims}')
def claims_at_once(context, peers, claims):
    speeds = [float(speed) for speed in peers.split()]
    found = candidacy.may_succeed_itself(context.speed, speeds)
    assert found == (claims == 'yes'), found


@then('beside peers of "" cores it claims at once: {claims}')
def claims_alone(context, claims):
    claims_at_once(context, '', claims)

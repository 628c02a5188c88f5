"""Steps on leaders that hand over, with a stand-in for each node's term."""

import asyncio
import types
from unittest import mock

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import candidacy
from carawaymast_core.cell import leader_loss
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import leadership as leadership_mod
from carawaymast_node.cells import membership
from carawaymast_node.cells import replica as replica_mod
from carawaymast_node.cells import telemetry
from carawaymast_node.cells import topic_reader as topic_reader_mod
from carawaymast_platform import store as store_mod
from features.steps import renewal_steps
from standins import keyed_log
from standins import virtual

MS_PER_S = 1_000
SAMPLE_S = 0.05
PORT = 1
CALL_S = 0.002


class Term:
    """A term of leadership that does nothing."""

    def __init__(self, context, epoch):
        self.epoch = epoch

    async def run(self):
        await asyncio.Event().wait()

    async def finish(self, timeout_ms):
        """There is nothing to finish."""


class Peers:
    """The other nodes, by their records; those that are gone never answer."""

    def __init__(self, nodes, own_id):
        self._nodes = nodes
        self._own_id = own_id
        self._avoided = {}

    @property
    def member_by_id(self):
        return {
            name: node.member
            for name, node in self._nodes.items()
            if name != self._own_id
        }

    def candidates(self):
        now_s = asyncio.get_event_loop().time()
        return [
            member
            for name, member in self.member_by_id.items()
            if self._avoided.get(name, 0) <= now_s
        ]

    async def call(self, member, method, message, timeout_ms):
        node = self._nodes[member.node_id]
        await asyncio.sleep(CALL_S)
        if node.state == 'alive':
            return await node.leadership.show_term(message)
        if node.state == 'silent':
            await asyncio.sleep(timeout_ms / MS_PER_S)
        # As the node does: it is not called for 2 s.
        self._avoided[member.node_id] = asyncio.get_event_loop().time() + 2
        raise channels.PeerError('gone', is_sent=node.state == 'silent')


class Node:
    """A node's election and leadership over the common store."""

    def __init__(self, context, name, speed):
        loop = context.loop
        self.state = 'alive'
        clock = clock_mod.Clock(lambda: int(loop.time() * MS_PER_S))
        metrics = telemetry.Metrics()
        log = telemetry.Telemetry(clock, metrics)
        self.member = records.MemberRecord(
            name, name, PORT, 'd', f'{name}-1', speed
        )
        store = store_mod.Store(renewal_steps.waiting_transport(context.log))
        peers = Peers(context.nodes, name)
        self.election = election_mod.Election(
            store,
            clock,
            name,
            self.member.boot_id,
            0,
            lambda: self.leadership.on_change(),
            may_succeed_itself=lambda: candidacy.may_succeed_itself(
                speed, [m.speed for m in peers.member_by_id.values()]
            ),
        )
        self.reader = topic_reader_mod.TopicReader(
            store,
            clock,
            log,
            election_mod.TOPIC,
            0,
            self.election.apply_update,
            450,
        )
        settings = types.SimpleNamespace(speed=speed)
        node_context = context_mod.CellContext(
            clock,
            log,
            metrics,
            types.SimpleNamespace(settings=settings),
            store,
            peers,
            None,
            types.SimpleNamespace(wake=lambda: None),
            None,
            self.election,
        )
        self.leadership = leadership_mod.Leadership(
            node_context,
            self.reader,
            lambda error: None,
            leader_loss.LeaderLoss(),
            lambda: None,
            self.member.boot_id,
        )
        self.leadership.allow_claims()
        self.tasks = [
            loop.create_task(self.reader.run()),
            loop.create_task(self.leadership.keep_electing()),
        ]

    def stop(self, state):
        self.state = state
        self.leadership.end()
        for task in self.tasks:
            task.cancel()


def run(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


def add_node(context, name, speed):
    node = context.nodes[name] = Node(context, name, speed)
    return node


@given('a leader of {speed:g} cores, and records of "{others}" cores')
def make_leader(context, speed, others):
    context.stack.enter_context(
        mock.patch.object(leadership_mod.leader_mod, 'Leader', Term)
    )
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    context.log = keyed_log.KeyedLog()
    context.nodes = {}
    context.leader = add_node(context, 'small', speed)
    context.stack.callback(stop_all, context)
    run(context, 1)
    assert context.leader.leadership.leader is not None
    context.others = [
        add_node(context, f'n{number}', float(text))
        for number, text in enumerate(others.split())
    ]
    run(context, 0.5)
    context.gaps_s = []


def stop_all(context):
    for node in context.nodes.values():
        node.stop('gone')
    run(context, SAMPLE_S)


@when('the others are {gone}')
def others_gone(context, gone):
    state = 'silent' if gone == 'gone without a trace' else 'refusing'
    for node in context.others:
        node.stop(state)


@when('one of the others is gone without a trace')
def one_gone(context):
    context.others[0].stop('silent')


@when('the others answer, but never claim')
def never_claim(context):
    for node in context.others:
        node.tasks[1].cancel()


@when('the others lead after it, and are stopped 1 s later')
def lead_and_stop(context):
    """They release the leadership, as a process does on SIGTERM."""
    for _ in range(200):
        run(context, SAMPLE_S)
        if context.leader.leadership.leader is None:
            break
    run(context, 1)
    for node in context.others:
        context.loop.run_until_complete(node.leadership.hand_over())
        node.stop('refusing')
        del context.nodes[node.member.node_id]


@when('its nodes run for {seconds:d} s')
def watch(context, seconds):
    """Sample who leads, and how long nobody does."""
    gap_s = 0.0
    context.terms = 0
    led_before = True
    for _ in range(int(seconds / SAMPLE_S)):
        run(context, SAMPLE_S)
        leaders = [
            node
            for node in context.nodes.values()
            if node.state == 'alive' and node.leadership.leader is not None
        ]
        gap_s = 0.0 if leaders else gap_s + SAMPLE_S
        context.gaps_s.append(gap_s)
        leads = context.leader.leadership.leader is not None
        context.terms += led_before and not leads
        led_before = leads
    context.leaders = leaders


@then('it has led all the time')
def led_all_the_time(context):
    assert context.terms == 0, context.terms
    assert max(context.gaps_s) == 0, max(context.gaps_s)
    assert context.leaders == [context.leader]


@then('the faster node that is there leads')
def faster_leads(context):
    assert context.leaders == [context.others[1]], context.leaders


@then('there was no leader for {seconds:d} s at most')
def no_leader_for(context, seconds):
    assert max(context.gaps_s) <= seconds, max(context.gaps_s)


@then('it has handed over {times:d} times at most')
def handed_over(context, times):
    assert 0 < context.terms <= times, context.terms


@given('a node whose record is stored')
def stored_record(context):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    context.log = keyed_log.KeyedLog()
    context.store = store_mod.Store(
        renewal_steps.waiting_transport(context.log)
    )
    clock = clock_mod.Clock(lambda: int(context.loop.time() * MS_PER_S))
    context.telemetry = telemetry.Telemetry(clock, telemetry.Metrics())
    context.end_offset = advertise(context, 'n1', 'n1-1')


def advertise(context, name, boot_id):
    """Store a node's record; return the end of the topic."""
    member = records.MemberRecord(name, name, PORT, 'd', boot_id)
    context.membership = membership.Membership(
        context.store, member, context.telemetry
    )
    context.loop.run_until_complete(context.membership.advertise())
    newest = newest_members(context)
    return newest.end_offset


def newest_members(context):
    return context.loop.run_until_complete(
        context.store.newest('members', replica_mod.PART)
    )


def withdraw(context, own, end_offset):
    context.loop.run_until_complete(own.withdraw(end_offset))


@when('it drops its record as it stops')
def drop_record(context):
    withdraw(context, context.membership, context.end_offset)


@when('it drops its record as another node joins')
def drop_as_other_joins(context):
    own = context.membership
    advertise(context, 'n2', 'n2-1')
    withdraw(context, own, context.end_offset)


@when('it drops its record by a call carried out after its restart')
def drop_late(context):
    """Only the one call that was under way is carried out."""
    own = context.membership
    advertise(context, 'n1', 'n1-2')
    with mock.patch.object(membership, 'WITHDRAW_TRIES', 1):
        withdraw(context, own, context.end_offset)


def has_record(context):
    return 'n1' in {i.key for i in newest_members(context).items if i.value}


@then('the others have no record')
def no_record(context):
    assert not has_record(context)


@then('the others have a record')
def a_record(context):
    assert has_record(context)


@given('{count:d} nodes, of which the {gone:d} fastest are gone')
def nodes_gone(context, count, gone):
    context.members = [
        records.MemberRecord(
            f'n{n:02}', 'host', PORT, 'd', 'boot', 3.0 - n / 9
        )
        for n in range(count)
    ]
    context.gone_ids = {m.node_id for m in context.members[:gone]}
    context.successors = leader_loss.Successors()
    context.now_ms = 0


def send_heartbeats(context, seconds):
    """Choose successors as often as heartbeats are sent; they call back."""
    for _ in range(seconds * 10):
        context.now_ms += 100
        chosen = context.successors.choose(context.members, (), context.now_ms)
        for member in chosen:
            if member.node_id not in context.gone_ids:
                context.successors.record_watch(member.node_id, context.now_ms)
    context.chosen_ids = [member.node_id for member in chosen]


@when('a leader has sent heartbeats for {seconds:d} s')
def heartbeats_sent(context, seconds):
    send_heartbeats(context, seconds)


@then('the {count:d} fastest of the others are its successors')
def others_chosen(context, count):
    alive = [
        m.node_id for m in context.members if m.node_id not in context.gone_ids
    ]
    assert context.chosen_ids == alive[:count], context.chosen_ids


@when('the fastest nodes are back, and heartbeats go on for {seconds:d} s')
def fastest_back(context, seconds):
    context.gone_ids = set()
    send_heartbeats(context, seconds)


@then('the {count:d} fastest of all are its successors')
def all_chosen(context, count):
    fastest = [m.node_id for m in context.members[:count]]
    assert context.chosen_ids == fastest, context.chosen_ids

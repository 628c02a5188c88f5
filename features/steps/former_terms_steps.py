"""Steps on what a leader knows of the leaders before it."""

import asyncio
import math
import types

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import former_terms
from carawaymast_core.cell import records
from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import former_watch
from standins import virtual

MS_PER_S = 1_000
# An answer is delivered, and the next question is not asked yet.
ROUND_S = 0.01
MEMBERS = ('b', 'c')


class Nodes:
    """The other nodes; each that was set answers, or refuses connections."""

    def __init__(self):
        self.member_by_id = dict.fromkeys(MEMBERS, None)
        self.answer_by_id = {}
        for name in MEMBERS:
            self.member_by_id[name] = types.SimpleNamespace(node_id=name)

    def is_complete(self):
        return True

    async def call(self, member, method, message, timeout_ms):
        answer = self.answer_by_id.get(member.node_id)
        if answer is None:
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise channels.PeerError('no answer')
        if isinstance(answer, Exception):
            raise answer
        return answer


def append(context, node_id, epoch=None, is_released=False, boot=''):
    """Append a record; a claim without ``epoch``; return its epoch."""
    offset = context.end_offset
    context.end_offset += 1
    epoch = offset if epoch is None else epoch
    record = records.LeaderRecord(
        node_id, boot or f'{node_id}-1', epoch, is_released
    )
    context.records.append((record, epoch, offset))
    now_ms = int(context.loop.time() * MS_PER_S)
    context.terms.record(record, epoch, offset, now_ms)
    return epoch


def lead(context, node_id, seconds):
    epoch = append(context, node_id)
    for _ in range(seconds * MS_PER_S // former_terms.RENEWAL_INTERVAL_MS):
        pass_time(context, former_terms.RENEWAL_INTERVAL_MS / MS_PER_S)
        append(context, node_id, epoch)
    return epoch


def pass_time(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


def begin(context):
    context.loop = virtual.VirtualLoop()
    asyncio.set_event_loop(context.loop)
    context.stack.callback(context.loop.close)
    context.clock = clock_mod.Clock(lambda: int(context.loop.time() * 1_000))
    context.terms = former_terms.FormerTerms('a')
    context.nodes = Nodes()
    context.end_offset = 0
    context.records = []


def claim(context, boot=''):
    context.epoch = append(context, 'a', boot=boot)
    node_context = types.SimpleNamespace(
        clock=context.clock,
        peers=context.nodes,
        election=types.SimpleNamespace(former_terms=context.terms),
        log=types.SimpleNamespace(log_event=lambda *event, **fields: None),
    )
    watch = former_watch.watch_formers(
        node_context, context.epoch, lambda: None
    )
    task = context.loop.create_task(watch)
    context.stack.callback(stop, context, task)


def stop(context, task):
    task.cancel()
    pass_time(context, ROUND_S)


@given('node "{name}" has led for {seconds:d} s, and node "a" claims')
def led_before(context, name, seconds):
    begin(context)
    context.led_epoch = lead(context, name, seconds)
    claim(context)


@given('node "b" has led for {seconds:d} s, and released, and node "a" claims')
def released_before(context, seconds):
    begin(context)
    epoch = lead(context, 'b', seconds)
    append(context, 'b', epoch, is_released=True)
    claim(context)


@given(
    'node "b" has led for {first:d} s, and node "c" for {second:d} s, and '
    'node "a" claims'
)
def two_led_before(context, first, second):
    begin(context)
    lead(context, 'b', first)
    lead(context, 'c', second)
    claim(context)


@given('node "b" has led for {first:d} s, and node "a" for {second:d} s')
def own_led_before(context, first, second):
    begin(context)
    lead(context, 'b', first)
    lead(context, 'a', second)


@given('node "a" claims first')
def claim_first(context):
    begin(context)
    claim(context)


@when('node "a" restarts and claims')
def restart(context):
    """The new process reads only the newest record."""
    context.terms = former_terms.FormerTerms('a')
    context.terms.record(*context.records[-1], context.clock.now())
    claim(context, boot='a-2')


def answer(context, name, reply):
    context.nodes.answer_by_id[name] = reply
    # Until the next question has been asked and answered.
    pass_time(
        context,
        (former_watch.ASK_INTERVAL_MS + former_watch.ASK_TIMEOUT_MS) / MS_PER_S
        + ROUND_S,
    )


@when('nothing is heard of "b"')
@when('"b" does not answer')
def no_answer(context):
    pass_time(context, ROUND_S)


@when('"b" answers that it still leads')
def still_leads(context):
    reply = fabric_pb2.TermAnswer(
        boot_id='b-1', is_leading=True, epoch=context.led_epoch
    )
    answer(context, 'b', reply)


@when('"{name}" answers that it does not lead')
def leads_no_more(context, name):
    answer(context, name, fabric_pb2.TermAnswer(boot_id=f'{name}-1'))


@when('"b" answers that it leads a later term')
def leads_later(context):
    reply = fabric_pb2.TermAnswer(
        boot_id='b-1', is_leading=True, epoch=context.epoch + 1
    )
    answer(context, 'b', reply)


@when('a later process of "b" answers')
def other_process(context):
    reply = fabric_pb2.TermAnswer(
        boot_id='b-2', is_leading=True, epoch=context.led_epoch
    )
    answer(context, 'b', reply)


@when('the connection to "{name}" is refused')
def refused(context, name):
    answer(context, name, channels.PeerError('refused', is_sent=False))


@then('former leaders may renew leases for {seconds:d} s')
def may_renew(context, seconds):
    """Within a second, that the questions may have taken."""
    left_ms = context.terms.until_ms(context.epoch) - context.clock.now()
    left_s = max(0, left_ms) / MS_PER_S
    if seconds == 0:
        assert left_s == 0, left_s
    else:
        assert seconds - 1 <= left_s <= seconds, left_s


@then('there was no former leader')
def none_before(context):
    assert context.terms.until_ms(context.epoch) == -math.inf

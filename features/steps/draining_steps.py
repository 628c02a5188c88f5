"""Steps on a node that drains, over real connections on the loopback."""

import asyncio
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
from circuits.web import servers

from carawaymast_core import clock as clock_mod
from carawaymast_node import connection_limiter as connection_limiter_mod
from carawaymast_node import loop as loop_mod
from carawaymast_node.cells import draining
from carawaymast_node.cells import frontend as frontend_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import service

HOST = '127.0.0.1'
DRAIN_MS = 100
LATE_MS = 60
ENDING_MS = 60
REQUEST = b'GET /jobs/j1 HTTP/1.1\r\nHost: a\r\n\r\n'
BODY = 'as asked'


class Frontend(frontend_mod.Frontend):
    """A frontend that answers when it is told to."""

    def __init__(self, *args):
        super().__init__(*args)
        self.read_count = 0
        self.answer = asyncio.Event()

    async def _dispatch(self, method, request, until_ms):
        self.read_count += 1
        await self.answer.wait()
        return ports.CallerAnswer(200, BODY, 0)


class Node(service.CellNode):
    """A node that has only a frontend."""

    def __init__(self):
        settings = types.SimpleNamespace(node_id='n1', grace_ms=6_000)
        platform = types.SimpleNamespace(settings=settings)
        super().__init__(platform, clock_mod.monotonic())
        self.leadership = types.SimpleNamespace(hand_over=self._hand_over)

    async def _hand_over(self):
        pass

    async def leave(self):
        """It has no record."""

    def open(self):
        """Open the port for callers; return its address."""
        self.register(loop_mod.Root())
        loop_mod.AsyncioPoller().register(self)
        server = servers.BaseServer((HOST, 0), display_banner=False)
        server.register(self)
        limiter = connection_limiter_mod.ConnectionLimiter(
            self.clock, 10, 1_000, 1_000
        ).register(self)
        parts = types.SimpleNamespace(
            clock=self.clock,
            log=self.log,
            metrics=self.metrics,
            ingress=types.SimpleNamespace(deadline_header='Deadline'),
        )
        self.frontend = Frontend(limiter, parts).register(self)
        self.root.mark_started()
        self.root.dispatch_events()
        return server.host, server.port


async def read_all(reader):
    """Return what arrives until the connection ends; None if it does not."""
    try:
        async with asyncio.timeout(0.2):
            return await reader.read()
    except ConnectionError:
        return b''
    except TimeoutError:
        return None


async def play(context):
    """Drain a node; requests arrive as the context says."""
    node = Node()
    address = node.open()
    streams = [
        await asyncio.open_connection(*address) for _ in range(context.count)
    ]
    await asyncio.sleep(0.01)
    frontend = node.frontend
    drain = asyncio.create_task(draining.drain(node))
    await asyncio.sleep(0.01)
    streams[0][1].write(REQUEST)
    answer_ms = DRAIN_MS + LATE_MS
    asyncio.get_running_loop().call_later(
        answer_ms / 1000, frontend.answer.set
    )
    await drain
    context.read_before = frontend.read_count
    context.is_refused = False
    if context.is_sent_after:
        streams[1][1].write(REQUEST)
        try:
            streams.append(await asyncio.open_connection(*address))
            streams[-1][1].write(REQUEST)
        except ConnectionRefusedError:
            context.is_refused = True
    await asyncio.sleep(ENDING_MS / 1000)
    context.read_after = frontend.read_count - context.read_before
    node.root.dispatch_events()
    context.answers = [await read_all(reader) for reader, _ in streams]


@given('a node that drains, with {count:d} connections of callers')
def note_count(context, count):
    context.count = count
    context.is_sent_after = False


@when('a request arrives in the drain and is answered late')
def answer_late(context):
    context.poll_ms = draining.POLL_INTERVAL_MS


@when('a request arrives in the drain and is answered at its end')
def answer_at_end(context):
    # The drain looks in each iteration of the loop, also in the one after the
    # answer is ready.
    context.poll_ms = 0


@when('requests come after it on an open connection and on a new one')
def send_after(context):
    context.is_sent_after = True


@when('the drain ends')
def end_drain(context):
    with mock.patch.multiple(
        draining, SERVE_MS=DRAIN_MS, POLL_INTERVAL_MS=context.poll_ms
    ):
        asyncio.run(play(context))


@then('the first request is answered')
def first_answered(context):
    assert context.read_before == 1, context.read_before
    assert context.answers[0].endswith(BODY.encode() + b'"'), context.answers


@then('the others are not read, and their connections end')
def others_unread(context):
    assert context.read_after == 0, context.read_after
    assert context.answers[1:] == [b'', b''], context.answers
    assert context.is_refused

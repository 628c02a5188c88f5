"""Steps on calls to a peer, over real connections on the loopback."""

import asyncio
import contextlib
import socket
import struct

from behave import given
from behave import then
from behave import when
from grpclib import server as grpc_server

from carawaymast_node import channels
from carawaymast_node import fabric_grpc
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import fabric

HOST = '127.0.0.1'
PEER = 'n1'
UNANSWERED = 'unanswered'
ANSWERS = 'answers only some calls'
TIMEOUT_MS = 300
# Time for the peer to see that its connections are closed.
CLOSING_S = 0.02
# Closing a socket with this option resets its connection.
NO_LINGER = struct.pack('ii', 1, 0)
# An empty SETTINGS frame of HTTP/2, and a GOAWAY frame without an error.
SETTINGS = bytes.fromhex('000000040000000000')
GOAWAY = bytes.fromhex('0000080700000000000000000000000000')


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    sock.close()


async def keep_silent(reader, writer):
    with contextlib.suppress(ConnectionError):
        await reader.read()
    writer.close()


async def close(reader, writer):
    writer.close()


async def reset_on_call(reader, writer):
    await reader.read(1)
    writer.transport.abort()


async def go_away(reader, writer):
    writer.write(SETTINGS + GOAWAY)
    await keep_silent(reader, writer)


async def answer_otherwise(reader, writer):
    writer.write(b'HTTP/1.1 400 Bad Request\r\n\r\n')
    await keep_silent(reader, writer)


CONDUCT = {
    'never answers': keep_silent,
    'closes each connection': close,
    'resets each connection on a call': reset_on_call,
    'ends each connection with a GOAWAY': go_away,
    'answers with something else': answer_otherwise,
}


class Play:
    """Calls of a node to a peer, whose conduct is given by its name."""

    def __init__(self):
        self.events = []
        self.channels = channels.PeerChannels(
            fabric_grpc.FabricStub,
            lambda event_type, **fields: self.events.append(
                (event_type, fields)
            ),
        )
        self.results = []

    async def call(
        self, address, method='ShowJob', job_id='j1', timeout_ms=TIMEOUT_MS
    ):
        """Call the peer; note its answer or the error."""
        message = fabric_pb2.ShowCall(job_id=job_id)
        try:
            result = await self.channels.call(
                PEER, address, method, message, timeout_ms
            )
        except Exception as error:
            result = error
        self.results.append(result)


async def answer_show(message):
    if message.job_id == UNANSWERED:
        await asyncio.Event().wait()
    return fabric_pb2.ShowAnswer(is_leader=True, phase='running')


async def fail_show(message):
    channels.abort('not now')


@contextlib.asynccontextmanager
async def serve(conduct):
    """Run a peer; return its address."""
    if conduct == 'is not there':
        with socket.create_server((HOST, 0)) as unused:
            address = unused.getsockname()
        yield address
        return
    handler = CONDUCT.get(conduct)
    if handler is not None:
        peer = await asyncio.start_server(handler, HOST, 0)
        yield peer.sockets[0].getsockname()
        peer.close()
        return
    show = answer_show if conduct.startswith('answers only') else fail_show
    service = fabric.FabricService({'ShowJob': show})
    peer = grpc_server.Server([service])
    with socket.create_server((HOST, 0)) as listener:
        await peer.start(sock=listener)
        yield listener.getsockname()
        peer.close()
        await peer.wait_closed()


async def call_resetting(play):
    """Call a peer that resets the connection before it can be used."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect
    with socket.create_server((HOST, 0)) as listener:

        async def connect_and_reset(sock, address):
            await connect(sock, address)
            reset(listener.accept()[0])

        loop.sock_connect = connect_and_reset
        await play.call(listener.getsockname())
    loop.sock_connect = connect


@given('a peer on the loopback that {does}')
def note_conduct(context, does):
    context.conduct = does
    context.play = None


def play_calls(context, method='ShowJob', is_repeated=False):
    async def play_all():
        play = context.play = Play()
        async with play.channels:
            if context.conduct == 'resets each connection as it is opened':
                await call_resetting(play)
            else:
                async with serve(context.conduct) as address:
                    await play.call(address, method)
            if is_repeated:
                async with serve(ANSWERS) as address:
                    await play.call(address)
        await asyncio.sleep(CLOSING_S)

    asyncio.run(play_all())


@when('another node calls it')
def call_peer(context):
    play_calls(context)


def play_limited(context, limit_ms, is_waiting):
    async def call_and_wait():
        play = context.play
        async with (
            play.channels,
            serve(context.conduct) as address,
        ):
            try:
                async with asyncio.timeout(limit_ms / 1000):
                    await play.call(address)
                    if is_waiting:
                        await asyncio.Event().wait()
            except (TimeoutError, asyncio.CancelledError) as error:
                context.error = error
            context.tasks = {
                task.get_coro().__qualname__
                for task in asyncio.all_tasks() - {asyncio.current_task()}
            }
        await asyncio.sleep(CLOSING_S)

    context.play = Play()
    asyncio.run(call_and_wait())


@when(
    'another node calls it, and then waits within a limit of {limit_ms:d} ms'
)
def call_and_wait(context, limit_ms):
    play_limited(context, limit_ms, is_waiting=True)
    (error,) = context.play.results
    assert isinstance(error, channels.PeerError), repr(error)


@when('another node calls it with a limit of {limit_ms:d} ms')
def call_limited(context, limit_ms):
    play_limited(context, limit_ms, is_waiting=False)


@then('the wait ends with a TimeoutError')
def is_timeout(context):
    assert isinstance(context.error, TimeoutError), repr(context.error)


@then('no call is under way')
def no_call(context):
    assert context.tasks == {'keep_silent'}, context.tasks


@when('two calls are not answered, and another follows after the first')
def call_after_first(context):
    async def call_all():
        play = context.play
        async with play.channels, serve(context.conduct) as address:
            second = asyncio.create_task(play.call(address, job_id=UNANSWERED))
            await play.call(address, job_id=UNANSWERED, timeout_ms=100)
            await play.call(address)
            await second
            context.has_connection = PEER in play.channels._channel_by_id

    context.play = Play()
    asyncio.run(call_all())


@then('that call is answered, and its connection stays open')
def stays_open(context):
    kinds = sorted(type(each).__name__ for each in context.play.results)
    assert kinds == ['PeerError', 'PeerError', 'ShowAnswer'], kinds
    assert context.has_connection


@when('another node calls a method that does not exist')
def call_unknown(context):
    play_calls(context, 'NoSuchMethod')


@when('the peer answers, and the node calls it again')
def call_again(context):
    play_calls(context, is_repeated=True)


@then('the call fails as not sent')
def fails_unsent(context):
    (error,) = context.play.results
    assert isinstance(error, channels.PeerError), repr(error)
    assert not error.is_sent, repr(error)


@then('the call fails as not answered')
def fails_unanswered(context):
    (error,) = context.play.results
    assert isinstance(error, channels.PeerError), repr(error)
    assert error.is_sent, repr(error)


@then('the call fails as not answered, and the log names the connection')
def fails_and_is_logged(context):
    fails_unanswered(context)
    ((event_type, fields),) = context.play.events
    assert event_type == 'peer_connection_lost', event_type
    assert fields['peer'] == PEER, fields
    assert '_transport' in fields['error'], fields


@then('the call fails with an AttributeError')
def fails_as_fault(context):
    (error,) = context.play.results
    assert isinstance(error, AttributeError), repr(error)
    assert not context.play.events, context.play.events


@then('the call is answered')
def is_answered(context):
    answer = context.play.results[-1]
    assert isinstance(answer, fabric_pb2.ShowAnswer), repr(answer)

"""gRPC calls between nodes: one channel to each peer, one dispatcher.

``PeerChannels`` replaces a channel after a failed call, since a connection
may stay unresponsive while a new one works. ``MethodDispatcher`` passes each
incoming call to the function registered for its method, so that the roles do
not depend on grpclib.
"""

import asyncio
import typing

from grpclib import client
from grpclib import const
from grpclib import exceptions
from grpclib import server
from h2 import exceptions as h2_exceptions

__all__ = ['Handler', 'MethodDispatcher', 'PeerChannels', 'PeerError', 'abort']

Handler = typing.Callable[[typing.Any], typing.Awaitable[typing.Any]]
LogEvent = typing.Callable[..., None]

# What grpclib raises for a call that fails.
CALL_ERRORS = (
    OSError,
    asyncio.TimeoutError,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
)
# What comes out of grpclib if it goes on to use a connection that was lost
# while it was opened, or while the call waited to be sent: it has deleted
# attributes of the connection, or h2 refuses the next frame.
LOST_CONNECTION_ERRORS = (AttributeError, h2_exceptions.H2Error)


class PeerError(Exception):
    """A call to a peer failed.

    If ``is_sent`` is false, the call has had no effect.
    """

    def __init__(self, detail: str, is_sent: bool = True):
        super().__init__(detail)
        self.is_sent = is_sent


class PeerChannels:
    """The channels to all peers, as an asynchronous context manager."""

    def __init__(
        self,
        stub_type: typing.Callable[[client.Channel], object],
        log_event: LogEvent,
    ):
        self._stub_type = stub_type
        self._log_event = log_event
        self._channel_by_id: dict[str, client.Channel] = {}
        self.replaced_total = 0

    async def __aenter__(self) -> 'PeerChannels':
        return self

    async def __aexit__(self, *exc_info) -> None:
        for node_id in list(self._channel_by_id):
            self.close(node_id)

    def close(self, node_id: str) -> None:
        """Close the channel to a peer, if there is one."""
        channel = self._channel_by_id.pop(node_id, None)
        if channel is not None:
            channel.close()

    async def call(
        self,
        node_id: str,
        address: tuple[str, int],
        method: str,
        message: typing.Any,
        timeout_ms: float,
    ) -> typing.Any:
        """Call ``method`` of a peer and return its reply.

        Raises ``PeerError`` if no reply arrives within ``timeout_ms``; the
        channel is then closed, and the next call opens a new one.
        """
        channel = self._channel_by_id.get(node_id)
        if channel is None:
            channel = client.Channel(*address)
            self._channel_by_id[node_id] = channel
        call = getattr(self._stub_type(channel), method)
        # Only the library's code runs in here. grpclib ends a call by a
        # cancellation of its task, which stays counted there, so that an
        # ``asyncio.timeout`` around it would not raise ``TimeoutError``.
        task = asyncio.ensure_future(call(message, timeout=timeout_ms / 1000))
        try:
            return await task
        except CALL_ERRORS as error:
            failure: Exception = error
        except LOST_CONNECTION_ERRORS as error:
            failure = error
            self._log_event(
                'peer_connection_lost',
                peer=node_id,
                method=method,
                error=repr(error),
            )
        if self._channel_by_id.get(node_id) is channel:
            # Otherwise it is closed, and there may be a new one.
            self.close(node_id)
            self.replaced_total += 1
        # A refused connection was never open, so nothing was sent.
        is_sent = not isinstance(failure, ConnectionRefusedError)
        raise PeerError(f'{method} to {node_id}: {failure!r}', is_sent)


def abort(detail: str) -> typing.NoReturn:
    """End a call from a peer with an error, which raises ``PeerError`` there.

    For a call of which this node cannot tell whether it took effect.
    """
    raise exceptions.GRPCError(const.Status.ABORTED, detail)


class MethodDispatcher:
    """Answers each method of a grpclib service by its registered handler."""

    def __init__(self, handler_by_method: dict[str, Handler] | None = None):
        self.handler_by_method = handler_by_method or {}

    async def _dispatch(self, method: str, stream: server.Stream) -> None:
        message = await stream.recv_message()
        reply = await self.handler_by_method[method](message)
        await stream.send_message(reply)

"""Limits on the connections of callers, checked before circuits.web parses.

The limiter bounds the number of connections, the size of header section and
body, and the time that a request may take to arrive. It does not support
pipelining: bytes that arrive while a request is in flight are dropped, and
the connection is closed after the response, so that a response is never taken
for that of another request.
"""

import io
import typing

import circuits
from circuits.net import events as net_events
from circuits.web import wrappers

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_node import messages

__all__ = ['ConnectionLimiter', 'ConnectionCounters']

MAX_HEAD_BYTES = 16_384
IDLE_TIMEOUT_MS = 120_000
HEAD_END = b'\r\n\r\n'
CHANNEL = 'web'

STATUS_LINES = {
    400: 'Bad Request',
    408: 'Request Timeout',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    503: 'Service Unavailable',
}


class ConnectionCounters(typing.TypedDict):
    """Counters of the limiter since the node started."""

    accepted: int
    over_limit: int
    timed_out: int
    head_too_large: int
    body_too_large: int
    bad_head: int
    pipelined: int


class _Connection:
    """State of the request that a connection receives or has in flight.

    ``changed_at_ms`` is when the connection was opened, its request began to
    arrive, or its last response was ready, whichever was last.
    """

    def __init__(self, now_ms: int):
        self.changed_at_ms = now_ms
        self.head = b''
        self.head_length = 0
        self.received = 0
        self.is_in_flight = False
        self.must_close = False

    def reset(self, now_ms: int) -> None:
        """Prepare for the next request."""
        self.changed_at_ms = now_ms
        self.head = b''
        self.head_length = 0
        self.received = 0
        self.is_in_flight = False


class ConnectionLimiter(circuits.BaseComponent):
    """Enforces the limits on connections and requests of callers."""

    channel = CHANNEL

    def __init__(
        self,
        clock: clock_mod.Clock,
        max_connections: int,
        max_body_bytes: int,
        timeout_ms: int,
    ):
        super().__init__()
        self._clock = clock
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._timeout_ms = timeout_ms
        self._by_sock: dict[typing.Any, _Connection] = {}
        self.counters: ConnectionCounters = {
            'accepted': 0,
            'over_limit': 0,
            'timed_out': 0,
            'head_too_large': 0,
            'body_too_large': 0,
            'bad_head': 0,
            'pipelined': 0,
        }

    @property
    def open_total(self) -> int:
        """The number of open connections."""
        return len(self._by_sock)

    def is_open(self, sock) -> bool:
        """Return whether a response can still be sent on a connection."""
        return sock in self._by_sock

    def sweep(self) -> None:
        """Close connections that are idle or send a request too slowly."""
        now_ms = self._clock.now()
        for sock, connection in list(self._by_sock.items()):
            if connection.is_in_flight:
                continue
            idle_ms = now_ms - connection.changed_at_ms
            if connection.received and idle_ms > self._timeout_ms:
                self.counters['timed_out'] += 1
                self._reject(sock, 408, 'the request did not arrive in time')
            elif idle_ms > IDLE_TIMEOUT_MS:
                self.fire(net_events.close(sock))

    @circuits.handler('connect', priority=100)
    def _on_connect(self, event, sock, *address) -> None:
        """Accept a connection, or reject it over the limit."""
        self._by_sock[sock] = _Connection(self._clock.now())
        self.counters['accepted'] += 1
        if len(self._by_sock) > self._max_connections:
            self.counters['over_limit'] += 1
            self._reject(sock, 503, 'too many connections')

    @circuits.handler('disconnect', priority=100)
    def _on_disconnect(self, sock) -> None:
        """Drop the state of a closed connection."""
        self._by_sock.pop(sock, None)

    @circuits.handler('read', priority=100)
    def _on_read(self, event, sock, data) -> None:
        """Pass data on to the parser unless it exceeds a limit."""
        connection = self._by_sock.get(sock)
        if connection is None:
            event.stop()
            return
        if connection.is_in_flight:
            self.counters['pipelined'] += 1
            connection.must_close = True
            event.stop()
            return
        if not connection.received:
            connection.changed_at_ms = self._clock.now()
        connection.received += len(data)
        if not connection.head_length:
            self._read_head(event, sock, connection, data)
        elif connection.received > self._max_length(connection):
            self._reject_body(event, sock)

    @circuits.handler('request', priority=100)
    def _on_request(self, request, response) -> None:
        """Mark a request that has arrived whole as in flight."""
        connection = self._by_sock.get(request.sock)
        if connection is None:
            return
        connection.is_in_flight = True
        length = request.headers.get('Content-Length')
        if length is not None:
            expected = connection.head_length + int(length)
            if connection.received > expected:
                # The parser counts the bytes of a next request as body.
                self.counters['pipelined'] += 1
                connection.must_close = True
                body = request.body.getvalue()[: int(length)]
                request.body = io.BytesIO(body)

    @circuits.handler('response', priority=100)
    def _on_response(self, response) -> None:
        """Prepare the connection for the next request, or close it."""
        connection = self._by_sock.get(response.request.sock)
        if connection is None:
            return
        if connection.must_close:
            response.close = True
        connection.reset(self._clock.now())

    @circuits.handler('httperror', priority=100)
    def _on_httperror(self, event, request, response, code, **details):
        """Send an error of the parser as a JSON error body."""
        event.stop()
        detail = str(details.get('description') or event.description or '')
        error = errors.SchedulerError(errors.ErrorKind.BAD_REQUEST, detail)
        response.status = code if code in STATUS_LINES else 400
        response.headers['Content-Type'] = 'application/json'
        response.body = messages.encode(errors.error_body(error, ''))
        response.close = True
        self.fire(circuits.web.events.response(response))

    def _max_length(self, connection: _Connection) -> int:
        return connection.head_length + self._max_body_bytes

    def _read_head(self, event, sock, connection, data) -> None:
        connection.head += data
        end = connection.head.find(HEAD_END)
        if end < 0 and len(connection.head) <= MAX_HEAD_BYTES:
            return
        if end < 0 or end > MAX_HEAD_BYTES:
            self.counters['head_too_large'] += 1
            event.stop()
            self._reject(
                sock, 431, f'header section is over {MAX_HEAD_BYTES} bytes'
            )
            return
        connection.head_length = end + len(HEAD_END)
        detail = _content_length_error(connection.head[:end])
        connection.head = b''
        if detail:
            self.counters['bad_head'] += 1
            event.stop()
            self._reject(sock, 400, detail)
        elif connection.received > self._max_length(connection):
            self._reject_body(event, sock)

    def _reject_body(self, event, sock) -> None:
        self.counters['body_too_large'] += 1
        event.stop()
        self._reject(
            sock,
            413,
            f'body is over {self._max_body_bytes} bytes',
            errors.ErrorKind.BODY_TOO_LARGE,
        )

    def _reject(
        self,
        sock,
        status: int,
        detail: str,
        kind: errors.ErrorKind = errors.ErrorKind.BAD_REQUEST,
    ) -> None:
        error = errors.SchedulerError(kind, detail)
        body = messages.encode(errors.error_body(error, ''))
        head = (
            f'HTTP/1.1 {status} {STATUS_LINES[status]}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        # Data that arrives before the connection is closed is dropped.
        self._by_sock[sock].is_in_flight = True
        self.fire(net_events.write(sock, head.encode() + body))
        self.fire(net_events.close(sock))


def _content_length_error(head: bytes) -> str:
    """Return the error in the Content-Length of a header section, or ''."""
    lengths = [
        line.partition(b':')[2].strip()
        for line in head.split(b'\r\n')
        if line.lower().startswith(b'content-length')
    ]
    if len(lengths) > 1:
        return 'Content-Length is given more than once'
    if lengths and not lengths[0].isdigit():
        return (
            f'Content-Length is {lengths[0].decode("latin-1")!r}, '
            'allowed: digits'
        )
    return ''


def json_response(response: wrappers.Response, status: int, body) -> None:
    """Set the status and the JSON body of a response."""
    response.status = status
    response.headers['Content-Type'] = 'application/json'
    response.body = messages.encode(body)

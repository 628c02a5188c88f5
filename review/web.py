"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
import typing
import urllib.parse

__all__ = ['Handler', 'Reply', 'Request', 'call', 'json_reply', 'serve']

HOST = '127.0.0.1'


class Request(typing.NamedTuple):
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded body."""
        return json.loads(self.body or b'{}')


class Reply(typing.NamedTuple):
    """A response; the client's side has its headers too."""

    status: int
    body: bytes = b''
    headers: typing.Mapping[str, str] = {}


# Returns None to reset the connection without an answer.
Handler = typing.Callable[[Request], typing.Awaitable[Reply | None]]


def json_reply(status: int, body: typing.Any) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, json.dumps(body).encode())


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen on a port; port 0 is any free one."""

    async def on_connection(reader, writer) -> None:
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    break
                reply = await handler(request)
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(_encode_reply(reply))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port)


async def _read_head(reader) -> tuple[str, dict[str, str]] | None:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader) -> Request | None:
    try:
        first, headers = await _read_head(reader)
    except asyncio.IncompleteReadError:
        return None
    method, target, _ = first.split(' ', 2)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    path, _, query = target.partition('?')
    fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return Request(method, path, fields, headers, body)


def _encode_reply(reply: Reply) -> bytes:
    head = (
        f'HTTP/1.1 {reply.status} -\r\n'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(reply.body)}\r\n\r\n'
    )
    return head.encode() + reply.body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    host: str,
    body: bytes = b'',
    timeout_s: float = 3.0,
) -> Reply:
    """Make a call on a new connection; status 0 stands for no answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, host, body, timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return Reply(0)


async def _call(address, method, path, host, body, timeout_s) -> Reply:
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {host}\r\n'
            f'Deadline-Ms: {int(timeout_s * 1000)}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        first, headers = await _read_head(reader)
        length = int(headers.get('content-length', '0'))
        raw = await reader.readexactly(length)
        return Reply(int(first.split(' ')[1]), raw, headers)
    finally:
        writer.close()

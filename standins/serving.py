"""Serve the handlers of a stand-in process over HTTP.

A handler is a function or coroutine function that takes a decoded body (of a
GET, the query) and returns a body, or a status and a body. So tests can also
call it without HTTP.
"""

import asyncio
import inspect
import signal
import typing

from aiohttp import web
import msgspec

__all__ = ['Answer', 'Handlers', 'serve']

# Status and body.
Answer = tuple[int, typing.Any]
# By method and path.
Handlers = typing.Mapping[tuple[str, str], typing.Callable[..., typing.Any]]


def route(method: str, path: str, handler) -> web.RouteDef:
    """Return the HTTP route to a handler; bodies are JSON."""

    async def handle(request: web.Request) -> web.Response:
        body = dict(request.query)
        if method == 'POST':
            body = msgspec.json.decode(await request.read())
        answer = handler(body)
        if inspect.isawaitable(answer):
            answer = await answer
        status, answer = answer if isinstance(answer, tuple) else (200, answer)
        return web.Response(
            body=msgspec.json.encode(answer),
            status=status,
            content_type='application/json',
        )

    return web.route(method, path, handle)


async def serve(handlers: Handlers, host: str, port: int) -> None:
    """Serve ``handlers`` until SIGTERM or SIGINT."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(
        route(method, path, handler)
        for (method, path), handler in handlers.items()
    )
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()

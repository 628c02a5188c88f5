"""What the stand-in processes share: routes, start and stop."""

import asyncio
import signal

from aiohttp import web
import msgspec

__all__ = ['answer', 'body_of', 'serve']


async def body_of(request: web.Request):
    """Return the decoded JSON body of a request."""
    return msgspec.json.decode(await request.read())


def answer(body, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )


async def serve(routes, host: str, port: int) -> None:
    """Serve ``routes`` until SIGTERM or SIGINT."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(routes)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await runner.cleanup()

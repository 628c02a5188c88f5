"""The baseline of ``bench.path``: a handler that answers at once."""

import asyncio
import signal
import sys

import circuits
from circuits.web import events
from circuits.web import servers

from carawaymast_node import loop as loop_mod

__all__ = ['main']


class Handler(circuits.BaseComponent):
    """Answers each request with a small body."""

    channel = 'web'

    @circuits.handler('request', priority=1)
    def _on_request(self, event, request, response):
        event.stop()
        event.success = False
        response.body = b'{}'
        self.fire(events.response(response))


async def main(port: int) -> None:
    """Serve until SIGTERM."""
    root = loop_mod.Root()
    loop_mod.AsyncioPoller().register(root)
    servers.BaseServer(('127.0.0.1', port), display_banner=False).register(
        root
    )
    Handler().register(root)
    root.mark_started()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1])))

"""A TCP relay that can lose the state of its connections.

It forwards bytes between its port and a target. On SIGUSR1 it stops
forwarding on all open connections for good: bytes are discarded in both
directions and no connection is closed. New connections work::

    python -m standins.relay PORT TARGET_PORT
"""

import asyncio
import signal
import sys

__all__ = ['Relay']

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections until they are silenced."""

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._silent_events: list[asyncio.Event] = []

    def silence(self) -> None:
        """Discard all further bytes on the connections that are open now."""
        for is_silent in self._silent_events:
            is_silent.set()
        self._silent_events.clear()

    async def serve(self, reader, writer) -> None:
        """Forward one connection."""
        is_silent = asyncio.Event()
        self._silent_events.append(is_silent)
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        await asyncio.gather(
            _forward(reader, target_writer, is_silent),
            _forward(target_reader, writer, is_silent),
        )


async def _forward(reader, writer, is_silent) -> None:
    try:
        while data := await reader.read(CHUNK_BYTES):
            if is_silent.is_set():
                continue
            writer.write(data)
            await writer.drain()
        if not is_silent.is_set():
            writer.close()
    except OSError:
        writer.close()


async def main(port: int, target_port: int) -> None:
    """Relay a port until the process is ended."""
    relay = Relay(target_port)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, relay.silence)
    server = await asyncio.start_server(relay.serve, '127.0.0.1', port)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))

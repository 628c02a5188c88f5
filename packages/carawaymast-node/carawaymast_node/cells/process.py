"""Runs a node as a process: signals and faults that nothing handled."""

import asyncio
import contextlib
import os
import signal
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_node import loop as loop_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import service

__all__ = ['serve']


async def serve(
    connect: typing.Callable[
        [], contextlib.AbstractAsyncContextManager[ports.Platform]
    ],
) -> None:
    """Run a node on a platform until SIGTERM or SIGINT."""
    root = loop_mod.Root()
    loop = asyncio.get_running_loop()
    async with connect() as platform:
        node = service.CellNode(platform, clock_mod.monotonic())
        async with node:
            node.register(root)
            root.begin()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, node.request_stop)
            loop.add_signal_handler(signal.SIGUSR1, node.write_state)
            loop.add_signal_handler(
                signal.SIGHUP,
                lambda: node.log.note('reload_asked', pid=os.getpid()),
            )
            loop.set_exception_handler(
                lambda loop, context: _on_fault(node, context)
            )
            await node.serve()


def _on_fault(node: service.CellNode, context: dict) -> None:
    """Log a fault that nothing handled, and stop.

    Without an exception it is a warning, say of a channel closed late.
    """
    error = context.get('exception')
    node.log.note('fault', message=context['message'], error=repr(error))
    if error is not None:
        node.fail(error)

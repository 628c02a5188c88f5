"""Runs a node as a process, with handlers of signals and of faults."""

import asyncio
import contextlib
import os
import signal
import types
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_node import lifecycle
from carawaymast_node.cells import ports
from carawaymast_node.cells import service

__all__ = ['serve', 'start']


def start(adapter: types.ModuleType) -> None:
    """Run a node on an adapter's platform until SIGTERM or SIGINT.

    Raises ``SettingError`` if a setting is wrong or missing.
    """
    asyncio.run(serve(adapter.connect))


async def serve(
    connect: typing.Callable[
        [], contextlib.AbstractAsyncContextManager[ports.Platform]
    ],
) -> None:
    """Run a node on a platform until SIGTERM or SIGINT."""
    async with connect() as platform:
        node = service.CellNode(platform, clock_mod.monotonic())
        async with node:
            await lifecycle.run(
                node,
                {
                    signal.SIGUSR1: node.log_state,
                    signal.SIGHUP: lambda: node.log.log_event(
                        'reload_asked', pid=os.getpid()
                    ),
                },
                lambda context: _on_fault(node, context),
            )


def _on_fault(node: service.CellNode, context: dict) -> None:
    """Log an unhandled fault and stop the node.

    Without an exception the fault is only a warning, for example of a channel
    that was closed late.
    """
    error = context.get('exception')
    node.log.log_event('fault', message=context['message'], error=repr(error))
    if error is not None:
        node.fail(error)

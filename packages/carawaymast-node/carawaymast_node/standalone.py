"""Run a node over the project's own interfaces, configured by flags."""

import asyncio
import json
import signal
import sys
import typing

from carawaymast_core import errors
from carawaymast_node import dump
from carawaymast_node import lifecycle
from carawaymast_node import logs
from carawaymast_node import node as node_mod
from carawaymast_node import settings as settings_mod

__all__ = ['serve', 'start']


def start(arguments: typing.Sequence[str]) -> None:
    """Run a node until SIGTERM or SIGINT.

    Raises ``SettingError``.
    """
    settings = settings_mod.load(arguments)
    logs.open_log(settings.log_file)
    asyncio.run(serve(settings))


async def serve(settings: settings_mod.Settings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    async with node_mod.Node(settings) as node:
        logs.log_event('started', node=settings.node_id)
        await lifecycle.run(
            node,
            {signal.SIGUSR1: lambda: _write_dump(node)},
            lambda context: _on_fault(node, context),
        )


def _on_fault(node: node_mod.Node, context: dict) -> None:
    """Log an unhandled exception; stop if it is an ``InvariantError``."""
    error = context.get('exception')
    logs.log_event('fault', message=context['message'], error=repr(error))
    if isinstance(error, errors.InvariantError):
        node.fail(error)


def _write_dump(node: node_mod.Node) -> None:
    print(json.dumps(dump.state(node)), file=sys.stderr, flush=True)

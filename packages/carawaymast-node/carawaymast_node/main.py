"""carawaymastd: start a node from flags and environment variables."""

import asyncio
import importlib
import json
import signal
import sys

from carawaymast_core import errors
from carawaymast_node import dump
from carawaymast_node import lifecycle
from carawaymast_node import logs
from carawaymast_node import node as node_mod
from carawaymast_node import settings as settings_mod
from carawaymast_node.cells import process

__all__ = ['run']

EXIT_USAGE = 2
ADAPTER_FLAG = '--adapter='


async def serve(settings: settings_mod.Settings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    async with node_mod.Node(settings) as node:
        logs.changed('started', node=settings.node_id)
        await lifecycle.run(
            node,
            {signal.SIGUSR1: lambda: _write_dump(node)},
            lambda context: _on_fault(node, context),
        )


def _on_fault(node: node_mod.Node, context: dict) -> None:
    """Log a fault that nothing handled; stop if it broke an invariant."""
    error = context.get('exception')
    logs.changed('fault', message=context['message'], error=repr(error))
    if isinstance(error, errors.InvariantError):
        node.fail(error)


def _write_dump(node: node_mod.Node) -> None:
    print(json.dumps(dump.state(node)), file=sys.stderr, flush=True)


def run() -> None:
    """Check the settings and run; the entry point of ``carawaymastd``.

    With ``--adapter=PACKAGE`` the node serves cells on the platform that the
    package connects to, which also reads the settings.
    """
    if len(sys.argv) == 2 and sys.argv[1].startswith(ADAPTER_FLAG):
        _run_on_platform(sys.argv[1].removeprefix(ADAPTER_FLAG))
        return
    try:
        settings = settings_mod.load(sys.argv)
    except settings_mod.SettingError as error:
        print(f'carawaymastd: {error}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    logs.open_log(settings.log_file)
    asyncio.run(serve(settings))


def _run_on_platform(package: str) -> None:
    adapter = importlib.import_module(package)
    try:
        asyncio.run(process.serve(adapter.connect))
    except settings_mod.SettingError as error:
        print(f'carawaymastd: {error}', file=sys.stderr)
        sys.exit(EXIT_USAGE)

"""carawaymastd: start a node from flags and environment variables."""

import asyncio
import importlib
import json
import signal
import sys

from carawaymast_core import errors
from carawaymast_node import dump
from carawaymast_node import logs
from carawaymast_node import loop as loop_mod
from carawaymast_node import node as node_mod
from carawaymast_node import settings as settings_mod
from carawaymast_node.cells import process

__all__ = ['run']

EXIT_USAGE = 2
ADAPTER_FLAG = '--adapter='


async def serve(settings: settings_mod.Settings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    root = loop_mod.Root()
    loop = asyncio.get_running_loop()
    async with node_mod.Node(settings) as node:
        node.register(root)
        root.begin()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, node.request_stop)
        loop.add_signal_handler(signal.SIGUSR1, _write_dump, node)
        loop.set_exception_handler(
            lambda loop, context: _on_fault(node, context)
        )
        logs.changed('started', node=settings.node_id)
        await node.serve()


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

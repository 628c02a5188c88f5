"""Entry point of carawaymastd."""

import gc
import importlib
import signal
import sys

from carawaymast_node import settings

__all__ = ['run']

EXIT_USAGE = 2

ADAPTER_FLAG = '--adapter='


def run() -> None:
    """Start the node that the command line selects.

    An invalid setting ends the process with status 2 and a message that
    names it.

    With ``--adapter=PACKAGE`` the node serves cells on the platform that the
    package connects to; the package then reads the settings. Each kind of
    node imports only the modules that it needs, since 100 processes may start
    at the same time.
    """
    # Imported objects live as long as the process, so collecting is useless.
    gc.disable()
    if len(sys.argv) == 2 and sys.argv[1].startswith(ADAPTER_FLAG):
        # Until the node has its own handler: SIGHUP would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        package = sys.argv[1].removeprefix(ADAPTER_FLAG)
        kind = importlib.import_module('carawaymast_node.cells.process')
        start = kind.start
        arguments = [importlib.import_module(package)]
    else:
        kind = importlib.import_module('carawaymast_node.standalone')
        start = kind.start
        arguments = [sys.argv]
    gc.freeze()
    gc.enable()
    try:
        start(*arguments)
    except settings.SettingError as error:
        print(f'carawaymastd: {error}', file=sys.stderr)
        sys.exit(EXIT_USAGE)

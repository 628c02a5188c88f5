"""What all kinds of node process share: startup, signals and shutdown."""

import asyncio
import contextlib
import signal
import typing

import circuits

from carawaymast_node import loop as loop_mod

__all__ = ['Process', 'run']


class Process(circuits.BaseComponent):
    """Base class of a node process, an asynchronous context manager.

    A subclass creates its components in ``_build``, opens its ports in
    ``_open`` and runs in ``serve``. Contexts that it enters on ``_stack`` are
    exited with the process.
    """

    channel = 'node'

    def __init__(self) -> None:
        super().__init__()
        self._stack = contextlib.AsyncExitStack()
        self._stop = asyncio.Event()
        self._failure: BaseException | None = None
        self.is_draining = False

    async def __aenter__(self) -> typing.Self:
        await self._stack.__aenter__()
        await self._build()
        await self._open()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.__aexit__(*exc_info)

    def request_stop(self) -> None:
        """Start a graceful shutdown."""
        self._stop.set()

    def fail(self, error: BaseException) -> None:
        """Stop at once; a node with a broken invariant must not continue."""
        self._failure = error
        self._stop.set()

    async def serve(self) -> None:
        """Run until ``request_stop``, then shut down gracefully."""
        raise NotImplementedError

    async def _build(self) -> None:
        raise NotImplementedError

    async def _open(self) -> None:
        raise NotImplementedError


async def run(
    node: Process,
    action_by_signal: typing.Mapping[int, typing.Callable[[], None]],
    on_fault: typing.Callable[[dict], None],
) -> None:
    """Run a node whose context was entered, until SIGTERM or SIGINT.

    ``on_fault`` is called for each unhandled exception with the context of an
    asyncio exception handler.
    """
    root = loop_mod.Root()
    loop = asyncio.get_running_loop()
    node.register(root)
    root.mark_started()
    stop = node.request_stop
    actions = {signal.SIGTERM: stop, signal.SIGINT: stop, **action_by_signal}
    for number, action in actions.items():
        loop.add_signal_handler(number, action)
    loop.set_exception_handler(lambda loop, context: on_fault(context))
    await node.serve()

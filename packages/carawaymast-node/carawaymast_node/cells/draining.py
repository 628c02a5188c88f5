"""Drains a node: hands over, answers what was read, and reads no more."""

import asyncio
import typing

from circuits.net import events as net_events

if typing.TYPE_CHECKING:
    from carawaymast_node.cells import service

__all__ = ['drain']

# The balancer removes a node after two checks, a second apart.
SERVE_MS = 2_600
POLL_INTERVAL_MS = 20
# For closing connections and the interpreter's exit, before SIGKILL.
EXIT_RESERVE_MS = 1_000


async def drain(node: 'service.CellNode') -> None:
    """Hand over, then serve until the balancer has removed this node.

    In the end the port for callers and its connections are closed, since a
    request that is read while the process ends would get no answer.
    """
    began_ms = node.clock.now()
    until_ms = began_ms + node.settings.grace_ms - EXIT_RESERVE_MS
    frontend = node.frontend
    node.is_draining = True
    frontend.is_draining = True
    node.log.log_event('draining', in_flight=frontend.in_flight)
    await node.leadership.hand_over()
    await node.leave()
    served_ms = node.clock.now() - began_ms
    await asyncio.sleep(max(0, SERVE_MS - served_ms) / 1000)
    while not _is_idle(node) and node.clock.now() < until_ms:
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
    node.fire(net_events.close(), frontend.channel)
    node.root.dispatch_events()
    node.log.log_event('stopped', in_flight=frontend.in_flight)


def _is_idle(node: 'service.CellNode') -> bool:
    """Return whether the connections have the answers of all requests."""
    node.root.dispatch_events()
    return not node.frontend.in_flight

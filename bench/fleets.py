"""Run a fleet on a virtual clock; shared by several benchmarks."""

import asyncio
import typing

from carawaymast_core import errors
from carawaymast_core import table as table_mod
from standins import deployment
from standins import virtual

__all__ = ['wait_until_answered', 'start', 'submit', 'table']

DEADLINE_MS = 30_000
POLL_INTERVAL_S = 1


def table() -> dict[str, table_mod.Row]:
    """Return the rows of ``standins/table.csv`` by kind."""
    path = deployment.ROOT / 'standins' / 'table.csv'
    return table_mod.parse(path.read_text())


def start(
    rows: typing.Mapping[str, table_mod.Row],
    seed: int,
    nodes: int,
    workers: int,
    slots: int,
) -> virtual.Fleet:
    """Start a fleet on its own virtual clock and return it."""
    loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = virtual.Fleet(loop, seed, nodes, workers, slots=slots)
    fleet.start(rows)
    fleet.advance(2)
    return fleet


def submit(node, name: str, kind: str, team: str, run_ms: int) -> None:
    """Submit a request to a node and ignore the answer."""
    body = {
        'kind': kind,
        'team': team,
        'deadline_ms': DEADLINE_MS,
        'idempotent': False,
        'payload': {'run_ms': run_ms, 'echo': 1},
    }
    try:
        node.roles.entry.submit(name, body, lambda status, answer: None)
    except errors.SchedulerError:
        return


async def wait_until_answered(nodes) -> None:
    """Wait until every request has its outcome."""
    while any(node.roles.entry.in_flight for node in nodes):
        await asyncio.sleep(POLL_INTERVAL_S)

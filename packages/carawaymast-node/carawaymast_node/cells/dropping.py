"""Drops records of jobs that ended long ago, as ``retention`` defines."""

import asyncio
import typing

from carawaymast_core.cell import retention
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import ports

__all__ = ['keep_dropping']

# A pass over a day's 33,000 jobs takes 25 ms on the development machine, so
# this uses 0.1% of a core, and at most four appends a minute.
INTERVAL_MS = 30_000

DropState = typing.Callable[[typing.Sequence[str]], None]


async def keep_dropping(
    context: context_mod.CellContext, drop_state: DropState
) -> typing.NoReturn:
    """Drop expired records until cancelled.

    Submissions are dropped from the intake first. ``drop_state`` gets the
    keys to drop from the state only after the store has confirmed that; it
    must write under the leader's epoch.
    """
    keep_ms = context.platform.settings.keep_ended_ms
    while True:
        await asyncio.sleep(INTERVAL_MS / 1000)
        expired = retention.find(context.view, context.clock.wall(), keep_ms)
        if await _drop_intake(context, expired.intake_keys):
            drop_state(expired.state_keys)
            context.metrics.count(
                'state_keys_dropped_total', len(expired.state_keys)
            )


async def _drop_intake(
    context: context_mod.CellContext, keys: typing.Sequence[str]
) -> bool:
    """Drop keys of the intake; return whether the store confirmed it."""
    if not keys:
        return True
    reader = context.intake_reader
    items = [ports.KeyValue(key, b'') for key in keys]
    try:
        await context.store.append(reader.topic, reader.part, items)
    except ports.StoreError as error:
        context.log.log_event('drop_failed', keys=len(keys), error=str(error))
        return False
    context.metrics.count('intake_keys_dropped_total', len(keys))
    return True

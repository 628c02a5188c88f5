"""Drops the records of jobs that ended long ago, as ``retention`` says."""

import asyncio
import typing

from carawaymast_core.cell import retention
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import ports

__all__ = ['keep_dropping']

# A pass over a day's 33,000 jobs takes 25 ms (measured on the development
# machine), so this is 0.1% of a core, and at most four appends a minute.
INTERVAL_MS = 30_000

DropState = typing.Callable[[typing.Sequence[str]], None]


async def keep_dropping(
    context: context_mod.CellContext, drop_state: DropState
) -> typing.NoReturn:
    """Drop what has expired for as long as this node leads.

    The submissions go first. ``drop_state`` is called for the keys of the
    state only once it is certain that they are gone; it has to write under
    the leader's epoch.
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
    """Drop keys of the intake; return whether that is certain."""
    if not keys:
        return True
    topic_reader = context.intake_reader
    items = [ports.KeyValue(key, b'') for key in keys]
    try:
        await context.store.append(
            topic_reader.topic, topic_reader.part, items
        )
    except ports.StoreError as error:
        context.log.log_event('drop_failed', keys=len(keys), error=str(error))
        return False
    context.metrics.count('intake_keys_dropped_total', len(keys))
    return True

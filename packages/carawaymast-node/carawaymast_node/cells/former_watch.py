"""Asks the leaders of earlier terms whether they have stopped."""

import asyncio
import typing

from carawaymast_node import channels
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import context as context_mod

__all__ = ['watch_formers']

ASK_INTERVAL_MS = 200
ASK_TIMEOUT_MS = 500


async def watch_formers(
    context: context_mod.CellContext,
    epoch: int,
    on_change: typing.Callable[[], None],
) -> None:
    """Ask until no term before ``epoch`` can still renew leases.

    ``on_change`` is called after each answer that shows more.
    """
    terms, peers = context.election.former_terms, context.peers
    while True:
        now_ms = context.clock.now()
        until_ms = terms.until_ms(epoch)
        if until_ms <= now_ms:
            return
        node_ids = terms.ids_to_ask(epoch, peers.member_by_id, now_ms)
        async with asyncio.TaskGroup() as group:
            for node_id in node_ids:
                group.create_task(_ask(context, node_id))
        if peers.is_complete():
            terms.apply_members(peers.member_by_id, context.clock.now())
        if terms.until_ms(epoch) < until_ms:
            context.log.log_event(
                'former_leaders_ended',
                epoch=epoch,
                before_ms=int(until_ms - context.clock.now()),
            )
            on_change()
        await asyncio.sleep(ASK_INTERVAL_MS / 1000)


async def _ask(context: context_mod.CellContext, node_id: str) -> None:
    """Ask one node; no answer shows nothing, a refused connection does.

    A port without a listener refuses connections, so no process of this node
    runs; a node that is cut off or without power does not answer at all.
    """
    member = context.peers.member_by_id.get(node_id)
    if member is None:
        return
    boot_id = leading_epoch = None
    try:
        answer = await context.peers.call(
            member, 'ShowTerm', fabric_pb2.TermCall(), ASK_TIMEOUT_MS
        )
    except channels.PeerError as error:
        if error.is_sent:
            return
    else:
        boot_id = answer.boot_id
        leading_epoch = answer.epoch if answer.is_leading else None
    context.election.former_terms.apply_answer(
        node_id, boot_id, leading_epoch, context.clock.now()
    )

"""The dump of a node's state and its metrics, for people and programs."""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_node import node as node_mod

__all__ = ['metrics', 'state']

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def metrics(node: 'node_mod.Node') -> dict[str, typing.Any]:
    """Return the counters and waiting times of a node."""
    return {
        'node': node.members.own.node_id,
        'uptime_ms': node.clock.now() - node.started_at_ms,
        'waits_ms': waits(node),
        'decision_us': _percentiles(node.entry.decision_us),
        'refusals': node.entry.refusal_by_error,
        'log': node.log.counters,
        'owner': node.owner.counters,
        'jobs': node.coordinator.counters,
        'guard': node.guard.counters,
        'beats': {
            'sent': node.beats.sent_total,
            'failed': node.beats.failed_total,
            'channels_replaced': node.clients.replaced_total,
        },
        'slots': {
            'offers': node.owner.grantor.offers_total,
            'recalls': node.owner.grantor.recalls_total,
        },
        'process': node.resources_used(),
    }


def waits(node: 'node_mod.Node') -> dict[str, typing.Any]:
    """Return the percentiles of the waiting time of each kind, in ms."""
    return {
        kind: _percentiles(waits)
        for kind, waits in node.entry.wait_ms_by_kind.items()
    }


def state(node: 'node_mod.Node') -> dict[str, typing.Any]:
    """Return what a node knows and holds, role by role."""
    entry = node.entry
    ledger = node.owner.grantor.ledger
    return {
        'node': node.members.own.node_id,
        'domain': node.members.own.domain,
        'ready': node.is_ready,
        'draining': node.is_draining,
        'isolated': node.is_isolated,
        'table_version': node.tables.table.version,
        'members': {
            member.node_id: _member_state(node, member)
            for member in node.members.live()
        },
        'entry': {
            'in_flight': entry.in_flight,
            'demand': entry.queue.demand_by_kind(),
            'queued': len(entry.queue),
            'slots_held': entry.cache.total,
            'slots_idle': entry.cache.idle_total,
            'fleet_slots': entry.fleet_slots,
        },
        'owner': {
            'workers': sorted(node.owner.owned_ids),
            'slots': ledger.total,
            'slots_free': ledger.free_total,
            'held_by': {
                entry_id: ledger.held_count(entry_id)
                for entry_id in ledger.holders()
            },
            'tasks_running': node.owner.book.running_total,
            'capacity': node.owner.book.capacity._asdict(),
            'used': node.owner.book.used._asdict(),
        },
        'jobs': {
            'open': len(node.coordinator.index.open_ids),
            'claimed': node.coordinator.index.claimed_total,
        },
        'log': {
            'next_offset': node.log.replica.next_offset,
            'entities': len(node.log.replica),
            'caught_up': node.log.is_caught_up,
            'reachable': node.log.is_reachable,
            'queued': node.log.queued_total,
            'snapshot_as_of': node.log.replica.snapshot_as_of,
        },
        'connections': node.guard.open_total,
    }


def _member_state(node, member) -> dict[str, typing.Any]:
    view = node.beats.view_by_id.get(member.node_id)
    return {
        'domain': member.domain,
        'address': f'{member.host}:{member.peer_port}',
        'table_version': view.table_version if view else None,
        'slots': view.slots if view else None,
        'workers': view.workers if view else None,
        'reaches_log': view.reaches_log if view else None,
    }


def _percentiles(histogram) -> dict[str, float]:
    found = {
        f'p{percent:g}': histogram.get_value_at_percentile(percent)
        for percent in PERCENTILES
    }
    found['count'] = histogram.get_total_count()
    found['max'] = histogram.get_max_value()
    return found

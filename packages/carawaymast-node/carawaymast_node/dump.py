"""JSON documents of the state and the metrics of a node."""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_node import node as node_mod

__all__ = ['metrics', 'state']

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def metrics(node: 'node_mod.Node') -> dict[str, typing.Any]:
    """Return the counters and the queueing times of a node."""
    return {
        'node': node.roles.members.local.node_id,
        'uptime_ms': node.clock.now() - node.started_at_ms,
        'waits_ms': waits(node),
        'decision_us': _percentiles(node.roles.entry.decision_us),
        'refusals': node.roles.entry.refusal_by_error,
        'log': node.roles.log.counters,
        'owner': node.roles.owner.counters,
        'tasks': node.roles.owner.tasks.counters,
        'jobs': node.roles.coordinator.counters,
        'guard': node.connection_limiter.counters,
        'beats': {
            'sent': node.roles.heartbeats.sent_total,
            'failed': node.roles.heartbeats.failed_total,
            'channels_replaced': node.clients.replaced_total,
        },
        'endpoints': {
            'lookups': node.endpoints.lookups_total,
            'silent': node.endpoints.unresponsive_total,
        },
        'slots': {
            'offers': node.roles.owner.grantor.offers_total,
            'recalls': node.roles.owner.grantor.recalls_total,
        },
        'process': node.resources_used(),
    }


def waits(node: 'node_mod.Node') -> dict[str, typing.Any]:
    """Return the percentiles of the queueing time of each kind, in ms."""
    return {
        kind: _percentiles(waits)
        for kind, waits in node.roles.entry.wait_ms_by_kind.items()
    }


def state(node: 'node_mod.Node') -> dict[str, typing.Any]:
    """Return the state of each role of a node."""
    entry = node.roles.entry
    ledger = node.roles.owner.grantor.ledger
    return {
        'node': node.roles.members.local.node_id,
        'domain': node.roles.members.local.domain,
        'ready': node.is_ready,
        'draining': node.is_draining,
        'isolated': node.roles.is_isolated,
        'table_version': node.roles.tables.table.version,
        'members': {
            member.node_id: _member_state(node.roles, member)
            for member in node.roles.members.live()
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
            'workers': sorted(node.roles.owner.owned_ids),
            'quarantined': node.roles.owner.quarantine.quarantined(),
            'slots': ledger.total,
            'slots_free': ledger.free_total,
            'held_by': {
                entry_id: ledger.held_count(entry_id)
                for entry_id in ledger.holders()
            },
            'tasks_running': node.roles.owner.tracker.running_total,
            'capacity': node.roles.owner.tracker.capacity._asdict(),
            'used': node.roles.owner.tracker.used._asdict(),
        },
        'jobs': {
            'open': len(node.roles.coordinator.index.open_ids),
            'claimed': node.roles.coordinator.index.claimed_total,
        },
        'log': {
            'next_offset': node.roles.log.replica.next_offset,
            'entities': len(node.roles.log.replica),
            'caught_up': node.roles.log.is_caught_up,
            'reachable': node.roles.log.is_reachable,
            'queued': node.roles.log.queued_total,
            'snapshot_as_of': node.roles.log.replica.snapshot_as_of,
        },
        'connections': node.connection_limiter.open_total,
    }


def _member_state(roles, member) -> dict[str, typing.Any]:
    view = roles.heartbeats.view_by_id.get(member.node_id)
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

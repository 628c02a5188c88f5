"""Faults injected into the code, to show that the scenarios detect them.

Each fault is a context manager that breaks one rule of the protocol while it
is entered.
"""

import contextlib
from unittest import mock

from carawaymast_core import lease
from carawaymast_core import records
from carawaymast_core import slot_cache
from carawaymast_core import slot_ledger
from carawaymast_core.cell import fencing
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import placing
from carawaymast_core.cell import retention
from carawaymast_core.cell import worker_lease
from carawaymast_node import log_service

__all__ = ['FAULT_BY_NAME']

# More than any lease lasts.
TOO_LONG_MS = 8_000


def no_guard_interval():
    """Make an owner use its lease for longer than the worker grants it."""
    return mock.patch.object(lease, 'GUARD_MS', -TOO_LONG_MS)


def slot_reused_without_report():
    """Count an expired slot as free, whatever the endpoint reports."""
    return mock.patch.object(
        slot_ledger.SlotLedger,
        'prove_idle',
        lambda self, worker_id, busy, taken_at_ms: original_prove_idle(
            self, worker_id, (), taken_at_ms + TOO_LONG_MS
        ),
    )


def slot_lease_counted_too_long():
    """Make an entry node use its slot leases for too long."""
    original = slot_cache.SlotCache.add

    def add(self, slot_id, owner_id, epoch, serial, expires_at_ms, now_ms):
        too_late_ms = expires_at_ms + TOO_LONG_MS
        original(self, slot_id, owner_id, epoch, serial, too_late_ms, now_ms)

    return mock.patch.object(slot_cache.SlotCache, 'add', add)


def claim_used_before_read_back():
    """Report a claim as applied without reading it back."""

    async def commit(self, writes, timeout_ms):
        self._enqueue(
            {
                'id': f'{id(writes)}-{self._clock.now()}',
                'node': self._node_id,
                'expects': writes.expects,
                'puts': writes.puts,
            }
        )
        return True

    return mock.patch.object(log_service.LogService, 'commit', commit)


def snapshot_that_reverts():
    """Load each snapshot, even if the state is newer."""

    def add_part(self, part):
        self._is_complete = False
        return original_add_part(self, part)

    return mock.patch.object(records.Replica, '_add_part', add_part)


# The methods before they are patched.
original_prove_idle = slot_ledger.SlotLedger.prove_idle
original_add_part = records.Replica._add_part
original_record_listed = former_leases.record_listed
original_lapsed_runs = former_leases.lapsed_runs
original_assume_sent = late_starts.assume_sent


def state_dropped_first():
    """Drop the state of an ended job while its submission is stored."""

    def find(view, wall_ms, keep_ended_ms):
        ended_ids = [k for k, r in view.record_by_id.items() if r.is_over]
        return retention.Expired([], ended_ids)

    return mock.patch.object(retention, 'find', find)


def one_token_per_epoch():
    """Call all incarnations of workers with the same token in an epoch."""
    return mock.patch.object(
        fencing.FencingTokens, 'next', lambda self: self._first + 1
    )


def usual_lease_at_adoption():
    """Assume that no other call has left a longer lease than the usual."""
    return mock.patch.object(
        worker_lease.WorkerLease, 'assume_longest', lambda self, longest: None
    )


def tickets_kept_after_restart():
    """Keep the tickets for the former incarnation of a worker."""
    return mock.patch.object(
        placing,
        '_drop_former_tickets',
        lambda cell: cell.restarted_ids.clear(),
    )


def late_starts_not_awaited():
    """Release a run though a start of it may be carried out late."""
    return mock.patch.object(late_starts, 'may_act_later', lambda run: False)


def late_starts_end_with_lease():
    """Release the runs on a lost worker when its lease has expired."""
    return mock.patch.object(late_starts, 'held_until_ms', lambda *run: 0)


def listed_after_any_start():
    """Record a run as listed after its only start, however many there were."""

    def record_listed(cell, run, now_ms):
        starts, run.starts = run.starts, 1
        original_record_listed(cell, run, now_ms)
        run.starts = starts

    return mock.patch.object(former_leases, 'record_listed', record_listed)


def usual_lease_recorded():
    """Record the usual lease, also where the longest may last."""
    return mock.patch.object(
        worker_lease.WorkerLease, 'left_ms', property(lambda self: 0)
    )


def tickets_always_bound():
    """Take each ticket for one of the incarnation that the leader knows."""
    return mock.patch.object(late_starts, 'is_bound', late_starts._has_tickets)


def answers_prove_incarnation():
    """Take each answered start for one at the known incarnation."""
    return mock.patch.object(
        late_starts, 'record_answered', lambda run, now_ms: None
    )


def moved_runs_lapse():
    """End runs that this leader has moved by the leases of former leaders."""

    def lapsed_runs(cell, worker, now_ms):
        found = original_lapsed_runs(cell, worker, now_ms)
        if now_ms >= former_leases._lapses_at_ms(cell, worker):
            # Runs of former leaders have no ticket.
            found += [r for r in worker.run_by_task.values() if r.ticket]
        return found

    return mock.patch.object(former_leases, 'lapsed_runs', lapsed_runs)


def former_tickets_not_awaited():
    """Await no start with a ticket that a former leader may have sent."""

    def assume_sent(run, has_restarted, now_ms):
        original_assume_sent(run, has_restarted, now_ms)
        if late_starts._has_tickets(run):
            run.late_until_ms = 0

    return mock.patch.object(late_starts, 'assume_sent', assume_sent)


def moved_runs_end():
    """End runs with tickets, listed or not, once their worker restarts."""
    return mock.patch.object(
        late_starts, 'ends_with_incarnation', late_starts._has_tickets
    )


FAULT_BY_NAME = {
    'no fault': contextlib.nullcontext,
    'no guard interval': no_guard_interval,
    'slot reused without a report': slot_reused_without_report,
    'slot lease counted too long': slot_lease_counted_too_long,
    'claim used before read-back': claim_used_before_read_back,
    'snapshot that reverts': snapshot_that_reverts,
    'state dropped first': state_dropped_first,
    'one token per epoch': one_token_per_epoch,
    'usual lease at adoption': usual_lease_at_adoption,
    'tickets kept after restart': tickets_kept_after_restart,
    'late starts not awaited': late_starts_not_awaited,
    'late starts end with lease': late_starts_end_with_lease,
    'listed after any start': listed_after_any_start,
    'usual lease recorded': usual_lease_recorded,
    'tickets always bound': tickets_always_bound,
    'answers prove incarnation': answers_prove_incarnation,
    'moved runs lapse': moved_runs_lapse,
    'moved runs end': moved_runs_end,
    'former tickets not awaited': former_tickets_not_awaited,
}

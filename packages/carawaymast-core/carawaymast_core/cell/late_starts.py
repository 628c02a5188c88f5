"""Starts without an answer, which a worker may still carry out.

A call without an answer may be carried out seconds later, by the incarnation
of the worker that has the id then. A restarted worker has seen neither a
fencing token nor a stop, so before the leader's first call to it nothing there
refuses the start. Until the start can no longer act, its run is held: the task
starts nowhere else.

Tickets are for one incarnation of a worker, which need not be the one that the
leader knows: a call for advice may be answered after a restart of which it has
not read. Once an incarnation has answered a renewal that was sent after the
ticket came, the ticket is of that one or an earlier one, and no further
incarnation takes a start with it. Until then the run counts like one without a
ticket, but its start is not repeated.
"""

import typing

from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker_lease

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'LATE_CALL_MS',
    'MAX_UNCONFIRMED_RENEWAL_MS',
    'MAX_UNCONFIRMED_START_MS',
    'NOT_ANSWERED',
    'assume_sent',
    'held_until_ms',
    'hold',
    'end_kind',
    'ends_with_incarnation',
    'is_bound',
    'is_held',
    'is_only_start_listed',
    'is_start_repeated',
    'is_too_large',
    'may_act_later',
    'needs_confirmation',
    'record_answered',
    'record_late_renewal',
    'record_listed',
    'record_unanswered',
    'take_number',
    'workers_to_confirm',
]

NOT_ANSWERED = 'start not answered'
# How long after it was sent a call may be carried out.
LATE_CALL_MS = 12_000
# A leader sends no start if its leadership was last confirmed longer ago.
MAX_UNCONFIRMED_START_MS = 1_000
# How long a leader renews leases after its leadership was last confirmed.
MAX_UNCONFIRMED_RENEWAL_MS = 8_000

# Another worker, which refuses calls for this one, has the address, or this
# one has left.
_ENDS_OF_WORKERS = (reports.EndKind.CRASHED, reports.EndKind.LEFT)
# Ends that this incarnation does not know of: it refuses late starts of the
# run only after a stop.
_UNKNOWN_ENDS = (
    reports.EndKind.ABSENT,
    reports.EndKind.REFUSED,
    reports.EndKind.WITHDRAWN,
)


def is_bound(run: run_mod.Run) -> bool:
    """Return whether no further incarnation of the worker begins the run.

    Its ticket is of the incarnation that the run is at, or of an earlier one:
    that one has listed the run, or has answered a renewal that was sent after
    the ticket had come.
    """
    if not _has_tickets(run):
        return False
    is_confirmed = run.worker.confirmed_at_ms > run.ticket_at_ms
    return run.is_listed or run.lease_ms > 0 or is_confirmed


def may_act_later(run: run_mod.Run) -> bool:
    """Return whether a late start may begin a run that must be the only one.

    Copies of speculative tasks may run at the same time.
    """
    return not (run.task.step.spec.is_speculative or is_bound(run))


def needs_confirmation(run: run_mod.Run) -> bool:
    """Return whether a run's ticket may be of a later incarnation.

    Its start waits until its worker has answered once more.
    """
    return _has_tickets(run) and may_act_later(run)


def workers_to_confirm(
    runs: typing.Iterable[run_mod.Run],
) -> set['worker_mod.Worker']:
    """Return the workers that have to confirm tickets of these runs."""
    return {run.worker for run in runs if needs_confirmation(run)}


def is_start_repeated(run: run_mod.Run) -> bool:
    """Return whether a start of the run without an answer is sent again.

    Any incarnation would begin it, however late. With a ticket the run is
    stopped instead.
    """
    return not (run.task.step.spec.is_speculative or _has_tickets(run))


def ends_with_incarnation(run: run_mod.Run) -> bool:
    """Return whether a run is gone once its worker's incarnation has ended.

    Otherwise the next one may have it, or may still begin it.
    """
    if _has_tickets(run):
        return is_bound(run)
    is_listed = run.is_listed or run.lease_ms > 0
    return is_listed and run.starts == 1 and not run.is_under_way


def end_kind(cell: 'cell_mod.Cell', run: run_mod.Run) -> reports.EndKind:
    """Return how a run ends that is gone with its worker's incarnation.

    The record of a run that was listed mostly has a shorter lease than the
    longest one; otherwise nothing shows that it ever began.
    """
    has_begun = (
        run.is_listed
        or run.state is run_mod.RunState.RUNNING
        or 0 < run.lease_ms < cell.max_lease_ms
    )
    return reports.EndKind.CRASHED if has_begun else reports.EndKind.ABSENT


def record_answered(run: run_mod.Run, now_ms: int) -> None:
    """Record that a start was carried out, by whichever incarnation."""
    if may_act_later(run) and not run.is_listed:
        run.late_until_ms = max(run.late_until_ms, now_ms)


def record_unanswered(run: run_mod.Run, sent_at_ms: int) -> None:
    """Record that a start that was sent by then has no answer."""
    until_ms = sent_at_ms + LATE_CALL_MS
    run.worker.lease.record_late_call(until_ms)
    if may_act_later(run):
        run.late_until_ms = max(run.late_until_ms, until_ms)
    if is_start_repeated(run):
        take_number(run)


def take_number(run: run_mod.Run) -> None:
    """Take the next run's number for a start that may not be the only one.

    By that a next leader sees that there was one, see ``assume_sent``.
    """
    task = run.task
    task.last_run_id = max(task.last_run_id, run.run_id + 1)


def record_late_renewal(
    cell: 'cell_mod.Cell', worker: 'worker_mod.Worker', sent_at_ms: int
) -> None:
    """Record that a renewal with a deadline has no answer.

    The worker may have restarted meanwhile: each incarnation may carry it out.
    """
    for other in cell.worker_by_key.values():
        if other.worker_id == worker.worker_id:
            other.lease.record_late_call(sent_at_ms + LATE_CALL_MS)


def assume_sent(run: run_mod.Run, has_restarted: bool, now_ms: int) -> None:
    """Assume that a previous leader sent the starts of a run until now.

    It recorded those without an answer, and the runs that were listed after
    their only start. Another start may have been under way at its end. A
    leader renews no lease after the first call without an answer, so renewals
    for a worker that ``has_restarted`` have ended too.
    """
    renewed_for_ms = MAX_UNCONFIRMED_RENEWAL_MS
    if has_restarted:
        renewed_for_ms = MAX_UNCONFIRMED_START_MS
    run.worker.lease.record_late_call(now_ms + renewed_for_ms + LATE_CALL_MS)
    if may_act_later(run) and not run.lease_ms:
        run.late_until_ms = now_ms + MAX_UNCONFIRMED_START_MS + LATE_CALL_MS
        if is_start_repeated(run) and run.task.last_run_id > run.run_id:
            run.starts += 1


def is_only_start_listed(run: run_mod.Run) -> bool:
    """Return whether a list shows that a run's only start was carried out."""
    return (
        is_start_repeated(run)
        and run.starts == 1
        and run.state is run_mod.RunState.RUNNING
    )


def record_listed(run: run_mod.Run) -> None:
    """Record that the worker lists a run: its only start was carried out."""
    if run.starts == 1:
        run.late_until_ms = 0


def is_held(run: run_mod.Run, how: reports.EndKind, now_ms: int) -> bool:
    """Return whether a run that ended must not be released yet."""
    is_late = run.is_under_way or now_ms < run.late_until_ms
    if not (is_late and may_act_later(run)) or how in _ENDS_OF_WORKERS:
        return False
    if how in _UNKNOWN_ENDS and run.stop_answered_at_ms is None:
        return True
    is_done = how is reports.EndKind.DONE and not run.task.step.spec.is_service
    return not is_done and _may_run_again(run)


def is_too_large(run: run_mod.Run) -> bool:
    """Return whether a late start must not begin a run: its worker shrank."""
    return (
        is_start_repeated(run)
        and run.late_until_ms > 0
        # Otherwise its capacity may not be known.
        and run.worker.is_adopted
        and run.state is run_mod.RunState.ORDERED
        and min(run.worker.free) < 0
    )


def hold(cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int) -> None:
    """Keep a run that is not on its worker while late starts may act."""
    if not run.is_held:
        cell.log_event(
            'run_held',
            task=run.task.name,
            run_id=run.run_id,
            worker=run.worker.worker_id,
            for_ms=max(0, run.late_until_ms - now_ms),
        )
        run.is_held = run.is_start_lost = True
        run.lease_ms = 0
        run.task.step.job.record_not_begun()
        cell.mark_dirty(run.task.step.job)
        run.state = run_mod.RunState.ORDERED
        run.known_at_ms = now_ms
    cell.stop(run, NOT_ANSWERED)


def held_until_ms(run: run_mod.Run, max_lease_ms: int) -> int:
    """Return until when a run on a lost worker must be held, 0 if not.

    An incarnation that nobody has reached may have begun it, and other late
    calls may have extended the lease there.
    """
    lease = run.worker.lease
    # If the worker was called since, its lists have shown it.
    is_resolved = run.late_until_ms < max(1, run.worker.confirmed_at_ms)
    if is_resolved or not may_act_later(run) or not _may_run_again(run):
        return 0
    last_call_ms = max(run.late_until_ms, lease.late_until_ms)
    return last_call_ms + worker_lease.max_real_ms(max_lease_ms)


def _has_tickets(run: run_mod.Run) -> bool:
    return run.task.step.job.submission.queue.advice is not None


def _may_run_again(run: run_mod.Run) -> bool:
    return not (run.task.is_done or run.task.step.job.phase.is_final)

"""The life cycle of workers: listed, restarted, leaving and lost."""

import math
import typing

from carawaymast_core.cell import crashes
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import run_ends
from carawaymast_core.cell import start_check
from carawaymast_core.cell import suspicion
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_lease

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = [
    'apply_worker_entry',
    'end_incarnation',
    'sweep',
    'unlist_worker',
]

# How long a worker that the leader never reached may have runs at most, if
# the longest lease is not longer: the previous leader's last renewal, its
# grace period without the store and the lease itself.
UNREACHED_WORKER_TIMEOUT_MS = 14_000
# The remaining runs of a draining worker are stopped this long before it
# leaves: a stop takes up to 0.9 s, and its end has to be listed.
LEAVE_MARGIN_MS = 1_300

# A check for overdue runs visits every run, so it is not part of each sweep.
OVERDUE_CHECK_INTERVAL_MS = 250
# Between two log events on the same worker that is listed and not adopted.
UNADOPTED_LOG_INTERVAL_MS = 10_000


def apply_worker_entry(
    cell: 'cell_mod.Cell', entry: reports.WorkerEntry, now_ms: int
) -> worker_mod.Worker | None:
    """Apply a worker's entry; return the worker if it was not listed."""
    key = (entry.worker_id, entry.born_ms)
    incarnations = [
        w
        for w in cell.worker_by_key.values()
        if w.worker_id == entry.worker_id
    ]
    if any(other.born_ms > entry.born_ms for other in incarnations):
        return None
    worker = cell.worker_by_key.get(key)
    if worker is None:
        worker = _add_worker(cell, entry, now_ms)
        if incarnations:
            cell.restarted_ids.add(worker.worker_id)
        for other in incarnations:
            _move_runs(cell, worker, other, now_ms)
        return worker
    was_listed = worker.is_listed and not worker.is_gone
    if entry.is_draining and not worker.entry.is_draining:
        cell.log_event(
            'worker_draining',
            worker=key[0],
            remaining_ms=entry.remaining_ms,
        )
    worker.entry = entry
    worker.is_listed = True
    return None if was_listed else worker


def _add_worker(
    cell: 'cell_mod.Cell', entry: reports.WorkerEntry, now_ms: int
) -> worker_mod.Worker:
    worker = worker_mod.Worker(entry)
    worker.fencing_token = cell.fencing_tokens.next()
    worker.is_first = worker.worker_id not in cell.known_ids
    cell.known_ids.add(worker.worker_id)
    worker.lease.assumed_lost_at_ms = now_ms + max(
        UNREACHED_WORKER_TIMEOUT_MS,
        worker_lease.max_real_ms(cell.max_lease_ms),
    )
    worker.unadopted_since_ms = now_ms
    cell.worker_by_key[worker.key] = worker
    cell.log_event(
        'worker_listed', worker=worker.worker_id, born_ms=worker.born_ms
    )
    return worker


def unlist_worker(cell: 'cell_mod.Cell', worker_id: str) -> None:
    """Mark a worker as not listed any more; its runs stay."""
    for worker in cell.worker_by_key.values():
        if worker.worker_id == worker_id and worker.is_listed:
            worker.is_listed = False
            cell.log_event('worker_unlisted', worker=worker_id)


def end_incarnation(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, why: str, now_ms: int
) -> None:
    """Remove an incarnation of a worker that has certainly ended."""
    if worker.is_gone:
        return
    worker.is_gone = True
    cell.log_event('worker_gone', worker=worker.worker_id, why=why)
    cell.worker_by_key.pop(worker.key, None)
    cell.speeds.discard(worker.key)
    has_left = worker.entry.is_draining
    to_give_up = [] if has_left else crashes.record(cell, worker, now_ms)
    how = reports.EndKind.LEFT if has_left else reports.EndKind.CRASHED
    for run in list(worker.run_by_task.values()):
        run_ends.apply(cell, run, how, '', now_ms)
    crashes.give_up(cell, to_give_up, now_ms)


def _move_runs(
    cell: 'cell_mod.Cell',
    successor: worker_mod.Worker,
    predecessor: worker_mod.Worker,
    now_ms: int,
) -> None:
    """Move runs to a worker's next incarnation, which has the same id.

    A start that was under way may take effect there, so only the lists of the
    new incarnation, or a stop that it answered, prove that it did not. Runs
    that the former one certainly had end with it. Runs whose start was not
    sent are withdrawn: the new one may be of another kind or size.
    """
    successor.lease.record_late_call(predecessor.lease.late_until_ms)
    to_give_up = []
    if not predecessor.entry.is_draining:
        to_give_up = crashes.record(cell, predecessor, now_ms)
    for run in list(predecessor.run_by_task.values()):
        if run.state is run_mod.RunState.PLACED:
            start_check.withdraw(cell, run, 'its worker has restarted', now_ms)
            continue
        if late_starts.ends_with_incarnation(run):
            how = late_starts.end_kind(cell, run)
            run_ends.apply(cell, run, how, '', now_ms)
            continue
        cell.log_event(
            'run_moved',
            task=run.task.name,
            run_id=run.run_id,
            worker=successor.worker_id,
            from_born_ms=predecessor.born_ms,
            to_born_ms=successor.born_ms,
            state=run.state.value,
            listed=run.is_listed,
            under_way=run.is_under_way,
            has_ticket=bool(run.ticket),
            # None if no call was answered.
            confirmed_after_ticket_ms=None
            if predecessor.confirmed_at_ms < 0
            else predecessor.confirmed_at_ms - run.ticket_at_ms,
        )
        predecessor.remove(run)
        run.worker = successor
        run.is_listed = False
        successor.add(run)
        if run.state is run_mod.RunState.RUNNING:
            run.known_at_ms = now_ms
        run.is_stopping = False
        run.lease_ms = run.stored_lease_ms = 0
        run.stop_answered_at_ms = None
        run.percent = run.use = 0.0
        run.state = run_mod.RunState.ORDERED
        cell.stop(run, 'its worker has restarted')
        cell.mark_dirty(run.task.step.job)
    end_incarnation(cell, predecessor, 'reborn', now_ms)
    crashes.give_up(cell, to_give_up, now_ms)


def sweep(cell: 'cell_mod.Cell', now_ms: int, wall_ms: int) -> None:
    """Apply what depends on time: leases, leaving workers, scheduled steps."""
    if cell.listed.is_due(now_ms):
        cell.dirty_ids |= cell.listed.take()
    is_check_due = (
        now_ms - cell.overdue_checked_at_ms >= OVERDUE_CHECK_INTERVAL_MS
    )
    if is_check_due:
        cell.overdue_checked_at_ms = now_ms
    for worker in list(cell.worker_by_key.values()):
        if is_check_due:
            for run in suspicion.check_overdue(cell, worker, now_ms):
                cell.stop(run, suspicion.MOVE_REASON)
            _log_unadopted(cell, worker, now_ms)
        if worker.run_by_task and worker.lease.assumed_lost_at_ms is not None:
            lapsed = former_leases.lapsed_runs(cell, worker, now_ms)
            _end_runs(cell, worker, lapsed, now_ms)
        if worker.run_by_task and worker.lease.is_expired(now_ms):
            _expire_lease(cell, worker, now_ms)
        elif not worker.is_listed and not worker.run_by_task:
            _end_unlisted(cell, worker, now_ms)
        elif worker.entry.is_draining:
            _evacuate(cell, worker)
        for run in list(worker.run_by_task.values()):
            if run.stop_reason and not run.is_stopping:
                cell.stop(run, run.stop_reason)
            elif late_starts.is_too_large(run):
                late_starts.hold(cell, run, now_ms)
    for step in list(cell.scheduled_by_name.values()):
        if step.is_ready(wall_ms):
            cell.make_ready(step, now_ms)


def _log_unadopted(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """Log a listed worker that gets no tasks because it is not adopted."""
    if not worker.is_overdue_for_adoption(now_ms):
        return
    if now_ms - worker.unadopted_logged_at_ms < UNADOPTED_LOG_INTERVAL_MS:
        return
    worker.unadopted_logged_at_ms = now_ms
    silent_since_ms = worker.silent_since_ms
    cell.log_event(
        'worker_not_adopted',
        worker=worker.worker_id,
        born_ms=worker.born_ms,
        for_ms=now_ms - worker.unadopted_since_ms,
        # None if the last call was answered, or none was made.
        silent_ms=None
        if silent_since_ms is None
        else now_ms - silent_since_ms,
    )


def _expire_lease(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """End the runs of a worker whose lease must have expired.

    Held runs stay, see ``late_starts.held_until_ms``.
    """
    ended = [
        run
        for run in worker.run_by_task.values()
        if now_ms >= late_starts.held_until_ms(run, cell.max_lease_ms)
    ]
    _end_runs(cell, worker, ended, now_ms)


def _end_runs(
    cell: 'cell_mod.Cell',
    worker: worker_mod.Worker,
    ended: typing.Sequence[run_mod.Run],
    now_ms: int,
) -> None:
    """End runs of a worker whose lease for them has expired."""
    if not ended and not worker.is_adopted:
        return
    cell.log_event(
        'lease_lapsed',
        worker=worker.worker_id,
        born_ms=worker.born_ms,
        runs=len(ended),
        held=len(worker.run_by_task) - len(ended),
        answered_ms_ago=now_ms - worker.last_answer_at_ms,
        clock_ms=worker.lease.clock_ms,
        lease_until_ms=worker.lease.deadline_ms,
        formers_ended_ms_ago=_finite(now_ms - cell.formers_until_ms),
    )
    worker.is_adopted = False
    worker.unadopted_since_ms = now_ms
    to_give_up = crashes.record_lapse(cell, worker, ended, now_ms)
    for run in ended:
        run.late_until_ms = 0
        run_ends.apply(cell, run, reports.EndKind.LAPSED, '', now_ms)
    crashes.give_up(cell, to_give_up, now_ms)


def _finite(ms: float) -> float | None:
    return ms if math.isfinite(ms) else None


def _end_unlisted(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """Remove an unlisted worker without runs, unless it may have crashed.

    Then its address is asked for a while: another incarnation there shows it.
    """
    if worker.lapsed_tasks and now_ms < worker.lapsed_until_ms:
        return
    worker.lapsed_tasks = []
    end_incarnation(cell, worker, 'unlisted and empty', now_ms)


def _evacuate(cell: 'cell_mod.Cell', worker: worker_mod.Worker) -> None:
    """Stop the runs on a draining worker.

    Services and runs with checkpoints are stopped at once, the others shortly
    before the worker leaves, since they may end by then.
    """
    remaining_ms = worker.entry.remaining_ms
    for run in list(worker.run_by_task.values()):
        step = run.task.step.spec
        must_stop_now = (
            remaining_ms is not None and remaining_ms < LEAVE_MARGIN_MS
        )
        if must_stop_now or step.is_checkpointing or step.is_service:
            cell.stop(run, 'worker is leaving')

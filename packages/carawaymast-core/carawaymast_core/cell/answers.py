"""Applies the answers of workers to lease renewals, starts and stops."""

import typing

from carawaymast_core import resources
from carawaymast_core.cell import crashes
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import progress
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import run_ends
from carawaymast_core.cell import start_repeats
from carawaymast_core.cell import suspicion
from carawaymast_core.cell import throttling
from carawaymast_core.cell import untracked_runs
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_lifecycle

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = [
    'apply_lease_renewal',
    'apply_start_outcome',
    'apply_stop_answer',
    'is_start_unanswered',
]

# Refusals that do not prove that the run is not on the worker: it may have
# ended there, or the worker's next incarnation may have begun it.
_INCONCLUSIVE_REFUSALS = (
    reports.StartRefusal.STALE_RUN,
    reports.StartRefusal.FENCED,
)


def apply_lease_renewal(
    cell: 'cell_mod.Cell',
    worker: worker_mod.Worker,
    answer: reports.LeaseRenewal,
    sent_at_ms: int,
    now_ms: int,
) -> None:
    """Apply the lists of running and ended runs of a worker.

    The call was sent at ``sent_at_ms`` and answered at ``now_ms``. If another
    incarnation of the worker answered, only register that one; it counts as
    not listed, since its capacity and labels are not known yet.
    """
    if worker.is_gone:
        return
    if answer.born_ms != worker.born_ms:
        entry = worker.entry._replace(born_ms=answer.born_ms)
        successor = worker_lifecycle.apply_worker_entry(cell, entry, now_ms)
        if successor is not None:
            successor.is_listed = False
        return
    # A later answer, which was faster, has been applied.
    is_overtaken = answer.clock_ms < worker.lease.clock_ms
    worker.record_answer(answer.clock_ms, now_ms)
    worker.confirmed_at_ms = max(worker.confirmed_at_ms, sent_at_ms)
    worker.lease.assumed_lost_at_ms = None
    worker.silent_since_ms = None
    if worker.lapsed_tasks:
        crashes.withdraw_lapse(cell, worker)
    if not worker.is_adopted:
        worker.is_adopted = True
        worker.lease.assume_longest(
            former_leases.adopted_lease_ms(cell, worker, now_ms)
        )
        cell.log_event(
            'worker_adopted',
            worker=worker.worker_id,
            born_ms=worker.born_ms,
            running=len(answer.running),
            ended=len(answer.ended),
            clock_ms=worker.lease.clock_ms,
            lease_until_ms=worker.lease.deadline_ms,
        )
    ended_names = {(end.task, end.run_id) for end in answer.ended}
    for end in answer.ended:
        if end.number > worker.seen_number:
            worker.seen_number = end.number
            cell.acks[worker.key] = end.number
            _apply_end(cell, worker, end, now_ms)
    if is_overtaken:
        return
    listed = _apply_running(cell, worker, answer.running, now_ms)
    if answer.is_complete:
        present = listed | ended_names
        for run in list(worker.run_by_task.values()):
            if (run.task.name, run.run_id) not in present:
                _apply_absence(cell, run, sent_at_ms, now_ms)
    for run in suspicion.check_stalled(cell, worker, now_ms):
        cell.stop(run, suspicion.MOVE_REASON)
    throttling.adjust_speed_limits(cell, worker, now_ms)


def _apply_absence(
    cell: 'cell_mod.Cell', run: run_mod.Run, sent_at_ms: int, now_ms: int
) -> None:
    """Apply that neither of two complete lists contains a run."""
    if _is_absence_certain(run, sent_at_ms):
        if late_starts.is_held(run, reports.EndKind.ABSENT, sent_at_ms):
            start_repeats.repeat_or_stop(cell, run, now_ms)
        else:
            run_ends.apply(cell, run, reports.EndKind.ABSENT, '', now_ms)
    elif run.stop_reason == late_starts.NOT_ANSWERED and not run.is_stopping:
        if sent_at_ms >= run.unanswered_at_ms:
            run.is_missing = True
            cell.stop(run, late_starts.NOT_ANSWERED)


def _apply_running(cell: 'cell_mod.Cell', worker, running, now_ms: int) -> set:
    """Apply the running runs; return their task names and run ids."""
    listed = set()
    untracked_size = resources.ZERO
    has_unsized_run = False
    for row in running:
        listed.add((row.task, row.run_id))
        run = worker.run_by_task.get(row.task)
        if run is None or run.run_id != row.run_id:
            task = cell.find_task(row.task)
            run = untracked_runs.stop_or_adopt(cell, worker, row, task, now_ms)
        if run is None:
            if task is None:
                has_unsized_run = True
            else:
                size = task.step.spec.allocated_size
                untracked_size = untracked_size.plus(size)
            continue
        if run.state is not run_mod.RunState.RUNNING:
            _record_begun(cell, run)
            run.state = run_mod.RunState.RUNNING
            run.known_at_ms = now_ms
            # A previous leader may have set the limit.
            run.speed_limit = int(row.percent)
        run.is_listed = True
        late_starts.record_listed(run)
        former_leases.record_listed(cell, run, now_ms)
        if run.task.crashes != records.NO_CRASHES:
            crashes.apply_survival(cell, run, now_ms)
        progress.record(run, row.percent, now_ms)
        run.use = row.use
        if (
            run.stop_reason == late_starts.NOT_ANSWERED
            and not run.is_stop_sent
        ):
            # The run is listed, so its start did take effect.
            run.stop_reason = ''
            run.unanswered_at_ms = 0
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
    worker.set_untracked(untracked_size, has_unsized_run)
    return listed


def _record_begun(cell: 'cell_mod.Cell', run: run_mod.Run) -> None:
    """Record that a run is known to have begun."""
    run.is_start_lost = False
    job = run.task.step.job
    if not job.has_started:
        cell.mark_dirty(job)
    job.record_begun()


def _is_absence_certain(run: run_mod.Run, sent_at_ms: int) -> bool:
    """Return whether an answer without a run proves that it is not there.

    ``sent_at_ms`` is when the call was sent.
    """
    if run.state is run_mod.RunState.PLACED:
        return False
    known_at_ms = run.known_at_ms
    if run.stop_answered_at_ms is not None:
        known_at_ms = run.stop_answered_at_ms
    return known_at_ms is not None and known_at_ms < sent_at_ms


def _apply_end(cell: 'cell_mod.Cell', worker, end, now_ms: int) -> None:
    run = worker.run_by_task.get(end.task)
    if run is not None and run.run_id == end.run_id:
        run.is_listed = True
        run_ends.apply(cell, run, end.how, end.checkpoint, now_ms)
        return
    run_ends.apply_untracked(cell, end, now_ms)


def apply_start_outcome(
    cell: 'cell_mod.Cell',
    run: run_mod.Run,
    outcome: reports.StartOutcome,
    now_ms: int,
) -> None:
    """Apply the answer to a start, or the lack of one."""
    run.is_under_way = False
    if run.worker.run_by_task.get(run.task.name) is not run:
        return
    if outcome.is_running:
        _record_begun(cell, run)
        late_starts.record_answered(run, now_ms)
        run.state = run_mod.RunState.RUNNING
        run.known_at_ms = now_ms
        if not run.task.checkpoint:
            run.began_at_ms = now_ms
        return
    cell.log_event(
        'start_failed',
        task=run.task.name,
        run_id=run.run_id,
        worker=run.worker.worker_id,
        known=outcome.is_known,
        refusal=outcome.refusal,
        detail=outcome.detail,
    )
    if not outcome.is_known:
        run.worker.mark_unresponsive(now_ms)
        _handle_unanswered_start(cell, run, now_ms)
        return
    advice = run.task.step.advice
    if outcome.refusal is reports.StartRefusal.TICKET and advice is not None:
        advice.drop({run.worker.worker_id})
    if outcome.refusal in _INCONCLUSIVE_REFUSALS:
        # The next list shows the run, its end or its absence.
        run.known_at_ms = now_ms
        return
    run_ends.apply(cell, run, reports.EndKind.REFUSED, '', now_ms)


def _handle_unanswered_start(
    cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int
) -> None:
    """Stop a run whose start may have taken effect or may still do so.

    If a late start may act at the worker's next incarnation, the run is
    started again instead once a list does not contain it. A service's task
    may be running already, so it is stopped only once a later list of the
    worker does not contain it.
    """
    if late_starts.is_only_start_listed(run):
        return
    late_starts.record_unanswered(run, now_ms)
    run.is_start_lost = True
    run.task.step.job.record_not_begun()
    cell.mark_dirty(run.task.step.job)
    if late_starts.is_start_repeated(run):
        run.known_at_ms = now_ms
    elif run.task.step.spec.may_miss:
        run.stop_reason = late_starts.NOT_ANSWERED
        run.unanswered_at_ms = now_ms
    else:
        cell.stop(run, late_starts.NOT_ANSWERED)


def is_start_unanswered(run: run_mod.Run) -> bool:
    """Return whether a run is stopped because its start had no answer."""
    return run.stop_reason == late_starts.NOT_ANSWERED


def apply_stop_answer(
    run: run_mod.Run, is_answered: bool, now_ms: int
) -> None:
    """Apply the answer to a stop; without one, the stop is repeated."""
    if is_answered:
        run.stop_answered_at_ms = now_ms
    else:
        run.is_stopping = False

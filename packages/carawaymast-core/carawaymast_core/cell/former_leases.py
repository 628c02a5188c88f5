"""What a leader knows of the leases that its predecessors left.

A worker that a new leader does not reach may have runs until its lease has
expired. How long that is depends on until when its predecessors may have
renewed it, on the longest lease that this incarnation may have, and on whether
a run is certainly at this incarnation. The last two stand in the record of the
run, see ``records.RunRecord``.
"""

import math
import typing

from carawaymast_core.cell import late_starts
from carawaymast_core.cell import records
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker_lease

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'ListedJobs',
    'adopted_lease_ms',
    'lapsed_runs',
    'record_bound',
    'record_listed',
    'unreached_record',
]

# Runs that end sooner need no further record.
MIN_LISTED_MS = 1_000
RECORD_DELAY_MS = 500


class ListedJobs:
    """Jobs of which a run was listed: their states are written with others.

    After ``RECORD_DELAY_MS`` they are written in any case.
    """

    def __init__(self) -> None:
        self._job_ids: set[str] = set()
        self._since_ms = 0

    def add(self, job_id: str, now_ms: int) -> None:
        """Add a job."""
        if not self._job_ids:
            self._since_ms = now_ms
        self._job_ids.add(job_id)

    def is_due(self, now_ms: int) -> bool:
        """Return whether the states have waited for long enough."""
        waited_ms = now_ms - self._since_ms
        return bool(self._job_ids) and waited_ms >= RECORD_DELAY_MS

    def take(self) -> set[str]:
        """Return all jobs, and forget them."""
        found, self._job_ids = self._job_ids, set()
        return found


def record_bound(cell: 'cell_mod.Cell', run: run_mod.Run) -> None:
    """Record that no further incarnation can begin a run about to start.

    Nothing is known of a lease that is shorter than the longest one. If its
    start waits for a confirmation, the run is bound for all that read its
    record, and not yet for this leader.
    """
    if run.lease_ms:
        return
    if not late_starts.may_act_later(run):
        run.lease_ms = cell.max_lease_ms
    elif cell.confirms_tickets and late_starts.needs_confirmation(run):
        run.stored_lease_ms = cell.max_lease_ms


def record_listed(
    cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int
) -> None:
    """Record that the run's incarnation has listed it after its only start.

    No other start of it can be carried out late, so it is nowhere else. A
    record of the job is written soon, with others.
    """
    if run.starts != 1 or now_ms - run.placed_at_ms < MIN_LISTED_MS:
        return
    usual_ms = worker_lease.usual_ms(cell.lease_ms)
    is_usual = run.worker.lease.left_ms <= usual_ms
    lease_ms = usual_ms if is_usual else cell.max_lease_ms
    if not run.lease_ms or lease_ms < run.lease_ms:
        run.lease_ms = lease_ms
        cell.listed.add(run.task.step.job.job_id, now_ms)


def adopted_lease_ms(
    cell: 'cell_mod.Cell', worker: 'worker_mod.Worker', now_ms: int
) -> int:
    """Return the longest lease that a worker may have at its first answer.

    A longer one than leaders name is left by calls for a former incarnation.
    A record of a run shows that a leader has ruled it out. There is none
    either if this leader knows of no former incarnation, and calls of former
    leaders for one would have expired.
    """
    recorded_ms = _recorded_lease_ms(worker)
    if recorded_ms is not None and recorded_ms < cell.max_lease_ms:
        return recorded_ms
    late_ms = late_starts.LATE_CALL_MS + worker_lease.max_real_ms(
        cell.max_lease_ms
    )
    if worker.is_first and now_ms >= cell.formers_until_ms + late_ms:
        return min(worker_lease.usual_ms(cell.lease_ms), cell.max_lease_ms)
    return cell.max_lease_ms


def lapsed_runs(
    cell: 'cell_mod.Cell', worker: 'worker_mod.Worker', now_ms: int
) -> list[run_mod.Run]:
    """Return the runs of a worker that was never reached that have ended.

    Their lease has expired: no former leader has named a later deadline, and
    no start of them may be carried out by another incarnation. Runs that this
    leader has moved there are not among them: it may have sent their starts.
    """
    if now_ms < _lapses_at_ms(cell, worker):
        return []
    return [run for run in worker.run_by_task.values() if run.lease_ms]


def unreached_record(
    cell: 'cell_mod.Cell', now_ms: int
) -> records.UnreachedRecord | None:
    """Return what the next leader needs to know of workers that are lost.

    This one must have stopped all calls to workers. None if there are none.
    """
    rows = []
    for worker in cell.worker_by_key.values():
        is_reached = worker.lease.assumed_lost_at_ms is None
        left_ms = _lapses_at_ms(cell, worker) - now_ms
        if worker.run_by_task and not is_reached and math.isfinite(left_ms):
            rows.append((*worker.key, max(0, math.ceil(left_ms))))
    return records.UnreachedRecord(cell.epoch, tuple(rows)) if rows else None


def _lapses_at_ms(cell: 'cell_mod.Cell', worker: 'worker_mod.Worker') -> float:
    """Return when the lease of a worker that was never reached has expired."""
    recorded_ms = _recorded_lease_ms(worker)
    lease_ms = cell.max_lease_ms if recorded_ms is None else recorded_ms
    until_ms = cell.formers_until_ms + worker_lease.max_real_ms(lease_ms)
    if worker.lapses_at_ms is None:
        return until_ms
    return min(until_ms, worker.lapses_at_ms)


def _recorded_lease_ms(worker: 'worker_mod.Worker') -> int | None:
    """Return the lease that records of runs show; None if none does."""
    found = [run.lease_ms for run in worker.run_by_task.values()]
    return min((lease_ms for lease_ms in found if lease_ms), default=None)

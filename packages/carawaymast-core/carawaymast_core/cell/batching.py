"""Collects what a cell writes to the store with one append."""

import typing

from carawaymast_core import resources
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import placing
from carawaymast_core.cell import records
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import start_check

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = ['Batch', 'mark_stored', 'collect']

# A new leader lacks at most the measurements of one interval.
SPEED_RECORD_INTERVAL_MS = 4_000


class Batch(typing.NamedTuple):
    """What one append writes, and what to do once it is stored.

    Then the runs in ``starts`` are started, and ended runs are acknowledged up
    to the numbers in ``acks``, by the workers' keys. ``dropped_keys`` are the
    keys of state records to delete.
    """

    submission_by_id: dict[str, spec_mod.Submission]
    records_by_id: dict[str, records.JobRecord]
    starts: list[run_mod.Run]
    acks: dict[tuple[str, int], int]
    dropped_keys: typing.Sequence[str] = ()
    speeds: records.SpeedRecord | None = None
    unreached: records.UnreachedRecord | None = None

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write or to acknowledge."""
        return not (
            self.submission_by_id
            or self.records_by_id
            or self.starts
            or self.acks
            or self.dropped_keys
            or self.speeds
            or self.unreached
        )


def collect(cell: 'cell_mod.Cell', wall_ms: int) -> Batch:
    """Return the changes since the last call, to be written.

    Jobs with a start become running, and jobs that are over are removed from
    the cell.
    """
    placing.align_gang_run_ids(cell)
    records_by_id = {}
    for run in cell.starts:
        former_leases.record_bound(cell, run)
        task = run.task
        task.last_run_id = max(task.last_run_id, run.run_id)
        job = run.task.step.job
        # A job may have ended since a start of it was to be repeated.
        if not job.has_started and not job.phase.is_final:
            job.has_started = True
            job.phase = records.JobPhase.RUNNING
            job.changed_at_ms = wall_ms
    if cell.dirty_ids:
        cell.dirty_ids |= cell.listed.take()
    for job_id in cell.dirty_ids:
        job = cell.job_by_id.get(job_id)
        if job is None:
            continue
        records_by_id[job_id] = job.record()
        if job.phase.is_final and not any(job.runs()):
            del cell.job_by_id[job_id]
    batch = Batch(
        cell.new_by_id,
        records_by_id,
        cell.starts,
        cell.acks,
        cell.dropped_keys,
        _due_speed_record(cell, wall_ms),
    )
    cell.new_by_id = {}
    cell.dirty_ids = set()
    cell.starts = []
    cell.acks = {}
    cell.dropped_keys = []
    return batch


def mark_stored(cell: 'cell_mod.Cell', batch: Batch) -> list[run_mod.Run]:
    """Mark a batch as stored; return the runs to start.

    Those that may not start any more are withdrawn, and placed anew.
    """
    for key, number in batch.acks.items():
        worker = cell.worker_by_key.get(key)
        if worker is not None:
            worker.ack_number = max(worker.ack_number, number)
    _withdraw_unfit(batch.starts)
    starts = []
    for run in batch.starts:
        if run.worker.run_by_task.get(run.task.name) is not run:
            continue
        if run.state is run_mod.RunState.RUNNING:
            # A repeated start; a list has shown the run meanwhile.
            continue
        run.state = run_mod.RunState.ORDERED
        reason = start_check.refusal(run)
        if reason:
            start_check.withdraw(cell, run, reason, run.placed_at_ms)
            continue
        run.is_under_way = True
        starts.append(run)
    return starts


def _withdraw_unfit(runs: typing.Sequence[run_mod.Run]) -> None:
    """Mark runs that must not start where they were placed any more.

    All members of a gang are marked with one of them.
    """
    free_by_worker: dict[tuple[str, int], resources.Resources] = {}
    unfit_gang_runs = set()
    # The latest placements are withdrawn first.
    for run in reversed(runs):
        worker, step = run.worker, run.task.step
        if worker.run_by_task.get(run.task.name) is not run:
            continue
        free = free_by_worker.get(worker.key, worker.free)
        run.stop_reason = run.stop_reason or start_check.refusal(run)
        if not run.stop_reason and min(free) < 0:
            run.stop_reason = 'its worker has shrunk'
        if not run.stop_reason:
            continue
        free_by_worker[worker.key] = free.plus(step.spec.allocated_size)
        if step.spec.is_gang:
            unfit_gang_runs.add((step.name, run.run_id))
    for run in runs:
        if (run.task.step.name, run.run_id) in unfit_gang_runs:
            run.stop_reason = run.stop_reason or 'its gang has lost a member'


def _due_speed_record(
    cell: 'cell_mod.Cell', wall_ms: int
) -> records.SpeedRecord | None:
    """Return the speeds of workers if they are due to be stored."""
    if wall_ms - cell.speeds_stored_at_ms < SPEED_RECORD_INTERVAL_MS:
        return None
    cell.speeds_stored_at_ms = wall_ms
    rows = cell.speeds.rows()
    return records.SpeedRecord(rows) if rows else None

"""The state of a cell at its leader and every rule for changing it.

``Cell`` does no I/O. The leader reports events to it and takes from it the
records to write and the orders to send. A start is handed out only after the
record of its placement is stored, and an end is acknowledged only after its
effect is.

``now_ms`` is the leader's steady clock, ``wall_ms`` the time of day in ms
since 1970. Stored times are times of day, since steady clocks differ by node.
"""

import math
import typing

from carawaymast_core import resources
from carawaymast_core.cell import admission
from carawaymast_core.cell import advice as advice_mod
from carawaymast_core.cell import advice_calls
from carawaymast_core.cell import availability
from carawaymast_core.cell import fencing
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import jobs
from carawaymast_core.cell import records
from carawaymast_core.cell import reservations
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import takeover
from carawaymast_core.cell import throttling
from carawaymast_core.cell import view as view_mod
from carawaymast_core.cell import waiting as waiting_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_speed

__all__ = ['Cell']


Log = typing.Callable[..., None]


class Cell:
    """The jobs and workers of one cell, as managed by its leader."""

    def __init__(
        self,
        epoch: int,
        lease_ms: int,
        log: Log,
        max_lease_ms: int | None = None,
    ):
        self.epoch = epoch
        self.lease_ms = lease_ms
        # What a worker shortens longer leases to.
        self.max_lease_ms = max_lease_ms or lease_ms
        self._log = log
        self.job_by_id: dict[str, jobs.Job] = {}
        self.worker_by_key: dict[tuple[str, int], worker_mod.Worker] = {}
        self.fencing_tokens = fencing.FencingTokens(epoch)
        # The workers that have restarted under their ids since the last plan.
        self.restarted_ids: set[str] = set()
        # All workers that this leader has known.
        self.known_ids: set[str] = set()
        # Until when former leaders may renew leases, see ``former_terms``.
        self.formers_until_ms = math.inf
        # Whether a start with a ticket is sent only once the incarnation of
        # its worker has answered since the ticket came.
        self.confirms_tickets = False
        # Of the leader right before this one.
        self.former_epoch: int | None = None
        self.ready_by_name = waiting_mod.WaitingSteps()
        self.scheduled_by_name: dict[str, jobs.StepState] = {}
        self.reservations = reservations.Reservations(
            lambda **fields: self.log_event('reservation_expired', **fields)
        )
        self.stops: list[worker_mod.StopOrder] = []
        self._wall_offset_ms = 0
        self.speeds = worker_speed.SpeedEstimator()
        self.disturbances = throttling.DisturbanceScores()
        self.speed_limit_orders: list[worker_mod.SpeedLimitOrder] = []
        # Steps that allow speculative copies, while any of their tasks run.
        self.speculative_by_name: dict[str, jobs.StepState] = {}
        self.copies_checked_at_ms = 0
        self.advice_calls = advice_calls.AdviceCalls()
        # A time of day.
        self.speeds_stored_at_ms = 0
        # When workers were last checked for overdue runs.
        self.overdue_checked_at_ms = 0
        # Crashes of workers with runs, under this leader.
        self.crashed_workers = 0
        # The usable workers as of the last plan, and what admission goes by,
        # which is computed when it is first needed after a plan.
        self.fleet = fleet_mod.Fleet(())
        self._admission: admission.Admission | None = None
        # The largest capacity that workers have had, see ``admission``.
        self._largest_seen_by_service: dict[str, resources.Resources] = {}
        # For the next batch, see ``batching``: accepted jobs, the ids of jobs
        # whose state has changed, runs to start, and the numbers of the last
        # ended runs by the workers' keys.
        self.new_by_id: dict[str, spec_mod.Submission] = {}
        self.dirty_ids: set[str] = set()
        self.listed = former_leases.ListedJobs()
        self.starts: list[run_mod.Run] = []
        self.acks: dict[tuple[str, int], int] = {}
        # State records that have expired, see ``retention``.
        self.dropped_keys: list[str] = []

    # -- jobs --------------------------------------------------------------

    def check_admission(
        self, submission: spec_mod.Submission
    ) -> admission.Refusal | None:
        """Return why a new job is to be refused, or None to admit it.

        The fleet is that of the last plan.
        """
        if submission.job_id in self.job_by_id:
            return None
        if self._admission is None:
            self._admission = admission.Admission(
                self.ready_by_name,
                self.fleet,
                self._largest_seen_by_service,
                self.reservations.worker_ids,
                self.advice_calls,
            )
        return admission.check_admission(submission, self._admission)

    def set_fleet(self, fleet: fleet_mod.Fleet) -> None:
        """Set the usable workers after a plan, for the admission of jobs."""
        self.fleet = fleet
        self._admission = None
        for service, largest in fleet.largest_by_service.items():
            seen = self._largest_seen_by_service.get(service, largest)
            raised = seen.raised_to(largest)
            self._largest_seen_by_service[service] = raised

    def accept(
        self, submission: spec_mod.Submission, now_ms: int, wall_ms: int
    ) -> None:
        """Add a job that is not stored yet; the next batch stores it.

        It may be placed at once, since its placement is in the same batch or
        a later one.
        """
        if submission.job_id in self.job_by_id:
            return
        job = jobs.Job(submission, wall_ms)
        self.job_by_id[submission.job_id] = job
        self.new_by_id[submission.job_id] = submission
        self.update_ready_steps(job, now_ms, wall_ms)

    def withdraw(self, job_id: str) -> bool:
        """Remove a job that has no runs and is in no batch yet.

        Return False if it stays, True also if it was withdrawn before, for
        another call.
        """
        job = self.job_by_id.get(job_id)
        if job is None:
            return True
        if job_id not in self.new_by_id or any(job.runs()):
            return False
        del self.job_by_id[job_id]
        del self.new_by_id[job_id]
        self.dirty_ids.discard(job_id)
        self._remove_steps(job)
        return True

    def sync_job(
        self,
        view: view_mod.JobView,
        job_id: str,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Add a job from the view, or apply its cancellation."""
        job = self.job_by_id.get(job_id)
        submission = view.submission_by_id.get(job_id)
        if submission is None and job is None:
            return
        record = view.record_by_id.get(job_id)
        if job is None:
            if record is not None and record.is_over:
                return
            job = jobs.Job(submission, wall_ms)
            self.job_by_id[job_id] = job
            if record is not None:
                takeover.restore(self, job, record, now_ms)
            self.update_ready_steps(job, now_ms, wall_ms)
        if job_id in view.cancelled_at_ms_by_id:
            self._cancel(job, wall_ms)
        if job.phase.is_final:
            self.end_job(job, job.phase, job.cause, wall_ms)

    def _cancel(self, job: jobs.Job, wall_ms: int) -> None:
        if job.is_cancelled or job.phase.is_final:
            return
        job.is_cancelled = True
        self.end_job(job, records.JobPhase.CANCELED, 'by the caller', wall_ms)

    def end_job(self, job: jobs.Job, phase, cause: str, wall_ms: int) -> None:
        """Set the final phase of a job and stop its remaining runs."""
        if not job.phase.is_final:
            job.changed_at_ms = wall_ms
            self.log_event(
                'job_ended',
                job=job.job_id,
                phase=phase.value,
                cause=cause,
                took_ms=wall_ms - job.submission.accepted_at_ms,
                objective_ms=job.objective_ms,
            )
        job.phase = phase
        job.cause = cause
        self.mark_dirty(job)
        self._remove_steps(job)
        for run in list(job.runs()):
            self.stop(run, f'job {phase.value}')
        self.mark_dirty_if_over(job)

    def _remove_steps(self, job: jobs.Job) -> None:
        """Remove the steps of a job from those that are yet to be planned."""
        for step in job.steps():
            self.ready_by_name.pop(step.name, None)
            self.scheduled_by_name.pop(step.name, None)
            self.speculative_by_name.pop(step.name, None)

    def mark_dirty_if_over(self, job: jobs.Job) -> None:
        """Have the next batch write an ended job without runs."""
        if job.phase.is_final and not any(job.runs()):
            self.mark_dirty(job)

    def mark_dirty(self, job: jobs.Job) -> None:
        """Have the next batch write the state of a job."""
        self.dirty_ids.add(job.job_id)

    def update_ready_steps(
        self, job: jobs.Job, now_ms: int, wall_ms: int
    ) -> None:
        """Update which steps of a job have tasks to start, now or later."""
        if job.phase.is_final:
            return
        for step in job.steps():
            if step.is_done or not any(t.is_waiting for t in step.tasks):
                self.ready_by_name.pop(step.name, None)
            elif step.is_ready(wall_ms):
                self.make_ready(step, now_ms)
            elif job.due_at_ms(step.occurrence) > wall_ms:
                self.scheduled_by_name[step.name] = step

    def make_ready(self, step: jobs.StepState, now_ms: int) -> None:
        """Add a step to those that the next plan places."""
        self.scheduled_by_name.pop(step.name, None)
        if step.name in self.ready_by_name:
            self.ready_by_name.update_tasks(step)
            return
        step.ready_at_ms = step.ready_at_ms or now_ms
        policy = step.job.submission.queue.advice
        if policy is not None and step.advice is None:
            step.advice = advice_mod.StepAdvice(now_ms)
        self.ready_by_name[step.name] = step

    def stop(self, run: run_mod.Run, reason: str) -> None:
        """Order the stop of a run; its capacity stays in use until its end.

        The stop of a service's task waits while too many others are
        unavailable.
        """
        run.stop_reason = run.stop_reason or reason
        if run.is_stopping or run.state is run_mod.RunState.PLACED:
            return
        if not availability.may_stop(run):
            return
        run.is_stopping = True
        run.is_stop_sent = True
        self.stops.append(
            worker_mod.StopOrder(run.worker, run.task.name, run.run_id, run)
        )

    # -- lookup ------------------------------------------------------------

    def find_task(self, name: str) -> jobs.Task | None:
        """Return the task named ``JOB.OCCURRENCE.STEP.INDEX``, or None.

        None if its job is over, or if no task has this name.
        """
        job_id, _, rest = name.partition('.')
        job = self.job_by_id.get(job_id)
        if job is None:
            return None
        return job.find_task(rest)

    # -- used when runs end ------------------------------------------------

    def release(self, run: run_mod.Run) -> None:
        """Free the capacity of a run that is certainly not running."""
        run.worker.remove(run)
        run.task.runs.remove(run)
        self.mark_dirty(run.task.step.job)

    def update_job(self, job: jobs.Job, now_ms: int) -> None:
        """Complete a job, or update it, after a change to its tasks."""
        wall_ms = self.wall_ms_at(now_ms)
        if job.phase.is_final:
            self.mark_dirty_if_over(job)
        elif job.is_complete:
            self.end_job(job, records.JobPhase.COMPLETED, '', wall_ms)
        else:
            self.update_ready_steps(job, now_ms, wall_ms)

    def fail_job(self, job: jobs.Job, cause: str, now_ms: int) -> None:
        """End a job of which a task has failed too often."""
        if not job.phase.is_final:
            wall_ms = self.wall_ms_at(now_ms)
            self.end_job(job, records.JobPhase.FAILED, cause, wall_ms)

    # -- log and clock -----------------------------------------------------

    def log_event(self, event_type: str, **fields) -> None:
        """Write an event and its fields to the log."""
        self._log(event_type, **fields)

    def wall_ms_at(self, now_ms: int) -> int:
        """Return the time of day at ``now_ms``, see ``set_clock``."""
        return self._wall_offset_ms + now_ms

    def set_clock(self, now_ms: int, wall_ms: int) -> None:
        """Set the difference between the time of day and the steady clock."""
        self._wall_offset_ms = wall_ms - now_ms

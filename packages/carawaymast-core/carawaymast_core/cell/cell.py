"""The state of a cell at its leader and every rule for changing it.

``Cell`` does no I/O. The leader tells it what happened; it answers with
records to write and orders to send. A start is handed out only after the
record of its placement is in the store, and an end is acknowledged only
after its effect is.
"""

import typing

from carawaymast_core import errors
from carawaymast_core.cell import admission
from carawaymast_core.cell import advice as advice_mod
from carawaymast_core.cell import ends
from carawaymast_core.cell import jobs
from carawaymast_core.cell import planner
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import view as view_mod
from carawaymast_core.cell import worker as worker_mod

__all__ = ['Batch', 'Cell', 'StopOrder']

# The longest a worker that the leader never reached may hold runs: the old
# leader's last renewal, its grace without the store and the lease itself.
UNREACHED_WORKER_MS = 14_000
# A drained worker's runs that cannot end in time are stopped so long before
# it leaves: a stop takes up to 0.9 s, and its end has to be listed.
LEAVE_MARGIN_MS = 1_300


class StopOrder(typing.NamedTuple):
    """A run that a worker shall stop."""

    worker: worker_mod.Worker
    task_name: str
    run_id: int
    run: worker_mod.Run | None


class Batch(typing.NamedTuple):
    """What one append writes, and what may follow once it is stored."""

    submission_by_id: dict[str, spec_mod.Submission]
    records_by_id: dict[str, records.JobRecord]
    starts: list[worker_mod.Run]
    acks: dict[tuple[str, int], int]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write or to acknowledge."""
        return not (
            self.submission_by_id
            or self.records_by_id
            or self.starts
            or self.acks
        )


Log = typing.Callable[..., None]


class Cell:
    """The jobs and workers of one cell, as its leader decides them."""

    def __init__(self, epoch: int, lease_ms: int, log: Log):
        self.epoch = epoch
        self._lease_ms = lease_ms
        self._log = log
        self.job_by_id: dict[str, jobs.Job] = {}
        self.worker_by_key: dict[tuple[str, int], worker_mod.Worker] = {}
        self.ready_by_name: dict[str, jobs.StepState] = {}
        self.timed_steps: dict[str, jobs.StepState] = {}
        self.stops: list[StopOrder] = []
        self._wall_offset_ms = 0
        self._backlog = admission.Backlog({}, {})
        self._new_by_id: dict[str, spec_mod.Submission] = {}
        self._dirty: set[str] = set()
        self._starts: list[worker_mod.Run] = []
        self._acks: dict[tuple[str, int], int] = {}

    # -- jobs --------------------------------------------------------------

    def load(self, view: view_mod.JobView, now_ms: int, wall_ms: int) -> None:
        """Take over the open jobs that the store knows."""
        for job_id in view.open_ids():
            self.submit(view, job_id, now_ms, wall_ms)
        for job_id, record in view.record_by_id.items():
            if record.phase.is_final and record.tasks:
                self.submit(view, job_id, now_ms, wall_ms)

    def judge(
        self, submission: spec_mod.Submission
    ) -> admission.Refusal | None:
        """Return why a new job should not be taken, by the last plan."""
        if submission.job_id in self.job_by_id:
            return None
        return admission.judge(submission, self._backlog)

    def accept(
        self, submission: spec_mod.Submission, now_ms: int, wall_ms: int
    ) -> None:
        """Take in a job that is not stored yet; the next batch stores it.

        It may be placed at once: its placement is in the same batch or a
        later one.
        """
        if submission.job_id in self.job_by_id:
            return
        job = jobs.Job(submission, wall_ms)
        self.job_by_id[submission.job_id] = job
        self._new_by_id[submission.job_id] = submission
        self._refresh(job, now_ms, wall_ms)

    def submit(
        self,
        view: view_mod.JobView,
        job_id: str,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Take a job from the view, or its cancelling."""
        job = self.job_by_id.get(job_id)
        submission = view.submission_by_id.get(job_id)
        if submission is None and job is None:
            return
        record = view.record_by_id.get(job_id)
        if job is None:
            if record is not None and not record.tasks:
                if record.phase.is_final:
                    return
            job = jobs.Job(submission, wall_ms)
            self.job_by_id[job_id] = job
            if record is not None:
                self._restore(job, record, now_ms)
            self._refresh(job, now_ms, wall_ms)
        if job_id in view.cancelled_ids:
            self._cancel(job, wall_ms)
        if job.phase.is_final:
            self._end_job(job, job.phase, job.cause, wall_ms)

    def _restore(self, job: jobs.Job, record, now_ms: int) -> None:
        """Set a job to what the former leader wrote."""
        job.phase = record.phase
        job.cause = record.cause
        job.has_started = record.has_started
        for steps, rows in zip(
            job.steps_by_occurrence, record.tasks, strict=False
        ):
            for step, task_rows in zip(steps, rows, strict=True):
                for task, row in zip(step.tasks, task_rows, strict=True):
                    self._restore_task(task, row, now_ms)

    def _restore_task(self, task: jobs.Task, row, now_ms: int) -> None:
        task.is_done = row.is_done
        task.last_run_id = row.last_run_id
        task.failures = row.failures
        task.checkpoint = row.checkpoint
        for run_row in row.runs:
            key = (run_row.worker_id, run_row.born_ms)
            worker = self.worker_by_key.get(key)
            if worker is None:
                worker = self._add_unlisted(key, now_ms)
            run = worker_mod.Run(task, run_row.run_id, worker, now_ms)
            run.state = worker_mod.RunState.ORDERED
            # The first hold with the new epoch shows whether it is there:
            # an order of the former leader cannot take effect after it.
            run.known_at_ms = -1
            worker.add(run)
            task.runs.append(run)

    def _add_unlisted(self, key, now_ms: int) -> worker_mod.Worker:
        """Add a worker that only the journal names."""
        entry = ends.unlisted_entry(key)
        worker = worker_mod.Worker(entry)
        worker.is_listed = False
        worker.write_off_at_ms = now_ms + UNREACHED_WORKER_MS
        self.worker_by_key[key] = worker
        return worker

    def _cancel(self, job: jobs.Job, wall_ms: int) -> None:
        if job.is_cancelled or job.phase.is_final:
            return
        job.is_cancelled = True
        self._end_job(job, records.JobPhase.CANCELED, 'by the caller', wall_ms)

    def _end_job(self, job: jobs.Job, phase, cause: str, wall_ms: int) -> None:
        """Give a job its final state and stop what still runs of it."""
        if not job.phase.is_final:
            job.changed_at_ms = wall_ms
            self._log(
                'job_ended',
                job=job.job_id,
                phase=phase.value,
                cause=cause,
                took_ms=wall_ms - job.submission.accepted_at_ms,
                objective_ms=job.objective_ms,
            )
        job.phase = phase
        job.cause = cause
        self._mark(job)
        for step in job.steps():
            self.ready_by_name.pop(step.name, None)
            self.timed_steps.pop(step.name, None)
        for run in list(job.runs()):
            self.stop(run, f'job {phase.value}')
        self._drop_if_over(job)

    def _drop_if_over(self, job: jobs.Job) -> None:
        if job.phase.is_final and not any(job.runs()):
            self._mark(job)

    def _mark(self, job: jobs.Job) -> None:
        self._dirty.add(job.job_id)

    def _refresh(self, job: jobs.Job, now_ms: int, wall_ms: int) -> None:
        """List the steps of a job that have tasks to start."""
        if job.phase.is_final:
            return
        for step in job.steps():
            if step.is_done or not any(t.is_waiting for t in step.tasks):
                self.ready_by_name.pop(step.name, None)
            elif step.is_ready(wall_ms):
                self._make_ready(step, now_ms)
            elif job.due_at_ms(step.occurrence) > wall_ms:
                self.timed_steps[step.name] = step

    def _make_ready(self, step: jobs.StepState, now_ms: int) -> None:
        self.timed_steps.pop(step.name, None)
        if step.name in self.ready_by_name:
            return
        step.ready_at_ms = step.ready_at_ms or now_ms
        policy = step.job.submission.queue.advice
        if policy is not None and step.advice is None:
            step.advice = advice_mod.StepAdvice()
        self.ready_by_name[step.name] = step

    # -- workers -----------------------------------------------------------

    def take_worker(
        self, entry: worker_mod.WorkerEntry, now_ms: int
    ) -> worker_mod.Worker | None:
        """Note what a worker says of itself; return it if it is new."""
        key = (entry.worker_id, entry.born_ms)
        lives = [
            w
            for w in self.worker_by_key.values()
            if w.worker_id == entry.worker_id
        ]
        if any(other.born_ms > entry.born_ms for other in lives):
            return None
        worker = self.worker_by_key.get(key)
        if worker is None:
            worker = worker_mod.Worker(entry)
            worker.write_off_at_ms = now_ms + UNREACHED_WORKER_MS
            self.worker_by_key[key] = worker
            self._log('worker_listed', worker=key[0], born_ms=key[1])
            for other in lives:
                self._inherit(worker, other, now_ms)
            return worker
        was_listed = worker.is_listed and not worker.is_gone
        if entry.is_draining and not worker.entry.is_draining:
            self._log(
                'worker_draining',
                worker=key[0],
                remaining_ms=entry.remaining_ms,
            )
        worker.entry = entry
        worker.is_listed = True
        return None if was_listed else worker

    def drop_worker(self, worker_id: str, now_ms: int) -> None:
        """Note that a worker is not listed any more; its runs stay."""
        for worker in self.worker_by_key.values():
            if worker.worker_id == worker_id and worker.is_listed:
                worker.is_listed = False
                self._log('worker_unlisted', worker=worker_id)

    def lose_life(
        self, worker: worker_mod.Worker, why: str, now_ms: int
    ) -> None:
        """Note that a life of a worker has certainly ended."""
        if worker.is_gone:
            return
        worker.is_gone = True
        self._log('worker_gone', worker=worker.worker_id, why=why)
        self.worker_by_key.pop(worker.key, None)
        for run in list(worker.run_by_task.values()):
            ends.apply(self, run, worker_mod.EndKind.LAPSED, '', now_ms)

    def _inherit(
        self,
        heir: worker_mod.Worker,
        former: worker_mod.Worker,
        now_ms: int,
    ) -> None:
        """Move runs to a worker's next life, which may have the same id.

        A start that was under way may take effect there, so only the new
        life's own lists, or a stop that it answered, show that it did not.
        """
        for run in list(former.run_by_task.values()):
            former.remove(run)
            run.worker = heir
            heir.add(run)
            if run.state is worker_mod.RunState.RUNNING:
                run.known_at_ms = now_ms
            run.is_stopping = False
            run.stop_answered_at_ms = None
            if run.state is not worker_mod.RunState.PLACED:
                run.state = worker_mod.RunState.ORDERED
                self.stop(run, 'its worker has started anew')
            self._mark(run.task.step.job)
        self.lose_life(former, 'reborn', now_ms)

    # -- answers of workers ------------------------------------------------

    def take_hold(
        self,
        worker: worker_mod.Worker,
        answer: worker_mod.HoldAnswer,
        sent_at_ms: int,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Learn from both lists of a worker."""
        if worker.is_gone:
            return
        if answer.born_ms != worker.born_ms:
            entry = worker.entry._replace(born_ms=answer.born_ms)
            self.take_worker(entry, now_ms)
            return
        worker.note_clock(answer.clock_ms, now_ms)
        worker.write_off_at_ms = None
        worker.is_doubtful = False
        if not worker.is_adopted:
            worker.is_adopted = True
            worker.assume_lease(self._lease_ms)
            self._log(
                'worker_adopted',
                worker=worker.worker_id,
                running=len(answer.running),
                ended=len(answer.ended),
            )
        ended_names = {(end.task, end.run_id) for end in answer.ended}
        for end in answer.ended:
            if end.number > worker.seen_number:
                worker.seen_number = end.number
                self._acks[worker.key] = end.number
                self._take_end(worker, end, now_ms, wall_ms)
        listed = self._take_running(worker, answer.running, now_ms)
        for run in list(worker.run_by_task.values()):
            name = (run.task.name, run.run_id)
            if name in listed or name in ended_names:
                continue
            if self._is_absence_certain(run, sent_at_ms):
                ends.apply(self, run, worker_mod.EndKind.ABSENT, '', now_ms)

    def _take_running(self, worker, running, now_ms: int) -> set:
        listed = set()
        for row in running:
            listed.add((row.task, row.run_id))
            run = worker.run_by_task.get(row.task)
            if run is None or run.run_id != row.run_id:
                self.stops.append(
                    StopOrder(worker, row.task, row.run_id, None)
                )
                continue
            if run.state is not worker_mod.RunState.RUNNING:
                run.state = worker_mod.RunState.RUNNING
                run.known_at_ms = now_ms
            if row.checkpoint:
                run.task.checkpoint = row.checkpoint
        return listed

    def _is_absence_certain(self, run, sent_at_ms: int) -> bool:
        if run.state is worker_mod.RunState.PLACED:
            return False
        known_at_ms = run.known_at_ms
        if run.stop_answered_at_ms is not None:
            known_at_ms = run.stop_answered_at_ms
        return known_at_ms is not None and known_at_ms < sent_at_ms

    def _take_end(self, worker, end, now_ms: int, wall_ms: int) -> None:
        run = worker.run_by_task.get(end.task)
        if run is not None and run.run_id == end.run_id:
            ends.apply(self, run, end.how, end.checkpoint, now_ms)
            return
        ends.apply_unplaced(self, end, now_ms)

    def take_start(
        self,
        run: worker_mod.Run,
        outcome: worker_mod.StartOutcome,
        now_ms: int,
    ) -> None:
        """Learn from the answer to a start, or from its absence."""
        if run.worker.run_by_task.get(run.task.name) is not run:
            return
        if outcome.is_running:
            run.state = worker_mod.RunState.RUNNING
            run.known_at_ms = now_ms
            return
        self._log(
            'start_failed',
            task=run.task.name,
            run_id=run.run_id,
            worker=run.worker.worker_id,
            known=outcome.is_known,
            refusal=outcome.refusal,
            detail=outcome.detail,
        )
        if not outcome.is_known:
            run.worker.is_doubtful = True
            self.stop(run, 'start not answered')
            return
        advice = run.task.step.advice
        if (
            outcome.refusal is worker_mod.StartRefusal.TICKET
            and advice is not None
        ):
            advice.drop(run.worker.worker_id)
        if outcome.refusal is worker_mod.StartRefusal.STALE_RUN:
            run.known_at_ms = now_ms
            return
        ends.apply(self, run, worker_mod.EndKind.REFUSED, '', now_ms)

    def take_stop(
        self, run: worker_mod.Run, is_answered: bool, now_ms: int
    ) -> None:
        """Learn that a stop was answered, or that it has to be repeated."""
        if is_answered:
            run.stop_answered_at_ms = now_ms
        else:
            run.is_stopping = False

    def stop(self, run: worker_mod.Run, reason: str) -> None:
        """Order the stop of a run; its room stays taken until it ended."""
        run.stop_reason = run.stop_reason or reason
        if run.is_stopping or run.state is worker_mod.RunState.PLACED:
            return
        run.is_stopping = True
        self.stops.append(
            StopOrder(run.worker, run.task.name, run.run_id, run)
        )

    # -- time and room -----------------------------------------------------

    def sweep(self, now_ms: int, wall_ms: int) -> None:
        """Act on what time alone changes."""
        for worker in list(self.worker_by_key.values()):
            if worker.run_by_task and worker.has_lapsed(now_ms):
                self._write_off(worker, now_ms)
            elif not worker.is_listed and not worker.run_by_task:
                self.lose_life(worker, 'unlisted and empty', now_ms)
            elif worker.entry.is_draining:
                self._evacuate(worker)
            for run in list(worker.run_by_task.values()):
                if run.stop_reason and not run.is_stopping:
                    self.stop(run, run.stop_reason)
        for step in list(self.timed_steps.values()):
            if step.is_ready(wall_ms):
                self._make_ready(step, now_ms)

    def _write_off(self, worker: worker_mod.Worker, now_ms: int) -> None:
        self._log(
            'lease_lapsed',
            worker=worker.worker_id,
            runs=len(worker.run_by_task),
            answered_ms_ago=now_ms - worker.last_answer_at_ms,
        )
        worker.is_adopted = False
        for run in list(worker.run_by_task.values()):
            ends.apply(self, run, worker_mod.EndKind.LAPSED, '', now_ms)

    def _evacuate(self, worker: worker_mod.Worker) -> None:
        """Stop what cannot end before its worker leaves."""
        remaining_ms = worker.entry.remaining_ms
        for run in list(worker.run_by_task.values()):
            step = run.task.step.spec
            is_last_call = (
                remaining_ms is not None and remaining_ms < LEAVE_MARGIN_MS
            )
            if is_last_call or step.is_checkpointing or step.is_service:
                self.stop(run, 'worker is leaving')

    def plan(self, now_ms: int, wall_ms: int) -> None:
        """Place what fits; the runs start once their records are stored."""
        workers = [
            w for w in self.worker_by_key.values() if w.is_usable(now_ms)
        ]
        ordered = planner.order(self.ready_by_name.values(), wall_ms)
        touched: dict[str, jobs.Job] = {}

        def place(placement: planner.Placement) -> None:
            self._place(placement, now_ms)
            job = placement.task.step.job
            touched[job.job_id] = job

        planner.plan(ordered, workers, now_ms, place)
        for job in touched.values():
            self._refresh(job, now_ms, wall_ms)
        self._backlog = admission.backlog(self.ready_by_name.values(), workers)

    def advice_wanted(
        self, now_ms: int, wall_ms: int
    ) -> list[tuple[jobs.StepState, list[str]]]:
        """Return the steps that need tickets, the next to start first."""
        found = []
        for step in planner.order(self.ready_by_name.values(), wall_ms):
            policy = step.job.submission.queue.advice
            if step.advice is None or step.advice.is_asked:
                continue
            candidates = [
                worker.worker_id
                for worker in self.worker_by_key.values()
                if worker.is_usable(now_ms) and planner.admits(step, worker)
            ]
            wanted = step.advice.wanted(candidates, now_ms, policy.valid_ms)
            if wanted:
                found.append((step, wanted))
        return found

    def _place(self, placement: planner.Placement, now_ms: int) -> None:
        task, worker, ticket = placement
        step = task.step
        run_id = task.last_run_id + 1
        if step.spec.is_gang:
            run_id = 1 + max(t.last_run_id for t in step.tasks if t.is_waiting)
        run = worker_mod.Run(task, run_id, worker, now_ms)
        run.ticket = ticket
        worker.add(run)
        task.runs.append(run)
        errors.check(
            min(worker.free) >= 0, f'{worker.worker_id} is over its capacity'
        )
        errors.check(
            step.spec.is_speculative or len(task.runs) == 1,
            f'{task.name} has {len(task.runs)} runs',
        )
        self._starts.append(run)
        self._mark(step.job)

    def settle_gang_runs(self) -> None:
        """Give the members placed together the same run number."""
        by_step: dict[str, list[worker_mod.Run]] = {}
        for run in self._starts:
            if run.task.step.spec.is_gang:
                by_step.setdefault(run.task.step.name, []).append(run)
        for runs in by_step.values():
            run_id = max(run.run_id for run in runs)
            for run in runs:
                run.run_id = run_id

    def take_batch(self, wall_ms: int) -> Batch:
        """Return what has changed since the last call, to be written."""
        self.settle_gang_runs()
        records_by_id = {}
        for run in self._starts:
            run.task.last_run_id = run.run_id
            job = run.task.step.job
            if not job.has_started:
                job.has_started = True
                job.phase = records.JobPhase.RUNNING
                job.changed_at_ms = wall_ms
        for job_id in self._dirty:
            job = self.job_by_id.get(job_id)
            if job is None:
                continue
            records_by_id[job_id] = job.record()
            if job.phase.is_final and not any(job.runs()):
                del self.job_by_id[job_id]
        batch = Batch(self._new_by_id, records_by_id, self._starts, self._acks)
        self._new_by_id = {}
        self._dirty = set()
        self._starts = []
        self._acks = {}
        return batch

    def commit(self, batch: Batch) -> list[worker_mod.Run]:
        """Note that a batch is stored; return the runs to start."""
        for key, number in batch.acks.items():
            worker = self.worker_by_key.get(key)
            if worker is not None:
                worker.ack_number = max(worker.ack_number, number)
        starts = []
        for run in batch.starts:
            if run.worker.run_by_task.get(run.task.name) is not run:
                continue
            run.state = worker_mod.RunState.ORDERED
            if run.stop_reason or run.task.step.job.phase.is_final:
                # It was never ordered, so it cannot be there.
                ends.apply(
                    self,
                    run,
                    worker_mod.EndKind.WITHDRAWN,
                    '',
                    run.placed_at_ms,
                )
                continue
            starts.append(run)
        return starts

    # -- used by the rules on ends -----------------------------------------

    def release(self, run: worker_mod.Run) -> None:
        """Give back a run's room; the run is certainly not there."""
        run.worker.remove(run)
        run.task.runs.remove(run)
        self._mark(run.task.step.job)

    def settle(self, job: jobs.Job, now_ms: int) -> None:
        """Find out what a job's changed tasks mean for it."""
        wall_ms = self.wall_of(now_ms)
        if job.phase.is_final:
            self._drop_if_over(job)
        elif job.is_complete:
            self._end_job(job, records.JobPhase.COMPLETED, '', wall_ms)
        else:
            self._refresh(job, now_ms, wall_ms)

    def fail_job(self, job: jobs.Job, cause: str, now_ms: int) -> None:
        """End a job whose task has failed too often."""
        if not job.phase.is_final:
            wall_ms = self.wall_of(now_ms)
            self._end_job(job, records.JobPhase.FAILED, cause, wall_ms)

    def note(self, what: str, **fields) -> None:
        """Log a decision about a run."""
        self._log(what, **fields)

    def wall_of(self, now_ms: int) -> int:
        """Return the time of day that the leader last told, see ``tick``."""
        return self._wall_offset_ms + now_ms

    def tick(self, now_ms: int, wall_ms: int) -> None:
        """Tell the cell how the clocks stand to each other."""
        self._wall_offset_ms = wall_ms - now_ms

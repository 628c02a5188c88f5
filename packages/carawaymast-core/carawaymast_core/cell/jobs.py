"""Unfinished jobs of a cell: occurrences, steps and tasks."""

import typing

from carawaymast_core.cell import records
from carawaymast_core.cell import reservations
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import advice
    from carawaymast_core.cell import run as run_mod

__all__ = ['Job', 'StepState', 'Task']


class Task:
    """A task of one occurrence of a step."""

    __slots__ = (
        'checkpoint',
        'crashes',
        'failures',
        'index',
        'is_done',
        'last_run_id',
        'name',
        'runs',
        'step',
        'waiting_since_ms',
    )

    def __init__(self, step: 'StepState', index: int):
        self.step = step
        self.index = index
        self.name = f'{step.name}.{index}'
        self.is_done = False
        self.last_run_id = 0
        self.failures = 0
        self.checkpoint = ''
        self.crashes = records.NO_CRASHES
        self.runs: list[run_mod.Run] = []
        # When its last run ended, on the leader's clock.
        self.waiting_since_ms = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the task has yet to be placed."""
        return not self.is_done and not self.runs

    def record(self) -> records.TaskRecord:
        """Return the record of the task for the store."""
        return records.TaskRecord(
            self.is_done,
            self.last_run_id,
            self.failures,
            self.checkpoint,
            tuple(
                records.RunRecord(
                    run.run_id,
                    *run.worker.key,
                    run.worker.entry.address,
                    run.lease_ms or run.stored_lease_ms,
                )
                for run in self.runs
            ),
            None if self.crashes == records.NO_CRASHES else self.crashes,
        )


class StepState:
    """One occurrence of a step."""

    def __init__(self, job: 'Job', occurrence: int, number: int):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = job.submission.spec.steps[number]
        self.name = f'{job.job_id}.{occurrence}.{number}'
        # A later start cannot end within the objective; plans sort by this. In
        # ms since 1970, like the latest useful start.
        self.latest_start_ms = self._find_latest_start_ms()
        # If it starts later, the job is worth nothing to its caller.
        self.latest_useful_start_ms = (
            self.latest_start_ms
            + job.objective_ms * (spec_mod.WORTHLESS_AFTER_OBJECTIVES - 1)
        )
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        self.advice: advice.StepAdvice | None = None
        # How long its tasks ran relative to their estimate, as a logarithm.
        self.sibling_average = worker_speed.MovingAverage()
        self.ready_at_ms = 0
        # Of a gang: the id of its last run that counted as a failed attempt.
        self.failed_run_id = 0
        # Of a gang that waits: when it may reserve workers again.
        self.backoff = reservations.Backoff()
        # When its reservation was last logged, on the leader's clock.
        self.reservation_logged_at_ms = 0

    def _find_latest_start_ms(self) -> int:
        submission = self.job.submission
        due_ms = self.job.due_at_ms(self.occurrence)
        left_ms = spec_mod.critical_path_ms(
            submission.spec.steps[self.number :]
        )
        due_or_accepted_ms = due_ms or submission.accepted_at_ms
        return due_or_accepted_ms + self.job.objective_ms - left_ms

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended as done."""
        return all(task.is_done for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that have yet to be placed."""
        return [task for task in self.tasks if task.is_waiting]

    def is_ready(self, wall_ms: int) -> bool:
        """Whether its occurrence is due and the steps before it are done."""
        if wall_ms < self.job.due_at_ms(self.occurrence):
            return False
        steps = self.job.steps_by_occurrence[self.occurrence]
        return all(steps[number].is_done for number in self.spec.after)


class Job:
    """A job that has not ended, or still has runs."""

    def __init__(self, submission: spec_mod.Submission, now_wall_ms: int):
        self.submission = submission
        self.job_id = submission.job_id
        self.phase = records.JobPhase.QUEUED
        self.cause = ''
        # Whether a run of it has begun, as far as known, or may have begun.
        self.has_begun = False
        self.has_started = False
        self.is_cancelled = False
        self.changed_at_ms = now_wall_ms
        spec = submission.spec
        self.objective_ms = int(
            spec_mod.objective_ms(submission.queue, spec.steps)
        )
        self.steps_by_occurrence = [
            [StepState(self, k, n) for n in range(len(spec.steps))]
            for k in range(max(1, spec.occurrences))
        ]

    def due_at_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in ms since 1970; 0 for now."""
        spec = self.submission.spec
        if not spec.occurrences:
            return 0
        return spec.first_at_ms + occurrence * spec.interval_ms

    def find_task(self, path: str) -> Task | None:
        """Return the task at ``OCCURRENCE.STEP.INDEX``, or None."""
        parts = path.split('.')
        if len(parts) != 3:
            return None
        if not all(part.isascii() and part.isdigit() for part in parts):
            return None
        occurrence, number, index = map(int, parts)
        try:
            return self.steps_by_occurrence[occurrence][number].tasks[index]
        except IndexError:
            return None

    def steps(self) -> typing.Iterator[StepState]:
        """Yield all steps of all occurrences."""
        for steps in self.steps_by_occurrence:
            yield from steps

    def runs(self) -> typing.Iterator['run_mod.Run']:
        """Yield all runs that may be on a worker."""
        for step in self.steps():
            for task in step.tasks:
                yield from task.runs

    def record_begun(self) -> None:
        """Record that a run of it is known to have begun."""
        self.has_begun = self.has_started = True

    def record_not_begun(self) -> None:
        """Record that a run has ended, or may be lost, before it began."""
        if not self.has_begun:
            self.has_started = any(
                not run.is_start_lost for run in self.runs()
            )

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of all occurrences have ended as done."""
        return all(step.is_done for step in self.steps())

    def record(self) -> records.JobRecord:
        """Return the record of the job for the store.

        The record of an ended job without runs has no tasks.
        """
        is_over = self.phase.is_final and not any(self.runs())
        tasks = () if is_over else self._task_records()
        return records.JobRecord(
            self.phase,
            self.cause,
            self.has_started,
            self.changed_at_ms,
            tasks,
        )

    def _task_records(self):
        return tuple(
            tuple(
                tuple(task.record() for task in step.tasks) for step in steps
            )
            for steps in self.steps_by_occurrence
        )

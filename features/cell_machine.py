"""Random jobs and failures in one cell, checked at the runners.

Each step does one thing: jobs are submitted and cancelled, time passes,
starts and renewals are lost or arrive late, also at a runner's next
incarnation, answers are lost, runners are cut off and reconnect or restart,
crash by themselves or by a task, shrink and grow, and leaders change with
starts still under way. No task may ever run in two
places, no start may bring a runner over its capacity, no task may start again
after the store has it as done, and one that crashes its runners may start
only twice after three crashes. At the end all failures are healed and every
job must end; it may fail only if a task of it failed, or was on two runners
that crashed, or may have been on five: if no start was answered, nobody can
tell a task that crashes each runner from one that never arrived.
"""

import collections

from hypothesis import stateful
from hypothesis import strategies as st

from carawaymast_core.cell import answers
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import worker_lifecycle
from features import cell_world

__all__ = ['CellMachine']

# An index, taken modulo the number of choices.
WHICH = st.integers(0, 1_000)
MAX_JOBS = 8
MAX_HEAL_CYCLES = 1_000
MAX_CRASHING_JOBS = 2
LONG_WORK_MS = 12_000
CLOCK_STEP_MS = 100_000
MAX_CLOCK_STEPS = 50
# The submission of an ended job expires after some minutes, its state after a
# day.
SUBMISSION_EXPIRED_AFTER_MS = 300_000
STATE_EXPIRED_AFTER_MS = 200_000_000


class CellMachine(stateful.RuleBasedStateMachine):
    """One cell of three runners, with random jobs and failures."""

    def __init__(self) -> None:
        super().__init__()
        self.world = cell_world.CellWorld(3)
        self.world.work_ms = 1_500
        # The first incarnations' clocks are the furthest ahead.
        self.world.first_clock_ms = lambda born_ms: (
            CLOCK_STEP_MS * max(0, MAX_CLOCK_STEPS - born_ms)
        )
        # Each with the incarnation it went to and the time.
        self.late_starts: list = []
        self.late_renewals: list = []
        self.cut_off_by_id: dict = {}
        self.job_count = 0
        self.cancelled_ids: set[str] = set()
        # Jobs of which the first task crashes its runners.
        self.crashing_ids: set[str] = set()
        # Jobs of which a run ended as failed.
        self.failing_ids: set[str] = set()
        self.world.crashes_runners = lambda task: (
            task.partition('.')[0] in self.crashing_ids
            and task.endswith('.0.0.0')
        )
        self.submission_by_id: dict = {}
        self.ended_ids: set[str] = set()
        # Jobs whose state the leader has dropped, a day after their end.
        self.dropped_ids: set[str] = set()

    @stateful.precondition(lambda self: self.job_count < MAX_JOBS)
    @stateful.rule(
        count=st.integers(1, 5),
        cpu=st.sampled_from([500, 4_500, 9_000]),
        is_gang=st.booleans(),
        limit=st.sampled_from([0, 0, 2]),
        rank=st.integers(0, 2),
        is_checkpointing=st.booleans(),
        kind=st.sampled_from(['', '', '', 'is_speculative', 'is_filler']),
        is_long=st.booleans(),
    )
    def submit(
        self,
        count,
        cpu,
        is_gang,
        limit,
        rank,
        is_checkpointing,
        kind,
        is_long=False,
    ):
        self.job_count += 1
        if is_long:
            # Its runs outlast the usual lease.
            count = min(count, 2)
            self.world.work_ms_by_job[f'j{self.job_count}'] = LONG_WORK_MS
        if is_gang and cpu > cell_world.CAPACITY.cpu_millis // 2:
            # One for each runner; more would never fit.
            count = min(count, 3)
        first = cell_world.step(
            count,
            cpu,
            is_gang=is_gang,
            max_per_worker=limit,
            is_checkpointing=is_checkpointing,
            **({kind: True} if kind else {}),
        )
        second = cell_world.step(1, cpu, after=(0,))
        job_id = f'j{self.job_count}'
        policy = cell_world.queue(rank=rank)
        submission = cell_world.job(job_id, first, second, policy=policy)
        self.submission_by_id[job_id] = submission
        self.world.submit(submission)

    @stateful.precondition(
        lambda self: (
            self.job_count < MAX_JOBS
            and len(self.crashing_ids) < MAX_CRASHING_JOBS
        )
    )
    @stateful.rule(
        count=st.integers(1, 3),
        is_gang=st.booleans(),
        kind=st.sampled_from(['', 'is_speculative']),
        is_answered=st.booleans(),
    )
    def submit_crashing(self, count, is_gang, kind, is_answered):
        self.world.is_crashing_start_answered = is_answered
        self.crashing_ids.add(f'j{self.job_count + 1}')
        self.submit(count, 500, is_gang, 0, 1, False, kind)

    @stateful.rule(which=WHICH, keeps_id=st.booleans())
    def crash_a_runner(self, which, keeps_id):
        self.world.keeps_id = keeps_id
        names = sorted(self.world.runner_by_id)
        name = names[which % len(names)]
        if self.world.runner_by_id[name].is_up:
            self.world.crash(name)

    @stateful.rule(which=WHICH, cpu=st.sampled_from([1_000, 8_000, 16_000]))
    def resize_a_runner(self, which, cpu):
        names = sorted(self.world.runner_by_id)
        self.world.set_capacity(names[which % len(names)], cpu)

    @stateful.rule(which=WHICH, cpu=st.sampled_from([1_000, 16_000]))
    def resize_a_runner_while_storing(self, which, cpu):
        names = sorted(self.world.runner_by_id)
        name = names[which % len(names)]
        self.world.plan(
            while_storing=lambda: self.world.set_capacity(name, cpu)
        )

    @stateful.precondition(lambda self: self.job_count)
    @stateful.rule(which=WHICH)
    def cancel(self, which):
        job_id = f'j{which % self.job_count + 1}'
        self.cancelled_ids.add(job_id)
        self.world.cancel(job_id)

    @stateful.rule(
        after_ms=st.sampled_from(
            [SUBMISSION_EXPIRED_AFTER_MS, STATE_EXPIRED_AFTER_MS]
        ),
        is_stored=st.booleans(),
    )
    def drop_expired(self, after_ms, is_stored):
        """Drop records as if ``after_ms`` had passed."""
        self.ended_ids |= set(self.submission_by_id) - set(self._open_ids())
        expired = self.world.drop_expired(after_ms, is_stored)
        self.dropped_ids |= set(expired.state_keys)

    @stateful.precondition(lambda self: self.job_count)
    @stateful.rule(which=WHICH)
    def store_submission_again(self, which):
        """Store a submission again, as if a copy of it arrived late.

        A day after the end no copy can be under way, see
        ``carawaymast_core.cell.retention``.
        """
        job_id = f'j{which % self.job_count + 1}'
        if job_id not in self.dropped_ids:
            self.world.submit(self.submission_by_id[job_id])

    @stateful.rule(ms=st.sampled_from([10, 100, 700]))
    def run_cycle(self, ms):
        self._advance(ms)
        self.world.renew_leases()
        self.world.plan()

    @stateful.rule()
    def run_undisturbed(self):
        """Run without failures for the time of a step, so that jobs end."""
        for _ in range(4):
            self.run_cycle(500)

    @stateful.rule(ms=st.sampled_from([1_000, 3_000, 7_000]))
    def pass_time_without_renewals(self, ms):
        self._advance(ms)

    @stateful.rule()
    def plan_with_lost_starts(self):
        self.world.plan(is_sent=False)
        self._keep_late_starts()
        starts, self.world.pending_starts = self.world.pending_starts, []
        for run, _, _ in starts:
            outcome = cell_world.NO_ANSWER
            answers.apply_start_outcome(
                self.world.cell, run, outcome, self.world.clock.now()
            )

    @stateful.rule()
    def plan_with_lost_answers(self):
        self.world.plan(is_sent=False)
        self.world.send_starts(is_answered=False)

    @stateful.precondition(lambda self: self.late_starts)
    @stateful.rule(which=WHICH)
    def late_start(self, which):
        incarnation, sent_at_ms, start = self.late_starts.pop(
            which % len(self.late_starts)
        )
        runner = self.world.runner_by_id.get(incarnation.runner_id)
        if runner is incarnation or not self._is_too_late(sent_at_ms):
            self.world.deliver_start(*start)

    def _is_too_late(self, sent_at_ms):
        age_ms = self.world.clock.now() - sent_at_ms
        return age_ms > late_starts.LATE_CALL_MS

    @stateful.rule(which=WHICH)
    def lose_renewal(self, which):
        """Send a renewal that does not arrive now."""
        names = sorted(self.world.runner_by_id)
        name = names[which % len(names)]
        worker = self.world.worker(name)
        if worker is None or not worker.is_adopted:
            return
        now_ms = self.world.clock.now()
        deadline_ms = worker.lease.next_deadline(now_ms, cell_world.LEASE_MS)
        call = worker.fencing_token, worker.ack_number, deadline_ms
        self.late_renewals.append((name, now_ms, call))

    @stateful.precondition(lambda self: self.late_renewals)
    @stateful.rule(which=WHICH)
    def late_renewal(self, which):
        """Deliver a renewal to whichever incarnation has the id now."""
        name, sent_at_ms, call = self.late_renewals.pop(
            which % len(self.late_renewals)
        )
        runners = {**self.world.runner_by_id, **self.cut_off_by_id}
        runner = runners.get(name)
        is_due = runner is not None and not self._is_too_late(sent_at_ms)
        if is_due and runner.is_up:
            runner.renew_lease(*call)

    @stateful.rule(is_stored=st.booleans(), is_sent=st.booleans())
    def change_leader(self, is_stored, is_sent):
        self.world.plan(is_stored=is_stored, is_sent=False)
        if is_sent:
            self.world.send_starts(is_answered=False)
        self._keep_late_starts()
        self.world.take_over(listed=self.cut_off_by_id.values())

    @stateful.precondition(lambda self: len(self.cut_off_by_id) < 2)
    @stateful.rule(which=WHICH)
    def cut_off(self, which):
        names = sorted(self.world.runner_by_id)
        name = names[which % len(names)]
        self.cut_off_by_id[name] = self.world.runner_by_id.pop(name)

    @stateful.precondition(lambda self: self.cut_off_by_id)
    @stateful.rule()
    def reconnect(self):
        name, runner = self.cut_off_by_id.popitem()
        self._reconnect_runner(runner)

    @stateful.rule(
        which=WHICH, is_listed=st.booleans(), is_renewal_late=st.booleans()
    )
    def restart_runner(self, which, is_listed, is_renewal_late):
        names = sorted(self.world.runner_by_id)
        name = names[which % len(names)]
        if is_renewal_late:
            self.lose_renewal(which)
        predecessor = self.world.runner_by_id[name]
        self.world.crashes_by_task.update(list(predecessor.running))
        runner = self.world.add_runner(name, predecessor.born_ms + 1)
        if is_renewal_late and self.late_renewals:
            self.late_renewal(len(self.late_renewals) - 1)
        if is_listed:
            self._reconnect_runner(runner)

    @stateful.rule(which=WHICH)
    def fail_a_run(self, which):
        runners = [r for r in self.world.runner_by_id.values() if r.running]
        if runners:
            runner = runners[which % len(runners)]
            task = sorted(runner.running)[0]
            self.failing_ids.add(task.partition('.')[0])
            runner.end_run(task, reports.EndKind.FAILED)

    @stateful.invariant()
    def runners_are_consistent(self):
        world = self.world
        runners = {**world.runner_by_id, **self.cut_off_by_id}
        places: dict[str, str] = {}
        for name, runner in runners.items():
            for task in runner.running:
                assert task not in places or world.may_run_copies(task), (
                    f'{task} runs at {places[task]} and {name}'
                )
                places[task] = name
        world.check_runners()

    def teardown(self):
        """Heal all failures and check that every job ends."""
        world = self.world
        self._heal()
        open_ids = self._open_ids()
        for _ in range(MAX_HEAL_CYCLES):
            if not open_ids:
                break
            world.run_cycle(100)
            self.runners_are_consistent()
            open_ids = self._open_ids()
        assert not open_ids, f'{open_ids} never end'
        for job_id in self.cancelled_ids:
            phase = world.view.phase(job_id)
            was_dropped = phase is None and job_id in self.ended_ids
            assert was_dropped or phase.is_final, (job_id, phase)
        for _ in range(20):
            world.run_cycle(100)
        assert not world.running(), dict(world.running())
        for job_id in set(self.submission_by_id) - self.failing_ids:
            is_failed = world.view.phase(job_id) is records.JobPhase.FAILED
            crashes = self._crashes_of(job_id)
            possible = self._possible_crashes_of(job_id)
            assert not is_failed or crashes >= 2 or possible >= 5, (
                f'{job_id} failed after {crashes} crashes, {possible} possible'
            )

    def _crashes_of(self, job_id):
        """Return the most crashes under one of a job's tasks."""
        return _most(self.world.crashes_by_task, job_id)

    def _possible_crashes_of(self, job_id):
        """Return the most crashes of runners that a task was started at."""
        found = collections.Counter()
        for event_type, fields in self.world.events:
            if event_type == 'worker_crashed':
                found.update(task for task, *_ in fields['runs'])
                found.update(fields['lapsed'])
        return _most(found, job_id)

    def _keep_late_starts(self):
        """Keep the starts under way, each with the incarnation it went to."""
        runners = {**self.world.runner_by_id, **self.cut_off_by_id}
        now_ms = self.world.clock.now()
        self.late_starts += [
            (runners[start[0].worker.worker_id], now_ms, start)
            for start in self.world.pending_starts
            if start[0].worker.worker_id in runners
        ]

    def _reconnect_runner(self, runner):
        """Make a runner reachable and list it as a worker."""
        self.world.runner_by_id[runner.runner_id] = runner
        now_ms = self.world.clock.now()
        worker_lifecycle.apply_worker_entry(
            self.world.cell, self.world.entry(runner), now_ms
        )

    def _heal(self):
        for runner in [
            *self.cut_off_by_id.values(),
            *self.world.runner_by_id.values(),
        ]:
            self.world.capacity_by_id.clear()
            self._reconnect_runner(runner)
        self.cut_off_by_id = {}
        self.late_starts = []
        self.late_renewals = []

    def _open_ids(self):
        """Return the ids of jobs that have not ended.

        A job without a phase has ended if its records were dropped.
        """
        open_ids = []
        for job_id in self.submission_by_id:
            phase = self.world.view.phase(job_id)
            if phase is None and job_id in self.ended_ids:
                continue
            if phase is None or not phase.is_final:
                open_ids.append(job_id)
        return open_ids

    def _advance(self, ms):
        self.world.advance(ms)
        for runner in self.cut_off_by_id.values():
            runner.advance(ms)


def _most(count_by_task, job_id):
    """Return the highest count of a task of this job."""
    counts = count_by_task.items()
    return max(
        (n for task, n in counts if task.startswith(f'{job_id}.')), default=0
    )

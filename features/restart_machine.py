"""Runners that restart under their ids while calls to them are under way.

Two runners of one cell run a few long tasks. Starts and renewals are held up
for at most 12 s and then carried out by whichever incarnation has the id, cut
off or not. No task may run on two runners at once. Nor may one start after a
run of it has ended as done, if that end is acknowledged then or later and the
lease did not expire between the two.
"""

import functools
import typing

from hypothesis import stateful
from hypothesis import strategies as st

from carawaymast_core.cell import answers
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import placing
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec
from carawaymast_core.cell import worker_lifecycle
from features import cell_world

__all__ = ['RestartMachine']

RUNNERS = 2
MAX_JOBS = 6
MAX_TASKS = 2
CYCLE_MS = 250
ADVICE = spec.AdvicePolicy(1, 1, 60_000)
# A deadline on an incarnation's clock is far ahead on the next one's.
CLOCK_STEP_MS = 100_000
MAX_CLOCK_STEPS = 50
# Longer than any lease, or soon at its end.
LONG_WORK_MS, SHORT_WORK_MS = 40_000, 2_000

NAME = st.sampled_from([f'w{number}' for number in range(RUNNERS)])
CLOCK_RATE = st.sampled_from([1.0, 0.98])
# Some calls, some seconds, up to the latest calls, and past the longest lease.
CYCLES = st.sampled_from([0, 1, 3, 10, 40, 70])


class LateCall(typing.NamedTuple):
    """A call under way to an incarnation of a worker.

    ``run`` is None for a renewal, whose arguments ``call`` holds, otherwise
    the run of the start.
    """

    worker_key: tuple[str, int]
    sent_at_ms: int
    run: typing.Any
    call: tuple


class RestartMachine(stateful.RuleBasedStateMachine):
    """One cell of two runners that restart under their ids."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world = cell_world.CellWorld(RUNNERS)
        world.first_clock_ms = lambda born_ms: (
            CLOCK_STEP_MS * max(0, MAX_CLOCK_STEPS - born_ms)
        )
        self.cut_off_by_id: dict = {}
        self.late_calls: list[LateCall] = []
        self.job_count = 0
        self.advanced_until_ms = world.clock.now()
        # The task of each start, in order, the number of starts at each end
        # as done, and the tasks of which such an end was acknowledged.
        self.started: list[str] = []
        self.starts_at_done: dict = {}
        self.acknowledged: set[str] = set()
        for name in list(world.runner_by_id):
            self._add_runner(name, 1, 1.0)
        world.take_over()

    @property
    def runner_by_id(self):
        """The present incarnation of each runner, reachable or cut off."""
        return {**self.world.runner_by_id, **self.cut_off_by_id}

    @stateful.precondition(lambda self: self.job_count < MAX_JOBS)
    @stateful.rule(
        count=st.integers(1, MAX_TASKS),
        is_ticketed=st.booleans(),
        work_ms=st.sampled_from([LONG_WORK_MS, SHORT_WORK_MS]),
    )
    def submit(self, count, is_ticketed, work_ms):
        self.job_count += 1
        job_id = f'j{self.job_count}'
        self.world.work_ms_by_job[job_id] = work_ms
        step = cell_world.step(count, estimate_ms=work_ms)
        policy = cell_world.queue(advice=ADVICE if is_ticketed else None)
        self.world.submit(cell_world.job(job_id, step, policy=policy))
        self._advise()

    @stateful.rule(cycles=CYCLES)
    def run_cycles(self, cycles):
        for _ in range(cycles):
            self._advance()
            self._renew_leases()
            self._advise()
            self.world.plan()

    @stateful.rule(is_answered=st.booleans())
    def lose_starts(self, is_answered):
        """Lose the starts of a plan on their way, or only their answers."""
        self._advise()
        self.world.plan(is_sent=False)
        if is_answered:
            self.world.send_starts(is_answered=False)
            return
        self._hold_up_starts()
        for run, *_ in self.world.pending_starts:
            answers.apply_start_outcome(
                self.world.cell,
                run,
                cell_world.NO_ANSWER,
                self.world.clock.now(),
            )
        self.world.pending_starts = []

    @stateful.rule(name=NAME)
    def lose_renewal(self, name):
        """Hold up a renewal; a silent worker gets none with a deadline.

        The leader gets no answer, and records that.
        """
        worker = self.world.worker(name)
        if worker is None or not worker.is_adopted or worker.is_unresponsive:
            return
        now_ms = self.world.clock.now()
        deadline_ms = worker.lease.next_deadline(now_ms, cell_world.LEASE_MS)
        call = worker.fencing_token, worker.ack_number, deadline_ms
        self.late_calls.append(LateCall(worker.key, now_ms, None, call))
        late_starts.record_late_renewal(self.world.cell, worker, now_ms)

    @stateful.precondition(lambda self: self.late_calls)
    @stateful.rule(which=st.integers(0, 1_000))
    def deliver_late_call(self, which):
        late = self.late_calls.pop(which % len(self.late_calls))
        age_ms = self.world.clock.now() - late.sent_at_ms
        runner = self.runner_by_id[late.worker_key[0]]
        if age_ms > late_starts.LATE_CALL_MS:
            return
        if self._is_after_done(late, runner):
            return
        if late.run is None:
            runner.renew_lease(*late.call)
        else:
            self.world.deliver_start(late.run, *late.call, runner=runner)

    def _is_after_done(self, late, runner):
        """Return whether nothing can refuse a start of a task that is done.

        A repeated start, or another run, has done the task, and the worker has
        restarted since. Before the leader's first call there, only a leader
        that waited 12 s before it took note of each such end could rule it
        out; see docs/incidents/two-runs-on-real-machines.md.
        """
        if late.run is None:
            return False
        task = self.world.cell.find_task(late.run.task.name)
        is_done = task is None or task.is_done
        is_called = runner.fencing_token > late.call[0]
        has_restarted = late.worker_key[1] < runner.born_ms
        return is_done and has_restarted and not is_called

    @stateful.rule(
        name=NAME,
        is_cut_off=st.booleans(),
        is_listed=st.booleans(),
        clock_rate=CLOCK_RATE,
    )
    def restart(self, name, is_cut_off, is_listed, clock_rate):
        """Restart a runner under its id."""
        predecessor = self.runner_by_id[name]
        self.cut_off_by_id.pop(name, None)
        runner = self._add_runner(name, predecessor.born_ms + 1, clock_rate)
        if is_cut_off:
            self.cut_off(name)
        if is_listed:
            self._list_runner(runner)

    @stateful.rule(name=NAME)
    def cut_off(self, name):
        if name in self.world.runner_by_id:
            self.cut_off_by_id[name] = self.world.runner_by_id.pop(name)

    @stateful.rule()
    def reconnect(self):
        self.world.runner_by_id.update(self.cut_off_by_id)
        self.cut_off_by_id = {}
        for runner in self.world.runner_by_id.values():
            self._list_runner(runner)

    @stateful.rule(is_stored=st.booleans(), is_sent=st.booleans())
    def change_leader(self, is_stored=True, is_sent=False):
        self.world.plan(is_stored=is_stored, is_sent=False)
        if is_sent:
            self.world.send_starts(is_answered=False)
        self._hold_up_starts()
        self.world.take_over(listed=self.cut_off_by_id.values())

    @stateful.rule(
        name=NAME,
        is_start=st.booleans(),
        before=st.sampled_from([0, 1, 10]),
        between=st.sampled_from([0, 10, 30, 40]),
        after=st.sampled_from([0, 3]),
        is_cut_off=st.booleans(),
        clock_rate=CLOCK_RATE,
        new_leader_at=st.sampled_from([None, None, 0, 1, 2]),
    )
    def outlive(
        self,
        name,
        is_start,
        before,
        between,
        after,
        is_cut_off,
        clock_rate,
        new_leader_at,
    ):
        """Hold up calls until the runner has restarted, then cut it off."""
        self.reconnect()
        self.run_cycles(1)
        self.submit(1, False, LONG_WORK_MS)
        self.lose_renewal(name)
        if is_start:
            self.lose_starts(False)
            started_at = [late.worker_key[0] for late in self.late_calls]
            name = (started_at or [name])[-1]
        self.run_cycles(before)
        self._change_leader_if(new_leader_at == 0)
        self.restart(name, is_cut_off, True, clock_rate)
        self.run_cycles(1)
        self._change_leader_if(new_leader_at == 1)
        self.run_cycles(between)
        while self.late_calls:
            self.deliver_late_call(0)
        self.run_cycles(after)
        self._change_leader_if(new_leader_at == 2)
        self.cut_off(name)
        self.run_cycles(60)

    @stateful.rule(
        name=NAME,
        is_lease_long=st.booleans(),
        is_start_lost=st.booleans(),
        before=st.sampled_from([3, 12, 20, 60]),
        clock_rate=CLOCK_RATE,
    )
    def lose_with_leader(
        self, name, is_lease_long, is_start_lost, before, clock_rate
    ):
        """Cut a runner off as the leader changes.

        It may have a long lease, or a start that was repeated and that its
        next incarnation carries out behind the cut.
        """
        self.reconnect()
        self.run_cycles(1)
        if is_lease_long:
            self.lose_renewal(name)
            self.restart(name, False, False, clock_rate)
            while self.late_calls:
                self.deliver_late_call(0)
            self.reconnect()
        self.submit(1, False, LONG_WORK_MS)
        if is_start_lost:
            self.lose_starts(False)
            started_at = [late.worker_key[0] for late in self.late_calls]
            name = (started_at or [name])[-1]
        self.run_cycles(before)
        self.cut_off(name)
        self.change_leader()
        if is_start_lost:
            self.restart(name, True, False, clock_rate)
            while self.late_calls:
                self.deliver_late_call(0)
        self.run_cycles(60)

    def _change_leader_if(self, is_wanted):
        if is_wanted:
            self.change_leader()

    def _add_runner(self, name, born_ms, clock_rate):
        runner = self.world.add_runner(name, born_ms, clock_rate)
        runner.on_change = functools.partial(self._check_change, runner)
        runner.on_done_acknowledged = functools.partial(
            self._check_acknowledged, runner
        )
        return runner

    def _check_change(self, runner, event, task, run_id):
        if event == 'start':
            self.started.append(task)
            places = [
                (other.runner_id, other.born_ms)
                for other in self.runner_by_id.values()
                if task in other.running
            ]
            assert len(places) == 1, f'{task} runs at {places}'
            assert task not in self.acknowledged, f'{task} was done'
        elif event == reports.EndKind.DONE.value:
            key = runner.runner_id, runner.born_ms, task, run_id
            self.starts_at_done[key] = len(self.started)

    def _check_acknowledged(self, runner, task, run_id):
        key = runner.runner_id, runner.born_ms, task, run_id
        later = self.started[self.starts_at_done[key] :]
        assert task not in later, f'{task} was started after run {run_id}'
        self.acknowledged.add(task)

    def _advance(self):
        """Advance all clocks, those of the runners also by what calls took."""
        world = self.world
        world.clock.advance(CYCLE_MS)
        passed_ms = world.clock.now() - self.advanced_until_ms
        self.advanced_until_ms = world.clock.now()
        for runner in self.runner_by_id.values():
            runner.advance(passed_ms)

    def _renew_leases(self):
        self.world.renew_leases()
        for name in self.cut_off_by_id:
            worker = self.world.worker(name)
            if worker is not None:
                worker.mark_unresponsive(self.world.clock.now())

    def _advise(self):
        """Get the tickets that are missing."""
        world = self.world
        now_ms = world.clock.now()
        for step, ids in placing.steps_needing_advice(
            world.cell, now_ms, now_ms
        ):
            tickets = {i: self.runner_by_id[i].ticket() for i in ids}
            step.advice.apply_answer(ids, tickets, now_ms, ADVICE.valid_ms)

    def _hold_up_starts(self):
        now_ms = self.world.clock.now()
        for run, *call in self.world.pending_starts:
            late = LateCall(run.worker.key, now_ms, run, call)
            self.late_calls.append(late)

    def _list_runner(self, runner):
        worker_lifecycle.apply_worker_entry(
            self.world.cell, self.world.entry(runner), self.world.clock.now()
        )

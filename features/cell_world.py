"""A cell, its leaders and in-memory runners on one manual clock.

A runner is the stand-in process behind a worker and has the worker's id. The
leader's cell has a ``Worker`` for each incarnation of it. The store is a
dictionary of records. The test decides when an order is delivered, and may
lose or delay it. ``check_runners`` checks the state of the runners themselves
for violations.
"""

import collections
import math
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import resources
from carawaymast_core.cell import answers
from carawaymast_core.cell import batching
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import placing
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import retention
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import takeover
from carawaymast_core.cell import view as view_mod
from carawaymast_core.cell import worker_lifecycle
from standins import runner as runner_mod

__all__ = [
    'CAPACITY',
    'NO_ANSWER',
    'CellWorld',
    'gang',
    'job',
    'queue',
    'step',
]

LEASE_MS = 6_000
# How long a runner is down after a crash.
RESTART_MS = 3_200
KEEP_ENDED_MS = 120_000
# Epochs rise by as much with each leader.
FIRST_EPOCH = 10
CAPACITY = resources.Resources(16_000, 65_536, 0)
SERVICE = 'desk'
# The outcome of a start whose answer is lost.
NO_ANSWER = reports.StartOutcome(False)


def queue(rank=1, attempts=2, advice=None, name='renewals'):
    """Return the policy of a queue."""
    return spec_mod.QueuePolicy(
        name, SERVICE, rank, attempts, 2.0, 1_000, advice
    )


def step(count=1, cpu=1_000, memory=1_000, estimate_ms=1_000, **more):
    """Return a step; ``cpu`` is in 1/1000 processors, ``memory`` in MB."""
    size = resources.Resources(cpu, memory, 0)
    return spec_mod.Step(count, size, estimate_ms, **more)


def gang(count, cpu=1_000, memory=1_000, **more):
    return step(count, cpu, memory, is_gang=True, **more)


def job(job_id, *steps, policy=None, accepted_at_ms=0):
    """Return the submission of a job."""
    spec = spec_mod.JobSpec('payload', tuple(steps))
    return spec_mod.Submission(job_id, policy or queue(), spec, accepted_at_ms)


class CellWorld:
    """The store's records, the runners, and the current leader's cell."""

    def __init__(self, workers: int = 3, capacity=CAPACITY):
        self.clock = clock_mod.ManualClock(100_000)
        self.view = view_mod.JobView()
        # The store: the newest record of each key.
        self.intake_by_key: dict[str, bytes] = {}
        self.state_by_key: dict[str, bytes] = {}
        self.capacity = capacity
        self.runner_by_id: dict[str, runner_mod.RunnerStandin] = {}
        # How long a run takes.
        self.work_ms = 1_000
        self.work_ms_by_job: dict[str, int] = {}
        # The factor by which runs at a runner take longer.
        self.slowdown_by_id: dict[str, float] = {}
        self.fails: typing.Callable[[str], bool] = lambda task: False
        # Whether a task crashes each runner that starts it.
        self.crashes_runners: typing.Callable[[str], bool] = lambda task: False
        # Whether the runner answers the start before it crashes.
        self.is_crashing_start_answered = True
        # How many runners crashed under each task, and how often each task
        # was started after the third such crash.
        self.crashes_by_task: collections.Counter[str] = collections.Counter()
        # How many other tasks each crash under a task took, oldest first.
        self.companions_by_task: dict[str, list[int]] = (
            collections.defaultdict(list)
        )
        self.late_starts_by_task: collections.Counter[str] = (
            collections.Counter()
        )
        self._restart_at_ms_by_id: dict[str, int] = {}
        # (name of the step, run id)
        self._broken_gang_runs: set[tuple[str, int]] = set()
        self._replaced_ids: set[str] = set()
        # Whether crashed runners restart under the id that they had, and
        # after how long.
        self.keeps_id = False
        self.restart_ms = RESTART_MS
        # Whether the leader's list lacks runners that are down.
        self.is_unlisted_while_down = False
        # What the clock of an incarnation shows when it starts.
        self.first_clock_ms: typing.Callable[[int], float]
        self.first_clock_ms = lambda born_ms: 0.0
        # Runs that no job of the store has.
        self.size_by_unknown_task: dict[str, resources.Resources] = {}
        # The sizes of all tasks that were started.
        self._size_by_task: dict[str, resources.Resources] = {}
        # Runners with another capacity than ``capacity``.
        self.capacity_by_id: dict[str, resources.Resources] = {}
        self.labels_by_id: dict[str, tuple[str, ...]] = {}
        self.events: list[tuple[str, dict]] = []
        self.done_task_names: set[str] = set()
        self.completed_ids: set[str] = set()
        self.pending_starts: list[tuple[run_mod.Run, int, int]] = []
        # When a task of each job was started, in order.
        self.job_starts: list[tuple[int, str]] = []
        self.epoch = 0
        # How long after a takeover the former leader may renew leases, as
        # far as its successor knows.
        self.formers_ms = 0
        # See ``Cell.confirms_tickets``; starts are then for the test to send.
        self.confirms_tickets = False
        for number in range(workers):
            self.add_runner(f'w{number}')
        self.take_over()

    def add_runner(self, runner_id, born_ms=1, clock_rate=1.0):
        runner = runner_mod.RunnerStandin(runner_id, born_ms, clock_rate)
        runner.lists_progress = self._lists_progress
        runner.clock_ms = self.first_clock_ms(born_ms)
        self.runner_by_id[runner_id] = runner
        self._restart_at_ms_by_id.pop(runner_id, None)
        return runner

    def entry(self, runner, is_draining=False, remaining_ms=None):
        return reports.WorkerEntry(
            runner.runner_id,
            _address(runner.runner_id),
            runner.born_ms,
            SERVICE,
            'domain',
            is_draining,
            self.capacity_of(runner.runner_id),
            self.labels_by_id.get(runner.runner_id, ('a', 'r1')),
            0,
            remaining_ms,
        )

    def capacity_of(self, runner_id):
        return self.capacity_by_id.get(runner_id, self.capacity)

    def set_capacity(self, runner_id, cpu_millis):
        """Change a runner's processors, and its memory to the same share.

        The leader reads it at once.
        """
        full = self.capacity
        self.capacity_by_id[runner_id] = full._replace(
            cpu_millis=cpu_millis,
            memory_mb=full.memory_mb * cpu_millis // full.cpu_millis,
        )
        self._apply_entry(runner_id)

    def set_whole_capacity(self, runner_id, capacity):
        """Change a runner's capacity; the leader reads it at once."""
        self.capacity_by_id[runner_id] = capacity
        self._apply_entry(runner_id)

    def set_labels(self, runner_id, labels):
        """Change a runner's labels; the leader reads them at once."""
        self.labels_by_id[runner_id] = labels
        self._apply_entry(runner_id)

    def _apply_entry(self, runner_id):
        worker_lifecycle.apply_worker_entry(
            self.cell,
            self.entry(self.runner_by_id[runner_id]),
            self.clock.now(),
        )

    def crash(self, runner_id):
        """Crash a runner; it restarts at the same address."""
        runner = self.runner_by_id[runner_id]
        self.crashes_by_task.update(list(runner.running))
        lost = {task: run.run_id for task, run in runner.running.items()}
        for task in lost:
            self.companions_by_task[task].append(len(lost) - 1)
        runner.running.clear()
        runner.is_up = False
        for task, run_id in lost.items():
            if self._step(task).is_gang:
                self._broken_gang_runs.add((_step_name(task), run_id))
        self._break_gangs()
        self._restart_at_ms_by_id[runner_id] = (
            self.clock.now() + self.restart_ms
        )
        if self.is_unlisted_while_down:
            worker_lifecycle.unlist_worker(self.cell, runner_id)

    def _break_gangs(self):
        """End the other members of gangs that have lost one."""
        for runner in self.runner_by_id.values():
            for task, run in list(runner.running.items()):
                if (_step_name(task), run.run_id) in self._broken_gang_runs:
                    runner.end_run(task, reports.EndKind.BROKEN)

    def _restart_runners(self):
        """Restart the crashed runners that are due, and list them."""
        for runner_id, at_ms in list(self._restart_at_ms_by_id.items()):
            is_cut_off = runner_id not in self.runner_by_id
            if self.clock.now() < at_ms or is_cut_off:
                continue
            del self._restart_at_ms_by_id[runner_id]
            predecessor = self.runner_by_id.pop(runner_id)
            if self.keeps_id:
                new_id = runner_id
            else:
                new_id = f'{_address(runner_id)}~{self.clock.now()}'
                self._replaced_ids.add(runner_id)
            born_ms = predecessor.born_ms + 1
            runner = self.add_runner(new_id, born_ms)
            if self.cell is not None:
                worker_lifecycle.apply_worker_entry(
                    self.cell, self.entry(runner), self.clock.now()
                )

    def log(self, event_type, **fields):
        self.events.append((event_type, fields))

    def take_over(self, listed=()):
        """Start a new leader from the store's records.

        ``listed`` are runners that are listed but cannot be reached.
        """
        self.epoch += FIRST_EPOCH
        self.pending_starts = []
        self._read_store()
        self.cell = cell_mod.Cell(
            self.epoch, LEASE_MS, self.log, runner_mod.MAX_LEASE_MS
        )
        now_ms = self.clock.now()
        for runner in [*self.runner_by_id.values(), *listed]:
            worker_lifecycle.apply_worker_entry(
                self.cell, self.entry(runner), now_ms
            )
        self.cell.set_clock(now_ms, now_ms)
        self.cell.confirms_tickets = self.confirms_tickets
        self.cell.formers_until_ms = now_ms + self.formers_ms
        if self.epoch == FIRST_EPOCH:
            self.cell.formers_until_ms = -math.inf
        else:
            self.cell.former_epoch = self.epoch - FIRST_EPOCH
        takeover.load(self.cell, self.view, now_ms, now_ms)
        self.renew_leases()

    def hand_over(self, listed=()):
        """Let the leader release the leadership, and another one follow."""
        unreached = former_leases.unreached_record(self.cell, self.clock.now())
        if unreached is not None:
            self.put_state(records.UNREACHED_KEY, records.encode(unreached))
        self.take_over(listed)

    def _read_store(self):
        """Read all records again, as a node does at its start."""
        self.view = view_mod.JobView()
        for key, value in self.intake_by_key.items():
            self.view.apply_intake(key, value)
        for key, value in self.state_by_key.items():
            self.view.apply_state(key, value)

    def put_intake(self, key, value):
        """Store a record of the intake; an empty value drops the key."""
        _put(self.intake_by_key, key, value)
        self.view.apply_intake(key, value)

    def put_state(self, key, value):
        """Store a record of the state; an empty value drops the key."""
        _put(self.state_by_key, key, value)
        self.view.apply_state(key, value)
        record = self.view.record_by_id.get(key)
        if value and record is not None:
            self._record_done(key, record)

    def _record_done(self, job_id, record):
        """Record the tasks that the store has as done."""
        if record.phase is records.JobPhase.COMPLETED:
            self.completed_ids.add(job_id)
        for occurrence, steps in enumerate(record.tasks):
            for number, tasks in enumerate(steps):
                for index, task in enumerate(tasks):
                    if task.is_done:
                        name = f'{job_id}.{occurrence}.{number}.{index}'
                        self.done_task_names.add(name)

    def submit(self, submission):
        self.put_intake(submission.job_id, records.encode(submission))
        now_ms = self.clock.now()
        self.cell.sync_job(self.view, submission.job_id, now_ms, now_ms)

    def cancel(self, job_id):
        now_ms = self.clock.now()
        key = job_id + records.CANCEL_SUFFIX
        self.put_intake(key, records.encode_cancel(now_ms))
        self.cell.sync_job(self.view, job_id, now_ms, now_ms)

    def drop_expired(self, after_ms, is_stored=True):
        """Make the leader drop the records that expire ``after_ms`` from now.

        Without ``is_stored`` only the intake's records are dropped.
        """
        expired = retention.find(
            self.view, self.clock.now() + after_ms, KEEP_ENDED_MS
        )
        for key in expired.intake_keys:
            self.put_intake(key, b'')
        if is_stored:
            self.cell.dropped_keys += expired.state_keys
        return expired

    def worker(self, runner_id):
        """Return the latest incarnation of a worker that the leader has."""
        incarnations = [
            worker
            for worker in self.cell.worker_by_key.values()
            if worker.worker_id == runner_id
        ]
        return max(incarnations, key=lambda w: w.born_ms, default=None)

    def renew_lease(self, runner_id):
        runner = self.runner_by_id[runner_id]
        worker = self.worker(runner_id)
        if worker is None:
            return
        now_ms = self.clock.now()
        if not runner.is_up:
            worker.mark_unresponsive(now_ms)
            return
        deadline_ms = None
        if worker.is_adopted:
            deadline_ms = worker.lease.next_deadline(now_ms, LEASE_MS)
        answer = runner.renew_lease(
            worker.fencing_token, worker.ack_number, deadline_ms
        )
        self.clock.advance(1)
        if answer is not None:
            now_ms = self.clock.now()
            answers.apply_lease_renewal(
                self.cell, worker, answer, now_ms - 1, now_ms
            )

    def renew_leases(self):
        for runner_id in list(self.runner_by_id):
            self.renew_lease(runner_id)
        for runner_id in self._replaced_ids:
            worker = self.worker(runner_id)
            if worker is not None and worker.entry.address:
                # The runner at this address has another id.
                worker_lifecycle.end_incarnation(
                    self.cell, worker, 'another id answered', self.clock.now()
                )

    def plan(self, is_stored=True, is_sent=True, while_storing=lambda: None):
        """Plan, send stops, store the batch and send its starts.

        Without ``is_stored`` the batch is lost. Without ``is_sent`` the
        starts stay in ``pending_starts``. ``while_storing`` is called before
        the batch is stored.
        """
        now_ms = self.clock.now()
        self.cell.set_clock(now_ms, now_ms)
        worker_lifecycle.sweep(self.cell, now_ms, now_ms)
        placing.plan(self.cell, now_ms, now_ms)
        self.send_stops()
        self.send_speed_limits()
        batch = batching.collect(self.cell, now_ms)
        while_storing()
        if not is_stored:
            return
        for job_id, submission in batch.submission_by_id.items():
            key = job_id + records.SUBMISSION_SUFFIX
            self.put_state(key, records.encode(submission))
        for job_id, record in batch.records_by_id.items():
            self.put_state(job_id, records.encode(record))
        for key in batch.dropped_keys:
            self.put_state(key, b'')
        if batch.speeds is not None:
            self.put_state(records.SPEEDS_KEY, records.encode(batch.speeds))
        for run in batching.mark_stored(self.cell, batch):
            self._check_start(run.task)
            assert run.worker.is_adopted, (
                f'the start of {run.task.name} goes to {run.worker.key}, '
                'which was not adopted'
            )
            deadline_ms = run.worker.lease.next_deadline(now_ms, LEASE_MS)
            self.pending_starts.append(
                (run, run.worker.fencing_token, deadline_ms)
            )
        if is_sent:
            self.send_starts()

    def send_starts(self, is_answered=True):
        """Deliver all pending starts.

        Without ``is_answered`` the answers are lost.
        """
        starts, self.pending_starts = self.pending_starts, []
        for run, fencing_token, deadline_ms in starts:
            outcome = self.deliver_start(run, fencing_token, deadline_ms)
            self._check_ticket(run, outcome)
            if not is_answered or outcome is None:
                outcome = NO_ANSWER
            answers.apply_start_outcome(
                self.cell, run, outcome, self.clock.now()
            )

    def deliver_start(self, run, fencing_token, deadline_ms, runner=None):
        """Deliver a start to the reachable runner with the id, or another."""
        runner = runner or self.runner_by_id.get(run.worker.worker_id)
        if runner is None or not runner.is_up:
            return None
        name = run.task.name
        self._size_by_task[name] = run.task.step.spec.allocated_size
        known_starts = len(runner.started)
        outcome = runner.start(
            fencing_token,
            name,
            run.run_id,
            deadline_ms,
            int(
                self.work_ms_by_job.get(name.partition('.')[0], self.work_ms)
                * self.slowdown_by_id.get(runner.runner_id, 1)
            ),
            self.fails(name),
            run.ticket,
        )
        if len(runner.started) > known_starts:
            self.job_starts.append((self.clock.now(), name.partition('.')[0]))
            self._check_new_start(runner, name)
        return outcome if runner.is_up else self._answer_before_crash(outcome)

    def _check_ticket(self, run, outcome):
        """Assert that a ticket was for the incarnation that was called."""
        if outcome and outcome.refusal is reports.StartRefusal.TICKET:
            runner = self.runner_by_id[run.worker.worker_id]
            assert run.worker.born_ms != runner.born_ms, (
                f'{run.task.name} went to {run.worker.key} with the ticket '
                f'{run.ticket}'
            )

    def _check_new_start(self, runner, task):
        """Assert that a start broke no limit; let it crash the runner."""
        used = resources.total(
            self._allocated_size(name) for name in runner.running
        )
        capacity = self.capacity_of(runner.runner_id)
        assert used.fits_in(capacity), (
            f'the start of {task} at {runner.runner_id} uses {used} '
            f'of {capacity}'
        )
        self._break_gangs()
        if not self.crashes_runners(task):
            return
        self.late_starts_by_task[task] += self.crashes_by_task[task] >= 3
        assert self.late_starts_by_task[task] <= 2, (
            f'{task} was started three times after three crashes'
        )
        self.crash(runner.runner_id)

    def _answer_before_crash(self, outcome):
        return outcome if self.is_crashing_start_answered else None

    def send_stops(self):
        stops = list(self.cell.stops)
        self.cell.stops.clear()
        for order in stops:
            runner = self.runner_by_id.get(order.worker.worker_id)
            is_answered = False
            if runner is not None and runner.is_up:
                is_answered = runner.stop(
                    order.worker.fencing_token, order.task_name, order.run_id
                )
            if order.run is not None:
                self.clock.advance(1)
                answers.apply_stop_answer(
                    order.run, is_answered, self.clock.now()
                )

    def send_speed_limits(self):
        """Deliver the speed limits that were ordered."""
        orders = list(self.cell.speed_limit_orders)
        self.cell.speed_limit_orders.clear()
        for order in orders:
            run = order.run
            runner = self.runner_by_id.get(run.worker.worker_id)
            if runner is not None and runner.is_up:
                runner.limit_speed(
                    run.worker.fencing_token,
                    run.task.name,
                    run.run_id,
                    order.percent,
                )

    def advance(self, ms):
        self.clock.advance(ms)
        self._restart_runners()
        for runner in self.runner_by_id.values():
            if runner.is_up:
                runner.advance(ms)

    def run_cycle(self, ms=100):
        """Advance the time, renew all leases and plan."""
        self.advance(ms)
        self.renew_leases()
        self.plan()

    def run_until(self, job_id, phase, limit_ms=60_000):
        until_ms = self.clock.now() + limit_ms
        while self.view.phase(job_id) is not phase:
            assert self.clock.now() < until_ms, (
                f'{job_id} is {self.view.phase(job_id)} after {limit_ms} ms'
            )
            self.run_cycle()

    def running(self):
        """Return the ids of the runners that run each task, by task."""
        found = collections.defaultdict(list)
        for runner in self.runner_by_id.values():
            if runner.is_up:
                for task in runner.running:
                    found[task].append(runner.runner_id)
        return found

    def check_runners(self):
        """Assert the invariants of the runners.

        A task runs at one runner unless copies of it may run, and no
        runner is over its usual capacity; ``_check_new_start`` compares each
        start with the present one.
        """
        for task, runner_ids in self.running().items():
            assert len(runner_ids) == 1 or self.may_run_copies(task), (
                f'{task} runs at {runner_ids}'
            )
        for runner in self.runner_by_id.values():
            used = resources.total(
                self._allocated_size(task) for task in runner.running
            )
            assert used.fits_in(self.capacity), (
                f'{runner.runner_id} uses {used}'
            )

    def may_run_copies(self, task):
        """Whether several copies of a task may run at once."""
        return self._step(task).is_speculative

    def _lists_progress(self, task):
        """Whether the percent that is listed of a task is its progress."""
        if task in self.size_by_unknown_task:
            return True
        step = self._step(task)
        return not (step.is_service or step.is_filler)

    def _check_start(self, task):
        """Assert that the store has neither a task nor its job as done."""
        job_id = task.step.job.job_id
        assert task.name not in self.done_task_names, f'{task.name} was done'
        assert job_id not in self.completed_ids, (
            f'the job of {task.name} was completed'
        )

    def _allocated_size(self, task):
        if task in self.size_by_unknown_task:
            return self.size_by_unknown_task[task]
        return self._size_by_task[task]

    def _step(self, task):
        job_id, _, number, _ = task.split('.')
        return self.view.submission_by_id[job_id].spec.steps[int(number)]


def _address(runner_id):
    """Return a runner's address; its next incarnation has it too."""
    return runner_id.partition('~')[0]


def _step_name(task):
    return task.rpartition('.')[0]


def _put(stored, key, value):
    stored.pop(key, None)
    if value:
        stored[key] = value

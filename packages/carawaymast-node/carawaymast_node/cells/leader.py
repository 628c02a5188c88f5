"""Leads one cell: takes over, plans, writes, orders and holds."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import admission
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import view as view_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_node import background
from carawaymast_node.cells import advice_desk
from carawaymast_node.cells import election as election_mod
from carawaymast_node.cells import fabric
from carawaymast_node.cells import journal as journal_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import tail as tail_mod
from carawaymast_node.cells import telemetry

__all__ = ['CellContext', 'Leader']

# The lease outlives the loss of a leader: 1.5 s of silence, a takeover of
# some 0.5 s, and a renewal that was up to 1 s old; 1.5 s are to spare. What
# runs at a worker that is lost waits that long.
LEASE_MS = 4_500
HOLD_WAIT_MS = 1_000
# An answer that is lost hides all ends of a worker until the call times out.
# For so long after a loss, calls to all workers wait only briefly.
LOSSY_HOLD_WAIT_MS = 200
LOSSY_MS = 5_000
# Ends that follow each other closely are taken in one look at the worker.
HOLD_PAUSE_MS = 30
HOLD_RETRY_MS = 250
# How long ends wait for the store before the lease is renewed without it.
ACK_WAIT_MS = 400
# Events of so long are planned together.
PLAN_PAUSE_MS = 8
IDLE_PLAN_MS = 100
RETRY_MS = 150
# Without a confirmed renewal a leader goes on holding leases for so long;
# ``cell.UNREACHED_WORKER_MS`` counts on it.
UNCONFIRMED_HOLD_MS = 8_000


class CellContext(typing.NamedTuple):
    """What a leader works with."""

    clock: clock_mod.Clock
    log: telemetry.Telemetry
    metrics: telemetry.Metrics
    platform: ports.Platform
    store: ports.StorePort
    peers: fabric.Peers
    view: view_mod.JobView
    intake_tail: tail_mod.Tail
    state_tail: tail_mod.Tail
    election: election_mod.Election


class Leader:
    """One term of leadership."""

    def __init__(self, context: CellContext, epoch: int):
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self._workers = context.platform.workers
        self.epoch = epoch
        lease_ms = min(LEASE_MS, context.platform.settings.max_lease_ms)
        self._lease_ms = lease_ms
        self.cell = cell_mod.Cell(epoch, lease_ms, self._log.note)
        self._journal = journal_mod.Journal(
            context.store,
            context.clock,
            context.metrics,
            context.view,
            context.state_tail,
            epoch,
        )
        self._lossy_until_ms = 0
        self._wake = asyncio.Event()
        self._committed = asyncio.Event()
        self._commit: asyncio.Task | None = None
        self._tasks = background.TaskSet()
        self._advice: advice_desk.AdviceDesk | None = None
        if context.platform.advise is not None:
            self._advice = advice_desk.AdviceDesk(
                context.clock,
                context.platform.advise,
                context.peers,
                context.log,
                context.metrics,
                self._wake.set,
            )
        self._worker_tail = tail_mod.Tail(
            context.store,
            context.clock,
            context.log,
            context.platform.settings.workers_topic,
            0,
            self._take_worker_item,
        )
        self.is_open = False
        self._is_over = False
        self._fenced_by = ''

    async def run(self) -> None:
        """Lead until fenced or cancelled.

        Returns when another leader has fenced this one.
        """
        started_ms = self._clock.now()
        try:
            await self._open()
            self._log.note(
                'leading',
                epoch=self.epoch,
                took_ms=self._clock.now() - started_ms,
                jobs=len(self.cell.job_by_id),
                workers=len(self.cell.worker_by_key),
            )
            self._metrics.count('takeovers_total')
            self._metrics.record_ms('takeover', self._clock.now() - started_ms)
            self._tasks.spawn(self._worker_tail.run())
            await self._keep_planning()
        except* ports.FencedError as group:
            error = str(group.exceptions[0])
            self._log.note('fenced', epoch=self.epoch, error=error)
        finally:
            self.is_open = False
            self._is_over = True
            self._committed.set()
            self._context.state_tail.is_suspended = False
            self._tasks.cancel()
            if self._advice is not None:
                self._advice.close()
            if self._commit is not None:
                self._commit.cancel()

    def take_job(self, job_id: str) -> None:
        """Take in a job, or its cancelling, that the intake shows."""
        if not self.is_open:
            return
        self.cell.submit(
            self._context.view, job_id, self._clock.now(), self._clock.wall()
        )
        self._wake.set()

    async def accept(self, submission: spec_mod.Submission) -> bool:
        """Store a job; False if it has to be stored without the leader.

        Not answered, or cancelled, it may still come to be stored. Raises
        ``SchedulerError`` if the job is refused; then it never runs.
        """
        if not self.is_open or self._journal.is_failing:
            return False
        job_id = submission.job_id
        if job_id in self._context.view.submission_by_id:
            return True
        refusal = self.cell.judge(submission)
        if refusal is not None:
            raise _refused(refusal)
        self.cell.accept(submission, self._clock.now(), self._clock.wall())
        if job_id in self._context.view.cancelled_ids:
            self.take_job(job_id)
        self._wake.set()
        while job_id not in self._context.view.submission_by_id:
            if self._is_over:
                return False
            await self._committed.wait()
        return True

    async def finish(self, timeout_ms: int) -> None:
        """Wait until what was decided is written, before a hand-over."""
        self.is_open = False
        if self._commit is not None:
            await asyncio.wait([self._commit], timeout=timeout_ms / 1000)

    # -- taking over -------------------------------------------------------

    async def _open(self) -> None:
        # Side by side: on a slow store each call takes a quarter second.
        async with asyncio.TaskGroup() as group:
            group.create_task(self._journal.open())
            group.create_task(self._catch_up(self._context.intake_tail))
            group.create_task(self._catch_up(self._worker_tail))
        now_ms = self._clock.now()
        wall_ms = self._clock.wall()
        self.cell.tick(now_ms, wall_ms)
        self.cell.load(self._context.view, now_ms, wall_ms)
        self.is_open = True
        for worker in list(self.cell.worker_by_key.values()):
            if worker.is_listed:
                self._tasks.spawn(self._keep_holding(worker))

    async def _catch_up(self, tail: tail_mod.Tail) -> None:
        """Read a topic to an end that was there after the journal's fence."""
        while True:
            try:
                if tail.offset is None:
                    # The newest record of each key, as of now.
                    await tail.catch_up(0)
                    return
                answer = await self._context.store.read(
                    tail.topic, tail.part, tail.offset, 0
                )
                await tail.catch_up(answer.end_offset)
                return
            except ports.TrimmedError:
                tail.offset = None
            except ports.StoreError:
                await asyncio.sleep(RETRY_MS / 1000)

    def _take_worker_item(self, item: ports.StoredItem) -> None:
        change = self._context.platform.ingress.decode_worker(item)
        now_ms = self._clock.now()
        if change is None:
            self._log.note('worker_entry_unreadable', worker=item.key)
        elif change.entry is None:
            self.cell.drop_worker(change.worker_id, now_ms)
        else:
            worker = self.cell.take_worker(change.entry, now_ms)
            if worker is not None and self.is_open:
                self._tasks.spawn(self._keep_holding(worker))
        self._wake.set()

    def _end_fenced(self, why: str) -> None:
        """Stop leading: another node has a higher epoch."""
        self._fenced_by = why
        self._wake.set()

    # -- planning ----------------------------------------------------------

    async def _keep_planning(self) -> typing.NoReturn:
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), IDLE_PLAN_MS / 1000)
                await asyncio.sleep(PLAN_PAUSE_MS / 1000)
            except asyncio.TimeoutError:
                self._metrics.count('idle_plans_total')
            self._wake.clear()
            if self._fenced_by:
                raise ports.FencedError(self._fenced_by)
            self._plan()

    def _plan(self) -> None:
        now_ms = self._clock.now()
        wall_ms = self._clock.wall()
        self.cell.tick(now_ms, wall_ms)
        self.cell.sweep(now_ms, wall_ms)
        if self._commit is not None and self._commit.done():
            # Raises if the journal is fenced.
            self._commit.result()
            self._commit = None
        if self._commit is None:
            self.cell.plan(now_ms, wall_ms)
            self._begin_commit(wall_ms)
        if self._advice is not None:
            self._advice.ask(self.cell.advice_wanted(now_ms, wall_ms))
        for order in self.cell.stops:
            self._tasks.spawn(self._stop(order))
        self.cell.stops.clear()
        spent_ms = self._clock.now() - now_ms
        self._metrics.record_ms('plan', spent_ms)

    def _begin_commit(self, wall_ms: int) -> None:
        batch = self.cell.take_batch(wall_ms)
        if batch.is_empty:
            return
        self._commit = asyncio.ensure_future(self._write(batch))
        self._commit.add_done_callback(lambda task: self._wake.set())

    async def _write(self, batch: cell_mod.Batch) -> None:
        await self._journal.write(batch)
        starts = self.cell.commit(batch)
        for line in start_lines(starts, self._clock.wall()):
            self._log.note('started_step', epoch=self.epoch, **line)
        for run in starts:
            self._tasks.spawn(self._start(run))
        committed = self._committed
        self._committed = asyncio.Event()
        committed.set()

    # -- orders ------------------------------------------------------------

    async def _start(self, run: worker_mod.Run) -> None:
        now_ms = self._clock.now()
        deadline_ms = run.worker.next_deadline(now_ms, self._lease_ms)
        outcome = await self._workers.start(run, self.epoch, deadline_ms)
        if not outcome.is_known:
            self._lossy_until_ms = self._clock.now() + LOSSY_MS
        if outcome.refusal is worker_mod.StartRefusal.FENCED:
            self._end_fenced(f'{run.worker.worker_id} refused a start')
        self.cell.take_start(run, outcome, self._clock.now())
        self._metrics.record_ms('start_call', self._clock.now() - now_ms)
        self._wake.set()

    async def _stop(self, order: cell_mod.StopOrder) -> None:
        self._log.note(
            'stop_ordered',
            task=order.task_name,
            run_id=order.run_id,
            worker=order.worker.worker_id,
            why=order.run.stop_reason if order.run else 'not placed',
        )
        is_answered = await self._workers.stop(order, self.epoch)
        if order.run is not None:
            if not is_answered:
                await asyncio.sleep(HOLD_RETRY_MS / 1000)
            now_ms = self._clock.now()
            self.cell.take_stop(order.run, is_answered, now_ms)
        self._wake.set()

    # -- leases ------------------------------------------------------------

    async def _keep_holding(self, worker: worker_mod.Worker) -> None:
        """Renew a worker's lease and read its lists, one call at a time."""
        while not worker.is_gone:
            unconfirmed_ms = (
                self._clock.now() - self._context.election.confirmed_at_ms
            )
            if unconfirmed_ms > UNCONFIRMED_HOLD_MS:
                self._log.note('hold_paused', worker=worker.worker_id)
                await asyncio.sleep(HOLD_RETRY_MS / 1000)
                continue
            try:
                await self._hold(worker)
            except ports.WorkerRebornError:
                self.cell.lose_life(
                    worker, 'another id answered', self._clock.now()
                )
                self._wake.set()
            except ports.WorkerFencedError:
                self._log.note('worker_fenced', worker=worker.worker_id)
                self._end_fenced(f'{worker.worker_id} obeys another leader')
                return
            except ports.WorkerError as error:
                self._metrics.count('hold_errors_total')
                worker.is_doubtful = True
                self._lossy_until_ms = self._clock.now() + LOSSY_MS
                self._log.note(
                    'hold_failed', worker=worker.worker_id, error=str(error)
                )
                await asyncio.sleep(HOLD_RETRY_MS / 1000)

    async def _hold(self, worker: worker_mod.Worker) -> None:
        sent_at_ms = self._clock.now()
        deadline_ms = None
        wait_ms = 0
        if worker.is_adopted:
            deadline_ms = worker.next_deadline(sent_at_ms, self._lease_ms)
            if worker.ack_number >= worker.seen_number:
                is_lossy = sent_at_ms < self._lossy_until_ms
                wait_ms = LOSSY_HOLD_WAIT_MS if is_lossy else HOLD_WAIT_MS
        seen_before = worker.seen_number
        was_adopted = worker.is_adopted
        self._metrics.count('holds_total')
        answer = await self._workers.hold(
            worker, self.epoch, deadline_ms, wait_ms
        )
        self.cell.take_hold(
            worker, answer, sent_at_ms, self._clock.now(), self._clock.wall()
        )
        if worker.seen_number > seen_before or not was_adopted:
            self._wake.set()
        if worker.ack_number < worker.seen_number:
            await self._wait_for_ack(worker)
        elif not was_adopted:
            return
        await asyncio.sleep(HOLD_PAUSE_MS / 1000)

    async def _wait_for_ack(self, worker: worker_mod.Worker) -> None:
        until_ms = self._clock.now() + ACK_WAIT_MS
        while worker.ack_number < worker.seen_number:
            left_ms = until_ms - self._clock.now()
            if left_ms <= 0:
                return
            try:
                await asyncio.wait_for(self._committed.wait(), left_ms / 1000)
            except asyncio.TimeoutError:
                return


def start_lines(
    starts: typing.Iterable[worker_mod.Run], wall_ms: int
) -> list[dict[str, typing.Any]]:
    """Return the fields of one log line for each step that starts."""
    runs_by_step: dict[str, list[worker_mod.Run]] = {}
    for run in starts:
        runs_by_step.setdefault(run.task.step.name, []).append(run)
    lines = []
    for name, runs in runs_by_step.items():
        first = runs[0]
        job = first.task.step.job
        lines.append(
            {
                'step': name,
                'waited_ms': wall_ms - job.submission.accepted_at_ms,
                # Task, run, worker and the processors left there.
                'runs': [
                    (
                        run.task.index,
                        run.run_id,
                        run.worker.worker_id,
                        run.worker.free.cpu_millis,
                    )
                    for run in runs
                ],
                'heard_ms_ago': first.placed_at_ms
                - first.worker.last_answer_at_ms,
                'has_ticket': bool(first.ticket),
            }
        )
    return lines


def _refused(refusal: admission.Refusal) -> errors.SchedulerError:
    if not refusal.retry_after_s:
        kind = errors.ErrorKind.IMPOSSIBLE_JOB
        return errors.SchedulerError(kind, refusal.reason)
    return errors.SchedulerError(
        errors.ErrorKind.OVERLOADED, refusal.reason, refusal.retry_after_s
    )

"""Leads one cell: takes over, plans, writes and sends orders."""

import asyncio
import typing

from carawaymast_core.cell import batching
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import former_leases
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import placing
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import takeover
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node import background
from carawaymast_node import waiting
from carawaymast_node.cells import advice_dispatcher
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import dropping
from carawaymast_node.cells import former_watch
from carawaymast_node.cells import journal as journal_mod
from carawaymast_node.cells import orders
from carawaymast_node.cells import ports
from carawaymast_node.cells import refusals
from carawaymast_node.cells import start_events
from carawaymast_node.cells import worker_follower

__all__ = ['Leader']

# Events within this time are planned together.
PLAN_DELAY_MS = 8
IDLE_PLAN_INTERVAL_MS = 100
# How often a caller's wait for a commit checks for a stalled store.
STALL_POLL_INTERVAL_MS = 100


class Leader:
    """One term of leadership.

    ``is_open`` is true from the end of the takeover until the term ends or
    ``finish`` is called; the leader accepts jobs only then.
    """

    def __init__(self, context: context_mod.CellContext, epoch: int):
        self._context = context
        self._clock = context.clock
        self._log = context.log
        self._metrics = context.metrics
        self.epoch = epoch
        max_lease_ms = context.platform.settings.max_lease_ms
        self.cell = cell_mod.Cell(
            epoch,
            min(orders.LEASE_MS, max_lease_ms),
            self._log.log_event,
            max_lease_ms,
        )
        self.cell.confirms_tickets = True
        self._journal = journal_mod.Journal(
            context.store,
            context.clock,
            context.metrics,
            context.view,
            context.state_reader,
            epoch,
        )
        self._wake = asyncio.Event()
        # Set and replaced at each commit; set for good when the term ends.
        self._committed = asyncio.Event()
        self._commit_task: asyncio.Task | None = None
        self._tasks = background.TaskSet()
        self._orders = orders.Orders(
            context.clock,
            context.log,
            context.metrics,
            context.platform.workers,
            self.cell,
            orders.LeaderCallbacks(
                self._wake.set,
                self._on_fenced,
                context.election.confirmation,
                lambda: self._committed,
            ),
        )
        self._advice: advice_dispatcher.AdviceDispatcher | None = None
        if context.platform.advise is not None:
            self.cell.advice_calls.max_workers = (
                context.platform.settings.max_advised_workers
            )
            self._advice = advice_dispatcher.AdviceDispatcher(
                context.clock,
                context.platform.advise,
                context.platform.settings.max_advised_workers,
                context.peers,
                context.log,
                context.metrics,
                self._wake.set,
            )
        self._workers = worker_follower.WorkerFollower(
            context, self.cell, self._orders.keep_lease_renewed, self._wake.set
        )
        self.is_open = False
        self._is_over = False
        self._is_finished = False
        # From then on no order is sent, whatever is still under way.
        self._has_ended_calls = False
        self._fence_reason = ''

    async def run(self) -> None:
        """Lead until fenced or cancelled.

        Returns when another leader has fenced this one.
        """
        started_ms = self._clock.now()
        try:
            await self._open()
            self._log.log_event(
                'leading',
                epoch=self.epoch,
                took_ms=self._clock.now() - started_ms,
                jobs=len(self.cell.job_by_id),
                workers=len(self.cell.worker_by_key),
            )
            self._metrics.count('takeovers_total')
            self._metrics.record_ms('takeover', self._clock.now() - started_ms)
            self._tasks.spawn(self._workers.reader.run())
            self._tasks.spawn(
                former_watch.watch_formers(
                    self._context, self.epoch, self._wake.set
                )
            )
            self._tasks.spawn(
                dropping.keep_dropping(self._context, self._drop_state)
            )
            await self._keep_planning()
        except* ports.FencedError as group:
            error = str(group.exceptions[0])
            self._log.log_event('fenced', epoch=self.epoch, error=error)
        finally:
            self.is_open = False
            self._is_over = True
            self._committed.set()
            self._context.state_reader.is_suspended = False
            self._tasks.cancel()
            self._workers.cancel()
            if self._advice is not None:
                self._advice.close()
            if self._commit_task is not None:
                self._commit_task.cancel()

    def on_job(self, job_id: str) -> None:
        """Apply a job, or its cancellation, that is in the intake."""
        if not self.is_open:
            return
        self.cell.sync_job(
            self._context.view, job_id, self._clock.now(), self._clock.wall()
        )
        self._wake.set()

    async def accept(
        self, submission: spec_mod.Submission
    ) -> ports.StoreOutcome:
        """Store a job and return whether it is stored.

        If the call is cancelled, the job may still be stored. Raises
        ``SchedulerError`` if the job is refused; it then never runs.
        """
        job_id = submission.job_id
        if self._context.view.has_job(job_id):
            return ports.StoreOutcome.YES
        if not self.is_open or self._journal.is_stalled:
            # An earlier attempt to store the same job may be in flight.
            is_new = job_id not in self.cell.job_by_id
            return (
                ports.StoreOutcome.NO if is_new else ports.StoreOutcome.UNKNOWN
            )
        refusal = self.cell.check_admission(submission)
        if refusal is not None:
            raise refusals.to_error(refusal)
        self.cell.accept(submission, self._clock.now(), self._clock.wall())
        if job_id in self._context.view.cancelled_at_ms_by_id:
            self.on_job(job_id)
        self._wake.set()
        while not self._context.view.has_job(job_id):
            if self._is_over:
                return ports.StoreOutcome.UNKNOWN
            if self._journal.is_stalled and self.cell.withdraw(job_id):
                return ports.StoreOutcome.NO
            await self._wait_for_commit()
        return ports.StoreOutcome.YES

    async def _wait_for_commit(self) -> None:
        await waiting.wait_event(self._committed, STALL_POLL_INTERVAL_MS)

    async def finish(self, timeout_ms: int) -> None:
        """Accept no more jobs, store those accepted, and end all calls."""
        self.is_open = False
        self._is_finished = True
        until_ms = self._clock.now() + timeout_ms
        await self._wait_for_write(until_ms)
        if self._commit_task is None and self.cell.new_by_id:
            self._begin_commit(self._clock.wall())
            await self._wait_for_write(until_ms)
        self._has_ended_calls = True
        self._tasks.cancel()
        self._workers.cancel()
        unreached = former_leases.unreached_record(
            self.cell, self._clock.now()
        )
        if self._commit_task is None and unreached is not None:
            batch = batching.Batch({}, {}, [], {}, unreached=unreached)
            self._commit_task = asyncio.ensure_future(self._write(batch))
            await self._wait_for_write(until_ms)

    async def _wait_for_write(self, until_ms: int) -> None:
        if self._commit_task is None:
            return
        left_ms = max(0, until_ms - self._clock.now())
        await asyncio.wait([self._commit_task], timeout=left_ms / 1000)
        if self._commit_task.done():
            self._commit_task = None

    # -- takeover ----------------------------------------------------------

    async def _open(self) -> None:
        # Concurrently: on a slow store each call takes a quarter second.
        async with asyncio.TaskGroup() as group:
            group.create_task(self._journal.open())
            group.create_task(self._context.intake_reader.read_to_end())
            group.create_task(self._workers.reader.read_to_end())
        now_ms = self._clock.now()
        wall_ms = self._clock.wall()
        self.cell.set_clock(now_ms, wall_ms)
        self.cell.formers_until_ms = self._formers_until_ms()
        self.cell.former_epoch = (
            self._context.election.former_terms.former_epoch(self.epoch)
        )
        takeover.load(self.cell, self._context.view, now_ms, wall_ms)
        if not self._is_finished:
            self.is_open = True
            self._workers.begin_renewals()

    def _formers_until_ms(self) -> float:
        return self._context.election.former_terms.until_ms(self.epoch)

    def _on_fenced(self, reason: str) -> None:
        """Stop leading, because another node has a higher epoch."""
        self._fence_reason = reason
        self._wake.set()

    # -- planning ----------------------------------------------------------

    async def _keep_planning(self) -> typing.NoReturn:
        while True:
            if await waiting.wait_event(self._wake, IDLE_PLAN_INTERVAL_MS):
                await asyncio.sleep(PLAN_DELAY_MS / 1000)
            else:
                self._metrics.count('idle_plans_total')
            self._wake.clear()
            if self._fence_reason:
                raise ports.FencedError(self._fence_reason)
            self._plan()

    def _plan(self) -> None:
        if self._is_finished:
            return
        now_ms = self._clock.now()
        wall_ms = self._clock.wall()
        self.cell.set_clock(now_ms, wall_ms)
        self.cell.formers_until_ms = self._formers_until_ms()
        worker_lifecycle.sweep(self.cell, now_ms, wall_ms)
        # Also of workers that only an answer has shown, and of those whose
        # renewals have failed.
        self._workers.begin_renewals()
        if self._commit_task is not None and self._commit_task.done():
            # Raises FencedError if the journal is fenced.
            self._commit_task.result()
            self._commit_task = None
        is_planned = self._commit_task is None
        if is_planned:
            placing.plan(self.cell, now_ms, wall_ms)
            self._begin_commit(wall_ms)
        if self._advice is not None:
            self._advice.dispatch(
                placing.steps_needing_advice(
                    self.cell, now_ms, wall_ms, is_planned
                ),
                self.cell.advice_calls.record,
            )
            self.cell.advice_calls.nodes = self._advice.long_call_nodes
        for order in self.cell.stops:
            self._tasks.spawn(self._orders.stop(order))
        self.cell.stops.clear()
        for speed_limit_order in self.cell.speed_limit_orders:
            self._tasks.spawn(self._orders.limit_speed(speed_limit_order))
        self.cell.speed_limit_orders.clear()
        elapsed_ms = self._clock.now() - now_ms
        self._metrics.record_ms('plan', elapsed_ms)

    def _drop_state(self, state_keys: typing.Sequence[str]) -> None:
        """Drop records of the state with the next batch."""
        self.cell.dropped_keys += state_keys
        self._wake.set()

    def _begin_commit(self, wall_ms: int) -> None:
        batch = batching.collect(self.cell, wall_ms)
        if batch.is_empty:
            return
        # While the batch is being stored, so that the starts wait no longer.
        for worker in late_starts.workers_to_confirm(batch.starts):
            reading = self._orders.lists.read(worker, self._clock.now())
            self._tasks.spawn(reading)
        self._commit_task = asyncio.ensure_future(self._write(batch))
        self._commit_task.add_done_callback(lambda task: self._wake.set())

    async def _write(self, batch: batching.Batch) -> None:
        await self._journal.write(batch)
        starts = batching.mark_stored(self.cell, batch)
        for fields in start_events.fields_by_step(starts, self._clock.wall()):
            self._log.log_event('started_step', epoch=self.epoch, **fields)
        if not self._has_ended_calls:
            for run in starts:
                self._tasks.spawn(self._orders.start(run))
        committed = self._committed
        self._committed = asyncio.Event()
        committed.set()

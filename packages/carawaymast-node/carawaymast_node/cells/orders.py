"""The leader's calls to workers: lease renewals, starts, stops and limits."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import answer_times
from carawaymast_core.cell import answers
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import start_check
from carawaymast_core.cell import throttling
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node import waiting
from carawaymast_node.cells import confirmation as confirmation_mod
from carawaymast_node.cells import list_reads
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['LEASE_MS', 'Orders', 'LeaderCallbacks']

# The lease outlasts the loss of a leader: 1.5 s until the leader times out, a
# takeover of some 0.5 s and a renewal that was up to 1 s old, with 1.5 s to
# spare. Tasks of a lost worker wait that long for a restart elsewhere.
LEASE_MS = 4_500
RENEWAL_WAIT_MS = 1_000
# A lost answer hides the ended runs of a worker until the call times out. For
# LOSSY_PERIOD_MS after a loss, calls to all workers wait only briefly.
LOSSY_RENEWAL_WAIT_MS = 200
LOSSY_PERIOD_MS = 5_000
# Where fillers run beside services, reports are needed often: a service must
# not exceed its target for longer than some seconds.
SHARED_RENEWAL_WAIT_MS = 200
# Runs that end in close succession are read by one call.
RENEWAL_INTERVAL_MS = 30
RENEWAL_RETRY_INTERVAL_MS = 250
# How long the acknowledgement of ended runs waits for the store before the
# lease is renewed without it.
ACK_WAIT_MS = 400
NOT_CONFIRMED = 'its worker has not confirmed its ticket'


# Bounds on the time-out of an order. A worker answers within a few ms; the
# lower bound covers pauses of its or the leader's VM, the upper a busy link.
MIN_ORDER_TIMEOUT_MS = 100
MAX_ORDER_TIMEOUT_MS = 400


class LeaderCallbacks(typing.NamedTuple):
    """What ``Orders`` uses of the leader."""

    # Called after a change that may let tasks start.
    on_change: typing.Callable[[], None]
    # Called with a reason for the log if a worker follows another leader.
    on_fenced: typing.Callable[[str], None]
    confirmation: confirmation_mod.Confirmation
    # Returns the event that the next commit sets.
    committed: typing.Callable[[], asyncio.Event]


class Orders:
    """Sends a leader's orders and applies the answers to the cell."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        log: telemetry.Telemetry,
        metrics: telemetry.Metrics,
        workers: ports.WorkerPort,
        cell: cell_mod.Cell,
        callbacks: LeaderCallbacks,
    ):
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._workers = workers
        self._cell = cell
        self._lease_ms = cell.lease_ms
        self._on_change = callbacks.on_change
        self._on_fenced = callbacks.on_fenced
        self._confirmation = callbacks.confirmation
        self._committed = callbacks.committed
        self._lossy_until_ms = 0
        self._answer_times = answer_times.AnswerTimes(
            MIN_ORDER_TIMEOUT_MS, MAX_ORDER_TIMEOUT_MS
        )
        self.lists = list_reads.ListReads(
            clock, log, workers, cell, self._answer_times
        )

    async def start(self, run: run_mod.Run) -> None:
        """Start a run whose placement is stored.

        It is withdrawn if its worker has changed since, and may not run it, or
        has not confirmed that no later incarnation takes its ticket.

        No start is sent later than ``MAX_UNCONFIRMED_START_MS`` after a
        successor's claim, except by a suspension between the check and the
        call. What still waits when the term ends is cancelled with it.
        """
        if late_starts.needs_confirmation(run):
            await self.lists.confirm_ticket(run)
        await self._confirmation.wait(late_starts.MAX_UNCONFIRMED_START_MS)
        now_ms = self._clock.now()
        if not start_check.is_wanted(run):
            run.is_under_way = False
            return
        reason = start_check.refusal_now(run)
        if not reason and late_starts.needs_confirmation(run):
            reason = NOT_CONFIRMED
            run.worker.mark_unresponsive(now_ms)
        if reason:
            start_check.withdraw(self._cell, run, reason, now_ms)
            self._on_change()
            return
        worker = run.worker
        deadline_ms = worker.lease.next_deadline(now_ms, self._lease_ms)
        outcome = await self._workers.start(
            run,
            worker.fencing_token,
            deadline_ms,
            self._answer_times.timeout_ms,
        )
        self._answer_times.add(self._clock.now() - now_ms)
        if not outcome.is_known:
            self._lossy_until_ms = self._clock.now() + LOSSY_PERIOD_MS
        # The next incarnation refuses calls for one that is gone.
        is_fenced = outcome.refusal is reports.StartRefusal.FENCED
        if is_fenced and not worker.is_gone:
            self._on_fenced(f'{worker.worker_id} refused a start')
        answers.apply_start_outcome(
            self._cell, run, outcome, self._clock.now()
        )
        self._metrics.record_ms('start_call', self._clock.now() - now_ms)
        is_uncertain = outcome.is_running or not outcome.is_known
        if is_uncertain and late_starts.is_start_repeated(run):
            # The lists show at which incarnation it is, if at any.
            await self.lists.read(worker, self._clock.now())
        self._on_change()

    async def stop(self, order: worker_mod.StopOrder) -> None:
        """Stop a run; the cell repeats the order if it is not answered.

        A run whose start was not answered is mostly not there. Only lists
        that are requested after the stop was answered show that, so they are
        requested at once, and the task can start elsewhere.
        """
        self._log.log_event(
            'stop_ordered',
            task=order.task_name,
            run_id=order.run_id,
            worker=order.worker.worker_id,
            why=order.run.stop_reason if order.run else 'not placed',
        )
        sent_at_ms = self._clock.now()
        timeout_ms = self._answer_times.timeout_ms
        is_answered = await self._workers.stop(
            order, order.worker.fencing_token, timeout_ms
        )
        self._answer_times.add(self._clock.now() - sent_at_ms)
        if order.run is not None:
            if not is_answered:
                await asyncio.sleep(timeout_ms / 1000)
            now_ms = self._clock.now()
            answers.apply_stop_answer(order.run, is_answered, now_ms)
            if is_answered and answers.is_start_unanswered(order.run):
                await self.lists.read(order.worker, self._clock.now())
        self._on_change()

    async def limit_speed(self, order: worker_mod.SpeedLimitOrder) -> None:
        """Limit a run's speed; repeated until the worker reports the limit."""
        if not await self._workers.limit_speed(
            order,
            order.run.worker.fencing_token,
            self._answer_times.timeout_ms,
        ):
            self._metrics.count('paces_unanswered_total')

    async def keep_lease_renewed(self, worker: worker_mod.Worker) -> None:
        """Renew a worker's lease and read its lists of runs.

        Return once this incarnation has ended (``worker.is_gone``) or the
        worker follows another leader.
        """
        while not worker.is_gone:
            if not self._confirmation.is_within(
                late_starts.MAX_UNCONFIRMED_RENEWAL_MS
            ):
                self._log.log_event('hold_paused', worker=worker.worker_id)
                await asyncio.sleep(RENEWAL_RETRY_INTERVAL_MS / 1000)
                continue
            try:
                await self._renew_lease(worker)
            except ports.WorkerRestartedError:
                worker_lifecycle.end_incarnation(
                    self._cell,
                    worker,
                    'another id answered',
                    self._clock.now(),
                )
                self._on_change()
            except ports.WorkerFencedError:
                if worker.is_gone:
                    # The next incarnation refuses calls for this one.
                    return
                self._log.log_event('worker_fenced', worker=worker.worker_id)
                self._on_fenced(f'{worker.worker_id} follows another leader')
                return
            except ports.WorkerError as error:
                self._metrics.count('hold_errors_total')
                was_unresponsive = worker.is_unresponsive
                worker.mark_unresponsive(self._clock.now())
                self._lossy_until_ms = self._clock.now() + LOSSY_PERIOD_MS
                self._log.log_event(
                    'hold_failed', worker=worker.worker_id, error=str(error)
                )
                # A single answer may get lost; after a second one the worker
                # seems to be unreachable.
                if was_unresponsive:
                    await asyncio.sleep(RENEWAL_RETRY_INTERVAL_MS / 1000)

    async def _renew_lease(self, worker: worker_mod.Worker) -> None:
        sent_at_ms = self._clock.now()
        deadline_ms = None
        wait_ms = 0
        if worker.is_adopted:
            # After a call without an answer, only read the lists: any call may
            # take effect, so renewals would extend a lost worker's lease.
            if not worker.is_unresponsive:
                deadline_ms = worker.lease.next_deadline(
                    sent_at_ms, self._lease_ms
                )
            is_acked = worker.ack_number >= worker.seen_number
            if is_acked and not worker.is_unresponsive:
                wait_ms = self._renewal_wait_ms(worker, sent_at_ms)
        previous_number = worker.seen_number
        was_adopted = worker.is_adopted
        self._metrics.count('holds_total')
        try:
            answer = await self._workers.renew_lease(
                worker,
                worker.fencing_token,
                deadline_ms,
                wait_ms,
                self._answer_times.timeout_ms,
            )
        except ports.WorkerError:
            if deadline_ms is not None:
                late_starts.record_late_renewal(self._cell, worker, sent_at_ms)
            raise
        answers.apply_lease_renewal(
            self._cell, worker, answer, sent_at_ms, self._clock.now()
        )
        is_changed = worker.seen_number > previous_number or not was_adopted
        if is_changed or self._cell.speed_limit_orders:
            self._on_change()
        if worker.ack_number < worker.seen_number:
            await self._wait_for_ack(worker)
            if not answer.is_complete:
                # The runs whose ends follow still take capacity.
                return
        elif not was_adopted:
            # This call only read the lists: renew the lease without a pause.
            return
        await asyncio.sleep(RENEWAL_INTERVAL_MS / 1000)

    def _renewal_wait_ms(self, worker: worker_mod.Worker, now_ms: int) -> int:
        """Return how long the worker may wait for a run to end, in ms."""
        if throttling.is_shared(worker):
            return SHARED_RENEWAL_WAIT_MS
        if now_ms < self._lossy_until_ms:
            return LOSSY_RENEWAL_WAIT_MS
        return RENEWAL_WAIT_MS

    async def _wait_for_ack(self, worker: worker_mod.Worker) -> None:
        until_ms = self._clock.now() + ACK_WAIT_MS
        while worker.ack_number < worker.seen_number:
            left_ms = until_ms - self._clock.now()
            if left_ms <= 0:
                return
            committed = self._committed()
            if committed.is_set():
                # The term has ended, so there will be no further commit.
                return
            await waiting.wait_event(committed, left_ms)

"""The entry role: admission, queue, dispatch and answer of requests.

``submit`` accepts a request and calls ``reply`` exactly once. The choice of
the next request and of its slot is local and needs no message.
"""

import asyncio
import time
import typing

from hdrh import histogram

from carawaymast_core import account as account_mod
from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import fairqueue
from carawaymast_core import retry
from carawaymast_core import slot_cache
from carawaymast_core import slots
from carawaymast_core import table as table_mod
from carawaymast_node import background
from carawaymast_node import endpoint as endpoint_mod
from carawaymast_node import messages

__all__ = ['EntryService', 'Reply']

MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_ATTEMPTS = 6
# An answer is overdue after OVERDUE_FACTOR times the usual run time of its
# kind, at least 1,000 ms.
MIN_OVERDUE_MS = 1_000
OVERDUE_FACTOR = 8
# It is overdue earlier if 1/3 of the wait that is left has passed, because
# the lookup and another attempt need the rest. On a slow machine, kinds with
# a longest wait of 1,500 ms became overdue only after 1,200 to 1,400 ms, too
# late for another attempt.
OVERDUE_WAIT_DIVISOR = 3
# It is never overdue before this multiple of the usual run time. A multiple
# of 1 would look up about half of all calls.
MIN_OVERDUE_FACTOR = 2
HISTOGRAM_MAX_MS = 3_600_000
HISTOGRAM_DIGITS = 2
EXPIRY_INTERVAL_MS = 20
NANOSECONDS_PER_US = 1_000

Reply = typing.Callable[[int, typing.Any], None]


class _Request:
    """A request that was accepted and has no answer yet."""

    def __init__(
        self,
        request_id: str,
        body: messages.RequestBody,
        arrived_at_ms: int,
        row: table_mod.Row,
        reply: Reply,
    ):
        self.request_id = request_id
        self.body = body
        self.arrived_at_ms = arrived_at_ms
        self.deadline_at_ms = arrived_at_ms + body['deadline_ms']
        longest_at_ms = arrived_at_ms + row.longest_wait_ms
        self.expires_at_ms = min(self.deadline_at_ms, longest_at_ms)
        self.reply = reply
        self.attempts = 0
        self.may_have_run = False
        self.is_abandoned = False

    def queued(self) -> fairqueue.Queued:
        """Return the entry of this request for the queue."""
        return fairqueue.Queued(
            self.request_id,
            self.body['kind'],
            self.arrived_at_ms,
            self.expires_at_ms,
        )


class EntryService:
    """The requests that callers have sent to this node."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        endpoints: endpoint_mod.EndpointClient,
        account: account_mod.Account,
    ):
        self._clock = clock
        self._endpoints = endpoints
        self._table = table_mod.EMPTY
        self._request_by_id: dict[str, _Request] = {}
        self._background = background.TaskSet()
        self._budget = retry.RetryBudget()
        self.account = account
        self.queue = fairqueue.FairQueue()
        self.cache = slot_cache.SlotCache()
        self.endpoint_by_worker: dict[str, endpoint_mod.Endpoint] = {}
        self.wait_ms_by_kind: dict[str, histogram.HdrHistogram] = {}
        # The time to admit and queue a request, up to 10 s.
        self.decision_us = histogram.HdrHistogram(1, 10_000_000, 2)
        self.refusal_by_error: dict[str, int] = {}
        self.is_draining = False
        self.fleet_slots = 0
        self.node_count = 1
        self.request_more_slots: typing.Callable[[], None] = lambda: None
        self.release_spare_slots: typing.Callable[[], None] = lambda: None
        self.return_slot: typing.Callable[[slots.ReleasedSlot, str], None]
        self.return_slot = lambda released, owner_id: None

    @property
    def in_flight(self) -> int:
        """The number of requests that have no answer yet."""
        return len(self._request_by_id)

    def apply_table(self, table: table_mod.Table) -> None:
        """Apply a newer table."""
        self._table = table
        self.queue.configure(table)

    def submit(
        self, request_id: str, body: messages.RequestBody, reply: Reply
    ) -> None:
        """Admit a request or raise ``SchedulerError``.

        After admission ``reply`` is called once, with status and body.
        """
        started_ns = time.perf_counter_ns()
        request = self.admit(request_id, body, reply)
        self.enqueue(request)
        took_us = (time.perf_counter_ns() - started_ns) // NANOSECONDS_PER_US
        self.decision_us.record_value(max(1, took_us))

    def admit(
        self, request_id: str, body: messages.RequestBody, reply: Reply
    ) -> _Request:
        """Check a request against the table and the predicted wait."""
        started_ms = self._clock.now()
        row = self._row_for(body)
        self.account.accept(row.kind, row.team)
        request = _Request(request_id, body, started_ms, row, reply)
        self._request_by_id[request_id] = request
        try:
            self._check_admission(request, row)
        except errors.SchedulerError as error:
            self._complete_refused(request, error)
            raise
        return request

    def enqueue(self, request: _Request) -> None:
        """Queue an admitted request and start the requests that can."""
        self.queue.push(request.queued())
        self._budget.deposit()
        self.start_waiting()

    def refuse(self, request: _Request, error: errors.SchedulerError) -> None:
        """Complete an admitted request that did not start, with an error."""
        self._finish_error(request, error)

    def answer_stored(self, request: _Request, status: int, body) -> None:
        """Complete an admitted request with the outcome stored for its key."""
        outcome = account_mod.Outcome.DONE
        if 'ran' in body:
            outcome = account_mod.OUTCOME_BY_RAN[errors.Ran(body['ran'])]
        self._complete(request, outcome)
        request.reply(status, body)

    def abandon(self, request_id: str) -> None:
        """Stop serving a request whose caller has disconnected.

        It is removed if it waits. If it runs, its run may end, but it is not
        retried.
        """
        request = self._request_by_id.get(request_id)
        if request is None:
            return
        request.is_abandoned = True
        if self.queue.remove(request_id):
            self._complete(request, account_mod.Outcome.DISCONNECTED)

    def start_waiting(self) -> None:
        """Start waiting requests while there are idle slots."""
        now_ms = self._clock.now()
        while len(self.queue) and self.cache.has_idle(now_ms):
            queued = self.queue.pop_next(self.cache.total)
            if queued is None:
                break
            request = self._request_by_id[queued.request_id]
            use = self.cache.begin_use(queued.request_id)
            self._start(request, use, now_ms)
        if len(self.queue):
            # The idle slots that remain are protected and stay on this node.
            self.request_more_slots()
        elif self.cache.idle_total:
            self.release_spare_slots()

    def expire(self) -> None:
        """Refuse the requests that waited too long; they have not run."""
        now_ms = self._clock.now()
        self.cache.expire_leases(now_ms)
        for queued in self.queue.pop_expired(now_ms):
            request = self._request_by_id[queued.request_id]
            waited_ms = now_ms - request.arrived_at_ms
            kind = errors.ErrorKind.WAIT_EXCEEDED
            if now_ms >= request.deadline_at_ms:
                kind = errors.ErrorKind.DEADLINE_EXCEEDED
            detail = f'waited {waited_ms} ms for a slot'
            self._finish_error(request, errors.SchedulerError(kind, detail))

    async def keep_expiring(self) -> typing.NoReturn:
        """Refuse expired requests for as long as the node runs."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_MS / 1000)
            self.expire()
            self.start_waiting()

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` unless queue, slots and tallies agree."""
        self.queue.check_invariants()
        self.cache.check_invariants()
        self.account.check_invariants()
        in_flight = sum(
            tally['in_flight'] for tally in self.account.tally_by_kind.values()
        )
        errors.check(
            in_flight == len(self._request_by_id),
            f'{in_flight} in flight by kind, {len(self._request_by_id)} by id',
        )

    def _row_for(self, body: messages.RequestBody) -> table_mod.Row:
        if self.is_draining:
            raise errors.SchedulerError(
                errors.ErrorKind.SHUTTING_DOWN, 'the node is shutting down'
            )
        row = table_mod.row_for(self._table, body['kind'], body['team'])
        if not 0 < body['deadline_ms'] <= MAX_DEADLINE_MS:
            raise errors.SchedulerError(
                errors.ErrorKind.BAD_REQUEST,
                f'deadline_ms is {body["deadline_ms"]}, '
                f'allowed: 1 to {MAX_DEADLINE_MS} from now',
            )
        return row

    def _check_admission(self, request: _Request, row: table_mod.Row) -> None:
        waiting = self.queue.waiting(row.kind)
        if waiting >= row.queue_bound:
            raise errors.SchedulerError(
                errors.ErrorKind.QUEUE_FULL,
                f'{waiting} requests of kind {row.kind} are waiting, '
                f'allowed: {row.queue_bound}',
            )
        allowed_ms = request.expires_at_ms - request.arrived_at_ms
        predicted_ms = self.queue.predicted_wait_ms(
            row.kind, self._expected_slots()
        )
        if predicted_ms > allowed_ms:
            raise errors.SchedulerError(
                errors.ErrorKind.OVERLOADED,
                f'predicted wait is {predicted_ms:.0f} ms, '
                f'allowed: {allowed_ms} ms',
            )

    def _expected_slots(self) -> int:
        even = self.fleet_slots // max(1, self.node_count)
        return max(self.cache.total, even)

    def _start(
        self, request: _Request, use: slot_cache.SlotUse, now_ms: int
    ) -> None:
        if not request.attempts:
            self._record_wait(request, now_ms)
        request.attempts += 1
        self._background.spawn(self._run(request, use, now_ms))

    async def _run(
        self, request: _Request, use: slot_cache.SlotUse, started_at_ms: int
    ) -> None:
        run_outcome = await self._call_endpoint(request, use, started_at_ms)
        now_ms = self._clock.now()
        ran_ms = now_ms - started_at_ms if run_outcome.ran == 'yes' else None
        self.queue.finish(request.body['kind'], ran_ms)
        self._release_slot(request, use, run_outcome, now_ms)
        if run_outcome.ran == 'unknown':
            request.may_have_run = True
        if self._may_retry(request, run_outcome, now_ms):
            self.queue.push(request.queued(), is_first=True)
        else:
            self._finish(request, run_outcome)
        self.start_waiting()

    async def _call_endpoint(
        self, request: _Request, use: slot_cache.SlotUse, started_at_ms: int
    ) -> endpoint_mod.RunOutcome:
        endpoint = self.endpoint_by_worker[use.slot_id.worker_id]
        left_ms = max(1, request.deadline_at_ms - started_at_ms)
        dispatch = endpoint_mod.Dispatch(
            request.request_id,
            request.body['payload'],
            request.body['idempotent'],
            min(left_ms, self._overdue_ms(request, started_at_ms)),
            left_ms,
        )
        try:
            return await self._endpoints.run(endpoint, use, dispatch)
        except Exception as error:
            # The caller needs an answer even after an internal error.
            return endpoint_mod.RunOutcome('unknown', False, None, repr(error))

    def _overdue_ms(self, request: _Request, started_at_ms: int) -> int:
        """Return the time after which an answer is overdue, in ms."""
        usual_ms = int(self.queue.cost_ms(request.body['kind']))
        wait_left_ms = request.expires_at_ms - started_at_ms
        typical_overdue_ms = max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usual_ms)
        max_overdue_ms = wait_left_ms // OVERDUE_WAIT_DIVISOR
        min_overdue_ms = max(1, MIN_OVERDUE_FACTOR * usual_ms)
        return max(min_overdue_ms, min(typical_overdue_ms, max_overdue_ms))

    def _release_slot(self, request, use, run_outcome, now_ms) -> None:
        slot_id = use.slot_id
        if run_outcome.ran == 'unknown':
            self.cache.discard(slot_id, request.request_id)
            return
        if run_outcome.ran == 'no':
            self.cache.discard(slot_id, request.request_id)
            self.cache.drop_worker(slot_id.worker_id)
            return
        owner_id = self.cache.owner_of(slot_id)
        released = self.cache.end_use(slot_id, request.request_id, now_ms)
        if released is not None:
            self.return_slot(released, owner_id)

    def _may_retry(self, request, run_outcome, now_ms) -> bool:
        if request.is_abandoned or request.attempts >= MAX_ATTEMPTS:
            return False
        if now_ms >= request.deadline_at_ms:
            return False
        if run_outcome.ran == 'no':
            return True
        if run_outcome.is_ok or not request.body['idempotent']:
            return False
        return run_outcome.ran == 'unknown' and self._budget.withdraw()

    def _finish(self, request: _Request, run_outcome: endpoint_mod.RunOutcome):
        if run_outcome.is_ok:
            self._complete(request, account_mod.Outcome.DONE)
            request.reply(
                200,
                {
                    'request_id': request.request_id,
                    'outcome': 'done',
                    'result': run_outcome.result,
                },
            )
            return
        kind = {
            'yes': errors.ErrorKind.ENDPOINT_FAILED,
            'no': errors.ErrorKind.ENDPOINT_REFUSED,
        }.get(run_outcome.ran, errors.ErrorKind.OUTCOME_UNKNOWN)
        self._finish_error(
            request, errors.SchedulerError(kind, run_outcome.detail)
        )

    def _finish_error(self, request, error: errors.SchedulerError) -> None:
        if request.may_have_run and error.answer.ran is errors.Ran.NO:
            error = errors.SchedulerError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'an earlier attempt had no answer; then {error.detail}',
            )
        self._complete_refused(request, error)
        body = errors.error_body(error, request.request_id)
        request.reply(error.answer.status, body)

    def _complete_refused(self, request, error: errors.SchedulerError) -> None:
        count = self.refusal_by_error.get(error.kind.value, 0)
        self.refusal_by_error[error.kind.value] = count + 1
        outcome = account_mod.OUTCOME_BY_RAN[error.answer.ran]
        self._complete(request, outcome)

    def _complete(self, request, outcome: account_mod.Outcome) -> None:
        del self._request_by_id[request.request_id]
        if request.is_abandoned:
            outcome = account_mod.Outcome.DISCONNECTED
        self.account.complete(request.body['kind'], outcome)

    def _record_wait(self, request: _Request, now_ms: int) -> None:
        kind = request.body['kind']
        waits = self.wait_ms_by_kind.get(kind)
        if waits is None:
            waits = histogram.HdrHistogram(
                1, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS
            )
            self.wait_ms_by_kind[kind] = waits
        waits.record_value(max(1, now_ms - request.arrived_at_ms))

"""Appends callers' submissions and cancellations to the intake topic.

Records that arrive while an append is in flight are stored together by the
next one.
"""

import asyncio
import math
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import outage as outage_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_node import background
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['Intake', 'TOPIC', 'store_job']

TOPIC = 'intake'
# Bounds a caller's wait for a store that does not answer.
MAX_TRIES = 2
# The platform accepts up to 2 MB.
MAX_APPEND_BYTES = 1_000_000
# If the store's last answer is older, an append is sent only after a probe is
# answered: a record that was not sent can be refused, while the outcome of one
# that was sent without an answer is unknown.
MAX_ANSWER_AGE_MS = 1_000
# A store that is 80 times slower than usual answers within 0.35 s.
PROBE_TIMEOUT_MS = 500
PROBE_INTERVAL_MS = 200
# A record that is not sent within its timeout is refused. A job's timeout is a
# share of its objective: urgent callers need the refusal at once, while for a
# job with a long objective, whose caller gives up after some tries, waiting
# costs nothing.
DEFAULT_SEND_TIMEOUT_MS = 700
MAX_SEND_TIMEOUT_MS = 1_400
SEND_TIMEOUT_SHARE = 0.25


class _PendingRecord:
    """A record whose caller waits until it is stored."""

    def __init__(self, item: ports.KeyValue):
        self.item = item
        self.is_sent = False
        self.stored = asyncio.get_running_loop().create_future()


class Intake:
    """Appends to the intake topic of one cell.

    ``deliver`` is called with the records of each append once it is stored,
    to pass them on to the leader.
    """

    def __init__(
        self,
        store: ports.StorePort,
        clock: clock_mod.Clock,
        metrics: telemetry.Metrics,
        part: int,
        deliver: typing.Callable[
            [typing.Sequence[ports.KeyValue]], typing.Awaitable[None]
        ],
    ):
        self._deliver = deliver
        self._tasks = background.TaskSet()
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._part = part
        self._pending: list[_PendingRecord] = []
        self._wake = asyncio.Event()
        self._outage = outage_mod.Outage()
        # The known end of the topic; probes read from there.
        self._end_offset = 0
        # The last failure of the store, for error messages.
        self._failure = ''

    async def store(
        self,
        item: ports.KeyValue,
        send_timeout_ms: float = DEFAULT_SEND_TIMEOUT_MS,
        time_left_ms: float = math.inf,
    ) -> None:
        """Store a record for a caller that still waits ``time_left_ms``.

        Raises ``SchedulerError``: ``LOG_UNAVAILABLE`` if it certainly is not
        stored and will not be, for example because it was not sent to the
        store within ``send_timeout_ms``; ``OUTCOME_UNKNOWN`` otherwise.
        """
        began_ms = self._clock.now()
        wait_ms = self._outage.wait_ms(began_ms, send_timeout_ms, time_left_ms)
        pending = _PendingRecord(item)
        self._pending.append(pending)
        self._wake.set()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await asyncio.shield(pending.stored)
                return
        except TimeoutError:
            if not pending.is_sent:
                self._pending.remove(pending)
                waited_ms = self._clock.now() - began_ms
                raise self._refusal(
                    self._wait_reason(), time_left_ms - waited_ms
                ) from None
        except asyncio.CancelledError:
            pending.stored.cancel()
            raise
        await pending.stored

    async def run(self) -> typing.NoReturn:
        """Append until cancelled."""
        while True:
            if not self._outage.is_active:
                await self._wake.wait()
                self._wake.clear()
            if not await self._probe():
                await asyncio.sleep(PROBE_INTERVAL_MS / 1000)
            while self._pending and not self._outage.is_active:
                batch = self._next_batch()
                self._complete(batch, await self._append(batch))

    def _complete(
        self,
        batch: typing.Iterable[_PendingRecord],
        failure: errors.SchedulerError | None,
    ) -> None:
        for pending in batch:
            if pending.stored.done():
                continue
            if failure is None:
                pending.stored.set_result(None)
            else:
                pending.stored.set_exception(failure)

    def _next_batch(self) -> list[_PendingRecord]:
        size = 0
        count = 0
        for pending in self._pending:
            size += len(pending.item.value)
            if count and size > MAX_APPEND_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        del self._pending[:count]
        # Callers that disconnected before the append need no record.
        return [p for p in batch if not p.stored.cancelled()]

    async def _probe(self) -> bool:
        """Return whether the store answers.

        Probe it unless it has answered within ``MAX_ANSWER_AGE_MS``.
        """
        if self._outage.is_healthy(self._clock.now(), MAX_ANSWER_AGE_MS):
            return True
        try:
            # Twice the timeout: a peer relays the read if the store rejects
            # this node.
            async with asyncio.timeout(2 * PROBE_TIMEOUT_MS / 1000):
                answer = await self._store.read(
                    TOPIC, self._part, self._end_offset, 0, PROBE_TIMEOUT_MS
                )
                self._end_offset = answer.end_offset
        except (ports.StoreError, TimeoutError) as error:
            self._metrics.count('intake_probes_failed_total')
            self._outage.record_failure(self._clock.now())
            self._failure = repr(error)
            return False
        except ports.TrimmedError as error:
            # The store has answered.
            self._end_offset = error.first_offset
        self._outage.record_answer(self._clock.now())
        return True

    def _wait_reason(self) -> str:
        if self._outage.is_active:
            return f'the store does not answer: {self._failure}'
        return 'an earlier append waits for the store'

    async def _append(
        self, batch: typing.Sequence[_PendingRecord]
    ) -> errors.SchedulerError | None:
        items = [pending.item for pending in batch]
        if not items:
            return None
        for pending in batch:
            pending.is_sent = True
        is_unknown = False
        for _ in range(MAX_TRIES):
            try:
                stored = await self._store.append(TOPIC, self._part, items)
            except ports.StoreError as error:
                self._metrics.count('intake_errors_total')
                self._outage.record_failure(self._clock.now())
                is_unknown = is_unknown or error.is_unknown
                self._failure = str(error)
                continue
            self._end_offset = stored.end_offset
            self._outage.record_answer(self._clock.now())
            self._tasks.spawn(self._deliver(items))
            return None
        if is_unknown:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
            return errors.SchedulerError(kind, self._failure)
        return self._refusal(self._failure)

    def _refusal(
        self, detail: str, time_left_ms: float = math.inf
    ) -> errors.SchedulerError:
        """Return the error for a record that is not stored."""
        return errors.SchedulerError(
            errors.ErrorKind.LOG_UNAVAILABLE,
            detail,
            self._outage.retry_after_s(self._clock.now(), time_left_ms),
        )


def send_timeout_ms(submission: spec_mod.Submission) -> float:
    """Return how long a job may wait for an unavailable store, in ms."""
    objective_ms = spec_mod.objective_ms(
        submission.queue, submission.spec.steps
    )
    return min(MAX_SEND_TIMEOUT_MS, SEND_TIMEOUT_SHARE * objective_ms)


async def store_job(
    submission: spec_mod.Submission,
    submit: typing.Callable[
        [spec_mod.Submission], typing.Awaitable[ports.StoreOutcome]
    ],
    intake: Intake,
    time_left_ms: typing.Callable[[], float],
) -> ports.StoreOutcome:
    """Store a job through the leader or, failing that, without it.

    Return the leader's outcome. ``time_left_ms`` returns how long the caller
    still waits: a job that was not sent by then is refused while the caller
    can still read that it will not run. Raises ``SchedulerError``, of the
    kind ``OUTCOME_UNKNOWN`` if one of the two ways may have stored the job.
    """
    if time_left_ms() <= 0:
        raise errors.SchedulerError(
            errors.ErrorKind.WAIT_EXCEEDED,
            f'no time is left to store job {submission.job_id}',
        )
    outcome = await submit(submission)
    if outcome is ports.StoreOutcome.YES:
        return outcome
    item = ports.KeyValue(submission.job_id, records.encode(submission))
    try:
        await intake.store(item, send_timeout_ms(submission), time_left_ms())
    except errors.SchedulerError as error:
        if outcome is ports.StoreOutcome.NO:
            raise
        raise errors.SchedulerError(
            errors.ErrorKind.OUTCOME_UNKNOWN, error.detail
        ) from None
    return outcome

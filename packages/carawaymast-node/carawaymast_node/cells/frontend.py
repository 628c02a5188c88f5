"""The HTTP interface for callers of a cell, over circuits.web."""

import asyncio
import typing

import circuits
from circuits.web import events as web_events

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import view as view_mod
from carawaymast_node import background
from carawaymast_node import connection_limiter as connection_limiter_mod
from carawaymast_node.cells import configuration as configuration_mod
from carawaymast_node.cells import intake as intake_mod
from carawaymast_node.cells import leader_calls as leader_calls_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['Frontend', 'FrontendParts']

# For requests without a deadline header.
DEFAULT_DEADLINE_MS = 3_000
MAX_DEADLINE_DIGITS = 9  # 11 days
# Part of the deadline that is reserved for sending the answer: 150 ms, which
# also covers a slow node, but at most a fifth of a short deadline.
ANSWER_MARGIN_MS = 150
ANSWER_MARGIN_DIVISOR = 5
# A job that no store call has carried is refused this long before the wait
# for an answer ends, since at its end the outcome counts as unknown.
REFUSAL_MARGIN_MS = 20
# Bounds the wait for the leader's phase of a known job that a caller polls,
# also while the leader changes.
LEADER_PHASE_TIMEOUT_MS = 80
# Bounds the fresh read of the store at the lookup of an unknown job.
FRESH_READ_TIMEOUT_MS = 900
# For refusals (429, 503) without a time of their own, such as while the store
# is unavailable: outages usually last some seconds, and callers spread their
# retries by themselves.
RETRY_AFTER_S = 1


class FrontendParts(typing.NamedTuple):
    """The parts of a node that the frontend uses."""

    clock: clock_mod.Clock
    log: telemetry.Telemetry
    metrics: telemetry.Metrics
    ingress: ports.Ingress
    replies: ports.Replies
    configuration: configuration_mod.Configuration
    view: view_mod.JobView
    intake: intake_mod.Intake
    # Waits until the view has all records that were stored by a given time, in
    # ms of the monotonic clock.
    wait_current: typing.Callable[[int], typing.Awaitable[None]]
    leader_calls: leader_calls_mod.LeaderCalls


class Frontend(circuits.BaseComponent):
    """Answers callers; a coroutine handles each request."""

    channel = 'web'

    def __init__(
        self,
        connection_limiter: connection_limiter_mod.ConnectionLimiter,
        parts: FrontendParts,
    ):
        super().__init__()
        self._connection_limiter = connection_limiter
        self._parts = parts
        self._tasks = background.TaskSet()
        self.is_draining = False
        self.in_flight = 0

    @circuits.handler('request', priority=1)
    def _on_request(self, event, request, response) -> None:
        event.stop()
        event.success = False
        self.in_flight += 1
        self._tasks.spawn(self._answer(request, response))

    async def _answer(self, request, response) -> None:
        started_ms = self._parts.clock.now()
        method = request.method
        deadline_ms = _deadline_ms(request, self._parts.ingress)
        wait_ms = _wait_ms(deadline_ms)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                answer = await self._dispatch(
                    method, request, started_ms + wait_ms
                )
        except errors.SchedulerError as error:
            answer = _error_answer(error)
            self._parts.metrics.count(
                f'requests_refused_total{{reason="{error.kind.value}"}}'
            )
            self._parts.log.log_event(
                'request_refused',
                method=method,
                path=request.path,
                status=answer.status,
                kind=error.kind.value,
                detail=error.detail,
                retry_after_s=answer.retry_after_s,
                **self._parts.configuration.log_fields(),
            )
        except TimeoutError:
            unknown = errors.SchedulerError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'no answer from the store within {deadline_ms} ms',
            )
            answer = _error_answer(unknown)
            self._parts.log.log_event(
                'request_timed_out',
                method=method,
                path=request.path,
                deadline_ms=deadline_ms,
            )
        except errors.InvariantError:
            raise
        except Exception as error:
            # A fault in one request must not stop the process for the others.
            answer = _error_answer(
                errors.SchedulerError(
                    errors.ErrorKind.OUTCOME_UNKNOWN, repr(error)
                )
            )
            self._parts.metrics.count('requests_broken_total')
            self._parts.log.log_event(
                'request_broken',
                method=method,
                path=request.path,
                error=repr(error),
            )
        finally:
            self.in_flight -= 1
        elapsed_ms = self._parts.clock.now() - started_ms
        self._parts.metrics.record_ms(f'request_{method.lower()}', elapsed_ms)
        self._parts.metrics.count(
            f'requests_total{{method="{method}",status="{answer.status}"}}'
        )
        self._send(response, answer)

    async def _dispatch(
        self, method: str, request, until_ms: float
    ) -> ports.CallerAnswer:
        """Return the answer to a request that is abandoned at ``until_ms``."""
        host = request.headers.get('Host', '')
        configuration = self._parts.configuration
        age_ms = configuration.age_ms()
        if age_ms is not None:
            self._parts.metrics.record_ms('configuration_age', age_ms)
        queue, job_id = await configuration.find(host, request.path)
        if method == 'POST' and job_id:
            return await self._submit(queue, job_id, request, until_ms)
        if method == 'GET' and job_id:
            return await self._show(job_id)
        if method == 'DELETE' and job_id:
            return await self._cancel(job_id)
        if method == 'GET':
            pending_count = self._parts.view.pending(queue.policy.name)
            return self._parts.replies.queue(pending_count)
        raise errors.SchedulerError(
            errors.ErrorKind.NOT_FOUND, f'no route for {method} {request.path}'
        )

    async def _submit(
        self, queue: ports.Queue, job_id: str, request, until_ms: float
    ) -> ports.CallerAnswer:
        parts = self._parts
        if parts.view.has_job(job_id):
            parts.log.log_event('job_joined', job=job_id)
            return parts.replies.accepted
        spec = parts.ingress.decode_job(request.body.getvalue())
        submission = spec_mod.Submission(
            job_id, queue.policy, spec, parts.clock.wall()
        )
        outcome = await intake_mod.store_job(
            submission,
            parts.leader_calls.submit,
            parts.intake,
            lambda: until_ms - REFUSAL_MARGIN_MS - parts.clock.now(),
        )
        parts.metrics.count('jobs_accepted_total')
        parts.log.log_event(
            'job_accepted',
            job=job_id,
            queue=queue.policy.name,
            tasks=sum(step.count for step in spec.steps),
            by_leader=outcome.value,
            **parts.configuration.log_fields(),
        )
        return parts.replies.accepted

    async def _show(self, job_id: str) -> ports.CallerAnswer:
        phase = await self._phase(job_id)
        if phase is None:
            self._parts.log.log_event('job_unknown', job=job_id, asked='show')
        return self._parts.replies.job(phase)

    async def _cancel(self, job_id: str) -> ports.CallerAnswer:
        phase = await self._phase(job_id)
        if phase is not None and phase.is_final:
            return self._parts.replies.cancelled(phase)
        # Also for an unknown job: its submission may still be in transit.
        item = ports.KeyValue(
            job_id + records.CANCEL_SUFFIX,
            records.encode_cancel(self._parts.clock.wall()),
        )
        await self._parts.intake.store(item)
        self._parts.log.log_event(
            'job_cancelled', job=job_id, known=bool(phase)
        )
        return self._parts.replies.cancelled(phase)

    async def _phase(self, job_id: str) -> records.JobPhase | None:
        """Return a job's phase; None only if the store does not have it.

        Raises ``SchedulerError`` if the job is unknown and the store does not
        answer.
        """
        phase = self._parts.view.phase(job_id)
        if phase is not None and phase.is_final:
            return phase
        phase = await self._ask_leader(job_id, phase) or phase
        if phase is not None:
            return phase
        now_ms = self._parts.clock.now()
        try:
            async with asyncio.timeout(FRESH_READ_TIMEOUT_MS / 1000):
                await self._parts.wait_current(now_ms)
        except TimeoutError:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY,
                f'job {job_id} is unknown and the store does not answer',
            ) from None
        return self._parts.view.phase(job_id)

    async def _ask_leader(
        self, job_id: str, known: records.JobPhase | None
    ) -> records.JobPhase | None:
        """Return the leader's phase of a job, None if it gave none.

        If a phase is ``known`` already, wait only ``LEADER_PHASE_TIMEOUT_MS``.
        """
        if known is None:
            return await self._parts.leader_calls.phase(job_id)
        try:
            async with asyncio.timeout(LEADER_PHASE_TIMEOUT_MS / 1000):
                return await self._parts.leader_calls.phase(job_id)
        except TimeoutError:
            return None

    def _send(self, response, answer: ports.CallerAnswer) -> None:
        if not self._connection_limiter.is_open(response.request.sock):
            return
        if answer.retry_after_s:
            response.headers['Retry-After'] = str(answer.retry_after_s)
        connection_limiter_mod.json_response(
            response, answer.status, answer.body
        )
        if self.is_draining:
            response.close = True
        self.fire(web_events.response(response))


def _deadline_ms(request, ingress: ports.Ingress) -> int:
    text = request.headers.get(ingress.deadline_header, '')
    is_number = text.isascii() and text.isdigit()
    is_number = is_number and len(text) <= MAX_DEADLINE_DIGITS
    return int(text) if is_number else DEFAULT_DEADLINE_MS


def _wait_ms(deadline_ms: int) -> int:
    """Return how long the answer to a request may take, in ms."""
    margin_ms = min(ANSWER_MARGIN_MS, deadline_ms // ANSWER_MARGIN_DIVISOR)
    return deadline_ms - margin_ms


def _error_answer(error: errors.SchedulerError) -> ports.CallerAnswer:
    status = error.answer.status
    retry_after_s = error.retry_after_s
    if status in (429, 503) and not retry_after_s:
        retry_after_s = RETRY_AFTER_S
    body = errors.error_body(error, '')
    return ports.CallerAnswer(status, body, retry_after_s)

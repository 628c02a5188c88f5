"""Requests with an idempotency key: at most one run, one kept outcome.

The key is claimed in the log before the request may be dispatched. While the
log is down the request waits up to its deadline and is then refused, "not
run". The outcome is kept with the key, so that the same request sent again,
to any node, gets the first one's answer.
"""

import asyncio
import functools
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import keys
from carawaymast_node import background
from carawaymast_node import entry as entry_mod
from carawaymast_node import log_service
from carawaymast_node import messages

__all__ = ['KeyedRequests']

COMMIT_TIMEOUT_MS = 5_000
OUTCOME_POLL_INTERVAL_MS = 50
RELEASE_ATTEMPTS = 60
RELEASE_INTERVAL_MS = 1_000


class KeyedRequests:
    """Claims keys, runs their requests and keeps the outcomes."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        log: log_service.LogService,
        entry: entry_mod.EntryService,
    ):
        self._clock = clock
        self._log = log
        self._entry = entry
        self._background = background.TaskSet()

    async def submit(
        self,
        key: str,
        raw: bytes,
        request_id: str,
        body: messages.RequestBody,
        reply: entry_mod.Reply,
    ) -> None:
        """Run a request unless its key is known; ``reply`` is called once.

        ``raw`` is the body as it was sent, by which requests that share a
        key are told apart. Raises ``SchedulerError`` before anything has
        been dispatched.
        """
        name = keys.entity(body['team'], key)
        digest = keys.digest(raw)
        stored = await self._outcome(name, digest, body['deadline_ms'])
        if stored is not None:
            reply(*stored)
            return
        writes = keys.claim(
            self._log.replica, name, digest, request_id, self._clock.wall()
        )
        request = self._entry.admit(
            request_id,
            body,
            functools.partial(self._reply, name, request_id, reply),
        )
        error = await self._claim(name, request_id, writes, body)
        if error is None:
            self._entry.enqueue(request)
            return
        if error.kind is errors.ErrorKind.KEY_IN_PROGRESS:
            # The same request came first at another node: wait for it.
            stored = await self._outcome(name, digest, body['deadline_ms'])
            if stored is not None:
                self._entry.answer_stored(request, *stored)
                return
        self._entry.refuse(request, error)

    async def _outcome(self, name, digest, timeout_ms: int):
        """Return the kept outcome, waiting while the request goes on."""
        replica = self._log.replica
        give_up_at_ms = self._clock.now() + timeout_ms
        while keys.is_in_progress(replica, name, digest):
            if self._clock.now() >= give_up_at_ms:
                break
            await asyncio.sleep(OUTCOME_POLL_INTERVAL_MS / 1000)
        return keys.outcome(replica, name, digest)

    async def _claim(
        self, name, request_id, writes, body
    ) -> errors.SchedulerError | None:
        """Return why a key could not be claimed, None if it was."""
        try:
            if await self._log.commit(writes, body['deadline_ms']):
                return None
        except log_service.CommitError as error:
            return errors.SchedulerError(
                errors.ErrorKind.LOG_UNAVAILABLE, str(error)
            )
        return errors.SchedulerError(
            errors.ErrorKind.KEY_IN_PROGRESS,
            f'another request with key {name!r} came first',
        )

    def _reply(self, name, request_id, reply, status, body) -> None:
        reply(status, body)
        ran = body.get('ran', 'yes')
        if ran == 'no':
            # The claim may have applied, or may still apply.
            self._background.spawn(self._release(name, request_id))
        elif ran == 'yes':
            storing = self._store_outcome(
                name, request_id, status, _stored_body(body)
            )
            self._background.spawn(storing)

    async def _store_outcome(self, name, request_id, status, body) -> None:
        writes = keys.complete(
            self._log.replica,
            name,
            request_id,
            status,
            body,
            self._clock.wall(),
        )
        await self._commit(writes)

    async def _release(self, name, request_id) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            writes = keys.release(
                self._log.replica, name, request_id, self._clock.wall()
            )
            if await self._commit(writes):
                return
            await asyncio.sleep(RELEASE_INTERVAL_MS / 1000)

    async def _commit(self, writes: jobs.Writes | None) -> bool:
        if writes is None:
            return False
        try:
            return await self._log.commit(writes, COMMIT_TIMEOUT_MS)
        except log_service.CommitError:
            return False


def _stored_body(body: typing.Any) -> typing.Any:
    """Return what is kept of an answer; large results are left out."""
    if len(messages.encode(body)) <= keys.MAX_STORED_RESULT_BYTES:
        return body
    return dict(body, result=None, detail='the result was too large to keep')

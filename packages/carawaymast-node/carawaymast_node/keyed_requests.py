"""Requests with an idempotency key: at most one run, one stored outcome.

The key is claimed in the log before the request may be dispatched. While the
log is unavailable the request waits until its deadline and is then refused;
it has not run. The outcome is stored with the key, so that the same request
sent again, to any node, gets the same answer.
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
    """Claims keys, runs their requests and stores the outcomes."""

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
        """Run a request once for its key and call ``reply`` once.

        ``raw`` is the body as it was sent; a request with the key of another
        request and a different body is refused. Raises ``SchedulerError``
        only before the request is dispatched.
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
            # Another node runs the same request: wait for its outcome.
            stored = await self._outcome(name, digest, body['deadline_ms'])
            if stored is not None:
                self._entry.answer_stored(request, *stored)
                return
        self._entry.refuse(request, error)

    async def _outcome(self, name, digest, timeout_ms: int):
        """Return the stored outcome, waiting while the request runs."""
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
        """Claim a key; return the error, or None on success."""
        try:
            if await self._log.commit(writes, body['deadline_ms']):
                return None
        except log_service.CommitError as error:
            return errors.SchedulerError(
                errors.ErrorKind.LOG_UNAVAILABLE, str(error)
            )
        return errors.SchedulerError(
            errors.ErrorKind.KEY_IN_PROGRESS,
            f'key {name!r} is claimed by another request',
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
    """Return the body to store, without a result that is too large."""
    if len(messages.encode(body)) <= keys.MAX_STORED_RESULT_BYTES:
        return body
    return dict(body, result=None, detail='the result was too large to store')

"""Run a request at an endpoint over HTTP.

An endpoint is the server for requests on a worker. An answer is matched to its
request by request id. When an answer is overdue, a lookup on a new connection
asks the endpoint for the outcome, because the first connection may have become
unresponsive.
"""

import asyncio
import enum
import typing

import aiohttp

from carawaymast_core import slot_cache
from carawaymast_node import messages

__all__ = [
    'Dispatch',
    'Endpoint',
    'EndpointClient',
    'RunOutcome',
    'run_outcome_of',
]

LOOKUP_TIMEOUT_MS = 1_000
LOOKUP_INTERVAL_MS = 500
CONNECT_TIMEOUT_MS = 2_000
# An endpoint accepts 64 connections; the rest are for lookups.
CONNECTIONS_PER_ENDPOINT = 56
KEEP_ALIVE_S = 15


class RunOutcome(typing.NamedTuple):
    """How an attempt to run a request ended.

    ``ran`` is ``yes``, ``no`` or ``unknown``; ``is_ok`` is true if the run
    succeeded, and ``result`` is then its result. ``detail`` describes a
    failure.
    """

    ran: str
    is_ok: bool
    result: typing.Any
    detail: str


class Endpoint(typing.NamedTuple):
    """The address of the endpoint on a worker."""

    worker_id: str
    host: str
    port: int

    def url(self, path: str) -> str:
        """Return the URL of ``path`` at the endpoint."""
        return f'http://{self.host}:{self.port}{path}'


class Dispatch(typing.NamedTuple):
    """One attempt of a request, as it is sent to an endpoint.

    Both times count from the sending: after ``overdue_ms`` without an answer
    the outcome is looked up on a new connection, and after ``timeout_ms`` it
    is unknown.
    """

    request_id: str
    payload: typing.Any
    is_idempotent: bool
    overdue_ms: int
    timeout_ms: int


class _Pool:
    """A pool of connections to one endpoint.

    A retired pool takes no new calls and is closed after its last call.
    """

    def __init__(self, limit: int):
        connector = aiohttp.TCPConnector(
            limit=limit, keepalive_timeout=KEEP_ALIVE_S
        )
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
        )
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=timeout
        )
        self.calls = 0
        self.is_retired = False

    async def close_if_unused(self) -> None:
        """Close the pool if it is retired and has no calls."""
        if self.is_retired and not self.calls:
            await self.session.close()


class EndpointClient:
    """Calls to endpoints, as an asynchronous context manager.

    Each endpoint has its own connection pool. When one connection becomes
    unresponsive the whole pool is replaced, since the cause usually affects
    its other connections too. ``node_count`` returns the number of nodes
    that share the connections of an endpoint.
    """

    def __init__(
        self, node_count: typing.Callable[[], int] = lambda: 1
    ) -> None:
        self._node_count = node_count
        self._pool_by_worker: dict[str, _Pool] = {}
        self.lookups_total = 0
        self.unresponsive_total = 0

    async def __aenter__(self) -> 'EndpointClient':
        return self

    async def __aexit__(self, *exc_info) -> None:
        for pool in self._pool_by_worker.values():
            await pool.session.close()

    def _pool(self, endpoint: Endpoint) -> _Pool:
        pool = self._pool_by_worker.get(endpoint.worker_id)
        if pool is None:
            share = CONNECTIONS_PER_ENDPOINT // max(1, self._node_count())
            pool = _Pool(max(1, share))
            self._pool_by_worker[endpoint.worker_id] = pool
        return pool

    def _retire(self, endpoint: Endpoint, pool: _Pool) -> None:
        """Retire a pool, so that later calls use new connections."""
        pool.is_retired = True
        if self._pool_by_worker.get(endpoint.worker_id) is pool:
            del self._pool_by_worker[endpoint.worker_id]

    async def run(
        self,
        endpoint: Endpoint,
        use: slot_cache.SlotUse,
        dispatch: Dispatch,
    ) -> RunOutcome:
        """Run a request in a slot and return its outcome."""
        request_id = dispatch.request_id
        body = messages.encode(
            {
                'request_id': request_id,
                'epoch': use.epoch,
                'slot': use.slot_id.number,
                'idempotent': dispatch.is_idempotent,
                'payload': dispatch.payload,
            }
        )
        pool = self._pool(endpoint)
        pool.calls += 1
        call = asyncio.ensure_future(_post_run(pool, endpoint, body))
        try:
            run_outcome = await self._await_answer(endpoint, call, dispatch)
            if not call.done():
                self.unresponsive_total += 1
                self._retire(endpoint, pool)
            return run_outcome
        finally:
            call.cancel()
            pool.calls -= 1
            await pool.close_if_unused()

    async def _await_answer(
        self, endpoint: Endpoint, call: asyncio.Future, dispatch: Dispatch
    ) -> RunOutcome:
        """Wait for the answer; look it up if it is overdue or lost."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + dispatch.timeout_ms / 1000
        await asyncio.wait({call}, timeout=dispatch.overdue_ms / 1000)
        while True:
            if call.done():
                run_outcome = _run_outcome_of_call(call, dispatch.request_id)
                if run_outcome.ran != 'unknown':
                    return run_outcome
            found = await self._look_up(endpoint, dispatch.request_id)
            if found.state == LookupState.FOUND and not _has_answer(call):
                return found.run_outcome
            if loop.time() >= deadline_s:
                return RunOutcome('unknown', False, None, 'no answer in time')
            is_unreachable = (
                found.state == LookupState.UNREACHABLE and call.done()
            )
            if is_unreachable and dispatch.is_idempotent:
                return RunOutcome(
                    'unknown', False, None, 'endpoint is unreachable'
                )
            await self._wait_before_lookup(call, deadline_s - loop.time())

    async def _wait_before_lookup(
        self, call: asyncio.Future, left_s: float
    ) -> None:
        """Wait until the next lookup is due or the answer arrives."""
        wait_s = max(0.0, min(LOOKUP_INTERVAL_MS / 1000, left_s))
        if call.done():
            await asyncio.sleep(wait_s)
        else:
            await asyncio.wait({call}, timeout=wait_s)

    async def _look_up(self, endpoint: Endpoint, request_id: str) -> '_Lookup':
        """Ask on a new connection for the outcome of a request.

        An endpoint that has not received the request refuses it from then
        on.
        """
        self.lookups_total += 1
        timeout = aiohttp.ClientTimeout(LOOKUP_TIMEOUT_MS / 1000)
        connector = aiohttp.TCPConnector(force_close=True)
        body = messages.encode({'request_id': request_id})
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                async with session.post(
                    endpoint.url('/v1/lookup'), data=body, timeout=timeout
                ) as response:
                    found = messages.decode_answer(
                        await response.read(), messages.RunAnswer
                    )
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            asyncio.TimeoutError,
        ):
            return _Lookup(LookupState.UNREACHABLE, None)
        if found.get('state') == 'running':
            return _Lookup(LookupState.RUNNING, None)
        return _Lookup(LookupState.FOUND, run_outcome_of(found, request_id))


class LookupState(enum.StrEnum):
    """The result of a lookup."""

    FOUND = 'found'
    RUNNING = 'running'
    UNREACHABLE = 'unreachable'


class _Lookup(typing.NamedTuple):
    """The result of a lookup, with the run's outcome if it was found."""

    state: LookupState
    run_outcome: RunOutcome | None


async def _post_run(pool: _Pool, endpoint: Endpoint, body: bytes) -> bytes:
    url = endpoint.url('/v1/run')
    async with pool.session.post(url, data=body) as response:
        return await response.read()


def _has_answer(call: asyncio.Future) -> bool:
    return call.done() and call.exception() is None


def _run_outcome_of_call(call: asyncio.Future, request_id: str) -> RunOutcome:
    """Return the outcome of a request from its finished call."""
    try:
        answer = messages.decode_answer(call.result(), messages.RunAnswer)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        return RunOutcome('no', False, None, f'not connected: {error}')
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return RunOutcome('unknown', False, None, repr(error))
    return run_outcome_of(answer, request_id)


def run_outcome_of(answer: messages.RunAnswer, request_id: str) -> RunOutcome:
    """Return the outcome of a request from an endpoint's answer."""
    if answer.get('request_id') != request_id:
        return RunOutcome(
            'unknown', False, None, 'the answer names another request'
        )
    ran = answer.get('ran', 'unknown')
    is_ok = ran == 'yes' and 'result' in answer
    return RunOutcome(
        ran, is_ok, answer.get('result'), answer.get('detail', '')
    )

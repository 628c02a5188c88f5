"""Running one request at an endpoint, over HTTP.

An answer is matched by request id. When an answer is overdue, a new
connection asks the endpoint what became of the request, because the old one
may be silent for good.
"""

import asyncio
import typing

import aiohttp

from carawaymast_core import slots
from carawaymast_node import messages

__all__ = ['Dispatch', 'Endpoint', 'EndpointClient', 'Verdict', 'verdict_of']

LOOKUP_TIMEOUT_MS = 1_000
CONNECTIONS_PER_ENDPOINT = 16


class Verdict(typing.NamedTuple):
    """How an attempt to run a request ended.

    ``ran`` is ``yes``, ``no`` or ``unknown``; ``is_ok`` tells whether the
    result is the answer of a successful run.
    """

    ran: str
    is_ok: bool
    result: typing.Any
    detail: str


class Endpoint(typing.NamedTuple):
    """Where the runner of a worker listens."""

    worker_id: str
    host: str
    port: int

    def url(self, path: str) -> str:
        """Return the URL of ``path`` at the endpoint."""
        return f'http://{self.host}:{self.port}{path}'


class Dispatch(typing.NamedTuple):
    """One try of a request, as it is sent to an endpoint.

    ``overdue_ms`` is when the endpoint is asked on a new connection;
    after ``timeout_ms`` the outcome is unknown.
    """

    request_id: str
    payload: typing.Any
    is_idempotent: bool
    overdue_ms: int
    timeout_ms: int


class EndpointClient:
    """Calls to runners, used as a context manager."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession
        self.lookups_total = 0
        self.silent_total = 0

    async def __aenter__(self) -> 'EndpointClient':
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=CONNECTIONS_PER_ENDPOINT
        )
        self._session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._session.close()

    async def run(
        self,
        endpoint: Endpoint,
        use: slots.SlotUse,
        dispatch: Dispatch,
    ) -> Verdict:
        """Run a request in a slot and return what became of it."""
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
        call = asyncio.ensure_future(self._post_run(endpoint, body))
        try:
            done, _ = await asyncio.wait(
                {call}, timeout=dispatch.overdue_ms / 1000
            )
            if done:
                return self._answer(call, request_id)
            left_ms = dispatch.timeout_ms - dispatch.overdue_ms
            return await self._watch(endpoint, request_id, call, left_ms)
        finally:
            call.cancel()

    async def _post_run(self, endpoint: Endpoint, body: bytes) -> bytes:
        async with self._session.post(
            endpoint.url('/v1/run'), data=body
        ) as response:
            return await response.read()

    def _answer(self, call: asyncio.Future, request_id: str) -> Verdict:
        try:
            body = call.result()
        except aiohttp.ClientConnectorError as error:
            return Verdict('no', False, None, f'not connected: {error}')
        except (aiohttp.ClientError, OSError) as error:
            return Verdict('unknown', False, None, repr(error))
        return _parse(body, request_id)

    async def _watch(
        self,
        endpoint: Endpoint,
        request_id: str,
        call: asyncio.Future,
        timeout_ms: int,
    ) -> Verdict:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout_ms / 1000
        while loop.time() < give_up_at:
            verdict = await self._look_up(endpoint, request_id)
            if call.done():
                return self._answer(call, request_id)
            if verdict is not None:
                self.silent_total += 1
                return verdict
            left = max(0.0, give_up_at - loop.time())
            await asyncio.wait({call}, timeout=min(0.5, left))
            if call.done():
                return self._answer(call, request_id)
        return Verdict('unknown', False, None, 'no answer in time')

    async def _look_up(
        self, endpoint: Endpoint, request_id: str
    ) -> Verdict | None:
        """Ask on a new connection; None while the request runs on."""
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
            return None
        if found.get('state') == 'running':
            return None
        return verdict_of(found, request_id)


def _parse(body: bytes, request_id: str) -> Verdict:
    try:
        answer = messages.decode_answer(body, messages.RunAnswer)
    except ValueError as error:
        return Verdict('unknown', False, None, f'bad answer: {error}')
    return verdict_of(answer, request_id)


def verdict_of(answer: messages.RunAnswer, request_id: str) -> Verdict:
    """Return what an endpoint's answer says of a request."""
    if answer.get('request_id') != request_id:
        return Verdict('unknown', False, None, 'answer to another request')
    ran = answer.get('ran', 'unknown')
    is_ok = ran == 'yes' and 'result' in answer
    return Verdict(ran, is_ok, answer.get('result'), answer.get('detail', ''))

"""HTTP client for the nodes, with failover to the next reachable one."""

import asyncio
import typing

import aiohttp
import msgspec

__all__ = ['CallError', 'Client']

TIMEOUT_S = 15


class CallError(Exception):
    """No node was reachable, or the answer was an error."""


class Client:
    """Client for the nodes at ``urls``, tried in this order."""

    def __init__(self, urls: typing.Sequence[str]):
        self._urls = list(urls)

    def get(self, path: str) -> typing.Any:
        """Return the answer of the first reachable node to a GET."""
        return self.call('GET', path)

    def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: typing.Mapping[str, str] | None = None,
    ) -> typing.Any:
        """Send a request to the first reachable node; return its answer.

        Only a failed connection leads to the next node: once a request was
        sent, a repetition could make a change twice. Raises ``CallError``.
        """
        return asyncio.run(self._call(method, path, body, headers))

    def get_from_all(self, path: str) -> dict[str, typing.Any]:
        """Return each node's answer by URL, None if there is none."""
        return asyncio.run(self._get_from_all(path))

    async def _call(self, method, path, body, headers) -> typing.Any:
        failures = []
        async with _new_session() as session:
            for url in self._urls:
                try:
                    return await _request(
                        session, method, url + path, body, headers
                    )
                except aiohttp.ClientConnectorError as error:
                    failures.append(str(error))
        raise CallError('; '.join(failures))

    async def _get_from_all(self, path: str) -> dict[str, typing.Any]:
        async with _new_session() as session:

            async def get(url: str) -> typing.Any:
                try:
                    return await _request(
                        session, 'GET', url + path, None, None
                    )
                except (aiohttp.ClientError, CallError, TimeoutError):
                    return None

            bodies = await asyncio.gather(*(get(url) for url in self._urls))
        return dict(zip(self._urls, bodies, strict=True))


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(TIMEOUT_S))


async def _request(session, method, url, body, headers) -> typing.Any:
    data = None if body is None else msgspec.json.encode(body)
    async with session.request(
        method, url, data=data, headers=headers
    ) as response:
        answer = msgspec.json.decode(await response.read())
        if response.status >= 400:
            raise CallError(f'{answer["error"]}: {answer["detail"]}')
        return answer

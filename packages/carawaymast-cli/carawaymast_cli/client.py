"""Calls to the nodes, one after the other until one answers."""

import asyncio
import typing

import aiohttp
import msgspec

__all__ = ['CallError', 'Client']

TIMEOUT_S = 15


class CallError(Exception):
    """No node answered, or the answer was an error."""


class Client:
    """Calls nodes by their URLs."""

    def __init__(self, urls: typing.Sequence[str]):
        self._urls = list(urls)

    def get(self, path: str) -> typing.Any:
        """Return the body that the first reachable node answers."""
        return self.call('GET', path)

    def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: typing.Mapping[str, str] | None = None,
    ) -> typing.Any:
        """Call the first reachable node; raises ``CallError``.

        A node that was reached is the only one asked, since a change must
        not be made twice.
        """
        return asyncio.run(self._call(method, path, body, headers))

    def get_from_all(self, path: str) -> dict[str, typing.Any]:
        """Return each node's body by URL; None for one out of reach."""
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

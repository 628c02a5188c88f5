"""A stand-in for the platform's log: offsets, retention, long polls, faults.

Faults are set over HTTP: ``POST /v1/fault`` takes any of ``down`` (refuse
everything), ``hang`` (answer nothing), ``lose_answers`` (append, then fail
that many answers) and ``delay_ms``.
"""

import asyncio
import sys
import time

from aiohttp import web

from standins import serving

__all__ = ['Log']


class Log:
    """Records in memory, from the oldest kept offset on."""

    def __init__(self, retention_ms: int):
        self._retention_ms = retention_ms
        self._kept: list[tuple[float, dict]] = []
        self._first = 0
        self._grown = asyncio.Event()
        self._fault = {
            'down': False,
            'hang': False,
            'lose_answers': 0,
            'delay_ms': 0,
        }
        self._appends = 0
        self._bytes = 0

    async def append(self, request: web.Request) -> web.Response:
        """Append records in the order given."""
        refused = await self._apply_fault()
        if refused is not None:
            return refused
        raw = await request.read()
        self._bytes += len(raw)
        self._appends += 1
        body = await serving.body_of(request)
        first_offset = self._next()
        now = time.monotonic()
        self._kept.extend((now, record) for record in body['records'])
        self._grown.set()
        self._grown = asyncio.Event()
        if self._fault['lose_answers'] > 0:
            self._fault['lose_answers'] -= 1
            return serving.answer({'error': 'lost'}, 500)
        return serving.answer({'first_offset': first_offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset, waiting if there are none."""
        refused = await self._apply_fault()
        if refused is not None:
            return refused
        self._trim()
        offset = int(request.query['from'])
        wait_s = int(request.query['wait_ms']) / 1000
        limit = int(request.query['max'])
        if offset >= self._next() and wait_s > 0:
            grown = self._grown
            try:
                await asyncio.wait_for(grown.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if offset < self._first:
            return serving.answer({'first': self._first, 'records': []}, 410)
        start = offset - self._first
        rows = [record for _, record in self._kept[start : start + limit]]
        return serving.answer({'first': self._first, 'records': rows})

    async def set_fault(self, request: web.Request) -> web.Response:
        """Change the faults."""
        self._fault.update(await serving.body_of(request))
        return serving.answer(self._fault)

    async def trim(self, request: web.Request) -> web.Response:
        """Trim all but the given number of newest records."""
        keep = (await serving.body_of(request))['keep']
        gone = max(0, len(self._kept) - keep)
        self._first += gone
        del self._kept[:gone]
        return serving.answer({'first': self._first})

    async def stats(self, request: web.Request) -> web.Response:
        """Return how much was appended."""
        return serving.answer(
            {
                'appends': self._appends,
                'bytes': self._bytes,
                'first': self._first,
                'next': self._next(),
            }
        )

    def routes(self):
        """Return the routes of the log."""
        return [
            web.post('/v1/records', self.append),
            web.get('/v1/records', self.read),
            web.post('/v1/fault', self.set_fault),
            web.post('/v1/trim', self.trim),
            web.get('/v1/stats', self.stats),
        ]

    def _next(self) -> int:
        return self._first + len(self._kept)

    def _trim(self) -> None:
        oldest = time.monotonic() - self._retention_ms / 1000
        gone = 0
        while gone < len(self._kept) and self._kept[gone][0] < oldest:
            gone += 1
        self._first += gone
        del self._kept[:gone]

    async def _apply_fault(self) -> web.Response | None:
        if self._fault['hang']:
            await asyncio.sleep(3600)
        if self._fault['delay_ms']:
            await asyncio.sleep(self._fault['delay_ms'] / 1000)
        if self._fault['down']:
            return serving.answer({'error': 'down'}, 503)
        return None


async def main(port: int, retention_ms: int) -> None:
    """Serve the log on a port."""
    await serving.serve(Log(retention_ms).routes(), '127.0.0.1', port)


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))

"""A stand-in for the platform's log: offsets, retention, long polls, faults.

Faults are set over HTTP: ``POST /v1/fault`` takes any of ``down`` (refuse
all calls), ``hang`` (answer no call), ``lose_answers`` (carry out that many
appends but answer them with an error) and ``delay_ms`` (delay all calls)::

    python -m standins.log PORT RETENTION_MS
"""

import asyncio
import sys
import time
import typing

import msgspec

from carawaymast_node import waiting
from standins import serving

__all__ = ['Log']


class Log:
    """Records in memory, from the oldest that is retained."""

    def __init__(
        self,
        retention_ms: int,
        now_s: typing.Callable[[], float] = time.monotonic,
    ):
        self._now_s = now_s
        self._retention_ms = retention_ms
        self._records: list[tuple[float, dict]] = []
        self._first_offset = 0
        self._appended = asyncio.Event()
        self._fault = {
            'down': False,
            'hang': False,
            'lose_answers': 0,
            'delay_ms': 0,
        }
        self._append_count = 0
        self._appended_bytes = 0

    async def append(self, body: dict) -> serving.Answer:
        """Append records in the order given."""
        refused = await self._apply_fault()
        if refused is not None:
            return refused
        self._appended_bytes += len(msgspec.json.encode(body))
        self._append_count += 1
        first_offset = self._next_offset()
        now = self._now_s()
        self._records.extend((now, record) for record in body['records'])
        self._appended.set()
        self._appended = asyncio.Event()
        if self._fault['lose_answers'] > 0:
            self._fault['lose_answers'] -= 1
            return 500, {'error': 'lost'}
        return 200, {'first_offset': first_offset}

    async def read(self, query: dict) -> serving.Answer:
        """Return records from an offset, waiting if there are none.

        The status is 410 if the offset is no longer retained.
        """
        refused = await self._apply_fault()
        if refused is not None:
            return refused
        self._drop_expired()
        offset = int(query['from'])
        wait_s = int(query['wait_ms']) / 1000
        limit = int(query['max'])
        if offset >= self._next_offset() and wait_s > 0:
            await waiting.wait_event(self._appended, 1_000 * wait_s)
        if offset < self._first_offset:
            return 410, {'first': self._first_offset, 'records': []}
        start = offset - self._first_offset
        rows = [record for _, record in self._records[start : start + limit]]
        return 200, {'first': self._first_offset, 'records': rows}

    def set_fault(self, body: dict) -> dict:
        """Set the given faults; return all faults."""
        self._fault.update(body)
        return self._fault

    def trim(self, body: dict) -> dict:
        """Drop all but the newest ``keep`` records."""
        keep = body['keep']
        dropped_count = max(0, len(self._records) - keep)
        self._first_offset += dropped_count
        del self._records[:dropped_count]
        return {'first': self._first_offset}

    def stats(self, body: dict) -> dict:
        """Return the appends and bytes so far, and the offsets."""
        return {
            'appends': self._append_count,
            'bytes': self._appended_bytes,
            'first': self._first_offset,
            'next': self._next_offset(),
        }

    def handlers(self):
        """Return the log's handlers by method and path."""
        return {
            ('POST', '/v1/records'): self.append,
            ('GET', '/v1/records'): self.read,
            ('POST', '/v1/fault'): self.set_fault,
            ('POST', '/v1/trim'): self.trim,
            ('GET', '/v1/stats'): self.stats,
        }

    def _next_offset(self) -> int:
        return self._first_offset + len(self._records)

    def _drop_expired(self) -> None:
        oldest = self._now_s() - self._retention_ms / 1000
        dropped_count = 0
        while (
            dropped_count < len(self._records)
            and self._records[dropped_count][0] < oldest
        ):
            dropped_count += 1
        self._first_offset += dropped_count
        del self._records[:dropped_count]

    async def _apply_fault(self) -> serving.Answer | None:
        if self._fault['hang']:
            await asyncio.sleep(3600)
        if self._fault['delay_ms']:
            await asyncio.sleep(self._fault['delay_ms'] / 1000)
        if self._fault['down']:
            return 503, {'error': 'down'}
        return None


async def main(port: int, retention_ms: int) -> None:
    """Serve the log on a port."""
    await serving.serve(Log(retention_ms).handlers(), '127.0.0.1', port)


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))

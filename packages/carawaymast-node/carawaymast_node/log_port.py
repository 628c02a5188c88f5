"""HTTP client of the platform's log: append records, read from an offset."""

import asyncio

import aiohttp

from carawaymast_core import records
from carawaymast_node import messages

__all__ = ['LogDownError', 'LogPort', 'LogTrimmedError']

APPEND_TIMEOUT_MS = 3_000
READ_WAIT_MS = 5_000
# The time for a read beyond the wait for new records.
READ_MARGIN_MS = 2_000
READ_MAX_RECORDS = 2_000
STATUS_GONE = 410


class LogDownError(Exception):
    """A call to the log failed.

    If ``is_sent`` is false, the call has had no effect.
    """

    def __init__(self, detail: str, is_sent: bool):
        super().__init__(detail)
        self.is_sent = is_sent


class LogTrimmedError(Exception):
    """The log no longer has the requested records.

    ``first`` is the oldest offset that it has.
    """

    def __init__(self, first: int):
        super().__init__(f'the log begins at offset {first}')
        self.first = first


class LogPort:
    """Calls to the service of the log."""

    def __init__(self, session: aiohttp.ClientSession, url: str):
        self._session = session
        self._url = f'{url}/v1/records'

    async def append(self, batch: list[records.LogRecord]) -> None:
        """Append records in one call.

        Raises ``LogDownError``.
        """
        body = messages.encode({'records': batch})
        timeout = aiohttp.ClientTimeout(APPEND_TIMEOUT_MS / 1000)
        try:
            async with self._session.post(
                self._url, data=body, timeout=timeout
            ) as response:
                await response.read()
                if response.status != 200:
                    raise LogDownError(f'status {response.status}', True)
        except aiohttp.ClientConnectorError as error:
            raise LogDownError(str(error), False) from None
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            raise LogDownError(repr(error), True) from None

    async def read(
        self, offset: int, wait_ms: int = READ_WAIT_MS
    ) -> messages.LogBatch:
        """Return the records from ``offset`` on.

        If there are none, wait for up to ``wait_ms``.

        Raises ``LogDownError`` or ``LogTrimmedError``.
        """
        query = {
            'from': str(offset),
            'wait_ms': str(wait_ms),
            'max': str(READ_MAX_RECORDS),
        }
        total_ms = wait_ms + READ_MARGIN_MS
        try:
            async with self._session.get(
                self._url,
                params=query,
                timeout=aiohttp.ClientTimeout(total_ms / 1000),
            ) as response:
                body = await response.read()
                status = response.status
            if status == STATUS_GONE:
                batch = messages.decode_answer(body, messages.LogBatch)
                raise LogTrimmedError(batch['first'])
            if status != 200:
                raise LogDownError(f'status {status}', False)
            return messages.decode_answer(body, messages.LogBatch)
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            asyncio.TimeoutError,
        ) as error:
            raise LogDownError(repr(error), False) from None

"""Remove expired entities from the state that the log carries."""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import expiry
from carawaymast_node import log_service

__all__ = ['ExpiryCleaner']

CLEANING_INTERVAL_MS = 60_000
COMMIT_TIMEOUT_MS = 10_000


class ExpiryCleaner:
    """Deletes expired entities and merges old tallies.

    ``is_preferred`` selects the node that does so, without exclusion: two
    nodes at a time do no harm, since each write names the versions that it
    expects.
    """

    def __init__(
        self,
        clock: clock_mod.Clock,
        log: log_service.LogService,
        is_preferred: typing.Callable[[], bool],
    ):
        self._clock = clock
        self._log = log
        self._is_preferred = is_preferred
        self.deleted_total = 0

    async def keep_cleaning(self) -> typing.NoReturn:
        """Clean the state at an interval for as long as the node runs."""
        while True:
            await asyncio.sleep(CLEANING_INTERVAL_MS / 1000)
            if self._is_preferred() and self._log.is_caught_up:
                await self.clean()

    async def clean(self) -> None:
        """Delete and merge once."""
        state = self._log.replica.copy()
        now_ms = self._clock.wall()
        today = expiry.day_of(now_ms)
        for writes in (
            *expiry.deletion_writes(state, now_ms),
            *expiry.account_merge_writes(state, today),
        ):
            try:
                if await self._log.commit(writes, COMMIT_TIMEOUT_MS):
                    self.deleted_total += len(writes.puts)
            except log_service.CommitError:
                return

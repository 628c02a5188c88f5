"""Writing a node's tallies to the log, so that they outlive the node.

The tallies of one node process stand in one entity per day and are put again
at intervals while they change.
"""

import asyncio
import copy
import datetime
import typing

from carawaymast_core import account as account_mod
from carawaymast_core import jobs

from carawaymast_node import log_service

__all__ = ['ACCOUNT_PREFIX', 'AccountWriter']

ACCOUNT_PREFIX = 'account/'
WRITE_INTERVAL_MS = 5_000
COMMIT_TIMEOUT_MS = 4_000
LAST_TRIES = 3


class AccountWriter:
    """Puts the tallies of this node process into the log."""

    def __init__(
        self,
        holder: str,
        log: log_service.LogService,
        account: account_mod.Account,
    ):
        self._holder = holder
        self._log = log
        self._account = account
        self._written: typing.Any = {}

    async def keep_writing(self) -> typing.NoReturn:
        """Write the tallies while they change."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_MS / 1000)
            await self.write()

    async def write_last(self) -> None:
        """Write the final tallies of a node that stops."""
        for _ in range(LAST_TRIES):
            if await self.write():
                return

    async def write(self) -> bool:
        """Write the tallies once; tell whether the log has them."""
        tallies = copy.deepcopy(self._account.tally_by_kind)
        if tallies == self._written:
            return True
        self._account.check_accounts()
        entity = f'{ACCOUNT_PREFIX}{_today()}/{self._holder}'
        version = self._log.replica.get(entity).version
        writes = jobs.Writes({entity: version}, {entity: tallies})
        try:
            applied = await self._log.commit(writes, COMMIT_TIMEOUT_MS)
        except log_service.CommitError:
            return False
        if applied:
            self._written = tallies
        return applied


def _today() -> str:
    return datetime.datetime.now(datetime.UTC).strftime('%Y-%m-%d')

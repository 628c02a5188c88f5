"""Write the request tallies of a node to the log.

Each node process has one entity per day and rewrites it at an interval while
its tallies change, so that they outlive the process.
"""

import asyncio
import copy
import typing

from carawaymast_core import account as account_mod
from carawaymast_core import clock as clock_mod
from carawaymast_core import expiry
from carawaymast_core import jobs
from carawaymast_core import records
from carawaymast_node import log_service

__all__ = ['AccountWriter', 'merged']

WRITE_INTERVAL_MS = 2_000
COMMIT_TIMEOUT_MS = 4_000
FINAL_WRITE_ATTEMPTS = 3


class AccountWriter:
    """Writes the tallies of this node process to the log."""

    def __init__(
        self,
        holder: str,
        clock: clock_mod.Clock,
        log: log_service.LogService,
        account: account_mod.Account,
    ):
        self._holder = holder
        self._clock = clock
        self._log = log
        self._account = account
        self._written: typing.Any = {}
        self._day = self._today()
        self._day_start_tallies: dict[str, account_mod.Tally] = {}

    async def keep_writing(self) -> typing.NoReturn:
        """Write the tallies at an interval while they change."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_MS / 1000)
            await self.write()

    async def write_final(self) -> None:
        """Write the final tallies of a node that shuts down."""
        for _ in range(FINAL_WRITE_ATTEMPTS):
            if await self.write():
                return

    async def write(self) -> bool:
        """Write the tallies once; return whether they are in the log."""
        self._account.check_invariants()
        current = copy.deepcopy(self._account.tally_by_kind)
        if not await self._put(
            account_mod.delta(current, self._day_start_tallies)
        ):
            return False
        if self._day != self._today():
            self._day = self._today()
            self._day_start_tallies = current
            self._written = {}
        return True

    def _today(self) -> str:
        return expiry.day_of(self._clock.wall())

    async def _put(self, tallies: dict[str, account_mod.Tally]) -> bool:
        if tallies == self._written:
            return True
        entity = f'{expiry.ACCOUNT_PREFIX}{self._day}/{self._holder}'
        version = self._log.replica.get(entity).version
        writes = jobs.Writes({entity: version}, {entity: tallies})
        try:
            applied = await self._log.commit(writes, COMMIT_TIMEOUT_MS)
        except log_service.CommitError:
            return False
        if applied:
            self._written = tallies
        return applied


def merged(
    replica: records.Replica, first_day: str, last_day: str
) -> dict[str, typing.Any]:
    """Return the tallies of all node processes in a range of days.

    Days are ISO dates such as ``2026-12-31``; the range includes both ends.
    """
    tallies_by_holder: dict[str, list] = {}
    for entity, versioned in replica.with_prefix(
        expiry.ACCOUNT_PREFIX
    ).items():
        _, day, holder = entity.split('/')
        if first_day <= day <= last_day:
            tallies_by_holder.setdefault(holder, []).append(versioned.value)
    by_holder = {
        holder: account_mod.merge(tallies)
        for holder, tallies in tallies_by_holder.items()
    }
    total = account_mod.merge(by_holder.values())
    return {
        'from': first_day,
        'to': last_day,
        'by_kind': total,
        'by_holder': by_holder,
        'differences': account_mod.differences(total),
    }

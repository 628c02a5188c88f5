"""Read the platform's list of VMs, which lags behind the fleet."""

import asyncio
import typing

import aiohttp

from carawaymast_core import membership
from carawaymast_node import messages

__all__ = ['VmListReader']

POLL_INTERVAL_MS = 500
READ_TIMEOUT_MS = 2_000


class VmListReader:
    """Polls the list of VMs; during an outage the last list remains valid.

    ``on_list`` is called with each list that was read.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        on_list: typing.Callable[[list[membership.Vm]], None],
    ):
        self._session = session
        self._url = f'{url}/v1/vms'
        self._on_list = on_list
        self.errors_total = 0

    async def keep_reading(self) -> typing.NoReturn:
        """Read the list at an interval for as long as the node runs."""
        while True:
            try:
                self._on_list(await self._read())
            except (
                aiohttp.ClientError,
                OSError,
                ValueError,
                asyncio.TimeoutError,
            ):
                self.errors_total += 1
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _read(self) -> list[membership.Vm]:
        timeout = aiohttp.ClientTimeout(READ_TIMEOUT_MS / 1000)
        async with self._session.get(self._url, timeout=timeout) as response:
            body = await response.read()
        listed = messages.decode_answer(body, messages.VmList)
        return [
            membership.Vm(
                vm['id'],
                vm['role'],
                vm['host'],
                vm['port'],
                vm['peer_port'],
                vm['domain'],
                vm['rack'],
                vm['state'],
            )
            for vm in listed['vms']
        ]

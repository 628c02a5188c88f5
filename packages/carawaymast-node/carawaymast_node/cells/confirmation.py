"""When a node's leadership was last confirmed by the store."""

import asyncio

from carawaymast_core import clock as clock_mod

__all__ = ['Confirmation']


class Confirmation:
    """The last record of this node that the store has accepted.

    The store refuses a claim or renewal once another node has claimed. So if
    one was stored, any successor has claimed after it was sent, and a call
    that is made within ``max_age_ms`` of that is made within ``max_age_ms`` of
    the successor's claim. This relies on a clock that counts suspension of the
    machine, and does not notice one that comes between the check and the call.
    """

    def __init__(self, clock: clock_mod.Clock):
        self._clock = clock
        self._sent_since_boot_ms: int | None = None
        # Set and replaced at each confirmation.
        self._changed = asyncio.Event()

    def confirm(self, sent_since_boot_ms: int) -> None:
        """Record that a record was stored, and when it was sent."""
        self._sent_since_boot_ms = sent_since_boot_ms
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def wait(self, max_age_ms: int) -> None:
        """Wait until a record was sent at most ``max_age_ms`` ago, and stored.

        Returns at once, without yielding to the event loop, if there is one.
        """
        while not self.is_within(max_age_ms):
            await self._changed.wait()

    def is_within(self, max_age_ms: int) -> bool:
        """Return whether a stored record was sent at most that long ago."""
        if self._sent_since_boot_ms is None:
            return False
        age_ms = self._clock.since_boot() - self._sent_since_boot_ms
        return age_ms <= max_age_ms

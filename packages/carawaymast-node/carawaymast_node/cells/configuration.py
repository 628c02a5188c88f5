"""The configuration by which a node answers, and how old it may be.

A version must be in force everywhere some time after its acknowledgement. A
node that has read nothing for that long may have missed one, so it reads
again before it answers, and does not call a queue absent that may exist.
"""

import asyncio
import typing

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_node.cells import ports
from carawaymast_node.cells import routing
from carawaymast_node.cells import topic_reader

__all__ = ['Configuration', 'long_poll_wait_ms']

# Of the time in which a version must be in force; the rest is for the way of
# a request.
MAX_AGE_SHARE = 0.75
# A long poll that nothing ends shows the age of the configuration only at its
# end, and the next one starts with that age.
LONG_POLLS_PER_MAX_AGE = 3
# Bounds a caller's wait for a fresh read.
FRESH_READ_TIMEOUT_MS = 900


def long_poll_wait_ms(apply_ms: int) -> int:
    """Return how long reads of the configuration wait for a new one.

    A version must be in force ``apply_ms`` after its acknowledgement.
    """
    return int(apply_ms * MAX_AGE_SHARE / LONG_POLLS_PER_MAX_AGE)


class Configuration:
    """The newest configuration that was read, and the reader's progress.

    A version must be in force ``apply_ms`` after its acknowledgement.
    """

    def __init__(
        self,
        clock: clock_mod.Clock,
        routes: routing.Routes,
        reader: topic_reader.TopicReader,
        apply_ms: int,
    ):
        self._clock = clock
        self._reader = reader
        self._max_age_ms = int(apply_ms * MAX_AGE_SHARE)
        self.routes = routes

    async def find(self, host: str, path: str) -> tuple[ports.Queue, str]:
        """Return the queue and the job id of a request's path.

        Waits for a fresh read if the last one is too old, unless the store is
        known not to answer. Raises ``SchedulerError``, of the kind
        ``NOT_READY`` if a queue is unknown that may have been added since the
        last read, else see ``routing.Routes.find``.
        """
        if not self._is_recent() and self._reader.reachable_since_ms:
            await self._read_again()
        try:
            return self.routes.find(host, path)
        except errors.SchedulerError as error:
            if error.kind is errors.ErrorKind.NOT_FOUND:
                self._check_recent(error.detail)
            raise

    async def _read_again(self) -> None:
        # Shared by callers: any read that is recent enough will do.
        since_ms = self._clock.now() - self._max_age_ms
        try:
            async with asyncio.timeout(FRESH_READ_TIMEOUT_MS / 1000):
                await self._reader.wait_current(since_ms)
        except TimeoutError:
            return

    def _is_recent(self) -> bool:
        age_ms = self.age_ms()
        return age_ms is not None and age_ms <= self._max_age_ms

    def _check_recent(self, detail: str) -> None:
        if not self._is_recent():
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY,
                f'{detail}, by a configuration that was read '
                f'{self.age_ms()} ms ago',
            )

    def age_ms(self) -> int | None:
        """Return how long ago this was known to be the newest version.

        None if the store has not been read yet.
        """
        as_of_ms = self._reader.current_as_of_ms
        return None if as_of_ms is None else self._clock.now() - as_of_ms

    def log_fields(self) -> dict[str, typing.Any]:
        """Return the fields that name the version, its record and its age."""
        return {
            'version': self.routes.version,
            'configuration_offset': self.routes.offset,
            'configuration_age_ms': self.age_ms(),
        }

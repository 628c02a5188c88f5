"""The configuration by which a node answers, and how old it may be."""

import typing

from carawaymast_core import clock as clock_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import routing
from carawaymast_node.cells import topic_reader

__all__ = ['Configuration']


class Configuration:
    """The newest configuration that was read, and the reader's progress."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        routes: routing.Routes,
        reader: topic_reader.TopicReader,
    ):
        self._clock = clock
        self._reader = reader
        self.routes = routes

    def find(self, host: str, path: str) -> tuple[ports.Queue, str]:
        """Return the queue and the job id of a request's path.

        Raises ``SchedulerError``, see ``routing.Routes.find``.
        """
        return self.routes.find(host, path)

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

"""Finds the queue of a request by the configuration in force."""

from carawaymast_core import errors
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['Routes']

MAX_ID_CHARACTERS = 64  # callers' ids have 16


class Routes:
    """The queues of the newest version; older versions are ignored."""

    def __init__(self, log: telemetry.Telemetry):
        self._log = log
        self._queue_by_route: dict[tuple[str, str], ports.Queue] = {}
        self.version: int | None = None
        # The offset of the record that holds this version.
        self.offset: int | None = None

    def apply_update(self, declarations: ports.Declarations) -> bool:
        """Put a version in force; return False if it is not newer."""
        if self.version is not None and declarations.version <= self.version:
            return False
        self._queue_by_route = {
            (queue.host, queue.prefix): queue for queue in declarations.queues
        }
        self._log.log_event(
            'configuration_in_force',
            version=declarations.version,
            offset=declarations.offset,
            before=self.version,
            queues=len(declarations.queues),
        )
        self.version = declarations.version
        self.offset = declarations.offset
        return True

    def find(self, host: str, path: str) -> tuple[ports.Queue, str]:
        """Return the queue of a path and the job id after its prefix.

        The longest prefix wins; the id is '' for the queue itself. Raises
        ``SchedulerError`` if there is no configuration, no such queue or no
        valid id.
        """
        if self.version is None:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY, 'there is no configuration yet'
            )
        host = host.partition(':')[0]
        end = len(path)
        while end > 0:
            queue = self._queue_by_route.get((host, path[:end]))
            if queue is not None:
                return queue, _job_id(path[end:])
            end -= 1
        raise errors.SchedulerError(
            errors.ErrorKind.NOT_FOUND, f'no queue for {host}{path}'
        )


def _job_id(text: str) -> str:
    if len(text) > MAX_ID_CHARACTERS or '/' in text:
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST,
            f'job id is {text[:80]!r}, allowed: at most {MAX_ID_CHARACTERS} '
            "characters without '/'",
        )
    return text

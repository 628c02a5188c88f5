"""Committing to the log on behalf of a caller, with errors it can be told."""

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_node import log_service

__all__ = ['commit']


async def commit(
    log: log_service.LogService, writes: jobs.Writes, timeout_ms: int
) -> bool:
    """Commit writes; a record that was not read back is an error.

    Raises ``SchedulerError``: ``LOG_UNAVAILABLE`` if nothing changed,
    ``OUTCOME_UNKNOWN`` if the record may still apply.
    """
    try:
        return await log.commit(writes, timeout_ms)
    except log_service.CommitError as error:
        kind = errors.ErrorKind.LOG_UNAVAILABLE
        if error.was_sent:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        raise errors.SchedulerError(kind, str(error)) from None

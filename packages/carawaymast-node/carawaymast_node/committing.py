"""Commit to the log for a caller, with errors fit for a response."""

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_node import log_service

__all__ = ['commit']


async def commit(
    log: log_service.LogService, writes: jobs.Writes, timeout_ms: int
) -> bool:
    """Commit writes and return whether they applied.

    Raises ``SchedulerError`` if the record is not read back within
    ``timeout_ms``: ``LOG_UNAVAILABLE`` if it had no effect,
    ``OUTCOME_UNKNOWN`` if it may still apply.
    """
    try:
        return await log.commit(writes, timeout_ms)
    except log_service.CommitError as error:
        kind = errors.ErrorKind.LOG_UNAVAILABLE
        if error.is_sent:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        raise errors.SchedulerError(kind, str(error)) from None

"""Turns a refusal of admission into the error that callers are answered."""

from carawaymast_core import errors
from carawaymast_core.cell import admission

__all__ = ['to_error']


def to_error(refusal: admission.Refusal) -> errors.SchedulerError:
    """Return the error for a refused job, with the time to come back."""
    if not refusal.retry_after_s:
        kind = errors.ErrorKind.IMPOSSIBLE_JOB
        return errors.SchedulerError(kind, refusal.reason)
    return errors.SchedulerError(
        errors.ErrorKind.OVERLOADED, refusal.reason, refusal.retry_after_s
    )

"""Finds the expired records of ended jobs, in the order of their deletion.

A submission, which is most of a job's bytes, is deleted first, once callers
may no longer ask for the job. The state record is kept for a day: if a frozen
node stores a copy of the submission late, the state shows that the job must
not run again. Then the state is deleted too, but only if no submission is
left.
"""

import itertools
import typing

from carawaymast_core.cell import records
from carawaymast_core.cell import view as view_mod

__all__ = ['Expired', 'find']

# Added to the time in which callers may ask for a job: the clocks of VMs
# differ by up to 6 s on the users' platform, and callers repeat a call for
# some seconds.
SLACK_MS = 30_000
# A VM that was frozen for a day does not resume: the platform replaces it.
STATE_RETENTION_MS = 24 * 3600 * 1000
# About 400 kB of keys, while an append may have 2 MB. At the design load of
# 180 starts/s at most 5,400 jobs end between two passes.
MAX_JOBS_PER_PASS = 6_000


class Expired(typing.NamedTuple):
    """Keys to delete from the intake and, after that, from the state."""

    intake_keys: list[str]
    state_keys: list[str]


def find(view: view_mod.JobView, wall_ms: int, keep_ended_ms: int) -> Expired:
    """Return the keys that have expired at ``wall_ms``.

    Callers may ask for a job until ``keep_ended_ms`` after its end.
    """
    until_ms = wall_ms - keep_ended_ms - SLACK_MS
    expired = Expired([], [])
    for job_id, record in view.record_by_id.items():
        if len(expired.state_keys) >= MAX_JOBS_PER_PASS:
            break
        if not record.is_over or record.changed_at_ms >= until_ms:
            continue
        if view.has_intake(job_id):
            expired.intake_keys.append(job_id)
            expired.intake_keys.append(job_id + records.CANCEL_SUFFIX)
            expired.state_keys.append(job_id + records.SUBMISSION_SUFFIX)
        elif record.changed_at_ms < wall_ms - STATE_RETENTION_MS:
            expired.state_keys.append(job_id)
    expired.intake_keys.extend(
        job_id + records.CANCEL_SUFFIX
        for job_id in _unmatched_cancels(view, until_ms)
    )
    return expired


def _unmatched_cancels(
    view: view_mod.JobView, until_ms: int
) -> typing.Iterator[str]:
    """Yield the ids of unknown jobs that were cancelled before a time."""
    unmatched = (
        job_id
        for job_id, at_ms in view.cancelled_at_ms_by_id.items()
        if at_ms < until_ms and view.phase(job_id) is None
    )
    return itertools.islice(unmatched, MAX_JOBS_PER_PASS)

"""Which records of ended jobs may leave the store, and in what order.

A submission goes first, once callers may ask no more; it is most of a job's
bytes. The state, which tells that the job must not run, stays for a day: a
copy of the submission that a frozen node stores late finds it there. Only
then the state goes too, and only if no submission is left.
"""

import itertools
import typing

from carawaymast_core.cell import records
from carawaymast_core.cell import view as view_mod

__all__ = ['Expired', 'find']

# Beside the time in which callers may ask: clocks of VMs differ by up to 6 s
# on the users' platform, and callers repeat a call for some seconds.
SLACK_MS = 30_000
# No VM is frozen for a day and then goes on: the platform replaces it.
STATE_RETENTION_MS = 24 * 3600 * 1000
# Jobs in one pass: some 400 kB of keys, where an append takes 2 MB. At the
# design's 180 starts/s no more than 5,400 jobs end between passes.
MAX_JOBS_PER_PASS = 6_000


class Expired(typing.NamedTuple):
    """Keys to drop from the intake and, after that, from the state."""

    intake_keys: list[str]
    state_keys: list[str]


def find(view: view_mod.JobView, wall_ms: int, keep_ended_ms: int) -> Expired:
    """Return what may leave the store at ``wall_ms``.

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
    """Yield the unknown jobs that were to be cancelled before a time."""
    unmatched = (
        job_id
        for job_id, at_ms in view.cancelled_at_ms_by_id.items()
        if at_ms < until_ms and view.phase(job_id) is None
    )
    return itertools.islice(unmatched, MAX_JOBS_PER_PASS)

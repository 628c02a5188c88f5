"""The order in which waiting steps should start.

Steps are sorted by their latest start that still meets their objective, with
a penalty for less urgent ranks. A step that can no longer meet its objective
is sorted behind those that can, but moves up as it ages, so that no job
starves. One that is of use for a shorter time than the penalty is sorted by
its latest useful start.
"""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = ['next_change_ms', 'start_by_ms']

# Added to a step's latest start, for sorting, per rank below the most urgent.
RANK_PENALTY_MS = 1_500
# Added if a job can no longer meet its objective.
LATE_PENALTY_MS = 20_000
# A late gang moves up sooner: the capacity that other steps leave free is too
# scattered for it, so it never starts before it has a reservation.
LATE_GANG_PENALTY_MS = 8_000


def start_by_ms(step: 'jobs.StepState', wall_ms: int) -> int:
    """Return a step's sort key: its latest start plus penalties, in ms."""
    start_ms = step.latest_start_ms
    if start_ms < wall_ms:
        is_gang = step.spec.is_gang
        start_ms += LATE_GANG_PENALTY_MS if is_gang else LATE_PENALTY_MS
        if wall_ms < step.latest_useful_start_ms:
            start_ms = min(start_ms, step.latest_useful_start_ms)
    return start_ms + step.job.submission.queue.rank * RANK_PENALTY_MS


def next_change_ms(step: 'jobs.StepState', wall_ms: int) -> int | None:
    """Return when a step's sort key changes next, None if it does not."""
    if step.latest_start_ms >= wall_ms:
        return step.latest_start_ms + 1
    if step.latest_useful_start_ms > wall_ms:
        return step.latest_useful_start_ms
    return None

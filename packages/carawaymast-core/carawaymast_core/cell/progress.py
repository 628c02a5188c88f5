"""Judges runs by the progress that their workers list.

A worker lists how many percent of each task are done. That shows how long a
run will take, and that it stands still, long before it ends or is overdue.
"""

from carawaymast_core.cell import run as run_mod

__all__ = ['expected_total_ms', 'is_progressing', 'is_stalled', 'record']

# Below it the rounding of the percentage hides the rate.
MIN_PERCENT = 5
# Tasks that work show progress within this time, unless one percent of them
# takes longer.
MIN_STALL_MS = 700
# Estimates may be too short by this factor, and rates vary.
STALL_FACTOR = 8


def record(run: run_mod.Run, percent: float, now_ms: int) -> None:
    """Record the progress of a run as its worker listed it at ``now_ms``."""
    if run.progressed_at_ms is None or percent > run.percent:
        run.progressed_at_ms = now_ms
    run.percent = percent


def expected_total_ms(run: run_mod.Run, now_ms: int) -> int | None:
    """Return how long a run takes from its start to its end, in ms.

    That is how long it has run, if its progress does not show more. None
    without a known start, for example if it went on from a checkpoint.
    """
    if run.began_at_ms is None:
        return None
    ran_ms = now_ms - run.began_at_ms
    if not _has_progress(run) or run.percent < MIN_PERCENT:
        return ran_ms
    at_rate_ms = run.progressed_at_ms - run.began_at_ms
    return max(ran_ms, int(at_rate_ms * 100 / run.percent))


def is_stalled(run: run_mod.Run, now_ms: int) -> bool:
    """Return whether a run has stood still for too long."""
    if not _has_progress(run) or run.began_at_ms is None:
        return False
    if run.state is not run_mod.RunState.RUNNING or run.percent >= 100:
        return False
    still_ms = now_ms - run.progressed_at_ms
    percent_ms = run.task.step.spec.estimate_ms / 100
    if run.percent >= 1:
        percent_ms = (run.progressed_at_ms - run.began_at_ms) / run.percent
    return still_ms > max(MIN_STALL_MS, STALL_FACTOR * percent_ms)


def is_progressing(run: run_mod.Run, now_ms: int) -> bool:
    """Return whether a run is known to have worked a moment ago."""
    return (
        _has_progress(run)
        and run.percent > 0
        and now_ms - run.progressed_at_ms < MIN_STALL_MS
    )


def _has_progress(run: run_mod.Run) -> bool:
    """Return whether the worker lists the run's own progress.

    It does not for services, fillers may be slowed down by orders, and the
    members of a gang wait for each other.
    """
    spec = run.task.step.spec
    is_special = spec.is_service or spec.is_filler or spec.is_gang
    return run.progressed_at_ms is not None and not is_special

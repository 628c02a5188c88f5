"""Judges the rules LOST and TWICE by what the runners saw."""

from review.second import bed as bed_mod

__all__ = ['idle_for_too_long', 'started_after_done']

# From the rule: 6 s after a task's last run, in calm, for 3 s on end.
AFTER_RUN_S = 6.0
IDLE_S = 3.0
CALM_BEFORE_S = 4.0
ENDS = ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone', 'lost')


def _idle_spans(bed: bed_mod.Bed, until_s: float) -> dict[str, list]:
    """Return the spans in which each task ran on no runner that is up."""
    began_s: dict[tuple[str, str], float] = {}
    busy: dict[str, list[tuple[float, float]]] = {}
    for event in bed.history.events:
        key = (event.runner, event.task)
        if event.what == 'start':
            began_s[key] = event.at_s
        elif event.what in ENDS and key in began_s:
            busy.setdefault(event.task, []).append(
                (began_s.pop(key), event.at_s)
            )
    for (_, task), at_s in began_s.items():
        busy.setdefault(task, []).append((at_s, until_s))
    spans: dict[str, list] = {}
    for task, runs in busy.items():
        runs.sort()
        ends = [run[1] for run in runs]
        starts = [run[0] for run in runs[1:]] + [until_s]
        spans[task] = [
            (end, start)
            for end, start in zip(ends, starts, strict=True)
            if start > end
        ]
    return spans


def idle_for_too_long(
    bed: bed_mod.Bed, calm_from_s: float, until_s: float
) -> list[str]:
    """Return the tasks that lasted idle for longer than the rule allows."""
    broken = []
    for task, spans in _idle_spans(bed, until_s).items():
        for end_s, start_s in spans:
            from_s = max(end_s + AFTER_RUN_S, calm_from_s + CALM_BEFORE_S)
            if start_s - from_s > IDLE_S:
                broken.append(
                    f'LOST: {task} is to last and runs nowhere from '
                    f'{end_s:.3f} to {start_s:.3f} s, with room on all runners'
                )
    return broken


def started_after_done(bed: bed_mod.Bed) -> list[str]:
    """Return the starts after an end as done that is taken note of.

    An end counts as taken note of once the cursor of a hold reaches it, if
    the lease did not lapse in between.
    """
    noted = set()
    for event in bed.history.events:
        if event.what == 'noted done' and not event.detail:
            noted.add((event.task, event.run_id))
    done_at_s: dict[str, float] = {}
    broken = []
    for event in bed.history.events:
        if event.what == 'done' and (event.task, event.run_id) in noted:
            done_at_s.setdefault(event.task, event.at_s)
        elif event.what == 'start' and event.task in done_at_s:
            broken.append(
                f'TWICE: {event.task} run {event.run_id} begins at '
                f'{event.at_s:.3f} s, done since {done_at_s[event.task]:.3f} s'
            )
    return broken

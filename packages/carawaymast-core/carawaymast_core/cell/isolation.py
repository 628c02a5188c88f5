"""Keeps tasks under which workers have crashed apart from other tasks.

A crash does not show which of the tasks on the worker caused it. Where each
of them runs next decides what a further crash would show, and what it would
destroy.
"""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import choosing
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['is_suspect', 'must_be_alone', 'place_suspects']

# Crashes after which a task runs alone on its worker.
ALONE_AFTER_CRASHES = 2
# How long such a task waits for a worker without runs. Then it takes the one
# that has the fewest: a task must not wait for ever.
ALONE_WAIT_MS = 2_000


def is_suspect(task: 'jobs.Task') -> bool:
    """Return whether a worker has crashed while the task was on it."""
    return bool(task.crashes.crashed_at)


def must_be_alone(task: 'jobs.Task') -> bool:
    """Return whether no other task may be placed beside the task."""
    return len(task.crashes.crashed_at) >= ALONE_AFTER_CRASHES


def place_suspects(
    tasks: typing.Sequence['jobs.Task'],
    options: typing.Sequence['choosing.Option'],
    now_ms: int,
) -> tuple[
    list[tuple['jobs.Task', 'choosing.Option']], list['choosing.Option']
]:
    """Choose workers for suspects; return these and the remaining options.

    Each gets the worker with the fewest suspects, then the fewest runs, and
    not one at an address where a worker crashed under it, if there is a
    choice. A suspect that must be alone may be left out for a while. A gang
    shares workers after that time, since there may be too few for it.
    """
    chosen: list[tuple[jobs.Task, choosing.Option]] = []
    option_by_id = {option.worker.worker_id: option for option in options}
    alone_ids: set[str] = set()
    for task in sorted(tasks, key=_crash_count, reverse=True):
        option = _best(task, list(option_by_id.values()), chosen, now_ms)
        if option is None:
            continue
        chosen.append((task, option))
        worker_id = option.worker.worker_id
        may_share = task.step.spec.is_gang and not _may_wait(task, now_ms)
        if must_be_alone(task):
            alone_ids.add(worker_id)
        if option.count == 1 or (must_be_alone(task) and not may_share):
            del option_by_id[worker_id]
        else:
            option_by_id[worker_id] = option._replace(count=option.count - 1)
    remaining = sorted(
        option_by_id.values(), key=lambda o: o.worker.worker_id in alone_ids
    )
    return chosen, remaining


def _may_wait(task: 'jobs.Task', now_ms: int) -> bool:
    return now_ms - task.waiting_since_ms < ALONE_WAIT_MS


def _crash_count(task: 'jobs.Task') -> int:
    return len(task.crashes.crashed_at)


def _best(
    task: 'jobs.Task',
    options: list['choosing.Option'],
    chosen: list[tuple['jobs.Task', 'choosing.Option']],
    now_ms: int,
) -> 'choosing.Option | None':
    """Return the best option for a suspect, or None if it should wait."""
    if must_be_alone(task) and _may_wait(task, now_ms):
        options = [o for o in options if _is_empty(o.worker)]
    chosen_ids = [option.worker.worker_id for _, option in chosen]

    def sort_key(option: 'choosing.Option') -> tuple[bool, int, int]:
        worker = option.worker
        placed = chosen_ids.count(worker.worker_id)
        suspects = sum(is_suspect(r.task) for r in worker.run_by_task.values())
        return (
            worker.entry.address in task.crashes.crashed_at,
            suspects + placed,
            len(worker.run_by_task) + placed,
        )

    return min(options, key=sort_key, default=None)


def _is_empty(worker: 'worker_mod.Worker') -> bool:
    return not worker.run_by_task and worker.free == worker.entry.capacity

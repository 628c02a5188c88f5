"""Counts the workers that crash under tasks, and gives up those that cause it.

A worker has certainly crashed once another incarnation of it answers, or is
listed. All tasks on it may be the cause, so each is counted; ``isolation``
then places them so that innocent ones are not counted again.
"""

import typing

from carawaymast_core.cell import records
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod
    from carawaymast_core.cell import jobs

__all__ = [
    'apply_survival',
    'give_up',
    'record',
    'record_lapse',
    'withdraw_lapse',
]

# Crashes after which a task is given up: if it was alone on the last of the
# workers, and in any case.
MAX_CRASHES_ALONE = 3
MAX_CRASHES = 4
# Of these, the task must certainly have been on as many: the platform allows
# no job to fail with fewer.
MIN_CRASHES = 2
# The same for crashes of which that is not certain, together with workers of
# which only the lease has expired. The platform allows no more than two starts
# after the third crash.
MAX_POSSIBLE_CRASHES = 5
# A task that runs SURVIVAL_FACTOR times as long as before its quickest crash
# is no longer isolated, and after as many times its slowest one it did not
# cause any; both after these times at least.
SURVIVAL_FACTOR = 2
MIN_ISOLATION_MS = 1_000
MIN_CLEAR_MS = 10_000
# A service that lives for months outlasts many workers, each for a different
# time.
MAX_CLEAR_MS = 600_000
# A renewal that is answered was sent at most this long before, since a worker
# waits up to 1 s for a run to end.
MAX_RENEWAL_INTERVAL_MS = 1_200
# How long a worker whose lease has expired is asked whether it has crashed.
LAPSED_MS = 30_000


def record(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> list['jobs.Task']:
    """Record that a worker's incarnation ended without notice.

    Return the tasks that are to be given up, once their runs are updated.
    Runs whose start was not sent yet have nothing to do with the crash.
    """
    runs = [run for run in worker.run_by_task.values() if _may_have_run(run)]
    lapsed_tasks = worker.lapsed_tasks
    tasks = [run.task for run in runs] + lapsed_tasks
    if not tasks:
        return []
    silent_since_ms = worker.silent_since_ms or worker.last_answer_at_ms
    cell.crashed_workers += 1
    ran_ms_by_name = {
        run.task.name: max(0, silent_since_ms - run.placed_at_ms)
        for run in runs
    }
    cell.log_event(
        'worker_crashed',
        worker=worker.worker_id,
        address=worker.entry.address,
        silent_ms=now_ms - silent_since_ms,
        # Task, run, and how long it had been placed when the worker fell
        # silent.
        runs=[
            (run.task.name, run.run_id, ran_ms_by_name[run.task.name])
            for run in runs
        ],
        lapsed=[task.name for task in lapsed_tasks],
    )
    withdraw_lapse(cell, worker)
    was_alone = len(worker.run_by_task) == 1
    for run in runs:
        run.is_crash_counted = True
    # Otherwise the runs may have ended with the lease, before the crash.
    is_lease_certain = (
        now_ms - worker.last_answer_at_ms
        < cell.lease_ms - MAX_RENEWAL_INTERVAL_MS
    )
    confirmed_names = {
        run.task.name
        for run in runs
        if run.state is run_mod.RunState.RUNNING and is_lease_certain
    }
    for task in tasks:
        task.crashes = _add_crash(
            task.crashes,
            worker.entry.address,
            task.name in confirmed_names,
            ran_ms_by_name.get(task.name),
        )
        cell.mark_dirty(task.step.job)
    return [task for task in tasks if _must_give_up(task, was_alone)]


def record_restart(
    cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int
) -> None:
    """Record that a run's worker restarted under its id before this leader.

    The run may have been confirmed to the previous leader or not.
    """
    task = run.task
    address = run.worker.entry.address
    run.is_crash_counted = True
    task.crashes = _add_crash(task.crashes, address, False, None)
    cell.log_event(
        'worker_crashed',
        worker=run.worker.worker_id,
        address=address,
        silent_ms=None,
        runs=[(task.name, run.run_id, None)],
        lapsed=[],
    )
    cell.mark_dirty(task.step.job)
    if _must_give_up(task, was_alone=False):
        give_up(cell, [task], now_ms)


def _add_crash(
    crashes: records.CrashRecord,
    address: str,
    is_confirmed: bool,
    ran_ms: int | None,
) -> records.CrashRecord:
    """Add a crash; ``ran_ms`` is None if it is not known how long it took."""
    times_ms = [] if ran_ms is None else [ran_ms]
    known = [crashes.shortest_ms] if crashes.crashed_at else []
    return crashes._replace(
        crashed_at=(*crashes.crashed_at, address),
        unconfirmed=crashes.unconfirmed + (not is_confirmed),
        shortest_ms=min([*known, *times_ms], default=0),
        longest_ms=max([crashes.longest_ms, *times_ms]),
    )


def _may_have_run(run: run_mod.Run) -> bool:
    if run.is_crash_counted:
        return run.state is run_mod.RunState.RUNNING
    return run.state is not run_mod.RunState.PLACED


def _must_give_up(task: 'jobs.Task', was_alone: bool) -> bool:
    crashes = task.crashes
    count = len(crashes.crashed_at)
    if count < MIN_CRASHES:
        return False
    if count + crashes.lost >= MAX_POSSIBLE_CRASHES:
        return True
    is_certain = count - crashes.unconfirmed >= MIN_CRASHES
    max_crashes = MAX_CRASHES_ALONE if was_alone else MAX_CRASHES
    return is_certain and count >= max_crashes


def give_up(
    cell: 'cell_mod.Cell', tasks: typing.Iterable['jobs.Task'], now_ms: int
) -> None:
    """Fail the jobs of tasks that crash the workers that start them."""
    for task in tasks:
        if not task.is_done:
            count = len(task.crashes.crashed_at) + task.crashes.lost
            cell.fail_job(
                task.step.job,
                f'{count} workers were lost under task {task.name}',
                now_ms,
            )


def record_lapse(
    cell: 'cell_mod.Cell',
    worker: worker_mod.Worker,
    runs: typing.Iterable[run_mod.Run],
    now_ms: int,
) -> list['jobs.Task']:
    """Record that runs end with a worker's lease: it may have crashed.

    Return the tasks that are to be given up, once their runs are updated.
    """
    tasks = [run.task for run in runs if _may_have_run(run)]
    worker.lapsed_tasks += tasks
    worker.lapsed_until_ms = now_ms + LAPSED_MS
    for task in tasks:
        task.crashes = task.crashes._replace(lost=task.crashes.lost + 1)
        cell.mark_dirty(task.step.job)
    return [task for task in tasks if _must_give_up(task, was_alone=False)]


def withdraw_lapse(cell: 'cell_mod.Cell', worker: worker_mod.Worker) -> None:
    """Take back what an expired lease counted, as more is known now."""
    for task in worker.lapsed_tasks:
        lost = max(0, task.crashes.lost - 1)
        task.crashes = task.crashes._replace(lost=lost)
        cell.mark_dirty(task.step.job)
    worker.lapsed_tasks = []


def apply_survival(
    cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int
) -> None:
    """Let a task that runs on, longer than before its crashes, count less.

    First other tasks may be placed beside it, later its crashes are forgotten.
    """
    task = run.task
    crashes = task.crashes
    ran_ms = now_ms - run.placed_at_ms
    isolation_ms = max(MIN_ISOLATION_MS, SURVIVAL_FACTOR * crashes.shortest_ms)
    if ran_ms > isolation_ms:
        run.worker.isolated_by_name.pop(task.name, None)
    clear_ms = max(MIN_CLEAR_MS, SURVIVAL_FACTOR * crashes.longest_ms)
    if ran_ms <= min(clear_ms, MAX_CLEAR_MS):
        return
    cell.log_event(
        'crashes_cleared',
        task=task.name,
        ran_ms=ran_ms,
        crashes=len(crashes.crashed_at),
        lost=crashes.lost,
    )
    task.crashes = records.NO_CRASHES
    cell.mark_dirty(task.step.job)

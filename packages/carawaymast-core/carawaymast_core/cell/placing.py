"""Places waiting tasks, and lists the steps that lack tickets."""

import typing

from carawaymast_core import errors
from carawaymast_core.cell import choosing
from carawaymast_core.cell import eligibility
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import idle_waits
from carawaymast_core.cell import jobs
from carawaymast_core.cell import planner
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import speculation
from carawaymast_core.cell import tiers

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = [
    'align_gang_run_ids',
    'plan',
    'steps_needing_advice',
]

# Between two log events on the same gang's reservation.
RESERVATION_LOG_INTERVAL_MS = 2_000


def plan(cell: 'cell_mod.Cell', now_ms: int, wall_ms: int) -> None:
    """Place the tasks that fit; they start once their records are stored."""
    if cell.restarted_ids:
        _drop_former_tickets(cell)
    fleet = fleet_mod.Fleet(
        w for w in cell.worker_by_key.values() if w.is_usable(now_ms)
    )
    touched: dict[str, jobs.Job] = {}

    def place(placement: choosing.Placement) -> None:
        _place(cell, placement, now_ms)
        job = placement.task.step.job
        touched[job.job_id] = job

    def log_reservation(step: jobs.StepState, allowed) -> None:
        if (
            now_ms - step.reservation_logged_at_ms
            < RESERVATION_LOG_INTERVAL_MS
        ):
            return
        step.reservation_logged_at_ms = now_ms
        cell.log_event(
            'gang_waits',
            step=step.name,
            tasks=len(step.tasks),
            size=list(step.spec.size),
            waited_ms=now_ms - step.ready_at_ms,
            held=len(allowed),
            room=free_capacity.total_fit_count(step, allowed),
        )

    planner.plan(
        cell.ready_by_name,
        fleet,
        cell.reservations,
        planner.PlanClock(now_ms, wall_ms),
        place,
        log_reservation,
    )
    if now_ms - cell.copies_checked_at_ms >= speculation.CHECK_INTERVAL_MS:
        cell.copies_checked_at_ms = now_ms
        for placement in speculation.choose(cell, fleet, now_ms):
            place(placement)
            fleet.update(placement.worker)
    for job in touched.values():
        cell.update_ready_steps(job, now_ms, wall_ms)
    idle_waits.log_idle_waits(cell, now_ms)
    cell.set_fleet(fleet)


def _drop_former_tickets(cell: 'cell_mod.Cell') -> None:
    """Drop the tickets for former incarnations of restarted workers."""
    for job in cell.job_by_id.values():
        for steps in job.steps_by_occurrence:
            for step in steps:
                if step.advice is not None:
                    step.advice.drop(cell.restarted_ids)
    cell.restarted_ids.clear()


def steps_needing_advice(
    cell: 'cell_mod.Cell', now_ms: int, wall_ms: int, is_planned: bool = True
) -> typing.Iterator[tuple[jobs.StepState, list[str]]]:
    """Yield the steps that need tickets, in the order in which they start.

    See ``advice_calls`` for the exceptions from this order.

    Each comes with the ids of the workers to ask about: those whose tickets
    are about to expire, then the others, the best first. If ``is_planned`` is
    false, no plan was made just before this call, and steps with tickets are
    left out: the next plan may place all their tasks with these.
    """
    ids_by_kind: dict[tuple[str, str, bool], list[str]] = {}
    cell.ready_by_name.sort_for(wall_ms)
    ordered = cell.ready_by_name.in_order(lambda need: need.is_ticketed)
    for step in cell.advice_calls.in_turn(ordered, now_ms):
        advice = step.advice
        if advice.is_call_pending or advice.is_satisfied(now_ms):
            continue
        if not is_planned and advice.has_tickets(now_ms):
            continue
        queue = step.job.submission.queue
        is_urgent = queue.rank == 0
        kind = queue.service, step.spec.required_label, is_urgent
        if kind not in ids_by_kind:
            ids_by_kind[kind] = _ids_to_ask(cell, step, now_ms)
        ids_to_ask = advice.ids_to_ask(
            ids_by_kind[kind], now_ms, queue.advice.valid_ms
        )
        if ids_to_ask:
            yield step, ids_to_ask


def _ids_to_ask(
    cell: 'cell_mod.Cell', step: jobs.StepState, now_ms: int
) -> list[str]:
    """Return the ids of the workers to ask about for a step, best first.

    Workers with more free capacity come first, but for urgent steps the
    faster ones do.
    """
    found = [
        worker
        for worker in cell.worker_by_key.values()
        if worker.is_usable(now_ms) and eligibility.is_eligible(step, worker)
    ]
    found.sort(key=lambda worker: worker.free_share, reverse=True)
    if step.job.submission.queue.rank == 0:
        found.sort(key=tiers.urgent_sort_key)
    return [worker.worker_id for worker in found]


def _place(
    cell: 'cell_mod.Cell', placement: choosing.Placement, now_ms: int
) -> None:
    """Add a run to its worker and task, and to the starts to be stored."""
    task, worker, ticket = placement
    step = task.step
    run_id = task.last_run_id + 1
    if step.spec.is_gang:
        run_id = 1 + max(t.last_run_id for t in step.tasks if t.is_waiting)
    run = run_mod.Run(task, run_id, worker, now_ms)
    run.ticket = ticket
    if step.advice is not None:
        grant = step.advice.grant_by_worker[worker.worker_id]
        run.ticket_at_ms = grant.received_at_ms
    worker.add(run)
    task.runs.append(run)
    errors.check(
        min(worker.free) >= 0,
        f'worker {worker.worker_id} has negative free capacity',
    )
    errors.check(
        step.spec.is_speculative or len(task.runs) == 1,
        f'task {task.name} has {len(task.runs)} runs, at most 1 is allowed',
    )
    if step.spec.is_speculative and not step.spec.is_gang:
        cell.speculative_by_name[step.name] = step
    cell.starts.append(run)
    cell.mark_dirty(step.job)


def align_gang_run_ids(cell: 'cell_mod.Cell') -> None:
    """Give gang members that were placed together the same run id.

    The members may have had different numbers of runs before.
    """
    by_step: dict[str, list[run_mod.Run]] = {}
    for run in cell.starts:
        if run.task.step.spec.is_gang:
            by_step.setdefault(run.task.step.name, []).append(run)
    for runs in by_step.values():
        run_id = max(run.run_id for run in runs)
        for run in runs:
            run.run_id = run_id

"""Throttles fillers before they disturb the services on their worker.

Fillers use the processor time that other tasks leave idle, and slow down the
services on the same worker by amounts that differ by image and change within
seconds. A worker reports the tail latency of each service; divided by the
service's target it is the service's pressure. As the pressure approaches 1,
the speed limits of fillers are lowered, of the most disturbing filler first;
when the pressure is low again, they are raised in small steps. A new leader
continues from the speeds that the workers report.
"""

import typing

from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = [
    'DisturbanceScores',
    'adjust_speed_limits',
    'filler_cpu_millis',
    'is_shared',
    'pressure_at',
]

# Pressure, which is tail latency divided by its target: above the first a
# filler is slowed down, above the second all of them are paused, and only
# below the third one is sped up.
SLOW_PRESSURE = 0.8
STOP_PRESSURE = 1.0
CALM_PRESSURE = 0.7
SLOW_FACTOR = 0.5
# A filler that would run slower than this is paused instead.
MIN_SPEED_PERCENT = 5
SPEED_UP_STEP_PERCENT = 10
# A speed limit takes effect after 0.1 s, and a reported tail latency covers
# the last 0.5 s.
FEEDBACK_DELAY_MS = 600
# Between two speed-ups on the same worker.
SPEED_UP_INTERVAL_MS = 500
# A filler that is paused for this long is stopped, to be placed on another
# worker. Without checkpoints it loses its work then, so it waits longer.
STUCK_MS = 3_000
STUCK_UNSAVED_MS = 9_000
# No filler is placed for this long on a worker where one was stuck.
NO_FILLERS_MS = 10_000


class DisturbanceScores:
    """Scores of how much fillers of one image disturb services of another.

    A score rises each time a service is under pressure while a filler runs on
    its worker, and decays while the service is calm beside a filler at full
    speed::

        scores.record_pressure('index', 'web', 0.5)
        scores.score('index', ['web', 'mail'])
    """

    MAX_SCORE = 8.0
    DECAY_FACTOR = 0.9
    # Pairs of images; beyond it the one that was recorded least recently is
    # dropped.
    MAX_PAIRS = 10_000

    def __init__(self) -> None:
        self._score_by_pair: dict[tuple[str, str], float] = {}

    def record_pressure(self, filler: str, service: str, share: float) -> None:
        """Record that a service was under pressure beside a filler.

        ``share`` is the share of the worker's processors that the filler
        uses.
        """
        pair = filler, service
        score = self._score_by_pair.pop(pair, 0.0)
        self._score_by_pair[pair] = min(self.MAX_SCORE, score + share)
        if len(self._score_by_pair) > self.MAX_PAIRS:
            del self._score_by_pair[next(iter(self._score_by_pair))]

    def record_calm(self, filler: str, service: str) -> None:
        """Record that a service was calm beside a filler at full speed."""
        pair = filler, service
        if pair in self._score_by_pair:
            self._score_by_pair[pair] *= self.DECAY_FACTOR

    def score(self, filler: str, services: typing.Iterable[str]) -> float:
        """Return the sum of a filler image's scores with service images."""
        return sum(
            self._score_by_pair.get((filler, service), 0.0)
            for service in services
        )


def fillers_of(worker: worker_mod.Worker) -> list[run_mod.Run]:
    """Return the runs of fillers that the worker has listed as running."""
    return [
        run
        for run in worker.run_by_task.values()
        if run.task.step.spec.is_filler
        and run.state is run_mod.RunState.RUNNING
    ]


def services_of(worker: worker_mod.Worker) -> list[run_mod.Run]:
    """Return the runs on a worker that have a latency target."""
    return [
        run
        for run in worker.run_by_task.values()
        if run.task.step.spec.latency_target_ms > 0
    ]


def filler_cpu_millis(worker: worker_mod.Worker) -> int:
    """Return the processor time that the fillers on a worker request.

    It is in thousandths of a core.
    """
    return sum(
        run.task.step.spec.size.cpu_millis
        for run in worker.run_by_task.values()
        if run.task.step.spec.is_filler
    )


def pressure_at(worker: worker_mod.Worker) -> float:
    """Return the highest pressure of the services on a worker."""
    return max(map(_pressure, services_of(worker)), default=0.0)


def is_shared(worker: worker_mod.Worker) -> bool:
    """Return whether a worker runs both fillers and services with a target."""
    steps = [run.task.step.spec for run in worker.run_by_task.values()]
    return any(step.is_filler for step in steps) and any(
        step.latency_target_ms > 0 for step in steps
    )


def adjust_speed_limits(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """Order the speed limits that the worker's latest pressure requires."""
    fillers = fillers_of(worker)
    if not fillers:
        return
    services = services_of(worker)
    pressure = pressure_at(worker)
    if pressure > SLOW_PRESSURE:
        _slow_down(cell, fillers, services, pressure, now_ms)
    elif pressure < CALM_PRESSURE:
        _speed_up(cell, worker, fillers, services, now_ms)
    for run in fillers:
        _repeat_order(cell, run, now_ms)
        if _is_stuck(run, now_ms):
            worker.no_fillers_until_ms = now_ms + NO_FILLERS_MS
            cell.stop(run, 'it disturbs a service at any speed')


def _pressure(run: run_mod.Run) -> float:
    """Return a service's tail latency divided by its target."""
    return run.use / run.task.step.spec.latency_target_ms


def _slow_down(
    cell: 'cell_mod.Cell',
    fillers: list[run_mod.Run],
    services: list[run_mod.Run],
    pressure: float,
    now_ms: int,
) -> None:
    """Slow down the most disturbing filler, or pause all of them.

    All are paused if the pressure is above ``STOP_PRESSURE``.
    """
    active = [run for run in fillers if run.speed_limit > 0]
    affected = _images(r for r in services if _pressure(r) > SLOW_PRESSURE)
    if pressure <= STOP_PRESSURE:
        # The pressure does not reflect the latest orders yet.
        if any(
            now_ms - run.speed_limited_at_ms < FEEDBACK_DELAY_MS
            for run in fillers
        ):
            return
        active.sort(key=lambda run: _disturbance_key(cell, run, affected))
        active = active[-1:]
    for run in active:
        for image in affected:
            cell.disturbances.record_pressure(
                _image(run), image, _cpu_share(run)
            )
        percent = int(run.speed_limit * SLOW_FACTOR)
        if pressure > STOP_PRESSURE or percent < MIN_SPEED_PERCENT:
            percent = 0
        _order_speed_limit(cell, run, percent, pressure, now_ms)


def _speed_up(
    cell: 'cell_mod.Cell',
    worker: worker_mod.Worker,
    fillers: list[run_mod.Run],
    services: list[run_mod.Run],
    now_ms: int,
) -> None:
    """Speed up the least disturbing of the fillers that are slowed down."""
    images = _images(services)
    for run in fillers:
        if run.speed_limit == run_mod.FULL_SPEED_PERCENT:
            for image in images:
                cell.disturbances.record_calm(_image(run), image)
    slowed = [r for r in fillers if r.speed_limit < run_mod.FULL_SPEED_PERCENT]
    if not slowed or now_ms - worker.sped_up_at_ms < SPEED_UP_INTERVAL_MS:
        return
    if any(
        now_ms - run.speed_limited_at_ms < FEEDBACK_DELAY_MS for run in slowed
    ):
        return
    run = min(slowed, key=lambda run: _disturbance_key(cell, run, images))
    percent = run_mod.FULL_SPEED_PERCENT
    if services:
        percent = min(percent, run.speed_limit + SPEED_UP_STEP_PERCENT)
    worker.sped_up_at_ms = now_ms
    _order_speed_limit(cell, run, percent, 0.0, now_ms)


def _repeat_order(
    cell: 'cell_mod.Cell', run: run_mod.Run, now_ms: int
) -> None:
    """Repeat an order whose speed limit the worker does not report."""
    is_applied = int(run.percent) == run.speed_limit
    if (
        not is_applied
        and now_ms - run.speed_limited_at_ms >= FEEDBACK_DELAY_MS
    ):
        run.speed_limited_at_ms = now_ms
        cell.speed_limit_orders.append(
            worker_mod.SpeedLimitOrder(run, run.speed_limit)
        )


def _is_stuck(run: run_mod.Run, now_ms: int) -> bool:
    """Return whether a filler was paused for so long that it must move."""
    if run.speed_limit > 0 or run.is_stopping:
        return False
    is_saved = run.task.step.spec.is_checkpointing
    max_pause_ms = STUCK_MS if is_saved else STUCK_UNSAVED_MS
    return now_ms - run.paused_since_ms >= max_pause_ms


def _order_speed_limit(
    cell: 'cell_mod.Cell',
    run: run_mod.Run,
    percent: int,
    pressure: float,
    now_ms: int,
) -> None:
    if percent == run.speed_limit:
        return
    cell.log_event(
        'pace_ordered',
        task=run.task.name,
        run_id=run.run_id,
        worker=run.worker.worker_id,
        percent=percent,
        before=run.speed_limit,
        pressure=round(pressure, 2),
    )
    if percent == 0:
        run.paused_since_ms = now_ms
    run.speed_limit = percent
    run.speed_limited_at_ms = now_ms
    cell.speed_limit_orders.append(worker_mod.SpeedLimitOrder(run, percent))


def _image(run: run_mod.Run) -> str:
    return run.task.step.spec.image


def _images(runs: typing.Iterable[run_mod.Run]) -> set[str]:
    return {_image(run) for run in runs}


def _cpu_share(run: run_mod.Run) -> float:
    """Return the share of its worker's processors that a filler requests."""
    capacity = run.worker.entry.capacity.cpu_millis
    return run.task.step.spec.size.cpu_millis / max(1, capacity)


def _disturbance_key(
    cell: 'cell_mod.Cell', run: run_mod.Run, images: typing.Iterable[str]
) -> tuple[float, float]:
    """Return a sort key that is larger for fillers that disturb more."""
    return cell.disturbances.score(_image(run), images), _cpu_share(run)

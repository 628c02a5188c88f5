"""Slows fillers before they disturb the services on their worker.

Fillers use what other tasks leave of a worker, and slow the services beside
them by amounts that differ by image and change within seconds. A worker tells
the tail of each service's response times; beside the service's target that is
its pressure. As the pressure nears the target, fillers give way, the one that
disturbs most first; when there is room again, they speed up slowly. A new
leader goes on from the paces that the workers list.
"""

import typing

from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import cell as cell_mod

__all__ = [
    'DisturbanceScores',
    'filler_cpu_millis',
    'is_shared',
    'adjust_speed_limits',
    'pressure_at',
]

# Tail beside target: fillers slow down above the first, all of them stop
# above the second, and none speeds up unless it is below the third.
SLOW_PRESSURE = 0.8
STOP_PRESSURE = 1.0
CALM_PRESSURE = 0.7
SLOW_FACTOR = 0.5
# Slower than this is not worth the order.
MIN_SPEED_PERCENT = 5
SPEED_UP_STEP_PERCENT = 10
# A pace takes effect after 0.1 s, and tails are those of the last 0.5 s.
FEEDBACK_DELAY_MS = 600
# Between two steps up at a worker.
SPEED_UP_INTERVAL_MS = 500
# A filler that stands for so long has a better place elsewhere; one that
# keeps no checkpoint loses its work by the move.
STUCK_MS = 3_000
STUCK_UNSAVED_MS = 9_000
# A worker where a filler was stuck gets none for so long.
NO_FILLERS_MS = 10_000


class DisturbanceScores:
    """How much fillers of an image disturb services of another.

    Scores rise with each time that a service is under pressure beside a
    filler at work, and fade when it is calm beside it::

        book.note_pressure('index', 'web', 0.5)
        book.score('index', ['web', 'mail'])
    """

    MAX_SCORE = 8.0
    DECAY_FACTOR = 0.9
    # Pairs of images; the oldest is forgotten beyond it.
    MAX_PAIRS = 10_000

    def __init__(self) -> None:
        self._score_by_pair: dict[tuple[str, str], float] = {}

    def record_pressure(self, filler: str, service: str, share: float) -> None:
        """Note pressure on a service beside a filler's share of the worker."""
        pair = filler, service
        score = self._score_by_pair.pop(pair, 0.0)
        self._score_by_pair[pair] = min(self.MAX_SCORE, score + share)
        if len(self._score_by_pair) > self.MAX_PAIRS:
            del self._score_by_pair[next(iter(self._score_by_pair))]

    def record_calm(self, filler: str, service: str) -> None:
        """Note that a service is well beside a filler at its full pace."""
        pair = filler, service
        if pair in self._score_by_pair:
            self._score_by_pair[pair] *= self.DECAY_FACTOR

    def score(self, filler: str, services: typing.Iterable[str]) -> float:
        """Return how much a filler is known to disturb services."""
        return sum(
            self._score_by_pair.get((filler, service), 0.0)
            for service in services
        )


def fillers_of(worker: worker_mod.Worker) -> list[worker_mod.Run]:
    """Return the fillers that the worker lists as running."""
    return [
        run
        for run in worker.run_by_task.values()
        if run.task.step.spec.is_filler
        and run.state is worker_mod.RunState.RUNNING
    ]


def services_of(worker: worker_mod.Worker) -> list[worker_mod.Run]:
    """Return the runs at a worker whose response times have a target."""
    return [
        run
        for run in worker.run_by_task.values()
        if run.task.step.spec.latency_target_ms > 0
    ]


def filler_cpu_millis(worker: worker_mod.Worker) -> int:
    """Return the processors that the fillers at a worker ask for."""
    return sum(
        run.task.step.spec.size.cpu_millis
        for run in worker.run_by_task.values()
        if run.task.step.spec.is_filler
    )


def pressure_at(worker: worker_mod.Worker) -> float:
    """Return the worst tail of a worker's services beside its target."""
    return max(map(_pressure, services_of(worker)), default=0.0)


def is_shared(worker: worker_mod.Worker) -> bool:
    """Whether fillers and services with a target run at a worker."""
    steps = [run.task.step.spec for run in worker.run_by_task.values()]
    return any(step.is_filler for step in steps) and any(
        step.latency_target_ms > 0 for step in steps
    )


def adjust_speed_limits(
    cell: 'cell_mod.Cell', worker: worker_mod.Worker, now_ms: int
) -> None:
    """Order the paces that the worker's latest figures ask for."""
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
            cell.stop(run, 'it disturbs a service at any pace')


def _pressure(run: worker_mod.Run) -> float:
    return run.use / run.task.step.spec.latency_target_ms


def _slow_down(
    cell: 'cell_mod.Cell',
    fillers: list[worker_mod.Run],
    services: list[worker_mod.Run],
    pressure: float,
    now_ms: int,
) -> None:
    """Slow the filler that disturbs most; all of them over the target."""
    active = [run for run in fillers if run.speed_limit > 0]
    pressed = _images(r for r in services if _pressure(r) > SLOW_PRESSURE)
    if pressure <= STOP_PRESSURE:
        # What was ordered a moment ago does not show in the figures yet.
        if any(
            now_ms - run.speed_limited_at_ms < FEEDBACK_DELAY_MS
            for run in fillers
        ):
            return
        active.sort(key=lambda run: _disturbance_key(cell, run, pressed))
        active = active[-1:]
    for run in active:
        for image in pressed:
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
    fillers: list[worker_mod.Run],
    services: list[worker_mod.Run],
    now_ms: int,
) -> None:
    """Speed up one filler that was slowed, the one that disturbs least."""
    images = _images(services)
    for run in fillers:
        if run.speed_limit == worker_mod.FULL_SPEED_PERCENT:
            for image in images:
                cell.disturbances.record_calm(_image(run), image)
    slowed = [
        r for r in fillers if r.speed_limit < worker_mod.FULL_SPEED_PERCENT
    ]
    if not slowed or now_ms - worker.sped_up_at_ms < SPEED_UP_INTERVAL_MS:
        return
    if any(
        now_ms - run.speed_limited_at_ms < FEEDBACK_DELAY_MS for run in slowed
    ):
        return
    run = min(slowed, key=lambda run: _disturbance_key(cell, run, images))
    percent = worker_mod.FULL_SPEED_PERCENT
    if services:
        percent = min(percent, run.speed_limit + SPEED_UP_STEP_PERCENT)
    worker.sped_up_at_ms = now_ms
    _order_speed_limit(cell, run, percent, 0.0, now_ms)


def _repeat_order(
    cell: 'cell_mod.Cell', run: worker_mod.Run, now_ms: int
) -> None:
    """Order a pace again that the worker does not show."""
    is_shown = int(run.percent) == run.speed_limit
    if not is_shown and now_ms - run.speed_limited_at_ms >= FEEDBACK_DELAY_MS:
        run.speed_limited_at_ms = now_ms
        cell.speed_limit_orders.append(
            worker_mod.SpeedLimitOrder(run, run.speed_limit)
        )


def _is_stuck(run: worker_mod.Run, now_ms: int) -> bool:
    """Whether a filler has stood for so long that it goes elsewhere."""
    if run.speed_limit > 0 or run.is_stopping:
        return False
    is_saved = run.task.step.spec.is_checkpointing
    most_ms = STUCK_MS if is_saved else STUCK_UNSAVED_MS
    return now_ms - run.paused_since_ms >= most_ms


def _order_speed_limit(
    cell: 'cell_mod.Cell',
    run: worker_mod.Run,
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


def _image(run: worker_mod.Run) -> str:
    return run.task.step.spec.image


def _images(runs: typing.Iterable[worker_mod.Run]) -> set[str]:
    return {_image(run) for run in runs}


def _cpu_share(run: worker_mod.Run) -> float:
    """Return the share of its worker's processors that a filler uses."""
    capacity = run.worker.entry.capacity.cpu_millis
    return run.task.step.spec.size.cpu_millis / max(1, capacity)


def _disturbance_key(
    cell: 'cell_mod.Cell', run: worker_mod.Run, images: typing.Iterable[str]
) -> tuple[float, float]:
    """Return a key that is larger for fillers that disturb more."""
    return cell.disturbances.score(_image(run), images), _cpu_share(run)

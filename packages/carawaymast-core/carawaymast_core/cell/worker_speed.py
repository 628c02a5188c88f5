"""Estimates the speed of each worker from runs that ended as done.

A run is compared with its siblings, the tasks of the same step, once half of
them have ended: they take similar times, while estimates may be wrong by a
factor of several. Until then it is compared with its estimate, and its weight
is lower the less accurate the estimates of its queue are. Durations are
averaged as logarithms, so that twice as long and half as long cancel out.
"""

import enum
import math
import typing

__all__ = ['MovingAverage', 'RunSample', 'SpeedEstimator', 'Tier']

# Bounds on the slowdown, see ``SpeedEstimator.slowdown``. The users' types of
# workers have slowdowns of 0.8, 1 and 1.25; the bounds lie half-way.
FAST_BELOW = 0.9
SLOW_ABOVE = 1.12
# Slower than every type of worker: the worker is faulty.
FAULTY_ABOVE = 2.0
# Standard deviation of the log ratio between the tasks of one step; it is
# 0.15 to 0.3 for the users' steps.
SIBLING_DEVIATION = 0.3
# A run that is compared with its siblings has weight 1. This many runs suffice
# to distinguish speeds that differ by a fifth; later runs replace the oldest.
MAX_WEIGHT = 16.0
# Limits the weight of a previous leader's estimate: it may be out of date.
MAX_RESTORED_WEIGHT = 6.0
# A worker's speed is unknown below this weight.
MIN_WEIGHT = 3.0
# Weight of a prior at typical speed: a few runs alone are little evidence.
PRIOR_WEIGHT = 2.0
# In runs: of the averages for a queue and for lateness.
MAX_QUEUE_WEIGHT = 200
# Ended siblings that a comparison needs, and ended runs of a queue that
# ``is_overdue`` needs.
MIN_SIBLINGS = 3
# A single outlier counts as at most eight times the expected duration.
MAX_LOG_RATIO = math.log(8.0)
# A run is overdue after three times its expected duration. Without siblings
# three standard deviations of its queue, which one of 700 normal runs exceeds,
# must have passed too.
OVERDUE_LOG_RATIO = math.log(3.0)
OVERDUE_DEVIATIONS = 3.0


class Tier(enum.IntEnum):
    """A worker's speed relative to the other workers'."""

    FAST = -1
    TYPICAL = 0
    SLOW = 1
    FAULTY = 2
    UNKNOWN = 3


class MovingAverage:
    """A weighted mean and variance of the latest values.

    Once the weight has reached its maximum, older values lose weight with
    each new one.
    """

    __slots__ = ('mean', 'variance', 'weight')

    def __init__(self) -> None:
        self.mean = 0.0
        self.variance = 0.0
        self.weight = 0.0

    @property
    def deviation(self) -> float:
        """The standard deviation of the values."""
        return math.sqrt(self.variance)

    def add(self, value: float, weight: float, max_weight: float) -> None:
        """Add a value; ``max_weight`` limits the total weight."""
        self.weight = min(self.weight + weight, max_weight)
        share = weight / self.weight
        difference = value - self.mean
        self.mean += share * difference
        self.variance += share * (
            difference * (value - self.mean) - self.variance
        )


class RunSample(typing.NamedTuple):
    """The duration of a run and what it is compared with.

    ``sibling_average`` is the average log ratio of the step's ended tasks,
    ``tasks`` the number of tasks in the step. ``ran_ms`` is how long it has
    run, ``total_ms`` how long it will have run at its end, as its progress
    shows.
    """

    worker_key: tuple[str, int]
    queue_name: str
    sibling_average: MovingAverage
    tasks: int
    estimate_ms: int
    ran_ms: int
    total_ms: int

    @property
    def log_ratio(self) -> float:
        """The logarithm of the duration so far divided by the estimate."""
        return math.log(self.ran_ms / self.estimate_ms)

    @property
    def total_log_ratio(self) -> float:
        """The logarithm of the whole duration divided by the estimate."""
        return math.log(self.total_ms / self.estimate_ms)

    @property
    def is_comparable(self) -> bool:
        """Whether both the duration and the estimate are positive."""
        return self.estimate_ms > 0 and self.ran_ms > 0

    @property
    def has_siblings(self) -> bool:
        """Whether enough of its step's tasks have ended for comparison."""
        return self.sibling_average.weight >= max(MIN_SIBLINGS, self.tasks / 2)


class SpeedEstimator:
    """Estimates the speeds of workers and the errors of queues' estimates.

    Workers are identified by key, queues by name.
    """

    def __init__(self) -> None:
        self._by_worker: dict[tuple[str, int], MovingAverage] = {}
        self._by_queue: dict[str, MovingAverage] = {}
        # By how much a task exceeds the average of the siblings that ended
        # before it: the tasks that end last are those that took longest.
        self._lateness = MovingAverage()

    def add_run(self, run: RunSample) -> None:
        """Add a run that ended as done; ignore it if it is not comparable."""
        if not run.is_comparable:
            return
        worker = self._by_worker.setdefault(run.worker_key, MovingAverage())
        queue = self._by_queue.setdefault(run.queue_name, MovingAverage())
        # The log ratio at a worker of typical speed: otherwise tasks that run
        # on fast workers only would count as shorter than they are.
        typical = run.log_ratio - worker.mean
        if run.has_siblings:
            self._lateness.add(
                typical - run.sibling_average.mean, 1.0, MAX_QUEUE_WEIGHT
            )
            expected, weight = (
                run.sibling_average.mean + self._lateness.mean,
                1.0,
            )
        else:
            expected = queue.mean if queue.weight else typical
            deviation = max(SIBLING_DEVIATION, queue.deviation)
            weight = (SIBLING_DEVIATION / deviation) ** 2
        run.sibling_average.add(typical, 1.0, run.tasks)
        queue.add(typical, 1.0, MAX_QUEUE_WEIGHT)
        worker.add(
            min(run.log_ratio - expected, MAX_LOG_RATIO), weight, MAX_WEIGHT
        )

    def rows(self) -> tuple[tuple[str, int, int, int], ...]:
        """Return the known speeds as rows of a ``records.SpeedRecord``."""
        return tuple(
            (worker_id, born_ms, round(1_000 * a.mean), int(a.weight))
            for (worker_id, born_ms), a in self._by_worker.items()
            if a.weight >= MIN_WEIGHT
        )

    def restore(
        self, rows: typing.Iterable[tuple[str, int, int, int]]
    ) -> None:
        """Restore the estimates of a previous leader from their rows."""
        for worker_id, born_ms, mean_thousandths, weight in rows:
            average = MovingAverage()
            average.mean = mean_thousandths / 1_000
            average.weight = min(float(weight), MAX_RESTORED_WEIGHT)
            self._by_worker[worker_id, born_ms] = average

    def discard(self, worker_key: tuple[str, int]) -> None:
        """Discard the estimate for a worker's incarnation, if there is one."""
        self._by_worker.pop(worker_key, None)

    def is_overdue(self, run: RunSample) -> bool:
        """Return whether a run that has not ended takes far too long.

        Its whole duration counts only beside its siblings': the estimates of
        a queue are off by too much to judge by it.
        """
        if not run.is_comparable:
            return False
        if run.has_siblings:
            expected = run.sibling_average.mean + self._lateness.mean
            return run.total_log_ratio > expected + OVERDUE_LOG_RATIO
        queue = self._by_queue.get(run.queue_name)
        if queue is None or queue.weight < MIN_SIBLINGS:
            return False
        margin = max(OVERDUE_LOG_RATIO, OVERDUE_DEVIATIONS * queue.deviation)
        return run.log_ratio > queue.mean + margin

    def expected_ms(self, run: RunSample) -> float | None:
        """Return the expected duration of a run at its worker, in ms.

        It is computed from the run's siblings; None until half of the step's
        tasks have ended.
        """
        ended = run.sibling_average.weight
        if not run.is_comparable or not ended or 2 * ended < run.tasks:
            return None
        typical_ms = run.estimate_ms * math.exp(run.sibling_average.mean)
        return typical_ms * self.slowdown(run.worker_key)

    def slowdown(self, worker_key: tuple[str, int]) -> float:
        """Return the relative duration of runs at a worker; 1.0 is typical."""
        average = self._by_worker.get(worker_key)
        if average is None:
            return 1.0
        weight = average.weight
        return math.exp(average.mean * weight / (weight + PRIOR_WEIGHT))

    def tier(self, worker_key: tuple[str, int]) -> Tier:
        """Return the tier of a worker's speed, ``UNKNOWN`` with few runs."""
        average = self._by_worker.get(worker_key)
        if average is None or average.weight < MIN_WEIGHT:
            return Tier.UNKNOWN
        slowdown = self.slowdown(worker_key)
        if slowdown > FAULTY_ABOVE:
            return Tier.FAULTY
        if slowdown > SLOW_ABOVE:
            return Tier.SLOW
        return Tier.FAST if slowdown < FAST_BELOW else Tier.TYPICAL

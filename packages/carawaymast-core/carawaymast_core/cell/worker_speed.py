"""How fast each worker runs, learned from runs that ended as done.

A run is compared with its siblings, the tasks of one step, once half of them
have ended: they are alike, while estimates may be off by several times. Until
then it is compared with its estimate, and says less the more the estimates of
its queue are off. Times enter as logarithms, so that twice as long and half
as long cancel.
"""

import enum
import math
import typing

__all__ = ['MovingAverage', 'SpeedEstimator', 'Tier', 'RunSample']

# Steps between the users' kinds of workers are 0.8, 1 and 1.25; the bounds
# lie half-way.
FAST_BELOW = 0.9
SLOW_ABOVE = 1.12
# Beyond every kind of worker: something is wrong with it.
FAULTY_ABOVE = 2.0
# The users' tasks of one step scatter by 0.15 to 0.3.
SIBLING_DEVIATION = 0.3
# One run beside its siblings weighs 1. So many tell speeds apart that differ
# by a fifth; later ones replace the oldest.
MAX_WEIGHT = 16.0
# What a former leader has learned weighs no more: it may be out of date.
MAX_RESTORED_WEIGHT = 6.0
# A worker's speed is unknown below this weight.
MIN_WEIGHT = 3.0
# Few runs say little: as if there had been so many typical ones before.
PRIOR_WEIGHT = 2.0
MAX_QUEUE_WEIGHT = 200
MIN_SIBLINGS = 3
# One run that took very long says no more than eight times as long.
MAX_LOG_RATIO = math.log(8.0)
# A run is overdue after three times its usual time, or three deviations of
# its queue, as one of 700 sound ones is.
OVERDUE_LOG_RATIO = math.log(3.0)
OVERDUE_DEVIATIONS = 3.0


class Tier(enum.IntEnum):
    """A worker's speed beside the others'."""

    FAST = -1
    TYPICAL = 0
    SLOW = 1
    FAULTY = 2
    UNKNOWN = 3


class MovingAverage:
    """A mean of the latest values, each of which ages as others come."""

    __slots__ = ('mean', 'variance', 'weight')

    def __init__(self) -> None:
        self.mean = 0.0
        self.variance = 0.0
        self.weight = 0.0

    @property
    def deviation(self) -> float:
        """The standard deviation of the values."""
        return math.sqrt(self.variance)

    def add(self, value: float, weight: float, most: float) -> None:
        """Take in a value; ``most`` bounds the weight of all together."""
        self.weight = min(self.weight + weight, most)
        share = weight / self.weight
        difference = value - self.mean
        self.mean += share * difference
        self.variance += share * (
            difference * (value - self.mean) - self.variance
        )


class RunSample(typing.NamedTuple):
    """A run of a task: ``siblings`` is the average of its step so far."""

    worker_key: tuple[str, int]
    queue_name: str
    sibling_average: MovingAverage
    tasks: int
    estimate_ms: int
    ran_ms: int

    @property
    def log_ratio(self) -> float:
        """How much longer than estimated it took, as a logarithm."""
        return math.log(self.ran_ms / self.estimate_ms)

    @property
    def is_comparable(self) -> bool:
        """Whether its time and its estimate can be compared."""
        return self.estimate_ms > 0 and self.ran_ms > 0

    @property
    def has_siblings(self) -> bool:
        """Whether enough of its step has ended to compare it with."""
        return self.sibling_average.weight >= max(MIN_SIBLINGS, self.tasks / 2)


class SpeedEstimator:
    """The speed of workers by key and of queues by name."""

    def __init__(self) -> None:
        self._by_worker: dict[tuple[str, int], MovingAverage] = {}
        self._by_queue: dict[str, MovingAverage] = {}
        # How much longer than its siblings so far a task takes on average:
        # those that end last took longest.
        self._lateness = MovingAverage()

    def add_run(self, run: RunSample) -> None:
        """Take in a run from its start to its end as done."""
        if not run.is_comparable:
            return
        worker = self._by_worker.setdefault(run.worker_key, MovingAverage())
        queue = self._by_queue.setdefault(run.queue_name, MovingAverage())
        # Without what is known of the worker, so that work that goes to fast
        # workers only does not count as shorter for it.
        typical = run.log_ratio - worker.mean
        if run.has_siblings:
            self._lateness.add(
                typical - run.sibling_average.mean, 1.0, MAX_QUEUE_WEIGHT
            )
            usual, weight = run.sibling_average.mean + self._lateness.mean, 1.0
        else:
            usual = queue.mean if queue.weight else typical
            off = max(SIBLING_DEVIATION, queue.deviation)
            weight = (SIBLING_DEVIATION / off) ** 2
        run.sibling_average.add(typical, 1.0, run.tasks)
        queue.add(typical, 1.0, MAX_QUEUE_WEIGHT)
        worker.add(
            min(run.log_ratio - usual, MAX_LOG_RATIO), weight, MAX_WEIGHT
        )

    def rows(self) -> tuple[tuple[str, int, int, int], ...]:
        """Return what the next leader needs, see ``records.PaceRecord``."""
        return tuple(
            (worker_id, born_ms, round(1_000 * a.mean), int(a.weight))
            for (worker_id, born_ms), a in self._by_worker.items()
            if a.weight >= MIN_WEIGHT
        )

    def restore(
        self, rows: typing.Iterable[tuple[str, int, int, int]]
    ) -> None:
        """Take over what a former leader has learned."""
        for worker_id, born_ms, mean_thousandths, weight in rows:
            average = MovingAverage()
            average.mean = mean_thousandths / 1_000
            average.weight = min(float(weight), MAX_RESTORED_WEIGHT)
            self._by_worker[worker_id, born_ms] = average

    def discard(self, worker_key: tuple[str, int]) -> None:
        """Forget a worker's life that has ended."""
        self._by_worker.pop(worker_key, None)

    def is_overdue(self, run: RunSample) -> bool:
        """Tell whether a run that has not ended takes far too long."""
        if not run.is_comparable:
            return False
        if run.has_siblings:
            usual = run.sibling_average.mean + self._lateness.mean
            return run.log_ratio > usual + OVERDUE_LOG_RATIO
        queue = self._by_queue.get(run.queue_name)
        if queue is None or queue.weight < MIN_SIBLINGS:
            return False
        most = max(OVERDUE_LOG_RATIO, OVERDUE_DEVIATIONS * queue.deviation)
        return run.log_ratio > queue.mean + most

    def expected_ms(self, run: RunSample) -> float | None:
        """Return how long a run usually takes at its worker, by its siblings.

        None until half of them have ended.
        """
        ended = run.sibling_average.weight
        if not run.is_comparable or not ended or 2 * ended < run.tasks:
            return None
        usual = run.estimate_ms * math.exp(run.sibling_average.mean)
        return usual * self.slowdown(run.worker_key)

    def slowdown(self, worker_key: tuple[str, int]) -> float:
        """Return how long runs take there, where 1.0 is typical."""
        average = self._by_worker.get(worker_key)
        if average is None:
            return 1.0
        weight = average.weight
        return math.exp(average.mean * weight / (weight + PRIOR_WEIGHT))

    def tier(self, worker_key: tuple[str, int]) -> Tier:
        """Return a worker's speed beside the others'."""
        average = self._by_worker.get(worker_key)
        if average is None or average.weight < MIN_WEIGHT:
            return Tier.UNKNOWN
        slowdown = self.slowdown(worker_key)
        if slowdown > FAULTY_ABOVE:
            return Tier.FAULTY
        if slowdown > SLOW_ABOVE:
            return Tier.SLOW
        return Tier.FAST if slowdown < FAST_BELOW else Tier.TYPICAL

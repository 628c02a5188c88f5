"""How fast each worker runs, learned from runs that ended as done.

The time of a run is compared with its estimate. How far estimates of a queue
are off is averaged over all workers; what is left tells a worker's speed.
Averages are of logarithms, so that twice as long and half as long cancel.
"""

import enum
import math

__all__ = ['PaceBook', 'Tier']

# Steps between the users' kinds of workers are 0.8, 1 and 1.25; the bounds
# lie half-way.
FAST_BELOW = 0.9
SLOW_ABOVE = 1.12
# Beyond every kind of worker: something is wrong with it.
FAULTY_ABOVE = 2.0
# Runs that count; later ones replace the oldest. The times of single runs
# scatter by 0.4, so 16 of them tell speeds apart that differ by a fifth.
WORKER_RUNS = 16
QUEUE_RUNS = 200
# A worker's speed is unknown before so many runs.
LEAST_RUNS = 4
# Few runs say little: as if there had been so many typical ones before.
PRIOR_RUNS = 3
# One run that took very long says no more than eight times as long.
MOST_EXCESS = math.log(8.0)


class Tier(enum.IntEnum):
    """A worker's speed beside the others'."""

    FAST = -1
    TYPICAL = 0
    SLOW = 1
    FAULTY = 2
    UNKNOWN = 3


class _Average:
    """A mean of the latest values, each of which ages as others come."""

    __slots__ = ('count', 'mean')

    def __init__(self) -> None:
        self.mean = 0.0
        self.count = 0

    def add(self, value: float, most: int) -> None:
        self.count = min(self.count + 1, most)
        self.mean += (value - self.mean) / self.count


class PaceBook:
    """The speed of workers by key and of queues by name."""

    def __init__(self) -> None:
        self._by_worker: dict[tuple[str, int], _Average] = {}
        self._by_queue: dict[str, _Average] = {}

    def note(
        self,
        worker_key: tuple[str, int],
        queue_name: str,
        estimate_ms: int,
        ran_ms: int,
    ) -> None:
        """Take in a run from its start to its end as done."""
        if estimate_ms <= 0 or ran_ms <= 0:
            return
        value = math.log(ran_ms / estimate_ms)
        queue = self._by_queue.setdefault(queue_name, _Average())
        worker = self._by_worker.setdefault(worker_key, _Average())
        # Without what is known of the worker, so that a queue whose work goes
        # to fast workers only does not count as faster for it.
        queue.add(value - worker.mean, QUEUE_RUNS)
        worker.add(min(value - queue.mean, MOST_EXCESS), WORKER_RUNS)

    def forget(self, worker_key: tuple[str, int]) -> None:
        """Forget a worker's life that has ended."""
        self._by_worker.pop(worker_key, None)

    def usual_ms(self, queue_name: str, estimate_ms: int) -> float:
        """Return how long a run usually takes at a typical worker."""
        queue = self._by_queue.get(queue_name)
        return estimate_ms * (math.exp(queue.mean) if queue else 1.0)

    def factor(self, worker_key: tuple[str, int]) -> float:
        """Return how long runs take there, where 1.0 is typical."""
        return math.exp(self._log_factor(worker_key))

    def tier(self, worker_key: tuple[str, int]) -> Tier:
        """Return a worker's speed beside the others'."""
        average = self._by_worker.get(worker_key)
        if average is None or average.count < LEAST_RUNS:
            return Tier.UNKNOWN
        factor = self.factor(worker_key)
        if factor > FAULTY_ABOVE:
            return Tier.FAULTY
        if factor > SLOW_ABOVE:
            return Tier.SLOW
        return Tier.FAST if factor < FAST_BELOW else Tier.TYPICAL

    def _log_factor(self, worker_key: tuple[str, int]) -> float:
        average = self._by_worker.get(worker_key)
        if average is None:
            return 0.0
        return average.mean * average.count / (average.count + PRIOR_RUNS)

"""How long calls take to be answered, and when an answer counts as lost."""

import collections

__all__ = ['AnswerTimes']

# A call that takes several times as long as nine of ten others has no answer.
# A higher share would count lost answers themselves once a tenth is lost.
QUANTILE = 0.9
TIMEOUT_FACTOR = 4
# Some seconds of calls under load.
MAX_SAMPLES = 256
MIN_SAMPLES = 32


class AnswerTimes:
    """The latest answer times, in ms, of one kind of call.

    ``timeout_ms`` follows them within the bounds given, and is the upper one
    until ``MIN_SAMPLES`` calls were made::

        times = AnswerTimes(100, 400)
        times.add(4)
        times.timeout_ms
    """

    def __init__(self, min_timeout_ms: int, max_timeout_ms: int) -> None:
        self._min_timeout_ms = min_timeout_ms
        self._max_timeout_ms = max_timeout_ms
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._added = 0
        self.timeout_ms = max_timeout_ms

    def add(self, elapsed_ms: float) -> None:
        """Add the time that a call took until its answer or its time-out."""
        self._samples.append(elapsed_ms)
        self._added += 1
        if self._added % MIN_SAMPLES == 0:
            self.timeout_ms = self._find_timeout_ms()

    def _find_timeout_ms(self) -> int:
        ordered = sorted(self._samples)
        usual_ms = ordered[int(QUANTILE * len(ordered))]
        timeout_ms = max(self._min_timeout_ms, TIMEOUT_FACTOR * usual_ms)
        return int(min(self._max_timeout_ms, timeout_ms))

"""Whether a leader's own process is too slow for its work.

The loop of a process that has more to do than processor time runs late. One
late turn means little (a takeover, a pause of the VM); late turns for more
than half a second mean that everything waits for this node.
"""

__all__ = ['LagMeter']

# A turn that comes so late on average delays each start noticeably; a sound
# node's turns come within 10 ms.
SLOW_LAG_MS = 60.0
# Late turns in a row before the node counts as slow: 8 turns of 60 ms or more.
SLOW_AFTER_ITERATIONS = 8
# Weight of the newest turn in the average.
SMOOTHING_FACTOR = 0.3
# One long pause, say of the whole VM, counts no more than this.
MAX_SAMPLE_LAG_MS = 200.0


class LagMeter:
    """How late the turns of a loop come."""

    def __init__(self) -> None:
        self.average_ms = 0.0
        self._slow_iterations = 0

    @property
    def is_slow(self) -> bool:
        """Whether turns have been late for some time."""
        return self._slow_iterations >= SLOW_AFTER_ITERATIONS

    def record_lag(self, lag_ms: float) -> None:
        """Note how many ms later than planned a turn came."""
        newest = min(max(0.0, lag_ms), MAX_SAMPLE_LAG_MS)
        self.average_ms += SMOOTHING_FACTOR * (newest - self.average_ms)
        is_slow = self.average_ms > SLOW_LAG_MS
        self._slow_iterations = self._slow_iterations + 1 if is_slow else 0

    def reset(self) -> None:
        """Begin anew, after the work has been given away."""
        self.average_ms = 0.0
        self._slow_iterations = 0

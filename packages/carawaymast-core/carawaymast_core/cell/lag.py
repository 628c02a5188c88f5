"""Detects that a leader's own process is too slow for its work.

The event loop of a process that lacks processor time runs late. One late
iteration means little (a takeover, a pause of the VM); late iterations for
more than half a second mean that all of the cell's work is delayed.
"""

__all__ = ['LagMeter']

# An average lag above this delays each start noticeably; the iterations of a
# healthy node start within 10 ms.
SLOW_LAG_MS = 60.0
# Consecutive late iterations after which the node counts as slow: 8 of 60 ms
# or more take about half a second.
SLOW_AFTER_ITERATIONS = 8
# Weight of the newest iteration in the average.
SMOOTHING_FACTOR = 0.3
# A single long pause, such as one of the whole VM, counts as this at most.
MAX_SAMPLE_LAG_MS = 200.0


class LagMeter:
    """A moving average of how late the iterations of a loop start."""

    def __init__(self) -> None:
        self.average_ms = 0.0
        self._slow_iterations = 0

    @property
    def is_slow(self) -> bool:
        """Whether iterations have been late for some time."""
        return self._slow_iterations >= SLOW_AFTER_ITERATIONS

    def record_lag(self, lag_ms: float) -> None:
        """Record how many ms later than planned an iteration started."""
        newest = min(max(0.0, lag_ms), MAX_SAMPLE_LAG_MS)
        self.average_ms += SMOOTHING_FACTOR * (newest - self.average_ms)
        is_slow = self.average_ms > SLOW_LAG_MS
        self._slow_iterations = self._slow_iterations + 1 if is_slow else 0

    def reset(self) -> None:
        """Start from zero, after the work has been handed over."""
        self.average_ms = 0.0
        self._slow_iterations = 0

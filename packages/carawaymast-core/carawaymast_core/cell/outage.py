"""How long the store has been away, and when callers should come back."""

import math
import random

__all__ = ['Outage']

MIN_RETRY_AFTER_S = 1
# Callers give up after a few tries; the users' longest outages last 10 s.
MAX_RETRY_AFTER_S = 5
# Returns spread over so much of the time, or all came back at once.
RETRY_SPREAD = 0.5


class Outage:
    """Answers and failures of the store, as one node sees them::

    outage.note_failure(clock.now())
    outage.retry_after_s(clock.now())
    """

    def __init__(self) -> None:
        self._answered_at_ms: int | None = None
        self._began_at_ms: int | None = None

    def record_answer(self, now_ms: int) -> None:
        """Note that the store has answered a call sent just before."""
        self._answered_at_ms = now_ms
        self._began_at_ms = None

    def record_failure(self, now_ms: int) -> None:
        """Note a call without an answer, or with an error."""
        if self._began_at_ms is None:
            self._began_at_ms = now_ms

    @property
    def is_active(self) -> bool:
        """Whether the store has failed since its last answer."""
        return self._began_at_ms is not None

    def is_healthy(self, now_ms: int, max_age_ms: int) -> bool:
        """Whether the store answered lately and has not failed since."""
        return (
            self._began_at_ms is None
            and self._answered_at_ms is not None
            and now_ms - self._answered_at_ms < max_age_ms
        )

    def retry_after_s(self, now_ms: int) -> int:
        """Return when a caller should come back.

        An outage that has lasted for some time is likely to last for about
        as long again, so few tries outlast a long one.
        """
        age_ms = 0 if self._began_at_ms is None else now_ms - self._began_at_ms
        spread = 1 + random.uniform(0, RETRY_SPREAD)
        seconds = math.ceil(age_ms * spread / 1_000)
        return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, seconds))

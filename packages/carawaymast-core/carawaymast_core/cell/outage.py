"""Tracks outages of the store and computes when callers should retry."""

import math
import random

__all__ = ['Outage']

MIN_RETRY_AFTER_S = 1
# Callers give up after a few attempts; the users' longest outages last 10 s.
MAX_RETRY_AFTER_S = 5
# Random extra delay, as a share of the outage's age: without it all callers
# would retry at the same time.
RETRY_SPREAD = 0.5
# Of a caller that is refused, in the time that it still has.
MIN_TRIES_LEFT = 3
# Shorter outages count as a store that is late: records wait for it.
KNOWN_AFTER_MS = 1_000


class Outage:
    """The store's availability as observed by one node.

    Example::

        outage.record_failure(clock.now())
        outage.retry_after_s(clock.now())
    """

    def __init__(self) -> None:
        self._answered_at_ms: int | None = None
        self._began_at_ms: int | None = None

    def record_answer(self, now_ms: int) -> None:
        """Record that the store has answered a call that was just sent."""
        self._answered_at_ms = now_ms
        self._began_at_ms = None

    def record_failure(self, now_ms: int) -> None:
        """Record a call that got no answer or an error."""
        if self._began_at_ms is None:
            self._began_at_ms = now_ms

    @property
    def is_active(self) -> bool:
        """Whether the store has failed since its last answer."""
        return self._began_at_ms is not None

    def is_healthy(self, now_ms: int, max_age_ms: int) -> bool:
        """Whether the store answered recently and has not failed since.

        An answer is recent if it is less than ``max_age_ms`` old.
        """
        return (
            self._began_at_ms is None
            and self._answered_at_ms is not None
            and now_ms - self._answered_at_ms < max_age_ms
        )

    def age_ms(self, now_ms: int) -> int:
        """Return how long the outage has lasted, 0 if there is none."""
        return 0 if self._began_at_ms is None else now_ms - self._began_at_ms

    def wait_ms(
        self, now_ms: int, usual_ms: float, time_left_ms: float
    ) -> float:
        """Return how long a record should wait to be sent, in ms.

        It waits ``usual_ms``, within the time that its caller has. Once an
        outage is known, the caller is refused at once.
        """
        if self.age_ms(now_ms) >= KNOWN_AFTER_MS:
            return 0.0
        return max(0.0, min(usual_ms, time_left_ms))

    def retry_after_s(
        self, now_ms: int, time_left_ms: float = math.inf
    ) -> int:
        """Return after how many seconds a caller should retry.

        The delay grows with the age of the outage: one that has lasted for
        some time is likely to last for about as long again. So a caller that
        retries only a few times still outlasts a long outage. It is shorter
        if the caller waits only ``time_left_ms``: it should come back a few
        times, since the sooner after the outage the better.
        """
        spread = 1 + random.uniform(0, RETRY_SPREAD)
        seconds = math.ceil(self.age_ms(now_ms) * spread / 1_000)
        most = min(
            float(MAX_RETRY_AFTER_S), time_left_ms / MIN_TRIES_LEFT // 1_000
        )
        return int(max(MIN_RETRY_AFTER_S, min(most, seconds)))

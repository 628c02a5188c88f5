"""Backoff with jitter, and a budget that limits retries.

Retries are limited to a tenth of the first attempts, so that an outage does
not cause a retry storm.
"""

import random
import typing

__all__ = ['RetryBudget', 'backoff_ms']

BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0


def backoff_ms(
    attempt: int,
    base_ms: int,
    max_ms: int,
    draw: typing.Callable[[], float] = random.random,
) -> int:
    """Return the delay in ms before retry number ``attempt`` (from 0).

    The bound is ``base_ms``, doubled with each retry up to ``max_ms``. The
    delay is uniformly distributed between half the bound and the bound;
    ``draw`` returns random numbers from 0 to 1.
    """
    bound_ms = min(max_ms, base_ms * 2 ** min(attempt, 16))
    return max(1, int(bound_ms * (0.5 + 0.5 * draw())))


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    It starts full, with ``BUDGET_BURST`` tokens. A first attempt deposits
    ``BUDGET_RATIO`` of a token; a retry withdraws one.
    """

    def __init__(self) -> None:
        self._tokens = BUDGET_BURST

    def deposit(self) -> None:
        """Add the part of a token for a first attempt."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_RATIO)

    def withdraw(self) -> bool:
        """Remove the token for a retry and return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

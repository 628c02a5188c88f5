"""Backoff with jitter and a budget that bounds retries.

Retries are at most a tenth of the traffic, so that an outage is not followed
by a storm of them.
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
    """Return how long to wait before retry number ``attempt`` (from 0).

    The wait is drawn evenly between half of a doubling bound and the bound.
    """
    bound_ms = min(max_ms, base_ms * 2 ** min(attempt, 16))
    return max(1, int(bound_ms * (0.5 + 0.5 * draw())))


class RetryBudget:
    """Tokens that first attempts earn and retries spend."""

    def __init__(self) -> None:
        self._tokens = BUDGET_BURST

    def deposit(self) -> None:
        """Note a first attempt."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_RATIO)

    def withdraw(self) -> bool:
        """Take the token for one retry; tell whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

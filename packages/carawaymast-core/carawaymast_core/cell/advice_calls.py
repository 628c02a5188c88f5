"""Shares the calls for advice among the steps that wait for one.

Each node makes one call at a time, so with few nodes calls are scarcer than
workers. Steps mostly have their calls in the order in which they start. Two
kinds of exceptions keep that order from leaving a step without one for good.
"""

import itertools
import typing

from carawaymast_core.cell import advice as advice_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = ['AdviceCalls', 'is_overdue']

# Successive calls for steps that had some before, while steps that had none
# wait for a call.
MAX_RENEWALS_IN_ROW = 3
# A step that has waited for longer for a call has it before others, in every
# second call.
MAX_WAIT_MS = 1_500


def is_overdue(step: 'jobs.StepState', now_ms: int) -> bool:
    """Return whether a step has waited for long without any decision."""
    return (
        not step.advice.is_known
        and now_ms - step.advice.called_at_ms >= MAX_WAIT_MS
    )


class AdviceCalls:
    """Which steps have had the last calls, and how many calls can be made.

    ``nodes`` is how many nodes may make long calls at a time, 0 if it is not
    known, and ``max_workers`` how many workers a call may name.
    """

    def __init__(self) -> None:
        self.nodes = 0
        self.max_workers = 0
        self._renewals_in_row = 0
        self._is_turn_of_oldest = False

    def record(self, step: 'jobs.StepState') -> None:
        """Record a call for a step."""
        if step.advice.is_known:
            self._renewals_in_row += 1
        else:
            self._renewals_in_row = 0
        self._is_turn_of_oldest = not self._is_turn_of_oldest

    def in_turn(
        self, ordered: typing.Iterable['jobs.StepState'], now_ms: int
    ) -> typing.Iterable['jobs.StepState']:
        """Return steps, given in the order of their starts, as their turn is.

        After ``MAX_RENEWALS_IN_ROW`` calls for steps that had decisions
        before, those without any come first: steps that wait for long, whose
        tickets expire again and again, must not take all calls. Before each
        second call the step that has waited longest comes first, if it has
        waited for ``MAX_WAIT_MS``: steps that are late already would wait for
        as long as others come.
        """
        if self._renewals_in_row >= MAX_RENEWALS_IN_ROW:
            ordered = sorted(ordered, key=lambda s: s.advice.is_known)
        if not self._is_turn_of_oldest:
            return ordered
        steps = list(ordered)
        oldest = min(
            (s for s in steps if not s.advice.is_call_pending),
            key=lambda s: s.advice.called_at_ms,
            default=None,
        )
        if (
            oldest is None
            or now_ms - oldest.advice.called_at_ms < MAX_WAIT_MS
            or oldest.advice.is_satisfied(now_ms)
        ):
            return steps
        others = (step for step in steps if step is not oldest)
        return itertools.chain([oldest], others)

    def wait_ms(
        self, steps: typing.Iterable['jobs.StepState'], workers: int
    ) -> float:
        """Return how long a new step waits until ``steps`` had a first call.

        ``workers`` is how many workers there are. 0 if no calls are made.
        """
        if not self.nodes:
            return 0.0
        total_ms = 0.0
        for step in steps:
            if not step.advice.is_known:
                policy = step.job.submission.queue.advice
                total_ms += advice_mod.call_ms(
                    policy, min(workers, self.max_workers)
                )
        return total_ms / self.nodes

"""Admission control: refuses new jobs that the backlog would make useless.

A job that would end later than three times its objective is worth nothing to
its caller. It is refused at once, with the time after which a retry is likely
to end within the objective, so that the caller can plan.
"""

import math
import random
import typing

from carawaymast_core import resources
from carawaymast_core.cell import advice_calls
from carawaymast_core.cell import backlog as backlog_mod
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_claims
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import waiting as waiting_mod

__all__ = ['Admission', 'Refusal', 'check_admission']

# In bench.placement, first fit leaves a tenth of the capacity idle.
USABLE_CAPACITY_SHARE = 0.9
# A worker that is large enough may be restarting, or have shrunk for a while.
LARGE_WORKER_RETRY_MS = 3_000
# The platform calls a job lost that stands still for longer beside idle
# workers.
MAX_ADVICE_WAIT_MS = 3_000
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
# Retries are spread over this share of the predicted wait; without it, all
# callers retried at once.
RETRY_SPREAD = 0.5


class Refusal(typing.NamedTuple):
    """Why a job is refused.

    ``wait_ms`` is the predicted wait until its start. It and
    ``retry_after_s`` are 0 if the job can never run.
    """

    reason: str
    wait_ms: int
    retry_after_s: int


class Admission:
    """What admission goes by, as of the last plan.

    ``largest_by_service`` is as in ``Fleet``; ``largest_seen_by_service`` is
    the same over all fleets that this leader has had.
    """

    def __init__(
        self,
        waiting: waiting_mod.WaitingSteps,
        fleet: fleet_mod.Fleet,
        largest_seen_by_service: dict[str, resources.Resources],
        reserved_ids: typing.Container[str],
        calls: advice_calls.AdviceCalls,
    ):
        self._waiting = waiting
        self._fleet = fleet
        self._calls = calls
        self._advice_wait_ms_by_queue: dict[tuple[str, int], float] = {}
        self.backlog = backlog_mod.Backlog(waiting, fleet)
        self.claims = free_claims.FreeClaims(fleet, reserved_ids)
        self.largest_by_service = fleet.largest_by_service
        self.largest_seen_by_service = largest_seen_by_service

    def advice_wait_ms(self, queue: spec_mod.QueuePolicy) -> float:
        """Return how long a new step of a queue waits for a call for advice.

        Calls for steps of a lower rank come after it. 0 if it needs none.
        """
        if queue.advice is None:
            return 0.0
        key = queue.service, queue.rank
        found = self._advice_wait_ms_by_queue.get(key)
        if found is None:
            steps = self._waiting.in_order(
                lambda need: (
                    need.is_ticketed
                    and need.kind.service == queue.service
                    and need.rank <= queue.rank
                )
            )
            workers = len(self._fleet.workers(queue.service, ''))
            found = self._calls.wait_ms(steps, workers)
            self._advice_wait_ms_by_queue[key] = found
        return found


def check_admission(
    submission: spec_mod.Submission, state: Admission
) -> Refusal | None:
    """Return why a job is to be refused, or None to admit it.

    A job is refused if one of its tasks needs more than any worker has, for
    good only if none ever had it, or if its predicted start is too late to be
    useful and it does not fit now. Services and jobs with occurrences are not
    refused for a late start.
    """
    queue = submission.queue
    steps = submission.spec.steps
    largest = state.largest_by_service.get(queue.service)
    if largest is not None:
        for number, step in enumerate(steps):
            if not step.size.fits_in(largest):
                reason = f'step {number} needs {step.size}, workers have'
                seen = state.largest_seen_by_service[queue.service]
                is_possible = step.size.fits_in(seen)
                retry_ms = LARGE_WORKER_RETRY_MS if is_possible else 0
                return Refusal(
                    f'{reason} at most {largest}',
                    retry_ms,
                    _retry_after_s(retry_ms) if is_possible else 0,
                )
    if submission.spec.occurrences or any(s.is_service for s in steps):
        return None
    advice_wait_ms = state.advice_wait_ms(queue)
    if advice_wait_ms > MAX_ADVICE_WAIT_MS:
        return Refusal(
            f'calls for advice take {int(advice_wait_ms)} ms, at most '
            f'{MAX_ADVICE_WAIT_MS} ms are allowed',
            int(advice_wait_ms),
            _retry_after_s(advice_wait_ms),
        )
    path_ms = spec_mod.critical_path_ms(steps)
    objective_ms = spec_mod.objective_ms(queue, steps)
    wait_ms = (
        state.backlog.wait_ms(queue.service, queue.rank, steps)
        / USABLE_CAPACITY_SHARE
    )
    max_wait_ms = spec_mod.WORTHLESS_AFTER_OBJECTIVES * objective_ms - path_ms
    if wait_ms <= max_wait_ms or state.claims.claim(submission):
        return None
    excess_wait_ms = wait_ms - max(0.0, objective_ms - path_ms)
    return Refusal(
        f'a start is predicted in {int(wait_ms)} ms, useful only '
        f'within {int(max_wait_ms)} ms',
        int(wait_ms),
        _retry_after_s(excess_wait_ms),
    )


def _retry_after_s(ms: float) -> int:
    spread = 1 + random.uniform(0, RETRY_SPREAD)
    seconds = math.ceil(ms * spread / 1_000)
    return max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, seconds))

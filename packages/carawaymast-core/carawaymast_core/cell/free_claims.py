"""Tells whether a new job fits on the workers as the last plan left them.

What waits did not fit then, so such a job starts with the next plan, however
much work waits. Jobs that were admitted for this reason since the plan have
claims on the free capacity.
"""

import typing

from carawaymast_core import resources
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker_speed

__all__ = ['FreeClaims']


class FreeClaims:
    """The free capacity after a plan, less what was claimed since."""

    def __init__(
        self,
        fleet: fleet_mod.Fleet,
        reserved_ids: typing.Container[str] = frozenset(),
    ):
        self._fleet = fleet
        self._reserved_ids = reserved_ids
        self._claim_by_id: dict[str, resources.Resources] = {}

    def claim(self, submission: spec_mod.Submission) -> bool:
        """Claim capacity for all tasks of a job; return False if it lacks.

        Each step is looked at by itself: steps that follow each other may use
        the same capacity. For steps that run at the same time this is less
        than they need together.
        """
        claims = [
            self._find(step, submission.queue)
            for step in submission.spec.steps
        ]
        if None in claims:
            return False
        largest_by_id: dict[str, resources.Resources] = {}
        for claim in claims:
            for worker_id, size in claim.items():
                other = largest_by_id.get(worker_id, size)
                largest_by_id[worker_id] = other.raised_to(size)
        for worker_id, size in largest_by_id.items():
            claimed = self._claim_by_id.get(worker_id, resources.ZERO)
            self._claim_by_id[worker_id] = claimed.plus(size)
        return True

    def _find(
        self, step: spec_mod.Step, queue: spec_mod.QueuePolicy
    ) -> dict[str, resources.Resources] | None:
        """Return a claim for each worker that a step would use, or None."""
        if step.is_filler:
            # These depend on what the services beside them do.
            return None
        is_urgent = queue.rank == 0
        headroom = 0.0 if is_urgent else free_capacity.URGENT_HEADROOM_SHARE
        found: dict[str, resources.Resources] = {}
        missing = step.count
        for worker in self._fleet.with_free_capacity(
            queue.service, step.size, worker_speed.Tier, headroom
        ):
            label = step.required_label
            if label and label not in worker.entry.labels:
                continue
            if not is_urgent and worker.worker_id in self._reserved_ids:
                continue
            claimed = self._claim_by_id.get(worker.worker_id, resources.ZERO)
            count = free_capacity.fit_count(
                step.size,
                worker.entry.capacity,
                worker.free.minus(claimed),
                headroom,
            )
            count = min(count, missing, step.max_per_worker or missing)
            if count <= 0:
                continue
            found[worker.worker_id] = _times(step.size, count)
            missing -= count
            if not missing:
                return found
        return None


def _times(size: resources.Resources, count: int) -> resources.Resources:
    return resources.Resources(*(count * amount for amount in size))

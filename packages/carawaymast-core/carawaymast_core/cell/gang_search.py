"""Tells, within a limited time, which gangs fit on the workers now.

Each gang takes a look at all workers that have free capacity for one of its
tasks. If very many gangs wait that fit nowhere, those that a plan has no time
for come first in one of the next plans.
"""

import heapq
import typing

from carawaymast_core.cell import cursor as cursor_mod
from carawaymast_core.cell import eligibility
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import largest_free
from carawaymast_core.cell import needs
from carawaymast_core.cell import tiers
from carawaymast_core.cell import waiting as waiting_mod

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['MAX_RESERVATION_REQUESTS', 'GangSearch', 'cursors']

# Workers that a plan looks at for gangs in their order, and then for the
# groups that were examined least recently.
MAX_LOOKS_IN_ORDER = 15_000
MAX_LOOKS_IN_TURN = 5_000
# Gangs, the first in the order, that may ask for a reservation in one plan.
MAX_RESERVATION_REQUESTS = 500
# In the index of the fleet, as many workers are passed over in the time of one
# look.
PASSED_PER_LOOK = 10


def cursors(
    waiting: waiting_mod.WaitingSteps,
    fleet: fleet_mod.Fleet,
    largest: typing.Callable[[needs.Kind], largest_free.LargestFree],
) -> typing.Iterator[cursor_mod.Cursor]:
    """Yield the groups of gangs that may fit or reserve workers.

    ``largest`` returns the largest free amounts on workers of a kind.
    """
    full = []
    for kind, groups in waiting.gang_groups_by_kind.items():
        if not fleet.has_workers(kind.service, kind.label):
            continue
        amounts = largest(kind)
        for group in groups.values():
            if amounts.has_members(group.need):
                yield cursor_mod.Cursor(group)
            else:
                full.append(group)
    for group in heapq.nsmallest(
        MAX_RESERVATION_REQUESTS, full, key=lambda g: g.positions[0]
    ):
        cursor = cursor_mod.Cursor(group)
        cursor.is_full = True
        yield cursor


class GangSearch:
    """The search for gangs that fit, in one plan."""

    def __init__(self, fleet: fleet_mod.Fleet, now_ms: int):
        self._fleet = fleet
        self._now_ms = now_ms
        self._looks_left = MAX_LOOKS_IN_ORDER
        self._postponed: list[waiting_mod.Group] = []

    @property
    def is_exhausted(self) -> bool:
        """Whether there is no time left for further groups."""
        return self._looks_left <= 0

    def postpone(self, group: waiting_mod.Group) -> None:
        """Leave a group for which there is no time to ``take_postponed``."""
        self._postponed.append(group)

    def take_postponed(self) -> list[waiting_mod.Group]:
        """Return the groups left out, the longest unexamined first.

        There is a little more time for these.
        """
        postponed = sorted(self._postponed, key=lambda g: g.examined_at_ms)
        self._postponed.clear()
        self._looks_left = MAX_LOOKS_IN_TURN
        return postponed

    def may_fit(
        self,
        step: 'jobs.StepState',
        group: waiting_mod.Group,
        workers: typing.Sequence['worker_mod.Worker'] | None,
        excluded_ids: typing.Container[str],
    ) -> bool:
        """Return whether a gang fits if it may use the headroom.

        ``workers`` are those with free capacity for one of its tasks, if they
        are known. False if members of its previous run are still being
        stopped.
        """
        group.examined_at_ms = self._now_ms
        if len(step.waiting()) < len(step.tasks):
            return False
        queue, size = step.job.submission.queue, step.spec.allocated_size
        limit = step.spec.max_per_worker or step.spec.count
        missing = step.spec.count
        found: typing.Iterable[worker_mod.Worker]
        if workers is not None:
            found = workers
            self._looks_left -= 1
        else:
            found = self._fleet.with_free_capacity(
                queue.service, size, tiers.preferred(step)
            )
            total = len(self._fleet.workers(queue.service, ''))
            self._looks_left -= 1 + total // PASSED_PER_LOOK
        for worker in found:
            self._looks_left -= 1
            if (
                worker.worker_id in excluded_ids
                or not eligibility.is_eligible(step, worker)
                or step.advice is not None
                and step.advice.ticket(worker.worker_id, self._now_ms) is None
            ):
                continue
            capacity = worker.entry.capacity
            missing -= min(
                limit,
                free_capacity.fit_count(size, capacity, worker.free, 0.0),
            )
            if missing <= 0:
                return True
        return False

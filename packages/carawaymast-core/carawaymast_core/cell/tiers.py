"""The order in which workers of different speeds are chosen for a step."""

import typing
import zlib

from carawaymast_core.cell import free_capacity
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['preferred', 'urgent_sort_key']

# Tiers of workers for urgent and for other tasks, the best first. Unknown
# speeds are measured with work that may wait, and with one urgent step in
# ``EXPLORING_ONE_IN``.
URGENT_TIERS = (
    worker_speed.Tier.FAST,
    worker_speed.Tier.TYPICAL,
    worker_speed.Tier.UNKNOWN,
    worker_speed.Tier.SLOW,
    worker_speed.Tier.FAULTY,
)
EXPLORING_TIERS = (
    worker_speed.Tier.UNKNOWN,
    worker_speed.Tier.FAST,
    worker_speed.Tier.TYPICAL,
    worker_speed.Tier.SLOW,
    worker_speed.Tier.FAULTY,
)
EXPLORING_ONE_IN = 8
NON_URGENT_TIERS = (
    worker_speed.Tier.UNKNOWN,
    worker_speed.Tier.SLOW,
    worker_speed.Tier.TYPICAL,
    worker_speed.Tier.FAST,
    worker_speed.Tier.FAULTY,
)


def preferred(step: 'jobs.StepState') -> tuple[worker_speed.Tier, ...]:
    """Return the tiers of workers for a step, the best first."""
    if step.job.submission.queue.rank > 0:
        return NON_URGENT_TIERS
    is_exploring = zlib.crc32(step.name.encode()) % EXPLORING_ONE_IN == 0
    return EXPLORING_TIERS if is_exploring else URGENT_TIERS


def urgent_sort_key(worker: 'worker_mod.Worker') -> tuple[bool, int]:
    """Return a worker's sort key for the advice calls of urgent steps.

    Fast ones come first, but those with little free capacity last.
    """
    is_full = worker.free_share < free_capacity.URGENT_HEADROOM_SHARE
    return is_full, URGENT_TIERS.index(worker.tier)

"""Groups waiting steps that need the same of the workers.

If a step of a group does not fit, no other does, unless tickets, a spread
limit or earlier crashes keep it from some of the workers.
"""

import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = ['Kind', 'Need', 'need_of']


class Kind(typing.NamedTuple):
    """What a worker must have to be of use for a step, whatever its size.

    ``label`` is '' for workers with any labels. Urgent steps may use the
    headroom that all others leave free.
    """

    service: str
    label: str
    is_urgent: bool
    is_filler: bool
    accelerators: int


class Need(typing.NamedTuple):
    """What a step needs to start: at least one task, all of a gang.

    ``gang_count`` is 0 if it is no gang, ``max_per_worker`` 0 if any number of
    its tasks may be on one worker.
    """

    kind: Kind
    rank: int
    cpu_millis: int
    memory_mb: int
    gang_count: int
    max_per_worker: int
    is_ticketed: bool

    @property
    def is_individual(self) -> bool:
        """Whether steps with this need may be kept from different workers."""
        return self.is_ticketed or (
            self.max_per_worker > 0 and not self.gang_count
        )


def need_of(step: 'jobs.StepState') -> Need:
    """Return what a step needs to start."""
    spec, queue = step.spec, step.job.submission.queue
    kind = Kind(
        queue.service,
        spec.required_label,
        queue.rank == 0,
        spec.is_filler,
        spec.size.accelerators,
    )
    return Need(
        kind,
        queue.rank,
        spec.size.cpu_millis,
        spec.size.memory_mb,
        spec.count if spec.is_gang else 0,
        spec.max_per_worker,
        step.advice is not None,
    )

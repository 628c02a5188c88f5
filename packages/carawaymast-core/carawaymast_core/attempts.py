"""Records of attempts at tasks: reservations and running tasks."""

import enum
import typing

from carawaymast_core import jobs
from carawaymast_core import resources

__all__ = [
    'AttemptStatus',
    'Claimant',
    'Reservation',
    'RunningTask',
    'WorkerUsage',
]


class AttemptStatus(enum.StrEnum):
    """The state of an attempt at the owner of its worker.

    ``NEVER`` is final: the attempt did not start and is refused from then on.
    """

    RESERVED = 'reserved'
    STARTING = 'starting'
    RUNNING = 'running'
    ENDED = 'ended'
    NEVER = 'never'


class Claimant(typing.NamedTuple):
    """The job that requests capacity; the older of two jobs goes first."""

    accepted_at_ms: int
    job_id: str


class Reservation(typing.NamedTuple):
    """Capacity of a worker that is reserved for one attempt.

    ``is_pending`` is true while running tasks still use part of the reserved
    capacity. ``token`` is unique to the reservation, so that a delayed start
    cannot use a later reservation that another coordinator made for the same
    attempt.
    """

    ref: jobs.TaskRef
    worker_id: str
    kind: str
    size: resources.Resources
    claimant: Claimant
    expires_at_ms: int
    is_pending: bool
    token: int


class RunningTask(typing.NamedTuple):
    """A task that runs or is starting on a worker."""

    ref: jobs.TaskRef
    kind: str
    size: resources.Resources
    status: AttemptStatus
    started_at_ms: int


class WorkerUsage(typing.NamedTuple):
    """The free capacity of a worker and the tasks that run on it."""

    worker_id: str
    free: resources.Resources
    tasks: tuple[RunningTask, ...]

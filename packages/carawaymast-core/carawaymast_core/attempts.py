"""What an owner knows of attempts at tasks: reserved, running, ended."""

import enum
import typing

from carawaymast_core import jobs
from carawaymast_core import resources

__all__ = [
    'AttemptStatus',
    'Claimant',
    'Reservation',
    'WorkerUsage',
    'RunningTask',
]


class AttemptStatus(enum.StrEnum):
    """What the owner of a worker knows about an attempt."""

    RESERVED = 'reserved'
    STARTING = 'starting'
    RUNNING = 'running'
    ENDED = 'ended'
    NEVER = 'never'


class Claimant(typing.NamedTuple):
    """Who asks for room; an older claimant goes before a younger one."""

    accepted_at_ms: int
    job_id: str


class Reservation(typing.NamedTuple):
    """Room on a worker kept for one attempt.

    ``is_pending`` marks a hold whose room has not drained yet. ``token``
    tells the reservation from any other of the same attempt, so that a start
    that was delayed cannot use one made since for somebody else.
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
    """A task that a worker runs or is being asked to run."""

    ref: jobs.TaskRef
    kind: str
    size: resources.Resources
    status: AttemptStatus
    started_at_ms: int


class WorkerUsage(typing.NamedTuple):
    """What is free on a worker, and the tasks that run there."""

    worker_id: str
    free: resources.Resources
    tasks: tuple[RunningTask, ...]

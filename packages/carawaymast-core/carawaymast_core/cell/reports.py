"""What workers say: of themselves, of their runs and of orders."""

import enum
import typing

from carawaymast_core import resources

__all__ = [
    'EndedRun',
    'EndKind',
    'LeaseRenewal',
    'ListedRun',
    'StartOutcome',
    'StartRefusal',
    'WorkerEntry',
]


class EndKind(enum.StrEnum):
    """How a run ended, or why it is certain that it never ran."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The worker's lease ended, or the worker's life did.
    LAPSED = 'lapsed'
    # Another member of its gang ended.
    BROKEN = 'broken'
    # It waited in vain for the other members of its gang.
    ALONE = 'alone'
    # A list of the worker, later than every order, does not have it.
    ABSENT = 'absent'
    # The worker refused the start.
    REFUSED = 'refused'
    # It was placed, but its start was never sent.
    WITHDRAWN = 'withdrawn'


class StartRefusal(enum.StrEnum):
    """Why a worker refused a start."""

    # The worker obeys a leader with a higher epoch.
    FENCED = 'fenced'
    # It has seen this run, or a later one, end.
    STALE_RUN = 'stale-run'
    # The start's deadline had passed.
    LATE = 'late'
    NO_ROOM = 'no-room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'


class StartOutcome(typing.NamedTuple):
    """A worker's answer to a start; ``refusal`` is None if it runs.

    If ``is_known`` is false there was no answer, and it may run or not;
    ``detail`` says more for people.
    """

    is_known: bool
    refusal: StartRefusal | None = None
    detail: str = ''

    @property
    def is_running(self) -> bool:
        """Whether the run is certainly there."""
        return self.is_known and self.refusal is None


class ListedRun(typing.NamedTuple):
    """A run that a worker says is running.

    ``percent`` is how much of its pace it has now; ``use`` is a rough figure
    of the last half second: the tail of a service's response times in ms, of
    other tasks the processor time in thousandths of a core.
    """

    task: str
    run_id: int
    checkpoint: str
    percent: float
    use: float = 0.0


class EndedRun(typing.NamedTuple):
    """A run that a worker says has ended; ``number`` rises in a life."""

    number: int
    task: str
    run_id: int
    how: EndKind
    checkpoint: str


class LeaseRenewal(typing.NamedTuple):
    """A worker's answer to the renewal of its lease."""

    clock_ms: int
    born_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]


class WorkerEntry(typing.NamedTuple):
    """What a worker says of itself in the platform's list."""

    worker_id: str
    address: str
    born_ms: int
    service: str
    domain: str
    is_draining: bool
    capacity: resources.Resources
    labels: tuple[str, ...]
    clock_ms: int
    remaining_ms: int | None

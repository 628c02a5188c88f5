"""Types of what workers report: their entries, runs and answers to orders."""

import enum
import typing

from carawaymast_core import resources

__all__ = [
    'EndKind',
    'EndedRun',
    'LeaseRenewal',
    'ListedRun',
    'StartOutcome',
    'StartRefusal',
    'WorkerEntry',
]


class EndKind(enum.StrEnum):
    """How a run ended, or why it certainly does not run."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The worker's lease expired.
    LAPSED = 'lapsed'
    # The worker's incarnation ended, and it was not about to leave.
    CRASHED = 'crashed'
    # The worker's incarnation ended after it was told to leave.
    LEFT = 'left'
    # Another member of its gang ended.
    BROKEN = 'broken'
    # The other members of its gang did not start in time.
    ALONE = 'alone'
    # The worker did not list it in an answer sent after the last order.
    ABSENT = 'absent'
    # The worker refused the start.
    REFUSED = 'refused'
    # It was placed, but its start was never sent.
    WITHDRAWN = 'withdrawn'


class StartRefusal(enum.StrEnum):
    """Why a worker refused a start."""

    # The worker has accepted a leader with a higher epoch.
    FENCED = 'fenced'
    # This run of the task, or a later one, has already ended there.
    STALE_RUN = 'stale-run'
    # The start's deadline had passed.
    LATE = 'late'
    NO_ROOM = 'no-room'
    # The worker did not accept the ticket.
    TICKET = 'ticket'
    # For any other reason.
    UNHEALTHY = 'unhealthy'


class StartOutcome(typing.NamedTuple):
    """A worker's answer to a start order.

    ``is_known`` is false if there was no answer: the run may or may not have
    started. ``refusal`` is None unless the worker refused the start.
    ``detail`` is a further explanation for the log.
    """

    is_known: bool
    refusal: StartRefusal | None = None
    detail: str = ''

    @property
    def is_running(self) -> bool:
        """Whether the worker has confirmed that the run started."""
        return self.is_known and self.refusal is None


class ListedRun(typing.NamedTuple):
    """A run that a worker lists as running.

    ``percent`` is how much of the task is done. For a service it is 100 once
    the task is at work, and for fillers it is taken for their present speed
    in percent of full speed. ``use`` is an approximate measurement over the
    last half second: the tail latency in ms for a service, the processor time
    in thousandths of a core for any other task.
    """

    task: str
    run_id: int
    checkpoint: str
    percent: float
    use: float = 0.0


class EndedRun(typing.NamedTuple):
    """A run that a worker reports as ended.

    ``number`` increases with each end in one incarnation of the worker.
    """

    number: int
    task: str
    run_id: int
    how: EndKind
    checkpoint: str


class LeaseRenewal(typing.NamedTuple):
    """A worker's answer to a lease renewal: its clock and both its lists.

    ``clock_ms`` is the worker's steady clock; ``born_ms`` identifies its
    incarnation. ``ended`` has the ends in the order of their numbers. If
    ``is_complete`` is false, more of them follow once these are acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    is_complete: bool = True


class WorkerEntry(typing.NamedTuple):
    """A worker's entry in the platform's list of workers.

    ``born_ms`` identifies the worker's incarnation and increases with each.
    ``service`` is the pool of workers that it belongs to; unlike services in
    the sense of ``Step.is_service``. The second of ``labels`` is its rack.
    ``remaining_ms`` is the time until a draining worker leaves, None if it is
    not known.
    """

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

"""A worker as the leader of its cell sees it: lease, clock, room and runs."""

import enum
import typing

from carawaymast_core import errors
from carawaymast_core import resources
from carawaymast_core.cell import pace

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = [
    'End',
    'EndKind',
    'HoldAnswer',
    'Listed',
    'Run',
    'RunState',
    'StartOutcome',
    'StartRefusal',
    'StopOrder',
    'Worker',
    'WorkerEntry',
]

# The platform's contract: a worker's steady clock may be 2% slow.
CLOCK_RATE_MIN = 0.98


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


class Listed(typing.NamedTuple):
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


class End(typing.NamedTuple):
    """A run that a worker says has ended; ``number`` rises in a life."""

    number: int
    task: str
    run_id: int
    how: EndKind
    checkpoint: str


class HoldAnswer(typing.NamedTuple):
    """A worker's answer to the renewal of its lease."""

    clock_ms: int
    born_ms: int
    running: tuple[Listed, ...]
    ended: tuple[End, ...]


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


class RunState(enum.Enum):
    """How much is known of a run."""

    PLACED = 'placed'  # written or about to be, not yet ordered
    ORDERED = 'ordered'  # the start was sent, its answer is not known
    RUNNING = 'running'  # the worker said so


class Run:
    """One run of a task that may be at a worker."""

    __slots__ = (
        'began_at_ms',
        'is_stopping',
        'known_at_ms',
        'placed_at_ms',
        'run_id',
        'state',
        'stop_answered_at_ms',
        'stop_reason',
        'task',
        'ticket',
        'worker',
    )

    def __init__(
        self, task: 'jobs.Task', run_id: int, worker: 'Worker', now_ms: int
    ):
        self.task = task
        self.run_id = run_id
        self.worker = worker
        self.ticket = ''
        self.state = RunState.PLACED
        self.placed_at_ms = now_ms
        # When its start was answered, unless it went on from a checkpoint or
        # was started by a former leader.
        self.began_at_ms: int | None = None
        # A hold that was sent later than this shows whether the run is there.
        self.known_at_ms: int | None = None
        self.is_stopping = False
        self.stop_reason = ''
        self.stop_answered_at_ms: int | None = None


class StopOrder(typing.NamedTuple):
    """A run that a worker shall stop."""

    worker: 'Worker'
    task_name: str
    run_id: int
    run: Run | None


class Worker:
    """One life of a worker."""

    def __init__(self, entry: WorkerEntry):
        self._entry = entry
        self.worker_id = entry.worker_id
        self.born_ms = entry.born_ms
        self.key = (entry.worker_id, entry.born_ms)
        self.run_by_task: dict[str, Run] = {}
        self._used = resources.ZERO
        self._foreign = resources.ZERO
        # The room that no run may be using, and its share of the scarcer
        # resource. Plans read both for each worker and waiting step.
        self.free = entry.capacity
        self.free_share = 1.0
        self.is_adopted = False
        self.is_gone = False
        self.is_listed = True
        # A call was not answered; cleared by the next answer to a hold.
        self.is_doubtful = False
        self.ack_number = 0
        self.seen_number = 0
        self.last_answer_at_ms = 0
        self._clock_ms = 0
        self._clock_read_at_ms = 0
        self._deadline_ms = 0
        self.write_off_at_ms: int | None = None
        self.suspect_until_ms = 0
        self.tier = pace.Tier.UNKNOWN
        self.failures_in_row = 0

    @property
    def entry(self) -> WorkerEntry:
        """What the worker last said of itself."""
        return self._entry

    @entry.setter
    def entry(self, entry: WorkerEntry) -> None:
        self._entry = entry
        self._recount()

    @property
    def foreign(self) -> resources.Resources:
        """The room of listed runs that this leader did not place here.

        They are being stopped and count until they are listed no more.
        """
        return self._foreign

    @foreign.setter
    def foreign(self, foreign: resources.Resources) -> None:
        if foreign != self._foreign:
            self._foreign = foreign
            self._recount()

    @property
    def rack(self) -> str:
        """The label of the worker's rack, '' if it has none."""
        labels = self.entry.labels
        return labels[1] if len(labels) > 1 else ''

    def is_usable(self, now_ms: int) -> bool:
        """Whether new runs may be placed here."""
        return (
            self.is_adopted
            and self.is_listed
            and not self.is_gone
            and not self.is_doubtful
            and not self.entry.is_draining
            and now_ms >= self.suspect_until_ms
        )

    def add(self, run: Run) -> None:
        """Count the room of a run.

        Raises ``InvariantError`` if another run of the task is here.
        """
        name = run.task.name
        errors.check(
            name not in self.run_by_task, f'{name} is twice at {self.key}'
        )
        self.run_by_task[name] = run
        if not run.task.step.spec.is_filler:
            self._used = self._used.plus(run.task.step.spec.size)
            self._recount()

    def remove(self, run: Run) -> None:
        """Give the room of a run back."""
        del self.run_by_task[run.task.name]
        if not run.task.step.spec.is_filler:
            self._used = self._used.minus(run.task.step.spec.size)
            self._recount()

    def _recount(self) -> None:
        capacity = self._entry.capacity
        free = self.free = capacity.minus(self._used).minus(self._foreign)
        self.free_share = min(
            free.cpu_millis / max(1, capacity.cpu_millis),
            free.memory_mb / max(1, capacity.memory_mb),
        )

    def note_clock(self, clock_ms: int, now_ms: int) -> None:
        """Note an answer that says what the worker's clock reads."""
        if clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_at_ms = now_ms
        self.last_answer_at_ms = now_ms

    def next_deadline(self, now_ms: int, lease_ms: int) -> int:
        """Return the lease's end on the worker's clock for a call sent now.

        It never falls, and it is remembered, since the call may take effect.
        """
        at_most = self._clock_ms + now_ms - self._clock_read_at_ms
        self._deadline_ms = max(self._deadline_ms, at_most + lease_ms)
        return self._deadline_ms

    def assume_lease(self, lease_ms: int) -> None:
        """Assume that a former leader renewed the lease just now.

        It cannot renew it later: the worker has seen the new epoch.
        """
        self._deadline_ms = max(self._deadline_ms, self._clock_ms + lease_ms)

    def has_lapsed(self, now_ms: int) -> bool:
        """Whether the worker's lease must have ended, whatever it does."""
        if self.write_off_at_ms is not None:
            return now_ms >= self.write_off_at_ms
        passed_ms = (now_ms - self._clock_read_at_ms) * CLOCK_RATE_MIN
        return self._clock_ms + passed_ms > self._deadline_ms

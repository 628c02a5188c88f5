"""A worker as the leader of its cell sees it: lease, clock, room and runs."""

import enum
import typing

from carawaymast_core import errors
from carawaymast_core import resources
from carawaymast_core.cell import reports
from carawaymast_core.cell import worker_speed

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs

__all__ = [
    'FULL_SPEED_PERCENT',
    'SpeedLimitOrder',
    'Run',
    'RunState',
    'StopOrder',
    'Worker',
]

# The platform's contract: a worker's steady clock may be 2% slow.
MIN_CLOCK_RATE = 0.98
# In percent.
FULL_SPEED_PERCENT = 100


class RunState(enum.Enum):
    """How much is known of a run."""

    PLACED = 'placed'  # written or about to be, not yet ordered
    ORDERED = 'ordered'  # the start was sent, its answer is not known
    RUNNING = 'running'  # the worker said so


class Run:
    """One run of a task that may be at a worker."""

    __slots__ = (
        'began_at_ms',
        'is_missing',
        'is_stop_sent',
        'is_stopping',
        'known_at_ms',
        'speed_limit',
        'speed_limited_at_ms',
        'percent',
        'placed_at_ms',
        'run_id',
        'state',
        'paused_since_ms',
        'stop_answered_at_ms',
        'stop_reason',
        'task',
        'ticket',
        'unanswered_at_ms',
        'use',
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
        # Whether a stop was ever sent: without an answer it may take effect.
        self.is_stop_sent = False
        # When its start remained without an answer, and whether the worker
        # has not listed it since.
        self.unanswered_at_ms = 0
        self.is_missing = False
        # As the worker last listed it, see ``reports.Listed``.
        self.percent = 0.0
        self.use = 0.0
        # The share of its pace that was ordered last, and when.
        self.speed_limit = FULL_SPEED_PERCENT
        self.speed_limited_at_ms = 0
        # Since when a filler has had no pace at all.
        self.paused_since_ms = 0

    @property
    def is_unconfirmed(self) -> bool:
        """Whether the worker's next list has to show if it is there."""
        return self.unanswered_at_ms > 0 and not self.is_missing

    @property
    def is_at_full_speed(self) -> bool:
        """Whether the worker lists it at its full pace."""
        return (
            self.state is RunState.RUNNING
            and self.percent >= FULL_SPEED_PERCENT
        )


class StopOrder(typing.NamedTuple):
    """A run that a worker shall stop."""

    worker: 'Worker'
    task_name: str
    run_id: int
    run: Run | None


class SpeedLimitOrder(typing.NamedTuple):
    """A run that shall go on at a share of its pace, in percent."""

    run: Run
    percent: int


class Worker:
    """One life of a worker."""

    def __init__(self, entry: reports.WorkerEntry):
        self._entry = entry
        self.worker_id = entry.worker_id
        self.born_ms = entry.born_ms
        self.key = (entry.worker_id, entry.born_ms)
        self.run_by_task: dict[str, Run] = {}
        self._used = resources.ZERO
        self._untracked_size = resources.ZERO
        # The room that no run may be using, and its share of the scarcer
        # resource. Plans read both for each worker and waiting step.
        self.free = entry.capacity
        self.free_share = 1.0
        self.is_adopted = False
        self.is_gone = False
        self.is_listed = True
        # A call was not answered; cleared by the next answer to a hold.
        self.is_unresponsive = False
        self.ack_number = 0
        self.seen_number = 0
        self.last_answer_at_ms = 0
        self._clock_ms = 0
        self._clock_read_at_ms = 0
        self._deadline_ms = 0
        self.assumed_lost_at_ms: int | None = None
        self.suspect_until_ms = 0
        self.tier = worker_speed.Tier.UNKNOWN
        # When a filler here was last sped up, and until when none comes.
        self.sped_up_at_ms = 0
        self.no_fillers_until_ms = 0
        self.consecutive_failures = 0

    @property
    def entry(self) -> reports.WorkerEntry:
        """What the worker last said of itself."""
        return self._entry

    @entry.setter
    def entry(self, entry: reports.WorkerEntry) -> None:
        self._entry = entry
        self._update_free()

    @property
    def untracked_size(self) -> resources.Resources:
        """The room of listed runs that this leader did not place here.

        They are being stopped and count until they are listed no more.
        """
        return self._untracked_size

    @untracked_size.setter
    def untracked_size(self, untracked_size: resources.Resources) -> None:
        if untracked_size != self._untracked_size:
            self._untracked_size = untracked_size
            self._update_free()

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
            and not self.is_unresponsive
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
        self._used = self._used.plus(run.task.step.spec.allocated_size)
        self._update_free()

    def remove(self, run: Run) -> None:
        """Give the room of a run back."""
        del self.run_by_task[run.task.name]
        self._used = self._used.minus(run.task.step.spec.allocated_size)
        self._update_free()

    def _update_free(self) -> None:
        capacity = self._entry.capacity
        free = self.free = capacity.minus(self._used).minus(
            self._untracked_size
        )
        self.free_share = min(
            free.cpu_millis / max(1, capacity.cpu_millis),
            free.memory_mb / max(1, capacity.memory_mb),
        )

    def record_clock(self, clock_ms: int, now_ms: int) -> None:
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
        if self.assumed_lost_at_ms is not None:
            return now_ms >= self.assumed_lost_at_ms
        passed_ms = (now_ms - self._clock_read_at_ms) * MIN_CLOCK_RATE
        return self._clock_ms + passed_ms > self._deadline_ms

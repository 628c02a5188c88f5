"""A cell leader's state of one run of a task."""

import enum
import typing

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import jobs
    from carawaymast_core.cell import worker as worker_mod

__all__ = ['FULL_SPEED_PERCENT', 'Run', 'RunState']

FULL_SPEED_PERCENT = 100


class RunState(enum.Enum):
    """What the leader has confirmed of a run."""

    PLACED = 'placed'  # chosen; its record is stored, or will be soon
    ORDERED = 'ordered'  # its start is sent, but not confirmed
    RUNNING = 'running'  # confirmed by the worker


class Run:
    """A run of a task that may be on a worker."""

    __slots__ = (
        'began_at_ms',
        'is_crash_counted',
        'is_held',
        'is_listed',
        'is_missing',
        'is_start_lost',
        'is_stop_sent',
        'is_stopping',
        'is_under_way',
        'known_at_ms',
        'late_until_ms',
        'lease_ms',
        'paused_since_ms',
        'percent',
        'placed_at_ms',
        'progressed_at_ms',
        'run_id',
        'speed_limit',
        'speed_limited_at_ms',
        'starts',
        'state',
        'stop_answered_at_ms',
        'stored_lease_ms',
        'stop_reason',
        'task',
        'ticket',
        'ticket_at_ms',
        'unanswered_at_ms',
        'use',
        'worker',
    )

    def __init__(
        self,
        task: 'jobs.Task',
        run_id: int,
        worker: 'worker_mod.Worker',
        now_ms: int,
    ):
        self.task = task
        self.run_id = run_id
        self.worker = worker
        self.ticket = ''
        # When its ticket was received, so that it was issued before.
        self.ticket_at_ms = 0
        self.state = RunState.PLACED
        self.placed_at_ms = now_ms
        # When its start was confirmed; None if it continued from a checkpoint
        # or was started by a previous leader.
        self.began_at_ms: int | None = None
        # A lease renewal that was sent later than this shows whether the run
        # is on the worker.
        self.known_at_ms: int | None = None
        self.is_stopping = False
        self.stop_reason = ''
        self.stop_answered_at_ms: int | None = None
        # Whether a stop was ever sent: even if it was not answered, it may
        # take effect.
        self.is_stop_sent = False
        # Whether its worker crashed, and it may still start at the worker's
        # next incarnation.
        self.is_crash_counted = False
        # Whether its start was not answered and no list has shown it since.
        self.is_start_lost = False
        # How many starts of it were sent, until when one without an answer
        # may be carried out, and whether the run is kept only for that, see
        # ``late_starts``.
        self.starts = 1
        self.late_until_ms = 0
        self.is_held = False
        # Whether this incarnation of its worker has listed it, or its end.
        self.is_listed = False
        # See ``records.RunRecord``.
        self.lease_ms = 0
        # What the record has in its place while this one is 0.
        self.stored_lease_ms = 0
        # Whether a start is sent, or about to be, and has no outcome yet.
        self.is_under_way = False
        # When the call for its start failed without an answer, and whether
        # the worker has not listed the run since.
        self.unanswered_at_ms = 0
        self.is_missing = False
        # When a list of the worker first showed its present ``percent``.
        self.progressed_at_ms: int | None = None
        # As the worker last listed it, see ``reports.ListedRun``.
        self.percent = 0.0
        self.use = 0.0
        # The last ordered limit in percent of full speed, and when it was
        # ordered.
        self.speed_limit = FULL_SPEED_PERCENT
        self.speed_limited_at_ms = 0
        # When a filler's speed limit was last set to 0.
        self.paused_since_ms = 0

    @property
    def is_unconfirmed(self) -> bool:
        """Whether only the worker's next list can show if the run started."""
        return self.unanswered_at_ms > 0 and not self.is_missing

    @property
    def is_at_full_speed(self) -> bool:
        """Whether the worker lists the run at full speed."""
        return (
            self.state is RunState.RUNNING
            and self.percent >= FULL_SPEED_PERCENT
        )

"""The interfaces that a node needs from the platform it runs on.

An adapter package implements them; no other package uses the platform's names.
Times are whole milliseconds.
"""

import enum
import typing

from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker as worker_mod

__all__ = [
    'Advice',
    'AdviceError',
    'Advise',
    'Appended',
    'CallerAnswer',
    'CellSettings',
    'ConflictError',
    'Declarations',
    'FencedError',
    'Ingress',
    'KeyValue',
    'WorkerListChange',
    'NewestAnswer',
    'Platform',
    'Queue',
    'ReadAnswer',
    'Replies',
    'SequenceError',
    'StoreError',
    'StoreLink',
    'StoreReply',
    'StorePort',
    'StoreSend',
    'StoredItem',
    'StoreOutcome',
    'TrimmedError',
    'WorkerError',
    'WorkerFencedError',
    'WorkerPort',
    'WorkerRestartedError',
    'Writer',
]


class StoreOutcome(enum.Enum):
    """Whether the leader has stored a job."""

    YES = 'yes'
    # Certainly not, and it will not.
    NO = 'no'
    # It may have stored the job, or may still do so.
    UNKNOWN = 'unknown'


class StoreError(Exception):
    """A call to the store failed; ``is_unknown`` if it may take effect."""

    def __init__(self, detail: str, is_unknown: bool):
        super().__init__(detail)
        self.is_unknown = is_unknown


class ConflictError(Exception):
    """The partition does not end where a conditional append expects."""

    def __init__(self, end_offset: int):
        super().__init__(f'the partition ends at {end_offset}')
        self.end_offset = end_offset


class FencedError(Exception):
    """A writer with a higher epoch has written to the partition."""


class SequenceError(Exception):
    """A writer's sequence number does not follow its previous one."""

    def __init__(self, expected: int):
        super().__init__(f'the expected sequence number is {expected}')
        self.expected = expected


class TrimmedError(Exception):
    """The requested records are gone; ``first_offset`` is the oldest."""

    def __init__(self, first_offset: int):
        super().__init__(f'the first offset is {first_offset}')
        self.first_offset = first_offset


class WorkerError(Exception):
    """A call to a worker had no usable answer; it may take effect."""


class WorkerRestartedError(WorkerError):
    """The addressed incarnation has ended; another one answered."""


class WorkerFencedError(WorkerError):
    """The worker has seen a higher fencing token."""


class AdviceError(Exception):
    """The advice service gave no answer."""


class KeyValue(typing.NamedTuple):
    """A record to append; an empty value deletes the key."""

    key: str
    value: bytes


class StoredItem(typing.NamedTuple):
    """A record of a topic at its offset."""

    offset: int
    key: str
    value: bytes


class Writer(typing.NamedTuple):
    """The writer and sequence number of an append.

    A writer's append fences all of its appends with a lower epoch. A repeated
    append is detected by its sequence number.
    """

    name: str
    epoch: int
    sequence: int


class Appended(typing.NamedTuple):
    """Where records were stored.

    ``offset`` is that of the first record; ``end_offset`` follows the last.
    """

    offset: int
    end_offset: int


class ReadAnswer(typing.NamedTuple):
    """Records from an offset on.

    The next read starts at ``next_offset``; the partition ends at
    ``end_offset``.
    """

    items: list[StoredItem]
    next_offset: int
    end_offset: int


class NewestAnswer(typing.NamedTuple):
    """The newest record of each key; later ones start at ``end_offset``."""

    items: list[StoredItem]
    end_offset: int


class StoreReply(typing.NamedTuple):
    """The store's answer to a call.

    ``may_have_run`` is true if an earlier try of the call had no answer: even
    if the store refuses this one, the call may have taken effect.
    """

    status: int
    body: bytes
    may_have_run: bool = False

    def after_tries(self, is_unknown: bool) -> 'StoreReply':
        """Return the reply as that of a call after other tries.

        ``is_unknown`` is whether one of them may have taken effect.
        """
        return self._replace(may_have_run=self.may_have_run or is_unknown)


# Sends (method, target, body, timeout in ms) to the store. Raises
# ``StoreError``.
StoreSend = typing.Callable[
    [str, str, bytes, float], typing.Awaitable[StoreReply]
]


class StoreLink(typing.NamedTuple):
    """A node's own connections to the store.

    ``send`` uses a pool of connections; ``send_anew`` opens one for the call.
    ``drop_connections`` keeps further calls from using those open now.
    """

    send: StoreSend
    send_anew: StoreSend
    drop_connections: typing.Callable[[], None]


class StorePort(typing.Protocol):
    """The store of keyed topics."""

    async def append(
        self,
        topic: str,
        part: int,
        items: typing.Sequence[KeyValue],
        at: int | None = None,
        writer: Writer | None = None,
    ) -> Appended:
        """Append all records or none.

        With ``at``, append only if the partition ends there, else raise
        ``ConflictError``. With ``writer``, append only if no higher epoch has
        written, else raise ``FencedError``, and append only once however often
        the call is repeated; raise ``SequenceError`` if its number is not the
        expected one. Raises ``StoreError``.
        """

    async def read(
        self,
        topic: str,
        part: int,
        start: int,
        wait_ms: int,
        timeout_ms: int | None = None,
    ) -> ReadAnswer:
        """Return the records from offset ``start`` on.

        The store waits for a record for up to ``wait_ms``. An answer that
        takes longer than ``timeout_ms``, by default what a slow store needs,
        counts as none. Raises ``TrimmedError`` or ``StoreError``.
        """

    async def newest(self, topic: str, part: int) -> NewestAnswer:
        """Return the newest record of each key; raises ``StoreError``."""


class WorkerPort(typing.Protocol):
    """The calls to workers, without an answer after ``timeout_ms``."""

    async def renew_lease(
        self,
        worker: worker_mod.Worker,
        fencing_token: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> reports.LeaseRenewal:
        """Renew a lease and return the worker's lists of runs.

        Without ``deadline_ms``, only return the lists. The worker waits for a
        run to end for up to ``wait_ms``, and the time-out begins afterwards.
        Raises ``WorkerError``.
        """

    async def start(
        self,
        run: run_mod.Run,
        fencing_token: int,
        deadline_ms: int,
        timeout_ms: int,
    ) -> reports.StartOutcome:
        """Start a run; a lost answer is an outcome, not an error."""

    async def stop(
        self,
        order: worker_mod.StopOrder,
        fencing_token: int,
        timeout_ms: int,
    ) -> bool:
        """Stop a run; return whether the worker answered."""

    async def limit_speed(
        self,
        order: worker_mod.SpeedLimitOrder,
        fencing_token: int,
        timeout_ms: int,
    ) -> bool:
        """Limit a run's speed; return whether the worker answered."""


class Advice(typing.NamedTuple):
    """The workers that a step may use, with their tickets."""

    ticket_by_worker: dict[str, str]
    valid_ms: int


# Requests advice with (step name, worker ids). Raises ``AdviceError``.
Advise = typing.Callable[[str, typing.Sequence[str]], typing.Awaitable[Advice]]


class Queue(typing.NamedTuple):
    """A queue, and the host and path prefix where callers reach it."""

    host: str
    prefix: str
    policy: spec_mod.QueuePolicy


class Declarations(typing.NamedTuple):
    """One version of the configuration that operators declare.

    ``offset`` is that of its record.
    """

    version: int
    queues: tuple[Queue, ...]
    offset: int = 0


class WorkerListChange(typing.NamedTuple):
    """A worker's new entry, or None if it is no longer listed."""

    worker_id: str
    entry: reports.WorkerEntry | None


class CallerAnswer(typing.NamedTuple):
    """Status, body and seconds until a retry makes sense, 0 for no retry."""

    status: int
    body: typing.Any
    retry_after_s: int = 0


class Replies(typing.NamedTuple):
    """The answers to callers.

    ``accepted`` is for a job that is stored. ``job`` and ``cancelled`` take
    the job's phase before the call, None if the job is unknown; ``queue``
    takes the number of jobs of which no task has started.
    """

    accepted: CallerAnswer
    job: typing.Callable[[records.JobPhase | None], CallerAnswer]
    cancelled: typing.Callable[[records.JobPhase | None], CallerAnswer]
    queue: typing.Callable[[int], CallerAnswer]


class Ingress(typing.NamedTuple):
    """Decoders of bodies from callers and operators.

    ``decode_job`` raises ``SchedulerError`` for a body that cannot be read,
    the others ``ValueError``. ``decode_declarations`` returns None for a
    record that holds no configuration.
    """

    decode_job: typing.Callable[[bytes], spec_mod.JobSpec]
    decode_declarations: typing.Callable[[StoredItem], Declarations | None]
    decode_worker: typing.Callable[[StoredItem], WorkerListChange]
    deadline_header: str


class CellSettings(typing.NamedTuple):
    """The settings of a node.

    ``domain`` is the node's failure domain. ``speed`` is the processor time
    that the VM gets, in multiples of one of the platform's usual cores. A
    configuration must be in force ``declarations_apply_ms`` after its
    acknowledgement. Callers may ask for a job until ``keep_ended_ms`` after
    its end. One call for advice may name up to ``max_advised_workers``.
    ``grace_ms`` is the time from SIGTERM to SIGKILL.
    """

    node_id: str
    host: str
    domain: str
    speed: float
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    ready_path: str
    peer_port: int
    metrics_port: int
    metrics_path: str
    declarations_topic: str
    declarations_apply_ms: int
    workers_topic: str
    max_lease_ms: int
    max_advised_workers: int
    drain_ms: int
    keep_ended_ms: int
    grace_ms: int
    max_connections: int


class Platform(typing.NamedTuple):
    """Everything that an adapter provides to the node.

    ``make_store`` returns a store that uses the function that it is given.
    ``advise`` is None if the platform has no advice service.
    """

    settings: CellSettings
    store_link: StoreLink
    make_store: typing.Callable[[StoreSend], StorePort]
    workers: WorkerPort
    advise: Advise | None
    ingress: Ingress
    replies: Replies

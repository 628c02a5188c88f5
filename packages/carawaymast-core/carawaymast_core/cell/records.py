"""Defines and encodes the records that a cell keeps in the platform's store.

An intake record holds a submission, under the job's id, or a request to
cancel the job. A state record holds all that the leader has decided about one
job, or a submission that the leader accepted itself.
"""

import enum
import typing
import zlib

import msgspec

from carawaymast_core import decoding
from carawaymast_core.cell import spec as spec_mod

__all__ = [
    'CANCEL_SUFFIX',
    'CrashRecord',
    'Heartbeat',
    'JobPhase',
    'JobRecord',
    'LeaderRecord',
    'NO_CRASHES',
    'RunRecord',
    'SPEEDS_KEY',
    'SUBMISSION_SUFFIX',
    'SpeedRecord',
    'TaskRecord',
    'UNREACHED_KEY',
    'UnreachedRecord',
    'check_encoded',
    'decode',
    'decode_cancel',
    'encode',
    'encode_cancel',
]

# Smaller records gain little: a job of three tasks has 105 bytes, or 97
# compressed; one of 25 tasks has 751, or 388 compressed.
MIN_COMPRESSED_BYTES = 256
# The fastest; the slowest makes records a twentieth smaller.
COMPRESSION_LEVEL = 1
# Uncompressed: 40 times the largest record that the platform stores.
MAX_RECORD_BYTES = 10_000_000
MAX_TIME_DIGITS = 16
# No msgpack array begins with this byte.
ZLIB_FIRST_BYTE = b'\x78'
# First bytes of msgpack arrays of up to 15 fields, as all records are.
ARRAY_FIRST_BYTES = tuple(bytes([0x90 + size]) for size in range(1, 16))

# Follows the job's id in the key of a request to cancel.
CANCEL_SUFFIX = '/cancel'
# Key of the state record with the workers' speeds; no job has this id.
SPEEDS_KEY = 'paces'
# Key of the state record of a leader that has released the leadership.
UNREACHED_KEY = 'unreached'
# Follows the job's id in the key of a submission that the leader stored with
# the job's state.
SUBMISSION_SUFFIX = '/job'


class JobPhase(enum.StrEnum):
    """The phases of a job that callers can see."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELED = 'canceled'

    @property
    def is_final(self) -> bool:
        """Whether the phase never changes again."""
        return self in (
            JobPhase.COMPLETED,
            JobPhase.FAILED,
            JobPhase.CANCELED,
        )


class RunRecord(typing.NamedTuple):
    """A run of a task that may be on a worker.

    ``born_ms`` identifies the worker's incarnation. ``address`` is where
    another one may answer after the worker is no longer listed. ``lease_ms``
    is 0 while a further incarnation may begin the run by a start that is
    carried out late. Once this one has listed the run after its only start, or
    has confirmed itself after the ticket came, it is the longest lease, on the
    worker's clock, that calls up to now may leave at this incarnation.
    """

    run_id: int
    worker_id: str
    born_ms: int
    address: str = ''
    lease_ms: int = 0


class CrashRecord(typing.NamedTuple):
    """The workers that were lost while a task was on them.

    ``crashed_at`` holds the addresses of those that have certainly crashed,
    one for each crash. ``unconfirmed`` counts those of them where the task may
    have ended before or never have started: its start was not answered, or
    its lease had expired. ``lost`` counts workers of which only the lease is
    known to have expired. ``shortest_ms`` and ``longest_ms`` are how long runs
    of the task had been placed when their workers crashed.
    """

    crashed_at: tuple[str, ...] = ()
    unconfirmed: int = 0
    lost: int = 0
    shortest_ms: int = 0
    longest_ms: int = 0


NO_CRASHES = CrashRecord()


class TaskRecord(typing.NamedTuple):
    """A task: its last run id, its failures, and where it may run.

    ``crashes`` is None if no worker was lost under it.
    """

    is_done: bool
    last_run_id: int
    failures: int
    checkpoint: str
    runs: tuple[RunRecord, ...]
    crashes: CrashRecord | None = None


class JobRecord(typing.NamedTuple):
    """A job's state, with ``tasks`` by occurrence, step and index."""

    phase: JobPhase
    cause: str
    has_started: bool
    changed_at_ms: int
    tasks: tuple[tuple[tuple[TaskRecord, ...], ...], ...]

    @property
    def is_over(self) -> bool:
        """Whether the job has ended and no run of it is left."""
        return self.phase.is_final and not self.tasks


class SpeedRecord(typing.NamedTuple):
    """The estimated speeds of the workers, for the next leader.

    Each row holds a worker's id, the start of its incarnation in ms, its mean
    log ratio times 1,000 and the weight of that mean, see ``worker_speed``.
    """

    rows: tuple[tuple[str, int, int, int], ...]


class UnreachedRecord(typing.NamedTuple):
    """The workers with runs that a leader had not reached when it stopped.

    It has renewed no lease of them. ``epoch`` is its own: only the leader
    that follows it directly may count on the record. Each row holds a
    worker's id, the start of its incarnation in ms, and after how many ms its
    lease has expired.
    """

    epoch: int
    rows: tuple[tuple[str, int, int], ...]


class LeaderRecord(typing.NamedTuple):
    """A claim on a cell's leadership, its renewal or its release.

    ``epoch`` is -1 in a claim: the claim's offset is its epoch. ``boot_id``
    identifies the node's process.
    """

    node_id: str
    boot_id: str
    epoch: int
    is_released: bool


class Heartbeat(typing.NamedTuple):
    """A leader's message to one of its successors; it is not stored.

    ``rank`` is the order in which the successors claim, 0 for the first.
    """

    epoch: int
    rank: int


class MemberRecord(typing.NamedTuple):
    """The address of a node for other nodes, and its speed.

    ``speed`` is its processor time in cores of the platform. ``boot_id``
    identifies the node's process.
    """

    node_id: str
    host: str
    port: int
    domain: str
    boot_id: str
    speed: float = 1.0


RECORD_TYPES = (
    spec_mod.Submission,
    JobRecord,
    SpeedRecord,
    UnreachedRecord,
    LeaderRecord,
    Heartbeat,
    MemberRecord,
)
_encoder = msgspec.msgpack.Encoder()
_decoder_by_type = {
    kind: msgspec.msgpack.Decoder(kind) for kind in RECORD_TYPES
}


def encode_cancel(wall_ms: int) -> bytes:
    """Return the encoded request to cancel a job at a time of day in ms."""
    return str(wall_ms).encode()


def decode_cancel(raw: bytes) -> int:
    """Return when a job was cancelled, in ms since 1970.

    Raises ``ValueError`` if ``raw`` holds no time.
    """
    if len(raw) > MAX_TIME_DIGITS or not raw.isdigit():
        raise ValueError(
            f'raw is {raw[:20]!r}, allowed: 1 to {MAX_TIME_DIGITS} digits'
        )
    return int(raw)


def encode(record: typing.Any) -> bytes:
    """Return the encoded record, compressed if it is large.

    All nodes read what the leader writes, some over links of 5 Mbit/s. The
    rows of a job's tasks are similar, so they compress well.
    """
    raw = _encoder.encode(record)
    if len(raw) < MIN_COMPRESSED_BYTES:
        return raw
    return zlib.compress(raw, COMPRESSION_LEVEL)


def check_encoded(raw: bytes) -> None:
    """Raise ``ValueError`` unless ``raw`` begins like an encoded record."""
    if raw[:1] != ZLIB_FIRST_BYTE and raw[:1] not in ARRAY_FIRST_BYTES:
        raise ValueError(
            f'raw begins with {raw[:8]!r}, not with zlib data or an array '
            'of 1 to 15 fields'
        )


def decode(kind: type, raw: bytes) -> typing.Any:
    """Return the record of type ``kind`` that ``raw`` holds.

    Raises ``ValueError`` if ``raw`` cannot be read as that type.
    """
    try:
        if raw[:1] == ZLIB_FIRST_BYTE:
            raw = decoding.decompress(raw, MAX_RECORD_BYTES)
        return decoding.decode(_decoder_by_type[kind], raw)
    except ValueError as error:
        raise ValueError(f'{kind.__name__}: {error}') from None

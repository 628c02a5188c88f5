"""What a cell keeps in the platform's store, and its encoding.

An intake record holds a submission, under the job's id, or the wish to
cancel it. A state record holds all that the leader decided about one job, or
a submission that the leader took in itself.
"""

import enum
import typing
import zlib

import msgspec

from carawaymast_core.cell import spec as spec_mod

__all__ = [
    'CANCEL_SUFFIX',
    'JobPhase',
    'JobRecord',
    'LeaderRecord',
    'SPEEDS_KEY',
    'SpeedRecord',
    'RunRecord',
    'SUBMISSION_SUFFIX',
    'TaskRecord',
    'check_encoded',
    'decode',
    'decode_cancel',
    'encode',
    'encode_cancel',
]

# A job of three tasks has 105 bytes and shrinks to 97; one of 25 tasks has 751
# and shrinks to 388.
MIN_COMPRESSED_BYTES = 256
# The fastest; the slowest saves a twentieth more.
COMPRESSION_LEVEL = 1
# The first byte of what zlib writes; no array of msgpack begins with it.
ZLIB_FIRST_BYTE = b'\x78'
# msgpack's first byte of arrays of up to 15 fields, as records are.
ARRAY_FIRST_BYTES = tuple(bytes([0x90 + size]) for size in range(1, 16))

CANCEL_SUFFIX = '/cancel'
# The speeds of workers, in the state; no job has such an id.
SPEEDS_KEY = 'paces'
# A submission that the leader itself stored, beside the job's state.
SUBMISSION_SUFFIX = '/job'


class JobPhase(enum.StrEnum):
    """The states of a job that callers see."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELED = 'canceled'

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in (
            JobPhase.COMPLETED,
            JobPhase.FAILED,
            JobPhase.CANCELED,
        )


class RunRecord(typing.NamedTuple):
    """One run of a task that may be at a worker."""

    run_id: int
    worker_id: str
    born_ms: int


class TaskRecord(typing.NamedTuple):
    """A task: how often it started and failed, and where it may run."""

    is_done: bool
    last_run_id: int
    failures: int
    checkpoint: str
    runs: tuple[RunRecord, ...]


class JobRecord(typing.NamedTuple):
    """A job's state; ``tasks`` by occurrence, step and index."""

    phase: JobPhase
    cause: str
    has_started: bool
    changed_at_ms: int
    tasks: tuple[tuple[tuple[TaskRecord, ...], ...], ...]

    @property
    def is_over(self) -> bool:
        """Whether the job has ended and runs nowhere any more."""
        return self.phase.is_final and not self.tasks


class SpeedRecord(typing.NamedTuple):
    """How fast the workers are, for the next leader.

    Each row: the worker's id, when its life began, a thousand times the
    logarithm of how long runs take there, and how much that weighs.
    """

    rows: tuple[tuple[str, int, int, int], ...]


class LeaderRecord(typing.NamedTuple):
    """A claim on a cell's leadership or its renewal.

    ``epoch`` is -1 in the claim itself, whose offset is the epoch.
    """

    node_id: str
    boot_id: str
    epoch: int
    is_released: bool


class MemberRecord(typing.NamedTuple):
    """Where the other nodes reach a node, and how fast it is.

    ``speed`` is its processor time in cores of the platform.
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
    LeaderRecord,
    MemberRecord,
)
_encoder = msgspec.msgpack.Encoder()
_decoder_by_type = {
    kind: msgspec.msgpack.Decoder(kind) for kind in RECORD_TYPES
}


def encode_cancel(wall_ms: int) -> bytes:
    """Return the bytes of the wish to cancel a job."""
    return str(wall_ms).encode()


def decode_cancel(raw: bytes) -> int:
    """Return when a job was cancelled, in ms since 1970.

    Raises ``ValueError`` if the bytes hold no time.
    """
    return int(raw)


def encode(record: typing.Any) -> bytes:
    """Return the bytes of a record, compressed if it is large.

    All nodes read what the leader writes, some over links of 5 Mbit/s, and
    the rows of a job's tasks are much alike.
    """
    raw = _encoder.encode(record)
    if len(raw) < MIN_COMPRESSED_BYTES:
        return raw
    return zlib.compress(raw, COMPRESSION_LEVEL)


def check_encoded(raw: bytes) -> None:
    """Raise ``ValueError`` unless bytes begin as those of a record do."""
    if raw[:1] != ZLIB_FIRST_BYTE and raw[:1] not in ARRAY_FIRST_BYTES:
        raise ValueError(f'no record begins with {raw[:8]!r}')


def decode(kind: type, raw: bytes) -> typing.Any:
    """Return the record of type ``kind`` that ``raw`` holds.

    Raises ``ValueError`` if the bytes are of another type.
    """
    try:
        if raw[:1] == ZLIB_FIRST_BYTE:
            raw = zlib.decompress(raw)
        return _decoder_by_type[kind].decode(raw)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise ValueError(f'{kind.__name__}: {error}') from None

"""Bodies that callers, workers and the platform send, and their decoding.

``decode`` returns a checked ``TypedDict`` or raises a ``SchedulerError`` of
kind ``BAD_REQUEST`` that names the error.
"""

import typing

import msgspec

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import records
from carawaymast_core import resources

__all__ = [
    'ListedVm',
    'LogBatch',
    'OwnerAnswer',
    'RequestBody',
    'RunAnswer',
    'decode',
    'decode_answer',
    'encode',
]

encode = msgspec.json.encode


class RequestBody(typing.TypedDict):
    """A request of a caller; ``deadline_ms`` counts from its arrival."""

    kind: str
    team: str
    deadline_ms: int
    idempotent: bool
    payload: typing.Any


class ListedVm(typing.TypedDict):
    """One VM of the platform's list."""

    id: str
    role: str
    host: str
    port: int
    peer_port: int
    domain: str
    rack: str
    state: str


class VmList(typing.TypedDict):
    """The platform's list of VMs."""

    vms: list[ListedVm]


class LogBatch(typing.TypedDict):
    """Consecutive records of the log, from the requested offset on.

    ``first`` is the oldest offset that the log still has.
    """

    first: int
    records: list[records.LogRecord]


class Size(typing.TypedDict):
    """An amount of each resource, in a message."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


class ReportedTask(typing.TypedDict):
    """A task that a worker runs."""

    ref: str
    kind: str
    size: Size


class EndedTask(typing.TypedDict):
    """A task that has ended and is not acknowledged yet."""

    ref: str
    outcome: str


class WorkerReport(typing.TypedDict):
    """The capacity, slots and tasks of a worker.

    ``slots`` is the number of its slots, ``busy`` the numbers of those in use.
    """

    capacity: Size
    slots: int
    busy: list[int]
    tasks: list[ReportedTask]
    ended: list[EndedTask]


class OwnerAnswer(typing.TypedDict):
    """A worker's answer to a request for its lease.

    ``report`` is None if the owner already has this ``version`` of the same
    ``boot`` of the worker.
    """

    granted: bool
    holder: str
    epoch: int
    remaining_ms: int
    boot: str
    version: int
    report: WorkerReport | None


class StartAnswer(typing.TypedDict):
    """A worker's answer to a request to start a task."""

    started: bool
    detail: str


class RunAnswer(typing.TypedDict, total=False):
    """An endpoint's answer to a request or to a lookup.

    ``state`` is ``running`` if a lookup finds that the request still runs.
    """

    request_id: str
    ran: str
    state: str
    result: typing.Any
    detail: str


_DECODERS = {
    body_type: msgspec.json.Decoder(body_type)
    for body_type in (
        RequestBody,
        VmList,
        LogBatch,
        OwnerAnswer,
        StartAnswer,
        RunAnswer,
        jobs.JobSpec,
        dict[str, str],
        list[dict[str, str]],
    )
}


def decode(body: bytes, body_type: typing.Any) -> typing.Any:
    """Return a caller's body, decoded as ``body_type``.

    Raises ``SchedulerError`` of kind ``BAD_REQUEST``.
    """
    try:
        return _DECODERS[body_type].decode(body)
    except msgspec.MsgspecError as error:
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST, f'body: {error}'
        ) from None
    except (UnicodeDecodeError, RecursionError) as error:
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST, f'body: {type(error).__name__}'
        ) from None


def decode_answer(body: bytes, body_type: typing.Any) -> typing.Any:
    """Return the answer of a worker or the platform, as ``body_type``.

    Raises ``ValueError`` if the answer does not match the type.
    """
    return _DECODERS[body_type].decode(body)


def to_resources(size: Size) -> resources.Resources:
    """Return the size from a message as ``Resources``."""
    return resources.Resources(
        size['cpu_millis'], size['memory_mb'], size['accelerators']
    )

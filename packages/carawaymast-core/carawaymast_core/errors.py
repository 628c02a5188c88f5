"""The closed list of error kinds and the answer that belongs to each.

Every refusal or failure that leaves the program is an ``ErrorKind``.
``ANSWER_BY_KIND`` says which HTTP status it has and whether the request ran.
"""

import enum
import typing

__all__ = [
    'ANSWER_BY_KIND',
    'Answer',
    'ErrorBody',
    'ErrorKind',
    'InvariantError',
    'Ran',
    'SchedulerError',
    'check',
    'error_body',
]


class Ran(enum.StrEnum):
    """Whether the work of a request was executed."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class ErrorKind(enum.StrEnum):
    """All kinds of error that a caller or an operator can be told."""

    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    CANCELLED = 'cancelled'
    CONFLICT = 'conflict'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    ENDPOINT_FAILED = 'endpoint-failed'
    ENDPOINT_REFUSED = 'endpoint-refused'
    IMPOSSIBLE_JOB = 'impossible-job'
    INTERNAL = 'internal'
    INVALID_ROW = 'invalid-row'
    KEY_IN_PROGRESS = 'key-in-progress'
    KEY_REUSED = 'key-reused'
    LOG_UNAVAILABLE = 'log-unavailable'
    NOT_FOUND = 'not-found'
    NOT_READY = 'not-ready'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue-full'
    QUOTA_EXCEEDED = 'quota-exceeded'
    SHUTTING_DOWN = 'shutting-down'
    UNKNOWN_KIND = 'unknown-kind'
    WAIT_EXCEEDED = 'wait-exceeded'


class Answer(typing.NamedTuple):
    """What a caller is told about an error kind."""

    status: int
    ran: Ran


ANSWER_BY_KIND: typing.Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO),
    ErrorKind.CANCELLED: Answer(409, Ran.NO),
    ErrorKind.CONFLICT: Answer(409, Ran.NO),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.NO),
    ErrorKind.ENDPOINT_FAILED: Answer(502, Ran.YES),
    ErrorKind.ENDPOINT_REFUSED: Answer(503, Ran.NO),
    ErrorKind.IMPOSSIBLE_JOB: Answer(422, Ran.NO),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN),
    ErrorKind.INVALID_ROW: Answer(422, Ran.NO),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, Ran.UNKNOWN),
    ErrorKind.KEY_REUSED: Answer(422, Ran.NO),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, Ran.NO),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NO),
    ErrorKind.NOT_READY: Answer(503, Ran.NO),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, Ran.UNKNOWN),
    ErrorKind.OVERLOADED: Answer(429, Ran.NO),
    ErrorKind.QUEUE_FULL: Answer(429, Ran.NO),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, Ran.NO),
    ErrorKind.SHUTTING_DOWN: Answer(503, Ran.NO),
    ErrorKind.UNKNOWN_KIND: Answer(422, Ran.NO),
    ErrorKind.WAIT_EXCEEDED: Answer(503, Ran.NO),
}


class SchedulerError(Exception):
    """An error of one kind with a detail for people.

    ``detail`` names the argument and the value that was refused;
    ``retry_after_s`` is 0 unless it is known when a new try is worth while.
    """

    def __init__(self, kind: ErrorKind, detail: str, retry_after_s: int = 0):
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s

    @property
    def answer(self) -> Answer:
        """The answer that belongs to the kind of this error."""
        return ANSWER_BY_KIND[self.kind]


class InvariantError(AssertionError):
    """A property that must always hold was found broken."""


class ErrorBody(typing.TypedDict):
    """The body of an error answer."""

    request_id: str
    error: str
    ran: str
    detail: str


def error_body(error: SchedulerError, request_id: str) -> ErrorBody:
    """Return the body that tells a caller about ``error``."""
    return {
        'request_id': request_id,
        'error': error.kind.value,
        'ran': error.answer.ran.value,
        'detail': error.detail,
    }


def check(condition: bool, message: str) -> None:
    """Raise ``InvariantError`` with ``message`` unless ``condition`` holds.

    Unlike ``assert`` it also works under ``python -O``.
    """
    if not condition:
        raise InvariantError(message)

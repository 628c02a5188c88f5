"""The error kinds of the scheduler and the HTTP answer of each.

Every refusal or failure that is reported outside the process has an
``ErrorKind``. ``ANSWER_BY_KIND`` gives its HTTP status and whether the
request ran.
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
    """All kinds of error that are reported to callers and operators."""

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
    """The HTTP status of an error kind, and whether the request ran."""

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
    """An error of one kind with a human-readable detail.

    ``detail`` names the argument and the refused value. ``retry_after_s`` is
    the number of seconds after which a retry may succeed, 0 if unknown.
    """

    def __init__(self, kind: ErrorKind, detail: str, retry_after_s: int = 0):
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s

    @property
    def answer(self) -> Answer:
        """The HTTP status of this error, and whether the request ran."""
        return ANSWER_BY_KIND[self.kind]


class InvariantError(AssertionError):
    """Raised when an invariant is violated."""


class ErrorBody(typing.TypedDict):
    """The JSON body of an error answer."""

    request_id: str
    error: str
    ran: str
    detail: str


def error_body(error: SchedulerError, request_id: str) -> ErrorBody:
    """Return the body of the answer that reports ``error``."""
    return {
        'request_id': request_id,
        'error': error.kind.value,
        'ran': error.answer.ran.value,
        'detail': error.detail,
    }


def check(condition: bool, message: str) -> None:
    """Raise ``InvariantError`` with ``message`` unless ``condition`` holds.

    Unlike ``assert``, the check is also made under ``python -O``.
    """
    if not condition:
        raise InvariantError(message)

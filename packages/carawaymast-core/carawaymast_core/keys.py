"""Idempotency keys: only the first request with a key runs.

A key is an entity of the log. It is claimed before the request is dispatched.
Afterwards it holds the outcome, or is released if the request did not run.
"""

import enum
import hashlib
import typing

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import records

__all__ = [
    'KeyState',
    'PREFIXES',
    'claim',
    'complete',
    'digest',
    'entity',
    'is_in_progress',
    'outcome',
    'release',
]

MAX_KEY_LENGTH = 128
# Of the keys of requests and of the keys of jobs.
PREFIXES = ('key/', 'job-key/')
MAX_STORED_RESULT_BYTES = 16_384


class KeyState(enum.StrEnum):
    """The state of the request with a key."""

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'


def entity(team: str, key: str) -> str:
    """Return the name of the entity of a key; each team has its own keys.

    Raises ``SchedulerError`` of kind ``BAD_REQUEST`` if the key is too long,
    empty or not printable.
    """
    if not 1 <= len(key) <= MAX_KEY_LENGTH or not key.isprintable():
        raise errors.SchedulerError(
            errors.ErrorKind.BAD_REQUEST,
            f'Idempotency-Key has {len(key)} characters, '
            f'allowed: 1 to {MAX_KEY_LENGTH}, all printable',
        )
    return f'key/{team}/{key}'


def digest(body: bytes) -> str:
    """Return the digest that identifies the body of a request."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def claim(
    replica: records.Replica,
    name: str,
    body_digest: str,
    request_id: str,
    now_ms: int,
) -> jobs.Writes:
    """Return the writes that claim a key.

    Raises ``SchedulerError`` of kind ``KEY_REUSED`` if the key was used with
    another body, ``KEY_IN_PROGRESS`` if its request has not ended.
    """
    known = replica.get(name)
    if known.value is not None:
        if known.value['digest'] != body_digest:
            raise errors.SchedulerError(
                errors.ErrorKind.KEY_REUSED,
                f'key {name!r} was used for a different request',
            )
        if known.value['state'] == KeyState.CLAIMED:
            raise errors.SchedulerError(
                errors.ErrorKind.KEY_IN_PROGRESS,
                f'the request with key {name!r} was accepted before; '
                'its outcome is not known yet',
            )
    value = {
        'digest': body_digest,
        'state': KeyState.CLAIMED.value,
        'request_id': request_id,
        'at_ms': now_ms,
    }
    return jobs.Writes({name: known.version}, {name: value})


def outcome(replica: records.Replica, name: str, body_digest: str):
    """Return status and body of the answer to the request with a key.

    Returns None if the request is not done or has another body.
    """
    known = replica.get(name).value
    if known is None or known['state'] != KeyState.DONE:
        return None
    if known['digest'] != body_digest:
        return None
    return known['status'], known['body']


def is_in_progress(
    replica: records.Replica, name: str, body_digest: str
) -> bool:
    """Return whether the same request was accepted and has not ended."""
    known = replica.get(name).value
    if known is None or known['digest'] != body_digest:
        return False
    return known['state'] == KeyState.CLAIMED


def complete(
    replica: records.Replica,
    name: str,
    request_id: str,
    status: int,
    body: typing.Any,
    now_ms: int,
) -> jobs.Writes | None:
    """Return the writes that store the outcome of a request.

    Returns None unless ``request_id`` holds the key.
    """
    return _end(
        replica,
        name,
        request_id,
        {
            'state': KeyState.DONE.value,
            'status': status,
            'body': body,
            'at_ms': now_ms,
        },
    )


def release(
    replica: records.Replica, name: str, request_id: str, now_ms: int
) -> jobs.Writes | None:
    """Return the writes that release a key whose request did not run.

    Returns None unless ``request_id`` holds the key.
    """
    value = {'state': KeyState.RELEASED.value, 'at_ms': now_ms}
    return _end(replica, name, request_id, value)


def _end(replica, name, request_id, fields) -> jobs.Writes | None:
    known = replica.get(name)
    if known.value is None or known.value['request_id'] != request_id:
        return None
    value = dict(known.value, **fields)
    return jobs.Writes({name: known.version}, {name: value})

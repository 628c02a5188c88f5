"""The interface through which an owner calls a worker, over HTTP.

``WorkerPort`` is a tuple of functions, so that a worker with another protocol
needs only another such tuple.
"""

import asyncio
import typing

import aiohttp

from carawaymast_core import membership
from carawaymast_node import messages

__all__ = ['WorkerDownError', 'WorkerPort', 'http_worker_port', 'port_over']

CALL_TIMEOUT_MS = 900

PATH_BY_OPERATION: typing.Final[dict[str, str]] = {
    'acquire': '/v1/owner',
    'release': '/v1/owner/release',
    'start': '/v1/tasks/start',
    'stop': '/v1/tasks/stop',
    'acknowledge': '/v1/tasks/ack',
}


class WorkerDownError(Exception):
    """A call to a worker had no valid answer; it may have taken effect."""


class WorkerPort(typing.NamedTuple):
    """The calls from an owner to a worker.

    ``acquire`` requests or renews the lease; its ``seen`` is the version of
    the last report that the owner has. ``release`` ends the lease. ``start``
    and ``stop`` start and stop an attempt; ``acknowledge`` confirms ended
    attempts, which the worker then no longer reports.
    """

    acquire: typing.Callable[..., typing.Awaitable[messages.OwnerAnswer]]
    release: typing.Callable[..., typing.Awaitable[None]]
    start: typing.Callable[..., typing.Awaitable[messages.StartAnswer]]
    stop: typing.Callable[..., typing.Awaitable[None]]
    acknowledge: typing.Callable[..., typing.Awaitable[None]]


Post = typing.Callable[..., typing.Awaitable[typing.Any]]


def http_worker_port(session: aiohttp.ClientSession) -> WorkerPort:
    """Return a port that calls workers over HTTP."""
    timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_MS / 1000)

    async def post(
        vm: membership.Vm,
        operation: str,
        body: typing.Any,
        body_type: typing.Any = None,
    ) -> typing.Any:
        url = f'http://{vm.host}:{vm.port}{PATH_BY_OPERATION[operation]}'
        try:
            async with session.post(
                url, data=messages.encode(body), timeout=timeout
            ) as response:
                answer = await response.read()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            detail = f'{operation} at {vm.vm_id}: {error!r}'
            raise WorkerDownError(detail) from None
        return _checked(answer, body_type) if body_type else None

    return port_over(post)


def port_over(post: Post) -> WorkerPort:
    """Return a port that makes each call by ``post``.

    ``post`` takes the VM of the worker, a key of ``PATH_BY_OPERATION``, the
    body and, if there is an answer, its type.
    """

    async def acquire(vm, holder: str, lease_ms: int, seen: int):
        body = {'holder': holder, 'lease_ms': lease_ms, 'seen': seen}
        return await post(vm, 'acquire', body, messages.OwnerAnswer)

    async def release(vm, holder: str, epoch: int):
        await post(vm, 'release', {'holder': holder, 'epoch': epoch})

    async def start(vm, epoch: int, ref: str, kind: str, size, run_ms: int):
        body = {
            'epoch': epoch,
            'ref': ref,
            'kind': kind,
            'size': size._asdict(),
            'run_ms': run_ms,
        }
        return await post(vm, 'start', body, messages.StartAnswer)

    async def stop(vm, epoch: int, ref: str, outcome: str):
        body = {'epoch': epoch, 'ref': ref, 'outcome': outcome}
        await post(vm, 'stop', body)

    async def acknowledge(vm, epoch: int, refs: list[str]):
        await post(vm, 'acknowledge', {'epoch': epoch, 'refs': refs})

    return WorkerPort(acquire, release, start, stop, acknowledge)


def _checked(body: bytes, body_type: typing.Any) -> typing.Any:
    try:
        return messages.decode_answer(body, body_type)
    except ValueError as error:
        raise WorkerDownError(f'invalid answer: {error}') from None

"""Stores what callers hand in: one append for all that gathered meanwhile."""

import asyncio
import typing

from carawaymast_core import errors
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_node import background
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['Intake', 'TOPIC', 'store_job']

TOPIC = 'intake'
# A store that answers nothing keeps a caller waiting for at most two tries.
MAX_TRIES = 2
# Bytes of one append; the platform takes 2 MB.
MAX_APPEND_BYTES = 1_000_000


class _Waiting(typing.NamedTuple):
    item: ports.KeyValue
    stored: asyncio.Future


class Intake:
    """Appends to the intake topic of one cell."""

    def __init__(
        self,
        store: ports.StorePort,
        metrics: telemetry.Metrics,
        part: int,
        deliver: typing.Callable[
            [typing.Sequence[ports.KeyValue]], typing.Awaitable[None]
        ],
    ):
        self._deliver = deliver
        self._tasks = background.TaskSet()
        self._store = store
        self._metrics = metrics
        self._part = part
        self._waiting: list[_Waiting] = []
        self._news = asyncio.Event()

    async def store(self, item: ports.KeyValue) -> None:
        """Return once a record is stored.

        Raises ``SchedulerError``: ``LOG_UNAVAILABLE`` if it certainly is
        not and will not be, ``OUTCOME_UNKNOWN`` otherwise.
        """
        stored = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(item, stored))
        self._news.set()
        await stored

    async def run(self) -> typing.NoReturn:
        """Append until cancelled."""
        while True:
            await self._news.wait()
            self._news.clear()
            while self._waiting:
                batch = self._take()
                items = [w.item for w in batch]
                error = await self._append(items)
                if error is None and items:
                    self._tasks.spawn(self._deliver(items))
                for waiting in batch:
                    if waiting.stored.done():
                        continue
                    if error is None:
                        waiting.stored.set_result(None)
                    else:
                        waiting.stored.set_exception(error)

    def _take(self) -> list[_Waiting]:
        size = 0
        count = 0
        for waiting in self._waiting:
            size += len(waiting.item.value)
            if count and size > MAX_APPEND_BYTES:
                break
            count += 1
        batch = self._waiting[:count]
        del self._waiting[:count]
        # Callers that went away before the append need no record.
        return [w for w in batch if not w.stored.cancelled()]

    async def _append(
        self, items: list[ports.KeyValue]
    ) -> errors.SchedulerError | None:
        if not items:
            return None
        is_unknown = False
        detail = ''
        for _ in range(MAX_TRIES):
            try:
                await self._store.append(TOPIC, self._part, items)
            except ports.StoreError as error:
                self._metrics.count('intake_errors_total')
                is_unknown = is_unknown or error.is_unknown
                detail = str(error)
                continue
            return None
        kind = errors.ErrorKind.LOG_UNAVAILABLE
        if is_unknown:
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
        return errors.SchedulerError(kind, detail)


async def store_job(
    submission: spec_mod.Submission,
    submit: typing.Callable[
        [spec_mod.Submission], typing.Awaitable[ports.Taken]
    ],
    intake: Intake,
) -> ports.Taken:
    """Store a job by the leader, or without it; return the leader's answer.

    Raises ``SchedulerError``. That the job is not stored, and never runs, is
    said only if neither way may have stored it.
    """
    taken = await submit(submission)
    if taken is ports.Taken.YES:
        return taken
    item = ports.KeyValue(submission.job_id, records.encode(submission))
    try:
        await intake.store(item)
    except errors.SchedulerError as error:
        if taken is ports.Taken.NO:
            raise
        raise errors.SchedulerError(
            errors.ErrorKind.OUTCOME_UNKNOWN, error.detail
        ) from None
    return taken

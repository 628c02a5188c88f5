"""Reads of workers' lists of runs, beside the lease renewals."""

import asyncio

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import answer_times
from carawaymast_core.cell import answers
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import start_check
from carawaymast_core.cell import worker as worker_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry

__all__ = ['ListReads']

CLOCK_TICK_MS = 1
# A single answer may get lost.
MAX_TICKET_READS = 2


class _Read:
    """A read; ``sent_at_ms`` is None until it is sent."""

    def __init__(self) -> None:
        self.sent_at_ms: int | None = None
        self.over = asyncio.Event()


class ListReads:
    """Reads the lists of workers and applies them to the cell.

    Whoever needs the lists of a worker at the same time shares a read.
    """

    def __init__(
        self,
        clock: clock_mod.Clock,
        log: telemetry.Telemetry,
        workers: ports.WorkerPort,
        cell: cell_mod.Cell,
        times: answer_times.AnswerTimes,
    ):
        self._clock = clock
        self._log = log
        self._workers = workers
        self._cell = cell
        self._answer_times = times
        self._read_by_worker: dict[worker_mod.Worker, _Read] = {}

    async def read(self, worker: worker_mod.Worker, after_ms: int) -> None:
        """Read a worker's lists by a call that is sent after ``after_ms``.

        Return once it was answered, or has failed.
        """
        while (read := self._read_by_worker.get(worker)) is not None:
            await read.over.wait()
            if read.sent_at_ms is not None and read.sent_at_ms > after_ms:
                return
        await self._begin(worker)

    async def confirm_ticket(self, run: run_mod.Run) -> None:
        """Wait until a run's worker has answered since the ticket came.

        Without an answer, ``late_starts.needs_confirmation`` stays true.
        """
        # If the worker restarts meanwhile, the run was certainly not there.
        run.state = run_mod.RunState.PLACED
        for _ in range(MAX_TICKET_READS):
            await self.read(run.worker, run.ticket_at_ms)
            if not start_check.is_wanted(run):
                return
            if not late_starts.needs_confirmation(run):
                break
        run.state = run_mod.RunState.ORDERED

    async def _begin(self, worker: worker_mod.Worker) -> None:
        self._read_by_worker[worker] = read = _Read()
        try:
            # Lists show nothing of what happened in the same millisecond.
            await asyncio.sleep(CLOCK_TICK_MS / 1000)
            read.sent_at_ms = self._clock.now()
            await self._call(worker, read.sent_at_ms)
        finally:
            del self._read_by_worker[worker]
            read.over.set()

    async def _call(self, worker: worker_mod.Worker, sent_at_ms: int) -> None:
        try:
            answer = await self._workers.renew_lease(
                worker,
                worker.fencing_token,
                None,
                0,
                self._answer_times.timeout_ms,
            )
            self._answer_times.add(self._clock.now() - sent_at_ms)
        except ports.WorkerError as error:
            self._answer_times.add(self._clock.now() - sent_at_ms)
            # The next renewal shows them.
            self._log.log_event(
                'lists_unread', worker=worker.worker_id, error=str(error)
            )
            return
        answers.apply_lease_renewal(
            self._cell, worker, answer, sent_at_ms, self._clock.now()
        )

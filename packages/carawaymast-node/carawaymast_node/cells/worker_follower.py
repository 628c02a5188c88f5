"""Follows the platform's list of workers and keeps their leases renewed."""

import typing

from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_core.cell import worker_lifecycle
from carawaymast_node import background
from carawaymast_node.cells import context as context_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import topic_reader

__all__ = ['WorkerFollower']


class WorkerFollower:
    """The workers of a leader's cell, as the platform lists them.

    ``renew`` renews a worker's lease until its incarnation has ended;
    ``on_change`` is called after each change of the list.
    """

    def __init__(
        self,
        context: context_mod.CellContext,
        cell: cell_mod.Cell,
        renew: typing.Callable[
            [worker_mod.Worker], typing.Coroutine[typing.Any, typing.Any, None]
        ],
        on_change: typing.Callable[[], None],
    ):
        self._platform = context.platform
        self._clock = context.clock
        self._log = context.log
        self._cell = cell
        self._renew = renew
        self._on_change = on_change
        self._tasks = background.TaskSet()
        self._is_renewing = False
        # The workers whose leases are being renewed. Not their keys: a worker
        # that was removed and is listed again is another object with the same
        # key, and the last call for the first one may still wait.
        self._renewed_workers: set[worker_mod.Worker] = set()
        self.reader = topic_reader.TopicReader(
            context.store,
            context.clock,
            context.log,
            context.platform.settings.workers_topic,
            0,
            self._apply_item,
        )

    def begin_renewals(self) -> None:
        """Renew the leases of all workers of which none is renewed yet.

        One that is not listed any more may run on, or another incarnation may
        be at its address. Workers that are listed later are renewed at once.
        """
        self._is_renewing = True
        for worker in list(self._cell.worker_by_key.values()):
            if worker.entry.address:
                self._begin_renewal(worker)

    def cancel(self) -> None:
        """Renew no more leases."""
        self._tasks.cancel()

    def _apply_item(self, item: ports.StoredItem) -> None:
        try:
            change = self._platform.ingress.decode_worker(item)
        except ValueError as error:
            self._log.log_event(
                'worker_entry_unreadable', worker=item.key, error=str(error)
            )
            return
        if change.entry is None:
            worker_lifecycle.unlist_worker(self._cell, change.worker_id)
        else:
            entry = change.entry
            known = self._cell.worker_by_key.get(
                (entry.worker_id, entry.born_ms)
            )
            worker = worker_lifecycle.apply_worker_entry(
                self._cell, entry, self._clock.now()
            )
            if worker is not None and worker is known:
                self._cell.log_event(
                    'worker_relisted',
                    worker=worker.worker_id,
                    born_ms=worker.born_ms,
                    adopted=worker.is_adopted,
                )
            if worker is not None and self._is_renewing:
                self._begin_renewal(worker)
        self._on_change()

    def _begin_renewal(self, worker: worker_mod.Worker) -> None:
        """Renew a worker's lease, unless this is being done already."""
        if worker not in self._renewed_workers:
            self._renewed_workers.add(worker)
            self._tasks.spawn(self._keep_renewed(worker))

    async def _keep_renewed(self, worker: worker_mod.Worker) -> None:
        try:
            await self._renew(worker)
        finally:
            self._renewed_workers.discard(worker)

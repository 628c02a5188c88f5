"""Runs the orders or the calls for advice of a leader without the rest."""

import asyncio

from carawaymast_core.cell import batching
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import placing
from carawaymast_core.cell import reports
from carawaymast_core.cell import worker as worker_mod
from carawaymast_node.cells import advice_dispatcher
from carawaymast_node.cells import orders
from carawaymast_node.cells import telemetry
from features import cell_world

__all__ = [
    'Confirmed',
    'begin_calls',
    'make_orders_and_worker',
    'request_advice',
    'store_runs',
]


class Confirmed:
    """The confirmation of a leadership that the store always renews."""

    async def wait(self, max_age_ms):
        """Return at once."""

    def is_within(self, max_age_ms):
        """Return true."""
        return True


def make_orders_and_worker(
    clock,
    port,
    committed=asyncio.Event,
    on_fenced=lambda reason: None,
    confirmation=None,
):
    """Return orders that use a worker port, and their only worker.

    ``committed`` returns the event that the next commit sets. ``on_fenced``
    is called with a reason if the worker follows another leader.
    ``confirmation`` tells when the leadership was confirmed, else always.
    """
    metrics = telemetry.Metrics()
    cell = cell_mod.Cell(1, orders.LEASE_MS, lambda event_type, **fields: None)
    callbacks = orders.LeaderCallbacks(
        lambda: None,
        on_fenced,
        confirmation or Confirmed(),
        committed,
    )
    log = telemetry.Telemetry(clock, metrics)
    sender = orders.Orders(clock, log, metrics, port, cell, callbacks)
    entry = reports.WorkerEntry(
        'w0', 'a:1', 1, 's', 'd', False, cell_world.CAPACITY, (), 0, None
    )
    worker = worker_mod.Worker(entry)
    cell.worker_by_key[worker.key] = worker
    return sender, worker


def store_runs(sender, worker, now_ms, count=1):
    """Return runs that are placed at the worker, stored and not started."""
    cell = sender._cell
    worker.entry = worker.entry._replace(service=cell_world.SERVICE)
    worker.record_answer(5_000, now_ms)
    worker.is_adopted = True
    worker.lease.assume_longest(cell.max_lease_ms)
    step = cell_world.step(count, cpu=1, memory=1)
    cell.accept(cell_world.job('j1', step), now_ms, now_ms)
    placing.plan(cell, now_ms, now_ms)
    runs = batching.mark_stored(cell, batching.collect(cell, now_ms))
    assert len(runs) == count, runs
    return runs


def request_advice(world, advise, max_workers, peers, times=1):
    """Make the calls for advice that a cell needs, and wait for the answers.

    A call asks about at most ``max_workers`` workers. It is made by the leader
    with ``advise``, or by one of ``peers``. ``times`` is how often the calls
    are made.
    """

    async def dispatch():
        dispatcher = _make_dispatcher(world, advise, max_workers, peers)
        for _ in range(times):
            _dispatch_needed(dispatcher, world)
            while dispatcher.is_calling:
                await asyncio.sleep(0)

    asyncio.run(dispatch())


def begin_calls(world, peers, change):
    """Start calls for advice, call ``change``, and start calls again.

    None of the calls is answered. Return the names of the steps for which
    the leader itself called.
    """
    asked = []

    async def advise(step_name, worker_ids):
        asked.append(step_name)
        await asyncio.Event().wait()

    async def begin():
        dispatcher = _make_dispatcher(world, advise, 100, peers)
        _dispatch_needed(dispatcher, world)
        await asyncio.sleep(0)
        change()
        _dispatch_needed(dispatcher, world)
        await asyncio.sleep(0)
        dispatcher.close()

    asyncio.run(begin())
    return asked


def _make_dispatcher(world, advise, max_workers, peers):
    metrics = telemetry.Metrics()
    return advice_dispatcher.AdviceDispatcher(
        world.clock,
        advise,
        max_workers,
        peers,
        telemetry.Telemetry(world.clock, metrics),
        metrics,
        lambda: None,
    )


def _dispatch_needed(dispatcher, world):
    now_ms = world.clock.now()
    dispatcher.dispatch(
        placing.steps_needing_advice(world.cell, now_ms, now_ms)
    )

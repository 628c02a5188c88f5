"""The request queue of one entry node: fair between rows, bounded in time.

Three rules select the next request. A row that has received less than its
reserve goes first. Otherwise the more urgent rank goes first. Within a rank,
rows share by weight (start-time fair queueing). Costs are in slot
milliseconds, so a row of long requests gets no more than one of short ones.

Other rows may use a reserve that its row does not use. The reserve of a more
urgent row is lent only to requests that are short compared with the longest
wait of that row. Slots that are kept idle for this reason are called
protected.
"""

import collections
import heapq
import typing

from carawaymast_core import errors
from carawaymast_core import table as table_mod

__all__ = ['FairQueue', 'Queued']

INITIAL_COST_MS = 50.0
COST_SMOOTHING = 0.1
MAX_CREDIT_MS = 5_000.0
# A request may borrow the reserve of a more urgent row if its expected run
# time is at most this share of that row's longest wait.
MAX_BORROW_SHARE = 0.1


class Queued(typing.NamedTuple):
    """A request that waits for a slot."""

    request_id: str
    kind: str
    enqueued_at_ms: int
    expires_at_ms: int


class _RowQueue:
    """The waiting and running requests of one row.

    ``credit_ms`` is the slot time that the row has received less than its
    reserve during its backlog; it is negative if it has received more.
    """

    def __init__(self, row: table_mod.Row):
        self.row = row
        self.ids: collections.deque[str] = collections.deque()
        self.waiting = 0
        self.running = 0
        self.cost_ms = INITIAL_COST_MS
        self.credit_ms = 0.0
        self.finish_tag = 0.0

    def may_start(self, total_slots: int) -> bool:
        """Return whether the limit of the row allows one more request."""
        allowed = max(1.0, self.row.limit.of(total_slots))
        return self.running + 1 <= allowed

    def add_credit(self, ms: float) -> None:
        """Add ``ms`` to the reserve credit of the row, within its bounds."""
        credit_ms = self.credit_ms + ms
        self.credit_ms = min(MAX_CREDIT_MS, max(-MAX_CREDIT_MS, credit_ms))


class FairQueue:
    """Waiting requests of one entry node, and the running count of each row.

    Invariant: the waiting counts of the rows add up to the number of queued
    requests, and no request is both waiting and running.
    """

    def __init__(self) -> None:
        self._queue_by_kind: dict[str, _RowQueue] = {}
        self._backlogged_by_kind: dict[str, _RowQueue] = {}
        self._queued_by_id: dict[str, Queued] = {}
        self._expiries: list[tuple[int, str]] = []
        self._virtual_time_by_rank: dict[int, float] = collections.defaultdict(
            float
        )
        self._reserved_queues: list[_RowQueue] = []
        self._running_total = 0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def configure(self, table: table_mod.Table) -> None:
        """Apply the rows of ``table``, keeping counts and waiting requests."""
        for kind, row in table.by_kind.items():
            queue = self._queue_by_kind.get(kind)
            if queue is None:
                self._queue_by_kind[kind] = _RowQueue(row)
            else:
                queue.row = row
        self._reserved_queues = [
            queue
            for queue in self._queue_by_kind.values()
            if queue.row.reserve.value > 0
        ]

    def push(self, queued: Queued, is_first: bool = False) -> None:
        """Add a request to the end of the queue of its row, or to the front.

        ``is_first`` is for a request that was started without success: all
        others waiting in its row arrived later. Raises ``InvariantError`` if
        the request is already queued.
        """
        errors.check(
            queued.request_id not in self._queued_by_id,
            f'request {queued.request_id} is queued twice',
        )
        queue = self._queue_by_kind[queued.kind]
        if not queue.waiting:
            self._start_backlog(queue)
        add = queue.ids.appendleft if is_first else queue.ids.append
        add(queued.request_id)
        queue.waiting += 1
        self._queued_by_id[queued.request_id] = queued
        expiry = (queued.expires_at_ms, queued.request_id)
        heapq.heappush(self._expiries, expiry)

    def pop_next(self, total_slots: int) -> Queued | None:
        """Remove, count as running and return the next request, if any.

        ``total_slots`` is the number of slots that the limits refer to.
        Returns None if no waiting request may start.
        """
        queue = self._pick(total_slots)
        if queue is None:
            return None
        queued = self._pop_from(queue)
        queue.running += 1
        self._running_total += 1
        self._charge(queue)
        return queued

    def finish(self, kind: str, ran_ms: float | None) -> None:
        """Record that a started request ended after ``ran_ms``.

        ``None`` leaves the average cost of the row unchanged, for a request
        that the endpoint refused.
        """
        queue = self._queue_by_kind[kind]
        errors.check(
            queue.running > 0, f'no request of kind {kind} is running'
        )
        queue.running -= 1
        self._running_total -= 1
        if ran_ms is not None:
            queue.cost_ms += COST_SMOOTHING * (ran_ms - queue.cost_ms)

    def remove(self, request_id: str) -> bool:
        """Remove a waiting request and return whether it was waiting."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return False
        self._reduce_waiting(self._queue_by_kind[queued.kind])
        return True

    def pop_expired(self, now_ms: int) -> list[Queued]:
        """Remove and return the requests whose wait has expired."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._expiries)
            queued = self._queued_by_id.get(request_id)
            if queued is None or queued.expires_at_ms > now_ms:
                continue
            self.remove(request_id)
            expired.append(queued)
        return expired

    def waiting(self, kind: str) -> int:
        """Return the number of waiting requests of ``kind``."""
        return self._queue_by_kind[kind].waiting

    def running(self, kind: str) -> int:
        """Return the number of running requests of ``kind``."""
        return self._queue_by_kind[kind].running

    def cost_ms(self, kind: str) -> float:
        """Return the average time that a request of ``kind`` uses its slot."""
        return self._queue_by_kind[kind].cost_ms

    def demand_by_kind(self) -> dict[str, int]:
        """Return the waiting plus running requests of each row with any."""
        return {
            kind: queue.waiting + queue.running
            for kind, queue in self._queue_by_kind.items()
            if queue.waiting or queue.running
        }

    def running_total(self) -> int:
        """Return the number of running requests."""
        return self._running_total

    def protected_slots(self, total_slots: int) -> int:
        """Return the number of idle slots that no waiting request may use."""
        idle = total_slots - self._running_total
        if idle <= 0 or not self._backlogged_by_kind:
            return 0
        usable = max(
            idle - self._protected_from(queue, total_slots)
            for queue in self._backlogged_by_kind.values()
        )
        return idle - max(0, usable)

    def predicted_wait_ms(self, kind: str, total_slots: int) -> float:
        """Return the estimated wait of a request of ``kind`` queued now.

        A row is served at least at its reserved rate, and at least at the
        rate that the rows of more urgent or equal rank leave over.
        """
        queue = self._queue_by_kind[kind]
        if not total_slots:
            return 0.0
        own_ms = queue.waiting * queue.cost_ms
        reserved = queue.row.reserve.of(total_slots)
        by_rank_ms = self._work_ahead_ms(queue) / total_slots
        if reserved <= 0:
            return by_rank_ms
        return min(own_ms / reserved, by_rank_ms)

    def check_invariants(self) -> None:
        """Raise ``InvariantError`` if the counts do not add up."""
        waiting = sum(queue.waiting for queue in self._queue_by_kind.values())
        errors.check(
            waiting == len(self._queued_by_id),
            f'{waiting} waiting in rows, {len(self._queued_by_id)} queued',
        )
        for kind, queue in self._queue_by_kind.items():
            is_backlogged = kind in self._backlogged_by_kind
            errors.check(
                is_backlogged == (queue.waiting > 0),
                f'{kind}: backlogged {is_backlogged}, waiting {queue.waiting}',
            )

    def _work_ahead_ms(self, queue: _RowQueue) -> float:
        """Return the expected run time ahead of a request queued now.

        It is that of the waiting requests of more urgent rows, of its own
        row, and of rows of the same rank up to their fair share.
        """
        ahead_ms = 0.0
        own_ms = queue.waiting * queue.cost_ms
        for other in self._backlogged_by_kind.values():
            other_ms = other.waiting * other.cost_ms
            if other.row.rank < queue.row.rank:
                ahead_ms += other_ms
            elif other.row.rank == queue.row.rank:
                fair_ms = own_ms * other.row.weight / queue.row.weight
                ahead_ms += min(other_ms, max(fair_ms, other.cost_ms))
        return ahead_ms

    def _pick(self, total_slots: int) -> _RowQueue | None:
        startable = [
            queue
            for queue in self._backlogged_by_kind.values()
            if queue.may_start(total_slots)
        ]
        while startable:
            best = min(startable, key=self._selection_key)
            idle = total_slots - self._running_total
            if idle > self._protected_from(best, total_slots):
                return best
            startable.remove(best)
        return None

    def _selection_key(self, queue: _RowQueue) -> tuple[bool, int, float]:
        """Return the sort key that selects the next row."""
        tag = max(queue.finish_tag, self._virtual_time_by_rank[queue.row.rank])
        return (queue.credit_ms <= 0, queue.row.rank, tag)

    def _protected_from(self, queue: _RowQueue, total_slots: int) -> int:
        """Return the number of idle slots that a row may not use.

        A row may always use its own reserve.
        """
        if queue.running + 1 <= queue.row.reserve.of(total_slots):
            return 0
        kept = 0.0
        for other in self._reserved_queues:
            if other.row.rank >= queue.row.rank:
                continue
            if queue.cost_ms <= MAX_BORROW_SHARE * other.row.longest_wait_ms:
                continue
            unused = other.row.reserve.of(total_slots) - other.running
            kept += max(0.0, unused)
        return round(kept)

    def _pop_from(self, queue: _RowQueue) -> Queued:
        while True:
            queued = self._queued_by_id.pop(queue.ids.popleft(), None)
            if queued is not None:
                self._reduce_waiting(queue)
                return queued

    def _charge(self, queue: _RowQueue) -> None:
        rank = queue.row.rank
        start_tag = max(queue.finish_tag, self._virtual_time_by_rank[rank])
        self._virtual_time_by_rank[rank] = start_tag
        queue.finish_tag = start_tag + queue.cost_ms / queue.row.weight
        for other in self._backlogged_by_kind.values():
            share = other.row.reserve.share_of(self._reserve_base())
            other.add_credit(share * queue.cost_ms)
        queue.add_credit(-queue.cost_ms)

    def _reserve_base(self) -> float:
        # A reserve given as a count is a share of the slots in use.
        return float(max(1, self.running_total()))

    def _start_backlog(self, queue: _RowQueue) -> None:
        # Credit that is left from an earlier backlog is not used in this one.
        queue.credit_ms = min(0.0, queue.credit_ms)
        self._backlogged_by_kind[queue.row.kind] = queue

    def _reduce_waiting(self, queue: _RowQueue) -> None:
        queue.waiting -= 1
        errors.check(
            queue.waiting >= 0, f'{queue.row.kind}: waiting is negative'
        )
        if not queue.waiting:
            queue.ids.clear()
            self._backlogged_by_kind.pop(queue.row.kind)

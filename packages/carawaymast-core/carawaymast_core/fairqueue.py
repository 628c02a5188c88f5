"""The queue of one entry node: fair between rows, bounded in time.

Three rules pick the next request. A row that has fallen behind its reserve
goes first. Otherwise the more urgent rank goes first. Within a rank, rows
share by weight (start-time fair queueing). Costs are slot milliseconds, so a
row of long requests gets no more than one of short ones.

A reserve that its row does not use is lent, but a more urgent row's only to
work that ends soon against that row's longest wait. Slots kept back for this
reason are called protected.
"""

import collections
import heapq
import typing

from carawaymast_core import errors
from carawaymast_core import table as table_mod

__all__ = ['FairQueue', 'Queued']

INITIAL_COST_MS = 50.0
COST_SMOOTHING = 0.1
CREDIT_BOUND_MS = 5_000.0
# Work may borrow a reserve if it ends within this part of the longest wait.
LEND_SHARE = 0.1


class Queued(typing.NamedTuple):
    """A request that waits for a slot."""

    request_id: str
    kind: str
    enqueued_at_ms: int
    expires_at_ms: int


class _Line:
    """The waiting and running requests of one row."""

    def __init__(self, row: table_mod.Row):
        self.row = row
        self.ids: collections.deque[str] = collections.deque()
        self.waiting = 0
        self.running = 0
        self.cost_ms = INITIAL_COST_MS
        self.credit_ms = 0.0
        self.finish_tag = 0.0

    def may_start(self, total_slots: int) -> bool:
        """Tell whether the limit of the row leaves room for one more."""
        allowed = max(1.0, self.row.limit.of(total_slots))
        return self.running + 1 <= allowed

    def add_credit(self, ms: float) -> None:
        """Move the reserve account of the row, within its bounds."""
        moved = self.credit_ms + ms
        self.credit_ms = min(CREDIT_BOUND_MS, max(-CREDIT_BOUND_MS, moved))


class FairQueue:
    """Requests waiting at one entry node, and how many run by row.

    Invariant: the counts by row add up to the requests held by id, and no
    request is both waiting and running.
    """

    def __init__(self) -> None:
        self._line_by_kind: dict[str, _Line] = {}
        self._backlogged: dict[str, _Line] = {}
        self._queued_by_id: dict[str, Queued] = {}
        self._expiries: list[tuple[int, str]] = []
        self._tag_by_rank: dict[int, float] = collections.defaultdict(float)
        self._reserved: list[_Line] = []
        self._running_total = 0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def configure(self, table: table_mod.Table) -> None:
        """Take the rows of ``table``; counts and waiting requests stay."""
        for kind, row in table.by_kind.items():
            line = self._line_by_kind.get(kind)
            if line is None:
                self._line_by_kind[kind] = _Line(row)
            else:
                line.row = row
        self._reserved = [
            line
            for line in self._line_by_kind.values()
            if line.row.reserve.value > 0
        ]

    def push(self, queued: Queued, is_first: bool = False) -> None:
        """Add a request at the end of its row, or at the front.

        The front is for one that was started in vain: all that wait in its
        row arrived later.
        """
        errors.check(
            queued.request_id not in self._queued_by_id,
            f'request {queued.request_id} is queued twice',
        )
        line = self._line_by_kind[queued.kind]
        if not line.waiting:
            self._start_backlog(line)
        add = line.ids.appendleft if is_first else line.ids.append
        add(queued.request_id)
        line.waiting += 1
        self._queued_by_id[queued.request_id] = queued
        expiry = (queued.expires_at_ms, queued.request_id)
        heapq.heappush(self._expiries, expiry)

    def pop_next(self, total_slots: int) -> Queued | None:
        """Start the request that deserves the next slot, if any may.

        ``total_slots`` is the number of slots that the limits refer to.
        """
        line = self._pick(total_slots)
        if line is None:
            return None
        queued = self._pop_from(line)
        line.running += 1
        self._running_total += 1
        self._charge(line)
        return queued

    def finish(self, kind: str, ran_ms: float | None) -> None:
        """Note that a started request has ended after ``ran_ms``.

        ``None`` leaves the learned cost as it is, for a request that the
        endpoint refused.
        """
        line = self._line_by_kind[kind]
        errors.check(line.running > 0, f'nothing of kind {kind} is running')
        line.running -= 1
        self._running_total -= 1
        if ran_ms is not None:
            line.cost_ms += COST_SMOOTHING * (ran_ms - line.cost_ms)

    def remove(self, request_id: str) -> bool:
        """Take out a waiting request; tell whether it was waiting."""
        queued = self._queued_by_id.pop(request_id, None)
        if queued is None:
            return False
        self._reduce_waiting(self._line_by_kind[queued.kind])
        return True

    def pop_expired(self, now_ms: int) -> list[Queued]:
        """Take out and return the requests that waited too long."""
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
        """Return how many requests of ``kind`` wait."""
        return self._line_by_kind[kind].waiting

    def running(self, kind: str) -> int:
        """Return how many requests of ``kind`` run."""
        return self._line_by_kind[kind].running

    def cost_ms(self, kind: str) -> float:
        """Return how long a request of ``kind`` usually holds its slot."""
        return self._line_by_kind[kind].cost_ms

    def demand_by_kind(self) -> dict[str, int]:
        """Return waiting plus running requests of each row that has any."""
        return {
            kind: line.waiting + line.running
            for kind, line in self._line_by_kind.items()
            if line.waiting or line.running
        }

    def running_total(self) -> int:
        """Return how many requests run."""
        return self._running_total

    def protected_slots(self, total_slots: int) -> int:
        """Return how many idle slots none of the waiting work may take."""
        idle = total_slots - self._running_total
        if idle <= 0 or not self._backlogged:
            return 0
        usable = max(
            idle - self._protected_from(line, total_slots)
            for line in self._backlogged.values()
        )
        return idle - max(0, usable)

    def predicted_wait_ms(self, kind: str, total_slots: int) -> float:
        """Return how long a request that joins ``kind`` now would wait.

        A row is served at least at its reserved rate, and at least at the
        rate left over by all that is more urgent or shares its rank.
        """
        line = self._line_by_kind[kind]
        if not total_slots:
            return 0.0
        own_ms = line.waiting * line.cost_ms
        reserved = line.row.reserve.of(total_slots)
        by_rank_ms = self._work_ahead_ms(line) / total_slots
        if reserved <= 0:
            return by_rank_ms
        return min(own_ms / reserved, by_rank_ms)

    def check_accounts(self) -> None:
        """Raise ``InvariantError`` unless the counts add up."""
        waiting = sum(line.waiting for line in self._line_by_kind.values())
        errors.check(
            waiting == len(self._queued_by_id),
            f'{waiting} waiting by row, {len(self._queued_by_id)} by id',
        )
        for kind, line in self._line_by_kind.items():
            is_backlogged = kind in self._backlogged
            errors.check(
                is_backlogged == (line.waiting > 0),
                f'backlog of {kind} is {is_backlogged}: {line.waiting} wait',
            )

    def _work_ahead_ms(self, line: _Line) -> float:
        ahead_ms = 0.0
        own_ms = line.waiting * line.cost_ms
        for other in self._backlogged.values():
            other_ms = other.waiting * other.cost_ms
            if other.row.rank < line.row.rank:
                ahead_ms += other_ms
            elif other.row.rank == line.row.rank:
                fair_ms = own_ms * other.row.weight / line.row.weight
                ahead_ms += min(other_ms, max(fair_ms, other.cost_ms))
        return ahead_ms

    def _pick(self, total_slots: int) -> _Line | None:
        startable = [
            line
            for line in self._backlogged.values()
            if line.may_start(total_slots)
        ]
        while startable:
            best = min(startable, key=self._order)
            idle = total_slots - self._running_total
            if idle > self._protected_from(best, total_slots):
                return best
            startable.remove(best)
        return None

    def _order(self, line: _Line) -> tuple[bool, int, float]:
        """Return the key by which the next row is chosen."""
        tag = max(line.finish_tag, self._tag_by_rank[line.row.rank])
        return (line.credit_ms <= 0, line.row.rank, tag)

    def _protected_from(self, line: _Line, total_slots: int) -> int:
        """Return how many idle slots are kept back from a row.

        A row always gets its own reserve.
        """
        if line.running + 1 <= line.row.reserve.of(total_slots):
            return 0
        kept = 0.0
        for other in self._reserved:
            if other.row.rank >= line.row.rank:
                continue
            if line.cost_ms <= LEND_SHARE * other.row.longest_wait_ms:
                continue
            unused = other.row.reserve.of(total_slots) - other.running
            kept += max(0.0, unused)
        return round(kept)

    def _pop_from(self, line: _Line) -> Queued:
        while True:
            queued = self._queued_by_id.pop(line.ids.popleft(), None)
            if queued is not None:
                self._reduce_waiting(line)
                return queued

    def _charge(self, line: _Line) -> None:
        rank = line.row.rank
        start_tag = max(line.finish_tag, self._tag_by_rank[rank])
        self._tag_by_rank[rank] = start_tag
        line.finish_tag = start_tag + line.cost_ms / line.row.weight
        for other in self._backlogged.values():
            share = other.row.reserve.share_of(self._reserve_base())
            other.add_credit(share * line.cost_ms)
        line.add_credit(-line.cost_ms)

    def _reserve_base(self) -> float:
        # Reserves given as counts are weighed against the slots in use.
        return float(max(1, self.running_total()))

    def _start_backlog(self, line: _Line) -> None:
        line.credit_ms = min(0.0, line.credit_ms)
        self._backlogged[line.row.kind] = line

    def _reduce_waiting(self, line: _Line) -> None:
        line.waiting -= 1
        errors.check(line.waiting >= 0, f'{line.row.kind}: negative waiting')
        if not line.waiting:
            line.ids.clear()
            self._backlogged.pop(line.row.kind)

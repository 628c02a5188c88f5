"""Until when the leaders of earlier terms may renew leases.

A leader renews leases for some time after its leadership was last confirmed,
since the store may be down. Its successor knows that it has stopped earlier if
it has released the leadership, if its process has ended, or if it has answered
that it does not lead any more.

Pure state without I/O. All times are of the local steady clock.
"""

import math
import typing

from carawaymast_core.cell import late_starts
from carawaymast_core.cell import records

__all__ = ['FormerTerms', 'RENEWAL_INTERVAL_MS']

# Between two records of a leader at least.
RENEWAL_INTERVAL_MS = 400
# The records of a term that may come sooner: its claim, the first renewal and
# the release.
IRREGULAR_RECORDS = 3
MAX_TERMS = 16


class _Term(typing.NamedTuple):
    node_id: str
    boot_id: str
    until_ms: float


class FormerTerms:
    """The terms of which this process has read records.

    Each record of a leader shows that no other one was confirmed later than
    its claim. Terms of which no record was read are counted together: those
    before the first record, and those in gaps of the log.

    Example::

        terms = FormerTerms('edge-1')
        terms.record(record, epoch=7, offset=12, now_ms=1_000)
        terms.until_ms(epoch=13)
        terms.apply_answer('edge-2', 'boot', leading_epoch=None, now_ms=1_200)
    """

    def __init__(self, node_id: str):
        self._node_id = node_id
        self._term_by_epoch: dict[int, _Term] = {}
        self._next_offset = 0
        # Unread terms have lower epochs than this one.
        self._unread_below = 0
        self._unread_until_ms = -math.inf
        # The nodes that certainly lead none of them.
        self._cleared_ids: set[str] = set()

    def record(
        self,
        record: records.LeaderRecord,
        epoch: int,
        offset: int,
        now_ms: int,
    ) -> None:
        """Record a record that was read, or was written by this node."""
        if offset < self._next_offset:
            return
        regular = max(0, offset - epoch + 1 - IRREGULAR_RECORDS)
        claimed_by_ms = now_ms - regular * RENEWAL_INTERVAL_MS
        until_ms = claimed_by_ms + late_starts.MAX_UNCONFIRMED_RENEWAL_MS
        is_new = epoch not in self._term_by_epoch
        if is_new and epoch > self._next_offset:
            self._unread_below = epoch
            self._unread_until_ms = until_ms
            self._cleared_ids.clear()
        elif epoch == self._unread_below:
            self._unread_until_ms = min(self._unread_until_ms, until_ms)
        self._next_offset = offset + 1
        if is_new and record.node_id == self._node_id:
            # This process claims only after its last term, and began after the
            # processes of this node before it had ended.
            self.apply_answer(self._node_id, None, None, now_ms)
        stops_in_ms = late_starts.MAX_UNCONFIRMED_RENEWAL_MS
        if record.is_released:
            stops_in_ms = 0
        self._term_by_epoch[epoch] = _Term(
            record.node_id, record.boot_id, now_ms + stops_in_ms
        )
        if len(self._term_by_epoch) > MAX_TERMS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        epoch = min(self._term_by_epoch)
        until_ms = self._term_by_epoch.pop(epoch).until_ms
        if until_ms > self._unread_until_ms:
            self._unread_until_ms = until_ms
            self._cleared_ids.clear()
        self._unread_below = max(self._unread_below, epoch + 1)

    def until_ms(self, epoch: int) -> float:
        """Return until when the terms before ``epoch`` may renew leases.

        Minus infinity if there was none.
        """
        known = [
            term.until_ms
            for other, term in self._term_by_epoch.items()
            if other < epoch
        ]
        return max([self._unread_until_ms, *known])

    def former_epoch(self, epoch: int) -> int | None:
        """Return the epoch of the term right before ``epoch``, if any."""
        found = [other for other in self._term_by_epoch if other < epoch]
        return max(found, default=None)

    def ids_to_ask(
        self, epoch: int, member_ids: typing.Iterable[str], now_ms: int
    ) -> set[str]:
        """Return the nodes that may still lead a term before ``epoch``."""
        found = {
            term.node_id
            for other, term in self._term_by_epoch.items()
            if other < epoch and term.until_ms > now_ms
        }
        if self._unread_until_ms > now_ms:
            found |= set(member_ids) - self._cleared_ids
        return found - {self._node_id}

    def apply_answer(
        self,
        node_id: str,
        boot_id: str | None,
        leading_epoch: int | None,
        now_ms: int,
    ) -> None:
        """Apply what a node says of its process.

        ``boot_id`` is None if no process runs there, and ``leading_epoch`` if
        it does not lead.
        """
        for epoch, term in self._term_by_epoch.items():
            if term.node_id == node_id and (
                term.boot_id != boot_id or leading_epoch != epoch
            ):
                until_ms = min(term.until_ms, now_ms)
                self._term_by_epoch[epoch] = term._replace(until_ms=until_ms)
        if leading_epoch is None or leading_epoch >= self._unread_below:
            self._cleared_ids.add(node_id)

    def apply_members(
        self, member_ids: typing.Iterable[str], now_ms: int
    ) -> None:
        """End the unread terms if no node of all members leads one."""
        others = set(member_ids) - {self._node_id}
        if others <= self._cleared_ids:
            self._unread_until_ms = min(self._unread_until_ms, now_ms)

"""The table in force on this node.

Rows come from the log; a node that cannot reach the log takes a newer table
from its peers. The version never decreases.
"""

import typing

import circuits
import msgspec

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import records
from carawaymast_core import table as table_mod
from carawaymast_node import committing
from carawaymast_node import events
from carawaymast_node import log_service

__all__ = ['TableService']

TABLE_ENTITY = 'table'
ROW_PREFIX = 'row/'
EDIT_TIMEOUT_MS = 5_000


class EncodedTable(typing.TypedDict):
    """A table as one node sends it to another."""

    version: int
    rows: list[dict[str, str]]


class TableService(circuits.BaseComponent):
    """Holds the newest table that this node has received."""

    channel = 'table'

    def __init__(self, log: log_service.LogService):
        super().__init__()
        self._log = log
        self.table = table_mod.EMPTY
        self._encoded = b''

    @circuits.handler('log_changed', channel='*', priority=10)
    def _on_log_changed(self, changes: list[records.Change]) -> None:
        """Rebuild the table if any of its rows changed."""
        if any(change.entity == TABLE_ENTITY for change in changes):
            rows = self._log.replica.with_prefix(ROW_PREFIX).values()
            version = self._log.replica.get(TABLE_ENTITY).version
            by_kind = {}
            for versioned in rows:
                row = table_mod.decode_row(versioned.value)
                by_kind[row.kind] = row
            self._apply_if_newer(table_mod.Table(version, by_kind))

    def encoded(self) -> bytes:
        """Return the table encoded for a peer."""
        if not self._encoded:
            rows = [
                table_mod.encode_row(row)
                for row in self.table.by_kind.values()
            ]
            body = {'version': self.table.version, 'rows': rows}
            self._encoded = msgspec.json.encode(body)
        return self._encoded

    def apply_encoded(self, body: bytes) -> None:
        """Apply an encoded table from a peer if it is newer."""
        received = msgspec.json.decode(body, type=EncodedTable)
        rows = [table_mod.parse_row(fields) for fields in received['rows']]
        by_kind = {row.kind: row for row in rows}
        self._apply_if_newer(table_mod.Table(received['version'], by_kind))

    async def edit(
        self,
        version: int,
        rows: typing.Iterable[table_mod.Row],
        removed_kinds: typing.Iterable[str] = (),
    ) -> int:
        """Put and remove rows of the table at ``version``.

        Return the new version. Raises ``SchedulerError``: ``CONFLICT`` if
        another edit was applied first, ``LOG_UNAVAILABLE`` if the edit had no
        effect, ``OUTCOME_UNKNOWN`` if it may still apply.
        """
        if version != self.table.version:
            raise _version_conflict(version, self.table.version)
        rows = list(rows)
        removed_kinds = list(removed_kinds)
        by_kind = dict(self.table.by_kind)
        for kind in removed_kinds:
            by_kind.pop(kind, None)
        by_kind.update((row.kind, row) for row in rows)
        table_mod.checked_table(by_kind)
        puts: dict[str, typing.Any] = {TABLE_ENTITY: {}}
        for kind in removed_kinds:
            puts[ROW_PREFIX + kind] = None
        for row in rows:
            puts[ROW_PREFIX + row.kind] = table_mod.encode_row(row)
        writes = jobs.Writes({TABLE_ENTITY: version}, puts)
        if not await committing.commit(self._log, writes, EDIT_TIMEOUT_MS):
            raise _version_conflict(version, self.table.version)
        return version + 1

    def _apply_if_newer(self, table: table_mod.Table) -> None:
        if table.version <= self.table.version:
            return
        self.table = table
        self._encoded = b''
        self.fire(events.table_changed(table), '*')


def _version_conflict(version: int, current: int) -> errors.SchedulerError:
    return errors.SchedulerError(
        errors.ErrorKind.CONFLICT,
        f'version is {version}, allowed: the current version {current}',
    )

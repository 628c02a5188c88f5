"""Records of the log, and the state that a reader builds from them.

A record names the version that it expects of each entity and the values that
it puts. It applies if all expected versions match the state at its offset and
has no effect otherwise, so all readers reach the same state. ``Replica`` is
the state of one reader.

A snapshot consists of parts that together contain the whole state after all
records below the offset ``as_of``. A reader that starts after the log was
trimmed loads the first complete snapshot that covers the trimmed records and
replays the rest, so that it reaches the state of a reader of all records.
"""

import typing

from carawaymast_core import errors

__all__ = [
    'Change',
    'LogRecord',
    'Replica',
    'SnapshotPart',
    'Versioned',
    'snapshot_parts',
]

ENTITIES_PER_PART = 400


class SnapshotPart(typing.TypedDict):
    """One part of a snapshot of the state below the offset ``as_of``."""

    snapshot_id: str
    as_of: int
    part: int
    parts: int
    entities: list[tuple[str, int, typing.Any]]


class LogRecord(typing.TypedDict, total=False):
    """A record as stored in the log.

    It has either ``expects`` and ``puts`` or ``snapshot``. A put of ``None``
    deletes the entity.
    """

    id: str
    node: str
    expects: dict[str, int]
    puts: dict[str, typing.Any]
    snapshot: SnapshotPart


class Versioned(typing.NamedTuple):
    """The value of an entity, and the number of times it has been put."""

    version: int
    value: typing.Any


class Change(typing.NamedTuple):
    """A changed entity; ``value`` is None if it was deleted."""

    entity: str
    value: typing.Any


ABSENT = Versioned(0, None)


def snapshot_parts(
    snapshot_id: str,
    as_of: int,
    by_entity: typing.Mapping[str, Versioned],
) -> list[SnapshotPart]:
    """Return the snapshot of the state ``by_entity`` in parts."""
    rows = [
        (entity, versioned.version, versioned.value)
        for entity, versioned in by_entity.items()
    ]
    chunks = [
        rows[start : start + ENTITIES_PER_PART]
        for start in range(0, len(rows), ENTITIES_PER_PART)
    ] or [[]]
    return [
        {
            'snapshot_id': snapshot_id,
            'as_of': as_of,
            'part': number,
            'parts': len(chunks),
            'entities': chunk,
        }
        for number, chunk in enumerate(chunks)
    ]


class Replica:
    """The state that one reader has built from the log.

    Pass the records to ``apply`` in the order of their offsets, without gaps.
    Invariant: the version of an entity never decreases while it exists.
    """

    def __init__(self) -> None:
        self._by_entity: dict[str, Versioned] = {}
        self._next_offset = 0
        self._is_complete = True
        self._gap_end = 0
        self._buffer: list[tuple[int, LogRecord]] = []
        self._parts_by_snapshot: dict[str, dict[int, SnapshotPart]] = {}
        self._snapshot_as_of = 0

    @property
    def next_offset(self) -> int:
        """The offset of the next record to apply."""
        return self._next_offset

    @property
    def is_complete(self) -> bool:
        """Whether the state contains all records below ``next_offset``."""
        return self._is_complete

    @property
    def snapshot_as_of(self) -> int:
        """The highest ``as_of`` of the complete snapshots read."""
        return self._snapshot_as_of

    def __len__(self) -> int:
        return len(self._by_entity)

    def get(self, entity: str) -> Versioned:
        """Return the entity, with version 0 if it does not exist."""
        return self._by_entity.get(entity, ABSENT)

    def copy(self) -> dict[str, Versioned]:
        """Return a copy of the state, by entity."""
        return dict(self._by_entity)

    def with_prefix(self, prefix: str) -> dict[str, Versioned]:
        """Return the entities whose names start with ``prefix``."""
        return {
            entity: versioned
            for entity, versioned in self._by_entity.items()
            if entity.startswith(prefix)
        }

    def skip_to(self, first_offset: int) -> None:
        """Continue at ``first_offset``, since older records were trimmed.

        The state stays as it is, but is incomplete until a snapshot covers
        the gap. Raises ``InvariantError`` unless ``first_offset`` is above
        ``next_offset``.
        """
        errors.check(
            first_offset > self._next_offset,
            f'cannot skip from {self._next_offset} to {first_offset}',
        )
        self._next_offset = first_offset
        self._gap_end = first_offset
        self._is_complete = False
        self._buffer.clear()
        self._parts_by_snapshot.clear()

    def apply(
        self, offset: int, record: LogRecord
    ) -> tuple[bool, list[Change]]:
        """Apply the next record; return whether it applied, and the changes.

        While the state is incomplete, records are buffered until a snapshot
        completes it; the changes then are those of all buffered records.
        Raises ``InvariantError`` if ``offset`` is not ``next_offset``.
        """
        errors.check(
            offset == self._next_offset,
            f'record at offset {offset}, expected {self._next_offset}',
        )
        self._next_offset = offset + 1
        if 'snapshot' in record:
            return True, self._add_part(record['snapshot'])
        if not self._is_complete:
            self._buffer.append((offset, record))
            return False, []
        return self._apply_conditionally(record)

    def _apply_conditionally(
        self, record: LogRecord
    ) -> tuple[bool, list[Change]]:
        for entity, version in record.get('expects', {}).items():
            if self.get(entity).version != version:
                return False, []
        changes = []
        for entity, value in record.get('puts', {}).items():
            self._put(entity, value)
            changes.append(Change(entity, value))
        return True, changes

    def _put(self, entity: str, value: typing.Any) -> None:
        if value is None:
            self._by_entity.pop(entity, None)
            return
        version = self.get(entity).version + 1
        self._by_entity[entity] = Versioned(version, value)

    def _add_part(self, part: SnapshotPart) -> list[Change]:
        parts = self._parts_by_snapshot.setdefault(part['snapshot_id'], {})
        parts[part['part']] = part
        if len(parts) < part['parts']:
            return []
        del self._parts_by_snapshot[part['snapshot_id']]
        self._snapshot_as_of = max(self._snapshot_as_of, part['as_of'])
        if self._is_complete:
            return []
        return self._load(part['as_of'], list(parts.values()))

    def _load(self, as_of: int, parts: list[SnapshotPart]) -> list[Change]:
        if as_of < self._gap_end:
            return []
        before = self._by_entity
        self._by_entity = {
            entity: Versioned(version, value)
            for part in parts
            for entity, version, value in part['entities']
        }
        self._is_complete = True
        for offset, record in self._buffer:
            if offset >= as_of:
                self._apply_conditionally(record)
        self._buffer.clear()
        return self._difference(before)

    def _difference(self, before: dict[str, Versioned]) -> list[Change]:
        changes = []
        for entity, versioned in self._by_entity.items():
            old = before.get(entity)
            if old == versioned:
                continue
            errors.check(
                old is None or old.version <= versioned.version,
                f'version of {entity} decreased to {versioned.version}',
            )
            changes.append(Change(entity, versioned.value))
        for entity in before:
            if entity not in self._by_entity:
                changes.append(Change(entity, None))
        return changes

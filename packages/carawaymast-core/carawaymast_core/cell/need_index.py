"""Finds the groups of waiting steps of one kind that fit on some worker.

However many groups there are of which none fits, few are looked at: they are
kept sorted by processors, in chunks whose least and greatest needs are known.
"""

import bisect
import typing

from carawaymast_core.cell import largest_free

if typing.TYPE_CHECKING:
    from carawaymast_core.cell import waiting

__all__ = ['NeedIndex']

MAX_CHUNK_LENGTH = 96


class _Row(typing.NamedTuple):
    """A group and what one of its tasks needs."""

    cpu_millis: int
    memory_mb: int
    number: int
    group: 'waiting.Group'


class _Chunk:
    """Rows that follow each other, and the bounds of their memory."""

    def __init__(self, rows: list[_Row]):
        self.rows = rows
        self.update()

    def update(self) -> None:
        """Compute the bounds again, after a change of the rows."""
        self.least_memory_mb = min(row.memory_mb for row in self.rows)
        self.most_memory_mb = max(row.memory_mb for row in self.rows)


class NeedIndex:
    """Groups of one kind by the processors and memory that they need."""

    def __init__(self) -> None:
        self._chunks: list[_Chunk] = []
        # The first row of each chunk.
        self._firsts: list[_Row] = []

    def __bool__(self) -> bool:
        return bool(self._chunks)

    def __iter__(self) -> typing.Iterator['waiting.Group']:
        for chunk in self._chunks:
            for row in chunk.rows:
                yield row.group

    def add(self, group: 'waiting.Group') -> None:
        """Add a group."""
        row = _row(group)
        if not self._chunks:
            self._chunks.append(_Chunk([row]))
            self._firsts.append(row)
            return
        position = self._position(row)
        chunk = self._chunks[position]
        bisect.insort(chunk.rows, row)
        if len(chunk.rows) > MAX_CHUNK_LENGTH:
            half = len(chunk.rows) // 2
            tail = _Chunk(chunk.rows[half:])
            del chunk.rows[half:]
            self._chunks.insert(position + 1, tail)
            self._firsts.insert(position + 1, tail.rows[0])
        chunk.update()
        self._firsts[position] = chunk.rows[0]

    def remove(self, group: 'waiting.Group') -> None:
        """Remove a group that was added."""
        row = _row(group)
        position = self._position(row)
        chunk = self._chunks[position]
        del chunk.rows[bisect.bisect_left(chunk.rows, row)]
        if not chunk.rows:
            del self._chunks[position]
            del self._firsts[position]
            return
        chunk.update()
        self._firsts[position] = chunk.rows[0]

    def fitting(
        self, largest: largest_free.LargestFree
    ) -> typing.Iterator['waiting.Group']:
        """Yield the groups of which a task fits on some worker."""
        for chunk in self._chunks:
            least_cpu_millis = chunk.rows[0].cpu_millis
            if least_cpu_millis > largest.cpu_millis:
                return
            if not largest.may_have(
                least_cpu_millis,
                chunk.least_memory_mb,
                chunk.rows[-1].cpu_millis,
                chunk.most_memory_mb,
            ):
                continue
            for cpu_millis, memory_mb, _, group in chunk.rows:
                if largest.has(cpu_millis, memory_mb):
                    yield group

    def _position(self, row: _Row) -> int:
        """Return the position of the chunk where a row belongs."""
        return max(0, bisect.bisect_right(self._firsts, row) - 1)


def _row(group: 'waiting.Group') -> _Row:
    need = group.need
    return _Row(need.cpu_millis, need.memory_mb, group.number, group)

"""The users' platform's store by its published protocol, in memory.

``KeyedLog.send`` takes the place of the transport, so that the real adapter
speaks to it without a network. Faults: it can be down, lose the answers of
writes, carry writes out late, and drop its history.
"""

import asyncio
import base64
import json
import struct
import urllib.parse

from carawaymast_node.cells import ports

__all__ = ['KeyedLog']

LENGTH = struct.Struct('>I')
ENDS = struct.Struct('>QQ')
REMEMBERED_APPENDS = 5
NEWEST_PAGE = 3
MAX_READ_KB = 1_024


class _Writer:
    """What a partition remembers of one producer."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.answers: dict[int, dict] = {}


class _Part:
    """The records of one partition."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.writers: dict[str, _Writer] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)


class KeyedLog:
    """All topics of the store."""

    def __init__(self) -> None:
        self._part_by_name: dict[tuple[str, int], _Part] = {}
        self.is_down = False
        # Calls are not answered, and not carried out.
        self.is_silent = False
        self.refused: set[str] = set()
        self.lose_answers = 0
        self.late: list[tuple[str, str, bytes]] = []
        self.delay_writes = 0
        self.calls: list[str] = []

    def transport(self, node_id: str) -> ports.StoreSend:
        """Return the way of one node to the store."""

        async def send(method, target, body, timeout_ms):
            # Calls of one node overtake each other here, as on the wire.
            await asyncio.sleep(0)
            if self.is_silent:
                await asyncio.sleep(timeout_ms / 1000)
                raise ports.StoreError('no answer', True)
            if self.is_down or node_id in self.refused:
                raise ports.StoreError('status 503', False)
            return self.send(method, target, body)

        return send

    def send(self, method: str, target: str, body: bytes):
        """Carry out one call; return status and body."""
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        self.calls.append(path)
        is_write = path == '/-/log-append'
        if is_write and self.delay_writes:
            self.delay_writes -= 1
            self.late.append((method, target, body))
            raise ports.StoreError('no answer', True)
        status, answer = self._dispatch(path, fields, body)
        if is_write and self.lose_answers:
            self.lose_answers -= 1
            raise ports.StoreError('no answer', True)
        if isinstance(answer, bytes):
            return status, answer
        return status, json.dumps(answer).encode()

    def carry_out_late(self) -> None:
        """Carry out the writes that were held back."""
        late, self.late = self.late, []
        for _, target, body in late:
            path, _, query = target.partition('?')
            self._dispatch(path, dict(urllib.parse.parse_qsl(query)), body)

    def drop_history(self) -> None:
        """Forget all records but the newest of each key."""
        for part in self._part_by_name.values():
            part.first = part.end
            part.records = []

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator or a runner does."""
        part = self._part(topic, 0)
        part.add(bytes([len(key)]) + key.encode() + value)

    def _part(self, topic: str, number: int) -> _Part:
        return self._part_by_name.setdefault((topic, number), _Part())

    def _dispatch(self, path, fields, body):
        part = self._part(fields['topic'], int(fields['part']))
        if path == '/-/log-append':
            return self._append(part, fields, body)
        if path == '/-/log-read':
            return self._read(
                part,
                int(fields['from']),
                int(fields.get('max_kb', MAX_READ_KB)),
            )
        return self._newest(part, fields.get('after', ''))

    def _append(self, part: _Part, fields, body):
        writer = None
        if 'producer' in fields:
            writer = part.writers.setdefault(fields['producer'], _Writer())
            refused = self._check_writer(
                writer, int(fields['epoch']), int(fields['seq'])
            )
            if refused is not None:
                return refused
        if 'at' in fields and int(fields['at']) != part.end:
            return 412, {'end_offset': part.end}
        answer = {'offset': part.end}
        position = 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            part.add(body[position : position + length])
            position += length
        answer['end_offset'] = part.end
        if writer is not None and body:
            writer.sequence = int(fields['seq'])
            writer.answers[writer.sequence] = answer
            for old in sorted(writer.answers)[:-REMEMBERED_APPENDS]:
                del writer.answers[old]
        return 200, answer

    def _check_writer(self, writer: _Writer, epoch: int, sequence: int):
        if epoch < writer.epoch:
            return 409, {'reason': 'fenced'}
        if epoch > writer.epoch:
            writer.epoch = epoch
            writer.sequence = None
            writer.answers = {}
        if sequence in writer.answers:
            return 200, writer.answers[sequence]
        if writer.sequence is not None and sequence != writer.sequence + 1:
            return 409, {'reason': 'seq', 'seq': writer.sequence + 1}
        return None

    def _read(self, part: _Part, start: int, max_kb: int):
        if start < part.first:
            return 410, {'first_offset': part.first}
        raw = ENDS.pack(part.end, part.first)
        for record in part.records[start - part.first :]:
            if len(raw) + len(record) > max_kb * 1_024:
                break
            raw += LENGTH.pack(len(record)) + record
        return 200, raw

    def _newest(self, part: _Part, after: str):
        keys = sorted(key for key in part.newest if key > after)
        items = [
            {
                'key': key,
                'offset': part.newest[key][0],
                'value': base64.b64encode(part.newest[key][1]).decode(),
            }
            for key in keys[:NEWEST_PAGE]
        ]
        has_more = len(keys) > NEWEST_PAGE
        return 200, {
            'items': items,
            'has_more': has_more,
            'end_offset': part.end,
        }

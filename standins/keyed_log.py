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

LENGTH_PREFIX = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')
MAX_STORED_ANSWERS = 5
NEWEST_PAGE_KEYS = 3
MAX_READ_KB = 1_024


class _Producer:
    """What a partition remembers of one producer."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.answer_by_sequence: dict[int, dict] = {}


class _Partition:
    """The records of one partition."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.producer_by_id: dict[str, _Producer] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            self.newest_by_key[key] = (self.end, value)
        else:
            self.newest_by_key.pop(key, None)
        self.records.append(record)


class KeyedLog:
    """All topics of the store."""

    def __init__(self) -> None:
        self._partition_by_name: dict[tuple[str, int], _Partition] = {}
        self.is_down = False
        # Calls are not answered, and not carried out.
        self.is_silent = False
        self.refused: set[str] = set()
        self.answers_to_lose = 0
        self.delayed_writes: list[tuple[str, str, bytes]] = []
        self.writes_to_delay = 0
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
        if is_write and self.writes_to_delay:
            self.writes_to_delay -= 1
            self.delayed_writes.append((method, target, body))
            raise ports.StoreError('no answer', True)
        status, answer = self._dispatch(path, fields, body)
        if is_write and self.answers_to_lose:
            self.answers_to_lose -= 1
            raise ports.StoreError('no answer', True)
        if isinstance(answer, bytes):
            return status, answer
        return status, json.dumps(answer).encode()

    def apply_delayed_writes(self) -> None:
        """Carry out the writes that were held back."""
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for _, target, body in delayed_writes:
            path, _, query = target.partition('?')
            self._dispatch(path, dict(urllib.parse.parse_qsl(query)), body)

    def drop_history(self) -> None:
        """Forget all records but the newest of each key."""
        for partition_log in self._partition_by_name.values():
            partition_log.first = partition_log.end
            partition_log.records = []

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator or a runner does."""
        partition_log = self._partition(topic, 0)
        partition_log.add(bytes([len(key)]) + key.encode() + value)

    def _partition(self, topic: str, number: int) -> _Partition:
        return self._partition_by_name.setdefault(
            (topic, number), _Partition()
        )

    def _dispatch(self, path, fields, body):
        partition_log = self._partition(fields['topic'], int(fields['part']))
        if path == '/-/log-append':
            return self._append(partition_log, fields, body)
        if path == '/-/log-read':
            return self._read(
                partition_log,
                int(fields['from']),
                int(fields.get('max_kb', MAX_READ_KB)),
            )
        return self._newest(partition_log, fields.get('after', ''))

    def _append(self, partition_log: _Partition, fields, body):
        producer = None
        if 'producer' in fields:
            producer = partition_log.producer_by_id.setdefault(
                fields['producer'], _Producer()
            )
            refused = self._check_producer(
                producer, int(fields['epoch']), int(fields['seq'])
            )
            if refused is not None:
                return refused
        if 'at' in fields and int(fields['at']) != partition_log.end:
            return 412, {'end_offset': partition_log.end}
        answer = {'offset': partition_log.end}
        position = 0
        while position < len(body):
            (length,) = LENGTH_PREFIX.unpack_from(body, position)
            position += LENGTH_PREFIX.size
            partition_log.add(body[position : position + length])
            position += length
        answer['end_offset'] = partition_log.end
        if producer is not None and body:
            producer.sequence = int(fields['seq'])
            producer.answer_by_sequence[producer.sequence] = answer
            for old in sorted(producer.answer_by_sequence)[
                :-MAX_STORED_ANSWERS
            ]:
                del producer.answer_by_sequence[old]
        return 200, answer

    def _check_producer(self, producer: _Producer, epoch: int, sequence: int):
        if epoch < producer.epoch:
            return 409, {'reason': 'fenced'}
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.sequence = None
            producer.answer_by_sequence = {}
        if sequence in producer.answer_by_sequence:
            return 200, producer.answer_by_sequence[sequence]
        if producer.sequence is not None and sequence != producer.sequence + 1:
            return 409, {'reason': 'seq', 'seq': producer.sequence + 1}
        return None

    def _read(self, partition_log: _Partition, start: int, max_kb: int):
        if start < partition_log.first:
            return 410, {'first_offset': partition_log.first}
        raw = READ_HEADER.pack(partition_log.end, partition_log.first)
        for record in partition_log.records[start - partition_log.first :]:
            if len(raw) + len(record) > max_kb * 1_024:
                break
            raw += LENGTH_PREFIX.pack(len(record)) + record
        return 200, raw

    def _newest(self, partition_log: _Partition, after: str):
        keys = sorted(
            key for key in partition_log.newest_by_key if key > after
        )
        items = [
            {
                'key': key,
                'offset': partition_log.newest_by_key[key][0],
                'value': base64.b64encode(
                    partition_log.newest_by_key[key][1]
                ).decode(),
            }
            for key in keys[:NEWEST_PAGE_KEYS]
        ]
        has_more = len(keys) > NEWEST_PAGE_KEYS
        return 200, {
            'items': items,
            'has_more': has_more,
            'end_offset': partition_log.end,
        }

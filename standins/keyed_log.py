"""An in-memory store with the published protocol of the users' platform.

``KeyedLog.send`` replaces the HTTP transport, so that the real adapter can
call it without a network. Simulated faults: it is down, it never answers,
the answers to writes are lost, writes are applied late, and old records are
dropped.
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
MAX_STORED_ANSWERS = 5  # for each producer
NEWEST_PAGE_KEYS = 3  # so few that tests read several pages
MAX_READ_KB = 1_024


class _Producer:
    """The epoch and last answers of a producer, for repeated writes."""

    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.answer_by_sequence: dict[int, dict] = {}


class _Partition:
    """The records of one partition, and the newest of each key."""

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
    """The partitions of all topics, and the faults that are set."""

    def __init__(self) -> None:
        self._partition_by_name: dict[tuple[str, int], _Partition] = {}
        self.is_down = False
        # Calls are neither carried out nor answered.
        self.is_silent = False
        # Ids of the nodes whose calls are refused.
        self.refused: set[str] = set()
        self.answers_to_lose = 0
        self.delayed_writes: list[tuple[str, str, bytes]] = []
        self.writes_to_delay = 0
        self.calls: list[str] = []

    def transport(self, node_id: str) -> ports.StoreSend:
        """Return the function by which one node calls the store."""

        async def send(method, target, body, timeout_ms):
            # Calls of one node can overtake each other, as on a network.
            await asyncio.sleep(0)
            if self.is_silent:
                await asyncio.sleep(timeout_ms / 1000)
                raise ports.StoreError('no answer', True)
            if self.is_down or node_id in self.refused:
                raise ports.StoreError('status 503', False)
            return self.send(method, target, body)

        return send

    def send(self, method: str, target: str, body: bytes) -> ports.StoreReply:
        """Carry out one call and return the reply.

        Raises ``ports.StoreError`` if the answer is lost or delayed.
        """
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
        raw = answer
        if not isinstance(answer, bytes):
            raw = json.dumps(answer).encode()
        return ports.StoreReply(status, raw)

    def apply_delayed_writes(self) -> None:
        """Carry out the writes that were delayed."""
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for _, target, body in delayed_writes:
            path, _, query = target.partition('?')
            self._dispatch(path, dict(urllib.parse.parse_qsl(query)), body)

    def drop_history(self) -> None:
        """Drop all records but the newest of each key."""
        for partition in self._partition_by_name.values():
            partition.first = partition.end
            partition.records = []

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, as the operator or a runner does."""
        partition = self._partition(topic, 0)
        partition.add(bytes([len(key)]) + key.encode() + value)

    def _partition(self, topic: str, number: int) -> _Partition:
        return self._partition_by_name.setdefault(
            (topic, number), _Partition()
        )

    def _dispatch(self, path, fields, body):
        partition = self._partition(fields['topic'], int(fields['part']))
        if path == '/-/log-append':
            return self._append(partition, fields, body)
        if path == '/-/log-read':
            return self._read(
                partition,
                int(fields['from']),
                int(fields.get('max_kb', MAX_READ_KB)),
            )
        return self._newest(partition, fields.get('after', ''))

    def _append(self, partition: _Partition, fields, body):
        producer = None
        if 'producer' in fields:
            producer = partition.producer_by_id.setdefault(
                fields['producer'], _Producer()
            )
            refused = self._check_producer(
                producer, int(fields['epoch']), int(fields['seq'])
            )
            if refused is not None:
                return refused
        if 'at' in fields and int(fields['at']) != partition.end:
            return 412, {'end_offset': partition.end}
        answer = {'offset': partition.end}
        position = 0
        while position < len(body):
            (length,) = LENGTH_PREFIX.unpack_from(body, position)
            position += LENGTH_PREFIX.size
            partition.add(body[position : position + length])
            position += length
        answer['end_offset'] = partition.end
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

    def _read(self, partition: _Partition, start: int, max_kb: int):
        if start < partition.first:
            return 410, {'first_offset': partition.first}
        raw = READ_HEADER.pack(partition.end, partition.first)
        for record in partition.records[start - partition.first :]:
            if len(raw) + len(record) > max_kb * 1_024:
                break
            raw += LENGTH_PREFIX.pack(len(record)) + record
        return 200, raw

    def _newest(self, partition: _Partition, after: str):
        keys = sorted(key for key in partition.newest_by_key if key > after)
        items = [
            {
                'key': key,
                'offset': partition.newest_by_key[key][0],
                'value': base64.b64encode(
                    partition.newest_by_key[key][1]
                ).decode(),
            }
            for key in keys[:NEWEST_PAGE_KEYS]
        ]
        has_more = len(keys) > NEWEST_PAGE_KEYS
        return 200, {
            'items': items,
            'has_more': has_more,
            'end_offset': partition.end,
        }

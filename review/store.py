"""The platform's metadata store: keyed topics of a log.

Each node has a gate of its own, a port at which it reaches the store, so that
the store can turn single machines away.
"""

import asyncio
import base64
import random
import struct
import typing

from review import web

__all__ = ['Gate', 'Store']

LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')
KEPT_ANSWERS = 5
PAGE_ITEMS = 500
POLL_S = 0.01
# A silent store lets go of a connection after this time.
SILENT_S = 30.0


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.sequence: int | None = None
        self.answers: dict[int, dict] = {}


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, _Producer] = {}

    def add(self, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)


class Gate:
    """One machine's way to the store.

    ``is_busy`` refuses all calls with 503: nothing is done.
    """

    def __init__(self, store: 'Store'):
        self._store = store
        self.is_busy = False
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await web.serve(web.HOST, 0, self._handle)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server

    async def _handle(self, request: web.Request) -> web.Reply | None:
        if self.is_busy:
            return web.Reply(503)
        return await self._store.handle(request)


class Store:
    """The store; it loses nothing that it has acknowledged.

    While ``is_down`` it answers nothing and does nothing. ``lost_share`` of
    the writes are done and not answered.
    """

    def __init__(self, seed: int = 0):
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._random = random.Random(seed)
        self.is_down = False
        self.lost_share = 0.0
        self.writes = 0
        self.lost_writes = 0
        # Called with the topic and the keys of each write of a node.
        self.on_write: typing.Callable[[str, list[str], bool], None]
        self.on_write = lambda topic, keys, is_lost: None

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a runner does."""
        record = bytes([len(key)]) + key.encode() + value
        self._partition(topic, 0).add(record)

    def keys(self, topic: str) -> list[str]:
        """Return the keys of a topic."""
        return list(self._partition(topic, 0).newest)

    def newest(self, topic: str, key: str) -> bytes:
        """Return the newest value of a key, empty if there is none."""
        return self._partition(topic, 0).newest.get(key, (0, b''))[1]

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    async def handle(self, request: web.Request) -> web.Reply | None:
        """Answer a call of a node."""
        if self.is_down:
            await asyncio.sleep(SILENT_S)
            return None
        query = request.query
        if request.path == '/-/log-append':
            return self._handle_append(query, request.body)
        if request.path == '/-/log-read':
            return await self._handle_read(query)
        if request.path == '/-/log-newest':
            return self._handle_newest(query)
        return web.Reply(404)

    def _handle_append(self, query, body: bytes) -> web.Reply | None:
        status, answer = self._append(query, body)
        is_lost = False
        if status == 200 and body:
            self.writes += 1
            is_lost = self._random.random() < self.lost_share
            self.lost_writes += is_lost
            keys = [r[1 : 1 + r[0]].decode() for r in _split(body)]
            self.on_write(query['topic'], keys, is_lost)
        return None if is_lost else web.json_reply(status, answer)

    def _append(self, query, body: bytes) -> tuple[int, dict]:
        partition = self._partition(query['topic'], int(query['part']))
        producer = None
        if 'producer' in query:
            producer = partition.producers.setdefault(
                query['producer'], _Producer()
            )
            refusal = _check_producer(
                producer, int(query['epoch']), int(query['seq']), bool(body)
            )
            if refusal is not None:
                return refusal
        end = len(partition.records)
        if 'at' in query and int(query['at']) != end:
            return 412, {'end_offset': end}
        for record in _split(body):
            partition.add(record)
        answer = {'offset': end, 'end_offset': len(partition.records)}
        if producer is not None and body:
            producer.sequence = int(query['seq'])
            producer.answers[producer.sequence] = answer
            for old in sorted(producer.answers)[:-KEPT_ANSWERS]:
                del producer.answers[old]
        return 200, answer

    async def _handle_read(self, query) -> web.Reply | None:
        partition = self._partition(query['topic'], int(query['part']))
        start = int(query['from'])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get('wait_ms', '0')) / 1000
        while start >= len(partition.records) and loop.time() < until_s:
            await asyncio.sleep(POLL_S)
            if self.is_down:
                await asyncio.sleep(SILENT_S)
                return None
        raw = READ_HEADER.pack(len(partition.records), 0)
        limit = int(query.get('max_kb', '1024')) * 1024
        for record in partition.records[start:]:
            if len(raw) > READ_HEADER.size and len(raw) + len(record) > limit:
                break
            raw += LENGTH.pack(len(record)) + record
        return web.Reply(200, raw)

    def _handle_newest(self, query) -> web.Reply:
        partition = self._partition(query['topic'], int(query['part']))
        after = query.get('after', '')
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                'key': key,
                'offset': partition.newest[key][0],
                'value': base64.b64encode(partition.newest[key][1]).decode(),
            }
            for key in keys[:PAGE_ITEMS]
        ]
        answer = {
            'items': items,
            'has_more': len(keys) > PAGE_ITEMS,
            'end_offset': len(partition.records),
        }
        return web.json_reply(200, answer)


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


def _check_producer(
    producer: _Producer, epoch: int, sequence: int, has_records: bool
) -> tuple[int, dict] | None:
    """Return the answer to a repeat or to a wrong number, or None."""
    if epoch < producer.epoch:
        return 409, {'reason': 'fenced'}
    if epoch > producer.epoch:
        producer.epoch = epoch
        producer.sequence = None
        producer.answers = {}
    if not has_records:
        return None
    if sequence in producer.answers:
        return 200, producer.answers[sequence]
    if producer.sequence is not None and sequence != producer.sequence + 1:
        return 409, {'reason': 'seq', 'seq': producer.sequence + 1}
    return None

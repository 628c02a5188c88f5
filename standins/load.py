"""Send an open-loop load of several kinds and count its outcomes.

Arrivals are drawn from a seed before the load starts, so that two runs send
the same requests at the same times.
"""

import asyncio
import itertools
import random
import time
import typing

import aiohttp
from hdrh import histogram
import msgspec

__all__ = ['Arrival', 'Caller', 'Stream', 'draw_arrivals', 'job_body']

MAX_LATENCY_MS = 600_000
CLIENT_TIMEOUT_S = 150
MAX_STORED_ERRORS = 10  # enough to see what the errors have in common


class Stream(typing.NamedTuple):
    """Requests of one kind at one rate during a part of the load.

    ``rate`` is in requests a second; ``from_s`` and ``until_s`` count from
    the start of the load.
    """

    kind: str
    team: str
    rate: float
    run_ms: int
    is_idempotent: bool
    deadline_ms: int
    from_s: float = 0.0
    until_s: float = float('inf')


class Arrival(typing.NamedTuple):
    """One request; ``at_s`` counts from the start of the load."""

    at_s: float
    stream: Stream
    number: int


class KindResult:
    """The outcomes of the requests of one kind, as callers saw them.

    Requests that were ``refused`` did not run, those that ``failed`` did,
    and those that are ``unknown`` may have. ``node_lost`` counts calls
    without a valid answer.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.done = 0
        self.failed = 0
        self.refused = 0
        self.unknown = 0
        self.node_lost = 0
        self.wrong_answers = 0
        self.latency_ms = histogram.HdrHistogram(1, MAX_LATENCY_MS, 2)

    @property
    def is_consistent(self) -> bool:
        """Whether the outcomes sum to the requests sent."""
        ended = self.done + self.failed + self.refused + self.unknown
        return self.sent == ended + self.node_lost


def job_body(
    kind: str,
    team: str,
    count: int,
    size: tuple[int, int, int],
    run_ms: int,
    gang: bool = False,
) -> dict[str, typing.Any]:
    """Return the body of a job of ``count`` equal tasks.

    ``size`` is in thousandths of a processor, megabytes and accelerators.
    """
    cpu_millis, memory_mb, accelerators = size
    tasks = [
        {
            'name': f't{index}',
            'cpu_millis': cpu_millis,
            'memory_mb': memory_mb,
            'accelerators': accelerators,
            'run_ms': run_ms,
        }
        for index in range(count)
    ]
    return {'kind': kind, 'team': team, 'gang': gang, 'tasks': tasks}


def draw_arrivals(
    streams: typing.Sequence[Stream], duration_s: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of all streams, sorted by time."""
    source = random.Random(seed)
    arrivals = []
    numbers = itertools.count()
    for stream in streams:
        at_s = stream.from_s
        end_s = min(duration_s, stream.until_s)
        while True:
            at_s += source.expovariate(stream.rate)
            if at_s >= end_s:
                break
            arrivals.append(Arrival(at_s, stream, next(numbers)))
    arrivals.sort()
    return arrivals


class Caller:
    """Sends requests to nodes and counts the outcomes.

    ``urls`` returns the URLs of the nodes. ``pick_url`` takes them and the
    number of a request and returns one; by default, nodes take turns.
    """

    def __init__(
        self,
        urls: typing.Callable[[], list[str]],
        pick_url: typing.Callable[[list[str], int], str] | None = None,
    ):
        self._urls = urls
        self._pick_url = pick_url or (
            lambda urls, number: urls[number % len(urls)]
        )
        self.result_by_kind: dict[str, KindResult] = {}
        self.not_run_ids: set[str] = set()
        self.done_ids: set[str] = set()
        self.errors: dict[str, int] = {}
        self.first_errors: list[typing.Any] = []

    async def send_load(
        self,
        arrivals: typing.Sequence[Arrival],
        on_second: typing.Callable[[int], None] = lambda second: None,
    ) -> None:
        """Send each arrival at its time and wait for all answers.

        ``on_second`` is called with the number of each second that begins.
        """
        timeout = aiohttp.ClientTimeout(CLIENT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            started = time.monotonic()
            seconds = 0
            async with asyncio.TaskGroup() as group:
                for arrival in arrivals:
                    elapsed = time.monotonic() - started
                    if elapsed >= seconds:
                        on_second(seconds)
                        seconds += 1
                    if arrival.at_s > elapsed:
                        await asyncio.sleep(arrival.at_s - elapsed)
                    group.create_task(self._send(session, arrival))

    async def _send(self, session, arrival: Arrival) -> None:
        stream = arrival.stream
        result = self.result_by_kind.setdefault(stream.kind, KindResult())
        result.sent += 1
        url = self._pick_url(self._urls(), arrival.number)
        body = msgspec.json.encode(
            {
                'kind': stream.kind,
                'team': stream.team,
                'deadline_ms': stream.deadline_ms,
                'idempotent': stream.is_idempotent,
                'payload': {'run_ms': stream.run_ms, 'echo': arrival.number},
            }
        )
        started = time.monotonic()
        try:
            async with session.post(
                f'{url}/v1/requests', data=body
            ) as response:
                answer = msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            result.node_lost += 1
            return
        elapsed_ms = (time.monotonic() - started) * 1000
        self._count(result, arrival, answer, elapsed_ms)

    def _count(self, result, arrival, answer, elapsed_ms: float) -> None:
        if answer.get('outcome') == 'done':
            result.done += 1
            result.latency_ms.record_value(max(1, int(elapsed_ms)))
            self.done_ids.add(answer['request_id'])
            if answer['result'] != {'echo': arrival.number}:
                result.wrong_answers += 1
            return
        error = answer['error']
        self.errors[error] = self.errors.get(error, 0) + 1
        if len(self.first_errors) < MAX_STORED_ERRORS:
            self.first_errors.append(answer)
        if answer['ran'] == 'no':
            result.refused += 1
            self.not_run_ids.add(answer['request_id'])
        elif answer['ran'] == 'yes':
            result.failed += 1
        else:
            result.unknown += 1

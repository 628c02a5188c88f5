"""Measure how resource use grows with size, for docs/CAPACITY.md.

Each slope is measured at three sizes or more and fitted by least squares;
the residual is the largest distance of a point from the line, as a share of
the largest value::

    python -m bench.slopes
"""

import asyncio
import gc
import os
import random
import subprocess
import sys
import time
import tracemalloc
import typing

import msgspec
import tabulate

from carawaymast_core import attempts
from carawaymast_core import clock as clock_mod
from carawaymast_core import fairqueue
from carawaymast_core import jobindex
from carawaymast_core import jobs
from carawaymast_core import membership
from carawaymast_core import records
from carawaymast_core import resources
from carawaymast_core import shares
from carawaymast_core import slots
from carawaymast_core import table as table_mod
from carawaymast_core import worker_tracker
from carawaymast_node import heartbeats
from carawaymast_node import peer_pb2
from carawaymast_node import worker_port
from standins import deployment
from standins import serving

__all__ = ['main']

REPEATS = 5
OWNED_WORKER_COUNTS = (50, 100, 200)
IDLE_MEASURE_S = 8.0
LEASE_MS = 6_000
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


class Slope(typing.NamedTuple):
    """A fitted line through measured points."""

    name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    unit: str

    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and residual."""
        count = len(self.sizes)
        mean_x = sum(self.sizes) / count
        mean_y = sum(self.values) / count
        pairs = list(zip(self.sizes, self.values, strict=True))
        sum_xx = sum((x - mean_x) ** 2 for x in self.sizes)
        sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
        slope = sum_xy / sum_xx
        intercept = mean_y - slope * mean_x
        worst = max(abs(y - intercept - slope * x) for x, y in pairs)
        return slope, intercept, worst / max(map(abs, self.values))


def bytes_of(build: typing.Callable[[], typing.Any]) -> int:
    """Return the bytes of memory that the result of ``build`` takes."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return used


def min_call_us(call: typing.Callable[[], typing.Any], count: int) -> float:
    """Return the microseconds of a call, the minimum of several rounds."""
    min_s = float('inf')
    for _ in range(REPEATS):
        started = time.perf_counter()
        for _ in range(count):
            call()
        min_s = min(min_s, time.perf_counter() - started)
    return min_s / count * 1_000_000


def task_record(number: int) -> records.LogRecord:
    """Return the record of a claim, as the coordinator writes it."""
    entity = jobs.task_entity(f'{number:032x}', f'part-{number % 8}')
    value = {
        'state': 'claimed',
        'attempt': 1,
        'worker': f'worker-{number % 2600}',
        'failures': 0,
    }
    return {
        'id': f'{number:032x}',
        'node': 'node-1',
        'expects': {entity: 0},
        'puts': {entity: value},
    }


def replica_of(count: int) -> records.Replica:
    """Return a replica with ``count`` claimed tasks."""
    replica = records.Replica()
    for number in range(count):
        raw = msgspec.json.encode(task_record(number))
        replica.apply(number, msgspec.json.decode(raw))
    return replica


def ended_jobs_of(count: int) -> records.Replica:
    """Return a replica with ``count`` ended jobs of ten tasks."""
    replica = records.Replica()
    for number in range(count):
        tasks = [
            (f't{n}', 'done', 1, f'worker-{number % 2600}') for n in range(10)
        ]
        value = {
            'spec': {
                'kind': 'renewal',
                'team': 'kilima',
                'gang': False,
                'tasks': [],
            },
            'state': 'done',
            'accepted_at_ms': number,
            'ended_at_ms': number,
            'ended_tasks': msgspec.json.encode(tasks).decode(),
        }
        record = {'puts': {jobs.job_entity(f'{number:032x}'): value}}
        raw = msgspec.json.encode(record)
        replica.apply(number, msgspec.json.decode(raw))
    return replica


def index_of(count: int) -> jobindex.JobIndex:
    """Return an index of ``count`` claimed tasks."""
    index = jobindex.JobIndex()
    for number in range(count):
        for entity, value in task_record(number)['puts'].items():
            index.apply(records.Change(entity, value))
    return index


def tracker_of(workers: int) -> worker_tracker.WorkerTracker:
    """Return a tracker of ``workers`` workers with 18 tasks each."""
    tracker = worker_tracker.WorkerTracker(clock_mod.ManualClock())
    capacity = resources.Resources(64_000, 256_000, 2)
    size = resources.Resources(3_000, 12_000, 0)
    for number in range(workers):
        tasks = [
            attempts.RunningTask(
                jobs.TaskRef(f'{number:032x}', f't{index}', 1),
                'renewal',
                size,
                attempts.AttemptStatus.RUNNING,
                0,
            )
            for index in range(18)
        ]
        tracker.add_worker(f'worker-{number}', capacity, 'd', tasks)
    return tracker


def rows_of(count: int) -> dict[str, table_mod.Row]:
    """Return a table of ``count`` rows."""
    return {
        f'kind-{number}': table_mod.Row(
            f'kind-{number}',
            f'team-{number}',
            number % 5,
            1.0,
            table_mod.Amount(0.9, True),
            table_mod.Amount(0.5 / count, True),
            10_000,
            1_000,
            True,
        )
        for number in range(count)
    }


def queue_of(rows: int) -> fairqueue.FairQueue:
    """Return a queue in which every row has waiting requests."""
    queue = fairqueue.FairQueue()
    queue.configure(table_mod.Table(1, rows_of(rows)))
    for number in range(rows * 3):
        kind = f'kind-{number % rows}'
        queue.push(fairqueue.Queued(str(number), kind, 0, 60_000))
    return queue


def state_slopes() -> list[Slope]:
    """Return the memory of each role's state."""
    found = []
    for name, build, sizes in (
        ('log reader: claimed task', replica_of, (2_000, 4_000, 8_000)),
        ('log reader: ended job of ten', ended_jobs_of, (500, 1_000, 2_000)),
        ('coordinator: claimed task', index_of, (2_000, 4_000, 8_000)),
        ('owner: worker with 18 tasks', tracker_of, (50, 100, 200)),
        ('table service and entry: row', queue_of, (85, 170, 340)),
    ):
        values = tuple(bytes_of(lambda b=build, s=s: b(s)) for s in sizes)
        found.append(Slope(name, sizes, values, 'bytes'))
    return found


def cpu_slopes() -> list[Slope]:
    """Return the processor time of operations that grow with a size."""
    found = []
    sizes = (85, 170, 340)
    values = []
    for size in sizes:
        queue = queue_of(size)

        def serve(queue=queue):
            queued = queue.pop_next(400)
            queue.finish(queued.kind, 50.0)
            queue.push(queued)

        values.append(min_call_us(serve, 100))
    found.append(Slope('entry: dispatch, by rows', sizes, tuple(values), 'us'))
    values = []
    for size in sizes:
        rows = rows_of(size)
        demand = {f'n{n}': dict.fromkeys(rows, 3) for n in range(9)}
        values.append(
            min_call_us(
                lambda rows=rows, d=demand: shares.divide_entries(
                    400, rows, d
                ),
                5,
            )
        )
    found.append(Slope('owner: division, by rows', sizes, tuple(values), 'us'))
    counts = (500, 1_000, 2_000)
    values = []
    for count in counts:
        raw = [msgspec.json.encode(task_record(n)) for n in range(count)]

        def read(raw=raw):
            replica, index = records.Replica(), jobindex.JobIndex()
            for offset, one in enumerate(raw):
                _, changes = replica.apply(offset, msgspec.json.decode(one))
                for change in changes:
                    index.apply(change)

        values.append(min_call_us(read, 1))
    found.append(Slope('log reader: record', counts, tuple(values), 'us'))
    values = []
    for count in counts:
        state = replica_of(count).copy()
        values.append(
            min_call_us(
                lambda state=state: msgspec.json.encode(
                    records.snapshot_parts('s', 1, state)
                ),
                1,
            )
        )
    found.append(Slope('log writer: snapshot', counts, tuple(values), 'us'))
    return found


def byte_slopes() -> list[Slope]:
    """Return the bytes of messages and of log records."""
    counts = (500, 1_000, 2_000)
    claims = tuple(
        sum(len(msgspec.json.encode(task_record(n))) for n in range(count))
        for count in counts
    )
    snapshots = tuple(
        len(
            msgspec.json.encode(
                records.snapshot_parts('s', 1, replica_of(count).copy())
            )
        )
        for count in counts
    )
    rows = (85, 170, 340)
    demands = tuple(
        peer_pb2.BeatRequest(
            demand_by_kind={f'kind-{n}': 3 for n in range(count)}
        ).ByteSize()
        for count in rows
    )
    workers = (5, 10, 20)
    held = tuple(
        peer_pb2.BeatRequest(
            held=[
                peer_pb2.HeldSlots(worker_id=f'worker-{n}', mask=255)
                for n in range(count)
            ]
        ).ByteSize()
        for count in workers
    )
    return [
        Slope('log: claim record', counts, claims, 'bytes'),
        Slope('log: task in a snapshot', counts, snapshots, 'bytes'),
        Slope('heartbeat: row with demand', rows, demands, 'bytes'),
        Slope('heartbeat: worker with held slots', workers, held, 'bytes'),
    ]


def cpu_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    with open(f'/proc/{pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def loopback_bytes() -> int:
    """Return the bytes that all processes have sent over loopback."""
    with open('/proc/net/dev') as counters:
        for line in counters:
            name, _, numbers = line.partition(':')
            if name.strip() == 'lo':
                return int(numbers.split()[8])
    raise RuntimeError('the loopback interface is missing')


def measure_idle_node(workers: int, nodes: int) -> tuple[float, float, float]:
    """Return CPU share, MB and bytes/s of a real idle node.

    The bytes are all that cross loopback, including the answers of the
    stand-ins, divided by the number of nodes; nothing else may use loopback
    during the measurement.
    """
    with deployment.Deployment(nodes, 1) as running:
        synthetic = SyntheticWorkers(workers)
        synthetic.start(running)
        try:
            running.wait_until(
                lambda: len(_owned_worker_ids(running)) >= workers + 1,
                'the owner',
                60,
            )
            pid = running.process_by_name['node-0'].pid
            before = cpu_s(pid), loopback_bytes(), time.monotonic()
            time.sleep(IDLE_MEASURE_S)
            elapsed = time.monotonic() - before[2]
            metrics = deployment.call(
                'GET', running.url_by_name['node-0'] + '/v1/metrics'
            )[1]
            return (
                (cpu_s(pid) - before[0]) / elapsed,
                metrics['process']['rss_mb'],
                (loopback_bytes() - before[1]) / elapsed / nodes,
            )
        finally:
            synthetic.stop()


def _owned_worker_ids(running) -> list[str]:
    return [
        worker
        for name in running.node_names
        for worker in running.state(name)['owner']['workers']
    ]


class SyntheticWorkers:
    """Many workers behind one port, without tasks or slots."""

    def __init__(self, count: int):
        self._count = count
        self._port = deployment.free_port()
        self._process: typing.Any = None

    def start(self, running: deployment.Deployment) -> None:
        """Start the process and list its workers."""
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-c',
                'from bench import slopes; slopes.serve_workers()',
                str(self._port),
            ],
            cwd=deployment.ROOT,
        )
        for number in range(self._count):
            running.add_vm(
                f'synthetic-{number}', 'worker', self._port, 0, 'westlands'
            )

    def stop(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()


def serve_workers() -> None:
    """Serve synthetic workers; they grant every lease."""
    report = {
        'capacity': {
            'cpu_millis': 64_000,
            'memory_mb': 256_000,
            'accelerators': 2,
        },
        'slots': 0,
        'busy': [],
        'tasks': [],
        'ended': [],
    }
    answer = {
        'granted': True,
        'holder': 'any',
        'epoch': 1,
        'remaining_ms': LEASE_MS,
        'boot': 'one',
        'version': 1,
        'report': report,
    }
    seen = dict(answer, report=None)

    handlers = {
        ('POST', path): lambda body: seen if body.get('seen') else answer
        for path in worker_port.PATH_BY_OPERATION.values()
    }
    asyncio.run(serving.serve(handlers, '127.0.0.1', int(sys.argv[1])))


def node_slopes() -> list[Slope]:
    """Return the costs of a real idle node by the workers it owns."""
    figures = [measure_idle_node(size, 1) for size in OWNED_WORKER_COUNTS]
    return [
        Slope(
            'idle node: owned worker, at a lease of 6 s',
            OWNED_WORKER_COUNTS,
            tuple(100 * f[0] for f in figures),
            '% of a core',
        ),
        Slope(
            'idle node: owned worker',
            OWNED_WORKER_COUNTS,
            tuple(f[1] for f in figures),
            'MB',
        ),
        Slope(
            'idle node: owned worker, at a lease of 6 s',
            OWNED_WORKER_COUNTS,
            tuple(f[2] for f in figures),
            'bytes/s',
        ),
    ]


def member_slopes() -> list[Slope]:
    """Return the costs of a real idle node by the number of nodes."""
    sizes = (2, 4, 8)
    figures = [measure_idle_node(0, size) for size in sizes]
    return [
        Slope(
            'idle node: member',
            sizes,
            tuple(100 * f[0] for f in figures),
            '% of a core',
        ),
        Slope(
            'idle node: member', sizes, tuple(f[2] for f in figures), 'bytes/s'
        ),
    ]


def main() -> None:
    """Print all slopes, and the heartbeat interval by number of nodes."""
    random.seed(1)
    rows = []
    for slope in [
        *state_slopes(),
        *cpu_slopes(),
        *byte_slopes(),
        *node_slopes(),
        *member_slopes(),
    ]:
        gradient, intercept, residual = slope.fit()
        rows.append(
            [
                slope.name,
                slope.unit,
                ' '.join(f'{size:g}' for size in slope.sizes),
                ' '.join(f'{value:.4g}' for value in slope.values),
                f'{gradient:.4g}',
                f'{intercept:.4g}',
                f'{residual:.1%}',
            ]
        )
    headers = [
        'slope',
        'unit',
        'sizes',
        'values',
        'per unit',
        'at 0',
        'residual',
    ]
    print(tabulate.tabulate(rows, headers, disable_numparse=True))
    slot = slots.SlotId('worker-0', 0)
    print(f'a slot id is {slot}; heartbeats of 8, 16, 32, 64 nodes every')
    for count in (8, 16, 32, 64):
        print(f'  {count}: {heartbeats.heartbeat_interval_ms(count)} ms')
    print(f'suspect after {membership.SUSPECT_AFTER_MS} ms')


if __name__ == '__main__':
    main()

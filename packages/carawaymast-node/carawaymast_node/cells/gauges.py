"""A node's gauges, and its state for operators.

The gauges are computed when the metrics page is read, so that they cost
nothing in between; the state is served as JSON.
"""

import collections
import resource
import typing

from carawaymast_core import resources
from carawaymast_core.cell import cell as cell_mod
from carawaymast_core.cell import run as run_mod
from carawaymast_core.cell import worker as worker_mod

if typing.TYPE_CHECKING:
    from carawaymast_node.cells import service
    from carawaymast_node.cells import topic_reader

__all__ = ['of_cell', 'of_node', 'state']

KILOBYTES_PER_MB = 1_000


def of_node(node: 'service.CellNode') -> dict[str, float]:
    """Return the gauges of a node and, while it leads, of its cell."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    configuration = node.replica.configuration
    found = {
        'process_cpu_seconds': usage.ru_utime + usage.ru_stime,
        'process_peak_memory_mb': usage.ru_maxrss / KILOBYTES_PER_MB,
        'is_leader': float(node.leader is not None),
        'configuration_version': float(configuration.routes.version or 0),
        'configuration_offset': float(configuration.routes.offset or 0),
        'configuration_age_ms': float(configuration.age_ms() or 0),
        'callers_connections': node.connection_limiter.open_total,
        'jobs_known': len(node.replica.view.record_by_id),
        'submissions_known': len(node.replica.view.submission_by_id),
    }
    if node.leader is not None:
        found |= of_cell(node.leader.cell, node.clock.now())
    return found


def of_cell(cell: cell_mod.Cell, now_ms: int) -> dict[str, float]:
    """Return the cell's waiting work, capacity and unanswered orders."""
    found: dict[str, float] = {
        'steps_waiting': len(cell.ready_by_name),
        'workers_known': len(cell.worker_by_key),
        'workers_crashed': cell.crashed_workers,
        'workers_not_adopted': sum(
            worker.is_overdue_for_adoption(now_ms)
            for worker in cell.worker_by_key.values()
        ),
        'orders_unanswered': sum(
            run.state is run_mod.RunState.ORDERED
            for worker in cell.worker_by_key.values()
            for run in worker.run_by_task.values()
        ),
    }
    found |= _waiting_by_queue(cell, now_ms)
    usable = [w for w in cell.worker_by_key.values() if w.is_usable(now_ms)]
    usable_capacity = resources.total(w.entry.capacity for w in usable)
    free = resources.total(w.free for w in usable)
    for field in resources.Resources._fields:
        total = getattr(usable_capacity, field)
        found[f'room_{field}'] = total
        found[f'room_used_{field}'] = total - getattr(free, field)
    return found


def _waiting_by_queue(cell: cell_mod.Cell, now_ms: int) -> dict[str, float]:
    """Return the waiting tasks' number, CPU and longest wait by queue."""
    tasks: collections.Counter[str] = collections.Counter()
    oldest_ms_by_queue: dict[str, int] = {}
    cpu_millis_by_queue: collections.Counter[str] = collections.Counter()
    for step in cell.ready_by_name.values():
        queue = step.job.submission.queue.name
        count = len(step.waiting())
        tasks[queue] += count
        cpu_millis_by_queue[queue] += count * step.spec.size.cpu_millis
        waited_ms = now_ms - step.ready_at_ms
        oldest_ms_by_queue[queue] = max(
            waited_ms, oldest_ms_by_queue.get(queue, 0)
        )
    found: dict[str, float] = {}
    for queue, count in tasks.items():
        label = f'{{queue="{queue}"}}'
        found[f'waiting_tasks{label}'] = count
        found[f'waiting_cpu_millis{label}'] = cpu_millis_by_queue[queue]
        found[f'oldest_wait_ms{label}'] = oldest_ms_by_queue[queue]
    return found


def state(node: 'service.CellNode') -> dict[str, typing.Any]:
    """Return the state of a node, with the age of what it has read."""
    now_ms = node.clock.now()
    replica = node.replica
    found = {
        'node': node.settings.node_id,
        'boot': node.boot_id,
        'ready': node.is_ready,
        'draining': node.is_draining,
        'configuration': replica.configuration.routes.version,
        'configuration_offset': replica.configuration.routes.offset,
        'configuration_age_ms': replica.configuration.age_ms(),
        'store_direct': node.route.is_direct,
        'leader': node.election.record and node.election.record.node_id,
        'epoch': node.election.epoch,
        'leads': node.leader is not None,
        'members': sorted(m.node_id for m in node.peers.candidates()),
        'topics': [
            _reader_state(reader, now_ms)
            for reader in (
                replica.intake_reader,
                replica.state_reader,
                replica.declarations_reader,
                replica.members_reader,
            )
        ],
    }
    if node.leader is not None:
        found['cell'] = of_cell(node.leader.cell, now_ms)
        found['workers'] = [
            _worker_state(worker, now_ms)
            for worker in node.leader.cell.worker_by_key.values()
        ]
    return found


def _reader_state(
    reader: 'topic_reader.TopicReader', now_ms: int
) -> dict[str, typing.Any]:
    read_ms = reader.current_as_of_ms
    return {
        'topic': reader.topic,
        'offset': reader.offset,
        'current_ms_ago': None if read_ms is None else now_ms - read_ms,
    }


def _worker_state(
    worker: worker_mod.Worker, now_ms: int
) -> dict[str, typing.Any]:
    return {
        'worker': worker.worker_id,
        'born_ms': worker.born_ms,
        'listed': worker.is_listed,
        'adopted': worker.is_adopted,
        'usable': worker.is_usable(now_ms),
        'runs': len(worker.run_by_task),
        'free': worker.free._asdict(),
    }

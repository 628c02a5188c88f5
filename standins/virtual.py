"""Run nodes on a virtual clock, with fakes for their ports.

``VirtualLoop`` is an asyncio loop whose time jumps to the next timer, so
that minutes of virtual time take an instant and runs are deterministic (with
a fixed ``PYTHONHASHSEED``). ``Fleet`` runs the real roles of several nodes
against in-memory stand-ins, and can cut links, pause nodes, lose messages
and take the log down.
"""

import asyncio
import collections
import copy
import random
import selectors
import typing
from unittest import mock
import uuid

import msgspec

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import membership
from carawaymast_core import resources
from carawaymast_core import table as table_mod
from carawaymast_node import channels
from carawaymast_node import endpoint as endpoint_mod
from carawaymast_node import job_service
from carawaymast_node import keyed_requests
from carawaymast_node import log_port
from carawaymast_node import loop as loop_mod
from carawaymast_node import messages
from carawaymast_node import roles as roles_mod
from carawaymast_node import worker_port
from standins import log as log_standin
from standins import worker as worker_standin

__all__ = ['Fleet', 'VirtualLoop']

LEASE_MS = 6_000
RETENTION_MS = 60_000
CAPACITY = resources.Resources(8_000, 16_000, 2)
SLOTS = 4
MAX_DELAY_S = 0.003
LOSS_TIMEOUT_S = 0.9


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances a virtual clock instead of waiting."""

    now_s = 1_000.0

    def select(self, timeout=None):
        """Advance the clock by ``timeout`` seconds."""
        if timeout is None:
            raise RuntimeError('the virtual loop has no pending timer')
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time that collects unhandled errors."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)
        self.unhandled_errors: list[BaseException] = []
        self.set_exception_handler(self._add_unhandled)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now_s

    def _add_unhandled(self, loop, context) -> None:
        error = context.get('exception')
        self.unhandled_errors.append(error or RuntimeError(context['message']))


class _Node:
    """One node of the fleet and the tasks of its coroutines."""

    def __init__(self, fleet: 'Fleet', node_id: str, number: int):
        self.node_id = node_id
        self.is_up = True
        # Cleared while the node is paused.
        self.resumed = asyncio.Event()
        self.resumed.set()
        ports = roles_mod.Ports(
            _LogFake(fleet, node_id),
            fleet.worker_fake(node_id),
            _EndpointFake(fleet, node_id),
            fleet.peer_fake(node_id),
        )
        local = membership.Member(node_id, '127.0.0.1', number, 'westlands')
        root = loop_mod.Root()
        holder = f'{node_id}-{fleet.rng.getrandbits(32):x}'
        self.roles = roles_mod.Roles(
            local, holder, fleet.clock, ports, LEASE_MS, RETENTION_MS
        ).register(root)
        root.mark_started()
        self.keyed_requests = keyed_requests.KeyedRequests(
            fleet.clock, self.roles.log, self.roles.entry
        )
        self.jobs_service = job_service.JobService(
            fleet.clock,
            self.roles.log,
            self.roles.tables,
            self.roles.count_by_shape,
        )
        self.tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in self.roles.coroutines()
        ]
        for task in self.tasks:
            task.add_done_callback(fleet.on_task_done)


class _LogFake:
    """The log port of one node."""

    def __init__(self, fleet: 'Fleet', node_id: str):
        self._fleet = fleet
        self._node_id = node_id

    async def append(self, batch) -> None:
        """Append a batch over an unreliable network."""
        if not await self._fleet.deliver(self._node_id, 'log'):
            raise log_port.LogDownError('cut off', False)
        body = messages.encode({'records': batch})
        status, _ = await self._fleet.log.append(msgspec.json.decode(body))
        if not await self._fleet.deliver('log', self._node_id):
            raise log_port.LogDownError('answer lost', True)
        if status != 200:
            raise log_port.LogDownError(f'status {status}', True)

    async def read(self, offset, wait_ms=log_port.READ_WAIT_MS):
        """Read records over an unreliable network."""
        if not await self._fleet.deliver(self._node_id, 'log'):
            raise log_port.LogDownError('cut off', False)
        query = {'from': offset, 'wait_ms': wait_ms, 'max': 2_000}
        status, body = await self._fleet.log.read(query)
        if not await self._fleet.deliver('log', self._node_id):
            raise log_port.LogDownError('answer lost', False)
        if status == log_port.STATUS_GONE:
            raise log_port.LogTrimmedError(body['first'])
        if status != 200:
            raise log_port.LogDownError(f'status {status}', False)
        return copy.deepcopy(body)


class _EndpointFake:
    """The endpoint port of one node."""

    def __init__(self, fleet: 'Fleet', node_id: str):
        self._fleet = fleet
        self._node_id = node_id

    async def run(self, endpoint, use, dispatch) -> endpoint_mod.RunOutcome:
        """Run a request; a lost answer leaves the outcome unknown."""
        fleet = self._fleet
        worker_id = endpoint.worker_id
        if not await fleet.deliver(self._node_id, worker_id):
            return endpoint_mod.RunOutcome('no', False, None, 'not connected')
        answer = await fleet.worker_by_id[worker_id].run(
            {
                'request_id': dispatch.request_id,
                'epoch': use.epoch,
                'slot': use.slot_id.number,
                'idempotent': dispatch.is_idempotent,
                'payload': dispatch.payload,
            }
        )
        if not await fleet.deliver(worker_id, self._node_id):
            return endpoint_mod.RunOutcome('unknown', False, None, 'lost')
        return endpoint_mod.run_outcome_of(answer, dispatch.request_id)


class Fleet:
    """Nodes, workers and the log on one virtual loop.

    ``slots`` is the number of slots of each worker; with ``skips_checks``,
    the workers skip their checks, see ``standins.worker``.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        node_count: int = 3,
        worker_count: int = 3,
        skips_checks: bool = False,
        slots: int = SLOTS,
    ):
        self._slots = slots
        self._skips_checks = skips_checks
        self.loop = loop
        self.rng = random.Random(seed)
        random.seed(seed)
        self._uuid_patch = mock.patch.object(uuid, 'uuid4', self._next_uuid)
        self._uuid_patch.start()
        self.wall_offset_ms = 0
        self.clock = clock_mod.Clock(
            lambda: int(loop.time() * 1000),
            lambda: int(loop.time() * 1000) + self.wall_offset_ms,
        )
        self.log = log_standin.Log(RETENTION_MS, loop.time)
        self.worker_by_id = {
            f'worker-{n}': self._make_worker() for n in range(worker_count)
        }
        self.replaced_workers: list[worker_standin.Worker] = []
        self.node_by_id: dict[str, _Node] = {}
        # Pairs of source and target.
        self.cut_links: set[tuple[str, str]] = set()
        self.is_log_down = False
        self.leaving_ids: set[str] = set()
        # The probability that a message is lost.
        self.loss = 0.0
        self.peer_messages = 0
        self.peer_bytes = 0
        self._node_count = node_count
        self._started_count = 0

    def run(self, coroutine: typing.Coroutine) -> typing.Any:
        """Run a coroutine to its end.

        Raises ``ExceptionGroup`` with the unhandled errors of the nodes.
        """
        result = self.loop.run_until_complete(coroutine)
        if self.loop.unhandled_errors:
            raise ExceptionGroup(
                'unhandled errors of the nodes', self.loop.unhandled_errors
            )
        return result

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.run(asyncio.sleep(seconds))

    def start(self, rows: typing.Mapping[str, table_mod.Row]) -> None:
        """Start the nodes and put a table in force."""
        for _ in range(self._node_count):
            self.run(self.start_node())
        self.advance(3)
        first = next(iter(self.node_by_id.values()))
        self.run(first.roles.tables.edit(0, rows.values()))
        self.advance(2)

    async def start_node(self) -> str:
        """Start one more node; return its id."""
        node_id = f'node-{self._started_count}'
        self._started_count += 1
        self.node_by_id[node_id] = _Node(self, node_id, self._started_count)
        self.publish_vms()
        return node_id

    def kill(self, node_id: str) -> None:
        """End a node as by SIGKILL."""
        node = self.node_by_id.pop(node_id)
        node.is_up = False
        node.resumed.set()
        for task in node.tasks:
            task.cancel()
        self.publish_vms()

    def restart_worker(self, worker_id: str) -> None:
        """Replace a worker's process; its runs are lost.

        The new one goes on with the counts of executions, so that it finds a
        request or attempt that is executed again.
        """
        old = self.worker_by_id[worker_id]
        for task in old._task_by_ref.values():
            task['handle'].cancel()
        self.replaced_workers.append(old)
        new = self._make_worker()
        new._executions = old._executions
        new._idempotent_ids = old._idempotent_ids
        self.worker_by_id[worker_id] = new

    def publish_vms(self) -> None:
        """Pass the list of VMs to the nodes."""
        vms = [
            membership.Vm(
                node_id, 'node', '127.0.0.1', 0, 0, 'westlands', 'r', 'live'
            )
            for node_id in self.node_by_id
        ] + [
            membership.Vm(
                worker_id,
                'worker',
                '127.0.0.1',
                0,
                0,
                'far',
                'r',
                'leaving' if worker_id in self.leaving_ids else 'live',
            )
            for worker_id in self.worker_by_id
        ]
        for node in self.node_by_id.values():
            node.roles.update_vms(vms)

    async def deliver(self, source: str, target: str) -> bool:
        """Simulate the transfer of a message; return whether it arrived."""
        await self._wait_resumed(source)
        await asyncio.sleep(self.rng.uniform(0.0002, MAX_DELAY_S))
        is_down = 'log' in (source, target) and self.is_log_down
        is_lost = self.rng.random() < self.loss
        if (source, target) in self.cut_links or is_down or is_lost:
            await asyncio.sleep(LOSS_TIMEOUT_S)
            return False
        await self._wait_resumed(target)
        return not self._is_killed(source) and not self._is_killed(target)

    def worker_fake(self, node_id: str) -> worker_port.WorkerPort:
        """Return the port by which one node calls the workers."""

        async def post(vm, operation: str, body, body_type=None):
            if not await self.deliver(node_id, vm.vm_id):
                raise worker_port.WorkerDownError('cut off')
            worker = self.worker_by_id[vm.vm_id]
            answer = getattr(worker, operation)(body)
            if not await self.deliver(vm.vm_id, node_id):
                raise worker_port.WorkerDownError('answer lost')
            return copy.deepcopy(answer)

        return worker_port.port_over(post)

    def peer_fake(self, node_id: str) -> roles_mod.CallPeer:
        """Return the function by which one node calls its peers."""

        async def call(member, method, message, timeout_ms):
            if not await self.deliver(node_id, member.node_id):
                raise channels.PeerError('cut off')
            target = self.node_by_id[member.node_id]
            self.peer_messages += 2
            self.peer_bytes += message.ByteSize()
            reply = await target.roles.service.handler_by_method[method](
                message
            )
            self.peer_bytes += reply.ByteSize()
            if not await self.deliver(member.node_id, node_id):
                raise channels.PeerError('answer lost')
            return reply

        return call

    def on_task_done(self, task: asyncio.Task) -> None:
        """Collect the error with which a coroutine ended."""
        if not task.cancelled() and task.exception() is not None:
            self.loop.unhandled_errors.append(task.exception())

    def executions(self) -> dict[str, int]:
        """Return how often each request or attempt was executed."""
        total: collections.Counter[str] = collections.Counter()
        for worker in self.worker_by_id.values():
            total.update(worker.evidence({})['executions'])
        return total

    def violations(self) -> dict[str, int]:
        """Return by name the violations that the workers counted."""
        total: collections.Counter[str] = collections.Counter()
        repeatable: set[str] = set()
        for worker in [*self.worker_by_id.values(), *self.replaced_workers]:
            seen = worker.evidence({})
            counters = seen['counters']
            repeatable.update(seen['repeatable'])
            for name in ('doubles', 'overlaps', 'overcommits'):
                total[name] += counters[name]
        for name, count in self.executions().items():
            if name not in repeatable and count > 1:
                total['doubles'] += 1
        return {name: count for name, count in total.items() if count}

    def close(self) -> None:
        """End all nodes, cancel all tasks and close the loop."""
        for node_id in list(self.node_by_id):
            self.kill(node_id)
        self._uuid_patch.stop()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(1))
        self.loop.close()

    def _next_uuid(self) -> uuid.UUID:
        return uuid.UUID(int=self.rng.getrandbits(128))

    def _make_worker(self) -> worker_standin.Worker:
        return worker_standin.Worker(
            CAPACITY,
            self._slots,
            self.clock,
            self.clock.now(),
            self._skips_checks,
        )

    async def _wait_resumed(self, name: str) -> None:
        node = self.node_by_id.get(name)
        if node is not None:
            await node.resumed.wait()

    def _is_killed(self, name: str) -> bool:
        return name.startswith('node') and name not in self.node_by_id


def check_request(answer: tuple[int, typing.Any], executions) -> str:
    """Return what is wrong with a request's answer, or ''."""
    _, body = answer
    count = executions.get(body['request_id'], 0)
    if body.get('ran') == errors.Ran.NO and count:
        return f'{body} said "not run" but ran'
    if body.get('outcome') == 'done' and not count:
        return f'{body} never ran'
    return ''

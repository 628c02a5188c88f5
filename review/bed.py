"""A small deployment for one case: store, runners, nodes and clients.

A case is a coroutine that gets a ``Bed`` and returns whether the rule held::

    bed.main('LOST', case, runner_specs)

The process exits with 0 if it held, 1 if not and 2 if the case could not
run. Without a disruption (``TROUBLE=0``) the case does the same otherwise.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time
import traceback
import typing

from review import nodes as nodes_mod
from review import runner as runner_mod
from review import store as store_mod
from review import web

__all__ = ['HOST_NAME', 'Bed', 'CannotRunError', 'Job', 'main', 'route']

HOST_NAME = 'desk.example'
SERVICE = 'sponsor-desk'
READY_TIMEOUT_S = 30.0
STARTED = 'start'
ENDED = ('done', 'stopped', 'lapsed', 'crashed')
REJECTED = (429, 503)
POLL_S = 0.05
# From the site sheets: how long after the end of the traffic jobs are asked
# for, and for how long a job may have nothing running then.
FINISH_S = 14.0
IDLE_S = 3.0


class CannotRunError(Exception):
    """The bed did not come up, so that nothing can be said of the rule."""


class Job(typing.NamedTuple):
    """A job that a client hands in; ``answers`` are the statuses so far."""

    job_id: str
    prefix: str
    body: dict
    answers: list[int]

    @property
    def is_accepted(self) -> bool:
        """Whether an attempt was answered with success."""
        return any(200 <= status < 300 for status in self.answers)

    @property
    def is_rejected(self) -> bool:
        """Whether all attempts were answered with a rejection."""
        return all(status in REJECTED for status in self.answers)


def route(prefix: str, priority: int = 1, **more) -> dict:
    """Return a route of the configuration."""
    return {
        'name': prefix.strip('/'),
        'host': HOST_NAME,
        'path_prefix': prefix,
        'service': SERVICE,
        'priority': priority,
        'max_attempts': 2,
        'stretch_factor': 2.0,
        'target_completion_ms': 1_000,
        **more,
    }


class Bed:
    """The deployment of a case, and the record of what happened."""

    def __init__(
        self,
        specs: typing.Sequence[runner_mod.RunnerSpec],
        routes: typing.Sequence[dict],
        node_count: int,
        seed: int,
        record_path: pathlib.Path,
    ):
        self.is_trouble = os.environ.get('TROUBLE', '1') != '0'
        self._began_s = time.monotonic()
        self._record = record_path.open('w')
        self.store = store_mod.Store(seed)
        config = {
            'version': 1,
            'routes': list(routes),
            'services': [{'name': SERVICE, 'enforces_capacity': False}],
            'limits': {},
        }
        self.store.put('keyed.op', 'config', json.dumps(config).encode())
        self.events: list[runner_mod.Event] = []
        self.runners = [
            runner_mod.Runner(spec, self.store, self._on_event)
            for spec in specs
        ]
        subnet = nodes_mod.free_subnet(node_count)
        self.nodes = [
            nodes_mod.Node(number + 1, subnet, self.store)
            for number in range(node_count)
        ]
        self.jobs: dict[str, Job] = {}
        self._job_number = 0
        self._clock: asyncio.Task | None = None

    def note(self, text: str) -> None:
        """Write a line to the record."""
        at_s = time.monotonic() - self._began_s
        self._record.write(f'{at_s:8.3f} {text}\n')
        self._record.flush()

    def _on_event(self, event: runner_mod.Event) -> None:
        self.events.append(event)
        labels = ','.join(event.runner.labels)
        self.note(
            f'run {event.task} {event.run_id} {event.what} '
            f'on {event.runner.runner_id} ({labels})'
        )

    async def open(self, directory: pathlib.Path) -> None:
        """Start everything; raise ``CannotRunError`` if that fails."""
        self._clock = asyncio.create_task(self._keep_ticking())
        for runner in self.runners:
            await runner.open()
            # So that their heartbeats are spread.
            await asyncio.sleep(runner_mod.HEARTBEAT_S / len(self.runners))
        for node in self.nodes:
            await node.start(directory)
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            ready = [await node.is_ready() for node in self.nodes]
            if all(ready) and await self.leader() is not None:
                self.note('all nodes are ready')
                return
            await asyncio.sleep(0.2)
        raise CannotRunError('the nodes did not become ready')

    async def _keep_ticking(self) -> None:
        while True:
            for runner in self.runners:
                runner.tick()
            await asyncio.sleep(runner_mod.TICK_S)

    async def leader(self) -> nodes_mod.Node | None:
        """Return the node that leads."""
        for node in self.nodes:
            if await node.is_leader():
                return node
        return None

    async def close(self) -> None:
        """End all processes."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        if self._clock is not None:
            self._clock.cancel()
        self._record.close()

    # -- clients ------------------------------------------------------------

    def make_job(
        self, prefix: str, payload: str, count: int = 1, cpu: int = 500, **more
    ) -> Job:
        """Return a new job with one step, which is not handed in yet."""
        self._job_number += 1
        job_id = f'{0xC0DE0000 + self._job_number:016x}'
        phase = {
            'count': count,
            'cpu': cpu,
            'mem_mb': 1_000,
            'estimate_ms': 600,
            **more,
        }
        body = {'spec': payload, 'phases': [phase]}
        job = self.jobs[job_id] = Job(job_id, prefix, body, [])
        return job

    async def hand_in(self, job: Job, node: nodes_mod.Node) -> int:
        """Make one attempt to hand a job in; return the status."""
        reply = await web.call(
            node.front,
            'POST',
            job.prefix + job.job_id,
            HOST_NAME,
            json.dumps(job.body).encode(),
        )
        job.answers.append(reply.status)
        self.note(f'POST {job.job_id} at {node.name}: {reply.status}')
        return reply.status

    async def hand_in_until_answered(self, job: Job) -> int:
        """Hand a job in at node after node, as clients retry."""
        status = 0
        for attempt in range(5):
            node = self.nodes[attempt % len(self.nodes)]
            status = await self.hand_in(job, node)
            if 200 <= status < 300:
                break
            await asyncio.sleep(0.5)
        return status

    async def state(self, job: Job) -> str:
        """Return the state that a node shows of a job."""
        for node in self.nodes:
            path = job.prefix + job.job_id
            reply = await web.call(node.front, 'GET', path, HOST_NAME)
            if reply.status == 200:
                return json.loads(reply.body)['state']
        return f'status {reply.status}'

    # -- what the runners saw ------------------------------------------------

    def starts(self, job: Job) -> list[runner_mod.Event]:
        """Return the starts of a job's tasks."""
        return [
            event
            for event in self.events
            if event.what == STARTED and event.task.startswith(job.job_id)
        ]

    def is_running(self, job: Job) -> bool:
        """Return whether a runner works for a job now."""
        return any(
            task.startswith(job.job_id)
            for runner in self.runners
            if runner.is_up
            for task, _ in runner.running
        )

    async def idle_jobs(
        self, jobs: typing.Sequence[Job], may_run: typing.Callable[[Job], bool]
    ) -> list[Job]:
        """Return accepted jobs that the rule LOST counts as lost.

        These are not over, have nothing running for ``IDLE_S`` while
        ``may_run`` says that there is capacity, ``FINISH_S`` after the end of
        the traffic, which is now.
        """
        self.note('the traffic has ended')
        await asyncio.sleep(FINISH_S)
        idle = [job for job in jobs if job.is_accepted]
        until_s = time.monotonic() + IDLE_S
        while time.monotonic() < until_s:
            idle = [
                job
                for job in idle
                if not self.is_running(job) and may_run(job)
            ]
            await asyncio.sleep(POLL_S)
        lost = []
        for job in idle:
            state = await self.state(job)
            self.note(f'GET {job.job_id}: {state}, idle for {IDLE_S} s')
            if state not in ('completed', 'failed', 'canceled'):
                lost.append(job)
        return lost

    def used_cpu_share(self) -> float:
        """Return the share of all runners' processors that is in use."""
        total = sum(r.spec.cpu for r in self.runners if r.is_up)
        used = 0
        for runner in self.runners:
            if runner.is_up:
                used += sum(self._cpu(task) for task, _ in runner.running)
        return used / total

    def free_cpu(self, runner: runner_mod.Runner) -> int:
        """Return the free processor capacity of a runner."""
        used = sum(self._cpu(task) for task, _ in runner.running)
        return runner.spec.cpu - used

    def _cpu(self, task: str) -> int:
        job_id, _, step, _ = task.split('.')
        return self.jobs[job_id].body['phases'][int(step)]['cpu']


Case = typing.Callable[[Bed], typing.Awaitable[bool]]


def main(
    rule: str,
    case: Case,
    specs: typing.Sequence[runner_mod.RunnerSpec],
    routes: typing.Sequence[dict],
    node_count: int = 3,
    seed: int = 1,
) -> typing.NoReturn:
    """Run a case and exit with its result."""
    record_path = pathlib.Path(sys.argv[0]).parent / 'record.txt'
    sys.exit(
        asyncio.run(
            _run(rule, case, specs, routes, node_count, seed, record_path)
        )
    )


async def _run(
    rule, case, specs, routes, node_count, seed, record_path
) -> int:
    bed = Bed(specs, routes, node_count, seed, record_path)
    keep = os.environ.get('REVIEW_LOGS')
    with tempfile.TemporaryDirectory() as temporary:
        directory = pathlib.Path(keep or temporary)
        try:
            await bed.open(directory)
            held = await case(bed)
        except CannotRunError as error:
            bed.note(f'cannot run: {error}')
            return 2
        except Exception:
            bed.note(f'cannot run: {traceback.format_exc()}')
            return 2
        finally:
            if any(node.has_ended for node in bed.nodes):
                bed.note('a node process has ended by itself')
            await bed.close()
    print(f'{rule} {"held" if held else "was broken"}')
    return 0 if held else 1

"""A state machine of whole nodes under random failures, checked at its end.

Each step does one thing to a fleet on a virtual clock: requests, keyed
requests, jobs and gangs arrive while nodes are killed, paused, cut off from
each other and the log, workers restart, and answers are lost. The nodes
assert their own invariants all the time. At the end all failures are healed,
and the answers to the callers are compared with the executions at the
workers.
"""

import asyncio
import pathlib

from hypothesis import stateful
from hypothesis import strategies as st

from carawaymast_core import errors
from carawaymast_core import jobs
from carawaymast_core import table as table_mod
from standins import load
from standins import virtual

__all__ = ['FleetMachine', 'TrustingFleetMachine']

TABLE = pathlib.Path(__file__).parent.parent / 'standins' / 'table.csv'
KINDS = (('renewal', 'kilima'), ('glyph-preview', 'ficha'))
MAX_NODES = 4
MIN_NODES = 2
# Time for all requests and jobs to end once the failures are healed.
HEAL_S = 75.0
DEADLINE_MS = 8_000
SEEDS = st.integers(0, 2**32)
# An index, taken modulo the number of choices.
WHICH = st.integers(0, 100)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Failures and requests in any order, with workers that check epochs."""

    has_checking_workers = True
    may_pause = True

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual.VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.answers: dict[str, list] = {}
        self.request_ids_by_key: dict[str, list[str]] = {}
        # Requests whose node was killed before it answered.
        self.lost_ids: set[str] = set()
        self.node_id_by_request: dict[str, str] = {}
        self.job_ids: dict[str, None] = {}
        self.sent = 0
        self.paused: set[str] = set()

    @stateful.initialize(seed=SEEDS)
    def begin(self, seed):
        self.fleet = virtual.Fleet(
            self.loop, seed, skips_checks=not self.has_checking_workers
        )
        self.fleet.start(table_mod.parse(TABLE.read_text()))

    @stateful.rule(
        which=WHICH,
        kind=st.sampled_from(KINDS),
        idempotent=st.booleans(),
        run_ms=st.sampled_from([5, 50, 400]),
        count=st.integers(1, 12),
    )
    def send_requests(self, which, kind, idempotent, run_ms, count):
        node = self._node(which)
        for _ in range(count):
            request_id = self._new_request(node)
            body = self._body(kind, idempotent, run_ms)
            reply = self._reply_to(node, request_id)
            try:
                node.roles.entry.submit(request_id, body, reply)
            except errors.SchedulerError as error:
                reply(400, errors.error_body(error, request_id))

    @stateful.rule(which=WHICH, key=st.integers(0, 5))
    def send_keyed(self, which, key):
        node = self._node(which)
        request_id = self._new_request(node)
        self.request_ids_by_key.setdefault(f'key-{key}', []).append(request_id)
        self.loop.create_task(
            self._submit_keyed(node, f'key-{key}', request_id)
        )

    @stateful.rule(
        which=WHICH,
        gang=st.booleans(),
        count=st.integers(1, 4),
        cpu=st.sampled_from([500, 3_000, 6_000]),
        run_ms=st.sampled_from([100, 2_000]),
    )
    def send_job(self, which, gang, count, cpu, run_ms):
        spec = load.job_body(
            'renewal', 'kilima', count, (cpu, 500, 0), run_ms, gang
        )
        self.loop.create_task(self._submit_job(self._node(which), spec))

    @stateful.rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 3.0, 9.0]))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(which=WHICH)
    def kill_node(self, which):
        if len(self.fleet.node_by_id) <= MIN_NODES:
            return
        node = self._node(which)
        self.paused.discard(node.node_id)
        self.lost_ids.update(
            request_id
            for request_id, node_id in self.node_id_by_request.items()
            if node_id == node.node_id and request_id not in self.answers
        )
        self.fleet.kill(node.node_id)

    @stateful.rule()
    def start_node(self):
        if len(self.fleet.node_by_id) < MAX_NODES:
            self.fleet.run(self.fleet.start_node())

    @stateful.precondition(lambda self: self.may_pause)
    @stateful.rule(which=WHICH)
    def pause_node(self, which):
        node = self._node(which)
        node.resumed.clear()
        self.paused.add(node.node_id)

    @stateful.rule()
    def resume_nodes(self):
        for node_id in self.paused:
            self.fleet.node_by_id[node_id].resumed.set()
        self.paused.clear()

    @stateful.rule(source=WHICH, sink=WHICH)
    def cut_one_way(self, source, sink):
        names = sorted(self.fleet.node_by_id) + ['log', 'worker-0', 'worker-1']
        pair = names[source % len(names)], names[sink % len(names)]
        self.fleet.cut_links.add(pair)

    @stateful.rule()
    def heal_cuts(self):
        self.fleet.cut_links.clear()

    @stateful.rule(down=st.booleans())
    def switch_log(self, down):
        self.fleet.is_log_down = down

    @stateful.rule(count=st.integers(1, 3))
    def lose_append_answers(self, count):
        self.fleet.log.set_fault({'lose_answers': count})

    @stateful.rule(loss=st.sampled_from([0.0, 0.0, 0.05]))
    def set_loss(self, loss):
        self.fleet.loss = loss

    @stateful.rule(which=WHICH)
    def restart_worker(self, which):
        names = sorted(self.fleet.worker_by_id)
        self.fleet.restart_worker(names[which % len(names)])

    def teardown(self):
        if not hasattr(self, 'fleet'):
            return
        try:
            self._heal()
            self.fleet.advance(HEAL_S)
            self._check()
        finally:
            self.fleet.close()

    def _heal(self):
        self.resume_nodes()
        self.fleet.cut_links.clear()
        self.fleet.is_log_down = False
        self.fleet.loss = 0.0
        self.fleet.log.set_fault({'lose_answers': 0})

    def _check(self):
        executions = self.fleet.executions()
        violations = self.fleet.violations()
        assert not violations, violations
        for request_id in self.node_id_by_request:
            found = self.answers.get(request_id, [])
            expected = 0 if request_id in self.lost_ids else 1
            assert len(found) == expected, (request_id, found)
            for answer in found:
                wrong = virtual.check_request(answer, executions)
                assert not wrong, wrong
        for key, request_ids in self.request_ids_by_key.items():
            runs = sum(executions.get(r, 0) for r in request_ids)
            assert runs <= 1, f'{key} ran {runs} times'
        self._check_jobs(executions)
        for node in self.fleet.node_by_id.values():
            node.roles.check_invariants()
            assert node.roles.entry.in_flight == 0

    def _check_jobs(self, executions):
        node = next(iter(self.fleet.node_by_id.values()))
        for job_id in self.job_ids:
            shown = node.jobs_service.show(job_id)
            assert shown['state'] in ('done', 'failed'), shown
            for task in shown['tasks']:
                ref = jobs.TaskRef(job_id, task['name'], task['attempt'])
                if task['state'] == 'done':
                    assert executions.get(str(ref)) == 1, (shown, ref)

    def _node(self, which):
        names = sorted(self.fleet.node_by_id)
        return self.fleet.node_by_id[names[which % len(names)]]

    def _new_request(self, node) -> str:
        self.sent += 1
        request_id = f'request-{self.sent}'
        self.node_id_by_request[request_id] = node.node_id
        return request_id

    def _body(self, kind, idempotent, run_ms):
        return {
            'kind': kind[0],
            'team': kind[1],
            'deadline_ms': DEADLINE_MS,
            'idempotent': idempotent,
            'payload': {'run_ms': run_ms, 'echo': self.sent},
        }

    def _reply_to(self, node, request_id):
        def reply(status, body):
            if not node.is_up:
                return
            self.answers.setdefault(request_id, []).append((status, body))

        return reply

    async def _submit_keyed(self, node, key, request_id):
        body = self._body(KINDS[0], False, 50)
        reply = self._reply_to(node, request_id)
        try:
            await node.keyed_requests.submit(
                key, b'the same', request_id, body, reply
            )
        except errors.SchedulerError as error:
            reply(400, errors.error_body(error, request_id))

    async def _submit_job(self, node, spec):
        try:
            job_id = await node.jobs_service.accept(spec, b'', None)
        except errors.SchedulerError:
            return
        if node.is_up:
            self.job_ids[job_id] = None


class TrustingFleetMachine(FleetMachine):
    """The same with workers that check nothing, and without pauses.

    Here leases alone must ensure that no slot or task is used twice. A node
    that is paused between its check and its message sends the message late
    whatever the leases are, so that case needs workers that check epochs.
    """

    has_checking_workers = False
    may_pause = False

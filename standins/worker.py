"""A stand-in for a worker that runs requests in slots, and tasks.

It keeps the owner lease in the core's ``LeaseRegister``, runs requests in
slots and tasks under the lease, and counts violations: double executions,
overlapping requests in a slot and over-commitment. It counts independently of
its owners, so that the counts show their faults. A worker that skips checks,
like an endpoint that cannot check, accepts any epoch and slot and only counts
violations::

    python -m standins.worker PORT CPU_MILLIS MEMORY_MB ACCELERATORS
"""

import asyncio
import collections
import sys
import uuid

from carawaymast_core import clock as clock_mod
from carawaymast_core import lease as lease_mod
from carawaymast_core import resources
from standins import serving

__all__ = ['Worker']

TASK_LEASE_MS = 30_000
MAX_STORED_REQUESTS = 20_000


class Worker:
    """A worker: owner lease, slots, tasks, and counters of violations."""

    def __init__(
        self,
        capacity: resources.Resources,
        slot_count: int,
        clock: clock_mod.Clock | None = None,
        boot_ms: int = 0,
        skips_checks: bool = False,
    ):
        self._skips_checks = skips_checks
        self._clock = clock or clock_mod.monotonic()
        self._boot_id = uuid.uuid4().hex
        # Epochs start at the time of the boot, so that no epoch of an
        # earlier boot becomes current again.
        self._register = lease_mod.LeaseRegister(
            self._clock, epoch=boot_ms or clock_mod.wall_ms()
        )
        self._capacity = capacity
        self._slot_count = slot_count
        self._request_id_by_slot: dict[int, str] = {}
        self._request_by_id: collections.OrderedDict[str, dict]
        self._request_by_id = collections.OrderedDict()
        self._task_by_ref: dict[str, dict] = {}
        self._ended_by_ref: dict[str, str] = {}
        self._refused_ids: set[str] = set()
        self._renewed_at_ms = self._clock.now()
        self._is_silent = False
        # Report versions of different boots must differ.
        self._version = self._register.epoch
        self._last_report: dict = {}
        self._fail_tasks = False
        self._executions: collections.Counter[str] = collections.Counter()
        self._idempotent_ids: set[str] = set()
        self._counters = collections.Counter(
            doubles=0, overlaps=0, overcommits=0, runs=0, refusals=0, tasks=0
        )

    def acquire(self, body: dict) -> dict:
        """Grant, renew or refuse the owner lease, with a report.

        The report is left out if the holder has seen this version of it.
        """
        lease_reply = self._register.acquire(body['holder'], body['lease_ms'])
        if lease_reply.is_granted:
            self._renewed_at_ms = self._clock.now()
        report = self._report()
        if report != self._last_report:
            self._last_report = report
            self._version += 1
        is_seen = body['seen'] == self._version
        return {
            'granted': lease_reply.is_granted,
            'holder': lease_reply.holder,
            'epoch': lease_reply.epoch,
            'remaining_ms': lease_reply.remaining_ms,
            'boot': self._boot_id,
            'version': self._version,
            'report': None if is_seen else report,
        }

    def release(self, body: dict) -> dict:
        """End the lease of a holder."""
        self._register.release(body['holder'], body['epoch'])
        return {}

    async def run(self, body: dict) -> dict:
        """Run a request in a slot."""
        request_id = body['request_id']
        refusal = self._refusal(body)
        if refusal:
            self._counters['refusals'] += 1
            return {'request_id': request_id, 'ran': 'no', 'detail': refusal}
        self._begin_run(body)
        payload = body['payload']
        try:
            await asyncio.sleep(payload['run_ms'] / 1000)
            result = {'echo': payload['echo']}
            answer = {'request_id': request_id, 'ran': 'yes'}
            if payload['echo'] == 'fail':
                answer['detail'] = 'the runner failed'
            else:
                answer['result'] = result
        except (KeyError, TypeError) as error:
            answer = {
                'request_id': request_id,
                'ran': 'yes',
                'detail': f'bad payload: {error!r}',
            }
        if self._request_id_by_slot.get(body['slot']) == request_id:
            del self._request_id_by_slot[body['slot']]
        self._request_by_id[request_id] = {'state': 'done', **answer}
        if self._is_silent:
            await asyncio.sleep(3600)
        return answer

    def look_up(self, body: dict) -> dict:
        """Return the state of a request.

        One that has not arrived is refused from then on.
        """
        request_id = body['request_id']
        known = self._request_by_id.get(request_id)
        if known is None:
            self._refused_ids.add(request_id)
            known = {
                'request_id': request_id,
                'state': 'unseen',
                'ran': 'no',
                'detail': 'never arrived',
            }
        return known

    def start(self, body: dict) -> dict:
        """Start a task if the epoch is current and it was not refused.

        The start of a task that is running already succeeds again.
        """
        ref = body['ref']
        detail = ''
        is_current = self._register.is_current(body['epoch'])
        if not is_current and not self._skips_checks:
            detail = 'stale epoch'
        elif ref in self._refused_ids or ref in self._ended_by_ref:
            detail = 'refused before'
        if detail:
            return {'started': False, 'detail': detail}
        if ref not in self._task_by_ref:
            self._begin_task(body)
        return {'started': True, 'detail': ''}

    def stop(self, body: dict) -> dict:
        """Stop a task; one that has not arrived is refused from then on."""
        if self._register.is_current(body['epoch']):
            ref = body['ref']
            self._refused_ids.add(ref)
            known = self._task_by_ref.get(ref)
            if known is not None:
                known['handle'].cancel()
                self._end_task(ref, body['outcome'])
            elif ref not in self._ended_by_ref:
                self._ended_by_ref[ref] = 'never'
        return {}

    def acknowledge(self, body: dict) -> dict:
        """Drop ended tasks whose end the owner has recorded."""
        for ref in body['refs']:
            if self._ended_by_ref.pop(ref, None) is not None:
                self._refused_ids.add(ref)
        return {}

    def evidence(self, body: dict) -> dict:
        """Return the counters and the executions of each request and task.

        Idempotent requests, listed as ``repeatable``, may be executed again.
        """
        counters = dict(self._counters)
        counters['busy'] = len(self._request_id_by_slot)
        counters['running_tasks'] = len(self._task_by_ref)
        return {
            'counters': counters,
            'executions': dict(self._executions),
            'repeatable': sorted(self._idempotent_ids),
            'running': sorted(self._task_by_ref),
        }

    def set_fault(self, body: dict) -> dict:
        """Set ``silent`` (run, but never answer) or ``fail_tasks``."""
        self._is_silent = body.get('silent', self._is_silent)
        self._fail_tasks = body.get('fail_tasks', self._fail_tasks)
        return {}

    def handlers(self):
        """Return the worker's handlers by method and path."""
        return {
            ('POST', '/v1/owner'): self.acquire,
            ('POST', '/v1/owner/release'): self.release,
            ('POST', '/v1/run'): self.run,
            ('POST', '/v1/lookup'): self.look_up,
            ('POST', '/v1/tasks/start'): self.start,
            ('POST', '/v1/tasks/stop'): self.stop,
            ('POST', '/v1/tasks/ack'): self.acknowledge,
            ('GET', '/v1/evidence'): self.evidence,
            ('POST', '/v1/fault'): self.set_fault,
        }

    async def enforce_task_leases(self) -> None:
        """Stop all tasks if no owner renewed the lease for TASK_LEASE_MS."""
        while True:
            await asyncio.sleep(0.5)
            silent_ms = self._clock.now() - self._renewed_at_ms
            if silent_ms <= TASK_LEASE_MS:
                continue
            for ref, task in list(self._task_by_ref.items()):
                task['handle'].cancel()
                self._end_task(ref, 'failed')

    def _report(self) -> dict:
        return {
            'capacity': self._capacity._asdict(),
            'slots': self._slot_count,
            'busy': sorted(self._request_id_by_slot),
            'tasks': [
                {'ref': ref, 'kind': task['kind'], 'size': task['size']}
                for ref, task in self._task_by_ref.items()
            ],
            'ended': [
                {'ref': ref, 'outcome': outcome}
                for ref, outcome in self._ended_by_ref.items()
            ],
        }

    def _refusal(self, body: dict) -> str:
        if self._skips_checks:
            return ''
        if not self._register.is_current(body['epoch']):
            return 'stale epoch'
        if not 0 <= body['slot'] < self._slot_count:
            return 'no such slot'
        if body['slot'] in self._request_id_by_slot:
            return 'slot is busy'
        if body['request_id'] in self._refused_ids:
            return 'refused before'
        return ''

    def _begin_run(self, body: dict) -> None:
        request_id, slot = body['request_id'], body['slot']
        self._counters['runs'] += 1
        self._count_execution(request_id, body['idempotent'])
        self._counters['overlaps'] += slot in self._request_id_by_slot
        self._request_id_by_slot[slot] = request_id
        self._request_by_id[request_id] = {
            'request_id': request_id,
            'state': 'running',
        }
        while len(self._request_by_id) > MAX_STORED_REQUESTS:
            self._request_by_id.popitem(last=False)

    def _begin_task(self, body: dict) -> None:
        ref = body['ref']
        self._counters['tasks'] += 1
        self._count_execution(ref, False)
        handle = asyncio.ensure_future(self._run_task(ref, body['run_ms']))
        self._task_by_ref[ref] = {
            'kind': body['kind'],
            'size': body['size'],
            'handle': handle,
        }
        used = resources.total(
            resources.Resources(**task['size'])
            for task in self._task_by_ref.values()
        )
        if not used.fits_in(self._capacity):
            self._counters['overcommits'] += 1

    async def _run_task(self, ref: str, run_ms: int) -> None:
        await asyncio.sleep(0.01 if self._fail_tasks else run_ms / 1000)
        self._end_task(ref, 'failed' if self._fail_tasks else 'done')

    def _end_task(self, ref: str, outcome: str) -> None:
        if self._task_by_ref.pop(ref, None) is not None:
            self._ended_by_ref[ref] = outcome

    def _count_execution(self, name: str, is_idempotent: bool) -> None:
        self._executions[name] += 1
        if is_idempotent:
            self._idempotent_ids.add(name)
        elif self._executions[name] > 1:
            self._counters['doubles'] += 1


async def main(port: int, capacity: resources.Resources, slots: int) -> None:
    """Serve a worker on a port."""
    worker = Worker(capacity, slots)
    lease_task = asyncio.ensure_future(worker.enforce_task_leases())
    await serving.serve(worker.handlers(), '127.0.0.1', port)
    lease_task.cancel()


if __name__ == '__main__':
    numbers = [int(text) for text in sys.argv[1:]]
    asyncio.run(main(numbers[0], resources.Resources(*numbers[1:4]), 8))

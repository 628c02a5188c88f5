"""The coordinator role: advance accepted jobs until they end.

Rendezvous hashing over the live members assigns each job to a node. Two nodes
may work on the same job without harm, since an attempt belongs to the first
claim in the log.
"""

import asyncio
import typing

import circuits

from carawaymast_core import clock as clock_mod
from carawaymast_core import fleetshape
from carawaymast_core import jobindex
from carawaymast_core import jobs
from carawaymast_core import membership
from carawaymast_core import quarantine
from carawaymast_core import records
from carawaymast_core import retry
from carawaymast_node import background
from carawaymast_node import log_service
from carawaymast_node import owner_calls

__all__ = ['Coordinator']

COMMIT_TIMEOUT_MS = 10_000
POLL_INTERVAL_MS = 50
BACKOFF_BASE_MS = 100
MAX_BACKOFF_MS = 1_000
PENDING_RESERVATION_AFTER_MS = 2_000
MAX_BATCH_TASKS = 64


class _Backoff:
    """The failure count of a job and when it is due again."""

    def __init__(self) -> None:
        self.failures = 0
        self.next_at_ms = 0


class JobCounters(typing.TypedDict):
    """Counters of the coordinator since the node started.

    ``no_room`` counts the rounds in which a job got no firm reservation,
    or a gang not all of them; ``holds`` counts those in which the gang kept
    the reservations that it had.
    """

    claims: int
    claims_lost: int
    starts: int
    starts_refused: int
    no_room: int
    jobs_done: int
    holds: int


class Coordinator(circuits.BaseComponent):
    """Advances the jobs that rendezvous hashing assigns to this node."""

    channel = 'jobs'

    def __init__(
        self,
        clock: clock_mod.Clock,
        log: log_service.LogService,
        members: membership.Membership,
        call: typing.Callable[..., typing.Awaitable[typing.Any]],
        free_cpu_of: typing.Callable[[str], int],
        count_by_shape: typing.Callable[[], fleetshape.CountByShape],
        is_urgent: typing.Callable[[str], bool],
    ):
        super().__init__()
        self._clock = clock
        self._log = log
        self._members = members
        self._owner_calls = owner_calls.OwnerCalls(call)
        self._free_cpu_of = free_cpu_of
        self._count_by_shape = count_by_shape
        self._is_urgent = is_urgent
        self._backoff_by_id: dict[str, _Backoff] = {}
        self._active: set[str] = set()
        self._dirty: dict[str, None] = {}
        self._background = background.TaskSet()
        self.index = jobindex.JobIndex()
        self.on_outcome: typing.Callable[[str, str, bool], None]
        self.on_outcome = lambda worker_id, kind, is_success: None
        self.counters: JobCounters = {
            'claims': 0,
            'claims_lost': 0,
            'starts': 0,
            'starts_refused': 0,
            'no_room': 0,
            'jobs_done': 0,
            'holds': 0,
        }

    @property
    def is_active(self) -> bool:
        """Whether a job is being advanced at this moment."""
        return bool(self._active)

    @circuits.handler('log_changed', channel='*')
    def _on_log_changed(self, changes: list[records.Change]) -> None:
        """Mark the jobs that changed as due."""
        for change in changes:
            job_id = self.index.apply(change)
            if job_id is not None:
                self._dirty[job_id] = None
                self._record_worker_outcome(job_id, change.value)

    def _record_worker_outcome(self, job_id: str, value: typing.Any) -> None:
        """Report the outcome of an attempt to its worker's quarantine."""
        outcome = (value or {}).get('outcome')
        is_success = quarantine.classify_outcome(outcome)
        job = self._log.replica.get(jobs.job_entity(job_id)).value
        if job is not None and is_success is not None:
            self.on_outcome(value['worker'], job['spec']['kind'], is_success)

    def is_wanted(self, ref: jobs.TaskRef) -> bool:
        """Return whether an attempt still belongs to an open job.

        True while this node has not read the whole log.
        """
        if not self._log.is_caught_up:
            return True
        entity = jobs.task_entity(ref.job_id, ref.task)
        task = self._log.replica.get(entity).value
        return ref.job_id in self.index.open_ids and (
            task is None or task['attempt'] <= ref.attempt
        )

    async def record_end(self, ref: jobs.TaskRef, outcome: str) -> bool:
        """Record the end of an attempt; return whether it is in the log."""
        if not self._log.is_caught_up:
            return False
        now_ms = self._clock.wall()
        writes = jobs.end_attempt(self._log.replica, ref, outcome, now_ms)
        if writes is None:
            return True
        try:
            return await self._log.commit(writes, COMMIT_TIMEOUT_MS)
        except log_service.CommitError:
            return False

    async def keep_advancing(self) -> typing.NoReturn:
        """Advance due jobs for as long as the node runs."""
        while True:
            if self._log.is_caught_up:
                self._start_due()
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    def _start_due(self) -> None:
        if self._members.is_leaving:
            return
        now_ms = self._clock.now()
        local_id = self._members.local.node_id
        node_ids = [member.node_id for member in self._members.staying()]
        for job_id in list(self.index.open_ids):
            if job_id in self._active:
                continue
            backoff = self._backoff_by_id.get(job_id)
            if backoff is not None and backoff.next_at_ms > now_ms:
                if job_id not in self._dirty:
                    continue
            self._dirty.pop(job_id, None)
            if membership.preferred(job_id, node_ids) != local_id:
                self._back_off_for(job_id, MAX_BACKOFF_MS)
                continue
            self._active.add(job_id)
            self._background.spawn(self._advance(job_id))

    async def _advance(self, job_id: str) -> None:
        try:
            await self._advance_once(job_id)
        except log_service.CommitError:
            self._back_off_exponentially(job_id)
        finally:
            self._active.discard(job_id)

    async def _advance_once(self, job_id: str) -> None:
        replica = self._log.replica
        writes = jobs.finish(replica, job_id, self._clock.wall())
        if writes is not None:
            if await self._log.commit(writes, COMMIT_TIMEOUT_MS):
                self.counters['jobs_done'] += 1
                self._backoff_by_id.pop(job_id, None)
            return
        value = replica.get(jobs.job_entity(job_id)).value
        if not jobs.is_open(value):
            return
        due = self._due_tasks(job_id, value['spec'])
        if not due:
            self._back_off_for(job_id, MAX_BACKOFF_MS)
            return
        if value['spec']['gang']:
            await self._advance_gang(job_id, value, due)
        else:
            await self._advance_tasks(job_id, value, due)

    def _due_tasks(
        self, job_id: str, spec: jobs.JobSpec
    ) -> dict[jobs.TaskRef, jobs.TaskSpec]:
        due = {}
        for task in spec['tasks']:
            entity = jobs.task_entity(job_id, task['name'])
            attempt = jobs.next_attempt(self._log.replica.get(entity).value)
            if attempt is not None:
                due[jobs.TaskRef(job_id, task['name'], attempt)] = task
        return due

    async def _advance_tasks(self, job_id, value, due) -> None:
        """Reserve, claim and start the tasks for which there is capacity."""
        batch = dict(list(due.items())[:MAX_BATCH_TASKS])
        owners = self._owners_by_free_cpu()
        places = await self._owner_calls.reserve(
            job_id, value, batch, owners, False
        )
        if not places and self._is_urgent(value['spec']['kind']):
            places = await self._owner_calls.reserve_with_preemption(
                job_id, value, batch, owners
            )
        firm = {ref: p for ref, p in places.items() if not p.is_pending}
        if not firm:
            self.counters['no_room'] += 1
            self._back_off_exponentially(job_id)
            return
        await self._claim_and_start(value, batch, firm)
        self._backoff_by_id.pop(job_id, None)

    async def _advance_gang(self, job_id, value, due) -> None:
        """Reserve all tasks, then claim and start them, or release all.

        Owners are asked in the order of their ids. A gang that has waited for
        ``PENDING_RESERVATION_AFTER_MS`` keeps its reservations and makes
        pending ones for the rest.
        """
        waited_ms = self._clock.wall() - value['accepted_at_ms']
        # A gang that does not fit the present fleet must not reserve workers.
        may_hold = (
            waited_ms >= PENDING_RESERVATION_AFTER_MS
            and fleetshape.can_place(
                map(jobs.size_of, due.values()), self._count_by_shape()
            )
        )
        owners = sorted(self._members.staying(), key=lambda m: m.node_id)
        places = await self._owner_calls.reserve(
            job_id, value, due, owners, may_hold
        )
        firm = {ref: p for ref, p in places.items() if not p.is_pending}
        if len(firm) == len(due):
            await self._claim_and_start(value, due, firm)
            self._backoff_by_id.pop(job_id, None)
            return
        self.counters['no_room'] += 1
        if may_hold:
            self.counters['holds'] += 1
            self._back_off_for(job_id, BACKOFF_BASE_MS * 3)
            return
        await self._owner_calls.release(places)
        self._back_off_exponentially(job_id)

    async def _claim_and_start(self, value, due, places) -> None:
        worker_by_ref = {ref: p.worker_id for ref, p in places.items()}
        writes = jobs.claim(self._log.replica, worker_by_ref)
        applied = False
        if writes is not None:
            applied = await self._log.commit(writes, COMMIT_TIMEOUT_MS)
        if not applied:
            self.counters['claims_lost'] += 1
            await self._owner_calls.release(places)
            return
        self.counters['claims'] += len(places)
        await asyncio.gather(
            *(
                self._start(member, refs, due, places)
                for member, refs in owner_calls.by_member(places).items()
            )
        )

    async def _start(self, member, refs, due, places) -> None:
        self.counters['starts'] += len(refs)
        for ref in await self._owner_calls.start(member, refs, due, places):
            self.counters['starts_refused'] += 1
            await self.record_end(ref, 'never')

    def _owners_by_free_cpu(self) -> list[membership.Member]:
        members = self._members.staying()
        members.sort(key=lambda m: -self._free_cpu_of(m.node_id))
        return members

    def _back_off_exponentially(self, job_id: str) -> None:
        backoff = self._backoff_by_id.setdefault(job_id, _Backoff())
        wait_ms = retry.backoff_ms(
            backoff.failures, BACKOFF_BASE_MS, MAX_BACKOFF_MS
        )
        backoff.failures += 1
        backoff.next_at_ms = self._clock.now() + wait_ms

    def _back_off_for(self, job_id: str, wait_ms: int) -> None:
        backoff = self._backoff_by_id.setdefault(job_id, _Backoff())
        backoff.next_at_ms = self._clock.now() + wait_ms

"""Accept, show and cancel jobs."""

import typing
import uuid

from carawaymast_core import clock as clock_mod
from carawaymast_core import errors
from carawaymast_core import fleetshape
from carawaymast_core import jobs
from carawaymast_core import keys
from carawaymast_core import table as table_mod
from carawaymast_node import committing
from carawaymast_node import log_service
from carawaymast_node import table_service

__all__ = ['JobService']

COMMIT_TIMEOUT_MS = 5_000


class JobService:
    """Serves the job requests of callers; a job is accepted by the log."""

    def __init__(
        self,
        clock: clock_mod.Clock,
        log: log_service.LogService,
        tables: table_service.TableService,
        count_by_shape: typing.Callable[[], fleetshape.CountByShape],
    ):
        self._clock = clock
        self._log = log
        self._tables = tables
        self._count_by_shape = count_by_shape

    async def accept(
        self, spec: jobs.JobSpec, raw: bytes, key: str | None
    ) -> str:
        """Accept a job and return its id once it is durable in the log.

        A job that is sent again with the same idempotency key is accepted
        once. ``raw`` is the body as it was sent. Raises ``SchedulerError``;
        with ``OUTCOME_UNKNOWN`` the job may have been accepted nevertheless.
        """
        row = table_mod.row_for(self._tables.table, spec['kind'], spec['team'])
        jobs.check_spec(spec)
        self._check_possible(spec, row)
        job_id = uuid.uuid4().hex
        now_ms = self._clock.wall()
        writes = jobs.accept(job_id, spec, now_ms)
        if key is not None:
            known_id = self._add_key(writes, spec, raw, key, job_id, now_ms)
            if known_id is not None:
                return known_id
        if not await committing.commit(self._log, writes, COMMIT_TIMEOUT_MS):
            raise errors.SchedulerError(
                errors.ErrorKind.KEY_IN_PROGRESS,
                'another job with the same key was accepted first',
            )
        return job_id

    def show(self, job_id: str) -> dict[str, typing.Any]:
        """Return a job and the state of its tasks.

        Raises ``SchedulerError`` of kind ``NOT_FOUND``.
        """
        replica = self._log.replica
        value = replica.get(jobs.job_entity(job_id)).value
        if value is None:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        spec = value['spec']
        return {
            'job_id': job_id,
            'kind': spec['kind'],
            'team': spec['team'],
            'gang': spec['gang'],
            'state': value['state'],
            'tasks': [
                {
                    'name': name,
                    'state': state,
                    'attempt': attempt,
                    'worker': worker_id,
                }
                for name, state, attempt, worker_id in jobs.task_states(
                    replica, job_id
                )
            ],
        }

    async def cancel(self, job_id: str) -> dict[str, typing.Any]:
        """Cancel an open job and return it.

        Raises ``SchedulerError``: ``NOT_FOUND`` if it does not exist,
        ``CONFLICT`` if it has ended.
        """
        self.show(job_id)
        now_ms = self._clock.wall()
        writes = jobs.cancel(self._log.replica, job_id, now_ms)
        if writes is not None:
            if await committing.commit(self._log, writes, COMMIT_TIMEOUT_MS):
                return self.show(job_id)
        raise errors.SchedulerError(
            errors.ErrorKind.CONFLICT,
            f'job {job_id} is {self.show(job_id)["state"]}, allowed: accepted',
        )

    def _add_key(self, writes, spec, raw, key, job_id, now_ms) -> str | None:
        """Add the claim of a key, or return the id of the job that has it."""
        name = 'job-' + keys.entity(spec['team'], key)
        digest = keys.digest(raw)
        stored = keys.outcome(self._log.replica, name, digest)
        if stored is not None:
            return stored[1]['job_id']
        claim = keys.claim(self._log.replica, name, digest, job_id, now_ms)
        claim.puts[name].update(
            state=keys.KeyState.DONE.value,
            status=202,
            body={'job_id': job_id},
        )
        writes.expects.update(claim.expects)
        writes.puts.update(claim.puts)
        return None

    def _check_possible(self, spec: jobs.JobSpec, row: table_mod.Row) -> None:
        """Refuse a job that does not fit even an empty fleet."""
        count_by_shape = self._count_by_shape()
        if not count_by_shape:
            raise errors.SchedulerError(
                errors.ErrorKind.NOT_READY,
                'no worker has joined the fleet yet',
            )
        for task in spec['tasks']:
            size = jobs.size_of(task)
            if not fleetshape.can_place([size], count_by_shape):
                raise errors.SchedulerError(
                    errors.ErrorKind.IMPOSSIBLE_JOB,
                    f'task {task["name"]!r} needs {tuple(size)}, '
                    'more than any worker has',
                )
        if not spec['gang']:
            return
        sizes = [jobs.size_of(task) for task in spec['tasks']]
        share = fleetshape.dominant_share(sizes, count_by_shape)
        if row.limit.is_share and share > row.limit.value:
            raise errors.SchedulerError(
                errors.ErrorKind.IMPOSSIBLE_JOB,
                f'the gang needs {share:.0%} of the fleet, the limit of '
                f'{row.kind} is {row.limit}',
            )
        if not fleetshape.can_place(sizes, count_by_shape):
            raise errors.SchedulerError(
                errors.ErrorKind.IMPOSSIBLE_JOB,
                f'a gang of {len(sizes)} tasks does not fit even the empty '
                'fleet',
            )

"""What of the log's jobs still needs work, found without a scan.

``JobIndex`` follows the changes of the replica and keeps the open jobs, and
the attempts that are claimed on each worker.
"""

import typing

from carawaymast_core import jobs
from carawaymast_core import records

__all__ = ['JobIndex']

JOB_PREFIX = 'job/'
TASK_PREFIX = 'task/'


class JobIndex:
    """Open jobs by id and claimed attempts by worker."""

    def __init__(self) -> None:
        self.open_ids: dict[str, None] = {}
        self.ended_ids: dict[str, None] = {}
        self._claimed_by_worker: dict[str, set[jobs.TaskRef]] = {}
        self._worker_by_entity: dict[str, tuple[str, jobs.TaskRef]] = {}

    @property
    def claimed_total(self) -> int:
        """The number of claimed attempts on all workers."""
        return len(self._worker_by_entity)

    def claimed_on(self, worker_id: str) -> typing.Iterable[jobs.TaskRef]:
        """Return the attempts that are claimed on a worker."""
        return tuple(self._claimed_by_worker.get(worker_id, ()))

    def apply(self, change: records.Change) -> str | None:
        """Take in a change; return the job it belongs to, if any."""
        if change.entity.startswith(JOB_PREFIX):
            job_id = change.entity.removeprefix(JOB_PREFIX)
            self._apply_job(job_id, change.value)
            return job_id
        if change.entity.startswith(TASK_PREFIX):
            _, job_id, task = change.entity.split('/', 2)
            self._apply_task(change.entity, job_id, task, change.value)
            return job_id
        return None

    def _apply_job(self, job_id: str, value: typing.Any) -> None:
        self.open_ids.pop(job_id, None)
        self.ended_ids.pop(job_id, None)
        if jobs.is_open(value):
            self.open_ids[job_id] = None
        elif value is not None:
            self.ended_ids[job_id] = None

    def _apply_task(self, entity, job_id, task, value) -> None:
        old = self._worker_by_entity.pop(entity, None)
        if old is not None:
            claimed = self._claimed_by_worker[old[0]]
            claimed.discard(old[1])
            if not claimed:
                del self._claimed_by_worker[old[0]]
        if value is None or value['state'] != jobs.TaskState.CLAIMED:
            return
        ref = jobs.TaskRef(job_id, task, value['attempt'])
        worker_id = value['worker']
        self._worker_by_entity[entity] = (worker_id, ref)
        self._claimed_by_worker.setdefault(worker_id, set()).add(ref)

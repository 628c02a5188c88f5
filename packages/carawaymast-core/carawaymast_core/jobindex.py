"""An index of the open jobs and the claimed attempts in the log.

``JobIndex`` applies the changes of the replica, so that open jobs and the
claimed attempts of a worker are found without a scan.
"""

import sys
import typing

from carawaymast_core import jobs
from carawaymast_core import records

__all__ = ['JobIndex']

JOB_PREFIX = 'job/'
TASK_PREFIX = 'task/'


class JobIndex:
    """Open jobs by id and claimed attempts by worker.

    Attempts are stored as entity and number and converted to ``TaskRef`` on
    request only, since tens of thousands of them are claimed at a time.
    """

    def __init__(self) -> None:
        self.open_ids: dict[str, None] = {}
        self._attempts_by_worker: dict[str, dict[str, int]] = {}
        self._worker_by_entity: dict[str, str] = {}

    @property
    def claimed_total(self) -> int:
        """The number of claimed attempts on all workers."""
        return len(self._worker_by_entity)

    def claimed_on(self, worker_id: str) -> typing.Iterable[jobs.TaskRef]:
        """Return the claimed attempts of a worker."""
        attempts = self._attempts_by_worker.get(worker_id, {})
        return [
            jobs.TaskRef(*entity.split('/')[1:], attempt)
            for entity, attempt in attempts.items()
        ]

    def apply(self, change: records.Change) -> str | None:
        """Apply a change and return the id of its job, None if it has none."""
        if change.entity.startswith(JOB_PREFIX):
            job_id = change.entity.removeprefix(JOB_PREFIX)
            self._apply_job(job_id, change.value)
            return job_id
        if change.entity.startswith(TASK_PREFIX):
            self._apply_task(change.entity, change.value)
            job_id = change.entity.split('/')[1]
            return job_id
        return None

    def _apply_job(self, job_id: str, value: typing.Any) -> None:
        self.open_ids.pop(job_id, None)
        if jobs.is_open(value):
            self.open_ids[job_id] = None

    def _apply_task(self, entity: str, value: typing.Any) -> None:
        old_worker = self._worker_by_entity.pop(entity, None)
        if old_worker is not None:
            attempts = self._attempts_by_worker[old_worker]
            del attempts[entity]
            if not attempts:
                del self._attempts_by_worker[old_worker]
        if value is None or value['state'] != jobs.TaskState.CLAIMED:
            return
        worker_id = sys.intern(value['worker'])
        self._worker_by_entity[entity] = worker_id
        attempts = self._attempts_by_worker.setdefault(worker_id, {})
        attempts[entity] = value['attempt']

"""A node's view of a cell's jobs, built from the records in the store."""

import typing

from carawaymast_core.cell import lazy
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod

__all__ = ['JobView']


class JobView:
    """All jobs of a cell, as of the records applied so far.

    Records must be applied in the order of the store. The first submission
    of a job id is used; later ones are repeats and ignored. ``on_unreadable``
    is called with the key and the error of a record that cannot be read.
    """

    def __init__(
        self,
        on_unreadable: typing.Callable[[str, str], None] = (
            lambda key, error: None
        ),
    ):
        self.submission_by_id = lazy.LazyRecords(
            spec_mod.Submission, on_unreadable
        )
        self.record_by_id = lazy.LazyRecords(records.JobRecord, on_unreadable)
        self.cancelled_at_ms_by_id: dict[str, int] = {}
        # The latest ``SpeedRecord`` as stored, empty if there is none.
        self.encoded_speeds = b''
        # The latest ``UnreachedRecord``, the same.
        self.encoded_unreached = b''

    def apply_intake(self, key: str, value: bytes) -> str | None:
        """Apply an intake record; return the job's id if the job changed.

        An empty value deletes the record. Raises ``ValueError`` if the record
        cannot be read.
        """
        if not value:
            self._remove_intake(key)
            return None
        if key.endswith(records.CANCEL_SUFFIX):
            job_id = key.removesuffix(records.CANCEL_SUFFIX)
            at_ms = records.decode_cancel(value)
            self.cancelled_at_ms_by_id[job_id] = at_ms
            return job_id
        if key in self.submission_by_id:
            return None
        self.submission_by_id.put_encoded(key, value)
        return key

    def apply_state(self, key: str, value: bytes) -> None:
        """Apply a state record; an empty value deletes it.

        Raises ``ValueError`` if the record cannot be read.
        """
        if key == records.SPEEDS_KEY:
            self.encoded_speeds = value
            return
        if key == records.UNREACHED_KEY:
            self.encoded_unreached = value
            return
        if key.endswith(records.SUBMISSION_SUFFIX):
            self.apply_intake(
                key.removesuffix(records.SUBMISSION_SUFFIX), value
            )
            return
        job_id = key
        if not value:
            # The state is deleted after the submission, but this node may
            # read of it first: intake and state are different topics.
            self.record_by_id.pop(job_id, None)
            self.submission_by_id.pop(job_id, None)
            return
        self.record_by_id.put_encoded(job_id, value)

    def has_job(self, job_id: str) -> bool:
        """Return whether a job was accepted, its submission kept or not."""
        return job_id in self.submission_by_id or job_id in self.record_by_id

    def has_intake(self, job_id: str) -> bool:
        """Return whether a submission or a cancel of a job is still kept."""
        return (
            job_id in self.submission_by_id
            or job_id in self.cancelled_at_ms_by_id
        )

    def phase(self, job_id: str) -> records.JobPhase | None:
        """Return the phase of a job, None if the job is unknown."""
        record = self.record_by_id.get(job_id)
        if record is not None:
            return record.phase
        if job_id not in self.submission_by_id:
            return None
        if job_id in self.cancelled_at_ms_by_id:
            return records.JobPhase.CANCELED
        return records.JobPhase.QUEUED

    def pending(self, queue_name: str) -> int:
        """Return the number of a queue's jobs of which no task has started.

        Jobs that have ended or were cancelled do not count.
        """
        return sum(
            1
            for job_id in self.submission_by_id
            if self._is_pending(job_id) and self._queue(job_id) == queue_name
        )

    def open_ids(self) -> typing.Iterator[str]:
        """Yield the ids of the jobs that have not ended."""
        for job_id in self.submission_by_id:
            record = self.record_by_id.get(job_id)
            if record is None or not record.phase.is_final:
                yield job_id

    def _queue(self, job_id: str) -> str | None:
        submission = self.submission_by_id.get(job_id)
        return None if submission is None else submission.queue.name

    def _is_pending(self, job_id: str) -> bool:
        if job_id in self.cancelled_at_ms_by_id:
            return False
        record = self.record_by_id.get(job_id)
        if record is None:
            return True
        return not record.has_started and not record.phase.is_final

    def _remove_intake(self, key: str) -> None:
        if key.endswith(records.CANCEL_SUFFIX):
            job_id = key.removesuffix(records.CANCEL_SUFFIX)
            self.cancelled_at_ms_by_id.pop(job_id, None)
        else:
            self.submission_by_id.pop(key, None)

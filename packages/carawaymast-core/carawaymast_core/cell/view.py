"""What a node knows of a cell's jobs from the store."""

import typing

from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod

__all__ = ['JobView']


class JobView:
    """All jobs of a cell as of the records read so far.

    Records are applied in the order of the store; the first submission of an
    id counts, later ones are repeats.
    """

    def __init__(self) -> None:
        self.submission_by_id: dict[str, spec_mod.Submission] = {}
        self.record_by_id: dict[str, records.JobRecord] = {}
        self.cancelled_at_ms_by_id: dict[str, int] = {}

    def take_intake(self, key: str, value: bytes) -> str | None:
        """Apply an intake record; return the job's id if it is news.

        Raises ``ValueError`` if the record cannot be read.
        """
        if not value:
            self._forget_intake(key)
            return None
        if key.endswith(records.CANCEL_SUFFIX):
            job_id = key.removesuffix(records.CANCEL_SUFFIX)
            at_ms = records.decode_cancel(value)
            self.cancelled_at_ms_by_id[job_id] = at_ms
            return job_id
        if key in self.submission_by_id:
            return None
        submission = records.decode(spec_mod.Submission, value)
        self.submission_by_id[key] = submission
        return key

    def take_state(self, key: str, value: bytes) -> None:
        """Apply a state record.

        Raises ``ValueError`` if the record cannot be read.
        """
        if key.endswith(records.SUBMISSION_SUFFIX):
            self.take_intake(
                key.removesuffix(records.SUBMISSION_SUFFIX), value
            )
            return
        job_id = key
        if not value:
            # Dropped after the submission; this node may read it before.
            self.record_by_id.pop(job_id, None)
            self.submission_by_id.pop(job_id, None)
            return
        record = records.decode(records.JobRecord, value)
        self.record_by_id[job_id] = record

    def knows(self, job_id: str) -> bool:
        """Whether a job was accepted; also after its submission is gone."""
        return job_id in self.submission_by_id or job_id in self.record_by_id

    def has_intake(self, job_id: str) -> bool:
        """Whether a submission or a cancel of a job is still kept."""
        return (
            job_id in self.submission_by_id
            or job_id in self.cancelled_at_ms_by_id
        )

    def phase(self, job_id: str) -> records.JobPhase | None:
        """Return the state of a job, None if it is not known."""
        record = self.record_by_id.get(job_id)
        if record is not None:
            return record.phase
        if job_id not in self.submission_by_id:
            return None
        if job_id in self.cancelled_at_ms_by_id:
            return records.JobPhase.CANCELED
        return records.JobPhase.QUEUED

    def pending(self, queue_name: str) -> int:
        """Count the accepted jobs of a queue of which no task has started."""
        return sum(
            1
            for job_id, submission in self.submission_by_id.items()
            if submission.queue.name == queue_name and self._is_pending(job_id)
        )

    def open_ids(self) -> typing.Iterator[str]:
        """Yield the ids of the jobs that have not ended."""
        for job_id in self.submission_by_id:
            record = self.record_by_id.get(job_id)
            if record is None or not record.phase.is_final:
                yield job_id

    def _is_pending(self, job_id: str) -> bool:
        if job_id in self.cancelled_at_ms_by_id:
            return False
        record = self.record_by_id.get(job_id)
        if record is None:
            return True
        return not record.has_started and not record.phase.is_final

    def _forget_intake(self, key: str) -> None:
        if key.endswith(records.CANCEL_SUFFIX):
            job_id = key.removesuffix(records.CANCEL_SUFFIX)
            self.cancelled_at_ms_by_id.pop(job_id, None)
        else:
            self.submission_by_id.pop(key, None)

"""Quarantine of workers on which more tasks fail than on others.

A worker is compared with its peers kind by kind. Only failures in excess of
the failure rate of the same kinds on other workers count, so a kind of work
that fails everywhere puts no worker in quarantine. It does not matter how
soon a task fails. A quarantined worker gets one task as a probe after a
growing delay; a probe that succeeds ends the quarantine.
"""

import collections
import typing

from carawaymast_core import clock as clock_mod

__all__ = ['Quarantine']

OUTCOME_WINDOW = 20
MIN_EXCESS_FAILURES = 3.0
MIN_PEER_OUTCOMES = 3
MIN_EXCESS_SHARE = 0.4
FIRST_PROBE_DELAY_MS = 30_000
MAX_PROBE_DELAY_MS = 600_000


class _Record:
    """The last ``OUTCOME_WINDOW`` outcomes on a worker, and its quarantine.

    ``probe_delay_ms`` is 0 unless the worker is in quarantine.
    """

    def __init__(self) -> None:
        self.outcomes: collections.deque[tuple[str, bool]]
        self.outcomes = collections.deque()
        self.probe_delay_ms = 0
        self.probe_at_ms = 0
        self.is_probing = False


class Quarantine:
    """Selects the workers that may get new tasks by their past outcomes."""

    def __init__(self, clock: clock_mod.Clock):
        self._clock = clock
        self._tried_by_kind: collections.Counter[str] = collections.Counter()
        self._failed_by_kind: collections.Counter[str] = collections.Counter()
        self._record_by_worker: dict[str, _Record] = {}

    def record_outcome(
        self, worker_id: str, kind: str, is_success: bool
    ) -> None:
        """Record the outcome of a task on a worker."""
        record = self._record_by_worker.setdefault(worker_id, _Record())
        self._add(record, kind, is_success)
        if record.probe_delay_ms:
            self._complete_probe(record, is_success)
        elif self._has_excess_failures(record):
            self._quarantine(record, FIRST_PROBE_DELAY_MS)

    def may_place(self, worker_id: str) -> bool:
        """Return whether a new task may be placed on a worker."""
        record = self._record_by_worker.get(worker_id)
        if record is None or not record.probe_delay_ms:
            return True
        return self._clock.now() >= record.probe_at_ms

    def record_start(self, worker_id: str) -> None:
        """Record that a task was placed; in quarantine it is the probe."""
        record = self._record_by_worker.get(worker_id)
        if record is not None and record.probe_delay_ms:
            record.is_probing = True
            # If the probe never ends, another one follows after the delay.
            record.probe_at_ms = self._clock.now() + record.probe_delay_ms

    def quarantined(self) -> list[str]:
        """Return the workers in quarantine."""
        return [
            worker_id
            for worker_id, record in self._record_by_worker.items()
            if record.probe_delay_ms
        ]

    def remove(self, worker_id: str) -> None:
        """Remove a worker that restarted or left, with its outcomes."""
        record = self._record_by_worker.pop(worker_id, None)
        if record is not None:
            self._clear(record)

    def _add(self, record: _Record, kind: str, is_success: bool) -> None:
        record.outcomes.append((kind, is_success))
        self._tried_by_kind[kind] += 1
        self._failed_by_kind[kind] += not is_success
        if len(record.outcomes) > OUTCOME_WINDOW:
            self._drop_oldest(record)

    def _drop_oldest(self, record: _Record) -> None:
        kind, is_success = record.outcomes.popleft()
        self._tried_by_kind[kind] -= 1
        self._failed_by_kind[kind] -= not is_success

    def _clear(self, record: _Record) -> None:
        while record.outcomes:
            self._drop_oldest(record)

    def _complete_probe(self, record: _Record, is_success: bool) -> None:
        if not record.is_probing:
            return
        if is_success:
            self._clear(record)
            record.probe_delay_ms = 0
            record.is_probing = False
        else:
            self._quarantine(record, 2 * record.probe_delay_ms)

    def _quarantine(self, record: _Record, probe_delay_ms: int) -> None:
        record.probe_delay_ms = min(MAX_PROBE_DELAY_MS, probe_delay_ms)
        record.probe_at_ms = self._clock.now() + record.probe_delay_ms
        record.is_probing = False

    def _has_excess_failures(self, record: _Record) -> bool:
        """Return whether the failures in excess reach both minimums.

        These are a number, and a share of the last outcomes on the worker.
        """
        failed = collections.Counter(
            kind for kind, is_success in record.outcomes if not is_success
        )
        tried = collections.Counter(kind for kind, _ in record.outcomes)
        excess = sum(
            failed[kind]
            - tried[kind]
            * self._peer_failure_rate(kind, tried[kind], failed[kind])
            for kind in failed
        )
        share = excess / len(record.outcomes)
        return excess >= MIN_EXCESS_FAILURES and share >= MIN_EXCESS_SHARE

    def _peer_failure_rate(self, kind: str, tried: int, failed: int) -> float:
        """Return the share of tasks of a kind that fail on other workers.

        Returns 1.0, so that no failure counts, if the other workers have
        fewer than ``MIN_PEER_OUTCOMES`` outcomes of the kind.
        """
        tried_elsewhere = self._tried_by_kind[kind] - tried
        if tried_elsewhere < MIN_PEER_OUTCOMES:
            return 1.0
        return (self._failed_by_kind[kind] - failed) / tried_elsewhere


def classify_outcome(outcome: str) -> typing.Literal[True, False, None]:
    """Return whether an outcome is a success, None if it is neither."""
    return {'done': True, 'failed': False}.get(outcome)

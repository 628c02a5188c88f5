"""Workers that fail what they start, fast or slow, found by comparison.

A worker is compared with its peers kind by kind: only failures beyond what
the same kinds have elsewhere count against it, so a kind of work that fails
everywhere condemns no worker. A quarantined worker is probed with one task
after a growing pause and comes back when a probe succeeds.
"""

import collections
import typing

from carawaymast_core import clock as clock_mod

__all__ = ['Quarantine']

WINDOW = 20
MIN_EXCESS = 3.0
MIN_EVIDENCE = 3
MIN_EXCESS_SHARE = 0.4
FIRST_PAUSE_MS = 30_000
LONGEST_PAUSE_MS = 600_000


class _Record:
    """The latest outcomes on one worker, and its quarantine."""

    def __init__(self) -> None:
        self.outcomes: collections.deque[tuple[str, bool]]
        self.outcomes = collections.deque()
        self.pause_ms = 0
        self.probe_at_ms = 0
        self.is_probing = False


class Quarantine:
    """Which workers may get new tasks, from the outcomes on all of them."""

    def __init__(self, clock: clock_mod.Clock):
        self._clock = clock
        self._tried: collections.Counter[str] = collections.Counter()
        self._failed: collections.Counter[str] = collections.Counter()
        self._record_by_worker: dict[str, _Record] = {}

    def note(self, worker_id: str, kind: str, is_success: bool) -> None:
        """Take in the outcome of a task on a worker."""
        record = self._record_by_worker.setdefault(worker_id, _Record())
        self._add(record, kind, is_success)
        if record.pause_ms:
            self._judge_probe(record, is_success)
        elif self._is_bad(record):
            self._confine(record, FIRST_PAUSE_MS)

    def may_place(self, worker_id: str) -> bool:
        """Tell whether a new task may go to a worker."""
        record = self._record_by_worker.get(worker_id)
        if record is None or not record.pause_ms:
            return True
        return self._clock.now() >= record.probe_at_ms

    def begin(self, worker_id: str) -> None:
        """Note that a task was placed; on a bad worker it is the probe."""
        record = self._record_by_worker.get(worker_id)
        if record is not None and record.pause_ms:
            record.is_probing = True
            # A probe that never ends is followed by another one.
            record.probe_at_ms = self._clock.now() + record.pause_ms

    def confined(self) -> list[str]:
        """Return the workers in quarantine."""
        return [
            worker_id
            for worker_id, record in self._record_by_worker.items()
            if record.pause_ms
        ]

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that restarted or went away."""
        record = self._record_by_worker.pop(worker_id, None)
        if record is not None:
            self._clear(record)

    def _add(self, record: _Record, kind: str, is_success: bool) -> None:
        record.outcomes.append((kind, is_success))
        self._tried[kind] += 1
        self._failed[kind] += not is_success
        if len(record.outcomes) > WINDOW:
            self._drop_oldest(record)

    def _drop_oldest(self, record: _Record) -> None:
        kind, is_success = record.outcomes.popleft()
        self._tried[kind] -= 1
        self._failed[kind] -= not is_success

    def _clear(self, record: _Record) -> None:
        while record.outcomes:
            self._drop_oldest(record)

    def _judge_probe(self, record: _Record, is_success: bool) -> None:
        if not record.is_probing:
            return
        if is_success:
            self._clear(record)
            record.pause_ms = 0
            record.is_probing = False
        else:
            self._confine(record, 2 * record.pause_ms)

    def _confine(self, record: _Record, pause_ms: int) -> None:
        record.pause_ms = min(LONGEST_PAUSE_MS, pause_ms)
        record.probe_at_ms = self._clock.now() + record.pause_ms
        record.is_probing = False

    def _is_bad(self, record: _Record) -> bool:
        failed = collections.Counter(
            kind for kind, is_success in record.outcomes if not is_success
        )
        tried = collections.Counter(kind for kind, _ in record.outcomes)
        excess = sum(
            failed[kind]
            - tried[kind]
            * self._share_elsewhere(kind, tried[kind], failed[kind])
            for kind in failed
        )
        share = excess / len(record.outcomes)
        return excess >= MIN_EXCESS and share >= MIN_EXCESS_SHARE

    def _share_elsewhere(self, kind: str, tried: int, failed: int) -> float:
        """Return how much of a kind fails on the other workers.

        Without evidence from others nothing speaks against a worker.
        """
        tried_elsewhere = self._tried[kind] - tried
        if tried_elsewhere < MIN_EVIDENCE:
            return 1.0
        return (self._failed[kind] - failed) / tried_elsewhere


def judged(outcome: str) -> typing.Literal[True, False, None]:
    """Return whether an outcome speaks for a worker, None if for neither."""
    return {'done': True, 'failed': False}.get(outcome)

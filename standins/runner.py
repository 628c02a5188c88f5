"""A worker of the users' platform, by its published protocol, in memory.

It keeps the highest epoch it has seen, runs tasks under one lease, numbers
its ends and lists them until they are acknowledged. Time is its own steady
clock, moved by ``advance``.
"""

import typing

from carawaymast_core.cell import reports

__all__ = ['RunnerStandin']

MAX_LEASE_MS = 10_000
STOP_MS = 900
PACE_MS = 100
FENCED = reports.StartRefusal.FENCED
LATE = reports.StartRefusal.LATE
STALE_RUN = reports.StartRefusal.STALE_RUN


class _Running:
    """A run on the runner; ``left_ms`` is the work it still needs."""

    def __init__(self, run_id: int, left_ms: int, fails: bool):
        self.run_id = run_id
        self.left_ms = left_ms
        self.fails = fails
        self.stops_at_ms: int | None = None
        self.percent = 100
        # A pace that was ordered, and when it takes effect.
        self.next_pace: tuple[float, int] | None = None


class RunnerStandin:
    """One life of a runner."""

    def __init__(self, runner_id: str, born_ms: int = 1, rate: float = 1.0):
        self.runner_id = runner_id
        self.born_ms = born_ms
        self.rate = rate
        self.clock_ms = 0.0
        self.epoch = 0
        self.lease_until_ms = 0.0
        self.is_up = True
        self.started: list[tuple[str, int]] = []
        self.running: dict[str, _Running] = {}
        self.ended: list[reports.EndedRun] = []
        self._end_number = 0
        # Told of each start and end: what, task and run.
        self.on_change: typing.Callable[[str, str, int], None]
        self.on_change = lambda what, task, run_id: None
        self._highest_ended: dict[str, int] = {}
        # The figure of each running task, see ``reports.Listed``.
        self.use_of: typing.Callable[[str], float] = lambda task: 0.0

    def hold(
        self, epoch: int, ack_number: int, deadline_ms: int | None
    ) -> reports.LeaseRenewal | None:
        """Renew the lease and answer both lists; None for a lower epoch."""
        if epoch < self.epoch:
            return None
        self.epoch = epoch
        self._extend(deadline_ms)
        self.ended = [e for e in self.ended if e.number > ack_number]
        running = tuple(
            reports.ListedRun(
                task, run.run_id, '', run.percent, self.use_of(task)
            )
            for task, run in self.running.items()
        )
        return reports.LeaseRenewal(
            int(self.clock_ms), self.born_ms, running, tuple(self.ended)
        )

    def start(
        self,
        epoch: int,
        task: str,
        run_id: int,
        deadline_ms: int,
        work_ms: int,
        fails: bool = False,
    ) -> reports.StartOutcome:
        """Start a run unless the protocol forbids it."""
        if epoch < self.epoch:
            return reports.StartOutcome(True, FENCED)
        self.epoch = epoch
        if deadline_ms <= self.clock_ms:
            return reports.StartOutcome(True, LATE)
        self._extend(deadline_ms)
        here = self.running.get(task)
        if here is not None and here.run_id == run_id:
            return reports.StartOutcome(True)
        if here is not None or run_id <= self._highest_ended.get(task, 0):
            return reports.StartOutcome(True, STALE_RUN)
        self.running[task] = _Running(run_id, work_ms, fails)
        self.started.append((task, run_id))
        self.on_change('start', task, run_id)
        return reports.StartOutcome(True)

    def stop(self, epoch: int, task: str, run_id: int) -> bool:
        """Begin a stop; refuse this run and lower ones from now on."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, run_id)
        run = self.running.get(task)
        if run is not None and run.run_id <= run_id:
            run.stops_at_ms = run.stops_at_ms or self.clock_ms + STOP_MS
        return True

    def limit_speed(
        self, epoch: int, task: str, run_id: int, percent: int
    ) -> bool:
        """Let a run go on at a share of its pace, a little later."""
        run = self.running.get(task)
        if epoch < self.epoch or run is None or run.run_id != run_id:
            return False
        self.epoch = epoch
        run.next_pace = self.clock_ms + PACE_MS, percent
        return True

    def advance(self, ms: int) -> None:
        """Let time pass: runs end, stops take effect, the lease lapses."""
        self.clock_ms += ms * self.rate
        for task, run in list(self.running.items()):
            if run.next_pace and self.clock_ms >= run.next_pace[0]:
                run.percent = run.next_pace[1]
                run.next_pace = None
            run.left_ms -= ms * run.percent / 100
            if run.stops_at_ms is not None:
                if self.clock_ms >= run.stops_at_ms:
                    self._end(task, reports.EndKind.STOPPED)
            elif run.left_ms <= 0:
                self._end(
                    task,
                    reports.EndKind.FAILED
                    if run.fails
                    else reports.EndKind.DONE,
                )
        if self.clock_ms >= self.lease_until_ms:
            for task in list(self.running):
                self._end(task, reports.EndKind.LAPSED)

    def break_run(self, task: str, how: reports.EndKind) -> None:
        """End a run at once, as broken, alone or failed."""
        self._end(task, how)

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is None:
            return
        longest_ms = self.clock_ms + MAX_LEASE_MS
        self.lease_until_ms = max(
            self.lease_until_ms, min(longest_ms, deadline_ms)
        )

    def _end(self, task: str, how: reports.EndKind) -> None:
        run = self.running.pop(task)
        self.on_change(how.value, task, run.run_id)
        self._end_number += 1
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, run.run_id)
        self.ended.append(
            reports.EndedRun(self._end_number, task, run.run_id, how, '')
        )

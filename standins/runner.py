"""An in-memory runner, as the users' platform calls a worker.

It follows the platform's published protocol: it keeps the highest fencing
token it has seen, runs tasks under one lease, numbers the runs that end and
lists them until they are acknowledged. It has its own monotonic clock, which
``advance`` moves.
"""

import typing

from carawaymast_core.cell import reports

__all__ = ['RunnerStandin']

MAX_LEASE_MS = 10_000
STOP_DELAY_MS = 900
MAX_LISTED_ENDS = 500
SPEED_LIMIT_DELAY_MS = 100
FENCED = reports.StartRefusal.FENCED
LATE = reports.StartRefusal.LATE
STALE_RUN = reports.StartRefusal.STALE_RUN
TICKET = reports.StartRefusal.TICKET


class _Run:
    """A run on the runner.

    ``remaining_ms`` is the time it still needs at full speed, of ``work_ms``
    in all; ``percent`` is its speed now, in percent of full speed.
    """

    def __init__(self, run_id: int, work_ms: int, fails: bool):
        self.run_id = run_id
        self.work_ms = work_ms
        self.remaining_ms = work_ms
        self.fails = fails
        self.stops_at_ms: int | None = None
        self.percent = 100
        # (when a speed limit takes effect in ms, the limit in percent)
        self.pending_speed_limit: tuple[float, int] | None = None

    @property
    def done_percent(self) -> int:
        """How much of the work is done, in percent."""
        return int(100 * (1 - self.remaining_ms / max(1, self.work_ms)))


class RunnerStandin:
    """One incarnation of a runner.

    ``clock_rate`` is the speed of its clock relative to ``advance``.
    """

    def __init__(
        self, runner_id: str, born_ms: int = 1, clock_rate: float = 1.0
    ):
        self.runner_id = runner_id
        self.born_ms = born_ms
        self.clock_rate = clock_rate
        self.clock_ms = 0.0
        self.fencing_token = 0
        self.lease_until_ms = 0.0
        self.is_up = True
        # Whether its tasks stand still, though it answers.
        self.is_stalled = False
        # Whether a task's listed percent is its progress, not its speed.
        self.lists_progress: typing.Callable[[str], bool]
        self.lists_progress = lambda task: False
        self.started: list[tuple[str, int]] = []
        self.running: dict[str, _Run] = {}
        self.ended: list[reports.EndedRun] = []
        self._end_number = 0
        # Called with (event, task, run id) at each start and end.
        self.on_change: typing.Callable[[str, str, int], None]
        self.on_change = lambda event, task, run_id: None
        # Called with (task, run id) when an end as done is acknowledged, and
        # the lease has not expired since.
        self.on_done_acknowledged: typing.Callable[[str, int], None]
        self.on_done_acknowledged = lambda task, run_id: None
        # The number of the last end before the lease last expired.
        self._last_number_at_expiry = 0
        self._highest_ended_by_task: dict[str, int] = {}
        # Returns ``use`` of a running task, see ``reports.ListedRun``.
        self.use_of: typing.Callable[[str], float] = lambda task: 0.0

    def renew_lease(
        self, fencing_token: int, ack_number: int, deadline_ms: int | None
    ) -> reports.LeaseRenewal | None:
        """Renew the lease and list running and ended runs.

        ``deadline_ms`` is the new end of the lease by the runner's clock, at
        most ``MAX_LEASE_MS`` ahead; None leaves the end as it is. Ended runs
        up to ``ack_number`` are dropped from the list. Returns None for an
        fencing token lower than the highest seen.
        """
        if fencing_token < self.fencing_token:
            return None
        self.fencing_token = fencing_token
        self._extend(deadline_ms)
        for end in self.ended:
            is_lapsed = end.number <= self._last_number_at_expiry
            is_noted = end.number <= ack_number and not is_lapsed
            if is_noted and end.how is reports.EndKind.DONE:
                self.on_done_acknowledged(end.task, end.run_id)
        self.ended = [e for e in self.ended if e.number > ack_number]
        running = tuple(
            reports.ListedRun(
                task,
                run.run_id,
                '',
                run.done_percent if self.lists_progress(task) else run.percent,
                self.use_of(task),
            )
            for task, run in self.running.items()
        )
        return reports.LeaseRenewal(
            int(self.clock_ms),
            self.born_ms,
            running,
            tuple(self.ended[:MAX_LISTED_ENDS]),
            len(self.ended) <= MAX_LISTED_ENDS,
        )

    def start(
        self,
        fencing_token: int,
        task: str,
        run_id: int,
        deadline_ms: int,
        work_ms: int,
        fails: bool = False,
        ticket: str = '',
    ) -> reports.StartOutcome:
        """Start a run and extend the lease to ``deadline_ms``.

        ``work_ms`` is its duration at full speed. Refused are a fencing
        token lower than the highest seen, a ticket that was not issued for
        this incarnation, a deadline that has passed, a task with another run,
        and a run id up to the highest that ended or was stopped. A start of
        the present run succeeds again.
        """
        if fencing_token < self.fencing_token:
            return reports.StartOutcome(True, FENCED)
        self.fencing_token = fencing_token
        if ticket not in ('', self.ticket()):
            return reports.StartOutcome(True, TICKET)
        if deadline_ms <= self.clock_ms:
            return reports.StartOutcome(True, LATE)
        self._extend(deadline_ms)
        current = self.running.get(task)
        if current is not None and current.run_id == run_id:
            return reports.StartOutcome(True)
        if current is not None or run_id <= self._highest_ended_by_task.get(
            task, 0
        ):
            return reports.StartOutcome(True, STALE_RUN)
        self.running[task] = _Run(run_id, work_ms, fails)
        self.started.append((task, run_id))
        self.on_change('start', task, run_id)
        return reports.StartOutcome(True)

    def ticket(self) -> str:
        """Return the ticket that the advice service issues for it now."""
        return f'{self.runner_id}@{self.born_ms}'

    def stop(self, fencing_token: int, task: str, run_id: int) -> bool:
        """Begin to stop a run; from now on refuse it and lower run ids.

        Returns False for a fencing token lower than the highest seen.
        """
        if fencing_token < self.fencing_token:
            return False
        self.fencing_token = fencing_token
        highest_ended = self._highest_ended_by_task.get(task, 0)
        self._highest_ended_by_task[task] = max(highest_ended, run_id)
        run = self.running.get(task)
        if run is not None and run.run_id <= run_id:
            run.stops_at_ms = run.stops_at_ms or self.clock_ms + STOP_DELAY_MS
        return True

    def limit_speed(
        self, fencing_token: int, task: str, run_id: int, percent: int
    ) -> bool:
        """Limit a run to ``percent`` of full speed, after a short delay.

        Returns False for a lower fencing token or a run that is not running.
        """
        run = self.running.get(task)
        if (
            fencing_token < self.fencing_token
            or run is None
            or run.run_id != run_id
        ):
            return False
        self.fencing_token = fencing_token
        run.pending_speed_limit = self.clock_ms + SPEED_LIMIT_DELAY_MS, percent
        return True

    def advance(self, ms: int) -> None:
        """Advance the clock by ``ms``.

        Runs end, stops and speed limits take effect and the lease expires.
        """
        self.clock_ms += ms * self.clock_rate
        for task, run in list(self.running.items()):
            if (
                run.pending_speed_limit
                and self.clock_ms >= run.pending_speed_limit[0]
            ):
                run.percent = run.pending_speed_limit[1]
                run.pending_speed_limit = None
            if not self.is_stalled:
                run.remaining_ms -= ms * run.percent / 100
            if run.stops_at_ms is not None:
                if self.clock_ms >= run.stops_at_ms:
                    self._end(task, reports.EndKind.STOPPED)
            elif run.remaining_ms <= 0:
                self._end(
                    task,
                    reports.EndKind.FAILED
                    if run.fails
                    else reports.EndKind.DONE,
                )
        if self.clock_ms >= self.lease_until_ms:
            for task in list(self.running):
                self._end(task, reports.EndKind.LAPSED)
            self._last_number_at_expiry = self._end_number

    def end_run(self, task: str, kind: reports.EndKind) -> None:
        """End a run at once, as ``BROKEN``, ``ALONE`` or ``FAILED``."""
        self._end(task, kind)

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is None:
            return
        max_until_ms = self.clock_ms + MAX_LEASE_MS
        self.lease_until_ms = max(
            self.lease_until_ms, min(max_until_ms, deadline_ms)
        )

    def _end(self, task: str, kind: reports.EndKind) -> None:
        run = self.running.pop(task)
        self.on_change(kind.value, task, run.run_id)
        self._end_number += 1
        highest_ended = self._highest_ended_by_task.get(task, 0)
        self._highest_ended_by_task[task] = max(highest_ended, run.run_id)
        self.ended.append(
            reports.EndedRun(self._end_number, task, run.run_id, kind, '')
        )

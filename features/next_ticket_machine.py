"""Restarting runners that get starts with tickets of their next incarnation.

The leader does not know that incarnation yet: the call for advice is answered
after a restart whose entry it has not read.
"""

from hypothesis import stateful
from hypothesis import strategies as st

from features import restart_machine
from standins import runner as runner_mod

__all__ = ['NextTicketMachine']

CYCLES = st.sampled_from([0, 1, 10, 40])


class NextTicketMachine(restart_machine.RestartMachine):
    """The cell of the restarting runners, with such starts in one go."""

    @stateful.rule(
        name=restart_machine.NAME,
        in_office=st.sampled_from([0, 60]),
        outcome=st.sampled_from(['answered', 'answer lost', 'late']),
        is_read=st.booleans(),
        before=CYCLES,
        between=CYCLES,
        followers=st.lists(
            st.sampled_from(['take_over', 'hand_over']), max_size=2
        ),
        is_restarted=st.booleans(),
        clock_rate=restart_machine.CLOCK_RATE,
    )
    def start_at_next(
        self,
        name,
        in_office,
        outcome,
        is_read,
        before,
        between,
        followers,
        is_restarted,
        clock_rate,
    ):
        """Start a task at a runner that has restarted, then cut it off."""
        self.reconnect()
        self.run_cycles(1 + in_office)
        former_born_ms = self.runner_by_id[name].born_ms
        self.restart(name, False, False, clock_rate)
        self._suspect_others(name)
        self.submit(1, True, restart_machine.LONG_WORK_MS)
        if outcome == 'answered':
            self.world.plan()
        else:
            self.lose_starts(outcome == 'answer lost')
        if is_read:
            self._list_runner(self.runner_by_id[name])
        self.cut_off(name)
        self.run_cycles(before)
        for change in followers:
            listed = self.cut_off_by_id[name]
            if not is_read:
                listed = runner_mod.RunnerStandin(name, former_born_ms)
            getattr(self.world, change)(listed=[listed])
            self.run_cycles(1)
        self.run_cycles(between)
        while self.late_calls:
            self.deliver_late_call(0)
        if is_restarted:
            self.restart(name, True, True, clock_rate)
        self.run_cycles(60)

    def _suspect_others(self, name):
        """Let the next plan place tasks at one runner alone."""
        until_ms = self.world.clock.now() + 1
        for worker in self.world.cell.worker_by_key.values():
            if worker.worker_id != name:
                worker.suspect_until_ms = until_ms

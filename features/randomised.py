"""Run a hypothesis state machine, with the same steps each time or new ones.

For a longer run by hand, give the name of the machine, the number of examples
and the steps of each, and a seed to repeat a run::

    python -m features.randomised fleet 2000 40
"""

import random
import sys
import typing

import hypothesis
from hypothesis import stateful

from features import cell_machine
from features import core_machines
from features import fleet_machine
from features import next_ticket_machine

__all__ = ['MACHINE_BY_NAME', 'run']

MACHINE_BY_NAME: dict[str, type[stateful.RuleBasedStateMachine]] = {
    'cell': cell_machine.CellMachine,
    'restarting cell': next_ticket_machine.NextTicketMachine,
    'queue': core_machines.QueueMachine,
    'shares': core_machines.ShareMachine,
    'replica': core_machines.ReplicaMachine,
    'book': core_machines.WorkerTrackerMachine,
    'lease': core_machines.LeaseMachine,
    'fleet': fleet_machine.FleetMachine,
    'trusting fleet': fleet_machine.TrustingFleetMachine,
}


def run(
    name: str,
    examples: int,
    steps: int,
    is_fixed: bool = True,
    seed: int | None = None,
) -> int:
    """Run a machine and return the number of steps taken.

    Each of the examples takes at most ``steps`` steps. Without ``is_fixed``
    the steps are random, by ``seed`` if there is one, and failures are shrunk.
    """
    taken = 0
    machine_type = MACHINE_BY_NAME[name]

    class CountingMachine(machine_type):
        # Called after each step.
        def check_invariants(self, settings, *rest, **options):
            nonlocal taken
            taken += 1
            return super().check_invariants(settings, *rest, **options)

    phases = [hypothesis.Phase.generate]
    if not is_fixed:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=is_fixed,
        deadline=None,
        database=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    CountingMachine.__name__ = CountingMachine.__qualname__ = (
        machine_type.__name__
    )
    if seed is not None:
        CountingMachine = hypothesis.seed(seed)(CountingMachine)
    stateful.run_state_machine_as_test(CountingMachine, settings=settings)
    return taken


def main(arguments: typing.Sequence[str]) -> None:
    """Run a machine with the seed that is given or a new one; print it."""
    name, examples, steps, *given_seed = arguments
    seed = int(given_seed[0]) if given_seed else random.getrandbits(32)
    print(f'seed {seed}', flush=True)
    taken = run(name, int(examples), int(steps), False, seed)
    print(f'{taken} steps passed')


if __name__ == '__main__':
    main(sys.argv[1:])

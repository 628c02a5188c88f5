"""Run all scenarios, count them, and let only known failures fail.

KNOWN-RED.txt at the root names scenarios that fail because of a fault that is
not fixed yet, each on a line that begins with ``scenario:``. They still run
and are printed, but do not fail the suite.
"""

import pathlib
import sys

from behave import configuration
from behave import runner as behave_runner

__all__ = ['main']

ROOT = pathlib.Path(__file__).parent.parent
RED_FILE = ROOT / 'KNOWN-RED.txt'
RED_PREFIX = 'scenario:'


def known_red() -> set[str]:
    """Return the names of the scenarios that may fail."""
    if not RED_FILE.exists():
        return set()
    return {
        line.removeprefix(RED_PREFIX).strip()
        for line in RED_FILE.read_text().splitlines()
        if line.startswith(RED_PREFIX)
    }


def main(arguments: list[str]) -> int:
    """Run the features at the given paths, or all; return the exit status."""
    options = ['--format=progress3', '--no-capture', '--no-color']
    paths = arguments or [str(ROOT / 'features')]
    config = configuration.Configuration([*options, *paths])
    runner = behave_runner.Runner(config)
    runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    # With paths given, scenarios outside them do not count.
    scenarios = [
        s
        for s in scenarios
        if not arguments or s.status.name not in ('skipped', 'untested')
    ]
    failed = [s for s in scenarios if s.status.name != 'passed']
    red = known_red()
    # The name of an outline's example may end with a space.
    unexpected = [s for s in failed if s.name.strip() not in red]
    print()
    for scenario in failed:
        label = 'KNOWN RED' if scenario.name.strip() in red else 'FAILED'
        print(f'{label} {scenario.location} {scenario.name}')
    passed = len(scenarios) - len(failed)
    if len(failed) > len(unexpected):
        print(f'{len(failed) - len(unexpected)} known red passed over')
    print(f'{passed} passed, {len(unexpected)} failed', flush=True)
    return 1 if unexpected or not passed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

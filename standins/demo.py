"""Run a demo: a mixed load with a flood, during which a node is killed.

It prints the outcomes that callers saw and checks them against what the
workers executed and the nodes' accounts.
"""

import asyncio
import sys
import time

import tabulate

from carawaymast_core import account
from standins import deployment
from standins import load

__all__ = ['main']

DURATION_S = 20.0
FLOOD_START_S = 7.0
FLOOD_END_S = 13.0
KILL_AT_S = 10
SEED = 20261204
JOBS_TIMEOUT_S = 8.0
JOB_COUNT = 12

STREAMS = [
    load.Stream('placement-check', 'kilima', 60, 15, True, 4_000),
    load.Stream('glyph-preview', 'ficha', 60, 20, True, 4_000),
    load.Stream('tool-path-check', 'ficha', 20, 50, True, 10_000),
    load.Stream('renewal', 'kilima', 20, 100, False, 60_000),
    load.Stream('roster', 'kilima', 5, 200, False, 60_000),
    load.Stream('engraving-set', 'ficha', 5, 400, False, 60_000),
    load.Stream(
        'renewal',
        'kilima',
        600,
        100,
        False,
        60_000,
        FLOOD_START_S,
        FLOOD_END_S,
    ),
]


def job_body(number: int) -> dict:
    """Return the body of a job of renewals; every third job is a gang."""
    is_gang = number % 3 == 0
    size = (2_000, 4_000, 0)
    return load.job_body('renewal', 'kilima', 4, size, 1_500, is_gang)


def submit_jobs(url: str) -> list[str]:
    """Submit the jobs and return their ids."""
    job_ids = []
    for number in range(JOB_COUNT):
        status, body = deployment.call(
            'POST', f'{url}/v1/jobs', job_body(number)
        )
        if status != 202:
            raise RuntimeError(f'job {number} was refused: {body}')
        job_ids.append(body['job_id'])
    return job_ids


def send_load(running: deployment.Deployment) -> load.Caller:
    """Send the load; kill a node ``KILL_AT_S`` seconds after its start."""
    killed_name = running.node_names[-1]
    started = time.monotonic()

    def live_urls() -> list[str]:
        return [
            running.url_by_name[name]
            for name in running.node_names
            if running.process_by_name[name].poll() is None
        ]

    caller = load.Caller(live_urls)

    def on_second(second: int) -> None:
        if second == KILL_AT_S:
            running.kill(killed_name)
            running.remove_vm(killed_name)
        done = sum(r.done for r in caller.result_by_kind.values())
        sent = sum(r.sent for r in caller.result_by_kind.values())
        elapsed = time.monotonic() - started
        notes = {
            int(FLOOD_START_S): ' flood of renewals begins',
            KILL_AT_S: f' {killed_name} killed',
            int(FLOOD_END_S): ' flood ends',
        }
        print(
            f'{elapsed:5.1f} s  sent {sent}  done {done}'
            f'{notes.get(second, "")}',
            flush=True,
        )

    arrivals = load.draw_arrivals(STREAMS, DURATION_S, SEED)
    asyncio.run(caller.send_load(arrivals, on_second))
    return caller


def worst_waits_ms(running) -> dict[str, tuple[float, float]]:
    """Return by kind the highest p50 and p99 slot wait of a live node."""
    worst: dict[str, tuple[float, float]] = {}
    for name in running.node_names:
        if running.process_by_name[name].poll() is not None:
            continue
        url = f'{running.url_by_name[name]}/v1/metrics'
        waits_by_kind = deployment.call('GET', url)[1]['waits_ms']
        for kind, found in waits_by_kind.items():
            known = worst.get(kind, (0, 0))
            pair = (found['p50'], found['p99'])
            worst[kind] = tuple(map(max, known, pair))
    return worst


def print_table(running, caller: load.Caller) -> None:
    """Print the outcomes that callers saw, one row for each kind."""
    waits = worst_waits_ms(running)
    rows = [
        [
            kind,
            result.sent,
            result.done,
            result.refused,
            result.unknown,
            result.failed,
            result.node_lost,
            *waits.get(kind, ('-', '-')),
            result.latency_ms.get_value_at_percentile(50),
            result.latency_ms.get_value_at_percentile(99),
        ]
        for kind, result in sorted(caller.result_by_kind.items())
    ]
    headers = [
        'kind',
        'accepted',
        'answered once',
        'refused "not run"',
        'outcome unknown',
        'failed',
        'node killed',
        'wait p50 ms',
        'wait p99 ms',
        'answer p50 ms',
        'answer p99 ms',
    ]
    print(tabulate.tabulate(rows, headers))
    print(f'errors returned to callers: {caller.errors}')


def job_states(running, job_ids: list[str]) -> list[str]:
    """Return the state of each job as the first node shows it."""
    url = running.url_by_name[running.node_names[0]]
    return [
        deployment.call('GET', f'{url}/v1/jobs/{job_id}')[1]['state']
        for job_id in job_ids
    ]


def find_faults(running, caller: load.Caller, job_ids: list[str]) -> list[str]:
    """Print what was executed; return a description of each fault."""
    faults = []
    executed: dict[str, int] = {}
    repeatable: set[str] = set()
    for name in running.worker_names:
        evidence = running.evidence(name)
        counters = evidence['counters']
        print(f'{name}: {counters}')
        if counters['doubles'] or counters['overcommits']:
            faults.append(f'{name} counted violations: {counters}')
        repeatable.update(evidence['repeatable'])
        for ref, count in evidence['executions'].items():
            executed[ref] = executed.get(ref, 0) + count
    for kind, result in caller.result_by_kind.items():
        if not result.is_consistent:
            faults.append(
                f'{kind}: the outcomes do not sum to the requests sent'
            )
        if result.wrong_answers:
            faults.append(f'{kind}: {result.wrong_answers} wrong answers')
    doubled = [
        ref
        for ref, count in executed.items()
        if count > 1 and ref not in repeatable
    ]
    ran_anyway = [ref for ref in caller.not_run_ids if ref in executed]
    not_run = [ref for ref in caller.done_ids if ref not in executed]
    print(
        f'executions {sum(executed.values())}, doubled {len(doubled)}, '
        f'"not run" but ran {len(ran_anyway)}, '
        f'answered but never ran {len(not_run)}'
    )
    for description, found in (
        ('executed twice', doubled),
        ('ran after "not run"', ran_anyway),
        ('answered without a run', not_run),
    ):
        if found:
            faults.append(f'{len(found)} {description}: {found[:3]}')
    states = job_states(running, job_ids)
    print(f'jobs: {len(states)} accepted, {states.count("done")} done')
    if states.count('done') != len(states):
        faults.append(f'jobs ended as {states}')
    for name in running.node_names:
        if running.process_by_name[name].poll() is None:
            faults.extend(find_node_faults(running, name))
    return faults


def find_node_faults(running, name: str) -> list[str]:
    """Return what is wrong in the account of a live node."""
    url = f'{running.url_by_name[name]}/v1/account'
    tallies = deployment.call('GET', url)[1]
    in_flight = sum(tally['in_flight'] for tally in tallies.values())
    faults = [
        f'{name}: {kind} differs by {difference}'
        for kind, difference in account.differences(tallies).items()
    ]
    if in_flight:
        faults.append(f'{name}: {in_flight} requests still in flight')
    return faults


def main() -> int:
    """Run the demo; return the exit status."""
    with deployment.Deployment() as running:
        print(f'{len(running.node_names)} nodes, 6 workers of 8 slots')
        url = running.url_by_name[running.node_names[0]]
        job_ids = submit_jobs(url)
        caller = send_load(running)
        try:
            running.wait_until(
                lambda: set(job_states(running, job_ids)) == {'done'},
                'the jobs to end',
                JOBS_TIMEOUT_S,
            )
        except TimeoutError as error:
            print(error)
        print_table(running, caller)
        faults = find_faults(running, caller, job_ids)
    for fault in faults:
        print(f'FAULT {fault}')
    print('the account adds up' if not faults else 'it does not add up')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())

"""Steps on patterns of load at one cell, without a network."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import advice
from carawaymast_core.cell import choosing
from carawaymast_core.cell import fleet as fleet_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import tiers
from carawaymast_core.cell import worker_speed
from carawaymast_node import channels
from carawaymast_node.cells import fabric
from carawaymast_node.cells import ports
from features import cell_world
from features import leader_parts

VALID_MS = 2_000


def submit(context, job_id, *steps, **more):
    world = context.world
    more.setdefault('accepted_at_ms', world.clock.now())
    world.submit(cell_world.job(job_id, *steps, **more))


def phases(context, prefix):
    world = context.world
    return [
        world.view.phase(job_id)
        for job_id in world.view.submission_by_id
        if job_id.startswith(prefix)
    ]


@given('a flood of {count:d} tasks of rank 2')
def flood(context, count):
    policy = cell_world.queue(rank=2, name='flood')
    step = cell_world.step(count, 1_000, 1_000)
    submit(context, 'flood', step, policy=policy)


@when('an urgent job of {cpu:d} processors comes')
def urgent(context, cpu):
    policy = cell_world.queue(rank=0, name='urgent')
    submit(context, 'u1', cell_world.step(1, cpu * 1_000), policy=policy)


@then('the urgent task runs')
def urgent_runs(context):
    assert 'u1.0.0.0' in context.world.running()


@given(
    'an urgent job that is late for {late:g} s and of use for {left:g} s more'
)
def late_urgent(context, late, left):
    # Its objective is 3 s for a run of 1 s, so it must start within 2 s.
    accepted_ms = context.world.clock.now() - 2_000 - int(late * 1_000)
    policy = cell_world.queue(rank=0, name='urgent')
    # More than the headroom for urgent tasks.
    step = cell_world.step(1, 4_000)
    submit(context, 'u1', step, policy=policy, accepted_at_ms=accepted_ms)


@given('a flood of {count:d} non-urgent tasks that are in time for {left:d} s')
def non_urgent_flood(context, count, left):
    policy = cell_world.queue(rank=2, name='non-urgent')
    estimate_ms = left * 1_000 - 1_000
    step = cell_world.step(count, 1_000, estimate_ms=estimate_ms)
    submit(context, 'non-urgent', step, policy=policy)


@then('the urgent task waits')
def urgent_waits(context):
    assert 'u1.0.0.0' not in context.world.running()


@given('{count:d} jobs that are late already')
def late_jobs(context, count):
    # Late, but too recent to be put first again for their age.
    long_ago_ms = context.world.clock.now() - 10_000
    for number in range(count):
        step = cell_world.step(1, 1_000)
        submit(context, f'late{number}', step, accepted_at_ms=long_ago_ms)


@when('a job comes that can still be in time')
def job_in_time(context):
    submit(context, 'fresh', cell_world.step(1, 1_000))


@then('its task is among those that run')
def fresh_runs(context):
    running = context.world.running()
    assert 'fresh.0.0.0' in running
    # Not all of the 31 tasks fit.
    assert len(running) < 31


@when('a gang "{job_id}" of {count:d} tasks of {cpu:d} processors comes')
def gang_comes(context, job_id, count, cpu):
    submit(context, job_id, cell_world.gang(count, cpu * 1_000))


@then('the flood is not over yet')
def flood_not_over(context):
    assert not context.world.view.phase('flood').is_final


@given('{count:d} jobs of which all that fit run')
def running_jobs(context, count):
    context.world.work_ms = 30_000
    for number in range(count):
        submit(context, f'j{number}', cell_world.step(4, 1_000))
    context.world.plan()
    context.count = count


@when('all but one of them are cancelled')
def cancel_wave(context):
    for number in range(context.count - 1):
        context.world.cancel(f'j{number}')


@then('the one that is left runs or has ended')
def last_runs(context):
    last = f'j{context.count - 1}'
    running = context.world.running()
    assert len(running) == 4, running
    assert all(task.startswith(f'{last}.') for task in running), running


@given('{count:d} jobs that fail each time')
def failing_jobs(context, count):
    context.world.fails = lambda task: task.startswith('bad')
    for number in range(count):
        submit(context, f'bad{number}', cell_world.step(2, 1_000))


@then('at least {count:d} of the failing jobs have failed')
def have_failed(context, count):
    for _ in range(30):
        context.world.run_cycle()
    failed = phases(context, 'bad').count(records.JobPhase.FAILED)
    assert failed >= count, failed


@given('every run at worker "{name}" fails')
def worker_fails(context, name):
    runner = context.world.runner_by_id[name]
    start = runner.start

    def failing_start(
        token, task, run_id, deadline_ms, work_ms, fails, ticket
    ):
        return start(token, task, run_id, deadline_ms, 100, True, ticket)

    runner.start = failing_start


@given('{count:d} jobs with {attempts:d} attempts each')
def jobs_with_attempts(context, count, attempts):
    policy = cell_world.queue(attempts=attempts)
    for number in range(count):
        submit(context, f'a{number}', cell_world.step(2), policy=policy)


@when('time passes until all of them have ended')
def all_ended(context):
    for _ in range(600):
        if all(phase.is_final for phase in phases(context, 'a')):
            return
        context.world.run_cycle()
    raise AssertionError(phases(context, 'a'))


@then('at least {count:d} of them are completed')
def completed(context, count):
    done = phases(context, 'a').count(records.JobPhase.COMPLETED)
    assert done >= count, done


class LossyWorkerPort:
    """A worker port whose second renewal has no answer."""

    def __init__(self, clock, waits):
        self._clock = clock
        self.waits = waits
        # How long after each renewal the next one is sent, in ms.
        self.intervals_ms = [100, 100, 100, 6_000, 0]

    async def renew_lease(
        self, worker, epoch, deadline_ms, wait_ms, timeout_ms
    ):
        self.waits.append(wait_ms)
        number = len(self.waits)
        self._clock.advance(self.intervals_ms[number - 1])
        worker.is_gone = number == len(self.intervals_ms)
        if number == 2:
            raise ports.WorkerError('no answer')
        return reports.LeaseRenewal(1_000 + number, 1, (), ())


@given('orders to a worker that loses the second of five answers')
def make_orders(context):
    clock = clock_mod.ManualClock(10_000)
    context.waits = []
    context.orders, context.worker = leader_parts.make_orders_and_worker(
        clock, LossyWorkerPort(clock, context.waits)
    )


@when('its lease is renewed, the last time 6 s after the others')
def renew(context):
    asyncio.run(context.orders.keep_lease_renewed(context.worker))


@then('the waits were "{waits}" ms')
def waits_were(context, waits):
    assert context.waits == [int(w) for w in waits.split()], context.waits


@given('a step that was granted {some:d} of {count:d} workers for {ms:d} ms')
def granted(context, some, count, ms):
    context.advice = advice.StepAdvice()
    context.ids = [f'w{number}' for number in range(count)]
    tickets = {worker_id: 't' for worker_id in context.ids[:some]}
    context.advice.apply_answer(context.ids, tickets, 0, ms)


@then('after {ms:d} ms nothing is asked')
def nothing_asked(context, ms):
    assert not context.advice.ids_to_ask(context.ids, ms, VALID_MS)


@then('after {ms:d} ms the {count:d} granted workers are asked about')
def granted_asked(context, ms, count):
    ids_to_ask = context.advice.ids_to_ask(context.ids, ms, VALID_MS)
    assert ids_to_ask == context.ids[:count], ids_to_ask


@then('after {ms:d} ms no ticket is good for a start')
def no_ticket(context, ms):
    tickets = [context.advice.ticket(w, ms) for w in context.ids]
    assert tickets == [None] * len(tickets), tickets


@given('{count:d} urgent jobs that wait for their tickets')
def wait_for_tickets(context, count):
    policy = cell_world.queue(
        rank=0, advice=spec_mod.AdvicePolicy(900.0, 5.0, 4_000), name='checks'
    )
    for number in range(count):
        context.world.submit(
            cell_world.job(f'c{number}', cell_world.step(), policy=policy)
        )


@then(
    'the log names "{job_id}", its {tasks:d} tasks, {held:d} reserved '
    'workers and capacity for {room:d}'
)
def gang_named(context, job_id, tasks, held, room):
    waits = [
        f
        for event_type, f in context.world.events
        if event_type == 'gang_waits'
    ]
    assert waits, 'no gang_waits event'
    line = waits[-1]
    assert line['step'].startswith(job_id), line
    found = (line['tasks'], line['held'], line['room'])
    assert found == (tasks, held, room), line


@given(
    'a gang "{job_id}" of {count:d} tasks of {cpu:d} processors that is late'
)
def late_gang(context, job_id, count, cpu):
    world = context.world
    # The workers are full when it is submitted.
    world.submit(cell_world.job('full', cell_world.step(12, 4_000)))
    world.plan()
    gang = cell_world.gang(count, cpu * 1_000)
    accepted_ms = world.clock.now() - 5_000
    world.submit(cell_world.job(job_id, gang, accepted_at_ms=accepted_ms))
    context.gang_submitted_ms = world.clock.now()


@when(
    'every {pause:d} ms a job of {count:d} tasks of {cpu:d} processors comes '
    'for {seconds:d} s'
)
def steady_jobs(context, pause, count, cpu, seconds):
    submit_steadily(context, pause, count, cpu, seconds, cell_world.queue())


@when(
    'every {pause:d} ms an urgent job of {count:d} tasks of {cpu:d} '
    'processors comes for {seconds:d} s'
)
def steady_urgent_jobs(context, pause, count, cpu, seconds):
    urgent = cell_world.queue(rank=0, name='checks')
    submit_steadily(context, pause, count, cpu, seconds, urgent)


def submit_steadily(context, pause, count, cpu, seconds, policy):
    world = context.world
    context.started_ms = {}
    # By task: when it was first found running, and at which runner.
    context.first_seen = {}
    for number in range(seconds * 1_000 // pause):
        step = cell_world.step(count, cpu * 1_000, estimate_ms=100)
        now_ms = world.clock.now()
        job_id = f'n{now_ms}-{number}'
        world.submit(
            cell_world.job(job_id, step, policy=policy, accepted_at_ms=now_ms)
        )
        world.run_cycle(pause)
        for task, runner_ids in world.running().items():
            context.started_ms.setdefault(task.partition('.')[0], now_ms)
            context.first_seen.setdefault(task, (now_ms, runner_ids[0]))


def recent_runner_ids(context, seconds):
    """Return the runner of each task that started in the last seconds."""
    since_ms = context.world.clock.now() - seconds * 1_000
    found = [r for ms, r in context.first_seen.values() if ms >= since_ms]
    assert found
    return found


@given(
    'each third worker takes 0.8 times as long, each third 1.25 times',
)
def three_speeds(context):
    world = context.world
    for number, runner_id in enumerate(world.runner_by_id):
        world.slowdown_by_id[runner_id] = (1.0, 0.8, 1.25)[number % 3]


@then('in the last {seconds:d} s all urgent tasks ran at the fast workers')
def at_fast(context, seconds):
    slowdown = context.world.slowdown_by_id
    found = {slowdown[r] for r in recent_runner_ids(context, seconds)}
    assert found == {0.8}, found


@then('in the last {seconds:d} s all tasks ran at the slow workers')
def at_slow(context, seconds):
    slowdown = context.world.slowdown_by_id
    found = {slowdown[r] for r in recent_runner_ids(context, seconds)}
    assert found == {1.25}, found


@when('worker "{name}" takes {factor:d} times as long')
def turn_slow(context, name, factor):
    context.world.slowdown_by_id[name] = factor


@then('the log reports that "{name}" is suspected of being slow')
def suspected_slow(context, name):
    events = [
        f
        for event_type, f in context.world.events
        if event_type == 'worker_suspected'
    ]
    assert {'slow'} == {f['why'] for f in events}, events
    assert {name} == {f['worker'] for f in events}, events


@then(
    'in the last {seconds:d} s at most 1 task in {share:d} was started at '
    '"{name}"'
)
def few_at(context, seconds, share, name):
    found = recent_runner_ids(context, seconds)
    assert found.count(name) * share <= len(found), (
        found.count(name),
        len(found),
    )


@then('"{job_id}" started within {seconds:d} s')
def started_within(context, job_id, seconds):
    started_ms = context.started_ms.get(job_id)
    assert started_ms is not None, 'the job never started'
    took_ms = started_ms - context.gang_submitted_ms
    assert took_ms <= seconds * 1_000, took_ms


class NoPeers:
    """The peers of a node that has none."""

    def candidates(self):
        return []


@given(
    'a step of {tasks:d} tasks in a cell of {workers:d} workers, for advice '
    'on {most:d} at a time'
)
def wide_fleet(context, tasks, workers, most):
    context.world = cell_world.CellWorld(workers)
    # The first workers are the fullest.
    context.world.submit(cell_world.job('full', cell_world.step(3, 12_000)))
    context.world.plan()
    policy = cell_world.queue(
        rank=0, advice=spec_mod.AdvicePolicy(9.0, 1.0, VALID_MS), name='checks'
    )
    step = cell_world.step(tasks, 16_000)
    context.world.submit(cell_world.job('c1', step, policy=policy))
    context.max_asked = most


@when('the leader asks for advice twice')
def ask_twice(context):
    context.asked = []

    async def advise(step_name, worker_ids):
        context.asked.append(list(worker_ids))
        return ports.Advice({w: 'ticket' for w in worker_ids}, VALID_MS)

    leader_parts.request_advice(
        context.world, advise, context.max_asked, NoPeers(), times=2
    )


@then('each of the {count:d} workers was asked about, the emptiest first')
def all_asked(context, count):
    asked = [worker_id for ids in context.asked for worker_id in ids]
    assert sorted(asked) == [f'w{n}' for n in range(count)], context.asked
    cell = context.world.cell
    full = {w.worker_id for w in cell.worker_by_key.values() if w.run_by_task}
    assert full and not full & set(context.asked[0]), context.asked


@then('none of them counts as denied')
def none_denied(context):
    (step,) = [
        s for n, s in context.world.cell.ready_by_name.items() if 'c1' in n
    ]
    assert not step.advice.denied_ids, step.advice.denied_ids


@given(
    '{count:d} small nodes of {slow:g} cores and a node "{fast}" of {most:g}'
)
def nodes_of_speeds(context, count, slow, fast, most):
    speed_by_name = {fast: most} | {f'small{n}': slow for n in range(count)}
    context.members = [
        records.MemberRecord(name, 'host', 1, 'd', 'boot', speed)
        for name, speed in speed_by_name.items()
    ]


class UnreachablePeers:
    """Peers that answer no call."""

    def __init__(self, members):
        self._members = members
        self.called = []

    def candidates(self):
        return list(self._members)

    async def call(self, member, method, message, timeout_ms):
        self.called.append(member.node_id)
        raise channels.PeerError('no answer')


@when(
    'the leader asks for {few:d} steps of {short:d} ms and then 1 step of '
    '{long:d} ms'
)
def ask_for_steps(context, few, short, long):
    world = cell_world.CellWorld(2)
    context.peers = UnreachablePeers(context.members)
    context.local_calls = 0

    async def advise(step_name, worker_ids):
        context.local_calls += 1
        return ports.Advice({}, VALID_MS)

    for number, decide_ms in enumerate([short] * few + [long]):
        policy = cell_world.queue(
            rank=number, advice=spec_mod.AdvicePolicy(decide_ms, 0.1, VALID_MS)
        )
        world.submit(
            cell_world.job(f'a{number}', cell_world.step(), policy=policy)
        )

    leader_parts.request_advice(world, advise, 9, context.peers)


@then('the nodes that asked are the leader, "{fast}" and a small one')
def asked_by(context, fast):
    assert context.local_calls == 1, context.local_calls
    called = context.peers.called
    assert called[0] == fast, called
    assert len(called) == 2 and called[1].startswith('small'), called


@given('{count:d} nodes of one speed beside the leader')
def nodes_of_one_speed(context, count):
    context.members = [
        records.MemberRecord(f'n{number}', 'host', 1, 'd', 'boot', 1.0)
        for number in range(count)
    ]


@when(
    '{count:d} steps with calls of {long:d} ms wait, and {few:d} with calls '
    'of {short:d} ms come'
)
def flood_of_long_calls(context, count, long, few, short):
    world = cell_world.CellWorld(2)
    context.asked = []

    def submit(prefix, number, decide_ms, rank):
        policy = cell_world.queue(
            rank=rank, advice=spec_mod.AdvicePolicy(decide_ms, 0.1, VALID_MS)
        )
        job_id = f'{prefix}{number}'
        world.submit(cell_world.job(job_id, cell_world.step(), policy=policy))

    for number in range(count):
        submit('long', number, long, 1)
    peers = SilentPeers(context.members, context.asked)
    context.asked += leader_parts.begin_calls(
        world,
        peers,
        lambda: [submit('short', n, short, 0) for n in range(few)],
    )


@then('all {few:d} short calls are under way at once')
def short_under_way(context, few):
    short = [name for name in context.asked if name.startswith('short')]
    assert len(short) == few, context.asked


class SilentPeers(UnreachablePeers):
    """Peers whose calls stay under way."""

    def __init__(self, members, asked):
        super().__init__(members)
        self._asked = asked
        self.timeouts_ms = []

    async def call(self, member, method, message, timeout_ms):
        self._asked.append(message.step)
        self.timeouts_ms.append(timeout_ms)
        await asyncio.Event().wait()


@when('all of them are silent and 2 steps with calls of {short:d} ms wait')
def all_silent(context, short):
    world = cell_world.CellWorld(2)
    policy = cell_world.queue(
        rank=0, advice=spec_mod.AdvicePolicy(short, 0.1, VALID_MS)
    )
    for job_id in ('own', 'peer'):
        world.submit(cell_world.job(job_id, cell_world.step(), policy=policy))
    context.peers = SilentPeers(context.members, [])
    leader_parts.begin_calls(world, context.peers, lambda: None)


@then('the node that was asked has {ms:d} ms to answer')
def time_to_answer(context, ms):
    assert context.peers.timeouts_ms, 'no peer was asked'
    assert max(context.peers.timeouts_ms) <= ms, context.peers.timeouts_ms


class FailingChannels:
    """Channels whose calls fail while ``is_failing``."""

    def __init__(self):
        self.is_failing = True

    async def call(self, *arguments):
        if self.is_failing:
            raise channels.PeerError('no answer')
        return 'reply'


@given('a peer that has failed {count:d} times')
def failed_peer(context, count):
    context.clock = clock_mod.ManualClock(10_000)
    context.peers = fabric.Peers(
        context.clock, 'own', lambda *event, **fields: None
    )
    context.peers._channels = FailingChannels()
    member = records.MemberRecord('n1', 'host', 1, 'd', 'boot', 1.0)
    context.peers.member_by_id['n1'] = context.member = member
    for _ in range(count):
        call_peer(context)


def call_peer(context):
    try:
        asyncio.run(context.peers.call(context.member, 'Advise', None, 100))
    except channels.PeerError:
        return


@then('it is no candidate for {long:d} s, but reachable after {short:d} s')
def avoided(context, long, short):
    clock, peers = context.clock, context.peers
    assert peers.reachable('n1') is None
    clock.advance(short * 1_000)
    assert peers.reachable('n1') is not None
    assert not peers.candidates()
    clock.advance((long - short) * 1_000 - 1)
    assert not peers.candidates()
    clock.advance(1)
    assert peers.candidates()


@then('one answer makes it a candidate again')
def candidate_again(context):
    call_peer(context)
    assert not context.peers.candidates()
    context.peers._channels.is_failing = False
    call_peer(context)
    assert context.peers.candidates()


@then('in the last {seconds:d} s no urgent task ran at a slow worker')
def none_at_slow(context, seconds):
    slowdown = context.world.slowdown_by_id
    found = {slowdown[r] for r in recent_runner_ids(context, seconds)}
    assert 1.25 not in found, found


@given('the speeds of all workers but "{name}" are known to be typical')
def speeds_known(context, name):
    for worker in context.world.cell.worker_by_key.values():
        if worker.worker_id != name:
            worker.tier = worker_speed.Tier.TYPICAL


def choose_worker(context, rank):
    """Choose the worker for a new step of one task that does not explore."""
    world = context.world
    policy = cell_world.queue(rank=rank, name=f'rank{rank}')
    for number in range(100):
        job_id = f's{rank}-{number}'
        submit(context, job_id, cell_world.step(), policy=policy)
        step = world.cell.ready_by_name[f'{job_id}.0.0']
        if tiers.preferred(step) is not tiers.EXPLORING_TIERS:
            break
    fleet = fleet_mod.Fleet(world.cell.worker_by_key.values())
    (placement,) = choosing.choose(step, fleet, world.clock.now())
    context.chosen_worker_id = placement.worker.worker_id


@when('an urgent step that is not for exploring looks for a worker')
def urgent_looks(context):
    choose_worker(context, 0)


@when('a non-urgent step looks for a worker')
def non_urgent_looks(context):
    choose_worker(context, 2)


@then('it is not given "{name}"')
def not_given(context, name):
    assert context.chosen_worker_id != name


@then('it is given "{name}"')
def is_given(context, name):
    assert context.chosen_worker_id == name, context.chosen_worker_id


@when('the speeds in the store are replaced by unreadable bytes')
def garble_speeds(context):
    context.world.put_state(records.SPEEDS_KEY, b'\x91garbage')


@then('it leads, and all speeds are unknown')
def speeds_unknown(context):
    tiers = {w.tier for w in context.world.cell.worker_by_key.values()}
    assert tiers == {worker_speed.Tier.UNKNOWN}, tiers

"""Steps on starts with tickets of incarnations that no leader knows yet."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import answers
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import placing
from carawaymast_core.cell import worker_lifecycle
from features import cell_world
from features.steps import lost_with_leader_steps
from standins import runner as runner_mod

CYCLE_MS = lost_with_leader_steps.CYCLE_MS
# The longest lease, the latest call and the terms of former leaders, and some
# seconds more.
MAX_WAIT_MS = 40_000
NAME = 'w0'
VALID_MS = lost_with_leader_steps.ADVICE.valid_ms


@given("a {kind} task {tickets} a ticket of a worker's next incarnation")
def make_case(context, kind, tickets):
    context.case = lost_with_leader_steps.Case(
        context, kind, tickets == 'with'
    )
    context.late_starts = []
    # Whether leaders read of the restart.
    context.is_read = False


def _place(context, leader):
    """Place the task at a worker that has restarted before it was advised."""
    case = context.case
    if leader == 'another leader':
        case.take_over()
        case.cycle(14_000)
    world = case.world
    case.submit()
    case.lost = world.add_runner(NAME, 2)
    now_ms = world.clock.now()
    for step, _ in placing.steps_needing_advice(world.cell, now_ms, now_ms):
        tickets = {NAME: case.lost.ticket()}
        step.advice.apply_answer([NAME], tickets, now_ms, VALID_MS)
    for worker in world.cell.worker_by_key.values():
        worker.suspect_until_ms = now_ms + (worker.worker_id != NAME)
    world.plan(is_sent=False)
    assert [run.worker.key for run, *_ in world.pending_starts] == [(NAME, 1)]


@given('{leader} sends its start there, which is {answer}')
def send_start(context, leader, answer):
    _place(context, leader)
    context.case.world.send_starts(is_answered=answer == 'answered')
    assert context.case.runner() is context.case.lost


@given('{leader} sends its start, which arrives {seconds:d} s late')
def send_late_start(context, leader, seconds):
    _place(context, leader)
    world = context.case.world
    ((run, *call),) = world.pending_starts
    world.pending_starts = []
    arrives_at_ms = world.clock.now() + 1_000 * seconds
    context.late_starts = [(arrives_at_ms, run, call)]
    answers.apply_start_outcome(
        world.cell, run, cell_world.NO_ANSWER, world.clock.now()
    )


@when('the leader reads of the restart, and the worker is cut off')
def read_restart(context):
    case = context.case
    context.is_read = True
    case = context.case
    worker_lifecycle.apply_worker_entry(
        case.world.cell, case.world.entry(case.lost), case.world.clock.now()
    )
    cut_off(context)


@when('the worker is cut off')
def cut_off(context):
    case = context.case
    case.cut_off, case.is_alive = case.lost, True
    del case.world.runner_by_id[NAME]


@when('nothing else happens')
def nothing(context):
    """The leader leads on."""


@when('it restarts once more there')
def restart_again(context):
    case = context.case
    _pass(context, 500)
    former = case.cut_off
    case.cut_off = case.world.add_runner(former.runner_id, 3)
    del case.world.runner_by_id[former.runner_id]
    worker_lifecycle.apply_worker_entry(
        case.world.cell, case.world.entry(case.cut_off), case.world.clock.now()
    )


@when('the next leader takes over')
def take_over(context):
    _pass(context, 500)
    _follow(context, context.case.world.take_over)


@when('two leaders take over')
def take_over_twice(context):
    take_over(context)
    take_over(context)


@when('the leader hands over')
def hand_over(context):
    _pass(context, 500)
    _follow(context, context.case.world.hand_over)


@when('two leaders hand over')
def hand_over_twice(context):
    hand_over(context)
    hand_over(context)


def _follow(context, change):
    """Let another leader follow that lists the worker that is cut off."""
    listed = context.case.cut_off
    if not context.is_read:
        listed = runner_mod.RunnerStandin(listed.runner_id, 1)
    change(listed=[listed])


def _pass(context, ms):
    """Let time pass; deliver the late starts; check the task."""
    case = context.case
    for _ in range(ms // CYCLE_MS):
        now_ms = case.world.clock.now()
        due = [late for late in context.late_starts if late[0] <= now_ms]
        for late in due:
            context.late_starts.remove(late)
            _, run, call = late
            case.world.deliver_start(run, *call, runner=case.cut_off)
            # A leader that follows has not heard of it.
            assert case.cut_off.running, 'the start has begun no run'
        case.cycle(CYCLE_MS)


@then('the task ran nowhere else while that worker could run it')
def ran_once(context):
    """Each cycle checks it; the cut-off worker's lease lasts 10 s."""
    _pass(context, 24_000)
    assert not context.late_starts, context.late_starts


@then('the task starts elsewhere in the end')
def starts_in_the_end(context):
    case = context.case
    began_ms = case.world.clock.now()
    while case.runner() is None:
        waited_ms = case.world.clock.now() - began_ms
        assert waited_ms < MAX_WAIT_MS, waited_ms
        _pass(context, CYCLE_MS)


@when('its worker restarts, is listed and cut off, and {leader}')
def restart_listed(context, leader):
    case = context.case
    world = case.world
    former = case.runner()
    runner = world.add_runner(former.runner_id, 2)
    worker_lifecycle.apply_worker_entry(
        world.cell, world.entry(runner), world.clock.now()
    )
    del world.runner_by_id[former.runner_id]
    case.cut_off, case.is_alive = runner, True
    if leader == 'another leader follows':
        world.take_over(listed=[runner])


@given(
    'a {kind} task that is stored, at a worker that has to confirm its ticket'
)
def stored_only(context, kind):
    case = context.case = lost_with_leader_steps.Case(context, kind, True)
    world = case.world
    world.confirms_tickets = world.cell.confirms_tickets = True
    case.cycle(500)
    case.submit()
    case.advise()
    world.plan(is_sent=False)
    ((run, *_),) = world.pending_starts
    assert late_starts.needs_confirmation(run)
    case.lost = world.runner_by_id[run.worker.worker_id]


@when('that worker is lost for good, and {count:d} leaders hand over')
def lose_unconfirmed(context, count):
    """They lead for 2 s each; the task starts under one of them, or later."""
    case = context.case
    del case.world.runner_by_id[case.lost.runner_id]
    case.cut_off, case.is_alive = case.lost, False
    began_ms = case.world.clock.now()
    for _ in range(count):
        case.world.hand_over()
        case.unlist()
        case.cycle(2_000)
        if case.runner() is not None:
            break
    took_ms = case.world.clock.now() - began_ms
    assert took_ms <= 11_000, took_ms


@given('a {kind} task {tickets} tickets, just started and listed at once')
def listed_by_earlier_call(context, kind, tickets):
    """The call that lists the run was sent before its start."""
    case = context.case = lost_with_leader_steps.Case(
        context, kind, tickets == 'with'
    )
    world = case.world
    case.cycle(500)
    case.submit()
    case.advise()
    sent_at_ms = world.clock.now()
    world.clock.advance(5)
    world.plan()
    runner = case.runner()
    worker = world.worker(runner.runner_id)
    world.clock.advance(200)
    runner.advance(205)
    answer = runner.renew_lease(
        worker.fencing_token,
        worker.ack_number,
        worker.lease.next_deadline(sent_at_ms, cell_world.LEASE_MS),
    )
    answers.apply_lease_renewal(
        world.cell, worker, answer, sent_at_ms, world.clock.now()
    )


@when('its worker is lost for good')
def lose_listed(context):
    context.case.lose(is_alive=False)


@given('a job of which the only start got no answer')
def unanswered(context):
    case = context.case = lost_with_leader_steps.Case(context, 'batch', True)
    world = case.world
    case.cycle(500)
    case.submit()
    case.advise()
    world.clock.advance(5)
    world.renew_leases()
    world.plan(is_sent=False)
    ((run, *_),), world.pending_starts = world.pending_starts, []
    case.lost = world.runner_by_id[run.worker.worker_id]
    case.lost.is_up = False
    answers.apply_start_outcome(
        world.cell, run, cell_world.NO_ANSWER, world.clock.now()
    )
    world.plan()
    assert not world.view.record_by_id['j1'].has_started


@when('the worker of that start restarts, and {leader}')
def restart_unanswered(context, leader):
    world = context.case.world
    runner = world.add_runner(context.case.lost.runner_id, 2)
    if leader == 'another leader follows':
        world.take_over()
    else:
        worker_lifecycle.apply_worker_entry(
            world.cell, world.entry(runner), world.clock.now()
        )
    # Without a ticket the task waits.
    for job in world.cell.job_by_id.values():
        for step in job.steps():
            step.advice.drop(set(world.runner_by_id))
    for _ in range(5):
        world.run_cycle(CYCLE_MS)


@then('the job counts as waiting')
def counts_as_waiting(context):
    world = context.case.world
    assert not any(r.started for r in world.runner_by_id.values())
    assert not world.view.record_by_id['j1'].has_started

"""Steps on starts without an answer, which a worker may carry out late."""

import re
import typing

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import answers
from carawaymast_core.cell import reports
from carawaymast_core.cell import run_ends
from carawaymast_core.cell import worker_lifecycle
from features import cell_world

STEP_MS = 50
ARRIVAL_INTERVAL_MS = 450
ANSWER_TIMEOUT_MS = 100
LATE_CALL_MS = 12_000
CUT_FOR_MS = 30_000
PLAY_MS = 40_000
TASK = 'j1.0.0.0'
WORK_MS = 120_000
# The first incarnation's clock, so that the next takes deadlines on it.
FIRST_CLOCK_MS = 1_000_000


class Play(typing.NamedTuple):
    """What happens to the worker and the leader, in ms after the start.

    ``listed_ms`` is None if the leader is not told of the restart. Other
    leaders follow at ``leads_ms``. The late start arrives at ``arrive_ms``.
    With ``is_begun``, a repeated start begins the run before the restart.
    """

    restart_ms: int
    listed_ms: int | None
    is_cut: bool
    is_twice: bool
    is_begun: bool
    leads_ms: tuple[int, ...]
    arrive_ms: int


class LateStart:
    """A cell of two workers with one task, whose start gets no answer."""

    def __init__(self):
        world = cell_world.CellWorld(2)
        self.world = world
        world.work_ms = WORK_MS
        for runner in world.runner_by_id.values():
            runner.clock_ms = FIRST_CLOCK_MS
        world.renew_leases()
        world.submit(cell_world.job('j1', cell_world.step(1)))
        world.plan(is_sent=False)
        ((self.run, *self.call),) = world.pending_starts
        world.pending_starts = []
        self.worker_id = self.run.worker.worker_id
        self.began_ms = world.clock.now()
        self.born_ms = 1
        self.cut_runner = None
        self.overlaps_ms = []

    def elapsed_ms(self):
        return self.world.clock.now() - self.began_ms

    def fail_first(self):
        """Let the first start get no answer."""
        answers.apply_start_outcome(
            self.world.cell,
            self.run,
            cell_world.NO_ANSWER,
            self.world.clock.now(),
        )

    def fail_starts(self):
        """Let all starts that are under way get no answer."""
        world = self.world
        starts, world.pending_starts = world.pending_starts, []
        for run, *_ in starts:
            answers.apply_start_outcome(
                world.cell, run, cell_world.NO_ANSWER, world.clock.now()
            )

    def present(self):
        """Return the worker's present incarnation."""
        return self.cut_runner or self.world.runner_by_id[self.worker_id]

    def arrive(self):
        """Deliver the first start to the worker's present incarnation."""
        fencing_token, deadline_ms = self.call
        self.world._size_by_task[TASK] = self.run.task.step.spec.size
        return self.present().start(
            fencing_token, TASK, self.run.run_id, deadline_ms, WORK_MS
        )

    def restart(self, is_cut):
        self.born_ms += 1
        runner = self.world.add_runner(self.worker_id, self.born_ms)
        if is_cut:
            self.cut_runner = self.world.runner_by_id.pop(self.worker_id)
        return runner

    def list_worker(self):
        worker_lifecycle.apply_worker_entry(
            self.world.cell,
            self.world.entry(self.present()),
            self.world.clock.now(),
        )

    def take_over(self, listed_born_ms):
        world = self.world
        listed = []
        if self.cut_runner is not None:
            former = world.add_runner(self.worker_id, listed_born_ms)
            listed = [world.runner_by_id.pop(former.runner_id)]
        world.take_over(listed=listed)

    def pass_step(self, are_starts_lost=False):
        world = self.world
        if self.cut_runner is not None:
            self.cut_runner.advance(STEP_MS)
        world.advance(STEP_MS)
        world.renew_leases()
        world.plan(is_sent=False)
        if are_starts_lost:
            self.fail_starts()
        else:
            world.send_starts()
        if len(self.places()) > 1:
            self.overlaps_ms.append(self.elapsed_ms())

    def places(self):
        runners = list(self.world.runner_by_id.values())
        if self.cut_runner is not None:
            runners.append(self.cut_runner)
        return [r.runner_id for r in runners if TASK in r.running]

    def reconnect(self):
        if self.cut_runner is not None:
            self.world.runner_by_id[self.worker_id] = self.cut_runner
            self.cut_runner = None
            self.list_worker()


def play(plan: Play) -> LateStart:
    """Play one case; see ``Play``."""
    late = LateStart()
    times = [
        (ANSWER_TIMEOUT_MS, late.fail_first),
        (plan.restart_ms, lambda: late.restart(plan.is_cut)),
        (plan.arrive_ms, late.arrive),
        (CUT_FOR_MS, late.reconnect),
    ]
    if plan.is_twice:
        second_ms = plan.restart_ms + 1_000
        times += [
            (second_ms, lambda: late.restart(plan.is_cut)),
            (second_ms + STEP_MS, late.list_worker),
        ]
    if plan.listed_ms is not None:
        times.append((plan.listed_ms, late.list_worker))
    listed_born_ms = 1 if plan.listed_ms is None else 2
    times += [
        (lead_ms, lambda: late.take_over(listed_born_ms))
        for lead_ms in plan.leads_ms
    ]
    times.sort(key=lambda row: row[0])
    while late.elapsed_ms() < PLAY_MS:
        while times and times[0][0] <= late.elapsed_ms():
            times.pop(0)[1]()
        is_up = late.elapsed_ms() >= plan.restart_ms
        late.pass_step(are_starts_lost=not (is_up or plan.is_begun))
    return late


@given('a start that gets no answer and may arrive for 12 s')
def unanswered_start(context):
    context.play = Play(0, None, False, False, False, (), 0)


@when('its worker restarts after {seconds:d} s, {seen}')
def restart(context, seconds, seen):
    restart_ms = seconds * 1_000
    listed = re.search(r'listed (at once|after (\d+) s)', seen)
    listed_ms = None
    if listed:
        listed_ms = restart_ms + 1_000 * int(listed[2] or 0)
    context.play = context.play._replace(
        restart_ms=restart_ms,
        listed_ms=listed_ms,
        is_cut='cut off' in seen,
        is_twice='twice' in seen,
        is_begun='begun' in seen,
    )


@when('the leader leads on')
def lead_on(context):
    context.play = context.play._replace(leads_ms=())


@when('another leads after {seconds:g} s')
def other_leads(context, seconds):
    context.play = context.play._replace(leads_ms=(int(seconds * 1_000),))


@when('others lead after {first:g} and {second:g} s')
def others_lead(context, first, second):
    leads_ms = int(first * 1_000), int(second * 1_000)
    context.play = context.play._replace(leads_ms=leads_ms)


@when('the start arrives at any moment after that')
def arrive_any_time(context):
    first_ms = context.play.restart_ms + STEP_MS
    context.lates = [
        play(context.play._replace(arrive_ms=arrive_ms))
        for arrive_ms in range(first_ms, LATE_CALL_MS, ARRIVAL_INTERVAL_MS)
    ]


@when('the call was lost')
def lose_call(context):
    wait_for_run(context, 0, False, False)


@when('the call was lost, and its repetition')
def lose_repetition(context):
    wait_for_run(context, 1, False, False)


@when('only the answer was lost')
def lose_answer(context):
    wait_for_run(context, 0, True, False)


@when('the call was lost, and a leader follows')
def lose_and_follow(context):
    wait_for_run(context, 0, False, True)


def wait_for_run(context, lost_repetitions, has_arrived, follows):
    late = LateStart()
    context.lates = [late]
    if has_arrived:
        late.arrive()
    if follows:
        late.take_over(1)
    late.fail_first()
    while not late.places() and late.elapsed_ms() < LATE_CALL_MS:
        are_lost = bool(late.world.pending_starts) and lost_repetitions > 0
        lost_repetitions -= are_lost
        late.pass_step(lost_repetitions > 0)
        lost_repetitions -= 1
    context.took_ms = late.elapsed_ms()


@then('no two runs of the task were ever there at once')
def no_overlap(context):
    assert context.lates
    overlaps = [
        late.overlaps_ms[0] for late in context.lates if late.overlaps_ms
    ]
    assert not overlaps, f'{len(overlaps)} of {len(context.lates)}: {overlaps}'


@then('the task runs in the end')
def runs_in_the_end(context):
    for late in context.lates:
        assert late.places(), late.elapsed_ms()


@then('the task runs at that worker within {seconds:d} s')
def runs_there_soon(context, seconds):
    (late,) = context.lates
    assert late.places() == [late.worker_id], late.places()
    assert context.took_ms <= seconds * 1_000, context.took_ms


@when('its worker shrinks below the size of the task')
def shrink(context):
    late = LateStart()
    late.fail_first()
    late.world.set_capacity(late.worker_id, 500)
    late.world.plan()
    context.lates = [late]


@when('it is to be repeated, its worker is cut off and its job cancelled')
def cancel_behind_cut(context):
    late = LateStart()
    context.lates = [late]
    late.fail_first()
    world = late.world
    world.advance(STEP_MS)
    world.renew_leases()
    assert world.cell.starts == [late.run]
    late.cut_runner = world.runner_by_id.pop(late.worker_id)
    world.cancel('j1')
    world.plan()


@then('the run keeps its capacity')
def keeps_capacity(context):
    (late,) = context.lates
    assert late.run.worker.run_by_task == {TASK: late.run}


@when('the worker is reached, and stops the run')
def reach_and_stop(context):
    (late,) = context.lates
    late.reconnect()
    for _ in range(5):
        late.pass_step()
    assert not late.run.worker.run_by_task


@then('the worker refuses the start')
def refused(context):
    (late,) = context.lates
    outcome = late.arrive()
    assert outcome.refusal is reports.StartRefusal.STALE_RUN, outcome


@given('a gang of 2 tasks, of which one start gets no answer')
def gang_with_lost_start(context):
    world = context.world = cell_world.CellWorld(2)
    then = cell_world.step(after=(0,))
    world.submit(cell_world.job('j1', cell_world.gang(2), then))
    world.plan(is_sent=False)
    (first, *call), (second, *_) = world.pending_starts
    world.pending_starts = []
    outcome = world.deliver_start(first, *call)
    now_ms = world.clock.now()
    answers.apply_start_outcome(world.cell, first, outcome, now_ms)
    answers.apply_start_outcome(
        world.cell, second, cell_world.NO_ANSWER, now_ms
    )
    context.runs = first, second


@when('the start is to be repeated, and the other member ends as done')
def end_gang(context):
    world = context.world
    first, second = context.runs
    world.advance(100)
    world.renew_leases()
    assert world.cell.starts == [second]
    done = reports.EndKind.DONE
    run_ends.apply(world.cell, first, done, '', world.clock.now())


@then('only the next step starts')
def next_step_starts(context):
    world = context.world
    world.plan(is_sent=False)
    names = [run.task.name for run, *_ in world.pending_starts]
    assert names == ['j1.0.1.0'], names

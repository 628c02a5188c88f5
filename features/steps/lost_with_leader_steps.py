"""Steps on workers that are lost together with the leader."""

from behave import given
from behave import then
from behave import when

from carawaymast_core.cell import answers
from carawaymast_core.cell import late_starts
from carawaymast_core.cell import placing
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker_lifecycle
from features import cell_world

WORKERS = 4
LONG_MS = 3_600_000
ADVICE = spec_mod.AdvicePolicy(1.0, 0.0, 2_500)
CYCLE_MS = 100
FAR_CLOCK_MS = 500_000


class Case:
    """A world, the runner that is lost, and where the task has run."""

    def __init__(self, context, kind, is_ticketed):
        self.world = world = cell_world.CellWorld(WORKERS)
        world.work_ms = LONG_MS
        # Deadlines on the clock of a former incarnation are far ahead.
        world.first_clock_ms = lambda born_ms: (
            FAR_CLOCK_MS if born_ms == 1 else 0.0
        )
        for runner in world.runner_by_id.values():
            runner.clock_ms = FAR_CLOCK_MS
        world.run_cycle(CYCLE_MS)
        self.cut_off = None
        self.is_alive = False
        self.late_starts = []
        self.advice = ADVICE if is_ticketed else None
        self.step = cell_world.step(
            estimate_ms=LONG_MS, is_service=kind == 'service'
        )

    def submit(self):
        policy = cell_world.queue(advice=self.advice)
        self.world.submit(cell_world.job('j1', self.step, policy=policy))

    def advise(self):
        world = self.world
        now_ms = world.clock.now()
        for step, ids in placing.steps_needing_advice(
            world.cell, now_ms, now_ms
        ):
            tickets = {i: world.runner_by_id[i].ticket() for i in ids}
            step.advice.apply_answer(ids, tickets, now_ms, ADVICE.valid_ms)

    def cycle(self, ms):
        """Let time pass for all, also behind the cut; check the task."""
        for _ in range(int(ms) // CYCLE_MS):
            self.advise()
            self.world.run_cycle(CYCLE_MS)
            if self.cut_off is not None and self.is_alive:
                self.cut_off.advance(CYCLE_MS)
            places = [
                runner_id
                for ids in self.world.running().values()
                for runner_id in ids
            ]
            if self.is_alive and self.cut_off.running:
                places.append(self.cut_off.runner_id)
            assert len(places) <= 1, places

    def runner(self):
        """Return the runner of the task, None if it runs nowhere."""
        for runner in self.world.runner_by_id.values():
            if runner.running:
                return runner
        return None

    def lose(self, is_alive):
        """Lose the runner of the task, or only the ways to it."""
        runner = self.runner()
        del self.world.runner_by_id[runner.runner_id]
        self.cut_off = runner
        self.is_alive = is_alive
        self.unlist()

    def unlist(self):
        worker_lifecycle.unlist_worker(self.world.cell, self.cut_off.runner_id)

    def take_over(self, formers_ms=0):
        self.world.formers_ms = formers_ms
        self.world.take_over()
        if self.cut_off is not None:
            self.unlist()


@given(
    'a {kind} task {tickets} tickets, listed for {seconds:d} s by its worker'
)
def listed_task(context, kind, tickets, seconds):
    case = context.case = Case(context, kind, tickets == 'with')
    case.submit()
    case.cycle(CYCLE_MS * 2)
    assert case.runner() is not None
    case.cycle(1_000 * seconds)


@given(
    'a service task without tickets, listed for {seconds:d} s by a worker '
    'that restarted'
)
def listed_after_restart(context, seconds):
    """A call for the former incarnation leaves the longest lease."""
    case = context.case = Case(context, 'service', False)
    world = case.world
    case.cycle(2_000)
    for runner_id in list(world.runner_by_id):
        worker = world.worker(runner_id)
        deadline_ms = worker.lease.next_deadline(
            world.clock.now(), cell_world.LEASE_MS
        )
        runner = world.add_runner(runner_id, 2)
        runner.renew_lease(worker.fencing_token, 0, deadline_ms)
        worker_lifecycle.apply_worker_entry(
            world.cell, world.entry(runner), world.clock.now()
        )
    case.submit()
    case.cycle(CYCLE_MS * 2)
    assert case.runner() is not None
    case.cycle(1_000 * seconds)


@given(
    'a service task without tickets, that was started twice before it is '
    'listed'
)
def started_twice(context):
    """The first start may still be carried out late."""
    case = context.case = Case(context, 'service', False)
    world = case.world
    case.submit()
    world.plan(is_sent=False)
    case.late_starts, world.pending_starts = world.pending_starts, []
    for run, *_ in case.late_starts:
        answers.apply_start_outcome(
            world.cell, run, cell_world.NO_ANSWER, world.clock.now()
        )
    case.cycle(3_000)
    assert case.runner() is not None


@when('its worker is lost for good, and then another leads')
def lose_both(context):
    context.case.lose(is_alive=False)
    context.case.cycle(200)
    context.case.take_over()


@when('its worker is lost for good, and then another leads, unsure')
def lose_both_unsure(context):
    context.case.lose(is_alive=False)
    context.case.cycle(200)
    context.case.take_over(late_starts.MAX_UNCONFIRMED_RENEWAL_MS)


@when('its worker is lost for good, and then others lead 3 s apart')
def lose_two_leaders(context):
    case = context.case
    case.take_over()
    case.cycle(3_000)
    lose_both(context)


@when('its worker is lost for good, and then {count:d} leaders hand over')
def lose_while_handing_over(context, count):
    """Each one leads for a second; the task starts under one of them."""
    case = context.case
    case.lose(is_alive=False)
    began_ms = case.world.clock.now()
    for _ in range(count):
        case.world.hand_over()
        case.unlist()
        case.cycle(1_000)
        if case.runner() is not None:
            break
    took_ms = case.world.clock.now() - began_ms
    assert took_ms <= 8_000, took_ms


@when('its worker is cut off as a leader hands over, and back for the next')
def cut_off_between(context):
    case = context.case
    case.lose(is_alive=True)
    case.world.hand_over()
    case.cycle(1_000)
    case.world.hand_over()
    case.cycle(1_000)
    case.world.runner_by_id[case.cut_off.runner_id] = case.cut_off
    case.cut_off, case.is_alive = None, False
    case.world.take_over()
    case.cycle(3_000)


@when('it is cut off again, and then another leads')
def cut_off_again(context):
    context.case.lose(is_alive=True)
    context.case.take_over()


@when('another leads for 1 s, and then its worker is lost for good')
def lose_after(context):
    case = context.case
    case.take_over()
    case.cycle(1_000)
    case.lose(is_alive=False)


@when('its worker is cut off, and then another leads')
def cut_off(context):
    case = context.case
    case.lose(is_alive=True)
    case.cycle(200)
    case.take_over()
    for run, *call in case.late_starts:
        # The next incarnation begins the run by the late start.
        former = case.cut_off
        case.cut_off = case.world.add_runner(
            former.runner_id, former.born_ms + 1
        )
        del case.world.runner_by_id[former.runner_id]
        case.world.deliver_start(run, *call, runner=case.cut_off)
        assert case.cut_off.running, 'the late start has begun no run'


@then('it starts elsewhere within {seconds:d} s')
def starts_elsewhere(context, seconds):
    case = context.case
    case.began_ms = case.world.clock.now()
    until_ms = case.began_ms + 1_000 * seconds
    while case.runner() is None:
        assert case.world.clock.now() < until_ms, [
            e for e in case.world.events if e[0] == 'lease_lapsed'
        ]
        case.cycle(CYCLE_MS)
    phase = case.world.view.phase('j1')
    assert phase is records.JobPhase.RUNNING, phase


@then('it did not run in two places at once')
def ran_once(context):
    """Each cycle has checked it; let the cut-off runner's lease end."""
    context.case.cycle(15_000)

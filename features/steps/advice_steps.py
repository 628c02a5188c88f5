"""Steps on calls for advice through few or many nodes, in virtual time."""

import asyncio
import types

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import advice as advice_mod
from carawaymast_core.cell import records
from carawaymast_core.cell import spec as spec_mod
from carawaymast_node import fabric_pb2
from carawaymast_node.cells import advice_dispatcher
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from features import cell_world
from standins import virtual

MS_PER_S = 1_000
VALID_MS = 2_500
WORKERS = ['w0', 'w1']
# How often a leader plans if nothing wakes it.
PLAN_INTERVAL_MS = 100
SHORT_WAITING = 40


class Step:
    """What a dispatcher uses of a step."""

    def __init__(self, name, decide_ms):
        self.name = name
        self.advice = advice_mod.StepAdvice()
        policy = spec_mod.AdvicePolicy(decide_ms, 0.0, VALID_MS)
        queue = cell_world.queue(advice=policy)
        self.job = types.SimpleNamespace(
            submission=types.SimpleNamespace(queue=queue)
        )
        # When calls for it began.
        self.called_at_ms = []

    @property
    def decide_ms(self):
        return self.job.submission.queue.advice.decide_ms


class Calls:
    """The other nodes and the service, which answers in its own time."""

    def __init__(self, context, nodes):
        self.unreachable_ids = set()
        self._context = context
        self._members = [
            records.MemberRecord(f'n{number}', 'host', 1, 'd', 'boot', 1.0)
            for number in range(nodes - 1)
        ]

    def candidates(self):
        return list(self._members)

    async def advise(self, step_name, worker_ids):
        step = self._context.step_by_name[step_name]
        step.called_at_ms.append(self._context.clock.now())
        await asyncio.sleep(step.decide_ms / MS_PER_S)
        return ports.Advice({worker: 't' for worker in worker_ids}, VALID_MS)

    async def call(self, member, method, message, timeout_ms):
        answer = await self.advise(message.step, message.worker_ids)
        return fabric_pb2.AdviceAnswer(
            answered=True,
            ticket_by_worker=answer.ticket_by_worker,
            valid_ms=answer.valid_ms,
        )


@given('{nodes:d} nodes that make one call for advice at a time')
def make_nodes(context, nodes):
    context.loop = loop = virtual.VirtualLoop()
    asyncio.set_event_loop(loop)
    context.stack.callback(loop.close)
    context.clock = clock_mod.Clock(lambda: int(loop.time() * MS_PER_S))
    context.step_by_name = {}
    context.short_ms = 0
    calls = Calls(context, nodes)
    metrics = telemetry.Metrics()
    context.wake = asyncio.Event()
    context.dispatcher = advice_dispatcher.AdviceDispatcher(
        context.clock,
        calls.advise,
        len(WORKERS),
        calls,
        telemetry.Telemetry(context.clock, metrics),
        metrics,
        context.wake.set,
    )
    context.began_ms = context.clock.now()


@when('{count:d} steps with calls of {ms:d} ms wait')
def add_long(context, count, ms):
    for number in range(count):
        step = Step(f'long{number}', ms)
        context.step_by_name[step.name] = step


@when('more steps with calls of {ms:d} ms wait than the nodes can call for')
def add_short(context, ms):
    context.short_ms = ms


def requests(context):
    """Yield the steps without a decision, urgent ones first."""
    waiting = [
        step
        for step in context.step_by_name.values()
        if not step.advice.is_known and not step.advice.is_call_pending
    ]
    if context.short_ms:
        for _ in range(SHORT_WAITING - len(waiting)):
            number = len(context.step_by_name)
            step = Step(f'short{number}', context.short_ms)
            context.step_by_name[step.name] = step
            waiting.append(step)
    waiting.sort(key=lambda step: step.decide_ms)
    for step in waiting:
        yield step, WORKERS


def play(context, seconds):
    async def dispatch():
        until_ms = context.clock.now() + seconds * MS_PER_S
        while context.clock.now() < until_ms:
            context.dispatcher.dispatch(requests(context))
            context.wake.clear()
            try:
                async with asyncio.timeout(PLAN_INTERVAL_MS / MS_PER_S):
                    await context.wake.wait()
            except TimeoutError:
                continue
        context.dispatcher.close()

    context.loop.run_until_complete(dispatch())


def long_steps(context):
    return [
        step
        for name, step in context.step_by_name.items()
        if name.startswith('long')
    ]


@then('each of them has had a call within {seconds:d} s')
def all_called(context, seconds):
    play(context, seconds)
    uncalled = [s.name for s in long_steps(context) if not s.called_at_ms]
    assert not uncalled, uncalled


@then('a short call begins at least each {ms:d} ms')
def short_go_on(context, ms):
    times_ms = [context.began_ms, context.clock.now()]
    for name, step in context.step_by_name.items():
        if name.startswith('short'):
            times_ms += step.called_at_ms
    times_ms.sort()
    gaps = [b - a for a, b in zip(times_ms, times_ms[1:], strict=False)]
    assert max(gaps) <= ms, max(gaps)

"""Steps on messages that cannot be read, from store, workers and callers."""

import asyncio
import struct
import types

from behave import given
from behave import then
from behave import when

from carawaymast_core import clock as clock_mod
from carawaymast_core.cell import answers
from carawaymast_core.cell import reports
from carawaymast_core.cell import spec as spec_mod
from carawaymast_core.cell import worker as worker_mod
from carawaymast_node.cells import frontend as frontend_mod
from carawaymast_node.cells import ports
from carawaymast_node.cells import telemetry
from carawaymast_platform import client as client_mod
from carawaymast_platform import ingress
from carawaymast_platform import store as store_mod
from carawaymast_platform import workers as workers_mod
from features import cell_world


def call_store(context, call, raw):
    async def send(method, target, body, timeout_ms):
        return ports.StoreReply(200, raw)

    store = store_mod.Store(send)
    item = ports.KeyValue('k', b'v')
    calls = {
        'append': lambda: store.append('t', 0, [item]),
        'newest': lambda: store.newest('t', 0),
        'read': lambda: store.read('t', 0, 0, 0),
    }
    context.error = None
    try:
        asyncio.run(calls[call]())
    except ports.StoreError as error:
        context.error = error


@when('the store answers a {call} with "{text}"')
def store_answers(context, call, text):
    call_store(context, call, text.encode())


@when(
    'the store answers a read with a record of {size:d} bytes that has {few}'
)
def store_cuts(context, size, few):
    ends = struct.pack('>QQ', 1, 0)
    call_store(context, 'read', ends + struct.pack('>I', size) + b'x' * 4)


@then('the call fails with a store error')
def store_failed(context):
    assert context.error is not None


@when('a worker answers a lease renewal with {lists}')
def worker_answers(context, lists):
    body = '{"clock_ms":1,"born":1,' + lists + '}'

    class Client:
        async def call(self, *arguments):
            return client_mod.Reply(200, body.encode(), {})

    entry = reports.WorkerEntry(
        'w0', 'a:1', 1, 's', 'd', False, cell_world.CAPACITY, (), 0, None
    )
    port = workers_mod.Workers(Client())
    context.error = context.answer = None
    try:
        context.answer = asyncio.run(
            port.renew_lease(worker_mod.Worker(entry), 1, None, 0, 400)
        )
    except ports.WorkerError as error:
        context.error = error


@then('the call fails with a worker error')
def worker_failed(context):
    assert context.error is not None, context.answer


@then('the run is listed with a usage of 0')
def use_is_zero(context):
    (row,) = context.answer.running
    assert (row.task, row.run_id, row.use) == ('j1.0.0.0', 1, 0), row


@when('worker "{worker_id}" lists "{name}" as running and as ended')
def worker_lists(context, worker_id, name):
    world = context.world
    worker = world.worker(worker_id)
    now_ms = world.clock.now()
    context.listed = name
    answer = reports.LeaseRenewal(
        1,
        worker.born_ms,
        (reports.ListedRun(name, 1, '', 100),),
        (reports.EndedRun(1, name, 1, reports.EndKind.DONE, ''),),
    )
    answers.apply_lease_renewal(world.cell, worker, answer, now_ms, now_ms)


@then('the leader stops it there and goes on')
def stopped_there(context):
    names = [order.task_name for order in context.world.cell.stops]
    assert names == [context.listed], names
    context.world.run_cycle()


@when('a caller gives a deadline of "{text}" ms')
def caller_gives_deadline(context, text):
    headers = {ingress.INGRESS.deadline_header: text}
    request = types.SimpleNamespace(headers=headers)
    context.deadline_ms = frontend_mod._deadline_ms(request, ingress.INGRESS)


@when('a caller gives a deadline of {count:d} digits')
def caller_gives_digits(context, count):
    caller_gives_deadline(context, '1' * count)


@then('its deadline is {ms:d} ms')
def deadline_is(context, ms):
    assert context.deadline_ms == ms, context.deadline_ms


class BrokenConfiguration:
    """A configuration whose lookup raises an unexpected error."""

    def age_ms(self):
        return 0

    async def find(self, host, path):
        raise RuntimeError('unexpected')


@given('a frontend whose queues raise an error')
def broken_frontend(context):
    clock = clock_mod.ManualClock(1_000)
    context.metrics = telemetry.Metrics()
    parts = frontend_mod.FrontendParts(
        clock,
        telemetry.Telemetry(clock, context.metrics),
        context.metrics,
        ingress.INGRESS,
        None,
        BrokenConfiguration(),
        None,
        None,
        None,
        None,
    )
    closed = types.SimpleNamespace(is_open=lambda sock: False)
    context.frontend = frontend_mod.Frontend(closed, parts)


@when('a caller asks for a job')
def ask_frontend(context):
    request = types.SimpleNamespace(
        method='GET', path='/jobs/j1', headers={}, sock=None
    )
    response = types.SimpleNamespace(request=request, headers={})
    context.frontend.in_flight = 1
    asyncio.run(context.frontend._answer(request, response))


@then('the frontend has logged the request and goes on serving')
def frontend_serves(context):
    assert context.frontend.in_flight == 0
    text = context.metrics.text()
    assert 'requests_broken_total 1' in text, text


@when('a job with a latency target of {ms:d} ms is checked')
def check_target(context, ms):
    step = spec_mod.Step(1, cell_world.CAPACITY, 1, latency_target_ms=ms)
    context.error = None
    try:
        spec_mod.check_spec(spec_mod.JobSpec('payload', (step,)))
    except spec_mod.InvalidSpecError as error:
        context.error = error


@then('it is refused for its "{field}"')
def refused_for(context, field):
    assert context.error is not None
    assert context.error.field == field, context.error

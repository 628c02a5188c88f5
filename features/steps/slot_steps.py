"""Steps on the owner's slot ledger, and the entry node's cache and queue."""

import asyncio

from behave import given
from behave import then
from behave import when

from carawaymast_core import account
from carawaymast_core import clock as clock_mod
from carawaymast_core import fairqueue
from carawaymast_core import slot_cache
from carawaymast_core import slot_ledger
from carawaymast_core import slots
from carawaymast_core import table as table_mod
from carawaymast_node import endpoint
from carawaymast_node import entry as entry_mod

SLOT = slots.SlotId('worker', 0)
LEASED_UNTIL_MS = 1_000
EXPIRED_AT_MS = 5_000
SAMPLE_COUNT = 100


def owner_with_free_slot():
    ledger = slot_ledger.SlotLedger()
    ledger.add_worker('worker', 1, 0)
    assert ledger.prove_idle('worker', [], 0) == 1
    return ledger


@given('an entry node that holds a slot')
def hold_slot(context):
    context.cache = slot_cache.SlotCache()
    context.cache.add(SLOT, 'owner', 1, 1, LEASED_UNTIL_MS, 0)
    assert context.cache.total == 1


@when('the slot is recalled and then renewed')
def recall_and_renew(context):
    assert context.cache.recall('owner', 1) == [slots.ReleasedSlot(SLOT, 1)]
    context.cache.renew(SLOT, 2 * LEASED_UNTIL_MS)


@then('the entry node holds nothing')
def holds_nothing(context):
    assert context.cache.total == 0
    assert not context.cache.has_idle(0)


@given('an owner that leased a slot and leased it again after its release')
def lease_twice(context):
    ledger = context.ledger = owner_with_free_slot()
    assert ledger.lease('node', 1, LEASED_UNTIL_MS) == [SLOT]
    context.serial = ledger.serial_of(SLOT)
    assert ledger.release('node', SLOT, context.serial)
    assert ledger.lease('node', 1, LEASED_UNTIL_MS) == [SLOT]


@when('the first release arrives once more')
def release_again(context):
    assert not context.ledger.release('node', SLOT, context.serial)


@then('the newer lease still stands')
def lease_stands(context):
    assert context.ledger.held_by('node') == [SLOT]
    assert context.ledger.free_total == 0
    context.ledger.check_invariants()


@given('an owner whose lease of a slot has expired')
def expire_leases(context):
    ledger = context.ledger = owner_with_free_slot()
    ledger.lease('node', 1, LEASED_UNTIL_MS)
    assert ledger.expire_leases(EXPIRED_AT_MS) == [SLOT]


@when('a report from {when} the expiry shows it {state}')
def report(context, when, state):
    taken_at_ms = EXPIRED_AT_MS + (1 if when == 'after' else -1)
    busy = [0] if state == 'busy' else []
    context.ledger.prove_idle('worker', busy, taken_at_ms)


@then('it is not free')
def not_free(context):
    assert context.ledger.free_total == 0


@then('it is free')
def is_free(context):
    assert context.ledger.free_total == 1


def urgent_rows(wait_ms):
    header = 'kind,team,rank,weight,limit,reserve,longest_wait_ms,'
    row = f'urgent,ficha,0,4,90%,15%,{wait_ms},4000,no'
    return table_mod.parse(f'{header}queue_bound,preemptible\n{row}\n')


class RecordingEndpoints:
    """Endpoints that record each dispatch and report that it did not run."""

    def __init__(self):
        self.dispatches = []

    async def run(self, at, use, dispatch):
        self.dispatches.append(dispatch)
        return endpoint.RunOutcome('no', False, None, 'recorded only')


@when('a request with {wait_ms:d} ms of longest wait is started')
def start_request(context, wait_ms):
    start_where_usual(context, wait_ms, 0)


@when(
    'a request with {wait_ms:d} ms of longest wait is started where '
    '{usual_ms:d} ms is usual'
)
def start_where_usual(context, wait_ms, usual_ms):
    endpoints = RecordingEndpoints()
    entry = entry_mod.EntryService(
        clock_mod.ManualClock(), endpoints, account.Account()
    )
    entry.apply_table(table_mod.Table(1, urgent_rows(wait_ms)))
    for _ in range(SAMPLE_COUNT if usual_ms else 0):
        entry.queue.push(fairqueue.Queued('earlier', 'urgent', 0, wait_ms))
        entry.queue.pop_next(1)
        entry.queue.finish('urgent', usual_ms)
    entry.endpoint_by_worker['worker'] = endpoint.Endpoint('worker', '', 0)
    entry.cache.add(SLOT, 'owner', 1, 1, LEASED_UNTIL_MS, 0)
    body = {
        'kind': 'urgent',
        'team': 'ficha',
        'deadline_ms': 8_000,
        'idempotent': False,
        'payload': {},
    }

    async def submit():
        entry.submit('one', body, lambda status, answer: None)
        await asyncio.sleep(0)

    asyncio.run(submit())
    context.overdue_ms = endpoints.dispatches[0].overdue_ms


@then('its answer is asked for after at most {limit_ms:d} ms')
def asked_by(context, limit_ms):
    assert 0 < context.overdue_ms <= limit_ms, context.overdue_ms


@then('its answer is asked for after at least {limit_ms:d} ms')
def asked_after(context, limit_ms):
    assert context.overdue_ms >= limit_ms, context.overdue_ms


@given('three requests of a kind that wait, the first of which is started')
def three_wait(context):
    context.queue = fairqueue.FairQueue()
    context.queue.configure(table_mod.Table(1, urgent_rows(1_500)))
    for name in ('first', 'second', 'third'):
        context.queue.push(fairqueue.Queued(name, 'urgent', 0, 1_500))
    context.first = context.queue.pop_next(8)
    assert context.first.request_id == 'first'


@when('it comes back, not run')
def comes_back(context):
    context.queue.finish('urgent', None)
    context.queue.push(context.first, is_first=True)


@then('it is the next to start')
def is_next(context):
    assert context.queue.pop_next(8).request_id == 'first'
    context.queue.check_invariants()

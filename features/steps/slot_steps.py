"""Steps on the owner's ledger and the entry node's cache alone."""

from behave import given
from behave import then
from behave import when

from carawaymast_core import slot_cache
from carawaymast_core import slot_ledger
from carawaymast_core import slots

SLOT = slots.SlotId('worker', 0)
LEASED_UNTIL_MS = 1_000
LAPSED_AT_MS = 5_000


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
    context.ledger.check_accounts()


@given('an owner whose lease of a slot has lapsed')
def lapse(context):
    ledger = context.ledger = owner_with_free_slot()
    ledger.lease('node', 1, LEASED_UNTIL_MS)
    assert ledger.lapse(LAPSED_AT_MS) == [SLOT]


@when('a report from {when} the lapse shows it {state}')
def report(context, when, state):
    taken_at_ms = LAPSED_AT_MS + (1 if when == 'after' else -1)
    busy = [0] if state == 'busy' else []
    context.ledger.prove_idle('worker', busy, taken_at_ms)


@then('it is not free')
def not_free(context):
    assert context.ledger.free_total == 0


@then('it is free')
def is_free(context):
    assert context.ledger.free_total == 1

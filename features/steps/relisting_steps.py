"""Steps on a worker's entry that is removed and back at once."""

from behave import then
from behave import when


@when('its entry is removed and is back in one read')
def return_at_once(context):
    context.parts.unlist_worker('w0')
    context.parts.list_worker('w0')
    context.parts.advance(1)


@then('the log says once that the entry is back')
def logged_back(context):
    found = [
        (event_type, fields['worker'])
        for event_type, fields in context.parts.events
        if event_type in ('worker_unlisted', 'worker_relisted')
    ]
    expected = [('worker_unlisted', 'w0'), ('worker_relisted', 'w0')]
    assert found == expected, found

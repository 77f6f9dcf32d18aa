"""Steps for what upstreams state in the headers of their answers."""

from __future__ import annotations

from behave import then
from behave import when
import helpers

from peridotmast.embedded import shape as shape_


def pick_engine(context):
    """Return the stand-in of one engine, the same each time."""
    context.stating = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
    return context.stating.upstream.app


@when('one engine states in its answers that it leaves, and not in the store')
def engine_states_leaving(context):
    pick_engine(context).states_leaving = True


@then(
    'that engine receives no request later than {ms:d} ms after its first'
    ' answer'
)
def check_no_late_request(context, ms):
    arrivals = [at for at, _ in context.stating.upstream.app.arrivals]
    assert arrivals, 'the engine received no request at all'
    late = [at - arrivals[0] for at in arrivals if at - arrivals[0] > ms]
    assert not late, late


@then('all requests are answered with 200')
def check_all_answered(context):
    failed = [a for a in context.answers if a.status != 200]
    assert not failed, failed[:3]

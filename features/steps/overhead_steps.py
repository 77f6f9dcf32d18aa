"""Steps that measure what a router adds."""

from __future__ import annotations

import re

from behave import given
from behave import then
from behave import when

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast.load import overhead
from peridotmast.standin import engine


def start(context):
    shape = shape_.FleetShape(
        routers=1,
        domains=2,
        services=0,
        engine_profile=engine.EngineProfile(step_ms=1),
        chat=False,
    )
    context.fleet = fleet_.Fleet(shape, 7)
    context.fleet.start()


@given('one router and engines that answer whole')
def whole(context):
    start(context)


@given('one router and engines that {fault} every answer')
def faulty(context, fault):
    start(context)
    for guest in context.fleet.running_upstreams(shape_.ENGINE_SERVICE):
        guest.upstream.app.faults[fault] = 1


@when('what the router adds is measured on {streams:d} streams')
def measure(context, streams, routed=True):
    context.figures = context.error = None
    try:
        context.figures = overhead.measure(context.fleet, streams, routed)
    except Exception as exc:
        context.error = exc


@when('the streams that the router is compared with are measured')
def measure_direct(context):
    measure(context, 4, routed=False)


@then('{count:d} first events are measured')
def measured(context, count):
    assert context.error is None, context.error
    assert context.figures.first_event_ms['count'] == count, context.figures


@then('it ends with an error that says "{told}" and how far the stream came')
def tells(context, told):
    text = str(context.error)
    assert told in text, (text, context.figures)
    assert re.search(r'overhead-\d+-\d+: .* after \d+ events, \d+ ms', text)


@then("the error has the router's decisions on that request")
def tells_decisions(context):
    text = str(context.error)
    assert 'attempt ' in text and 'upstream=engine-' in text, text

"""Steps for measurements of the overhead of a router."""

from __future__ import annotations

import re

from behave import given
from behave import then
from behave import when

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast.load import overhead
from peridotmast.standin import engine


def start_fleet(context):
    shape = shape_.FleetShape(
        routers=1,
        domains=2,
        services=0,
        engine_profile=engine.EngineProfile(step_ms=1),
        chat=False,
    )
    context.fleet = fleet_.Fleet(shape, 7)
    context.fleet.start()


@given('one router and engines without faults')
def start_without_faults(context):
    start_fleet(context)


@given('one router and engines that {fault} every answer')
def start_with_fault(context, fault):
    start_fleet(context)
    for guest in context.fleet.running_upstreams(shape_.ENGINE_SERVICE):
        guest.upstream.app.faults[fault] = 1


@when("the router's overhead is measured with {streams:d} streams")
def measure(context, streams, routed=True):
    context.figures = context.error = None
    try:
        context.figures = overhead.measure(context.fleet, streams, routed)
    except Exception as exc:
        context.error = exc


@when('4 streams directly to the engines are measured')
def measure_direct(context):
    measure(context, 4, routed=False)


@then('{count:d} first events are measured')
def check_first_events(context, count):
    assert context.error is None, context.error
    assert context.figures.first_event_ms['count'] == count, context.figures


@then('the measurement fails with "{error}" and the progress of the stream')
def check_error(context, error):
    text = str(context.error)
    assert error in text, (text, context.figures)
    assert re.search(r'overhead-\d+-\d+: .* after \d+ events, \d+ ms', text)


@then("the error contains the router's decisions on that request")
def check_decisions(context):
    text = str(context.error)
    assert 'attempt ' in text and 'upstream=engine-' in text, text

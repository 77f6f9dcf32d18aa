"""Steps of `scarcity.feature`."""

from __future__ import annotations


from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import prometheus_client

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import demand as demand_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving.scarcity import control
from peridotmast.serving.scarcity import order
from peridotmast.serving import upstreams as upstreams_

SERVICE = 'pool'
TICK_MS = 250


def set_state(context, number, state):
    upstream = pb.Upstream(
        name=f'e{number}', address='127.0.0.1:1', service=SERVICE, slots=48
    )
    context.revision += 1
    context.upstream_table.merge(
        pb.UpstreamRecord(
            upstream=upstream, state=state, revision=context.revision
        )
    )


@given(
    '{count:d} engines with {slots:d} slots and memory for {memory:d} tokens'
)
def engines_with_slots(context, count, slots, memory):
    context.clock = clock_.ManualClock()
    context.upstream_table = upstreams_.UpstreamTable(context.clock)
    context.revision, context.count = 0, count
    for number in range(count):
        set_state(context, number, pb.UPSTREAM_STATE_LIVE)
    context.registry = prometheus_client.CollectorRegistry()
    context.service = pb.Service(
        name=SERVICE, engine=True, slots=slots, memory_tokens=memory
    )
    context.control = control.ScarcityControl(
        context.clock,
        context.upstream_table,
        demand_.Demand(context.clock),
        metrics_.ServingMetrics(context.registry),
        'r0',
    )
    context.control.configure([context.service])
    context.control.apply_settings(pb.ScarcitySettings(order=order.PRIORITY))


@given('{count:d} routers of which {missing:d} are not heard')
def routers_not_heard(context, count, missing):
    context.control.count_missing = lambda: float(missing)


def spread(total, count):
    """Return `total` split evenly into `count` parts."""
    return [
        total // count + (number < total % count) for number in range(count)
    ]


def report(context, running, tokens):
    """Let another router report load, spread evenly over the engines."""
    parts = spread(running, context.count)
    context.upstream_table.set_peer_loads(
        'r1',
        [
            pb.UpstreamLoad(
                upstream=f'e{number}', running=part, memory=part * tokens
            )
            for number, part in enumerate(parts)
        ],
    )


def tick(context, duration_ms):
    for _ in range(duration_ms // TICK_MS):
        context.clock.advance(TICK_MS)
        context.control.tick()


@when(
    'all routers together run {running:d} requests of {tokens:d} tokens for'
    ' {ms:d} ms'
)
def routers_run(context, running, tokens, ms):
    report(context, running, tokens)
    tick(context, ms)


@when(
    'this router alone runs {running:d} requests of {tokens:d} tokens for'
    ' {ms:d} ms'
)
def this_router_runs(context, running, tokens, ms):
    views = context.upstream_table.live(SERVICE)
    for view, part in zip(views, spread(running, len(views)), strict=True):
        view.add_load(upstream_view_load(part, tokens, view))
    tick(context, ms)


def upstream_view_load(running, tokens, view):
    """Return the load that brings this router's own load to `running`."""
    load = type(view.local_load)(running, 0, running * tokens)
    load.add(view.local_load, -1)
    return load


@when(
    'the load alternates between {low:d} and {high:d} requests of {tokens:d}'
    ' tokens every {step:d} ms for {ms:d} ms'
)
def load_alternates(context, low, high, tokens, step, ms):
    context.was_short = set()
    for number in range(ms // step):
        report(context, high if number % 2 else low, tokens)
        tick(context, step)
        context.was_short.add(context.control.states()[SERVICE].is_short)


@then('capacity was short all the time')
def capacity_was_short(context):
    assert context.was_short == {True}, context.was_short


@when('{count:d} of the engines state that they are leaving')
def engines_leave(context, count):
    for number in range(count):
        set_state(context, number, pb.UPSTREAM_STATE_LEAVING)


@then('capacity is short')
def capacity_is_short(context):
    state = context.control.states()[SERVICE]
    assert state.is_short, (state.ratio, state.figures)


@then('capacity suffices')
def capacity_suffices(context):
    state = context.control.states()[SERVICE]
    assert not state.is_short, (state.ratio, state.figures)


def gauge(context):
    return context.registry.get_sample_value(
        'peridotmast_scarcity', {'service': SERVICE}
    )


@then('the gauge of scarcity is above {bound:g}')
def gauge_above(context, bound):
    assert gauge(context) > bound, gauge(context)


@when('the service is removed from the configuration')
def service_removed(context):
    context.control.configure([])


@when('the service is in the configuration again')
def service_added(context):
    context.control.configure([context.service])
    assert gauge(context) is not None


@given('the setting order is changed to {value}')
@when('the setting order is changed to {value}')
def order_changed(context, value):
    context.control.apply_settings(pb.ScarcitySettings(order=value))


@then('there is neither a state nor a gauge of scarcity')
def no_state(context):
    assert not context.control.states()
    assert gauge(context) is None


def exchange_of(priority, tokens, urgency, team='', arrived_at=0, **values):
    return exchange_.Exchange(
        id='',
        method='POST',
        target='/',
        headers=[],
        body=b'',
        route=pb.Route(target_ms=800),
        team=team,
        priority=priority,
        urgency=urgency,
        arrived_at=arrived_at,
        deadline=arrived_at + 8000,
        caller=None,
        prompt=exchange_.Prompt(tokens_in=tokens),
        **values,
    )


def urgency_of(context, priority, tokens):
    exchange = exchange_of(priority, tokens, 7)
    context.control.set_urgency(exchange, context.service)
    return exchange.urgency


@then(
    'a request of priority {priority:d} with {tokens:d} tokens keeps its'
    ' urgency'
)
def keeps_urgency(context, priority, tokens):
    assert urgency_of(context, priority, tokens) == 7


@then(
    'a request of priority {priority:d} with {tokens:d} tokens is ordered by'
    ' priority'
)
def ordered_by_priority(context, priority, tokens):
    found = urgency_of(context, priority, tokens)
    assert found // 2 == priority, found


@then('{count:d} requests were counted for each order')
def requests_counted(context, count):
    for name in order.ORDERS:
        found = context.registry.get_sample_value(
            'peridotmast_ordered_requests_total',
            {'service': SERVICE, 'order': name},
        )
        assert found == count, (name, found)


@then(
    'random pairs of requests are ordered by priority, and by prompt length'
    ' within it'
)
def pairs_ordered(context):
    requests = st.tuples(st.integers(0, 4), st.integers(0, 200_000))

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(requests, requests, st.sampled_from((None, 5.0, 90.0)))
    def check(first, second, rate):
        levels = [
            order.level_by_priority(priority, tokens, 800, rate)
            for priority, tokens in sorted((first, second))
        ]
        assert levels == sorted(levels)
        assert max(levels) <= 9
        if first[0] != second[0]:
            assert levels[0] < levels[1]

    check()

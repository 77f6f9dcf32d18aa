"""Steps of `scarcity.feature`."""

from __future__ import annotations


import collections
import random

from behave import given
from behave import then
from behave import when
import helpers
import hypothesis
from hypothesis import strategies as st
import prometheus_client
import scarcity_model

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import demand as demand_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import reply
from peridotmast.serving.scarcity import admission
from peridotmast.serving.scarcity import control
from peridotmast.serving.scarcity import measure
from peridotmast.serving.scarcity import order
from peridotmast.serving import upstreams as upstreams_
from peridotmast.wire import connection

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


def exchange_of(
    priority, tokens, urgency, team='', arrived_at=0, limit_ms=8000, **values
):
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
        deadline=arrived_at + limit_ms,
        caller=None,
        prompt=exchange_.Prompt(tokens_in=tokens),
        **values,
    )


def urgency_of(context, priority, tokens):
    exchange = exchange_of(priority, tokens, 7)
    context.control.admit(exchange, context.service)
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


@when('the model runs at {ratio:g} times the capacity')
def model_runs(context, ratio):
    context.runs = {
        mode: scarcity_model.Model(mode, ratio).run()
        for mode in scarcity_model.MODES
    }


@then(
    'with priority at least {share:g} of priority 0 are in time, and no fewer'
    ' than with slack'
)
def first_in_time(context, share):
    found = {
        m: run.shares(run.in_target)[0] for m, run in context.runs.items()
    }
    assert found['priority'] >= max(share, found['slack']), found
    assert found['refuse'] >= max(share, found['slack']), found


@then('with refusals no fewer requests are in time than with priority alone')
def no_fewer_in_time(context):
    found = {m: run.in_target.total() for m, run in context.runs.items()}
    assert found['refuse'] >= found['priority'], found


@then(
    'with refusals priority 1 has at most {margin:g} fewer in time, for the'
    ' share of priority 2'
)
def second_keeps_most(context, margin):
    before, after = (
        context.runs[mode].shares(context.runs[mode].in_target)[1]
        for mode in ('priority', 'refuse')
    )
    assert after >= before - margin, (before, after)


@then(
    'with refusals each kind is served at least a quarter as often as all'
    ' requests'
)
def each_kind_served(context):
    run = context.runs['refuse']
    overall = run.served.total() / run.offered.total()
    assert min(run.shares(run.served)) >= overall / 4, run.served


@then('with refusals fewer requests run into their time limit than without')
def fewer_time_outs(context):
    found = {m: run.timed_out.total() for m, run in context.runs.items()}
    limit = min(found['slack'], found['priority'])
    assert found['refuse'] < limit or found['refuse'] == 0, found


@then('no request was refused while less than half of the slots were in use')
def no_refusal_half_idle(context):
    assert context.runs['refuse'].refused_half_idle == 0


@then('at most {share:g} of the attempts were refused')
def few_refused(context, share):
    run = context.runs['refuse']
    assert run.refused <= share * run.offered.total(), run.refused


def make_admission(mix, holds, figures):
    """Return an admission with a mix of running requests and hold times."""
    found = admission.Admission('r0')
    for priority, (count, hold_ms) in enumerate(zip(mix, holds, strict=True)):
        found.begin(priority, 1000)
        found.end(priority, 1000, hold_ms)
        for _ in range(count):
            found.begin(priority, 1000 * (priority + 1))
    for now in range(0, 20_000, TICK_MS):
        found.tick(figures, 1000, now)
    return found


mixes = st.lists(st.integers(0, 30), min_size=5, max_size=5)
hold_times = st.lists(st.integers(10, 5000), min_size=5, max_size=5)


@then('random loads give no lower priority a shorter wait')
def waits_ordered(context):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(mixes, hold_times, st.integers(0, 3000))
    def check(mix, holds, running):
        figures = measure.Figures(running, 672, 5000 * running, 10**7, 672)
        found = make_admission(mix, holds, figures)
        waits = [found.wait_ms(priority) for priority in range(5)]
        assert waits == sorted(waits), waits

    check()


@then('random loads on less than half of the slots refuse nothing')
def half_idle_refuses_nothing(context):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(mixes, hold_times, st.integers(0, 3000))
    def check(mix, holds, running):
        # Memory may be full, and missing routers may count with much load.
        figures = measure.Figures(running, 672, 10**9, 10**7, 335)
        found = make_admission(mix, holds, figures)
        # The first requests are admitted for the share of their priority.
        for number in range(50):
            verdict = found.decide(number % 5, '', 1, 20_000)
            assert not verdict.retry_ms, verdict

    check()


@given(
    'a router of {routers:d} that runs {count:d} requests of priority 0 and'
    ' none of priority 2'
)
def router_runs_first(context, routers, count):
    context.routers, context.own = routers, count
    context.admission = admission.Admission('r0')
    for _ in range(count + 1):
        context.admission.begin(0, 1000)
    context.admission.end(0, 1000, 2500)


@when(
    '{count:d} requests of priority 2 wait at other routers for {slots:d}'
    ' slots'
)
def requests_wait_elsewhere(context, count, slots):
    running = context.routers * context.own + count
    figures = measure.Figures(running, slots, 0, 1, slots)
    for now in range(0, 5000, TICK_MS):
        context.admission.tick(figures, context.routers, now)


@then('a request of priority {priority:d} would not wait')
def would_not_wait(context, priority):
    assert context.admission.wait_ms(priority) == 0


@given(
    'a service with {slots:d} slots that has {times:d} times as many requests'
    ' of 30 s'
)
def overloaded_service(context, slots, times):
    engines_with_slots(context, slots // 12, 12, 427450)
    context.control.apply_settings(
        pb.ScarcitySettings(order=order.PRIORITY, refuse=True)
    )
    context.control.count_routers = lambda: 29
    context.tickets = []
    # Each request holds its slot for 30 s, and the priorities share the load
    # evenly: with twice as many requests as slots, priority 0 need not wait.
    for priority in range(3):
        for _ in range(50):
            exchange = exchange_of(priority, 0, 0, limit_ms=10**9)
            ticket = context.control.admit(exchange, context.service)
            context.tickets.append(ticket)
        last = context.tickets.pop()
        last.end(0, 30_000)
    report(context, times * slots, 0)
    tick(context, 10_000)


@when(
    '{count:d} requests of 3 priorities and {teams:d} teams arrive within'
    ' {ms:d} ms'
)
def requests_arrive(context, count, teams, ms):
    context.offered = collections.Counter()
    context.admitted = collections.Counter()
    context.levels, context.retries = collections.Counter(), []
    chance = random.Random(1)
    for number in range(count):
        if number % (count * TICK_MS // ms) == 0:
            tick(context, TICK_MS)
        # Priority 2 and the first teams have most of the requests.
        priority = min(2, chance.randrange(6))
        team = f't{min(chance.randrange(teams), chance.randrange(teams))}'
        now = context.clock.now()
        exchange = exchange_of(priority, 0, 0, team, now)
        result = context.control.admit(exchange, context.service)
        keys = '', team, priority
        context.offered.update(keys)
        if isinstance(result, control.Ticket):
            context.admitted.update(keys)
            context.levels[exchange.urgency] += 1
            # Ends without a sample, so that the load stays as it is.
            result.end()
        else:
            assert result.kind is failures.FailureKind.NOT_RUN
            context.retries.append(now + result.retry_after_ms)
            context.retry_range = (
                (
                    min(result.retry_after_ms, *context.retry_range),
                    max(result.retry_after_ms, *context.retry_range),
                )
                if 'retry_range' in context
                else (result.retry_after_ms,) * 2
            )


@then('at least {count:d} requests were refused')
def requests_refused(context, count):
    assert len(context.retries) >= count, len(context.retries)
    counted = sum(
        context.registry.get_sample_value(
            'peridotmast_scarcity_refusals_total',
            {'service': SERVICE, 'priority': str(priority)},
        )
        or 0
        for priority in range(3)
    )
    assert counted == len(context.retries), counted


@then(
    'each priority and each team was admitted at least a quarter as often as'
    ' all'
)
def shares_kept(context):
    shares = {
        key: context.admitted[key] / count
        for key, count in context.offered.items()
    }
    assert shares[0] > 0.9, shares
    assert min(shares.values()) >= shares[''] / 4, shares


@then(
    'each admitted request is at least as urgent as a long prompt of priority'
    ' 0'
)
def share_level(context):
    level = order.level_by_priority(0, 39_000, 800, None)
    assert context.levels and max(context.levels) <= level, context.levels


@then('no retry time is below {low:d} ms or above {high:d} ms')
def retry_range(context, low, high):
    least, most = context.retry_range
    assert low <= least and most <= high, context.retry_range


@then('no {ms:d} ms have more than a fifth of the returns')
def returns_spread(context, ms):
    found = collections.Counter(at // ms for at in context.retries)
    assert max(found.values()) <= len(context.retries) / 5, found


@then('at most {count:d} teams are counted')
def teams_bounded(context, count):
    [found] = context.control._admissions.values()
    assert len(found._teams) <= count, len(found._teams)


@then('a stream that is resumed is admitted')
def resumed_admitted(context):
    for _ in range(20):
        exchange = exchange_of(2, 0, 0, resumes='a')
        exchange.route.kind = pb.STREAMING
        result = context.control.admit(exchange, context.service)
        assert isinstance(result, control.Ticket), result


@when('all requests end twice and {ms:d} ms pass')
def requests_end(context, ms):
    for ticket in context.tickets:
        ticket.end()
        ticket.end()
    tick(context, ms)


@then('a request of any priority would not wait')
def no_wait(context):
    [found] = context.control._admissions.values()
    state = context.control.states()[SERVICE]
    assert state.figures.running > state.figures.slots
    assert not any(found._slots.in_use.values()), found._slots.in_use
    assert not round(found._slots.own()), found._slots.own()


@when('refusals are disabled')
def refusals_disabled(context):
    context.control.apply_settings(pb.ScarcitySettings(order=order.PRIORITY))


@then('{count:d} requests of priority {priority:d} are admitted')
def all_admitted(context, count, priority):
    for _ in range(count):
        exchange = exchange_of(priority, 0, 0)
        result = context.control.admit(exchange, context.service)
        assert isinstance(result, control.Ticket), result


@given(
    'a fleet of {count:d} routers that refuse requests which could not begin'
)
def fleet_refuses(context, count):
    helpers.start_fleet(
        context,
        routers=count,
        scarcity={'order': order.PRIORITY, 'refuse': True},
        config=shape_.CONFIG.replace(
            'keys = key-noor', 'keys = key-noor\nrate = 1\nburst = 1000'
        ),
    )


def request_of_noor(context):
    [router] = context.fleet.routers
    context.answer = helpers.send_request(router.address, '/chat/a')


@when('the capacity is short for all requests')
def short_for_all(context):
    [router] = context.fleet.routers
    helpers.wait_until(
        lambda: router.serving.scarcity._admissions, 'a measured service'
    )
    request_of_noor(context)
    assert router.serving.quota.spent()['noor'] > 0
    # Deciding on the load of a real fleet would need more requests than a
    # test can send.
    for found in router.serving.scarcity._admissions.values():
        found.decide = lambda *args: admission.Verdict(retry_ms=700)


@then('a request is refused with 503 and a retry time of {ms:d} ms')
def refused_with_retry(context, ms):
    [router] = context.fleet.routers
    context.spent = router.serving.quota.spent()
    request_of_noor(context)
    assert context.answer.status == 503, vars(context.answer)
    headers = dict(context.answer.headers)
    assert headers['Retry-After'] == f'{ms / 1000:g}', headers


@then('it has run at no upstream and has not reduced what its team may spend')
def not_run_nor_spent(context):
    [router] = context.fleet.routers
    assert helpers.arrival_count(context, context.answer.request_id) == 0
    assert router.serving.quota.spent() == context.spent


@when('upstreams respond to {count:d} requests with {status:d}')
def upstreams_respond(context, count, status):
    [router] = context.fleet.routers
    helpers.wait_until(
        lambda: router.serving.scarcity._admissions, 'a measured service'
    )
    dispatcher = router.serving.gateway._dispatcher
    dispatcher.answer = lambda exchange, service: reply.Reply(
        connection.ResponseHead(status, []), b'invalid'
    )
    for _ in range(count):
        request_of_noor(context)
        assert context.answer.status == status, vars(context.answer)


@then(
    'no request is counted as running, and no time is known for which one'
    ' holds a slot'
)
def nothing_running_nor_known(context):
    [router] = context.fleet.routers
    helpers.wait_until(
        lambda: not router.serving.gateway.in_flight, 'the end of requests'
    )
    [found] = router.serving.scarcity._admissions.values()
    assert not any(found._slots.in_use.values()), found._slots.in_use
    assert not found._hold_ms, found._hold_ms

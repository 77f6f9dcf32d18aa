"""Steps for request rate limits that upstreams set for all routers."""

from __future__ import annotations

import itertools
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import helpers
import limit_model

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.serving import upstream_limits

TOKENS = [(names.TOKEN_COUNTS, '20,4')]
WINDOW_MS = 4000
PROPAGATION_MS = 1000
"""Time within which every router knows a limit."""


def engines(context):
    return helpers.guests(context, shape_.ENGINE_SERVICE)


def set_limit(context, guests, text):
    context.limited = guests
    for guest in guests:
        guest.upstream.app.limit = text


def ask(context, router):
    body = f'prompt {next(context.numbers)}'.encode()
    return helpers.send_request(
        router.address, '/chat/tag', body=body, headers=TOKENS
    )


@given('one engine states a limit of {rate} request a second')
def one_engine_limited(context, rate):
    set_limit(context, engines(context)[:1], rate)


@given('each engine states a limit of {rate} requests a second')
def all_engines_limited(context, rate):
    set_limit(context, engines(context), rate)


@when(
    '{rate:d} requests a second are sent for {seconds:d} s, to each router in'
    ' turn'
)
def requests_sent(context, rate, seconds):
    context.numbers = itertools.count()
    context.started_at = context.fleet.clock.now()
    routers = itertools.cycle(context.fleet.running_routers())
    tasks = []
    for _ in range(rate * seconds):
        tasks.append(green.spawn(ask, context, next(routers)))
        green.sleep_ms(1000 / rate)
    context.answers = [task.wait() for task in tasks]


def max_in_window(context, guest):
    """Return the maximum number of requests in a window.

    Requests are counted once all routers know the limit.
    """
    arrivals = [
        at
        for at, _ in guest.upstream.app.arrivals
        if at >= context.started_at + PROPAGATION_MS
    ]
    return max(
        (
            sum(at <= other < at + WINDOW_MS for other in arrivals)
            for at in arrivals
        ),
        default=0,
    )


@then(
    'the engine with the limit receives at most {permitted:d} of them in 4 s'
)
@then('no engine receives more than {permitted:d} of them in 4 s')
def within_limit(context, permitted):
    counts = [max_in_window(context, guest) for guest in context.limited]
    assert max(counts) <= permitted, counts


@then('all are answered, and every engine receives some')
def all_answered(context):
    failed = [a for a in context.answers if a.status != 200]
    assert not failed, failed[:3]
    for guest in engines(context):
        assert guest.upstream.app.arrivals, guest.name


@then(
    'some are refused with 503 and a retry time, in a median of at most {ms:d}'
    ' ms'
)
def refused_at_once(context, ms):
    refused = [a for a in context.answers if a.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer
    durations = sorted(answer.ms for answer in refused)
    assert durations[len(durations) // 2] <= ms, durations


@given(
    'a fleet of {count:d} routers that know the limit of {rate} of their only'
    ' engine'
)
def fleet_knows_limit(context, count, rate):
    helpers.start_fleet(context, routers=count, domains=1)
    context.numbers = itertools.count()
    set_limit(context, engines(context), rate)
    assert ask(context, context.fleet.routers[0]).status == 200
    helpers.wait_until(
        lambda: all(know_rate(context, float(rate))), 'all know the limit'
    )


def know_rate(context, rate):
    """Yield for each router whether it knows this rate; 0 means no rate."""
    for router in context.fleet.running_routers():
        updates = router.serving.limits.updates_for_peers()
        known = [x.rate for x in updates if x.HasField('rate')]
        yield known == ([rate] if rate else [])


@when('it no longer states a limit')
def states_no_limit(context):
    set_limit(context, engines(context), '')


@when('it states the limit "{text}"')
def states_text(context, text):
    set_limit(context, engines(context), text)


@then('within {seconds:d} s no router knows a limit')
def no_limit_known(context, seconds):
    def ask_and_check():
        for router in context.fleet.running_routers():
            ask(context, router)
        return all(know_rate(context, 0))

    helpers.wait_until(ask_and_check, 'no limit', seconds * 1000)


@then('the router keeps the limit of {rate:g}')
def keeps_limit(context, rate):
    router = context.fleet.routers[0]
    helpers.wait_until(
        lambda: ask(context, router).status == 200, 'a request is answered'
    )
    assert all(know_rate(context, rate))


@then(
    'in {count:d} histories of {steps:d} steps an upstream receives no more'
    ' than its limit permits'
)
def random_histories(context, count, steps):
    limit_model.run_histories(count, steps)


@given('two routers that share a limit of {rate:g}')
def two_routers(context, rate):
    context.clock = clock_.ManualClock()
    context.pair = [
        upstream_limits.UpstreamLimits(context.clock, name) for name in 'ab'
    ]
    for limits in context.pair:
        limits.set_routers('ab')
        limits.note_limit(limit_model.UPSTREAM, rate)
    context.clock.advance(1000)


def exchange_updates(context, times=3):
    for _ in range(times):
        for sender, receiver in (context.pair, context.pair[::-1]):
            updates = sender.updates_for_peers()
            context.clock.advance(2)
            receiver.merge_updates(updates)


@when(
    'one reads the limit, and then an answer without it to an earlier request'
)
def answer_predates_limit(context):
    sent_at = context.clock.now()
    context.clock.advance(300)
    context.pair[0].note_limit(limit_model.UPSTREAM, 1)
    context.clock.advance(10)
    context.pair[0].note_no_limit(limit_model.UPSTREAM, sent_at)
    exchange_updates(context)


@when(
    'one reads a limit of {a:g} and the other one of {b:g}, and they exchange'
    ' updates'
)
def different_limits(context, a, b):
    for limits, rate in zip(context.pair, (a, b), strict=True):
        limits.note_limit(limit_model.UPSTREAM, rate)
    exchange_updates(context)


@when(
    'one reads a limit of {rate:g} a second later, and they exchange updates'
)
def later_limit(context, rate):
    context.clock.advance(1000)
    context.pair[0].note_limit(limit_model.UPSTREAM, rate)
    exchange_updates(context)


@then('they know limits of {a:g} and {b:g}')
def know_different(context, a, b):
    rates = [limits.updates_for_peers()[0].rate for limits in context.pair]
    assert rates == [a, b], rates


@then('both know a limit of {rate:g}')
def know_same(context, rate):
    know_different(context, rate, rate)


@when('one reads the limits of {count:d} more upstreams')
def reads_many_limits(context, count):
    for number in range(count):
        view = types.SimpleNamespace(
            name=f'j-{number}', born=0, run=f'j-{number}|0'
        )
        context.pair[0].note_limit(view, 5.0)


@then('it keeps at most {kept:d} limits, and an update contains {sent:d}')
def limits_bounded(context, kept, sent):
    limits = context.pair[0]
    assert len(limits) <= kept, len(limits)
    assert len(limits.updates_for_peers()) == sent, len(
        limits.updates_for_peers()
    )


@given('{count:d} routers under load that share a limit of {rate:g}')
def many_routers(context, count, rate):
    context.clock = clock_.ManualClock()
    routers = [f'router-{number}' for number in range(count)]
    context.fleet_limits = [
        upstream_limits.UpstreamLimits(context.clock, name) for name in routers
    ]
    for limits in context.fleet_limits:
        limits.set_routers(routers)
        limits.note_limit(limit_model.UPSTREAM, rate)


@when('{seconds:d} s pass')
def seconds_pass(context, seconds):
    context.received = 0
    for _ in range(seconds * 100):
        context.clock.advance(10)
        for limits in context.fleet_limits:
            if not limits.wait_ms(limit_model.UPSTREAM):
                limits.take(limit_model.UPSTREAM)
                context.received += 1


@then(
    'a minute later, {count:d} of the routers have to wait for {ms:d} ms, and'
    ' the others may send'
)
def routers_without_share_wait(context, count, ms):
    context.clock.advance(60_000)
    waits = [
        limits.wait_ms(limit_model.UPSTREAM) for limits in context.fleet_limits
    ]
    assert sorted(waits, reverse=True)[:count] == [ms] * count, waits
    assert waits.count(0) == len(waits) - count, waits


@then('the upstream has received from {least:d} to {most:d} requests')
def received_between(context, least, most):
    assert least <= context.received <= most, context.received


@when('a third router starts, and the limit of one upstream is used')
def third_router_starts(context):
    limits = context.pair[0]
    with mock.patch.object(
        limits, '_assign_share', wraps=limits._assign_share
    ) as context.assign_share:
        limits.set_routers('abc')
        limits.wait_ms(limit_model.UPSTREAM)
        limits.wait_ms(limit_model.UPSTREAM)


@then('one share is recomputed')
def one_share_recomputed(context):
    count = context.assign_share.call_count
    assert count == 1, count


@when('{seconds:d} s pass without load')
def seconds_pass_without_load(context, seconds):
    context.clock.advance(seconds * 1000)


@when('{count:d} routers join and leave again')
def routers_join_and_leave(context, count):
    names = [f'router-{number}' for number in range(len(context.fleet_limits))]
    joined = [f'joined-{number}' for number in range(count)]
    for limits in context.fleet_limits:
        assert not limits.wait_ms(limit_model.UPSTREAM)
        limits.set_routers([*names, *joined])
        limits.set_routers(names)


@then('none of the first routers may send at once')
def none_may_send(context):
    for limits in context.fleet_limits[::2]:
        limits.note_limit(limit_model.UPSTREAM, 1.1)
    waits = [
        limits.wait_ms(limit_model.UPSTREAM) for limits in context.fleet_limits
    ]
    assert all(waits), waits

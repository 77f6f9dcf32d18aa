"""Steps for request rate limits that upstreams set for all routers."""

from __future__ import annotations

import itertools
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import helpers
import histories
import limit_model

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.serving.limits import upstream_limits

TOKENS = [(names.TOKEN_COUNTS, '20,4')]
WINDOW_MS = 4000
PROPAGATION_MS = 1000
"""Time within which a stated limit reaches every router, in ms."""


def engines(context):
    return helpers.guests(context, shape_.ENGINE_SERVICE)


def set_limit(context, guests, text):
    context.limited = guests
    for guest in guests:
        guest.upstream.app.limit = text


def send_prompt(context, router):
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
        tasks.append(green.spawn(send_prompt, context, next(routers)))
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
    'the engine with the limit receives at most {permitted:d} requests in 4 s'
)
@then('no engine receives more than {permitted:d} requests in 4 s')
def engines_receive_at_most(context, permitted):
    counts = [max_in_window(context, guest) for guest in context.limited]
    assert max(counts) <= permitted, counts


@then('all requests are answered, and every engine receives some of them')
def all_requests_answered(context):
    failed = [a for a in context.answers if a.status != 200]
    assert not failed, failed[:3]
    for guest in engines(context):
        assert guest.upstream.app.arrivals, guest.name


@then(
    'some requests are refused with 503 and a retry time, in a median of at'
    ' most {ms:d} ms'
)
def some_requests_refused_at_once(context, ms):
    refused = [a for a in context.answers if a.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer
    durations = sorted(answer.ms for answer in refused)
    assert durations[len(durations) // 2] <= ms, durations


@given(
    'a fleet of {count:d} routers that know the limit of {rate} requests a'
    ' second of their only engine'
)
def fleet_knows_limit(context, count, rate):
    helpers.start_fleet(context, routers=count, domains=1)
    context.numbers = itertools.count()
    set_limit(context, engines(context), rate)
    assert send_prompt(context, context.fleet.routers[0]).status == 200
    helpers.wait_until(
        lambda: all(routers_know_rate(context, float(rate))),
        'all routers know the limit',
    )


def routers_know_rate(context, rate):
    """Yield for each router whether it knows this rate; 0 means no rate."""
    for router in context.fleet.running_routers():
        updates = router.serving.limits.updates_for_peers()
        known = [x.rate for x in updates if x.HasField('rate')]
        yield known == ([rate] if rate else [])


@when('the engine no longer states a limit')
def engine_states_no_limit(context):
    set_limit(context, engines(context), '')


@when('the engine states the limit "{text}"')
def engine_states_limit(context, text):
    set_limit(context, engines(context), text)


@then('within {seconds:d} s no router knows a limit')
def no_limit_known(context, seconds):
    def send_prompts_and_check():
        for router in context.fleet.running_routers():
            send_prompt(context, router)
        return all(routers_know_rate(context, 0))

    helpers.wait_until(
        send_prompts_and_check, 'no router knows a limit', seconds * 1000
    )


@then('the router keeps the limit of {rate:g} requests a second')
def keeps_limit(context, rate):
    router = context.fleet.routers[0]
    helpers.wait_until(
        lambda: send_prompt(context, router).status == 200,
        'a request is answered',
    )
    assert all(routers_know_rate(context, rate))


@then(
    'in {count:d} histories of {steps:d} steps an upstream receives no more'
    ' than its limit permits'
)
def upstream_receives_no_more_than_limit(context, count, steps):
    histories.run(limit_model.LimitHistory, count, steps)


@then(
    'in {count:d} histories of {steps:d} steps with silences an upstream'
    ' receives no more than its limit permits'
)
def silent_upstream_receives_no_more(context, count, steps):
    histories.run(limit_model.SilentLimitHistory, count, steps)


@given('two routers that share a limit of {rate:g} requests a second')
def two_routers_share_limit(context, rate):
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
    'one router reads the limit, and then an answer without a limit to an'
    ' earlier request'
)
def answer_predates_limit(context):
    sent_at = context.clock.now()
    context.clock.advance(300)
    context.pair[0].note_limit(limit_model.UPSTREAM, 1)
    context.clock.advance(10)
    context.pair[0].note_no_limit(limit_model.UPSTREAM, sent_at)
    exchange_updates(context)


@when(
    'one router reads a limit of {a:g} and the other a limit of {b:g}, and'
    ' they exchange updates'
)
def read_different_limits(context, a, b):
    for limits, rate in zip(context.pair, (a, b), strict=True):
        limits.note_limit(limit_model.UPSTREAM, rate)
    exchange_updates(context)


@when(
    'a second later, one router reads a limit of {rate:g}, and both exchange'
    ' updates'
)
def read_later_limit(context, rate):
    context.clock.advance(1000)
    context.pair[0].note_limit(limit_model.UPSTREAM, rate)
    exchange_updates(context)


@then('the routers know limits of {a:g} and {b:g}')
def routers_know_limits(context, a, b):
    rates = [limits.updates_for_peers()[0].rate for limits in context.pair]
    assert rates == [a, b], rates


@then('both routers know a limit of {rate:g}')
def both_routers_know_limit(context, rate):
    routers_know_limits(context, rate, rate)


@when('one router reads the limits of {count:d} more upstreams')
def reads_many_limits(context, count):
    for number in range(count):
        view = types.SimpleNamespace(
            name=f'j-{number}', born=0, run=f'j-{number}|0'
        )
        context.pair[0].note_limit(view, 5.0)


@then(
    'that router keeps at most {kept:d} limits, and an update to peers'
    ' contains {sent:d} of them'
)
def limits_bounded(context, kept, sent):
    limits = context.pair[0]
    assert len(limits) <= kept, len(limits)
    assert len(limits.updates_for_peers()) == sent, len(
        limits.updates_for_peers()
    )


@given(
    '{count:d} routers under load that share a limit of {rate:g} requests a'
    ' second'
)
def routers_under_load(context, count, rate):
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
    ' the other routers may send'
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


@then('none of the original routers may send a request at once')
def no_original_router_may_send(context):
    for limits in context.fleet_limits[::2]:
        limits.note_limit(limit_model.UPSTREAM, 1.1)
    waits = [
        limits.wait_ms(limit_model.UPSTREAM) for limits in context.fleet_limits
    ]
    assert all(waits), waits

"""Limits that upstreams name for all routers together."""

from __future__ import annotations

import itertools

from behave import given
from behave import then
from behave import when
import helpers

from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names

TOKENS = [(names.TOKENS, '20,4')]
WINDOW_MS = 4000
SPREAD_MS = 1000
"""Time in which every router has heard of a limit."""


def engines(context):
    return helpers.guests(context, shape_.ENGINES)


def set_limit(context, guests, text):
    context.limited = guests
    for guest in guests:
        guest.upstream.app.limit = text


def ask(context, router):
    body = f'prompt {next(context.numbers)}'.encode()
    return helpers.ask(router.address, '/chat/tag', body=body, headers=TOKENS)


@given('one engine names a limit of {rate} request a second')
def one_limited(context, rate):
    set_limit(context, engines(context)[:1], rate)


@given('each engine names a limit of {rate} requests a second')
def all_limited(context, rate):
    set_limit(context, engines(context), rate)


@when(
    '{rate:d} requests a second come for {seconds:d} s, to each router in turn'
)
def requests_come(context, rate, seconds):
    context.numbers = itertools.count()
    context.began = context.fleet.clock.now()
    routers = itertools.cycle(context.fleet.serving())
    tasks = []
    for _ in range(rate * seconds):
        tasks.append(green.spawn(ask, context, next(routers)))
        green.sleep_ms(1000 / rate)
    context.answers = [task.wait() for task in tasks]


def most_in_window(context, guest):
    """Return the most requests that came in a window, once it was known."""
    moments = [
        at
        for at, _ in guest.upstream.app.arrivals
        if at >= context.began + SPREAD_MS
    ]
    return max(
        (
            sum(at <= other < at + WINDOW_MS for other in moments)
            for at in moments
        ),
        default=0,
    )


@then('the engine with the limit gets no more than {most:d} of them in 4 s')
@then('no engine gets more than {most:d} of them in 4 s')
def within_limit(context, most):
    found = [most_in_window(context, guest) for guest in context.limited]
    assert max(found) <= most, found


@then('all are answered by the others or by it')
def all_answered(context):
    failed = [a for a in context.answers if a.status != 200]
    assert not failed, failed[:3]
    for guest in engines(context):
        assert guest.upstream.app.arrivals, guest.name


@then('those that are refused were told within {ms:d} ms when to come back')
def refused_at_once(context, ms):
    refused = [a for a in context.answers if a.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer
    late = sorted(answer.ms for answer in refused)
    assert late[len(late) // 2] <= ms, late

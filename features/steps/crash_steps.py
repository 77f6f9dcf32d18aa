"""Steps for requests that crash upstreams."""

from __future__ import annotations

import functools

from behave import given
from behave import then
from behave import when
import helpers

from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names

PAUSE_MS = 700
"""Time in which each router hears of what another one has seen: two beacons,
of which one may be lost."""


@when(
    '"tag 1" is sent twice to "/pages/a", '
    'then once with a new body and once with a new path'
)
def send_resent_and_distinct_requests(context):
    requests = [
        ('/pages/a', b'tag 1'),
        ('/pages/a?again=1', b'tag 1'),
        ('/pages/a', b'tag 2'),
        ('/pages/b', b'tag 1'),
    ]
    context.fingerprints = []
    for index, (path, body) in enumerate(requests):
        router = context.fleet.routers[index % 2]
        answer = helpers.ask(router.address, path, body=body)
        steps = router.serving.decisions.of(answer.request_id)
        [attempt] = [text for _, text in steps if text.startswith('attempt ')]
        [fingerprint] = [
            part.partition('=')[2]
            for part in attempt.split()
            if part.startswith('fingerprint=')
        ]
        context.fingerprints.append(fingerprint)


@then('the first two attempts are logged with the same fingerprint')
def resent_request_has_same_fingerprint(context):
    first, second = context.fingerprints[:2]
    assert first == second, context.fingerprints


@then('requests with a new body or path have distinct fingerprints')
def distinct_requests_have_distinct_fingerprints(context):
    distinct = context.fingerprints[1:]
    assert len(set(distinct)) == len(distinct), distinct


def arm(context, guest):
    """Let an upstream crash under the request, and another one replace it."""
    app = guest.upstream.app
    app.crash_body = context.body
    app.on_crash = functools.partial(crash, context, guest)


def crash(context, guest):
    context.crashed.append(guest.name)
    context.fleet.lose(guest)
    upstream = guest.record.upstream
    if upstream.service == shape_.SERVICE:
        arm(context, context.fleet.add_service(upstream.failure_domain))
    else:
        arm(context, context.fleet.add_engine(upstream.failure_domain))


@given('"{path}" with the body "{body}" crashes the upstream that runs it')
def crashing_request(context, path, body):
    context.path, context.body = path, body.encode()
    context.crashed, context.answers = [], []
    for guest in helpers.guests(context):
        arm(context, guest)


@when('it is sent {count:d} times, to each router in turn')
def send_in_turn(context, count):
    for number in range(count):
        routers = context.fleet.serving()
        router = routers[number % len(routers)]
        answer = helpers.ask(router.address, context.path, body=context.body)
        context.answers.append(answer)
        green.sleep_ms(PAUSE_MS)


@then('{count:d} upstreams have crashed')
def count_crashes(context, count):
    assert len(context.crashed) == count, context.crashed


@then('the last {count:d} are refused with 503 and told when to come back')
def last_refused(context, count):
    for answer in context.answers[-count:]:
        assert answer.status == 503, context.answers
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer


@then('the same body at "{path}" is answered')
def same_body_answered(context, path):
    for guest in helpers.guests(context):
        guest.upstream.app.crash_body = b''
    router = context.fleet.serving()[0]
    answer = helpers.ask(router.address, path, body=context.body)
    assert answer.status == 200 and answer.complete, answer


@then('it has the status {status:d}')
def has_status(context, status):
    assert context.answers[-1].status == status, context.answers

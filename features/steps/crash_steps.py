"""Steps for requests that crash upstreams."""

from __future__ import annotations

from behave import then
from behave import when
import helpers


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

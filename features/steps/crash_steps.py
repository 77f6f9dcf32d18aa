"""Steps for requests that crash upstreams."""

from __future__ import annotations

import functools
from unittest import mock

from behave import given
from behave import then
from behave import when
import crash_model
import helpers
import histories
import stream_steps

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.serving import abandoned_attempts
from peridotmast.serving import crash_keys
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import health as health_
from peridotmast.wire import connection as connection_

PROPAGATION_MS = 700
"""Time for a crash update to reach all routers, in ms: two beacons, of which
one may be lost."""


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
        answer = helpers.send_request(router.address, path, body=body)
        steps = router.serving.decisions.history(answer.request_id)
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


def set_crash_body(context, guest):
    """Make `context.body` crash an upstream, which is then replaced."""
    app = guest.upstream.app
    app.crash_body = context.body
    app.crash_delay_ms = context.crash_delay_ms
    app.on_crash = functools.partial(crash_and_replace, context, guest)


def crash_and_replace(context, guest):
    context.crashed.append(guest.name)
    context.fleet.kill_upstream(guest)
    upstream = guest.record.upstream
    if upstream.service == shape_.PLAIN_SERVICE:
        added = context.fleet.add_service(upstream.failure_domain)
    else:
        added = context.fleet.add_engine(upstream.failure_domain)
    set_crash_body(context, added)


@given(
    'a request to "{path}" with the body "{body}" crashes the upstream that'
    ' runs it'
)
def crashing_request(context, path, body):
    context.path, context.body = path, body.encode()
    context.crashed, context.answers = [], []
    context.crash_delay_ms = 0
    for guest in helpers.guests(context):
        set_crash_body(context, guest)


@given('upstreams crash {ms:d} ms after they start to run that request')
def delayed_crash(context, ms):
    context.crash_delay_ms = ms
    for guest in helpers.guests(context):
        set_crash_body(context, guest)


@when(
    'that request is sent {count:d} times, to each router in turn, by callers'
    ' that leave after {ms:d} ms'
)
def send_in_turn_and_leave(context, count, ms):
    for number in range(count):
        routers = context.fleet.running_routers()
        address = routers[number % len(routers)].address
        conn = connection_.Connection(address, clock_.SystemClock())
        assert conn.connect(1000) is None
        with green.Timeout(ms / 1000, False):
            helpers.send_request(
                address, context.path, body=context.body, conn=conn
            )
        conn.close()
        green.sleep_ms(context.crash_delay_ms + PROPAGATION_MS)


@when(
    'that request is sent {count:d} times, by callers that wait for {ms:d} ms'
)
def send_with_time_limit(context, count, ms):
    [router] = context.fleet.running_routers()
    for _ in range(count):
        helpers.send_request(
            router.address, context.path, body=context.body, deadline_ms=ms
        )
        green.sleep_ms(context.crash_delay_ms + PROPAGATION_MS)


@given('abandoned attempts at {count:d} upstream')
@given('abandoned attempts at {count:d} upstreams')
def abandoned_attempts_at(context, count):
    context.clock = clock_.ManualClock()
    context.attempts = abandoned_attempts.AbandonedAttempts(context.clock)
    for number in range(count):
        context.clock.advance(1)
        view = crash_model.make_view(f'i-{number}')
        now = context.clock.now()
        context.attempts.add(crash_model.HARMLESS, view, now, False)


@when('the upstream answers a request that was sent {ms:d} ms later')
def upstream_answers_later(context, ms):
    view = crash_model.make_view('i-0')
    context.attempts.note_response(view, context.clock.now() + ms)


@then('{count:d} attempt is still kept')
def attempts_kept(context, count):
    assert len(context.attempts) == count, len(context.attempts)


@then('{count:d} attempts are kept, the latest ones')
def latest_attempts_kept(context, count):
    attempts_kept(context, count)
    assert not context.attempts.at(crash_model.make_view('i-0'))
    assert context.attempts.at(crash_model.make_view('i-1999'))


@then('no attempt is kept')
def no_attempt_kept(context):
    attempts_kept(context, 0)


@when('{ms:d} ms pass on the clock of the attempts')
def time_of_attempts_passes(context, ms):
    context.clock.advance(ms)
    context.attempts.tick()


@when(
    'a caller leaves a request to "{path}", whose upstream then announces its'
    ' stop and is lost'
)
def leave_before_planned_stop(context, path):
    [router] = context.fleet.running_routers()
    guests = helpers.guests(context, shape_.PLAIN_SERVICE)
    for guest in guests:
        guest.upstream.app.faults['hang'] = 1.0
    conn = connection_.Connection(router.address, clock_.SystemClock())
    assert conn.connect(1000) is None
    with green.Timeout(0.2, False):
        helpers.send_request(router.address, path, conn=conn)
    conn.close()
    for guest in guests:
        context.fleet.announce_leaving(guest)
    green.sleep_ms(PROPAGATION_MS)
    for guest in guests:
        context.fleet.kill_upstream(guest)
    green.sleep_ms(PROPAGATION_MS)


@then('0 crashes are recorded')
def no_crashes_recorded(context):
    [router] = context.fleet.running_routers()
    assert not len(router.serving.crashes)


@given('a circuit breaker that is open')
def open_breaker(context):
    context.clock = clock_.ManualClock()
    context.health = health_.Health(context.clock)
    context.health.record_failure()
    context.health.record_failure()
    assert not context.health.allows_request()
    context.clock.advance(4000)


@when('its probe is sent and its caller leaves')
def probe_abandoned(context):
    assert context.health.allows_request()
    context.health.record_sent()
    assert not context.health.allows_request()
    context.health.release_probe()


@then('another probe may be sent at once')
def another_probe_allowed(context):
    assert context.health.allows_request()


@when('that request is sent {count:d} times, to each router in turn')
def send_in_turn(context, count):
    for number in range(count):
        routers = context.fleet.running_routers()
        router = routers[number % len(routers)]
        answer = helpers.send_request(
            router.address, context.path, body=context.body
        )
        context.answers.append(answer)
        green.sleep_ms(PROPAGATION_MS)


@then('{count:d} upstreams have crashed')
def upstreams_have_crashed(context, count):
    assert len(context.crashed) == count, context.crashed


@then('the last {count:d} requests are refused with 503 and a retry time')
def last_requests_refused(context, count):
    for answer in context.answers[-count:]:
        assert answer.status == 503, context.answers
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer


@then('a request to "{path}" with the same body is answered')
def same_body_answered(context, path):
    for guest in helpers.guests(context):
        guest.upstream.app.crash_body = b''
    router = context.fleet.running_routers()[0]
    answer = helpers.send_request(router.address, path, body=context.body)
    assert answer.status == 200 and answer.complete, answer


@then('the last request has the status {status:d}')
def last_request_has_status(context, status):
    assert context.answers[-1].status == status, context.answers


@then(
    'in {count:d} random histories of {steps:d} steps, a blocked request is'
    ' sent at most three times'
)
def blocked_request_sent_at_most_three_times(context, count, steps):
    histories.run(crash_model.CrashHistory, count, steps)


@when('another router starts')
def router_starts(context):
    context.fleet.add_router('router-3', wait=True)


@when('all routers are killed and start again')
def kill_and_restart_all_routers(context):
    helpers.wait_until(
        lambda: any(
            left
            for router in context.fleet.running_routers()
            if router.lease.is_held()
            for left in [(router.lease._current().get('left') or {})]
            if left.get('crashSuspects')
        ),
        'the blocked request is stored with the lease',
    )
    killed = context.fleet.running_routers()
    for router in killed:
        router.stop()
    for router in killed:
        context.fleet.restart_router(router)
    helpers.wait_until(
        lambda: all(
            router.serving.crashes.blocked_requests()
            for router in context.fleet.running_routers()
        ),
        'every router has restored the blocked request',
    )


@then('that request is refused at each of the {count:d} routers')
def refused_at_each_router(context, count):
    routers = context.fleet.running_routers()
    assert len(routers) == count, routers
    send_in_turn(context, count)
    last_requests_refused(context, count)


@given('an attempt of that request is queued at an upstream')
def queued_attempt(context):
    start_queued_attempts(context, 1)


@given('{count:d} attempts of that request are queued at an upstream')
def queued_attempts(context, count):
    start_queued_attempts(context, count)


def start_queued_attempts(context, count):
    """Start attempts that stay unanswered at one upstream, as if queued."""
    guest = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
    app = guest.upstream.app
    app.crash_body = b''
    app.faults['hang'] = 1.0
    others = helpers.guests(context, shape_.ENGINE_SERVICE)[1:]
    for other in others:
        context.fleet.announce_leaving(other)
    router = context.fleet.routers[0]
    helpers.wait_until(
        lambda: len(router.upstream_table.live(shape_.ENGINE_SERVICE)) == 1,
        'one engine is live',
    )
    context.queued = [
        green.spawn(
            helpers.send_request,
            router.address,
            context.path,
            body=context.body,
        )
        for _ in range(count)
    ]
    helpers.wait_until(
        lambda: len(app.arrivals) == count,
        'the attempts have arrived at the engine',
    )
    context.queued_at = guest
    context.fleet.announce_leaving(guest)
    for other in others:
        added = context.fleet.add_engine(context.fleet.domains[0])
        set_crash_body(context, added)
    helpers.wait_until(
        lambda: all(
            len(router.upstream_table.live(shape_.ENGINE_SERVICE))
            == len(others)
            for router in context.fleet.routers
        ),
        'the replacement engines are live',
    )


@then('the queued attempt ends with 502, and its upstream has not crashed')
def queued_attempt_ends(context):
    queued_attempts_end(context)
    assert context.queued_at.name not in context.crashed


@then('the queued attempts end with 502')
def queued_attempts_end(context):
    for task in context.queued:
        answer = task.wait()
        assert answer.status == 502, answer


@then('{count:d} crashes by that request are recorded')
def crashes_are_recorded(context, count):
    [blocked] = context.fleet.routers[0].serving.crashes.blocked_requests()
    assert len(blocked.crashes) == count, blocked


@then(
    'the upstream of the queued attempts has no failures and a closed circuit'
    ' breaker'
)
def upstream_is_healthy(context):
    router = context.fleet.routers[0]
    [view] = [
        view
        for view in router.upstream_table.all()
        if view.name == context.queued_at.name
    ]
    assert view.health.failure_share() == 0, view.health.failure_share()
    assert view.health.breaker is health_.Breaker.CLOSED, view.health.breaker


@given('a crash tracker')
def crash_tracker(context):
    context.clock = clock_.ManualClock(5_000_000)
    context.tracker = crash_tracker_.CrashTracker(context.clock, 'router-1')


def other_keys(number):
    return crash_keys.CrashKeys(f'other-{number}')


def lose_upstream(context, keys, name, ran_ms=5, was_answering=False):
    sent_at = context.clock.now() - ran_ms
    view = crash_model.make_view(name)
    context.tracker.note_failure(
        keys, view, crash_model.BROKE_OFF, sent_at, was_answering
    )


@when(
    'the answer to one request breaks off at {count:d} upstreams that answer'
    ' other requests'
)
def answers_break_off(context, count):
    for number in range(count):
        context.clock.advance(1000)
        lose_upstream(context, crash_model.CRASHING, f'i-{number}')
        context.clock.advance(100)
        view = crash_model.make_view(f'i-{number}')
        context.tracker.note_response(view, context.clock.now())


@when(
    'one request is running at {count:d} upstreams that are lost within'
    ' {ms:d} ms'
)
def upstreams_lost_together(context, count, ms):
    for number in range(count):
        lose_upstream(context, crash_model.CRASHING, f'i-{number}', ran_ms=ms)
        context.clock.advance(ms // count)


@when('one request crashes {count:d} upstreams')
def crashes_upstreams(context, count):
    for number in range(count):
        context.clock.advance(1000)
        lose_upstream(context, crash_model.CRASHING, f'i-{number}')


@when(
    'one request crashes {count:d} upstreams while they answer another request'
)
def crash_upstreams_while_answering_another(context, count):
    for number in range(count):
        context.clock.advance(1000)
        name = f'i-{number}'
        lose_upstream(
            context, crash_model.HARMLESS, name, 900, was_answering=True
        )
        assert not context.tracker.retry_after_ms(crash_model.HARMLESS)
        lose_upstream(context, crash_model.CRASHING, name)


@when(
    'one request crashes {count:d} upstreams that are answering it, each with'
    ' another request queued'
)
def crash_upstreams_while_answering_it(context, count):
    for number in range(count):
        context.clock.advance(1000)
        name = f'i-{number}'
        lose_upstream(
            context, crash_model.CRASHING, name, 900, was_answering=True
        )
        lose_upstream(context, other_keys(number), name)


@then(
    'only the first request is refused, also by a router that receives the'
    ' crash update'
)
def only_first_refused(context):
    refused_by_both_routers(context)
    for tracker in (context.tracker, context.other_tracker):
        assert not tracker.retry_after_ms(crash_model.HARMLESS)


def was_answering_flags(context):
    [router] = context.fleet.running_routers()
    return [
        crash.was_answering
        for suspect in router.serving.crashes.updates_for_peers()
        for crash in suspect.crashes
    ]


@then('1 crash is recorded for a request that was being answered')
def crash_while_answering(context):
    flags = was_answering_flags(context)
    assert flags == [True], flags


@then('1 more crash is recorded for a request that was not being answered')
def crash_before_answering(context):
    flags = was_answering_flags(context)
    assert sorted(flags) == [False, True], flags


@when(
    'a stream breaks off at its upstream and each attempt to resume it fails'
)
def stream_and_resumptions_fail(context):
    [router] = context.fleet.running_routers()
    sender = router.serving._sender
    with mock.patch.object(
        sender, 'note_failure', wraps=sender.note_failure
    ) as context.note_failure:
        stream_steps.stream_with_action(
            context, 200, '/chat/x', kill_and_fail_resumptions(context)
        )


def kill_and_fail_resumptions(context):
    """Return an action that kills an upstream and makes all others fail."""

    def act(guest):
        for other in helpers.guests(context, shape_.ENGINE_SERVICE):
            other.upstream.app.faults['lose'] = 1.0
        context.fleet.kill_upstream(guest)

    return act


@then(
    'exactly one failure is recorded for each upstream that the stream was'
    ' sent to'
)
def one_failure_per_upstream(context):
    upstreams = [
        call.args[1].name for call in context.note_failure.call_args_list
    ]
    assert upstreams[0] == context.first_upstream.name, upstreams
    assert len(upstreams) == len(set(upstreams)) > 1, upstreams


@then('the request is not refused')
def request_not_refused(context):
    assert not context.tracker.retry_after_ms(crash_model.CRASHING)


@then(
    'the request is refused, also by a router that receives the crash update'
)
def refused_by_both_routers(context):
    other = crash_tracker_.CrashTracker(context.clock, 'router-2')
    other.merge_updates(context.tracker.updates_for_peers())
    context.other_tracker = other
    assert context.tracker.retry_after_ms(crash_model.CRASHING)
    assert other.retry_after_ms(crash_model.CRASHING)


@when('that router receives a complete answer to the request')
def other_router_receives_answer(context):
    context.clock.advance(100)
    context.other_tracker.note_success(crash_model.CRASHING)
    context.tracker.merge_updates(context.other_tracker.updates_for_peers())


@then('neither router refuses the request')
def neither_router_refuses(context):
    assert not context.tracker.retry_after_ms(crash_model.CRASHING)
    assert not context.other_tracker.retry_after_ms(crash_model.CRASHING)


@when('{count:d} other requests lose one upstream each')
def other_requests_lose_upstreams(context, count):
    for number in range(count):
        lose_upstream(context, other_keys(number), f'j-{number}')
        context.clock.advance(1)


@then(
    'at most {most:d} requests are tracked, and the first request is still'
    ' refused'
)
def tracked_requests_are_bounded(context, most):
    assert len(context.tracker) <= most, len(context.tracker)
    assert context.tracker.retry_after_ms(crash_model.CRASHING)


@then('a crash update contains at most {most:d} requests')
def update_is_bounded(context, most):
    updates = context.tracker.updates_for_peers()
    assert len(updates) <= most, len(updates)
    assert crash_model.CRASHING.request in {
        update.fingerprint for update in updates
    }


@then('the request is refused with a retry time of {ms:d} ms')
def refused_with_retry_time(context, ms):
    retry_after_ms = context.tracker.retry_after_ms(crash_model.CRASHING)
    assert retry_after_ms == ms, retry_after_ms


@when("{ms:d} ms pass on the tracker's clock")
def tracker_time_passes(context, ms):
    context.clock.advance(ms)


@when('the retry delay passes')
def retry_delay_passes(context):
    context.clock.advance(crash_tracker_.RETRY_DELAY_MS)


@when('the router acquires the lease of the duties')
def router_becomes_holder(context):
    context.tracker.may_retry = lambda: True


@then(
    'the router sends the request {count:d} times, each after the retry delay'
)
def retries_are_limited(context, count):
    retry_times = []
    for number in range(5 * count):
        if not context.tracker.retry_after_ms(crash_model.CRASHING):
            retry_times.append(context.clock.now())
            lose_upstream(context, crash_model.CRASHING, f'j-{number}')
        context.clock.advance(crash_tracker_.RETRY_DELAY_MS // 2)
    intervals = [
        later - earlier
        for earlier, later in zip(retry_times, retry_times[1:], strict=False)
    ]
    assert len(retry_times) == count, retry_times
    assert min(intervals) >= crash_tracker_.RETRY_DELAY_MS, intervals

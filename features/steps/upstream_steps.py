"""Steps for malformed answers of upstreams, and for how often requests run."""

from __future__ import annotations

import random
import socket
import struct

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import raw_upstream

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.wire import connection as connection_

USAGE_WINDOW_MS = 1000
"""Length of a usage window in a fleet with a scripted engine."""


@given('a fleet of {count:d} routers with one scripted upstream')
def scripted_fleet(context, count):
    fleet = helpers.start_fleet(context, routers=count, services=0)
    register_scripted(context, fleet, shape_.PLAIN_SERVICE)


@given('a fleet of {count:d} routers with one scripted engine')
def scripted_engines(context, count):
    fleet = helpers.start_fleet(
        context,
        routers=count,
        engines=0,
        bounds={'usage_window_s': USAGE_WINDOW_MS / 1000},
    )
    register_scripted(context, fleet, shape_.ENGINE_SERVICE)


def register_scripted(context, fleet, service):
    context.script = raw_upstream.ok_response
    context.raw_upstream = raw_upstream.RawUpstream(
        lambda *args: context.script(*args)
    )
    context.closing.append(context.raw_upstream.stop)
    context.raw_upstream.register(fleet, service)
    fleet_steps.wait_until_known(context, 1, service)


def set_reset_on_close(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


def make_head(request_id, *lines, status='200 OK', seal=True):
    seal_lines = [f'{names.SEAL}: raw.1'] if seal else []
    return (
        '\r\n'.join(
            [
                f'HTTP/1.1 {status}',
                f'{names.REQUEST_ID}: {request_id}',
                *seal_lines,
                *lines,
            ]
        )
        + '\r\n\r\n'
    ).encode()


def no_http_response(sock, request_id, number):
    sock.sendall(b'\x16\x03\x01 this is no answer\r\n\r\n')


def send_half_of_body(sock, request_id, number):
    sock.sendall(raw_upstream.ok_response(request_id, b'0123456789')[:-5])


def close_without_response(sock, request_id, number):
    pass


def reset_connection(sock, request_id, number):
    set_reset_on_close(sock)


def delayed_reset(sock, request_id, number):
    green.sleep_ms(USAGE_WINDOW_MS)
    set_reset_on_close(sock)


def answer_without_seal_header(sock, request_id, number):
    sock.sendall(
        make_head(request_id, 'Content-Length: 2', seal=False) + b'hi'
    )


def answer_503_without_not_run(sock, request_id, number):
    status = '503 Service Unavailable'
    sock.sendall(make_head(request_id, 'Content-Length: 0', status=status))


def two_content_lengths(sock, request_id, number):
    lines = ('Content-Length: 2', 'Content-Length: 4')
    sock.sendall(make_head(request_id, *lines) + b'hihi')


def length_and_chunks(sock, request_id, number):
    lines = ('Content-Length: 2', 'Transfer-Encoding: chunked')
    sock.sendall(make_head(request_id, *lines) + b'2\r\nhi\r\n0\r\n\r\n')


def malformed_chunk(sock, request_id, number):
    line = 'Transfer-Encoding: chunked'
    sock.sendall(make_head(request_id, line) + b'zz\r\nhi\r\n0\r\n\r\n')


def status_500(sock, request_id, number):
    status = '500 Internal Server Error'
    sock.sendall(make_head(request_id, 'Content-Length: 0', status=status))
    return True


def status_404(sock, request_id, number):
    status = '404 Not Found'
    sock.sendall(make_head(request_id, 'Content-Length: 0', status=status))
    return True


def body_until_close(sock, request_id, number):
    sock.sendall(make_head(request_id) + b'all of it')


def answer_and_foreign_one(sock, request_id, number):
    extra = raw_upstream.ok_response('somebody-else', b'stolen')
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    green.sleep_ms(30)
    sock.sendall(extra)
    return True


def answer_and_foreign_one_at_once(sock, request_id, number):
    extra = raw_upstream.ok_response('somebody-else', b'stolen')
    sock.sendall(
        raw_upstream.ok_response(request_id, request_id.encode(), extra)
    )
    return True


def stale_answer_and_own(sock, request_id, number):
    sock.sendall(raw_upstream.ok_response('an-old-one', b'stale'))
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    return True


def refusal_with_not_run(sock, request_id, number):
    status = '503 Service Unavailable'
    lines = (f'{names.NOT_RUN}: 1', 'Content-Length: 0')
    sock.sendall(make_head(request_id, *lines, status=status, seal=False))
    return True


def name_of_other_upstream(sock, request_id, number):
    status = '421 Misdirected Request'
    lines = (f'{names.UPSTREAM}: other', 'Content-Length: 0')
    sock.sendall(make_head(request_id, *lines, status=status, seal=False))


def refuse(sock, status, *lines):
    lines = '\r\n'.join([f'HTTP/1.1 {status}', 'Content-Length: 0', *lines])
    sock.sendall(f'{lines}\r\n\r\n'.encode())


def misdirected_without_name(sock, request_id, number):
    refuse(sock, '421 Misdirected', f'{names.REQUEST_ID}: {request_id}')


def misdirected_with_own_name(sock, request_id, number):
    refuse(sock, '421 Misdirected', f'{names.UPSTREAM}: raw-1')


def not_run_0(sock, request_id, number):
    refuse(sock, '503 Unavailable', f'{names.NOT_RUN}: 0')


def contradicting_not_run(sock, request_id, number):
    lines = f'{names.NOT_RUN}: 1', f'{names.NOT_RUN}: 0'
    refuse(sock, '503 Unavailable', *lines)


def stale_421_and_own(sock, request_id, number):
    lines = f'{names.REQUEST_ID}: an-old-one', f'{names.UPSTREAM}: other'
    refuse(sock, '421 Misdirected', *lines)
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    return True


def late_503_and_own(sock, request_id, number):
    if number > 1:
        refuse(sock, '503 Unavailable', f'{names.NOT_RUN}: 1')
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    return True


def late_421_and_own(sock, request_id, number):
    if number > 1:
        refuse(sock, '421 Misdirected', f'{names.UPSTREAM}: other')
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    return True


SCRIPTS = {
    'bytes that are no HTTP response': no_http_response,
    'half of the body': send_half_of_body,
    'a close without a response': close_without_response,
    'a connection reset': reset_connection,
    'a connection reset a window later': delayed_reset,
    'a success without a seal': answer_without_seal_header,
    'a 503 without a not-run header': answer_503_without_not_run,
    'two Content-Length headers': two_content_lengths,
    'a Content-Length and chunks': length_and_chunks,
    'a malformed chunk': malformed_chunk,
    'a status 404': status_404,
    'a status 500': status_500,
    'a body that ends with the connection': body_until_close,
    'its answer and then a foreign one': answer_and_foreign_one,
    'its answer and a foreign one at once': answer_and_foreign_one_at_once,
    'a stale answer and then its own': stale_answer_and_own,
    'a refusal with a not-run header': refusal_with_not_run,
    'the name of another upstream': name_of_other_upstream,
    'a 421 that names no upstream': misdirected_without_name,
    'a 421 with the name of the upstream': misdirected_with_own_name,
    'a not-run header with the value 0': not_run_0,
    'not-run headers that contradict': contradicting_not_run,
    'a stale 421 and then its own answer': stale_421_and_own,
    'its answer, but first a 503 without an id': late_503_and_own,
    'its answer, but first a 421 without an id': late_421_and_own,
}


@given('the upstream answers with "{what}"')
def answers_with(context, what):
    context.script = SCRIPTS[what]


@then(
    'the status is {status:d}, and the upstream ran the request at most once'
)
def status_at_most_once(context, status):
    assert context.last.status == status, context.last
    assert len(context.raw_upstream.requests) == 1


@then('the request was run at least {count:d} times')
def run_at_least(context, count):
    runs = helpers.run_count(context, context.last.request_id)
    assert runs >= count, runs


@when('a caller posts "{text}" to "{path}" at the start of a usage window')
def posts_at_window_start(context, text, path):
    (router,) = context.fleet.routers
    now = router.fleet_state.fleet_clock.now()
    green.sleep_ms(USAGE_WINDOW_MS - now % USAGE_WINDOW_MS + 20)
    context.window = router.serving.usage.window_now()
    fleet_steps.post_text(context, text, path)


def started_by_window(context, team):
    (router,) = context.fleet.routers
    counts = router.serving.usage.counts()
    return {count.window: count.requests.get(team, 0) for count in counts}


@then('{count:d} requests of "{team}" are counted as started')
def counted_as_started(context, count, team):
    started = started_by_window(context, team)
    assert sum(started.values()) == count, started


@then(
    '{count:d} requests of "{team}" are counted as started, only in that'
    ' window'
)
def counted_in_window_only(context, count, team):
    started = started_by_window(context, team)
    assert started == {context.window: count}, (started, context.window)


@then('each caller receives the answer to its own request')
def check_own_answers(context):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.body == answer.request_id.encode(), answer
        assert answer.header(names.REQUEST_ID) == answer.request_id


@given('the upstream answers before it reads the body')
def answers_before_body(context):
    context.raw_upstream._reads_body = False
    received_late = context.received_late = []

    def send_early_response(sock, request_id, number):
        sock.sendall(raw_upstream.ok_response(request_id, b'early'))
        green.sleep_ms(300)
        with green.Timeout(1, False):
            while data := sock.recv(65536):
                received_late.append(data)
        return False

    context.script = send_early_response


@then('the upstream then receives only the rest of that body, or nothing')
def receives_rest_of_body(context):
    green.sleep_ms(600)
    assert set(b''.join(context.received_late)) <= set(b'x'), (
        context.received_late[:1]
    )


@given(
    'the upstream answers once on each connection, and closes it after a delay'
)
def closes_with_delay(context):
    def script(sock, request_id, number):
        sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
        green.sleep_ms(20)
        return False

    context.script = script


@when('{count:d} requests are sent one after the other')
def send_sequentially(context, count):
    context.answers = []
    for _ in range(count):
        context.answers.append(
            helpers.send_request(fleet_steps.router_address(context))
        )
        green.sleep_ms(60)


@then('each request is answered with its own answer')
def all_answered_with_own(context):
    check_own_answers(context)


@when('a request of {size:d} bytes is sent over a connection to the upstream')
def send_large_request(context, size):
    clock = clock_.SystemClock()
    context.conn = connection_.Connection(context.raw_upstream.address, clock)
    context.closing.append(context.conn.close)
    assert context.conn.connect(1000) is None
    lines = [('Host', 'a'), (names.REQUEST_ID, 'long')]
    deadline = clock.now() + 2000
    body = b'x' * size
    assert context.conn.send('POST', '/x', lines, body, deadline) is None
    context.head = context.conn.read_head('POST', deadline)
    context.body = context.conn.read_all(deadline, size)


@then('the answer is received, and the connection must not be reused')
def received_and_not_reused(context):
    assert (context.head.status, context.body) == (200, b'early')
    assert context.conn.is_clean()
    assert not context.conn.is_reusable()


@then('each request was sent over a new connection')
def each_new_connection(context):
    numbers = context.raw_upstream.numbers
    assert numbers == [1] * len(context.answers), numbers


@then('the request contained the name of the upstream')
def request_names_upstream(context):
    (head,) = context.raw_upstream.requests
    line = f'\r\n{names.EXPECT_UPSTREAM}: raw-1'.encode()
    assert head.lower().count(line.lower()) == 1, head


@given(
    'one of two upstreams of "{service}" loses its answers, and the other'
    ' refuses requests'
)
def one_upstream_loses_one_refuses(context, service):
    first, second = helpers.guests(context, service)
    first.upstream.app.faults = {'lose': 1.0}
    second.upstream.app.faults = {'refuse': 1.0}


@then('the requests that ran have the status 502, and all other requests 503')
def requests_that_ran_have_502(context):
    ran = [helpers.run_count(context, a.request_id) for a in context.answers]
    assert any(ran), ran
    for runs, answer in zip(ran, context.answers):
        assert answer.status == (502 if runs else 503), (runs, answer)


@then('all of these responses have a retry time')
def all_responses_have_retry_time(context):
    for answer in context.answers:
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer


@then(
    'in {count:d} random histories, every status is consistent with how often'
    ' the request ran'
)
def statuses_are_truthful(context, count):
    """Check the statuses that callers receive under random faults."""
    fleet = helpers.start_fleet(context, routers=2, services=3)
    draws = random.Random(5)
    kinds = ('refuse', 'error', 'lose', 'cut', 'garble', 'extra')
    for _ in range(count):
        for guest in helpers.guests(context, 'booking'):
            faults = {kind: draws.random() ** 3 for kind in kinds}
            guest.upstream.app.faults = faults
        paths = ['/holds/x', '/pages/x'] * 3
        tasks = [
            green.spawn(
                helpers.send_request,
                draws.choice(fleet.running_routers()).address,
                path,
                body=b'seat %d' % number,
            )
            for number, path in enumerate(paths)
        ]
        for number, (path, task) in enumerate(zip(paths, tasks)):
            check_status(context, path, task.wait(), number)


def check_status(context, path, answer, number):
    runs = helpers.run_count(context, answer.request_id)
    if path.startswith('/holds'):
        assert runs <= 1, (answer, runs)
    if answer.status in (408, 421, 429, 503):
        assert not runs, (answer, runs)
    if answer.status == 200:
        assert answer.body == b'done:seat %d' % number, answer
        assert answer.complete and answer.header(names.SEAL), answer

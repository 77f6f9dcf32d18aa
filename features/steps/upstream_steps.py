"""Steps of upstreams that answer oddly, and of what may run how often."""

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
"""Length of a usage window beside a scripted engine."""


@given('a fleet of {count:d} routers with one scripted upstream')
def scripted_fleet(context, count):
    fleet = helpers.start_fleet(context, routers=count, services=0)
    enter_scripted(context, fleet, shape_.SERVICE)


@given('a fleet of {count:d} routers with one scripted engine')
def scripted_engines(context, count):
    fleet = helpers.start_fleet(
        context,
        routers=count,
        engines=0,
        bounds={'usage_window_s': USAGE_WINDOW_MS / 1000},
    )
    enter_scripted(context, fleet, shape_.ENGINES)


def enter_scripted(context, fleet, service):
    context.script = raw_upstream.ok_response
    context.raw_upstream = raw_upstream.RawUpstream(
        lambda *args: context.script(*args)
    )
    context.closing.append(context.raw_upstream.stop)
    context.raw_upstream.register(fleet, service)
    fleet_steps.wait_until_known(context, 1, service)


def reset(sock):
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


def head_of(request_id, *lines, status='200 OK', seal=True):
    seals = [f'{names.SEAL}: raw.1'] if seal else []
    return (
        '\r\n'.join(
            [
                f'HTTP/1.1 {status}',
                f'{names.REQUEST_ID}: {request_id}',
                *seals,
                *lines,
            ]
        )
        + '\r\n\r\n'
    ).encode()


def no_answer(sock, request_id, number):
    sock.sendall(b'\x16\x03\x01 this is no answer\r\n\r\n')


def half_body(sock, request_id, number):
    sock.sendall(raw_upstream.ok_response(request_id, b'0123456789')[:-5])


def close_only(sock, request_id, number):
    pass


def reset_only(sock, request_id, number):
    reset(sock)


def late_reset(sock, request_id, number):
    green.sleep_ms(USAGE_WINDOW_MS)
    reset(sock)


def no_seal(sock, request_id, number):
    sock.sendall(head_of(request_id, 'Content-Length: 2', seal=False) + b'hi')


def bare_503(sock, request_id, number):
    status = '503 Service Unavailable'
    sock.sendall(head_of(request_id, 'Content-Length: 0', status=status))


def two_lengths(sock, request_id, number):
    lines = ('Content-Length: 2', 'Content-Length: 4')
    sock.sendall(head_of(request_id, *lines) + b'hihi')


def length_and_chunks(sock, request_id, number):
    lines = ('Content-Length: 2', 'Transfer-Encoding: chunked')
    sock.sendall(head_of(request_id, *lines) + b'2\r\nhi\r\n0\r\n\r\n')


def odd_chunk(sock, request_id, number):
    line = 'Transfer-Encoding: chunked'
    sock.sendall(head_of(request_id, line) + b'zz\r\nhi\r\n0\r\n\r\n')


def own_500(sock, request_id, number):
    status = '500 Internal Server Error'
    sock.sendall(head_of(request_id, 'Content-Length: 0', status=status))
    return True


def own_404(sock, request_id, number):
    status = '404 Not Found'
    sock.sendall(head_of(request_id, 'Content-Length: 0', status=status))
    return True


def until_close(sock, request_id, number):
    sock.sendall(head_of(request_id) + b'all of it')


def with_another(sock, request_id, number):
    extra = raw_upstream.ok_response('somebody-else', b'stolen')
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    green.sleep_ms(30)
    sock.sendall(extra)
    return True


def with_another_at_once(sock, request_id, number):
    extra = raw_upstream.ok_response('somebody-else', b'stolen')
    sock.sendall(
        raw_upstream.ok_response(request_id, request_id.encode(), extra)
    )
    return True


def old_one_first(sock, request_id, number):
    sock.sendall(raw_upstream.ok_response('an-old-one', b'stale'))
    sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
    return True


def says_not_run(sock, request_id, number):
    status = '503 Service Unavailable'
    lines = (f'{names.NOT_RUN}: 1', 'Content-Length: 0')
    sock.sendall(head_of(request_id, *lines, status=status, seal=False))
    return True


def another_name(sock, request_id, number):
    status = '421 Misdirected Request'
    lines = (f'{names.UPSTREAM}: other', 'Content-Length: 0')
    sock.sendall(head_of(request_id, *lines, status=status, seal=False))


SCRIPTS = {
    'bytes that are no answer': no_answer,
    'half of the body': half_body,
    'nothing and a close': close_only,
    'a reset': reset_only,
    'a reset a window later': late_reset,
    'a success without a seal': no_seal,
    'a 503 that does not say not run': bare_503,
    'two lengths': two_lengths,
    'a length and chunks': length_and_chunks,
    'an odd chunk': odd_chunk,
    'a 404 of its own': own_404,
    'a 500 of its own': own_500,
    'a body that ends with the connection': until_close,
    'its answer and another one': with_another,
    'its answer and another one at once': with_another_at_once,
    'an old answer and then its own': old_one_first,
    'a refusal that says not run': says_not_run,
    "another upstream's name": another_name,
}


@given('the upstream answers with "{what}"')
def answers_with(context, what):
    context.script = SCRIPTS[what]


@then('the status is {status:d} and the upstream ran it at most once')
def status_at_most_once(context, status):
    assert context.last.status == status, context.last
    assert len(context.raw_upstream.requests) == 1


@then('it was run {count:d} times or more')
def run_so_often(context, count):
    runs = helpers.run_count(context, context.last.request_id)
    assert runs >= count, runs


@when('a caller posts "{text}" to "{path}" early in a usage window')
def posts_early(context, text, path):
    (router,) = context.fleet.routers
    now = router.fleet_state.fleet_clock.now()
    green.sleep_ms(USAGE_WINDOW_MS - now % USAGE_WINDOW_MS + 20)
    context.window = router.serving.usage.window_now()
    fleet_steps.posts(context, text, path)


def begun_by_window(context, team):
    (router,) = context.fleet.routers
    counts = router.serving.usage.counts()
    return {count.window: count.requests.get(team, 0) for count in counts}


@then('{count:d} requests of "{team}" count as begun')
def count_as_begun(context, count, team):
    begun = begun_by_window(context, team)
    assert sum(begun.values()) == count, begun


@then('{count:d} requests of "{team}" count as begun in that window only')
def begun_in_window(context, count, team):
    begun = begun_by_window(context, team)
    assert begun == {context.window: count}, (begun, context.window)


@then('each got the answer to its own request')
def own_answers(context):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.body == answer.request_id.encode(), answer
        assert answer.header(names.REQUEST_ID) == answer.request_id


@given('the upstream answers before it has read the body')
def answers_early(context):
    context.raw_upstream._reads_body = False
    late = context.late = []

    def script(sock, request_id, number):
        sock.sendall(raw_upstream.ok_response(request_id, b'early'))
        green.sleep_ms(300)
        with green.Timeout(1, False):
            while data := sock.recv(65536):
                late.append(data)
        return False

    context.script = script


@then('what the upstream reads on is the rest of that body or nothing')
def rest_of_body(context):
    green.sleep_ms(600)
    assert set(b''.join(context.late)) <= set(b'x'), context.late[:1]


@given('the upstream answers once on each connection and closes it late')
def closes_late(context):
    def script(sock, request_id, number):
        sock.sendall(raw_upstream.ok_response(request_id, request_id.encode()))
        green.sleep_ms(20)
        return False

    context.script = script


@when('{count:d} requests are sent one after the other')
def one_after_other(context, count):
    context.answers = []
    for _ in range(count):
        context.answers.append(
            helpers.send_request(fleet_steps.router_address(context))
        )
        green.sleep_ms(60)


@then('all of them got the answer to their own request')
def all_own(context):
    own_answers(context)


@when('{size:d} bytes are sent over a connection to it')
def sent_over(context, size):
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


@then('the answer is there and the connection is not kept')
def there_not_kept(context):
    assert (context.head.status, context.body) == (200, b'early')
    assert context.conn.is_clean()
    assert not context.conn.is_reusable()


@then('each came on a connection of its own')
def each_own_connection(context):
    numbers = context.raw_upstream.numbers
    assert numbers == [1] * len(context.answers), numbers


@then("the upstream's own name was in it")
def names_it(context):
    (head,) = context.raw_upstream.requests
    line = f'\r\n{names.EXPECT_UPSTREAM}: raw-1'.encode()
    assert head.lower().count(line.lower()) == 1, head


@given('of two upstreams of "{service}" one loses its answers and one refuses')
def one_loses_one_refuses(context, service):
    first, second = helpers.guests(context, service)
    first.upstream.app.faults = {'lose': 1.0}
    second.upstream.app.faults = {'refuse': 1.0}


@then('those that ran have the status 502 and the others 503')
def ran_502(context):
    ran = [helpers.run_count(context, a.request_id) for a in context.answers]
    assert any(ran), ran
    for runs, answer in zip(ran, context.answers):
        assert answer.status == (502 if runs else 503), (runs, answer)


@then('all of them are told when to come back')
def told_when(context):
    for answer in context.answers:
        assert float(answer.header(names.RETRY_AFTER)) > 0, answer


@then('in {count:d} random histories every status is true')
def random_histories(context, count):
    """Random faults; what callers are told must fit what was run."""
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
                draws.choice(fleet.serving()).address,
                path,
                body=b'seat %d' % number,
            )
            for number, path in enumerate(paths)
        ]
        for number, (path, task) in enumerate(zip(paths, tasks)):
            check_one(context, path, task.wait(), number)


def check_one(context, path, answer, number):
    runs = helpers.run_count(context, answer.request_id)
    if path.startswith('/holds'):
        assert runs <= 1, (answer, runs)
    if answer.status in (408, 421, 429, 503):
        assert not runs, (answer, runs)
    if answer.status == 200:
        assert answer.body == b'done:seat %d' % number, answer
        assert answer.complete and answer.header(names.SEAL), answer

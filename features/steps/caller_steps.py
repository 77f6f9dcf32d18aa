"""Steps for callers of the platform's API and for malformed requests."""

from __future__ import annotations

import socket

import fleet_steps
import helpers
import task_steps

from behave import given
from behave import then
from behave import when

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.wire import connection as connection_


def record_environs(context):
    """Record the WSGI environments of all requests at the upstreams."""
    context.environs = []
    for guest in context.fleet.instances:
        app = guest.upstream.app
        run = app._run

        def record(request_id, environ, body, start, run=run):
            context.environs.append(environ)
            return run(request_id, environ, body, start)

        app._run = record


@when('a caller sends "{text}" to the target "{target}"')
def send_to_target(context, text, target):
    record_environs(context)
    context.last = helpers.send_request(
        fleet_steps.router_address(context), target, body=text.encode()
    )


@then(
    'the status is {status:d} and the body is "{text}" with the upstream\'s '
    'seal'
)
def has_status_body_and_seal(context, status, text):
    answer = context.last
    assert answer.status == status, answer
    assert answer.body == text.encode(), answer
    assert answer.header(names.SEAL).startswith('service-'), answer
    assert answer.header(names.REQUEST_ID) == answer.request_id, answer


@then('the upstream receives the target "{target}"')
def upstream_receives_target(context, target):
    found = context.environs[-1]['peridotmast.target']
    assert found == target, found


@when('a caller sends each router a number of {digits:d} digits in "{header}"')
def send_long_number(context, digits, header):
    number = '9' * digits
    value = {
        'X-Token-Counts': f'{number},1',
        'X-Prefix-Hash': f'a:{number},b:1',
    }.get(header, number)
    context.answers = [
        helpers.send_request(
            router.address, '/chat/x', headers=[(header, value)], deadline_ms=0
        )
        for router in context.fleet.routers
    ]


@then(
    'each router refuses it with {status:d} and the reason tokens_out_of_range'
)
def each_refuses(context, status):
    for answer in context.answers:
        assert answer.status == status, answer
        assert answer.body == b'tokens_out_of_range', answer


@then('each router answers it with {status:d}')
def each_answers(context, status):
    assert {a.status for a in context.answers} == {status}, context.answers


@then('each router goes on to send beacons without an error')
def beacons_go_on(context):
    sent = [router.beacons.sent for router in context.fleet.routers]
    # Two rounds: the first one may already be under way.
    green.sleep_ms(2 * context.fleet.routers[0].cfg.beacon_ms + 100)
    for router, before in zip(context.fleet.routers, sent):
        assert router.beacons.sent > before, router.cfg.name
        assert not task_steps.error_count(router), router.cfg.name


@when('a caller sends these headers')
def send_headers(context):
    record_environs(context)
    context.sent = [(row['name'], row['value']) for row in context.table]
    context.last = helpers.send_request(
        fleet_steps.router_address(context), headers=context.sent
    )


@then('the upstream receives the team "{team}" but not the API key')
def upstream_receives_team(context, team):
    headers = dict(context.environs[-1]['headers_raw'])
    assert headers[names.TEAM] == team, headers
    assert names.AUTHORIZATION not in headers, headers


@then(
    'the upstream receives "{name}" as "{value}" and none of the other headers'
)
def upstream_receives_one_header(context, name, value):
    headers = context.environs[-1]['headers_raw']
    assert (name, value) in headers, headers
    for other, text in context.sent:
        if other not in (name, 'Connection'):
            assert (other, text) not in headers, (other, headers)


@when('a caller sends a request with a deadline of {ms:d} ms')
def send_with_deadline(context, ms):
    record_environs(context)
    context.last = helpers.send_request(
        fleet_steps.router_address(context), deadline_ms=ms
    )


@then(
    'the upstream receives a deadline of at most {most:d} ms and more than '
    '{least:d} ms'
)
def upstream_receives_deadline(context, most, least):
    left = int(dict(context.environs[-1]['headers_raw'])[names.DEADLINE_MS])
    assert least < left <= most, left


@then('{count:d} requests for "{path}" reach both services')
def requests_reach_both_services(context, count, path):
    for _ in range(count):
        assert (
            helpers.send_request(
                fleet_steps.router_address(context), path
            ).status
            == 200
        )
    for service in (shape_.PLAIN_SERVICE, 'other'):
        requests = [
            arrival
            for guest in helpers.guests(context, service)
            for arrival in guest.upstream.app.arrivals
        ]
        assert len(requests) > count // 5, (service, len(requests))


@when('a caller requests "{path}" over a persistent connection')
def request_over_persistent_connection(context, path):
    context.conn = connection_.Connection(
        fleet_steps.router_address(context), clock_.SystemClock()
    )
    assert context.conn.connect(1000) is None
    first = helpers.send_request('', path, conn=context.conn)
    assert first.status == 200, first


@when('the API key of the team is removed')
def remove_key(context):
    config = context.fleet.shape.config.replace('keys = key-noor\n', '')
    context.fleet.write_config(config)


@then('the persistent connection gets {status:d} within {ms:d} ms')
def persistent_connection_gets(context, status, ms):
    def refused():
        return helpers.send_request('', conn=context.conn).status == status

    helpers.wait_until(refused, f'{status} on the persistent connection', ms)
    context.conn.close()


@when('a caller requests "{path}" from that router')
def request_from_that_router(context, path):
    context.last = helpers.send_request(context.router.address, path)


@when('a caller sends two requests without an id or a deadline')
def send_without_id_and_deadline(context):
    raw = (
        f'POST /holds/x HTTP/1.1\r\nHost: {shape_.HOST}\r\n'
        f'{names.AUTHORIZATION}: {helpers.KEY}\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()
    data = helpers.raw_exchange(
        fleet_steps.router_address(context), raw * 2, 800
    )
    context.last = helpers.Answer('')
    context.last.status = 200 if data.count(b' 200 OK') == 2 else 0


@when('these raw bytes are sent to a router')
def send_raw_bytes(context):
    text = context.text.replace('~', '\r\n')
    # Table cells are stripped, so the request has no trailing blanks.
    context.raw = helpers.raw_exchange(
        fleet_steps.router_address(context), text.rstrip(' ').encode()
    )


@then('the raw response starts with "{text}" and the connection is closed')
def raw_response_starts(context, text):
    assert context.raw.startswith(text.encode()), context.raw[:200]
    assert context.raw.count(b'HTTP/1.1') == 1, context.raw


@then('the raw response ends with "{text}"')
def raw_response_ends(context, text):
    assert context.raw.endswith(text.encode()), context.raw


@when('a caller sends a header of {size:d} bytes')
def send_header(context, size):
    context.last = helpers.send_request(
        fleet_steps.router_address(context), headers=[('X-Large', 'x' * size)]
    )


@when('a caller sends that router a body of {size:d} bytes')
def send_body_to_that_router(context, size):
    context.last = helpers.send_request(
        context.router.address, body=b'x' * size
    )


@when('a caller sends that router a header of {size:d} bytes')
def send_header_to_that_router(context, size):
    context.last = helpers.send_request(
        context.router.address, headers=[('X-Large', 'x' * size)]
    )


@when('a caller sends a body of {size:d} bytes')
def send_body(context, size):
    context.last = helpers.send_request(
        fleet_steps.router_address(context), body=b'x' * size
    )


@when('a caller posts {size:d} bytes to "{path}"')
def post_bytes(context, size, path):
    context.last = helpers.send_request(
        fleet_steps.router_address(context), path, body=b'x' * size
    )


HEAD = (
    f'POST /holds/x HTTP/1.1\r\nHost: {shape_.HOST}\r\n'
    f'{names.REQUEST_ID}: raw-1\r\n{names.AUTHORIZATION}: {helpers.KEY}\r\n'
)


@when('a caller sends the body "{text}" in chunks of {size:d} bytes')
def send_chunked(context, text, size):
    parts = [text[at : at + size] for at in range(0, len(text), size)]
    chunks = ''.join(f'{len(part):x}\r\n{part}\r\n' for part in parts)
    raw = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n'
    context.raw = helpers.raw_exchange(
        fleet_steps.router_address(context), raw.encode(), 500
    )


@when('a caller sends half of its body and closes the connection')
def send_half_body_and_close(context):
    sock = helpers.raw_connect(fleet_steps.router_address(context))
    sock.sendall(f'{HEAD}Content-Length: 100\r\n\r\nhalf'.encode())
    green.sleep_ms(50)
    sock.close()


@when('a caller sends half of its body and half-closes the connection')
def send_half_body_and_half_close(context):
    sock = helpers.raw_connect(fleet_steps.router_address(context))
    sock.sendall(f'{HEAD}Content-Length: 100\r\n\r\nhalf'.encode())
    sock.shutdown(socket.SHUT_WR)
    context.raw = helpers.read_rest(sock)


@given('a header timeout of {ms:d} ms')
def header_timeout(context, ms):
    config = context.fleet.shape.config.replace(
        '[limits]', f'[limits]\nheader_timeout_ms = {ms}'
    )
    fleet_steps.change_config(context, config)


@when('a caller sends headers that never end')
def send_endless_headers(context):
    sock = helpers.raw_connect(fleet_steps.router_address(context))
    sock.sendall(b'POST /holds/x HTTP/1.1\r\nHost: a\r\n')

    def send_header_lines():
        for _ in range(20):
            green.sleep_ms(50)
            try:
                sock.sendall(b'X-A: b\r\n')
            except OSError:
                return

    green.spawn(send_header_lines)
    context.raw = helpers.read_rest(sock)


@when('a caller sends a body that looks like a request')
def send_body_with_request(context):
    inner = f'{HEAD}Content-Length: 0\r\n\r\n'.replace('raw-1', 'hidden')
    raw = f'{HEAD}Content-Length: {len(inner)}\r\n\r\n{inner}'
    context.raw = helpers.raw_exchange(
        fleet_steps.router_address(context), raw.encode(), 500
    )


@then('exactly one request was run')
def exactly_one_request_run(context):
    runs = [
        request_id
        for guest in context.fleet.instances
        for request_id in guest.upstream.app.runs
    ]
    assert runs == ['raw-1'], runs
    assert context.raw.count(b' 200 OK') == 1, context.raw


@when(
    'a caller sends a body in {count:d} chunks with extensions of'
    ' {extension:d} bytes and {trailers:d} trailers of {size:d} bytes'
)
def send_extensions(context, count, extension, trailers, size):
    head = (
        'POST /holds/x HTTP/1.1',
        f'Host: {shape_.HOST}',
        f'Authorization: {helpers.KEY}',
        'Transfer-Encoding: chunked',
        'Connection: close',
    )
    chunk = '1' + (';' + 'x' * (extension - 1) if extension else '')
    trailer = 'a: '.ljust(size - 2, 'x')
    lines = [*head, '', *[chunk, 'a'] * count, '0', *[trailer] * trailers]
    context.raw = helpers.raw_exchange(
        fleet_steps.router_address(context),
        '\r\n'.join([*lines, '', '']).encode(),
    )


@when(
    'a caller with a deadline of {deadline_ms:d} ms sends a byte of its body'
    ' every {pause_ms:d} ms'
)
def trickle(context, deadline_ms, pause_ms):
    head = (
        'POST /holds/x HTTP/1.1',
        f'Host: {shape_.HOST}',
        f'Authorization: {helpers.KEY}',
        f'{names.DEADLINE_MS}: {deadline_ms}',
        'Content-Length: 60',
    )
    sock = helpers.raw_connect(fleet_steps.router_address(context))
    sock.sendall('\r\n'.join((*head, '', '')).encode())

    def send():
        for _ in range(60):
            sock.sendall(b'a')
            green.sleep_ms(pause_ms)

    task = green.spawn(send)
    context.raw = helpers.read_rest(sock, 5000)
    task.kill()

"""Steps for answers that have no body by the rules of HTTP."""

from __future__ import annotations

import itertools

from behave import given
from behave import then
from behave import when
import h11
import helpers
import hypothesis
from hypothesis import strategies

from peridotmast.embedded import shape as shape_
from peridotmast.platform import names
from peridotmast.wire import server as server_
from peridotmast.wire import strict_protocol

SEED = 65
READ_MS = 2000
BODY = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'
BODYLESS = (204, 304)


@given('a server whose applications answer with a body always')
def start_server(context):
    def app(environ, start):
        environ[strict_protocol.CONNECTION].read_body(1000, READ_MS)
        _, status, form = environ['PATH_INFO'].split('/')
        return FORMS[form](f'{status} Status', start)

    context.server = server_.HttpServer('127.0.0.1:0', app)
    context.server.start()
    context.closing.append(context.server.stop)


def answer_with_list(status, start):
    start(status, [])
    return [BODY]


def answer_with_length(status, start):
    start(status, [('Content-Length', str(len(BODY)))])
    return iter([BODY])


def answer_in_chunks(status, start):
    start(status, [])
    return iter([BODY, BODY])


def answer_late(status, start):
    start(status, [])
    yield BODY


FORMS = {
    'list': answer_with_list,
    'length': answer_with_length,
    'chunks': answer_in_chunks,
    'late': answer_late,
}
REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('GET', 'HEAD', 'POST', 'OPTIONS')),
        strategies.sampled_from((200, 204, 304, 401, 404, 503)),
        strategies.sampled_from(tuple(FORMS)),
    ),
    min_size=1,
    max_size=6,
)


@then(
    'in {count:d} random series of pipelined requests each answer is whole,'
    ' and has a body only where HTTP has one'
)
def check_series(context, count):
    @hypothesis.settings(max_examples=count, deadline=None, database=None)
    @hypothesis.seed(SEED)
    @hypothesis.given(REQUESTS)
    def check(requests):
        answers = exchange(
            context.server.address,
            [
                (method, f'/{status}/{form}')
                for method, status, form in requests
            ],
        )
        for (method, status, _), (found, body) in itertools.zip_longest(
            requests, answers
        ):
            assert found == status, (requests, answers)
            has_body = method != 'HEAD' and status not in BODYLESS
            assert bool(body) == has_body, (requests, answers)

    check()


def exchange(address, requests, key='key-noor'):
    """Send requests at once; return status and body of each answer."""
    sock = helpers.raw_connect(address)
    headers = [
        ('Host', shape_.HOST),
        (names.AUTHORIZATION, f'{names.KEY_SCHEME}{key}'),
    ]
    conns = []
    for method, target in requests:
        conn = h11.Connection(h11.CLIENT)
        request = h11.Request(method=method, target=target, headers=headers)
        sock.sendall(conn.send(request) + conn.send(h11.EndOfMessage()))
        conns.append(conn)
    sock.settimeout(READ_MS / 1000)
    left, answers = b'', []
    try:
        for conn in conns:
            answer, left = read_answer(sock, conn, left)
            answers.append(answer)
    finally:
        sock.close()
    assert not left, left
    return answers


def read_answer(sock, conn, data):
    """Return status and body of an answer, and what follows it."""
    status, body = 0, b''
    if data:
        conn.receive_data(data)
    while not isinstance(event := conn.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            conn.receive_data(sock.recv(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
    return (status, body), conn.trailing_data[0]


@when(
    'a caller sends HEAD {target} with the key "{key}" and GET {same} to its'
    ' server "{server}", on one connection'
)
def send_head(context, target, key, same, server):
    router = context.fleet.routers[0]
    servers = router._http_servers
    address = {
        'address': router.address,
        'chat_address': servers.chat.address,
        'directory_address': servers.auxiliary['directory'].address,
        'ready_address': servers.auxiliary['ready'].address,
    }[server]
    context.answers = exchange(address, [('HEAD', target), ('GET', same)], key)


@then(
    'both answers are read by a strict parser, with the status {status:d}, and'
    ' only the second one has a body'
)
def check_head(context, status):
    assert [found for found, _ in context.answers] == [status] * 2
    head, get = (body for _, body in context.answers)
    assert not head and get, context.answers

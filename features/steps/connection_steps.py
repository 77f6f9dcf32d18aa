"""Steps for the connections of a server."""

from __future__ import annotations

import errno
import os
import socket

from behave import given
from behave import then
from behave import when
from eventlet.green import socket as green_socket
from eventlet import hubs
import helpers

from peridotmast import green
from peridotmast.wire import answer_parts
from peridotmast.wire import server as server_
from peridotmast.wire import strict_protocol

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
PART = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc'
WAIT_MS = 1000


@given('a server for {count:d} connections whose requests take {work_ms:d} ms')
def start_server(context, count, work_ms):
    context.runs = []

    def app(environ, start):
        conn = environ[strict_protocol.CONNECTION]
        context.runs.append(conn.read_body(100, 60_000))
        if environ['PATH_INFO'] == '/stream':
            environ['eventlet.minimum_write_chunk_size'] = 1
            start('200 OK', [])
            return answer_parts.AnswerParts(events(), conn.account)
        green.sleep_ms(work_ms)
        start('200 OK', [('Content-Length', '0')])
        return [b'']

    context.server = server_.HttpServer(
        '127.0.0.1:0', app, max_connections=count
    )
    context.server.start()
    context.closing.append(context.server.stop)


def events():
    """Yield parts of a stream: too few to fill the kernel's buffers soon."""
    for _ in range(1000):
        green.sleep_ms(20)
        yield b'a' * 200


def connect(context, count, data=b''):
    context.clients = []
    for _ in range(count):
        sock = helpers.raw_connect(context.server.address)
        sock.sendall(data)
        context.clients.append(sock)
        # The server must see them one after the other.
        green.sleep_ms(20)
    context.closing += [sock.close for sock in context.clients]


@when('{count:d} clients connect, and one after the other sends a request')
def connect_and_ask(context, count):
    connect(context, count)
    for sock in context.clients:
        sock.sendall(REQUEST)
        assert sock.recv(1000).startswith(b'HTTP/1.1 200')


@when('{count:d} clients ask for streams, and the first one does not read')
def ask_for_streams(context, count):
    context.clients, context.readers = [], []
    for number in range(count):
        sock = green_socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        host, port = context.server.address.rsplit(':', 1)
        sock.connect((host, int(port)))
        sock.sendall(REQUEST.replace(b'GET /', b'GET /stream'))
        context.clients.append(sock)
        context.closing.append(sock.close)
        if number:
            context.readers.append(green.spawn(read_stream, sock))


def read_stream(sock):
    """Read less at once than arrives meanwhile."""
    while sock.recv(1500):
        green.sleep_ms(100)


@when('other clients send requests until one is answered')
def send_until_answered(context):
    def is_answered():
        raw = helpers.raw_exchange(context.server.address, REQUEST, WAIT_MS)
        return raw.startswith(b'HTTP/1.1 200')

    helpers.wait_until(is_answered, 'an answer')


@when('{count:d} clients send a part of a body')
def send_parts(context, count):
    connect(context, count, PART)


@when('{count:d} clients send a request that runs')
def send_requests(context, count):
    connect(context, count, REQUEST)


@when('another client sends a request')
def send_another(context):
    context.raw = helpers.raw_exchange(
        context.server.address, REQUEST, WAIT_MS
    )


@when('accept fails {times:d} times with {error}')
def fail_accept(context, times, error):
    real = context.server._sock.accept
    code = getattr(errno, error)
    left = [times]

    def accept():
        if left[0]:
            left[0] -= 1
            raise OSError(code, os.strerror(code))
        return real()

    context.server._sock.accept = accept
    # The call that already waits is not affected.
    helpers.raw_connect(context.server.address).close()
    helpers.wait_until(lambda: not left[0], 'errors of accept')


@then('it is answered with {status:d}')
def check_status(context, status):
    assert context.raw.startswith(b'HTTP/1.1 %d' % status), context.raw


@then('it is answered with {status:d} and a retry time')
def check_refused(context, status):
    check_status(context, status)
    assert b'\r\nRetry-After: 1\r\n' in context.raw, context.raw


@then('only the first of the clients is disconnected')
def check_first(context):
    closed = [is_closed(sock) for sock in context.clients]
    assert closed == [True] + [False] * (len(closed) - 1), closed


def is_closed(sock):
    with green.Timeout(0.1, False):
        return not sock.recv(1000)
    return False


@then('only the first of the streams has ended')
def check_first_stream(context):
    for reader in context.readers:
        reader.kill()
    ended = [has_ended(sock) for sock in context.clients]
    assert ended == [True] + [False] * (len(ended) - 1), ended


def has_ended(sock):
    """Return whether a connection is closed, past what has arrived."""
    try:
        while sock.fd.recv(65536, socket.MSG_DONTWAIT):
            pass
    except BlockingIOError:
        return False
    except ConnectionResetError:
        pass
    return True


@then('all {count:d} clients are answered with {status:d}')
def check_all(context, count, status):
    answers = [sock.recv(1000) for sock in context.clients]
    assert len(answers) == count
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 %d' % status), answers


BEFORE = {
    'a part of a head': b'POST / HTT',
    'a part of a body': PART[:-3],
}


@when(
    'a client has sent {before}, and the rest as its connection is closed for'
    ' others'
)
def close_while_sending(context, before):
    first = BEFORE[before]
    connect(context, 1, first)
    # It has arrived, but the task of the connection has not read it yet.
    context.clients[0].fd.send((PART + b'defghij')[len(first) :])
    context.server.connections.close_some()
    green.sleep_ms(100)


@then('nothing has run')
def check_no_runs(context):
    assert not context.runs, context.runs


@given('a router with the chat API that may use {count:d} descriptors')
def start_router(context, count):
    helpers.start_fleet(
        context, routers=1, engines=0, machine={'descriptors': count}
    )


@then('its servers together may have at most {count:d} connections')
def check_total(context, count):
    servers = context.fleet.routers[0]._http_servers._by_name()
    limits = {
        name: server.connections.max_connections
        for name, server in servers.items()
    }
    assert 'chat' in limits and sum(limits.values()) <= count, limits


@when('a request whose connection is watched runs, and {end}')
def end_watched_request(context, end):
    context.watched = []

    def app(environ, start):
        conn = environ[strict_protocol.CONNECTION]
        conn.watch_for_close()
        context.watched.append(conn.fileno())
        green.sleep_ms(100)
        raise ValueError('injected')

    server = server_.HttpServer('127.0.0.1:0', app)
    server.start()
    context.closing.append(server.stop)
    sock = helpers.raw_connect(server.address)
    context.closing.append(sock.close)
    sock.sendall(REQUEST)
    helpers.wait_until(lambda: context.watched, 'a request that runs')
    assert context.watched[0] in hubs.get_hub().listeners[hubs.hub.READ]
    if end == 'its server stops':
        server.stop()
    green.sleep_ms(200)


@then('the descriptor of its connection is not watched')
def check_not_watched(context):
    listeners = hubs.get_hub().listeners[hubs.hub.READ]
    assert context.watched[0] not in listeners, listeners


@then(
    'its connections to upstreams and peers take in at most {most:d} bytes'
    ' that it has not read'
)
def check_receive_buffers(context, most):
    router = context.fleet.routers[0]
    pools = (router.serving.pool, router.serving.peers._pool)
    for pool in pools:
        conn = pool.acquire(router.address)
        sock = conn._sock
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) <= most
        conn.close()

"""Steps for upstreams whose responses have no end."""

from __future__ import annotations

import re
import socket
import threading
import time
from unittest import mock

import answer_end_steps
from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import raw_upstream
import upstream_steps

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import oracle
from peridotmast.platform import names
from peridotmast.serving import health as health_
from peridotmast.serving import stream as stream_
from peridotmast.standin import endless
from peridotmast.wire import connection as connection_
from peridotmast.wire import event_reader
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import stream_hold
from peridotmast.wire import socket_reader

FLOOD_S = 3
"""Time after which the upstream gives up, so that a router that would read
without end fails the scenario instead of blocking it."""
LIMIT_MS = 700
MARGIN_MS = 800
"""Time after the limit in which a caller must have its answer. It allows for
a machine that other work keeps busy, and is well below `FLOOD_S`."""
MAX_PAUSE_MS = 600
"""Longest time in which the router's loop may run nothing else."""
MAX_BODY_BYTES = 2_000_000
"""Longest part of a broken body that may reach the caller."""


class EndlessUpstream:
    """Sends responses without end, from threads of the operating system.

    A green thread would never run while the router's thread does not yield.
    """

    register = raw_upstream.RawUpstream.register

    def __init__(self, context, service, count):
        self.kind, self.status, self.lines = '', '200 OK', ()
        self.requests = self.closed = 0
        self._sock = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._sock.getsockname()[1]
        context.closing.append(self._sock.close)
        threading.Thread(target=self._accept, daemon=True).start()
        self.register(context.fleet, service)
        fleet_steps.wait_until_known(context, count, service)

    def _accept(self):
        while True:
            try:
                args = self._sock.accept()[:1]
            except OSError:
                return
            threading.Thread(target=self._serve, args=args).start()

    def _serve(self, sock):
        head = sock.recv(65536)
        name = names.REQUEST_ID.encode()
        match = re.search(name + rb': ([^\r]+)', head, re.I)
        if match is None:
            return sock.close()
        self.requests += 1
        ends_at = time.monotonic() + FLOOD_S
        answer = upstream_steps.make_head(
            match[1].decode(), *self.lines, status=self.status
        )
        try:
            for piece in endless.pieces(self.kind, answer[:-2]):
                sock.sendall(piece)
                if time.monotonic() > ends_at:
                    break
        except OSError:
            self.closed += 1
        sock.close()


def service_of(path):
    is_engine = path == '/once'
    return shape_.ENGINE_SERVICE if is_engine else shape_.PLAIN_SERVICE


@given('a fleet of one router with an endless upstream for "{path}"')
def endless_fleet(context, path):
    unused = 'engines' if path == '/once' else 'services'
    helpers.start_fleet(context, routers=1, **{unused: 0})
    context.endless = EndlessUpstream(context, service_of(path), 1)


@when('"{path}" is answered by "{what}" without end')
def answered_without_end(context, path, what, limit_ms=LIMIT_MS):
    context.endless.kind = what
    context.pause_ms = 0
    watch, began = green.spawn(watch_loop, context), time.monotonic()
    context.received = answer_end_steps.ask(
        context, f'{path}/x', deadline_ms=limit_ms
    )
    context.took_ms = (time.monotonic() - began) * 1000
    watch.kill()


def watch_loop(context):
    """Measure the longest time in which the loop ran no other task."""
    while True:
        began = time.monotonic()
        green.sleep_ms(10)
        pause_ms = (time.monotonic() - began) * 1000
        context.pause_ms = max(context.pause_ms, pause_ms)


@when('"{path}" is refused as not run with "{what}" without end')
def refused_without_end(context, path, what):
    context.endless.status = '503 Busy'
    context.endless.lines = (f'{names.NOT_RUN}: 1',)
    answered_without_end(context, path, what)


@then(
    'the caller gets "{results}" in time, and the loop of the router kept'
    ' running'
)
def gets_in_time(context, results):
    received = context.received
    assert received.result in results.split(' or '), received.result
    assert context.took_ms < LIMIT_MS + MARGIN_MS, context.took_ms
    assert context.pause_ms < MAX_PAUSE_MS, context.pause_ms
    assert len(received.body) < MAX_BODY_BYTES, len(received.body)


@then('the caller gets "{result}" within {ms:d} ms')
def gets_within(context, result, ms):
    assert context.received.result == result, context.received.result
    assert context.took_ms < ms, context.took_ms


@then('the connection is closed, and the upstream counts as having failed')
def closed_and_failed(context):
    helpers.wait_until(lambda: context.endless.closed, 'it is closed', 1500)
    (router,) = context.fleet.routers
    view = router.upstream_table.get('raw-1')
    assert view.health.failure_share() > 0
    assert context.endless.requests == 1, context.endless.requests


def answers_by(context, path, kind):
    """Yield answers until one request was sent to the endless upstream."""
    (router,) = context.fleet.routers
    view = router.upstream_table.get('raw-1')
    view.health = health_.Health(clock_.SystemClock())
    asked = context.endless.requests
    while context.endless.requests == asked:
        answered_without_end(context, path, kind, 4000)
        yield context.received


@then('each idempotent request is answered whole, whatever has no end')
def each_answered_whole(context):
    context.endless = EndlessUpstream(context, shape_.PLAIN_SERVICE, 3)
    for kind in (*endless.HEADS, *endless.BODIES):
        for answer in answers_by(context, '/pages', kind):
            assert answer.body == b'done:letter', (kind, answer)


@then('a stream goes on at another engine, whatever has no end after an event')
def stream_goes_on(context):
    context.endless = EndlessUpstream(context, shape_.ENGINE_SERVICE, 2)
    end = answer_end_steps.Ending('chunks', 'the last event', 'orderly')
    context.endings.extend([end] * 99)
    (router,) = context.fleet.routers
    for kind in (kind for kind in endless.STREAMS if 'after' in kind):
        for _ in range(9):
            # The endless upstream is chosen first.
            router.upstream_table.get('raw-0').health.record_error()
        for answer in answers_by(context, '/chat', kind):
            assert answer.result in ('complete', 'until close'), kind
            ids = re.findall(rb'(?m)^id: (\d+)$', answer.body)
            assert ids == [b'1', b'2', b'3'], (kind, ids)


@then('an event of {size:d} bytes in pieces of {piece:d} bytes is read whole')
def event_read_whole(context, size, piece):
    reader = event_reader.EventReader()
    event = b'id: 7\ndata: ' + b'x' * (size - 14) + b'\n\n'
    began, found = time.process_time(), b''
    for start in range(0, size, piece):
        found += reader.feed(event[start : start + piece])
    assert found == event and not reader.is_endless
    assert time.process_time() - began < 2


@then('repeated events count as progress, unless they are repeated again')
def repeated_events(context):
    events = [b'id: %d\ndata: %s\n\n' % (n, b'x' * 9000) for n in range(400)]
    reader = event_reader.EventReader()
    reader.feed(b''.join(events))
    reader.restart()
    assert not any(reader.feed(e) or reader.is_endless for e in events)
    assert not any(reader.feed(events[0]) for _ in events)
    assert reader.is_endless


@then(
    'an event whose id has {count:d} digits is returned as one without an id'
)
def long_event_id(context, count):
    # Python refuses to convert so many digits to a number.
    reader = event_reader.EventReader()
    event = b'id: %s\ndata: x\n\n' % (b'1' * count)
    assert reader.feed(event) == event
    assert reader.has_event and reader.last_id == -1


@then(
    '{size:d} bytes of comments in pieces of {piece:d} bytes are received in'
    ' little time'
)
def comments_received(context, size, piece):
    # Each piece must not copy all bytes that wait for the first event.
    budget = memory_budget.MemoryBudget(
        clock_.SystemClock(), events_.OverloadEvents()
    )
    exchange = mock.Mock(position=-1)
    hold = stream_hold.StreamHold(budget.open())
    exchange.caller.begin_hold = lambda: hold
    stream = stream_.Stream(
        exchange,
        mock.Mock(),
        mock.Mock(),
        clock_.SystemClock(),
    )
    comment = b': ' + b'x' * (piece - 4) + b'\n\n'
    began = time.process_time()
    for _ in range(size // piece):
        assert stream.feed(comment) is None
    assert time.process_time() - began < 2
    assert stream.take_pending() == comment * (size // piece)


@then('a response that arrived before a pause of the router is read whole')
def late_response(context):
    clock = clock_.SystemClock()
    body = b'40\r\n' + b'x' * 64 + b'\r\n'
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = '127.0.0.1:%d' % server.getsockname()[1]
        conn = connection_.Connection(address, clock)
        assert conn.connect(1000) is None
        sock, _ = server.accept()
        with sock:
            deadline = clock.now() + 50
            assert conn.send('GET', '/', [], b'', deadline) is None
            sock.sendall(head + body * 800 + b'0\r\n\r\n')
            time.sleep(0.1)
            assert conn.read_head('GET', deadline).status == 200
            assert len(conn.read_all(deadline, 1 << 20)) == 800 * 64
    conn.close()


@then('a soak counts a response without end that is read {ms:d} ms too long')
def soak_counts(context, ms):
    def count(ended_at, now):
        response = endless.EndlessResponse('headers', 'r1', 1000, ended_at)
        return oracle.count_not_ended([response], now)

    assert count(1000 + ms, 99_000) == count(0, 1000 + ms) == 1
    assert count(900, 99_000) == count(0, 1500) == 0


class BusyLoop:
    """Clock and socket of a reader whose bytes never end.

    Other tasks take `turn_ms` whenever it has used up a turn.
    """

    def __init__(self, turn_ms):
        self.ms = 0
        self._turn_ms = turn_ms

    def now(self):
        self.ms += self._turn_ms
        return self.ms

    def recv(self, size):
        return b'1\r\nx\r\n' * (size // 6)


@then(
    'a response without end is read for at most {late:d} ms after its'
    ' deadline, with turns of {turn:d} ms'
)
def read_after_deadline(context, late, turn):
    loop = BusyLoop(turn)
    reader = socket_reader.SocketReader(loop, loop)
    reader.deadline = 400
    try:
        while True:
            reader.line_bytes_left = 1 << 20
            reader.readline()
    except TimeoutError:
        assert loop.ms <= reader.deadline + late, loop.ms

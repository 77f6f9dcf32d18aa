"""Steps for answers of upstreams that are no answers in HTTP."""

from __future__ import annotations

import itertools
import json
import socket
import time

import answer_end_steps
from behave import given
from behave import then
from behave import when
import helpers
import raw_upstream
import upstream_steps

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast.embedded import upstream_cut
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import engine_control
from peridotmast.platform import names
from peridotmast.serving import health as health_
from peridotmast.wire import http_client

EVENT = b'id: 1\ndata: {"text": "w"}\n\n'
BODY = b'the whole answer'
OK = b'HTTP/1.1 200 OK'
MAX_READ_S = 0.5
EARLY_MS = 1500
"""Time for which an upstream waits that reads no more, in ms."""

BAD_LINES = (
    *(b'X%sBad: 1' % byte for byte in (
        b' ', b'\t', b'\x00', b'\x01', b'\x0b', b'\x0c', b'\x1c', b'\x7f',
        b'\x85', b'\xe9', b'\r', b'(', b'@', b'/', b'"',
    )),
    b'X-Bad : 1',
    b'X-Bad\t: 1',
    b' X-Bad: 1',
    b'X-Bad',
    b'From x y',
    b': 1',
    b'[X-Bad]: 1',
    b'X-Bad: \x001',
    b'X-Bad: a\x0bb',
    b'X-Bad: a\x1bb',
    b'X-Bad: a\x7fb',
    b'X-Bad: a\rContent-Length: 3',
    b'X-Bad: a\nContent-Length: 3',
)  # fmt: skip
"""Lines in a head that are no fields. Some can be read as two."""


BAD_STATUS_LINES = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 0 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 -200 OK',
    b'HTTP/1.1 +200 OK',
    b'HTTP/1.1 2_00 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 1000 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 200OK',
    b'HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0 OK',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1\t200 OK',
    b'HTTP/1.1 \t200 OK',
    b' HTTP/1.1 200 OK',
    b'HTTP/1.1 200\tOK',
    b'HTTP/0.9 200 OK',
    b'HTTP/1.x 200 OK',
    b'HTTP/2.0 200 OK',
    b'HTTP/9.9 200 OK',
    b'http/1.1 200 OK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\x0bK',
    b'HTTP/1.1 200 O\x1bK',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/1.1 200 O\rK',
    # Nobody has asked for another protocol.
    b'HTTP/1.1 101 Switching Protocols',
)


def chunked(*chunks):
    parts = [b'%x\r\n%s\r\n' % (len(c), c) for c in chunks if c]
    return b''.join(parts) + b'0\r\n\r\n'


FRAMINGS = {
    'length': lambda body: ([b'Content-Length: %d' % len(body)], body),
    'chunks': lambda body: (
        [b'Transfer-Encoding: chunked'],
        chunked(body),
    ),
    'connection': lambda body: ([], body),
}
"""By the framing: its fields, and the body as it is sent."""

BAD_CHUNKS = {
    'a sign': b'+10\r\n' + BODY + b'\r\n0\r\n\r\n',
    'a negative size': b'-10\r\n' + BODY + b'\r\n0\r\n\r\n',
    'a prefix': b'0x10\r\n' + BODY + b'\r\n0\r\n\r\n',
    'an underscore': b'1_0\r\n' + BODY + b'\r\n0\r\n\r\n',
    'a blank before a size': b' 10\r\n' + BODY + b'\r\n0\r\n\r\n',
    'no size': b'\r\n' + BODY + b'\r\n0\r\n\r\n',
    'a bare line feed': b'10\n' + BODY + b'\r\n0\r\n\r\n',
    'a bare CR in an extension': b'10;a\rb\r\n' + BODY + b'\r\n0\r\n\r\n',
    'bytes in place of a line end': b'10\r\n' + BODY + b'xx0\r\n\r\n',
    'a chunk that is longer': b'e\r\n' + BODY + b'0\r\n\r\n',
    'a trailer without a colon': b'10\r\n' + BODY + b'\r\n0\r\nX\r\n\r\n',
    'a blank in a trailer': b'10\r\n' + BODY + b'\r\n0\r\nX Y: 1\r\n\r\n',
    'a control byte': b'10\r\n' + BODY + b'\r\n0\r\nX: \x00\r\n\r\n',
}
"""Chunks and trailers that are none."""


class Scripted:
    """Sends answers of which `lines` and `body` are given.

    Lines may hold ``{id}`` for the id of the request.
    """

    def __init__(self):
        self.lines, self.body, self.before = (), b'', b''
        self.end = lambda sock: None
        self.upstream = raw_upstream.RawUpstream(self._answer)

    def _answer(self, sock, request_id, number):
        head = b'\r\n'.join(self.lines) + b'\r\n\r\n'
        head = head.replace(b'{id}', request_id.encode())
        sock.sendall(self.before + head + self.body)
        self.end(sock)
        return False


def own_lines(is_stream=False):
    """Return the fields of an answer, except for its framing."""
    kind = b'text/event-stream' if is_stream else b'text/plain'
    return [
        b'%s: {id}' % names.REQUEST_ID.encode(),
        b'%s: raw.1' % names.SEAL.encode(),
        b'Content-Type: %s' % kind,
    ]


@given('a fleet of {count:d} routers, and upstreams with scripted answers')
def start_scripted(context, count):
    helpers.start_fleet(context, routers=count, engines=0, services=1)
    for guest in helpers.guests(context):
        context.fleet.kill_upstream(guest)
    context.scripted = {
        service: Scripted()
        for service in (shape_.PLAIN_SERVICE, shape_.ENGINE_SERVICE)
    }
    for service, scripted in context.scripted.items():
        context.closing.append(scripted.upstream.stop)
        scripted.upstream.register(context.fleet, service, f'raw-{service}')
    for router in context.fleet.routers:
        helpers.wait_until(
            lambda t=router.upstream_table: all(
                [view.name for view in t.live(service)] == [f'raw-{service}']
                for service in context.scripted
            ),
            'entries',
        )
    if count > 1:
        cut = upstream_cut.UpstreamCut(context.fleet.routers[0])
        context.closing.append(cut.close)
        addresses = [s.upstream.address for s in context.scripted.values()]
        cut.begin(upstream_cut.CutMode.REFUSED, addresses)


def is_streaming(way):
    return way.startswith('streams')


def ask(context, way, lines, body, before=b''):
    """Send a request whose answer is scripted; return what is received."""
    is_stream = is_streaming(way)
    service = shape_.ENGINE_SERVICE if is_stream else shape_.PLAIN_SERVICE
    scripted = context.scripted[service]
    scripted.lines, scripted.body, scripted.before = lines, body, before
    for router in context.fleet.routers:
        # Earlier answers must not keep requests from the upstream.
        view = router.upstream_table.get(f'raw-{service}')
        view.health = health_.Health(clock_.SystemClock())
    asked = len(scripted.upstream.requests)
    received = answer_end_steps.ask(
        context,
        '/once/x' if is_stream else '/holds/x',
        body=b'body %d' % next(_numbers),
    )
    assert len(scripted.upstream.requests) == asked + 1, received
    return received


_numbers = itertools.count()


def try_all(context, way, answers):
    """Record what callers receive for each of `answers`."""
    context.broken = [
        ((lines, body), ask(context, way, lines, body, before))
        for lines, body, before in answers
    ]


@when(
    '{way} are answered with each line that is no field, at each place, with'
    ' each framing'
)
def answer_with_bad_lines(context, way):
    is_stream = is_streaming(way)
    content = EVENT if is_stream else BODY
    answers = []
    for bad, framing in itertools.product(BAD_LINES, FRAMINGS):
        framed_by, body = FRAMINGS[framing](content)
        fields = [*own_lines(is_stream), *framed_by]
        for place in (0, 2, len(fields)):
            lines = [OK, *fields[:place], bad, *fields[place:]]
            answers.append((lines, body, b''))
    try_all(context, way, answers)


@when(
    '{way} are answered with an interim head that has a line that is no field'
)
def answer_with_bad_interim(context, way):
    is_stream = is_streaming(way)
    framed_by, body = FRAMINGS['length'](EVENT if is_stream else BODY)
    lines = [OK, *own_lines(is_stream), *framed_by]
    starts = (b'HTTP/1.1 100 Continue\r\n', b'HTTP/1.1 103 Early\r\nA: b\r\n')
    try_all(
        context,
        way,
        [
            (lines, body, start + bad + b'\r\n\r\n')
            for start, bad in itertools.product(starts, BAD_LINES)
        ],
    )


@when(
    '{way} are answered with each status line that is none, with each framing'
)
def answer_with_status_lines(context, way):
    answers = []
    for line, framed in itertools.product(BAD_STATUS_LINES, FRAMINGS.values()):
        framed_by, body = framed(BODY)
        answers.append(([line, *own_lines(), *framed_by], body, b''))
    # It may be taken for that of an interim head.
    framed_by, body = FRAMINGS['length'](BODY)
    lines = [OK, *own_lines(), *framed_by]
    answers += [(lines, body, s + b'\r\n\r\n') for s in BAD_STATUS_LINES]
    try_all(context, way, answers)


@when('requests are answered with chunks and trailers that are none')
def answer_with_bad_chunks(context):
    lines = [OK, *own_lines(), b'Transfer-Encoding: chunked']
    answers = [(lines, body, b'') for body in BAD_CHUNKS.values()]
    try_all(context, 'requests', answers)


@then('no caller gets a success, and each gets a 502')
def check_none_succeeds(context):
    wrong = [
        (sent, received)
        for sent, received in context.broken
        if received.status != 502
    ]
    total = len(context.broken)
    assert not wrong, f'{len(wrong)} of {total}: {wrong[:3]}'


def sound_answers():
    """Yield lines, body as sent, and body as meant, of sound answers."""
    token = b"!#$%&'*+.^_`|~0123456789-abcXYZ"
    length = b'Content-Length: %d' % len(BODY)
    for line in (
        token + b': 1',
        b'X' * 4096 + b': 1',
        b'X-Empty:',
        b'X-Blank:   ',
        b'X-Tab:\ta\tb\t',
        b'X-Latin: \xe9\xff',
        b'X-Utf: \xe2\x82\xac',
        b'X-Long: ' + b'a' * 50_000,
        b'X-Inner: ' + b' ' * 5000 + b'a',
        length,
    ):
        yield [OK, *own_lines(), length, line], BODY, BODY
    many = [b'X-%d: %d' % (n, n) for n in range(86)]
    yield [OK, *own_lines(), length, *many], BODY, BODY
    for status in (
        b'HTTP/1.1 200',
        b'HTTP/1.1 200 ',
        b'HTTP/1.1 200 \xe9\t.',
        b'HTTP/1.0 200 OK',
    ):
        yield [status, *own_lines(), length], BODY, BODY
        yield [status, *own_lines()], BODY, BODY
    chunks = b'Transfer-Encoding: Chunked'
    for body in (
        chunked(BODY[:3], BODY[3:]),
        b'00000000000000010\r\n' + BODY + b'\r\n000\r\n\r\n',
        b'10;a=b;c="d"\r\n' + BODY + b'\r\n0;e\r\n\r\n',
        b'10 ; a\r\n' + BODY + b'\r\n0\r\n\r\n',
        b'10\r\n' + BODY + b'\r\n0\r\nX-Sum: 1\r\nX-More: \r\n\r\n',
    ):
        yield [OK, *own_lines(), chunks], body, BODY
    for interim in (
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
    ):
        yield [interim + OK, *own_lines(), length], BODY, BODY


@then('{way} get each sound answer of unusual form whole')
def check_sound(context, way):
    wrong = []
    for lines, sent, meant in sound_answers():
        received = ask(context, way, lines, sent)
        is_whole = received.result in ('complete', 'until close')
        if not is_whole or received.body != meant:
            wrong.append((lines, received))
    assert not wrong, f'{len(wrong)}: {wrong[:3]}'


@given('an upstream whose answers are scripted')
def start_scripted_upstream(context):
    context.upstream = Scripted()
    context.closing.append(context.upstream.upstream.stop)


def call(context, lines, body):
    context.upstream.lines, context.upstream.body = lines, body
    client = http_client.HttpClient()
    address = context.upstream.upstream.address
    found = client.request('POST', address, '/x', {'a': 1})
    client.close()
    return found


@then(
    'a call fails whatever broken answer it gets, and succeeds with each sound'
    ' one'
)
def check_calls(context):
    passed = []
    for bad, framed in itertools.product(BAD_LINES, FRAMINGS.values()):
        framed_by, body = framed(b'{}')
        found = call(context, [OK, *framed_by, bad, b'A: b'], body)
        if not isinstance(found, failures.Failure):
            passed.append((bad, found))
    for body in BAD_CHUNKS.values():
        found = call(context, [OK, b'Transfer-Encoding: chunked'], body)
        if not isinstance(found, failures.Failure):
            passed.append((body, found))
    assert not passed, f'{len(passed)}: {passed[:3]}'
    for lines, sent, meant in sound_answers():
        found = call(context, lines, sent)
        assert isinstance(found, http_client.Response), (lines, found)
        assert found.body == meant, (lines, found)


@then(
    'a field of {count:d} blanks and its line without an end are read in'
    ' little time'
)
def check_blanks(context, count):
    context.upstream = Scripted()
    context.closing.append(context.upstream.upstream.stop)
    blanks = b' ' * count
    for bad in (b'A:' + blanks + b'\x00', b'A:b' + blanks + b'c'):
        began = time.process_time()
        call(context, [OK, b'Content-Length: 2', bad], b'{}')
        assert time.process_time() - began < MAX_READ_S, bad[:9]


def reset(sock):
    upstream_steps.set_reset_on_close(sock)


def end_and_wait(sock):
    """End the answer, and let the router close the connection."""
    sock.shutdown(socket.SHUT_WR)
    green.sleep_ms(EARLY_MS)


def end_and_read(sock):
    sock.shutdown(socket.SHUT_WR)
    while sock.recv(65536):
        pass


def end_and_reset(sock, pause_ms=0):
    sock.shutdown(socket.SHUT_WR)
    if pause_ms:
        green.sleep_ms(pause_ms)
    reset(sock)


EARLY_ENDS = {
    'a reset': reset,
    'a close': lambda sock: None,
    'its end': end_and_wait,
    'its end, and the request is read on': end_and_read,
    'its end and a reset': end_and_reset,
    'its end and a close': lambda sock: sock.shutdown(socket.SHUT_WR),
    'its end and a reset 30 ms later': lambda sock: end_and_reset(sock, 30),
}
"""How an answer ends whose request has not been read. Unread bytes make a
close a reset."""


@when(
    'a request with a body of {size:d} bytes is answered early, up to {end},'
    ' with {framing}'
)
def answer_early(context, size, end, framing):
    scripted = context.scripted[shape_.PLAIN_SERVICE]
    is_whole = end.split(',')[0] == 'its end'
    framed_by, body = FRAMINGS[framing](BODY)
    scripted.lines = [OK, *own_lines(), *framed_by]
    scripted.body = body if is_whole else body[: len(body) // 2]
    scripted.end = EARLY_ENDS[end]
    scripted.upstream._reads_body = False
    context.received = answer_end_steps.ask(
        context, '/holds/x', body=b'x' * size
    )
    assert scripted.upstream.requests


@then('the caller gets no whole answer')
def check_no_whole(context):
    assert context.received.status in (0, 502), context.received


@then('the caller gets the whole answer')
def check_whole(context):
    assert context.received.status == 200, context.received
    assert context.received.body == BODY, context.received


CALLS = {
    'report': lambda control, address: control.remaining_ms(address, 0),
    'move': lambda control, address: control.move(address, 'r-1', 'a:1'),
}


@then(
    'a {name} fails if its answer has {many:d} bytes, by each framing, and'
    ' succeeds if it has {few:d}'
)
def check_long_answers(context, name, many, few):
    control = engine_control.EngineControl(2000, 2000)
    address = context.upstream.upstream.address
    for size, framed in itertools.product((many, few), FRAMINGS.values()):
        fields = {names.HANDLE: 'h', 'padding': 'x' * size}
        framed_by, context.upstream.body = framed(json.dumps(fields).encode())
        context.upstream.lines = [OK, *framed_by]
        found = CALLS[name](control, address)
        has_failed = isinstance(found, failures.Failure)
        assert has_failed == (size == many), (size, framed_by, found)

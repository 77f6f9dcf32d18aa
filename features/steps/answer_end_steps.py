"""Steps for answers that end in each way, whole or broken off."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import re

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import raw_upstream
import upstream_steps

from peridotmast.client import caller
from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import oracle
from peridotmast.platform import names
from peridotmast.wire import http_client
from peridotmast.wire import socket_reader

EVENTS = [b'id: %d\ndata: {"text": "w%d "}\n\n' % (n, n) for n in (1, 2, 3)]
SILENCE_MS = 400
"""Time limit of requests whose engine goes silent, in ms."""

STREAM_ENDS = {
    'before the first event': b'',
    'inside the first event': EVENTS[0][:9],
    'after an event': EVENTS[0],
    'inside an event': EVENTS[0] + EVENTS[1][:9],
    'before the last line': b''.join(EVENTS)[:-1],
    'the last event': b''.join(EVENTS),
}
"""Bytes of the stream that are sent until it ends."""

HEAD = 'HTTP/1.1 404 Not Found\r\n{id}: {value}\r\n'.format(
    id=names.REQUEST_ID, value='{}'
)
CHUNKED = HEAD + 'Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n'
CUTS = {
    'inside the status line': 'HTTP/1.1 404 Not',
    'inside the headers': HEAD + 'Content-Le',
    'inside an interim response': 'HTTP/1.1 100 Continue\r\nDate: now\r\n',
    'before the blank line': HEAD + 'Content-Length: 0\r\n',
    'inside the size of a chunk': CHUNKED + '0',
    'inside the trailer': CHUNKED + '0\r\nExp',
    'before the end of the trailer': CHUNKED + '0\r\n',
}
"""Beginnings of answers, after which their connection is closed."""


@dataclasses.dataclass(frozen=True)
class Ending:
    """How a scripted engine ends a stream."""

    framing: str
    until: str
    end: str

    def play(self, sock, request_id, last_event=0):
        """Send the part of a stream that follows an event; then end it."""
        skipped = sum(map(len, EVENTS[:last_event]))
        body = STREAM_ENDS[self.until][skipped:]
        lines = {
            'length': [f'Content-Length: {sum(map(len, EVENTS)) - skipped}'],
            'chunks': ['Transfer-Encoding: chunked'],
            'connection': [],
        }[self.framing]
        lines += ['Content-Type: text/event-stream', 'Connection: close']
        sock.sendall(upstream_steps.make_head(request_id, *lines))
        is_chunked = self.framing == 'chunks'
        if body:
            size = b'%x\r\n' % len(body) if is_chunked else b''
            sock.sendall(size + body + (b'\r\n' if is_chunked else b''))
        if self.end == 'orderly' and is_chunked:
            sock.sendall(b'0\r\n\r\n')
        if self.end in ('reset', 'silence'):
            # What was sent must arrive first.
            green.sleep_ms(60 if self.end == 'reset' else 3 * SILENCE_MS)
        if self.end == 'reset':
            upstream_steps.set_reset_on_close(sock)


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller received until its connection ended."""

    status: int
    body: bytes
    result: str


def ask(
    context,
    path,
    version='1.1',
    body=b'letter',
    deadline_ms=4000,
    tokens=10,
    lines='',
    request_id='',
):
    """Send a request; tell a reset from an orderly close.

    It may have `tokens` of output, and further header `lines`.
    """
    sender = helpers.raw_connect(fleet_steps.router_address(context))
    text = (
        f'POST {path} HTTP/{version}\r\nHost: {shape_.HOST}\r\n'
        f'{names.REQUEST_ID}: {request_id or f"end-{next(_numbers)}"}\r\n'
        f'{names.AUTHORIZATION}: {helpers.KEY}\r\nConnection: close\r\n'
        f'{names.DEADLINE_MS}: {deadline_ms}\r\n'
        f'{names.TOKEN_COUNTS}: 10,{tokens}\r\n{lines}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    sender.sendall(text.encode() + body)
    sock = sender.fd
    clock = clock_.SystemClock()
    reader = socket_reader.SocketReader(sock, clock)
    reader.deadline = clock.now() + helpers.LONG_MS
    data, was_reset = b'', False
    try:
        while part := reader.read1(65536):
            data += part
    except ConnectionResetError:
        was_reset = True
    green.poller.unregister(sock.fileno())
    sock.close()
    return received(data, was_reset)


_numbers = itertools.count(1)


def received(data, was_reset):
    head, _, body = data.partition(b'\r\n\r\n')
    status = int(head.split(b' ')[1]) if head else 0
    if status != 200:
        return Received(status, body, str(status) if status else 'broken')
    length = re.search(rb'(?i)\r\ncontent-length: (\d+)', head)
    if length:
        is_whole = len(body) == int(length[1])
        return Received(200, body, 'complete' if is_whole else 'broken')
    if re.search(rb'(?i)\r\ntransfer-encoding: chunked', head):
        body, is_whole = read_chunks(body)
        is_whole = is_whole and not was_reset
        return Received(200, body, 'complete' if is_whole else 'broken')
    return Received(200, body, 'broken' if was_reset else 'until close')


def read_chunks(body):
    """Return the content of chunks, and whether the last chunk is there."""
    content = b''
    while match := re.match(rb'([0-9a-f]+)\r\n', body):
        size, start = int(match[1], 16), match.end()
        if not size:
            return content, body[start:] == b'\r\n'
        content += body[start : start + size]
        body = body[start + size + 2 :]
    return content, False


@then(
    'streams that may not be resumed end as follows at callers of HTTP/1.1'
    ' and HTTP/1.0'
)
def streams_end(context):
    context.results = []
    wrong = []
    for number, row in enumerate(context.table):
        ending = Ending(row['framing'], row['until'], row['end'])
        context.script = lambda sock, request_id, _: ending.play(
            sock, request_id
        )
        for version in ('1.1', '1.0'):
            answer = ask(
                context,
                '/once/x',
                version,
                f'letter {number} {version}'.encode(),
                SILENCE_MS if ending.end == 'silence' else 4000,
            )
            context.results.append((ending, answer))
            if answer.result != row[version]:
                wrong.append((ending, version, answer.result))
    assert not wrong, '\n'.join(map(str, wrong))


@then('what was not broken off is passed on byte by byte')
def passed_on_whole(context):
    for ending, answer in context.results:
        if answer.result in ('complete', 'until close'):
            assert answer.body == b''.join(EVENTS), (ending, answer)


@given('a fleet of {count:d} routers with {engines:d} scripted engines')
def scripted_engine_fleet(context, count, engines):
    fleet = helpers.start_fleet(context, routers=count, engines=0)
    context.endings = collections.deque()
    for number in range(engines):
        engine = _EndingEngine(context.endings)
        context.closing.append(engine.upstream.stop)
        engine.upstream.register(fleet, shape_.ENGINE_SERVICE, f'raw-{number}')
    fleet_steps.wait_until_known(context, engines, shape_.ENGINE_SERVICE)


class _EndingEngine:
    """An engine that ends each stream in the next of the given ways."""

    def __init__(self, endings):
        self._endings = endings
        self.upstream = raw_upstream.RawUpstream(self._answer)

    def _answer(self, sock, request_id, number):
        head = self.upstream.requests[-1].decode()
        found = re.search(rf'(?i)\r\n{names.LAST_EVENT}: (\d+)', head)
        if self._endings:
            ending = self._endings.popleft()
            ending.play(sock, request_id, int(found[1]) if found else 0)
        return False


@then('streams that may be resumed end as follows')
def resumed_streams_end(context):
    context.results, wrong = [], []
    for number, row in enumerate(context.table):
        endings = [
            Ending(*cell.split(', ')) for cell in row.cells[:-1] if cell
        ]
        context.endings.extend(endings)
        answer = ask(context, '/chat/x', body=f'letter {number}'.encode())
        context.results.append((endings, answer))
        if answer.result != row['result'] or context.endings:
            wrong.append((number, answer.result, list(context.endings)))
        context.endings.clear()
    assert not wrong, '\n'.join(map(str, wrong))


@then('each of them holds each event once')
def holds_each_event_once(context):
    for endings, answer in context.results:
        assert answer.body == b''.join(EVENTS), (endings, answer)


@then('answers that are cut as follows are no answers')
def cut_answers(context):
    statuses = {}
    for row in context.table:
        cut = row['cut']

        def script(sock, request_id, number):
            sock.sendall(CUTS[cut].format(request_id).encode())
            return False

        context.script = script
        statuses[cut] = ask(context, '/holds/seat').status
    assert set(statuses.values()) == {502}, statuses


@then('a call whose answer has neither a length nor a body has failed')
def call_without_body(context):
    context.script = lambda sock, request_id, number: sock.sendall(
        upstream_steps.make_head('call-1')
    )
    client = http_client.HttpClient()
    found = client.request('GET', context.raw_upstream.address, '/x')
    client.close()
    assert isinstance(found, failures.Failure), found


@then('chats end as follows')
def chats_end(context):
    (router,) = context.fleet.routers
    results = []
    for row in context.table:
        context.endings.clear()
        context.endings.extend(
            Ending(*cell.split(', ')) for cell in row.cells[:-1]
        )
        answer = caller.Caller([router.chat_address], 'key-noor').chat(
            oracle.MODEL, row['first attempt'], 3, deadline_ms=3000
        )
        first = answer.attempts[0]
        results.append('error' if first.error_reported else 'done')
        assert answer.text == 'w1 w2 w3 ' or not answer.complete, answer
    assert results == [row['result'] for row in context.table], results


@then('an answer of a service that ends with its connection has no length')
def service_without_length(context):
    upstream = raw_upstream.RawUpstream(upstream_steps.body_until_close)
    context.closing.append(upstream.stop)
    upstream.register(context.fleet, shape_.PLAIN_SERVICE, 'raw-9')
    fleet_steps.wait_until_known(context, 3, shape_.PLAIN_SERVICE)
    answer = next(
        answer
        for answer in iter(lambda: call_hold(context), None)
        if upstream.requests
    )
    assert (answer.status, answer.body) == (200, b'all of it'), answer
    names_sent = {name.lower() for name, _ in answer.headers}
    framed_by = {'content-length', 'transfer-encoding'} & names_sent
    assert not framed_by, answer.headers


def call_hold(context):
    (router,) = context.fleet.routers
    return http_client.HttpClient().request(
        'POST',
        router.chat_address,
        '/v1/services/booking/hold',
        {'payload': 'x', 'idempotent': False},
        {names.AUTHORIZATION: helpers.KEY},
    )


@when('a stream ends inside an event')
def stream_ends_inside_event(context):
    ending = Ending('connection', 'inside an event', 'close')
    context.script = lambda sock, request_id, _: ending.play(sock, request_id)
    ask(context, '/once/x')


@then('its request is suspected of a crash')
def request_is_suspected(context):
    (router,) = context.fleet.routers
    (suspect,) = router.serving.crashes.updates_for_peers()
    assert len(suspect.crashes) == 1, suspect


@when(
    'a router stops in the middle of a "{framing}" stream to a caller of'
    ' HTTP/{version}'
)
def stop_in_stream(context, framing, version):
    (router,) = context.fleet.routers
    ending = Ending(framing, 'after an event', 'silence')
    context.script = lambda sock, request_id, _: ending.play(sock, request_id)
    green.spawn_after_ms(SILENCE_MS, router.stop)
    context.received = ask(context, '/once/x', version)


@then('the answer is broken')
def answer_is_broken(context):
    assert context.received.status == 200, context.received
    assert context.received.result == 'broken', context.received

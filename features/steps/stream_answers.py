"""Answers of scripted engines to requests that take a stream up."""

from __future__ import annotations

import dataclasses

import upstream_steps

LAST = 12
"""Id of the last event of each stream."""
BROKEN_AFTER = 4
"""Id of the last event before a stream breaks off."""
OUTPUT_TOKENS = 24
"""Maximum length of a stream: two tokens for each event."""

STREAM_TYPE = 'Content-Type: text/event-stream'
ERROR_STATUSES = (
    301, 307, 400, 401, 403, 404, 408, 409, 410, 412, 413, 416, 418, 421,
    422, 425, 429, 431, 499, 500, 501, 502, 503, 504, 599,
)  # fmt: skip
COMMENT = b': gone\n\n'
ERROR_TEXT = b'upstream request failed: engine is gone\n\n'
ERROR_EVENT = b'data: {"error": "engine is gone"}\n\n'
ERROR_HEAD = (
    b'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 14\r\n\r\nengine is gone'
)


def event(number):
    return b'id: %d\ndata: {"text": "w%d "}\n\n' % (number, number)


def events(first, last=LAST):
    return b''.join(map(event, range(first, last + 1)))


@dataclasses.dataclass(frozen=True)
class Answer:
    """The bytes of one answer."""

    name: str
    status: str
    body: bytes
    lines: tuple[str, ...] = ()
    framing: str = 'length'

    def send(self, sock, request_id, last_event):
        head = {
            'length': [f'Content-Length: {len(self.body)}'],
            'chunks': ['Transfer-Encoding: chunked'],
            'connection': ['Connection: close'],
            'none': [],
        }[self.framing]
        sock.sendall(
            upstream_steps.make_head(
                request_id, *head, *self.lines, status=self.status
            )
        )
        sock.sendall(frame(self.body, self.framing))


def frame(body, framing):
    if framing != 'chunks':
        return body
    return (b'%x\r\n%b\r\n' % (len(body), body) if body else b'') + (
        b'0\r\n\r\n'
    )


def error_answers():
    """Yield each status, empty or with a body, in each framing."""
    for status in ERROR_STATUSES:
        bodies = (
            ('empty', b'', 'length', 'text/plain'),
            ('empty chunks', b'', 'chunks', 'text/event-stream'),
            ('a text', ERROR_TEXT, 'length', 'text/plain'),
            ('an event', ERROR_EVENT, 'chunks', 'text/event-stream'),
            ('the next event', event(5), 'length', 'text/event-stream'),
            ('a text until close', ERROR_TEXT, 'connection', 'text/plain'),
        )
        for what, body, framing, type_ in bodies:
            yield Answer(
                f'{status}, {what}',
                f'{status} Error',
                body,
                (f'Content-Type: {type_}',),
                framing,
            )
    for status in ('204 No Content', '304 Not Modified'):
        yield Answer(status, status, b'', (), 'none')


def no_streams():
    """Yield successful answers that go on with no stream."""
    bodies = (
        ('JSON', b'{"error": "engine is gone"}\n\n', 'application/json'),
        ('JSON of lines', b'{\n"error": "gone"\n}\n\n', 'application/json'),
        ('HTML', b'<html><body>gone</body></html>\n\n', 'text/html'),
        ('a text', ERROR_TEXT, 'text/plain'),
        ('a word', b'unavailable\n\n', 'text/event-stream'),
        ('a text as events', ERROR_TEXT, 'text/event-stream'),
        ('JSON as events', b'{"error": "gone"}\n\n', 'text/event-stream'),
        ('a line like a field', b'Error: gone\n\n', 'text/event-stream'),
        ('an event without an id', ERROR_EVENT, 'text/event-stream'),
        ('a head', ERROR_HEAD + b'\n\n', 'text/event-stream'),
        ('a page of events', event(5), 'text/html'),
        ('nothing', b'', 'text/event-stream'),
        ('comments', COMMENT, 'text/event-stream'),
        ('old events', events(1, 4), 'text/event-stream'),
        ('events that skip', events(8), 'text/event-stream'),
    )
    for what, body, type_ in bodies:
        for framing in ('length', 'chunks', 'connection'):
            yield Answer(
                f'200, {what}, {framing}',
                '200 OK',
                body,
                (f'Content-Type: {type_}',),
                framing,
            )
    yield Answer(
        '200, encoded',
        '200 OK',
        event(5),
        (STREAM_TYPE, 'Content-Encoding: gzip'),
    )
    yield Answer('206', '206 Partial Content', b'', (STREAM_TYPE,))


class BrokenHead(Answer):
    """Bytes that are no head of an answer, and a text."""

    def send(self, sock, request_id, last_event):
        sock.sendall(self.body)


class Unsealed(Answer):
    """A success without the seal of an upstream."""

    def send(self, sock, request_id, last_event):
        lines = (STREAM_TYPE, f'Content-Length: {len(self.body)}')
        sock.sendall(
            upstream_steps.make_head(request_id, *lines, seal=False)
            + self.body
        )


def broken_answers():
    """Yield answers whose heads are none, or not of an upstream."""
    yield Unsealed('no seal', '', event(5))
    yield BrokenHead('no head', '', ERROR_TEXT)
    yield BrokenHead('odd status', '', b'HTTP/1.1 2_00 OK\r\n\r\n' + event(5))
    yield BrokenHead('no field', '', b'HTTP/1.1 200 OK\r\nx y\r\n\r\n')
    yield BrokenHead('half a head', '', b'HTTP/1.1 200 OK\r\nDate: n')


ALL = [*error_answers(), *no_streams(), *broken_answers()]
OWN_ENDS = tuple(
    f'200, {what}, {framing}'
    for what in ('nothing', 'comments', 'old events')
    for framing in ('length', 'chunks')
)
FIRST = [
    answer
    for answer in ALL
    if answer.name not in OWN_ENDS
    and not answer.name.startswith(('200, a page', '200, encoded'))
    and not answer.name.startswith('200, events that')
]
"""Answers for the first attempt of a request that takes a stream up. The
others are whole answers of an engine's own, whatever they lack."""
EARLY = [
    answer
    for answer in ALL
    if not answer.name.startswith(('200, events that', '200, old'))
    and not answer.name.startswith('200, an event without')
]
"""Answers before the first event, where the ids of a stream are unknown."""
FEW = [
    answer
    for answer in ALL
    if answer.name.startswith(('404', '500', '204', '200, ', 'no seal'))
]
"""Answers for the places of which one play takes long."""


@dataclasses.dataclass(frozen=True)
class Sound:
    """A stream of an unusual form, from the event after the last one."""

    name: str
    form: str
    lines: tuple[str, ...] = (STREAM_TYPE,)
    framing: str = 'chunks'
    repeats: int = 0

    def event(self, number):
        text = self.form.format(n=number)
        return text.encode()

    def body(self, first, last=LAST):
        return b''.join(map(self.event, range(first, last + 1)))

    def send(self, sock, request_id, last_event):
        first = max(1, last_event + 1 - self.repeats)
        Answer(
            self.name, '200 OK', self.body(first), self.lines, self.framing
        ).send(sock, request_id, last_event)


PLAIN = 'id: {n}\ndata: {{"text": "w{n} "}}\n\n'
SOUND = [
    Sound('plain', PLAIN),
    Sound('a length', PLAIN, framing='length'),
    Sound('no type', PLAIN, ()),
    Sound('a charset', PLAIN, ('content-type: Text/Event-Stream;charset=x',)),
    Sound('CR LF', 'id: {n}\r\ndata: {{"text": "w{n} "}}\r\n\r\n'),
    Sound('no blanks', 'id:{n}\ndata:{{"text": "w{n} "}}\n\n'),
    Sound('comments', ': ping\n\n:\nid: {n}\n: x\ndata: w{n}\n\n\n'),
    Sound('all fields', 'event: t\nretry: 50\nid: {n}\ndata: w{n}\n\n'),
    Sound('retry alone', 'retry: 50\n\nid: {n}\ndata: w{n}\n\n'),
    Sound('lines of data', 'id: {n}\ndata: a\ndata\ndata:\ndata: w{n}\n\n'),
    Sound('a version', 'x-weight-versions: 7\nid: {n}\ndata: w{n}\n\n'),
    Sound('an unknown field', 'id: {n}\nshard: 3\ndata: w{n}\n\n'),
    Sound('a head as data', 'id: {n}\ndata: HTTP/1.1 500 No w{n}\n\n'),
    Sound('an error as data', 'id: {n}\ndata: {{"error": "w{n}"}}\n\n'),
    Sound('repeated events', PLAIN, repeats=3),
    Sound(
        'a quoted head', 'id: {n}\ndata: HTTP/1.1 200 OK\r\ndata: A: w{n}\n\n'
    ),
    Sound('a dotted field', 'id: {n}\na.b: 3\ndata: w{n}\n\n'),
    Sound('a mark', '\ufeffid: {n}\ndata: w{n}\n\n'),
    Sound('no coding', PLAIN, (STREAM_TYPE, 'Content-Encoding: identity')),
    Sound('binary data', 'id: {n}\ndata: \u00fc \u2028 w{n}\n\n'),
]
"""Sound streams, which pass whole."""

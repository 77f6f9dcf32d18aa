"""What the clients of a crowd send, by kind of crowd."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import json
import typing as ty

from peridotmast.embedded import shape as shape_
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import peer_sender
from peridotmast import signing
from peridotmast.standin import plain_service

MAX_BODY_BYTES = 1 << 20
"""Limit on a body in the configuration of the crowd's fleet, in bytes."""

_ANSWERED_BODY_BYTES = MAX_BODY_BYTES - 1024
"""Size of a body whose echo, with what the upstream adds, is within the limit
on answers, in bytes."""
_LARGE_CHUNK_BYTES = 65536
_SMALL_CHUNK = b'2\r\nab\r\n'
_SMALL_BODY_CHUNKS = 131_072
_SMALL_CHUNKS_A_SEND = 2048
_EXTENSION_CHUNK = b'1;' + b'x' * 240 + b'\r\na\r\n'
_TRAILER_LINES = b'a: b\r\n' * 2048
_HEADER_LINE = b'a:\r\n'
_HEADER_LINES = 3900
"""Empty headers of a head: as many as the default limit on heads allows."""
_HUGE_BYTES = 1 << 30
_OVER_BYTES = 4 << 20
_PIPELINED = 5000
_STREAM_TOKENS = 100_000
_LONG_TEXT_BYTES = 3000
_DIFFERENT_REQUESTS = 100
_FORWARDED_MS = 8000
_ATTEMPTS = 3

Sent = ty.Iterator[bytes]
"""Parts that one client sends in order."""


class Server(enum.Enum):
    """Server of a router that a crowd connects to."""

    CALLERS = 'address'
    CHAT = 'chat_address'
    PEERS = 'forward_address'
    DIRECTORY = 'directory_address'
    READY = 'ready_address'
    RPC = 'peer_address'


class Kind(enum.Enum):
    """What each client of a crowd does; all but one read no answers."""

    LARGE_CHUNKS = 'large-chunks'
    """A body in chunks of 64 KiB that stops short of its end."""
    ONE_CHUNK = 'one-chunk'
    """A body in one chunk that stops short of its end."""
    LENGTH = 'length'
    """A body of a stated length that stops short of its end."""
    SMALL_CHUNKS = 'small-chunks'
    """A body in chunks of two bytes that stops short of its end."""
    WHOLE_BODIES = 'whole-bodies'
    """A whole request with a body of the largest size, and no second one."""
    HEADS = 'heads'
    """A head of thousands of empty headers that does not end."""
    WHOLE_HEADS = 'whole-heads'
    """A whole request with thousands of empty headers."""
    TRAILERS = 'trailers'
    """Trailers without end."""
    EXTENSIONS = 'extensions'
    """Chunks of one byte with long extensions, without end."""
    SILENT = 'silent'
    """Nothing."""
    ANNOUNCED = 'announced'
    """A body far over the limit, with its length stated."""
    OVERLONG = 'overlong'
    """A body far over the limit, in chunks."""
    PIPELINED = 'pipelined'
    """Thousands of requests at once on one connection."""
    CONTINUE = 'continue'
    """The head of a request that waits to be told to send its body."""
    STREAMS = 'streams'
    """A request whose answer is a long stream."""
    TRICKLE = 'trickle'
    """A body that goes on by one byte at a time, without a time limit."""
    DIFFERENT = 'different'
    """Requests whose id, host, path, key and prompt are long and new."""
    LARGE_ANSWERS = 'large-answers'
    """A short request whose answer is large."""
    SLOW_READERS = 'slow-readers'
    """A short request whose answer is large, and is read slowly."""
    CHAT_ANSWERS = 'chat-answers'
    """A short call of the chat API whose answer is large."""
    FORWARDED = 'forwarded'
    """A request with a body of the largest size, as a peer forwards it."""


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Clients of one kind, each with a connection that it keeps open."""

    kind: Kind
    clients: int
    server: Server = Server.CALLERS
    rounds: int = 1
    """Number of times that each client connects, sends and disconnects; after
    the last time it stays connected."""

    @property
    def reads_slowly(self) -> bool:
        """Whether the clients read their answers, a few bytes at a time."""
        return self.kind is Kind.SLOW_READERS

    def sent_by(self, number: int) -> Sent:
        """Return what the client with this number sends."""
        return _SENT[self.kind](number)


def _head(number: int, *lines: str) -> bytes:
    """Return a head of a request that the configuration allows."""
    return '\r\n'.join((
        'POST /pages/a HTTP/1.1',
        f'Host: {shape_.HOST}',
        f'{names.REQUEST_ID}: crowd-{number}',
        f'{names.AUTHORIZATION}: {names.KEY_SCHEME}key-noor',
        *lines,
        '',
        '',
    )).encode()  # fmt: skip


def _chunked(number: int) -> bytes:
    return _head(number, 'Transfer-Encoding: chunked')


def _large_chunks(number: int) -> Sent:
    yield _chunked(number)
    count = MAX_BODY_BYTES // _LARGE_CHUNK_BYTES
    chunk = b'%x\r\n%s\r\n' % (_LARGE_CHUNK_BYTES, b'a' * _LARGE_CHUNK_BYTES)
    yield from itertools.repeat(chunk, count - 1)
    yield chunk[:-3]


def _one_chunk(number: int) -> Sent:
    yield _chunked(number) + b'%x\r\n' % MAX_BODY_BYTES
    yield b'a' * (MAX_BODY_BYTES - 1)


def _length(number: int) -> Sent:
    yield _head(number, f'Content-Length: {MAX_BODY_BYTES}')
    yield b'a' * (MAX_BODY_BYTES - 1)


def _small_chunks(number: int) -> Sent:
    yield _chunked(number)
    part = _SMALL_CHUNK * _SMALL_CHUNKS_A_SEND
    yield from itertools.repeat(
        part, _SMALL_BODY_CHUNKS // _SMALL_CHUNKS_A_SEND
    )


def _whole_body(number: int) -> Sent:
    yield _head(number, f'Content-Length: {_ANSWERED_BODY_BYTES}')
    yield b'a' * _ANSWERED_BODY_BYTES


def _endless_head(number: int) -> Sent:
    yield _head(number)[:-2] + _HEADER_LINE * _HEADER_LINES


def _whole_head(number: int) -> Sent:
    yield _head(number)[:-2] + _HEADER_LINE * _HEADER_LINES + b'\r\n'


def _trailers(number: int) -> Sent:
    yield _chunked(number) + b'1\r\na\r\n0\r\n'
    yield from itertools.repeat(_TRAILER_LINES)


def _extensions(number: int) -> Sent:
    yield _chunked(number)
    yield from itertools.repeat(_EXTENSION_CHUNK * 256)


def _silent(number: int) -> Sent:
    return iter(())


def _announced(number: int) -> Sent:
    yield _head(number, f'Content-Length: {_HUGE_BYTES}')
    yield from itertools.repeat(b'a' * _LARGE_CHUNK_BYTES, 64)


def _overlong(number: int) -> Sent:
    yield _chunked(number)
    chunk = b'%x\r\n%s\r\n' % (_LARGE_CHUNK_BYTES, b'a' * _LARGE_CHUNK_BYTES)
    yield from itertools.repeat(chunk, _OVER_BYTES // _LARGE_CHUNK_BYTES)


def _pipelined(number: int) -> Sent:
    yield _head(number, 'Content-Length: 0') * _PIPELINED


def _continue(number: int) -> Sent:
    yield _head(
        number, 'Expect: 100-continue', f'Content-Length: {MAX_BODY_BYTES}'
    )


def _stream(number: int) -> Sent:
    head = _head(
        number,
        f'{names.TOKEN_COUNTS}: 10,{_STREAM_TOKENS}',
        'Content-Length: 1',
    )
    yield head.replace(b' /pages/a ', b' /chat/a ') + b'a'


def _trickle(number: int) -> Sent:
    yield _head(number, f'Content-Length: {MAX_BODY_BYTES}')
    yield b'a' * (MAX_BODY_BYTES // 2)
    yield from itertools.repeat(b'a', 400)


def _different(number: int) -> Sent:
    for turn in range(_DIFFERENT_REQUESTS):
        text = f'{number}-{turn}-'.ljust(_LONG_TEXT_BYTES, 'x')
        is_known = turn % 2
        lines = (
            f'POST /pages/{text} HTTP/1.1',
            f'Host: {shape_.HOST if is_known else text}',
            f'{names.REQUEST_ID}: {text}',
            f'{names.AUTHORIZATION}: {names.KEY_SCHEME}'
            f'{"key-noor" if is_known else text}',
            f'{names.MODEL}: {text[:100]}',
            f'{names.PROMPT_PARTS}: {text}:1,{text[::-1]}:1',
            'Content-Length: 0',
        )
        yield '\r\n'.join((*lines, '', '')).encode()


def _large_answer(number: int) -> Sent:
    head = _head(number, 'Content-Length: 0')
    yield head.replace(
        b'/pages/a ', f'/pages/{plain_service.LARGE_NAME} '.encode()
    )


def _chat_answer(number: int) -> Sent:
    body = json.dumps({'payload': ''}).encode()
    head = _head(number, f'Content-Length: {len(body)}')
    path = f'/v1/services/{shape_.PLAIN_SERVICE}/{plain_service.LARGE_NAME} '
    yield head.replace(b'/pages/a ', path.encode()) + body


def _forwarded(number: int) -> Sent:
    data = pb.ForwardedRequest(
        id=f'crowd-{number}',
        router='router-2',
        method='POST',
        target='/pages/a',
        body=b'a' * _ANSWERED_BODY_BYTES,
        route=pb.Route(
            name='pages',
            kind=pb.IDEMPOTENT,
            timeout_ms=_FORWARDED_MS,
            attempts=_ATTEMPTS,
        ),
        service=pb.Service(name=shape_.PLAIN_SERVICE),
        left_ms=_FORWARDED_MS,
    ).SerializeToString()
    signature = signing.sign(b'', data).hex()
    yield (
        f'POST {peer_sender.PATH} HTTP/1.1\r\nHost: a\r\n'
        f'{peer_sender.SIGNATURE_HEADER}: {signature}\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'
    ).encode()
    yield data


_SENT: dict[Kind, ty.Callable[[int], Sent]] = {
    Kind.LARGE_CHUNKS: _large_chunks,
    Kind.ONE_CHUNK: _one_chunk,
    Kind.LENGTH: _length,
    Kind.SMALL_CHUNKS: _small_chunks,
    Kind.WHOLE_BODIES: _whole_body,
    Kind.HEADS: _endless_head,
    Kind.WHOLE_HEADS: _whole_head,
    Kind.TRAILERS: _trailers,
    Kind.EXTENSIONS: _extensions,
    Kind.SILENT: _silent,
    Kind.ANNOUNCED: _announced,
    Kind.OVERLONG: _overlong,
    Kind.PIPELINED: _pipelined,
    Kind.CONTINUE: _continue,
    Kind.STREAMS: _stream,
    Kind.TRICKLE: _trickle,
    Kind.DIFFERENT: _different,
    Kind.LARGE_ANSWERS: _large_answer,
    Kind.SLOW_READERS: _large_answer,
    Kind.CHAT_ANSWERS: _chat_answer,
    Kind.FORWARDED: _forwarded,
}

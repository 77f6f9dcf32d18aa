"""Responses without end, as faulty upstreams send them."""

from __future__ import annotations

import dataclasses
import itertools
import typing as ty

from peridotmast import green

PIECE_BYTES = 16384
"""Size of the pieces in which a response without end is sent, in bytes."""

_PAUSE_MS = 10
"""Pause between two pieces, in ms: 1.6 MB/s, about what a router reads in
chunks of a few bytes. A shorter pause takes the processor time of a soak,
whose upstreams and link proxies share one program."""

_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_EVENT = b'id: 1\ndata: {"text": "w"}\n\n'

HEADS = {
    'a status line': (b'HTTP/1.1 200 ', b'OK'),
    'a header line': (b'HTTP/1.1 200 OK\r\nDate: ', b'now'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'Date: now\r\n'),
    'long headers': (
        b'HTTP/1.1 200 OK\r\n',
        b'Date: ' + b'x' * 60_000 + b'\r\n',
    ),
    'continue responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'early hints': (b'', b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'),
}
"""By the part without end: the first bytes, and those repeated after them."""

BODIES = {
    'a chunk size': (_CHUNKED, b'0'),
    'a chunk extension': (_CHUNKED + b'1;', b'x'),
    'small chunks': (_CHUNKED, b'2\r\n\n\n\r\n'),
    'chunks with extensions': (
        _CHUNKED,
        b'1;' + b'x' * 4000 + b'\r\n\n\r\n',
    ),
    'a chunk of negative size': (_CHUNKED + b'-5\r\n', b'x'),
    'trailers': (_CHUNKED + b'0\r\n', b'Date: now\r\n'),
    'a body without length': (b'\r\n', b'\n'),
}
"""The same for bodies. The first bytes follow the last header line."""

STREAMS = {
    'comments': (b'\r\n', b': still here\n\n'),
    'blank lines': (b'\r\n', b'\n'),
    'an event': (b'\r\ndata: ', b'x'),
    'an event in small chunks': (
        _CHUNKED + b'6\r\ndata: \r\n',
        b'1\r\nx\r\n',
    ),
    'comments after an event': (b'\r\n' + _EVENT, b': still here\n\n'),
    'blank lines after an event': (b'\r\n' + _EVENT, b'\n'),
    'an event after an event': (b'\r\n' + _EVENT + b'data: ', b'x'),
}
"""The same for bodies of streams."""

FILLERS = {
    'short comment lines': (b'\r\n', b':\n'),
    'short comments': (b'\r\n', b':\n\n'),
    'an event of short lines': (b'\r\n', b'a\n'),
}
"""Further bodies of streams, which take a router much memory if it keeps their
lines one by one."""

KINDS = tuple(
    kind for kind in (*HEADS, *BODIES, *STREAMS) if 'after' not in kind
)
"""Keys of responses that begin with the part without end."""


@dataclasses.dataclass
class EndlessResponse:
    """A response without end that was sent to a router."""

    kind: str
    request_id: str
    deadline: int
    """Time limit of the request, in ms."""
    ended_at: int = 0
    """Time at which the router closed the connection, in ms; 0 before."""


def pieces(kind: str, head: bytes) -> ty.Iterator[bytes]:
    """Yield a response without end.

    Parameters
    ----------
    kind : str
        Key of `HEADS`, `BODIES`, `STREAMS` or `FILLERS`.
    head : bytes
        Status line and header lines of a response whose body has no end,
        without the blank line.
    """
    if kind in HEADS:
        first, repeated = HEADS[kind]
    else:
        first, repeated = {**BODIES, **STREAMS, **FILLERS}[kind]
        first = head + first
    yield first
    piece = repeated * max(1, PIECE_BYTES // len(repeated))
    yield from itertools.repeat(piece)


def send(sock: ty.Any, kind: str, head: bytes) -> None:
    """Send a response without end until the connection is closed.

    Raises
    ------
    OSError
        If the receiver has closed the connection.
    """
    for piece in pieces(kind, head):
        sock.sendall(piece)
        green.sleep_ms(_PAUSE_MS)

"""Strict parser for request bodies."""

from __future__ import annotations

import re
import typing as ty

MAX_LINE_BYTES = 8192
"""Maximum length of a request line and of a trailer line."""

TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
"""Pattern of a method or a header name."""

HEADER = re.compile(
    rb'(' + TOKEN + rb'):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n'
)
"""Pattern of a header line with its line end."""

_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:;[^\r\n]*)?\r\n')


class InvalidBodyError(Exception):
    """Raised for a request body that can't be accepted.

    Parameters
    ----------
    status : int
        HTTP status of the response to the caller.
    reason : str
        Short machine-readable cause.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


def read_length(reader: ty.Any, max_bytes: int) -> bytes:
    """Read a body of the length stated in ``Content-Length``."""
    length = reader.content_length or 0
    if length > max_bytes:
        raise InvalidBodyError(413, 'body_too_large')
    body = reader.read(length)
    if len(body) < length:
        raise InvalidBodyError(400, 'body_broken')
    return body


def read_chunks(reader: ty.Any, max_bytes: int) -> bytes:
    """Read a chunked body; only strictly valid syntax is accepted."""
    if reader.should_send_hundred_continue:
        reader.send_hundred_continue_response()
        reader.is_hundred_continue_response_sent = True
    file = reader.rfile
    parts: list[bytes] = []
    remaining = max_bytes
    while True:
        head = _CHUNK_SIZE.fullmatch(file.readline(256))
        if head is None:
            raise InvalidBodyError(400, 'bad_chunk')
        size = int(head[1], 16)
        if not size:
            break
        remaining -= size
        if remaining < 0:
            raise InvalidBodyError(413, 'body_too_large')
        data = file.read(size + 2)
        if len(data) < size + 2 or data[-2:] != b'\r\n':
            raise InvalidBodyError(400, 'bad_chunk')
        parts.append(data[:-2])
    while (line := file.readline(MAX_LINE_BYTES)) != b'\r\n':
        if HEADER.fullmatch(line) is None:
            raise InvalidBodyError(400, 'bad_trailer')
    return b''.join(parts)

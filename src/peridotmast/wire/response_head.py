"""Strict parser for the heads of responses."""

from __future__ import annotations

import dataclasses
import re
import typing as ty

from peridotmast.wire import framing as framing_
from peridotmast.wire import socket_reader
from peridotmast.wire import syntax

Headers = list[tuple[str, str]]
"""Header fields in their order, with names in their original case."""

_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-9][0-9]{2})(?: ' + syntax.TEXT + rb')?(\r?\n)'
)
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
_CRLF = b'\r\n'
_MAX_HEADERS = 100
"""Maximum number of headers; a parsed one takes many times the memory of a
short line."""


@dataclasses.dataclass(frozen=True)
class _StatusLine:
    """First line of a head."""

    status: int
    is_latest: bool
    """Whether the version is HTTP/1.1."""
    line_end: bytes
    """What ends this line, and must end the others."""


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers
    framing: framing_.Framing = framing_.Framing.LENGTH
    """What marks the end of the body."""
    length: int = 0
    """Length of a body whose end its length marks, in bytes."""
    closes: bool = False
    """Whether the connection can't be used for another request."""

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def get(self, name: str) -> str:
        """Return the first header called `name`, or an empty string."""
        return next(iter(self.get_all(name)), '')

    def get_all(self, name: str) -> list[str]:
        """Return all headers called `name`, in any case."""
        wanted = name.lower()
        return [value for n, value in self.headers if n.lower() == wanted]


def read_head(reader: socket_reader.SocketReader, method: str) -> ResponseHead:
    """Read the head of a final response, past the interim ones.

    A line that is no header makes the whole head invalid. A parser that skips
    it, or ends the head there, loses what states the length of the body.

    Parameters
    ----------
    reader : socket_reader.SocketReader
        The connection; it limits the size of all lines.
    method : str
        Method of the request.

    Raises
    ------
    MalformedError
        If the bytes are no response in HTTP/1.0 or HTTP/1.1.
    CutShortError
        If the connection ends before the head does.
    """
    while True:
        first = _read_status_line(reader)
        headers = _read_headers(reader, first.line_end)
        if first.status >= _FIRST_FINAL_STATUS:
            break
        if first.status == _SWITCHING_PROTOCOLS:
            raise syntax.MalformedError('protocol switched unasked')
    head = ResponseHead(first.status, headers)
    frame = framing_.of_response(
        method,
        head.status,
        head.get_all('Transfer-Encoding'),
        head.get_all('Content-Length'),
    )
    is_until_close = frame.framing is framing_.Framing.CONNECTION
    return dataclasses.replace(
        head,
        framing=frame.framing,
        length=frame.length,
        closes=is_until_close or _states_close(head, first.is_latest),
    )


def _read_status_line(reader: socket_reader.SocketReader) -> _StatusLine:
    line = _read_line(reader)
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise syntax.MalformedError(f'status line {line[:80]!r}')
    return _StatusLine(int(found[2]), found[1] == b'1', found[3])


def _read_headers(
    reader: socket_reader.SocketReader, line_end: bytes
) -> Headers:
    """Return the headers up to the blank line.

    A recipient may take a line feed alone for a line end. All lines must then
    end in this way: otherwise it may be a byte that no value may hold.
    """
    headers: Headers = []
    while (line := _read_line(reader)) != line_end:
        if line_end != _CRLF:
            line = line.removesuffix(line_end) + _CRLF
        found = syntax.HEADER.fullmatch(line)
        if found is None:
            raise syntax.MalformedError(f'header line {line[:80]!r}')
        if len(headers) == _MAX_HEADERS:
            raise syntax.MalformedError(f'over {_MAX_HEADERS} headers')
        value = found[2].strip(syntax.BLANKS)
        headers.append((found[1].decode('ascii'), value.decode('latin-1')))
    return headers


def _read_line(reader: socket_reader.SocketReader) -> bytes:
    line = reader.readline()
    if not line.endswith(b'\n'):
        raise syntax.CutShortError('head')
    return line


def _states_close(head: ResponseHead, is_latest: bool) -> bool:
    """Return whether a response states that its connection will close."""
    words = _words(head.get_all('Connection'))
    if is_latest:
        return 'close' in words
    return not (
        {'keep-alive'} & (words | _words(head.get_all('Proxy-Connection')))
        or head.get_all('Keep-Alive')
    )


def _words(values: ty.Iterable[str]) -> set[str]:
    return {word.strip().lower() for v in values for word in v.split(',')}

"""Strict reader for the content of responses."""

from __future__ import annotations

import re

from peridotmast.wire import framing as framing_
from peridotmast.wire import response_head
from peridotmast.wire import socket_reader
from peridotmast.wire import syntax

_CHUNK_SIZE = re.compile(
    rb'0*([0-9A-Fa-f]{1,15})[ \t]*(?:;' + syntax.TEXT + rb')?\r\n'
)
"""Pattern of the line before a chunk. Servers may send zeros before the size,
blanks after it, and extensions."""

_CRLF = b'\r\n'

Framing = framing_.Framing


class ContentReader:
    """Reads the body of one response.

    Parameters
    ----------
    reader : socket_reader.SocketReader
        The connection, of which the head has been read.
    head : response_head.ResponseHead
        Head of the response.
    """

    def __init__(
        self,
        reader: socket_reader.SocketReader,
        head: response_head.ResponseHead,
    ) -> None:
        self._reader = reader
        self._framing = head.framing
        self._left = head.length
        self._has_read_chunk = False
        self.is_complete = head.framing is Framing.LENGTH and not head.length
        """Whether the whole body has been read."""

    @property
    def stated_bytes_left(self) -> int:
        """Number of bytes that the stated length still announces, or 0."""
        return self._left if self._framing is Framing.LENGTH else 0

    def read_some(self, size: int) -> bytes:
        """Return up to `size` next bytes of the body; empty at its end.

        Raises
        ------
        MalformedError
            If chunks or trailers are not what HTTP defines.
        CutShortError
            If the connection ends before the body does.
        """
        if self.is_complete:
            return b''
        if self._framing is Framing.CONNECTION:
            data = self._reader.read1(size)
            self.is_complete = not data
            return data
        if self._framing is Framing.CHUNKS and not self._left:
            self._begin_chunk()
            if self.is_complete:
                return b''
        return self._read_stated(size)

    def _read_stated(self, size: int) -> bytes:
        """Return bytes of a body or chunk whose length is stated."""
        data = self._reader.read1(min(size, self._left))
        if not data:
            raise syntax.CutShortError(f'{self._left} bytes')
        self._left -= len(data)
        if self._framing is Framing.LENGTH:
            self.is_complete = not self._left
        return data

    def _begin_chunk(self) -> None:
        """Read up to the content of the next chunk, or to the end."""
        if self._has_read_chunk and self._read_line() != _CRLF:
            raise syntax.MalformedError('chunk without line end')
        line = self._read_line()
        found = _CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise syntax.MalformedError(f'chunk size {line[:80]!r}')
        self._left = int(found[1], 16)
        self._has_read_chunk = True
        if not self._left:
            self._read_trailers()

    def _read_trailers(self) -> None:
        """Read and discard the trailers."""
        while (line := self._read_line()) != _CRLF:
            if syntax.HEADER.fullmatch(line) is None:
                raise syntax.MalformedError(f'trailer {line[:80]!r}')
        self.is_complete = True

    def _read_line(self) -> bytes:
        line = self._reader.readline()
        if not line.endswith(b'\n'):
            raise syntax.CutShortError('chunks')
        return line

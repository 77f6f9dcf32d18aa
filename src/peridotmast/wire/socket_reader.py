"""File interface to a non-blocking socket, with a buffer and a deadline."""

from __future__ import annotations

import socket
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green

_READ_BYTES = 65536
_READ_LINE_BYTES = 8192
"""Bytes that are read at once for a line. What follows it is kept, even while
its response waits for memory."""

_TURN_UNITS = 256
"""Work after which a task lets the others run, in units: one call of this
interface, or `_UNIT_BYTES` bytes. A turn takes a millisecond or less, also if
bytes always arrive."""
_UNIT_BYTES = 256

_MAX_LATE_MS = 300
"""Time for which bytes may be read after it was noticed that the deadline has
passed, in ms. What had arrived before a pause of this process is read; what
arrives without end is not."""


class LinesTooLongError(Exception):
    """Raised if a head, chunk-size line or trailer exceeds its limit."""


class SocketReader:
    """File object that reads from a non-blocking socket.

    One reader serves all responses of a connection, so that bytes after the
    end of a response are detected and not lost. A connection reset raises an
    error, whereas the sockets of eventlet report an end of file.

    Parameters
    ----------
    sock : socket.socket
        A non-blocking socket.
    clock : clock.Clock
        Measures the time until the deadline.
    """

    def __init__(self, sock: socket.socket, clock: clock_.Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._buffer = bytearray()
        self.ended = False
        """Whether the end of the connection was read."""
        self.deadline = 0
        """Time by which bytes must arrive, in ms of the clock."""
        self.bytes_received = 0
        """Number of bytes read from the socket so far."""
        self.line_bytes_left = 0
        """Number of bytes that `readline` may still return."""
        self._turn_units = 0
        self._late_since: ty.Optional[int] = None

    @property
    def pending(self) -> int:
        """Number of bytes that are received but not read yet."""
        return len(self._buffer)

    @property
    def bytes_read(self) -> int:
        """Number of bytes that were returned so far."""
        return self.bytes_received - len(self._buffer)

    def readline(self, limit: int = -1) -> bytes:
        """Return bytes through a line feed, up to `limit` or the end.

        Raises
        ------
        LinesTooLongError
            If the lines exceed `line_bytes_left`.
        """
        self._count_work(1)
        max_bytes = self.line_bytes_left + 1
        if limit >= 0:
            max_bytes = min(max_bytes, limit)
        while (end := self._buffer.find(b'\n') + 1) == 0:
            if max_bytes <= len(self._buffer) or not self._fill(
                _READ_LINE_BYTES
            ):
                end = len(self._buffer)
                break
        line = self._take(min(end, max_bytes))
        self.line_bytes_left -= len(line)
        if self.line_bytes_left < 0:
            raise LinesTooLongError('lines without end')
        return line

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, fewer at the end; all if negative."""
        self._count_work(1)
        while (size < 0 or len(self._buffer) < size) and self._fill():
            pass
        return self._take(len(self._buffer) if size < 0 else size)

    def read1(self, size: int = -1) -> bytes:
        """Return buffered bytes; wait only if there are none."""
        if not size:
            return b''
        self._count_work(1)
        if not self._buffer:
            self._fill()
        return self._take(len(self._buffer) if size < 0 else size)

    def readinto(self, target: ty.Any) -> int:
        """Read bytes into `target`; return their number."""
        data = self.read(len(target))
        target[: len(data)] = data
        return len(data)

    def close(self) -> None:
        """Do nothing; the connection outlives the response."""

    def flush(self) -> None:
        """Do nothing; required by the file interface."""

    def _take(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _fill(self, size: int = _READ_BYTES) -> bool:
        """Read once from the socket; return False at the end.

        Raises
        ------
        TimeoutError
            If no bytes arrived before the deadline.
        OSError
            If the connection was reset.
        """
        while not self.ended:
            try:
                data = self._sock.recv(size)
            except BlockingIOError:
                self._wait()
                continue
            self.ended = not data
            self.bytes_received += len(data)
            self._buffer += data
            self._count_work(len(data) // _UNIT_BYTES)
            return bool(data)
        return False

    def _count_work(self, units: int) -> None:
        """Let other tasks run after a turn; end reading long after deadline.

        Raises
        ------
        TimeoutError
            If bytes still arrive although the deadline has passed.
        """
        self._turn_units += units
        if self._turn_units < _TURN_UNITS:
            return
        self._turn_units = 0
        now = self._clock.now()
        if now <= self.deadline:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        elif now - self._late_since > _MAX_LATE_MS:
            raise TimeoutError('data still received after the deadline')
        green.sleep_ms(0)

    def _wait(self) -> None:
        self._turn_units = 0
        remaining_ms = self.deadline - self._clock.now()
        if remaining_ms <= 0 or not green.poller.wait(
            self._sock.fileno(), remaining_ms
        ):
            raise TimeoutError('no data received before the deadline')

"""Bytes of one connection as a file that waits green and keeps the rest."""

from __future__ import annotations

import socket
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green

_READ_BYTES = 65536


class SocketReader:
    """A file for `http.client`, over a socket that does not block.

    It outlives each response on its connection, so that bytes which came
    after one's end are seen instead of lost, and it reports a reset as an
    error where eventlet's own sockets report an end.

    Parameters
    ----------
    sock : socket.socket
        Non-blocking.
    clock : clock.Clock
        Times the waits.
    """

    def __init__(self, sock: socket.socket, clock: clock_.Clock) -> None:
        self._sock = sock
        self._clock = clock
        self._buffer = bytearray()
        self._ended = False
        self.deadline = 0
        """Moment on the clock by which bytes must come, in ms."""
        self.read_bytes = 0
        """Bytes taken from the socket so far."""

    @property
    def pending(self) -> int:
        """Bytes that came and were not asked for yet."""
        return len(self._buffer)

    def readline(self, limit: int = -1) -> bytes:
        """Return bytes up to a line feed, `limit` or the end."""
        while (end := self._buffer.find(b'\n') + 1) == 0:
            if 0 <= limit <= len(self._buffer) or not self._fill():
                end = len(self._buffer)
                break
        return self._take(end if limit < 0 else min(end, limit))

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, or fewer at the end; all where negative."""
        while (size < 0 or len(self._buffer) < size) and self._fill():
            pass
        return self._take(len(self._buffer) if size < 0 else size)

    def read1(self, size: int = -1) -> bytes:
        """Return what is there, waiting only where nothing is."""
        if not size:
            return b''
        if not self._buffer:
            self._fill()
        return self._take(len(self._buffer) if size < 0 else size)

    def readinto(self, target: ty.Any) -> int:
        """Fill `target` as far as bytes come; return how many did."""
        data = self.read(len(target))
        target[: len(data)] = data
        return len(data)

    def close(self) -> None:
        """Do nothing: a response's end is not the connection's."""

    def flush(self) -> None:
        """Do nothing; part of a file's interface."""

    def _take(self, size: int) -> bytes:
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _fill(self) -> bool:
        """Read once; false at the end.

        Raises
        ------
        TimeoutError
            If nothing came before the deadline.
        OSError
            If the connection was reset.
        """
        while not self._ended:
            try:
                data = self._sock.recv(_READ_BYTES)
            except BlockingIOError:
                self._wait()
                continue
            self._ended = not data
            self.read_bytes += len(data)
            self._buffer += data
            return bool(data)
        return False

    def _wait(self) -> None:
        left = self.deadline - self._clock.now()
        if left <= 0 or not green.poller.wait(self._sock.fileno(), left):
            raise TimeoutError('no byte came in time')

"""Logging: one line of key=value pairs for each event, never blocking."""

from __future__ import annotations

import collections
import contextlib
import logging
import select
import sys
import typing as ty

import structlog

LEVELS = ('debug', 'info', 'warning', 'error')
"""Levels that the setting ``log_level`` may name."""

_MOST_LINES = 5000
"""Lines that wait for a reader that takes none; later ones are dropped and
counted. About a megabyte, and ten seconds of a busy router."""

_PIECE_BYTES = 4096
"""A pipe that is ready takes so much without blocking."""


Later = ty.Callable[[ty.Callable[[], None]], None]


class LineSink:
    """Writes lines to a stream as far as it takes them.

    A daemon's lines gather for a moment from the first one on: one write for
    many lines, none that waits for a reader, and no work where nothing is
    said.

    Parameters
    ----------
    stream : file
        Where the lines go.
    later : callable, optional
        Calls what it is given a moment later: what has gathered is written
        then. Without, each line is written at once.
    """

    def __init__(
        self, stream: ty.TextIO, later: ty.Optional[Later] = None
    ) -> None:
        self._stream = stream
        self._later = later
        self._is_due = False
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b''
        self._dropped = 0

    def msg(self, line: str) -> None:
        """Take one line."""
        if len(self._lines) >= _MOST_LINES:
            self._dropped += 1
            return
        self._lines.append(line.encode('utf-8', 'replace') + b'\n')
        if self._later is None:
            self.flush()
        else:
            self._write_later(self._later)

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as much as the stream takes without waiting."""
        with contextlib.suppress(OSError, ValueError):
            # A reader that is gone takes nothing; there is nobody to tell.
            self._write_all()

    def _write_later(self, later: Later) -> None:
        if not self._is_due:
            self._is_due = True
            later(self._on_due)

    def _on_due(self) -> None:
        self._is_due = False
        self.flush()
        if self._later is not None and (self._rest or self._lines):
            self._write_later(self._later)

    def _write_all(self) -> None:
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_piece()
            if not self._is_ready():
                return
            piece = self._rest[:_PIECE_BYTES]
            self._stream.buffer.write(piece)
            self._stream.buffer.flush()
            self._rest = self._rest[len(piece) :]

    def _next_piece(self) -> bytes:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._dropped:
            lines.append(
                f'level=warning event=lines_dropped count={self._dropped}\n'
                .encode()
            )  # fmt: skip
            self._dropped = 0
        return b''.join(lines)

    def _is_ready(self) -> bool:
        poll = select.poll()
        poll.register(self._stream.fileno(), select.POLLOUT)
        return bool(poll.poll(0))


_sink = LineSink(sys.stderr)


def setup(
    level: str = 'info',
    stream: ty.Optional[ty.TextIO] = None,
    later: ty.Optional[Later] = None,
) -> None:
    """Send events from `level` on to `stream`.

    Parameters
    ----------
    stream : file, optional
        Standard error by default; daemons use standard output.
    later : callable, optional
        Calls what it is given a moment later, for which lines gather.
    """
    global _sink
    _sink = LineSink(stream or sys.stderr, later)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'],
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=lambda *args: _sink,
        cache_logger_on_first_use=False,
    )


def flush() -> None:
    """Write out what has gathered, as far as its reader takes it."""
    _sink.flush()


def get(program: str, **values: ty.Any) -> ty.Any:
    """Return a logger whose lines carry `program` and `values`."""
    return structlog.get_logger().bind(program=program, **values)

"""Non-blocking logging: one line of key=value pairs for each event."""

from __future__ import annotations

import collections
import contextlib
import logging
import select
import sys
import typing as ty

import structlog

LEVELS = ('debug', 'info', 'warning', 'error')
"""Values of the setting ``log_level``."""

_MAX_BUFFERED_LINES = 5000
"""Maximum number of lines that are buffered while the reader of the stream is
stalled; later lines are dropped and counted. About 1 MB, or what a busy router
logs in ten seconds."""

_CHUNK_BYTES = 4096
"""Number of bytes that a writable pipe accepts without blocking."""


CallLater = ty.Callable[[ty.Callable[[], None]], None]


class LineSink:
    """Writes lines to a stream without blocking.

    With `call_later`, the first buffered line schedules a write a moment
    later, which includes all lines that were logged until then. Many lines
    thus take one write, and no work is done while nothing is logged.

    Parameters
    ----------
    stream : file
        Stream to write to.
    call_later : callable, optional
        Calls its argument a moment later, to write the buffered lines. By
        default, each line is written at once.
    """

    def __init__(
        self, stream: ty.TextIO, call_later: ty.Optional[CallLater] = None
    ) -> None:
        self._stream = stream
        self._call_later = call_later
        self._is_scheduled = False
        self._lines: collections.deque[bytes] = collections.deque()
        self._pending = b''
        self._dropped = 0

    def msg(self, line: str) -> None:
        """Buffer or write one line."""
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._lines.append(line.encode('utf-8', 'replace') + b'\n')
        if self._call_later is None:
            self.flush()
        else:
            self._schedule_write(self._call_later)

    debug = info = warning = error = critical = msg

    def flush(self) -> None:
        """Write as many bytes as the stream accepts without blocking."""
        with contextlib.suppress(OSError, ValueError):
            # The reader has closed the stream, so the error can't be reported.
            self._write_pending()

    def _schedule_write(self, call_later: CallLater) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            call_later(self._on_scheduled)

    def _on_scheduled(self) -> None:
        self._is_scheduled = False
        self.flush()
        if self._call_later is not None and (self._pending or self._lines):
            self._schedule_write(self._call_later)

    def _write_pending(self) -> None:
        while self._pending or self._lines:
            if not self._pending:
                self._pending = self._join_lines()
            if not self._is_writable():
                return
            chunk = self._pending[:_CHUNK_BYTES]
            self._stream.buffer.write(chunk)
            self._stream.buffer.flush()
            self._pending = self._pending[len(chunk) :]

    def _join_lines(self) -> bytes:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._dropped:
            lines.append(
                f'level=warning event=lines_dropped count={self._dropped}\n'
                .encode()
            )  # fmt: skip
            self._dropped = 0
        return b''.join(lines)

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self._stream.fileno(), select.POLLOUT)
        return bool(poll.poll(0))


_sink = LineSink(sys.stderr)


def setup(
    level: str = 'info',
    stream: ty.Optional[ty.TextIO] = None,
    call_later: ty.Optional[CallLater] = None,
) -> None:
    """Write events of at least `level` to `stream`.

    Parameters
    ----------
    stream : file, optional
        Standard error by default; daemons use standard output.
    call_later : callable, optional
        Calls its argument a moment later; see `LineSink`.
    """
    global _sink
    _sink = LineSink(stream or sys.stderr, call_later)
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
    """Write as many buffered lines as the stream accepts."""
    _sink.flush()


def get(program: str, **values: ty.Any) -> ty.Any:
    """Return a logger that adds `program` and `values` to each event."""
    return structlog.get_logger().bind(program=program, **values)

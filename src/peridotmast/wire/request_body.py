"""Strict parser for request bodies."""

from __future__ import annotations

import dataclasses
import re
import typing as ty

from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import processor_turns
from peridotmast.wire import syntax

MAX_LINE_BYTES = 8192
"""Maximum length of a request line and of a trailer line."""

_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,8})(;[^\r\n]*)?\r\n')

_MAX_CHUNK_LINE_BYTES = 256

_READ_BYTES = 65536

_CHARGE_STEP_BYTES = 16384


class InvalidBodyError(Exception):
    """Raised for a request body that can't be accepted.

    Parameters
    ----------
    status : int
        HTTP status of the response to the caller.
    reason : str
        Short machine-readable cause.
    retry_after_ms : int
        Time after which the caller may retry, in ms; 0 if it is final.
    """

    def __init__(
        self, status: int, reason: str, retry_after_ms: int = 0
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@dataclasses.dataclass(frozen=True)
class BodyLimits:
    """Limits on one request body."""

    max_bytes: int
    """Maximum size of the body."""
    max_extra_bytes: int
    """Maximum size of all chunk extensions and trailers, which are
    discarded."""


class BodyReader:
    """Reads one request body; only strictly valid syntax is accepted.

    Parameters
    ----------
    reader : eventlet.wsgi.Input
        Input of the request.
    limits : BodyLimits
        Limits on the body.
    turn : processor_turns.TurnCounter
        Counts the work, so that other tasks run meanwhile.
    account : memory_budget.MemoryAccount
        Counts the memory, and collects the body.
    """

    def __init__(
        self,
        reader: ty.Any,
        limits: BodyLimits,
        turn: processor_turns.TurnCounter,
        account: memory_budget.MemoryAccount,
    ) -> None:
        self._reader = reader
        self._file = reader.rfile
        self._limits = limits
        self._turn = turn
        self._extra_bytes_left = limits.max_extra_bytes
        self._account = account
        # A list of parts would take more memory than the body where these
        # have a few bytes.
        self._body = account.body
        self._charged_bytes = 0

    def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        InvalidBodyError
            If it is too large, malformed or incomplete.
        OverloadedError
            If there is no memory for it.
        """
        self._account.phase = memory_budget.Phase.BODY
        with self._account.eviction:
            self._read()
        if self._account.is_evicted:
            raise memory_budget.OverloadedError
        self._account.phase = memory_budget.Phase.RUNNING
        body = bytes(self._body)
        self._body.clear()
        return body

    def _read(self) -> None:
        if self._reader.chunked_input:
            self._read_chunks()
        else:
            self._read_length()

    def _read_length(self) -> None:
        length = self._reader.content_length or 0
        if length > self._limits.max_bytes:
            raise InvalidBodyError(413, 'body_too_large')
        if length:
            self._continue()
            self._read_bytes(length, 'body_broken')
            self._reader.position = length

    def _read_chunks(self) -> None:
        self._continue()
        while size := self._read_chunk_size():
            if len(self._body) + size > self._limits.max_bytes:
                raise InvalidBodyError(413, 'body_too_large')
            self._read_bytes(size, 'bad_chunk')
            if self._file.read(2) != b'\r\n':
                raise InvalidBodyError(400, 'bad_chunk')
        self._read_trailers()

    def _read_chunk_size(self) -> int:
        self._turn.count()
        line = self._file.readline(_MAX_CHUNK_LINE_BYTES)
        head = _CHUNK_SIZE.fullmatch(line)
        if head is None:
            raise InvalidBodyError(400, 'bad_chunk')
        self._count_extra(len(head[2] or b''))
        return int(head[1], 16)

    def _read_bytes(self, size: int, reason: str) -> None:
        """Append the next `size` bytes of the connection to the body."""
        while size:
            read_bytes = self._read_some(size)
            if not read_bytes:
                raise InvalidBodyError(400, reason)
            size -= read_bytes
            self._turn.count()

    def _read_some(self, size: int) -> int:
        """Append up to `size` bytes; return their number, 0 at the end.

        What was read must not be referenced in a frame that waits for more.
        """
        data = self._file.read1(min(size, _READ_BYTES))
        self._charge(len(self._body) + len(data), size)
        self._body += data
        return len(data)

    def _charge(self, needed: int, expected: int) -> None:
        """Count memory for `needed` bytes, in steps up to what is expected."""
        missing = needed - self._charged_bytes
        if missing > 0:
            step = max(missing, min(expected, _CHARGE_STEP_BYTES))
            self._account.charge(step)
            self._charged_bytes += step

    def _read_trailers(self) -> None:
        while (line := self._file.readline(MAX_LINE_BYTES)) != b'\r\n':
            if syntax.HEADER.fullmatch(line) is None:
                raise InvalidBodyError(400, 'bad_trailer')
            self._count_extra(len(line))
            self._turn.count()

    def _count_extra(self, size: int) -> None:
        self._extra_bytes_left -= size
        if self._extra_bytes_left < 0:
            raise InvalidBodyError(413, 'body_lines_too_large')

    def _continue(self) -> None:
        """Tell a caller that waits for it that its body may be sent."""
        if self._reader.should_send_hundred_continue:
            self._reader.send_hundred_continue_response()
            self._reader.is_hundred_continue_response_sent = True

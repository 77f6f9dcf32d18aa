"""Strict HTTP/1.1 protocol of the server, which rejects ambiguous requests."""

from __future__ import annotations

import http.client
import re
import socket
import typing as ty

from eventlet import wsgi

from peridotmast import green
from peridotmast.wire import caller_connection
from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import processor_turns
from peridotmast.wire import request_body
from peridotmast.wire import syntax

LINGER_BYTES = 16 << 20
LINGER_MS = 500
"""Limits, in bytes and ms, on reading the rest of a refused request. Closing a
connection with unread bytes resets it, and the reset can discard the response
before the caller has read it."""

_READ_BYTES = 65536
_HEAD_STEP_BYTES = 4096
_HEADER_BYTES = 250
"""Memory of a parsed header beside its text, in bytes."""

TARGET = 'peridotmast.target'
"""Key of the raw request target in the WSGI environment."""

CONNECTION = 'peridotmast.connection'
"""Key of the `CallerConnection` in the WSGI environment."""

_HEADERS_TOO_LARGE = 431

_REQUEST_LINE = re.compile(
    rb'(' + syntax.TOKEN + rb') ([\x21-\x7e]+) (HTTP/1\.[01])\r\n'
)


class StrictProtocol(wsgi.HttpProtocol):
    """Accepts only requests with unambiguous framing.

    The base class is lenient about syntax that affects message framing
    (folded headers, spaces before a colon, several lengths, bare line feeds).
    This would allow request smuggling, so such requests are refused here.
    """

    http_server: ty.Any
    """The `HttpServer` that accepted the connection."""
    minimum_chunk_size = 1
    close_connection: int = 0
    was_reset = False
    lingers_on_close = False
    turn: processor_turns.TurnCounter
    """Counts the work on the current request."""
    account: memory_budget.MemoryAccount
    """Memory that the current request holds."""
    _header_timer: ty.Any = None
    _caller: ty.Optional[caller_connection.CallerConnection] = None

    def _read_request_line(self) -> bytes:
        limits = self.http_server.limits
        sock = self.connection
        is_kept_alive = self.close_connection == 0
        if self.http_server.is_closing and is_kept_alive:
            return b''
        if is_kept_alive:
            # A new connection is not idle: its first request is on the way.
            self.http_server.idle_sockets.add(sock)
        self.http_server.connections.begin_wait(sock)
        try:
            sock.settimeout(limits.idle_timeout_ms / 1000)
            first = self.rfile.peek(1)
        except OSError:
            return b''
        finally:
            was_shut = (
                is_kept_alive and sock not in self.http_server.idle_sockets
            )
            self.http_server.idle_sockets.discard(sock)
        was_shut = was_shut or self.http_server.connections.was_shut(sock)
        if was_shut or not first:
            # A request that arrived after the shutdown can't be answered, so
            # it must not be read.
            return b''
        self.http_server.connections.begin_request(sock, self.account)
        self._header_timer = green.Timeout(limits.header_timeout_ms / 1000)
        return self.rfile.readline(request_body.MAX_LINE_BYTES)

    def handle_one_request(self) -> None:
        self._header_timer = None
        self.turn = processor_turns.TurnCounter(self.http_server.shared.turns)
        self.account = self.http_server.shared.memory.open()
        try:
            super().handle_one_request()
        except green.Timeout as exc:
            if exc is not self._header_timer:
                raise
            self._send_error(408, 'Request Timeout')
        except (ConnectionError, TimeoutError):
            self.close_connection = 1
        except OSError:
            # Expected after `CallerConnection.reset`, where writes fail.
            if not self.was_reset:
                raise
        finally:
            self._cancel_timer()
            self._stop_watching()
            self.account.close()

    def parse_request(self) -> bool:
        """Parse the request head; send an error response if it is invalid."""
        try:
            status = self._parse_head()
        except memory_budget.OverloadedError:
            self._cancel_timer()
            self._send_error(
                503, 'Service Unavailable', memory_budget.RETRY_MS
            )
            return False
        if status:
            self._cancel_timer()
            # A newer configuration may allow larger heads, so the caller may
            # retry once this router has it.
            retry_ms = (
                self.http_server.retry_after_ms()
                if status == _HEADERS_TOO_LARGE
                else 0
            )
            status = 503 if retry_ms else status
            self._send_error(status, http.client.responses[status], retry_ms)
            return False
        self.close_connection = self._must_close()
        return True

    def get_environ(self) -> dict[str, ty.Any]:
        self._cancel_timer()
        env = super().get_environ()
        env[TARGET] = self.path
        self._caller = caller_connection.CallerConnection(self)
        env[CONNECTION] = self._caller
        return env

    def finish(self) -> None:
        if self.was_reset:
            return
        if self.lingers_on_close:
            self._linger()
        super().finish()

    def _parse_head(self) -> int:
        """Return 0, or the HTTP status of the error."""
        line = _REQUEST_LINE.fullmatch(self.raw_requestline)
        if line is None:
            return 400
        self.command = line[1].decode('ascii')
        self.path = line[2].decode('ascii')
        self.request_version = line[3].decode('ascii')
        self.requestline = line[0].decode('ascii').rstrip()
        self.headers = http.client.HTTPMessage()
        remaining = self.http_server.limits.max_header_bytes - len(line[0])
        # The limits of the wrapper would hide which limit was exceeded.
        file: ty.Any = getattr(self.rfile, 'fp', self.rfile)
        # Until the head is whole, only its bytes are kept: a header in parsed
        # form takes many times the memory of a short line.
        lines = bytearray()
        charged_bytes = 0
        while (raw := file.readline(max(2, remaining + 1))) != b'\r\n':
            self.turn.count()
            remaining -= len(raw)
            if remaining < 0:
                return _HEADERS_TOO_LARGE
            if syntax.HEADER.fullmatch(raw) is None:
                return 400
            lines += raw
            if len(lines) > charged_bytes:
                self.account.charge(_HEAD_STEP_BYTES)
                charged_bytes += _HEAD_STEP_BYTES
        self._parse_headers(bytes(lines))
        return self._check_framing()

    def _parse_headers(self, lines: bytes) -> None:
        self.account.charge(lines.count(b'\n') * _HEADER_BYTES)
        for header in syntax.HEADER.finditer(lines):
            self.turn.count()
            value = header[2].strip(syntax.BLANKS)
            self.headers[header[1].decode('ascii')] = value.decode('latin-1')

    def _check_framing(self) -> int:
        lengths = self.headers.get_all('Content-Length', [])
        codings = self.headers.get_all('Transfer-Encoding', [])
        hosts = self.headers.get_all('Host', [])
        if lengths and (codings or len(lengths) > 1):
            return 400
        if any(not (text.isascii() and text.isdigit()) for text in lengths):
            return 400
        if codings and (
            [text.lower() for text in codings] != ['chunked']
            or self.request_version == 'HTTP/1.0'
        ):
            return 400
        if len(hosts) != 1 and self.request_version != 'HTTP/1.0':
            return 400
        return 0

    def _must_close(self) -> int:
        tokens = ','.join(self.headers.get_all('Connection', [])).lower()
        words = {word.strip() for word in tokens.split(',')}
        if self.request_version == 'HTTP/1.0':
            return 0 if 'keep-alive' in words else 1
        return 1 if 'close' in words else 0

    def _send_error(self, status: int, text: str, retry_ms: int = 0) -> None:
        self.close_connection = 1
        self.lingers_on_close = True
        retry = f'Retry-After: {retry_ms / 1000:g}\r\n' if retry_ms else ''
        try:
            self.wfile.write(
                f'HTTP/1.1 {status} {text}\r\nConnection: close\r\n{retry}'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            self.wfile.flush()
        except OSError:
            # The caller has disconnected already.
            pass

    def _linger(self) -> None:
        """Read the rest of a refused request, so that the response arrives."""
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            self.connection.settimeout(LINGER_MS / 1000)
            remaining = LINGER_BYTES
            with green.Timeout(LINGER_MS / 1000, False):
                while remaining > 0 and (
                    size := len(self.connection.recv(_READ_BYTES))
                ):
                    remaining -= size
                    # More bytes may always be there already.
                    green.sleep_ms(0)
        except OSError:
            # The connection is closed already.
            pass

    def _stop_watching(self) -> None:
        """End the watch of the connection, however its request has ended.

        A descriptor that is watched after its close hides the events of the
        next connection with its number from asyncio's transports.
        """
        if self._caller is not None:
            self._caller.stop_watching()
            self._caller = None

    def _cancel_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()

"""HTTP client connection that checks the framing of responses."""

from __future__ import annotations

import http.client
import re
import select
import socket
import struct
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.wire import content_reader
from peridotmast.wire import framing
from peridotmast.wire import response_head
from peridotmast.wire import socket_reader
from peridotmast.wire import syntax

Headers = response_head.Headers
ResponseHead = response_head.ResponseHead

NO_MEMORY = 'no_memory'
"""Reason of the failure of a response for which this process has no memory."""

TIMED_OUT = 'timed out'
"""Detail of a failure to connect without an answer."""

T = ty.TypeVar('T')

_READ_BYTES = 65536
_SEND_BYTES = 16384
_USER_TIMEOUT_MS = 3000
"""Time for which sent bytes may stay unacknowledged. A VM that lost its power
acknowledges nothing, and by default the kernel retransmits for minutes. A
sound upstream may be silent for a second or two, and keep-alive probes give
up after this time too."""
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
"""With these settings a dead connection is detected in about three seconds,
even if its upstream sends nothing for longer."""
_MAX_HEAD_BYTES = 128 << 10
"""Maximum size of the head of a response with the informational responses
before it, in bytes. Common servers limit heads to 64 KiB."""
_MAX_CHUNK_LINES_BYTES = 16 << 10
"""Maximum size of a chunk-size line with its extensions, and of a trailer, in
bytes. Both are discarded."""
_MIN_MEAN_PART_BYTES = 16
_MAX_WIRE_FACTOR = 2
"""A buffered body may have as many parts as if each had the first number of
bytes, and may take, with its framing, the second number times its maximum size
on the wire. Otherwise chunks of one byte, or with long extensions, would be
read for seconds, and no time would be left for another attempt."""
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""SO_LINGER value with which closing a socket resets its connection."""
_RESET_POLL_MS = 5
_RESET_WAIT_MS = 20
_UPLOAD_RESET_WAIT_MS = 200
"""Time, in ms, in which a reset shows that an answer without a frame has been
broken off. The longer one is for requests that may not have been read whole:
an upstream that closes such a connection resets it, if not by itself then
because of the bytes that still arrive."""
_SURELY_READ_BYTES = 64 << 10
"""Size up to which a request is read at once by common servers, in bytes."""
_SECONDS = re.compile(r'[0-9]{1,9}')
_SEND_ERRORS = (http.client.HTTPException, OSError, ValueError)
_READ_ERRORS = (
    syntax.MalformedError,
    syntax.CutShortError,
    socket_reader.LinesTooLongError,
    OSError,
    ValueError,
)


class Connection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    clock : clock.Clock
        Measures the time-outs.
    receive_buffer_bytes : int, optional
        Size of the kernel's receive buffer; 0 for the kernel's own choice,
        which grows to megabytes.
    """

    def __init__(
        self,
        address: str,
        clock: clock_.Clock,
        receive_buffer_bytes: int = 0,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._host, self._port = host.strip('[]'), int(port)
        self._clock = clock
        self._receive_buffer_bytes = receive_buffer_bytes
        self._sock: ty.Any = None
        self._reader: ty.Any = None
        self._http_socket: ty.Any = None
        self._head: ty.Optional[ResponseHead] = None
        self._content: ty.Optional[content_reader.ContentReader] = None
        self._body_sent = True
        self._request_bytes = 0
        self._cancelled = ''
        self.idle_since = 0
        """Time at which the last response ended, in ms of the clock."""
        self.keep_alive_ms = 0
        """Keep-alive time-out stated by the upstream, in ms; 0 if absent."""
        self.requests = 0
        """Number of requests sent on the connection so far."""
        self.keep_unanswered: ty.Optional[
            ty.Callable[[socket.socket], None]
        ] = None
        """Takes over the socket if the connection is closed before the end of
        a response; None to close it."""
        self._is_unanswered = False
        self.reset_on_close = False
        """Whether closing resets the connection, which discards unsent data.
        Otherwise the kernel keeps sending, for seconds during a network
        partition."""

    def connect(self, timeout_ms: int) -> ty.Optional[failures.Failure]:
        """Open the connection; a failure means that nothing was sent."""
        family = socket.AF_INET6 if ':' in self._host else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as exc:
            # Without a free descriptor nothing can be sent.
            return failures.not_run('no_connection', f'error {exc.errno}')
        sock.setblocking(False)
        _set_options(sock)
        if self._receive_buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes
            )
        self._sock = sock
        sock.connect_ex((self._host, self._port))
        try:
            ready = green.poller.wait(
                sock.fileno(), timeout_ms, green.Ready.WRITE
            )
        except BaseException:
            self.close()
            raise
        # After a pause of this process, the time limit is noticed first.
        is_done = bool(ready) or _is_writable(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not is_done or error:
            self.close()
            detail = f'error {error}' if is_done else TIMED_OUT
            return failures.not_run('no_connection', detail)
        self._reader = socket_reader.SocketReader(sock, self._clock)
        self._http_socket = _HttpSocket(sock, self._reader, self._clock)
        return None

    def is_clean(self) -> bool:
        """Return whether the connection is open without unexpected data."""
        if self._sock is None or self._reader.pending:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def cancel(self, reason: str) -> None:
        """Abort the current response with a failure for `reason`.

        The part received so far then counts as incomplete, also if the close
        of the connection would mark the end of the response.
        """
        if self._sock is None:
            return
        self._cancelled = reason
        if self.keep_unanswered is not None:
            # The end of the response can only be awaited on an open socket.
            green.poller.expire(self._sock.fileno())
            return
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The upstream has closed the connection already.
            return

    def close(self) -> None:
        """Close the connection, unless it is closed already."""
        if self._sock is not None:
            green.poller.unregister(self._sock.fileno())
            if self.keep_unanswered is not None and self._is_unanswered:
                sock, self._sock = self._sock, None
                self.keep_unanswered(sock)
                return
            if self.reset_on_close:
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            self._sock.close()
            self._sock = None

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        deadline: int,
    ) -> ty.Optional[failures.Failure]:
        """Send a request; after a failure part of it may have been sent.

        If the response begins before the whole body is sent, the rest of the
        body is not sent, and the connection can't be reused afterwards.
        """
        self.requests += 1
        self._reader.deadline = deadline
        self._head = self._content = None
        self._is_unanswered = True
        self._body_sent = True
        self._request_bytes = len(body)
        conn = http.client.HTTPConnection(self._host, self._port)
        conn.sock = self._http_socket
        try:
            conn.putrequest(
                method, target, skip_host=True, skip_accept_encoding=True
            )
            for name, value in headers:
                conn.putheader(name, value)
            if body or method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
                conn.putheader('Content-Length', str(len(body)))
            conn.endheaders(body or None)
        except _EarlyResponse:
            self._body_sent = False
        except _SEND_ERRORS as exc:
            return self._close_with_failure('broke_off', repr(exc)[:200])
        return None

    def read_head(
        self, method: str, deadline: int
    ) -> ty.Union[ResponseHead, failures.Failure]:
        """Return status and headers of the next response."""
        if self._cancelled:
            return self._close_with_failure(self._cancelled)
        self._reader.deadline = deadline
        self._reader.line_bytes_left = _MAX_HEAD_BYTES
        try:
            head = response_head.read_head(self._reader, method)
        except _READ_ERRORS as exc:
            return self._close_after_error(exc)
        self._head = head
        self._content = content_reader.ContentReader(self._reader, head)
        self._read_keep_alive(head)
        return self._unless_cancelled(head)

    def read_some(self, deadline: int) -> ty.Union[bytes, failures.Failure]:
        """Return the next bytes of the response body; empty at its end."""
        if self._cancelled:
            return self._close_with_failure(self._cancelled)
        self._reader.deadline = deadline
        self._reader.line_bytes_left = _MAX_CHUNK_LINES_BYTES
        assert self._content is not None
        try:
            data = self._content.read_some(_READ_BYTES)
        except _READ_ERRORS as exc:
            return self._close_after_error(exc)
        if not data and self._is_reset_after_end(deadline):
            return self._close_with_failure('cut_short', 'reset after its end')
        self._is_unanswered = bool(data)
        return self._unless_cancelled(data)

    def read_all(
        self,
        deadline: int,
        limit: int,
        idle_timeout_ms: int = 0,
        on_bytes: ty.Callable[[], None] = lambda: None,
        reserve: ty.Callable[[int], bool] = lambda size: True,
    ) -> ty.Union[bytes, failures.Failure]:
        """Return the rest of the response body.

        Parameters
        ----------
        deadline : int
            Time by which the body must end, in ms of the clock.
        limit : int
            Maximum number of bytes. A longer body, or one with too much
            framing, closes the connection and results in a failure with the
            reason ``too_long``.
        idle_timeout_ms : int, optional
            Maximum time without a byte of the body, in ms; 0 for no maximum.
        on_bytes : callable, optional
            Called when bytes of the body arrive.
        reserve : callable, optional
            Called with a number of bytes before they are kept: with all of
            them at once if the length is known. Returns whether there is
            memory; if not, the connection is closed, and the failure has the
            reason `NO_MEMORY`.
        """
        assert self._content is not None
        reserved_bytes = min(self._content.stated_bytes_left, limit)
        if reserved_bytes and not reserve(reserved_bytes):
            return self._close_with_failure(NO_MEMORY)
        # A list would take much more memory for chunks of a few bytes.
        body = bytearray()
        parts_left = limit // _MIN_MEAN_PART_BYTES
        max_bytes_read = self._reader.bytes_read + limit * _MAX_WIRE_FACTOR
        while True:
            bound = deadline
            if idle_timeout_ms:
                bound = min(deadline, self._clock.now() + idle_timeout_ms)
            part = self.read_some(bound)
            if isinstance(part, failures.Failure):
                return part
            if not part:
                return bytes(body)
            on_bytes()
            added_bytes = len(body) + len(part) - reserved_bytes
            if added_bytes > 0:
                if not reserve(added_bytes):
                    return self._close_with_failure(NO_MEMORY)
                reserved_bytes += added_bytes
            body += part
            parts_left -= 1
            if (
                len(body) > limit
                or parts_left < 0
                or self._reader.bytes_read > max_bytes_read
            ):
                self.close()
                return failures.unknown('too_long', f'over {limit} bytes')

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return (
            self._sock is not None
            and self._body_sent
            and not self._cancelled
            and self._head is not None
            and not self._head.closes
            and self._content is not None
            and self._content.is_complete
            and self.is_clean()
        )

    def _is_reset_after_end(self, deadline: int) -> bool:
        """Return whether a reset follows the end of an answer without a frame.

        The kernel reports no reset to a reader that has read the end, and
        such an answer may have ended early, before the request was read.
        """
        is_unframed = (
            self._head is not None
            and self._head.framing is framing.Framing.CONNECTION
        )
        if not (is_unframed and self._request_bytes):
            return False
        is_read = self._request_bytes <= _SURELY_READ_BYTES and self._body_sent
        wait_ms = _RESET_WAIT_MS if is_read else _UPLOAD_RESET_WAIT_MS
        ends_at = min(self._clock.now() + wait_ms, deadline)
        while self._sock is not None:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            if self._clock.now() >= ends_at:
                break
            green.sleep_ms(_RESET_POLL_MS)
        return False

    def _unless_cancelled(self, found: T) -> ty.Union[T, failures.Failure]:
        """Return `found`, or a failure if the response was cancelled."""
        if not self._cancelled:
            return found
        return self._close_with_failure(self._cancelled)

    def _close_after_error(self, error: Exception) -> failures.Failure:
        """Close the connection after an error in reading a response."""
        if isinstance(error, TimeoutError):
            return self._close_with_failure('silent', str(error))
        self._is_unanswered = False
        if isinstance(error, socket_reader.LinesTooLongError):
            return self._close_with_failure('too_long', str(error))
        if isinstance(error, syntax.CutShortError):
            return self._close_with_failure('cut_short', str(error))
        return self._close_with_failure('broke_off', repr(error)[:200])

    def _close_with_failure(
        self, reason: str, detail: str = ''
    ) -> failures.Failure:
        """Close the connection and return a failure for `reason`.

        On a cancelled connection, the reason passed to `cancel` is used
        instead.
        """
        self.close()
        return failures.unknown(self._cancelled or reason, detail)

    def _read_keep_alive(self, head: ResponseHead) -> None:
        text = head.get('Keep-Alive').replace(' ', '')
        for part in text.split(','):
            name, _, value = part.partition('=')
            if name.lower() == 'timeout' and _SECONDS.fullmatch(value):
                self.keep_alive_ms = int(value) * 1000


class _EarlyResponse(Exception):
    """Raised if the response begins while the body is being sent."""


class _HttpSocket:
    """Socket interface for `http.client` over a non-blocking socket."""

    def __init__(
        self,
        sock: socket.socket,
        reader: socket_reader.SocketReader,
        clock: clock_.Clock,
    ) -> None:
        self._sock = sock
        self._reader = reader
        self._clock = clock

    def sendall(self, data: ty.Any) -> None:
        """Send `data`; raise `_EarlyResponse` if a response begins."""
        view = memoryview(data)
        read_or_write = green.Ready.READ | green.Ready.WRITE
        while view:
            try:
                view = view[self._sock.send(view[:_SEND_BYTES]) :]
            except BlockingIOError:
                ready = green.poller.wait(
                    self._sock.fileno(), self._remaining_ms(), read_or_write
                )
                if ready is green.Ready.READ:
                    raise _EarlyResponse from None

    def close(self) -> None:
        """Do nothing; `Connection` closes the socket."""

    def _remaining_ms(self) -> int:
        remaining_ms = self._reader.deadline - self._clock.now()
        if remaining_ms <= 0:
            raise TimeoutError('request not sent before the deadline')
        return remaining_ms


def _is_writable(sock: socket.socket) -> bool:
    """Return whether a connection is open or has failed, without waiting."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0))


def _set_options(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)

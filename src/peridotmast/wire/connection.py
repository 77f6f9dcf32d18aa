"""One connection whose answers are checked for framing."""

from __future__ import annotations

import dataclasses
import http.client
import socket
import struct
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.wire import socket_reader

Headers = list[tuple[str, str]]
"""Header lines in their order, names as they were written."""

T = ty.TypeVar('T')

_READ_BYTES = 65536
_SEND_BYTES = 16384
_USER_TIMEOUT_MS = 1500
"""How long sent bytes may stay unacknowledged: a VM that lost its power
answers nothing, and the kernel would go on for minutes."""
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
"""A connection that went silent is found out in about three seconds, also
where its upstream has nothing to send for longer."""
_NO_LINGER = struct.pack('ii', 1, 0)
"""Option by which closing a socket resets its connection."""
_WIRE_ERRORS = (http.client.HTTPException, OSError, ValueError)


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def get(self, name: str) -> str:
        """Return the first header called `name`, or an empty string."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n.lower() == wanted), '')


class Connection:
    """A connection over which one request at a time is sent.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    clock : clock.Clock
        Times the waits.
    """

    def __init__(self, address: str, clock: clock_.Clock) -> None:
        host, _, port = address.rpartition(':')
        self._host, self._port = host.strip('[]'), int(port)
        self._clock = clock
        self._sock: ty.Any = None
        self._reader: ty.Any = None
        self._side: ty.Any = None
        self._resp: ty.Any = None
        self._body_sent = True
        self._cancelled = ''
        self.idle_since = 0
        """Moment on the clock of its last answer's end, in ms."""
        self.keep_alive_ms = 0
        """How long the upstream said it keeps it idle, in ms; 0 if unsaid."""
        self.requests = 0
        """Requests sent over it so far."""
        self.reset_on_close = False
        """Whether closing it drops what the other side has not taken yet.
        Otherwise the kernel goes on sending, for seconds where there is a
        cut."""

    def connect(self, timeout_ms: int) -> ty.Optional[failures.Failure]:
        """Open it; a failure means that nothing was sent."""
        family = socket.AF_INET6 if ':' in self._host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        _set_options(sock)
        self._sock = sock
        sock.connect_ex((self._host, self._port))
        try:
            ready = green.poller.wait(
                sock.fileno(), timeout_ms, green.Ready.WRITE
            )
        except BaseException:
            self.close()
            raise
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not ready or error:
            self.close()
            detail = f'error {error}' if ready else 'timed out'
            return failures.not_run('no_connection', detail)
        self._reader = socket_reader.SocketReader(sock, self._clock)
        self._side = _SendingSide(sock, self._reader, self._clock)
        return None

    def is_clean(self) -> bool:
        """Return whether it is open and nothing came that was not due."""
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
        """Break its answer off, for whoever waits for it.

        What has come of it is not complete then, also where its end can't be
        told from a closed connection.
        """
        if self._sock is None:
            return
        self._cancelled = reason
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other side has closed it already.
            return

    def close(self) -> None:
        """Close it; doing so twice is the same as once."""
        if self._sock is not None:
            green.poller.unregister(self._sock.fileno())
            if self.reset_on_close:
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
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
        """Send a request; a failure means that some of it may have gone.

        Where the answer comes before all of the body is out, the rest is
        never sent, and the connection is good for nothing after it.
        """
        self.requests += 1
        self._reader.deadline = deadline
        self._resp = None
        self._body_sent = True
        conn = http.client.HTTPConnection(self._host, self._port)
        conn.sock = self._side
        try:
            conn.putrequest(
                method, target, skip_host=True, skip_accept_encoding=True
            )
            for name, value in headers:
                conn.putheader(name, value)
            if body or method not in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
                conn.putheader('Content-Length', str(len(body)))
            conn.endheaders(body or None)
        except _EarlyAnswer:
            self._body_sent = False
        except _WIRE_ERRORS as exc:
            return self._close_with_failure('broke_off', repr(exc)[:200])
        return None

    def read_head(
        self, method: str, deadline: int
    ) -> ty.Union[ResponseHead, failures.Failure]:
        """Return status and headers of the next answer."""
        self._reader.deadline = deadline
        try:
            head = self._read_head(method)
        except TimeoutError as exc:
            return self._close_with_failure('silent', str(exc))
        except _WIRE_ERRORS as exc:
            return self._close_with_failure('broke_off', repr(exc)[:200])
        return self._unless_cancelled(head)

    def read_some(self, deadline: int) -> ty.Union[bytes, failures.Failure]:
        """Return the next bytes of the answer's body; empty at its end."""
        self._reader.deadline = deadline
        resp = self._resp
        try:
            data = resp.read1(_READ_BYTES)
        except TimeoutError as exc:
            return self._close_with_failure('silent', str(exc))
        except _WIRE_ERRORS as exc:
            return self._close_with_failure('broke_off', repr(exc)[:200])
        if not data and resp.length:
            return self._close_with_failure(
                'cut_short', f'{resp.length} bytes'
            )
        return self._unless_cancelled(data)

    def read_all(
        self,
        deadline: int,
        limit: int,
        silence_ms: int = 0,
        on_bytes: ty.Callable[[], None] = lambda: None,
    ) -> ty.Union[bytes, failures.Failure]:
        """Return the rest of the body, at most `limit` bytes of it.

        A failure called ``too_long`` leaves the connection closed.

        Parameters
        ----------
        silence_ms : int, optional
            Longest time without a byte of it; 0 bounds it by `deadline` only.
        on_bytes : callable, optional
            Called as bytes of it come.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            bound = deadline
            if silence_ms:
                bound = min(deadline, self._clock.now() + silence_ms)
            part = self.read_some(bound)
            if isinstance(part, failures.Failure):
                return part
            if not part:
                return b''.join(parts)
            on_bytes()
            parts.append(part)
            size += len(part)
            if size > limit:
                self.close()
                return failures.unknown('too_long', f'over {limit} bytes')

    def is_reusable(self) -> bool:
        """Return whether another request may go over it now."""
        return (
            self._sock is not None
            and self._body_sent
            and not self._cancelled
            and self._resp is not None
            and not self._resp.will_close
            and self.is_clean()
        )

    def _unless_cancelled(self, found: T) -> ty.Union[T, failures.Failure]:
        """Return what was read, or why it is broken off."""
        if not self._cancelled:
            return found
        return self._close_with_failure(self._cancelled)

    def _close_with_failure(
        self, reason: str, detail: str = ''
    ) -> failures.Failure:
        """Close the connection and return a failure for `reason`.

        On a cancelled connection, the reason passed to `cancel` is used
        instead.
        """
        self.close()
        return failures.unknown(self._cancelled or reason, detail)

    def _read_head(self, method: str) -> ResponseHead:
        while True:
            resp = http.client.HTTPResponse(self._side, method=method)
            resp.begin()
            if resp.status >= 200:
                break
        self._resp = resp
        _check_framing(resp)
        self._learn_keep(resp)
        return ResponseHead(resp.status, list(resp.headers.items()))

    def _learn_keep(self, resp: ty.Any) -> None:
        text = resp.headers.get('Keep-Alive', '').replace(' ', '')
        for part in text.split(','):
            name, _, value = part.partition('=')
            if name.lower() == 'timeout' and value.isdigit():
                self.keep_alive_ms = int(value) * 1000


class _EarlyAnswer(Exception):
    """The answer came while the body was being sent."""


class _SendingSide:
    """What `http.client` takes for a socket."""

    def __init__(
        self,
        sock: socket.socket,
        reader: socket_reader.SocketReader,
        clock: clock_.Clock,
    ) -> None:
        self._sock = sock
        self._reader = reader
        self._clock = clock

    def makefile(self, mode: str) -> socket_reader.SocketReader:
        """Return the connection's one reader."""
        return self._reader

    def sendall(self, data: ty.Any) -> None:
        """Send `data`, or raise `_EarlyAnswer` where it is not wanted."""
        view = memoryview(data)
        both = green.Ready.READ | green.Ready.WRITE
        while view:
            try:
                view = view[self._sock.send(view[:_SEND_BYTES]) :]
            except BlockingIOError:
                ready = green.poller.wait(
                    self._sock.fileno(), self._left(), both
                )
                if ready is green.Ready.READ:
                    raise _EarlyAnswer from None

    def close(self) -> None:
        """Do nothing: the owner closes the socket."""

    def _left(self) -> int:
        left = self._reader.deadline - self._clock.now()
        if left <= 0:
            raise TimeoutError('the request was not taken in time')
        return left


def _set_options(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def _check_framing(resp: ty.Any) -> None:
    """Raise where the end of an answer can be read in two ways.

    Raises
    ------
    http.client.HTTPException
        With what is wrong.
    """
    codings = resp.headers.get_all('Transfer-Encoding', [])
    lengths = set(resp.headers.get_all('Content-Length', []))
    if codings and [text.lower() for text in codings] != ['chunked']:
        raise http.client.HTTPException(f'odd coding {codings}')
    if len(lengths) > 1 or codings and lengths:
        raise http.client.HTTPException(f'odd length {lengths}')
    if any(not (text.isascii() and text.isdigit()) for text in lengths):
        raise http.client.HTTPException(f'odd length {lengths}')

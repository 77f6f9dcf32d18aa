"""HTTP server for callers, based on the WSGI server of eventlet."""

from __future__ import annotations

import dataclasses
import socket
import typing as ty

from eventlet import wsgi

from peridotmast import green
from peridotmast import ids
from peridotmast.wire import bodyless
from peridotmast.wire.overload import connection_table
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import shared_resources
from peridotmast.wire import request_body
from peridotmast.wire import strict_protocol

MAX_CONNECTIONS = 20_000
"""Maximum number of connections of a server that is given no other."""

_ACCEPT_PAUSE_MS = 50
"""Pause after an error of ``accept``, such as a lack of descriptors, which the
next call would meet again."""

_CLOSE_ROUNDS = 3
"""Rounds of the event loop in which connections that make room are closed."""

_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n'
    b'Retry-After: 1\r\nContent-Length: 0\r\n\r\n'
)
"""Answer on a connection for which there is no room: nothing is read."""

_DRAIN_BYTES = 65536

SEND_BUFFER_BYTES = 65536
"""Size of the kernel's send buffer for a connection."""

RECEIVE_BUFFER_BYTES = 32768
"""Size of the kernel's receive buffer for a connection. By default it grows to
megabytes for a client that sends faster than its requests are read."""


@dataclasses.dataclass
class ServerLimits:
    """Limits on the size and the duration of requests."""

    max_header_bytes: int = 16384
    """Maximum size of a request head."""
    max_body_bytes: int = 1 << 20
    """Maximum size of a request body."""
    header_timeout_ms: int = 10_000
    """Time-out of a request head from its first byte on."""
    idle_timeout_ms: int = 60_000
    """Maximum idle time of a connection, and between two parts of a body."""
    write_timeout_ms: int = 10_000
    """Maximum time in which a caller accepts no bytes of a response."""


class HttpServer:
    """HTTP server on one listening address.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 selects a free port.
    app : callable
        A WSGI application.
    limits : ServerLimits, optional
        May be changed while the server runs.
    shared : shared_resources.SharedResources, optional
        What the servers of a process share; unlimited by default.
    max_connections : int, optional
        Maximum number of connections.

    Raises
    ------
    OSError
        If listening on the address fails.
    """

    def __init__(
        self,
        address: str,
        app: bodyless.Application,
        limits: ty.Optional[ServerLimits] = None,
        shared: ty.Optional[shared_resources.SharedResources] = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._app = bodyless.BodylessAnswers(app)
        self.shared = shared or shared_resources.SharedResources()
        """What the servers of a process share."""
        self.limits = limits or ServerLimits()
        """Limits on requests; changes apply from the next request on."""
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        # Listening fails on an address in use. With SO_REUSEPORT, two programs
        # could share the address, and each would silently get a part of the
        # connections.
        try:
            self._sock = green.listen(
                (host.strip('[]'), int(port)),
                family,
                backlog=1024,
                reuse_port=False,
            )
        except OSError as exc:
            raise OSError(f'cannot listen on {address}: {exc}') from exc
        # Accepted connections inherit the sizes. They limit the kernel memory
        # for a client that reads nothing, or sends without end.
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        bound = self._sock.getsockname()
        self.address = ids.Address(f'{host}:{bound[1]}')
        """Listening address, with the actual port."""
        self._pool = green.GreenPool(MAX_CONNECTIONS)
        self.connections = connection_table.ConnectionTable(
            self.shared.clock, self.shared.events, max_connections
        )
        """Connections that are open."""
        self.idle_sockets: set[ty.Any] = set()
        """Sockets of connections that wait for their next request."""
        self.is_closing = False
        """Whether each connection is closed after its current response."""
        self.retry_after_ms: ty.Callable[[], int] = lambda: 0
        """Returns the retry time for callers whose request heads exceed the
        limits, in ms; 0 if the limits are final."""
        self._task: ty.Any = None

    def start(self) -> None:
        """Start accepting connections."""
        self._task = green.spawn(self._serve)

    def close_idle(self) -> None:
        """Close idle connections now and others after their response.

        New connections are still accepted, for one request each, because some
        callers may not know of the shutdown yet.
        """
        self.is_closing = True
        for sock in list(self.idle_sockets):
            # A request that has arrived is still served, even if no byte of
            # it has been read.
            if not connection_table.has_unread_bytes(sock):
                self.idle_sockets.discard(sock)
                connection_table.shutdown(sock)

    def stop(self) -> None:
        """Stop accepting and close every connection."""
        if self._task is not None:
            self._task.kill()
        self._sock.close()
        for thread in list(self._pool.coroutines_running):
            thread.kill()

    def _answer(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        """Answer a request; state the close of its connection, if it will.

        Whether the server is closing is known only once the answer begins.
        """

        def start_and_close(*args: ty.Any) -> ty.Any:
            if self.is_closing:
                environ[strict_protocol.CONNECTION].close_after()
            return start(*args)

        return self._app(environ, start_and_close)

    def _serve(self) -> None:
        protocol = type(
            '_Protocol',
            (strict_protocol.StrictProtocol,),
            {'http_server': self},
        )
        wsgi_server = wsgi.Server(
            self._sock,
            self._sock.getsockname(),
            self._answer,
            _DiscardLog(),
            protocol=protocol,
            log_output=False,
            debug=False,
            socket_timeout=self.limits.write_timeout_ms / 1000,
            url_length_limit=request_body.MAX_LINE_BYTES,
        )
        while True:
            try:
                self._accept(wsgi_server)
            except Exception:
                # The loop must go on after any error.
                self.shared.events.note(events_.OverloadEvent.ACCEPT_ERROR)
                green.sleep_ms(_ACCEPT_PAUSE_MS)

    def _accept(self, wsgi_server: wsgi.Server) -> None:
        """Accept one connection, and serve or refuse it."""
        try:
            sock, address = self._sock.accept()
        except OSError:
            # There may be no descriptor for it.
            self.connections.close_some()
            raise
        if not self._has_room():
            self.connections.note_refused()
            _refuse(sock)
            return
        sock.settimeout(wsgi_server.socket_timeout)
        self.connections.add(sock)
        state = [address, sock, wsgi.STATE_IDLE]
        task = self._pool.spawn(wsgi_server.process_request, state)
        task.link(self._remove, sock)

    def _has_room(self) -> bool:
        """Return whether there is room, after closing other connections."""
        if self.connections.is_full:
            self.connections.close_some()
            for _ in range(_CLOSE_ROUNDS):
                green.sleep_ms(0)
        return not self.connections.is_full

    def _remove(self, task: ty.Any, sock: ty.Any) -> None:
        """Close a connection whose task has ended."""
        self.connections.remove(sock)
        connection_table.shutdown(sock)
        sock.close()


def _refuse(sock: ty.Any) -> None:
    """Answer that there is no room, without waiting, and close."""
    raw = sock.fd
    try:
        raw.send(_REFUSAL, socket.MSG_DONTWAIT)
        raw.shutdown(socket.SHUT_WR)
        # Closing with unread bytes would reset the connection, and could
        # discard the answer.
        raw.recv(_DRAIN_BYTES, socket.MSG_DONTWAIT)
    except OSError:
        # The client has sent nothing yet, or has left.
        pass
    sock.close()


class _DiscardLog:
    """Discards the access log, as the event log has each request."""

    def write(self, text: str) -> None:
        """Discard `text`."""

"""HTTP towards callers: eventlet's WSGI server, strict and bounded."""

from __future__ import annotations

import dataclasses
import select
import socket
import typing as ty

from eventlet import wsgi

from peridotmast import green
from peridotmast import ids
from peridotmast.wire import request_body
from peridotmast.wire import strict_protocol

MAX_CONNECTIONS = 20_000
"""Connections served at once; the descriptors of a small VM end before."""

SEND_BUFFER_BYTES = 65536
"""What the kernel holds for a caller that takes nothing."""

Application = ty.Callable[..., ty.Iterable[bytes]]


@dataclasses.dataclass
class ServerLimits:
    """What callers may send, and how long they may take."""

    max_header_bytes: int = 16384
    """Largest head of a request."""
    max_body_bytes: int = 1 << 20
    """Largest body."""
    header_timeout_ms: int = 10_000
    """Time for the head of a request from its first byte on."""
    idle_timeout_ms: int = 60_000
    """Time that a kept connection may be idle, and that a body may pause."""
    write_timeout_ms: int = 10_000
    """Longest time that a caller may take nothing."""


class HttpServer:
    """One listening address.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one.
    app : callable
        A WSGI application.
    limits : ServerLimits, optional
        May be changed while the server runs.

    Raises
    ------
    OSError
        If the address can't be listened on.
    """

    def __init__(
        self,
        address: str,
        app: Application,
        limits: ty.Optional[ServerLimits] = None,
    ) -> None:
        self._app = app
        self.limits = limits or ServerLimits()
        """What callers may send; read anew for each request."""
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        # An address that is taken is refused: where two programs share one,
        # each gets a part of the callers, and nobody is told.
        try:
            self._sock = green.listen(
                (host.strip('[]'), int(port)),
                family,
                backlog=1024,
                reuse_port=False,
            )
        except OSError as exc:
            raise OSError(f'cannot listen on {address}: {exc}') from exc
        # Accepted connections inherit it: a caller that takes nothing holds
        # this much of the kernel's memory, not megabytes.
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        bound = self._sock.getsockname()
        self.address = ids.Address(f'{host}:{bound[1]}')
        """Address that is listened on, with the real port."""
        self._pool = green.GreenPool(MAX_CONNECTIONS)
        self.idle_sockets: set[ty.Any] = set()
        """Kept connections on which nothing is in work."""
        self.is_closing = False
        """Whether each connection is closed after its answer."""
        self.retry_after_ms: ty.Callable[[], int] = lambda: 0
        """Says when callers may come back whose heads are larger than the
        limits, in ms; 0 where these are final."""
        self._task: ty.Any = None

    def start(self) -> None:
        """Begin to accept connections."""
        self._task = green.spawn(self._serve)

    def close_idle(self) -> None:
        """Close kept connections, and each other one after its answer.

        New connections are still taken and served, one request each, for
        callers that have not heard of the stop yet.
        """
        self.is_closing = True
        for sock in list(self.idle_sockets):
            # A request that has come is served, though nobody has looked yet.
            if not _has_come(sock):
                self.idle_sockets.discard(sock)
                _shut(sock)

    def stop(self) -> None:
        """Accept no more and cut every connection."""
        if self._task is not None:
            self._task.kill()
        self._sock.close()
        for thread in list(self._pool.coroutines_running):
            thread.kill()

    def _serve(self) -> None:
        protocol = type(
            '_Protocol',
            (strict_protocol.StrictProtocol,),
            {'http_server': self},
        )
        try:
            wsgi.server(
                self._sock,
                self._app,
                log=_NoLog(),
                protocol=protocol,
                custom_pool=self._pool,
                log_output=False,
                debug=False,
                socket_timeout=self.limits.write_timeout_ms / 1000,
                url_length_limit=request_body.MAX_LINE_BYTES,
            )
        except green.GreenletExit:
            pass


def _has_come(sock: ty.Any) -> bool:
    """Return whether there are bytes on a connection that were not read."""
    looking = select.poll()
    looking.register(sock.fileno(), select.POLLIN)
    return bool(looking.poll(0))


def _shut(sock: ty.Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller was faster.
        pass


class _NoLog:
    """The program's own log has an event for each request."""

    def write(self, text: str) -> None:
        """Drop `text`."""

"""HTTP towards callers: eventlet's WSGI server with bounds on each phase."""

from __future__ import annotations

import socket
import typing as ty

from eventlet import wsgi

from peridotmast import green
from peridotmast import ids

MAX_CONNECTIONS = 20_000
MAX_LINE_BYTES = 8192
SEND_BUFFER_BYTES = 65536
IDLE_SECONDS = 60

Application = ty.Callable[..., ty.Iterable[bytes]]


class HeaderTimeout(OSError):
    """A caller took too long to send its headers."""


class HttpServer:
    """One listening address.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one.
    app : callable
        A WSGI application.
    header_seconds : float
        Time for a caller to send the headers of one request.
    write_seconds : float
        Longest time that a caller may take nothing.
    """

    def __init__(
        self,
        address: str,
        app: Application,
        header_seconds: float = 10,
        write_seconds: float = 10,
    ) -> None:
        self._app = app
        self._write_seconds = write_seconds
        self._protocol = type(
            '_Protocol',
            (_BoundedProtocol,),
            {'header_seconds': header_seconds},
        )
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._sock = green.listen(
            (host.strip('[]'), int(port)), family, backlog=1024
        )
        # Accepted connections inherit it: a caller that takes nothing holds
        # this much of the kernel's memory, not megabytes.
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        bound = self._sock.getsockname()
        self.address = ids.Address(f'{host}:{bound[1]}')
        """Address that is listened on, with the real port."""
        self._pool = green.GreenPool(MAX_CONNECTIONS)
        self._task: ty.Any = None

    def start(self) -> None:
        """Begin to accept connections."""
        self._task = green.spawn(self._serve)

    def stop(self) -> None:
        """Accept no more and cut every connection."""
        if self._task is not None:
            self._task.kill()
        self._sock.close()
        for thread in list(self._pool.coroutines_running):
            thread.kill()

    def _serve(self) -> None:
        try:
            wsgi.server(
                self._sock,
                self._app,
                log=_NoLog(),
                protocol=self._protocol,
                custom_pool=self._pool,
                keepalive=IDLE_SECONDS,
                log_output=False,
                debug=False,
                socket_timeout=self._write_seconds,
                url_length_limit=MAX_LINE_BYTES,
            )
        except green.GreenletExit:
            pass


class _BoundedProtocol(wsgi.HttpProtocol):
    """Bounds the time of the headers as a whole, not only of each read."""

    header_seconds: float = 10
    minimum_chunk_size = 1

    def _read_request_line(self) -> bytes:
        with green.Timeout(IDLE_SECONDS, False):
            line = super()._read_request_line()
            self._timer = green.Timeout(
                self.header_seconds, HeaderTimeout('headers took too long')
            )
            return line
        return b''

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except HeaderTimeout:
            self.close_connection = 1
        finally:
            self._cancel_timer()

    def get_environ(self) -> dict[str, ty.Any]:
        self._cancel_timer()
        return super().get_environ()

    def _cancel_timer(self) -> None:
        timer = getattr(self, '_timer', None)
        if timer is not None:
            timer.cancel()


class _NoLog:
    """The program's own log has an event for each request."""

    def write(self, text: str) -> None:
        """Drop `text`."""

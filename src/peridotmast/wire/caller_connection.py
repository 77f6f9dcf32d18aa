"""Access of a request to the connection of its caller."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import typing as ty

from peridotmast import green
from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import stream_hold
from peridotmast.wire import request_body

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_NO_LINGER = struct.pack('ii', 0, 0)
"""SO_LINGER values with which closing a socket resets its connection, or ends
it orderly."""

OVERLOADED = 'overloaded'
"""Reason of a refusal for lack of memory."""

_CHUNKED_VERSION = 'HTTP/1.1'


class CallerDisconnected(Exception):
    """Raised in the task of a request whose caller has disconnected."""


class CallerConnection:
    """Controls the connection on which a request arrived.

    Parameters
    ----------
    protocol : wsgi.HttpProtocol
        The server's protocol instance of the connection.
    """

    def __init__(self, protocol: ty.Any) -> None:
        self._protocol = protocol
        self._sock = protocol.connection
        self._read_watch: ty.Optional[green.ReadWatch] = None
        self.account: memory_budget.MemoryAccount = protocol.account
        """Memory that the request holds."""
        self.account.abort = self._abort

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._sock.fileno()

    def has_left(self) -> bool:
        """Return whether the caller has closed its side, without blocking."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return not self._sock.fd.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def reserve_answer(self, size: int, deadline: int) -> bool:
        """Count bytes of an answer before they are read; wait for room.

        Return whether there is room by `deadline`, in ms.
        """
        return self.account.reserve_answer(size, deadline)

    def begin_hold(self) -> stream_hold.StreamHold:
        """Return what counts the memory of one attempt at a stream."""
        return stream_hold.StreamHold(self.account)

    def read_body(
        self, max_bytes: int, idle_timeout_ms: int, timeout_ms: int = 0
    ) -> bytes:
        """Read the whole body of the request.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the body.
        idle_timeout_ms : int
            Maximum time without a byte of the body, in ms.
        timeout_ms : int, optional
            Maximum time for the whole body, in ms; 0 for no maximum.

        Raises
        ------
        InvalidBodyError
            If the body is too large, late, malformed or incomplete, or if
            there is no memory for it.
        """
        reader = self._protocol.environ['eventlet.input']
        server = self._protocol.http_server
        self._sock.settimeout(idle_timeout_ms / 1000)
        timer = green.Timeout(timeout_ms / 1000 if timeout_ms else None)
        try:
            body = request_body.BodyReader(
                reader,
                request_body.BodyLimits(
                    max_bytes, server.limits.max_header_bytes
                ),
                self._protocol.turn,
                self.account,
            ).read()
            # The server must not look for a rest of the body.
            reader.chunk_length = 0
            return body
        except TimeoutError:
            raise self._refuse(408, 'body_late') from None
        except green.Timeout as exc:
            if exc is not timer:
                raise
            raise self._refuse(408, 'body_late') from None
        except OSError:
            raise self._refuse(400, 'body_broken') from None
        except request_body.InvalidBodyError as exc:
            raise self._refuse(exc.status, exc.reason) from None
        except memory_budget.OverloadedError:
            raise self._refuse(
                503, OVERLOADED, memory_budget.RETRY_MS
            ) from None
        finally:
            timer.cancel()
            self._sock.settimeout(self._protocol.server.socket_timeout)

    def watch_for_close(self) -> None:
        """Raise `CallerDisconnected` in this task once the caller closes.

        If the caller pipelines another request, its bytes end the watch. A
        close is then detected only when the response is written.
        """
        task = green.current()

        def on_readable() -> None:
            self._read_watch = None
            if self.has_left():
                green.raise_in_task(task, CallerDisconnected())

        self._read_watch = green.ReadWatch(self.fileno(), on_readable)

    def stop_watching(self) -> None:
        """Stop watching for a close by the caller."""
        if self._read_watch is not None:
            self._read_watch.cancel()
            self._read_watch = None

    @property
    def is_head(self) -> bool:
        """Whether the request is a HEAD, whose answer has no body."""
        return bool(self._protocol.command == 'HEAD')

    @property
    def accepts_chunks(self) -> bool:
        """Whether the caller's version of HTTP has chunks."""
        return self._protocol.request_version == _CHUNKED_VERSION

    def end_with_connection(self) -> None:
        """Send the current response without a length and without chunks.

        Until `close_orderly` the connection is reset when it is closed, by
        this router or by the kernel if this process is killed.
        """
        # The server sends chunks to all callers of a later version.
        self._protocol.request_version = 'HTTP/1.0'
        self._protocol.close_connection = 1
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )

    def close_orderly(self) -> None:
        """Close a connection that marks the end of its response."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)

    def close_if_pressed(self) -> None:
        """Close the connection after the response if others need room."""
        if self._protocol.http_server.connections.is_pressed:
            self.close_after()

    def close_after(self) -> None:
        """Close the connection after the current response."""
        self._protocol.close_connection = 1

    def reset(self) -> None:
        """Reset the connection, so that its response can't look complete.

        An orderly close would look like the end of a response that has
        neither a length nor chunks.
        """
        self._protocol.was_reset = True
        self._protocol.close_connection = 1
        if self._sock.fileno() < 0:
            return
        self.stop_watching()
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        os.close(self._sock.fd.detach())

    def _abort(self) -> None:
        """Break the response off; its task ends at its next write."""
        if self._sock.fileno() < 0:
            return
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def _refuse(
        self, status: int, reason: str, retry_after_ms: int = 0
    ) -> request_body.InvalidBodyError:
        self._protocol.lingers_on_close = True
        self._protocol.close_connection = 1
        # The rest of the body must not be parsed as another request.
        reader = self._protocol.environ['eventlet.input']
        reader.chunked_input = False
        reader.position = reader.content_length or 0
        return request_body.InvalidBodyError(status, reason, retry_after_ms)

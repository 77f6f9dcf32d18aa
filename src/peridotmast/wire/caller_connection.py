"""A caller's connection as the request on it sees it."""

from __future__ import annotations

import os
import socket
import struct
import typing as ty

from peridotmast import green
from peridotmast.wire import request_body


class CallerLeft(Exception):
    """Raised in the task of a request whose caller has closed."""


class CallerConnection:
    """What a request may do with the connection that it came on.

    Parameters
    ----------
    protocol : wsgi.HttpProtocol
        The server's side of it.
    """

    def __init__(self, protocol: ty.Any) -> None:
        self._protocol = protocol
        self._sock = protocol.connection
        self._watch: ty.Optional[green.ReadWatch] = None

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._sock.fileno()

    def has_left(self) -> bool:
        """Return whether the caller has closed its side, without waiting."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return not self._sock.fd.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def read_body(self, max_bytes: int, pause_ms: int) -> bytes:
        """Read the whole body of the request.

        Parameters
        ----------
        max_bytes : int
            Largest body that is taken.
        pause_ms : int
            Longest time without a byte of it.

        Raises
        ------
        BadBody
            If it is too large, too late, not framed right or broken off.
        """
        reader = self._protocol.environ['eventlet.input']
        self._sock.settimeout(pause_ms / 1000)
        try:
            if reader.chunked_input:
                body = request_body.read_chunks(reader, max_bytes)
                reader.chunk_length = 0
            else:
                body = request_body.read_length(reader, max_bytes)
            return body
        except TimeoutError:
            raise self._refuse(408, 'body_late') from None
        except OSError:
            raise self._refuse(400, 'body_broken') from None
        except request_body.BadBody as exc:
            raise self._refuse(exc.status, exc.reason) from None
        finally:
            self._sock.settimeout(self._protocol.server.socket_timeout)

    def watch(self) -> None:
        """Raise `CallerLeft` in this task once the caller closes.

        Bytes of a next request, sent before this one's answer, end the
        watch: then a close is found out when the answer is written.
        """
        task = green.current()

        def on_readable() -> None:
            self._watch = None
            if self.has_left():
                green.raise_in_task(task, CallerLeft())

        self._watch = green.ReadWatch(self.fileno(), on_readable)

    def unwatch(self) -> None:
        """Watch no more."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def close_after(self) -> None:
        """Close the connection once the current answer is out."""
        self._protocol.close_connection = 1

    def break_off(self) -> None:
        """End the connection so that no answer on it can look whole.

        It is reset: without a length or chunks a plain end would look like
        the answer's.
        """
        self._protocol.broken = True
        self._protocol.close_connection = 1
        if self._sock.fileno() < 0:
            return
        self.unwatch()
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        os.close(self._sock.fd.detach())

    def _refuse(self, status: int, reason: str) -> request_body.BadBody:
        self._protocol.lingers = True
        self._protocol.close_connection = 1
        # The rest is not to be read as another request.
        reader = self._protocol.environ['eventlet.input']
        reader.chunked_input = False
        reader.position = reader.content_length or 0
        return request_body.BadBody(status, reason)

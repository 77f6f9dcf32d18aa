"""Stand-in of an engine whose streams hold no whole event."""

from __future__ import annotations

import re
import socket
import typing as ty

from eventlet.green import socket as green_socket

from peridotmast import green
from peridotmast import ids
from peridotmast.platform import names
from peridotmast.standin import endless

_READ_BYTES = 65536
_BACKLOG = 1024
_REQUEST_ID = re.compile(
    rb'(?i)\r\n' + names.REQUEST_ID.encode() + rb': ([^\r]+)'
)
_LENGTH = re.compile(rb'(?i)\r\ncontent-length: (\d+)')
_NO_ANSWER = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'


class EndlessEngine:
    """Sends a stream without end, or up to a size and then nothing.

    Parameters
    ----------
    name : str
        Id of the upstream.
    kind : str
        Key of `endless.STREAMS` or `endless.FILLERS`.
    max_bytes : int, optional
        Bytes after which it is silent; 0 for no such size.
    """

    def __init__(self, name: str, kind: str, max_bytes: int = 0) -> None:
        self.name = name
        self._kind = kind
        self._max_bytes = max_bytes
        self._sock = green_socket.socket()
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(_BACKLOG)
        host, port = self._sock.getsockname()
        self.address = ids.Address(f'{host}:{port}')
        """Address on which it listens."""
        self._task = green.spawn(self._accept)

    def stop(self) -> None:
        """Stop listening; streams end with their connections."""
        self._task.kill()
        self._sock.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self._sock.accept()
            green.spawn(self._serve, sock)

    def _serve(self, sock: ty.Any) -> None:
        try:
            while (request := _read_request(sock)) is not None:
                request_id = _REQUEST_ID.search(request)
                if request_id is None:
                    sock.sendall(_NO_ANSWER)
                else:
                    self._send_stream(sock, request_id[1])
                    sock.recv(_READ_BYTES)
                    break
        except OSError:
            # The router has closed the connection.
            pass
        finally:
            sock.close()

    def _send_stream(self, sock: ty.Any, request_id: bytes) -> None:
        head = (
            f'HTTP/1.1 200 OK\r\n{names.SEAL}: {self.name}.1\r\n'
            'Content-Type: text/event-stream\r\n'
            f'{names.REQUEST_ID}: '
        ).encode()
        sent_bytes = 0
        for piece in endless.pieces(self._kind, head + request_id + b'\r\n'):
            sock.sendall(piece)
            sent_bytes += len(piece)
            if 0 < self._max_bytes <= sent_bytes:
                return
            green.sleep_ms(0)


def _read_request(sock: socket.socket) -> ty.Optional[bytes]:
    """Return the head of the next request, once its body was read."""
    data = b''
    while b'\r\n\r\n' not in data:
        if not (part := sock.recv(_READ_BYTES)):
            return None
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    length = _LENGTH.search(head)
    left = int(length[1]) - len(body) if length else 0
    while left > 0 and (part := sock.recv(_READ_BYTES)):
        left -= len(part)
    return head

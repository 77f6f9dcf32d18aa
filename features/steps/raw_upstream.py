"""An upstream whose responses are scripted bytes, valid or not."""

from __future__ import annotations

import re
import socket

from eventlet.green import socket as green_socket

from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb


class RawUpstream:
    """Answers each request by calling `script`.

    Parameters
    ----------
    script : callable
        Called with the socket, the request id (empty if there is none) and
        the number of the request on its connection; a false result closes
        the connection.
    reads_body : bool, optional
        Whether request bodies are read.
    """

    def __init__(self, script, reads_body=True):
        self._script = script
        self._reads_body = reads_body
        self.requests = []
        self.numbers = []
        """Number of each request on its connection, in order of arrival."""
        self.bytes_after = b''
        self._sock = green_socket.socket()
        # A small buffer blocks the sender of a long body that is not read.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self._sock.bind(('127.0.0.1', 0))
        self._sock.listen(16)
        self.address = '127.0.0.1:%d' % self._sock.getsockname()[1]
        self._task = green.spawn(self._accept)

    def stop(self):
        self._task.kill()
        self._sock.close()

    def register(
        self,
        fleet,
        service,
        name='raw-1',
        version='',
        state=pb.UPSTREAM_STATE_LIVE,
    ):
        """Write an entry of this upstream to the store."""
        from peridotmast.platform import upstream_codec

        record = pb.UpstreamRecord(
            upstream=pb.Upstream(
                name=name,
                address=self.address,
                failure_domain=fleet.domains[0],
                service=service,
                slots=64,
                version=version,
            ),
            state=state,
        )
        fleet.store.put(
            names.UPSTREAM_KIND, name, upstream_codec.write_upstream(record)
        )

    def _accept(self):
        while True:
            sock, _ = self._sock.accept()
            green.spawn(self._serve, sock)

    def _serve(self, sock):
        number = 0
        try:
            while (head := self._read_head(sock)) is not None:
                self.requests.append(head)
                match = re.search(
                    names.REQUEST_ID.encode() + rb': ([^\r]+)', head, re.I
                )
                number += 1
                self.numbers.append(number)
                request_id = match[1].decode() if match else ''
                if not self._script(sock, request_id, number):
                    break
        except OSError:
            pass
        finally:
            sock.close()

    def _read_head(self, sock):
        data = b''
        while b'\r\n\r\n' not in data:
            chunk = sock.recv(65536)
            if not chunk:
                return None
            data += chunk
        head, _, rest = data.partition(b'\r\n\r\n')
        match = re.search(rb'content-length: (\d+)', head, re.I)
        left = int(match[1]) - len(rest) if match else 0
        while left > 0 and self._reads_body:
            left -= len(sock.recv(65536))
        return head


def ok_response(request_id, body=b'fine', extra=b''):
    """Return the bytes of a valid response with status 200."""
    return (
        (
            f'HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: {request_id}\r\n'
            f'{names.SEAL}: raw.1\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode()
        + body
        + extra
    )

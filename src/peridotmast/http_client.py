"""HTTP towards upstreams and the platform, by a green urllib3."""

from __future__ import annotations

import dataclasses
import json
import typing as ty

import eventlet

from peridotmast import failures
from peridotmast import green

urllib3: ty.Any = eventlet.import_patched('urllib3')
_connection: ty.Any = eventlet.import_patched('urllib3.connection')

_READ_BYTES = 65536
_ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)
# http.client's errors come from the patched copy of that module.
_HTTP_ERRORS = (_connection.HTTPException, *_ERRORS)


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole answer."""

    status: int
    headers: ty.Mapping[str, str]
    body: bytes

    def json(self) -> ty.Any:
        """Return the body read as JSON; raises ValueError if it is none."""
        return json.loads(self.body or b'{}')


class HttpClient:
    """Short calls over kept connections, each bounded in time.

    Parameters
    ----------
    timeout_ms : int
        Bound on connecting and on each silence.
    """

    def __init__(self, timeout_ms: int = 1500) -> None:
        self._timeout_ms = timeout_ms
        self._pool = urllib3.PoolManager(
            num_pools=64, maxsize=32, block=False, retries=False
        )

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: ty.Any = None,
        headers: ty.Optional[dict[str, str]] = None,
        timeout_ms: int = 0,
    ) -> ty.Union[Reply, failures.Failure]:
        """Make one call; a `failures.Failure` means no answer came."""
        seconds = (timeout_ms or self._timeout_ms) / 1000
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        try:
            with eventlet.Timeout(seconds, TimeoutError('no answer in time')):
                resp = self._pool.request(
                    method,
                    f'http://{address}{path}',
                    body=data,
                    headers=headers or {},
                    timeout=seconds,
                )
        except _HTTP_ERRORS as exc:
            return failures.unavailable('no_answer', str(exc)[:200])
        return Reply(resp.status, resp.headers, resp.data)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.clear()


class Stream:
    """One request to an upstream on a connection of its own.

    A fresh connection tells exactly whether anything was sent: before
    `send` is called, nothing was.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    connect_ms, silence_ms : int
        Bounds on connecting and on each silence.
    """

    def __init__(self, address: str, connect_ms: int, silence_ms: int) -> None:
        host, _, port = address.rpartition(':')
        self._conn = _connection.HTTPConnection(
            host.strip('[]'), int(port), timeout=connect_ms / 1000
        )
        # Without chunks the bytes of the body come as the upstream sent
        # them; every event stream marks its own end.
        self._conn._http_vsn, self._conn._http_vsn_str = 10, 'HTTP/1.0'
        self._silence_ms = silence_ms
        self._fd = -1
        self._resp: ty.Any = None

    def connect(self) -> ty.Optional[failures.Failure]:
        """Open the connection; a failure means that nothing was sent."""
        try:
            self._conn.connect()
            # The library sets this on the socket again with each request.
            self._conn.timeout = self._silence_ms / 1000
        except _HTTP_ERRORS as exc:
            self.close()
            return failures.not_run('no_connection', str(exc)[:200])
        return None

    def send(
        self,
        method: str,
        path: str,
        body: ty.Any = None,
        headers: ty.Optional[dict[str, str]] = None,
    ) -> ty.Union[int, failures.Failure]:
        """Send the request and return the status of the answer."""
        data = None if body is None else json.dumps(body).encode()
        try:
            self._conn.request(
                method,
                path,
                body=data,
                headers=headers or {},
                preload_content=False,
            )
            self._resp = self._conn.getresponse()
        except _HTTP_ERRORS as exc:
            self.close()
            return failures.unknown('broke_off', str(exc)[:200])
        return self._resp.status

    def set_silence(self, silence_ms: int) -> None:
        """Change the bound on each silence from here on."""
        self._silence_ms = silence_ms

    def read_some(self) -> ty.Union[bytes, failures.Failure]:
        """Return the next bytes of the answer; empty at its end."""
        try:
            return self._read1()
        except _HTTP_ERRORS as exc:
            self.close()
            return failures.unknown('broke_off', str(exc)[:200])

    def read_all(self) -> ty.Union[bytes, failures.Failure]:
        """Return the rest of the answer."""
        parts: list[bytes] = []
        while True:
            part = self.read_some()
            if isinstance(part, failures.Failure):
                return part
            if not part:
                return b''.join(parts)
            parts.append(part)

    def close(self) -> None:
        """Close the connection."""
        self._forget()
        self._conn.close()
        if self._resp is not None:
            self._resp.close()

    def _read1(self) -> bytes:
        raw = self._resp._original_response
        if self._fd < 0:
            # What came with the headers stands in a buffer already.
            self._fd = raw.fileno()
        elif not green.readiness.wait(self._fd, self._silence_ms):
            raise TimeoutError('timed out')
        data = raw.read1(_READ_BYTES)
        if not data:
            # The library has closed the socket; its number may come again.
            self._forget()
        return data

    def _forget(self) -> None:
        if self._fd >= 0:
            green.readiness.forget(self._fd)
            self._fd = -1

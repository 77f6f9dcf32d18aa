"""HTTP client for short calls with time-outs."""

from __future__ import annotations

import dataclasses
import json
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.wire import connection as connection_
from peridotmast.wire import framing
from peridotmast.wire import pool as pool_

_MAX_BODY_BYTES = 64 << 20
"""Maximum size of a response body that its client does not limit."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: connection_.Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the first header called `name`, in any case, or empty."""
        wanted = name.lower()
        found = (text for n, text in self.headers if n.lower() == wanted)
        return next(found, '')

    def json(self) -> ty.Any:
        """Return the body parsed as JSON; an empty body is an empty object.

        Raises
        ------
        ValueError
            If the body is not valid JSON or nested too deeply.
        """
        try:
            return json.loads(self.body or b'{}')
        except RecursionError as exc:
            raise ValueError('JSON nested too deeply') from exc


class HttpClient:
    """Makes calls over pooled connections.

    Parameters
    ----------
    timeout_ms : int
        Time-out of one call, in ms. With `body_timeout_ms`, it also limits
        the time without a byte of the body.
    clock : clock.Clock, optional
        Measures the time-outs; the system clock by default.
    max_body_bytes : int, optional
        Maximum size of a response body.
    """

    def __init__(
        self,
        timeout_ms: int = 1500,
        clock: ty.Optional[clock_.Clock] = None,
        max_body_bytes: int = _MAX_BODY_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._timeout_ms = timeout_ms
        self._clock = clock or clock_.SystemClock()
        self._pool = pool_.ConnectionPool(self._clock, timeout_ms)

    def request(
        self,
        method: str,
        address: str,
        path: str,
        body: ty.Any = None,
        headers: ty.Optional[dict[str, str]] = None,
        timeout_ms: int = 0,
        body_timeout_ms: int = 0,
        on_bytes: ty.Callable[[], None] = lambda: None,
        may_send: ty.Callable[[], bool] = lambda: True,
    ) -> ty.Union[Response, failures.Failure]:
        """Send a request and return its response.

        If a call times out, its unsent data is discarded with its connection.
        Otherwise the data could arrive after a network partition, when the
        sender has already made a different decision.

        Parameters
        ----------
        body : optional
            Bytes, or a value to be sent as JSON.
        timeout_ms : int, optional
            Time-out of this call, in ms; with `body_timeout_ms`, only until
            the response begins. 0 for the time-out of the client.
        body_timeout_ms : int, optional
            Time-out of the body of a response that may be large, in ms. The
            time without a byte of the body is limited to the time-out of the
            client. 0 for a short response, without a separate time-out.
        on_bytes : callable, optional
            Called when bytes of the response arrive.
        may_send : callable, optional
            Returns whether the call may still be sent. It is called when the
            connection is open, right before the first byte is sent.

        Returns
        -------
        Response or Failure
            NOT_RUN if nothing was sent; other failures mean that no complete
            response was received.
        """
        deadline = self._clock.now() + (timeout_ms or self._timeout_ms)
        conn = self._pool.acquire(address)
        if isinstance(conn, failures.Failure):
            return conn
        if not may_send():
            conn.close()
            return failures.not_run('too_late')
        conn.reset_on_close = True
        try:
            response: ty.Union[Response, failures.Failure, None] = _send(
                conn, method, address, path, body, headers or {}, deadline
            )
            if response is None:
                response = self._receive(
                    conn, method, deadline, body_timeout_ms, on_bytes
                )
        except BaseException:
            conn.close()
            raise
        if isinstance(response, failures.Failure):
            conn.close()
            # The cause of the failure may affect other connections too.
            self._pool.close_idle(address)
        else:
            conn.reset_on_close = False
            self._pool.release(address, conn)
        return response

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _receive(
        self,
        conn: connection_.Connection,
        method: str,
        deadline: int,
        body_timeout_ms: int,
        on_bytes: ty.Callable[[], None],
    ) -> ty.Union[Response, failures.Failure]:
        head = conn.read_head(method, deadline)
        if isinstance(head, failures.Failure):
            return head
        on_bytes()
        idle_timeout_ms = 0
        if body_timeout_ms:
            # The duration grows with the size of the body and the load on the
            # link. After a time-out, the whole body must be sent again.
            deadline = self._clock.now() + body_timeout_ms
            idle_timeout_ms = self._timeout_ms
        body = conn.read_all(
            deadline, self._max_body_bytes, idle_timeout_ms, on_bytes
        )
        if isinstance(body, failures.Failure):
            return body
        if not body and head.framing is framing.Framing.CONNECTION:
            # An empty body would pass for an empty object.
            return failures.unknown('cut_short', 'neither length nor body')
        return Response(head.status, head.headers, body)


def _send(
    conn: connection_.Connection,
    method: str,
    address: str,
    path: str,
    body: ty.Any,
    headers: dict[str, str],
    deadline: int,
) -> ty.Optional[failures.Failure]:
    header_lines = [('Host', address), *headers.items()]
    data = body or b''
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body, separators=(',', ':')).encode()
        header_lines.append(('Content-Type', 'application/json'))
    return conn.send(method, path, header_lines, data, deadline)

"""Short calls: a request and its whole answer, bounded in time."""

from __future__ import annotations

import dataclasses
import json
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.wire import connection as connection_
from peridotmast.wire import pool as pool_

_ANSWER_BYTES = 64 << 20
"""Longest answer that is read."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A whole answer."""

    status: int
    headers: connection_.Headers
    body: bytes

    def json(self) -> ty.Any:
        """Return the body read as JSON; raises ValueError if it is none."""
        try:
            return json.loads(self.body or b'{}')
        except RecursionError as exc:
            raise ValueError('nested too deeply') from exc


class HttpClient:
    """Calls over kept connections.

    Parameters
    ----------
    timeout_ms : int
        Bound on one call; of one whose answer may be large, on its silence.
    clock : clock.Clock, optional
        Times the calls; the machine's by default.
    """

    def __init__(
        self,
        timeout_ms: int = 1500,
        clock: ty.Optional[clock_.Clock] = None,
    ) -> None:
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
        """Make one call.

        What is on its way when it is given up is dropped with its connection:
        it would arrive after a cut, when whoever sent it has decided anew.

        Parameters
        ----------
        body : optional
            Bytes, or a value that is sent as JSON.
        timeout_ms : int, optional
            Bound on this call, in ms; with `body_timeout_ms`, only until its
            answer begins.
        body_timeout_ms : int, optional
            Bound on the rest of an answer that may be large, in ms, which
            then may not be silent for longer than any call may take. 0 where
            the answer is short.
        on_bytes : callable, optional
            Called as bytes of the answer come.
        may_send : callable, optional
            Asked once there is a connection, right before the first byte:
            whether the call is still to be made.

        Returns
        -------
        Response or Failure
            NOT_RUN where nothing was sent; else no answer came.
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
            reply: ty.Union[Response, failures.Failure, None] = _send(
                conn, method, address, path, body, headers or {}, deadline
            )
            if reply is None:
                reply = self._receive(
                    conn, method, deadline, body_timeout_ms, on_bytes
                )
        except BaseException:
            conn.close()
            raise
        if isinstance(reply, failures.Failure):
            conn.close()
            # What made one connection silent may have hit the others.
            self._pool.close_idle(address)
        else:
            conn.reset_on_close = False
            self._pool.release(address, conn)
        return reply

    def close(self) -> None:
        """Close the kept connections."""
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
        silence_ms = 0
        if body_timeout_ms:
            # How long it takes grows with its size and with what else is on
            # the link; given up, it would have to come again as a whole.
            deadline = self._clock.now() + body_timeout_ms
            silence_ms = self._timeout_ms
        body = conn.read_all(deadline, _ANSWER_BYTES, silence_ms, on_bytes)
        if isinstance(body, failures.Failure):
            return body
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
    lines = [('Host', address), *headers.items()]
    data = body or b''
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body, separators=(',', ':')).encode()
        lines.append(('Content-Type', 'application/json'))
    return conn.send(method, path, lines, data, deadline)

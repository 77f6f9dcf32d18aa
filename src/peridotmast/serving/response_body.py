"""Body of a response for the WSGI server."""

from __future__ import annotations

import http.client
import typing as ty

from peridotmast.serving import decisions as decisions_
from peridotmast.serving import reply as reply_
from peridotmast.wire import answer_parts
from peridotmast.wire import caller_connection
from peridotmast.wire import connection as connection_
from peridotmast.wire import framing

HOP_BY_HOP = frozenset((
    'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate',
    'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
    'content-length', 'expect',
))  # fmt: skip
"""Headers that apply to one connection only and are not forwarded."""

_LENGTH = 'Content-Length'


class ResponseBody:
    """Response body for the WSGI server.

    If the body breaks off, the connection is reset, so that the caller can't
    take the response for complete. A body of which only the end of the
    upstream's connection marks the end is sent to the caller in the same way.

    Parameters
    ----------
    reply : reply.Reply
        The response.
    conn : caller_connection.CallerConnection
        Connection of the caller.
    start : callable
        Sends status and headers.
    decisions : decisions.Decisions
        Records a response that breaks off.
    request_id : str
        Id of the request.
    """

    def __init__(
        self,
        reply: reply_.Reply,
        conn: caller_connection.CallerConnection,
        start: ty.Callable[..., ty.Any],
        decisions: decisions_.Decisions,
        request_id: str,
    ) -> None:
        self._reply = reply
        self._conn = conn
        self._decisions = decisions
        self._request_id = request_id
        self._is_done = False
        body = reply.body
        is_whole = isinstance(body, bytes)
        self._parts = answer_parts.AnswerParts(body, conn.account)
        self._ends_with_connection = (
            reply.head.framing is framing.Framing.CONNECTION
            or not (is_whole or conn.accepts_chunks)
        )
        headers = [
            (name, value)
            for name, value in reply.head.headers
            if name.lower() not in HOP_BY_HOP
        ]
        conn.close_if_pressed()
        if self._ends_with_connection:
            conn.end_with_connection()
        elif isinstance(body, bytes):
            headers += _length_header(reply.head, body, conn.is_head)
        start(status_line(reply.head.status), headers)

    def __iter__(self) -> ty.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except StopIteration:
            self._is_done = True
            if self._ends_with_connection:
                self._conn.close_orderly()
            raise
        except reply_.BrokenAnswer as exc:
            self._conn.reset()
            self._decisions.note(
                self._request_id, 'answer_broken', reason=str(exc)
            )
            raise

    def close(self) -> None:
        """Release the resources of the response; called by the server."""
        self._conn.stop_watching()
        if self._ends_with_connection and not self._is_done:
            self._conn.reset()
        self._reply.close()


def status_line(status: int) -> str:
    """Return a status with its text."""
    return f'{status} {http.client.responses.get(status, "Status")}'


def _length_header(
    head: connection_.ResponseHead, body: bytes, is_head: bool
) -> connection_.Headers:
    """Return the header with the length of a whole body.

    An answer to HEAD states the length that the upstream states for GET, if
    any; a peer that has passed it on states 0 for what it has itself sent.
    """
    if not is_head:
        return [(_LENGTH, str(len(body)))]
    length = head.get(_LENGTH)
    return [(_LENGTH, length)] if length.strip('0') else []

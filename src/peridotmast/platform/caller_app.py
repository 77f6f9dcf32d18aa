"""The platform's callers: their requests read, their answers written."""

from __future__ import annotations

import http.client
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.platform import names
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import gateway as gateway_
from peridotmast.serving import reply as reply_
from peridotmast.wire import caller_connection
from peridotmast.wire import connection
from peridotmast.wire import request_body
from peridotmast.wire import server as server_
from peridotmast.wire import strict_protocol

_HOP = frozenset((
    'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate',
    'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
    'content-length', 'expect',
))  # fmt: skip
"""Headers that concern one connection only."""

_OURS = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.TEAM,
        names.EXPECT_UPSTREAM,
        names.PRIORITY,
        names.EXPECT_VERSION,
        names.PIN_MS,
        names.RESERVATION,
        names.BACKUP,
        names.COPY_FROM,
        names.FETCH_FROM,
        names.HOLDER,
        names.FENCING,
    )
)
"""Headers that the system sets itself: a caller's are not believed."""

_STATUS = {
    failures.FailureKind.NOT_RUN: 503,
    failures.FailureKind.OUTCOME_UNKNOWN: 502,
    failures.FailureKind.UNAVAILABLE: 503,
}
_STATUS_BY_REASON = {
    'no_route': 404,
    'no_key': 401,
    'team_limit': 429,
    'silent': 504,
    'timed_out': 504,
}
_TOO_LARGE = 413


class PlatformCallerApp:
    """A WSGI application over the one way of a request.

    Parameters
    ----------
    clock : clock.Clock
        Times requests.
    gateway : gateway.Gateway
        The way of a request.
    limits : server.ServerLimits
        What callers may send.
    decisions : decisions.Decisions
        Notes who leaves and which answers break.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        gateway: gateway_.Gateway,
        limits: server_.ServerLimits,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._gateway = gateway
        self._limits = limits
        self._decisions = decisions

    def __call__(
        self, environ: dict[str, ty.Any], start: ty.Callable[..., ty.Any]
    ) -> ty.Iterable[bytes]:
        conn = environ[strict_protocol.CONNECTION]
        entered = self._clock.now()
        headers = environ['headers_raw']
        request_id = _get(headers, names.REQUEST_ID)
        try:
            body = conn.read_body(
                self._limits.max_body_bytes, self._limits.idle_timeout_ms
            )
        except request_body.InvalidBodyError as exc:
            return self._refuse_body(start, exc, request_id)
        asked = gateway_.IncomingRequest(
            id=request_id,
            method=environ['REQUEST_METHOD'],
            target=environ[strict_protocol.TARGET],
            host=_get(headers, 'Host'),
            key=_key(_get(headers, names.AUTHORIZATION)),
            headers=_end_to_end(headers),
            body=body,
            arrived_at=entered,
            caller_timeout_ms=_number(_get(headers, names.DEADLINE_MS)),
            prompt=_prompt(headers),
            caller=conn,
        )
        conn.watch_for_close()
        try:
            result = self._gateway.handle(asked)
        except caller_connection.CallerDisconnected:
            self._decisions.note(request_id, 'caller_left')
            conn.stop_watching()
            raise
        if isinstance(result, failures.Failure):
            conn.stop_watching()
            return self._refuse(start, result, request_id)
        return _Answer(result, conn, start, self._decisions, request_id)

    def _refuse_body(
        self,
        start: ty.Callable[..., ty.Any],
        bad: request_body.InvalidBodyError,
        request_id: str,
    ) -> ty.Iterable[bytes]:
        # A newer configuration may take larger ones.
        is_bound = bad.status == _TOO_LARGE
        retry_ms = self._gateway.retry_ms() if is_bound else 0
        status = 503 if retry_ms else bad.status
        self._decisions.note(
            request_id, 'refused', reason=bad.reason, status=status
        )
        return _refuse(start, status, bad.reason, request_id, retry_ms)

    def _refuse(
        self,
        start: ty.Callable[..., ty.Any],
        failure: failures.Failure,
        request_id: str,
    ) -> ty.Iterable[bytes]:
        status = _STATUS_BY_REASON.get(failure.reason)
        if status is None:
            status = _STATUS.get(failure.kind, 502)
        return _refuse(
            start,
            status,
            failure.reason,
            request_id,
            failure.retry_after_ms,
        )


class _Answer:
    """An answer as the server's iterable; ends visibly where it breaks."""

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
        self._done = False
        body = reply.body
        self._parts = iter((body,)) if isinstance(body, bytes) else body
        headers = [
            (name, value)
            for name, value in reply.head.headers
            if name.lower() not in _HOP
        ]
        if isinstance(body, bytes):
            headers.append(('Content-Length', str(len(body))))
        start(_status_line(reply.head.status), headers)

    def __iter__(self) -> ty.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self._parts)
        except StopIteration:
            self._done = True
            raise
        except reply_.BrokenAnswer as exc:
            self._conn.reset()
            self._decisions.note(
                self._request_id, 'answer_broken', reason=str(exc)
            )
            raise

    def close(self) -> None:
        """Give back what the answer holds; the server calls this."""
        self._conn.stop_watching()
        self._reply.close()


def _refuse(
    start: ty.Callable[..., ty.Any],
    status: int,
    reason: str,
    request_id: str,
    retry_after_ms: int = 0,
) -> ty.Iterable[bytes]:
    body = reason.encode()
    headers = [
        ('Content-Type', 'text/plain'),
        ('Content-Length', str(len(body))),
    ]
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    if retry_after_ms:
        headers.append((names.RETRY_AFTER, f'{retry_after_ms / 1000:g}'))
    start(_status_line(status), headers)
    return [body]


def _status_line(status: int) -> str:
    return f'{status} {http.client.responses.get(status, "Status")}'


def _get(headers: ty.Iterable[tuple[str, str]], name: str) -> str:
    wanted = name.lower()
    return next((v for n, v in headers if n.lower() == wanted), '')


def _key(authorization: str) -> str:
    if authorization.lower().startswith(names.KEY_SCHEME.lower()):
        return authorization[len(names.KEY_SCHEME) :].strip()
    return ''


def _end_to_end(
    headers: ty.Iterable[tuple[str, str]],
) -> connection.Headers:
    """Return what goes on to an upstream of a caller's headers."""
    headers = list(headers)
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for word in value.split(',')
    }
    left_out = _HOP | _OURS | named | {names.AUTHORIZATION.lower()}
    # A header that the system goes by must not be lost that way.
    left_out -= {names.REQUEST_ID.lower(), 'host'}
    return [(n, v) for n, v in headers if n.lower() not in left_out]


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0


def _prompt(headers: ty.Iterable[tuple[str, str]]) -> exchange_.Prompt:
    counts = _get(headers, names.TOKEN_COUNTS).split(',')
    tokens = [_number(count.strip()) for count in counts] + [0]
    parts = (
        part.strip().partition(':')
        for part in _get(headers, names.PROMPT_PARTS).split(',')
        if part.strip()
    )
    return exchange_.Prompt(
        model=_get(headers, names.MODEL),
        tokens_in=tokens[0],
        tokens_out=tokens[1],
        parts=tuple(
            exchange_.PromptPart(name, _number(size))
            for name, _, size in parts
        ),
    )

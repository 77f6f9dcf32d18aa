"""WSGI application for callers that use the platform's protocol."""

from __future__ import annotations

import re
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast.platform import names
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import gateway as gateway_
from peridotmast.serving import response_body
from peridotmast.wire import caller_connection
from peridotmast.wire import connection
from peridotmast.wire import request_body
from peridotmast.wire import server as server_
from peridotmast.wire import strict_protocol

_ROUTER_HEADERS = frozenset(
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
"""Headers that only routers may set; those of a caller are not trusted."""

_MAX_DIGITS = 18
"""Maximum number of digits of a number in a header: more may overflow the
messages between routers, and Python refuses to convert thousands of them."""

_MAX_INTEGER = 10**_MAX_DIGITS - 1

_MAX_TOKENS = 10**9
"""Maximum number of tokens of a request or of a part of its prompt. No engine
has so much memory, and sums over many requests stay within 64 bits."""

_TOKENS_OUT_OF_RANGE = 'tokens_out_of_range'

_STATUS_BY_KIND = {
    failures.FailureKind.NOT_RUN: 503,
    failures.FailureKind.OUTCOME_UNKNOWN: 502,
}
_STATUS_BY_REASON = {
    'no_route': 404,
    'no_key': 401,
    _TOKENS_OUT_OF_RANGE: 400,
    'silent': 504,
    'timed_out': 504,
}
_TEAM_LIMIT_STATUS = 429
_MAX_BODY_MS = 86_400_000
"""Longest time limit of a body, in ms: a caller may state any number."""
_TOO_LARGE = 413
_POSITION = re.compile(r'[1-9][0-9]{0,17}')
"""Pattern of an event id that readers of events know as a number."""


class PlatformCallerApp:
    """WSGI application that passes requests to the gateway.

    Parameters
    ----------
    clock : clock.Clock
        Provides the arrival time of requests.
    gateway : gateway.Gateway
        Handles the requests.
    limits : server.ServerLimits
        Limits on the size and the duration of requests.
    decisions : decisions.Decisions
        Records refusals, disconnected callers and broken responses.
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
        arrived_at = self._clock.now()
        headers = environ['headers_raw']
        request_id = _get_header(headers, names.REQUEST_ID)
        caller_timeout_ms = _parse_integer(
            _get_header(headers, names.DEADLINE_MS)
        )
        try:
            # Nobody waits for an answer to a body that arrives later.
            body = conn.read_body(
                self._limits.max_body_bytes,
                self._limits.idle_timeout_ms,
                min(caller_timeout_ms, _MAX_BODY_MS),
            )
        except request_body.InvalidBodyError as exc:
            return self._refuse_body(start, exc, request_id)
        prompt = _parse_prompt(headers)
        if isinstance(prompt, failures.Failure):
            return self._refuse_prompt(start, prompt, request_id)
        incoming = gateway_.IncomingRequest(
            id=request_id,
            method=environ['REQUEST_METHOD'],
            target=environ[strict_protocol.TARGET],
            host=_get_header(headers, 'Host'),
            key=_api_key(_get_header(headers, names.AUTHORIZATION)),
            headers=_forwarded_headers(headers),
            body=body,
            arrived_at=arrived_at,
            caller_timeout_ms=caller_timeout_ms,
            prompt=prompt,
            resumes=_resumed_id(headers),
            last_event=_last_event(headers),
            caller=conn,
        )
        conn.watch_for_close()
        try:
            result = self._gateway.handle(incoming)
        except caller_connection.CallerDisconnected:
            self._decisions.note(request_id, 'caller_left')
            conn.stop_watching()
            raise
        if isinstance(result, failures.Failure):
            conn.stop_watching()
            return self._refuse(start, result, request_id)
        return response_body.ResponseBody(
            result, conn, start, self._decisions, request_id
        )

    def _refuse_body(
        self,
        start: ty.Callable[..., ty.Any],
        error: request_body.InvalidBodyError,
        request_id: str,
    ) -> ty.Iterable[bytes]:
        # A newer configuration may allow larger bodies, so the caller may
        # retry once this router has it.
        is_too_large = error.status == _TOO_LARGE
        retry_ms = error.retry_after_ms
        if is_too_large:
            retry_ms = self._gateway.retry_ms()
        status = 503 if retry_ms else error.status
        self._decisions.note(
            request_id, 'refused', reason=error.reason, status=status
        )
        return _send_refusal(start, status, error.reason, request_id, retry_ms)

    def _refuse_prompt(
        self,
        start: ty.Callable[..., ty.Any],
        failure: failures.Failure,
        request_id: str,
    ) -> ty.Iterable[bytes]:
        self._decisions.note(
            request_id,
            'refused',
            reason=failure.reason,
            kind=failure.kind.value,
            detail=failure.detail,
        )
        return self._refuse(start, failure, request_id)

    def _refuse(
        self,
        start: ty.Callable[..., ty.Any],
        failure: failures.Failure,
        request_id: str,
    ) -> ty.Iterable[bytes]:
        status = _STATUS_BY_REASON.get(failure.reason)
        if status is None:
            status = _STATUS_BY_KIND.get(failure.kind, 502)
        is_not_run = failure.kind is failures.FailureKind.NOT_RUN
        if is_not_run and failure.reason == 'team_limit':
            status = _TEAM_LIMIT_STATUS
        return _send_refusal(
            start,
            status,
            failure.reason,
            request_id,
            failure.retry_after_ms,
        )


def _send_refusal(
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
    start(response_body.status_line(status), headers)
    return [body]


def _get_header(headers: ty.Iterable[tuple[str, str]], name: str) -> str:
    wanted = name.lower()
    return next((v for n, v in headers if n.lower() == wanted), '')


def _api_key(authorization: str) -> str:
    if authorization.lower().startswith(names.KEY_SCHEME.lower()):
        return authorization[len(names.KEY_SCHEME) :].strip()
    return ''


def _forwarded_headers(
    headers: ty.Iterable[tuple[str, str]],
) -> connection.Headers:
    """Return the headers of a caller that are forwarded to an upstream."""
    headers = list(headers)
    connection_headers = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for word in value.split(',')
    }
    excluded = (
        response_body.HOP_BY_HOP
        | _ROUTER_HEADERS
        | connection_headers
        | {names.AUTHORIZATION.lower()}
    )
    # A caller must not be able to remove headers that routers depend on by
    # naming them in its Connection header.
    excluded -= {names.REQUEST_ID.lower(), 'host'}
    return [(n, v) for n, v in headers if n.lower() not in excluded]


def _resumed_id(headers: ty.Iterable[tuple[str, str]]) -> ty.Optional[str]:
    """Return the id of the stream that is taken up; None for a new one."""
    present = {name.lower() for name, _ in headers}
    if not present & {names.RESUMES.lower(), names.LAST_EVENT.lower()}:
        return None
    return _get_header(headers, names.RESUMES).strip()


def _last_event(headers: ty.Iterable[tuple[str, str]]) -> ty.Optional[int]:
    """Return the position from which a stream is taken up.

    None unless it is one number in its only usual form: others came from an
    upstream that may mean something else by them, and pass as they are.
    """
    wanted = names.LAST_EVENT.lower()
    texts = [value for name, value in headers if name.lower() == wanted]
    text = texts[0].strip() if len(texts) == 1 else ''
    return int(text) if _POSITION.fullmatch(text) else None


def _parse_integer(text: str) -> int:
    """Return a number of a header, at most `_MAX_DIGITS` nines; 0 if none."""
    if not text.isascii() or not text.isdigit():
        return 0
    digits = text.lstrip('0')
    return int(digits or 0) if len(digits) <= _MAX_DIGITS else _MAX_INTEGER


def _parse_prompt(
    headers: ty.Iterable[tuple[str, str]],
) -> ty.Union[exchange_.Prompt, failures.Failure]:
    """Return what a caller states about its prompt.

    Returns
    -------
    Prompt or Failure
        A failure if a number of tokens is out of range: the request would
        count as such a number under its team's limit and in the demand.
    """
    counts = _get_header(headers, names.TOKEN_COUNTS).split(',')
    tokens = [_parse_integer(count.strip()) for count in counts] + [0]
    parts = (
        part.strip().partition(':')
        for part in _get_header(headers, names.PROMPT_PARTS).split(',')
        if part.strip()
    )
    prompt = exchange_.Prompt(
        model=_get_header(headers, names.MODEL),
        tokens_in=tokens[0],
        tokens_out=tokens[1],
        parts=tuple(
            exchange_.PromptPart(name, _parse_integer(size))
            for name, _, size in parts
        ),
    )
    sizes = [*tokens, *(part.tokens for part in prompt.parts)]
    if max(sizes) > _MAX_TOKENS:
        return failures.invalid(
            _TOKENS_OUT_OF_RANGE, f'more than {_MAX_TOKENS}'
        )
    return prompt

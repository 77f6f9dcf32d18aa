"""Request and response headers of the platform's upstream protocol."""

from __future__ import annotations

import math
import re
import typing as ty

from peridotmast import failures
from peridotmast.platform import names
from peridotmast.serving import dialect
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import upstream_view
from peridotmast.wire import connection

_MISDIRECTED_REQUEST = 421
_UNAVAILABLE = 503
_SUCCESS_STATUSES = range(200, 300)
_SERVER_ERRORS = range(500, 600)
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}')
_MIN_BRITTLE = 0.1
"""Refusals a second that an upstream counts as bearing if it states less."""
_MAX_LOGGED_CHARS = 40
"""Maximum number of characters of a malformed header that are logged."""
_NEGATIVE_VALUES = frozenset(('', '0', 'false', 'no'))
"""Values of the not-run header that state nothing."""

Verdict = dialect.Verdict


class PlatformDialect:
    """Writes request headers and interprets response heads of upstreams."""

    def headers(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        left_ms: int,
        resume: ty.Optional[dialect.ResumePoint] = None,
    ) -> connection.Headers:
        """Return the headers of a request, except ``Content-Length``.

        Headers in which the caller describes its prompt are forwarded
        unchanged. For requests of the router's own chat API, which carry no
        such headers, they are generated here.
        """
        caller_headers = {name.lower() for name, _ in exchange.headers}
        headers = [
            *exchange.headers,
            *(
                (name, value)
                for name, value in _prompt_headers(exchange)
                if value and name.lower() not in caller_headers
            ),
            (names.DEADLINE_MS, str(left_ms)),
            (names.EXPECT_UPSTREAM, view.name),
        ]
        if exchange.team:
            headers.append((names.TEAM, exchange.team))
        if exchange.is_stream:
            headers.append((names.PRIORITY, str(exchange.urgency)))
        if resume is not None:
            headers = _at_position(headers, resume.last_event)
            if resume.kv_location:
                headers.append((names.COPY_FROM, resume.kv_location))
        return headers

    def verdict(
        self,
        exchange: exchange_.Exchange,
        head: connection.ResponseHead,
        upstream: str,
        may_be_stale: bool,
    ) -> dialect.Verdict:
        """Classify a response by its head.

        A refusal counts as one only if it certainly belongs to the request: a
        late refusal of an earlier one says nothing about the current one.
        """
        echoed = head.get(names.REQUEST_ID)
        if exchange.id and echoed and echoed != exchange.id:
            return Verdict.FOREIGN
        refusal = _refusal(head, upstream)
        if refusal is not None:
            is_own = echoed == exchange.id if echoed else not may_be_stale
            return refusal if is_own else Verdict.GARBLED
        if head.status in _SUCCESS_STATUSES:
            is_complete = head.get(names.SEAL) and (echoed or not exchange.id)
            return Verdict.ANSWER if is_complete else Verdict.GARBLED
        if (
            head.status in _SERVER_ERRORS
            or head.status in dialect.NOT_RUN_STATUSES
        ):
            return Verdict.FAILED
        return Verdict.ANSWER

    def is_leaving(self, head: connection.ResponseHead) -> bool:
        """Return whether a response states that its upstream is leaving."""
        return head.get(names.LEAVING).strip() == '1'

    def rest_ms(
        self, head: connection.ResponseHead
    ) -> ty.Union[int, failures.Failure]:
        """Return the time for which a refusal asks for no requests, in ms."""
        text = head.get(names.RETRY_AFTER).strip()
        if head.status != _UNAVAILABLE or not text:
            return 0
        if not _DECIMAL.fullmatch(text):
            return failures.invalid('malformed_rest', text[:_MAX_LOGGED_CHARS])
        return math.ceil(float(text) * 1000)

    def brittle_limit(
        self, head: connection.ResponseHead
    ) -> ty.Union[float, failures.Failure]:
        """Return the refusals a second that a response head states."""
        text = head.get(names.BRITTLE).strip()
        if not text:
            return 0.0
        if not _DECIMAL.fullmatch(text):
            return failures.invalid(
                'malformed_brittle', text[:_MAX_LOGGED_CHARS]
            )
        return max(_MIN_BRITTLE, float(text))

    def limit(
        self, head: connection.ResponseHead
    ) -> ty.Union[float, failures.Failure, None]:
        """Return the request rate limit stated in a response head."""
        text = head.get(names.LIMIT).strip()
        if not text:
            return None
        if not _DECIMAL.fullmatch(text):
            return failures.invalid(
                'malformed_limit', text[:_MAX_LOGGED_CHARS]
            )
        return float(text)


def _at_position(
    headers: connection.Headers, last_event: ty.Optional[int]
) -> connection.Headers:
    """Return `headers` with the position from which a stream is resumed.

    Before the first event, the position of a caller that takes a stream up is
    passed on as the caller states it: it came from an upstream, whose ids may
    be unreadable for a router.
    """
    stated = [value for name, value in headers if _is_position(name)]
    if last_event is None and any(map(str.strip, stated)):
        return headers
    others = [(name, v) for name, v in headers if not _is_position(name)]
    return [*others, (names.LAST_EVENT, str(last_event or 0))]


def _is_position(name: str) -> bool:
    return name.lower() == names.LAST_EVENT.lower()


def _refusal(
    head: connection.ResponseHead, upstream: str
) -> ty.Optional[dialect.Verdict]:
    """Return why a response states that no request ran; None if it doesn't.

    A 421 states it by the name of another upstream, which has the address.
    """
    if head.status not in dialect.NOT_RUN_STATUSES:
        return None
    sender = head.get(names.UPSTREAM)
    if head.status == _MISDIRECTED_REQUEST and sender not in ('', upstream):
        return Verdict.ELSEWHERE
    values = [
        value.strip().lower()
        for name, value in head.headers
        if name.lower() == names.NOT_RUN.lower()
    ]
    if not values or not _NEGATIVE_VALUES.isdisjoint(values):
        return None
    return Verdict.NOT_RUN


def _prompt_headers(exchange: exchange_.Exchange) -> list[tuple[str, str]]:
    """Return the headers that identify a request and describe its prompt."""
    prompt = exchange.prompt
    parts = ','.join(f'{part.id}:{part.tokens}' for part in prompt.parts)
    counts = f'{prompt.tokens_in},{prompt.tokens_out}'
    return [
        (names.REQUEST_ID, exchange.id),
        (names.MODEL, prompt.model),
        (names.TOKEN_COUNTS, counts if prompt.tokens_in else ''),
        (names.PROMPT_PARTS, parts),
    ]

"""Requests to upstreams and the heads of their answers, as they speak."""

from __future__ import annotations

import re
import typing as ty

from peridotmast import failures
from peridotmast.platform import names
from peridotmast.serving import dialect
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import upstream_view
from peridotmast.wire import connection

_ELSEWHERE = 421
_SUCCESS = range(200, 300)
_FAILURE = range(500, 600)
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}')
_MAX_LOGGED_CHARS = 40
"""Maximum number of characters of a malformed header in the log."""
_REFUSALS = frozenset((408, 421, 429, 503))

Verdict = dialect.Verdict


class PlatformDialect:
    """What the platform's upstreams speak."""

    def headers(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        left_ms: int,
        resume: ty.Optional[dialect.ResumePoint] = None,
    ) -> connection.Headers:
        """Return the headers of a request, all but its length.

        What the caller said of its prompt goes on as it was; for the
        product's own callers it is written here.
        """
        given = {name.lower() for name, _ in exchange.headers}
        headers = [
            *exchange.headers,
            *(
                (name, value)
                for name, value in _said(exchange)
                if value and name.lower() not in given
            ),
            (names.DEADLINE_MS, str(left_ms)),
            (names.EXPECT_UPSTREAM, view.name),
        ]
        if exchange.team:
            headers.append((names.TEAM, exchange.team))
        if exchange.is_stream:
            headers.append((names.PRIORITY, str(exchange.urgency)))
        if resume is not None:
            headers = [
                (name, value)
                for name, value in headers
                if name.lower() != names.LAST_EVENT.lower()
            ]
            headers.append((names.LAST_EVENT, str(resume.last_event)))
            if resume.copy:
                headers.append((names.COPY_FROM, resume.copy))
        return headers

    def verdict(
        self, exchange: exchange_.Exchange, head: connection.ResponseHead
    ) -> dialect.Verdict:
        """Return what the head of an answer says."""
        if head.status == _ELSEWHERE:
            return Verdict.ELSEWHERE
        echoed = head.get(names.REQUEST_ID)
        if exchange.id and echoed and echoed != exchange.id:
            return Verdict.FOREIGN
        if head.get(names.NOT_RUN) and head.status in _REFUSALS:
            return Verdict.NOT_RUN
        if head.status in _SUCCESS:
            whole = head.get(names.SEAL) and (echoed or not exchange.id)
            return Verdict.ANSWER if whole else Verdict.GARBLED
        if head.status in _FAILURE or head.status in _REFUSALS:
            return Verdict.FAILED
        return Verdict.ANSWER

    def limit(
        self, head: connection.ResponseHead
    ) -> ty.Union[float, failures.Failure, None]:
        """Return the limit that the head of an answer states."""
        text = head.get(names.LIMIT).strip()
        if not text:
            return None
        if not _DECIMAL.fullmatch(text):
            return failures.invalid(
                'malformed_limit', text[:_MAX_LOGGED_CHARS]
            )
        return float(text)


def _said(exchange: exchange_.Exchange) -> list[tuple[str, str]]:
    """Return the headers that callers say of themselves."""
    prompt = exchange.prompt
    parts = ','.join(f'{part.id}:{part.tokens}' for part in prompt.parts)
    counts = f'{prompt.tokens_in},{prompt.tokens_out}'
    return [
        (names.REQUEST_ID, exchange.id),
        (names.MODEL, prompt.model),
        (names.TOKEN_COUNTS, counts if prompt.tokens_in else ''),
        (names.PROMPT_PARTS, parts),
    ]

"""Whether a response goes on with a stream that its caller receives."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast.serving import dialect as dialect_
from peridotmast.serving import sender as sender_
from peridotmast.wire import connection as connection_

EVENT_STREAM = 'text/event-stream'
"""Media type of streams."""

OTHER_STATUS = 'other_status'
OTHER_FORMAT = 'other_format'
"""Reasons for which a response does not go on with a stream."""

_TYPE = 'Content-Type'
_CODING = 'Content-Encoding'
_UNRUN_VERDICTS = frozenset(
    (dialect_.Verdict.NOT_RUN, dialect_.Verdict.ELSEWHERE)
)
_MAX_CHARS = 40
"""Maximum length of a header's value in a failure."""


def find_mismatch(
    begun: connection_.ResponseHead, sent: sender_.Sent
) -> ty.Optional[failures.Failure]:
    """Return why a response can't go on with a stream; None if it can.

    A verdict alone does not tell: an error is a valid answer to a request,
    but a caller that has received the head of a stream takes whatever follows
    for events.

    Parameters
    ----------
    begun : connection.ResponseHead
        Head of the stream, as its caller has received it.
    sent : sender.Sent
        The attempt to go on with it.
    """
    head, verdict = sent.head, sent.verdict
    if verdict in _UNRUN_VERDICTS:
        return failures.not_run(verdict.value, str(head.status))
    if verdict is not dialect_.Verdict.ANSWER:
        return failures.unknown(verdict.value, str(head.status))
    if head.status != begun.status:
        return failures.unknown(OTHER_STATUS, str(head.status))
    if _media_type(head) not in ('', EVENT_STREAM, _media_type(begun)):
        return failures.unknown(OTHER_FORMAT, _media_type(head)[:_MAX_CHARS])
    if _coding(head) != _coding(begun):
        return failures.unknown(OTHER_FORMAT, _coding(head)[:_MAX_CHARS])
    return None


def _media_type(head: connection_.ResponseHead) -> str:
    return head.get(_TYPE).partition(';')[0].strip().lower()


def _coding(head: connection_.ResponseHead) -> str:
    coding = head.get(_CODING).strip().lower()
    return '' if coding == 'identity' else coding

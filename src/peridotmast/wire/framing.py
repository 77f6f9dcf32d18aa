"""What marks the end of the body of a response."""

from __future__ import annotations

import dataclasses
import enum
import http

from peridotmast.wire import syntax

BODYLESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
"""Statuses whose responses have no body."""


class Framing(enum.Enum):
    """What marks the end of the body of a response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    """Neither a length nor chunks: the body ends with its connection, so that
    its end doesn't show whether it is complete."""


@dataclasses.dataclass(frozen=True)
class Frame:
    """Framing of one body."""

    framing: Framing
    length: int = 0
    """Length of the body in bytes, where it marks the end."""


_EMPTY = Frame(Framing.LENGTH)


def of_response(
    method: str, status: int, codings: list[str], lengths: list[str]
) -> Frame:
    """Return the framing of the body of a response.

    Parameters
    ----------
    method : str
        Method of the request.
    status : int
        Status of the response.
    codings : list of str
        Its ``Transfer-Encoding`` headers.
    lengths : list of str
        Its ``Content-Length`` headers.

    Raises
    ------
    MalformedError
        If the framing is ambiguous.
    """
    if codings and [text.lower() for text in codings] != ['chunked']:
        raise syntax.MalformedError(f'Transfer-Encoding {codings}')
    if len(set(lengths)) > 1 or codings and lengths:
        raise syntax.MalformedError(f'Content-Length {lengths}')
    if any(not (text.isascii() and text.isdigit()) for text in lengths):
        raise syntax.MalformedError(f'Content-Length {lengths}')
    if method == 'HEAD' or status in BODYLESS_STATUSES:
        return _EMPTY
    if codings:
        return Frame(Framing.CHUNKS)
    if lengths:
        return Frame(Framing.LENGTH, int(lengths[0]))
    return Frame(Framing.CONNECTION)

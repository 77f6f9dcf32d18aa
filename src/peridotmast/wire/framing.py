"""What marks the end of the body of a response."""

from __future__ import annotations

import enum
import http.client
import typing as ty


class Framing(enum.Enum):
    """What marks the end of the body of a response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    """Neither a length nor chunks: the body ends with its connection, so that
    its end doesn't show whether it is complete."""

    @classmethod
    def of_response(cls, resp: ty.Any) -> Framing:
        """Return the framing of a response whose head was read.

        Raises
        ------
        http.client.HTTPException
            If the framing is ambiguous.
        """
        codings = resp.headers.get_all('Transfer-Encoding', [])
        lengths = set(resp.headers.get_all('Content-Length', []))
        if codings and [text.lower() for text in codings] != ['chunked']:
            raise http.client.HTTPException(
                f'invalid Transfer-Encoding {codings}'
            )
        if len(lengths) > 1 or codings and lengths:
            raise http.client.HTTPException(
                f'invalid Content-Length {lengths}'
            )
        if any(not (text.isascii() and text.isdigit()) for text in lengths):
            raise http.client.HTTPException(
                f'invalid Content-Length {lengths}'
            )
        if resp.chunked:
            return cls.CHUNKS
        return cls.CONNECTION if resp.length is None else cls.LENGTH

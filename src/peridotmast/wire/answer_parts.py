"""Parts of an answer, as the WSGI server sends them."""

from __future__ import annotations

import typing as ty

from peridotmast.wire.overload import memory_budget

_PART_BYTES = 65536


class AnswerParts:
    """Yields an answer, and records when its caller does not read it.

    Parameters
    ----------
    body : bytes or iterator of bytes
        A whole answer, which is counted in place of its request, or the parts
        of a stream.
    account : memory_budget.MemoryAccount
        Memory of the request.
    """

    def __init__(
        self,
        body: ty.Union[bytes, ty.Iterator[bytes]],
        account: memory_budget.MemoryAccount,
    ) -> None:
        self._account = account
        if isinstance(body, bytes):
            account.begin_answer(len(body))
            self._parts = _split(body)
        else:
            account.begin_stream()
            self._parts = body

    def __iter__(self) -> ty.Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        # The server asks for a part once it has sent the one before.
        self._account.end_send()
        part = next(self._parts)
        self._account.begin_send()
        return part

    def close(self) -> None:
        """Close the parts of a stream."""
        if hasattr(self._parts, 'close'):
            self._parts.close()


def _split(body: bytes) -> ty.Iterator[bytes]:
    """Yield a whole body in parts, so that its progress can be seen."""
    starts = range(0, len(body), _PART_BYTES)
    return (body[start : start + _PART_BYTES] for start in starts)

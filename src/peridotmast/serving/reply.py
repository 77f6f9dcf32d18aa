"""The response to a request, while it is sent to the caller."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.wire import connection as connection_


class BrokenAnswer(Exception):
    """A response was truncated after it had begun.

    The caller must be able to detect that it is incomplete.
    """


@dataclasses.dataclass
class Reply:
    """Status, headers and body of the response of an upstream."""

    head: connection_.ResponseHead
    body: ty.Union[bytes, ty.Iterator[bytes]]
    """The complete body, or an iterator over its bytes as they arrive; the
    iterator raises `BrokenAnswer` if the body is truncated."""
    upstream: str = ''
    """Name of the upstream that sent the response."""
    close: ty.Callable[[], None] = lambda: None
    """Release the resources of the response; called once it was sent or
    abandoned."""

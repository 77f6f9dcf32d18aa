"""Interface that encodes requests for upstreams and interprets responses."""

from __future__ import annotations

import dataclasses
import enum
import typing as ty

from peridotmast import failures
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import upstream_view
from peridotmast.wire import connection as connection_


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its request did not run and will not run.
If an upstream sends one of them without stating that it did not run the
request, the response is not forwarded."""


class Verdict(enum.Enum):
    """What the head of a response states about the request."""

    ANSWER = 'answer'
    """The request ran, and this is its response."""
    FAILED = 'failed'
    """The request ran or may have run, and failed."""
    NOT_RUN = 'not_run'
    """The upstream did not run the request and never will."""
    ELSEWHERE = 'elsewhere'
    """The address now belongs to another upstream, which did not run the
    request."""
    FOREIGN = 'foreign'
    """The response belongs to another request."""
    GARBLED = 'garbled'
    """The response is not one that a known upstream would send."""


@dataclasses.dataclass(frozen=True)
class ResumePoint:
    """Position from which a stream is resumed."""

    last_event: ty.Optional[int]
    """Id of the last event that the caller has received from routers in
    response to this request; None before the first one. The position is then
    the one that the headers of the request state, if any."""
    kv_location: str = ''
    """Location of the KV cache of the run; empty to recompute the prefill."""


class Dialect(ty.Protocol):
    """Encodes request headers and interprets response heads."""

    def headers(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        left_ms: int,
        resume: ty.Optional[ResumePoint] = None,
    ) -> connection_.Headers:
        """Return the headers of a request, without Content-Length."""

    def verdict(
        self,
        exchange: exchange_.Exchange,
        head: connection_.ResponseHead,
        upstream: str,
        may_be_stale: bool,
    ) -> Verdict:
        """Return what the head of a response states.

        Parameters
        ----------
        upstream : str
            Name of the upstream that the request was sent to.
        may_be_stale : bool
            Whether the connection had earlier requests or responses, so that
            a response without an id may belong to another request.
        """

    def is_leaving(self, head: connection_.ResponseHead) -> bool:
        """Return whether a response states that its upstream is leaving."""

    def rest_ms(
        self, head: connection_.ResponseHead
    ) -> ty.Union[int, failures.Failure]:
        """Return for how long an upstream wants nothing from this router.

        Returns
        -------
        int or Failure
            Time in ms, 0 if the head of the response states none; a failure
            if the time is malformed.
        """

    def brittle_limit(
        self, head: connection_.ResponseHead
    ) -> ty.Union[float, failures.Failure]:
        """Return how many refusals a second an upstream states that it bears.

        Returns
        -------
        float or Failure
            0 if the head of the response states none; a failure if the number
            is malformed.
        """

    def limit(
        self, head: connection_.ResponseHead
    ) -> ty.Union[float, failures.Failure, None]:
        """Return the rate limit that the head of a response states.

        Returns
        -------
        float, Failure or None
            Requests per second that the upstream accepts from all routers
            together; a failure if the limit is malformed, None if the head
            states none.
        """

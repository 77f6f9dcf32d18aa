"""What a sender must know of the headers that upstreams speak."""

from __future__ import annotations

import dataclasses
import enum
import typing as ty

from peridotmast import failures
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import upstream_view
from peridotmast.wire import connection as connection_


class Verdict(enum.Enum):
    """What an answer's head says of the request that was sent."""

    ANSWER = 'answer'
    """It ran, and this is its answer."""
    FAILED = 'failed'
    """It ran, or may have, and did not succeed."""
    NOT_RUN = 'not_run'
    """The upstream did not run it and never will."""
    ELSEWHERE = 'elsewhere'
    """Another upstream has the address; nothing was run."""
    FOREIGN = 'foreign'
    """The answer belongs to another request."""
    GARBLED = 'garbled'
    """No upstream of ours answers so."""


@dataclasses.dataclass(frozen=True)
class ResumePoint:
    """Where a stream goes on."""

    last_event: int
    """Id of the last event that the caller has."""
    copy: str = ''
    """Where the run's memory lies; empty to read the prompt again."""


class Dialect(ty.Protocol):
    """Writes requests to upstreams and reads the heads of their answers."""

    def headers(
        self,
        exchange: exchange_.Exchange,
        view: upstream_view.UpstreamView,
        left_ms: int,
        resume: ty.Optional[ResumePoint] = None,
    ) -> connection_.Headers:
        """Return the headers of a request, all but its length."""

    def verdict(
        self,
        exchange: exchange_.Exchange,
        head: connection_.ResponseHead,
    ) -> Verdict:
        """Return what the head of an answer says."""

    def limit(
        self, head: connection_.ResponseHead
    ) -> ty.Union[float, failures.Failure, None]:
        """Return the limit that the head of an answer states.

        Returns
        -------
        float, Failure or None
            Requests per second that the upstream accepts from all routers
            together; a failure if the limit is malformed, None if the head
            states none.
        """

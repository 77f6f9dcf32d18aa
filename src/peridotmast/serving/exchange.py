"""One request on its way through a router, whichever face it came by."""

from __future__ import annotations

import dataclasses
import functools
import typing as ty

from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import fingerprint as fingerprint_
from peridotmast.wire import connection as connection_

Headers = connection_.Headers


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, which other prompts may share."""

    id: str
    """Equal where the part is; parts are compared in their order."""
    tokens: int
    """Length of the part."""


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What is known of a request to a model engine."""

    model: str = ''
    """Model that is asked for."""
    tokens_in: int = 0
    """Length of the prompt."""
    tokens_out: int = 0
    """Most tokens of the answer."""
    parts: tuple[PromptPart, ...] = ()
    """Its parts in order; the last one is the request's or session's own."""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common with it."""
        return self.parts[:-1]


class Caller(ty.Protocol):
    """Whoever waits for the answer."""

    def has_left(self) -> bool:
        """Return whether nobody waits any more."""


@dataclasses.dataclass
class Exchange:
    """A request that was read, checked and found its route."""

    id: str
    """Id of this attempt of the caller's; empty where it gave none."""
    method: str
    target: str
    """Request target, byte for byte."""
    headers: Headers
    """Headers that go on to the upstream."""
    body: bytes
    route: pb.Route
    team: str
    """Team whose key it carried; empty on public routes without one."""
    priority: int
    """Rank among all requests, 0 first."""
    urgency: int
    """Level among those that wait at an engine, 0 first."""
    arrived_at: int
    """Moment of arrival, in ms on the router's clock."""
    deadline: int
    """Moment by which it gets its final answer: the caller's patience or
    the route's timeout, whichever is over first."""
    caller: Caller
    prompt: Prompt = Prompt()
    cost: int = 0
    """Tokens that it counts towards its team's limit."""
    last_event: int = 0
    """Event after which a stream that broke off is asked for again."""
    traceparent: str = ''

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        kinds = pb.RequestKind
        kind = self.route.kind
        return kind == kinds.IDEMPOTENT or (
            kind == kinds.STREAMING and self.route.resumable
        )

    @property
    def is_stream(self) -> bool:
        """Whether it is answered with events."""
        return self.route.kind == pb.RequestKind.STREAMING

    @functools.cached_property
    def fingerprint(self) -> ids.Fingerprint:
        """Digest that stays the same when the caller resends the request."""
        host = next((v for n, v in self.headers if n.lower() == 'host'), '')
        path = self.target.partition('?')[0]
        return fingerprint_.compute(host, path, self.team, self.body)

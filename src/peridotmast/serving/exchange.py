"""A request that a router has accepted, through any of its APIs."""

from __future__ import annotations

import dataclasses
import functools
import typing as ty

from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_keys as crash_keys_
from peridotmast.serving import fingerprint as fingerprint_
from peridotmast.wire import connection as connection_
from peridotmast.wire.overload import stream_hold

Headers = connection_.Headers


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; other prompts may have the same part."""

    id: str
    """Identifies the content: equal for equal parts. Parts are compared in
    order."""
    tokens: int
    """Length of the part, in tokens."""


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What is known about the prompt of a request to a model engine."""

    model: str = ''
    """Name of the requested model."""
    tokens_in: int = 0
    """Length of the prompt, in tokens."""
    tokens_out: int = 0
    """Maximum length of the response, in tokens."""
    parts: tuple[PromptPart, ...] = ()
    """Parts in order; the last one is specific to the request or session."""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """All parts that other requests may share: every part but the last."""
        return self.parts[:-1]


class Caller(ty.Protocol):
    """The client connection that waits for the response."""

    def has_left(self) -> bool:
        """Return whether the caller has disconnected."""

    def reserve_answer(self, size: int, deadline: int) -> bool:
        """Count bytes of an answer before they are read; wait for room.

        Return whether there is room by `deadline`, in ms.
        """

    def begin_hold(self) -> stream_hold.StreamHold:
        """Return what counts the memory of one attempt at a stream."""


@dataclasses.dataclass
class Exchange:
    """A parsed, authenticated request with its route and limits."""

    id: str
    """Request id sent by the caller; empty if it sent none."""
    method: str
    target: str
    """Request target exactly as received."""
    headers: Headers
    """Headers that are forwarded to the upstream."""
    body: bytes
    route: pb.Route
    team: str
    """Team of the API key; empty on public routes without a key."""
    priority: int
    """Priority among all requests; 0 is the highest."""
    urgency: int
    """Urgency level in the queue of an engine; 0 is the most urgent."""
    arrived_at: int
    """Time of arrival on the router's clock, in ms."""
    deadline: int
    """Time by which the response must end, in ms: the earlier of the
    caller's deadline and the route's timeout."""
    caller: Caller
    prompt: Prompt = Prompt()
    cost: int = 0
    """Cost under the limit of the team, in tokens, or 1 if that limit is in
    requests."""
    last_event: ty.Optional[int] = None
    """Id of the last event that the caller has received of a stream that it
    takes up or that a peer resumes; None for a request from its beginning."""
    version: ty.Optional[ids.SoftwareVersion] = None
    """Software version at which the stream began: only upstreams of this
    version may go on with it. None before its first event, and for a response
    that is no stream."""
    resumes: ty.Optional[str] = None
    """Id of the attempt that brought the first event of the stream that the
    caller takes up, as far as it states it; None for a new request."""
    earlier_runs: int = 0
    """Number of attempts that ran or may have run at other routers."""
    forwarded_by: str = ''
    """Name of the peer that forwarded the request and counts it; empty if a
    caller sent it to this router."""
    needs_known_end: bool = False
    """Whether the response to the caller states its end, so that a stream
    whose end is not known can't be passed on as it is."""
    traceparent: str = ''

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        kinds = pb.RequestKind
        kind = self.route.kind
        return kind == kinds.IDEMPOTENT or (
            kind == kinds.STREAMING and self.route.resumable
        )

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind == pb.RequestKind.STREAMING

    @property
    def position(self) -> int:
        """Id of the event before the first of the response; -1 if none."""
        return -1 if self.last_event is None else self.last_event

    def drop_body(self) -> None:
        """Release the body once no further attempt can follow."""
        # They are computed from the body, and needed until the end.
        _ = self.crash_keys
        self.body = b''

    @functools.cached_property
    def crash_keys(self) -> crash_keys_.CrashKeys:
        """What crashes of upstreams are recorded for."""
        parts = crash_keys_.of_parts(part.id for part in self.prompt.shared)
        return crash_keys_.CrashKeys(self.fingerprint, parts)

    @functools.cached_property
    def fingerprint(self) -> ids.Fingerprint:
        """Digest that stays the same when the caller resends the request."""
        host = next((v for n, v in self.headers if n.lower() == 'host'), '')
        path = self.target.partition('?')[0]
        return fingerprint_.compute(host, path, self.team, self.body)

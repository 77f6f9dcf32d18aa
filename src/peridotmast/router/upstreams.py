"""The upstreams that this router may use, and what it knows of each."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import bucket_digest
from peridotmast import ids
from peridotmast.router import prefix_record
from peridotmast.schema import peridotmast_pb2 as pb

LIVE = pb.UPSTREAM_STATE_LIVE
LEAVING = pb.UPSTREAM_STATE_LEAVING
GONE = pb.UPSTREAM_STATE_GONE

_FAILURES_TO_OPEN = 2
_FIRST_OPEN_MS = 250
_LAST_OPEN_MS = 8000
_FORGET_MS = 600_000
_MISSING_MS = 1000


class Breaker(enum.Enum):
    """State of the circuit breaker of one upstream."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@dataclasses.dataclass
class UpstreamView:
    """One upstream as this router sees it."""

    record: pb.UpstreamRecord
    rank: bytes = b''
    """Place in this router's order of preference, by hashing."""
    in_flight: int = 0
    """Requests of this router that it works on."""
    entitled: int = 1
    """Requests that this router may have there whatever the others do."""
    others: int = 0
    """Requests of other routers, from its last load report."""
    reported_at: int = 0
    """When that report came, on the router's clock, in ms."""
    failures: int = 0
    """Failures in a row."""
    opened_at: int = 0
    open_ms: int = 0
    breaker: Breaker = Breaker.CLOSED
    left_at: int = 0
    """When it was marked as leaving or gone, in ms."""
    gone_at: int = 0
    """When its notice ends, in ms; 0 without notice."""
    prefixes: prefix_record.PrefixRecord = dataclasses.field(
        default_factory=prefix_record.PrefixRecord
    )
    """Prompt prefixes that it probably has in its cache."""
    models_missing: dict[str, int] = dataclasses.field(default_factory=dict)
    """Models that it answered it has not, and when, in ms; see `lacks`."""

    @property
    def name(self) -> ids.UpstreamName:
        """Name of its VM."""
        return ids.UpstreamName(self.record.upstream.name)

    @property
    def address(self) -> str:
        """Its address."""
        return self.record.upstream.address

    @property
    def slots(self) -> int:
        """Requests that it works on at once."""
        return self.record.upstream.slots or 1

    def lacks(self, model: str, now: int) -> bool:
        """Return whether it said lately that it has not loaded `model`."""
        said = self.models_missing.get(model)
        return said is not None and now - said < _MISSING_MS

    @property
    def load(self) -> int:
        """Requests that it works on, as well as this router can know."""
        return self.in_flight + self.others


class UpstreamTable:
    """Upstreams by name; states only get worse, since names never return.

    Parameters
    ----------
    clock : clock.Clock
        Times breakers and reports.
    router : str
        Name of this router, for the choice of its subset.
    subset : int
        Most engines that this router serves.
    """

    def __init__(
        self, clock: clock_.Clock, router: str, subset: int, seed: int = 0
    ) -> None:
        self._clock = clock
        self._router = router
        self._subset_size = subset
        self._jitter = random.Random(seed)
        self._views: dict[str, UpstreamView] = {}
        self._subset: ty.Optional[list[UpstreamView]] = None
        self._listeners: list[ty.Callable[[UpstreamView], None]] = []
        self.digest = bucket_digest.BucketDigest()
        """Digest of all names and states but gone ones."""

    def share_among(self, routers: int) -> None:
        """Entitle this router to its part of each upstream's slots.

        Parameters
        ----------
        routers : int
            Routers in the fleet; each serves a subset of the engines.
        """
        engines = sum(
            view.record.state == LIVE and view.record.upstream.kind == 'engine'
            for view in self._views.values()
        )
        served = min(1.0, self._subset_size / max(1, engines))
        sharing = max(1, round(routers * served))
        for view in self._my_subset():
            view.entitled = max(1, view.slots // sharing)

    def listen(self, listener: ty.Callable[[UpstreamView], None]) -> None:
        """Call `listener` with each upstream whose state changed."""
        self._listeners.append(listener)

    def merge(self, record: pb.UpstreamRecord) -> bool:
        """Take a statement on an upstream in; say whether it was news."""
        name = record.upstream.name
        view = self._views.get(name)
        if view is not None and record.state <= view.record.state:
            return False
        if view is None:
            if record.state == GONE:
                return False
            view = self._views[name] = UpstreamView(
                pb.UpstreamRecord(), self._rendezvous(name)
            )
        else:
            self._flip(view.record)
        view.record = record
        self._flip(record)
        self._subset = None
        if record.state != LIVE:
            now = self._clock.now()
            view.left_at = view.left_at or now
            view.gone_at = view.gone_at or now + record.notice_ms
        for listener in self._listeners:
            listener(view)
        return True

    def get(self, name: str) -> ty.Optional[UpstreamView]:
        """Return the upstream called `name`."""
        return self._views.get(name)

    def all(self) -> list[UpstreamView]:
        """Return every upstream, gone ones too."""
        return list(self._views.values())

    def usable(self, kind: str, service: str = '') -> list[UpstreamView]:
        """Return upstreams that new work may be sent to now.

        The subset holds live ones only: each change of state makes it anew.
        """
        now = self._clock.now()
        return [
            view
            for view in self._my_subset()
            if view.record.upstream.kind == kind
            and view.record.upstream.service == service
            and self._lets_through(view, now)
        ]

    def report(self, view: UpstreamView, running: int, waiting: int) -> None:
        """Take in what an upstream says of its load."""
        view.others = max(0, running + waiting - view.in_flight)
        view.reported_at = self._clock.now()

    def succeeded(self, view: UpstreamView) -> None:
        """Count a success: the breaker closes."""
        view.failures = 0
        view.open_ms = 0
        view.breaker = Breaker.CLOSED

    def failed(self, view: UpstreamView) -> None:
        """Count a failure: after a few the breaker opens for a while."""
        view.failures += 1
        probing = view.breaker is Breaker.HALF_OPEN
        if view.failures < _FAILURES_TO_OPEN and not probing:
            return
        doubled = min(_LAST_OPEN_MS, max(_FIRST_OPEN_MS, view.open_ms * 2))
        view.open_ms = int(doubled * self._jitter.uniform(0.75, 1.25))
        view.opened_at = self._clock.now()
        view.breaker = Breaker.OPEN

    def forget_gone(self) -> None:
        """Drop upstreams that are gone for long."""
        limit = self._clock.now() - _FORGET_MS
        old = [
            name
            for name, view in self._views.items()
            if view.record.state == GONE and view.left_at < limit
        ]
        for name in old:
            del self._views[name]

    def _flip(self, record: pb.UpstreamRecord) -> None:
        """Enter an upstream into the digest, or take it out.

        Nodes forget gone ones at different times, so these don't count.
        """
        if record.state != GONE:
            self.digest.flip(record.upstream.name, str(record.state))

    def _lets_through(self, view: UpstreamView, now: int) -> bool:
        if view.breaker is Breaker.OPEN:
            if now - view.opened_at < view.open_ms:
                return False
            view.breaker = Breaker.HALF_OPEN
        if view.breaker is Breaker.HALF_OPEN:
            # One request at a time finds out whether it works again.
            return view.in_flight == 0
        return True

    def _my_subset(self) -> list[UpstreamView]:
        if self._subset is None:
            self._subset = self._choose_subset()
        return self._subset

    def _choose_subset(self) -> list[UpstreamView]:
        """Return what this router serves: engines by rendezvous hashing.

        Failure domains take turns, so that the loss of one leaves most.
        """
        live = [v for v in self._views.values() if v.record.state == LIVE]
        engines = [v for v in live if v.record.upstream.kind == 'engine']
        others = [v for v in live if v.record.upstream.kind != 'engine']
        domains: dict[str, list[UpstreamView]] = {}
        for view in sorted(engines, key=lambda view: view.rank):
            domain = view.record.upstream.failure_domain
            domains.setdefault(domain, []).append(view)
        turns = [
            (turn, domain, view)
            for domain, views in domains.items()
            for turn, view in enumerate(views[: self._subset_size])
        ]
        turns.sort(key=lambda item: item[:2])
        return others + [view for _, _, view in turns[: self._subset_size]]

    def _rendezvous(self, name: str) -> bytes:
        text = f'{self._router}|{name}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

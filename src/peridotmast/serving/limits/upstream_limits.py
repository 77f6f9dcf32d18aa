"""Request rate limits that upstreams set for all routers together."""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
import math
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstream_view

_BURST_S = 2.0
_BURST_REQUESTS = 3.0
"""Burst of all routers together: the requests of `_BURST_S` seconds and
`_BURST_REQUESTS` more. Within 4 s, the rate and this burst permit 6 times the
rate and 3 requests. This is 2 requests fewer than allowed: 1.5 times the rate
over 4 s, and 5 requests."""

_MIN_RATE = 0.1
"""Requests per second that are sent to an upstream even if its limit is lower;
without any request, no router would learn that the limit is lifted."""

_TIMESTAMP_ERROR_MS = 200
"""Maximum error of the time at which another router read a limit, in ms: the
time is computed from the age in the update, which leaves out the transit time.
A different limit must be newer by this much to be adopted; otherwise, two
routers would keep adopting each other's limit."""

_REFRESH_MS = 1000
"""Minimum interval between two refreshes of an unchanged limit."""

_LIFTED_RETENTION_MS = 60_000
"""How long a lifted limit is kept, in ms, so that stale updates of the limit
are rejected."""

_RETENTION_MS = 600_000
"""How long a limit is kept after the last answer that stated it, in ms."""

MAX_LIMITS = 8192
"""Maximum number of limits kept, about 400 bytes each."""

_MAX_UPDATES = 32
"""Maximum number of limits in one beacon, about a kilobyte."""

_MAX_WAIT_MS = 30_000


@dataclasses.dataclass
class _Limit:
    """The limit of one run of an upstream, and this router's share of it."""

    upstream: str
    born: int
    rate: ty.Optional[float] = None
    """Requests per second; None once the limit is lifted."""
    at: int = 0
    """Time at which the limit was last stated, or found lifted, in ms."""
    changed_at: int = 0
    """Time at which this router learned the current value, in ms."""
    share: float = 0.0
    """This router's share of the rate, in requests per second."""
    burst: float = 0.0
    """Maximum number of requests that this router sends at once."""
    tokens: float = 0.0
    """Requests that this router may send now."""
    filled_at: int = 0
    """Time at which `tokens` was last refilled, in ms."""
    routers: frozenset[str] = frozenset()
    """Known routers for which the share was computed."""

    def fill(self, now: int, silence_ms: float = 0.0) -> None:
        """Add the tokens gained up to `now`, but in a silence."""
        elapsed_ms = max(0.0, now - self.filled_at - silence_ms)
        gained = elapsed_ms / 1000 * self.share
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now


class UpstreamLimits:
    """Splits the limit of each upstream between the routers.

    Each router computes its own share from the names of all known routers;
    no request waits for a peer. A limit is split equally between at most as
    many routers as its burst has requests, since a smaller share would never
    permit a request. These routers are selected by a hash of their name and
    the upstream's run; all other routers send nothing to the upstream. A share
    starts without tokens, as a previous owner of the share may have used them.
    The requests of all routers together therefore stay within the limit. A
    router that other routers do not know yet exceeds the limit by at most its
    own share.

    Parameters
    ----------
    clock : clock.Clock
        Times the token buckets.
    router : str
        Name of this router.
    """

    def __init__(self, clock: clock_.Clock, router: str) -> None:
        self._clock = clock
        self._router = router
        self._log = logs.get('limits', router=router)
        self._limits: dict[str, _Limit] = {}
        self._routers: frozenset[str] = frozenset((router,))
        self._previous_routers = self._routers
        """Known routers before the last membership change."""
        self.notify_peers: ty.Callable[[], None] = lambda: None
        """Called when a changed limit must be sent to peers at once, without
        waiting for the next beacon."""

    def __len__(self) -> int:
        """Return the number of limits kept."""
        return len(self._limits)

    def set_routers(self, routers: ty.Iterable[str]) -> None:
        """Set the routers that share the limits with this one."""
        names = frozenset((self._router, *routers))
        # An equal set is not replaced: `_get_limit` compares by identity.
        if names != self._routers:
            self._previous_routers, self._routers = self._routers, names

    def note_limit(
        self, view: upstream_view.UpstreamView, rate: float
    ) -> None:
        """Record the limit that an answer states, in requests per second."""
        now = self._clock.now()
        if self._merge(view.name, view.born, rate, now, now):
            self.notify_peers()

    def note_no_limit(
        self, view: upstream_view.UpstreamView, sent_at: int
    ) -> None:
        """Record an answer that states no limit.

        Parameters
        ----------
        sent_at : int
            Time at which the request was sent, in ms. An answer to a request
            that was sent before the limit was stated may predate the limit.
        """
        if view.run in self._limits:
            if self._merge(view.name, view.born, None, sent_at, sent_at):
                self.notify_peers()

    def rate(self, view: upstream_view.UpstreamView) -> ty.Optional[float]:
        """Return the limit of an upstream, in requests per second.

        None if no limit is known or the limit is lifted.
        """
        limit = self._limits.get(view.run)
        return None if limit is None else limit.rate

    def wait_ms(self, view: upstream_view.UpstreamView) -> int:
        """Return how long this router must not send to an upstream, in ms."""
        limit = self._get_limit(view)
        if limit is None or limit.rate is None:
            return 0
        self._fill(limit, view)
        if limit.tokens >= 1:
            return 0
        if limit.share:
            wait = math.ceil((1 - limit.tokens) / limit.share * 1000)
        else:
            # A retry may reach a router with a share: return the mean interval
            # between the requests that the limit permits to all routers.
            wait = math.ceil(1000 / max(limit.rate, _MIN_RATE))
        return min(_MAX_WAIT_MS, wait)

    def take(self, view: upstream_view.UpstreamView) -> None:
        """Take a token for a request that is sent to an upstream."""
        limit = self._get_limit(view)
        if limit is not None and limit.rate is not None:
            self._fill(limit, view)
            limit.tokens -= 1

    def updates_for_peers(self) -> list[pb.UpstreamLimit]:
        """Return the limits to send to peers, most recently changed first."""
        if not self._limits:
            return []
        now = self._clock.now()
        selected = heapq.nlargest(
            _MAX_UPDATES,
            self._limits.values(),
            key=lambda limit: limit.changed_at,
        )
        return [
            pb.UpstreamLimit(
                upstream=limit.upstream,
                born=limit.born,
                rate=limit.rate,
                ago_ms=now - limit.at,
            )
            for limit in selected
        ]

    def merge_updates(self, updates: ty.Iterable[pb.UpstreamLimit]) -> None:
        """Merge the limits that another router has sent."""
        now = self._clock.now()
        for message in updates:
            rate = message.rate if message.HasField('rate') else None
            at = now - message.ago_ms
            self._merge(
                message.upstream,
                message.born,
                rate,
                at,
                at - _TIMESTAMP_ERROR_MS,
            )

    def tick(self) -> None:
        """Remove limits whose retention period has passed."""
        now = self._clock.now()
        self._limits = {
            run: limit
            for run, limit in self._limits.items()
            if now - limit.at <= _RETENTION_MS
            and (
                limit.rate is not None
                or now - limit.changed_at <= _LIFTED_RETENTION_MS
            )
        }

    def _get_limit(
        self, view: upstream_view.UpstreamView
    ) -> ty.Optional[_Limit]:
        """Return the limit of an upstream, with an up-to-date share.

        Shares are recomputed on use: recomputing all of them whenever a
        router starts or leaves would block the event loop.
        """
        limit = self._limits.get(view.run) if self._limits else None
        if limit is not None and limit.routers is not self._routers:
            self._fill(limit, view)
            self._assign_share(view.run, limit)
        return limit

    def _fill(self, limit: _Limit, view: upstream_view.UpstreamView) -> None:
        """Add the tokens gained, but not while the upstream is silent.

        What is sent to a silent upstream arrives at once when it goes on. Each
        silence counts from the time on that the limit permits one request in.
        """
        if limit.rate is not None:
            view.min_silence_ms = 1000 / max(limit.rate, _MIN_RATE)
        silence_ms = view.silence_after(limit.filled_at)
        limit.fill(self._clock.now(), silence_ms)

    def _merge(
        self,
        upstream: str,
        born: int,
        rate: ty.Optional[float],
        at: int,
        earliest_at: int,
    ) -> bool:
        """Merge a statement on a limit, and return whether it changes it.

        Parameters
        ----------
        at : int
            Time of the statement, in ms.
        earliest_at : int
            Earliest possible time of the statement, in ms. A different limit
            that was stated later is kept.
        """
        run = upstream_view.run_of(upstream, born)
        limit = self._limits.get(run)
        if limit is None:
            if len(self._limits) >= MAX_LIMITS:
                self._evict_oldest()
            limit = self._limits[run] = _Limit(upstream, born)
        elif rate == limit.rate:
            if at - limit.at >= _REFRESH_MS:
                limit.at = at
            return False
        elif earliest_at < limit.at:
            return False
        limit.rate, limit.at = rate, at
        limit.changed_at = self._clock.now()
        self._assign_share(run, limit)
        self._log.info(
            'upstream_limit',
            upstream=upstream,
            born=born,
            rate=rate,
            share=round(limit.share, 3),
            routers=len(self._routers),
            age_ms=self._clock.now() - at,
        )
        return True

    def _assign_share(self, run: str, limit: _Limit) -> None:
        """Compute this router's share, and keep the tokens up to its burst.

        A router that had no share before starts without tokens.
        """
        limit.fill(self._clock.now())
        known = (self._routers, self._previous_routers)
        if not any(limit.routers is routers for routers in known):
            # After more than one membership change, the share may have
            # belonged to another router in between.
            limit.tokens = 0.0
        limit.routers = self._routers
        limit.share = limit.burst = 0.0
        if limit.rate is not None:
            rate = max(limit.rate, _MIN_RATE)
            burst = _BURST_S * rate + _BURST_REQUESTS
            owners = self._owners(run, int(burst))
            if self._router in owners:
                limit.share = rate / len(owners)
                limit.burst = burst / len(owners)
        limit.tokens = min(limit.tokens, limit.burst)

    def _owners(self, run: str, max_owners: int) -> ty.Collection[str]:
        """Return the routers between which a limit is split."""
        if len(self._routers) <= max_owners:
            return self._routers
        return heapq.nsmallest(
            max_owners,
            self._routers,
            key=lambda router: _hash(f'{run}|{router}'),
        )

    def _evict_oldest(self) -> None:
        oldest = min(self._limits, key=lambda run: self._limits[run].at)
        del self._limits[oldest]


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()

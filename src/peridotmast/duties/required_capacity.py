"""How many upstreams of each service the demand needs."""

from __future__ import annotations

import collections
import dataclasses
import math
import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import demand as demand_
from peridotmast.serving import upstreams as upstreams_

_LEAST_NEEDED = 2
"""Upstreams that are held for the smallest demand."""

_CALM_MS = 5000
"""Time for which fewer upstreams must be enough before one is given back:
arrivals come in clumps, and a new one takes a boot to come."""

_PRIOR_SHARE = 0.5
"""Part of what a fleet starts with that counts as needed until its demand is
known: it is started for its usual peak, on dearer upstreams. Of what another
holder has left, all counts: it was ordered for a demand."""

_READ_SHARE = 0.75
"""Part of the tokens of prompts that engines read; the rest they hold."""

_PRIOR_SPEED = 1.2
"""What an engine reads at most, as a multiple of what it is said to read
while first tokens still come in time."""

_FASTER_BOUND = 3.0
"""How many times as fast as is said engines may be found to read: samples
that are all of a kind that nobody thought of must not empty a fleet."""

_SLOWER_BOUND = 1.25
"""The same for slower. In a large fleet a router knows too late of what waits
at an engine, so that busy ones look slow: 11.6 tokens a ms were seen where
38.1 are read."""

_SCATTER = 0.9
"""Upstreams beside the load, for each root of it. Prompts of 200 to 40,000
tokens scatter more than arrivals that are all alike, for which 1 is usual."""

_SCATTER_LATE = 2.0
"""The same where routers know late of each other's work, so that it lands
unevenly: with 0.9 at 80 routers 0.70 was served in time, where a fixed rate
that came to this many had served 0.76."""

_SETTLED_MS = 1500
"""Time for which no upstream may have come before any is given back: they
enter the store one by one while the fleet starts."""


@dataclasses.dataclass
class RequiredCapacity:
    """How many upstreams carry a service's demand."""

    count: int
    lower_since: int
    """Since when fewer would do, in ms."""
    is_measured: bool
    """Whether it follows from the demand."""
    is_guess: bool = False
    """Whether it follows from nothing but what the fleet was started with."""
    reserve: int = 0
    """How many are to be had where reclaimable ones can be: at least
    `count`."""
    limit_shortfall: int = 0
    """How many of them make up for the rate limits of other upstreams."""


class CapacityEstimator:
    """Rises with the demand at once and falls slowly.

    Until the demand is known, what the holder before has found to be needed
    counts, or what it has left. For the first one, a part of what the
    operators started with.

    Parameters
    ----------
    table : upstreams.UpstreamTable
        What there is.
    demand : demand.Demand
        What is asked for.
    clock : clock.Clock
        Times the falls.
    """

    def __init__(
        self,
        table: upstreams_.UpstreamTable,
        demand: demand_.Demand,
        clock: clock_.Clock,
    ) -> None:
        self._table = table
        self._demand = demand
        self._clock = clock
        self._needs: dict[str, RequiredCapacity] = {}
        self._left: dict[str, int] = {}
        self._is_first = True
        self._seen: dict[str, set[str]] = collections.defaultdict(set)
        self._new_at = 0
        self.is_load_stale: ty.Callable[[], bool] = lambda: False
        """Whether routers know of each other's work later than it lasts."""
        self.startup_complete = False
        """Whether what the fleet starts with has come."""

    def reset(self) -> None:
        """Begin anew with the next look at each service."""
        self._needs = {}
        self._left = {}

    def save(self) -> dict[str, int]:
        """Return what is needed of each service, for the next holder."""
        known = {
            name: n.count for name, n in self._needs.items() if n.is_measured
        }
        return {**self._left, **known}

    def restore(self, left: dict[str, int]) -> None:
        """Take in what the holder before has found to be needed."""
        self._left = left

    def track_startup(self, is_first: bool) -> None:
        """Take note of the upstreams that the fleet starts with.

        Those are firm; reclaimable ones come because they were ordered.

        Parameters
        ----------
        is_first : bool
            Whether nobody had the duties before: later on, what there is
            was not started by operators, and has come already.
        """
        self._is_first = is_first
        self.startup_complete = self.startup_complete or not is_first
        if self.startup_complete:
            return
        now = self._clock.now()
        for view in self._table.all():
            seen = self._seen[view.service]
            if view.record.reclaimable or not view.is_available:
                continue
            if view.name not in seen:
                self._new_at = now
                seen.add(view.name)
        self.startup_complete = now - self._new_at >= _SETTLED_MS

    def estimate(
        self,
        service: str,
        live: int,
        planned: int,
        per_engine: float,
        exceeded: float,
        limits: ty.Collection[float] = (),
    ) -> RequiredCapacity:
        """Return how many upstreams carry the demand of `service`.

        Parameters
        ----------
        live : int
            Upstreams that there are.
        planned : int
            Upstreams that live events ask for now.
        per_engine : float
            Tokens a second that one carries.
        exceeded : float
            Part of the time in which the demand may exceed the reserve:
            one more upstream pays where it is needed for more of the time
            than its price is of what a shortage costs.
        limits : collection of float, optional
            Rate limits of live upstreams, in requests per second.
        """
        shortfall = self._limit_shortfall(service, per_engine, limits)
        need = self._count(service, live, planned, per_engine, shortfall)
        peak = self._demand.quantile(service, 1 - exceeded)
        need.limit_shortfall = shortfall
        need.reserve = max(
            need.count, self._staff(service, peak, per_engine) + shortfall
        )
        if not need.is_measured:
            need.reserve = max(need.reserve, len(self._seen[service]))
        return need

    def _staff(self, service: str, rate: float, per_engine: float) -> int:
        """Return how many upstreams carry a rate of tokens.

        So many that they would be busy all the time, and beside them as
        many as arrivals scatter: that grows with the root of the load, so
        few of them need more room for each than many (square-root staffing,
        Halfin and Whitt, 1981).
        """
        load = rate * _READ_SHARE / self._reading_speed(service, per_engine)
        scatter = _SCATTER_LATE if self.is_load_stale() else _SCATTER
        return math.ceil(load + scatter * math.sqrt(load))

    def _reading_speed(self, service: str, per_engine: float) -> float:
        """Return the reading speed of an upstream, in tokens per second."""
        speed = per_engine * _PRIOR_SPEED
        seen = self._demand.prefill_rate(service)
        if seen is not None:
            low, high = speed / _SLOWER_BOUND, speed * _FASTER_BOUND
            # Between the two: an engine at work reads slower than the idle
            # one that was seen, by the steps of the requests that it runs.
            speed = math.sqrt(speed * min(high, max(low, seen * 1000)))
        return speed

    def _limit_shortfall(
        self, service: str, per_engine: float, limits: ty.Collection[float]
    ) -> int:
        """Return how many upstreams make up for the capacity lost to limits.

        A limited upstream still counts as live, so that other upstreams must
        carry the load above its limit. Limits are in requests and the load is
        in tokens: 0 is returned while the mean request size is unknown.
        """
        size = self._demand.mean_request_tokens(service) if limits else 0
        if not size:
            return 0
        speed = self._reading_speed(service, per_engine)
        capacity = speed / (_READ_SHARE * size)
        return round(sum(max(0, 1 - limit / capacity) for limit in limits))

    def _count(
        self,
        service: str,
        live: int,
        planned: int,
        per_engine: float,
        limit_shortfall: int,
    ) -> RequiredCapacity:
        now = self._clock.now()
        rate = self._demand.rate(service)
        wanted = limit_shortfall + max(
            _LEAST_NEEDED, planned, self._staff(service, rate, per_engine)
        )
        known = self._demand.has_full_window(service)
        if not self.startup_complete:
            return RequiredCapacity(wanted, now, known)
        need = self._needs.get(service)
        if need is None:
            need = RequiredCapacity(wanted, now, True)
            if not known:
                need = self._prior(service, live, now)
            self._needs[service] = need
        if wanted >= need.count or (known and need.is_guess):
            need.count = wanted
            need.lower_since = now
        elif known and now - need.lower_since >= _CALM_MS:
            need.count -= 1
            need.lower_since = now
        need.is_measured = need.is_measured or known
        need.is_guess = need.is_guess and not known
        return need

    def _prior(self, service: str, live: int, now: int) -> RequiredCapacity:
        """Return what is needed as far as is known without the demand."""
        if service in self._left:
            return RequiredCapacity(self._left[service], now, False)
        if self._is_first:
            guess = math.ceil(live * _PRIOR_SHARE)
            return RequiredCapacity(guess, now, False, is_guess=True)
        return RequiredCapacity(live, now, False)

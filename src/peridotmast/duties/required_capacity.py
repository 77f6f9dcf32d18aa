"""Estimate of the number of upstreams that the demand requires."""

from __future__ import annotations

import collections
import dataclasses
import math
import typing as ty

from peridotmast import clock as clock_
from peridotmast.serving import demand as demand_
from peridotmast.serving import upstreams as upstreams_

_MIN_NEEDED = 2
"""Minimum number of upstreams, whatever the demand."""

_DECREASE_INTERVAL_MS = 5000
"""Time for which fewer upstreams must suffice before the number is lowered by
one: arrivals are bursty, and a replacement takes a boot time to start."""

_INITIAL_SHARE = 0.5
"""Share of a new fleet's upstreams that counts as required until the demand
is measured: operators start a fleet for its usual peak, on more expensive
upstreams. Upstreams of a fleet that had a holder before all count, since they
were ordered for a demand."""

_PREFILL_SHARE = 0.75
"""Share of prompt tokens that engines prefill; the rest is in their caches."""

_MAX_SPEED_FACTOR = 1.2
"""Maximum prefill rate of an engine, relative to its rated speed, at which
first tokens still meet their target."""

_MAX_SPEEDUP = 3.0
"""Highest measured speed that is accepted, relative to the expected speed:
unrepresentative samples must not shrink the fleet to almost nothing."""

_MAX_SLOWDOWN = 1.25
"""Largest factor by which a measured speed may be below the expected speed. In
a large fleet a router learns too late of the queue at an engine, so that busy
engines look slow: 11.6 tokens per ms were measured at engines that prefill
38.1."""

_LOAD_MARGIN = 0.9
"""Upstreams added to the load, per square root of it. 1 is usual for requests
of equal size; prompts vary more, from 200 to 40,000 tokens."""

_STALE_LOAD_MARGIN = 2.0
"""Margin used instead if routers learn late of each other's requests, so that
the load is spread unevenly. With 80 routers, a margin of 0.9 served 0.70 of
the requests in time; a fixed rate that led to as many upstreams as a margin of
2.0 served 0.76."""

_STARTUP_QUIET_MS = 1500
"""Time without a new firm upstream after which the fleet's startup is over and
upstreams may be removed: they enter the store one by one at startup."""


@dataclasses.dataclass
class RequiredCapacity:
    """Number of upstreams that the demand of one service requires."""

    count: int
    lower_since: int
    """Time since which a lower count would suffice, in ms."""
    is_measured: bool
    """Whether the count follows from measured demand."""
    is_guess: bool = False
    """Whether the count follows only from the size of a new fleet."""
    reserve: int = 0
    """Number to hold while reclaimable upstreams are available; at least
    `count`."""
    limit_shortfall: int = 0
    """Upstreams of `count` that compensate for the rate limits of others."""


class CapacityEstimator:
    """Estimates the required upstreams of each service.

    The estimate rises with the demand at once and falls slowly. Until the
    demand is measured, it is the number that the previous holder has saved,
    or else the number of live upstreams. For the first holder of a new fleet
    it is a share of the upstreams that operators have started.

    Parameters
    ----------
    table : upstreams.UpstreamTable
        Existing upstreams.
    demand : demand.Demand
        Demand of each service.
    clock : clock.Clock
        Clock for decreases and for the startup.
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
        self._required: dict[str, RequiredCapacity] = {}
        self._restored: dict[str, int] = {}
        self._is_first_holder = True
        self._initial: dict[str, set[str]] = collections.defaultdict(set)
        self._last_started_at = 0
        self.is_load_stale: ty.Callable[[], bool] = lambda: False
        """Whether routers learn of each other's requests only after these
        have ended."""
        self.startup_complete = False
        """Whether all upstreams that the fleet starts with have started."""

    def reset(self) -> None:
        """Discard all estimates, for a new term as lease holder."""
        self._required = {}
        self._restored = {}

    def save(self) -> dict[str, int]:
        """Return the required upstreams by service, for the next holder."""
        measured = {
            name: item.count
            for name, item in self._required.items()
            if item.is_measured
        }
        return {**self._restored, **measured}

    def restore(self, state: dict[str, int]) -> None:
        """Take over the previous holder's required upstreams by service."""
        self._restored = state

    def track_startup(self, is_first_holder: bool) -> None:
        """Record the upstreams that the fleet starts with.

        These are firm; reclaimable ones start only once they are ordered.

        Parameters
        ----------
        is_first_holder : bool
            Whether no router has held the duties before. The startup is over
            for a later holder, whose upstreams were not started by operators.
        """
        self._is_first_holder = is_first_holder
        self.startup_complete = self.startup_complete or not is_first_holder
        if self.startup_complete:
            return
        now = self._clock.now()
        for view in self._table.all():
            initial = self._initial[view.service]
            if view.record.reclaimable or not view.is_available:
                continue
            if view.name not in initial:
                self._last_started_at = now
                initial.add(view.name)
        self.startup_complete = (
            now - self._last_started_at >= _STARTUP_QUIET_MS
        )

    def estimate(
        self,
        service: str,
        live: int,
        for_events: int,
        rated_speed: float,
        shortage_share: float,
        limits: ty.Collection[float] = (),
    ) -> RequiredCapacity:
        """Return the upstreams that the demand of `service` requires.

        Parameters
        ----------
        live : int
            Live upstreams.
        for_events : int
            Upstreams that live events need now.
        rated_speed : float
            Tokens per second that one upstream is configured to carry.
        shortage_share : float
            Share of time in which the demand may exceed the reserve. Another
            upstream pays off if it is needed for a larger share of time than
            the ratio of its price to the cost of a shortage.
        limits : collection of float, optional
            Rate limits of live upstreams, in requests per second.
        """
        shortfall = self._limit_shortfall(service, rated_speed, limits)
        required = self._update(
            service, live, for_events, rated_speed, shortfall
        )
        peak = self._demand.quantile(service, 1 - shortage_share)
        required.limit_shortfall = shortfall
        required.reserve = max(
            required.count,
            self._upstreams_for(service, peak, rated_speed) + shortfall,
        )
        if not required.is_measured:
            required.reserve = max(
                required.reserve, len(self._initial[service])
            )
        return required

    def _upstreams_for(
        self, service: str, rate: float, rated_speed: float
    ) -> int:
        """Return the upstreams required for a rate of tokens per second.

        That is the number that would be busy all the time, and a margin for
        varying arrivals. The margin grows with the square root of the load, so
        that a small fleet has more spare capacity per upstream than a large
        one (square-root staffing, Halfin and Whitt, 1981).
        """
        load = rate * _PREFILL_SHARE / self._prefill_rate(service, rated_speed)
        margin = _STALE_LOAD_MARGIN if self.is_load_stale() else _LOAD_MARGIN
        return math.ceil(load + margin * math.sqrt(load))

    def _prefill_rate(self, service: str, rated_speed: float) -> float:
        """Return the prefill rate of an upstream, in tokens per second."""
        speed = rated_speed * _MAX_SPEED_FACTOR
        measured = self._demand.prefill_rate(service)
        if measured is not None:
            low, high = speed / _MAX_SLOWDOWN, speed * _MAX_SPEEDUP
            # The geometric mean: the measured speed is that of idle engines,
            # while a busy one also spends time on the steps of its requests.
            speed = math.sqrt(speed * min(high, max(low, measured * 1000)))
        return speed

    def _limit_shortfall(
        self, service: str, rated_speed: float, limits: ty.Collection[float]
    ) -> int:
        """Return the upstreams that compensate for capacity lost to limits.

        A limited upstream still counts as live, so that other upstreams must
        carry the load above its limit. Limits are in requests and the load is
        in tokens: 0 is returned while the mean request size is unknown.
        """
        size = self._demand.mean_request_tokens(service) if limits else 0
        if not size:
            return 0
        speed = self._prefill_rate(service, rated_speed)
        capacity = speed / (_PREFILL_SHARE * size)
        return round(sum(max(0, 1 - limit / capacity) for limit in limits))

    def _update(
        self,
        service: str,
        live: int,
        for_events: int,
        rated_speed: float,
        limit_shortfall: int,
    ) -> RequiredCapacity:
        now = self._clock.now()
        rate = self._demand.rate(service)
        needed = limit_shortfall + max(
            _MIN_NEEDED,
            for_events,
            self._upstreams_for(service, rate, rated_speed),
        )
        is_measured = self._demand.has_full_window(service)
        if not self.startup_complete:
            return RequiredCapacity(needed, now, is_measured)
        required = self._required.get(service)
        if required is None:
            required = RequiredCapacity(needed, now, True)
            if not is_measured:
                required = self._without_demand(service, live, now)
            self._required[service] = required
        if needed >= required.count or (is_measured and required.is_guess):
            required.count = needed
            required.lower_since = now
        elif (
            is_measured and now - required.lower_since >= _DECREASE_INTERVAL_MS
        ):
            required.count -= 1
            required.lower_since = now
        required.is_measured = required.is_measured or is_measured
        required.is_guess = required.is_guess and not is_measured
        return required

    def _without_demand(
        self, service: str, live: int, now: int
    ) -> RequiredCapacity:
        """Return the required upstreams while the demand is not measured."""
        if service in self._restored:
            return RequiredCapacity(self._restored[service], now, False)
        if self._is_first_holder:
            initial_guess = math.ceil(live * _INITIAL_SHARE)
            return RequiredCapacity(initial_guess, now, False, is_guess=True)
        return RequiredCapacity(live, now, False)

"""Refusal of requests that could not end in time, for one service."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import typing as ty

from peridotmast.serving.scarcity import measure

_MIX_SMOOTHING_MS = 1000
"""Time constant of the mix of priorities in progress, in ms. Routers of large
fleets have some 20 requests in progress, so single samples scatter."""

_COUNT_DECAY_MS = 5000
"""Time constant of the counts of offered and admitted requests, in ms."""

_HOLD_WEIGHT = 0.05
"""Weight of one sample in the mean time for which a request holds a slot."""

_MIN_FREE_SHARE = 0.05
"""Minimum fraction of the capacity that is assumed to be left by requests of
higher priorities, so that waiting times stay finite."""

_MIN_ADMITTED_SHARE = 0.35
"""Minimum fraction of the requests of a priority or a team that is admitted,
relative to the fraction of all requests. It exceeds the quarter that must be
served, as not every admitted request is served."""

_SAFE_SHARE = 0.75
"""Fraction of the time limit within which a request must be expected to end:
loads are up to 250 ms old, and preempted requests take longer."""

_MIN_RETRY_MS, _MAX_RETRY_MS = 250, 10_000
"""Range of the earliest retry times, in ms: loads are reported every 250 ms,
and estimates reach no further than some seconds."""

_MAX_PRIORITY = 9
"""Lowest priority that is told apart."""

_MAX_TEAMS = 256
"""Maximum number of teams counted separately; all others are counted together.
The one with the least offered requests is dropped first."""

_MIN_OFFERED = 0.05
"""Decayed number of offered requests below which a team may be dropped: 15 s
after a single request. A team that is counted anew is always admitted once, so
dropping teams earlier would admit most requests of many teams."""


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a request is admitted."""

    retry_ms: int = 0
    """Time after which to retry, in ms; 0 if the request is admitted."""
    wait_ms: float = 0.0
    """Expected time until a slot is free for the request, in ms."""
    by_share: bool = False
    """Whether the request is only admitted for the minimum share of its
    priority or team."""


class _Ratio:
    """Decayed numbers of offered and admitted requests."""

    def __init__(self) -> None:
        self.offered = 0.0
        self.admitted = 0.0
        self._updated_at = 0

    def decay(self, now: int) -> _Ratio:
        """Apply the decay until `now`, and return self."""
        factor = math.exp((self._updated_at - now) / _COUNT_DECAY_MS)
        self.offered *= factor
        self.admitted *= factor
        self._updated_at = now
        return self

    def count(self, is_admitted: bool) -> None:
        """Count one request."""
        self.offered += 1
        self.admitted += is_admitted

    def share(self) -> float:
        """Return the admitted fraction; 0 if nothing was offered."""
        return self.admitted / self.offered if self.offered else 0.0


class _Resource:
    """Use of slots or of memory by priority."""

    def __init__(self) -> None:
        self.in_use: collections.Counter[int] = collections.Counter()
        """What the requests of this router use."""
        self._means: dict[int, float] = {}
        self._loads: dict[int, float] = {}

    def own(self) -> float:
        """Return the smoothed use of all requests of this router."""
        return sum(self._means.values())

    def tick(
        self, elapsed: int, routers: int, load: float, capacity: float
    ) -> None:
        """Update the load by priority, relative to the capacity.

        Parameters
        ----------
        elapsed : int
            Time since the last update, in ms.
        routers : int
            Number of routers. The load of a priority counts as this router's
            times their number, at most the load of all routers; what is left
            of that load counts for no priority. In proportion to this router's
            requests, one that refused low priorities would take the load that
            others have of them for load of high priorities, and would refuse
            ever more.
        load, capacity : float
            Those of all routers.
        """
        for key, value in self.in_use.items():
            known = self._means.get(key, 0.0)
            weight = -math.expm1(-elapsed / _MIX_SMOOTHING_MS)
            self._means[key] = known + weight * (value - known)
        own = self.own()
        scale = 0.0
        if own > 0 and capacity > 0:
            scale = min(routers, load / own) / capacity
        self._loads = {k: mean * scale for k, mean in self._means.items()}

    def wait_ms(self, priority: int, hold_ms: ty.Mapping[int, float]) -> float:
        """Return how long a request of a priority waits, in ms.

        What exceeds the capacity waits until as much is released. Requests of
        higher priorities that arrive meanwhile take their part of it.
        """
        wait_ms = load = work = known = 0.0
        for key in sorted(self._loads):
            if key > priority:
                break
            free = max(_MIN_FREE_SHARE, 1 - load)
            load += self._loads[key]
            if key in hold_ms:
                work += self._loads[key] * hold_ms[key]
                known += self._loads[key]
            if known > 0 and load > 1:
                wait_ms = max(wait_ms, (load - 1) * work / known / free)
        return wait_ms


class Admission:
    """Decides which requests to one service are refused.

    The load by priority is estimated from the requests that this router has in
    progress, the number of routers and the load of all of them. The counts by
    team take some kilobytes.

    Parameters
    ----------
    seed : str
        Seed of the spread of retry times, different for each router.
    """

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._slots, self._memory = _Resource(), _Resource()
        self._figures, self._routers = measure.Figures(), 1
        self._ticked_at: ty.Optional[int] = None
        self._hold_ms: dict[int, float] = {}
        self._all = _Ratio()
        self._priorities: dict[int, _Ratio] = {}
        self._teams: dict[str, _Ratio] = {}
        self._other_teams = _Ratio()

    def begin(
        self, priority: int, memory: int, by_share: bool = False
    ) -> None:
        """Count an admitted request that occupies `memory` tokens.

        Parameters
        ----------
        by_share : bool
            Whether it was only admitted for a minimum share. Such requests
            are served like those of priority 0, so others wait for them.
        """
        key = 0 if by_share else _key(priority)
        self._slots.in_use[key] += 1
        self._memory.in_use[key] += memory

    def end(
        self,
        priority: int,
        memory: int,
        hold_ms: ty.Optional[float],
        by_share: bool = False,
    ) -> None:
        """Count the end of a request.

        Parameters
        ----------
        by_share : bool
            As in `begin`.
        hold_ms : float, optional
            Time for which it held a slot, in ms; None if unknown.
        """
        served_as = 0 if by_share else _key(priority)
        self._slots.in_use[served_as] -= 1
        self._memory.in_use[served_as] -= memory
        key = _key(priority)
        if hold_ms is not None:
            known = self._hold_ms.get(key, hold_ms)
            self._hold_ms[key] = known + _HOLD_WEIGHT * (hold_ms - known)

    def tick(self, figures: measure.Figures, routers: int, now: int) -> None:
        """Take new figures, and update the mix of priorities.

        Parameters
        ----------
        figures : measure.Figures
            Load and capacity of the service.
        routers : int
            Number of routers.
        now : int
            Time of the figures, in ms.
        """
        elapsed = 0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        self._figures, self._routers = figures, routers
        for resource, load, capacity in (
            (self._slots, figures.running, figures.slots),
            (self._memory, figures.memory, figures.memory_tokens),
        ):
            resource.tick(elapsed, routers, load, capacity)

    def decide(
        self,
        priority: int,
        team: str,
        limit_ms: float,
        now: int,
    ) -> Verdict:
        """Decide on a request, and count the decision.

        Parameters
        ----------
        limit_ms : float
            Time within which the response must end, in ms.
        now : int
            Current time, in ms.
        """
        key = _key(priority)
        ratios = (
            self._priorities.setdefault(key, _Ratio()).decay(now),
            self._team(team, now),
        )
        wait_ms = self.wait_ms(priority)
        late_ms = wait_ms + self._hold_ms.get(key, 0.0)
        late_ms -= _SAFE_SHARE * limit_ms
        is_refused = (
            wait_ms > 0 and late_ms > 0 and not self._figures.is_half_idle
        )
        bound = _MIN_ADMITTED_SHARE * self._all.decay(now).share()
        by_share = is_refused and any(r.share() <= bound for r in ratios)
        is_admitted = by_share or not is_refused
        for ratio in (self._all, *ratios):
            ratio.count(is_admitted)
        if is_admitted:
            return Verdict(wait_ms=wait_ms, by_share=by_share)
        return Verdict(self._retry_ms(key, late_ms), wait_ms)

    def wait_ms(self, priority: int) -> float:
        """Return the time until a request of a priority gets a slot, in ms.

        It does not fall with the priority, so that of two requests with the
        same time limit, the one of the lower priority is refused first.
        """
        return max(
            resource.wait_ms(_key(priority), self._hold_ms)
            for resource in (self._slots, self._memory)
        )

    def _retry_ms(self, key: int, late_ms: float) -> int:
        """Return a retry time, spread so that callers do not return at once.

        The earliest one is when the backlog is so short that the request
        would end in time. The spread allows for serving all that this router
        refused recently, at its share of the capacity.
        """
        earliest = min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, late_ms))
        ratio = self._priorities[key]
        refused = ratio.offered - ratio.admitted
        work_ms = refused * self._routers * self._hold_ms.get(key, 0.0)
        spread = work_ms / max(1, self._figures.slots)
        spread = min(_MAX_RETRY_MS, max(earliest, spread))
        return round(earliest + spread * self._random.random())

    def _team(self, team: str, now: int) -> _Ratio:
        """Return the counts of a team, or of all that are not counted."""
        ratio = self._teams.get(team)
        if ratio is None:
            if len(self._teams) >= _MAX_TEAMS:
                least = min(
                    self._teams,
                    key=lambda t: self._teams[t].decay(now).offered,
                )
                if self._teams[least].offered >= _MIN_OFFERED:
                    return self._other_teams.decay(now)
                del self._teams[least]
            ratio = self._teams[team] = _Ratio()
        return ratio.decay(now)


def _key(priority: int) -> int:
    """Return the priority as which a request is counted."""
    return max(0, min(_MAX_PRIORITY, priority))

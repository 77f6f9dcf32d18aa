"""Cheapest number of upstreams by failure domain and by kind.

An upstream is of one of two kinds: the platform may reclaim the VM of a
reclaimable upstream, but not that of a firm one.
"""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

Counts = dict[str, int]
"""Number of upstreams by failure domain."""

_MAX_CACHED_PLANS = 64
"""Maximum number of cached plans: a few for each service and each state of the
service's orders."""


@dataclasses.dataclass(frozen=True)
class Mix:
    """Number of upstreams of one service by kind and failure domain."""

    reclaimable: Counts
    """Reclaimable upstreams; a whole failure domain may be lost at once."""
    firm: Counts
    """Firm upstreams, which are not reclaimed."""

    @property
    def total(self) -> int:
        """Total number of upstreams."""
        return sum(self.reclaimable.values()) + sum(self.firm.values())

    @property
    def left_after_loss(self) -> int:
        """Fewest upstreams left after any one failure domain is reclaimed."""
        return self.total - max(self.reclaimable.values(), default=0)

    def without_one(self, domain: str, reclaimable: bool) -> Mix:
        """Return a copy with one upstream fewer in `domain`."""
        kinds = [dict(self.firm), dict(self.reclaimable)]
        kinds[reclaimable][domain] -= 1
        return Mix(kinds[True], kinds[False])

    def describe(self) -> str:
        """Return one line of text about the redundancy of the mix."""
        spread = sum(count > 0 for count in self.reclaimable.values())
        return (
            f'{self.left_after_loss} of {self.total} are left after losing '
            f'any failure domain; '
            f'{sum(self.reclaimable.values())} reclaimable '
            f'in {spread} failure domains, {sum(self.firm.values())} firm'
        )


@dataclasses.dataclass(frozen=True)
class Market:
    """Prices and limits of the upstreams of one service."""

    prices: dict[str, float]
    """Price of a firm upstream by failure domain."""
    reclaimable_price: float
    """Price of a reclaimable upstream, as a fraction of the price of a firm
    one."""
    min_per_domain: int
    """Minimum number of upstreams in one failure domain."""
    max_per_domain: int
    """Maximum number of upstreams in one failure domain."""
    reclaimable_limits: Counts = dataclasses.field(default_factory=dict)
    """Maximum of reclaimable upstreams in each domain with a shortage."""
    firm_limits: Counts = dataclasses.field(default_factory=dict)
    """Maximum of firm upstreams in each domain with a shortage."""

    def price(self, mix: Mix) -> float:
        """Return the price of a mix, in the unit of `prices`."""
        return sum(
            price
            * (
                mix.firm.get(domain, 0)
                + self.reclaimable_price * mix.reclaimable.get(domain, 0)
            )
            for domain, price in self.prices.items()
        )

    def max_upstreams(self, domain: str, reclaimable: bool) -> int:
        """Return the maximum number of upstreams of a kind in a domain."""
        limits = self.reclaimable_limits if reclaimable else self.firm_limits
        return min(
            self.max_per_domain, limits.get(domain, self.max_per_domain)
        )


def market_of(service: pb.Service) -> Market:
    """Return the prices and limits in a service's configuration."""
    return Market(
        dict(zip(service.domains, service.prices)),
        service.reclaimable_price,
        service.scale_min,
        service.scale_max,
    )


class PlanCache:
    """Caches plans, since their inputs seldom change.

    The lease holder needs four plans at each tick. To compute a plan takes
    13 ms with 512 upstreams in each failure domain (`peridotmast-load
    slopes`).
    """

    def __init__(self) -> None:
        self._cached: dict[tuple[ty.Any, ...], Mix] = {}

    def cheapest(
        self, market: Market, needed: int, existing: ty.Optional[Mix] = None
    ) -> Mix:
        """Return the result of `cheapest_mix`, cached for equal inputs."""
        existing = existing or Mix({}, {})
        count_maps: tuple[dict[str, ty.Any], ...] = (
            market.prices,
            market.reclaimable_limits,
            market.firm_limits,
            existing.reclaimable,
            existing.firm,
        )
        key = (
            needed,
            market.reclaimable_price,
            market.min_per_domain,
            market.max_per_domain,
            *(tuple(counts.items()) for counts in count_maps),
        )
        mix = self._cached.get(key)
        if mix is None:
            if len(self._cached) >= _MAX_CACHED_PLANS:
                self._cached.clear()
            mix = self._cached[key] = cheapest_mix(market, needed, existing)
        return mix


def cheapest_mix(
    market: Market, needed: int, existing: ty.Optional[Mix] = None
) -> Mix:
    """Return the cheapest mix that has enough upstreams after any loss.

    One mix is computed for each possible limit on the reclaimable upstreams
    in one failure domain. With a higher limit, more upstreams are lost with
    one domain, so that more are required in other domains. A limit above
    `needed` never gives a cheaper mix. If several mixes have the same price,
    the mix with the lowest limit is returned, as its upstreams are spread most
    evenly over the domains.

    Parameters
    ----------
    needed : int
        Upstreams that must be left after losing any one failure domain.
    existing : Mix, optional
        Upstreams that already exist; the result has at least these.
    """
    existing = existing or Mix({}, {})
    lowest = max(existing.reclaimable.values(), default=0)
    highest = max(
        lowest, min(market.max_per_domain, max(needed, market.min_per_domain))
    )
    limits = range(lowest, highest + 1)
    mixes = [
        _mix_with_limit(market, needed, limit, existing) for limit in limits
    ]
    return min(
        mixes,
        key=lambda mix: (-min(mix.left_after_loss, needed), market.price(mix)),
    )


def find_removable(
    market: Market, mix: Mix, needed: int, keep: ty.Optional[Counts] = None
) -> ty.Optional[tuple[str, bool]]:
    """Return the most expensive upstream that `mix` does not need.

    Parameters
    ----------
    needed : int
        Upstreams that must be left after losing any one failure domain.
    keep : Counts, optional
        Number of reclaimable upstreams to keep in each failure domain. An
        upstream that starts before the rest of its order adds no redundancy
        until the rest has started, and would otherwise be removed.

    Returns
    -------
    tuple or None
        Failure domain, and whether the upstream is reclaimable.
    """
    keep = keep or {}
    candidates = [
        (domain, is_reclaimable)
        for domain in market.prices
        for is_reclaimable, count in (
            (False, mix.firm.get(domain, 0)),
            (True, mix.reclaimable.get(domain, 0) - keep.get(domain, 0)),
        )
        if count > 0
    ]
    removable = [
        (
            market.price(mix) - market.price(mix.without_one(*candidate)),
            candidate,
        )
        for candidate in candidates
        if mix.without_one(*candidate).left_after_loss >= needed
        and _count(mix, candidate[0]) > market.min_per_domain
    ]
    return max(removable)[1] if removable else None


def _mix_with_limit(
    market: Market, needed: int, max_reclaimable: int, existing: Mix
) -> Mix:
    """Return the cheapest mix with limited reclaimable upstreams per domain.

    Losing a domain takes at most `max_reclaimable` upstreams, so that a total
    of `needed` plus that many suffices. Upstreams are added in one pass over
    the domains and kinds, the cheapest first.
    """
    reclaimable = {d: existing.reclaimable.get(d, 0) for d in market.prices}
    firm = {d: existing.firm.get(d, 0) for d in market.prices}
    _fill_to_minimum(market, reclaimable, firm, max_reclaimable)
    mix = Mix(reclaimable, firm)
    missing = needed + max_reclaimable - mix.total
    for _, domain, is_reclaimable in _sorted_by_price(market):
        counts = reclaimable if is_reclaimable else firm
        limit = market.max_upstreams(domain, is_reclaimable)
        if is_reclaimable:
            limit = min(limit, max_reclaimable)
        room = min(
            limit - counts[domain],
            market.max_per_domain - _count(mix, domain),
            missing,
        )
        counts[domain] += max(0, room)
        missing -= max(0, room)
    return mix


def _sorted_by_price(market: Market) -> list[tuple[float, str, bool]]:
    """Return price, domain and kind of all upstreams, cheapest first."""
    kinds = ((True, market.reclaimable_price), (False, 1.0))
    return sorted(
        (price * ratio, domain, is_reclaimable)
        for domain, price in market.prices.items()
        for is_reclaimable, ratio in kinds
    )


def _fill_to_minimum(
    market: Market, reclaimable: Counts, firm: Counts, max_reclaimable: int
) -> None:
    """Raise each failure domain to the minimum number of upstreams.

    A domain without available reclaimable upstreams is not raised: the
    platform keeps the upstreams that the domain already has, and a firm
    upstream that only satisfies the minimum would be paid for without need.
    """
    for domain in market.prices:
        available = market.max_upstreams(domain, True)
        missing = market.min_per_domain - reclaimable[domain] - firm[domain]
        room = min(max_reclaimable, available) - reclaimable[domain]
        taken = max(0, min(missing, room))
        reclaimable[domain] += taken
        if available:
            firm[domain] += max(0, missing - taken)


def _count(mix: Mix, domain: str) -> int:
    return mix.reclaimable.get(domain, 0) + mix.firm.get(domain, 0)

"""Cheapest number of upstreams by failure domain and by kind.

An upstream is either reclaimable, that is, its VM may be reclaimed by the
platform, or firm.
"""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

Counts = dict[str, int]
"""Number of upstreams by failure domain."""

_MAX_CACHED_PLANS = 64
"""Capacity of the plan cache: a few plans for each service and state of its
orders."""


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
        """Upstreams left after any one failure domain was reclaimed."""
        return self.total - max(self.reclaimable.values(), default=0)

    def without_one(self, domain: str, reclaimable: bool) -> Mix:
        """Return a copy with one upstream fewer in `domain`."""
        kinds = [dict(self.firm), dict(self.reclaimable)]
        kinds[reclaimable][domain] -= 1
        return Mix(kinds[True], kinds[False])

    def describe(self) -> str:
        """Return one line of text on the redundancy of the mix."""
        spread = sum(count > 0 for count in self.reclaimable.values())
        return (
            f'{self.left_after_loss} of {self.total} are left without any one '
            f'failure domain; {sum(self.reclaimable.values())} reclaimable '
            f'over {spread} of them, {sum(self.firm.values())} firm'
        )


@dataclasses.dataclass(frozen=True)
class Market:
    """Prices and limits of the upstreams of one service."""

    prices: dict[str, float]
    """Price of a firm upstream by failure domain."""
    reclaimable_price: float
    """Price of a reclaimable upstream, relative to a firm one."""
    min_per_domain: int
    """Minimum number of upstreams in one failure domain."""
    max_per_domain: int
    """Maximum number of upstreams in one failure domain."""
    reclaimable_limits: Counts = dataclasses.field(default_factory=dict)
    """Lower maximum of reclaimable upstreams in domains with a shortage."""
    firm_limits: Counts = dataclasses.field(default_factory=dict)
    """Lower maximum of firm upstreams in domains with a shortage."""

    def price(self, mix: Mix) -> float:
        """Return the price of a mix, in upstreams of price 1."""
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

    The lease holder needs four plans at each tick, and one plan takes 13 ms
    with 512 upstreams in each failure domain (`peridotmast-load slopes`).
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
    """Return the cheapest mix that keeps `needed` after losing any domain.

    One mix is computed for each possible limit on the reclaimable upstreams
    in one failure domain. A higher limit means that more are lost with one
    domain, so that more are required elsewhere; limits above `needed` never
    pay. Of mixes with the same price, the one with the lowest limit is
    returned, as it is spread most evenly.

    Parameters
    ----------
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
        Reclaimable upstreams to keep. One that starts earlier than the rest
        of its order adds no redundancy until the rest has started, and would
        be removed without this.

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
    of `needed` plus that many suffices. They are added in the order of price,
    in one pass over the domains and kinds.
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

    Domains without available reclaimable upstreams are skipped: the platform
    keeps their present upstreams, and a firm one that only satisfies the
    minimum would be paid for without need.
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

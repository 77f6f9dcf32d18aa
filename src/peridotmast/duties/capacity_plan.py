"""How many upstreams of which kind, in which failure domain, at least cost."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

Counts = dict[str, int]
"""Upstreams by failure domain."""

_PLANS_KEPT = 64
"""Plans that are kept: a few for each service and state of its orders."""


@dataclasses.dataclass(frozen=True)
class Mix:
    """Upstreams of one service by failure domain."""

    reclaimable: Counts
    """Those that may be reclaimed, all of a failure domain at once."""
    firm: Counts
    """Those that may not."""

    @property
    def total(self) -> int:
        """Upstreams in all."""
        return sum(self.reclaimable.values()) + sum(self.firm.values())

    @property
    def left_after_loss(self) -> int:
        """Upstreams left after losing one domain's reclaimable ones."""
        return self.total - max(self.reclaimable.values(), default=0)

    def without_one(self, domain: str, reclaimable: bool) -> Mix:
        """Return the mix with one upstream less in `domain`."""
        kinds = [dict(self.firm), dict(self.reclaimable)]
        kinds[reclaimable][domain] -= 1
        return Mix(kinds[True], kinds[False])

    def describe(self) -> str:
        """Return what the mix is made for, in words."""
        spread = sum(count > 0 for count in self.reclaimable.values())
        return (
            f'{self.left_after_loss} of {self.total} are left without any one '
            f'failure domain; {sum(self.reclaimable.values())} reclaimable '
            f'over {spread} of them, {sum(self.firm.values())} firm'
        )


@dataclasses.dataclass(frozen=True)
class Market:
    """What is to be had of a service's upstreams."""

    prices: dict[str, float]
    """Price of a firm upstream by failure domain."""
    reclaimable_price: float
    """Price of a reclaimable one as a part of that."""
    min_per_domain: int
    """Fewest upstreams in one failure domain."""
    max_per_domain: int
    """Most upstreams in one failure domain."""
    reclaimable_limits: Counts = dataclasses.field(default_factory=dict)
    """Most reclaimable ones where fewer are to be had at the moment."""
    firm_limits: Counts = dataclasses.field(default_factory=dict)
    """Most firm ones where fewer are to be had at the moment."""

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

    def limit(self, domain: str, reclaimable: bool) -> int:
        """Return the most upstreams of a kind in a failure domain."""
        limits = self.reclaimable_limits if reclaimable else self.firm_limits
        return min(
            self.max_per_domain, limits.get(domain, self.max_per_domain)
        )


def market_of(service: pb.Service) -> Market:
    """Return the market that a service's configuration describes."""
    return Market(
        dict(zip(service.domains, service.prices)),
        service.reclaimable_price,
        service.scale_min,
        service.scale_max,
    )


class PlanCache:
    """Keeps the last plans: what they follow from seldom changes.

    The holder of the duties asks four times a tick; at 512 upstreams a
    failure domain each plan takes 13 ms (`peridotmast-load slopes`).
    """

    def __init__(self) -> None:
        self._kept: dict[tuple[ty.Any, ...], Mix] = {}

    def cheapest(
        self, market: Market, needed: int, floor: ty.Optional[Mix] = None
    ) -> Mix:
        """Return what `cheapest_mix` does, and keep it."""
        floor = floor or Mix({}, {})
        counted: tuple[dict[str, ty.Any], ...] = (
            market.prices,
            market.reclaimable_limits,
            market.firm_limits,
            floor.reclaimable,
            floor.firm,
        )
        key = (
            needed,
            market.reclaimable_price,
            market.min_per_domain,
            market.max_per_domain,
            *(tuple(counts.items()) for counts in counted),
        )
        mix = self._kept.get(key)
        if mix is None:
            if len(self._kept) >= _PLANS_KEPT:
                self._kept.clear()
            mix = self._kept[key] = cheapest_mix(market, needed, floor)
        return mix


def cheapest_mix(
    market: Market, needed: int, floor: ty.Optional[Mix] = None
) -> Mix:
    """Return the cheapest mix that leaves `needed` without any one domain.

    Weighed are all heights up to which reclaimable upstreams may stand in
    one failure domain: the higher, the more one loss takes, and the more
    must stand beside it. Beyond what is needed, nothing is gained. Of
    mixes at one price the one that is spread most is taken.

    Parameters
    ----------
    floor : Mix, optional
        What there is already: the mix has at least that.
    """
    floor = floor or Mix({}, {})
    lowest = max(floor.reclaimable.values(), default=0)
    highest = max(
        lowest, min(market.max_per_domain, max(needed, market.min_per_domain))
    )
    heights = range(lowest, highest + 1)
    mixes = [_mix_up_to(market, needed, height, floor) for height in heights]
    return min(
        mixes,
        key=lambda mix: (-min(mix.left_after_loss, needed), market.price(mix)),
    )


def find_removable(
    market: Market, mix: Mix, needed: int, wanted: ty.Optional[Counts] = None
) -> ty.Optional[tuple[str, bool]]:
    """Return the dearest upstream that `mix` can do without.

    Parameters
    ----------
    wanted : Counts, optional
        Reclaimable ones that are to stay. One that came before the others
        it was ordered with adds nothing until they have come too.

    Returns
    -------
    tuple or None
        Failure domain, and whether it is a reclaimable one.
    """
    wanted = wanted or {}
    candidates = [
        (domain, is_reclaimable)
        for domain in market.prices
        for is_reclaimable, count in (
            (False, mix.firm.get(domain, 0)),
            (True, mix.reclaimable.get(domain, 0) - wanted.get(domain, 0)),
        )
        if count > 0
    ]
    good = [
        (
            market.price(mix) - market.price(mix.without_one(*candidate)),
            candidate,
        )
        for candidate in candidates
        if mix.without_one(*candidate).left_after_loss >= needed
        and _count(mix, candidate[0]) > market.min_per_domain
    ]
    return max(good)[1] if good else None


def _mix_up_to(market: Market, needed: int, height: int, floor: Mix) -> Mix:
    """Return the cheapest mix with at most `height` reclaimable in one.

    As one loss takes `height` at most, so many more than needed are enough:
    they are taken where they are cheapest, in one pass over the kinds.
    """
    reclaimable = {d: floor.reclaimable.get(d, 0) for d in market.prices}
    firm = {d: floor.firm.get(d, 0) for d in market.prices}
    _raise_to_least(market, reclaimable, firm, height)
    mix = Mix(reclaimable, firm)
    missing = needed + height - mix.total
    for _, domain, is_reclaimable in _cheapest_first(market):
        counts = reclaimable if is_reclaimable else firm
        limit = market.limit(domain, is_reclaimable)
        if is_reclaimable:
            limit = min(limit, height)
        room = min(
            limit - counts[domain],
            market.max_per_domain - _count(mix, domain),
            missing,
        )
        counts[domain] += max(0, room)
        missing -= max(0, room)
    return mix


def _cheapest_first(market: Market) -> list[tuple[float, str, bool]]:
    """Return price, failure domain and kind of all that is to be had."""
    kinds = ((True, market.reclaimable_price), (False, 1.0))
    return sorted(
        (price * part, domain, is_reclaimable)
        for domain, price in market.prices.items()
        for is_reclaimable, part in kinds
    )


def _raise_to_least(
    market: Market, reclaimable: Counts, firm: Counts, height: int
) -> None:
    """Bring each failure domain up to the fewest that it must have.

    Where no reclaimable ones are to be had the platform keeps what it has,
    and a firm one only for the number's sake would be paid for in vain.
    """
    for domain in market.prices:
        to_be_had = market.limit(domain, True)
        lacking = market.min_per_domain - reclaimable[domain] - firm[domain]
        room = min(height, to_be_had) - reclaimable[domain]
        taken = max(0, min(lacking, room))
        reclaimable[domain] += taken
        if to_be_had:
            firm[domain] += max(0, lacking - taken)


def _count(mix: Mix, domain: str) -> int:
    return mix.reclaimable.get(domain, 0) + mix.firm.get(domain, 0)

"""One look at the upstreams of one service, and the orders that follow."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.duties import capacity_plan
from peridotmast.duties import order_tracker
from peridotmast import failures
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb


class OrderSink(ty.Protocol):
    """Where upstreams are ordered."""

    def order(
        self,
        service: str,
        failure_domain: str,
        count: int,
        reclaimable: bool,
        fencing: int,
    ) -> ty.Optional[failures.Failure]:
        """Order so many upstreams of a service in a failure domain."""


class ServiceReconciler:
    """Orders what is missing, gives back what is too much.

    Parameters
    ----------
    orders : OrderSink
        Where upstreams are ordered.
    book : order_tracker.OrderTracker
        What was ordered and refused before.
    plans : capacity_plan.PlanCache
        Makes the plans and keeps them.
    service : pb.Service
        The service.
    live : capacity_plan.Mix
        What there is.
    needed : int
        Upstreams that are to be left at any loss.
    reserve : int
        Upstreams that are to be left as long as reclaimable ones are to be
        had.
    fencing : int
        Number of the holder that orders.
    demand : int
        Tokens a second that `needed` was worked out from, for the log.
    reading_speed : float
        Tokens a ms that an engine was seen to read, for the log; 0 where
        that is not known.
    limit_shortfall : int
        Upstreams of `needed` that make up for the rate limits of others, for
        the log.
    allow_reclaimable : bool
        Whether reclaimable upstreams may be ordered.
    """

    def __init__(
        self,
        orders: OrderSink,
        book: order_tracker.OrderTracker,
        plans: capacity_plan.PlanCache,
        service: pb.Service,
        live: capacity_plan.Mix,
        needed: int,
        reserve: int,
        fencing: int,
        demand: int,
        reading_speed: float = 0,
        limit_shortfall: int = 0,
        allow_reclaimable: bool = True,
    ) -> None:
        self._orders = orders
        self._book = book
        self._plans = plans
        self._service = service
        self._domains = list(service.domains)
        self._live = live
        self._needed = needed
        self._reserve = max(needed, reserve)
        self._fencing = fencing
        self._demand = demand
        self._reading = reading_speed
        self._limit_shortfall = limit_shortfall
        self._may_be_reclaimed = allow_reclaimable
        self._log = logs.get('scaler')

    def order_reclaimable(self) -> None:
        """Order reclaimable upstreams that are missing or would be cheaper.

        Each refusal changes what is to be had, and with it the plan.
        """
        if not self._may_be_reclaimed:
            return
        for _ in self._domains:
            market = self._market(optimistic=True)
            grown = self._plans.cheapest(
                market, self._reserve, self._expected()
            )
            ideal = self._plans.cheapest(market, self._reserve)
            wanted = grown
            if market.price(ideal) < market.price(grown):
                wanted = ideal
            refused = [
                domain
                for domain in self._domains
                if not self._raise_to(domain, True, wanted.reclaimable[domain])
            ]
            if not refused:
                return

    def order_firm(self) -> None:
        """Order firm upstreams in place of what is not to be had."""
        expected = self._expected()
        grown = self._plans.cheapest(
            self._market(optimistic=False),
            self._firm_needed(expected),
            expected,
        )
        for domain in self._domains:
            self._raise_to(domain, False, grown.firm[domain])

    def remove_excess(self, only_one: bool) -> bool:
        """Give upstreams back that what is live can do without.

        Parameters
        ----------
        only_one : bool
            Whether to stop after the first.

        Returns
        -------
        bool
            Whether any was given back.
        """
        gave = self._give_one_back()
        while gave and not only_one and self._give_one_back():
            pass
        return gave

    def _firm_needed(self, mix: capacity_plan.Mix) -> int:
        """Return how many must be left at a loss, where firm ones stand in.

        A reclaim is announced about as long before as a new one boots, so
        the gap is a few seconds; firm ones against it are paid for as long
        as nothing reclaimable is to be had. So they outlast the loss of one
        upstream, not of all in a failure domain.
        """
        height = max(mix.reclaimable.values(), default=0)
        return max(1, self._needed - max(0, height - 1))

    def _expected(self) -> capacity_plan.Mix:
        """Return what there is, and what was ordered and will come."""
        reclaimable, firm = (
            {
                domain: self._book.expected(
                    self._key(domain, is_reclaimable), count
                )
                for domain, count in counts.items()
            }
            for is_reclaimable, counts in self._kinds(self._live)
        )
        return capacity_plan.Mix(reclaimable, firm)

    def _market(self, optimistic: bool) -> capacity_plan.Market:
        """Return what is to be had.

        Parameters
        ----------
        optimistic : bool
            Whether to count on what was refused and may be tried again.
        """
        reclaimable, firm = (
            {
                domain: count
                for domain, count in counts.items()
                if self._is_shut(self._key(domain, is_reclaimable), optimistic)
            }
            for is_reclaimable, counts in self._kinds(self._expected())
        )
        if not self._may_be_reclaimed:
            reclaimable = dict.fromkeys(self._domains, 0)
        return dataclasses.replace(
            capacity_plan.market_of(self._service),
            reclaimable_limits=reclaimable,
            firm_limits=firm,
        )

    @staticmethod
    def _kinds(
        mix: capacity_plan.Mix,
    ) -> tuple[tuple[bool, capacity_plan.Counts], ...]:
        """Return the counts of a mix, each with whether it is reclaimable."""
        return (True, mix.reclaimable), (False, mix.firm)

    def _is_shut(self, key: order_tracker.Key, optimistic: bool) -> bool:
        if not self._book.is_refused(key):
            return False
        return not (optimistic and self._book.may_order(key))

    def _key(self, domain: str, reclaimable: bool) -> order_tracker.Key:
        return self._service.name, domain, reclaimable

    def _give_one_back(self) -> bool:
        market = self._market(optimistic=False)
        wanted = self._plans.cheapest(market, self._reserve)
        keep = wanted.reclaimable
        if any(
            self._book.is_refused(self._key(domain, True))
            for domain in self._domains
        ):
            # What is given back now is not to be had again.
            keep = self._live.reclaimable
        found = capacity_plan.find_removable(
            market, self._live, self._firm_needed(self._live), keep
        )
        if found is None or self._expected().total < self._live.total:
            return False
        domain, reclaimable = found
        counts = self._live.reclaimable if reclaimable else self._live.firm
        if not self._order(domain, reclaimable, counts[domain] - 1):
            return False
        self._live = self._live.without_one(domain, reclaimable)
        return True

    def _raise_to(self, domain: str, reclaimable: bool, count: int) -> bool:
        """Order up to `count`; false where it was refused."""
        key = self._key(domain, reclaimable)
        counts = self._live.reclaimable if reclaimable else self._live.firm
        if reclaimable:
            # Those that are still there in its place take its room.
            room = self._service.scale_max - self._live.firm[domain]
            count = min(count, room)
        if count <= self._book.expected(key, counts[domain]):
            return True
        if not self._book.may_order(key):
            return False
        return self._order(domain, reclaimable, count)

    def _order(self, domain: str, reclaimable: bool, count: int) -> bool:
        failure = self._orders.order(
            self._service.name, domain, count, reclaimable, self._fencing
        )
        self._note(domain, reclaimable, count, failure)
        self._log.info(
            'order',
            service=self._service.name,
            failure_domain=domain,
            reclaimable=reclaimable,
            count=count,
            live=self._live.total,
            left=self._live.left_after_loss,
            needed=self._needed,
            reserve=self._reserve,
            demand=self._demand,
            reading=round(self._reading, 1),
            limit_shortfall=self._limit_shortfall,
            fencing=self._fencing,
            outcome='given' if failure is None else failure.reason,
            detail='' if failure is None else failure.detail,
        )
        return failure is None

    def _note(
        self,
        domain: str,
        reclaimable: bool,
        count: int,
        failure: ty.Optional[failures.Failure],
    ) -> None:
        """Enter what came of an order into the book."""
        book = self._book
        key = self._key(domain, reclaimable)
        others = [self._key(other, reclaimable) for other in self._domains]
        if failure is None:
            was_closed = book.is_refused(key)
            counts = self._live.reclaimable if reclaimable else self._live.firm
            coming = max(0, count - counts[domain])
            book.record_accepted(
                key, counts[domain], coming, self._service.boot_ms
            )
            if was_closed:
                book.retry_others(others)
        elif failure.kind is failures.FailureKind.CONFLICT:
            book.record_refused(key)
            book.back_off_others(key, others)
        else:
            book.record_unknown_outcome(key)

"""One reconciliation of a service's upstreams with the required number."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.duties import capacity_plan
from peridotmast.duties import order_tracker
from peridotmast import failures
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb


class OrderSink(ty.Protocol):
    """Receives orders to start or remove upstreams."""

    def order(
        self,
        service: str,
        failure_domain: str,
        count: int,
        reclaimable: bool,
        fencing: int,
    ) -> ty.Optional[failures.Failure]:
        """Set the number of upstreams of a service in a failure domain.

        Parameters
        ----------
        count : int
            Number of upstreams of the kind that the domain is to have.
        reclaimable : bool
            Kind of the upstreams: reclaimable or firm.
        fencing : int
            Fencing number of the lease holder that orders.

        Returns
        -------
        Failure or None
            None if the order was accepted.
        """


class ServiceReconciler:
    """Orders missing upstreams of one service and removes excess ones.

    Parameters
    ----------
    orders : OrderSink
        Destination of orders.
    tracker : order_tracker.OrderTracker
        Pending and refused orders.
    plan_cache : capacity_plan.PlanCache
        Computes and caches plans.
    service : pb.Service
        Configuration of the service.
    live : capacity_plan.Mix
        Live upstreams.
    needed : int
        Upstreams that must be left after losing any one failure domain.
    reserve : int
        Upstreams that must be left after such a loss while reclaimable
        upstreams are available.
    fencing : int
        Fencing number of the lease holder.
    demand : int
        Demand that `needed` was computed from, in tokens per second, for the
        log.
    prefill_rate : float
        Measured prefill rate of an engine, in tokens per ms, for the log; 0
        if unknown.
    limit_shortfall : int
        Upstreams in `needed` that compensate for rate limits of upstreams,
        for the log.
    allow_reclaimable : bool
        Whether reclaimable upstreams may be ordered.
    out_of_use : capacity_plan.Mix, optional
        Live upstreams of versions that are not in use. They serve nothing, but
        the platform counts them among those of an order.
    """

    def __init__(
        self,
        orders: OrderSink,
        tracker: order_tracker.OrderTracker,
        plan_cache: capacity_plan.PlanCache,
        service: pb.Service,
        live: capacity_plan.Mix,
        needed: int,
        reserve: int,
        fencing: int,
        demand: int,
        prefill_rate: float = 0,
        limit_shortfall: int = 0,
        allow_reclaimable: bool = True,
        out_of_use: ty.Optional[capacity_plan.Mix] = None,
    ) -> None:
        self._orders = orders
        self._tracker = tracker
        self._plan_cache = plan_cache
        self._service = service
        self._domains = list(service.domains)
        self._live = live
        self._needed = needed
        self._reserve = max(needed, reserve)
        self._fencing = fencing
        self._demand = demand
        self._prefill_rate = prefill_rate
        self._limit_shortfall = limit_shortfall
        self._allow_reclaimable = allow_reclaimable
        self._out_of_use = out_of_use or capacity_plan.Mix({}, {})
        self._log = logs.get('scaler')

    def order_reclaimable(self) -> None:
        """Order reclaimable upstreams that are missing or replace dearer ones.

        Each refusal changes the available capacity and thus the plan, which
        is therefore computed again.
        """
        if not self._allow_reclaimable:
            return
        for _ in self._domains:
            market = self._market(optimistic=True)
            extended = self._plan_cache.cheapest(
                market, self._reserve, self._expected()
            )
            cheapest = self._plan_cache.cheapest(market, self._reserve)
            wanted = extended
            if market.price(cheapest) < market.price(extended):
                wanted = cheapest
            refused = [
                domain
                for domain in self._domains
                if not self._order_up_to(
                    domain, True, wanted.reclaimable[domain]
                )
            ]
            if not refused:
                return

    def order_firm(self) -> None:
        """Order firm upstreams in place of unavailable reclaimable ones."""
        expected = self._expected()
        extended = self._plan_cache.cheapest(
            self._market(optimistic=False),
            self._firm_needed(expected),
            expected,
        )
        for domain in self._domains:
            self._order_up_to(domain, False, extended.firm[domain])

    def remove_excess(self, only_one: bool) -> bool:
        """Remove live upstreams that are not needed.

        Parameters
        ----------
        only_one : bool
            Whether to stop after the first upstream.

        Returns
        -------
        bool
            Whether any upstream was removed.
        """
        removed = self._remove_one()
        while removed and not only_one and self._remove_one():
            pass
        return removed

    def _firm_needed(self, mix: capacity_plan.Mix) -> int:
        """Return the upstreams that must be left after a loss, for firm ones.

        A reclaim is announced about one boot time in advance, so that the
        upstreams of a domain are missing for a few seconds only. Firm
        upstreams that cover this gap would be paid for as long as no
        reclaimable ones are available. Firm orders therefore cover the loss of
        one upstream, not of a whole failure domain.
        """
        max_reclaimable = max(mix.reclaimable.values(), default=0)
        return max(1, self._needed - max(0, max_reclaimable - 1))

    def _expected(self) -> capacity_plan.Mix:
        """Return the live upstreams plus those of pending orders."""
        reclaimable, firm = (
            {
                domain: self._tracker.expected_count(
                    self._key(domain, is_reclaimable), count
                )
                for domain, count in counts.items()
            }
            for is_reclaimable, counts in self._kinds(self._live)
        )
        return capacity_plan.Mix(reclaimable, firm)

    def _market(self, optimistic: bool) -> capacity_plan.Market:
        """Return the prices and the present limits of the service.

        Parameters
        ----------
        optimistic : bool
            Whether to assume that a kind of upstream that was refused is
            available again, if it may be ordered again now.
        """
        reclaimable, firm = (
            {
                domain: count
                for domain, count in counts.items()
                if self._is_unavailable(
                    self._key(domain, is_reclaimable), optimistic
                )
            }
            for is_reclaimable, counts in self._kinds(self._expected())
        )
        if not self._allow_reclaimable:
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
        """Return both kinds of a mix: whether reclaimable, and the counts."""
        return (True, mix.reclaimable), (False, mix.firm)

    def _is_unavailable(
        self, key: order_tracker.Key, optimistic: bool
    ) -> bool:
        if not self._tracker.has_backoff(key):
            return False
        return not (optimistic and self._tracker.may_order(key))

    def _key(self, domain: str, reclaimable: bool) -> order_tracker.Key:
        return self._service.name, domain, reclaimable

    def _remove_one(self) -> bool:
        market = self._market(optimistic=False)
        wanted = self._plan_cache.cheapest(market, self._reserve)
        keep = wanted.reclaimable
        if any(
            self._tracker.has_backoff(self._key(domain, True))
            for domain in self._domains
        ):
            # No replacement is available for an upstream removed now.
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

    def _order_up_to(self, domain: str, reclaimable: bool, count: int) -> bool:
        """Order upstreams up to `count` in total; return false on failure."""
        key = self._key(domain, reclaimable)
        counts = self._live.reclaimable if reclaimable else self._live.firm
        if reclaimable:
            # Firm upstreams that are not replaced yet count towards the limit.
            room = self._service.scale_max - self._live.firm[domain]
            count = min(count, room)
        if count <= self._tracker.expected_count(key, counts[domain]):
            return True
        if not self._tracker.may_order(key):
            return False
        return self._order(domain, reclaimable, count)

    def _order(self, domain: str, reclaimable: bool, count: int) -> bool:
        unused = (
            self._out_of_use.reclaimable
            if reclaimable
            else self._out_of_use.firm
        )
        failure = self._orders.order(
            self._service.name,
            domain,
            count + unused.get(domain, 0),
            reclaimable,
            self._fencing,
        )
        self._record(domain, reclaimable, count, failure)
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
            reading=round(self._prefill_rate, 1),
            limit_shortfall=self._limit_shortfall,
            fencing=self._fencing,
            outcome='given' if failure is None else failure.reason,
            detail='' if failure is None else failure.detail,
        )
        return failure is None

    def _record(
        self,
        domain: str,
        reclaimable: bool,
        count: int,
        failure: ty.Optional[failures.Failure],
    ) -> None:
        """Record the outcome of an order in the tracker."""
        tracker = self._tracker
        key = self._key(domain, reclaimable)
        keys = [self._key(other, reclaimable) for other in self._domains]
        if failure is None:
            had_backoff = tracker.has_backoff(key)
            counts = self._live.reclaimable if reclaimable else self._live.firm
            coming = max(0, count - counts[domain])
            tracker.record_accepted(
                key, counts[domain], coming, self._service.boot_ms
            )
            if had_backoff:
                tracker.retry_others(keys)
        elif failure.kind is failures.FailureKind.CONFLICT:
            tracker.record_refused(key)
            tracker.back_off_others(key, keys)
        else:
            tracker.record_unknown_outcome(key)

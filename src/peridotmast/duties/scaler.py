"""The duty to order upstreams, so that they carry the demand at any loss."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.duties import capacity_plan
from peridotmast.duties import event_plan
from peridotmast.duties import order_tracker
from peridotmast.duties import required_capacity
from peridotmast.duties import service_reconciler
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import demand as demand_
from peridotmast.serving import upstream_limits as upstream_limits_
from peridotmast.serving import upstreams as upstreams_

_GIVE_BACK_MS = 1000
"""Time between two upstreams that are given back."""

_OLD_MS = 60_000
"""Age from which on what another holder has left says nothing any more."""

_FIRST = 1
"""Number of the first holder of the duties that a fleet has."""

FIXED = 'fixed'
REACTIVE = 'reactive'
"""Ways of scaling beside the planner, as the policy names them."""


class Scaler:
    """Compares what there is with the plan and orders the difference.

    What is missing is ordered at once. What is too much goes one by one,
    the dearest first, once what shall stand in its place is there.

    Parameters
    ----------
    orders : service_reconciler.OrderSink
        Where upstreams are ordered.
    config : callable
        Returns the configuration in force.
    table : upstreams.UpstreamTable
        What there is.
    demand : demand.Demand
        What is asked for.
    limits : upstream_limits.UpstreamLimits
        Rate limits of the upstreams.
    clock : clock.Clock
        Times orders.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock; events are told by it.
    """

    def __init__(
        self,
        orders: service_reconciler.OrderSink,
        config: ty.Callable[[], pb.Config],
        table: upstreams_.UpstreamTable,
        demand: demand_.Demand,
        limits: upstream_limits_.UpstreamLimits,
        clock: clock_.Clock,
        fleet_now: ty.Callable[[], int],
    ) -> None:
        self._orders = orders
        self._config = config
        self._table = table
        self._demand = demand
        self._limits = limits
        self._clock = clock
        self._fleet_now = fleet_now
        self._book = order_tracker.OrderTracker(clock)
        self._plans = capacity_plan.PlanCache()
        self.estimator = required_capacity.CapacityEstimator(
            table, demand, clock
        )
        """How many upstreams the demand needs."""
        self._gave_back_at = 0

    @property
    def state_version(self) -> int:
        """Orders that were given."""
        return self._book.accepted_count

    def start(self, left: ty.Optional[pb.DutiesLeft]) -> None:
        """Go on from what the holder before has left."""
        if left is None:
            return
        self._book.clear()
        self.estimator.reset()
        if abs(self._fleet_now() - left.at_ms) <= _OLD_MS:
            self._book.restore(left.orders)
            self.estimator.restore(dict(left.needs))

    def save(self, left: pb.DutiesLeft) -> None:
        """Fill in what is needed and what was ordered."""
        left.needs.update(self.estimator.save())
        left.orders.extend(self._book.save())

    def run(self, fencing: int) -> None:
        """Order what is due."""
        config = self._config()
        if config.policy.scaling == FIXED:
            return
        self.estimator.track_startup(is_first=fencing <= _FIRST)
        phases = event_plan.plan(config, self._fleet_now())
        for service in config.services:
            if service.scaled:
                planned = event_plan.upstreams_needed(
                    phases, service.name, self._fleet_now()
                )
                self._look_at(service, config.policy, planned, fencing)

    def _look_at(
        self,
        service: pb.Service,
        policy: pb.Policy,
        planned: int,
        fencing: int,
    ) -> None:
        live = self._count_live(service)
        need = self.estimator.estimate(
            service.name,
            live.total,
            planned,
            policy.tokens_per_second,
            service.reclaimable_price / policy.shortage_price,
            self._live_limits(service),
        )
        look = service_reconciler.ServiceReconciler(
            self._orders,
            self._book,
            self._plans,
            service,
            live,
            need.count,
            need.reserve,
            fencing,
            int(self._demand.rate(service.name)),
            reading_speed=self._demand.prefill_rate(service.name) or 0,
            limit_shortfall=need.limit_shortfall,
            allow_reclaimable=policy.scaling != REACTIVE,
        )
        look.order_reclaimable()
        if not self.estimator.startup_complete:
            return
        look.order_firm()
        now = self._clock.now()
        if now - self._gave_back_at >= _GIVE_BACK_MS:
            # The next one may be missed, where there is demand that could.
            if look.remove_excess(only_one=not need.is_guess):
                self._gave_back_at = now

    def _live_limits(self, service: pb.Service) -> list[float]:
        """Return the limits of live upstreams, in requests per second."""
        rates = map(self._limits.rate, self._table.live(service.name))
        return [rate for rate in rates if rate is not None]

    def _count_live(self, service: pb.Service) -> capacity_plan.Mix:
        kinds: list[dict[str, int]] = [
            dict.fromkeys(service.domains, 0) for _ in range(2)
        ]
        for view in self._table.live(service.name):
            counts = kinds[view.record.reclaimable]
            if view.failure_domain in counts:
                counts[view.failure_domain] += 1
        return capacity_plan.Mix(kinds[True], kinds[False])

"""The duty that scales services to their demand and a reserve for losses."""

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
from peridotmast.serving.limits import upstream_limits as upstream_limits_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_

_REMOVE_INTERVAL_MS = 1000
"""Minimum time between two removals of upstreams."""

_MAX_STATE_AGE_MS = 60_000
"""Maximum age of the previous holder's state; older state is ignored."""

_FIRST_FENCING = 1
"""Fencing number of the first lease holder of a fleet."""

FIXED = 'fixed'
REACTIVE = 'reactive'
"""Values of the policy's `scaling` other than the planner. With `FIXED`
nothing is ordered, and with `REACTIVE` only firm upstreams."""


class Scaler:
    """Compares the live upstreams with the plan and orders the difference.

    Missing upstreams are ordered at once. Excess upstreams are removed one by
    one, the most expensive first, once their replacements are live.

    Parameters
    ----------
    orders : service_reconciler.OrderSink
        Destination of orders.
    config : callable
        Returns the configuration in force.
    table : upstreams.UpstreamTable
        Existing upstreams.
    demand : demand.Demand
        Demand of each service.
    limits : upstream_limits.UpstreamLimits
        Rate limits of the upstreams.
    clock : clock.Clock
        Clock for orders and removals.
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock, which events refer to.
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
        self._tracker = order_tracker.OrderTracker(clock)
        self._plan_cache = capacity_plan.PlanCache()
        self.estimator = required_capacity.CapacityEstimator(
            table, demand, clock
        )
        """Estimator of the required upstreams of each service."""
        self._removed_at = 0
        self.is_rolled_out: ty.Callable[[str], bool] = lambda service: False
        """Returns whether a service is moved to another version now, so that
        upstreams of both versions exist."""

    @property
    def state_version(self) -> int:
        """Number of accepted orders."""
        return self._tracker.accepted_count

    def start(self, state: ty.Optional[pb.DutiesLeft]) -> None:
        """Restore the state of the previous holder, unless it is too old."""
        if state is None:
            return
        self._tracker.clear()
        self.estimator.reset()
        if abs(self._fleet_now() - state.at_ms) <= _MAX_STATE_AGE_MS:
            self._tracker.restore(state.orders)
            self.estimator.restore(dict(state.needs))

    def save(self, state: pb.DutiesLeft) -> None:
        """Save the required upstreams and the pending orders."""
        state.needs.update(self.estimator.save())
        state.orders.extend(self._tracker.save())

    def on_saved(self) -> None:
        """Do nothing: no decision depends on stored orders."""

    def run(self, fencing: int) -> None:
        """Reconcile all scaled services with their demand."""
        config = self._config()
        if config.policy.scaling == FIXED:
            return
        self.estimator.track_startup(is_first_holder=fencing <= _FIRST_FENCING)
        reservations = event_plan.plan(config, self._fleet_now())
        for service in config.services:
            if service.scaled:
                for_events = event_plan.upstreams_needed(
                    reservations, service.name, self._fleet_now()
                )
                self._reconcile(service, config.policy, for_events, fencing)

    def _reconcile(
        self,
        service: pb.Service,
        policy: pb.Policy,
        for_events: int,
        fencing: int,
    ) -> None:
        live = self._count_live(service)
        required = self.estimator.estimate(
            service.name,
            live.total,
            for_events,
            policy.tokens_per_second,
            service.reclaimable_price / policy.shortage_price,
            self._live_limits(service),
        )
        reconciler = service_reconciler.ServiceReconciler(
            self._orders,
            self._tracker,
            self._plan_cache,
            service,
            live,
            required.count,
            required.reserve,
            fencing,
            int(self._demand.rate(service.name)),
            prefill_rate=self._demand.prefill_rate(service.name) or 0,
            limit_shortfall=required.limit_shortfall,
            allow_reclaimable=policy.scaling != REACTIVE,
            out_of_use=self._count_out_of_use(service),
        )
        reconciler.order_reclaimable()
        if not self.estimator.startup_complete:
            return
        reconciler.order_firm()
        if self.is_rolled_out(service.name):
            return
        now = self._clock.now()
        if now - self._removed_at >= _REMOVE_INTERVAL_MS:
            # Remove several upstreams at once only until the demand is
            # measured, since measured demand may need some of them.
            if reconciler.remove_excess(only_one=not required.is_guess):
                self._removed_at = now

    def _live_limits(self, service: pb.Service) -> list[float]:
        """Return the rate limits of live upstreams, in requests per second."""
        rates = map(self._limits.rate, self._table.live(service.name))
        return [rate for rate in rates if rate is not None]

    def _count_live(self, service: pb.Service) -> capacity_plan.Mix:
        return _count(service, self._table.live(service.name))

    def _count_out_of_use(
        self, service: pb.Service
    ) -> ty.Optional[capacity_plan.Mix]:
        """Return the upstreams of versions that are not in use, if any."""
        if not self.is_rolled_out(service.name):
            return None
        return _count(service, self._table.out_of_use(service.name))


def _count(
    service: pb.Service, views: ty.Iterable[upstream_view.UpstreamView]
) -> capacity_plan.Mix:
    """Return some upstreams of a service by kind and failure domain."""
    kinds: list[dict[str, int]] = [
        dict.fromkeys(service.domains, 0) for _ in range(2)
    ]
    for view in views:
        counts = kinds[view.record.reclaimable]
        if view.failure_domain in counts:
            counts[view.failure_domain] += 1
    return capacity_plan.Mix(kinds[True], kinds[False])

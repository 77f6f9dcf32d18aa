"""The parts on a request's way, joined for one router."""

from __future__ import annotations

import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast import invariants as invariants_
from peridotmast.platform import dialect
from peridotmast.platform import engine_control
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import demand as demand_
from peridotmast.serving import dispatcher as dispatcher_
from peridotmast.serving import gateway as gateway_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import placement
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving import sender as sender_
from peridotmast.serving import stream_migrator as migrator_
from peridotmast.serving import stream_relay
from peridotmast.serving import upstream_limits as upstream_limits_
from peridotmast.serving import usage as usage_
from peridotmast import tracing
from peridotmast.wire import pool as pool_

_MOVE_MS = 1000
"""Bound on moving a stream's memory to another engine."""


class Serving:
    """Makes the gateway and all that stands behind it.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock
        Times everything.
    fleet_state : fleet_state.FleetState
        Configuration and upstreams.
    registry : prometheus_client.CollectorRegistry
        Metrics.
    checks : invariants.Invariants
        Promises that are checked on the way.
    tracer : tracing.Tracing
        Opens spans.
    spawn : callable
        Runs a task.
    """

    def __init__(
        self,
        file: pb.RouterFile,
        clock: clock_.Clock,
        fleet_state: fleet_state_.FleetState,
        registry: prometheus_client.CollectorRegistry,
        checks: invariants_.Invariants,
        tracer: tracing.Tracing,
        spawn: ty.Callable[..., None],
    ) -> None:
        cfg, bounds = file.router, file.bounds
        self._clock = clock
        self._checks = checks
        self._tracer = tracer
        self.decisions = decisions_.Decisions(clock, cfg.name)
        """What was decided on each request."""
        self.usage = usage_.Usage(
            fleet_state.fleet_clock.now, int(bounds.usage_window_s * 1000)
        )
        """Requests that upstreams began."""
        self.quota = quota_.Quota(clock)
        """The teams' limits."""
        self.demand = demand_.Demand(clock)
        """What the services are asked for."""
        self.retry_budget = retry_budget.RetryBudget(
            clock,
            bounds.budget_ratio,
            int(bounds.budget_window_s * 1000),
            bounds.budget_slack,
        )
        """How many repeats may be sent."""
        self.crashes = crash_tracker_.CrashTracker(clock, cfg.name)
        """Tracks requests that crash upstreams."""
        self.limits = upstream_limits_.UpstreamLimits(clock, cfg.name)
        """Splits the limits of upstreams between routers."""
        self.pool = pool_.ConnectionPool(clock, cfg.connect_ms)
        """Connections to upstreams."""
        self._metrics = metrics_.ServingMetrics(registry)
        self._sender = sender_.Sender(
            clock,
            self.pool,
            dialect.PlatformDialect(),
            self.decisions,
            self.crashes,
            self.limits,
        )
        self.crashes.on_block = self._sender.cancel_attempts
        self.placement = placement.Placement(
            fleet_state.upstream_table,
            placement.POLICIES[cfg.policy](cfg.failure_domain),
            cfg.name,
            self.limits,
        )
        """Which upstream each request goes to."""
        self._relay = stream_relay.StreamRelay(
            clock,
            self._sender,
            self.placement,
            self.retry_budget,
            self.crashes,
            self._metrics,
            self.decisions,
        )
        migrator = migrator_.StreamMigrator(
            clock,
            self._relay,
            self.placement,
            engine_control.EngineControl(_MOVE_MS),
            self.decisions,
            spawn,
            bounds.drain_ms,
        )
        fleet_state.upstream_table.listen(migrator.on_change)
        fleet_state.upstream_table.listen_replacements(self._sender.abort_run)
        self.gateway = gateway_.Gateway(
            clock,
            self._make_desk(),
            self.quota,
            self.demand,
            self._metrics,
            self.decisions,
            tracer,
        )
        """The one way of a request."""

    def tick(self) -> None:
        """Take rates from here on; close connections that are too old."""
        self.pool.close_expired()
        self.demand.tick()
        self.crashes.tick()
        self.limits.tick()

    def apply_settings(self, file: pb.RouterFile) -> None:
        """Take changed settings in."""
        bounds = file.bounds
        self.pool.connect_ms = file.router.connect_ms
        self.retry_budget.set_limits(
            bounds.budget_ratio,
            int(bounds.budget_window_s * 1000),
            bounds.budget_slack,
        )

    def _make_desk(self) -> dispatcher_.Dispatcher:
        return dispatcher_.Dispatcher(
            self._clock,
            self._sender,
            self.placement,
            self._relay,
            self.retry_budget,
            self.crashes,
            self.usage,
            self.demand,
            self._metrics,
            self.decisions,
            self._tracer,
            self._checks,
        )

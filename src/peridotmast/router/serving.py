"""Creates and connects the components that serve requests in a router."""

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
from peridotmast.serving.limits import brittleness
from peridotmast.serving.limits import slot_shares
from peridotmast.serving.limits import upstream_limits as upstream_limits_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import peer_sender
from peridotmast.serving import placement
from peridotmast.serving import policies
from peridotmast.serving import quota as quota_
from peridotmast.serving import reachability
from peridotmast.serving import retry_budget
from peridotmast.serving.scarcity import control as scarcity_
from peridotmast.serving import second_attempts
from peridotmast.serving import sender as sender_
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import stream_migrator as migrator_
from peridotmast.serving import stream_relay
from peridotmast.serving import stream_resumer
from peridotmast.serving import stream_versions
from peridotmast.serving import team_limit_log
from peridotmast.serving import tolerance as tolerance_
from peridotmast.serving import usage as usage_
from peridotmast.serving import version_gate
from peridotmast.serving import version_history
from peridotmast import tracing
from peridotmast.wire import pool as pool_

_REPORT_TIMEOUT_MS = 1000
"""Time-out of the report of an engine, in ms."""

_RECEIVE_BUFFER_BYTES = 32768
"""Size of the receive buffer of a connection to an upstream or a peer, in
bytes: an answer that waits for memory fills it."""

_KV_MOVE_TIMEOUT_MS = 3000
"""Time-out of moving the KV cache of a stream to another engine, in ms. A
sound engine may be silent for a second or two."""


class Serving:
    """Creates the gateway and the components behind it.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock
        Clock for all timing.
    fleet_state : fleet_state.FleetState
        Configuration and upstreams.
    registry : prometheus_client.CollectorRegistry
        Registry for the metrics.
    checks : invariants.Invariants
        Invariants that are checked at run time.
    tracer : tracing.Tracing
        Opens spans.
    spawn : callable
        Runs a function in a task.
    secret : bytes
        Key shared by all routers, which signs requests forwarded to peers.
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
        secret: bytes,
    ) -> None:
        cfg, bounds = file.router, file.bounds
        self._clock = clock
        self._checks = checks
        self._tracer = tracer
        self.decisions = decisions_.Decisions(clock, cfg.name)
        """Decisions on each request."""
        self.usage = usage_.Usage(
            fleet_state.fleet_clock.now, int(bounds.usage_window_s * 1000)
        )
        """Counts requests that upstreams have started."""
        self.quota = quota_.Quota(clock)
        """Limits of the teams."""
        self.quota.tolerance = _tolerance(bounds)
        self.demand = demand_.Demand(clock)
        """Measures the demand for each service."""
        self.retry_budget = retry_budget.RetryBudget(
            clock,
            bounds.budget_ratio,
            int(bounds.budget_window_s * 1000),
            bounds.budget_slack,
            self.decisions,
        )
        """Limits the number of retries."""
        self.crashes = crash_tracker_.CrashTracker(clock, cfg.name)
        """Tracks requests that crash upstreams."""
        self.limits = upstream_limits_.UpstreamLimits(clock, cfg.name)
        """Splits the limits of upstreams between routers."""
        self.brittleness = brittleness.Brittleness(
            clock, cfg.name, slot_shares.SlotShares(clock, cfg.name)
        )
        """Spares upstreams that state that they are brittle."""
        self.versions = version_gate.VersionGate(
            clock, cfg.name, bounds.expose_share > 0, bounds.rollback_ms
        )
        """Decides which versions of upstreams run requests."""
        table = fleet_state.upstream_table
        table.select_versions = self.versions.select
        self.versions.on_change = table.update_versions
        self.pool = pool_.ConnectionPool(
            clock, cfg.connect_ms, _RECEIVE_BUFFER_BYTES
        )
        """Connections to upstreams."""
        self._reach = reachability.Reachability(
            clock, self.pool, table, cfg.name, spawn
        )
        self.peers = peer_sender.PeerSender(
            clock,
            pool_.ConnectionPool(clock, cfg.connect_ms, _RECEIVE_BUFFER_BYTES),
            cfg.name,
            self.crashes,
            table,
            secret,
        )
        """Forwards requests to peers."""
        self.peers.members = fleet_state.members.serving
        self._metrics = metrics_.ServingMetrics(registry)
        self.speeds = speeds_.Speeds(
            clock,
            cfg.speeds,
            cfg.name,
            table.get,
            self._metrics.upstream_speed,
        )
        """Estimates the speeds of the upstreams."""
        table.listen(self.speeds.on_upstream_change)
        table.listen_replacements(self.speeds.on_replaced)
        self._team_log = team_limit_log.TeamLimitLog(
            clock, self.quota, self._metrics, cfg.name
        )
        history = version_history.VersionHistory(clock)
        table.listen(history.note)
        table.listen_replacements(history.note_replaced)
        self.stream_versions = stream_versions.StreamVersions(
            clock, history, self._metrics, self.decisions
        )
        """Knows at which versions streams began."""
        self._sender = sender_.Sender(
            clock,
            self.pool,
            dialect.PlatformDialect(),
            self.decisions,
            self.crashes,
            self.limits,
            self.brittleness,
            self._reach,
            self.peers,
        )
        self.crashes.on_block = self._sender.cancel_attempts
        self._sender.on_leaving = table.note_leaving
        self.placement = placement.Placement(
            table,
            policies.POLICIES[cfg.policy](cfg.failure_domain),
            cfg.name,
            self.limits,
            self.brittleness,
            self.versions,
        )
        """Chooses an upstream for each request."""
        self.placement.has_idle_connection = self.pool.has_idle
        self._second_attempts = second_attempts.SecondAttempts(
            clock,
            self._sender,
            self.placement,
            self.peers,
            self.retry_budget,
            self.crashes,
            self.decisions,
        )
        resumer = stream_resumer.StreamResumer(
            clock,
            self._sender,
            self.placement,
            self.peers,
            self.retry_budget,
            self.crashes,
            self.versions,
            self.decisions,
        )
        self._relay = stream_relay.StreamRelay(
            clock,
            self._sender,
            self.placement,
            self.crashes,
            self.versions,
            self._metrics,
            self.decisions,
            resumer,
            self._second_attempts,
        )
        migrator = migrator_.StreamMigrator(
            clock,
            self._relay,
            self.placement,
            engine_control.EngineControl(
                _REPORT_TIMEOUT_MS, _KV_MOVE_TIMEOUT_MS
            ),
            self.decisions,
            spawn,
            bounds.drain_ms,
        )
        migrator.is_blocked = lambda exchange: bool(
            self.crashes.blocked_key(exchange.crash_keys)
        )
        table.listen(migrator.on_change)
        table.listen(self._sender.on_upstream_change)
        table.listen_replacements(self._sender.abort_run)
        self.scarcity = scarcity_.ScarcityControl(
            clock, table, self.demand, self._metrics, cfg.name
        )
        """Orders requests while capacity is short."""
        count_routers = fleet_state.members.limit_sharer_count
        self.scarcity.count_routers = count_routers
        self.scarcity.count_missing = lambda: (
            (1 - self.quota.known_share) * count_routers()
        )
        self.scarcity.apply_settings(file.scarcity)
        self.gateway = gateway_.Gateway(
            clock,
            self._create_dispatcher(),
            self.quota,
            self.demand,
            self._metrics,
            self.decisions,
            tracer,
            self.scarcity,
        )
        """Handles the requests."""

    def tick(self) -> None:
        """Update demand, crash and limit state; close expired connections."""
        self.pool.close_expired()
        self.peers.tick()
        self._reach.tick()
        self.demand.tick()
        self.speeds.tick()
        self.retry_budget.tick()
        self.crashes.tick()
        self._sender.tick()
        self.limits.tick()
        self.brittleness.tick()
        self.scarcity.tick()
        self._team_log.tick()
        self.stream_versions.tick()

    def count_limit_question(self, outcome: str) -> None:
        """Count the outcome of a question to the head of the group."""
        self._metrics.limit_questions.labels(outcome).inc()

    def close(self) -> None:
        """Close the idle connections to upstreams and peers."""
        self.pool.close()
        self.peers.close()

    def apply_settings(self, file: pb.RouterFile) -> None:
        """Apply changed settings."""
        bounds = file.bounds
        self.pool.connect_ms = file.router.connect_ms
        self.retry_budget.set_limits(
            bounds.budget_ratio,
            int(bounds.budget_window_s * 1000),
            bounds.budget_slack,
        )
        self.quota.tolerance = _tolerance(bounds)
        self.scarcity.apply_settings(file.scarcity)
        self.speeds.set_mode(file.router.speeds)

    def _create_dispatcher(self) -> dispatcher_.Dispatcher:
        return dispatcher_.Dispatcher(
            self._clock,
            self._sender,
            self.placement,
            self._reach,
            self.peers,
            self._relay,
            self.retry_budget,
            self.crashes,
            self.usage,
            self.demand,
            self.speeds,
            self.versions,
            self.stream_versions,
            self._metrics,
            self.decisions,
            self._tracer,
            self._checks,
            self._second_attempts,
        )


def _tolerance(bounds: pb.BoundsSettings) -> tolerance_.Tolerance:
    return tolerance_.Tolerance(
        bounds.limit_window_s, bounds.limit_over, bounds.limit_slack
    )

"""A router: its components, its periodic tasks, its start and stop."""

from __future__ import annotations

import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import endpoint_identity
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.duties import crash_blocks
from peridotmast.duties import duty_holder
from peridotmast.duties import scaler as scaler_
from peridotmast.duties import usage_reporter
from peridotmast import green
from peridotmast import ids
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast.platform import cloud_api
from peridotmast.rollout import rollout_duty
from peridotmast.rollout import rollout_inputs
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import connection_shares
from peridotmast.router import drain as drain_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import http_servers as http_servers_
from peridotmast.router import operator_service
from peridotmast.router import peer_service
from peridotmast.router import peering as peering_
from peridotmast.router import rollout_exchange
from peridotmast.router import rollout_views
from peridotmast.router import serving as serving_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.router import task_errors
from peridotmast.router import version_exchange
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc
from peridotmast.serving import upstream_view
from peridotmast import tracing

LEASE_NAME = 'duties'
"""Name of the lease that covers all duties."""

_LEASE_SLACK_MS = 1000
"""Difference between the lease's length and the platform's minimum."""

_LEASE_GUARD_MS = 600
"""Last part of the lease, in which no order to the platform is started: the
time that an order may take while the platform answers."""

_SERVING_UPDATE_DELAY_MS = 20
"""Delay before crash and limit updates are sent to peers, so that one beacon
covers all requests that lose their connections when an upstream crashes."""

_SPEND_REPORT_DELAY_MS = 10
"""Delay before a report of spending between two rounds, so that one report
covers a burst of requests."""

_HOUSEKEEPING_MS = 250
_LEASE_TICK_MS = 200
_DUTY_TICK_MS = 250
_ROLLOUT_TICK_MS = 250


class Router:
    """A router, for use in a daemon or embedded in another process.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock, optional
        The machine's clock by default.
    """

    def __init__(
        self, file: pb.RouterFile, clock: ty.Optional[clock_.Clock] = None
    ) -> None:
        self._file = file
        self.cfg = file.router
        """The router's own section of the settings."""
        self._clock = clock or clock_.SystemClock()
        self._log = logs.get('router', router=self.cfg.name)
        self.registry = prometheus_client.CollectorRegistry()
        """Metrics of this router."""
        errors = task_errors.TaskErrors(self.cfg.name, self.registry)
        self._tasks = green.Tasks(errors.report)
        prometheus_client.ProcessCollector(registry=self.registry)
        self.invariants = invariants_.Invariants(
            self.registry, self.cfg.fatal_invariants
        )
        """Invariants that are checked at run time."""
        self._tracer = tracing.Tracing(self.cfg.name, file.telemetry)
        self._is_serving_update_due = False
        self._is_spend_report_due = False
        self.is_running = False
        """Whether the router was started and not yet stopped."""
        self.fleet_state = fleet_state_.FleetState(
            file, self._clock, self.invariants, errors.report
        )
        """State of platform and fleet."""
        self.store = self.fleet_state.store
        """The platform's store."""
        self.members = self.fleet_state.members
        """All routers, including this one."""
        self.upstream_table = self.fleet_state.upstream_table
        """The upstreams."""
        self.config = self.fleet_state.config
        """The configuration in force."""
        secret = _read_secret(file.tls)
        self.serving = serving_.Serving(
            file,
            self._clock,
            self.fleet_state,
            self.registry,
            self.invariants,
            self._tracer,
            self._tasks.spawn,
            secret,
        )
        """Components that serve requests."""
        self._create_peering(secret)
        self._create_rollouts()
        self._create_duties()
        self._http_servers = http_servers_.HttpServers(
            file,
            self._clock,
            self.fleet_state,
            self.serving,
            self.registry,
            self._peers_listen(),
            secret,
        )
        self.config.subscribe(self._configure)
        self.upstream_table.listen(lambda view: self._update_readiness())

    def _peers_listen(self) -> str:
        """Return the address for beacons (UDP) and requests of peers (TCP)."""
        host = self.cfg.peer_listen.rpartition(':')[0]
        return f'{host}:{self.cfg.ports[0] if self.cfg.ports else 0}'

    def _create_peering(self, secret: bytes) -> None:
        cfg, tls = self.cfg, self._file.tls
        self._rpc = rpc.RpcServer(
            cfg.peer_listen, tls, connection_shares.rpc_connections(self._file)
        )
        self._peers = rpc.RpcClient(pb_grpc.PeerStub, tls)
        self._operators = rpc.RpcClient(pb_grpc.OperatorsStub, tls)
        me = self.members.me
        self.lease = lease_.Lease(
            self.store,
            LEASE_NAME,
            cfg.name,
            ids.owner_of(cfg.name, me.incarnation),
            self._file.bounds.lease_ms + _LEASE_SLACK_MS,
            _LEASE_GUARD_MS,
            self._clock,
        )
        """The lease that covers all duties."""
        self._catch_up = catch_up_.CatchUp(
            self._clock, self.fleet_state, self._peers, self._tasks.spawn
        )
        self._peering = peering_.Peering(
            self._clock,
            self.fleet_state,
            self.serving,
            shared_totals_.SharedTotals(
                self.serving, self.upstream_table, self._clock
            ),
            self.lease,
            self._catch_up,
        )
        self.beacons = beacons_.Beacons(
            self._peers_listen(),
            self.members,
            self._peering.rounds.next_round,
            self._peering.update_beacons.build,
            self._peering.receive,
            secret,
        )
        """Sends and receives the beacons between routers."""
        self._peering.borrowing.send = self.beacons.send
        self._peering.borrowing.count_answer = (
            self.serving.count_limit_question
        )
        self._peering.spend_reports.send = self.beacons.send
        self.serving.quota.request_confirmation = self._schedule_spend_report
        streams = self.serving.stream_versions
        self._version_exchange = version_exchange.VersionExchange(
            self.members, streams
        )
        self._version_exchange.send = self.beacons.send
        self._peering.receive_versions = self._version_exchange.receive
        streams.share = self._version_exchange.share
        streams.ask = self._version_exchange.ask
        streams.is_store_lost = self._peering.is_outage_suspected
        streams.is_current = self.fleet_state.current_upstreams.confirm
        self.serving.gateway.take_quota = self._peering.borrowing.acquire
        self.serving.gateway.config_is_stale = (
            self._catch_up.config_fetcher.is_outdated
        )
        self.serving.placement.on_load_change = self._send_load
        self.serving.placement.has_stale_peer_data = (
            self._peering.has_delayed_totals
        )
        self.serving.crashes.notify_peers = self._schedule_serving_update
        self.serving.limits.notify_peers = self._schedule_serving_update
        self.serving.brittleness.notify_peers = self._schedule_serving_update
        self.serving.crashes.may_retry = self.lease.may_act

    def _create_rollouts(self) -> None:
        bounds, versions = self._file.bounds, self.serving.versions
        orders = self.fleet_state.rollout_orders
        self.rollouts = rollout_duty.RolloutDuty(
            orders,
            self.upstream_table,
            versions,
            rollout_inputs.RolloutLimits(
                bounds.expose_share, bounds.expose_slack
            ),
            self._clock,
            self.fleet_state.fleet_clock.now,
            self.lease.may_act,
            lambda: self._rollout_exchange.routers(),
            lambda run, states: self._rollout_exchange.send_states(
                run, states
            ),
            self._tasks.spawn,
        )
        """Carries out the orders of roll-outs."""
        self._rollout_exchange = rollout_exchange.RolloutExchange(
            self.fleet_state, versions, self.lease, self.rollouts, self.beacons
        )
        self._peering.receive_rollouts = self._rollout_exchange.receive
        versions.on_rolled_back = self._rollout_exchange.relay
        orders.listener = versions.read_orders
        self.fleet_state.needs_rollouts = lambda: (
            self.lease.is_held() or versions.must_read_orders
        )

    def _create_duties(self) -> None:
        platform, bounds = self._file.platform, self._file.bounds
        fleet_now = self.fleet_state.fleet_clock.now
        self._cloud = cloud_api.PlatformCloud(
            platform.cloud,
            platform.timeout_ms,
            self.cfg.name,
            self.lease.order_timeout_ms,
        )
        scaler = scaler_.Scaler(
            self._cloud,
            lambda: self.config.config,
            self.upstream_table,
            self.serving.demand,
            self.serving.limits,
            self._clock,
            fleet_now,
        )
        scaler.estimator.is_load_stale = self._peering.has_delayed_totals
        scaler.is_rolled_out = self.serving.versions.is_rolled_out
        reporter = usage_reporter.UsageReporter(
            self.serving.usage,
            self._cloud,
            self.store,
            int(bounds.usage_window_s * 1000),
            fleet_now,
            self.invariants,
        )
        self._duty_holder = duty_holder.DutyHolder(
            self.lease,
            self.members,
            (
                reporter,
                scaler,
                crash_blocks.CrashBlocks(self.serving.crashes),
                self.rollouts,
            ),
            self._clock,
            self._send_lease,
            fleet_now,
        )

    @property
    def address(self) -> ids.Address:
        """Address for callers of the platform."""
        return self._http_servers.platform.address

    @property
    def chat_address(self) -> str:
        """Address of the chat API; empty if it is not served."""
        return (
            self._http_servers.chat.address if self._http_servers.chat else ''
        )

    @property
    def peer_address(self) -> str:
        """Address of the gRPC services for peers and operators."""
        return self._rpc.address

    def address_of(self, server: str) -> str:
        """Return the address of ``ready``, ``directory`` or ``metrics``."""
        return self._http_servers.auxiliary[server].address

    def start(self) -> None:
        """Start to collect state and to serve requests.

        Raises
        ------
        OSError
            If an address cannot be listened on.
        """
        self._start_rpc()
        self.members.update_own_entry(
            address=self.address,
            chat_address=self.chat_address,
            peer_address=self.peer_address,
            beacon_address=self.beacons.address,
            forward_address=self._http_servers.forward.address,
        )
        self.beacons.start()
        self.lease.set_endpoint(
            endpoint_identity.of_address(self.beacons.address)
        )
        self._http_servers.start()
        self._start_tasks()
        self.is_running = True
        self._log.info(
            'started',
            address=self.address,
            chat_address=self.chat_address,
            peer_address=self.peer_address,
            forward_address=self._http_servers.forward.address,
            **{
                f'{name}_address': server.address
                for name, server in self._http_servers.auxiliary.items()
            },
            incarnation=self.members.me.incarnation,
        )

    def drain(self) -> None:
        """Finish the running requests before a planned stop."""
        drain_.Drain(
            self._clock,
            self.members,
            self._announce,
            self._http_servers.close_idle,
            self.serving.gateway,
            self._duty_holder.release,
            int(self._file.bounds.grace_s * 1000),
        ).run()

    def stop(self) -> None:
        """Stop at once; call `drain` first for a planned stop."""
        if not self.is_running:
            return
        self.is_running = False
        self._tasks.stop()
        self._http_servers.stop()
        self.beacons.stop()
        self._rpc.stop()
        self._peers.close()
        self._operators.close()
        self.serving.close()
        self._tracer.close()
        self._log.info('stopped')

    def apply_settings(self, file: pb.RouterFile) -> None:
        """Apply changed settings, except for the addresses listened on."""
        self._file = file
        self.store.address = file.platform.objects
        self._cloud.address = file.platform.cloud
        self.cfg = file.router
        self.serving.apply_settings(file)

    def _start_rpc(self) -> None:
        rollouts = rollout_views.RolloutViews(
            self.members,
            self.serving.versions,
            self.fleet_state.rollout_orders,
            self.rollouts,
            self.lease,
            self._peers,
        )
        operators = operator_service.OperatorService(
            self._clock,
            self.config,
            self.members,
            self.upstream_table,
            self.lease,
            self.serving.decisions,
            self._peers,
            self._operators,
            lambda: self._tasks.spawn('drain', self.drain),
            rollouts,
            self.serving.scarcity,
            self.serving.speeds,
            self._file.tls,
        )
        peers = peer_service.PeerService(
            self._clock,
            self.members,
            self.config,
            self.upstream_table,
            operators.local_steps,
            rollouts,
            self._file.tls,
        )
        self._rpc.start(
            (pb_grpc.add_PeerServicer_to_server, peers),
            (pb_grpc.add_OperatorsServicer_to_server, operators),
        )

    def _start_tasks(self) -> None:
        every = self._tasks.run_every
        self.fleet_state.start(
            self._tasks, self._peering.is_outage_suspected, self._send_changes
        )
        self._tasks.supervise('join', self._catch_up.join, self.cfg.seeds)
        every('beacons', self.cfg.beacon_ms, self.beacons.send_round)
        every('keep_house', _HOUSEKEEPING_MS, self._run_housekeeping)
        every('lease', _LEASE_TICK_MS, self._duty_holder.keep_lease)
        every('duties', _DUTY_TICK_MS, self._duty_holder.run_duties)
        if self._file.bounds.expose_share:
            every('rollouts', _ROLLOUT_TICK_MS, self._run_rollouts)

    def _announce(self) -> None:
        """Send this router's changed entry to the peers at once."""
        self.beacons.send_update()
        self.beacons.send_round()

    def _send_lease(self, successors: ty.Sequence[pb.Member]) -> None:
        found = [self.members.get(member.name) for member in successors]
        beacon = self._peering.update_beacons.build_lease(self.lease.hint())
        self.beacons.send(beacon, [peer for peer in found if peer])

    def _send_load(self, view: upstream_view.UpstreamView) -> None:
        for beacon, peers in self._peering.load_beacons(view):
            self.beacons.send(beacon, peers)

    def _schedule_serving_update(self) -> None:
        """Schedule a beacon on crashes and limits, if none is scheduled."""
        if not self._is_serving_update_due:
            self._is_serving_update_due = True
            green.call_after_ms(
                _SERVING_UPDATE_DELAY_MS, self._send_serving_update
            )

    def _send_serving_update(self) -> None:
        self._is_serving_update_due = False
        for beacon, peers in self._peering.serving_beacons():
            self.beacons.send(beacon, peers)

    def _schedule_spend_report(self) -> None:
        """Schedule a report of this router's spending, if none is."""
        if not self._is_spend_report_due:
            self._is_spend_report_due = True
            green.call_after_ms(_SPEND_REPORT_DELAY_MS, self._send_spends)

    def _send_spends(self) -> None:
        self._is_spend_report_due = False
        self._peering.spend_reports.send_report()

    def _send_changes(self) -> None:
        """Send changes to the peers that do not watch the store themselves."""
        if not self.fleet_state.watchers.all_watch():
            self.beacons.send_update()

    def _configure(self, config: pb.Config) -> None:
        if self.config.routes.version:
            self.serving.gateway.configure(config)
            self.serving.stream_versions.configure(config.routes)
        self._http_servers.set_limits(config.limits)
        self._update_readiness()

    def _run_housekeeping(self) -> None:
        self.fleet_state.tick()
        self._peering.tick()
        self._catch_up.tick()
        self.serving.tick()
        self._http_servers.tick()
        self._version_exchange.tick()
        self._update_readiness()

    def _run_rollouts(self) -> None:
        self._rollout_exchange.tick()
        self.rollouts.tick()

    def _update_readiness(self) -> None:
        """Mark this router as ready once it knows how to route requests."""
        me = self.members.me
        can_route = self.fleet_state.has_config_and_upstreams
        if can_route and not me.ready and me.state == members_.ALIVE:
            self.members.update_own_entry(ready=True)
            self._announce()
            self._log.info('ready', config=self.config.routes.version)


def _read_secret(tls: pb.TlsSettings) -> bytes:
    if not tls.secret_file:
        return b''
    with open(tls.secret_file, 'rb') as file:
        return file.read().strip()

"""One router: its parts, its tasks, its start and its stop."""

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
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import drain as drain_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import http_servers as http_servers_
from peridotmast.router import operator_service
from peridotmast.router import peer_service
from peridotmast.router import peering as peering_
from peridotmast.router import serving as serving_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc
from peridotmast.serving import upstream_view
from peridotmast import tracing

LEASE_NAME = 'duties'
"""Name of the lease on all duties."""

_LEASE_SLACK_MS = 1000
"""How much longer than the platform's shortest time our lease is."""

_LEASE_GUARD_MS = 600
"""Last part of the lease in which no order is begun: what an order may take
on its way while the platform answers."""

_SERVING_GATHER_MS = 20
"""Delay of updates on crashes and limits, so that one beacon reports all
requests that lose their connections as an upstream crashes."""

_HOUSEKEEPING_MS = 250
_LEASE_TICK_MS = 200
_DUTY_TICK_MS = 250


class Router:
    """One router, ready to be started in a daemon or embedded.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock, optional
        The machine's by default.
    """

    def __init__(
        self, file: pb.RouterFile, clock: ty.Optional[clock_.Clock] = None
    ) -> None:
        self._file = file
        self.cfg = file.router
        """The router's own section of the settings."""
        self._clock = clock or clock_.SystemClock()
        self._log = logs.get('router', router=self.cfg.name)
        self._tasks = green.Tasks(self._on_error)
        self.registry = prometheus_client.CollectorRegistry()
        """Metrics of this router."""
        prometheus_client.ProcessCollector(registry=self.registry)
        self.invariants = invariants_.Invariants(
            self.registry, self.cfg.fatal_invariants
        )
        """Promises checked while it runs."""
        self._tracer = tracing.Tracing(self.cfg.name, file.telemetry)
        self._is_serving_tell_due = False
        self.is_running = False
        """Whether it was started and not stopped yet."""
        self.fleet_state = fleet_state_.FleetState(
            file, self._clock, self.invariants
        )
        """What it knows of platform and fleet."""
        self.store = self.fleet_state.store
        """The platform's store."""
        self.members = self.fleet_state.members
        """The routers, this one too."""
        self.upstream_table = self.fleet_state.upstream_table
        """The upstreams."""
        self.config = self.fleet_state.config
        """The configuration in force."""
        self.serving = serving_.Serving(
            file,
            self._clock,
            self.fleet_state,
            self.registry,
            self.invariants,
            self._tracer,
            self._tasks.spawn,
        )
        """The parts on a request's way."""
        self._make_peering()
        self._make_duties()
        self._http_servers = http_servers_.HttpServers(
            file, self._clock, self.fleet_state, self.serving, self.registry
        )
        self.config.subscribe(self._configure)
        self.upstream_table.listen(lambda view: self._see_ready())

    def _make_peering(self) -> None:
        cfg, tls = self.cfg, self._file.tls
        self._rpc = rpc.RpcServer(cfg.peer_listen, tls)
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
        """The lease on all duties."""
        self._catch_up = catch_up_.CatchUp(
            self._clock, self.fleet_state, self._peers, self._tasks.spawn
        )
        self._peering = peering_.Peering(
            self._clock,
            self.fleet_state,
            self.serving,
            shared_totals_.SharedTotals(self.serving, self.upstream_table),
            self.lease,
            self._catch_up,
        )
        host = cfg.peer_listen.rpartition(':')[0]
        port = cfg.ports[0] if cfg.ports else 0
        self.beacons = beacons_.Beacons(
            f'{host}:{port}',
            self.members,
            self._peering.rounds.next_round,
            self._peering.updates.build,
            self._peering.receive,
            _secret(tls),
        )
        """What the routers tell each other."""
        self._peering.borrowing.send = self.beacons.send
        self.serving.gateway.take_quota = self._peering.borrowing.acquire
        self.serving.gateway.config_is_stale = (
            self._catch_up.config_fetcher.is_behind
        )
        self.serving.placement.on_load_change = self._tell_load
        self.serving.placement.has_stale_peer_data = (
            self._peering.has_delayed_totals
        )
        self.serving.crashes.notify_peers = self._tell_serving_soon
        self.serving.limits.notify_peers = self._tell_serving_soon
        self.serving.crashes.may_retry = self.lease.may_act

    def _make_duties(self) -> None:
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
        reporter = usage_reporter.UsageReporter(
            self.serving.usage,
            self._cloud,
            self.store,
            int(bounds.usage_window_s * 1000),
            fleet_now,
            self.invariants,
        )
        self._holder = duty_holder.DutyHolder(
            self.lease,
            self.members,
            (
                reporter,
                scaler,
                crash_blocks.CrashBlocks(self.serving.crashes),
            ),
            self._clock,
            self._tell_heirs,
            fleet_now,
        )

    @property
    def address(self) -> ids.Address:
        """Address of the platform's callers."""
        return self._http_servers.platform.address

    @property
    def chat_address(self) -> str:
        """Address of the chat API; empty where there is none."""
        return (
            self._http_servers.chat.address if self._http_servers.chat else ''
        )

    @property
    def peer_address(self) -> str:
        """Address of the peers' and operators' gRPC."""
        return self._rpc.address

    def address_of(self, what: str) -> str:
        """Return the address of ``ready``, ``directory`` or ``metrics``."""
        return self._http_servers.auxiliary[what].address

    def start(self) -> None:
        """Begin to learn and to serve.

        Raises
        ------
        OSError
            If an address can't be listened on.
        """
        self._start_rpc()
        self.members.change_me(
            address=self.address,
            chat_address=self.chat_address,
            peer_address=self.peer_address,
            beacon_address=self.beacons.address,
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
            incarnation=self.members.me.incarnation,
        )

    def drain(self) -> None:
        """Stop as planned: cut off nothing."""
        drain_.Drain(
            self._clock,
            self.members,
            self._announce,
            self._http_servers.close_idle,
            self.serving.gateway,
            self._holder.release,
            int(self._file.bounds.grace_s * 1000),
        ).run()

    def stop(self) -> None:
        """End, at once; call `drain` before for a planned stop."""
        if not self.is_running:
            return
        self.is_running = False
        self._tasks.stop()
        self._http_servers.stop()
        self.beacons.stop()
        self._rpc.stop()
        self._peers.close()
        self._operators.close()
        self.serving.pool.close()
        self._tracer.close()
        self._log.info('stopped')

    def apply_settings(self, file: pb.RouterFile) -> None:
        """Take changed settings in; addresses listened on stay as they are."""
        self._file = file
        self.store.address = file.platform.objects
        self._cloud.address = file.platform.cloud
        self.cfg = file.router
        self.serving.apply_settings(file)

    def _start_rpc(self) -> None:
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
            self._file.tls,
        )
        peers = peer_service.PeerService(
            self._clock,
            self.members,
            self.config,
            self.upstream_table,
            operators.local_steps,
            self._file.tls,
        )
        self._rpc.start(
            (pb_grpc.add_PeerServicer_to_server, peers),
            (pb_grpc.add_OperatorsServicer_to_server, operators),
        )

    def _start_tasks(self) -> None:
        every = self._tasks.every
        self.fleet_state.start(
            self._tasks, self._peering.is_outage_felt, self._tell_news
        )
        self._tasks.spawn('join', self._catch_up.join, self.cfg.seeds)
        every('beacons', self.cfg.beacon_ms, self.beacons.send_round)
        every('keep_house', _HOUSEKEEPING_MS, self._keep_house)
        every('lease', _LEASE_TICK_MS, self._holder.keep_lease)
        every('duties', _DUTY_TICK_MS, self._holder.run_duties)

    def _announce(self) -> None:
        """Tell the peers at once what has changed of this router."""
        self.beacons.send_news()
        self.beacons.send_round()

    def _tell_heirs(self, heirs: ty.Sequence[pb.Member]) -> None:
        found = [self.members.get(member.name) for member in heirs]
        beacon = self._peering.updates.build_lease(self.lease.hint())
        self.beacons.send(beacon, [peer for peer in found if peer])

    def _tell_load(self, view: upstream_view.UpstreamView) -> None:
        for beacon, peers in self._peering.load_beacons(view):
            self.beacons.send(beacon, peers)

    def _tell_serving_soon(self) -> None:
        """Schedule updates on crashes and limits, unless already scheduled."""
        if not self._is_serving_tell_due:
            self._is_serving_tell_due = True
            green.call_after_ms(_SERVING_GATHER_MS, self._tell_serving)

    def _tell_serving(self) -> None:
        self._is_serving_tell_due = False
        for beacon, peers in self._peering.serving_beacons():
            self.beacons.send(beacon, peers)

    def _tell_news(self) -> None:
        """Tell those who don't watch that there is news."""
        if not self.fleet_state.watchers.all_watch():
            self.beacons.send_news()

    def _configure(self, config: pb.Config) -> None:
        if self.config.routes.version:
            self.serving.gateway.configure(config)
        self._http_servers.set_limits(config.limits)
        self._see_ready()

    def _keep_house(self) -> None:
        self.fleet_state.tick()
        self._peering.tick()
        self._catch_up.tick()
        self.serving.tick()
        self._see_ready()

    def _see_ready(self) -> None:
        """Take callers as soon as it is known what to do with them."""
        me = self.members.me
        knows = self.fleet_state.has_config_and_upstreams
        if knows and not me.ready and me.state == members_.ALIVE:
            self.members.change_me(ready=True)
            self._announce()
            self._log.info('ready', config=self.config.routes.version)

    def _on_error(self, name: str, exc: BaseException) -> None:
        self._log.error('task_failed', task=name, error=repr(exc))


def _secret(tls: pb.TlsSettings) -> bytes:
    if not tls.secret_file:
        return b''
    with open(tls.secret_file, 'rb') as file:
        return file.read().strip()

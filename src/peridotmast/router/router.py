"""One router: its parts, its tasks, its start and its stop."""

from __future__ import annotations

import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import config_feed
from peridotmast.coordination import fleet_clock
from peridotmast.coordination import kind_watch
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.coordination import outage as outage_
from peridotmast.coordination import registry as registry_
from peridotmast.coordination import upstream_feed
from peridotmast.coordination import watchers as watchers_
from peridotmast.duties import demand as demand_
from peridotmast.duties import holder as holder_
from peridotmast.duties import scaler as scaler_
from peridotmast.duties import usage_reporter
from peridotmast import green
from peridotmast import ids
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast.platform import callers
from peridotmast.platform import cloud_api
from peridotmast.platform import config_codec
from peridotmast.platform import dialect
from peridotmast.platform import directory as directory_
from peridotmast.platform import engine_control
from peridotmast.platform import names
from peridotmast.platform import store as store_
from peridotmast.platform import upstream_codec
from peridotmast.router import chat_api
from peridotmast.router import drain as drain_
from peridotmast.router import operator_service
from peridotmast.router import peer_service
from peridotmast.router import peering as peering_
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import desk as desk_
from peridotmast.serving import gateway as gateway_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import mover as mover_
from peridotmast.serving import placement
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving import sender as sender_
from peridotmast.serving import stream_relay
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import usage as usage_
from peridotmast import tracing
from peridotmast import web
from peridotmast.wire import pool as pool_
from peridotmast.wire import server as server_

LEASE = 'duties'
"""Name of the lease on all duties."""

_KINDS = {
    'config': (names.CONFIG_KIND, config_feed.KIND),
    'upstreams': (names.UPSTREAM_KIND,),
}
"""Kinds of objects that what routers know is made from."""

_SILENT_BEACONS = 5
"""Beacons missed after which callers are not sent to a peer any more: a few
may be lost in a row, and a dead one costs a caller a connection."""

_LEASE_SLACK_MS = 1000
"""How much longer than the platform's shortest time our lease is."""

_LEASE_GUARD_MS = 600
"""Last part of the lease in which no order is begun: what an order may take
on its way while the platform answers."""

_RESOLVE_TTL_S = 2.0
"""How long callers may keep an answer on where to connect: a router that is
lost is left alone after that, and each question costs about a millisecond."""

_MOVE_MS = 1000
"""Bound on moving a stream's memory to another engine."""

_HOUSEKEEPING_MS = 250
_LEASE_TICK_MS = 200
_DUTY_TICK_MS = 250
_REGISTER_MS = 1000


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
        self.checks = invariants_.Invariants(
            self.registry, self.cfg.fatal_invariants
        )
        """Promises checked while it runs."""
        self._tracer = tracing.Tracing(self.cfg.name, file.telemetry)
        self.is_running = False
        """Whether it was started and not stopped yet."""
        self._make_knowledge()
        self._make_serving()
        self._make_peering()
        self._make_duties()
        self._make_faces()

    # --------------------------------------------------------- construction

    def _make_knowledge(self) -> None:
        cfg, clock = self.cfg, self._clock
        platform, bounds = self._file.platform, self._file.bounds
        lapse_ms = int(bounds.lapse_s * 1000)
        self._outage = outage_.Outage(clock, lapse_ms)
        self.store = store_.PlatformStore(
            platform.objects, platform.timeout_ms, self._outage
        )
        """The platform's store."""
        me = pb.Member(
            name=cfg.name,
            incarnation=clock.wall(),
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            state=members_.ALIVE,
        )
        self.members = members_.Members(
            me, clock, _SILENT_BEACONS * cfg.beacon_ms, beacons_.AT_ONCE
        )
        """The routers, this one too."""
        self.table = upstreams_.UpstreamTable(clock, bounds.drain_ms, lapse_ms)
        """The upstreams."""
        self.config = config_feed.ConfigFeed(
            self.store,
            names.CONFIG_NAME,
            config_codec.read_config,
            self.checks,
        )
        """The configuration in force."""
        self._upstreams = upstream_feed.UpstreamFeed(
            self.table, upstream_codec.read_upstream
        )
        self._watches: list[kind_watch.KindWatch] = []
        self._fleet_clock = fleet_clock.FleetClock(clock)
        self._registry = registry_.Registry(self.store, self.members)
        self._watchers = watchers_.Watchers(self.members)

    def _make_serving(self) -> None:
        cfg, clock, bounds = self.cfg, self._clock, self._file.bounds
        self.decisions = decisions_.Decisions(clock, cfg.name)
        """What was decided on each request."""
        self.usage = usage_.Usage(
            self._fleet_clock.now, int(bounds.usage_window_s * 1000)
        )
        """Requests that upstreams began."""
        self.quota = quota_.Quota(clock)
        """The teams' limits."""
        self.demand = demand_.Demand(clock)
        """What the services are asked for."""
        self._budget = retry_budget.RetryBudget(
            clock,
            bounds.budget_ratio,
            int(bounds.budget_window_s * 1000),
            bounds.budget_slack,
        )
        metrics = metrics_.ServingMetrics(self.registry)
        self.pool = pool_.ConnectionPool(clock, cfg.connect_ms)
        """Connections to upstreams."""
        sender = sender_.Sender(
            clock, self.pool, dialect.PlatformDialect(), self.decisions
        )
        places = placement.Placement(
            self.table,
            placement.POLICIES[cfg.policy](cfg.failure_domain),
            cfg.name,
        )
        relay = stream_relay.StreamRelay(
            clock, sender, places, self._budget, metrics, self.decisions
        )
        desk = desk_.Desk(
            clock,
            sender,
            places,
            relay,
            self._budget,
            self.usage,
            metrics,
            self.decisions,
            self._tracer,
            self.checks,
        )
        mover = mover_.Mover(
            clock,
            relay,
            places,
            engine_control.EngineControl(_MOVE_MS),
            self.decisions,
            self._tasks.spawn,
            bounds.drain_ms,
        )
        self.table.listen(mover.on_change)
        self.gateway = gateway_.Gateway(
            clock,
            desk,
            self.quota,
            self.demand,
            metrics,
            self.decisions,
            self._tracer,
        )
        """The one way of a request."""
        self.config.listen(self._configure)
        self.table.listen(lambda view: self._see_ready())

    def _make_peering(self) -> None:
        cfg, tls = self.cfg, self._file.tls
        self._rpc = rpc.RpcServer(cfg.peer_listen, tls)
        self._peers = rpc.RpcClient(pb_grpc.PeerStub, tls)
        self._operators = rpc.RpcClient(pb_grpc.OperatorsStub, tls)
        me = self.members.me
        self.lease = lease_.Lease(
            self.store,
            LEASE,
            cfg.name,
            ids.owner_of(cfg.name, me.incarnation),
            self._file.bounds.lease_ms + _LEASE_SLACK_MS,
            _LEASE_GUARD_MS,
            self._clock,
        )
        """The lease on all duties."""
        self._peering = peering_.Peering(
            self._clock,
            self.members,
            self.config,
            self.table,
            self.quota,
            self.usage,
            self.demand,
            self._budget,
            self.lease,
            self._fleet_clock,
            self._outage,
            self._peers,
            self._tasks.spawn,
            lambda what: all(map(self._watchers.is_due, _KINDS[what])),
            self._on_overtaken,
        )
        host = cfg.peer_listen.rpartition(':')[0]
        port = cfg.ports[0] if cfg.ports else 0
        self.beacons = beacons_.Beacons(
            f'{host}:{port}',
            self.members,
            self._peering.fill,
            self._peering.fill_news,
            self._peering.take,
            _secret(tls),
        )
        """What the routers tell each other."""

    def _make_duties(self) -> None:
        platform, bounds = self._file.platform, self._file.bounds
        self._cloud = cloud_api.PlatformCloud(
            platform.cloud, platform.timeout_ms, self.cfg.name
        )
        reporter = usage_reporter.UsageReporter(
            self.usage,
            self._cloud,
            self.store,
            int(bounds.usage_window_s * 1000),
            self._fleet_clock.now,
            self.checks,
        )
        scaler = scaler_.Scaler(
            self._cloud,
            lambda: self.config.config,
            self.table,
            self.demand,
            self._clock,
            self._fleet_clock.now,
        )
        self._holder = holder_.DutyHolder(
            self.lease, self.members, (reporter, scaler), self._clock
        )

    def _make_faces(self) -> None:
        cfg = self.cfg
        self._limits = server_.ServerLimits(write_ms=cfg.write_ms)
        face = callers.PlatformCallers(
            self._clock, self.gateway, self._limits, self.decisions
        )
        self._front = server_.HttpServer(cfg.listen, face, self._limits)
        directory = directory_.PlatformDirectory(self.members, _RESOLVE_TTL_S)
        chat = chat_api.ChatApi(
            self._clock,
            self.config,
            self.gateway,
            self.members,
            int(_RESOLVE_TTL_S * 1000),
        )
        self._chat: ty.Optional[server_.HttpServer] = None
        if cfg.chat_listen:
            app = self._own_app()
            chat.routes(app)
            self._chat = server_.HttpServer(cfg.chat_listen, app)
        self._others = {
            name: server_.HttpServer(address, application)
            for name, address, application in (
                ('ready', cfg.ready_listen, directory.ready),
                ('directory', cfg.directory_listen, directory.resolve),
                (
                    'metrics',
                    self._file.telemetry.metrics_listen,
                    self._own_app(),
                ),
            )
            if address
        }

    def _own_app(self) -> web.WebApp:
        app = web.WebApp('http')
        app.route('GET', '/metrics', self._show_metrics)
        app.route('GET', '/healthz', self._show_health)
        return app

    # -------------------------------------------------------------- running

    @property
    def address(self) -> ids.Address:
        """Address of the platform's callers."""
        return self._front.address

    @property
    def chat_address(self) -> str:
        """Address of the chat API; empty where there is none."""
        return self._chat.address if self._chat else ''

    @property
    def peer_address(self) -> str:
        """Address of the peers' and operators' gRPC."""
        return self._rpc.address

    def address_of(self, what: str) -> str:
        """Return the address of ``ready``, ``directory`` or ``metrics``."""
        return self._others[what].address

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
        for server in self._servers():
            server.start()
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
            self.beacons.send_round,
            self._close_idle,
            self.gateway,
            self._holder.release,
            int(self._file.bounds.grace_s * 1000),
        ).run()

    def stop(self) -> None:
        """End, at once; call `drain` before for a planned stop."""
        if not self.is_running:
            return
        self.is_running = False
        self._tasks.stop()
        for server in self._servers():
            server.stop()
        self.beacons.stop()
        self._rpc.stop()
        self._peers.close()
        self._operators.close()
        self.pool.close()
        self._tracer.close()
        self._log.info('stopped')

    def apply(self, file: pb.RouterFile) -> None:
        """Take changed settings in; addresses listened on stay as they are."""
        self._file = file
        self.store.address = file.platform.objects
        self._cloud.address = file.platform.cloud
        self.cfg = file.router
        self.pool.connect_ms = file.router.connect_ms
        bounds = file.bounds
        self._budget.set_limits(
            bounds.budget_ratio,
            int(bounds.budget_window_s * 1000),
            bounds.budget_slack,
        )

    # ---------------------------------------------------------------- tasks

    def _servers(self) -> list[server_.HttpServer]:
        chat = [self._chat] if self._chat else []
        return [self._front, *chat, *self._others.values()]

    def _start_rpc(self) -> None:
        operators = operator_service.OperatorService(
            self._clock,
            self.config,
            self.members,
            self.table,
            self.lease,
            self.decisions,
            self._peers,
            self._operators,
            lambda: self._tasks.spawn('drain', self.drain),
            bool(self._file.tls.cert_file),
        )
        peers = peer_service.PeerService(
            self.members, self.config, self.table, operators.own_steps
        )
        self._rpc.start(
            (pb_grpc.add_PeerServicer_to_server, peers),
            (pb_grpc.add_OperatorsServicer_to_server, operators),
        )

    def _start_tasks(self) -> None:
        spawn, every = self._tasks.spawn, self._tasks.every
        for kind, follower in (
            (names.CONFIG_KIND, self.config),
            (config_feed.KIND, self.config),
            (names.UPSTREAM_KIND, self._upstreams),
        ):
            watch = self._watch(kind, follower)
            self._watches.append(watch)
            spawn(f'watch_{kind}', watch.run)
        spawn('register', self._register)
        spawn('join', self._peering.join, self.cfg.seeds)
        every('beacons', self.cfg.beacon_ms, self.beacons.send_round)
        every('keep_house', _HOUSEKEEPING_MS, self._keep_house)
        every('lease', _LEASE_TICK_MS, self._holder.keep_lease)
        every('duties', _DUTY_TICK_MS, self._holder.act)

    def _watch(
        self, kind: str, follower: kind_watch.Follower
    ) -> kind_watch.KindWatch:
        return kind_watch.KindWatch(
            self.store,
            kind,
            follower,
            self._clock,
            self._peering.is_outage_felt,
            self._tell_news,
            lambda: self._watchers.is_due(kind),
        )

    def _tell_news(self) -> None:
        """Tell those who don't watch that there is news."""
        if not self._watchers.all_watch():
            self.beacons.send_news()

    def _on_overtaken(self) -> None:
        for watch in self._watches:
            watch.overtaken()

    def _register(self) -> None:
        while not self._registry.enter():
            green.sleep_ms(_REGISTER_MS)

    def _close_idle(self) -> None:
        self._front.close_idle()
        if self._chat is not None:
            self._chat.close_idle()

    def _configure(self, config: pb.Config) -> None:
        if self.config.routes.version:
            self.gateway.configure(config)
        limits = config.limits
        if limits.max_header_bytes:
            self._limits.max_header_bytes = limits.max_header_bytes
            self._limits.max_body_bytes = limits.max_body_bytes
            self._limits.header_ms = limits.header_timeout_ms
            self._limits.idle_ms = limits.idle_timeout_ms
        self._see_ready()

    def _keep_house(self) -> None:
        self._upstreams.tick()
        self.table.forget_gone()
        self.pool.drop_old()
        self._peering.tick()
        self.demand.tick()
        self._see_ready()

    def _see_ready(self) -> None:
        """Take callers as soon as it is known what to do with them."""
        me = self.members.me
        knows = bool(self.config.routes.version and self.table.all())
        if knows and not me.ready and me.state == members_.ALIVE:
            self.members.change_me(ready=True)
            self.beacons.send_round()
            self._log.info('ready', config=self.config.routes.version)

    def _show_metrics(self, req: web.Request) -> web.Response:
        return web.Response(
            200,
            prometheus_client.generate_latest(self.registry),
            prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _show_health(self, req: web.Request) -> web.Response:
        me = self.members.me
        serving = me.ready and me.state == members_.ALIVE
        body = {
            'serving': serving,
            'config': self.config.routes.version,
            'document': self.config.own.version,
        }
        return web.json_response(body, 200 if serving else 503)

    def _on_error(self, name: str, exc: BaseException) -> None:
        self._log.error('task_failed', task=name, error=repr(exc))


def _secret(tls: pb.TlsSettings) -> bytes:
    if not tls.secret_file:
        return b''
    with open(tls.secret_file, 'rb') as file:
        return file.read().strip()

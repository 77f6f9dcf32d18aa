"""One router: its parts, its tasks, its start and its stop."""

from __future__ import annotations

import time
import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import claims as claims_
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import gossip as gossip_
from peridotmast.coordination import membership as membership_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast import http_server
from peridotmast import ids
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast.platform import cloud as cloud_
from peridotmast.platform import object_store
from peridotmast.router import admission as admission_
from peridotmast.router import caller_api
from peridotmast.router import desk as desk_
from peridotmast.router import drain as drain_
from peridotmast.router import knowledge as knowledge_
from peridotmast.router import ledger as ledger_
from peridotmast.router import mover as mover_
from peridotmast.router import once as once_
from peridotmast.router import operator_service
from peridotmast.router import peer_service
from peridotmast.router import policy as policy_
from peridotmast.router import relay as relay_
from peridotmast.router import retry
from peridotmast.router import router_metrics
from peridotmast.router import service_call
from peridotmast.router import upstreams as upstreams_
from peridotmast.router import watchers
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc
from peridotmast import tracing
from peridotmast import web

MEMBERS_PREFIX = 'members/'
_VM_LIST_MS = 1000
_REFRESH_MS = 60_000
_HOUSEKEEPING_MS = 1000
_ABANDONED_MS = 60_000
_FETCH_MS = 1500
_START_MS = 1500


class Router:
    """One router, ready to be started in a daemon or embedded.

    Parameters
    ----------
    file : pb.RouterFile
        Checked settings.
    clock : clock.Clock, optional
        The machine's by default.
    incarnation : int, optional
        Number of this run of the router, larger than any before; by
        default ms since 1970.
    """

    def __init__(
        self,
        file: pb.RouterFile,
        clock: ty.Optional[clock_.Clock] = None,
        incarnation: int = 0,
    ) -> None:
        cfg = self.cfg = file.router
        """The router's own section of the settings."""
        self._file = file
        self._clock = clock or clock_.SystemClock()
        self._log = logs.get('router', router=cfg.name)
        self._tasks = green.Tasks(self._on_error)
        self.registry = prometheus_client.CollectorRegistry()
        """Metrics of this router."""
        prometheus_client.ProcessCollector(registry=self.registry)
        self.metrics = router_metrics.RouterMetrics(self.registry)
        """Counters of this router."""
        self.checks = invariants_.Invariants(
            self.registry, cfg.fatal_invariants
        )
        """Promises checked while it runs."""
        self._tracer = tracing.Tracing(cfg.name, file.telemetry)
        incarnation = incarnation or time.time_ns() // 1_000_000
        self.owner = ids.owner_of(cfg.name, incarnation)
        """This run of this router."""
        self._make_servers(file)
        self._make_knowledge(file, incarnation)
        self._make_serving(file)
        self._make_services(file)

    # --------------------------------------------------------- construction

    def _make_servers(self, file: pb.RouterFile) -> None:
        cfg = self.cfg
        self._app = web.WebApp(
            'http', cfg.max_body_bytes, cfg.max_header_seconds
        )
        self._http = http_server.HttpServer(
            cfg.listen,
            self._app,
            cfg.max_header_seconds,
            cfg.caller_write_timeout_ms / 1000,
        )
        self._rpc = rpc.RpcServer(cfg.peer_listen, file.tls)
        self._peers = rpc.RpcClient(pb_grpc.PeerStub, file.tls)
        self._operators = rpc.RpcClient(pb_grpc.OperatorsStub, file.tls)

    def _make_knowledge(self, file: pb.RouterFile, incarnation: int) -> None:
        cfg, platform = self.cfg, file.platform
        self.store = object_store.ObjectStore(
            platform.objects, platform.timeout_ms, self._clock
        )
        """The platform's objects."""
        self._cloud = cloud_.Cloud(platform.cloud, platform.timeout_ms)
        self._load_http = http_client.HttpClient(cfg.connect_timeout_ms)
        me = pb.Member(
            name=cfg.name,
            incarnation=incarnation,
            failure_domain=cfg.failure_domain,
            region=cfg.region,
            state=pb.MEMBER_STATE_ALIVE,
        )
        self.members = membership_.Membership(me, self._clock, cfg.suspect_ms)
        """The routers, this one too."""
        self.table = upstreams_.UpstreamTable(
            self._clock, cfg.name, cfg.subset
        )
        """The upstreams."""
        self.feed = config_feed_.ConfigFeed(self.store, self.checks)
        """The configuration in force."""
        self.ledger = ledger_.Ledger(
            self._clock, cfg.ledger_keep_ms, cfg.ledger_limit
        )
        """The requests."""
        self._claims = claims_.ClaimStore(
            self.store, self.owner, cfg.claim_buckets
        )
        self.guard = once_.OnceGuard(
            self.owner, self.ledger, self._claims, self.members
        )
        """Rights to run non-idempotent requests."""
        self.ledger.on_forget = self.guard.forgotten
        self._knowledge = knowledge_.RouterKnowledge(
            self.members,
            self.table,
            self.feed,
            self.guard,
            lambda sender: self._tasks.spawn(
                'fetch_config', self._fetch_config, sender
            ),
        )
        self.gossip = gossip_.Gossip(
            self.members, self._knowledge, self._peers, self._tasks.spawn
        )
        """Spread of what routers know."""
        self._watch = watchers.PlatformWatch(
            cfg,
            platform,
            self.store,
            self._cloud,
            self.members,
            self.table,
            self.feed,
            self.guard,
            self._spread,
            self._knowledge.versions,
        )

    def _make_serving(self, file: pb.RouterFile) -> None:
        cfg, clock = self.cfg, self._clock
        policy = policy_.make(cfg.policy, cfg.failure_domain)
        self.admission = admission_.Admission(
            clock, self.table, policy, cfg.queue_limit
        )
        """Limits, queue and placement."""
        pacer = retry.RetryPacer(clock, cfg.retry_budget)
        relay = relay_.ChatRelay(
            cfg,
            clock,
            self.admission,
            self.table,
            self.ledger,
            pacer,
            self.checks,
            self.metrics,
            self._tracer,
        )
        services = service_call.ServiceCaller(
            cfg,
            self.admission,
            self.table,
            self.ledger,
            pacer,
            self.checks,
            self._tracer,
        )
        self.desk = desk_.CallDesk(
            clock,
            self.admission,
            self.ledger,
            self.guard,
            relay,
            services,
            self.members,
            self._peers,
            pacer,
            self.metrics,
        )
        """The way of every call in."""
        self._mover = mover_.ReclaimMover(
            clock,
            self.table,
            policy,
            self.ledger,
            self.metrics,
            self._tasks.spawn,
        )
        if cfg.resume:
            self.table.listen(self._mover.on_change)
        self.feed.listen(self._configure)

    def _make_services(self, file: pb.RouterFile) -> None:
        cfg = self.cfg
        self._drain = drain_.Drain(
            self._clock,
            self.owner,
            self.ledger,
            self.guard,
            self.desk,
            self.members,
            self._peers,
            cfg.drain_grace_ms,
            self._announce,
        )
        caller_api.CallerApi(
            cfg,
            self._clock,
            self.feed,
            self.desk,
            self.guard,
            self.members,
            self._tracer,
        ).routes(self._app)
        self._app.route('GET', '/metrics', self._show_metrics)
        self._app.route('GET', '/healthz', self._show_health)
        self._peer_service = peer_service.PeerService(
            self._clock,
            self.gossip,
            self.feed,
            self.ledger,
            self.guard,
            self.desk,
            self.members,
            self._announce,
        )
        self._operator_service = operator_service.OperatorService(
            self._clock,
            self.store,
            self._cloud,
            self.feed,
            self.members,
            self.table,
            self.ledger,
            self._peers,
            self._operators,
            self._spread,
            lambda: self._tasks.spawn('drain', self.drain),
            bool(file.tls.cert_file),
        )

    # -------------------------------------------------------------- running

    @property
    def address(self) -> ids.Address:
        """Address of the callers' HTTP."""
        return self._http.address

    @property
    def peer_address(self) -> str:
        """Address of the peers' and operators' gRPC."""
        return self._rpc.address

    @property
    def drain_state(self) -> drain_.DrainState:
        """How far a planned stop has come."""
        return self._drain.state

    def start(self) -> None:
        """Learn what is in force, then serve.

        Platform and seeds are both asked, so that a router starts in an
        outage too, and the higher version wins.

        Raises
        ------
        OSError
            If an address can't be listened on.
        """
        self._rpc.start(
            (pb_grpc.add_PeerServicer_to_server, self._peer_service),
            (pb_grpc.add_OperatorsServicer_to_server, self._operator_service),
        )
        self.members.change_me(
            address=self.address, peer_address=self.peer_address
        )
        self._learn()
        self._http.start()
        self._announce()
        self._register()
        self._start_tasks()
        self._log.info(
            'started',
            address=self.address,
            peer_address=self.peer_address,
            config=self.feed.version,
        )

    def drain(self) -> None:
        """Stop as planned: cut off nothing, hand over what can't finish."""
        self._drain.run()

    def stop(self) -> None:
        """End, at once; call `drain` before for a planned stop."""
        if self._drain.state is drain_.DrainState.EMPTY:
            self._deregister(self.members.me)
        self.kill()
        self._tracer.close()

    def kill(self) -> None:
        """Die as a killed process does: nothing is said or handed over."""
        self._tasks.stop()
        self._http.stop()
        self._rpc.stop()
        self._peers.close()
        self._operators.close()

    # ---------------------------------------------------------------- tasks

    def _start_tasks(self) -> None:
        cfg, every = self.cfg, self._tasks.every
        every('probe', cfg.probe_interval_ms, self.gossip.probe_once)
        every('objects', 1, self._watch.watch_objects)
        every('notices', 1, self._watch.watch_notices)
        every('vms', _VM_LIST_MS, self._watch.watch_vms)
        every('load', cfg.load_interval_ms, self._ask_load)
        every('housekeeping', _HOUSEKEEPING_MS, self._keep_house)
        every('refresh', _REFRESH_MS, self.feed.refresh)

    def _learn(self) -> None:
        with green.Timeout(_START_MS / 1000, False):
            self._watch.read_once()
        members = self.store.list_under(MEMBERS_PREFIX)
        if not isinstance(members, failures.Failure):
            for stored in members[0]:
                self.members.merge(pb.Member.FromString(stored.value or b''))
        known = [peer.peer_address for peer in self.members.peers()]
        for address in [*self.cfg.seeds, *known][:5]:
            if address != self.peer_address and self.gossip.sync(address):
                self._fetch_config(address)

    def _register(self) -> None:
        """Leave this router's entry where starting routers look for it."""
        value = self.members.me.SerializeToString()
        self.store.update(
            MEMBERS_PREFIX + self.cfg.name, lambda current: _unless(
                current.value, value
            ), _START_MS,
        )  # fmt: skip

    def _deregister(self, gone: pb.Member) -> None:
        """Remove the entry of a router's run that is over."""
        key = MEMBERS_PREFIX + gone.name
        stored = self.store.get(key)
        if isinstance(stored, failures.Failure) or stored.value is None:
            return
        if pb.Member.FromString(stored.value).incarnation == gone.incarnation:
            self.store.delete(key, stored.version)

    def _announce(self) -> None:
        self._spread(pb.Rumor(member=self.members.me))

    def _spread(self, rumor: pb.Rumor) -> None:
        self.gossip.spread(rumor, urgent=True)

    def _fetch_config(self, sender: str) -> None:
        """Get a newer configuration from who has it, else the platform."""
        if sender:
            reply = self._peers.call(
                sender, 'FetchConfig', pb.ConfigRequest(), _FETCH_MS
            )
            if not isinstance(reply, failures.Failure):
                self.feed.offer(reply.version, reply.document)
                return
        self.feed.refresh()

    def _configure(self, config: pb.Config) -> None:
        self.admission.configure(config)
        self.metrics.config_version.set(self.feed.version)
        for upstream in config.upstreams:
            record = pb.UpstreamRecord(
                upstream=upstream, state=pb.UPSTREAM_STATE_LIVE
            )
            self.table.merge(record)
        self._log.info('config_in_force', version=self.feed.version)

    def _ask_load(self) -> None:
        """Ask the engine heard of longest ago for its load and events."""
        usable = self.table.usable('engine')
        if not usable:
            return
        view = min(usable, key=lambda v: v.reported_at)
        client = self._load_http
        reply = client.call('GET', view.address, '/v1/load')
        if isinstance(reply, failures.Failure) or reply.status != 200:
            self.table.failed(view)
            view.reported_at = self._clock.now()
            return
        load = reply.json()
        self.table.report(view, load['running'], load['waiting'])
        path = f'/v1/cache/events?after={view.prefixes.events_seen}'
        reply = client.call('GET', view.address, path)
        if not isinstance(reply, failures.Failure) and reply.status == 200:
            for item in reply.json()['events']:
                view.prefixes.event(item['seq'], item['kind'], item['block'])

    def _keep_house(self) -> None:
        for member in self.members.expire():
            self.gossip.spread(pb.Rumor(member=member), urgent=True)
            if self._watch.is_due():
                self._tasks.spawn('deregister', self._deregister, member)
        self.table.forget_gone()
        self.table.share_among(len(self.members.serving()))
        self.metrics.waiting.set(self.admission.waiting)
        for entry in self.ledger.abandoned(_ABANDONED_MS):
            # Its caller never came back for the rest.
            self.ledger.give_up(entry)
        # Told only when it doubles or halves: each change goes to all.
        told, load = self.members.me.load, self.desk.in_work
        if not told // 2 <= load <= max(8, told * 2):
            self.members.change_me(load=load)
            self.gossip.spread(pb.Rumor(member=self.members.me))

    # ------------------------------------------------------------- handlers

    def _show_metrics(self, req: web.Request) -> web.Response:
        text = prometheus_client.generate_latest(self.registry)
        return web.Response(200, text, prometheus_client.CONTENT_TYPE_LATEST)

    def _show_health(self, req: web.Request) -> web.Response:
        return web.json_response(
            {
                'router': self.cfg.name,
                'state': self._drain.state.value,
                'config': self.feed.version,
                'members': len(self.members.serving()),
                'in_work': self.desk.in_work,
            }
        )

    def _on_error(self, name: str, exc: BaseException) -> None:
        if isinstance(exc, invariants_.BrokenPromise):
            raise exc
        self._log.error('task_failed', task=name, error=repr(exc))


def _unless(current: ty.Optional[bytes], value: bytes) -> ty.Optional[bytes]:
    return None if current == value else value

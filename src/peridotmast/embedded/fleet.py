"""Stand-ins and routers in one process, on loopback."""

from __future__ import annotations

import collections
import itertools
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.embedded import links as links_
from peridotmast.embedded import loopback_hosts
from peridotmast.embedded import router_settings
from peridotmast.embedded import shape as shape_
from peridotmast.embedded import upstream_instance
from peridotmast import green
from peridotmast import ini
from peridotmast.platform import config_codec
from peridotmast.platform import names
from peridotmast.platform import upstream_codec
from peridotmast.router import router as router_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import cloud as cloud_
from peridotmast.standin import engine as engine_
from peridotmast.standin import plain_service
from peridotmast.standin import store as store_
from peridotmast.standin import version_faults

_READY_MS = 10_000
_POLL_INTERVAL_MS = 20
_HOUR_MS = 3_600_000
FIRST_VERSION = 'v1'
"""Version of the upstreams that a fleet starts with."""
_RECLAIMABLE_PRICE_RATIO = 0.25
"""Price of a reclaimable engine relative to that of a firm one."""


class Fleet:
    """Fleet of stand-ins and routers in one process.

    Parameters
    ----------
    shape : shape.FleetShape, optional
        Size and settings of the fleet.
    seed : int
        Seed of the faults that the stand-ins inject.
    listen : str
        Address of the stand-in store; the other stand-ins use the ports that
        follow. With port 0, and by default, all of them use free ports.
    """

    def __init__(
        self,
        shape: ty.Optional[shape_.FleetShape] = None,
        seed: int = 0,
        listen: str = '',
    ) -> None:
        self.shape = shape or shape_.FleetShape()
        """Size and settings of the fleet."""
        self.clock = clock_.SystemClock()
        """Clock on which the fleet records times."""
        self._seed = seed
        self._upstream_numbers = itertools.count(1)
        self._ports = _next_ports(listen)
        self.store = store_.StoreStandin(next(self._ports), seed)
        """Stand-in for the platform's store."""
        self.links = links_.Links(self.shape.proxied)
        """Proxies on the links between the parts."""
        self.links.add_proxy(links_.LinkKind.STORE, self.store.address)
        self.cloud = cloud_.CloudStandin(
            self._on_order, next(self._ports), seed
        )
        """Stand-in for the platform's API."""
        self.domains = [f'fd-{n}' for n in range(1, self.shape.domains + 1)]
        """Names of the failure domains."""
        self.prices = {
            domain: 1.0 + 0.1 * number
            for number, domain in enumerate(self.domains)
        }
        """Price of a firm engine by failure domain."""
        self.instances: list[upstream_instance.UpstreamInstance] = []
        """All upstreams started so far, including stopped ones."""
        self.routers: list[router_.Router] = []
        """All routers started so far, including stopped ones."""
        self.exhausted_domains: set[str] = set()
        """Failure domains in which no reclaimable engine can be ordered."""
        self.on_crash: ty.Callable[
            [upstream_instance.UpstreamInstance], None
        ] = self.kill_upstream
        """Called to stop an upstream that a request has crashed."""
        self._hosts = loopback_hosts.LoopbackHosts()
        self.versions: collections.defaultdict[str, str] = (
            collections.defaultdict(lambda: FIRST_VERSION)
        )
        """Version of upstreams that are started, by service."""
        self.version_faults: dict[str, version_faults.VersionFault] = {}
        """How versions misbehave."""
        self._config_version = 0

    def start(self) -> None:
        """Start all parts and wait until the routers are ready."""
        self.write_config(self.shape.config)
        self.write_document(self.shape.document)
        for domain in self.domains:
            for _ in range(self.shape.engines):
                self.add_engine(domain)
        for domain in self.domains[: self.shape.services]:
            self.add_service(domain)
        for number in range(self.shape.routers):
            self.add_router(f'router-{number + 1}')
        self.wait_ready()

    def stop(self) -> None:
        """Stop all parts at once."""
        for router in self.routers:
            router.stop()
            self.links.close_proxies(router.chat_address)
        for instance in self.running_upstreams():
            self.kill_upstream(instance)
        self.links.close_proxies(self.store.address)
        self.store.stop()
        self.cloud.stop()

    def wait_ready(self) -> None:
        """Wait until all running routers are ready and know each other.

        Raises
        ------
        TimeoutError
            If they are not ready within the limit.
        """
        # Counts polls, not time, so that a paused process does not time out.
        for _ in range(0, _READY_MS, _POLL_INTERVAL_MS):
            if self._is_ready():
                return
            green.sleep_ms(_POLL_INTERVAL_MS)
        raise TimeoutError('the routers of the fleet did not become ready')

    def _is_ready(self) -> bool:
        return all(
            self._knows_all_routers(router)
            for router in self.running_routers()
        )

    def write_config(self, document: str) -> int:
        """Write the operators' configuration; return its version.

        The document is in INI format.

        Raises
        ------
        ValueError
            If the document is malformed.
        """
        config, found = ini.load_text(document, pb.Config)
        if found:
            raise ValueError(str(found))
        for service in config.services:
            if service.scaled and not service.domains:
                service.domains.extend(self.prices)
                service.prices.extend(self.prices.values())
        self._config_version += 3
        spec = config_codec.write_config(config, self._config_version)
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, spec)
        return self._config_version

    def write_document(self, document: str) -> int:
        """Write the product's own document; return its version."""
        return self.store.put(
            config_feed.KIND, config_feed.NAME, {'document': document}
        )

    def add_engine(
        self,
        domain: str,
        reclaimable: bool = False,
        service: str = shape_.ENGINE_SERVICE,
        version: str = '',
    ) -> upstream_instance.UpstreamInstance:
        """Start an engine and write its entry to the store."""
        name = f'engine-{next(self._upstream_numbers)}'
        engine = engine_.Engine(
            name, next(self._ports), self.shape.engine_profile, self._seed
        )
        return self.add_upstream(
            engine,
            domain,
            service,
            self.shape.engine_profile.batch_size,
            reclaimable,
            version,
        )

    def add_service(
        self,
        domain: str,
        service: str = shape_.PLAIN_SERVICE,
        version: str = '',
    ) -> upstream_instance.UpstreamInstance:
        """Start an upstream of a plain service and write its store entry."""
        name = f'service-{next(self._upstream_numbers)}'
        upstream = plain_service.PlainService(
            name, next(self._ports), seed=self._seed
        )
        return self.add_upstream(upstream, domain, service, 16, False, version)

    def add_upstream(
        self,
        upstream: ty.Any,
        domain: str,
        service: str,
        slots: int,
        reclaimable: bool = False,
        version: str = '',
    ) -> upstream_instance.UpstreamInstance:
        """Write the store entry of an upstream that has been started."""
        record = pb.UpstreamRecord(
            upstream=pb.Upstream(
                name=upstream.name,
                address=upstream.address,
                failure_domain=domain,
                service=service,
                slots=slots,
                born=self.clock.wall_time(),
                version=version or self.versions[service],
            ),
            state=pb.UPSTREAM_STATE_LIVE,
            reclaimable=reclaimable,
        )
        return self._add_instance(record, upstream)

    def running_upstreams(
        self, service: str = ''
    ) -> list[upstream_instance.UpstreamInstance]:
        """Return the running upstreams, of one service or of all."""
        return [
            instance
            for instance in self.instances
            if not instance.ended_ms
            and service in ('', instance.record.upstream.service)
        ]

    def cost(self) -> float:
        """Return the cost of the engines so far, in price x hours."""
        now = self.clock.now()
        return (
            sum(
                self._price(instance)
                * ((instance.ended_ms or now) - instance.started_ms)
                for instance in self.instances
                if instance.record.upstream.service == shape_.ENGINE_SERVICE
            )
            / _HOUR_MS
        )

    def caller(
        self, team: str, seed: int = 0, failure_domain: str = ''
    ) -> caller_.Caller:
        """Return a caller of the chat API with a team's key."""
        # If no router runs, the stopped ones restart at the same addresses.
        routers = self.running_routers() or self.routers
        addresses = [router.chat_address for router in routers]
        key = f'key-{team}'
        return self.links.caller(addresses, key, failure_domain, seed)

    def remove_entry(
        self, instance: upstream_instance.UpstreamInstance
    ) -> None:
        """Remove an upstream's entry from the store, as if it had expired."""
        self.store.delete(names.UPSTREAM_KIND, instance.name)

    def announce_leaving(
        self, instance: upstream_instance.UpstreamInstance
    ) -> None:
        """Make an upstream announce that it is leaving; it keeps serving."""
        instance.upstream.app.draining = True
        instance.upstream.app.states_leaving = True
        instance.record.state = pb.UPSTREAM_STATE_LEAVING
        self._write_entry(instance)

    def kill_upstream(
        self,
        instance: upstream_instance.UpstreamInstance,
        keep_entry: bool = False,
    ) -> None:
        """Stop an upstream abruptly, as if its VM were reclaimed."""
        if instance.ended_ms:
            return
        instance.ended_ms = self.clock.now()
        instance.upstream.stop()
        self.links.close_proxies(instance.upstream.address)
        if not keep_entry:
            self.remove_entry(instance)

    def restart_upstream(
        self, instance: upstream_instance.UpstreamInstance
    ) -> upstream_instance.UpstreamInstance:
        """Stop an upstream abruptly; restart it with its id and address."""
        self.kill_upstream(instance, keep_entry=True)
        record = pb.UpstreamRecord()
        record.CopyFrom(instance.record)
        record.upstream.born = max(
            record.upstream.born + 1, self.clock.wall_time()
        )
        return self._add_instance(record, instance.upstream.restarted())

    def reclaim(
        self, domain: str, notice_ms: int
    ) -> list[upstream_instance.UpstreamInstance]:
        """Reclaim the reclaimable engines of a failure domain, with notice."""
        reclaimed = [
            instance
            for instance in self.running_upstreams()
            if instance.record.upstream.failure_domain == domain
            and instance.record.reclaimable
        ]
        for instance in reclaimed:
            instance.upstream.app.leaves_at = self.clock.now() + notice_ms
            self.announce_leaving(instance)
            green.spawn_after_ms(notice_ms, self.kill_upstream, instance)
        return reclaimed

    def add_router(
        self, name: str, wait: bool = False, **settings: ty.Any
    ) -> router_.Router:
        """Start a router; with a name used before, as its next incarnation."""
        router = self._run(self.router_file(name, **settings))
        self.routers.append(router)
        self.links.add_proxy(links_.LinkKind.ROUTER, router.chat_address)
        if wait:
            self.wait_ready()
        return router

    def restart_router(self, router: ty.Any) -> None:
        """Restart a stopped router at its previous addresses."""
        self.add_router(
            router.cfg.name,
            listen=router.address,
            chat_listen=router.chat_address,
            peer_listen=router.peer_address,
            failure_domain=router.cfg.failure_domain,
        )

    def router_file(self, name: str, **settings: ty.Any) -> pb.RouterFile:
        """Return the settings for a new router."""
        number = len(self.routers)
        defaults = {
            'name': name,
            'failure_domain': self.domains[number % len(self.domains)],
            'seeds': [router.peer_address for router in self.routers],
        }
        return router_settings.make(
            self.shape,
            self._hosts.host_of(name),
            {**defaults, **self.shape.router, **settings},
            pb.PlatformSettings(
                objects=self.links.connect_address(self.store.address),
                cloud=self.cloud.address,
            ),
        )

    def running_routers(self) -> list[router_.Router]:
        """Return the running routers."""
        return [router for router in self.routers if router.is_running]

    def invariant_violations(self) -> int:
        """Return the number of invariant violations that routers detected."""
        return sum(router.invariants.violations for router in self.routers)

    def store_calls(self) -> int:
        """Return the number of calls to the store."""
        return sum(self.store.app.calls.values())

    def _run(self, file: pb.RouterFile) -> ty.Any:
        router = router_.Router(file)
        router.start()
        return router

    def _knows_all_routers(self, router: ty.Any) -> bool:
        """Return whether a router names all running routers to callers."""
        return len(router.members.serving()) >= len(self.running_routers())

    def _add_instance(
        self, record: pb.UpstreamRecord, upstream: ty.Any
    ) -> upstream_instance.UpstreamInstance:
        instance = upstream_instance.UpstreamInstance(record, upstream)
        instance.started_ms = self.clock.now()
        upstream.app.version_fault = self.version_faults.get(
            record.upstream.version, version_faults.GOOD
        )
        upstream.app.crash_body = self.shape.crash_body
        upstream.app.on_crash = lambda: self.on_crash(instance)
        self.instances.append(instance)
        self.links.add_proxy(links_.LinkKind.UPSTREAM, upstream.address)
        record.upstream.address = self.links.connect_address(upstream.address)
        self._write_entry(instance)
        return instance

    def _price(self, instance: upstream_instance.UpstreamInstance) -> float:
        price = self.prices[instance.record.upstream.failure_domain]
        return price * (
            _RECLAIMABLE_PRICE_RATIO if instance.record.reclaimable else 1
        )

    def _write_entry(
        self, instance: upstream_instance.UpstreamInstance
    ) -> None:
        self.store.put(
            names.UPSTREAM_KIND,
            instance.name,
            upstream_codec.write_upstream(instance.record),
        )

    def _on_order(
        self, service: str, domain: str, count: int, reclaimable: bool
    ) -> bool:
        """Carry out an order as the platform does; return whether it can."""
        live = [
            instance
            for instance in self.running_upstreams(service)
            if instance.record.upstream.failure_domain == domain
            and instance.record.reclaimable == reclaimable
            and instance.record.state == pb.UPSTREAM_STATE_LIVE
        ]
        missing = count - len(live)
        if missing > 0 and reclaimable and domain in self.exhausted_domains:
            return False
        for _ in range(missing):
            green.spawn_after_ms(
                self.shape.engine_profile.boot_ms,
                self.add_engine,
                domain,
                reclaimable,
                service,
            )
        for instance in live[count:]:
            self.announce_leaving(instance)
            green.spawn_after_ms(2000, self.kill_upstream, instance)
        return True


def _next_ports(listen: str) -> ty.Iterator[str]:
    host, _, port = (listen or '127.0.0.1:0').rpartition(':')
    if int(port) == 0:
        return itertools.repeat(f'{host}:0')
    return (f'{host}:{number}' for number in itertools.count(int(port)))

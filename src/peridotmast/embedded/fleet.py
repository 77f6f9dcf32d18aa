"""Stand-ins and routers in one process, on loopback."""

from __future__ import annotations

import itertools
import typing as ty

from peridotmast.client import caller as caller_
from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.embedded import guest as guest_
from peridotmast.embedded import links as links_
from peridotmast.embedded import router_settings
from peridotmast.embedded import shape as shape_
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

_READY_MS = 10_000
_POLL_INTERVAL_MS = 20
_HOUR_MS = 3_600_000
_RECLAIMABLE = 0.25
"""Price of a reclaimable engine as a part of a firm one's."""


class Fleet:
    """The embedded fleet.

    Parameters
    ----------
    shape : shape.FleetShape, optional
        Its size and settings.
    seed : int
        Seed of the stand-ins' faults.
    listen : str
        Address of the stand-in store; the others take the next ports. With
        port 0, and by default, all take free ones.
    """

    def __init__(
        self,
        shape: ty.Optional[shape_.FleetShape] = None,
        seed: int = 0,
        listen: str = '',
    ) -> None:
        self.shape = shape or shape_.FleetShape()
        """Its size and settings."""
        self.clock = clock_.SystemClock()
        """Clock of all parts."""
        self._seed = seed
        self._numbers = itertools.count(1)
        self._ports = _next_ports(listen)
        self.store = store_.StoreStandin(next(self._ports), seed)
        """Stand-in of the platform's store."""
        self.links = links_.Links(self.shape.proxied)
        """Proxies in front of the links."""
        self.links.front(links_.LinkKind.STORE, self.store.address)
        self.cloud = cloud_.CloudStandin(
            self._on_order, next(self._ports), seed
        )
        """Stand-in of the platform's API."""
        self.domains = [f'fd-{n}' for n in range(1, self.shape.domains + 1)]
        """Names of the failure domains."""
        self.prices = {
            domain: 1.0 + 0.1 * number
            for number, domain in enumerate(self.domains)
        }
        """Price of a firm engine by failure domain."""
        self.guests: list[guest_.Guest] = []
        """Upstreams, those that were stopped too."""
        self.routers: list[router_.Router] = []
        """Routers, those that were stopped or killed too."""
        self.dry: set[str] = set()
        """Failure domains that have no reclaimable engines to give."""
        self.on_crash: ty.Callable[[guest_.Guest], None] = self.lose
        """Called when a request crashes an upstream, to stop it."""
        self._version = 0

    def start(self) -> None:
        """Start everything and wait until it serves."""
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
        """Stop everything at once."""
        for router in self.routers:
            router.stop()
            self.links.cut(router.chat_address)
        for guest in self.running():
            self.lose(guest)
        self.links.cut(self.store.address)
        self.store.stop()
        self.cloud.stop()

    def wait_ready(self) -> None:
        """Wait until all routers take callers and hear each other.

        Raises
        ------
        TimeoutError
            If they don't in a generous time.
        """
        # Counts polls, not time, so that a paused process does not time out.
        for _ in range(0, _READY_MS, _POLL_INTERVAL_MS):
            if self._is_ready():
                return
            green.sleep_ms(_POLL_INTERVAL_MS)
        raise TimeoutError('the fleet does not come up')

    def _is_ready(self) -> bool:
        return all(self._sees_all(router) for router in self.serving())

    def write_config(self, document: str) -> int:
        """Write the operators' configuration, as an INI document.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        config, found = ini.load_text(document, pb.Config)
        if found:
            raise ValueError(str(found))
        for service in config.services:
            if service.scaled and not service.domains:
                service.domains.extend(self.prices)
                service.prices.extend(self.prices.values())
        self._version += 3
        spec = config_codec.write_config(config, self._version)
        self.store.put(names.CONFIG_KIND, names.CONFIG_NAME, spec)
        return self._version

    def write_document(self, document: str) -> int:
        """Write the product's own document; return its version."""
        return self.store.put(
            config_feed.KIND, config_feed.NAME, {'document': document}
        )

    def add_engine(
        self,
        domain: str,
        reclaimable: bool = False,
        service: str = shape_.ENGINES,
    ) -> guest_.Guest:
        """Start an engine and enter it in the store."""
        name = f'engine-{next(self._numbers)}'
        engine = engine_.Engine(
            name, next(self._ports), self.shape.times, self._seed
        )
        return self._enter(
            engine, domain, service, self.shape.times.batch, reclaimable
        )

    def add_service(
        self, domain: str, service: str = shape_.SERVICE
    ) -> guest_.Guest:
        """Start an upstream of a plain service and enter it in the store."""
        name = f'service-{next(self._numbers)}'
        upstream = plain_service.PlainService(
            name, next(self._ports), seed=self._seed
        )
        return self._enter(upstream, domain, service, 16, False)

    def running(self, service: str = '') -> list[guest_.Guest]:
        """Return the upstreams that run, of one service or all."""
        return [
            guest
            for guest in self.guests
            if not guest.ended_ms
            and service in ('', guest.record.upstream.service)
        ]

    def cost(self) -> float:
        """Return what the engines have cost so far, in price x hours."""
        now = self.clock.now()
        return (
            sum(
                self._price(guest) * ((guest.ended_ms or now) - guest.began_ms)
                for guest in self.guests
                if guest.record.upstream.service == shape_.ENGINES
            )
            / _HOUR_MS
        )

    def caller(
        self, team: str, seed: int = 0, failure_domain: str = ''
    ) -> caller_.Caller:
        """Return a caller of the chat API with a team's key."""
        # With none at the moment, the last ones come back at their addresses.
        routers = self.serving() or self.routers
        addresses = [router.chat_address for router in routers]
        key = f'key-{team}'
        return self.links.caller(addresses, key, failure_domain, seed)

    def drop_entry(self, guest: guest_.Guest) -> None:
        """Let an upstream's entry run out."""
        self.store.drop(names.UPSTREAM_KIND, guest.name)

    def announce_leaving(self, guest: guest_.Guest) -> None:
        """Let an upstream say that it leaves; it goes on serving."""
        guest.upstream.app.draining = True
        guest.record.state = pb.UPSTREAM_STATE_LEAVING
        self._write_entry(guest)

    def lose(self, guest: guest_.Guest, keep_entry: bool = False) -> None:
        """Take an upstream's VM away at once."""
        if guest.ended_ms:
            return
        guest.ended_ms = self.clock.now()
        guest.upstream.stop()
        self.links.cut(guest.upstream.address)
        if not keep_entry:
            self.drop_entry(guest)

    def begin_again(self, guest: guest_.Guest) -> guest_.Guest:
        """Let an upstream die and begin again under its id and address."""
        self.lose(guest, keep_entry=True)
        record = pb.UpstreamRecord()
        record.CopyFrom(guest.record)
        record.upstream.born = max(
            record.upstream.born + 1, self.clock.wall_time()
        )
        return self._admit(record, guest.upstream.again())

    def reclaim(self, domain: str, notice_ms: int) -> list[guest_.Guest]:
        """Take the reclaimable engines of a failure domain on notice."""
        taken = [
            guest
            for guest in self.running()
            if guest.record.upstream.failure_domain == domain
            and guest.record.reclaimable
        ]
        for guest in taken:
            guest.upstream.app.leaves_at = self.clock.now() + notice_ms
            self.announce_leaving(guest)
            green.spawn_after_ms(notice_ms, self.lose, guest)
        return taken

    def add_router(
        self, name: str, wait: bool = False, **settings: ty.Any
    ) -> router_.Router:
        """Start a router; one of the same name stands for its next run."""
        router = self._run(self.router_file(name, **settings))
        self.routers.append(router)
        self.links.front(links_.LinkKind.ROUTER, router.chat_address)
        if wait:
            self.wait_ready()
        return router

    def restart(self, router: ty.Any) -> None:
        """Start the next run of a router that ended, at its addresses."""
        self.add_router(
            router.cfg.name,
            listen=router.address,
            chat_listen=router.chat_address,
            peer_listen=router.peer_address,
            failure_domain=router.cfg.failure_domain,
        )

    def router_file(self, name: str, **settings: ty.Any) -> pb.RouterFile:
        """Return the settings of a router."""
        number = len(self.routers)
        usual = {
            'name': name,
            'failure_domain': self.domains[number % len(self.domains)],
            'seeds': [router.peer_address for router in self.routers],
        }
        return router_settings.make(
            self.shape,
            self._host_of(name),
            {**usual, **self.shape.router, **settings},
            pb.PlatformSettings(
                objects=self.links.via(self.store.address),
                cloud=self.cloud.address,
            ),
        )

    def serving(self) -> list[router_.Router]:
        """Return the routers that run."""
        return [router for router in self.routers if router.is_running]

    def broken_promises(self) -> int:
        """Return how often routers found a promise broken in themselves."""
        return sum(router.invariants.violations for router in self.routers)

    def store_calls(self) -> int:
        """Return the calls of the store by all routers."""
        return sum(self.store.app.calls.values())

    def _host_of(self, name: str) -> str:
        """Return the IP number that a router listens at."""
        return '127.0.0.1'

    def _run(self, file: pb.RouterFile) -> ty.Any:
        router = router_.Router(file)
        router.start()
        return router

    def _sees_all(self, router: ty.Any) -> bool:
        """Return whether one of the routers names all to callers."""
        return len(router.members.serving()) >= len(self.serving())

    def _enter(
        self,
        upstream: ty.Any,
        domain: str,
        service: str,
        slots: int,
        reclaimable: bool,
    ) -> guest_.Guest:
        record = pb.UpstreamRecord(
            upstream=pb.Upstream(
                name=upstream.name,
                address=upstream.address,
                failure_domain=domain,
                service=service,
                slots=slots,
                born=self.clock.wall_time(),
            ),
            state=pb.UPSTREAM_STATE_LIVE,
            reclaimable=reclaimable,
        )
        return self._admit(record, upstream)

    def _admit(
        self, record: pb.UpstreamRecord, upstream: ty.Any
    ) -> guest_.Guest:
        guest = guest_.Guest(record, upstream)
        guest.began_ms = self.clock.now()
        upstream.app.crash_body = self.shape.crash_body
        upstream.app.on_crash = lambda: self.on_crash(guest)
        self.guests.append(guest)
        self.links.front(links_.LinkKind.UPSTREAM, upstream.address)
        record.upstream.address = self.links.via(upstream.address)
        self._write_entry(guest)
        return guest

    def _price(self, guest: guest_.Guest) -> float:
        price = self.prices[guest.record.upstream.failure_domain]
        return price * (_RECLAIMABLE if guest.record.reclaimable else 1)

    def _write_entry(self, guest: guest_.Guest) -> None:
        self.store.put(
            names.UPSTREAM_KIND,
            guest.name,
            upstream_codec.write_upstream(guest.record),
        )

    def _on_order(
        self, service: str, domain: str, count: int, reclaimable: bool
    ) -> bool:
        """Do what the platform does with an order."""
        there = [
            guest
            for guest in self.running(service)
            if guest.record.upstream.failure_domain == domain
            and guest.record.reclaimable == reclaimable
            and guest.record.state == pb.UPSTREAM_STATE_LIVE
        ]
        missing = count - len(there)
        if missing > 0 and reclaimable and domain in self.dry:
            return False
        for _ in range(missing):
            green.spawn_after_ms(
                self.shape.times.boot_ms,
                self.add_engine,
                domain,
                reclaimable,
                service,
            )
        for guest in there[count:]:
            self.announce_leaving(guest)
            green.spawn_after_ms(2000, self.lose, guest)
        return True


def _next_ports(listen: str) -> ty.Iterator[str]:
    host, _, port = (listen or '127.0.0.1:0').rpartition(':')
    if int(port) == 0:
        return itertools.repeat(f'{host}:0')
    return (f'{host}:{number}' for number in itertools.count(int(port)))

"""Stand-ins, routers and a controller in one process, on loopback."""

from __future__ import annotations

import dataclasses
import itertools
import typing as ty

from peridotmast import client as client_
from peridotmast import clock as clock_
from peridotmast.controller import controller as controller_
from peridotmast.coordination import config_feed
from peridotmast import green
from peridotmast import ini
from peridotmast.platform import object_store
from peridotmast.router import router as router_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import cloud_api
from peridotmast.standin import engine as engine_
from peridotmast.standin import object_api
from peridotmast.standin import plain_service
from peridotmast.standin import weight_store

CONFIG = """\
[team kalnins]
rate = 500
burst = 500
weight = 2

[team noor]
rate = 500
burst = 500

[model draft-7b]
adapters = letters, schedules
max_tokens = 4096
"""
_READY_MS = 10_000


@dataclasses.dataclass
class FleetShape:
    """How large the fleet is and how its parts are set."""

    routers: int = 3
    domains: int = 4
    engines: int = 1
    services: int = 2
    controllers: int = 1
    times: engine_.EngineTimes = dataclasses.field(
        default_factory=engine_.EngineTimes
    )
    config: str = CONFIG
    router: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Settings of the routers that differ from the defaults."""
    controller: dict[str, ty.Any] = dataclasses.field(default_factory=dict)
    """Settings of the controllers that differ from the defaults."""
    checks_fencing: bool = True
    boot_ms: int = 300
    trace_file: str = ''
    weights_per_second: float = 32e9


class Fleet:
    """The embedded fleet.

    Parameters
    ----------
    shape : FleetShape
        Its size and settings.
    seed : int
        Seed of the stand-ins' faults.
    listen : str
        Address of the object API; cloud API and weight store take the
        next ports. By default all take free ones.
    """

    def __init__(
        self,
        shape: ty.Optional[FleetShape] = None,
        seed: int = 0,
        listen: str = '',
    ) -> None:
        self.shape = shape or FleetShape()
        """Its size and settings."""
        self.clock = clock_.SystemClock()
        """Clock of all parts."""
        self._seed = seed
        self._names = itertools.count(1)
        platform = _next_ports(listen)
        self.objects = object_api.ObjectApi(next(platform), seed=seed)
        """Stand-in of the object API."""
        self.domains = [f'fd-{n}' for n in range(1, self.shape.domains + 1)]
        """Names of the failure domains."""
        prices = {
            domain: 1.0 + 0.1 * number
            for number, domain in enumerate(self.domains)
        }
        self.cloud = cloud_api.CloudApi(
            self._boot, prices, next(platform), self.shape.boot_ms
        )
        """Stand-in of the cloud API."""
        self.weights = weight_store.WeightStore(
            next(platform), self.shape.weights_per_second
        )
        """Stand-in of the weight store."""
        self.routers: list[router_.Router] = []
        """Routers that run, and those that were stopped or killed."""
        self.controllers: list[controller_.Controller] = []
        """Controllers."""
        self.store = object_store.ObjectStore(
            self.objects.server.address, 1500, self.clock
        )
        """The platform's objects, as a tool sees them."""

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.commit(self.shape.config)
        for domain in self.domains:
            for _ in range(self.shape.engines):
                self.add_engine(domain)
        for domain in self.domains[: self.shape.services]:
            self.add_service(domain, 'booking')
        for number in range(self.shape.controllers):
            self.add_controller(f'controller-{number + 1}')
        for number in range(self.shape.routers):
            self.add_router(f'router-{number + 1}')
        self.wait_ready()

    def stop(self) -> None:
        """Stop everything at once."""
        for controller in self.controllers:
            controller.stop()
        for router in self.routers:
            router.kill()
        self.cloud.stop()
        self.objects.stop()
        self.weights.stop()

    def commit(self, document: str) -> None:
        """Write a configuration straight to the platform."""
        value = pb.ConfigObject(document=document, by='fleet')
        current = self.store.get(config_feed.CONFIG_KEY)
        assert isinstance(current, object_store.Stored)
        self.store.put(
            config_feed.CONFIG_KEY,
            value.SerializeToString(),
            current.version,
        )

    def add_engine(
        self, domain: str, reclaimable: bool = True, at_once: bool = True
    ) -> cloud_api.Vm:
        """Order a VM with an engine."""
        price = self.cloud.prices[domain]
        vm = cloud_api.Vm(
            f'vm-{next(self._names)}',
            domain,
            reclaimable,
            'engine',
            price if reclaimable else price * self.cloud.on_demand_factor,
            slots=self.shape.times.batch,
        )
        return self.cloud.create(vm, at_once)

    def add_service(self, domain: str, service: str) -> cloud_api.Vm:
        """Order a VM with a plain service."""
        name = f'vm-{next(self._names)}'
        vm = cloud_api.Vm(name, domain, False, 'service', 1.0, service, 64)
        return self.cloud.create(vm, at_once=True)

    def add_router(
        self, name: str, domain: str = '', address: str = '127.0.0.1:0'
    ) -> router_.Router:
        """Start a router."""
        number = len(self.routers)
        router = router_.Router(
            pb.RouterFile(
                router=ini.defaults(
                    pb.RouterSettings,
                    **{
                        'name': name,
                        'listen': address,
                        'peer_listen': '127.0.0.1:0',
                        'failure_domain': domain
                        or self.domains[number % len(self.domains)],
                        **self.shape.router,
                    },
                ),
                platform=self.platform_settings(),
                telemetry=pb.TelemetrySettings(
                    trace_file=self.shape.trace_file
                ),
            )
        )
        self.routers.append(router)
        router.start()
        return router

    def add_controller(self, name: str) -> controller_.Controller:
        """Start a controller."""
        settings = ini.defaults(
            pb.ControllerSettings, name=name, **self.shape.controller
        )
        controller = controller_.Controller(
            pb.ControllerFile(
                controller=settings, platform=self.platform_settings()
            )
        )
        self.controllers.append(controller)
        controller.start()
        return controller

    def platform_settings(self) -> pb.PlatformSettings:
        """Return the settings by which programs find the stand-ins."""
        return ini.defaults(
            pb.PlatformSettings,
            objects=self.objects.server.address,
            cloud=self.cloud.server.address,
            weights=self.weights.server.address,
        )

    def client(
        self, team: str = 'kalnins', seed: ty.Optional[int] = None
    ) -> client_.Client:
        """Return a caller that knows the routers' addresses."""
        addresses = [router.address for router in self.routers]
        return client_.Client(addresses, team, clock=self.clock, seed=seed)

    def guests(self, kind: str) -> list[ty.Any]:
        """Return the engines or services on VMs, gone ones too."""
        return [
            vm.guest
            for vm in self.cloud.vms.values()
            if vm.kind == kind and vm.guest is not None
        ]

    def engines(self) -> list[engine_.Engine]:
        """Return all engines ever."""
        return [
            guest
            for guest in self.guests('engine')
            if isinstance(guest, engine_.Engine)
        ]

    def services(self) -> list[plain_service.PlainService]:
        """Return all services ever."""
        return self.guests('service')

    def wait_until(
        self, condition: ty.Callable[[], ty.Any], limit_ms: int = _READY_MS
    ) -> bool:
        """Wait for `condition`; say whether it came true in time."""
        deadline = self.clock.now() + limit_ms
        while not condition():
            if self.clock.now() > deadline:
                return False
            green.sleep_ms(5)
        return True

    def wait_ready(self) -> None:
        """Wait until all routers know each other and the upstreams.

        Raises
        ------
        RuntimeError
            If they don't within 10 s.
        """
        vms = [v for v in self.cloud.vms.values() if v.address]

        def ready() -> bool:
            return all(
                len(router.members.serving()) >= len(self.routers)
                and router.feed.version
                and sum(
                    view.record.state == pb.UPSTREAM_STATE_LIVE
                    for view in router.table.all()
                )
                >= len(vms)
                for router in self.routers
            )

        if not self.wait_until(ready):
            raise RuntimeError('the fleet did not get ready')

    def _boot(self, vm: cloud_api.Vm) -> ty.Any:
        if vm.kind == 'service':
            return plain_service.PlainService(vm.name)
        managed = '.g' in vm.name
        return engine_.Engine(
            vm.name,
            times=self.shape.times,
            checks_fencing=self.shape.checks_fencing,
            weights=self.weights.server.address,
            models=() if managed else ('*',),
            seed=self._seed,
        )


def _next_ports(listen: str) -> ty.Iterator[str]:
    """Return addresses from `listen` on; any free ports with port 0."""
    host, _, port = (listen or '127.0.0.1:0').rpartition(':')
    if port == '0':
        return itertools.repeat(f'{host}:0')
    return (f'{host}:{number}' for number in itertools.count(int(port)))


def recomputed_tokens(fleet: Fleet) -> int:
    """Return the tokens that the engines computed again."""
    return sum(engine.totals['recomputed'] for engine in fleet.engines())

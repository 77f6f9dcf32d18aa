"""Faults on a timetable, brought about in an embedded fleet."""

from __future__ import annotations

import collections
import enum
import itertools
import random
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import cloud_api


class FaultKind(enum.Enum):
    """What can be made to go wrong."""

    RECLAIM_DOMAIN = 'reclaim_domain'
    RECLAIM_VM = 'reclaim_vm'
    KILL_VM = 'kill_vm'
    KILL_ROUTER = 'kill_router'
    DRAIN_ROUTER = 'drain_router'
    MUTE_CONNECTIONS = 'mute_connections'
    HANG_ENGINE = 'hang_engine'
    PLATFORM_OUTAGE = 'platform_outage'
    PLATFORM_SLOW = 'platform_slow'
    LOST_REPLIES = 'lost_replies'
    CLOUD_OUTAGE = 'cloud_outage'
    OPERATOR_RACE = 'operator_race'


_WEIGHTS = {
    FaultKind.RECLAIM_DOMAIN: 2,
    FaultKind.RECLAIM_VM: 2,
}


def draw(seconds: float, seed: int, share: float = 0.85) -> list[pb.Fault]:
    """Return a timetable on which every kind of fault comes at least once.

    Parameters
    ----------
    share : float
        Part of the time in which faults come; the rest is for recovery.
    """
    draws = random.Random(f'faults|{seed}')
    kinds = [kind for kind in FaultKind for _ in range(_WEIGHTS.get(kind, 1))]
    extra = draws.choices(list(FaultKind), k=int(seconds // 8))
    timetable = [
        pb.Fault(
            name=f'f{number}',
            kind=kind.value,
            at=round(draws.uniform(1.0, seconds * share), 3),
            for_ms=draws.randint(600, 2000),
            target=draws.randrange(64),
        )
        for number, kind in enumerate([*kinds, *extra])
    ]
    return sorted(timetable, key=lambda fault: fault.at)


class FaultDriver:
    """Brings faults about and replaces what they take.

    Parameters
    ----------
    fleet : fleet.Fleet
        Where.
    replace_ms : int
        Time from the loss of a VM or router to its replacement.
    """

    def __init__(self, fleet: fleet_.Fleet, replace_ms: int) -> None:
        self._fleet = fleet
        self._replace_ms = replace_ms
        self._names = itertools.count(len(fleet.routers) + 1)
        self._tasks: list[ty.Any] = []
        self.counts: collections.Counter[str] = collections.Counter()
        """Faults brought about, by kind."""
        self.noticed: dict[str, int] = {}
        """When VMs got notice, in ms of the fleet's clock."""
        self.drained: set[str] = set()
        """Routers that were stopped as planned."""
        self.killed: set[str] = set()
        """Routers that were killed."""
        self.races_lost = 0
        """Operators who were told of a conflict."""

    def run(self, timetable: ty.Iterable[pb.Fault]) -> None:
        """Bring the faults about, each at its time from now."""
        began = self._fleet.clock.now()
        for fault in timetable:
            wait = began + fault.at * 1000 - self._fleet.clock.now()
            green.sleep_ms(max(0, wait))
            self._tasks.append(green.spawn(self.bring, fault))

    def wait(self) -> None:
        """Wait until all faults are over and all losses replaced."""
        for task in self._tasks:
            task.wait()

    def bring(self, fault: pb.Fault) -> None:
        """Bring one fault about and wait until it is over."""
        kind = FaultKind(fault.kind)
        self.counts[kind.value] += 1
        getattr(self, '_' + kind.value)(fault)

    # ------------------------------------------------------------- upstreams

    def _reclaim_domain(self, fault: pb.Fault) -> None:
        domains = self._fleet.domains
        domain = domains[fault.target % len(domains)]
        names = self._fleet.cloud.in_domain(domain, 'engine')
        self._reclaim(names, fault.for_ms)

    def _reclaim_vm(self, fault: pb.Fault) -> None:
        vm = self._pick_vm(fault.target)
        if vm is not None:
            self._reclaim([vm.name], fault.for_ms)

    def _reclaim(self, names: list[str], notice_ms: int) -> None:
        taken = self._fleet.cloud.reclaim(names, notice_ms)
        now = self._fleet.clock.now()
        self.noticed.update(dict.fromkeys(taken, now))
        self._replace_vms(taken)

    def _kill_vm(self, fault: pb.Fault) -> None:
        vm = self._pick_vm(fault.target)
        if vm is not None:
            self._fleet.cloud.kill(vm.name)
            self._replace_vms([vm.name])

    def _mute_connections(self, fault: pb.Fault) -> None:
        vm = self._pick_vm(fault.target)
        if vm is not None:
            ty.cast(ty.Any, vm.guest).mute()

    def _hang_engine(self, fault: pb.Fault) -> None:
        vm = self._pick_vm(fault.target)
        if vm is not None:
            app = ty.cast(ty.Any, vm.guest).app
            app.set_faults(fault.for_ms, hang=0.7)
            green.sleep_ms(fault.for_ms)

    def _pick_vm(self, target: int) -> ty.Optional[cloud_api.Vm]:
        live = [
            vm
            for vm in self._fleet.cloud.vms.values()
            if vm.kind == 'engine' and vm.state is cloud_api.VmState.LIVE
        ]
        return live[target % len(live)] if len(live) > 1 else None

    def _replace_vms(self, names: ty.Iterable[str]) -> None:
        green.sleep_ms(self._replace_ms)
        for name in names:
            domain = self._fleet.cloud.vms[name].failure_domain
            self._fleet.add_engine(domain)

    # --------------------------------------------------------------- routers

    def _kill_router(self, fault: pb.Fault) -> None:
        router = self._pick_router(fault.target)
        if router is not None:
            self.killed.add(router.cfg.name)
            router.kill()
            self._replace_router(router.cfg.failure_domain)

    def _drain_router(self, fault: pb.Fault) -> None:
        router = self._pick_router(fault.target)
        if router is not None:
            self.drained.add(router.cfg.name)
            router.drain()
            router.stop()
            self._replace_router(router.cfg.failure_domain)

    def _pick_router(self, target: int) -> ty.Any:
        gone = self.drained | self.killed
        live = [r for r in self._fleet.routers if r.cfg.name not in gone]
        return live[target % len(live)] if len(live) > 2 else None

    def _replace_router(self, domain: str) -> None:
        green.sleep_ms(self._replace_ms)
        self._fleet.add_router(f'router-{next(self._names)}', domain)

    # -------------------------------------------------------------- platform

    def _platform_outage(self, fault: pb.Fault) -> None:
        self._platform(fault, outage=1.0)

    def _platform_slow(self, fault: pb.Fault) -> None:
        self._platform(fault, slow_ms=400)

    def _lost_replies(self, fault: pb.Fault) -> None:
        self._platform(fault, lose_reply=0.5)

    def _platform(self, fault: pb.Fault, **faults: float) -> None:
        self._fleet.objects.app.set_faults(fault.for_ms, **faults)
        green.sleep_ms(fault.for_ms)

    def _cloud_outage(self, fault: pb.Fault) -> None:
        self._fleet.cloud.app.set_faults(fault.for_ms, outage=1.0)
        green.sleep_ms(fault.for_ms)

    def _operator_race(self, fault: pb.Fault) -> None:
        """Two operators commit from one base; one must be told so."""
        gone = self.drained | self.killed
        live = [r for r in self._fleet.routers if r.cfg.name not in gone]
        first, second = live[0], live[-1]
        base = max(first.feed.version, second.feed.version)
        document = self._fleet.shape.config

        def commit(router: ty.Any, name: str) -> ty.Any:
            text = f'{document}\n# by {name} in {fault.name}\n'
            return router.feed.commit(text, base, name, fault.name, 0)

        tasks = [
            green.spawn(commit, first, 'one'),
            green.spawn(commit, second, 'two'),
        ]
        results = [task.wait() for task in tasks]
        self.races_lost += sum(
            isinstance(result, failures.Failure)
            and result.kind is failures.FailureKind.CONFLICT
            for result in results
        )

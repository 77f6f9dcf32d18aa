"""How soon changes of configuration are in force, and that none reverts."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_

_WORST_CALM_MS = 2000
_LIMIT_MS = 12_000
_PAUSE_MS = 120
_OUTAGE_MS = 1500
_LOOK_MS = 5


class ConfigRun:
    """Writes changes to the platform and times each at every router."""

    def __init__(self, nodes: int, changes: int, seed: int) -> None:
        self._changes = changes
        self._draws = random.Random(seed)
        self._fleet = fleet_.Fleet(
            shape_.FleetShape(routers=nodes, services=1), seed
        )
        self._calm_ms: list[float] = []
        self._faulty_ms: list[float] = []
        self._not_everywhere = 0
        self._histories: dict[str, list[tuple[int, int]]] = {}

    def run(self, progress: driver_.Progress) -> dict[str, ty.Any]:
        """Run all changes, the last third with faults."""
        self._fleet.start()
        for router in self._fleet.routers:
            self._follow(router)
        calm = self._changes * 2 // 3
        for number in range(self._changes):
            if number == calm:
                green.spawn(self._faults)
            progress(f'change {number + 1} of {self._changes}')
            times = self._calm_ms if number < calm else self._faulty_ms
            self._change(times)
            green.sleep_ms(_PAUSE_MS)
        self._fleet.stop()
        return {
            'nodes': len(self._fleet.routers),
            'changes': self._changes,
            'calm_ms': _figures(self._calm_ms),
            'faulty_ms': _figures(self._faulty_ms),
            'not_in_force_everywhere': self._not_everywhere,
            'reversals': sum(map(_reverts, self._histories.values())),
        }

    def _follow(self, router: ty.Any) -> None:
        run = f'{router.cfg.name}.{router.members.me.incarnation}'
        history = self._histories.setdefault(run, [])
        feed = router.config
        feed.subscribe(
            lambda _: history.append(
                (feed.routes.version, feed.product.version)
            )
        )

    def _change(self, times: list[float]) -> None:
        fleet = self._fleet
        began = fleet.clock.now()
        version = fleet.write_config(fleet.shape.config)
        while fleet.clock.now() - began < _LIMIT_MS:
            running = fleet.running_routers()
            if all(r.config.routes.version >= version for r in running):
                times.append(fleet.clock.now() - began)
                return
            green.sleep_ms(_LOOK_MS)
        self._not_everywhere += 1

    def _faults(self) -> None:
        """An outage, a restart in it, a compaction, a peer that is behind."""
        fleet = self._fleet
        fleet.store.app.set_faults(_OUTAGE_MS, outage=1.0)
        victim = self._draws.choice(fleet.running_routers())
        victim.stop()
        self._follow(fleet.add_router(victim.cfg.name))
        green.sleep_ms(_OUTAGE_MS)
        fleet.store.compact()
        fleet.routers[0].config.offer_routes({'version': 1}, 'a stale peer')


def run(
    nodes: int,
    changes: int,
    seed: int,
    folder: str,
    progress: driver_.Progress,
) -> list[str]:
    """Run, write the report, and return what fell short."""
    report = ConfigRun(nodes, changes, seed).run(progress)
    report_.write(folder, report)
    found = []
    if report['reversals'] or report['not_in_force_everywhere']:
        found.append('a version reverted or was not in force everywhere')
    if report['calm_ms']['worst'] > _WORST_CALM_MS:
        found.append(f'worst in calm {report["calm_ms"]["worst"]} ms')
    return found


def _reverts(history: list[tuple[int, int]]) -> bool:
    """Return whether either part of the configuration ever went back."""
    return any(
        list(versions) != sorted(versions) for versions in zip(*history)
    )


def _figures(times: list[float]) -> dict[str, float]:
    return {**report_.percentiles(times), 'worst': max(times, default=0.0)}

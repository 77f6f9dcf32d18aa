"""Time until configuration changes are in force, and a check for reversals."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_

_MAX_MS_WITHOUT_FAULTS = 2000
"""Maximum time until a change is in force everywhere, without faults."""
_TIMEOUT_MS = 12_000
"""Time after which a change counts as not in force everywhere."""
_CHANGE_INTERVAL_MS = 120
_OUTAGE_MS = 1500
_POLL_INTERVAL_MS = 5


class ConfigRun:
    """Writes changes to the store and measures their time to all routers."""

    def __init__(self, nodes: int, changes: int, seed: int) -> None:
        self._changes = changes
        self._rng = random.Random(seed)
        self._fleet = fleet_.Fleet(
            shape_.FleetShape(routers=nodes, services=1), seed
        )
        self._ms_without_faults: list[float] = []
        self._ms_with_faults: list[float] = []
        self._not_everywhere = 0
        self._histories: dict[str, list[tuple[int, int]]] = {}

    def run(self, progress: driver_.Progress) -> dict[str, ty.Any]:
        """Make all changes, the last third of them during faults."""
        self._fleet.start()
        for router in self._fleet.routers:
            self._record_versions(router)
        changes_without_faults = self._changes * 2 // 3
        for number in range(self._changes):
            if number == changes_without_faults:
                green.spawn(self._inject_faults)
            progress(f'change {number + 1} of {self._changes}')
            times = (
                self._ms_without_faults
                if number < changes_without_faults
                else self._ms_with_faults
            )
            self._measure_change(times)
            green.sleep_ms(_CHANGE_INTERVAL_MS)
        self._fleet.stop()
        return {
            'nodes': len(self._fleet.routers),
            'changes': self._changes,
            'calm_ms': _summarize(self._ms_without_faults),
            'faulty_ms': _summarize(self._ms_with_faults),
            'not_in_force_everywhere': self._not_everywhere,
            'reversals': sum(map(_has_reversal, self._histories.values())),
        }

    def _record_versions(self, router: ty.Any) -> None:
        run = f'{router.cfg.name}.{router.members.me.incarnation}'
        history = self._histories.setdefault(run, [])
        feed = router.config
        feed.subscribe(
            lambda _: history.append(
                (feed.routes.version, feed.product.version)
            )
        )

    def _measure_change(self, times: list[float]) -> None:
        fleet = self._fleet
        began = fleet.clock.now()
        version = fleet.write_config(fleet.shape.config)
        while fleet.clock.now() - began < _TIMEOUT_MS:
            running = fleet.running_routers()
            if all(r.config.routes.version >= version for r in running):
                times.append(fleet.clock.now() - began)
                return
            green.sleep_ms(_POLL_INTERVAL_MS)
        self._not_everywhere += 1

    def _inject_faults(self) -> None:
        """Inject a store outage, a restart, a compaction and a stale peer.

        The router restarts during the outage.
        """
        fleet = self._fleet
        fleet.store.app.set_faults(_OUTAGE_MS, outage=1.0)
        victim = self._rng.choice(fleet.running_routers())
        victim.stop()
        self._record_versions(fleet.add_router(victim.cfg.name))
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
    """Run, write the report, and return the violated limits."""
    report = ConfigRun(nodes, changes, seed).run(progress)
    report_.write(folder, report)
    violations = []
    if report['reversals'] or report['not_in_force_everywhere']:
        violations.append('a version reverted or was not in force everywhere')
    if report['calm_ms']['worst'] > _MAX_MS_WITHOUT_FAULTS:
        violations.append(
            f'worst time without faults: {report["calm_ms"]["worst"]} ms'
        )
    return violations


def _has_reversal(history: list[tuple[int, int]]) -> bool:
    """Return whether the version of either configuration part decreased."""
    return any(
        list(versions) != sorted(versions) for versions in zip(*history)
    )


def _summarize(times: list[float]) -> dict[str, float]:
    return {**report_.percentiles(times), 'worst': max(times, default=0.0)}

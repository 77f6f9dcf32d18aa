"""How soon changes of configuration are in force, and that none reverts."""

from __future__ import annotations

import random
import typing as ty

from peridotmast.coordination import config_feed
from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_
from peridotmast.router import router as router_

_WORST_CALM_MS = 2000
_LIMIT_MS = 12_000
_PAUSE_MS = 120
_OUTAGE_MS = 1500


class ConfigRun:
    """Commits changes at random routers and times each at every router."""

    def __init__(self, nodes: int, changes: int, seed: int) -> None:
        self._changes = changes
        self._draws = random.Random(seed)
        self._fleet = fleet_.Fleet(
            fleet_.FleetShape(
                routers=nodes, engines=0, services=0, controllers=0
            ),
            seed,
        )
        self._committed: list[int] = []
        self._calm_ms: list[float] = []
        self._faulty_ms: list[float] = []
        self._not_everywhere = 0
        self._refused = 0
        self._histories: dict[str, list[int]] = {}

    def run(self, progress: driver_.Progress) -> dict[str, ty.Any]:
        """Run all changes, the last third with faults."""
        self._fleet.start()
        calm = self._changes * 2 // 3
        for number in range(self._changes):
            if number == calm:
                green.spawn(self._faults)
            progress(f'change {number + 1} of {self._changes}')
            self._change(number, self._calm_ms if number < calm
                         else self._faulty_ms)  # fmt: skip
            green.sleep_ms(_PAUSE_MS)
        self._note_histories()
        reversals = sum(
            history != sorted(set(history))
            for history in self._histories.values()
        )
        self._fleet.stop()
        return {
            'nodes': len(self._fleet.routers),
            'committed': len(self._committed),
            'refused_in_outage': self._refused,
            'not_in_force_everywhere': self._not_everywhere,
            'reversals': reversals,
            'calm_ms': {
                **report_.percentiles(self._calm_ms),
                'worst': max(self._calm_ms, default=0),
            },
            'faulty_ms': {
                **report_.percentiles(self._faulty_ms),
                'worst': max(self._faulty_ms, default=0),
            },
            'platform_calls': dict(self._fleet.objects.counts),
        }

    def _change(self, number: int, times: list[float]) -> None:
        router = self._draws.choice(self._live())
        document = f'{fleet_.CONFIG}\n# change {number}\n'
        result = router.feed.commit(
            document, router.feed.version, 'load', '', number
        )
        if isinstance(result, failures.Failure):
            self._refused += 1
            return
        router._spread(router._knowledge.versions())
        began = self._fleet.clock.now()
        self._committed.append(result.version)
        if self._fleet.wait_until(
            lambda: all(
                r.feed.version >= result.version for r in self._live()
            ),
            _LIMIT_MS,
        ):
            times.append(self._fleet.clock.now() - began)
        else:
            self._not_everywhere += 1

    def _faults(self) -> None:
        """An outage, a restart and a stale peer, one upon the other."""
        self._stale_peer()
        self._fleet.objects.app.set_faults(_OUTAGE_MS, outage=1.0)
        green.sleep_ms(_OUTAGE_MS // 2)
        old = self._fleet.routers[-1]
        self._histories[f'{old.cfg.name} before'] = list(old.feed.history)
        old.kill()
        self._fleet.routers.remove(old)
        seeds = [self._fleet.routers[0].peer_address]
        self._fleet.shape.router['seeds'] = seeds
        self._fleet.add_router(old.cfg.name)
        green.sleep_ms(_OUTAGE_MS)
        self._stale_peer()

    def _stale_peer(self) -> None:
        """Offer an old version to every router, as a stale peer does."""
        old = self._fleet.store.get(config_feed.CONFIG_KEY)
        if isinstance(old, failures.Failure) or old.value is None:
            return
        for router in self._live():
            router.feed.offer(self._committed[0], old.value)

    def _live(self) -> list[router_.Router]:
        return [r for r in self._fleet.routers if r.feed.version]

    def _note_histories(self) -> None:
        for router in self._fleet.routers:
            self._histories[router.cfg.name] = list(router.feed.history)


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

"""Hand-over of the lease on duties, and orders of stale holders."""

from __future__ import annotations

import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import outage as outage_
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_
from peridotmast.platform import cloud_api
from peridotmast.platform import store as store_
from peridotmast.standin import cloud as cloud_
from peridotmast.standin import store as store_standin

_LENGTH_MS = 90
_GUARD_MS = 25
_ATTEMPT_MS = 10
_TRIAL_LIMIT_MS = 3000


class LeaseTrial:
    """Two contenders; the holder is killed, paused or cut off."""

    def __init__(self, draws: random.Random, number: int) -> None:
        self._draws = draws
        self._clock = clock_.SystemClock()
        self._store = store_standin.StoreStandin(seed=number)
        self._cloud = cloud_.CloudStandin(lambda *order: True, seed=number)
        self._leases = [self._contender(f'c{n}') for n in range(2)]
        self._how = draws.choice(('kill', 'pause', 'lost_reply', 'slow'))

    def run(self) -> tuple[float, int]:
        """Return the hand-over time in ms, and stale orders carried out."""
        first, second = self._leases
        first.attempt()
        holding = green.spawn(self._hold, first)
        contending = green.spawn(self._hold, second)
        green.sleep_ms(self._draws.uniform(20, 120))
        self._break(holding)
        lost_at = self._clock.now()
        while not second.may_act():
            green.sleep_ms(2)
            if self._clock.now() - lost_at > _TRIAL_LIMIT_MS:
                break
        took = self._clock.now() - lost_at
        # A pause ends here: the old holder finishes what it had begun.
        self._order(first)
        green.sleep_ms(20)
        for task in (holding, contending):
            task.kill()
        stale = self._stale_orders()
        self._store.stop()
        self._cloud.stop()
        return took, stale

    def _contender(self, name: str) -> lease_.Lease:
        return lease_.Lease(
            store_.PlatformStore(
                self._store.address, 60, outage_.OutageTracker(self._clock, 0)
            ),
            'trial',
            name,
            f'{name}.1',
            _LENGTH_MS,
            _GUARD_MS,
            self._clock,
        )

    def _hold(self, lease: lease_.Lease) -> None:
        while True:
            lease.attempt()
            self._order(lease)
            green.sleep_ms(_ATTEMPT_MS)

    def _order(self, lease: lease_.Lease) -> None:
        """Give an order where the lease allows it, as its holder does."""
        if lease.may_act():
            cloud = cloud_api.PlatformCloud(self._cloud.address, 60, 'trial')
            cloud.order('service', 'fd-1', 1, False, lease.fencing)

    def _break(self, holding: ty.Any) -> None:
        if self._how == 'lost_reply':
            self._store.app.set_faults(40, lose_reply=0.7)
        elif self._how == 'slow':
            self._store.app.set_faults(60, slow_ms=30)
        holding.kill()

    def _stale_orders(self) -> int:
        """Return orders that came after one with a higher number."""
        highest = 0
        stale = 0
        for order in self._cloud.orders:
            stale += order.fencing < highest
            highest = max(highest, order.fencing)
        return stale


def run(
    trials: int, seed: int, folder: str, progress: driver_.Progress
) -> list[str]:
    """Run the trials and write the report."""
    draws = random.Random(seed)
    times = []
    stale = 0
    for number in range(trials):
        progress(f'{number + 1} of {trials}')
        took, late = LeaseTrial(draws, number).run()
        times.append(took)
        stale += late
    report_.write(
        folder,
        {
            'lease_ms': _LENGTH_MS,
            'trials': trials,
            'hand_over_ms': report_.percentiles(times),
            'stale_orders': stale,
        },
    )
    return ['stale orders'] if stale else []

"""Hand-over of the controller's lease, and orders of stale holders."""

from __future__ import annotations

import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import lease as lease_
from peridotmast import green
from peridotmast import http_client
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_
from peridotmast.platform import object_store
from peridotmast.standin import engine as engine_
from peridotmast.standin import object_api

_LENGTH_MS = 90
_GUARD_MS = 25
_ATTEMPT_MS = 10
_TRIAL_LIMIT_MS = 3000


class LeaseTrial:
    """Two contenders; the holder is killed, paused or cut off.

    Parameters
    ----------
    checks : bool
        Whether the upstream checks fencing numbers.
    """

    def __init__(self, draws: random.Random, checks: bool, number: int):
        self._draws = draws
        self._clock = clock_.SystemClock()
        self._objects = object_api.ObjectApi(
            seed=number, writes_per_second=10_000, reads_per_second=10_000
        )
        self._engine = engine_.Engine('vm', checks_fencing=checks)
        self._http = http_client.HttpClient(200)
        self._leases = [self._contender(f'c{n}') for n in range(2)]
        self._how = draws.choice(('kill', 'pause', 'lost_reply', 'slow'))

    def run(self) -> tuple[float, int]:
        """Return the hand-over time in ms, and stale orders carried out."""
        first, second = self._leases
        first.attempt()
        holding = green.spawn(self._hold, first)
        contending = green.spawn(self._hold, second)
        green.sleep_ms(self._draws.uniform(20, 120))
        self._break(holding, first)
        lost_at = self._clock.now()
        while not second.may_order():
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
        self._objects.stop()
        self._engine.stop()
        return took, stale

    def _contender(self, name: str) -> lease_.Lease:
        store = object_store.ObjectStore(
            self._objects.server.address, 60, self._clock
        )
        return lease_.Lease(
            store, 'lease', name, _LENGTH_MS, _GUARD_MS, self._clock
        )

    def _hold(self, lease: lease_.Lease) -> None:
        while True:
            lease.attempt()
            self._order(lease)
            green.sleep_ms(_ATTEMPT_MS)

    def _order(self, lease: lease_.Lease) -> None:
        """Send an order where the lease allows it, as the controller does."""
        if lease.may_order():
            order = {
                'action': 'load_model',
                'model': f'm{lease.fencing}',
                'fencing': lease.fencing,
            }
            self._http.call('POST', self._engine.address, '/v1/orders', order)

    def _break(self, holding: ty.Any, lease: lease_.Lease) -> None:
        if self._how == 'lost_reply':
            self._objects.app.set_faults(40, lose_reply=0.7)
        elif self._how == 'slow':
            self._objects.app.set_faults(60, slow_ms=30)
        holding.kill()

    def _stale_orders(self) -> int:
        """Return orders that came after one with a higher number."""
        highest = 0
        stale = 0
        for order in self._engine.orders:
            stale += order['fencing'] < highest
            highest = max(highest, order['fencing'])
        return stale


def run(
    trials: int, seed: int, folder: str, progress: driver_.Progress
) -> list[str]:
    """Run the trials on both kinds of upstream and write the report."""
    draws = random.Random(seed)
    report: dict[str, ty.Any] = {'lease_ms': _LENGTH_MS, 'trials': trials}
    stale_total = 0
    for name, checks in (('checking', True), ('ignoring', False)):
        times = []
        stale = 0
        for number in range(trials):
            progress(f'{name} {number + 1} of {trials}')
            took, late = LeaseTrial(draws, checks, number).run()
            times.append(took)
            stale += late
        report[name] = {
            'hand_over_ms': report_.percentiles(times),
            'stale_orders': stale,
        }
        stale_total += stale
    report_.write(folder, report)
    return ['stale orders'] if stale_total else []

"""Time to hand over the duty lease, and orders from former holders."""

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

_LEASE_MS = 90
_GUARD_MS = 25
_ATTEMPT_INTERVAL_MS = 10
_HAND_OVER_TIMEOUT_MS = 3000


class LeaseTrial:
    """Two contenders for a lease, of which the holder fails."""

    def __init__(self, rng: random.Random, number: int) -> None:
        self._rng = rng
        self._clock = clock_.SystemClock()
        self._store = store_standin.StoreStandin(seed=number)
        self._cloud = cloud_.CloudStandin(lambda *order: True, seed=number)
        self._leases = [self._make_lease(f'c{n}') for n in range(2)]
        self._fault = rng.choice(('kill', 'pause', 'lost_reply', 'slow'))

    def run(self) -> tuple[float, int]:
        """Return the hand-over time in ms and the number of stale orders."""
        first, second = self._leases
        first.attempt()
        holder_task = green.spawn(self._keep_lease, first)
        contender_task = green.spawn(self._keep_lease, second)
        green.sleep_ms(self._rng.uniform(20, 120))
        self._inject_fault(holder_task)
        lost_at = self._clock.now()
        while not second.may_act():
            green.sleep_ms(2)
            if self._clock.now() - lost_at > _HAND_OVER_TIMEOUT_MS:
                break
        hand_over_ms = self._clock.now() - lost_at
        # The former holder resumes after a pause and sends a pending order.
        self._send_order(first)
        green.sleep_ms(20)
        for task in (holder_task, contender_task):
            task.kill()
        stale = self._count_stale_orders()
        self._store.stop()
        self._cloud.stop()
        return hand_over_ms, stale

    def _make_lease(self, name: str) -> lease_.Lease:
        return lease_.Lease(
            store_.PlatformStore(
                self._store.address, 60, outage_.OutageTracker(self._clock, 0)
            ),
            'trial',
            name,
            f'{name}.1',
            _LEASE_MS,
            _GUARD_MS,
            self._clock,
        )

    def _keep_lease(self, lease: lease_.Lease) -> None:
        while True:
            lease.attempt()
            self._send_order(lease)
            green.sleep_ms(_ATTEMPT_INTERVAL_MS)

    def _send_order(self, lease: lease_.Lease) -> None:
        """Send an order if the lease allows it."""
        if lease.may_act():
            cloud = cloud_api.PlatformCloud(self._cloud.address, 60, 'trial')
            cloud.order('service', 'fd-1', 1, False, lease.fencing)

    def _inject_fault(self, holder_task: ty.Any) -> None:
        if self._fault == 'lost_reply':
            self._store.app.set_faults(40, lose_reply=0.7)
        elif self._fault == 'slow':
            self._store.app.set_faults(60, slow_ms=30)
        holder_task.kill()

    def _count_stale_orders(self) -> int:
        """Count orders that came after one with a higher fencing number."""
        highest = 0
        stale = 0
        for order in self._cloud.orders:
            stale += order.fencing < highest
            highest = max(highest, order.fencing)
        return stale


def run(
    trials: int, seed: int, folder: str, progress: driver_.Progress
) -> list[str]:
    """Run the trials, write the report, and return the violations."""
    rng = random.Random(seed)
    times = []
    stale = 0
    for number in range(trials):
        progress(f'{number + 1} of {trials}')
        hand_over_ms, stale_in_trial = LeaseTrial(rng, number).run()
        times.append(hand_over_ms)
        stale += stale_in_trial
    report_.write(
        folder,
        {
            'lease_ms': _LEASE_MS,
            'trials': trials,
            'hand_over_ms': report_.percentiles(times),
            'stale_orders': stale,
        },
    )
    return ['the cloud carried out stale orders'] if stale else []

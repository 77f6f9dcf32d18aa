"""Roll-outs of good and bad versions in a soak, and their checks."""

from __future__ import annotations

import dataclasses
import itertools

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import rollout_driver
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.standin import version_faults

EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 20
"""Bound of the requests that a bad version may get: a share of all requests to
its service, and a number in addition."""

_DURATION_MS = 6000
_AFTER_MS = 4000
"""Time after the time limit within which an order ends, in ms."""

_STOP_MS = 3000
"""Time after a stored roll-back within which requests may still arrive, in
ms."""

_BAD = version_faults.VersionFault(failing=0.7)


@dataclasses.dataclass(frozen=True)
class _Rollout:
    version: str
    ordered_at: int
    rolled_back_at: int
    """Time at which a roll-back was stored, in ms; 0 if none was."""


class RolloutFault:
    """Orders roll-outs of the engines, one at a time.

    Parameters
    ----------
    fleet : fleet.Fleet
        The fleet.
    """

    def __init__(self, fleet: fleet_.Fleet) -> None:
        self._fleet = fleet
        self._driver = rollout_driver.RolloutDriver(fleet)
        self._numbers = itertools.count(2)
        self._is_running = False
        self._bad: list[_Rollout] = []

    def run(self, is_bad: bool) -> None:
        """Order a roll-out, and wait until it has ended."""
        if self._is_running:
            return
        self._is_running = True
        version = f'v{next(self._numbers)}'
        if is_bad:
            self._fleet.version_faults[version] = _BAD
        ordered_at = self._fleet.clock.now()
        self._driver.order(shape_.ENGINE_SERVICE, version, _DURATION_MS)
        rolled_back_at = self._wait(ordered_at + _DURATION_MS + _AFTER_MS)
        if is_bad:
            self._bad.append(_Rollout(version, ordered_at, rolled_back_at))
        self._is_running = False

    def count_overexposed(self) -> int:
        """Return how many bad versions got more requests than allowed."""
        return sum(map(self._is_overexposed, self._bad))

    def _wait(self, until: int) -> int:
        """Wait for the outcome; return the time of a roll-back, or 0."""
        clock = self._fleet.clock
        while clock.now() < until:
            state = self._driver.state(shape_.ENGINE_SERVICE)
            if state == 'rolled_back':
                return clock.now()
            if state == 'completed':
                return 0
            green.sleep_ms(20)
        self._fleet.store.delete(names.ROLLOUT_KIND, shape_.ENGINE_SERVICE)
        return 0

    def _is_overexposed(self, rollout: _Rollout) -> bool:
        end = rollout.ordered_at + _DURATION_MS
        arrivals = [
            (at, instance.record.upstream.version)
            for instance in self._fleet.instances
            if instance.record.upstream.service == shape_.ENGINE_SERVICE
            for at, _ in instance.upstream.app.arrivals
        ]
        within = [v for at, v in arrivals if rollout.ordered_at <= at <= end]
        exposed = within.count(rollout.version)
        if exposed > EXPOSE_SHARE * len(within) + EXPOSE_SLACK:
            return True
        last = max(
            (at for at, version in arrivals if version == rollout.version),
            default=0,
        )
        stopped_at = rollout.rolled_back_at
        return bool(stopped_at) and last > stopped_at + _STOP_MS

"""Result of one simulated roll-out."""

from __future__ import annotations

import dataclasses

from peridotmast.load import rollout_scenario as scenario_

SHARE = 0.1
SLACK = 50
"""Bound of the requests that a bad target may get."""

ROLLBACK_MS = 5000
"""Time after a target's 50th bad answer after which it may get no requests, in
ms."""


@dataclasses.dataclass
class Result:
    """What the operators of a simulated roll-out see."""

    scenario: scenario_.Scenario
    outcome: str = ''
    ended_ms: int = 0
    """Time from the order until the outcome is stored, in ms."""
    shifted_ms: int = 0
    """Time from the order until all requests went to the target."""
    requests: int = 0
    """Requests to the service between the order and its time limit."""
    exposed: int = 0
    """Those of them that reached the target."""
    bad_answers: int = 0
    fiftieth_bad_ms: int = 0
    last_exposed_ms: int = 0
    """Time at which the last request was sent to the target."""
    curve: list[tuple[int, int, float]] = dataclasses.field(
        default_factory=list
    )
    """Time, exposed requests and log evidence, for plots."""

    @property
    def bound(self) -> float:
        """Requests that a bad target may get until the time limit."""
        return SHARE * self.requests + SLACK

    @property
    def stop_ms(self) -> int:
        """Time from the 50th bad answer to the last request, in ms."""
        if not self.fiftieth_bad_ms:
            return 0
        return max(0, self.last_exposed_ms - self.fiftieth_bad_ms)

    @property
    def was_bad_at_shift(self) -> bool:
        """Whether the target was bad before all requests went to it."""
        scenario = self.scenario
        if scenario.badness is scenario_.Badness.GOOD:
            return False
        return not self.shifted_ms or scenario.bad_from_ms < self.shifted_ms

    @property
    def is_exposure_broken(self) -> bool:
        """Whether a target that was bad at the shift got too many requests."""
        if not self.was_bad_at_shift:
            return False
        return self.exposed > self.bound or self.stop_ms > ROLLBACK_MS

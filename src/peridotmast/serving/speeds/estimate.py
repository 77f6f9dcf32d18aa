"""Estimate of the speed of one run of an upstream."""

from __future__ import annotations

import dataclasses
import math

MIN_SPEED = 0.25
MAX_SPEED = 4.0
"""Bounds of a speed, and of the ratio that one sample may show: a single time
that was disturbed must not outweigh many that were not."""

HALF_LIFE_MS = 3000
"""Time after which a sample has half of its weight, in ms. With 10 s, an
upstream that was three times slower for 2 s was still estimated at 0.79 at the
end of these, with four samples a second."""

_PRIOR_WEIGHT = 4.0
"""Weight with which an estimate is pulled towards 1, in samples. Prompts that
no report has named yet make some samples four times too long; with a weight of
2, one such sample crossed the threshold of a log line."""

_MIN_WEIGHT = 0.05
"""Weight below which samples are dropped. Even at the bounds of a speed, their
effect on an estimate is below 4 %."""


@dataclasses.dataclass(slots=True)
class Samples:
    """Sums of the samples of one run; each sample decays exponentially.

    Sums of several routers can be added, as each sample is known to exactly
    one router.
    """

    weight: float = 0.0
    """Number of samples, each multiplied by its decay."""
    log_sum: float = 0.0
    """Sum of the logarithms of the speeds, each multiplied by its decay."""
    at: int = 0
    """Time to which the sums have decayed, in ms."""

    def add(self, now: int, expected_ms: float, took_ms: float) -> None:
        """Add the time that a prefill took, and that of a speed of 1."""
        self.decay(now)
        ratio = max(expected_ms, 1.0) / max(took_ms, 1.0)
        self.weight += 1
        self.log_sum += math.log(min(max(ratio, MIN_SPEED), MAX_SPEED))

    def decay(self, now: int) -> None:
        """Let the samples decay until `now`, in ms."""
        if now > self.at:
            factor = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
            self.weight *= factor
            self.log_sum *= factor
            self.at = now

    def merge(self, other: Samples, sign: int = 1) -> None:
        """Add samples that have decayed to the same time.

        With a `sign` of -1, they are subtracted.
        """
        self.weight += sign * other.weight
        self.log_sum += sign * other.log_sum

    @property
    def is_negligible(self) -> bool:
        """Whether the samples have decayed so far that they may be dropped."""
        return self.weight < _MIN_WEIGHT

    def speed(self) -> float:
        """Return the speed relative to the service; 1 without samples."""
        mean = self.log_sum / (max(0.0, self.weight) + _PRIOR_WEIGHT)
        return min(max(math.exp(mean), MIN_SPEED), MAX_SPEED)

"""How a bad version of a stand-in upstream misbehaves."""

from __future__ import annotations

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class VersionFault:
    """Misbehaviour of all upstreams of one version."""

    failing: float = 0.0
    """Share of its answers that are failures."""
    slowing: float = 0.0
    """Share of its answers that are slow."""
    slow_factor: float = 4.0
    """How many times longer a slow answer takes."""
    after_ms: int = 0
    """Time after the start of an upstream from which on it misbehaves."""
    above_running: int = 0
    """Number of running requests above which it misbehaves."""
    prefix: str = ''
    """Path prefix of the only requests that it misbehaves on; empty for
    all."""

    def applies(self, path: str, age_ms: int, running: int) -> bool:
        """Return whether an upstream misbehaves on a request.

        Parameters
        ----------
        age_ms : int
            Time since the start of the upstream.
        running : int
            Number of requests that it runs.
        """
        return (
            path.startswith(self.prefix)
            and age_ms >= self.after_ms
            and running > self.above_running
        )

    def fails(self, random_: random.Random) -> bool:
        """Decide whether an answer that it applies to is a failure."""
        return random_.random() < self.failing

    def delay_factor(self, random_: random.Random) -> float:
        """Decide how many times longer an answer takes."""
        return self.slow_factor if random_.random() < self.slowing else 1.0


GOOD = VersionFault()
"""A version without any fault."""

"""A rate limit that allows bursts."""

from __future__ import annotations

import math

from peridotmast import clock as clock_


class TokenBucket:
    """Lets `rate` events a second pass, and `burst` at once.

    Parameters
    ----------
    clock : clock.Clock
        Time by which the bucket fills.
    rate, burst : float
        Events a second; events at once.
    """

    def __init__(self, clock: clock_.Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self.rate = rate
        """Events a second."""
        self.burst = burst
        """Events at once."""
        self._level = burst
        self._at = clock.now()

    def take(self) -> bool:
        """Let one event pass if there is room for it."""
        self._fill()
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def wait_ms(self) -> int:
        """Return when the next event may pass, in ms from now."""
        self._fill()
        if self._level >= 1:
            return 0
        if not self.rate:
            return 60_000
        return math.ceil((1 - self._level) / self.rate * 1000)

    def _fill(self) -> None:
        now = self._clock.now()
        gained = (now - self._at) / 1000 * self.rate
        self._level = min(self.burst, self._level + gained)
        self._at = now

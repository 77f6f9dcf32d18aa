"""Health of an upstream: recent outcomes and a circuit breaker."""

from __future__ import annotations

import enum
import math

from peridotmast import clock as clock_

_FAILURE_THRESHOLD = 2
"""Number of consecutive failures that open the breaker: a single failure may
be due to one connection only, and each further failure leaves another caller
without an answer."""

_MIN_OPEN_MS = 250
_MAX_OPEN_MS = 4000
"""Minimum and maximum time for which the breaker stays open. The time doubles
with each failure, up to about the time in which the platform removes a dead
upstream from its list. The maximum also bounds the wait for the outcome of a
probe."""

_HALF_LIFE_MS = 2000
"""Age at which the outcome of a request has half its initial weight, in ms:
periods of failures last a few seconds."""

_PRIOR_SUCCESSES = 4.0
"""Number of successes assumed in advance, so that the first failure of a new
upstream has little weight."""


class Breaker(enum.Enum):
    """State of the circuit breaker of one upstream."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class Health:
    """Circuit breaker and failure share of one upstream.

    The breaker handles an upstream that does not answer at all; the failure
    share handles one that fails only some of its requests.

    Parameters
    ----------
    clock : clock.Clock
        Times the breaker and the decay of the outcomes.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._consecutive_failures = 0
        self._opened_at = 0
        self._open_ms = 0
        self._is_probing = False
        self._probed_at = 0
        self._successes = 0.0
        self._failures = 0.0
        self._decayed_at = clock.now()
        self.breaker = Breaker.CLOSED
        """State of the circuit breaker."""

    def allows_request(self) -> bool:
        """Return whether a request may be sent to the upstream now."""
        if self.breaker is Breaker.CLOSED:
            return True
        if self.breaker is Breaker.OPEN:
            if self._clock.now() - self._opened_at < self._open_ms:
                return False
            self.breaker = Breaker.HALF_OPEN
            self._is_probing = False
        # Only one probe at a time is sent to find out whether the upstream has
        # recovered. A cancelled probe has no outcome, so that another one is
        # allowed after a while.
        is_expired = self._clock.now() - self._probed_at >= _MAX_OPEN_MS
        return not self._is_probing or is_expired

    def record_sent(self) -> None:
        """Record that a request was sent to the upstream."""
        self._is_probing = self.breaker is Breaker.HALF_OPEN
        self._probed_at = self._clock.now()

    def release_probe(self) -> None:
        """Record that the outcome of a request will not be known.

        If the request was the probe of a half-open breaker, another one may
        be sent at once.
        """
        self._is_probing = False

    def record_success(self) -> None:
        """Record a successful answer, which closes the breaker."""
        self._decay()
        self._successes += 1
        self._consecutive_failures = 0
        self._open_ms = 0
        self.breaker = Breaker.CLOSED

    def record_error(self) -> None:
        """Record an answer that reports a failure of the request."""
        self._decay()
        self._failures += 1
        self._consecutive_failures = 0
        if self.breaker is Breaker.HALF_OPEN:
            self.breaker = Breaker.CLOSED

    def record_failure(self) -> None:
        """Record a request without an answer, which may open the breaker."""
        self._decay()
        self._failures += 1
        self._consecutive_failures += 1
        half_open = self.breaker is Breaker.HALF_OPEN
        if self._consecutive_failures < _FAILURE_THRESHOLD and not half_open:
            return
        self._open_ms = min(_MAX_OPEN_MS, max(_MIN_OPEN_MS, self._open_ms * 2))
        self._opened_at = self._clock.now()
        self.breaker = Breaker.OPEN

    def failure_share(self) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        if not self._failures:
            return 0.0
        self._decay()
        total = self._successes + self._failures + _PRIOR_SUCCESSES
        return self._failures / total

    def _decay(self) -> None:
        now = self._clock.now()
        factor = math.exp2((self._decayed_at - now) / _HALF_LIFE_MS)
        self._successes *= factor
        self._failures *= factor
        self._decayed_at = now

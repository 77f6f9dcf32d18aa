"""How an upstream has answered lately, and whether it gets work."""

from __future__ import annotations

import enum
import math

from peridotmast import clock as clock_

_FAILURES_TO_OPEN = 2
"""Failures in a row after which an upstream is passed over: one may be the
connection's own, and more would each cost a caller its answer."""

_FIRST_OPEN_MS = 250
_LAST_OPEN_MS = 4000
"""How long it is passed over: doubled each time, up to about the time in
which the platform takes a dead upstream off its list. As long at most, the
outcome of a trial is waited for."""

_HALF_LIFE_MS = 2000
"""Age at which an outcome counts half; bad spells last a few seconds."""

_PRIOR = 4.0
"""Successes that are taken for granted, so that the first failure of a
fresh upstream says little."""


class Breaker(enum.Enum):
    """State of the circuit breaker of one upstream."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


class Health:
    """Outcomes at one upstream, with a breaker and a share of failures.

    The breaker is for an upstream that does not answer at all; the share
    is for one that fails some of its requests while its others succeed.

    Parameters
    ----------
    clock : clock.Clock
        Ages the outcomes.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._in_a_row = 0
        self._opened_at = 0
        self._open_ms = 0
        self._probing = False
        self._probed_at = 0
        self._good = 0.0
        self._bad = 0.0
        self._at = clock.now()
        self.breaker = Breaker.CLOSED
        """Whether it gets work at all."""

    def allows_request(self) -> bool:
        """Return whether a request may be sent to it now."""
        if self.breaker is Breaker.CLOSED:
            return True
        if self.breaker is Breaker.OPEN:
            if self._clock.now() - self._opened_at < self._open_ms:
                return False
            self.breaker = Breaker.HALF_OPEN
            self._probing = False
        # One request at a time finds out whether it works again. One whose
        # caller has left finds out nothing.
        lapsed = self._clock.now() - self._probed_at >= _LAST_OPEN_MS
        return not self._probing or lapsed

    def record_sent(self) -> None:
        """Count a request that was sent to it."""
        self._probing = self.breaker is Breaker.HALF_OPEN
        self._probed_at = self._clock.now()

    def record_success(self) -> None:
        """Count an answer: the breaker closes."""
        self._age()
        self._good += 1
        self._in_a_row = 0
        self._open_ms = 0
        self.breaker = Breaker.CLOSED

    def record_error(self) -> None:
        """Count an answer that says that the request failed there."""
        self._age()
        self._bad += 1
        self._in_a_row = 0
        if self.breaker is Breaker.HALF_OPEN:
            self.breaker = Breaker.CLOSED

    def record_failure(self) -> None:
        """Count a request without an answer: after a few it is passed over."""
        self._age()
        self._bad += 1
        self._in_a_row += 1
        half_open = self.breaker is Breaker.HALF_OPEN
        if self._in_a_row < _FAILURES_TO_OPEN and not half_open:
            return
        self._open_ms = min(
            _LAST_OPEN_MS, max(_FIRST_OPEN_MS, self._open_ms * 2)
        )
        self._opened_at = self._clock.now()
        self.breaker = Breaker.OPEN

    def failure_share(self) -> float:
        """Return the part of recent requests that failed, from 0 to 1."""
        if not self._bad:
            return 0.0
        self._age()
        total = self._good + self._bad + _PRIOR
        return self._bad / total

    def _age(self) -> None:
        now = self._clock.now()
        left = math.exp2((self._at - now) / _HALF_LIFE_MS)
        self._good *= left
        self._bad *= left
        self._at = now

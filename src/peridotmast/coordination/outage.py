"""Detects outages of the platform's store from the outcomes of calls."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs


_FAILURE_VALID_MS = 28_000
"""How long a failed call counts as an outage. A router that watches the store
makes its next call sooner: its longest wait is 26.5 s. A router that makes no
more calls would otherwise treat missing entries as lapsed forever, and so
would its peers."""


class OutageTracker:
    """Records which calls to the store were answered.

    Entries that are missing during an outage, or for some time after it, may
    have expired because nothing could renew them.

    Parameters
    ----------
    clock : clock.Clock
        Measures the time since a failed or answered call.
    lapse_ms : int
        Time after an outage within which expired entries reappear.
    """

    def __init__(self, clock: clock_.Clock, lapse_ms: int) -> None:
        self._clock = clock
        self._lapse_ms = lapse_ms
        self._recovered_at = -lapse_ms
        self._failed_at = self._answered_at = -_FAILURE_VALID_MS
        self._log = logs.get('store')
        self.is_out = False
        """Whether the last call was not answered."""
        self.on_recovery: ty.Callable[[], None] = lambda: None
        """Called when the store was out and answers again."""

    def record_failure(self, reason: str, age_ms: int = 0) -> None:
        """Record a call that was rejected or not answered.

        If another call was answered after this one was made, the store was
        out before that answer and is not out now.

        Parameters
        ----------
        age_ms : int
            How long ago the call was made.
        """
        if self._clock.now() - age_ms < self._answered_at:
            self._recovered_at = max(self._recovered_at, self._answered_at)
            self.on_recovery()
            return
        if not self.is_out:
            self._log.warning('store_unreachable', reason=reason)
        self.is_out = True
        self._failed_at = self._clock.now()

    def record_answer(self) -> None:
        """Record a call that was answered."""
        self._answered_at = self._clock.now()
        if not self.is_out:
            return
        self.is_out = False
        self._recovered_at = self._answered_at
        self._log.info('store_recovered')
        self.on_recovery()

    def record_return(self) -> None:
        """Record that the store has come back from an older copy."""
        self._recovered_at = self._clock.now()

    def is_suspected(self) -> bool:
        """Return whether entries may be missing because of an outage."""
        now = self._clock.now()
        is_out = self.is_out and now - self._failed_at < _FAILURE_VALID_MS
        return is_out or now - self._recovered_at < self._lapse_ms

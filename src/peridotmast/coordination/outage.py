"""Whether the platform's store answers, and since when it does again."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs


_SAID_MS = 28_000
"""How long a call that failed says that the store is out. A router that
watches asks again sooner: its longest wait is 26.5 s. One that asks no more
would take missing entries for lapsed ones for good, and so would its peers."""


class OutageTracker:
    """What the calls of the store say about the store.

    Entries that are missing while it is out, or for some time after, may
    have run out because nobody could renew them.

    Parameters
    ----------
    clock : clock.Clock
        Times the outage.
    lapse_ms : int
        Time after an outage in which such entries come back.
    """

    def __init__(self, clock: clock_.Clock, lapse_ms: int) -> None:
        self._clock = clock
        self._lapse_ms = lapse_ms
        self._back_at = -lapse_ms
        self._failed_at = self._answered_at = -_SAID_MS
        self._log = logs.get('store')
        self.is_out = False
        """Whether the last call was not answered."""
        self.on_recovery: ty.Callable[[], None] = lambda: None
        """Called once it is known that the store was out and answers again."""

    def record_failure(self, reason: str, age_ms: int = 0) -> None:
        """Note a call that was not answered, or turned away.

        Where another one was answered since this one was made, the store
        was out before that, and is not now.

        Parameters
        ----------
        age_ms : int
            How long ago it was made.
        """
        if self._clock.now() - age_ms < self._answered_at:
            self._back_at = max(self._back_at, self._answered_at)
            self.on_recovery()
            return
        if not self.is_out:
            self._log.warning('store_lost', reason=reason)
        self.is_out = True
        self._failed_at = self._clock.now()

    def record_answer(self) -> None:
        """Note a call that was answered."""
        self._answered_at = self._clock.now()
        if not self.is_out:
            return
        self.is_out = False
        self._back_at = self._answered_at
        self._log.info('store_regained')
        self.on_recovery()

    def is_suspected(self) -> bool:
        """Return whether what is missing may be missing due to it."""
        now = self._clock.now()
        is_out = self.is_out and now - self._failed_at < _SAID_MS
        return is_out or now - self._back_at < self._lapse_ms

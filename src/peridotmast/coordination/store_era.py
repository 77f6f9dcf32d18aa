"""Eras of the store: it may come back from a copy that is some seconds old."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs


class StoreEra:
    """The newest era that an answer of the store has named.

    Each return of the store from an older copy begins an era. The store then
    lacks writes that it had acknowledged, and gives their revisions to others.

    Parameters
    ----------
    clock : clock.Clock
        Its boot clock times the eras.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._log = logs.get('store')
        self.number = 0
        """Number of the era; 0 if the store has named none."""
        self.seen_at = clock.boot_time()
        """Time of the first answer of this era, by the boot clock, in ms."""
        self.on_return: ty.Callable[[], None] = lambda: None
        """Called when an era has begun."""

    def record(self, number: int) -> bool:
        """Record the era of an answer.

        Returns
        -------
        bool
            Whether the answer is of the newest era. Another one may describe
            state that the store has lost since.
        """
        if number <= self.number:
            return number == self.number
        before, self.number = self.number, number
        self.seen_at = self._clock.boot_time()
        self._log.info('store_era', era=number, before=before)
        self.on_return()
        return True

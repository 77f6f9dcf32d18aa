"""Proof that what a router knows is as new as the platform's store."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import green

_TIMEOUT_MS = 150
"""Time limit of a proof, in ms: a request waits for it."""


class CurrentView:
    """Reads what has changed, so that nothing written before now is missing.

    Callers that ask while one reads share the next read.

    Parameters
    ----------
    clock : clock.Clock
        Tells which reads began after a question.
    read_changes : callable
        Reads and processes all changes; returns whether it succeeded.
    """

    def __init__(
        self, clock: clock_.Clock, read_changes: ty.Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._read_changes = read_changes
        self._lock = green.Semaphore(1)
        self._read_at = -1
        self._succeeded = False

    def confirm(self) -> bool:
        """Return whether all that was written before this call is known."""
        asked_at = self._clock.now()
        with self._lock:
            if self._read_at < asked_at:
                self._read()
            return self._succeeded

    def _read(self) -> None:
        # The clock has whole ms: a read in the ms of a question may be older.
        self._read_at = self._clock.now() - 1
        self._succeeded = False
        with green.Timeout(_TIMEOUT_MS / 1000, False):
            self._succeeded = self._read_changes()

"""Peers' reports that the platform's store does not answer them."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_

_VALID_MS = 1000
"""How long a peer's report is valid: a few beacon intervals."""


class OutageReports:
    """Records which peers report an outage of the store.

    Parameters
    ----------
    clock : clock.Clock
        Measures the age of the reports.
    on_outage : callable
        Called when peers begin to report an outage.
    """

    def __init__(
        self, clock: clock_.Clock, on_outage: ty.Callable[[], None]
    ) -> None:
        self._clock = clock
        self._on_outage = on_outage
        self._reported_at = self._member_reported_at = -_VALID_MS
        self._notified_at = -_VALID_MS
        self._reports: dict[str, int] = {}

    def record(self, peer: str, from_member: bool) -> None:
        """Record that a peer reports an outage.

        Parameters
        ----------
        from_member : bool
            Whether the peer reports its own failed calls, which this router
            passes on if it is the head of a group.
        """
        now = self._clock.now()
        limit = now - _VALID_MS
        is_first = self._reports.get(peer, limit) <= limit
        self._reports[peer] = now
        # Notify once if many peers begin to report at the same time.
        if is_first and self._notified_at <= limit:
            self._notified_at = now
            self._on_outage()
        self._reported_at = now
        if from_member:
            self._member_reported_at = now

    def discard_before(self, before: int) -> None:
        """Discard the reports received before the time `before`, in ms."""
        self._reports = {
            p: at for p, at in self._reports.items() if at >= before
        }

    def has_recent(self) -> bool:
        """Return whether any peer has reported an outage recently."""
        return self._is_recent(self._reported_at)

    def has_recent_from_member(self) -> bool:
        """Return whether a peer has recently reported its own failures."""
        return self._is_recent(self._member_reported_at)

    def _is_recent(self, moment: int) -> bool:
        return self._clock.now() - moment < _VALID_MS

"""What peers say of outages of the store."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_

_FELT_MS = 1000
"""How long a peer's word of a store that fails it holds: a few beacons."""


class OutageReports:
    """Takes in who says that the store does not answer.

    Parameters
    ----------
    clock : clock.Clock
        Times what was said.
    doubt : callable
        Called once peers begin to say so.
    """

    def __init__(
        self, clock: clock_.Clock, doubt: ty.Callable[[], None]
    ) -> None:
        self._clock = clock
        self._doubt = doubt
        self._at = self._member_at = -_FELT_MS
        self._doubted_at = -_FELT_MS
        self._felt: dict[str, int] = {}

    def record(self, peer: str, from_member: bool) -> None:
        """Take in that the store does not answer a peer.

        Parameters
        ----------
        from_member : bool
            Whether the peer speaks for itself, to a router that may have to
            pass it on.
        """
        now = self._clock.now()
        limit = now - _FELT_MS
        is_first = self._felt.get(peer, limit) <= limit
        self._felt[peer] = now
        # Once for many that say so at the same time.
        if is_first and self._doubted_at <= limit:
            self._doubted_at = now
            self._doubt()
        self._at = now
        if from_member:
            self._member_at = now

    def discard_before(self, before: int) -> None:
        """Forget the peers that have not said so since a moment, in ms."""
        self._felt = {p: at for p, at in self._felt.items() if at >= before}

    def has_recent(self) -> bool:
        """Return whether any peer has said so just now."""
        return self._is_recent(self._at)

    def has_recent_from_member(self) -> bool:
        """Return whether a peer has said so of itself just now."""
        return self._is_recent(self._member_at)

    def _is_recent(self, moment: int) -> bool:
        return self._clock.now() - moment < _FELT_MS

"""Tokens of a team that a router has admitted without its peers' knowledge."""

from __future__ import annotations

import collections

_HALF_LIFE_MS = 4000
"""Time after which spending counts half for the division between routers."""

_EVEN_BURSTS = 2.0
"""Spending that counts as divided evenly between the routers, in bursts: a
team whose callers change to other routers finds a part there."""


class UnconfirmedSpending:
    """Recent admissions of one team's requests, at this router and at others.

    The shares of all routers add up to at most 1: each counts of its own
    spending only what its peers know, and of theirs all that it knows.
    """

    def __init__(self) -> None:
        self._admitted: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self.tokens = 0
        """Tokens admitted here of which some live peer may not know."""
        self._own = 0.0
        """Tokens admitted here that all peers know of, the recent ones."""
        self._peers = 0.0
        """Tokens admitted at other routers, the recent ones."""
        self._at = 0

    def add(self, now: int, tokens: int) -> None:
        """Record an admission here, or a refund if negative."""
        self._admitted.append((now, tokens))
        self.tokens += tokens

    def add_peers(self, now: int, tokens: int) -> None:
        """Record admissions at other routers that are known now."""
        self._decay(now)
        self._peers = max(0.0, self._peers + tokens)

    def confirm(self, now: int, confirmed_at: int) -> None:
        """Record that all live peers know of the admissions before a time."""
        self._decay(now)
        while self._admitted and self._admitted[0][0] < confirmed_at:
            at, tokens = self._admitted.popleft()
            self.tokens -= tokens
            self._own += tokens * _weight(now - at)
        self._own = max(0.0, self._own)

    def share(self, even_share: float, burst: float) -> float:
        """Return the fraction of what is left that may be admitted here.

        Parameters
        ----------
        even_share : float
            This router's fraction of an even division.
        burst : float
            Burst of the team, in tokens.
        """
        even = _EVEN_BURSTS * burst + 1
        own = self._own + even * even_share
        return own / (self._own + self._peers + even)

    def _decay(self, now: int) -> None:
        weight = _weight(now - self._at)
        self._own *= weight
        self._peers *= weight
        self._at = now


def _weight(age_ms: int) -> float:
    return float(0.5 ** (age_ms / _HALF_LIFE_MS))

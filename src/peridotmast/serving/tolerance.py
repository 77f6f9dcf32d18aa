"""How far what runs for a team may exceed its limit."""

from __future__ import annotations

import typing as ty

_USED_SHARE = 0.75
"""Fraction that routers use while they do not know of each other. The rest
is a margin: for the last request of each router, and for attempts that run
beyond the first one."""


class Tolerance(ty.NamedTuple):
    """Terms of the platform, for any window."""

    window_s: float = 8.0
    """Length of the window."""
    share: float = 0.1
    """Excess as a fraction of what the limit allows in the window."""
    slack: float = 0.0
    """Further excess, in tokens."""

    def usable(self, rate: float, burst: float) -> float:
        """Return how many tokens beyond a limit routers may admit."""
        limit = rate * self.window_s + burst
        return _USED_SHARE * (self.share * limit + self.slack)

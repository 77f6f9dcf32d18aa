"""Token bucket for the limit of one team."""

from __future__ import annotations

import dataclasses
import math

from peridotmast.serving import unconfirmed_spending

_MAX_WAIT_MS = 10_000
"""Maximum retry time given to callers, in ms: by then, other callers of the
team may use less of its limit."""

_ADMISSION_SHARE = 0.5
"""Fraction of a request's tokens that must be available for its admission.
With 0, a long request leaves a debt that delays dozens of short requests; with
1, short requests keep the level below the need of a long one."""


@dataclasses.dataclass
class TokenBucket:
    """Token bucket for the limit of one team on all routers together."""

    rate: float
    """Tokens gained per second."""
    burst: float
    """Maximum number of tokens."""
    level: float
    """Tokens left in the bucket; negative if routers have admitted requests
    for more tokens than the bucket held."""
    at: int
    """Time at which `level` was last updated, in ms."""
    is_known: bool
    """Whether the level accounts for the spending of all routers, as far as
    it is known. False after a start until a peer has reported the level."""
    full_at: int = 0
    """Last time at which the bucket was full, in ms."""
    lent: int = 0
    """Tokens that this router lent as the head of a group before it knew the
    level."""
    borrowed: int = 0
    """Tokens spent by this router that were lent by the head of its group."""
    spending: unconfirmed_spending.UnconfirmedSpending = dataclasses.field(
        default_factory=unconfirmed_spending.UnconfirmedSpending
    )
    """Recent spending, here and at other routers."""
    is_lending_exhausted: bool = False
    """Whether the head of a group had too few tokens left to lend."""

    def fill(self, now: int, share: float) -> None:
        """Add the tokens gained up to `now`, at a share of the rate."""
        gained = (now - self.at) / 1000 * self.rate
        self.level = min(self.burst, self.level + gained * share)
        if self.level >= self.burst:
            self.full_at = now
        self.at = now

    def tokens_needed(self, tokens: int) -> float:
        """Return how many tokens must be left to admit a request."""
        return max(1, _ADMISSION_SHARE * min(tokens, self.burst))

    def refill_ms(self, needed: float, share: float) -> int:
        """Return the time until the bucket holds enough tokens, in ms."""
        rate = self.rate * share
        if rate <= 0:
            return _MAX_WAIT_MS
        wait = math.ceil((needed - self.level) / rate * 1000)
        return max(1, min(_MAX_WAIT_MS, wait))

"""Times for which nobody told what some routers count."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast import clock as clock_

_FRESH_MS = 800
"""Age to which what a head told is as good as new: a round of a large fleet is
500 ms, and comes up to a look later (250 ms). One that is lost is reckoned for
a moment, and taken back with the next."""

_Teller = tuple[str, int]
"""Name and run of who tells."""

Estimate = ty.Callable[[float, int], dict[str, int]]
"""Returns the tokens by team that a part of the fleet is taken to spend from
a moment on, in ms."""


@dataclasses.dataclass
class _Source:
    """Some routers' counts, as one way brings them."""

    teller: ty.Optional[_Teller]
    """Who told them last; None where nobody has told them this way yet."""
    at: int
    """Moment at which they were told last, in ms."""
    until: int
    """Moment up to which they have been reckoned without being told."""
    reckoned: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Tokens by team that were reckoned since they were told."""


class ReportGaps:
    """Reckons what routers may spend while nobody tells of it.

    A head that ends takes with it what its members counted until the next
    one tells, and they hear of nobody until then. Who misses them takes them
    to spend their part meanwhile. If the same head is heard again, it tells
    all that was missed, and what was reckoned is taken back; if another one
    is heard, it only tells what is counted from then on.

    Parameters
    ----------
    clock : clock.Clock
        Times silence.
    worth : callable
        Returns what is reckoned for a part of the fleet since a moment.
    """

    def __init__(self, clock: clock_.Clock, worth: Estimate) -> None:
        self._clock = clock
        self._worth = worth
        self._sources: dict[str, _Source] = {}

    def reset(self, sources: ty.Iterable[str]) -> None:
        """Go by these ways from now on; none has brought anything yet."""
        now = self._clock.now()
        self._sources = {name: _Source(None, now, now) for name in sources}

    def on_report(
        self, source: str, teller: _Teller, share: float
    ) -> dict[str, int]:
        """Return what is to be reckoned, now that a source is told again.

        Parameters
        ----------
        share : float
            Part of the fleet that the source tells of.

        Returns
        -------
        dict
            Tokens by team; below 0 where they are taken back.
        """
        now = self._clock.now()
        known = self._sources.get(source)
        self._sources[source] = _Source(teller, now, now)
        if known is None:
            return {}
        if known.teller == teller:
            return {team: -count for team, count in known.reckoned.items()}
        return self._worth(share, known.until)

    def tick(self, shares: dict[str, float]) -> dict[str, int]:
        """Return what is to be reckoned for sources that are missed."""
        now = self._clock.now()
        total: collections.Counter[str] = collections.Counter()
        for name, share in shares.items():
            source = self._sources.get(name)
            if source is None or now - source.at <= _FRESH_MS:
                continue
            found = self._worth(share, source.until)
            source.reckoned.update(found)
            source.until = now
            total.update(found)
        return dict(total)

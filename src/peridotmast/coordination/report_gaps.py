"""Estimates of what teams spend at routers whose reports are missing."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast import clock as clock_

_FRESH_MS = 800
"""Age up to which a head's report counts as current: a round of a large fleet
takes 500 ms, and its absence is noticed up to a tick (250 ms) later. After a
lost report an estimate is added for a moment, and reversed with the next
report."""

_Reporter = tuple[str, int]
"""Name and run of a reporting router."""

Estimate = ty.Callable[[float, int], dict[str, int]]
"""Function that estimates the tokens spent, by team. Its arguments are the
share of the fleet that spent them, and the start of the time span in ms."""


@dataclasses.dataclass
class _Source:
    """Reports on a part of the fleet that arrive by one path."""

    reporter: ty.Optional[_Reporter]
    """Sender of the last report; None before the first by this path."""
    at: int
    """Time of the last report, in ms."""
    until: int
    """Time up to which missing reports are covered by estimates, in ms."""
    estimated: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Tokens by team estimated since the last report."""


class ReportGaps:
    """Estimates spent tokens while reports from part of the fleet are missing.

    When a group head stops, the tokens that its members spend until its
    successor reports are never reported, and the members receive no reports
    in this time. Routers without these reports assume that each missing part
    of the fleet spends its share of the limits. If the same head reports
    again, its counts include the missing time, so the estimate is reversed.
    If another head reports, its counts start from then on, so the estimate
    is kept.

    Parameters
    ----------
    clock : clock.Clock
        Times silence.
    estimate : callable
        Estimates the tokens spent by a share of the fleet; see `Estimate`.
    """

    def __init__(self, clock: clock_.Clock, estimate: Estimate) -> None:
        self._clock = clock
        self._estimate = estimate
        self._sources: dict[str, _Source] = {}

    def reset(self, sources: ty.Iterable[str]) -> None:
        """Replace the sources; none of the new ones has reported yet."""
        now = self._clock.now()
        self._sources = {name: _Source(None, now, now) for name in sources}

    def on_report(
        self, source: str, reporter: _Reporter, share: float
    ) -> dict[str, int]:
        """Return the correction to apply with a source's report.

        Parameters
        ----------
        share : float
            Share of the fleet that the source covers.

        Returns
        -------
        dict
            Tokens by team; negative where an estimate is reversed.
        """
        now = self._clock.now()
        known = self._sources.get(source)
        self._sources[source] = _Source(reporter, now, now)
        if known is None:
            return {}
        if known.reporter == reporter:
            return {team: -count for team, count in known.estimated.items()}
        return self._estimate(share, known.until)

    def tick(self, shares: dict[str, float]) -> dict[str, int]:
        """Return the estimates to add for sources without a recent report.

        Parameters
        ----------
        shares : dict
            Share of the fleet that each source covers.

        Returns
        -------
        dict
            Tokens by team.
        """
        now = self._clock.now()
        total: collections.Counter[str] = collections.Counter()
        for name, share in shares.items():
            source = self._sources.get(name)
            if source is None or now - source.at <= _FRESH_MS:
                continue
            tokens = self._estimate(share, source.until)
            source.estimated.update(tokens)
            source.until = now
            total.update(tokens)
        return dict(total)

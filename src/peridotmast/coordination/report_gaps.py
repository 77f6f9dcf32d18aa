"""Estimates of the tokens spent at routers whose reports are missing."""

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
    """A path by which reports on a part of the fleet arrive."""

    reporter: ty.Optional[_Reporter]
    """Sender of the last report; None before the path's first report."""
    at: int
    """Time of the last report, in ms."""
    until: int
    """Time up to which missing reports are covered by estimates, in ms."""
    estimated: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Tokens by team estimated since the last report."""


class ReportGaps:
    """Estimates spends while the reports of a part of the fleet are missing.

    When a head ends, the counts that its members add until its successor
    reports are lost, and the members receive no counts meanwhile. Routers
    that miss reports assume that the unreported part of the fleet spends its
    share of each team's limit. If the
    same head reports again, its counts include the gap, so the estimate is
    reversed; another head only reports what is counted from then on, so the
    estimate stays.

    Parameters
    ----------
    clock : clock.Clock
        Measures the time since the last report.
    estimate : callable
        Returns the estimate for a share of the fleet since a time.
    """

    def __init__(self, clock: clock_.Clock, estimate: Estimate) -> None:
        self._clock = clock
        self._estimate = estimate
        self._sources: dict[str, _Source] = {}

    def reset(self, sources: ty.Iterable[str]) -> None:
        """Replace the sources of reports by ones that have not reported."""
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

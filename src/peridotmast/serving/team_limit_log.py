"""Logs and metrics of what this router admits for teams near their limits."""

from __future__ import annotations

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import quota as quota_

_INTERVAL_MS = 1000
_LOW_LEVEL = 0.5
"""Fraction of the burst below which a team's spending is logged."""


class TeamLimitLog:
    """Logs once a second what was admitted for each team that is low.

    The lines of all routers for one second add up to what the fleet admitted.

    Parameters
    ----------
    clock : clock.Clock
        Times the lines.
    quota : quota.Quota
        Limits of the teams.
    metrics : metrics.ServingMetrics
        Level of each team, and age of the reports that it goes by.
    router : str
        Name of this router.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        quota: quota_.Quota,
        metrics: metrics_.ServingMetrics,
        router: str,
    ) -> None:
        self._clock = clock
        self._quota = quota
        self._metrics = metrics
        self._log = logs.get('quota', router=router)
        self._logged_at = clock.now()
        self._spent: dict[str, int] = {}

    def tick(self) -> None:
        """Log the last second, if it is over."""
        now = self._clock.now()
        elapsed = now - self._logged_at
        if elapsed < _INTERVAL_MS:
            return
        self._logged_at = now
        confirmed_at, peer = self._quota.oldest_confirmation()
        age_ms = now - confirmed_at
        self._metrics.report_age.set(age_ms / 1000)
        before, self._spent = self._spent, self._quota.spent()
        for team, (level, burst) in self._quota.level_and_burst().items():
            self._metrics.team_level.labels(team).set(level)
            tokens = self._spent.get(team, 0) - before.get(team, 0)
            if tokens and level < _LOW_LEVEL * burst:
                self._log.info(
                    'team_spending',
                    team=team,
                    tokens=tokens,
                    ms=elapsed,
                    level=round(level),
                    share=round(self._quota.known_share, 2),
                    reports_ms=age_ms,
                    peer=peer,
                )

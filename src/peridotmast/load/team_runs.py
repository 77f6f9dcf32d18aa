"""What upstreams ran for each team, and whether its limit was exceeded."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import team_run

WINDOW_MS = 8000
OVER_SHARE = 0.1
SLACK_S = 0.7
"""In any window, the tokens of `rate` and `burst` may run, this share more,
and what `rate` allows in this time: the terms of the users' platform, where
the slack is a number of tokens."""


@dataclasses.dataclass(frozen=True)
class TeamRuns:
    """Tokens that ran for one team, counted at the upstreams."""

    worst: int
    """Most tokens in any window."""
    worst_from_ms: int
    """Start of that window."""
    allowed: float
    """Most tokens that may run in a window."""
    by_second: dict[int, int]
    """Tokens by second of the run."""


def summarize(
    team: pb.Team,
    runs: ty.Iterable[team_run.TeamRun],
    sent_times: ty.Mapping[str, int],
    began_ms: int,
) -> TeamRuns:
    """Return what ran for a team, over all upstreams and all attempts.

    Parameters
    ----------
    sent_times : dict
        Time at which the caller sent each request, by request id, in ms.
    began_ms : int
        Start of the run, in ms.
    """
    own = [
        (
            sent_times.get(run.request_id, run.at_ms),
            run.at_ms,
            _cost(team, run),
        )
        for run in runs
        if run.team == team.name
    ]
    by_second: collections.Counter[int] = collections.Counter()
    for _, at, tokens in own:
        by_second[(at - began_ms) // 1000] += tokens
    worst, start = _worst_window(own)
    most = team.rate * WINDOW_MS / 1000 + team.burst
    allowed = most * (1 + OVER_SHARE) + team.rate * SLACK_S
    return TeamRuns(worst, start, allowed, dict(sorted(by_second.items())))


def _worst_window(own: list[tuple[int, int, int]]) -> tuple[int, int]:
    """Return the most tokens in any window, and its start in ms.

    As on the users' platform, those count that are both sent and run in it.
    """
    starts = {sent for sent, _, _ in own}
    sums = (
        (
            sum(
                tokens
                for sent, at, tokens in own
                if sent >= start and at < start + WINDOW_MS
            ),
            start,
        )
        for start in sorted(starts)
    )
    return max(sums, default=(0, 0))


def _cost(team: pb.Team, run: team_run.TeamRun) -> int:
    """Return what a run counts for the team's limit, as the platform does."""
    if not team.by_tokens:
        return 1
    return run.tokens or team.default_tokens

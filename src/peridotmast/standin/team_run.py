"""Record of a request that an upstream ran for a team."""

from __future__ import annotations

import typing as ty


class TeamRun(ty.NamedTuple):
    """A request that an upstream began to work on."""

    at_ms: int
    request_id: str
    team: str
    tokens: int
    """Prompt and response tokens that the request states; 0 for none."""

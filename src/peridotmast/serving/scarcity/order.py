"""Orders in which engines serve requests while capacity is short."""

from __future__ import annotations

import typing as ty

from peridotmast.serving import urgency

SLACK = 'slack'
"""By priority and by the slack of the latency target."""
PRIORITY = 'priority'
"""By priority alone; short prompts first within a priority."""

ORDERS = (SLACK, PRIORITY)
"""All orders, by their name in the settings."""

SHARE_LEVEL = 1
"""Urgency level of a request that is only admitted for the minimum share of
its priority or team: that of long prompts of priority 0, as it would not be
served at the level of its priority."""

_LEVELS = 2
"""Number of urgency levels of one priority."""

_SHORT_PROMPT_SHARE = 0.35
"""Prefill time, as a fraction of the latency target, below which a prompt is
short: the bound below which `urgency.level` does not defer a prompt."""


def level_by_priority(
    priority: int,
    tokens: int,
    target_ms: int,
    prefill_rate: ty.Optional[float],
) -> int:
    """Return an urgency level that is later than all of higher priorities.

    Parameters are those of `urgency.level`. Priorities from 4 on share the
    last two levels.
    """
    lowest = urgency.LEAST_URGENT // _LEVELS
    base = _LEVELS * max(0, min(lowest, priority))
    share = urgency.prefill_share(tokens, target_ms, prefill_rate)
    return base + (share >= _SHORT_PROMPT_SHARE)

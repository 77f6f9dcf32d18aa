"""How urgent a request is to an engine that has several waiting."""

from __future__ import annotations

MOST, LEAST = 0, 9
"""Ends of the scale: the lower, the sooner."""

_RANK_STEP = 2
"""How far two ranks lie apart on it."""

_PRIOR_READING = 36.0
"""Tokens a ms that an engine is taken to read until that is seen."""

_STEPS = ((0.1, -2), (0.35, 0), (0.7, 1))
"""By which part of its target a prompt takes to be read: short ones pass
those before them, which wait for a few ms more; long ones, which leave little
slack or none, let the others pass, for which they would be most of the
wait."""

_LONGEST_STEP = 3


def level(
    rank: int, tokens: int, target_ms: int, prefill_rate: float | None
) -> int:
    """Return a request's level on the scale.

    Parameters
    ----------
    rank : int
        Rank among all requests, 0 first.
    tokens : int
        Those of its prompt.
    target_ms : int
        Latency target, in ms.
    reading : float, optional
        Tokens a ms that engines were seen to read.
    """
    part = tokens / (prefill_rate or _PRIOR_READING) / max(1, target_ms)
    step = next((step for most, step in _STEPS if part < most), _LONGEST_STEP)
    return max(MOST, min(LEAST, _RANK_STEP * rank + step))

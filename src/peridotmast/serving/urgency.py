"""Urgency level by which engines order their queued requests."""

from __future__ import annotations

MOST_URGENT, LEAST_URGENT = 0, 9
"""Ends of the scale: a lower level is served earlier."""

_PRIORITY_STEP = 2
"""Difference in level between two adjacent priorities."""

_DEFAULT_PREFILL_RATE = 36.0
"""Prefill rate assumed until one was measured, in tokens per ms."""

_STEPS = ((0.1, -2), (0.35, 0), (0.7, 1))
"""Pairs of an upper bound on the prefill time, as a fraction of the latency
target, and a number added to the level. Short prompts overtake queued
requests, which then wait only a few ms longer. Long prompts have little or no
slack in any case; they are overtaken, so that other requests need not wait for
their prefill."""

_LONG_PROMPT_STEP = 3


def prefill_ms(tokens: int, prefill_rate: float | None) -> float:
    """Return the prefill time of a prompt of `tokens`, in ms."""
    return tokens / (prefill_rate or _DEFAULT_PREFILL_RATE)


def prefill_share(
    tokens: int, target_ms: int, prefill_rate: float | None
) -> float:
    """Return the prefill time as a fraction of the latency target.

    Parameters are those of `level`.
    """
    return prefill_ms(tokens, prefill_rate) / max(1, target_ms)


def level(
    priority: int, tokens: int, target_ms: int, prefill_rate: float | None
) -> int:
    """Return the urgency level of a request.

    Parameters
    ----------
    priority : int
        Priority among all requests; 0 is the highest.
    tokens : int
        Length of the prompt.
    target_ms : int
        Latency target, in ms.
    prefill_rate : float, optional
        Measured prefill rate of the engines, in tokens per ms.
    """
    share = prefill_share(tokens, target_ms, prefill_rate)
    step = next(
        (step for bound, step in _STEPS if share < bound), _LONG_PROMPT_STEP
    )
    return max(
        MOST_URGENT, min(LEAST_URGENT, _PRIORITY_STEP * priority + step)
    )

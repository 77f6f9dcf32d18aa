"""Percentiles and latencies of a run, and its JSON report."""

from __future__ import annotations

import json
import os
import typing as ty

import numpy

from peridotmast.load import oracle as oracle_


def percentiles(values: ty.Sequence[float]) -> dict[str, float]:
    """Return p50, p95, p99 and the count; all are zero without values."""
    if not values:
        return {'p50': 0.0, 'p95': 0.0, 'p99': 0.0, 'count': 0}
    p50, p95, p99 = numpy.percentile(values, (50, 95, 99))
    return {
        'p50': round(float(p50), 2),
        'p95': round(float(p95), 2),
        'p99': round(float(p99), 2),
        'count': len(values),
    }


def latencies(
    outcomes: ty.Iterable[oracle_.Outcome], work: str = 'interactive'
) -> dict[str, dict[str, float]]:
    """Return percentiles of the times to and between tokens, in ms.

    The time between tokens is the mean of each answer, as this is the reading
    speed that a user perceives.
    """
    answers = [
        outcome.answer
        for outcome in outcomes
        if outcome.arrival.work == work and outcome.answer.arrivals
    ]
    first = [float(a.arrivals[0] - a.started_at) for a in answers]
    between = [
        (a.arrivals[-1] - a.arrivals[0]) / (len(a.arrivals) - 1)
        for a in answers
        if len(a.arrivals) > 1
    ]
    return {
        'first_token_ms': percentiles(first),
        'between_tokens_ms': percentiles(between),
    }


def write(folder: str, report: dict[str, ty.Any]) -> str:
    """Write ``report.json`` into `folder` and return its path."""
    os.makedirs(folder, exist_ok=True)
    path = os.path.join(folder, 'report.json')
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(report, file, indent=2, sort_keys=True)
        file.write('\n')
    return path

"""Samples of speeds, as routers report them to each other."""

from __future__ import annotations

import heapq
import math
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.speeds import estimate

MAX_OWN = 32
"""Maximum number of runs in the report of one router, about 1.4 kB."""

MAX_RELAYED = 128
"""Maximum number of runs in the report of a group head, about 5.8 kB."""

_MIN_WEIGHT = 0.25
"""Weight below which the samples of a run are not reported: without requests,
a router stops reporting a run two half-lives after its last sample."""

_MAX_WEIGHT = 1e6
"""Weight above which an entry is malformed: far more requests than a fleet
sends to one upstream within a few half-lives."""

Run = tuple[str, int]
"""Name and start time of a run of an upstream."""

Report = dict[Run, estimate.Samples]
"""Samples by run, as of the time that each of them states."""


def to_messages(
    report: ty.Mapping[Run, estimate.Samples], limit: int
) -> list[pb.SpeedSamples]:
    """Return the entries of a message: those with the most samples.

    Parameters
    ----------
    limit : int
        Maximum number of entries.
    """
    reported = (
        (samples.weight, run)
        for run, samples in report.items()
        if samples.weight >= _MIN_WEIGHT
    )
    return [
        pb.SpeedSamples(
            upstream=run[0],
            born=run[1],
            weight=weight,
            log_sum=report[run].log_sum,
        )
        for weight, run in heapq.nlargest(limit, reported)
    ]


def from_messages(messages: ty.Iterable[pb.SpeedSamples], now: int) -> Report:
    """Return the samples in a message, without malformed entries.

    They are taken to be as of `now`: how long the message took is not known,
    and the ratio of the sums, which the estimate is based on, does not decay.
    """
    return {
        (entry.upstream, entry.born): estimate.Samples(
            entry.weight, entry.log_sum, now
        )
        for entry in messages
        if _is_valid(entry)
    }


def total(now: int, parts: ty.Iterable[Report]) -> Report:
    """Return the sums of several reports, decayed to `now`."""
    found: Report = {}
    for part in parts:
        for run, samples in part.items():
            samples.decay(now)
            known = found.get(run)
            if known is None:
                known = found[run] = estimate.Samples(at=now)
            known.merge(samples)
    return found


def excluding(now: int, totals: Report, part: Report) -> Report:
    """Return the samples in `totals` that are not in one of its parts."""
    found = dict(totals)
    for run, samples in part.items():
        if run in totals:
            samples.decay(now)
            rest = estimate.Samples(at=now)
            rest.merge(totals[run])
            rest.merge(samples, -1)
            found[run] = rest
    return found


def _is_valid(entry: pb.SpeedSamples) -> bool:
    # The comparisons are also false for values that are not numbers.
    bound = entry.weight * math.log(estimate.MAX_SPEED) * 1.001
    return 0 < entry.weight <= _MAX_WEIGHT and abs(entry.log_sum) <= bound

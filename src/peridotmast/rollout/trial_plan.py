"""Pace of trial requests, and the upstreams that get them."""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
import typing as ty

from peridotmast.rollout import exposure_ledger

RouterRun = exposure_ledger.RouterRun

_ROTATION_MS = 1000
"""Time after which other upstreams get the trial requests, if a single one is
enough to carry them: a fault of one upstream must not look like one of its
version."""

_ROTATED = 4
"""Number of upstreams that take turns then."""

_MAX_UNUSED = 2
"""Trial requests that a router without much traffic may hold unused."""

_UNUSED_MS = 500
"""Time in which a router is expected to use its trial requests."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """How fast trial requests are sent, and to how many upstreams."""

    per_second: float
    upstreams: int


def plan_pace(
    budget: float, left_ms: int, rate: float, others: int, targets: int
) -> Pace:
    """Return the pace at which the budget lasts for the whole trial.

    The requests go to so few upstreams that each carries the load of an
    upstream of the other versions, so that a version that is bad under load
    shows it.

    Parameters
    ----------
    budget : float
        Trial requests that are left.
    left_ms : int
        Time until the end of the trial, in ms.
    rate : float
        Requests per second to the service.
    others, targets : int
        Number of upstreams of the other versions, and of the target.
    """
    per_second = max(0.0, budget) / max(1.0, left_ms / 1000)
    usual = rate / max(1, others)
    wanted = round(per_second / usual) if usual else targets
    upstreams = max(1, min(targets, wanted))
    return Pace(min(per_second, max(usual, 1.0) * upstreams), upstreams)


def choose_upstreams(
    names: ty.Sequence[tuple[str, str]], count: int, elapsed_ms: int
) -> list[str]:
    """Return the upstreams that get the trial requests now.

    Parameters
    ----------
    names : sequence of tuple
        Failure domain and name of each upstream of the target.
    count : int
        Number of upstreams to choose, spread over the failure domains.
    elapsed_ms : int
        Time since the order, in ms.
    """
    by_domain = [
        [name for _, name in group]
        for _, group in itertools.groupby(
            sorted(names), key=lambda item: item[0]
        )
    ]
    spread = [
        name
        for names_ in itertools.zip_longest(*by_domain)
        for name in names_
        if name is not None
    ]
    if not spread:
        return []
    turn = 0 if count > 1 else elapsed_ms // _ROTATION_MS
    start = turn % min(len(spread), max(_ROTATED, count))
    return [spread[(start + n) % len(spread)] for n in range(count)]


class Distribution:
    """Distributes trial requests over the routers, by their traffic.

    Parameters
    ----------
    seed : str
        Seed of the random choices.
    """

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._credit = 0.0

    def distribute(
        self,
        ledger: exposure_ledger.ExposureLedger,
        rates: ty.Mapping[RouterRun, float],
        unused: ty.Mapping[RouterRun, int],
        due: float,
    ) -> None:
        """Give out the requests that are due.

        Parameters
        ----------
        rates : mapping
            Requests per second to the service at each router.
        unused : mapping
            Trial requests that each router has not used yet.
        due : float
            Trial requests that are due since the last call.
        """
        self._credit = min(self._credit + due, max(1.0, 2 * due))
        room = {
            run: _room(rate, unused.get(run, 0)) for run, rate in rates.items()
        }
        for _ in range(math.floor(self._credit)):
            open_runs = [run for run, count in room.items() if count > 0]
            if not open_runs or ledger.available <= 0:
                return
            weights = [rates[run] + 0.1 for run in open_runs]
            [run] = self._random.choices(open_runs, weights)
            room[run] -= ledger.give(run, 1)
            self._credit -= 1


def _room(rate: float, unused: int) -> int:
    """Return how many more trial requests a router can use soon."""
    usable = max(_MAX_UNUSED, math.ceil(rate * _UNUSED_MS / 1000))
    return usable - unused

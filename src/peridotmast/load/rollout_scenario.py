"""Versions and troubles in simulated roll-outs."""

from __future__ import annotations

import dataclasses
import enum
import random


class Badness(enum.Enum):
    """How the target of a simulated roll-out is bad."""

    GOOD = 'good'
    FAILING = 'failing'
    SLOW = 'slow'
    LATE_FAILING = 'late-failing'
    LATE_SLOW = 'late-slow'
    UNDER_LOAD = 'under-load'
    ONE_ROUTE = 'one-route'


class Trouble(enum.Enum):
    """What else happens during a simulated roll-out."""

    NONE = 'none'
    BURST = 'burst'
    GREY = 'grey'
    HOLDER_LOST = 'holder-lost'
    CUT = 'cut'
    STORE_DOWN = 'store-down'
    DOMAIN_SLOW = 'domain-slow'


@dataclasses.dataclass(frozen=True)
class Scenario:
    """All that is drawn at random for one simulated roll-out."""

    seed: int
    badness: Badness
    trouble: Trouble
    duration_ms: int
    boot_ms: int
    rate: float
    """Requests per second."""
    bad_from_ms: int
    """Time after the order from which on the target is bad."""
    failing: float
    """Share of the bad target's answers that are failures."""
    slowing: float
    slow_factor: float
    trouble_at_ms: int
    trouble_ms: int


ROUTES = {'digest': 0.26, 'draft': 0.37, 'tag': 0.37}
"""Routes and their shares of the requests."""

BAD_ROUTE = 'digest'
ROUTERS = 6
UPSTREAMS = 12
DOMAINS = 4
TARGET = 'v2'


def draw(badness: Badness, trouble: Trouble, seed: int) -> Scenario:
    """Draw a scenario."""
    rng = random.Random(f'{badness.value}|{trouble.value}|{seed}')
    duration_ms = rng.choice((12_000, 12_000, 20_000, 30_000))
    is_late = badness in (Badness.LATE_FAILING, Badness.LATE_SLOW)
    is_slow = badness in (Badness.SLOW, Badness.LATE_SLOW)
    return Scenario(
        seed,
        badness,
        trouble,
        duration_ms,
        boot_ms=rng.randint(500, 4000),
        rate=rng.uniform(40, 90),
        bad_from_ms=int(duration_ms * rng.uniform(0.2, 0.9)) if is_late else 0,
        failing=0 if is_slow else rng.uniform(0.15, 0.9),
        slowing=rng.uniform(0.3, 1.0) if is_slow else 0,
        slow_factor=rng.uniform(3, 6),
        trouble_at_ms=int(duration_ms * rng.uniform(0.05, 0.8)),
        trouble_ms=rng.randint(1000, 5000),
    )

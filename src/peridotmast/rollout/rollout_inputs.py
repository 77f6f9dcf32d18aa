"""What the decisions on a roll-out depend on."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.rollout import exposure_ledger

RouterRun = exposure_ledger.RouterRun


@dataclasses.dataclass(frozen=True)
class RolloutLimits:
    """What the platform demands of roll-outs."""

    share: float
    """Share of the service's requests that the target may get on trial."""
    slack: int
    """Requests that it may get in addition."""
    shift_ms: int = 2600
    """Time from the begin of a shift to the time limit, in ms."""


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Upstreams of one service and routers, as the holder sees them."""

    targets: ty.Sequence[tuple[str, str]]
    """Failure domain and name of each upstream of the target."""
    others: int
    """Number of upstreams of other versions."""
    routers: ty.Collection[RouterRun]
    """Runs of the routers that are alive."""

"""Load of an engine service compared to the capacity of its upstreams."""

from __future__ import annotations

import dataclasses
import math
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstream_view

Views = ty.Iterable[upstream_view.UpstreamView]

_MAX_RATIO = 4.0
"""Maximum ratio of load to capacity that is taken into account, so that the
smoothed ratio falls within about a second once capacity returns."""

_SMOOTHING_MS = 500
"""Time constant of the smoothing, in ms: two rounds of beacons, by which each
load was reported once. Bursts last for seconds."""

_SHORT_RATIO = 0.9
"""Ratio of load to capacity from which on capacity is short. Placement does
not spread load evenly, so some engines queue before all slots are in use."""

_SUFFICIENT_RATIO = 0.75
"""Ratio below which capacity suffices again. The distance to `_SHORT_RATIO`
exceeds what single requests change, so that the order does not alternate."""


@dataclasses.dataclass(frozen=True)
class Figures:
    """Load and capacity of a service, for all routers."""

    running: float = 0.0
    """Requests sent to its upstreams, including those that wait there."""
    slots: int = 0
    """Requests that its live upstreams run at the same time."""
    memory: float = 0.0
    """Tokens that these requests occupy or will occupy."""
    memory_tokens: int = 0
    """Tokens that fit into the memory of the live upstreams."""
    used_slots: int = 0
    """Slots of the live upstreams that are known to be in use."""

    @property
    def ratio(self) -> float:
        """Ratio of load to capacity, by slots or memory, whichever is more."""
        if not self.slots or not self.memory_tokens:
            return _MAX_RATIO if self.running else 0.0
        ratio = max(
            self.running / self.slots, self.memory / self.memory_tokens
        )
        return min(_MAX_RATIO, ratio)

    @property
    def is_half_idle(self) -> bool:
        """Whether less than half of the slots are known to be in use."""
        return 2 * self.used_slots < self.slots


def measure(
    service: pb.Service,
    live: Views,
    leaving: Views = (),
    missing_routers: float = 0.0,
) -> Figures:
    """Return the load and the capacity of a service.

    Parameters
    ----------
    service : pb.Service
        The service.
    live : iterable of UpstreamView
        Its live upstreams. Only these count as capacity.
    leaving : iterable of UpstreamView
        Its upstreams that are about to leave. Their requests count as load,
        as many of them go on at live upstreams.
    missing_routers : float
        Number of routers whose reports are missing. Each of them counts with
        the same load as this router. If all others are missing, the result is
        this router's load times the number of routers.
    """
    slots = memory_tokens = used_slots = 0
    total, own = upstream_view.Load(), upstream_view.Load()
    for view in live:
        view_slots = min(view.slots, service.slots)
        slots += view_slots
        memory_tokens += service.memory_tokens
        used_slots += min(view_slots, view.total_load().running)
        total.add(view.total_load())
        own.add(view.local_load)
    for view in leaving:
        total.add(view.total_load())
        own.add(view.local_load)
    return Figures(
        total.running + missing_routers * own.running,
        slots,
        total.memory + missing_routers * own.memory,
        memory_tokens,
        used_slots,
    )


class ScarcityState:
    """Whether the capacity of one service is short, with hysteresis."""

    def __init__(self) -> None:
        self.figures = Figures()
        """The latest figures."""
        self.ratio = 0.0
        """Smoothed ratio of load to capacity."""
        self.is_short = False
        """Whether capacity is short."""
        self._updated_at: ty.Optional[int] = None

    def update(self, figures: Figures, now: int) -> bool:
        """Take new figures, and return whether `is_short` has changed.

        Parameters
        ----------
        now : int
            Time of the figures, in ms.
        """
        elapsed = 0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self.figures = figures
        weight = -math.expm1(-elapsed / _SMOOTHING_MS)
        self.ratio += weight * (figures.ratio - self.ratio)
        bound = _SUFFICIENT_RATIO if self.is_short else _SHORT_RATIO
        was_short, self.is_short = self.is_short, self.ratio >= bound
        return was_short != self.is_short

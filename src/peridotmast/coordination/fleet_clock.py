"""The time of day that the fleet agrees on, whatever one VM's clock says."""

from __future__ import annotations

import statistics
import typing as ty

from peridotmast import clock as clock_

_KEEP_MS = 10_000
"""How long a peer's reading counts; clocks drift little in that time."""

_RECKON_MS = 250
"""Time between two medians: the time is asked for with each request and each
beacon, and a median of 62 clocks takes 0.1 ms."""


class FleetClock:
    """The median of this router's and its peers' clocks.

    A VM's time of day may jump by seconds; fewer than half of them do so at
    once, so the median stays. It rests on the clock that never jumps: each
    reading is kept as its distance from that one.

    Parameters
    ----------
    clock : clock.Clock
        This VM's clocks.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._offsets: dict[str, tuple[int, int]] = {}
        self._followed: ty.Optional[tuple[int, int]] = None
        self._median = 0
        self._reckon_at = 0

    def record_peer(self, peer: str, wall_ms: int) -> None:
        """Take in the time of day that a peer has just sent."""
        boot = self._clock.boot()
        self._offsets[peer] = (wall_ms - boot, boot)

    def follow_head(self, now_ms: int) -> None:
        """Take the fleet's time over from a router that hears more clocks."""
        boot = self._clock.boot()
        self._followed = (now_ms - boot, boot)
        self._reckon_at = 0

    def use_own_median(self) -> None:
        """Go by the clocks that are heard here."""
        self._followed = None

    def now(self) -> int:
        """Return ms since 1970, by the median of all clocks."""
        boot = self._clock.boot()
        if boot >= self._reckon_at:
            self._reckon(boot)
        return boot + self._median

    def _reckon(self, boot: int) -> None:
        self._offsets = {
            peer: (offset, at)
            for peer, (offset, at) in self._offsets.items()
            if boot - at < _KEEP_MS
        }
        self._reckon_at = boot + _RECKON_MS
        if self._followed and boot - self._followed[1] < _KEEP_MS:
            self._median = self._followed[0]
            return
        mine = self._clock.wall() - boot
        offsets = [mine, *(offset for offset, _ in self._offsets.values())]
        self._median = int(statistics.median(offsets))

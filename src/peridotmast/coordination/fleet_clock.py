"""The time of day that the fleet agrees on, even if one VM's clock is off."""

from __future__ import annotations

import statistics
import typing as ty

from peridotmast import clock as clock_

_READING_VALID_MS = 10_000
"""How long a peer's clock reading is used; clocks drift little meanwhile."""

_UPDATE_MS = 250
"""Time between updates of the median: the time is read for each request and
each beacon, and a median of 62 clocks takes 0.1 ms."""


class FleetClock:
    """The median of the clocks of this router and its peers.

    A VM's time of day may jump by seconds. The median stays correct, since
    fewer than half of the clocks jump at the same time. Each clock reading is
    stored as its offset from this VM's boot clock, which never jumps.

    Parameters
    ----------
    clock : clock.Clock
        This VM's clocks.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._offsets: dict[str, tuple[int, int]] = {}
        self._head_offset: ty.Optional[tuple[int, int]] = None
        self._median = 0
        self._update_at = 0

    def record_peer(self, peer: str, wall_ms: int) -> None:
        """Record the time of day that a peer has just sent."""
        boot = self._clock.boot_time()
        self._offsets[peer] = (wall_ms - boot, boot)

    def adopt_head_time(self, now_ms: int) -> None:
        """Adopt the time from a group head, which receives more clocks."""
        boot = self._clock.boot_time()
        self._head_offset = (now_ms - boot, boot)
        self._update_at = 0

    def use_own_median(self) -> None:
        """Use the median of the clock readings that this router receives."""
        self._head_offset = None

    def now(self) -> int:
        """Return the fleet's time, in ms since 1970."""
        boot = self._clock.boot_time()
        if boot >= self._update_at:
            self._update(boot)
        return boot + self._median

    def _update(self, boot: int) -> None:
        self._offsets = {
            peer: (offset, at)
            for peer, (offset, at) in self._offsets.items()
            if boot - at < _READING_VALID_MS
        }
        self._update_at = boot + _UPDATE_MS
        if (
            self._head_offset
            and boot - self._head_offset[1] < _READING_VALID_MS
        ):
            self._median = self._head_offset[0]
            return
        own_offset = self._clock.wall_time() - boot
        offsets = [
            own_offset,
            *(offset for offset, _ in self._offsets.values()),
        ]
        self._median = int(statistics.median(offsets))

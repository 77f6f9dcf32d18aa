"""Requests that upstreams began, counted by team and window of time."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

_KEPT_WINDOWS = 8
"""Windows that are kept: reports are due two windows later, and the next
holder of the duty may be late by a lease."""

Counts = dict[str, int]


class Usage:
    """This router's counts and what it has heard of the others'.

    Every router keeps every router's counts, so that whoever holds the duty
    can report a window, also that of a router which was killed since.

    Parameters
    ----------
    fleet_now : callable
        Returns ms since 1970 by the fleet's clock.
    window_ms : int
        Length of a window.
    """

    def __init__(
        self, fleet_now: ty.Callable[[], int], window_ms: int
    ) -> None:
        self._fleet_now = fleet_now
        self._window_ms = window_ms
        self._mine: dict[int, collections.Counter[str]] = {}
        self._others: dict[tuple[str, int], dict[int, Counts]] = {}

    def window_at(self, ms: int) -> int:
        """Return the number of the window at `ms` since 1970."""
        return ms // self._window_ms

    def window_now(self) -> int:
        """Return the number of the window that is open."""
        return self.window_at(self._fleet_now())

    def began(self, team: str, ago_ms: int = 0) -> None:
        """Count a request that an upstream began `ago_ms` ago."""
        if not team:
            return
        window = self.window_at(self._fleet_now() - ago_ms)
        counter = self._mine.setdefault(window, collections.Counter())
        counter[team] += 1
        self._drop_old(self._mine, window)

    def counts(self) -> list[pb.UsageCount]:
        """Return this router's counts, for its beacon."""
        self._forget_ended()
        return [
            pb.UsageCount(window=window, requests=dict(counter))
            for window, counter in self._mine.items()
        ]

    def hear(
        self,
        router: str,
        incarnation: int,
        counts: ty.Iterable[pb.UsageCount],
    ) -> None:
        """Take in another router's counts."""
        known = self._others.setdefault((router, incarnation), {})
        for count in counts:
            known[count.window] = dict(count.requests)
        self._drop_old(known, self.window_now())

    def total(self, window: int) -> Counts:
        """Return the requests of each team in `window`, at all routers."""
        total = collections.Counter(self._mine.get(window, {}))
        for counts in self._others.values():
            total.update(counts.get(window, {}))
        return dict(total)

    def _forget_ended(self) -> None:
        """Drop the runs of routers of which no window is kept any more."""
        newest = self.window_now()
        for key, windows in list(self._others.items()):
            self._drop_old(windows, newest)
            if not windows:
                del self._others[key]

    def _drop_old(self, windows: dict[int, ty.Any], newest: int) -> None:
        for window in [w for w in windows if w <= newest - _KEPT_WINDOWS]:
            del windows[window]

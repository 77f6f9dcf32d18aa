"""Requests that upstreams began, counted by team and window of time."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

_KEPT_WINDOWS = 8
"""Windows that are kept: reports are due two windows later, and the next
holder of the duty may be late by a lease."""

_TOLD_WINDOWS = 4
"""Windows that a head tells of: those that are open or due."""

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
        self._groups: dict[int, dict[int, Counts]] = {}
        self._fleet: dict[int, Counts] = {}

    def window_at(self, ms: int) -> int:
        """Return the number of the window at `ms` since 1970."""
        return ms // self._window_ms

    def window_now(self) -> int:
        """Return the number of the window that is open."""
        return self.window_at(self._fleet_now())

    def count_started(self, team: str, ago_ms: int = 0) -> None:
        """Count a request that an upstream began `ago_ms` ago."""
        if not team:
            return
        window = self.window_at(self._fleet_now() - ago_ms)
        counter = self._mine.setdefault(window, collections.Counter())
        counter[team] += 1
        self._drop_old(self._mine, window)

    def counts(self) -> list[pb.UsageCount]:
        """Return this router's own counts, by window."""
        self._forget_ended()
        return [
            pb.UsageCount(window=window, requests=dict(counter))
            for window, counter in self._mine.items()
        ]

    def merge_router(
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

    def merge_group(
        self, group: int, counts: ty.Iterable[pb.UsageCount]
    ) -> None:
        """Take in another group's counts, from whoever is its head."""
        _raise_to(self._groups.setdefault(group, {}), counts)
        self._drop_old(self._groups[group], self.window_now())

    def regroup(self, is_member: ty.Callable[[str], bool]) -> None:
        """Drop what other groups' heads tell under their new numbers."""
        self._groups = {}
        self._others = {
            key: windows
            for key, windows in self._others.items()
            if is_member(key[0])
        }

    def merge_fleet(self, counts: ty.Iterable[pb.UsageCount]) -> None:
        """Take in from the own head what all others count."""
        _raise_to(self._fleet, counts)
        self._drop_old(self._fleet, self.window_now())

    def total(self, window: int) -> Counts:
        """Return the requests of each team in `window`, at all routers.

        What the head has told, or what this router has heard itself, where
        that is more: of either, some may be missing, and nothing is counted
        twice.
        """
        told = collections.Counter(self._mine.get(window, {}))
        told.update(self._fleet.get(window, {}))
        return dict(told | collections.Counter(self._heard(window)))

    def group_counts(self) -> list[pb.UsageCount]:
        """Return what this router and its members count, by window."""
        return [
            pb.UsageCount(window=window, requests=self._members(window))
            for window in self._windows()
        ]

    def others_counts(
        self, members: ty.Iterable[str]
    ) -> ty.Iterator[list[pb.UsageCount]]:
        """Yield for each of some members what all but that one count."""
        everybody = {w: self._heard(w) for w in self._windows()}
        runs = collections.defaultdict(list)
        for (router, _), windows in self._others.items():
            runs[router].append(windows)
        for member in members:
            found = []
            for window, heard in everybody.items():
                counts = dict(heard)
                for windows in runs.get(member, ()):
                    for team, count in windows.get(window, {}).items():
                        counts[team] -= count
                found.append(pb.UsageCount(window=window, requests=counts))
            yield found

    def _heard(self, window: int) -> Counts:
        """Return what this router knows of itself, members and groups."""
        total = collections.Counter(self._members(window))
        for windows in self._groups.values():
            total.update(windows.get(window, {}))
        return dict(total)

    def _members(self, window: int) -> Counts:
        total = collections.Counter(self._mine.get(window, {}))
        for counts in self._others.values():
            total.update(counts.get(window, {}))
        return dict(total)

    def _windows(self) -> list[int]:
        """Return the windows that may still be reported."""
        newest = self.window_now()
        return list(range(newest - _TOLD_WINDOWS + 1, newest + 1))

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


def _raise_to(
    known: dict[int, Counts], counts: ty.Iterable[pb.UsageCount]
) -> None:
    """Take counts in where they are more: none ever falls."""
    for count in counts:
        before = collections.Counter(known.get(count.window, {}))
        known[count.window] = dict(
            before | collections.Counter(dict(count.requests))
        )

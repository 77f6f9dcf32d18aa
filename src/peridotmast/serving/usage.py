"""Counts requests that upstreams started, by team and usage window."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

_KEPT_WINDOWS = 8
"""Number of windows whose counts are kept: the counts of a window are reported
two windows later, and a new holder of the reporting duty may report them with
an additional delay of one lease."""

_SENT_WINDOWS = 4
"""Number of windows whose counts a group head sends: the current window and
those whose counts are not reported yet."""

Counts = dict[str, int]


class Usage:
    """Usage counts of this router and of all other routers.

    Every router keeps the counts of every other router. Any holder of the
    reporting duty can therefore report the counts of a window, including those
    of a router that was killed in the meantime.

    Parameters
    ----------
    fleet_now : callable
        Returns the time of the fleet clock, in ms since 1970.
    window_ms : int
        Length of a window, in ms.
    """

    def __init__(
        self, fleet_now: ty.Callable[[], int], window_ms: int
    ) -> None:
        self._fleet_now = fleet_now
        self._window_ms = window_ms
        self._own: dict[int, collections.Counter[str]] = {}
        self._counts_by_run: dict[tuple[str, int], dict[int, Counts]] = {}
        self._counts_by_group: dict[int, dict[int, Counts]] = {}
        self._counts_from_head: dict[int, Counts] = {}

    def window_at(self, ms: int) -> int:
        """Return the number of the window at `ms` since 1970."""
        return ms // self._window_ms

    def window_now(self) -> int:
        """Return the number of the current window."""
        return self.window_at(self._fleet_now())

    def count_started(self, team: str, ago_ms: int = 0) -> None:
        """Count a request of `team` that an upstream started `ago_ms` ago."""
        if not team:
            return
        window = self.window_at(self._fleet_now() - ago_ms)
        counter = self._own.setdefault(window, collections.Counter())
        counter[team] += 1
        self._drop_old(self._own, window)

    def counts(self) -> list[pb.UsageCount]:
        """Return this router's own counts, by window."""
        self._drop_ended_runs()
        return [
            pb.UsageCount(window=window, requests=dict(counter))
            for window, counter in self._own.items()
        ]

    def merge_router(
        self,
        router: str,
        incarnation: int,
        counts: ty.Iterable[pb.UsageCount],
    ) -> None:
        """Store the counts that another router has sent."""
        known = self._counts_by_run.setdefault((router, incarnation), {})
        for count in counts:
            known[count.window] = dict(count.requests)
        self._drop_old(known, self.window_now())

    def merge_group(
        self, group: int, counts: ty.Iterable[pb.UsageCount]
    ) -> None:
        """Merge the counts of another group, sent by its current head."""
        _merge_max(self._counts_by_group.setdefault(group, {}), counts)
        self._drop_old(self._counts_by_group[group], self.window_now())

    def regroup(self, is_member: ty.Callable[[str], bool]) -> None:
        """Drop the counts of groups and former members after a regrouping.

        The groups are renumbered, so counts under old numbers are invalid.
        """
        self._counts_by_group = {}
        self._counts_by_run = {
            key: windows
            for key, windows in self._counts_by_run.items()
            if is_member(key[0])
        }

    def merge_fleet(self, counts: ty.Iterable[pb.UsageCount]) -> None:
        """Merge the counts of all other routers, sent by the group head."""
        _merge_max(self._counts_from_head, counts)
        self._drop_old(self._counts_from_head, self.window_now())

    def total(self, window: int) -> Counts:
        """Return the requests of each team in `window`, at all routers.

        The number for a team is the larger of the total sent by the group
        head and the total of the counts received directly: either may be
        incomplete, but neither counts a request twice.
        """
        total_from_head = collections.Counter(self._own.get(window, {}))
        total_from_head.update(self._counts_from_head.get(window, {}))
        return dict(
            total_from_head | collections.Counter(self._received(window))
        )

    def group_counts(self) -> list[pb.UsageCount]:
        """Return the counts of this router and its members, by window."""
        return [
            pb.UsageCount(window=window, requests=self._group_total(window))
            for window in self._windows()
        ]

    def counts_excluding_each(
        self, members: ty.Iterable[str]
    ) -> ty.Iterator[list[pb.UsageCount]]:
        """Yield, for each member, the counts of all routers but the member."""
        all_counts = {w: self._received(w) for w in self._windows()}
        runs = collections.defaultdict(list)
        for (router, _), windows in self._counts_by_run.items():
            runs[router].append(windows)
        for member in members:
            remaining_counts = []
            for window, received in all_counts.items():
                counts = dict(received)
                for windows in runs.get(member, ()):
                    for team, count in windows.get(window, {}).items():
                        counts[team] -= count
                remaining_counts.append(
                    pb.UsageCount(window=window, requests=counts)
                )
            yield remaining_counts

    def _received(self, window: int) -> Counts:
        """Return the counts of this router, its members and other groups."""
        total = collections.Counter(self._group_total(window))
        for windows in self._counts_by_group.values():
            total.update(windows.get(window, {}))
        return dict(total)

    def _group_total(self, window: int) -> Counts:
        total = collections.Counter(self._own.get(window, {}))
        for counts in self._counts_by_run.values():
            total.update(counts.get(window, {}))
        return dict(total)

    def _windows(self) -> list[int]:
        """Return the windows whose counts are not reported yet."""
        newest = self.window_now()
        return list(range(newest - _SENT_WINDOWS + 1, newest + 1))

    def _drop_ended_runs(self) -> None:
        """Drop the runs of other routers whose windows are all too old."""
        newest = self.window_now()
        for key, windows in list(self._counts_by_run.items()):
            self._drop_old(windows, newest)
            if not windows:
                del self._counts_by_run[key]

    def _drop_old(self, windows: dict[int, ty.Any], newest: int) -> None:
        for window in [w for w in windows if w <= newest - _KEPT_WINDOWS]:
            del windows[window]


def _merge_max(
    known: dict[int, Counts], counts: ty.Iterable[pb.UsageCount]
) -> None:
    """Merge counts by maximum, so that no count ever decreases."""
    for count in counts:
        before = collections.Counter(known.get(count.window, {}))
        known[count.window] = dict(
            before | collections.Counter(dict(count.requests))
        )

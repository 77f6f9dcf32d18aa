"""Fleet-wide counts, summed from the cumulative counts of routers."""

from __future__ import annotations

import collections
import typing as ty

Counts = dict[str, int]
"""Counts by name, each cumulative since the reporting router started."""

Apply = ty.Callable[[Counts], None]


_OWN_GROUP = -1
"""Key of this router's own group in the table of heads."""


class DeltaTracker:
    """Converts the cumulative counts of each reporter into increments."""

    def __init__(self) -> None:
        self._reported: dict[str, tuple[int, Counts]] = {}

    def update(
        self, reporter: str, run: int, counts: Counts, is_new: bool = False
    ) -> Counts:
        """Return the increments since the reporter's last report.

        The first report of a reporter is the baseline, so counts from before
        it are ignored. A new run of a known reporter counts from 0. A report
        may leave counts out.

        Parameters
        ----------
        is_new : bool
            Whether the run has just begun, so that it counts from 0 also if
            the reporter is not known.
        """
        known = self._reported.get(reporter)
        if known is not None and known[0] > run:
            return {}
        before = known[1] if known and known[0] == run else {}
        self._reported[reporter] = run, {**before, **counts}
        if known is None and not is_new:
            return {}
        return {
            name: count - before.get(name, 0)
            for name, count in counts.items()
            if count != before.get(name, 0)
        }

    def knows(self, reporter: str, run: int) -> bool:
        """Return whether there is a baseline for a run of a reporter."""
        known = self._reported.get(reporter)
        return known is not None and known[0] == run

    def drop(self, reporter: str) -> None:
        """Drop a reporter's baseline; its next report sets a new one."""
        self._reported.pop(reporter, None)

    def retain(self, reporters: ty.Collection[str]) -> None:
        """Drop the baselines of all reporters except `reporters`."""
        self._reported = {
            r: v for r, v in self._reported.items() if r in reporters
        }


class FleetCounts:
    """Fleet-wide totals of one kind of count, as tracked by one router.

    In a small fleet every router receives the counts of every other router. In
    a large fleet the head of a group receives the counts of its members and,
    from each other head, the sum over that head's group; a member receives
    from its head the sum over all other routers. Each increment is passed to
    `apply` once, by whichever path it arrives. Other received counts, such as
    the members' counts at the head's successor, are kept in case the router
    becomes head.

    Parameters
    ----------
    own : callable
        Returns this router's own counts, cumulative over its run.
    apply : callable
        Called with the increments of the other routers' counts.
    """

    def __init__(self, own: ty.Callable[[], Counts], apply: Apply) -> None:
        self._own = own
        self._apply = apply
        self._routers = DeltaTracker()
        self._groups = DeltaTracker()
        self._fleet = DeltaTracker()
        self._heads: dict[int, str] = {}
        self._by_router: dict[str, collections.Counter[str]] = {}
        self._departed: collections.Counter[str] = collections.Counter()
        self._outside_group: collections.Counter[str] = collections.Counter()

    def receive(
        self,
        router: str,
        run: int,
        counts: Counts,
        counted: bool,
        is_new: bool = False,
    ) -> None:
        """Process the counts of another router.

        Parameters
        ----------
        counted : bool
            Whether this router takes the other router's counts from this path,
            so that the increments are passed to `apply`.
        is_new : bool
            Whether the other router's run has just begun.
        """
        increments = self._routers.update(router, run, counts, is_new)
        _add(
            self._by_router.setdefault(router, collections.Counter()),
            increments,
        )
        if counted:
            self._apply(increments)

    def receive_group(
        self, group: int, head: str, run: int, counts: Counts, counted: bool
    ) -> None:
        """Process the sum of another group, from its head."""
        if self._heads.get(group) != head:
            # The group's last report came from another head, or there is none.
            self._heads[group] = head
            self._groups.drop(head)
        increments = self._groups.update(head, run, counts)
        _add(self._outside_group, increments)
        if counted:
            self._apply(increments)

    def knows_head(self, group: int, head: str, run: int) -> bool:
        """Return whether another group's last report came from this head."""
        return self._heads.get(group) == head and self._groups.knows(head, run)

    def receive_fleet(
        self, head: str, run: int, counts: Counts, counted: bool
    ) -> None:
        """Process the sum over all other routers, from this group's head."""
        if self._heads.get(_OWN_GROUP) != head:
            self._heads[_OWN_GROUP] = head
            self._fleet.drop(head)
        increments = self._fleet.update(head, run, counts)
        if counted:
            self._apply(increments)

    def add_estimate(self, counts: Counts) -> None:
        """Add estimated counts of routers whose reports are missing."""
        _add(self._outside_group, counts)
        self._apply(counts)

    def group_total(self) -> Counts:
        """Return the sum over this router and its members."""
        total = collections.Counter(self._departed)
        _add(total, self._own())
        for counts in self._by_router.values():
            _add(total, counts)
        return dict(total)

    def totals_excluding_each(
        self, members: ty.Iterable[str]
    ) -> ty.Iterator[Counts]:
        """Yield for each member the sum over all routers but that member."""
        fleet_total = collections.Counter(self.group_total())
        _add(fleet_total, self._outside_group)
        for member in members:
            total = dict(fleet_total)
            for name, count in self._by_router.get(member, {}).items():
                total[name] -= count
            yield total

    def reset_sources(self) -> None:
        """Drop all baselines, because reports arrive by other paths now.

        Counts that the new paths report up to now have already arrived by the
        previous paths.
        """
        self._routers = DeltaTracker()
        self._groups = DeltaTracker()
        self._fleet = DeltaTracker()
        self._heads = {}

    def retain(self, routers: ty.Collection[str]) -> None:
        """Merge the counts of all routers except `routers` into one sum."""
        self._routers.retain(routers)
        for router in self._by_router.keys() - set(routers):
            _add(self._departed, self._by_router.pop(router))


def _add(total: collections.Counter[str], counts: Counts) -> None:
    # A plain sum, since increments may be negative: a team's spend decreases
    # when a request did not run.
    for name, count in counts.items():
        total[name] += count

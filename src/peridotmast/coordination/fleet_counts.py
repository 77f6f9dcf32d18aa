"""Counts that routers add to, taken in from whoever tells of them."""

from __future__ import annotations

import collections
import typing as ty

Counts = dict[str, int]
"""Counts by name, each since its source began."""

Apply = ty.Callable[[Counts], None]


_OWN = -1
"""Stands for this router's own group among those whose heads are known."""


class DeltaTracker:
    """What has been heard of counts that grow, by who tells them."""

    def __init__(self) -> None:
        self._heard: dict[str, tuple[int, Counts]] = {}

    def update(self, teller: str, run: int, counts: Counts) -> Counts:
        """Return by how much the counts have grown since they were told.

        What was counted before a teller is first heard is past; a new run of
        it counts from 0.
        """
        known = self._heard.get(teller)
        if known is not None and known[0] > run:
            return {}
        self._heard[teller] = run, counts
        if known is None:
            return {}
        before = known[1] if known[0] == run else {}
        return {
            name: count - before.get(name, 0)
            for name, count in counts.items()
            if count != before.get(name, 0)
        }

    def drop(self, teller: str) -> None:
        """Forget one: what it counts from now on is new."""
        self._heard.pop(teller, None)

    def retain(self, tellers: ty.Collection[str]) -> None:
        """Drop what was heard of all tellers but these."""
        self._heard = {t: v for t, v in self._heard.items() if t in tellers}


class FleetCounts:
    """One kind of count over all routers, at one of them.

    A router of a small fleet hears every other. In a large one a head hears
    its members and the other heads, each of which tells for its group; a
    member hears from its head what all others count. What grows is told to
    `apply`, once, whichever way it comes; what a router hears beside, as the
    one that would be head next, is kept for when it is.

    Parameters
    ----------
    own : callable
        Returns this router's own counts, in all its run.
    apply : callable
        Told by how much the others' counts have grown.
    """

    def __init__(self, own: ty.Callable[[], Counts], apply: Apply) -> None:
        self._own = own
        self._apply = apply
        self._routers = DeltaTracker()
        self._groups = DeltaTracker()
        self._fleet = DeltaTracker()
        self._heads: dict[int, str] = {}
        self._grown: dict[str, collections.Counter[str]] = {}
        self._gone: collections.Counter[str] = collections.Counter()
        self._elsewhere: collections.Counter[str] = collections.Counter()

    def receive(
        self, router: str, run: int, counts: Counts, counted: bool
    ) -> None:
        """Take in what another router counts.

        Parameters
        ----------
        counted : bool
            Whether this is the way by which this router hears of it.
        """
        grown = self._routers.update(router, run, counts)
        _add(self._grown.setdefault(router, collections.Counter()), grown)
        if counted:
            self._apply(grown)

    def receive_group(
        self, group: int, head: str, run: int, counts: Counts, counted: bool
    ) -> None:
        """Take in what another group counts."""
        if self._heads.get(group) != head:
            # Another one has told of it meanwhile, or nobody has.
            self._heads[group] = head
            self._groups.drop(head)
        grown = self._groups.update(head, run, counts)
        _add(self._elsewhere, grown)
        if counted:
            self._apply(grown)

    def receive_fleet(
        self, head: str, run: int, counts: Counts, counted: bool
    ) -> None:
        """Take in from the own head what all others count."""
        if self._heads.get(_OWN) != head:
            self._heads[_OWN] = head
            self._fleet.drop(head)
        grown = self._fleet.update(head, run, counts)
        if counted:
            self._apply(grown)

    def add_estimate(self, counts: Counts) -> None:
        """Take in what others may have counted while nobody told of it."""
        _add(self._elsewhere, counts)
        self._apply(counts)

    def group_total(self) -> Counts:
        """Return what this router and its members count."""
        total = collections.Counter(self._gone)
        _add(total, self._own())
        for grown in self._grown.values():
            _add(total, grown)
        return dict(total)

    def totals_without(self, members: ty.Iterable[str]) -> ty.Iterator[Counts]:
        """Yield for each of some members what all but that one count."""
        everybody = collections.Counter(self.group_total())
        _add(everybody, self._elsewhere)
        for member in members:
            total = dict(everybody)
            for name, count in self._grown.get(member, {}).items():
                total[name] -= count
            yield total

    def reset_sources(self) -> None:
        """Begin to count by another way.

        What was told by that way until now has come by the one before.
        """
        self._routers = DeltaTracker()
        self._groups = DeltaTracker()
        self._fleet = DeltaTracker()
        self._heads = {}

    def retain(self, routers: ty.Collection[str]) -> None:
        """Keep no more of all routers but these than their sum."""
        self._routers.retain(routers)
        for router in self._grown.keys() - set(routers):
            _add(self._gone, self._grown.pop(router))


def _add(total: collections.Counter[str], counts: Counts) -> None:
    # Not `update`: what a team has spent may fall, and then does here too.
    for name, count in counts.items():
        total[name] += count

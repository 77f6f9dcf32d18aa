"""Requests that wait: priority by kind of work, fairness between teams."""

from __future__ import annotations

import collections
import itertools
import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb

T = ty.TypeVar('T')

LOWEST_SHARE = 8
"""One pick in so many goes to the kind of work that has waited longest."""

_CLASSES = (pb.WORK_INTERACTIVE, pb.WORK_STANDARD, pb.WORK_DRAFT)


class Waiting(ty.Generic[T]):
    """One item in the queue."""

    __slots__ = ('item', 'team', 'work', 'cost', 'since')

    def __init__(
        self, item: T, team: str, work: pb.Work, cost: float, since: int
    ) -> None:
        self.item = item
        self.team = team
        self.work = work
        self.cost = cost
        self.since = since


class FairQueue(ty.Generic[T]):
    """Start-time fair queueing between teams within each kind of work.

    A team's share of picks follows its weight. Kinds of work are served in
    order, but for every `LOWEST_SHARE`-th pick, which goes to the oldest
    item of all: so drafts finish however much interactive work there is.

    Parameters
    ----------
    clock : clock.Clock
        Tells the age of items.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._queues: dict[
            pb.Work, dict[str, collections.deque[Waiting[T]]]
        ] = {work: {} for work in _CLASSES}
        self._served: dict[str, float] = {}
        self._virtual = 0.0
        self._weights: dict[str, float] = {}
        self._picks = itertools.count(1)
        self._turn = next(self._picks)
        self.size = 0
        """Items in the queue."""

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the teams' weights; a team not named has weight 1."""
        self._weights = weights

    def put(self, item: T, team: str, work: pb.Work, cost: float) -> None:
        """Add `item`; `cost` is the work in it, in any one unit."""
        teams = self._queues[work]
        waiting = Waiting(item, team, work, cost, self._clock.now())
        teams.setdefault(team, collections.deque()).append(waiting)
        # A team that was idle does not save up a claim for the past.
        self._served[team] = max(self._served.get(team, 0.0), self._virtual)
        self.size += 1

    def candidates(self) -> list[Waiting[T]]:
        """Return each team's first item of each kind, best first."""
        heads = [
            queue[0]
            for work in _CLASSES
            for queue in self._queues[work].values()
        ]
        if self.oldest_first:
            return sorted(heads, key=lambda head: head.since)
        return sorted(
            heads,
            key=lambda head: (head.work, self._served[head.team], head.since),
        )

    @property
    def oldest_first(self) -> bool:
        """Whether this pick goes to the item that has waited longest."""
        return self._turn % LOWEST_SHARE == 0

    def take(self, waiting: Waiting[T]) -> T:
        """Remove an item that `candidates` returned and count it served."""
        self._turn = next(self._picks)
        self._virtual = max(self._virtual, self._served[waiting.team])
        weight = self._weights.get(waiting.team, 1.0)
        self._served[waiting.team] += waiting.cost / weight
        self._remove(waiting)
        return waiting.item

    def discard(self, item: T) -> None:
        """Remove an item that no longer waits."""
        for teams in self._queues.values():
            for queue in list(teams.values()):
                for waiting in queue:
                    if waiting.item is item:
                        self._remove(waiting)
                        return

    def ahead(self, work: pb.Work) -> int:
        """Return how many items are served before a new one of `work`."""
        return sum(
            len(queue)
            for kind in _CLASSES
            if kind <= work
            for queue in self._queues[kind].values()
        )

    def _remove(self, waiting: Waiting[T]) -> None:
        teams = self._queues[waiting.work]
        teams[waiting.team].remove(waiting)
        if not teams[waiting.team]:
            del teams[waiting.team]
        self.size -= 1

"""What routers count together: spends, demand, usage and work."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast.coordination import tally
from peridotmast.router import serving as serving_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

FLEET = '|fleet'
"""Whom the work of all others is entered for, where a head tells of it; no
router has such a name."""

Loads = ty.Iterable[pb.UpstreamLoad]


class Sharing:
    """Counts of this router, of those it hears, and of all.

    Parameters
    ----------
    serving : serving.Serving
        What is counted on the way of requests.
    table : upstreams.UpstreamTable
        Where work is entered.
    """

    def __init__(
        self,
        serving: serving_.Serving,
        table: upstreams_.UpstreamTable,
    ) -> None:
        self._quota = serving.quota
        self._demand = serving.demand
        self._usage = serving.usage
        self._table = table
        self._spends = tally.Tally(
            self._quota.spent, self._quota.spent_elsewhere
        )
        self._asked = tally.Tally(
            self._demand.counts, self._demand.offered_elsewhere
        )
        self._loads: dict[str, list[pb.UpstreamLoad]] = {}
        self._group_loads: dict[int, list[pb.UpstreamLoad]] = {}

    def own(self) -> pb.Totals:
        """Return what this router itself counts and has in work."""
        return pb.Totals(
            spends=_spends(self._quota.spent()),
            loads=self._table.my_loads(),
            usage=self._usage.counts(),
            demand=_demand(self._demand.counts(), self._demand.own_readings()),
        )

    def group(self) -> pb.Totals:
        """Return what this router and the members that it heads have."""
        return pb.Totals(
            spends=_spends(self._spends.group()),
            loads=_sum(self._members_loads()),
            usage=self._usage.group(),
            demand=_demand(self._asked.group(), self._readings()),
        )

    def others(self, member: str) -> pb.Totals:
        """Return what all but one member have, for that member."""
        return pb.Totals(
            spends=_spends(self._spends.others(member)),
            loads=_sum(
                [
                    *self._members_loads(without=member),
                    *self._group_loads.values(),
                ]
            ),
            usage=self._usage.others(member),
            demand=_demand(self._asked.others(member), self._readings()),
        )

    def hear(
        self, router: str, run: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Take in what another router counts and has in work.

        Parameters
        ----------
        counted : bool
            Whether it is counted by this way; else it is kept for the time
            when this router is the head.
        """
        self._spends.hear(router, run, _by_team(totals), counted)
        self._asked.hear(router, run, _by_service(totals), counted)
        self._usage.hear(router, run, totals.usage)
        self._loads[router] = list(totals.loads)
        if counted:
            self._table.take_loads(router, totals.loads)
            self._hear_readings(router, totals)

    def hear_group(
        self, head: str, run: int, group: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Take in from another head what its group has."""
        self._spends.hear_group(group, head, run, _by_team(totals), counted)
        self._asked.hear_group(group, head, run, _by_service(totals), counted)
        self._usage.hear_group(group, totals.usage)
        self._group_loads[group] = list(totals.loads)
        if counted:
            self._table.take_loads(_group_name(group), totals.loads)
            self._hear_readings(head, totals)

    def follow(
        self, head: str, run: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Take in from the own head what all others have."""
        self._spends.follow(head, run, _by_team(totals), counted)
        self._asked.follow(head, run, _by_service(totals), counted)
        self._usage.follow(totals.usage)
        if counted:
            self._table.take_loads(FLEET, totals.loads)
            self._hear_readings(head, totals)

    def reckon(self, spends: dict[str, int]) -> None:
        """Take in what others may have spent while nobody told of it."""
        if spends:
            self._spends.reckon(spends)

    def regroup(self, is_member: ty.Callable[[str], bool]) -> None:
        """Begin anew with groups that are not those of before."""
        self._group_loads = {}
        self._loads = {r: v for r, v in self._loads.items() if is_member(r)}
        self._usage.regroup(is_member)

    def switch(self) -> None:
        """Count what others do by another way from now on."""
        self._spends.switch()
        self._asked.switch()

    def forget(
        self,
        known: ty.Collection[str],
        heard: ty.Collection[str],
        groups: ty.Collection[int],
        follows: bool,
    ) -> None:
        """Drop what came from those who are not there any more.

        Parameters
        ----------
        known : collection of str
            Routers whose counts are kept.
        heard : collection of str
            Routers whose own word of their work still counts.
        groups : collection of int
            Groups whose work still counts.
        follows : bool
            Whether a head tells of the work of all others.
        """
        self._spends.forget(known)
        self._asked.forget(known)
        self._demand.forget(known)
        self._loads = {r: v for r, v in self._loads.items() if r in heard}
        self._group_loads = {
            g: v for g, v in self._group_loads.items() if g in groups
        }
        if follows:
            self._table.forget_loads({FLEET})
            return
        names = {_group_name(group) for group in self._group_loads}
        self._table.forget_loads({*self._loads, *names})

    def _members_loads(self, without: str = '') -> list[Loads]:
        others = [v for r, v in self._loads.items() if r != without]
        return [self._table.my_loads(), *others]

    def _readings(self) -> dict[str, float]:
        found = {s: self._demand.reading(s) for s in self._demand.counts()}
        return {service: speed for service, speed in found.items() if speed}

    def _hear_readings(self, teller: str, totals: pb.Totals) -> None:
        speeds = {d.service: d.reading for d in totals.demand}
        self._demand.hear_readings(teller, speeds)


def _group_name(group: int) -> str:
    return f'|group-{group}'


def _spends(spent: dict[str, int]) -> list[pb.TeamSpend]:
    return [pb.TeamSpend(team=t, tokens=n) for t, n in spent.items()]


def _demand(
    counts: dict[str, int], readings: dict[str, float]
) -> list[pb.ServiceDemand]:
    return [
        pb.ServiceDemand(
            service=service, tokens=tokens, reading=readings.get(service, 0)
        )
        for service, tokens in counts.items()
    ]


def _by_team(totals: pb.Totals) -> dict[str, int]:
    return {spend.team: spend.tokens for spend in totals.spends}


def _by_service(totals: pb.Totals) -> dict[str, int]:
    return {demand.service: demand.tokens for demand in totals.demand}


def _sum(parts: ty.Iterable[Loads]) -> list[pb.UpstreamLoad]:
    """Return the work at each run of an upstream, of all parts together."""
    found: dict[tuple[str, int], list[int]] = collections.defaultdict(
        lambda: [0, 0, 0]
    )
    for load in (load for part in parts for load in part):
        total = found[load.upstream, load.born]
        total[0] += load.running
        total[1] += load.unread
        total[2] += load.memory
    return [
        pb.UpstreamLoad(
            upstream=upstream,
            running=running,
            unread=unread,
            memory=memory,
            born=born,
        )
        for (upstream, born), (running, unread, memory) in found.items()
    ]

"""What routers count together: spends, demand, usage and work."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import fleet_counts
from peridotmast.router import serving as serving_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

_FLEET = '|fleet'
"""Whom the work of all others is entered for, where a head tells of it; no
router has such a name."""

Loads = ty.Iterable[pb.UpstreamLoad]

_Loads = list[pb.UpstreamLoad]

_Work = dict[tuple[str, int], tuple[int, int, int]]
"""Requests, unread tokens and tokens in memory by upstream and its run; there
are requests wherever there is work."""

_NOTHING = (0, 0, 0)


class SharedTotals:
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
        self._spends = fleet_counts.FleetCounts(
            self._quota.spent, self._quota.subtract_peer_spends
        )
        self._asked = fleet_counts.FleetCounts(
            self._demand.counts, self._demand.count_from_peers
        )
        self._loads: dict[str, list[pb.UpstreamLoad]] = {}
        self._group_loads: dict[int, list[pb.UpstreamLoad]] = {}

    def own(self) -> pb.Totals:
        """Return what this router itself counts and has in work."""
        return pb.Totals(
            spends=_spends(self._quota.spent()),
            loads=self._table.local_loads(),
            usage=self._usage.counts(),
            demand=_demand(
                self._demand.counts(), self._demand.own_prefill_rates()
            ),
        )

    def group(self) -> pb.Totals:
        """Return what this router and the members that it heads have."""
        return pb.Totals(
            spends=_spends(self._spends.group_total()),
            loads=_listed(_add_up(self._members_loads())),
            usage=self._usage.group_counts(),
            demand=_demand(self._asked.group_total(), self._readings()),
        )

    def totals_for_members(
        self, members: ty.Sequence[str]
    ) -> ty.Iterator[tuple[str, pb.Totals]]:
        """Yield for each of some members what all but that one have.

        All of it is added up once, and each member's own is taken off again:
        adding up for each what all the others have would grow with the
        square of a group.
        """
        loads = _add_up([*self._members_loads(), *self._group_loads.values()])
        readings = self._readings()
        told = zip(
            members,
            self._spends.totals_without(members),
            self._asked.totals_without(members),
            self._usage.others_counts(members),
            strict=True,
        )
        for member, spent, asked, used in told:
            own = _add_up([self._loads.get(member, ())])
            yield (
                member,
                pb.Totals(
                    spends=_spends(spent),
                    loads=_listed(loads, without=own),
                    usage=used,
                    demand=_demand(asked, readings),
                ),
            )

    def update_peer(
        self, router: str, run: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Take in what another router counts and has in work.

        Parameters
        ----------
        counted : bool
            Whether it is counted by this way; else it is kept for the time
            when this router is the head.
        """
        self._spends.receive(router, run, _by_team(totals), counted)
        self._asked.receive(router, run, _by_service(totals), counted)
        self._usage.merge_router(router, run, totals.usage)
        self._loads[router] = list(totals.loads)
        if counted:
            self._table.set_peer_loads(router, totals.loads)
            self._hear_readings(router, totals)

    def update_group(
        self, head: str, run: int, group: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Take in from another head what its group has."""
        self._spends.receive_group(group, head, run, _by_team(totals), counted)
        self._asked.receive_group(
            group, head, run, _by_service(totals), counted
        )
        self._usage.merge_group(group, totals.usage)
        self._group_loads[group] = list(totals.loads)
        if counted:
            self._table.set_peer_loads(_group_name(group), totals.loads)
            self._hear_readings(head, totals)

    def update_fleet(
        self, head: str, run: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Take in from the own head what all others have."""
        self._spends.receive_fleet(head, run, _by_team(totals), counted)
        self._asked.receive_fleet(head, run, _by_service(totals), counted)
        self._usage.merge_fleet(totals.usage)
        if counted:
            self._table.set_peer_loads(_FLEET, totals.loads)
            self._hear_readings(head, totals)

    def add_estimates(self, spends: dict[str, int]) -> None:
        """Take in what others may have spent while nobody told of it."""
        if spends:
            self._spends.add_estimate(spends)

    def retain_members(self, is_member: ty.Callable[[str], bool]) -> None:
        """Begin anew with groups that are not those of before."""
        self._group_loads = {}
        self._loads = {r: v for r, v in self._loads.items() if is_member(r)}
        self._usage.regroup(is_member)

    def change_source(self) -> None:
        """Count what others do by another way from now on."""
        self._spends.reset_sources()
        self._asked.reset_sources()

    def prune(
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
        self._spends.retain(known)
        self._asked.retain(known)
        self._demand.retain_routers(known)
        self._loads = {r: v for r, v in self._loads.items() if r in heard}
        self._group_loads = {
            g: v for g, v in self._group_loads.items() if g in groups
        }
        if follows:
            self._table.retain_peer_loads({_FLEET})
            return
        names = {_group_name(group) for group in self._group_loads}
        self._table.retain_peer_loads({*self._loads, *names})

    def _members_loads(self) -> list[Loads]:
        return [self._table.local_loads(), *self._loads.values()]

    def _readings(self) -> dict[str, float]:
        found = {
            s: self._demand.prefill_rate(s) for s in self._demand.counts()
        }
        return {service: speed for service, speed in found.items() if speed}

    def _hear_readings(self, teller: str, totals: pb.Totals) -> None:
        speeds = {d.service: d.reading for d in totals.demand}
        self._demand.set_peer_prefill_rates(teller, speeds)


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


def _add_up(parts: ty.Iterable[Loads]) -> _Work:
    """Return the work at each run of an upstream, of all parts together."""
    found: _Work = {}
    for load in (load for part in parts for load in part):
        key = load.upstream, load.born
        running, unread, memory = found.get(key, _NOTHING)
        found[key] = (
            running + load.running,
            unread + load.unread,
            memory + load.memory,
        )
    return found


def _listed(work: _Work, without: ty.Optional[_Work] = None) -> _Loads:
    """Return work as it is told, less what one router has of it."""
    less = without or {}
    found = []
    for (upstream, born), (running, unread, memory) in work.items():
        own = less.get((upstream, born), _NOTHING)
        if running > own[0]:
            found.append(
                pb.UpstreamLoad(
                    upstream=upstream,
                    running=running - own[0],
                    unread=unread - own[1],
                    memory=memory - own[2],
                    born=born,
                )
            )
    return found

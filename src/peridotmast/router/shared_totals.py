"""Counts shared between routers: spends, demand, usage and upstream load."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import fleet_counts
from peridotmast.router import load_filter
from peridotmast.router import serving as serving_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.speeds import reports
from peridotmast.serving import upstreams as upstreams_

_FLEET_NAME = '|fleet'
"""Name under which a group member stores the load of all other routers, as its
head reports it. No router can have this name."""

Loads = ty.Iterable[pb.UpstreamLoad]

_LoadList = list[pb.UpstreamLoad]

_LoadSums = dict[load_filter.LoadKey, load_filter.LoadSum]
"""Loads by run of an upstream. Every entry with any load has running
requests."""

_NO_LOAD = (0, 0, 0)


class SharedTotals:
    """Counts of this router, of its peers, of groups and of the whole fleet.

    Parameters
    ----------
    serving : serving.Serving
        Components that count requests.
    table : upstreams.UpstreamTable
        Table in which the load of other routers is entered.
    clock : clock.Clock
        Times the selection of loads for members.
    """

    def __init__(
        self,
        serving: serving_.Serving,
        table: upstreams_.UpstreamTable,
        clock: clock_.Clock,
    ) -> None:
        self._quota = serving.quota
        self._demand = serving.demand
        self._usage = serving.usage
        self._speeds = serving.speeds
        self._table = table
        self._clock = clock
        self._load_filter = load_filter.LoadFilter(table, clock)
        self._spends = fleet_counts.FleetCounts(
            self._quota.spent, self._quota.subtract_peer_spends
        )
        self._demand_tokens = fleet_counts.FleetCounts(
            self._demand.counts, self._demand.count_from_peers
        )
        self._loads: dict[str, list[pb.UpstreamLoad]] = {}
        self._group_loads: dict[int, list[pb.UpstreamLoad]] = {}
        self._speed_reports: dict[str, reports.Report] = {}
        self._group_speeds: dict[int, reports.Report] = {}

    def own(self) -> pb.Totals:
        """Return the counts and the load of this router alone."""
        return pb.Totals(
            spends=_spend_messages(self._quota.spent()),
            loads=self._table.local_loads(),
            usage=self._usage.counts(),
            demand=_demand_messages(
                self._demand.counts(), self._demand.own_prefill_rates()
            ),
            speeds=reports.to_messages(
                self._speeds.own_report(), reports.MAX_OWN
            ),
        )

    def group(self) -> pb.Totals:
        """Return the totals of this router's group, for a head."""
        return pb.Totals(
            spends=_spend_messages(self._spends.group_total()),
            loads=_load_messages(_sum_loads(self._members_loads())),
            usage=self._usage.group_counts(),
            demand=_demand_messages(
                self._demand_tokens.group_total(), self._prefill_rates()
            ),
            speeds=reports.to_messages(
                reports.total(self._clock.now(), self._members_speeds()),
                reports.MAX_RELAYED,
            ),
        )

    def totals_for_members(
        self, members: ty.Sequence[str]
    ) -> ty.Iterator[tuple[str, pb.Totals]]:
        """Yield for each of `members` the totals of all routers except it.

        The sum over all routers is computed once, and each member's own part
        is subtracted: separate sums would take time quadratic in the group's
        size.
        """
        loads = _sum_loads(
            [*self._members_loads(), *self._group_loads.values()]
        )
        rates = self._prefill_rates()
        speeds = reports.total(
            self._clock.now(),
            [*self._members_speeds(), *self._group_speeds.values()],
        )
        rows = zip(
            members,
            self._spends.totals_excluding_each(members),
            self._demand_tokens.totals_excluding_each(members),
            self._usage.counts_excluding_each(members),
            strict=True,
        )
        for member, spent, offered, used in rows:
            own = _sum_loads([self._loads.get(member, ())])
            yield (
                member,
                pb.Totals(
                    spends=_spend_messages(spent),
                    loads=_load_messages(
                        self._load_filter.select(member, loads),
                        except_for=own,
                    ),
                    usage=used,
                    demand=_demand_messages(offered, rates),
                    speeds=self._speeds_for_member(member, speeds),
                ),
            )

    def update_peer(
        self,
        router: str,
        run: int,
        totals: pb.Totals,
        counted: bool,
        is_new: bool = False,
    ) -> None:
        """Update the counts and the load of another router.

        Parameters
        ----------
        counted : bool
            Whether this router takes the peer's counts from this message.
            Otherwise they are only kept in case this router becomes the head.
        is_new : bool
            Whether the peer's run has just begun.
        """
        self._spends.receive(
            router, run, _tokens_by_team(totals), counted, is_new
        )
        self._demand_tokens.receive(
            router, run, _tokens_by_service(totals), counted
        )
        self._usage.merge_router(router, run, totals.usage)
        self._loads[router] = list(totals.loads)
        self._speed_reports[router] = self._read_speeds(totals)
        if counted:
            self._speeds.set_peer_report(router, self._read_speeds(totals))
            self._table.set_peer_loads(router, totals.loads)
            self._update_prefill_rates(router, totals)

    def update_spends(
        self, router: str, run: int, spends: ty.Iterable[pb.TeamSpend]
    ) -> None:
        """Update what another router has spent of some teams' limits."""
        counts = {spend.team: spend.tokens for spend in spends}
        self._spends.receive(router, run, counts, counted=True)

    def knows_head(self, group: int, head: str, run: int) -> bool:
        """Return whether the totals of a group are known from this head."""
        return self._spends.knows_head(group, head, run)

    def group_spends(self, teams: ty.Iterable[str]) -> dict[str, int]:
        """Return what this router's group has spent of some teams' limits."""
        total = self._spends.group_total()
        return {team: total.get(team, 0) for team in teams}

    def update_group_spends(
        self,
        group: int,
        head: str,
        run: int,
        spends: ty.Iterable[pb.TeamSpend],
    ) -> None:
        """Update what another group has spent of some teams' limits."""
        counts = {spend.team: spend.tokens for spend in spends}
        self._spends.receive_group(group, head, run, counts, counted=True)

    def update_group(
        self,
        head: str,
        run: int,
        group: int,
        totals: pb.Totals,
        counted: bool,
        has_newest_spends: bool = True,
    ) -> None:
        """Update the totals of another group from its head.

        Parameters
        ----------
        counted : bool
            Whether this router takes the group's counts from this message.
        has_newest_spends : bool
            Whether no newer report of the head on spending has arrived.
        """
        if has_newest_spends:
            self._spends.receive_group(
                group, head, run, _tokens_by_team(totals), counted
            )
        self._demand_tokens.receive_group(
            group, head, run, _tokens_by_service(totals), counted
        )
        self._usage.merge_group(group, totals.usage)
        self._group_loads[group] = list(totals.loads)
        self._group_speeds[group] = self._read_speeds(totals)
        if counted:
            self._speeds.set_peer_report(
                _group_name(group), self._read_speeds(totals)
            )
            self._table.set_peer_loads(_group_name(group), totals.loads)
            self._update_prefill_rates(head, totals)

    def update_fleet(
        self, head: str, run: int, totals: pb.Totals, counted: bool
    ) -> None:
        """Update the totals of all other routers from this router's head."""
        self._spends.receive_fleet(head, run, _tokens_by_team(totals), counted)
        self._demand_tokens.receive_fleet(
            head, run, _tokens_by_service(totals), counted
        )
        self._usage.merge_fleet(totals.usage)
        if counted:
            self._speeds.set_peer_report(
                _FLEET_NAME, self._read_speeds(totals)
            )
            self._table.set_peer_loads(_FLEET_NAME, totals.loads)
            self._update_prefill_rates(head, totals)

    def add_estimates(self, spends: dict[str, int]) -> None:
        """Add the estimated spends of routers whose reports are missing."""
        if spends:
            self._spends.add_estimate(spends)

    def retain_members(self, is_member: ty.Callable[[str], bool]) -> None:
        """Drop the state of all routers but members after a regrouping."""
        self._group_loads = {}
        self._group_speeds = {}
        self._loads = {r: v for r, v in self._loads.items() if is_member(r)}
        self._speed_reports = {
            r: v for r, v in self._speed_reports.items() if is_member(r)
        }
        self._usage.regroup(is_member)

    def change_source(self) -> None:
        """Take the other routers' counts from another source from now on."""
        self._spends.reset_sources()
        self._demand_tokens.reset_sources()

    def prune(
        self,
        known: ty.Collection[str],
        live: ty.Collection[str],
        groups: ty.Collection[int],
        follows: bool,
    ) -> None:
        """Drop the state of routers and groups that are gone.

        Parameters
        ----------
        known : collection of str
            Routers whose counts are kept.
        live : collection of str
            Routers whose own reports of their load are kept.
        groups : collection of int
            Groups whose load is kept.
        follows : bool
            Whether this router takes the load of all others from its head.
        """
        self._spends.retain(known)
        self._demand_tokens.retain(known)
        self._demand.retain_routers(known)
        self._load_filter.retain(known)
        self._loads = {r: v for r, v in self._loads.items() if r in live}
        self._group_loads = {
            g: v for g, v in self._group_loads.items() if g in groups
        }
        self._speed_reports = {
            r: v for r, v in self._speed_reports.items() if r in live
        }
        self._group_speeds = {
            g: v for g, v in self._group_speeds.items() if g in groups
        }
        if follows:
            self._table.retain_peer_loads({_FLEET_NAME})
            self._speeds.retain_peers({_FLEET_NAME})
            return
        names = {_group_name(group) for group in self._group_loads}
        self._table.retain_peer_loads({*self._loads, *names})
        self._speeds.retain_peers({*self._loads, *names})

    def _members_loads(self) -> list[Loads]:
        return [self._table.local_loads(), *self._loads.values()]

    def _members_speeds(self) -> list[reports.Report]:
        return [self._speeds.own_report(), *self._speed_reports.values()]

    def _speeds_for_member(
        self, member: str, totals: reports.Report
    ) -> list[pb.SpeedSamples]:
        """Return the samples of all other routers that matter for one."""
        if not totals:
            return []
        own = self._speed_reports.get(member, {})
        found = reports.excluding(self._clock.now(), totals, own)
        if len(found) > reports.MAX_RELAYED:
            names = self._load_filter.subset_names(member)
            found = {run: s for run, s in found.items() if run[0] in names}
        return reports.to_messages(found, reports.MAX_RELAYED)

    def _read_speeds(self, totals: pb.Totals) -> reports.Report:
        return reports.from_messages(totals.speeds, self._clock.now())

    def _prefill_rates(self) -> dict[str, float]:
        found = {
            s: self._demand.prefill_rate(s) for s in self._demand.counts()
        }
        return {service: rate for service, rate in found.items() if rate}

    def _update_prefill_rates(self, reporter: str, totals: pb.Totals) -> None:
        rates = {d.service: d.reading for d in totals.demand}
        self._demand.set_peer_prefill_rates(reporter, rates)


def _group_name(group: int) -> str:
    return f'|group-{group}'


def _spend_messages(spent: dict[str, int]) -> list[pb.TeamSpend]:
    return [pb.TeamSpend(team=t, tokens=n) for t, n in spent.items()]


def _demand_messages(
    counts: dict[str, int], rates: dict[str, float]
) -> list[pb.ServiceDemand]:
    return [
        pb.ServiceDemand(
            service=service, tokens=tokens, reading=rates.get(service, 0)
        )
        for service, tokens in counts.items()
    ]


def _tokens_by_team(totals: pb.Totals) -> dict[str, int]:
    return {spend.team: spend.tokens for spend in totals.spends}


def _tokens_by_service(totals: pb.Totals) -> dict[str, int]:
    return {demand.service: demand.tokens for demand in totals.demand}


def _sum_loads(parts: ty.Iterable[Loads]) -> _LoadSums:
    """Return the sum of some loads by upstream and run."""
    found: _LoadSums = {}
    for load in (load for part in parts for load in part):
        key = load.upstream, load.born
        running, unread, memory = found.get(key, _NO_LOAD)
        found[key] = (
            running + load.running,
            unread + load.unread,
            memory + load.memory,
        )
    return found


def _load_messages(
    sums: load_filter.LoadSums, except_for: ty.Optional[_LoadSums] = None
) -> _LoadList:
    """Return load entries for a message, less the load of one router."""
    subtracted = except_for or {}
    found = []
    for (upstream, born), (running, unread, memory) in sums.items():
        own = subtracted.get((upstream, born), _NO_LOAD)
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

"""What routers know of each other: beacons out and in, and what follows."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import outage_reports
from peridotmast.coordination import report_gaps as report_gaps_
from peridotmast import logs
from peridotmast.router import beacon_rounds as beacon_rounds_
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import quota_borrowing as quota_borrowing_
from peridotmast.router import serving as serving_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.router import update_beacons as update_beacons_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_
from peridotmast.serving import upstream_view

_GROUP_SILENT_MS = 2000
"""Silence after which a group's work counts no more, and another head may be
followed: four of its beacons."""

_LOOK_MS = 500
"""Time for which the groups are not looked at anew: a round."""

_FLEET = 'fleet'
"""The way by which a member hears of all others."""


class _Role(ty.NamedTuple):
    """By which way a router hears of the others' counts."""

    split: bool
    """Whether there are groups."""
    leads: bool
    """Whether it is the head of its own."""
    groups: int


class Peering:
    """Joins the state that routers share to the parts that keep it.

    Parameters
    ----------
    clock : clock.Clock
        Times silences and words of outages.
    fleet_state : fleet_state.FleetState
        What is known from the store, and of the members.
    serving : serving.Serving
        What is counted on the way of requests.
    totals : shared_totals.SharedTotals
        What routers count together.
    lease : lease.Lease
        The lease on the duties.
    catch_up : catch_up.CatchUp
        Asks peers that are ahead.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        fleet_state: fleet_state_.FleetState,
        serving: serving_.Serving,
        totals: shared_totals_.SharedTotals,
        lease: lease_.Lease,
        catch_up: catch_up_.CatchUp,
    ) -> None:
        self._clock = clock
        self._fleet_state = fleet_state
        self._members = members = fleet_state.members
        self._config = fleet_state.config
        self._table = fleet_state.upstream_table
        self._serving = serving
        self._lease = lease
        self._catch_up = catch_up
        self.updates = update_beacons_.UpdateBeacons(fleet_state, catch_up)
        """What this router tells all others at once."""
        self._outages = outage_reports.OutageReports(
            clock, fleet_state.check_store
        )
        self._totals = totals
        self._groups = groups_.Groups(members)
        self.borrowing = quota_borrowing_.QuotaBorrowing(
            members, serving.quota, self._look_if_split
        )
        """What heads lend of the teams' limits."""
        self.rounds = beacon_rounds_.BeaconRounds(
            clock,
            fleet_state,
            serving.quota,
            serving.crashes,
            serving.limits,
            totals,
            lease,
            self._outages,
            self._groups,
            self._look,
        )
        """What this router tells in its rounds."""
        self._gaps = report_gaps_.ReportGaps(clock, serving.quota.max_spends)
        self._role = _Role(False, False, 1)
        self._group_heard: dict[int, int] = {}
        serving.quota.count_routers = serving.retry_budget.routers = (
            members.sharer_count
        )
        serving.quota.has_stale_peer_data = self.has_delayed_totals
        serving.crashes.relays_updates = self.has_delayed_totals
        self._followed = '', -_GROUP_SILENT_MS
        self._looked: tuple[ty.Optional[groups_.GroupSnapshot], int] = None, 0
        self._log = logs.get('peering', router=members.me.name)

    def load_beacons(self, view: upstream_view.UpstreamView) -> beacons_.Round:
        """Return news of this router's work at an upstream, and for whom.

        In a large fleet there are too many to tell each other.
        """
        if self._groups.is_grouped():
            return []
        me = self._members.me
        news = pb.LoadNews(
            router=me.name,
            incarnation=me.incarnation,
            load=self._table.local_load(view),
        )
        return [(pb.Beacon(load_news=news), self._members.live_peers())]

    def serving_beacons(self) -> beacons_.Round:
        """Return updates on crashes and upstreams' limits, for all peers."""
        crashes, limits = self._serving.crashes, self._serving.limits
        beacon = self.updates.build_serving(
            crashes.updates(), limits.updates()
        )
        return [(beacon, self._members.peers())]

    def receive(self, beacon: pb.Beacon) -> None:
        """Take in a peer's beacon."""
        if beacon.HasField('load_news'):
            self._take_load(beacon.load_news)
            return
        if beacon.HasField('limit_ask'):
            self.borrowing.handle_request(beacon.limit_ask)
            return
        if beacon.HasField('limit_answer'):
            self.borrowing.handle_answer(beacon.limit_answer)
            return
        member = beacon.member
        if not self._members.receive(member):
            return
        if beacon.lease.holder:
            self._lease.receive_hint(beacon.lease)
        self._serving.crashes.merge_updates(beacon.crash_suspects)
        self._serving.limits.merge_updates(beacon.upstream_limits)
        if beacon.news_only:
            self.updates.receive(beacon)
            return
        if beacon.HasField('other'):
            self._members.learn(beacon.other)
        for changed in beacon.changed:
            self._members.learn(changed)
        self._take_totals(beacon)
        if beacon.outage_felt:
            self._outages.record(member.name, beacon.HasField('own'))
        self.rounds.set_needs_levels(member.name, beacon.untold)
        if beacon.levels:
            self._serving.quota.adopt_levels(
                {level.team: level.tokens for level in beacon.levels}
            )
        self._catch_up.compare(beacon)

    def tick(self) -> None:
        """Take note of who has fallen silent."""
        self._members.tick()
        heard = self._members.live_peers()
        quota = self._serving.quota
        self._serving.limits.set_routers(self._members.sharer_names())
        quota.known_share = (1 + len(heard)) / self._members.sharer_count()
        quota.startup_wait_ms = (
            quota_.LARGE_FLEET_STARTUP_WAIT_MS
            if self.has_delayed_totals()
            else quota_.STARTUP_WAIT_MS
        )
        quota.tick()
        limit = self._clock.now() - _GROUP_SILENT_MS
        self._group_heard = {
            group: at for group, at in self._group_heard.items() if at >= limit
        }
        self._outages.discard_before(limit)
        look, split = self._look(), self._groups.is_grouped()
        if split:
            self._totals.add_estimates(self._gaps.tick(self._shares(look)))
        self._totals.prune(
            {p.member.name for p in self._members.peers()},
            look.live_member_names()
            if split
            else {peer.member.name for peer in heard},
            self._group_heard,
            split and not look.is_head,
        )

    def has_delayed_totals(self) -> bool:
        """Return whether others' work is known later than it lasts."""
        return self._groups.is_grouped()

    def is_outage_felt(self) -> bool:
        """Return whether what is missing may be missing due to an outage."""
        is_heard = self._outages.has_recent()
        return is_heard or self._fleet_state.outage.is_suspected()

    def _take_load(self, news: pb.LoadNews) -> None:
        peer = self._members.get(news.router)
        if peer is None or not peer.last_beacon_at:
            return
        if news.incarnation == peer.member.incarnation:
            self._table.set_peer_load(news.router, news.load)

    def _take_totals(self, beacon: pb.Beacon) -> None:
        """Take in what a peer counts, as far as it is the one to tell it."""
        name, run = beacon.member.name, beacon.member.incarnation
        clock = self._fleet_state.fleet_clock
        split = self._groups.is_grouped()
        look = self._look()
        if beacon.HasField('own'):
            clock.record_peer(name, beacon.wall_ms)
            counted = not split or (look.is_head and look.is_member(name))
            self._totals.update_peer(name, run, beacon.own, counted)
        if beacon.HasField('group'):
            clock.record_peer(name, beacon.wall_ms)
            group = look.group_of(name)
            self._group_heard[group] = self._clock.now()
            told_of = () if beacon.others_alive else look.names_in(group)
            self._members.apply_head_report(beacon.alive, told_of)
            counted = split and look.is_head
            self._totals.update_group(name, run, group, beacon.group, counted)
            if counted:
                self._close_gap(_source(group), (name, run), look)
        if beacon.HasField('others') and self._follows(name):
            told_of = () if beacon.others_alive else self._members.peer_names()
            self._members.apply_head_report(beacon.alive, told_of)
            counted = split and not look.is_head
            if counted:
                clock.follow_head(beacon.wall_ms)
            self._totals.update_fleet(name, run, beacon.others, counted)
            if counted:
                self._close_gap(_FLEET, (name, run), look)

    def _close_gap(
        self, source: str, teller: tuple[str, int], look: groups_.GroupSnapshot
    ) -> None:
        """Take note that a source is told of."""
        share = self._shares(look).get(source, 0.0)
        self._totals.add_estimates(self._gaps.on_report(source, teller, share))

    def _shares(self, look: groups_.GroupSnapshot) -> dict[str, float]:
        """Return the parts of the fleet that others tell this router of.

        Only of those that count as there: what the others might spend comes
        off the limits already.
        """
        whole = self._members.sharer_count()
        if not look.is_head:
            return {_FLEET: len(self._members.live_peers()) / whole}
        return {
            _source(group): look.live_count(group) / whole
            for group in range(look.count)
            if group != look.own_group
        }

    def _follows(self, head: str) -> bool:
        """Return whether `head` is the one whose totals are gone by.

        For a moment two may think that they are; what both tell counts
        once. The one that this router takes for the head is followed at
        once, another one only in silence.
        """
        now = self._clock.now()
        followed, at = self._followed
        first = [
            peer.member.name for peer in self._look().head_and_successor()[:1]
        ]
        known = head == followed or head in first
        if not known and now - at < _GROUP_SILENT_MS:
            return False
        self._followed = head, now
        return True

    def _look(self) -> groups_.GroupSnapshot:
        """Return the groups, as they were a moment ago at most."""
        now = self._clock.now()
        look, at = self._looked
        if look is None or now - at >= _LOOK_MS:
            look = self._groups.snapshot()
            self._looked = look, now
            self._take_role(look)
        return look

    def _look_if_split(self) -> ty.Optional[groups_.GroupSnapshot]:
        return self._look() if self._groups.is_grouped() else None

    def _take_role(self, look: groups_.GroupSnapshot) -> None:
        """Take note of whether this router leads, and of how many groups.

        Each change of the way by which it hears of the others' counts could
        count some of them twice.
        """
        split = self._groups.is_grouped()
        role = _Role(split, split and look.is_head, look.count if split else 1)
        known, self._role = self._role, role
        if role.leads and not known.leads:
            self.rounds.start_leading()
        if role.leads or not split:
            self._fleet_state.fleet_clock.use_own_median()
        if role.groups != known.groups:
            everybody = not split
            self._totals.retain_members(
                lambda name: everybody or look.is_member(name)
            )
        if role != known:
            self._totals.change_source()
            self._gaps.reset(self._shares(look) if split else ())
            self._log.info(
                'role',
                groups=role.groups,
                group=look.own_group if split else 0,
                leads=role.leads,
            )


def _source(group: int) -> str:
    """Return the way by which a head hears of another group."""
    return f'group-{group}'

"""Exchange of state between routers by sending and applying beacons."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import outage_reports
from peridotmast.coordination import report_confirmations
from peridotmast.coordination import report_gaps as report_gaps_
from peridotmast import logs
from peridotmast.router import beacon_rounds as beacon_rounds_
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import quota_borrowing as quota_borrowing_
from peridotmast.router import serving as serving_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.router import spend_reports as spend_reports_
from peridotmast.router import update_beacons as update_beacons_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_
from peridotmast.serving import upstream_view

_GROUP_TIMEOUT_MS = 2000
"""Silence of a head after which its group's load is dropped and another head
may be accepted: four beacon intervals of a head."""

_GROUPS_TTL_MS = 500
"""How long the computed groups are cached: one round."""

_FLEET_SOURCE = 'fleet'
"""Name of the source of the totals that a member receives from its head."""


class _GroupRole(ty.NamedTuple):
    """How a router receives the counts of the other routers."""

    is_split: bool
    """Whether the fleet is split into groups."""
    is_head: bool
    """Whether this router is the head of its group."""
    group_count: int


class Peering:
    """Exchanges the shared state with other routers.

    Received beacons are passed to the components that hold the state, and
    beacons to be sent are built from them.

    Parameters
    ----------
    clock : clock.Clock
        Measures the silence of peers and the age of outage reports.
    fleet_state : fleet_state.FleetState
        State from the store, and the members.
    serving : serving.Serving
        Components that count requests.
    totals : shared_totals.SharedTotals
        Counts of all routers.
    lease : lease.Lease
        The lease on the fleet-wide duties, such as scaling.
    catch_up : catch_up.CatchUp
        Fetches missing state from peers with newer state.
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
        self.update_beacons = update_beacons_.UpdateBeacons(
            fleet_state, catch_up
        )
        """Builds and receives beacons that are sent between rounds."""
        self._outages = outage_reports.OutageReports(
            clock, fleet_state.check_store
        )
        self._totals = totals
        self._groups = groups_.Groups(members)
        self._confirmations = report_confirmations.ReportConfirmations(
            members, clock
        )
        self.spend_reports = spend_reports_.SpendReports(
            members, serving.quota, totals, self._confirmations
        )
        """Tells peers between rounds what this router has spent."""
        self.spend_reports.current_groups = self._current_groups_if_split
        self.borrowing = quota_borrowing_.QuotaBorrowing(
            clock,
            members,
            serving.quota,
            self._current_groups_if_split,
            self.spend_reports.wait,
        )
        """Borrows team quota from the group head, or lends it."""
        self.rounds = beacon_rounds_.BeaconRounds(
            clock,
            fleet_state,
            serving.quota,
            serving.crashes,
            serving.limits,
            serving.brittleness,
            serving.versions,
            totals,
            lease,
            self._outages,
            self._confirmations,
            self._groups,
            self._current_groups,
        )
        """Builds the beacons that are sent in rounds."""
        self._gaps = report_gaps_.ReportGaps(clock, serving.quota.max_spends)
        self._role = _GroupRole(False, False, 1)
        self._group_reported_at: dict[int, int] = {}
        serving.quota.count_routers = members.limit_sharer_count
        serving.brittleness.awaits_peers = members.awaits_first_beacon
        serving.retry_budget.share = members.slack_share
        serving.retry_budget.is_first_run = lambda: fleet_state.is_first_run
        serving.quota.is_first_run = lambda: (
            fleet_state.is_first_run and not members.knows_earlier_runs()
        )
        serving.quota.has_stale_peer_data = self.has_delayed_totals
        serving.quota.follows_head = self._follows_head
        serving.quota.even_share = self._even_share
        serving.quota.oldest_confirmation = self._confirmations.oldest
        self._confirmations.awaited = self._awaited_peers
        serving.crashes.relays_updates = self.has_delayed_totals
        self.receive_rollouts: ty.Callable[[pb.Beacon], None] = lambda b: None
        """Called with each beacon, which may concern roll-outs."""
        self.receive_versions: ty.Callable[[pb.Beacon], bool] = lambda b: False
        """Called with each beacon; returns whether it concerned the versions
        of streams."""
        self._accepted_head = '', -_GROUP_TIMEOUT_MS
        self._cached_groups: tuple[ty.Optional[groups_.GroupSnapshot], int] = (
            None,
            0,
        )
        self._log = logs.get('peering', router=members.me.name)

    def load_beacons(self, view: upstream_view.UpstreamView) -> beacons_.Round:
        """Return a beacon with this router's load at an upstream.

        Nothing is sent in a large fleet, which has too many routers for each
        to report to all others.
        """
        if self._groups.is_grouped():
            return []
        me = self._members.me
        load_news = pb.LoadNews(
            router=me.name,
            incarnation=me.incarnation,
            load=self._table.local_load(view),
        )
        return [(pb.Beacon(load_news=load_news), self._members.live_peers())]

    def serving_beacons(self) -> beacons_.Round:
        """Return updates on crashes and limits of upstreams for all peers."""
        crashes, limits = self._serving.crashes, self._serving.limits
        beacon = self.update_beacons.build_serving(
            crashes.updates_for_peers(),
            limits.updates_for_peers(),
            self._serving.brittleness,
        )
        return [(beacon, self._members.peers())]

    def receive(self, beacon: pb.Beacon) -> None:
        """Apply the contents of a peer's beacon."""
        if beacon.HasField('load_news'):
            self._apply_load(beacon.load_news)
            return
        if beacon.HasField('limit_ask'):
            self.borrowing.handle_request(beacon.limit_ask)
            return
        if beacon.HasField('limit_answer'):
            self.borrowing.handle_answer(beacon.limit_answer)
            return
        if beacon.HasField('spend_report'):
            self.spend_reports.handle(beacon.spend_report)
            return
        if self.receive_versions(beacon):
            return
        member = beacon.member
        if not self._members.receive(member):
            return
        self._fleet_state.note_peer_era(beacon.store_era)
        if beacon.lease.holder:
            self._lease.receive_hint(beacon.lease)
        self._serving.crashes.merge_updates(beacon.crash_suspects)
        self._serving.limits.merge_updates(beacon.upstream_limits)
        self._serving.brittleness.merge_updates(
            member.name, beacon.brittle_services, beacon.refusals
        )
        self.receive_rollouts(beacon)
        if beacon.news_only:
            self.update_beacons.receive(beacon)
            return
        if beacon.HasField('other'):
            self._members.merge_entry(beacon.other)
        for changed in beacon.changed:
            self._members.merge_entry(changed)
        self._apply_totals(beacon)
        if beacon.outage_felt:
            self._outages.record(member.name, beacon.HasField('own'))
        self.rounds.set_needs_levels(member.name, beacon.untold)
        if beacon.levels:
            self._serving.quota.adopt_levels(
                {level.team: level.tokens for level in beacon.levels}
            )
        self._catch_up.fetch_if_behind(beacon)

    def tick(self) -> None:
        """Expire the state of routers and groups that have fallen silent."""
        self._members.tick()
        self._confirmations.tick()
        live = self._members.live_peers()
        quota = self._serving.quota
        sharers = self._members.limit_sharer_names()
        self._serving.limits.set_routers(sharers)
        self._serving.brittleness.shares.set_routers(sharers)
        quota.known_share = (
            1 + len(live)
        ) / self._members.limit_sharer_count()
        quota.startup_wait_ms = (
            quota_.LARGE_FLEET_STARTUP_WAIT_MS
            if self.has_delayed_totals()
            else quota_.STARTUP_WAIT_MS
        )
        quota.tick()
        oldest = self._clock.now() - _GROUP_TIMEOUT_MS
        self._group_reported_at = {
            group: at
            for group, at in self._group_reported_at.items()
            if at >= oldest
        }
        self._outages.discard_before(oldest)
        groups, split = self._current_groups(), self._groups.is_grouped()
        if split:
            self._totals.add_estimates(
                self._gaps.tick(self._fleet_shares(groups))
            )
        self._totals.prune(
            {p.member.name for p in self._members.peers()},
            groups.live_member_names()
            if split
            else {peer.member.name for peer in live},
            self._group_reported_at,
            split and not groups.is_head,
        )

    def has_delayed_totals(self) -> bool:
        """Return whether load elsewhere may end before it is reported here."""
        return self._groups.is_grouped()

    def is_outage_suspected(self) -> bool:
        """Return whether missing entries may be due to a store outage."""
        is_reported = self._outages.has_recent()
        return is_reported or self._fleet_state.outage.is_suspected()

    def _follows_head(self) -> bool:
        """Return whether the head of the group decides on team limits."""
        groups = self._current_groups_if_split()
        return groups is not None and not groups.is_head

    def _even_share(self) -> float:
        """Return the share of the fleet for which this router decides."""
        routers = self._members.limit_sharer_count()
        groups = self._current_groups_if_split()
        decided = 1 if groups is None else 1 + len(groups.members())
        return min(1.0, decided / routers)

    def _awaited_peers(self) -> report_confirmations.Awaited:
        """Return the live peers that must know of this router's spending."""
        groups = self._current_groups_if_split()
        if groups is None:
            return report_confirmations.Awaited(self._members.live_peers())
        return report_confirmations.Awaited(
            groups.live_other_heads()
            if groups.is_head
            else groups.head_and_successor()[:1],
            report_confirmations.GROUPED_DEAF_MS,
            waits_for_first=True,
        )

    def _apply_load(self, news: pb.LoadNews) -> None:
        peer = self._members.get(news.router)
        if peer is None or not peer.last_beacon_at:
            return
        if news.incarnation == peer.member.incarnation:
            self._table.set_peer_load(news.router, news.load)

    def _apply_totals(self, beacon: pb.Beacon) -> None:
        """Apply the totals that this router takes from the beacon's sender."""
        name, run = beacon.member.name, beacon.member.incarnation
        clock = self._fleet_state.fleet_clock
        split = self._groups.is_grouped()
        groups = self._current_groups()
        if beacon.HasField('own'):
            clock.record_peer(name, beacon.wall_ms)
            counted = not split or (groups.is_head and groups.is_member(name))
            if self._confirmations.receive(name, run, beacon.stamp):
                is_new = self._confirmations.is_new(beacon.stamp)
                self._totals.update_peer(
                    name, run, beacon.own, counted, is_new
                )
                self.spend_reports.notify()
        if beacon.HasField('group'):
            clock.record_peer(name, beacon.wall_ms)
            group = groups.group_of(name)
            self._group_reported_at[group] = self._clock.now()
            covered = () if beacon.others_alive else groups.names_in(group)
            self._members.apply_head_report(beacon.alive, covered)
            counted = split and groups.is_head
            # A report between rounds may overtake a beacon, but has only
            # the spending.
            is_newest = self._confirmations.receive(name, run, beacon.stamp)
            self._totals.update_group(
                name, run, group, beacon.group, counted, is_newest
            )
            if counted:
                self._add_gap_estimates(
                    _group_source(group), (name, run), groups
                )
        if (
            beacon.HasField('others')
            and self._accepts(name)
            and self._confirmations.receive(name, run, beacon.stamp)
        ):
            covered = () if beacon.others_alive else self._members.peer_names()
            self._members.apply_head_report(beacon.alive, covered)
            counted = split and not groups.is_head
            if counted:
                clock.adopt_head_time(beacon.wall_ms)
            self._totals.update_fleet(name, run, beacon.others, counted)
            if counted:
                self._add_gap_estimates(_FLEET_SOURCE, (name, run), groups)

    def _add_gap_estimates(
        self,
        source: str,
        reporter: tuple[str, int],
        groups: groups_.GroupSnapshot,
    ) -> None:
        """Record a source's report, and estimate spends that it lacks."""
        share = self._fleet_shares(groups).get(source, 0.0)
        self._totals.add_estimates(
            self._gaps.on_report(source, reporter, share)
        )

    def _fleet_shares(self, groups: groups_.GroupSnapshot) -> dict[str, float]:
        """Return the share of the fleet that each source reports on.

        Only routers whose beacons arrive are included: the possible spends of
        missing routers are deducted from the limits elsewhere.
        """
        fleet_size = self._members.limit_sharer_count()
        if not groups.is_head:
            return {
                _FLEET_SOURCE: len(self._members.live_peers()) / fleet_size
            }
        return {
            _group_source(group): groups.live_count(group) / fleet_size
            for group in range(groups.count)
            if group != groups.own_group
        }

    def _accepts(self, head: str) -> bool:
        """Return whether the totals of `head` are accepted.

        Two routers may briefly both act as the head of this group; the totals
        of only one of them are used. The router that is the head in this
        router's view is accepted at once, any other router only after the
        accepted head has been silent.
        """
        now = self._clock.now()
        accepted, at = self._accepted_head
        expected = [
            peer.member.name
            for peer in self._current_groups().head_and_successor()[:1]
        ]
        is_expected = head == accepted or head in expected
        if not is_expected and now - at < _GROUP_TIMEOUT_MS:
            return False
        self._accepted_head = head, now
        return True

    def _current_groups(self) -> groups_.GroupSnapshot:
        """Return the groups, at most `_GROUPS_TTL_MS` old."""
        now = self._clock.now()
        groups, at = self._cached_groups
        if groups is None or now - at >= _GROUPS_TTL_MS:
            groups = self._groups.snapshot()
            self._cached_groups = groups, now
            self._update_role(groups)
        return groups

    def _current_groups_if_split(self) -> ty.Optional[groups_.GroupSnapshot]:
        return self._current_groups() if self._groups.is_grouped() else None

    def _update_role(self, groups: groups_.GroupSnapshot) -> None:
        """Record whether this router is a head, and the number of groups.

        In a new role this router may take the other routers' counts from
        another source, and must not add any count twice.
        """
        split = self._groups.is_grouped()
        role = _GroupRole(
            split, split and groups.is_head, groups.count if split else 1
        )
        previous, self._role = self._role, role
        if role.is_head and not previous.is_head:
            self.rounds.start_leading()
        if previous.is_head and split and not role.is_head:
            # What it has lent since its last round would be unknown.
            self.spend_reports.send_group_report(groups)
        if role.is_head or not split:
            self._fleet_state.fleet_clock.use_own_median()
        if role.group_count != previous.group_count:
            keep_all = not split
            self._totals.retain_members(
                lambda name: keep_all or groups.is_member(name)
            )
        if role != previous:
            self._totals.change_source()
            self._gaps.reset(self._fleet_shares(groups) if split else ())
            self._log.info(
                'role',
                groups=role.group_count,
                group=groups.own_group if split else 0,
                leads=role.is_head,
            )


def _group_source(group: int) -> str:
    """Return the name of the source of a group's totals at other heads."""
    return f'group-{group}'

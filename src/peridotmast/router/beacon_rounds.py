"""Beacons that a router sends in regular rounds, and their recipients."""

from __future__ import annotations

import itertools
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.coordination import outage_reports
from peridotmast.coordination import report_confirmations
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.router import update_beacons
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving.limits import brittleness as brittleness_
from peridotmast.serving.limits import upstream_limits as upstream_limits_
from peridotmast.serving import quota as quota_
from peridotmast.serving import version_gate

_ROUNDS_PER_BEACON = 2
"""In a large fleet only one of this many rounds sends beacons. Each value is
relayed over three hops, so that totals are up to 1.5 s old; beacons in every
round would halve this delay and double the traffic."""

_HEAD_WARMUP_MS = 1500
"""How long a new head reports no router as missing: three rounds, in which its
members and the other heads report to it."""

_CHANGED_MS = 3000
_MAX_CHANGED = 64
"""How long a changed member entry is repeated in beacons, and the maximum
number of entries in a beacon: often enough to make up for beacons that are
lost on the path over two heads."""

_LEVELS_REQUEST_MS = 1200
"""How long a peer's request for the remaining team limits is valid: two rounds
of a large fleet."""


class BeaconRounds:
    """Builds this router's beacons, as a member of its group or as its head.

    Parameters
    ----------
    clock : clock.Clock
        Times repeated entries and requests for limits.
    fleet_state : fleet_state.FleetState
        State from the store, and the members.
    quota : quota.Quota
        The remaining tokens of each team's limit.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    limits : upstream_limits.UpstreamLimits
        Splits the limits of upstreams between routers.
    brittleness : brittleness.Brittleness
        Knows which upstreams are brittle, and what they have refused.
    versions : version_gate.VersionGate
        Knows the roll-outs.
    totals : shared_totals.SharedTotals
        Counts of all routers.
    lease : lease.Lease
        The lease on the fleet-wide duties, such as scaling.
    outages : outage_reports.OutageReports
        Store outages that peers report.
    confirmations : report_confirmations.ReportConfirmations
        Which reports the peers have received.
    groups : groups.Groups
        The groups of a large fleet.
    current_groups : callable
        Returns a snapshot of the groups, at most one round old.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        fleet_state: fleet_state_.FleetState,
        quota: quota_.Quota,
        crashes: crash_tracker_.CrashTracker,
        limits: upstream_limits_.UpstreamLimits,
        brittleness: brittleness_.Brittleness,
        versions: version_gate.VersionGate,
        totals: shared_totals_.SharedTotals,
        lease: lease_.Lease,
        outages: outage_reports.OutageReports,
        confirmations: report_confirmations.ReportConfirmations,
        groups: groups_.Groups,
        current_groups: ty.Callable[[], groups_.GroupSnapshot],
    ) -> None:
        self._clock = clock
        self._fleet_state = fleet_state
        self._members = fleet_state.members
        self._quota = quota
        self._crashes = crashes
        self._limits = limits
        self._brittleness = brittleness
        self._versions = versions
        self._totals = totals
        self._lease = lease
        self._outages = outages
        self._confirmations = confirmations
        self._groups = groups
        self._current_groups = current_groups
        self._random = random.Random(fleet_state.members.me.name)
        self._numbers = itertools.count()
        self._needs_levels_at: dict[str, int] = {}
        self._head_since = 0

    def next_round(self) -> beacons_.Round:
        """Return the beacons of the next round, each with its recipients.

        In a small fleet all routers report to all others. In a large fleet
        members report to their head and its successor, heads report on their
        groups to each other, and each head reports to its members on all
        other routers. The number and size of a router's messages thus do not
        grow with the fleet.
        """
        if not self._groups.is_grouped():
            return self._member_round(self._members.peers())
        if next(self._numbers) % _ROUNDS_PER_BEACON:
            return []
        groups = self._current_groups()
        if groups.is_head:
            return self._head_round(groups)
        return self._member_round(groups.head_and_successor())

    def start_leading(self) -> None:
        """Record that this router is the head of its group from now on."""
        self._head_since = self._clock.now()

    def set_needs_levels(self, peer: str, needs_levels: bool) -> None:
        """Record whether a peer lacks the remaining tokens of team limits."""
        now = self._clock.now()
        oldest = now - _LEVELS_REQUEST_MS
        self._needs_levels_at = {
            p: at for p, at in self._needs_levels_at.items() if at > oldest
        }
        self._needs_levels_at.pop(peer, None)
        if needs_levels:
            self._needs_levels_at[peer] = now

    def _base_beacon(self) -> pb.Beacon:
        """Return a beacon with the contents common to all rounds."""
        beacon = update_beacons.base_beacon(self._fleet_state)
        beacon.wall_ms = self._clock.wall_time()
        beacon.outage_felt = self._fleet_state.outage.is_suspected()
        beacon.untold = self._quota.needs_levels()
        beacon.crash_suspects.extend(self._crashes.updates_for_peers())
        beacon.upstream_limits.extend(self._limits.updates_for_peers())
        beacon.brittle_services.extend(self._brittleness.updates_for_peers())
        beacon.refusals.extend(self._brittleness.refusals_for_peers())
        beacon.rollouts.extend(self._versions.states())
        hint, other = self._lease.hint(), self._random_peer()
        if hint is not None:
            beacon.lease.CopyFrom(hint)
        if other is not None:
            beacon.other.CopyFrom(other)
        return beacon

    def _member_round(self, peers: list[members_.Peer]) -> beacons_.Round:
        """Yield beacons to `peers` with this router's own counts."""
        beacon = self._base_beacon()
        beacon.own.CopyFrom(self._totals.own())
        names = [peer.member.name for peer in peers]
        beacon.stamp.CopyFrom(self._confirmations.stamp(names))
        yield from self._with_levels(beacon, peers)

    def _with_levels(
        self, beacon: pb.Beacon, peers: list[members_.Peer]
    ) -> beacons_.Round:
        """Yield `beacon`, with team limits for the peers that lack them."""
        oldest = self._clock.now() - _LEVELS_REQUEST_MS
        lacking = [
            peer
            for peer in peers
            if self._needs_levels_at.get(peer.member.name, oldest) > oldest
        ]
        if not lacking:
            yield beacon, peers
            return
        yield beacon, [peer for peer in peers if peer not in lacking]
        with_levels = pb.Beacon()
        with_levels.CopyFrom(beacon)
        with_levels.levels.extend(
            pb.TeamLevel(team=team, tokens=tokens)
            for team, tokens in self._quota.levels().items()
        )
        yield with_levels, lacking

    def _head_round(self, groups: groups_.GroupSnapshot) -> beacons_.Round:
        """Yield a head's beacons for the other heads and for its members."""
        live = {peer.member.name for peer in self._members.live_peers()}
        members = [peer.member.name for peer in groups.members()]
        base = self._base_beacon()
        base.wall_ms = self._fleet_state.fleet_clock.now()
        base.changed.extend(
            self._members.recently_changed(_CHANGED_MS, _MAX_CHANGED)
        )
        head_ms = self._clock.now() - self._head_since
        base.others_alive = head_ms < _HEAD_WARMUP_MS
        lease = self._lease.known_holder()
        if lease is not None:
            base.lease.CopyFrom(lease)
        beacon = pb.Beacon()
        beacon.CopyFrom(base)
        beacon.group.CopyFrom(self._totals.group())
        beacon.alive.extend(name for name in members if name in live)
        beacon.outage_felt |= self._outages.has_recent_from_member()
        heads = groups.other_heads()
        names = [peer.member.name for peer in heads]
        beacon.stamp.CopyFrom(self._confirmations.stamp(names))
        yield from self._with_levels(beacon, heads)
        base.alive.extend(live)
        base.outage_felt |= self._outages.has_recent()
        peers = {peer.member.name: peer for peer in groups.members()}
        for name, totals in self._totals.totals_for_members(list(peers)):
            beacon = pb.Beacon()
            beacon.CopyFrom(base)
            beacon.others.CopyFrom(totals)
            beacon.stamp.CopyFrom(self._confirmations.stamp([name]))
            yield from self._with_levels(beacon, [peers[name]])

    def _random_peer(self) -> ty.Optional[pb.Member]:
        live = self._members.live_peers()
        return self._random.choice(live).member if live else None

"""What a router tells in its rounds, and to whom."""

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
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.router import update_beacons
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import quota as quota_
from peridotmast.serving import upstream_limits as upstream_limits_

_GROUP_ROUNDS = 2
"""Rounds of which a large fleet uses one: each thing is told on three times
there, so that totals are as late as a second and a half; at every round they
would be half as late and cost twice as many bytes."""

_LED_MS = 1500
"""How long a head does not say of anybody that it is not there: three rounds,
in which it hears its members and the other heads."""

_CHANGED_MS = 3000
_CHANGED_MOST = 64
"""How long changed entries are told of, and how many at most: as often as
a beacon may be lost on its way over two heads."""

_ASKED_LEVELS_MS = 1200
"""How long a peer's word holds that it was not told yet what is left of the
teams' limits: two rounds of a large fleet."""


class BeaconRounds:
    """Fills this router's beacons, as a member of its group or as its head.

    Parameters
    ----------
    clock : clock.Clock
        Times what is told for a while.
    fleet_state : fleet_state.FleetState
        What is known from the store, and of the members.
    quota : quota.Quota
        What is left of the teams' limits.
    crashes : crash_tracker.CrashTracker
        Tracks requests that crash upstreams.
    limits : upstream_limits.UpstreamLimits
        Splits the limits of upstreams between routers.
    totals : shared_totals.SharedTotals
        What routers count together.
    lease : lease.Lease
        The lease on the duties.
    outages : outage_reports.OutageReports
        What others say of outages.
    groups : groups.Groups
        The groups of a large fleet.
    look : callable
        Returns the groups as they were a moment ago at most.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        fleet_state: fleet_state_.FleetState,
        quota: quota_.Quota,
        crashes: crash_tracker_.CrashTracker,
        limits: upstream_limits_.UpstreamLimits,
        totals: shared_totals_.SharedTotals,
        lease: lease_.Lease,
        outages: outage_reports.OutageReports,
        groups: groups_.Groups,
        look: ty.Callable[[], groups_.GroupSnapshot],
    ) -> None:
        self._clock = clock
        self._fleet_state = fleet_state
        self._members = fleet_state.members
        self._quota = quota
        self._crashes = crashes
        self._limits = limits
        self._totals = totals
        self._lease = lease
        self._outages = outages
        self._groups = groups
        self._look = look
        self._choice = random.Random(fleet_state.members.me.name)
        self._numbers = itertools.count()
        self._untold: dict[str, int] = {}
        self._leads_since = 0

    def next_round(self) -> beacons_.Round:
        """Return the beacons of a round, and the peers that each goes to.

        In a small fleet all tell all. In a large one members tell their head
        and the one after it, heads tell each other of their groups, and each
        of their members of all others: the messages of a router stay the
        same in number and size, however large the fleet is.
        """
        if not self._groups.is_grouped():
            return self._own_round(self._members.peers())
        if next(self._numbers) % _GROUP_ROUNDS:
            return []
        look = self._look()
        if look.is_head:
            return self._head_round(look)
        return self._own_round(look.head_and_successor())

    def start_leading(self) -> None:
        """Take note that this router leads its group from now on."""
        self._leads_since = self._clock.now()

    def set_needs_levels(self, peer: str, untold: bool) -> None:
        """Take note of whether a peer asks what is left of the limits."""
        now = self._clock.now()
        limit = now - _ASKED_LEVELS_MS
        self._untold = {p: at for p, at in self._untold.items() if at > limit}
        self._untold.pop(peer, None)
        if untold:
            self._untold[peer] = now

    def _fill(self) -> pb.Beacon:
        """Return what every beacon of a round says."""
        beacon = update_beacons.beacon_of(self._fleet_state)
        beacon.wall_ms = self._clock.wall()
        beacon.outage_felt = self._fleet_state.outage.is_suspected()
        beacon.untold = self._quota.needs_levels()
        beacon.crash_suspects.extend(self._crashes.updates())
        beacon.upstream_limits.extend(self._limits.updates())
        hint, other = self._lease.hint(), self._some_peer()
        if hint is not None:
            beacon.lease.CopyFrom(hint)
        if other is not None:
            beacon.other.CopyFrom(other)
        return beacon

    def _own_round(self, peers: list[members_.Peer]) -> beacons_.Round:
        """Yield what this router counts itself, for some peers."""
        beacon = self._fill()
        beacon.own.CopyFrom(self._totals.own())
        yield from self._with_levels(beacon, peers)

    def _with_levels(
        self, beacon: pb.Beacon, peers: list[members_.Peer]
    ) -> beacons_.Round:
        """Yield a beacon; for those not told yet, with what is left."""
        limit = self._clock.now() - _ASKED_LEVELS_MS
        untold = [
            peer
            for peer in peers
            if self._untold.get(peer.member.name, limit) > limit
        ]
        if not untold:
            yield beacon, peers
            return
        yield beacon, [peer for peer in peers if peer not in untold]
        fuller = pb.Beacon()
        fuller.CopyFrom(beacon)
        fuller.levels.extend(
            pb.TeamLevel(team=team, tokens=tokens)
            for team, tokens in self._quota.levels().items()
        )
        yield fuller, untold

    def _head_round(self, look: groups_.GroupSnapshot) -> beacons_.Round:
        """Yield what a head tells other heads, and each of its members."""
        heard = {peer.member.name for peer in self._members.live_peers()}
        members = [peer.member.name for peer in look.members()]
        base = self._fill()
        base.wall_ms = self._fleet_state.fleet_clock.now()
        base.changed.extend(
            self._members.recently_changed(_CHANGED_MS, _CHANGED_MOST)
        )
        led_ms = self._clock.now() - self._leads_since
        base.others_alive = led_ms < _LED_MS
        lease = self._lease.known_holder()
        if lease is not None:
            base.lease.CopyFrom(lease)
        beacon = pb.Beacon()
        beacon.CopyFrom(base)
        beacon.group.CopyFrom(self._totals.group())
        beacon.alive.extend(name for name in members if name in heard)
        beacon.outage_felt |= self._outages.has_recent_from_member()
        yield from self._with_levels(beacon, look.other_heads())
        base.alive.extend(heard)
        base.outage_felt |= self._outages.has_recent()
        peers = {peer.member.name: peer for peer in look.members()}
        for name, totals in self._totals.totals_for_members(list(peers)):
            beacon = pb.Beacon()
            beacon.CopyFrom(base)
            beacon.others.CopyFrom(totals)
            yield from self._with_levels(beacon, [peers[name]])

    def _some_peer(self) -> ty.Optional[pb.Member]:
        heard = self._members.live_peers()
        return self._choice.choice(heard).member if heard else None

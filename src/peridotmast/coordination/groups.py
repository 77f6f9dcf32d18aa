"""Groups of routers, each with a head that exchanges state for the group."""

from __future__ import annotations

import math
import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.coordination import rank

FULL_MESH_LIMIT = 17
"""Fleet size up to which every router sends beacons to every other: one round
of beacons then goes to 16 peers."""

_PeersByGroup = dict[int, list[members_.Peer]]
"""Peers by the number of their group."""


class Groups:
    """Assigns the routers of a large fleet to groups by their names.

    No agreement is needed: each router computes the groups from the peers
    that it knows, and a beacon to a former head is only lost for one round.
    The number of groups is about the number of members of each, so that a head
    exchanges beacons with few other heads and with few members.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    """

    def __init__(self, members: members_.Members) -> None:
        self._members = members
        self._me = members.me.name
        self._assigned: _PeersByGroup = {}
        self._assigned_for = -1, 0

    def is_grouped(self) -> bool:
        """Return whether the fleet is large enough to have groups."""
        return len(self._members.peers()) + 1 > FULL_MESH_LIMIT

    def snapshot(self) -> GroupSnapshot:
        """Return the groups as this router sees them now."""
        # Silent peers are counted as well: otherwise a gap in their beacons
        # would change the number of groups, which reassigns all routers.
        count = _group_count(len(self._members.peers()) + 1)
        key = self._members.version, count
        if self._assigned_for != key:
            self._assigned = self._assign(count)
            self._assigned_for = key
        peers = self._members.live_peers()
        live = {peer.member.name for peer in peers}
        leaving = {
            peer.member.name
            for peer in peers
            if peer.member.state == members_.LEAVING
        }
        known = {
            group: [
                peer
                for peer in peers
                if peer.member.name in live
                or self._members.is_newly_discovered(peer)
            ]
            for group, peers in self._assigned.items()
        }
        eligible = (live | self._members.starting_names()) - leaving
        if self._members.me.state != members_.LEAVING:
            eligible.add(self._me)
        return GroupSnapshot(self._me, known, live, eligible, count)

    def _assign(self, count: int) -> _PeersByGroup:
        """Return all peers by group, in their order of election as head."""
        found: _PeersByGroup = {}
        for peer in self._members.peers():
            group = rank.of('group', peer.member.name) % count
            found.setdefault(group, []).append(peer)
        for peers in found.values():
            peers.sort(key=lambda peer: rank.of('head', peer.member.name))
        return found


class GroupSnapshot:
    """The groups of the fleet at one moment, as one router sees them.

    Parameters
    ----------
    me : str
        Name of this router.
    groups : dict
        The live and newly discovered peers by the number of their group, in
        their order of election as head.
    live : collection of str
        Names of the live peers.
    eligible : collection of str
        Names of the routers that may be heads, this one included: live or
        starting, and not leaving.
    count : int
        Number of groups.
    """

    def __init__(
        self,
        me: str,
        groups: _PeersByGroup,
        live: ty.Collection[str],
        eligible: ty.Collection[str],
        count: int,
    ) -> None:
        self._me = me
        self.count = count
        """Number of groups."""
        self._live = live
        self._eligible = eligible
        self._groups = groups
        self.own_group = self.group_of(me)
        """Number of this router's group."""

    @property
    def is_head(self) -> bool:
        """Whether this router is the head of its group.

        A head that is about to stop ceases to be head as soon as it announces
        the stop: its successor already has the members' counts, and the
        members report to the successor before the leaving head ends.
        """
        own_rank = rank.of('head', self._me)
        return not any(
            rank.of('head', name) < own_rank or self._me not in self._eligible
            for name in self.names_in(self.own_group)
            if name in self._eligible
        )

    @property
    def is_successor(self) -> bool:
        """Whether this router is the successor of its group's head."""
        if self._me not in self._eligible:
            return False
        own_rank = rank.of('head', self._me)
        eligible = [
            name
            for name in self.names_in(self.own_group)
            if name in self._eligible
        ]
        return sum(rank.of('head', n) < own_rank for n in eligible) == 1

    def members(self) -> list[members_.Peer]:
        """Return the other members of this router's group."""
        return self._groups.get(self.own_group, [])

    def live_member_names(self) -> set[str]:
        """Return the names of the other live members of this group."""
        return set(self._live_names(self.own_group))

    def head_and_successor(self) -> list[members_.Peer]:
        """Return the peers that get this group's counts: head and successor.

        The successor replaces the head as soon as the head falls silent, and
        has received the members' counts by then.
        """
        return self._first_eligible(self.own_group, 2)

    def other_heads(self) -> list[members_.Peer]:
        """Return the heads of the other groups."""
        return [
            peer
            for group in self._groups
            if group != self.own_group
            for peer in self._first_eligible(group, 1)
        ]

    def live_other_heads(self) -> list[members_.Peer]:
        """Return the heads of the other groups that are live."""
        return [p for p in self.other_heads() if p.member.name in self._live]

    def group_of(self, name: str) -> int:
        """Return the number of a router's group."""
        return rank.of('group', name) % self.count

    def names_in(self, group: int) -> list[str]:
        """Return the names of the peers in the group with this number."""
        return [peer.member.name for peer in self._groups.get(group, [])]

    def live_count(self, group: int) -> int:
        """Return the number of live peers in a group."""
        return len(self._live_names(group))

    def is_member(self, name: str) -> bool:
        """Return whether a router belongs to this router's group."""
        return self.group_of(name) == self.own_group

    def _first_eligible(self, group: int, count: int) -> list[members_.Peer]:
        peers = self._groups.get(group, [])
        eligible = [p for p in peers if p.member.name in self._eligible]
        return (eligible or peers)[:count]

    def _live_names(self, group: int) -> list[str]:
        return [n for n in self.names_in(group) if n in self._live]


def _group_count(routers: int) -> int:
    """Return the number of groups: a power of two near the square root.

    With a power of two, the number rarely changes when a router joins or
    leaves; each change reassigns all routers.
    """
    return 1 << round(math.log2(routers) / 2)

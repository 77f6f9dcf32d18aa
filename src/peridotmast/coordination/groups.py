"""Groups of routers, each with a head that speaks for it."""

from __future__ import annotations

import math
import typing as ty

from peridotmast.coordination import members as members_
from peridotmast.coordination import rank

FULL_MESH_LIMIT = 17
"""Fleet size up to which every router tells every other: it reaches 16 peers
with one round of beacons."""

_Sorted = dict[int, list[members_.Peer]]
"""Peers by the number of their group."""


class Groups:
    """Sorts the routers of a large fleet into groups by their names.

    Nobody need agree: each router reckons from whom it has heard, and what
    is sent to one that is no head any more is lost for one round. About as
    many groups as members in one, so that neither a head's peers nor its
    members are many.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    """

    def __init__(self, members: members_.Members) -> None:
        self._members = members
        self._me = members.me.name
        self._sorted: _Sorted = {}
        self._sorted_at = -1, 0

    def is_grouped(self) -> bool:
        """Return whether the fleet is so large that it has groups."""
        return len(self._members.peers()) + 1 > FULL_MESH_LIMIT

    def snapshot(self) -> GroupSnapshot:
        """Return the groups as this router sees them now."""
        # Also those that are silent now: else a gap in what is heard would
        # sort all routers anew.
        count = _groups_of(len(self._members.peers()) + 1)
        at = self._members.version, count
        if self._sorted_at != at:
            self._sorted = self._sort(count)
            self._sorted_at = at
        peers = self._members.live_peers()
        heard = {peer.member.name for peer in peers}
        leaving = {
            peer.member.name
            for peer in peers
            if peer.member.state == members_.LEAVING
        }
        known = {
            group: [
                peer
                for peer in peers
                if peer.member.name in heard
                or self._members.is_newly_discovered(peer)
            ]
            for group, peers in self._sorted.items()
        }
        there = (heard | self._members.starting_names()) - leaving
        if self._members.me.state != members_.LEAVING:
            there.add(self._me)
        return GroupSnapshot(self._me, known, heard, there, count)

    def _sort(self, count: int) -> _Sorted:
        """Return all peers by group, who is head before others first."""
        found: _Sorted = {}
        for peer in self._members.peers():
            group = rank.of('group', peer.member.name) % count
            found.setdefault(group, []).append(peer)
        for peers in found.values():
            peers.sort(key=lambda peer: rank.of('head', peer.member.name))
        return found


class GroupSnapshot:
    """The groups at one moment.

    Parameters
    ----------
    me : str
        Name of this router.
    groups : dict
        The peers that may be there by the number of their group, who is head
        before others first.
    heard : collection of str
        Names of those that are.
    there : collection of str
        Names of those that may be heads, this router too: they are heard, or
        about to speak, and do not leave.
    count : int
        Groups that there are.
    """

    def __init__(
        self,
        me: str,
        groups: _Sorted,
        heard: ty.Collection[str],
        there: ty.Collection[str],
        count: int,
    ) -> None:
        self._me = me
        self.count = count
        """Groups that there are."""
        self._heard = heard
        self._there = there
        self._groups = groups
        self.own_group = self.group_of(me)
        """Number of this router's group."""

    @property
    def is_head(self) -> bool:
        """Whether this router is the head of its group.

        One that leaves hands that over as soon as it says so: the next one
        has its members' counts, and they follow it before this one ends.
        """
        mine = rank.of('head', self._me)
        return not any(
            rank.of('head', name) < mine or self._me not in self._there
            for name in self.names_in(self.own_group)
            if name in self._there
        )

    def members(self) -> list[members_.Peer]:
        """Return the other members of this router's group."""
        return self._groups.get(self.own_group, [])

    def live_member_names(self) -> set[str]:
        """Return the names of the other members that are heard."""
        return set(self._heard_in(self.own_group))

    def head_and_successor(self) -> list[members_.Peer]:
        """Return who is told for this router's group: head and next one.

        The next one takes the head's place as soon as that falls silent, and
        knows by then what the members count.
        """
        return self._first(self.own_group, 2)

    def other_heads(self) -> list[members_.Peer]:
        """Return the heads of the other groups."""
        return [
            peer
            for group in self._groups
            if group != self.own_group
            for peer in self._first(group, 1)
        ]

    def group_of(self, name: str) -> int:
        """Return the number of a router's group."""
        return rank.of('group', name) % self.count

    def names_in(self, group: int) -> list[str]:
        """Return the names of the peers in a group."""
        return [peer.member.name for peer in self._groups.get(group, [])]

    def live_count(self, group: int) -> int:
        """Return how many peers in a group are heard."""
        return len(self._heard_in(group))

    def is_member(self, name: str) -> bool:
        """Return whether a router is of this router's group."""
        return self.group_of(name) == self.own_group

    def _first(self, group: int, count: int) -> list[members_.Peer]:
        peers = self._groups.get(group, [])
        there = [p for p in peers if p.member.name in self._there]
        return (there or peers)[:count]

    def _heard_in(self, group: int) -> list[str]:
        return [n for n in self.names_in(group) if n in self._heard]


def _groups_of(routers: int) -> int:
    """Return the number of groups: a power of two near the root.

    Powers of two, so that a router that comes or goes seldom sorts all the
    others anew.
    """
    return 1 << round(math.log2(routers) / 2)

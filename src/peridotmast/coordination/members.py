"""Which routers there are, as far as one of them has heard."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

ALIVE = pb.MEMBER_STATE_ALIVE
LEAVING = pb.MEMBER_STATE_LEAVING

_GROUP_SHARE = 1.2
"""In a fleet with groups, silence that is allowed as a multiple of the usual
one: beacons go half as often there, and two of three may be lost."""

_TOLD_SHARE = 2.2
"""The same for members of whom only their head tells: when that is lost, the
next one takes its place within the first time, and tells again within this."""

_COMING_MS = 1500
"""How long one that was never heard counts as one that is about to speak:
three rounds of a large fleet."""

_NEW_MS = 5000
"""How long a router that was never heard counts as one that may be there."""

_FORGET_MS = 60_000
"""How long a silent member is kept: longer than any cut that heals, since
nobody else would tell of it then."""


@dataclasses.dataclass
class Peer:
    """Another router."""

    member: pb.Member
    """The newest that it said of itself."""
    last_beacon_at: int = 0
    """Moment of its last beacon, in ms; 0 where there was none yet."""
    last_reported_at: int = 0
    """Moment at which a head last said that it is there, in ms; 0 where none
    does."""
    changed_at: int = 0
    """Moment at which its entry last changed, in ms."""
    was_seen: bool = False
    """Whether it was ever heard, or heard of from a head."""
    discovered_at: int = 0
    """Moment at which it was first heard of, in ms."""


class Members:
    """This router and its peers; only beacons prove that a peer is there.

    Parameters
    ----------
    me : pb.Member
        This router's own entry.
    clock : clock.Clock
        Times silence.
    silent_ms : int
        Silence after which callers are not sent to a peer any more.
    full_mesh_limit : int
        Fleet size up to which every router tells every other.
    """

    def __init__(
        self,
        me: pb.Member,
        clock: clock_.Clock,
        silent_ms: int,
        full_mesh_limit: int = 1 << 30,
    ) -> None:
        self.me = me
        """This router's own entry."""
        self.clock = clock
        """Times silence."""
        self._silent_ms = silent_ms
        self._full_mesh_limit = full_mesh_limit
        self._peers: dict[str, Peer] = {}
        self._was_heard: set[str] = set()
        self.version = 0
        """Grows with each peer that is new or forgotten."""
        self._log = logs.get('members', router=me.name)

    def change_me(self, **values: ty.Any) -> None:
        """Change this router's own entry and raise its revision."""
        for name, value in values.items():
            setattr(self.me, name, value)
        self.me.revision += 1

    def learn(self, member: pb.Member) -> None:
        """Take in what a third side says of a member."""
        if member.name == self.me.name:
            return
        known = self._peers.get(member.name)
        if known is None:
            now = self.clock.now()
            self._peers[member.name] = Peer(
                member, discovered_at=now, changed_at=now
            )
            self.version += 1
        elif _rank(member) > _rank(known.member):
            known.member = member
            known.changed_at = self.clock.now()

    def receive(self, member: pb.Member) -> bool:
        """Take in a member's own beacon; say whether it is its newest run."""
        if member.name == self.me.name:
            return False
        self.learn(member)
        peer = self._peers[member.name]
        if _rank(member) < _rank(peer.member):
            return False
        peer.member = member
        peer.last_beacon_at = self.clock.now()
        self._note_there(peer)
        return True

    def apply_head_report(
        self, names: ty.Iterable[str], of: ty.Iterable[str]
    ) -> None:
        """Take in from a head who is there.

        Parameters
        ----------
        of : iterable of str
            All that it tells of: those who are not named are not there.
        """
        now, there = self.clock.now(), set(names)
        for name in of:
            if name not in there and name in self._peers:
                self._peers[name].last_reported_at = 0
        for peer in (self._peers[n] for n in there & self._peers.keys()):
            peer.last_reported_at = now
            self._note_there(peer)

    def peer_names(self) -> list[str]:
        """Return the names of all other members."""
        return list(self._peers)

    def recently_changed(self, within_ms: int, most: int) -> list[pb.Member]:
        """Return the entries that have changed of late, the newest first."""
        limit = self.clock.now() - within_ms
        late = [p for p in self._peers.values() if p.changed_at >= limit]
        late.sort(key=lambda peer: -peer.changed_at)
        return [peer.member for peer in late[:most]]

    def peers(self) -> list[Peer]:
        """Return all other members that may still be there."""
        return list(self._peers.values())

    def get(self, name: str) -> ty.Optional[Peer]:
        """Return the peer called `name`."""
        return self._peers.get(name)

    def live_peers(self) -> list[Peer]:
        """Return the peers that were heard lately."""
        split = len(self._peers) + 1 > self._full_mesh_limit
        now = self.clock.now()
        limit = now - self._silent_ms * (_GROUP_SHARE if split else 1)
        told = now - self._silent_ms * _TOLD_SHARE
        return [
            peer
            for peer in self._peers.values()
            if (peer.last_beacon_at and peer.last_beacon_at >= limit)
            or (
                split
                and peer.last_reported_at
                and peer.last_reported_at >= told
            )
        ]

    def serving(self) -> list[pb.Member]:
        """Return the members that callers may be sent to, this one too."""
        everyone = [self.me, *(peer.member for peer in self.live_peers())]
        return [m for m in everyone if m.ready and m.state == ALIVE]

    def sharer_count(self) -> int:
        """Return how many routers share what is shared, this one too.

        A peer counts until it is forgotten or says that it leaves: one
        that is only silent may be serving callers beyond a cut. For a router
        that starts, so do those that it has only heard of yet.
        """
        return len(self.sharer_names())

    def sharer_names(self) -> list[str]:
        """Return the names of all routers counted, including this one."""
        return [
            self.me.name,
            *(
                peer.member.name
                for peer in self._peers.values()
                if peer.member.state == ALIVE
                and (peer.was_seen or self.is_newly_discovered(peer))
            ),
        ]

    def is_newly_discovered(self, peer: Peer) -> bool:
        """Return whether a peer may be there that was never heard."""
        limit = self.clock.now() - _NEW_MS
        return not peer.last_beacon_at and peer.discovered_at > limit

    def starting_names(self) -> set[str]:
        """Return the names of those that are about to speak.

        A fleet that starts as a whole sorts itself by them: else each takes
        itself for a head until it hears the one before it.
        """
        limit = self.clock.now() - _COMING_MS
        return {
            name
            for name, peer in self._peers.items()
            if not peer.was_seen and peer.discovered_at > limit
        }

    def tick(self) -> None:
        """Note who has fallen silent; forget who has been for long."""
        heard = {peer.member.name for peer in self.live_peers()}
        for name in sorted(self._was_heard - heard):
            self._was_heard.discard(name)
            self._log.info('peer_silent', peer=name)
        limit = self.clock.now() - _FORGET_MS
        old = [
            name
            for name, peer in self._peers.items()
            if max(
                peer.last_beacon_at, peer.last_reported_at, peer.discovered_at
            )
            < limit
        ]
        for name in old:
            del self._peers[name]
            self.version += 1

    def _note_there(self, peer: Peer) -> None:
        name = peer.member.name
        peer.was_seen = True
        if name not in self._was_heard:
            self._was_heard.add(name)
            self._log.info('peer_heard', peer=name)


def _rank(member: pb.Member) -> tuple[int, int]:
    return member.incarnation, member.revision

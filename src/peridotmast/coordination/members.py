"""The routers of the fleet, as this router knows them from beacons."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

ALIVE = pb.MEMBER_STATE_ALIVE
LEAVING = pb.MEMBER_STATE_LEAVING

_GROUPED_SILENCE_FACTOR = 1.2
"""Factor on the silence timeout in a fleet with groups: beacons are sent half
as often there, and two of three beacons may be lost."""

_REPORTED_SILENCE_FACTOR = 2.2
"""Factor on the silence timeout for members known only from the reports of a
group head: if the head fails, its successor takes over within the timeout with
the factor above, and reports within the timeout with this factor."""

_STARTING_MS = 1500
"""How long a peer that has sent no beacon yet counts as starting: three rounds
of beacons in a large fleet."""

_DISCOVERED_MS = 5000
"""Time for which a peer without a beacon so far counts as running."""

_FLEET_START_MS = 3000
"""Time within which all routers start if the fleet starts as a whole."""

_SILENT_RETENTION_MS = 60_000
"""How long a silent member is kept: longer than the network partitions that
heal, since no other router would report the member after a partition."""


@dataclasses.dataclass
class Peer:
    """Another router."""

    member: pb.Member
    """The peer's newest known entry."""
    last_beacon_at: int = 0
    """Time of the peer's last beacon, in ms; 0 before its first beacon."""
    last_reported_at: int = 0
    """Time at which a group head last reported the peer as alive, in ms; 0 if
    no head reports it."""
    changed_at: int = 0
    """Time at which the peer's entry last changed, in ms."""
    was_seen: bool = False
    """Whether the peer's beacon, or a head's report on it, has arrived."""
    discovered_at: int = 0
    """Time at which the peer's entry was first received, in ms."""


class Members:
    """This router and its peers; only beacons prove that a peer is alive.

    Parameters
    ----------
    me : pb.Member
        This router's own entry.
    clock : clock.Clock
        Measures the silence of peers.
    silent_ms : int
        Silence after which callers are no longer sent to a peer.
    full_mesh_limit : int
        Fleet size up to which every router sends beacons to every other.
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
        """Measures the silence of peers."""
        self._silent_ms = silent_ms
        self._full_mesh_limit = full_mesh_limit
        self._peers: dict[str, Peer] = {}
        self._live_names: set[str] = set()
        self.version = 0
        """Increases when a peer is added or removed."""
        self._log = logs.get('members', router=me.name)

    def update_own_entry(self, **values: ty.Any) -> None:
        """Change this router's own entry and raise its revision."""
        for name, value in values.items():
            setattr(self.me, name, value)
        self.me.revision += 1

    def merge_entry(self, member: pb.Member) -> None:
        """Merge an entry that did not come from the member itself."""
        if member.name == self.me.name:
            return
        known = self._peers.get(member.name)
        if known is None:
            now = self.clock.now()
            self._peers[member.name] = Peer(
                member, discovered_at=now, changed_at=now
            )
            self.version += 1
        elif _version_of(member) > _version_of(known.member):
            known.member = member
            known.changed_at = self.clock.now()

    def receive(self, member: pb.Member) -> bool:
        """Process the entry in a member's own beacon.

        Returns
        -------
        bool
            Whether the entry is the newest known one of the member.
        """
        if member.name == self.me.name:
            return False
        self.merge_entry(member)
        peer = self._peers[member.name]
        if _version_of(member) < _version_of(peer.member):
            return False
        peer.member = member
        peer.last_beacon_at = self.clock.now()
        self._mark_live(peer)
        return True

    def apply_head_report(
        self, alive: ty.Iterable[str], covered: ty.Iterable[str]
    ) -> None:
        """Process a head's report of live members.

        Parameters
        ----------
        alive : iterable of str
            Names of the members that are alive.
        covered : iterable of str
            Names of all members in the report's scope: those that are not
            in `alive` are not alive.
        """
        now, live = self.clock.now(), set(alive)
        for name in covered:
            if name not in live and name in self._peers:
                self._peers[name].last_reported_at = 0
        for peer in (self._peers[n] for n in live & self._peers.keys()):
            peer.last_reported_at = now
            self._mark_live(peer)

    def peer_names(self) -> list[str]:
        """Return the names of all other members."""
        return list(self._peers)

    def recently_changed(
        self, within_ms: int, max_count: int
    ) -> list[pb.Member]:
        """Return the entries changed in the last `within_ms`, newest first."""
        limit = self.clock.now() - within_ms
        recent = [p for p in self._peers.values() if p.changed_at >= limit]
        recent.sort(key=lambda peer: -peer.changed_at)
        return [peer.member for peer in recent[:max_count]]

    def peers(self) -> list[Peer]:
        """Return all other members, silent ones included."""
        return list(self._peers.values())

    def get(self, name: str) -> ty.Optional[Peer]:
        """Return the peer called `name`."""
        return self._peers.get(name)

    def live_peers(self) -> list[Peer]:
        """Return the peers whose silence is within the timeout."""
        is_live = self._liveness_test()
        return [peer for peer in self._peers.values() if is_live(peer)]

    def serving(self) -> list[pb.Member]:
        """Return the routers that callers may use, including this one."""
        live = [self.me, *(peer.member for peer in self.live_peers())]
        return [m for m in live if m.ready and m.state == ALIVE]

    def limit_sharer_count(self) -> int:
        """Return how many routers share the limits, including this one.

        A peer counts until it is removed, as a silent one may still serve
        callers on the other side of a network partition. A peer that has
        announced that it is leaving counts while it is heard, as it serves
        on until it ends. While this router starts, peers that it has
        discovered but not heard yet count as well.
        """
        return len(self.limit_sharer_names())

    def limit_sharer_names(self) -> list[str]:
        """Return the names of the routers that share the fleet's limits."""
        is_live = self._liveness_test()
        return [
            self.me.name,
            *(
                peer.member.name
                for peer in self._peers.values()
                if is_live(peer)
                or (
                    peer.member.state == ALIVE
                    and (peer.was_seen or self.is_newly_discovered(peer))
                )
            ),
        ]

    def slack_share(self) -> float:
        """Return this router's share of the slack of the retry budget.

        A peer has a share until it is removed or announces that it is
        leaving, also one that this router knows only from its entry: it may
        serve callers on the other side of a network partition. A leaving
        router has none, as the others divide its share.
        """
        if self.me.state != ALIVE:
            return 0.0
        peers = self._peers.values()
        return 1 / (1 + sum(p.member.state == ALIVE for p in peers))

    def knows_earlier_runs(self) -> bool:
        """Return whether some peer's run began well before this one.

        The routers of a fleet that starts as a whole begin at about the same
        time, by their clocks.
        """
        limit = self.me.incarnation - _FLEET_START_MS
        return any(
            peer.member.incarnation < limit for peer in self._peers.values()
        )

    def is_newly_discovered(self, peer: Peer) -> bool:
        """Return whether a peer without a beacon so far may be running."""
        limit = self.clock.now() - _DISCOVERED_MS
        return not peer.last_beacon_at and peer.discovered_at > limit

    def awaits_first_beacon(self) -> bool:
        """Return whether there are peers, and none has sent a beacon yet."""
        peers = self._peers.values()
        return bool(peers) and not any(peer.was_seen for peer in peers)

    def starting_names(self) -> set[str]:
        """Return the names of peers whose first beacon is still expected.

        When the whole fleet starts at once, groups are formed with these
        peers included; otherwise each router would act as a head until it
        received a beacon of a peer that ranks before it.
        """
        limit = self.clock.now() - _STARTING_MS
        return {
            name
            for name, peer in self._peers.items()
            if not peer.was_seen and peer.discovered_at > limit
        }

    def tick(self) -> None:
        """Log peers that became silent; remove peers silent for too long."""
        live = {peer.member.name for peer in self.live_peers()}
        for name in sorted(self._live_names - live):
            self._live_names.discard(name)
            self._log.info('peer_silent', peer=name)
        limit = self.clock.now() - _SILENT_RETENTION_MS
        expired = [
            name
            for name, peer in self._peers.items()
            if max(
                peer.last_beacon_at, peer.last_reported_at, peer.discovered_at
            )
            < limit
        ]
        for name in expired:
            del self._peers[name]
            self.version += 1

    def _liveness_test(self) -> ty.Callable[[Peer], bool]:
        """Return a test of whether a peer's silence is within the timeout."""
        grouped = len(self._peers) + 1 > self._full_mesh_limit
        now = self.clock.now()
        beacon_limit = now - self._silent_ms * (
            _GROUPED_SILENCE_FACTOR if grouped else 1
        )
        report_limit = now - self._silent_ms * _REPORTED_SILENCE_FACTOR

        def is_live(peer: Peer) -> bool:
            if peer.last_beacon_at and peer.last_beacon_at >= beacon_limit:
                return True
            is_reported = grouped and peer.last_reported_at > 0
            return is_reported and peer.last_reported_at >= report_limit

        return is_live

    def _mark_live(self, peer: Peer) -> None:
        name = peer.member.name
        peer.was_seen = True
        if name not in self._live_names:
            self._live_names.add(name)
            self._log.info('peer_heard', peer=name)


def _version_of(member: pb.Member) -> tuple[int, int]:
    return member.incarnation, member.revision

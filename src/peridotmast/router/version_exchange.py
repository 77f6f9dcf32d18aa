"""Copies of streams' versions at other routers, and questions for them."""

from __future__ import annotations

import functools
import hashlib
import itertools
import typing as ty

from peridotmast.coordination import members as members_
from peridotmast import green
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import stream_versions

_COPIES = 3
_COPIES_IN_LARGE_FLEET = 2
"""Number of routers that keep a copy. Most of a small fleet may be lost at
once; in a large fleet, one failure domain."""

_LARGE_FLEET = 64

_ASKED = 6
"""Number of routers that are asked: more than keep a copy, as routers may
differ in which ones are live."""

_ANSWER_TIMEOUT_MS = 60
_TRIES = 2
"""An answer takes a few ms; a question or an answer may be lost."""

_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
"""Multiplier and width of the hash that ranks routers for a stream."""

_MAX_IN_BEACON = 40
"""Maximum number of copies in one beacon, which then fits into a packet."""


class VersionExchange:
    """Sends copies of records, asks for records and answers questions.

    Which routers keep a copy follows from the stream's key: rendezvous
    hashing, with the first two in different failure domains.

    Parameters
    ----------
    members : members.Members
        This router and its peers.
    versions : stream_versions.StreamVersions
        The records.
    """

    def __init__(
        self,
        members: members_.Members,
        versions: stream_versions.StreamVersions,
    ) -> None:
        self._members = members
        self._versions = versions
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Question] = {}
        self._last_peers: frozenset[ids.Owner] = frozenset()
        self.send: ty.Callable[
            [pb.Beacon, ty.Sequence[members_.Peer]], None
        ] = lambda beacon, peers: None
        """Sends a beacon to some peers."""
        self.answer_timeout_ms: float = _ANSWER_TIMEOUT_MS
        """Time after which a question is sent again, in ms."""

    def share(self, key: int, record: stream_versions.Record) -> None:
        """Send copies of a record to the routers that keep it."""
        copy = self._versions.copy_of(key, record)
        peers = self._keepers(key)
        record.copied_to.update(map(_owner_of, peers))
        self.send(pb.Beacon(stream_versions=[copy]), peers)

    def ask(
        self, ask: pb.VersionAsk, is_enough: stream_versions.Enough
    ) -> ty.Optional[stream_versions.Replies]:
        """Return the answers of other routers on a stream.

        Returns
        -------
        Replies or None
            None if there are other routers and none has answered.
        """
        peers = self._ranked(ask.key)[:_ASKED]
        if not peers:
            if self._members.peer_names():
                return None
            return stream_versions.Replies([], is_complete=True)
        ask.number = next(self._numbers)
        ask.router = self._members.me.name
        ask.incarnation = self._members.me.incarnation
        question = self._pending[ask.number] = _Question(peers, is_enough)
        try:
            for _ in range(_TRIES):
                self.send(pb.Beacon(version_ask=ask), question.silent())
                with green.Timeout(self.answer_timeout_ms / 1000, False):
                    question.done.wait()
                if question.done.ready():
                    break
        finally:
            del self._pending[ask.number]
        if not question.answers:
            return None
        live_count = len(self._members.live_peers())
        all_live = live_count == len(self._members.peer_names())
        return stream_versions.Replies(
            list(question.answers.values()),
            is_complete=all_live and not question.silent(),
        )

    def receive(self, beacon: pb.Beacon) -> bool:
        """Process a beacon, and return whether it concerned versions."""
        if beacon.HasField('version_ask'):
            self._answer(beacon.version_ask)
        elif beacon.HasField('version_answer'):
            self._take_answer(beacon.version_answer)
        elif beacon.stream_versions:
            self._versions.receive(beacon.stream_versions)
        else:
            return False
        return True

    def tick(self) -> None:
        """Send copies to the routers that have become keepers of a record."""
        peers = frozenset(map(_owner_of, self._members.live_peers()))
        has_changed, self._last_peers = peers != self._last_peers, peers
        copies: dict[str, list[pb.StreamVersion]] = {}
        for key, record in self._versions.own_records():
            if record.copied_to and not has_changed:
                continue
            for peer in self._keepers(key):
                if _owner_of(peer) not in record.copied_to:
                    record.copied_to.add(_owner_of(peer))
                    found = copies.setdefault(peer.member.name, [])
                    found.append(self._versions.copy_of(key, record))
        for name, found in copies.items():
            self._send_copies(name, found)

    def _send_copies(self, name: str, copies: list[pb.StreamVersion]) -> None:
        peer = self._members.get(name)
        if peer is None:
            return
        for start in range(0, len(copies), _MAX_IN_BEACON):
            part = copies[start : start + _MAX_IN_BEACON]
            self.send(pb.Beacon(stream_versions=part), [peer])

    def _answer(self, ask: pb.VersionAsk) -> None:
        peer = self._members.get(ask.router)
        if peer is None:
            return
        answer = self._versions.answer(ask)
        answer.router = self._members.me.name
        answer.incarnation = ask.incarnation
        self.send(pb.Beacon(version_answer=answer), [peer])

    def _take_answer(self, answer: pb.VersionAnswer) -> None:
        question = self._pending.get(answer.number)
        is_mine = answer.incarnation == self._members.me.incarnation
        if question is not None and is_mine:
            question.add(answer)

    def _keepers(self, key: int) -> list[members_.Peer]:
        """Return the routers that keep the copies of a record."""
        ranked = self._ranked(key)
        is_large = len(ranked) >= _LARGE_FLEET
        return ranked[: _COPIES_IN_LARGE_FLEET if is_large else _COPIES]

    def _ranked(self, key: int) -> list[members_.Peer]:
        """Return the live peers, those first that keep copies for a key."""
        ranked = sorted(
            self._members.live_peers(),
            key=lambda peer: _rank(key, peer.member.name),
        )
        for number, peer in enumerate(ranked[1:], 1):
            domain = ranked[0].member.failure_domain
            if peer.member.failure_domain != domain:
                ranked.insert(1, ranked.pop(number))
                break
        return ranked


class _Question:
    """A question to several routers, and their answers."""

    def __init__(
        self, peers: list[members_.Peer], is_enough: stream_versions.Enough
    ) -> None:
        self._is_enough = is_enough
        self._peers = {peer.member.name: peer for peer in peers}
        self.answers: dict[str, pb.VersionAnswer] = {}
        self.done = green.Event()
        """Sent when the answers suffice or all have answered."""

    def silent(self) -> list[members_.Peer]:
        """Return the routers that have not answered."""
        return [p for n, p in self._peers.items() if n not in self.answers]

    def add(self, answer: pb.VersionAnswer) -> None:
        """Take an answer."""
        if answer.router in self._peers:
            self.answers[answer.router] = answer
        is_done = not self.silent() or self._is_enough(
            list(self.answers.values())
        )
        if is_done and not self.done.ready():
            self.done.send(True)


def _owner_of(peer: members_.Peer) -> ids.Owner:
    return ids.owner_of(peer.member.name, peer.member.incarnation)


@functools.lru_cache(maxsize=1024)
def _hash_of(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _rank(key: int, name: str) -> int:
    """Return a number by which a stream's key ranks a router."""
    mixed = ((key ^ _hash_of(name)) * _MIX) & _MASK
    return mixed ^ (mixed >> 32)

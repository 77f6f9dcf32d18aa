"""Spread of what routers must know of each other, at constant cost a node.

Each node probes one peer an interval. A probe carries a few rumors and a
digest of all that the sender knows; where digests differ twice in a row, the
two compare digests of buckets and exchange those that differ. News is also
pushed at once to a few peers, who push it on when it is new to them.
"""

from __future__ import annotations

import dataclasses
import math
import random
import typing as ty

from peridotmast.coordination import membership as membership_
from peridotmast import failures
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb

_RUMORS_A_PROBE = 8
_PUSH_TO = 3
_REPEAT_FACTOR = 3
_SYNC_AFTER_MISMATCHES = 2
_CALL_MS = 800
_INDIRECT = 2


class Knowledge(ty.Protocol):
    """What gossip carries, each part merged by its own rules."""

    def merge(self, rumor: pb.Rumor, sender: str) -> bool:
        """Take a rumor in; say whether it was news."""

    def parts(self) -> list[int]:
        """Return a digest of each bucket of what is known."""

    def in_buckets(self, buckets: ty.Collection[int]) -> list[pb.Rumor]:
        """Return all that is known in the named buckets."""

    def digest(self) -> bytes:
        """Return a value that is equal where knowledge is."""


@dataclasses.dataclass
class _Spreading:
    rumor: pb.Rumor
    left: int


class Gossip:
    """The probing side and the answering side of one node.

    Parameters
    ----------
    members : membership.Membership
        Whom to talk to.
    knowledge : Knowledge
        What to talk about.
    client : rpc.RpcClient
        Channels to peers.
    spawn : callable
        Runs a push in a task of its own.
    seed : int
        Seed of the choice of peers.
    """

    def __init__(
        self,
        members: membership_.Membership,
        knowledge: Knowledge,
        client: rpc.RpcClient,
        spawn: ty.Callable[..., None],
        seed: int = 0,
    ) -> None:
        self._members = members
        self._knowledge = knowledge
        self._client = client
        self._spawn = spawn
        self._choice = random.Random(seed)
        self._spreading: list[_Spreading] = []
        self._order: list[str] = []
        self._mismatches = 0
        self.sent_bytes = 0
        """Bytes of requests and replies that this node has sent."""
        self.messages = 0
        """Requests that this node has sent."""

    def spread(self, rumor: pb.Rumor, urgent: bool = False) -> None:
        """Pass `rumor` on with the next probes, or at once as well."""
        size = max(2, len(self._members.all()))
        left = math.ceil(_REPEAT_FACTOR * math.log2(size))
        self._spreading.append(_Spreading(rumor, left))
        if urgent:
            self._push([rumor], ())

    def probe_once(self) -> None:
        """Probe the next peer in turn; suspect it where it is silent."""
        peer = self._next_peer()
        if peer is None:
            return
        if self._probe(peer) or self._ask_others(peer):
            return
        if self._members.suspect(peer.name):
            suspect = self._members.get(peer.name)
            self.spread(pb.Rumor(member=suspect))

    def sync(self, address: str) -> bool:
        """Exchange what differs with the peer at `address`."""
        request = pb.SyncRequest(parts=self._knowledge.parts())
        reply = self._call(address, 'Sync', request)
        if isinstance(reply, failures.Failure):
            return False
        mine = self._knowledge.in_buckets(reply.differing)
        self._take(reply.rumors, '', address)
        if reply.differing:
            self._call(address, 'Sync', pb.SyncRequest(rumors=mine))
        return True

    def on_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Answer a probe."""
        self._take(request.rumors, getattr(request, 'from'), '')
        reply = pb.ProbeReply(
            rumors=self._next_rumors(), digest=self._knowledge.digest()
        )
        if request.indirect:
            target = self._members.get(request.indirect)
            reply.indirect_alive = target is not None and self._probe(target)
        self.sent_bytes += reply.ByteSize()
        return reply

    def on_sync(self, request: pb.SyncRequest) -> pb.SyncReply:
        """Answer an exchange: give the buckets that differ."""
        self._take(request.rumors, '', '')
        pairs = zip(request.parts, self._knowledge.parts())
        differing = [
            bucket
            for bucket, (theirs, ours) in enumerate(pairs)
            if theirs != ours
        ]
        reply = pb.SyncReply(
            differing=differing, rumors=self._knowledge.in_buckets(differing)
        )
        self.sent_bytes += reply.ByteSize()
        return reply

    # ------------------------------------------------------------- private

    def _next_peer(self) -> ty.Optional[pb.Member]:
        peers = {member.name: member for member in self._members.peers()}
        while peers:
            if not self._order:
                self._order = sorted(peers)
                self._choice.shuffle(self._order)
            if (name := self._order.pop()) in peers:
                return peers[name]
        return None

    def _probe(self, peer: pb.Member) -> bool:
        request = self._request(self._next_rumors())
        reply = self._call(peer.peer_address, 'Probe', request)
        if isinstance(reply, failures.Failure):
            return False
        self._take(reply.rumors, peer.name, peer.peer_address)
        self._compare(peer, reply.digest)
        return True

    def _ask_others(self, peer: pb.Member) -> bool:
        others = [m for m in self._members.peers() if m.name != peer.name]
        count = min(_INDIRECT, len(others))
        for other in self._choice.sample(others, count):
            request = self._request([])
            request.indirect = peer.name
            reply = self._call(other.peer_address, 'Probe', request, 3)
            if not isinstance(reply, failures.Failure):
                if reply.indirect_alive:
                    return True
        return False

    def _compare(self, peer: pb.Member, digest: bytes) -> None:
        if digest == self._knowledge.digest():
            self._mismatches = 0
            return
        self._mismatches += 1
        # Once may be news on its way; twice in a row is worth a look.
        if self._mismatches >= _SYNC_AFTER_MISMATCHES:
            self._mismatches = 0
            self.sync(peer.peer_address)

    def _take(
        self, rumors: ty.Iterable[pb.Rumor], sender: str, address: str
    ) -> None:
        news = [r for r in rumors if self._knowledge.merge(r, address)]
        for rumor in news:
            self.spread(rumor)
        if news:
            self._push(news, (sender,))

    def _push(
        self, rumors: list[pb.Rumor], leave_out: ty.Iterable[str]
    ) -> None:
        peers = [m for m in self._members.peers() if m.name not in leave_out]
        count = min(_PUSH_TO, len(peers))
        for peer in self._choice.sample(peers, count):
            request = self._request(rumors[:64])
            self._spawn(
                'push', self._call, peer.peer_address, 'Probe', request
            )

    def _request(self, rumors: list[pb.Rumor]) -> pb.ProbeRequest:
        request = pb.ProbeRequest(
            rumors=rumors, digest=self._knowledge.digest()
        )
        setattr(request, 'from', self._members.me.name)
        return request

    def _next_rumors(self) -> list[pb.Rumor]:
        self._spreading.sort(key=lambda item: -item.left)
        chosen = self._spreading[:_RUMORS_A_PROBE]
        for item in chosen:
            item.left -= 1
        self._spreading = [item for item in self._spreading if item.left > 0]
        return [item.rumor for item in chosen]

    def _call(
        self, address: str, method: str, request: ty.Any, factor: int = 1
    ) -> ty.Any:
        self.messages += 1
        self.sent_bytes += request.ByteSize()
        return self._client.call(address, method, request, _CALL_MS * factor)

"""Routers' deciding parts without sockets: real desks, guards, ledgers.

Peers call each other through `Peers`, the platform is a `MemoryStore`, the
upstream is a count of runs. So a test decides what is lost and when.
"""

from __future__ import annotations

import collections
import json

import memory_store
import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import claims as claims_
from peridotmast.coordination import membership as membership_
from peridotmast import failures
from peridotmast import green
from peridotmast import ids
from peridotmast.router import admission as admission_
from peridotmast.router import call as call_
from peridotmast.router import desk as desk_
from peridotmast.router import drain as drain_
from peridotmast.router import ledger as ledger_
from peridotmast.router import once as once_
from peridotmast.router import peer_service
from peridotmast.router import policy as policy_
from peridotmast.router import retry
from peridotmast.router import router_metrics
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb

CONFIG = pb.Config(
    teams=[
        pb.Team(name='noor', rate=1e9, burst=1e9, concurrency=9999, weight=1)
    ]
)


class Crash(green.GreenletExit):
    """The router dies at this very point."""


class World:
    """Everything that the routers of one test share."""

    def __init__(self):
        self.clock = clock_.ManualClock()
        self.objects = memory_store.Objects()
        self.nodes = {}
        self.runs = collections.Counter()
        self.lose_peer_replies = 0
        self.crash_at = ''
        """'before' or 'after' the next run, its router dies."""
        self.incarnations = 0

    def start(self, name):
        """Start a router, or start it again under its name."""
        self.incarnations += 1
        node = Node(self, name, self.incarnations)
        self.nodes[name] = node
        self.gossip()
        return node

    def crash(self, name):
        """Kill a router at once."""
        self.nodes[name].dead = True

    def live(self):
        """Return the routers that run."""
        return [node for node in self.nodes.values() if not node.dead]

    def gossip(self):
        """Let every live router know what every other knows."""
        for node in self.live():
            for other in self.live():
                for member in other.members.all():
                    node.members.merge(member)
            for other in self.nodes.values():
                if other.dead and node.members.suspect(other.name):
                    self.clock.advance(10)
                    node.members.expire()


class Peers:
    """Calls between routers, in memory."""

    def __init__(self, world, node):
        self._world = world
        self._node = node

    def call(self, address, method, request, timeout_ms):
        target = self._world.nodes.get(address)
        if target is None or target.dead or self._node.dead:
            return failures.unavailable('unavailable', 'refused')
        try:
            reply = getattr(target.peers_see, method)(request)
        except Crash:
            target.dead = True
            return failures.unavailable('unavailable', 'reset')
        if self._world.lose_peer_replies:
            self._world.lose_peer_replies -= 1
            return failures.unavailable('deadline_exceeded', 'no reply')
        return reply


class Runner:
    """Stands in for the service caller: a run is a count."""

    def __init__(self, world, ledger):
        self._world = world
        self._ledger = ledger

    def run(self, call, entry, place):
        crash, self._world.crash_at = self._world.crash_at, ''
        place.release()
        if crash == 'before':
            raise Crash
        entry.set_state(ledger_.SENT)
        self._world.runs[call.key] += 1
        if crash == 'after':
            raise Crash
        entry.answer, entry.status = 'ran', 200
        self._ledger.end(entry, ledger_.DONE)
        return None


class Node:
    """One router's deciding parts."""

    def __init__(self, world, name, incarnation):
        self.world = world
        self.name = name
        self.dead = False
        clock = world.clock
        owner = ids.owner_of(name, incarnation)
        me = pb.Member(
            name=name,
            incarnation=incarnation,
            peer_address=name,
            address=name,
            state=pb.MEMBER_STATE_ALIVE,
        )
        self.members = membership_.Membership(me, clock, 5)
        self.ledger = ledger_.Ledger(clock, 10_000, 50)
        store = memory_store.MemoryStore(world.objects, clock)
        claims = claims_.ClaimStore(store, owner, 2)
        self.guard = once_.OnceGuard(owner, self.ledger, claims, self.members)
        self.ledger.on_forget = self.guard.forgotten
        table = upstreams_.UpstreamTable(clock, name, 40)
        table.merge(_service_record())
        admission = admission_.Admission(
            clock, table, policy_.LeastLoadedPolicy(), 100
        )
        admission.configure(CONFIG)
        peers = Peers(world, self)
        self.desk = desk_.CallDesk(
            clock,
            admission,
            self.ledger,
            self.guard,
            None,
            Runner(world, self.ledger),
            self.members,
            peers,
            retry.RetryPacer(clock, 0.2),
            router_metrics.RouterMetrics(
                prometheus_client.CollectorRegistry()
            ),
        )
        self.peers_see = peer_service.PeerService(
            clock,
            None,
            _Feed(),
            self.ledger,
            self.guard,
            self.desk,
            self.members,
            lambda: None,
        )
        self.drain = drain_.Drain(
            clock,
            owner,
            self.ledger,
            self.guard,
            self.desk,
            self.members,
            peers,
            0,
            lambda: None,
        )

    def send(self, request_id, payload='seat'):
        """Send a non-idempotent request; return its entry or a failure."""
        body = {
            'team': 'noor',
            'idempotent': False,
            'request_id': request_id,
            'payload': payload,
        }
        call = call_.read_service(
            json.dumps(body).encode(),
            'booking',
            'hold',
            self.world.clock.now(),
            CONFIG,
            {},
        )
        try:
            return self.desk.service(call)
        except Crash:
            self.dead = True
            return failures.unavailable('broke_off')


class _Feed:
    config = CONFIG
    version = 0
    document = b''


def _service_record():
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name='s',
            address='127.0.0.1:1',
            failure_domain='fd-1',
            kind='service',
            service='booking',
            slots=1000,
        ),
        state=pb.UPSTREAM_STATE_LIVE,
    )

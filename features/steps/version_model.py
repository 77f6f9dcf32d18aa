"""Stateful model of streams that callers take up at any router."""

from __future__ import annotations

import dataclasses
import types

from hypothesis import stateful
from hypothesis import strategies
import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast import failures
from peridotmast.router import version_exchange
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import stream_versions
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import version_history

ROUTE = pb.Route(name='chat', timeout_ms=15_000, resumable=True)
SERVICE = 'pool'
WINDOW_MS = ROUTE.timeout_ms
COUNT = 5
ROUTERS = strategies.integers(0, COUNT - 1)
MAX_LOSSES = 2
"""Number of lost routers that the version of a stream outlives."""
OUTAGE_NOTICED_MS = 1000
"""Time from the loss of the store until a router takes it for lost, in ms."""
BEACON_MS = 500
"""Interval of beacons, in ms: a router that starts hears no peer before."""
CUT_MS = 6000
"""Time after which a cut no longer matters to a stream that begins, in ms."""
VERSIONS = strategies.sampled_from(['a', 'b', 'c'])
IDS = strategies.sampled_from(
    ['', 'x', 'x', 'X', 'y', 'é\udcff', 'long' * 5000, 'x\0y']
)
DURATIONS_MS = strategies.sampled_from([1, 100, 900, 4000, 17_000, 65_000])


@dataclasses.dataclass(frozen=True)
class Stream:
    """A stream that callers may take up."""

    id: str
    version: str
    began_at: int
    losses: int
    """Number of routers that had been lost when it began."""
    has_copies: bool
    """Whether its version was copied to other routers."""


class Router:
    """The parts of a router that know the versions of streams."""

    def __init__(self, world, number, incarnation):
        self.world, self.number = world, number
        clock = world.clock
        self.has_store = True
        self.cut_at = 0
        self.started_at = clock.now()
        self.member = pb.Member(
            name=f'r-{number}',
            incarnation=incarnation,
            beacon_address=f'127.0.0.1:{1000 + number}',
            failure_domain=f'fd-{number % 3}',
        )
        self.members = members_.Members(self.member, clock, 2000)
        self.table = upstreams_.UpstreamTable(clock)
        history = version_history.VersionHistory(clock)
        self.table.listen(history.note)
        self.table.listen_replacements(history.note_replaced)
        registry = prometheus_client.CollectorRegistry()
        self.versions = stream_versions.StreamVersions(
            clock,
            history,
            metrics_.ServingMetrics(registry),
            decisions_.Decisions(clock, self.member.name),
        )
        self.exchange = version_exchange.VersionExchange(
            self.members, self.versions
        )
        self.exchange.send = self.send
        self.exchange.answer_timeout_ms = 0.1
        self.versions.share = self.exchange.share
        self.versions.ask = self.exchange.ask
        self.versions.is_store_lost = self.has_noticed_loss
        self.versions.is_current = self.read_store

    def read_store(self):
        """Read all entries; return whether the store answers."""
        if self.has_store:
            self.table.merge_all(self.world.records.values())
        return self.has_store

    def has_noticed_loss(self):
        """Return whether calls to the store have failed for long enough."""
        lost_ms = self.world.clock.now() - self.cut_at
        return not self.has_store and lost_ms >= OUTAGE_NOTICED_MS

    def send(self, beacon, peers):
        for peer in peers:
            self.world.deliver(self, beacon, peer.member)


class VersionHistory(stateful.RuleBasedStateMachine):
    """Routers that are killed, cut and restarted, and changing versions.

    Fails if a stream goes on at another version than the one that began it,
    or if a caller is refused while nothing is lost.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock_.ManualClock(1_000_000)
        self.revision = 0
        self.records = {}
        self.routers = {}
        self.cut = set()
        self.cut_at = self.losses = 0
        self.streams = []
        for number in range(COUNT):
            self.routers[number] = Router(self, number, 1)
        self.set_version('a', 3)
        self.pass_time(WINDOW_MS + 2000)

    def deliver(self, sender, beacon, member):
        number = int(member.name[2:])
        receiver = self.routers.get(number)
        is_cut = (sender.number in self.cut) != (number in self.cut)
        if receiver is None or is_cut:
            return
        beacon = pb.Beacon.FromString(beacon.SerializeToString())
        if not receiver.exchange.receive(beacon):
            receiver.members.receive(beacon.member)

    def pass_time(self, ms):
        end = self.clock.now() + ms
        while self.clock.now() < end:
            self.clock.advance(min(BEACON_MS, end - self.clock.now()))
            for router in self.routers.values():
                peers = [
                    members_.Peer(r.member) for r in self.routers.values()
                ]
                router.send(pb.Beacon(member=router.member), peers)
            for router in self.routers.values():
                router.members.tick()
                router.exchange.tick()
                router.versions.tick()

    def read_store(self):
        for router in self.routers.values():
            router.read_store()

    def set_version(self, version, count):
        """Let so many upstreams of a version serve."""
        for number in range(3):
            self.revision += 1
            name = f'{version}-{number}'
            is_live = number < count
            if not is_live and name not in self.records:
                continue
            self.records[name] = pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name=name,
                    address='127.0.0.1:9',
                    service=SERVICE,
                    slots=4,
                    version=version,
                ),
                state=(
                    pb.UPSTREAM_STATE_LIVE
                    if is_live
                    else pb.UPSTREAM_STATE_GONE
                ),
                revision=self.revision,
            )
        self.read_store()

    @stateful.rule(version=VERSIONS, count=strategies.integers(0, 3))
    def change_version(self, version, count):
        self.set_version(version, count)

    @stateful.rule(ms=DURATIONS_MS)
    def wait(self, ms):
        self.pass_time(ms)

    @stateful.rule(number=ROUTERS)
    def restart(self, number):
        router = self.routers.get(number)
        incarnation = router.member.incarnation + 1 if router else 100
        self.routers[number] = Router(self, number, incarnation)
        self.read_store()
        self.losses += 1

    @stateful.rule(number=ROUTERS)
    def kill(self, number):
        if len(self.routers) > 1:
            self.losses += self.routers.pop(number, None) is not None

    @stateful.rule(numbers=strategies.sets(ROUTERS, max_size=4))
    def cut_from_all(self, numbers):
        """Cut some routers from the others and from the store."""
        self.cut = numbers
        for number, router in self.routers.items():
            has_store = number not in numbers
            if router.has_store and not has_store:
                router.cut_at = self.clock.now()
            router.has_store = has_store
        self.read_store()
        self.cut_at = self.clock.now() if numbers else self.cut_at

    @stateful.rule(number=ROUTERS, id_=IDS, data=strategies.data())
    def begin(self, number, id_, data):
        router = self.routers.get(number)
        versions = router and [
            view.version
            for view in router.table.live(SERVICE)
            if self.records[view.name].state == pb.UPSTREAM_STATE_LIVE
        ]
        if not versions:
            return
        version = data.draw(strategies.sampled_from(sorted(set(versions))))
        router.versions.begin(make_exchange(id_, None), SERVICE, version)
        has_copies = any(
            record.copied_to for _, record in router.versions.own_records()
        )
        self.streams.append(
            Stream(id_, version, self.clock.now(), self.losses, has_copies)
        )

    @stateful.rule(number=ROUTERS, data=strategies.data())
    def take_up(self, number, data):
        oldest = self.clock.now() - WINDOW_MS
        self.streams = [s for s in self.streams if s.began_at > oldest]
        router = self.routers.get(number)
        if router is None or not self.streams:
            return
        stream = data.draw(strategies.sampled_from(self.streams))
        found = router.versions.find(
            make_exchange('again', stream.id), SERVICE
        )
        is_refused = isinstance(found, failures.Failure)
        assert is_refused or found == stream.version, (found, stream)
        same = sum(s.id == stream.id for s in self.streams)
        has_heard = self.clock.now() >= router.started_at + BEACON_MS
        is_known = stream.has_copies and stream.id and same == 1 and has_heard
        if is_known and self.losses - stream.losses <= MAX_LOSSES:
            assert self.cut_at > stream.began_at - CUT_MS or not is_refused, (
                found,
                stream,
            )


def make_exchange(request_id, resumes):
    return types.SimpleNamespace(
        id=request_id, resumes=resumes, team='t', route=ROUTE
    )

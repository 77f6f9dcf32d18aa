"""Steps for the distribution of configurations over simulated links."""

from __future__ import annotations

import heapq
import itertools
import json
import random
import types

from behave import given
from behave import then
from behave import when
import helpers
import prometheus_client

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.coordination import members as members_
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import green
from peridotmast import invariants
from peridotmast.platform import config_codec
from peridotmast.platform import names
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import peer_service
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

STEP_MS = 10
HEAD_BEACON_MS = 500
"""Interval of the beacons that a router receives from its head."""
STORE_TIMEOUT_MS = 1500
"""Timeout of a call to a store that does not answer."""
STORE_READ_MS = 60_000
"""Timeout of a read that transfers the configuration from the store."""
MAX_CLOCK_STEP_MS = 500
"""Longest step of the clock that does not count as a process pause, in ms."""
OLD_VERSION, NEW_VERSION = 4, 5
ALPHABET = '0123456789abcdefghijklmnopqrstuvwxyz'


def make_document(version, routes, seed=1):
    """Return a configuration document with routes that have random names."""
    random_ = random.Random(seed)

    def random_name(length):
        return ''.join(random_.choices(ALPHABET, k=length))

    config = pb.Config(
        routes=[
            pb.Route(
                name=f'r-{random_name(7)}',
                host=f'{random_name(6)}.example',
                prefix=f'/{random_name(8)}/',
                kind=pb.IDEMPOTENT,
                timeout_ms=1628,
                target_ms=217,
                priority=1,
                attempts=2,
                services=['pages'],
            )
            for _ in range(routes)
        ],
        teams=[pb.Team(name='noor', keys=['key-noor'])],
    )
    return config_codec.write_config(config, version)


class Transfer:
    """Bytes being transferred over the links of one or two routers."""

    def __init__(self, addresses, size, until):
        self.addresses = addresses
        self.remaining = size
        self.until = until
        self.done = green.Event()


class Simulation:
    """Routers with simulated links and a simulated clock.

    Concurrent transfers share the bandwidth of each router's link. Sleeps in
    tasks use the simulated clock.

    Parameters
    ----------
    count : int
        Number of routers.
    bandwidth : int
        Bandwidth of each link, in bytes per ms.
    """

    def __init__(self, count, bandwidth):
        self.clock = clock_.ManualClock()
        self.clock.advance(1_000_000)
        self.bandwidth = bandwidth
        self.transfers = []
        self.transferred = {}
        self.tasks = []
        self.unreachable = set()
        self.stored = None
        self.is_store_down = False
        self.reads = 0
        self.failed_calls = []
        self._sleepers = []
        self._order = itertools.count()
        self.nodes = [SimulatedRouter(self, number) for number in range(count)]
        self.by_address = {node.address: node for node in self.nodes}

    def sleep_ms(self, ms):
        event = green.Event()
        at = self.clock.now() + ms
        heapq.heappush(self._sleepers, (at, next(self._order), event))
        event.wait()

    def transfer(self, addresses, size, timeout_ms):
        """Transfer bytes, and return whether they arrived in time."""
        transfer = Transfer(addresses, size, self.clock.now() + timeout_ms)
        self.transfers.append(transfer)
        return transfer.done.wait()

    def run(self, ms):
        for _ in range(ms // STEP_MS):
            self._step()

    def _step(self):
        self.clock.advance(STEP_MS)
        now = self.clock.now()
        while self._sleepers and self._sleepers[0][0] <= now:
            heapq.heappop(self._sleepers)[2].send(None)
        self._advance_transfers(now)
        for node in self.nodes:
            node.receive_head_beacon(now)
        # Run all tasks until each of them waits again.
        for _ in range(20):
            green.eventlet.sleep(0)

    def _advance_transfers(self, now):
        busy = {}
        for transfer in self.transfers:
            for address in transfer.addresses:
                busy[address] = busy.get(address, 0) + 1
        for transfer in list(self.transfers):
            share = (
                self.bandwidth
                * STEP_MS
                / max(busy[address] for address in transfer.addresses)
            )
            unreachable = self.unreachable.intersection(transfer.addresses)
            sent = 0 if unreachable else min(share, transfer.remaining)
            transfer.remaining -= sent
            for address in transfer.addresses:
                self.transferred[address] = (
                    self.transferred.get(address, 0) + sent
                )
            if transfer.remaining <= 0 or now >= transfer.until:
                self.transfers.remove(transfer)
                transfer.done.send(transfer.remaining <= 0)


class Store:
    """The platform's store, read by one router over its link."""

    def __init__(self, simulation, address):
        self._simulation = simulation
        self._address = address

    def read(self, kind, name):
        simulation = self._simulation
        if simulation.is_store_down:
            simulation.sleep_ms(STORE_TIMEOUT_MS)
            return failures.unavailable('silent')
        if kind != names.CONFIG_KIND:
            return objects.StoredObject(name, 0)
        simulation.reads += 1
        spec = simulation.stored
        simulation.transfer(
            (self._address,), len(json.dumps(spec)), STORE_READ_MS
        )
        return objects.StoredObject(name, spec['version'], spec)


class SimulatedRouter:
    """The parts of a router that request and serve configurations."""

    def __init__(self, simulation, number):
        self._simulation = simulation
        self.number = number
        self.head = None
        self.address = f'10.0.0.{number + 1}:7'
        me = pb.Member(
            name=f'router-hall-{number:03}',
            incarnation=1_800_000_000_000,
            address=f'10.0.0.{number + 1}:8221',
            peer_address=self.address,
            beacon_address=f'10.0.0.{number + 1}:8231',
            failure_domain='hall-one',
            region='coast',
            state=members_.ALIVE,
            ready=True,
            revision=3,
        )
        self.members = members = members_.Members(
            me,
            clock_.StallTolerantClock(simulation.clock, MAX_CLOCK_STEP_MS),
            1250,
        )
        checks = invariants.Invariants(
            prometheus_client.CollectorRegistry(), fatal=True
        )
        self.config = config_feed.ConfigFeed(
            Store(simulation, self.address),
            names.CONFIG_KIND,
            names.CONFIG_NAME,
            config_codec,
            checks,
        )
        table = upstreams_.UpstreamTable(simulation.clock)
        self.calls = 0
        self.knowledge = knowledge = types.SimpleNamespace(
            is_synced_with_store=False,
            members=members,
            config=self.config,
            upstream_table=table,
            is_watching=lambda what: False,
            restart_outdated_watches=lambda *what: None,
        )
        self.catch_up = catch_up_.CatchUp(
            simulation.clock, knowledge, self, self._spawn
        )
        self.service = peer_service.PeerService(
            simulation.clock,
            members,
            self.config,
            table,
            None,
            None,
            pb.TlsSettings(),
        )

    @property
    def version(self):
        return self.config.routes.version

    def call(self, address, method, request, timeout_ms):
        """Call a peer over the links of both routers."""
        self.calls += 1
        peer = self._simulation.by_address[address]
        reply = getattr(peer.service, method)(request, rpc.Caller())
        addresses = (self.address, address)
        size = request.ByteSize() + reply.ByteSize()
        if self._simulation.transfer(addresses, size, timeout_ms):
            return reply
        self._simulation.failed_calls.append((self.address, address, method))
        return failures.unavailable('deadline_exceeded')

    def beacon(self):
        return pb.Beacon(
            member=self.catch_up._members.me,
            config_version=self.version,
            news_only=True,
        )

    def apply_from_store(self, spec):
        """Apply a configuration from the store, and report it to all peers."""
        # If a peer has served it before, it is in force already and is
        # reported as well.
        self.config.offer_routes(spec, 'store')
        assert self.version == spec['version']
        for node in self._simulation.nodes:
            if node is not self:
                node.receive_beacon(self)

    def receive_head_beacon(self, now):
        """Receive the head's beacon, at a different time on each router."""
        if (now + 70 * self.number) % HEAD_BEACON_MS < STEP_MS:
            self.receive_beacon(
                self.head or self._simulation.nodes[self.number % 8]
            )

    def receive_beacon(self, node):
        if (
            node is not self
            and node.address not in self._simulation.unreachable
        ):
            self.catch_up.fetch_if_behind(node.beacon())

    def join(self, seeds):
        self._spawn('join', self.catch_up.join, seeds)

    def _spawn(self, name, func, *args):
        self._simulation.tasks.append(green.spawn(func, *args))


@given('{count:d} routers on links of {rate:d} bytes per ms')
def routers_on_links(context, count, rate):
    context.simulation = simulation = Simulation(count, rate)
    real = green.sleep_ms
    green.sleep_ms = simulation.sleep_ms

    def restore():
        green.sleep_ms = real
        for task in simulation.tasks:
            task.kill()

    context.closing.append(restore)
    simulation.stored = before = make_document(OLD_VERSION, 49)
    for node in simulation.nodes:
        node.config.offer_routes(before, 'store')


@when(
    '{count:d} of the routers read a configuration with {routes:d} more'
    ' routes within {ms:d} ms'
)
def some_routers_read_config(context, count, routes, ms):
    simulation = context.simulation
    simulation.stored = spec = make_document(NEW_VERSION, 49 + routes)
    context.first = simulation.nodes[-count:]
    for node in context.first:
        node.apply_from_store(spec)
        simulation.run(ms // count)


@when('{count:d} of those {first:d} routers become unreachable at once')
def routers_become_unreachable(context, count, first):
    assert len(context.first) == first, context.first
    routers = context.first[:count]
    context.simulation.unreachable.update(node.address for node in routers)


@then('all routers have the configuration within {ms:d} more ms')
def all_routers_have_config(context, ms):
    context.simulation.run(ms)
    newest = context.simulation.stored['version']
    late = [n.number for n in context.simulation.nodes if n.version != newest]
    assert not late, f'{len(late)} routers do not have it: {late}'


@then("no router's link has carried more than {most:d} bytes")
def no_link_transferred_more(context, most):
    found = max(context.simulation.transferred.values())
    assert found <= most, found


@when('another router reads the configuration {ms:d} ms later')
def another_router_reads_config(context, ms):
    context.simulation.run(ms)
    context.simulation.nodes[0].apply_from_store(context.simulation.stored)


@when(
    '{ms:d} ms later, the same routers read another configuration with'
    ' {routes:d} more routes'
)
def same_routers_read_second_config(context, ms, routes):
    simulation = context.simulation
    simulation.run(ms)
    simulation.stored = spec = make_document(
        NEW_VERSION + 1, 49 + routes, seed=2
    )
    for node in context.first:
        node.apply_from_store(spec)


@when('no router can reach the store')
def store_unreachable(context):
    context.simulation.is_store_down = True


@when('the routers can reach the store again')
def store_reachable(context):
    context.simulation.is_store_down = False


@when('{ms:d} ms pass on the links')
def time_passes_on_links(context, ms):
    context.simulation.run(ms)


@then('the other routers know that their configuration is outdated')
def routers_know_config_is_outdated(context):
    others = [n for n in context.simulation.nodes if n not in context.first]
    assert others
    assert all(node.catch_up.config_fetcher.is_outdated() for node in others)


@when('one router repeatedly reports a version that the store does not have')
def one_router_misreports_version(context):
    simulation = context.simulation
    misreporter = simulation.nodes[-1]
    context.first = [misreporter]
    beacon = misreporter.beacon
    misreporter.beacon = lambda: pb.Beacon(
        member=beacon().member, config_version=NEW_VERSION + 90, news_only=True
    )
    for node in simulation.nodes[:-1]:
        node.head = misreporter


@then(
    'the other routers consider their configuration outdated in at most'
    ' {share:d} of 100 checks'
)
def routers_rarely_consider_config_outdated(context, share):
    simulation = context.simulation
    others = simulation.nodes[:-1]
    found = []
    for _ in range(200):
        simulation.run(100)
        found += [
            node.catch_up.config_fetcher.is_outdated() for node in others
        ]
    assert sum(found) * 100 <= share * len(found), sum(found) / len(found)


@when(
    'another router reads and reports a newer configuration with {routes:d}'
    ' routes'
)
def another_router_reads_and_reports(context, routes):
    simulation = context.simulation
    simulation.stored = make_document(NEW_VERSION, routes, seed=3)
    simulation.nodes[0].apply_from_store(simulation.stored)


@when(
    'that router reads and reports a newer configuration with {routes:d}'
    ' routes'
)
def misreporting_router_reads_and_reports(context, routes):
    simulation = context.simulation
    [misreporter] = context.first
    # From now on, its beacons contain its own version again.
    del misreporter.beacon
    simulation.stored = make_document(NEW_VERSION, routes, seed=3)
    misreporter.apply_from_store(simulation.stored)


@then(
    'all routers but the one with the wrong reports have the configuration'
    ' within {ms:d} more ms'
)
def all_but_misreporting_router_have(context, ms):
    context.simulation.run(ms)
    late = [
        n.number
        for n in context.simulation.nodes[:-1]
        if n.version != NEW_VERSION
    ]
    assert not late, late


@then('the store was read at most {most:d} times per router')
def store_was_read_at_most(context, most):
    assert context.simulation.reads <= most * (
        len(context.simulation.nodes) - 1
    )


@given('{count:d} of the routers cannot parse newer configurations')
def routers_cannot_parse_config(context, count):
    def refuse(spec):
        raise ValueError('unsupported configuration')

    for node in context.simulation.nodes[:count]:
        node.config._reader = types.SimpleNamespace(
            read_version=config_codec.read_version, read_config=refuse
        )


@when('that router can parse newer configurations')
def router_can_parse_config(context):
    node = context.simulation.nodes[0]
    node.config._reader = config_codec
    # Later beacons report the newer version again.
    node.head = context.first[0]


@then(
    'the router that cannot parse the configuration knows that its own is'
    ' outdated'
)
def router_knows_unparsable_config_is_newer(context):
    node = context.simulation.nodes[0]
    assert node.version == OLD_VERSION
    assert node.catch_up.config_fetcher.is_outdated()


@then(
    'the link of the router that cannot parse the configuration has carried'
    ' at most {most:d} bytes'
)
def link_transferred_at_most(context, most):
    transferred = context.simulation.transferred
    found = [
        transferred.get(n.address, 0) for n in context.simulation.nodes[:1]
    ]
    assert max(found) <= most, found


@when('the router receives a beacon with a newer configuration version')
def receives_newer_version(context):
    router = context.fleet.routers[0]
    member = pb.Member(
        name='router-9',
        incarnation=1,
        address='127.0.0.1:9',
        peer_address='127.0.0.1:9',
        beacon_address='127.0.0.1:9',
        state=members_.ALIVE,
    )
    newer = router.config.routes.version + 1
    beacon = pb.Beacon(member=member, config_version=newer, news_only=True)
    router._peering.receive(beacon)


@then('a request to an unknown route is refused with 503 and a retry time')
def unknown_route_refused(context):
    check_refusal(
        helpers.send_request(context.fleet.routers[0].address, '/nowhere/x')
    )


@then('a request with an unknown key is refused with 503 and a retry time')
def unknown_key_refused(context):
    check_refusal(
        helpers.send_request(
            context.fleet.routers[0].address, key='Bearer new'
        )
    )


def check_refusal(answer):
    assert answer.status == 503, answer
    assert float(answer.header(names.RETRY_AFTER)) > 0, answer


@when('no more beacons with that version arrive')
def no_more_beacons(context):
    answer = None

    def is_answered_as_unknown():
        nonlocal answer
        answer = helpers.send_request(
            context.fleet.routers[0].address, '/nowhere/x'
        )
        return answer.status == 404

    helpers.wait_until(
        is_answered_as_unknown, 'the reported version is forgotten'
    )


@then('a request to an unknown route is answered with 404')
def unknown_route_not_found(context):
    answer = helpers.send_request(
        context.fleet.routers[0].address, '/nowhere/x'
    )
    assert answer.status == 404, answer


@when(
    'all routers but {count:d} seeds, which know the whole fleet, join'
    ' through the seeds at once'
)
def join_through_seeds(context, count):
    simulation = context.simulation
    seeds, others = simulation.nodes[:count], simulation.nodes[count:]
    for seed in seeds:
        for node in simulation.nodes:
            seed.members.merge_entry(node.members.me)
    for node in others:
        node.join([seed.address for seed in seeds])


@when('each router has read all of its state from the store')
def state_read_from_store(context):
    for node in context.simulation.nodes:
        node.knowledge.is_synced_with_store = True


@then('no router has called a seed')
def no_seed_called(context):
    calls = [node.number for node in context.simulation.nodes if node.calls]
    assert not calls, calls


@then('no call has failed, and each router knows all others')
def all_know_each_other(context):
    simulation = context.simulation
    assert not simulation.failed_calls, (
        len(simulation.failed_calls),
        simulation.failed_calls[0],
    )
    for node in simulation.nodes:
        known = len(node.members.peers())
        assert known == len(simulation.nodes) - 1, (node.number, known)


@when('that router serves copies of the configuration until it defers a peer')
def serves_until_deferred(context):
    [context.server] = context.first
    while not request_copy(context).retry_after_ms:
        pass


def request_copy(context):
    request = pb.ConfigRequest(known_version=OLD_VERSION, takes_packed=True)
    return context.server.service.FetchConfig(request, rpc.Caller())


@when('that router is paused for {ms:d} ms')
def pause_router(context, ms):
    context.simulation.clock.advance(ms)


@then('that router serves the next copy at once')
def serves_copy_at_once(context):
    reply = request_copy(context)
    assert reply.packed_config, reply.retry_after_ms

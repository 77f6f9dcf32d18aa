"""Steps of a large configuration on thin links, in a time of their own."""

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
HEAD_MS = 500
"""Time between two beacons that a router hears from its head."""
STORE_MS = 1500
"""Bound on a call of a store that is silent."""
LONG_MS = 60_000
AWAKE_MS = 500
OLD, NEW = 4, 5
TOKEN = '0123456789abcdefghijklmnopqrstuvwxyz'


def document(version, routes, seed=1):
    """Return a document with so many routes, named as operators do."""
    draws = random.Random(seed)

    def word(length):
        return ''.join(draws.choices(TOKEN, k=length))

    config = pb.Config(
        routes=[
            pb.Route(
                name=f'r-{word(7)}',
                host=f'{word(6)}.example',
                prefix=f'/{word(8)}/',
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
    """Bytes on their way from one router to another."""

    def __init__(self, ends, size, until):
        self.ends = ends
        self.left = size
        self.until = until
        self.done = green.Event()


class World:
    """Routers, the links between them, and one time for all.

    Each router's link carries so much in all; what is on its way at once
    shares it. Waits in tasks are waits in this time.
    """

    def __init__(self, count, link):
        self.clock = clock_.ManualClock()
        self.clock.advance(1_000_000)
        self.link = link
        self.transfers = []
        self.carried = {}
        self.tasks = []
        self.silent = set()
        self.stored = None
        self.store_out = False
        self.reads = 0
        self.failed = []
        self._sleepers = []
        self._order = itertools.count()
        self.nodes = [Node(self, number) for number in range(count)]
        self.by_address = {node.address: node for node in self.nodes}

    def sleep_ms(self, ms):
        event = green.Event()
        at = self.clock.now() + ms
        heapq.heappush(self._sleepers, (at, next(self._order), event))
        event.wait()

    def carry(self, ends, size, timeout_ms):
        """Wait until so many bytes are over; say whether they were."""
        move = Transfer(ends, size, self.clock.now() + timeout_ms)
        self.transfers.append(move)
        return move.done.wait()

    def run(self, ms):
        for _ in range(ms // STEP_MS):
            self._step()

    def _step(self):
        self.clock.advance(STEP_MS)
        now = self.clock.now()
        while self._sleepers and self._sleepers[0][0] <= now:
            heapq.heappop(self._sleepers)[2].send(None)
        self._move(now)
        for node in self.nodes:
            node.hear_head(now)
        # Lets all tasks go on until each of them waits again.
        for _ in range(20):
            green.eventlet.sleep(0)

    def _move(self, now):
        busy = {}
        for move in self.transfers:
            for end in move.ends:
                busy[end] = busy.get(end, 0) + 1
        for move in list(self.transfers):
            share = self.link * STEP_MS / max(busy[end] for end in move.ends)
            silent = self.silent.intersection(move.ends)
            sent = 0 if silent else min(share, move.left)
            move.left -= sent
            for end in move.ends:
                self.carried[end] = self.carried.get(end, 0) + sent
            if move.left <= 0 or now >= move.until:
                self.transfers.remove(move)
                move.done.send(move.left <= 0)


class Store:
    """The platform's store, as one router reads it over its link."""

    def __init__(self, world, address):
        self._world = world
        self._address = address

    def read(self, kind, name):
        world = self._world
        if world.store_out:
            world.sleep_ms(STORE_MS)
            return failures.unavailable('silent')
        if kind != names.CONFIG_KIND:
            return objects.StoredObject(name, 0)
        world.reads += 1
        spec = world.stored
        world.carry((self._address,), len(json.dumps(spec)), LONG_MS)
        return objects.StoredObject(name, spec['version'], spec)


class Node:
    """One router, as far as it knows, gives and asks for configurations."""

    def __init__(self, world, number):
        self._world = world
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
            me, clock_.StallTolerantClock(world.clock, AWAKE_MS), 1250
        )
        checks = invariants.Invariants(
            prometheus_client.CollectorRegistry(), fatal=True
        )
        self.config = config_feed.ConfigFeed(
            Store(world, self.address),
            names.CONFIG_KIND,
            names.CONFIG_NAME,
            config_codec,
            checks,
        )
        table = upstreams_.UpstreamTable(world.clock)
        self.asked = 0
        self.knowledge = knowledge = types.SimpleNamespace(
            is_synced_with_store=False,
            members=members,
            config=self.config,
            upstream_table=table,
            is_watching=lambda what: False,
            refresh=lambda *what: None,
        )
        self.catch_up = catch_up_.CatchUp(
            world.clock, knowledge, self, self._spawn
        )
        self.service = peer_service.PeerService(
            world.clock, members, self.config, table, None, pb.TlsSettings()
        )

    @property
    def version(self):
        return self.config.routes.version

    def call(self, address, method, request, timeout_ms):
        """Call a peer over both links."""
        self.asked += 1
        peer = self._world.by_address[address]
        reply = getattr(peer.service, method)(request, rpc.Caller())
        ends = (self.address, address)
        size = request.ByteSize() + reply.ByteSize()
        if self._world.carry(ends, size, timeout_ms):
            return reply
        self._world.failed.append((self.address, address, method))
        return failures.unavailable('deadline_exceeded')

    def beacon(self):
        return pb.Beacon(
            member=self.catch_up._members.me,
            config_version=self.version,
            news_only=True,
        )

    def take(self, spec):
        """Take it in from the store, and tell the others."""
        # One that a peer has told already has it, and tells as well.
        self.config.offer_routes(spec, 'store')
        assert self.version == spec['version']
        for node in self._world.nodes:
            if node is not self:
                node.hear(self)

    def hear_head(self, now):
        """Hear the head's beacon, each router at another moment."""
        if (now + 70 * self.number) % HEAD_MS < STEP_MS:
            self.hear(self.head or self._world.nodes[self.number % 8])

    def hear(self, node):
        if node is not self and node.address not in self._world.silent:
            self.catch_up.compare(node.beacon())

    def join(self, seeds):
        self._spawn('join', self.catch_up.join, seeds)

    def _spawn(self, name, func, *args):
        self._world.tasks.append(green.spawn(func, *args))


@given('{count:d} routers on links of {rate:d} bytes a millisecond')
def routers_on_links(context, count, rate):
    context.world = world = World(count, rate)
    real = green.sleep_ms
    green.sleep_ms = world.sleep_ms

    def restore():
        green.sleep_ms = real
        for task in world.tasks:
            task.kill()

    context.closing.append(restore)
    world.stored = before = document(OLD, 49)
    for node in world.nodes:
        node.config.offer_routes(before, 'store')


@when('{count:d} of them have {routes:d} routes more within {ms:d} ms')
def some_have(context, count, routes, ms):
    world = context.world
    world.stored = spec = document(NEW, 49 + routes)
    context.first = world.nodes[-count:]
    for node in context.first:
        node.take(spec)
        world.run(ms // count)


@when('{count:d} of those {first:d} fall silent at once')
def fall_silent(context, count, first):
    gone = context.first[:count]
    context.world.silent.update(node.address for node in gone)


@then('all have them within {ms:d} ms more')
def all_have(context, ms):
    context.world.run(ms)
    newest = context.world.stored['version']
    late = [n.number for n in context.world.nodes if n.version != newest]
    assert not late, f'{len(late)} routers do not have it: {late}'


@then("no router's link has carried more than {most:d} bytes for it")
def carried(context, most):
    found = max(context.world.carried.values())
    assert found <= most, found


@when('another one has them {ms:d} ms later')
def another_has(context, ms):
    context.world.run(ms)
    context.world.nodes[0].take(context.world.stored)


@when('{ms:d} ms later they have {routes:d} routes more still')
def have_more(context, ms, routes):
    world = context.world
    world.run(ms)
    world.stored = spec = document(NEW + 1, 49 + routes, seed=2)
    for node in context.first:
        node.take(spec)


@when('no router reaches the store')
def store_out(context):
    context.world.store_out = True


@when('they reach the store again')
def store_back(context):
    context.world.store_out = False


@when('{ms:d} ms pass on the links')
def pass_on_links(context, ms):
    context.world.run(ms)


@then('the others know that they are behind')
def know_behind(context):
    others = [n for n in context.world.nodes if n not in context.first]
    assert others
    assert all(node.catch_up.config_fetcher.is_behind() for node in others)


@when('one says again and again that it has what the store has not')
def liar(context):
    world = context.world
    liar = world.nodes[-1]
    context.first = [liar]
    beacon = liar.beacon
    liar.beacon = lambda: pb.Beacon(
        member=beacon().member, config_version=NEW + 90, news_only=True
    )
    for node in world.nodes[:-1]:
        node.head = liar


@then('at most {share:d} in 100 times the others think that they are behind')
def think_behind(context, share):
    world = context.world
    others = world.nodes[:-1]
    found = []
    for _ in range(200):
        world.run(100)
        found += [node.catch_up.config_fetcher.is_behind() for node in others]
    assert sum(found) * 100 <= share * len(found), sum(found) / len(found)


@when("another one has {routes:d} routes of the store's, and tells of it")
def another_tells(context, routes):
    world = context.world
    world.stored = document(NEW, routes, seed=3)
    world.nodes[0].take(world.stored)


@when("that one has {routes:d} routes of the store's, and tells of it")
def liar_tells(context, routes):
    world = context.world
    [liar] = context.first
    # From now on it says what it has.
    del liar.beacon
    world.stored = document(NEW, routes, seed=3)
    liar.take(world.stored)


@then('all but the first have them within {ms:d} ms more')
def all_but_first(context, ms):
    context.world.run(ms)
    late = [n.number for n in context.world.nodes[:-1] if n.version != NEW]
    assert not late, late


@then('the store was asked at most {most:d} times by each')
def asked_at_most(context, most):
    assert context.world.reads <= most * (len(context.world.nodes) - 1)


@given('{count:d} of them can read no newer one')
def cannot_read(context, count):
    def refuse(spec):
        raise ValueError('written for others')

    for node in context.world.nodes[:count]:
        node.config._reader = types.SimpleNamespace(
            read_version=config_codec.read_version, read_config=refuse
        )


@when('that one can read what it could not')
def can_read(context):
    node = context.world.nodes[0]
    node.config._reader = config_codec
    # Beacons go on, and bring the word again.
    node.head = context.first[0]


@then("the one that can't read it knows that it is behind")
def unreadable_behind(context):
    node = context.world.nodes[0]
    assert node.version == OLD
    assert node.catch_up.config_fetcher.is_behind()


@then('no link of those has carried more than {most:d} bytes')
def those_carried(context, most):
    carried = context.world.carried
    found = [carried.get(n.address, 0) for n in context.world.nodes[:1]]
    assert max(found) <= most, found


@when('the router hears of a configuration that is newer than its own')
def hears_of_newer(context):
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


@then(
    'a caller of an unknown route is told to come back, and that nothing ran'
)
def told_to_come_back(context):
    is_promise(
        helpers.send_request(context.fleet.routers[0].address, '/nowhere/x')
    )


@then(
    'a caller with an unknown key is told to come back, and that nothing ran'
)
def key_told_to_come_back(context):
    is_promise(
        helpers.send_request(
            context.fleet.routers[0].address, key='Bearer new'
        )
    )


def is_promise(answer):
    assert answer.status == 503, answer
    assert float(answer.header(names.RETRY_AFTER)) > 0, answer


@when('nothing more is heard of it')
def nothing_more(context):
    answer = None

    def is_final():
        nonlocal answer
        answer = helpers.send_request(
            context.fleet.routers[0].address, '/nowhere/x'
        )
        return answer.status == 404

    helpers.wait_until(is_final, 'the word is forgotten')


@then('a caller of an unknown route is told that there is none')
def told_none(context):
    answer = helpers.send_request(
        context.fleet.routers[0].address, '/nowhere/x'
    )
    assert answer.status == 404, answer


@when('all but {count:d} that know everybody join by these at once')
def all_join(context, count):
    world = context.world
    seeds, others = world.nodes[:count], world.nodes[count:]
    for seed in seeds:
        for node in world.nodes:
            seed.members.learn(node.members.me)
    for node in others:
        node.join([seed.address for seed in seeds])


@when('the store has told each of platform and fleet')
def store_has_told(context):
    for node in context.world.nodes:
        node.knowledge.is_synced_with_store = True


@then('none of them has asked a seed')
def none_asked(context):
    asked = [node.number for node in context.world.nodes if node.asked]
    assert not asked, asked


@then('no call of theirs has failed, and all know everybody')
def all_joined(context):
    world = context.world
    assert not world.failed, (len(world.failed), world.failed[0])
    for node in world.nodes:
        known = len(node.members.peers())
        assert known == len(world.nodes) - 1, (node.number, known)


@when('one gives copies until it puts a peer off')
def gives_until_put_off(context):
    [context.giver] = context.first
    while not ask_for_copy(context).retry_after_ms:
        pass


def ask_for_copy(context):
    request = pb.ConfigRequest(known_version=OLD, takes_packed=True)
    return context.giver.service.FetchConfig(request, rpc.Caller())


@when('it stands still for {ms:d} ms')
def copies_stand_still(context, ms):
    context.world.clock.advance(ms)


@then('it gives the next copy at once')
def gives_at_once(context):
    reply = ask_for_copy(context)
    assert reply.packed_config, reply.retry_after_ms

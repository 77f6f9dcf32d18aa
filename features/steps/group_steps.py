"""Steps of large fleets: heads, members, and what they count together."""

from __future__ import annotations

import collections
import functools
import itertools
import math
import random
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import crash_model
import limit_model

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import fleet_clock
from peridotmast.coordination import fleet_counts
from peridotmast.coordination import groups
from peridotmast.coordination import members as members_
from peridotmast.coordination import report_gaps as report_gaps_
from peridotmast.coordination import router_selector
from peridotmast import green
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import peering as peering_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import demand as demand_
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving import upstream_limits
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import usage as usage_

ROUND_MS = 250
STEP_MS = 50
LATE_MS = 150
"""How late a round of a router may come that is busy."""
BURST = 1_000_000
WINDOW_MS = 600_000


class Skewed:
    """A clock whose time of day may be off."""

    def __init__(self, clock):
        self._clock = clock
        self.off = 0

    def now(self):
        return self._clock.now()

    def boot(self):
        return self._clock.boot()

    def wall(self):
        return self._clock.wall() + self.off


class Node:
    """One router, as far as it counts with others; without a network."""

    def __init__(self, number, clock, limited=True):
        self.name = f'router-{number:03}'
        self.clock = Skewed(clock)
        self.spawned = []
        me = pb.Member(
            name=self.name,
            incarnation=clock.wall() + number,
            beacon_address=f'10.0.{number // 250}.{1 + number % 250}:7',
            state=members_.ALIVE,
            ready=True,
        )
        members = members_.Members(
            me, self.clock, 1250, groups.FULL_MESH_LIMIT
        )
        self.members = members
        self.time = fleet_clock.FleetClock(self.clock)
        self.table = upstreams_.UpstreamTable(self.clock)
        self.table.merge(
            pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name='u-1', address='10.9.0.1:80', service='pool', slots=8
                ),
                state=upstreams_.LIVE,
                revision=1,
            )
        )
        self.serving = types.SimpleNamespace(
            quota=quota_.Quota(self.clock),
            demand=demand_.Demand(self.clock),
            usage=usage_.Usage(self.time.now, WINDOW_MS),
            retry_budget=retry_budget.RetryBudget(self.clock, 0.2, 10_000, 50),
            crashes=crash_tracker_.CrashTracker(self.clock, self.name),
            limits=upstream_limits.UpstreamLimits(self.clock, self.name),
        )
        if limited:
            self.limit(rate=0, burst=BURST)
        self.window = self.serving.usage.window_now()
        knowledge = self._knowledge()
        self.peering = peering_.Peering(
            self.clock,
            knowledge,
            self.serving,
            shared_totals_.SharedTotals(self.serving, self.table),
            types.SimpleNamespace(
                hint=lambda: None,
                receive_hint=lambda hint: None,
                known_holder=lambda: None,
            ),
            catch_up_.CatchUp(self.clock, knowledge, None, self._spawn),
        )

    def _spawn(self, name, *args):
        self.spawned.append(name)

    def limit(self, rate, burst):
        team = pb.Team(name='noor', rate=rate or 1e-9, burst=burst)
        self.serving.quota.configure([team])

    def _knowledge(self):
        version = types.SimpleNamespace(version=1)
        return types.SimpleNamespace(
            members=self.members,
            config=types.SimpleNamespace(routes=version, product=version),
            upstream_table=self.table,
            fleet_clock=self.time,
            outage=types.SimpleNamespace(is_suspected=lambda: False),
            is_watching=lambda what: False,
            refresh=lambda what: None,
            check_store=lambda: None,
        )

    def spent(self):
        bucket = self.serving.quota._buckets['noor']
        return BURST - bucket.level

    def look(self):
        return self.peering._groups.snapshot()


class Fleet:
    """Routers whose beacons are handed over without a network."""

    def __init__(self, count, lost=0.0, seed=0, starts=False):
        self.clock = clock_.ManualClock()
        self.clock.advance(1_000_000)
        self.nodes = {}
        self.draws = random.Random(seed)
        self.lost = lost
        self.sent = collections.Counter()
        self.got = collections.Counter()
        self.numbers = iter(range(1000))
        self.events = {}
        self.is_cut = lambda beacon: False
        self.add(count)
        if not starts:
            # They have run for long, and know what is left of the limit.
            for node in self.nodes.values():
                node.serving.quota.adopt_levels({'noor': BURST})

    def add(self, count):
        fresh = [Node(next(self.numbers), self.clock) for _ in range(count)]
        for node in fresh:
            self.link(node)
        self.nodes.update({node.name: node for node in fresh})
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.members.learn(copy_of(other.members.me))

    def link(self, node):
        """Let a router's asks and answers reach others at once."""
        node.peering.borrowing.send = functools.partial(self.hand_over, node)

    def run(self, ms):
        for _ in range(ms // ROUND_MS):
            self.events.pop(self.clock.now(), lambda: None)()
            for node in list(self.nodes.values()):
                node.peering.tick()
                node.serving.demand.tick()
                for beacon, peers in list(node.peering.rounds.next_round()):
                    self.hand_over(node, beacon, peers)
            self.clock.advance(ROUND_MS)

    def hand_over(self, node, beacon, peers):
        data = beacon.SerializeToString()
        for peer in peers:
            self.sent[node.name] += 1
            there = self.nodes.get(peer.member.name)
            if there is None or self.draws.random() < self.lost:
                continue
            if self.is_cut(beacon):
                continue
            self.got[there.name] += 1
            there.peering.receive(pb.Beacon.FromString(data))

    def run_apart(self, ms):
        """Pass time while each router has rounds at moments of its own.

        Each comes some ms late: routers that start are busy.
        """
        for node in self.nodes.values():
            node.next_at = self.draws.randrange(0, ROUND_MS, STEP_MS)
            if self.draws.random() < 0.5:
                next(node.peering.rounds._numbers)
        for passed in range(0, ms, STEP_MS):
            for node in list(self.nodes.values()):
                if passed >= node.next_at:
                    late = self.draws.randrange(0, LATE_MS, STEP_MS)
                    node.next_at = passed + ROUND_MS + late
                    node.peering.tick()
                    for beacon, peers in list(
                        node.peering.rounds.next_round()
                    ):
                        self.hand_over(node, beacon, peers)
            self.clock.advance(STEP_MS)
            yield

    def heads(self):
        return [node for node in self.nodes.values() if node.look().is_head]

    def member(self):
        return next(n for n in self.nodes.values() if not n.look().is_head)


def copy_of(member):
    copied = pb.Member()
    copied.CopyFrom(member)
    return copied


@given("{count:d} routers that know each other's names")
def fleet_of(context, count):
    context.groups = Fleet(count)


@given('{count:d} routers that have just started')
def fleet_started(context, count):
    context.groups = Fleet(count, starts=True)


@when('{ms:d} ms pass in the groups')
def groups_pass(context, ms):
    context.groups.run(ms)


@given(
    '{count:d} routers in {domains:d} failure domains, as {some:d} of them'
    ' know them'
)
def in_domains(context, count, domains, some):
    clock = clock_.ManualClock()
    everyone = [
        pb.Member(
            name=f'router-{number % domains}-{number:03}',
            failure_domain=f'fd-{number % domains}',
            state=members_.ALIVE,
            ready=True,
        )
        for number in range(count)
    ]
    context.domains = collections.Counter(m.failure_domain for m in everyone)
    context.directories = []
    for me in everyone[:some]:
        members = members_.Members(copy_of(me), clock, 1250)
        for member in everyone:
            members.receive(copy_of(member))
        context.directories.append(router_selector.RouterSelector(members, 64))


@when('callers of each failure domain ask them {times:d} times each')
def callers_ask(context, times):
    context.answers = [
        (domain, directory.select(domain))
        for domain in sorted(context.domains)
        for directory in context.directories
        for _ in range(times)
    ]


@then("each answer names {count:d}, all of the caller's failure domain first")
def names_near_first(context, count):
    for domain, found in context.answers:
        assert len({member.name for member in found}) == count, len(found)
        near = context.domains[domain]
        assert all(m.failure_domain == domain for m in found[:near]), found


@then("each answer names {count:d} of the caller's failure domain")
def names_near_only(context, count):
    for domain, found in context.answers:
        assert len({member.name for member in found}) == count, len(found)
        assert all(m.failure_domain == domain for m in found), found


@then('no router is named more than {times:g} times as often as the mean')
def named_evenly(context, times):
    named = collections.Counter(
        member.name for _, found in context.answers for member in found
    )
    mean = sum(named.values()) / sum(context.domains.values())
    (name, most), *_ = named.most_common(1)
    assert most <= times * mean, (name, most, mean)


@then('each hears all the others')
def each_hears(context):
    others_hear(context, ())


def others_hear(context, left_out):
    """Check that each router but some hears all the others."""
    nodes = context.groups.nodes
    for node in (n for n in nodes.values() if n.name not in left_out):
        heard = {peer.member.name for peer in node.members.live_peers()}
        missing = nodes.keys() - heard - {node.name}
        assert not missing, (node.name, missing)


@then('a router that is no head sends at most {most:d} beacons a second')
def at_most_sent(context, most):
    fleet = context.groups
    fleet.sent.clear()
    fleet.run(5000)
    heads = {node.name for node in fleet.heads()}
    assert 0 < len(heads) < 16, heads
    for name in fleet.nodes.keys() - heads:
        assert fleet.sent[name] <= 5 * most, fleet.sent[name]


@then(
    'at {a:d}, {b:d} and {c:d} routers a member sends and gets as many beacons'
    ' a second'
)
def no_slope(context, a, b, c):
    found = set()
    for count in (a, b, c):
        fleet = Fleet(count)
        fleet.run(4000)
        fleet.sent.clear()
        fleet.got.clear()
        fleet.run(4000)
        heads = {node.name for node in fleet.heads()}
        members = fleet.nodes.keys() - heads
        usual = collections.Counter(
            (fleet.sent[name], fleet.got[name]) for name in members
        )
        found.add(usual.most_common(1)[0][0])
    assert len(found) == 1, found


@when(
    'each of them lets {tokens:d} tokens pass, takes a request and has work'
    ' at "u-1"'
)
def each_works(context, tokens):
    for node in context.groups.nodes.values():
        assert not node.serving.quota.take('noor', tokens)
        node.serving.usage.count_started('noor')
        node.serving.demand.count_request('pool', 3000)
        if not node.table.local_loads():
            view = node.table.get('u-1')
            view.add_load(upstream_view.Load(1, 10, 100))


@then("at each of them {tokens:d} tokens are off the team's limit")
def tokens_off(context, tokens):
    for node in context.groups.nodes.values():
        assert abs(node.spent() - tokens) < 1, (node.name, node.spent())


@then('each of them would report {count:d} requests')
def would_report(context, count):
    for node in context.groups.nodes.values():
        total = node.serving.usage.total(node.window)
        assert total == {'noor': count}, (node.name, total)


@then(
    'no one would report more than {most:d} requests, nor fewer than {least:d}'
)
def reports_between(context, most, least):
    for node in context.groups.nodes.values():
        total = node.serving.usage.total(node.window).get('noor', 0)
        assert least <= total <= most, (node.name, total)


@then('each of them knows the work of all {count:d} at "u-1"')
def knows_work(context, count):
    for node in context.groups.nodes.values():
        load = node.table.get('u-1').total_load()
        assert load == upstream_view.Load(count, 10 * count, 100 * count), (
            node.name,
            load,
        )


@then('each of them has measured what all were asked for')
def has_measured(context):
    for node in context.groups.nodes.values():
        total = node.serving.demand._total['pool']
        assert total == 3000 * len(context.groups.nodes), (node.name, total)


@when('each looks at the others, and then says to all that it is there')
def each_announces(context):
    for node in context.groups.nodes.values():
        node.peering.tick()
    for node in context.groups.nodes.values():
        tell_news(context.groups, node)


def tell_news(fleet, node):
    fleet.hand_over(node, node.peering.updates.build(), node.members.peers())


@then('for {ms:d} ms each hears all the others, whose rounds are not at once')
def hears_all_for(context, ms):
    for _ in context.groups.run_apart(ms):
        each_hears(context)


@then('only the heads lead')
def only_heads_lead(context):
    groups_led = [node.look().own_group for node in context.groups.heads()]
    assert len(groups_led) == len(set(groups_led)), groups_led


@then('for {ms:d} ms each other hears all, whose rounds are not at once')
def others_hear_all_for(context, ms):
    for _ in context.groups.run_apart(ms):
        others_hear(context, {context.ended})


@when('one that is no head has news, and is killed')
def news_and_killed(context):
    tell_news(context.groups, context.groups.member())
    member_killed(context)


def entered(node, count):
    """Enter so many new upstreams into a router's table, as its watch does."""
    for _ in range(count):
        revision = node.table.revision + 1
        node.table.merge(
            pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name=f'new-{revision}',
                    address=f'10.9.1.{revision}:80',
                    service='pool',
                    slots=8,
                ),
                state=upstreams_.LIVE,
                revision=revision,
            )
        )


@when('one that watches tells of {count:d} new upstream')
@when('one that watches tells of {count:d} new upstreams')
def watcher_tells(context, count):
    fleet = context.groups
    nodes = list(fleet.nodes.values())
    context.teller = nodes[0]
    for node in nodes:
        node.spawned.clear()
    entered(context.teller, count)
    tell_news(fleet, context.teller)


@when(
    'one that watches tells of {count:d} new upstreams, and another misses it'
)
def watcher_tells_most(context, count):
    fleet = context.groups
    missing = list(fleet.nodes.values())[1]
    del fleet.nodes[missing.name]
    watcher_tells(context, count)
    fleet.nodes[missing.name] = missing
    context.missing = missing


def news_known(node):
    names = {view.name for view in node.table.all()}
    return sum(name.startswith('new-') for name in names)


@then('each of the others knows the {count:d}, and none has asked for them')
def others_know(context, count):
    for node in context.groups.nodes.values():
        assert news_known(node) == count, (node.name, news_known(node))
        assert 'ask_upstreams' not in node.spawned, node.name


@then(
    'the one that missed it knows {count:d} of the {all_:d}, and asks for the'
    ' rest'
)
def missed_asks(context, count, all_):
    node = context.missing
    assert news_known(node) == count, news_known(node)
    assert node.table.revision == 1, node.table.revision
    assert 'ask_upstreams' in node.spawned
    assert news_known(context.teller) == all_


@then('each of the others knows {count:d} of them, and asks')
def others_ask(context, count):
    for node in context.groups.nodes.values():
        if node is not context.teller:
            assert news_known(node) == count, (node.name, news_known(node))
            assert 'ask_upstreams' in node.spawned, node.name


@when('a head is killed')
def head_killed(context):
    fleet = context.groups
    del fleet.nodes[fleet.heads()[0].name]


@when('one that is no head is killed')
def member_killed(context):
    context.ended = context.groups.member().name
    del context.groups.nodes[context.ended]


@when('one that is no head says that it leaves')
def member_leaves(context):
    node = context.groups.member()
    context.ended = node.name
    node.members.change_me(state=members_.LEAVING, ready=False)
    context.groups.hand_over(
        node, node.peering.updates.build(), node.members.peers()
    )


@then('nobody names it to callers')
def not_named(context):
    for node in context.groups.nodes.values():
        names = [member.name for member in node.members.serving()]
        assert context.ended not in names, node.name


@when('a head says that it leaves, and ends {ms:d} ms later')
def head_leaves(context, ms):
    fleet = context.groups
    node = fleet.heads()[0]
    node.members.change_me(state=members_.LEAVING, ready=False)
    tell_news(fleet, node)
    fleet.run(ms)
    context.ended = node.name
    del fleet.nodes[node.name]


@when('it comes back {ms:d} ms after that')
def comes_back(context, ms):
    fleet = context.groups
    fleet.run(ms)
    node = fleet.nodes[context.ended] = next_run(fleet, context.ended)
    for other in fleet.nodes.values():
        other.peering.tick()
    tell_news(fleet, node)


@given('a head whose round is {count:d} beacons of {size:d} bytes')
def head_round_of(context, count, size):
    members = members_.Members(pb.Member(name='me'), clock_.ManualClock(), 1)
    members.learn(pb.Member(name='peer', beacon_address='127.0.0.1:9'))
    draws = random.Random(0)
    names = [draws.randbytes(size // 2).hex()]
    beacon = pb.Beacon(member=members.me, alive=names)
    context.beacons = beacons_.Beacons(
        '127.0.0.1:0',
        members,
        lambda: ((beacon, members.peers()) for _ in range(count)),
        pb.Beacon,
        lambda beacon: None,
    )
    context.closing.append(context.beacons.stop)


@when('it sends the round')
def sends_round(context):
    found = context.bursts = []
    with mock.patch.object(
        green,
        'sleep_ms',
        lambda ms: found.append((context.beacons.sent_bytes, ms)),
    ):
        context.beacons.send_round()


@then('no more than {most:d} bytes go at once, and {rate:d} in a second')
def goes_at_once(context, most, rate):
    marks = [0, *(sent for sent, _ in context.bursts)]
    bursts = [after - before for before, after in itertools.pairwise(marks)]
    assert len(bursts) > 1 and max(bursts) <= most, bursts
    assert context.beacons.sent_bytes - marks[-1] <= most
    for burst, (_, ms) in zip(bursts, context.bursts):
        assert burst <= rate * ms / 1000, (burst, ms)


@when('{count:d} more routers come')
def more_come(context, count):
    context.groups.add(count)


@then(
    'in {count:d} random histories of {size:d} routers a team gets no more'
    " than its limit and a few rounds' worth"
)
def random_histories(context, count, size):
    rate, burst, seconds = 2000, 4000, 12
    for seed in range(count):
        fleet = Fleet(size, lost=0.05, seed=seed)
        fleet.run(4000)
        for node in fleet.nodes.values():
            node.limit(rate, burst)
        passed = 0
        for _ in range(seconds * 4):
            fleet.run(ROUND_MS)
            for node in list(fleet.nodes.values()):
                while not node.serving.quota.take('noor', 100):
                    passed += 100
            if fleet.draws.random() < 0.06:
                victim = fleet.draws.choice(sorted(fleet.nodes))
                del fleet.nodes[victim]
                fleet.add(1)
                newest = list(fleet.nodes.values())[-1]
                newest.limit(rate, burst)
        # A fresh router's bucket is full; all spend at once at first.
        allowed = rate * seconds + burst * (2 * size)
        assert passed <= allowed, (seed, passed, allowed)


@when('the time of day of one that is no head jumps by {ms:d} ms')
def time_jumps(context, ms):
    context.groups.member().clock.off = ms


@then('all of them agree on the time')
def agree_on_time(context):
    times = {node.time.now() for node in context.groups.nodes.values()}
    assert max(times) - min(times) <= 10, times


@given('a member that hears of {a:d} and then {b:d} from one head')
def hears_from_one(context, a, b):
    context.counted = collections.Counter()
    context.tally = fleet_counts.FleetCounts(dict, context.counted.update)
    hears_from(context, 'first', a, b)


def hears_from(context, head, *counts):
    for count in counts:
        context.tally.receive_fleet(head, 1, {'noor': count}, True)


@when('it hears of {a:d} and then {b:d} from another one')
def hears_from_another(context, a, b):
    hears_from(context, 'second', a, b)


@when('it hears of {a:d} and then {b:d} from the first one')
def hears_from_first(context, a, b):
    hears_from(context, 'first', a, b)


@then('{count:d} have been counted')
def have_been_counted(context, count):
    assert context.counted['noor'] == count, context.counted


@when('a team uses up its burst of {burst:d}, at {rate:d} a second')
def use_up(context, burst, rate):
    fleet = context.groups
    context.limit = rate, burst
    for node in fleet.nodes.values():
        node.limit(rate, burst)
    take_all(fleet.nodes.values())
    # What all took at once is made good, and known to all.
    fleet.run(3000)
    while any(node.spent() < BURST for node in fleet.nodes.values()):
        fleet.run(1000)
        take_all(fleet.nodes.values())


def take_all(nodes, tokens=100):
    """Let requests of so many tokens pass; return the tokens of all."""
    passed = 0
    for node in nodes:
        while not node.serving.quota.take('noor', tokens):
            passed += tokens
    return passed


@when('the limit is put to {rate:d} a second, with a burst of {burst:d}')
def put_limit(context, rate, burst):
    context.limit = rate, burst
    for node in context.groups.nodes.values():
        node.limit(rate, burst)


@when('nobody answers for the heads')
def nobody_answers(context):
    fleet = context.groups
    fleet.is_cut = lambda beacon: beacon.HasField('limit_ask')


@when('{count:d} more routers come, with the same limit')
def more_with_limit(context, count):
    before = set(context.groups.nodes)
    context.groups.add(count)
    context.came = [
        node
        for name, node in context.groups.nodes.items()
        if name not in before
    ]
    for node in context.came:
        node.limit(*getattr(context, 'limit', (0, BURST)))


@then(
    'the team gets at most {most:d} more from those that came within {ms:d} ms'
)
def gets_at_most(context, most, ms):
    passed = taken_within(context.groups, context.came, ms)
    assert passed <= most, passed


@then('the team gets at most {most:d} from all of them within {ms:d} ms')
def gets_from_all(context, most, ms):
    passed = taken_within(context.groups, context.groups.nodes.values(), ms)
    assert passed <= most, passed


def taken_within(fleet, nodes, ms):
    """Let pass all that the limit allows in a while; return the tokens."""
    passed = 0
    for _ in range(ms // ROUND_MS):
        fleet.run(ROUND_MS)
        passed += take_all(nodes)
    return passed


@then('{count:d} requests of {tokens:d} pass at one of those that came')
def pass_there(context, count, tokens):
    quota = context.came[0].serving.quota
    for _ in range(count):
        assert not quota.take('noor', tokens), quota.describe('noor')


@when('one starts anew and lets {tokens:d} pass before it is told')
def starts_and_spends(context, tokens):
    start_anew(context)
    context.anew.limit(*context.limit)
    assert not context.anew.serving.quota.take('noor', tokens)


@when('one starts anew, without limits yet')
def starts_without(context):
    start_anew(context)


def start_anew(context):
    """Start the next run of one, under its name."""
    fleet = context.groups
    name = sorted(fleet.nodes)[3]
    del fleet.nodes[name]
    fleet.clock.advance(10)
    context.anew = fleet.nodes[name] = next_run(fleet, name)


@when('it gets the same limit')
def gets_limit(context):
    context.anew.limit(*context.limit)


@then('it believes no less than {less:d} below what another one believes')
def believes_enough(context, less):
    mine, theirs = beliefs(context)
    assert mine >= theirs - less, (mine, theirs)


@then('it believes no more than {more:d} above what another one believes')
def believes_no_more(context, more):
    mine, theirs = beliefs(context)
    assert mine <= theirs + more, (mine, theirs)


def beliefs(context):
    """Return what is left, by the one that started and by another."""
    other = next(iter(context.groups.nodes.values()))
    return tuple(
        node.serving.quota.levels().get('noor', math.inf)
        for node in (context.anew, other)
    )


@then(
    'of {rate:d} a second, asked for at all of them, at most {most:d} pass in'
    ' {ms:d} ms'
)
def asked_evenly(context, rate, most, ms):
    fleet = context.groups
    each = rate * ROUND_MS // 1000 // len(fleet.nodes)
    passed = 0
    for _ in range(ms // ROUND_MS):
        fleet.run(ROUND_MS)
        for node in fleet.nodes.values():
            passed += 0 if node.serving.quota.take('noor', each) else each
    assert passed <= most, passed


OVER_S = 20
"""Time over which a team asks for more than its limit."""


@then(
    'of {rate:d} a second, in requests of {tokens:d}, at most {most:d} pass in'
    ' any {seconds:d} s'
)
def passed_in_any(context, rate, tokens, most, seconds):
    draws = random.Random(0)
    rounds = 1000 // ROUND_MS
    passed = [
        asked_at_random(context.groups, draws, rate // rounds, tokens)
        for _ in range(OVER_S * rounds)
    ]
    length = seconds * rounds
    starts = range(len(passed) - length + 1)
    worst = max(sum(passed[at : at + length]) for at in starts)
    assert worst <= most, worst
    context.passed = sum(passed)


@when(
    '{heads:d} heads and {others:d} others are killed after {ms:d} ms, and'
    ' start {later:d} ms later'
)
def heads_and_others(context, heads, others, ms, later):
    fleet = context.groups
    ended = []

    def kill():
        leading = {node.name for node in fleet.heads()}
        ended.extend(sorted(leading)[:heads])
        ended.extend(sorted(fleet.nodes.keys() - leading)[:others])
        for name in ended:
            del fleet.nodes[name]

    def start():
        for name in ended:
            fleet.nodes[name] = next_run(fleet, name)
            fleet.nodes[name].limit(*context.limit)

    now = fleet.clock.now()
    fleet.events = {now + ms: kill, now + ms + later: start}


def next_run(fleet, name):
    """Return the next run of a router that has ended."""
    node = Node(int(name[-3:]), fleet.clock, limited=False)
    fleet.link(node)
    for other in fleet.nodes.values():
        node.members.learn(copy_of(other.members.me))
    return node


@then('of {rate:d} a second, in requests of {tokens:d}, none is refused')
def none_refused(context, rate, tokens):
    draws = random.Random(0)
    rounds = 1000 // ROUND_MS
    refused = []
    for _ in range(OVER_S * rounds):
        asked_at_random(context.groups, draws, rate // rounds, tokens, refused)
    assert not refused, refused


def asked_at_random(fleet, draws, offered, tokens, refused=None):
    """Let a round pass with requests at any routers; return what passed."""
    fleet.run(ROUND_MS)
    nodes = list(fleet.nodes.values())
    passed = 0
    for _ in range(offered // tokens):
        size = round(tokens * draws.uniform(0.4, 1.6))
        if not draws.choice(nodes).peering.borrowing.acquire('noor', size):
            passed += size
        elif refused is not None:
            refused.append(size)
    return passed


@then(
    'of {rate:d} a second, in requests of {tokens:d}, over {ms:d} ms at most'
    ' {share:d} in 100 are refused'
)
def few_refused(context, rate, tokens, ms, share):
    passed, refused = asked_of_borrowers(context.groups, rate, tokens, ms)
    assert refused <= share / 100 * (passed + refused), (passed, refused)


@then(
    'of {rate:d} a second, in requests of {tokens:d}, at most {most:d} pass in'
    ' {ms:d} ms'
)
def few_pass(context, rate, tokens, most, ms):
    passed, _ = asked_of_borrowers(context.groups, rate, tokens, ms)
    assert passed * tokens <= most, passed * tokens


def asked_of_borrowers(fleet, rate, tokens, ms):
    """Ask any routers, which ask their heads; count what they do."""
    passed = refused = 0
    nodes = list(fleet.nodes.values())
    due = 0.0
    for _ in fleet.run_apart(ms):
        due += rate * STEP_MS / 1000 / tokens
        while due >= 1:
            due -= 1
            node = fleet.draws.choice(nodes)
            if node.peering.borrowing.acquire('noor', tokens):
                refused += 1
            else:
                passed += 1
    return passed, refused


@then('in all no less than the limit')
def no_less(context):
    rate, _ = context.limit
    assert context.passed >= rate * OVER_S, context.passed


@when('each lets its part pass before any beacon has come')
def parts_pass(context):
    context.passed = take_all(context.groups.nodes.values())


@then('at most {most:d} have passed {ms:d} ms later')
def passed_later(context, most, ms):
    fleet = context.groups
    context.passed += taken_within(fleet, fleet.nodes.values(), ms)
    assert context.passed <= most, context.passed


@then('at once at most {most:d} pass at those that came, by {tokens:d}')
def pass_at_once(context, most, tokens):
    passed = take_all(context.came, tokens)
    assert passed <= most, passed


@then(
    'those that came may send at most {most:d} repeats before they hear'
    ' anybody'
)
def repeats_before(context, most):
    sent = 0
    for node in context.came:
        while node.serving.retry_budget.take('pool'):
            sent += 1
    assert sent <= most, sent


@when('no beacon comes for {ms:d} ms')
def no_beacon(context, ms):
    cut_for(context, ms, lambda beacon: True)


@when('no head hears another one for {ms:d} ms')
def no_other_head(context, ms):
    cut_for(context, ms, lambda beacon: beacon.HasField('group'))


def cut_for(context, ms, is_cut):
    """Lose some beacons for a while; keep what was left before."""
    fleet = context.groups
    context.left = left_of(fleet)
    fleet.is_cut = is_cut
    fleet.run(ms)
    fleet.is_cut = lambda beacon: False


def left_of(fleet):
    """Return what is left of the limit, by each router."""
    return {
        node.name: node.serving.quota.levels()['noor']
        for node in fleet.nodes.values()
    }


@then('to each at most {most:d} more seem to be left')
def at_most_more(context, most):
    for name, level in left_of(context.groups).items():
        assert level - context.left[name] <= most, (name, level)


@then('to each from {least:d} to {most:d} more seem to be left')
def from_to_more(context, least, most):
    for name, level in left_of(context.groups).items():
        grown = level - context.left[name]
        assert least <= grown <= most, (name, grown)


@given(
    'half of a fleet is told of by one head, and {rate:d} tokens come in a'
    ' second'
)
def half_told(context, rate):
    context.clock = clock_.ManualClock()
    context.rate = rate
    context.quota = quota_.Quota(context.clock)
    context.gaps = report_gaps_.ReportGaps(
        context.clock, context.quota.max_spends
    )
    context.gaps.on_report('half', ('first', 1), 0.5)


@given('nothing is left of a burst of {burst:d}')
def nothing_left(context, burst):
    all_left(context, burst)
    context.quota.subtract_peer_spends({'noor': burst})


@given('all is left of a burst of {burst:d}')
def all_left(context, burst):
    team = pb.Team(name='noor', rate=context.rate, burst=burst)
    context.quota.configure([team])
    context.quota.adopt_levels({'noor': burst})


@when('{ms:d} ms later {which} head tells')
def head_tells(context, ms, which):
    context.clock.advance(ms)
    # The first word of another one, and then the next of that one.
    assert which in ('another', 'the same'), which
    context.reckoned = context.gaps.on_report('half', ('second', 1), 0.5)


@then('{count:d} tokens are reckoned')
def tokens_reckoned(context, count):
    assert context.reckoned.get('noor', 0) == count, context.reckoned


@when('one request crashes an upstream at a member of each of three groups')
def crashes_in_groups(context):
    fleet = context.groups
    members = [n for n in fleet.nodes.values() if not n.look().is_head]
    by_group = {node.look().own_group: node for node in members}
    assert len(by_group) >= 3, by_group
    for number, node in enumerate(list(by_group.values())[:3]):
        fleet.clock.advance(ROUND_MS)
        node.serving.crashes.note_failure(
            crash_model.CRASHING,
            crash_model.make_view(f'i-{number}'),
            crash_model.BROKE_OFF,
            fleet.clock.now() - 5,
        )


@then('each of the {count:d} refuses it')
def all_refuse(context, count):
    nodes = context.groups.nodes.values()
    assert len(nodes) == count, len(nodes)
    assert all(
        node.serving.crashes.retry_after_ms(crash_model.CRASHING)
        for node in nodes
    )


@when('a member reads a limit of {rate:g} request a second from an upstream')
def member_reads_limit(context, rate):
    limits = context.groups.member().serving.limits
    limits.note_limit(limit_model.UPSTREAM, rate)


@then('each of the {count:d} knows the limit')
def all_know_limit(context, count):
    nodes = context.groups.nodes.values()
    known = [node.serving.limits.updates() for node in nodes]
    assert len(known) == count and all(known), known


@then(
    'their shares add up to {rate:g} request a second and a burst of {burst:g}'
)
def shares_add_up(context, rate, burst):
    nodes = context.groups.nodes.values()
    limits = [
        node.serving.limits._get_limit(limit_model.UPSTREAM) for node in nodes
    ]
    total_rate = sum(limit.share for limit in limits)
    total_burst = sum(limit.burst for limit in limits)
    assert math.isclose(total_rate, rate), total_rate
    assert math.isclose(total_burst, burst), total_burst

"""Steps for large fleets: group heads, members, and counts they exchange."""

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
import helpers
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
from peridotmast.router import load_filter
from peridotmast.router import peering as peering_
from peridotmast.router import shared_totals as shared_totals_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates
from peridotmast.serving import crash_tracker as crash_tracker_
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import demand as demand_
from peridotmast.serving.limits import brittleness
from peridotmast.serving.limits import slot_shares
from peridotmast.serving.limits import upstream_limits
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import usage as usage_
from peridotmast.serving import version_gate

ROUND_MS = 250
STEP_MS = 50
CONFIRMATION_MS = 20
LATE_MS = 150
"""Largest delay of a round at a busy router."""
BURST = 1_000_000
WINDOW_MS = 600_000


class SkewedClock:
    """A clock whose time of day may be wrong."""

    def __init__(self, clock):
        self._clock = clock
        self.off = 0

    def now(self):
        return self._clock.now()

    def boot_time(self):
        return self._clock.boot_time()

    def wall_time(self):
        return self._clock.wall_time() + self.off


class SimulatedRouter:
    """The parts of one router that exchange counts, without a network."""

    def __init__(self, number, clock, limited=True, is_first_run=True):
        self.is_first_run = is_first_run
        self.name = f'router-{number:03}'
        self.clock = SkewedClock(clock)
        self.spawned = []
        me = pb.Member(
            name=self.name,
            incarnation=clock.wall_time() + number,
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
            retry_budget=retry_budget.RetryBudget(
                self.clock,
                0.2,
                10_000,
                50,
                decisions_.Decisions(self.clock, self.name),
            ),
            crashes=crash_tracker_.CrashTracker(self.clock, self.name),
            limits=upstream_limits.UpstreamLimits(self.clock, self.name),
            brittleness=brittleness.Brittleness(
                self.clock,
                self.name,
                slot_shares.SlotShares(self.clock, self.name),
            ),
            versions=version_gate.VersionGate(self.clock, self.name, False),
            speeds=speeds_.Speeds(
                self.clock,
                speeds_.SHARED,
                self.name,
                self.table.get,
                mock.Mock(),
            ),
        )
        if limited:
            self.set_limit(rate=0, burst=BURST)
        self.window = self.serving.usage.window_now()
        knowledge = self._knowledge()
        self.peering = peering_.Peering(
            self.clock,
            knowledge,
            self.serving,
            shared_totals_.SharedTotals(self.serving, self.table, self.clock),
            types.SimpleNamespace(
                hint=lambda: None,
                receive_hint=lambda hint: None,
                known_holder=lambda: None,
            ),
            catch_up_.CatchUp(self.clock, knowledge, None, self._spawn),
        )

    def _spawn(self, name, *args):
        self.spawned.append(name)

    def set_limit(self, rate, burst):
        team = pb.Team(name='noor', rate=rate or 1e-9, burst=burst)
        self.serving.quota.configure([team])

    def _knowledge(self):
        version = types.SimpleNamespace(version=1)
        return types.SimpleNamespace(
            members=self.members,
            config=types.SimpleNamespace(routes=version, product=version),
            upstream_table=self.table,
            fleet_clock=self.time,
            is_first_run=self.is_first_run,
            outage=types.SimpleNamespace(is_suspected=lambda: False),
            is_watching=lambda what: False,
            restart_outdated_watches=lambda what: None,
            check_store=lambda: None,
            **helpers.era_parts(self.members.clock),
        )

    def spent(self):
        bucket = self.serving.quota._buckets['noor']
        return BURST - bucket.level

    def snapshot(self):
        return self.peering._groups.snapshot()


class Fleet:
    """Routers whose beacons are delivered without a network."""

    def __init__(self, count, lost=0.0, seed=0, starts=False):
        self.clock = clock_.ManualClock()
        self.clock.advance(1_000_000)
        self.nodes = {}
        self.draws = random.Random(seed)
        self.loss_rate = lost
        self.sent = collections.Counter()
        self.received = collections.Counter()
        self.numbers = iter(range(1000))
        self.events = {}
        self.is_cut = lambda beacon: False
        self.due_reports = set()
        """Routers that are to report their spending before the next round."""
        self.add_routers(count)
        if not starts:
            # Routers that have run for long know the level of the limit.
            for node in self.nodes.values():
                node.serving.quota.adopt_levels({'noor': BURST})

    def add_routers(self, count):
        added = [
            SimulatedRouter(next(self.numbers), self.clock)
            for _ in range(count)
        ]
        for node in added:
            self.link(node)
        self.nodes.update({node.name: node for node in added})
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.members.merge_entry(copy_of(other.members.me))

    def link(self, node):
        """Deliver a router's token requests and answers without delay.

        The clock stands still meanwhile, so nothing is gained by waiting.
        """
        borrowing = node.peering.borrowing
        borrowing.send = functools.partial(self.deliver, node)
        borrowing.wait_confirmation = lambda ms: False
        borrowing.pause = lambda ms: None
        node.serving.quota.request_confirmation = lambda: self.due_reports.add(
            node.name
        )
        reports = node.peering.spend_reports
        reports.send = functools.partial(self.deliver, node)

    def run(self, ms):
        for _ in range(ms // ROUND_MS):
            self.events.pop(self.clock.now(), lambda: None)()
            self.send_due_reports()
            for node in list(self.nodes.values()):
                node.peering.tick()
                node.serving.demand.tick()
                for beacon, peers in list(node.peering.rounds.next_round()):
                    self.deliver(node, beacon, peers)
            self.clock.advance(ROUND_MS)

    def confirm_reports(self):
        """Let the time pass in which heads confirm a report to each other.

        It is less than a head keeps a request waiting for confirmations.
        """
        self.clock.advance(CONFIRMATION_MS // 2)
        self.send_due_reports()
        self.clock.advance(CONFIRMATION_MS // 2)

    def send_due_reports(self):
        due, self.due_reports = self.due_reports, set()
        for name in due & self.nodes.keys():
            self.nodes[name].peering.spend_reports.send_report()

    def deliver(self, node, beacon, peers):
        data = beacon.SerializeToString()
        for peer in peers:
            self.sent[node.name] += 1
            receiver = self.nodes.get(peer.member.name)
            if receiver is None or self.draws.random() < self.loss_rate:
                continue
            if self.is_cut(beacon):
                continue
            self.received[receiver.name] += 1
            receiver.peering.receive(pb.Beacon.FromString(data))

    def run_staggered(self, ms):
        """Advance the clock while each router sends rounds at its own times.

        Each round is delayed by some ms, because starting routers are busy.
        """
        for node in self.nodes.values():
            node.next_at = self.draws.randrange(0, ROUND_MS, STEP_MS)
            if self.draws.random() < 0.5:
                next(node.peering.rounds._numbers)
        for passed in range(0, ms, STEP_MS):
            self.send_due_reports()
            for node in list(self.nodes.values()):
                if passed >= node.next_at:
                    late = self.draws.randrange(0, LATE_MS, STEP_MS)
                    node.next_at = passed + ROUND_MS + late
                    node.peering.tick()
                    for beacon, peers in list(
                        node.peering.rounds.next_round()
                    ):
                        self.deliver(node, beacon, peers)
            self.clock.advance(STEP_MS)
            yield

    def heads(self):
        return [
            node for node in self.nodes.values() if node.snapshot().is_head
        ]

    def member(self):
        return next(n for n in self.nodes.values() if not n.snapshot().is_head)


def copy_of(member):
    copied = pb.Member()
    copied.CopyFrom(member)
    return copied


@given("{count:d} routers that know each other's names")
def create_fleet(context, count):
    context.simulated = Fleet(count)


@given('{count:d} routers that have just started')
def create_starting_fleet(context, count):
    context.simulated = Fleet(count, starts=True)


@when('{ms:d} ms pass in the fleet')
def advance_fleet(context, ms):
    context.simulated.run(ms)


@given(
    '{count:d} routers in {domains:d} failure domains, all known to {some:d}'
    ' of them'
)
def create_routers_in_domains(context, count, domains, some):
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


@when(
    'callers of each failure domain ask each of these routers for a list of'
    ' routers {times:d} times'
)
def select_routers(context, times):
    context.answers = [
        (domain, directory.select(domain))
        for domain in sorted(context.domains)
        for directory in context.directories
        for _ in range(times)
    ]


@then(
    "each answer names {count:d} routers, all of the caller's failure domain"
    ' first'
)
def check_own_domain_first(context, count):
    for domain, found in context.answers:
        assert len({member.name for member in found}) == count, len(found)
        near = context.domains[domain]
        assert all(m.failure_domain == domain for m in found[:near]), found


@then("each answer names {count:d} routers of the caller's failure domain")
def check_own_domain_only(context, count):
    for domain, found in context.answers:
        assert len({member.name for member in found}) == count, len(found)
        assert all(m.failure_domain == domain for m in found), found


@then('no router is named more than {times:g} times as often as the mean')
def check_named_evenly(context, times):
    named = collections.Counter(
        member.name for _, found in context.answers for member in found
    )
    mean = sum(named.values()) / sum(context.domains.values())
    (name, most), *_ = named.most_common(1)
    assert most <= times * mean, (name, most, mean)


@then('each router considers all others alive')
def check_all_alive(context):
    check_alive(context, ())


def check_alive(context, left_out):
    """Check that each router not in `left_out` considers all others alive."""
    nodes = context.simulated.nodes
    for node in (n for n in nodes.values() if n.name not in left_out):
        live = {peer.member.name for peer in node.members.live_peers()}
        missing = nodes.keys() - live - {node.name}
        assert not missing, (node.name, missing)


@then('a router that is not a head sends at most {most:d} beacons a second')
def check_sent_rate(context, most):
    fleet = context.simulated
    fleet.sent.clear()
    fleet.run(5000)
    heads = {node.name for node in fleet.heads()}
    assert 0 < len(heads) < 16, heads
    for name in fleet.nodes.keys() - heads:
        assert fleet.sent[name] <= 5 * most, fleet.sent[name]


@then(
    'at {a:d}, {b:d} and {c:d} routers a member sends and receives equally'
    ' many beacons a second'
)
def check_equal_rates(context, a, b, c):
    found = set()
    for count in (a, b, c):
        fleet = Fleet(count)
        fleet.run(4000)
        fleet.sent.clear()
        fleet.received.clear()
        fleet.run(4000)
        heads = {node.name for node in fleet.heads()}
        members = fleet.nodes.keys() - heads
        usual = collections.Counter(
            (fleet.sent[name], fleet.received[name]) for name in members
        )
        found.add(usual.most_common(1)[0][0])
    assert len(found) == 1, found


@when(
    'each router admits {tokens:d} tokens, counts a request and has work at'
    ' "u-1"'
)
def add_work(context, tokens):
    for node in context.simulated.nodes.values():
        assert not node.serving.quota.take('noor', tokens)
        node.serving.usage.count_started('noor')
        node.serving.demand.count_request('pool', 3000)
        if not node.table.local_loads():
            view = node.table.get('u-1')
            view.add_load(upstream_view.Load(1, 10, 100))


@then("at each router {tokens:d} tokens of the team's limit are used")
def check_spent(context, tokens):
    for node in context.simulated.nodes.values():
        assert abs(node.spent() - tokens) < 1, (node.name, node.spent())


@then('each router counts a usage of {count:d} requests')
def check_usage(context, count):
    for node in context.simulated.nodes.values():
        total = node.serving.usage.total(node.window)
        assert total == {'noor': count}, (node.name, total)


@then(
    'each router counts a usage of at most {most:d} and at least {least:d}'
    ' requests'
)
def check_usage_range(context, most, least):
    for node in context.simulated.nodes.values():
        total = node.serving.usage.total(node.window).get('noor', 0)
        assert least <= total <= most, (node.name, total)


@then('each router knows the load of all {count:d} routers at "u-1"')
def check_load(context, count):
    for node in context.simulated.nodes.values():
        load = node.table.get('u-1').total_load()
        assert load == upstream_view.Load(count, 10 * count, 100 * count), (
            node.name,
            load,
        )


@then('each router knows the demand at all routers')
def check_demand(context):
    for node in context.simulated.nodes.values():
        total = node.serving.demand._total['pool']
        assert total == 3000 * len(context.simulated.nodes), (node.name, total)


@when('each router runs a tick, and then announces itself to all others')
def announce_all(context):
    for node in context.simulated.nodes.values():
        node.peering.tick()
    for node in context.simulated.nodes.values():
        announce(context.simulated, node)


def announce(fleet, node):
    fleet.deliver(
        node, node.peering.update_beacons.build(), node.members.peers()
    )


@then(
    'for {ms:d} ms of staggered rounds each router considers all others alive'
)
def check_all_alive_for(context, ms):
    for _ in context.simulated.run_staggered(ms):
        check_all_alive(context)


@then('no group has two heads')
def check_single_heads(context):
    head_groups = [
        node.snapshot().own_group for node in context.simulated.heads()
    ]
    assert len(head_groups) == len(set(head_groups)), head_groups


@then(
    'for {ms:d} ms of staggered rounds each other router considers all'
    ' others alive'
)
def check_others_alive_for(context, ms):
    for _ in context.simulated.run_staggered(ms):
        check_alive(context, {context.ended})


@when('a member announces a change and is killed')
def announce_and_kill(context):
    announce(context.simulated, context.simulated.member())
    kill_member(context)


def add_upstreams(node, count):
    """Add new upstreams to a router's table, as its watch does."""
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


@when('a watcher announces {count:d} new upstream')
@when('a watcher announces {count:d} new upstreams')
def announce_upstreams(context, count):
    fleet = context.simulated
    nodes = list(fleet.nodes.values())
    context.watcher = nodes[0]
    for node in nodes:
        node.spawned.clear()
    add_upstreams(context.watcher, count)
    announce(fleet, context.watcher)


@when(
    'a watcher announces {count:d} new upstreams, and one router misses the'
    ' beacon'
)
def announce_upstreams_to_most(context, count):
    fleet = context.simulated
    missing = list(fleet.nodes.values())[1]
    del fleet.nodes[missing.name]
    announce_upstreams(context, count)
    fleet.nodes[missing.name] = missing
    context.missing = missing


def new_upstream_count(node):
    names = {view.name for view in node.table.all()}
    return sum(name.startswith('new-') for name in names)


@then(
    'each other router knows the {count:d} upstreams, and none has requested'
    ' them'
)
def check_others_know_upstreams(context, count):
    for node in context.simulated.nodes.values():
        assert new_upstream_count(node) == count, (
            node.name,
            new_upstream_count(node),
        )
        assert 'fetch_upstreams' not in node.spawned, node.name


@then(
    'the router that missed it knows {count:d} of the {all_:d} upstreams and'
    ' requests the rest'
)
def check_missed_upstreams_requested(context, count, all_):
    node = context.missing
    assert new_upstream_count(node) == count, new_upstream_count(node)
    assert node.table.revision == 1, node.table.revision
    assert 'fetch_upstreams' in node.spawned
    assert new_upstream_count(context.watcher) == all_


@then('each other router knows {count:d} of the upstreams and requests them')
def check_others_request_upstreams(context, count):
    for node in context.simulated.nodes.values():
        if node is not context.watcher:
            assert new_upstream_count(node) == count, (
                node.name,
                new_upstream_count(node),
            )
            assert 'fetch_upstreams' in node.spawned, node.name


@when('a head is killed')
def kill_head(context):
    fleet = context.simulated
    del fleet.nodes[fleet.heads()[0].name]


@when('a member is killed')
def kill_member(context):
    context.ended = context.simulated.member().name
    del context.simulated.nodes[context.ended]


@when('a member announces that it is leaving')
def announce_leaving_member(context):
    node = context.simulated.member()
    context.ended = node.name
    node.members.update_own_entry(state=members_.LEAVING, ready=False)
    context.simulated.deliver(
        node, node.peering.update_beacons.build(), node.members.peers()
    )


@then('no router names that member to callers')
def check_not_named(context):
    for node in context.simulated.nodes.values():
        names = [member.name for member in node.members.serving()]
        assert context.ended not in names, node.name


@when('a head announces that it is leaving, and ends {ms:d} ms later')
def announce_leaving_head(context, ms):
    fleet = context.simulated
    node = fleet.heads()[0]
    node.members.update_own_entry(state=members_.LEAVING, ready=False)
    announce(fleet, node)
    fleet.run(ms)
    context.ended = node.name
    del fleet.nodes[node.name]


@when('the ended head is restarted {ms:d} ms later')
def restart_head(context, ms):
    fleet = context.simulated
    fleet.run(ms)
    node = fleet.nodes[context.ended] = make_next_run(fleet, context.ended)
    for other in fleet.nodes.values():
        other.peering.tick()
    announce(fleet, node)


@given('a head that sends {count:d} beacons of {size:d} bytes per round')
def create_head_with_round(context, count, size):
    members = members_.Members(pb.Member(name='me'), clock_.ManualClock(), 1)
    members.merge_entry(pb.Member(name='peer', beacon_address='127.0.0.1:9'))
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


@when('the head sends the round')
def send_head_round(context):
    bursts = context.bursts = []
    with mock.patch.object(
        green,
        'sleep_ms',
        lambda ms: bursts.append((context.beacons.sent_bytes, ms)),
    ):
        context.beacons.send_round()


@then(
    'at most {most:d} bytes are sent at once, and {rate:d} bytes in a second'
)
def check_bursts(context, most, rate):
    totals = [0, *(sent for sent, _ in context.bursts)]
    bursts = [after - before for before, after in itertools.pairwise(totals)]
    assert len(bursts) > 1 and max(bursts) <= most, bursts
    assert context.beacons.sent_bytes - totals[-1] <= most
    for burst, (_, ms) in zip(bursts, context.bursts):
        assert burst <= rate * ms / 1000, (burst, ms)


@when('{count:d} more routers join')
def join_routers(context, count):
    context.simulated.add_routers(count)


@then(
    'in {count:d} random histories of {size:d} routers a team gets at most'
    ' its limit and two bursts per router'
)
def check_random_histories(context, count, size):
    rate, burst, seconds = 2000, 4000, 12
    for seed in range(count):
        fleet = Fleet(size, lost=0.05, seed=seed)
        fleet.run(4000)
        for node in fleet.nodes.values():
            node.set_limit(rate, burst)
        passed = 0
        for _ in range(seconds * 4):
            fleet.run(ROUND_MS)
            for node in list(fleet.nodes.values()):
                while not node.serving.quota.take('noor', 100):
                    passed += 100
            if fleet.draws.random() < 0.06:
                victim = fleet.draws.choice(sorted(fleet.nodes))
                del fleet.nodes[victim]
                fleet.add_routers(1)
                newest = list(fleet.nodes.values())[-1]
                newest.set_limit(rate, burst)
        # A new router's bucket is full, and its burst is spent at once.
        allowed = rate * seconds + burst * (2 * size)
        assert passed <= allowed, (seed, passed, allowed)


@when('the time of day of a member jumps by {ms:d} ms')
def shift_time_of_day(context, ms):
    context.simulated.member().clock.off = ms


@then("all routers agree on the fleet's time")
def check_same_fleet_time(context):
    times = {node.time.now() for node in context.simulated.nodes.values()}
    assert max(times) - min(times) <= 10, times


@given('a member that gets counts of {a:d} and then {b:d} from one head')
def receive_counts_from_one_head(context, a, b):
    context.increments = collections.Counter()
    context.fleet_counts = fleet_counts.FleetCounts(
        dict, context.increments.update
    )
    receive_fleet_counts(context, 'first', a, b)


def receive_fleet_counts(context, head, *counts):
    for count in counts:
        context.fleet_counts.receive_fleet(head, 1, {'noor': count}, True)


@when('the member gets counts of {a:d} and then {b:d} from another head')
def receive_counts_from_another_head(context, a, b):
    receive_fleet_counts(context, 'second', a, b)


@when('the member gets counts of {a:d} and then {b:d} from the first head')
def receive_counts_from_first_head(context, a, b):
    receive_fleet_counts(context, 'first', a, b)


@then('the counted increments add up to {count:d}')
def check_increments(context, count):
    assert context.increments['noor'] == count, context.increments


@when(
    'a team uses up its burst of {burst:d} tokens at a limit of {rate:d} a'
    ' second'
)
def use_up_burst(context, burst, rate):
    fleet = context.simulated
    context.limit = rate, burst
    for node in fleet.nodes.values():
        node.set_limit(rate, burst)
    admit_all(fleet.nodes.values())
    # Wait until the tokens taken at once are refilled, and known to all.
    fleet.run(3000)
    while any(node.spent() < BURST for node in fleet.nodes.values()):
        fleet.run(1000)
        admit_all(fleet.nodes.values())


def admit_all(nodes, tokens=100):
    """Request `tokens` at each router until refused; return the sum."""
    passed = 0
    for node in nodes:
        while not node.serving.quota.take('noor', tokens):
            passed += tokens
    return passed


@when('the limit is set to {rate:d} tokens a second with a burst of {burst:d}')
def set_fleet_limit(context, rate, burst):
    context.limit = rate, burst
    for node in context.simulated.nodes.values():
        node.set_limit(rate, burst)


@when('the heads receive no requests for tokens')
def cut_token_requests(context):
    fleet = context.simulated
    fleet.is_cut = lambda beacon: beacon.HasField('limit_ask')


@when('the heads do not answer any more')
def heads_do_not_answer(context):
    context.simulated.is_cut = lambda beacon: beacon.HasField('limit_answer')


@then('each successor asks only the head for the tokens of a request')
def successor_asks_head(context):
    fleet = context.simulated
    successors = [
        node
        for node in fleet.nodes.values()
        if node.peering._current_groups().is_successor
    ]
    assert successors
    for node in successors:
        borrowing = node.peering.borrowing
        borrowing.wait_answer = mock.Mock(return_value=None)
        borrowing.acquire('noor', 100)
        waited_ms = sum(
            call.args[1] for call in borrowing.wait_answer.call_args_list
        )
        assert waited_ms == 100, waited_ms


@when('reports between heads overtake their beacons for {ms:d} ms')
def reports_overtake_beacons(context, ms):
    """Deliver a report of each head in each round before its beacon."""
    fleet = context.simulated

    def overtake(node, beacon, peers):
        if beacon.HasField('group'):
            fleet.clock.advance(1)
            node.peering.spend_reports.send_report()
        Fleet.deliver(fleet, node, beacon, peers)

    fleet.deliver = overtake
    fleet.run(ms)


@then('no head misses the reports of another group')
def no_head_misses_reports(context):
    nodes = context.simulated.nodes.values()
    heads = [n for n in nodes if n.peering._current_groups().is_head]
    for node in heads:
        heard = set(node.peering._group_reported_at)
        groups_ = node.peering._current_groups()
        expected = set(range(groups_.count)) - {groups_.own_group}
        assert heard == expected, (node.name, heard, expected)


@when('{count:d} more routers join with the same limit')
def join_with_limit(context, count):
    before = set(context.simulated.nodes)
    context.simulated.add_routers(count)
    context.joined = [
        node
        for name, node in context.simulated.nodes.items()
        if name not in before
    ]
    for node in context.joined:
        node.set_limit(*getattr(context, 'limit', (0, BURST)))


@then(
    'the team gets at most {most:d} more tokens from the new routers within'
    ' {ms:d} ms'
)
def check_admitted_by_new_routers(context, most, ms):
    passed = admitted_within(context.simulated, context.joined, ms)
    assert passed <= most, passed


@then(
    'the team gets at most {most:d} tokens from all routers within {ms:d} ms'
)
def check_admitted_by_all_routers(context, most, ms):
    passed = admitted_within(
        context.simulated, context.simulated.nodes.values(), ms
    )
    assert passed <= most, passed


def admitted_within(fleet, nodes, ms):
    """Request tokens until refused for `ms`; return admitted tokens."""
    passed = 0
    for _ in range(ms // ROUND_MS):
        fleet.run(ROUND_MS)
        passed += admit_all(nodes)
    return passed


@then('{count:d} requests of {tokens:d} tokens are admitted by a new router')
def check_admitted_at_new_router(context, count, tokens):
    router = context.joined[0]
    for _ in range(count):
        wait_ms = router.peering.borrowing.acquire('noor', tokens)
        assert not wait_ms, router.serving.quota.describe('noor')
        context.simulated.confirm_reports()


@when(
    'a router is restarted and admits {tokens:d} tokens before it receives'
    ' the level of the limit'
)
def restart_and_spend(context, tokens):
    restart_router(context, is_first_run=True)
    context.restarted.set_limit(*context.limit)
    # By then its part of the rate suffices for half of the request.
    context.simulated.clock.advance(900)
    assert not context.restarted.serving.quota.take('noor', tokens)


@when('a router is restarted without a limit')
def restart_without_limit(context):
    restart_router(context)


def restart_router(context, is_first_run=False):
    """Replace a router by its next run, under the same name."""
    fleet = context.simulated
    name = sorted(fleet.nodes)[3]
    del fleet.nodes[name]
    fleet.clock.advance(10)
    context.restarted = fleet.nodes[name] = make_next_run(
        fleet, name, is_first_run
    )


@when('the same limit is set at that router')
def set_limit_at_restarted(context):
    context.restarted.set_limit(*context.limit)


@then(
    "the restarted router's level of the limit is at most {less:d} below"
    " another router's"
)
def check_level_not_below(context, less):
    own, other = both_levels(context)
    assert own >= other - less, (own, other)


@then(
    "the restarted router's level of the limit is at most {more:d} above"
    " another router's"
)
def check_level_not_above(context, more):
    own, other = both_levels(context)
    assert own <= other + more, (own, other)


def both_levels(context):
    """Return the level at the restarted router and at another one."""
    other = next(iter(context.simulated.nodes.values()))
    return tuple(
        node.serving.quota.levels().get('noor', math.inf)
        for node in (context.restarted, other)
    )


@then(
    'at most {most:d} tokens are admitted in {ms:d} ms, if {rate:d} a second'
    ' are requested evenly at all routers'
)
def check_admitted_if_requested_evenly(context, rate, most, ms):
    passed = admitted_evenly(context.simulated, rate, ms)
    assert passed <= most, passed


def admitted_evenly(fleet, rate, ms):
    """Request `rate` tokens a second, evenly; return admitted tokens."""
    each = rate * ROUND_MS // 1000 // len(fleet.nodes)
    passed = 0
    for _ in range(ms // ROUND_MS):
        fleet.run(ROUND_MS)
        for node in fleet.nodes.values():
            passed += 0 if node.serving.quota.take('noor', each) else each
    return passed


REQUEST_S = 20
"""Duration of a team's random requests for tokens, in seconds."""


@then(
    'at most {most:d} tokens are admitted in any {seconds:d} s, if {rate:d} a'
    ' second are requested, {tokens:d} at a time'
)
def check_admitted_in_any_window(context, rate, tokens, most, seconds):
    draws = random.Random(0)
    rounds = 1000 // ROUND_MS
    passed = [
        request_at_random(context.simulated, draws, rate // rounds, tokens)
        for _ in range(REQUEST_S * rounds)
    ]
    length = seconds * rounds
    starts = range(len(passed) - length + 1)
    worst = max(sum(passed[at : at + length]) for at in starts)
    assert worst <= most, worst
    context.passed = sum(passed)


@when(
    '{heads:d} heads and {others:d} members are killed after {ms:d} ms and'
    ' restarted {later:d} ms later'
)
def schedule_kills_and_restarts(context, heads, others, ms, later):
    fleet = context.simulated
    ended = []

    def kill():
        head_names = {node.name for node in fleet.heads()}
        ended.extend(sorted(head_names)[:heads])
        ended.extend(sorted(fleet.nodes.keys() - head_names)[:others])
        for name in ended:
            del fleet.nodes[name]

    def start():
        for name in ended:
            fleet.nodes[name] = make_next_run(fleet, name)
            fleet.nodes[name].set_limit(*context.limit)

    now = fleet.clock.now()
    fleet.events = {now + ms: kill, now + ms + later: start}


@then(
    'at most {most:d} tokens are admitted in {seconds:d} s in which all'
    ' routers are restarted every {ms:d} ms, if {rate:d} a second are'
    ' requested'
)
def check_admitted_over_restarts(context, most, seconds, ms, rate):
    fleet = context.simulated
    passed = 0
    for _ in range(0, seconds * 1000, ms):
        passed += admitted_evenly(fleet, rate, ms)
        names = list(fleet.nodes)
        fleet.nodes = {name: make_next_run(fleet, name) for name in names}
        for node in fleet.nodes.values():
            node.set_limit(*context.limit)
    assert passed <= most, passed


def make_next_run(fleet, name, is_first_run=False):
    """Return the next run of a router that has ended."""
    node = SimulatedRouter(
        int(name[-3:]), fleet.clock, limited=False, is_first_run=is_first_run
    )
    fleet.link(node)
    for other in fleet.nodes.values():
        node.members.merge_entry(copy_of(other.members.me))
    return node


@then(
    'no request is refused, if {rate:d} tokens a second are requested,'
    ' {tokens:d} at a time'
)
def check_none_refused(context, rate, tokens):
    draws = random.Random(0)
    rounds = 1000 // ROUND_MS
    refused = []
    for _ in range(REQUEST_S * rounds):
        request_at_random(
            context.simulated, draws, rate // rounds, tokens, refused
        )
    assert not refused, refused


def request_at_random(fleet, draws, offered, tokens, refused=None):
    """Request tokens at random routers for a round; return admitted tokens."""
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
    'at most {share:d} in 100 requests are refused in {ms:d} ms, if {rate:d}'
    ' tokens a second are requested, {tokens:d} at a time'
)
def check_refused_share(context, rate, tokens, ms, share):
    passed, refused = request_with_borrowing(
        context.simulated, rate, tokens, ms
    )
    assert refused <= share / 100 * (passed + refused), (passed, refused)


@then(
    'at most {most:d} tokens are admitted in {ms:d} ms, if {rate:d} a second'
    ' are requested, {tokens:d} at a time'
)
def check_admitted_in_time(context, rate, tokens, most, ms):
    passed, _ = request_with_borrowing(context.simulated, rate, tokens, ms)
    assert passed * tokens <= most, passed * tokens


def request_with_borrowing(fleet, rate, tokens, ms):
    """Request tokens at random routers, which may borrow from their heads.

    Returns the number of requests admitted and refused.
    """
    passed = refused = 0
    nodes = list(fleet.nodes.values())
    due = 0.0
    for _ in fleet.run_staggered(ms):
        due += rate * STEP_MS / 1000 / tokens
        while due >= 1:
            due -= 1
            node = fleet.draws.choice(nodes)
            if node.peering.borrowing.acquire('noor', tokens):
                refused += 1
            else:
                passed += 1
    return passed, refused


@then('the team gets at least its limit over the whole time')
def check_total(context):
    rate, _ = context.limit
    assert context.passed >= rate * REQUEST_S, context.passed


@when('each router admits its share before any beacon arrives')
def admit_own_shares(context):
    context.passed = admit_all(context.simulated.nodes.values())


@then('at most {most:d} tokens have been admitted {ms:d} ms later')
def check_admitted_later(context, most, ms):
    fleet = context.simulated
    context.passed += admitted_within(fleet, fleet.nodes.values(), ms)
    assert context.passed <= most, context.passed


@then(
    'the new routers admit at most {most:d} tokens at once, in requests of'
    ' {tokens:d}'
)
def check_admitted_at_once(context, most, tokens):
    passed = admit_all(context.joined, tokens)
    assert passed <= most, passed


@then(
    'the new routers may send at most {most:d} retries before they receive a'
    ' beacon'
)
def check_retries(context, most):
    sent = 0
    for node in context.joined:
        while node.serving.retry_budget.take('pool', 'r'):
            sent += 1
    assert sent <= most, sent


@when('no beacon arrives for {ms:d} ms')
def cut_all_beacons(context, ms):
    cut_for(context, ms, lambda beacon: True)


@when('no head receives beacons from other heads for {ms:d} ms')
def cut_beacons_of_heads(context, ms):
    cut_for(context, ms, lambda beacon: beacon.HasField('group'))


def cut_for(context, ms, is_cut):
    """Lose the beacons that `is_cut` selects, and record the levels before."""
    fleet = context.simulated
    context.levels_before = levels_of(fleet)
    fleet.is_cut = is_cut
    fleet.run(ms)
    fleet.is_cut = lambda beacon: False


def levels_of(fleet):
    """Return the remaining level of the team's limit at each router."""
    return {
        node.name: node.serving.quota.levels()['noor']
        for node in fleet.nodes.values()
    }


@then("each router's level of the limit has risen by at most {most:d} tokens")
def check_level_rise(context, most):
    for name, level in levels_of(context.simulated).items():
        assert level - context.levels_before[name] <= most, (name, level)


@then(
    "each router's level of the limit has risen by {least:d} to {most:d}"
    ' tokens'
)
def check_level_rise_range(context, least, most):
    for name, level in levels_of(context.simulated).items():
        rise = level - context.levels_before[name]
        assert least <= rise <= most, (name, rise)


@given(
    'one head reports on half of a fleet, with a limit of {rate:d}'
    ' tokens a second'
)
def report_half_of_fleet(context, rate):
    context.clock = clock_.ManualClock()
    context.rate = rate
    context.quota = quota_.Quota(context.clock)
    context.gaps = report_gaps_.ReportGaps(
        context.clock, context.quota.max_spends
    )
    context.gaps.on_report('half', ('first', 1), 0.5)


@given('a level of the limit of 0 with a burst of {burst:d} tokens')
def set_empty_level(context, burst):
    set_full_level(context, burst)
    context.quota.subtract_peer_spends({'noor': burst})


@given('a full level of the limit with a burst of {burst:d} tokens')
def set_full_level(context, burst):
    team = pb.Team(name='noor', rate=context.rate, burst=burst)
    context.quota.configure([team])
    context.quota.adopt_levels({'noor': burst})


@when('{which} head reports {ms:d} ms later')
def report_from_head(context, ms, which):
    context.clock.advance(ms)
    # The first report of another head, then the next report of that head.
    assert which in ('another', 'the same'), which
    context.estimate = context.gaps.on_report('half', ('second', 1), 0.5)


@then('{count:d} tokens are estimated as spent')
def check_estimate(context, count):
    assert context.estimate.get('noor', 0) == count, context.estimate


@when(
    'the same request crashes an upstream at a member of each of three groups'
)
def crash_in_groups(context):
    fleet = context.simulated
    members = [n for n in fleet.nodes.values() if not n.snapshot().is_head]
    by_group = {node.snapshot().own_group: node for node in members}
    assert len(by_group) >= 3, by_group
    for number, node in enumerate(list(by_group.values())[:3]):
        fleet.clock.advance(ROUND_MS)
        node.serving.crashes.note_failure(
            crash_model.CRASHING,
            crash_model.make_view(f'i-{number}'),
            crash_model.BROKE_OFF,
            fleet.clock.now() - 5,
        )


@then('each of the {count:d} routers refuses the request')
def check_all_refuse(context, count):
    nodes = context.simulated.nodes.values()
    assert len(nodes) == count, len(nodes)
    assert all(
        node.serving.crashes.retry_after_ms(crash_model.CRASHING)
        for node in nodes
    )


@when('a member reads a limit of {rate:g} request a second from an upstream')
def note_limit_at_member(context, rate):
    limits = context.simulated.member().serving.limits
    limits.note_limit(limit_model.UPSTREAM, rate)


@then('each of the {count:d} routers knows the limit')
def check_all_know_limit(context, count):
    nodes = context.simulated.nodes.values()
    known = [node.serving.limits.updates_for_peers() for node in nodes]
    assert len(known) == count and all(known), known


@then(
    "the routers' shares add up to {rate:g} request a second and a burst of"
    ' {burst:g}'
)
def check_shares_add_up(context, rate, burst):
    nodes = context.simulated.nodes.values()
    limits = [
        node.serving.limits._get_limit(limit_model.UPSTREAM) for node in nodes
    ]
    total_rate = sum(limit.share for limit in limits)
    total_burst = sum(limit.burst for limit in limits)
    assert math.isclose(total_rate, rate), total_rate
    assert math.isclose(total_burst, burst), total_burst


@given('a service of {count:d} upstreams, each with work')
def upstreams_with_work(context, count):
    context.clock = clock_.ManualClock()
    context.upstream_table = upstreams_.UpstreamTable(context.clock)
    for number in range(count):
        context.upstream_table.merge(
            pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name=f'u-{number}',
                    address='127.0.0.1:9',
                    service='pool',
                    slots=32,
                ),
                state=pb.UPSTREAM_STATE_LIVE,
                revision=number + 1,
            )
        )
    context.loads = {
        (f'u-{number}', 0): (1, number, number) for number in range(count)
    }


@when("a member's loads are selected")
def select_loads(context):
    filter_ = load_filter.LoadFilter(context.upstream_table, context.clock)
    context.selected = filter_.select('router-7', context.loads)


@then(
    "they are those of the member's subset and of the {most:d} other upstreams"
    ' with most to prefill'
)
def loads_of_subset(context, most):
    live = context.upstream_table.live('pool')
    subset = candidates.subset_of('router-7', live)
    names = {view.name for view in subset}
    others = sorted(
        (load[1], key)
        for key, load in context.loads.items()
        if key[0] not in names
    )
    expected = {(name, 0) for name in names}
    expected |= {key for _, key in others[-most:]}
    assert len(names) == candidates.SUBSET_SIZE
    assert set(context.selected) == expected


@then('they are those of all upstreams')
def loads_of_all(context):
    assert context.selected == context.loads

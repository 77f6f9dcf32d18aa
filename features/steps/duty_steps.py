"""Steps of usage reports and orders of upstreams."""

from __future__ import annotations

import dataclasses
import socket

from behave import given
from behave import then
from behave import when
import helpers
from memory_store import MemoryStore
import prometheus_client
import stop_steps

from peridotmast import clock as clock_
from peridotmast.coordination import fleet_clock
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.duties import duty_holder
from peridotmast.duties import usage_reporter
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast import invariants
from peridotmast.platform import cloud_api
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import usage as usage_

WINDOW_MS = 5000


@when('{count:d} requests are sent to all routers within a window')
def within_a_window(context, count):
    fleet = context.fleet
    clock = fleet.routers[0].fleet_state.fleet_clock
    green.sleep_ms(1000 - clock.now() % 1000 + 20)
    context.window = fleet.routers[0].serving.usage.window_now()
    tasks = [
        green.spawn(helpers.send_request, fleet.routers[n % 3].address)
        for n in range(count)
    ]
    for task in tasks:
        assert task.wait().status == 200
    assert fleet.routers[0].serving.usage.window_now() == context.window, (
        'too slow'
    )


@then('that window\'s report says {count:d} for "{team}"')
def report_says(context, count, team):
    def reported():
        return [
            report
            for report in context.fleet.cloud.reports
            if report.window == context.window
        ]

    helpers.wait_until(reported, 'the report')
    assert reported()[0].counts == {team: count}, reported()


@then('no two reports of a window differ')
def none_differ(context):
    assert not context.fleet.cloud.conflicting_reports()


@given('five routers that started one after the other')
def five_started(context):
    context.clock = clock_.ManualClock()
    context.starts = {f'r{number}': 1000 + number for number in range(5)}


def turns(context):
    """Return the routers in the order of their turns, as each sees it."""
    found = {}
    for me in context.starts:
        members = members_.Members(member_of(context, me), context.clock, 1000)
        for other in context.starts:
            members.receive(member_of(context, other))
        lease = lease_.Lease(None, 'l', me, me, 4000, 600, context.clock)
        holder = duty_holder.DutyHolder(lease, members, (), context.clock)
        found[holder._rank()] = me
    return [found[rank] for rank in range(len(found))]


def member_of(context, name):
    return pb.Member(
        name=name,
        incarnation=context.starts[name],
        state=members_.ALIVE,
        ready=True,
    )


@then('their turns at vacant duties are in that order')
def in_that_order(context):
    assert turns(context) == ['r0', 'r1', 'r2', 'r3', 'r4']


@when('the first one is stopped and started again')
def first_again(context):
    context.starts['r0'] = 9000


@then('it has the last turn')
def last_turn(context):
    assert turns(context) == ['r1', 'r2', 'r3', 'r4', 'r0']


class Remembering:
    """A duty that leaves something, and remembers what was left to it."""

    def __init__(self):
        self.state_version = 0
        self.needed = 0
        self.left = []

    def start(self, left):
        self.left.append(left)

    def run(self, fencing):
        pass

    def save(self, left):
        left.needs['pool'] = self.needed
        for _ in range(self.state_version):
            left.orders.add(service='pool', coming=5)


class Contender:
    """A run of a router that only contends for the duties."""

    def __init__(self, context, name, run):
        self.name = name
        self.duty = Remembering()
        self.store = MemoryStore()
        self.store.objects = context.objects
        self.store.is_down = 'store_out' in context
        clock = context.clock
        self.lease = lease_.Lease(
            self.store, 'duties', name, f'{name}.{run}', 4000, 600, clock
        )
        self.lease.set_endpoint(f'boot:net:{name}')
        self._members = members_.Members(member_of(context, name), clock, 1000)
        self._peers = [member_of(context, other) for other in context.starts]
        self._runs = context.runs if 'runs' in context else []
        self._holder = duty_holder.DutyHolder(
            self.lease,
            self._members,
            (self.duty,),
            clock,
            self._tell,
            clock.wall,
        )

    def _tell(self, heirs):
        names = {member.name for member in heirs}
        for one in self._runs:
            if one.name in names:
                one.lease.receive_hint(self.lease.hint())

    def stop(self):
        """Give the duties up, as a planned stop does."""
        self._holder.release()

    def keep(self):
        for peer in self._peers:
            self._members.receive(peer)
        self._holder.keep_lease()
        self._holder.run_duties()


def start_all(context, run):
    context.objects = getattr(context, 'objects', {})
    context.runs = []
    context.runs += [Contender(context, name, run) for name in context.starts]


def go_on(context, ms, beacon_ms=200):
    for passed in range(0, ms, 200):
        for one in context.runs:
            one.store.revision = max(
                [found.revision for found in context.objects.values()] or [0]
            )
            one.keep()
        if (passed + 200) % beacon_ms == 0:
            tell_all(context.runs)
        context.clock.advance(200)


def tell_all(runs):
    for one in runs:
        hint = one.lease.known_holder()
        for other in runs:
            if hint is not None and other is not one:
                other.lease.receive_hint(hint)


@given('the last of them had the duties when all were killed')
def last_had(context):
    start_all(context, 1)
    context.runs[-1].lease.attempt()
    context.hint = context.runs[-1].lease.hint()
    context.clock.advance(1000)


@when('all start again and {ms:d} ms pass')
def all_again(context, ms):
    start_all(context, 2)
    go_on(context, ms)


@when('all start again, the others remember the holder, and {ms:d} ms pass')
def some_remember(context, ms):
    start_all(context, 2)
    for one in context.runs:
        one.lease.receive_hint(context.hint)
    go_on(context, ms)


@when('all start and {ms:d} ms pass')
def all_start(context, ms):
    start_all(context, 1)
    go_on(context, ms)


@when('beacons come every {ms:d} ms, and the holder ends after a renewal')
def ends_after_renewal(context, ms):
    start_all(context, 1)
    go_on(context, ms, ms)
    holder = holder_now(context)
    renewed = holder.lease.hint().revision + 1
    while holder.lease.hint().revision < renewed:
        go_on(context, 200, 1 << 30)
    context.runs.remove(holder)


@then('the next one has the duties {ms:d} ms later')
def next_has(context, ms):
    go_on(context, ms, 1400)
    held = [one.name for one in context.runs if one.lease.is_held()]
    assert held == ['r1'], held


@when('all start, and their first one finds {count:d} to be needed')
def first_finds(context, count):
    all_start(context, 3000)
    first = context.runs[0]
    assert first.lease.is_held() and first.duty.left == [pb.DutiesLeft()]
    first.duty.needed = count


@when('{ms:d} ms later it orders, and is killed {later:d} ms after that')
def orders_and_ends(context, ms, later):
    go_on(context, ms)
    context.runs[0].duty.state_version += 1
    go_on(context, later)
    context.runs.pop(0)


@then('the next one knows the {count:d}, and of the order')
def next_knows(context, count):
    left = left_to_next(context, 5000)
    assert left.needs['pool'] == count, left
    assert [order.coming for order in left.orders] == [5], left


def left_to_next(context, ms):
    """Let time pass; return the one thing that was left to who holds it."""
    go_on(context, ms)
    (left,) = holder_now(context).duty.left
    return left


def holder_now(context):
    (holder,) = [one for one in context.runs if one.lease.is_held()]
    return holder


@when('it is stopped, and the next one before it has begun')
def two_stopped(context):
    go_on(context, 2000)
    first, second = context.runs[:2]
    first.stop()
    second.lease.attempt()
    assert second.lease.is_held() and not second.duty.left
    second.stop()
    del context.runs[:2]


@then('the one after them knows the {count:d}')
def third_knows(context, count):
    left = left_to_next(context, 6000)
    assert left.needs['pool'] == count, left


@when('the store is out for {ms:d} ms')
def store_out_for(context, ms):
    for one in context.runs:
        one.store.is_down = True
    go_on(context, ms)
    for one in context.runs:
        one.store.is_down = False
    go_on(context, 1000)


@then('the first one has them again, and goes on from what it knows')
def has_again(context):
    first = context.runs[0]
    assert first.lease.is_held() and first.lease.fencing == 2, (
        first.lease.fencing
    )
    assert first.duty.left[-1] is None, first.duty.left


@then('the {which} one has the duties with the number {number:d}')
def one_has(context, which, number):
    lease = context.runs[{'first': 0, 'last': -1}[which]].lease
    held = [(one.lease.is_held(), one.lease.fencing) for one in context.runs]
    assert lease.is_held() and lease.fencing == number, held


@then('each router has asked the store {count:d} times at most')
def asked_at_most(context, count):
    calls = [one.store.calls for one in context.runs]
    assert max(calls) <= count, calls


@given('the store is out for all')
def out_for_all(context):
    context.store_out = True


@then('the last one has not asked the store')
def last_not(context):
    assert not context.runs[-1].store.calls


@then('the others have not asked the store')
def others_not(context):
    assert not any(one.store.calls for one in context.runs[1:])


@then("the lease on the duties names its holder's own place")
def names_place(context):
    def holder():
        routers = context.fleet.routers
        return next((one for one in routers if one.lease.is_held()), None)

    helpers.wait_until(holder, 'a holder')
    found = holder()
    stored = found.store.read(lease_.KIND, 'duties')
    boot, net, address = stored.spec['place'].split(':', 2)
    assert boot and net and address == found.beacons.address, stored


@when('requests go on while the holder of the duties is killed')
def holder_killed(context):
    fleet = context.fleet
    helpers.wait_until(lambda: fleet.cloud.reports, 'a first report')
    context.old = stop_steps.holder_of(context)
    context.number = context.old.lease.fencing
    others = [r for r in fleet.routers if r is not context.old]
    context.old.stop()
    for number in range(60):
        assert helpers.send_request(others[number % 2].address).status == 200
        green.sleep_ms(20)


@then('reports go on with a higher number')
def go_on_higher(context):
    helpers.wait_until(
        lambda: any(
            report.fencing > context.number
            for report in context.fleet.cloud.reports
        ),
        'reports of the next holder',
        15_000,
    )


@when('the store keeps the holder waiting until another one has the duties')
def kept_waiting(context):
    fleet = context.fleet
    helpers.wait_until(lambda: fleet.cloud.reports, 'a first report')
    context.old = stop_steps.holder_of(context)
    context.number = context.old.lease.fencing
    context.answered = 0
    context.cut = False
    store = context.old.store
    read, write = store.read, store.write

    def cut_write(kind, *args):
        # The cut begins with what is written of a window that is due.
        context.cut = context.cut or kind == usage_reporter.KIND
        return (
            failures.unknown('silent') if context.cut else write(kind, *args)
        )

    def late_read(*args):
        if context.cut:
            helpers.wait_until(lambda: is_reported(context), 'another holder')
            context.answered += 1
        return read(*args)

    store.read, store.write = late_read, cut_write


def is_reported(context):
    """Return whether a next holder has sent a report."""
    reports = context.fleet.cloud.reports
    return any(report.fencing > context.number for report in reports)


@then('the former holder has been answered by the store')
def former_answered(context):
    helpers.wait_until(lambda: context.answered, 'an answer')
    green.sleep_ms(500)


@given('a platform that takes in little and answers nothing')
def takes_little(context):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    context.closing.append(listener.close)
    context.listener = listener


@when('a report of {size:d} bytes is given up after {ms:d} ms')
def given_up(context, size, ms):
    host, port = context.listener.getsockname()
    cloud = cloud_api.PlatformCloud(f'{host}:{port}', ms, 'router-1')
    context.size = size
    failure = cloud.report_usage(7, {'n' * size: 1}, 1)
    assert isinstance(failure, failures.Failure), failure


@then('the platform never gets the whole of it')
def never_whole(context):
    conn, _ = context.listener.accept()
    conn.settimeout(3)
    got = 0
    try:
        while data := conn.recv(65536):
            got += len(data)
    except ConnectionResetError:
        pass
    conn.close()
    assert got < context.size, got


@dataclasses.dataclass
class Reports:
    """Remembers what is reported."""

    sent: list = dataclasses.field(default_factory=list)

    def report_usage(self, window, counts, fencing):
        self.sent.append((window, counts, fencing))


def reporter(context):
    registry = prometheus_client.CollectorRegistry()
    return usage_reporter.UsageReporter(
        context.usage,
        context.reports,
        context.store,
        WINDOW_MS,
        context.clock.wall,
        invariants.Invariants(registry, fatal=True),
    )


def set_up(context, window):
    context.store = MemoryStore()
    context.reports = Reports()
    context.clock = clock_.ManualClock(window * WINDOW_MS)
    context.usage = usage_.Usage(context.clock.wall, WINDOW_MS)


@given('a usage reporter that wrote window {window:d} down and died')
def wrote_down(context, window):
    set_up(context, window + 1)
    spec = {'window': window, 'counts': {'noor': 12}}
    context.store.write(usage_reporter.KIND, usage_reporter.NAME, spec, 0)
    context.usage.count_started('noor')


@when('the next holder begins')
def next_holder(context):
    context.reporter = reporter(context)
    context.reporter.start(None)
    for _ in range(4):
        context.reporter.run(2)
        context.clock.advance(WINDOW_MS // 2)


@then(
    'it sends window {first:d} as it was written and goes on with window'
    ' {second:d}'
)
def sends_as_written(context, first, second):
    sent = context.reports.sent
    assert sent[0] == (first, {'noor': 12}, 2), sent
    assert sent[1] == (second, {'noor': 1}, 2), sent


@given('a usage reporter whose next write is not answered')
def not_answered(context):
    set_up(context, 10)
    context.usage.count_started('noor')
    context.reporter = reporter(context)
    context.reporter.start(None)
    context.store.lose_replies = 1


@when('two windows are over')
def two_over(context):
    for number in range(40):
        context.clock.advance(400)
        if number == 15:
            context.usage.count_started('noor')
        context.reporter.run(1)


@then('each window was sent once, with what was written down')
def each_once(context):
    windows = [window for window, _, _ in context.reports.sent]
    assert windows == sorted(set(windows)) and 10 in windows, windows
    assert context.reports.sent[0] == (10, {'noor': 1}, 1)


@given('a usage reporter that was away for {count:d} windows')
def was_away(context, count):
    set_up(context, 10)
    spec = {'window': 10, 'counts': {}}
    context.store.write(usage_reporter.KIND, usage_reporter.NAME, spec, 0)
    context.clock.advance(count * WINDOW_MS)


@then('it reports only windows that can still be in time')
def only_in_time(context):
    windows = [window for window, _, _ in context.reports.sent]
    assert 10 in windows and min(set(windows) - {10}) >= 26, windows


@given('the usage of a router that was killed and started again')
def killed_usage(context):
    set_up(context, 10)
    for incarnation, count in ((1, 3), (2, 4)):
        other = usage_.Usage(context.clock.wall, WINDOW_MS)
        for _ in range(count):
            other.count_started('noor')
        # Beacons repeat what they say; only the newest counts.
        for _ in range(3):
            context.usage.merge_router('router-2', incarnation, other.counts())
    context.usage.count_started('noor')


@then("both runs' requests are in the window's total")
def both_runs(context):
    assert context.usage.total(10) == {'noor': 8}, context.usage.total(10)


class _Wall(clock_.ManualClock):
    """A manual clock whose time of day may be off."""

    def __init__(self):
        super().__init__()
        self.off = 0

    def wall(self):
        return super().wall() + self.off


SINCE_MS = 1000
"""Time after the jump at which the fleet's clock is asked."""


@given("five routers' clocks of which two jump by an hour")
def five_clocks(context):
    context.own = _Wall()
    context.fleet_clock = fleet_clock.FleetClock(context.own)
    context.before = context.fleet_clock.now()
    walls = [0, 3, -2, 3_600_000]
    for number, off in enumerate(walls):
        context.fleet_clock.record_peer(
            f'router-{number}', context.own.boot() + off
        )
    context.own.off = -3_600_000
    context.own.advance(SINCE_MS)


@then("the fleet's clock stays where it was")
def stays_put(context):
    passed = context.fleet_clock.now() - context.before
    assert abs(passed - SINCE_MS) <= 5, passed


def counts(context):
    live = [
        guest
        for guest in helpers.guests(context, shape_.ENGINE_SERVICE)
        if guest.record.state == 1
    ]
    spot = [g for g in live if g.record.reclaimable]
    return len(live) - len(spot), spot


@then(
    'within {ms:d} ms all engines are reclaimable and as many are left as'
    ' needed without any one failure domain'
)
@given(
    'within {ms:d} ms all engines are reclaimable and as many are left as'
    ' needed without any one failure domain'
)
def all_reclaimable(context, ms):
    def reached():
        firm, spot = counts(context)
        domains = [g.record.upstream.failure_domain for g in spot]
        tallest = max((domains.count(d) for d in domains), default=0)
        return firm == 0 and len(spot) - tallest >= 2

    helpers.wait_until(reached, f'all reclaimable: {counts(context)}', ms)


@when('no reclaimable engine is to be had and a failure domain is reclaimed')
def dry_reclaim(context):
    context.fleet.exhausted_domains.update(context.fleet.domains)
    _, spot = counts(context)
    context.fleet.reclaim(spot[0].record.upstream.failure_domain, 400)


@then('firm engines come in their place within {ms:d} ms')
def firm_come(context, ms):
    helpers.wait_until(lambda: counts(context)[0] > 0, 'a firm engine', ms)


@then('nothing is ordered in {ms:d} ms')
def nothing_ordered(context, ms):
    green.sleep_ms(ms)
    assert not context.fleet.cloud.orders, context.fleet.cloud.orders

"""Steps for the lease on the duties, usage reports and orders of upstreams."""

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
def send_within_window(context, count):
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


@then('the report of that window has {count:d} requests of "{team}"')
def check_report(context, count, team):
    def reported():
        return [
            report
            for report in context.fleet.cloud.reports
            if report.window == context.window
        ]

    helpers.wait_until(reported, 'the report')
    assert reported()[0].counts == {team: count}, reported()


@then('no two reports of a window differ')
def reports_agree(context):
    assert not context.fleet.cloud.conflicting_reports()


@given('five routers that started one after another')
def five_routers(context):
    context.clock = clock_.ManualClock()
    context.starts = {f'r{number}': 1000 + number for number in range(5)}


def contention_order(context):
    """Return the routers in the order in which they contend."""
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


@then('they contend for a vacant lease in that order')
def check_contention_order(context):
    assert contention_order(context) == ['r0', 'r1', 'r2', 'r3', 'r4']


@when('the first router is stopped and started again')
def restart_first(context):
    context.starts['r0'] = 9000


@then('it contends last')
def contends_last(context):
    assert contention_order(context) == ['r1', 'r2', 'r3', 'r4', 'r0']


class RecordingDuty:
    """A duty that saves some state, and records the state it receives."""

    def __init__(self):
        self.state_version = 0
        self.required = 0
        self.received = []

    def start(self, state):
        self.received.append(state)

    def run(self, fencing):
        pass

    def save(self, state):
        state.needs['pool'] = self.required
        for _ in range(self.state_version):
            state.orders.add(service='pool', coming=5)


class LeaseContender:
    """A run of a router that only contends for the lease on the duties."""

    def __init__(self, context, name, run):
        self.name = name
        self.duty = RecordingDuty()
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
            self._notify,
            clock.wall_time,
        )

    def _notify(self, successors):
        names = {member.name for member in successors}
        for one in self._runs:
            if one.name in names:
                one.lease.receive_hint(self.lease.hint())

    def stop(self):
        """Release the lease, as a planned stop does."""
        self._holder.release()

    def tick(self):
        for peer in self._peers:
            self._members.receive(peer)
        self._holder.keep_lease()
        self._holder.run_duties()


def start_all(context, run):
    context.objects = getattr(context, 'objects', {})
    context.runs = []
    context.runs += [
        LeaseContender(context, name, run) for name in context.starts
    ]


def advance(context, ms, beacon_ms=200):
    for elapsed in range(0, ms, 200):
        for one in context.runs:
            one.store.revision = max(
                [found.revision for found in context.objects.values()] or [0]
            )
            one.tick()
        if (elapsed + 200) % beacon_ms == 0:
            exchange_hints(context.runs)
        context.clock.advance(200)


def exchange_hints(runs):
    for one in runs:
        hint = one.lease.known_holder()
        for other in runs:
            if hint is not None and other is not one:
                other.lease.receive_hint(hint)


@given('the last of them held the lease when all were killed')
def last_held(context):
    start_all(context, 1)
    context.runs[-1].lease.attempt()
    context.hint = context.runs[-1].lease.hint()
    context.clock.advance(1000)


@when('all start again, and {ms:d} ms pass')
def start_all_again(context, ms):
    start_all(context, 2)
    advance(context, ms)


@when('all start again with the former holder known, and {ms:d} ms pass')
def start_with_known_holder(context, ms):
    start_all(context, 2)
    for one in context.runs:
        one.lease.receive_hint(context.hint)
    advance(context, ms)


@when('all start, and {ms:d} ms pass')
def start_all_and_wait(context, ms):
    start_all(context, 1)
    advance(context, ms)


@when(
    'beacons are sent every {ms:d} ms, and the holder is killed after a'
    ' renewal'
)
def kill_after_renewal(context, ms):
    start_all(context, 1)
    advance(context, ms, ms)
    holder = current_holder(context)
    renewed = holder.lease.hint().revision + 1
    while holder.lease.hint().revision < renewed:
        advance(context, 200, 1 << 30)
    context.runs.remove(holder)


@then('the next router holds the lease {ms:d} ms later')
def next_holds(context, ms):
    advance(context, ms, 1400)
    held = [one.name for one in context.runs if one.lease.is_held()]
    assert held == ['r1'], held


@when('all start, and the first router requires {count:d} upstreams')
def first_requires(context, count):
    start_all_and_wait(context, 3000)
    first = context.runs[0]
    assert first.lease.is_held() and first.duty.received == [pb.DutiesLeft()]
    first.duty.required = count


@when(
    'it orders upstreams after {ms:d} ms, and is killed {later:d} ms after'
    ' that'
)
def order_and_kill(context, ms, later):
    advance(context, ms)
    context.runs[0].duty.state_version += 1
    advance(context, later)
    context.runs.pop(0)


@then('the next holder knows the {count:d} required upstreams and the order')
def next_knows(context, count):
    state = state_of_next(context, 5000)
    assert state.needs['pool'] == count, state
    assert [order.coming for order in state.orders] == [5], state


def state_of_next(context, ms):
    """Advance the time; return the state that the holder has received."""
    advance(context, ms)
    (state,) = current_holder(context).duty.received
    return state


def current_holder(context):
    (holder,) = [one for one in context.runs if one.lease.is_held()]
    return holder


@when('it is stopped, and the next holder before it runs its duties')
def stop_two(context):
    advance(context, 2000)
    first, second = context.runs[:2]
    first.stop()
    second.lease.attempt()
    assert second.lease.is_held() and not second.duty.received
    second.stop()
    del context.runs[:2]


@then('the holder after them knows the {count:d} required upstreams')
def third_knows(context, count):
    state = state_of_next(context, 6000)
    assert state.needs['pool'] == count, state


@when('the store is unavailable for {ms:d} ms')
def store_unavailable(context, ms):
    for one in context.runs:
        one.store.is_down = True
    advance(context, ms)
    for one in context.runs:
        one.store.is_down = False
    advance(context, 1000)


@then('the first router holds the lease again, and keeps its own state')
def holds_again(context):
    first = context.runs[0]
    assert first.lease.is_held() and first.lease.fencing == 2, (
        first.lease.fencing
    )
    assert first.duty.received[-1] is None, first.duty.received


@then('the {which} router holds the lease with fencing number {number:d}')
def check_holder(context, which, number):
    lease = context.runs[{'first': 0, 'last': -1}[which]].lease
    held = [(one.lease.is_held(), one.lease.fencing) for one in context.runs]
    assert lease.is_held() and lease.fencing == number, held


@then('each router has called the store at most {count:d} times')
def check_call_count(context, count):
    calls = [one.store.calls for one in context.runs]
    assert max(calls) <= count, calls


@given('the store is unavailable to all')
def store_unavailable_to_all(context):
    context.store_out = True


@then('the last router has not called the store')
def last_not_called(context):
    assert not context.runs[-1].store.calls


@then('the other routers have not called the store')
def others_not_called(context):
    assert not any(one.store.calls for one in context.runs[1:])


@then("the lease on the duties contains its holder's endpoint")
def check_endpoint(context):
    def holder():
        routers = context.fleet.routers
        return next((one for one in routers if one.lease.is_held()), None)

    helpers.wait_until(holder, 'a holder')
    found = holder()
    stored = found.store.read(lease_.KIND, 'duties')
    boot, net, address = stored.spec['place'].split(':', 2)
    assert boot and net and address == found.beacons.address, stored


@when('requests are sent while the lease holder is killed')
def kill_holder(context):
    fleet = context.fleet
    helpers.wait_until(lambda: fleet.cloud.reports, 'a first report')
    context.former = stop_steps.holder_of(context)
    context.fencing = context.former.lease.fencing
    others = [r for r in fleet.routers if r is not context.former]
    context.former.stop()
    for number in range(60):
        assert helpers.send_request(others[number % 2].address).status == 200
        green.sleep_ms(20)


@then('further reports have a higher fencing number')
def check_fencing_number_increased(context):
    helpers.wait_until(
        lambda: any(
            report.fencing > context.fencing
            for report in context.fleet.cloud.reports
        ),
        'reports of the next holder',
        15_000,
    )


@when(
    'the store delays its answers to the holder until another router holds'
    ' the lease'
)
def delay_store(context):
    fleet = context.fleet
    helpers.wait_until(lambda: fleet.cloud.reports, 'a first report')
    context.former = stop_steps.holder_of(context)
    context.fencing = context.former.lease.fencing
    context.answered = 0
    context.is_cut_off = False
    store = context.former.store
    read, write = store.read, store.write

    def failing_write(kind, *args):
        # The store fails from the first write of a usage window on.
        context.is_cut_off = context.is_cut_off or kind == usage_reporter.KIND
        return (
            failures.unknown('silent')
            if context.is_cut_off
            else write(kind, *args)
        )

    def delayed_read(*args):
        if context.is_cut_off:
            helpers.wait_until(
                lambda: has_next_reported(context), 'another holder'
            )
            context.answered += 1
        return read(*args)

    store.read, store.write = delayed_read, failing_write


def has_next_reported(context):
    """Return whether the next holder has sent a report."""
    reports = context.fleet.cloud.reports
    return any(report.fencing > context.fencing for report in reports)


@then('the former holder has received an answer from the store')
def check_former_answered(context):
    helpers.wait_until(lambda: context.answered, 'an answer')
    green.sleep_ms(500)


@given('a platform that receives slowly and never answers')
def slow_platform(context):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    context.closing.append(listener.close)
    context.listener = listener


@when('a report of {size:d} bytes times out after {ms:d} ms')
def report_times_out(context, size, ms):
    host, port = context.listener.getsockname()
    cloud = cloud_api.PlatformCloud(f'{host}:{port}', ms, 'router-1')
    context.size = size
    failure = cloud.report_usage(7, {'n' * size: 1}, 1)
    assert isinstance(failure, failures.Failure), failure


@then('the platform never receives the whole report')
def check_incomplete(context):
    conn, _ = context.listener.accept()
    conn.settimeout(3)
    received = 0
    try:
        while data := conn.recv(65536):
            received += len(data)
    except ConnectionResetError:
        pass
    conn.close()
    assert received < context.size, received


@dataclasses.dataclass
class RecordingSink:
    """Records usage reports."""

    sent: list = dataclasses.field(default_factory=list)

    def report_usage(self, window, counts, fencing):
        self.sent.append((window, counts, fencing))


def make_reporter(context):
    registry = prometheus_client.CollectorRegistry()
    return usage_reporter.UsageReporter(
        context.usage,
        context.reports,
        context.store,
        WINDOW_MS,
        context.clock.wall_time,
        invariants.Invariants(registry, fatal=True),
    )


def set_up_usage(context, window):
    context.store = MemoryStore()
    context.reports = RecordingSink()
    context.clock = clock_.ManualClock(window * WINDOW_MS)
    context.usage = usage_.Usage(context.clock.wall_time, WINDOW_MS)


@given('a usage reporter that was killed after storing window {window:d}')
def killed_after_store(context, window):
    set_up_usage(context, window + 1)
    spec = {'window': window, 'counts': {'noor': 12}}
    context.store.write(usage_reporter.KIND, usage_reporter.NAME, spec, 0)
    context.usage.count_started('noor')


@when('the next holder starts')
def start_next_holder(context):
    context.reporter = make_reporter(context)
    context.reporter.start(None)
    for _ in range(4):
        context.reporter.run(2)
        context.clock.advance(WINDOW_MS // 2)


@then('it sends window {first:d} as stored, and then window {second:d}')
def check_sent(context, first, second):
    sent = context.reports.sent
    assert sent[0] == (first, {'noor': 12}, 2), sent
    assert sent[1] == (second, {'noor': 1}, 2), sent


@given('a usage reporter whose next write gets no answer')
def next_write_answer_lost(context):
    set_up_usage(context, 10)
    context.usage.count_started('noor')
    context.reporter = make_reporter(context)
    context.reporter.start(None)
    context.store.lose_replies = 1


@when('two windows have ended')
def two_windows_pass(context):
    for number in range(40):
        context.clock.advance(400)
        if number == 15:
            context.usage.count_started('noor')
        context.reporter.run(1)


@then('each window was sent once, with the stored counts')
def check_sent_once(context):
    windows = [window for window, _, _ in context.reports.sent]
    assert windows == sorted(set(windows)) and 10 in windows, windows
    assert context.reports.sent[0] == (10, {'noor': 1}, 1)


@given('a usage reporter that reported nothing for {count:d} windows')
def reporter_with_gap(context, count):
    set_up_usage(context, 10)
    spec = {'window': 10, 'counts': {}}
    context.store.write(usage_reporter.KIND, usage_reporter.NAME, spec, 0)
    context.clock.advance(count * WINDOW_MS)


@then('it reports only windows whose report can still be in time')
def check_windows(context):
    windows = [window for window, _, _ in context.reports.sent]
    assert 10 in windows and min(set(windows) - {10}) >= 26, windows


@given('the usage counts of a router that was killed and started again')
def usage_of_restarted_router(context):
    set_up_usage(context, 10)
    for incarnation, count in ((1, 3), (2, 4)):
        other = usage_.Usage(context.clock.wall_time, WINDOW_MS)
        for _ in range(count):
            other.count_started('noor')
        # Beacons repeat their counts; only the latest must be counted.
        for _ in range(3):
            context.usage.merge_router('router-2', incarnation, other.counts())
    context.usage.count_started('noor')


@then("the window's total includes the requests of both runs")
def check_total(context):
    assert context.usage.total(10) == {'noor': 8}, context.usage.total(10)


class _SkewedClock(clock_.ManualClock):
    """A manual clock whose time of day has an offset."""

    def __init__(self):
        super().__init__()
        self.offset = 0

    def wall_time(self):
        return super().wall_time() + self.offset


ELAPSED_MS = 1000
"""Time after the jump at which the fleet's clock is read."""


@given('the clocks of five routers, of which two jump by an hour')
def skewed_clocks(context):
    context.own = _SkewedClock()
    context.fleet_clock = fleet_clock.FleetClock(context.own)
    context.before = context.fleet_clock.now()
    walls = [0, 3, -2, 3_600_000]
    for number, offset in enumerate(walls):
        context.fleet_clock.record_peer(
            f'router-{number}', context.own.boot_time() + offset
        )
    context.own.offset = -3_600_000
    context.own.advance(ELAPSED_MS)


@then("the fleet's clock does not jump")
def check_no_jump(context):
    elapsed = context.fleet_clock.now() - context.before
    assert abs(elapsed - ELAPSED_MS) <= 5, elapsed


def count_engines(context):
    live = [
        guest
        for guest in helpers.guests(context, shape_.ENGINES)
        if guest.record.state == 1
    ]
    reclaimable = [g for g in live if g.record.reclaimable]
    return len(live) - len(reclaimable), reclaimable


@then(
    'within {ms:d} ms all engines are reclaimable, and enough are left'
    ' after losing any failure domain'
)
@given(
    'within {ms:d} ms all engines are reclaimable, and enough are left'
    ' after losing any failure domain'
)
def all_reclaimable(context, ms):
    def reached():
        firm, reclaimable = count_engines(context)
        domains = [g.record.upstream.failure_domain for g in reclaimable]
        largest = max((domains.count(d) for d in domains), default=0)
        return firm == 0 and len(reclaimable) - largest >= 2

    helpers.wait_until(
        reached, f'all reclaimable: {count_engines(context)}', ms
    )


@when(
    'no reclaimable engines are available, and a failure domain is reclaimed'
)
def reclaim_without_capacity(context):
    context.fleet.dry.update(context.fleet.domains)
    _, reclaimable = count_engines(context)
    context.fleet.reclaim(reclaimable[0].record.upstream.failure_domain, 400)


@then('firm engines replace them within {ms:d} ms')
def check_firm(context, ms):
    helpers.wait_until(
        lambda: count_engines(context)[0] > 0, 'a firm engine', ms
    )


@then('nothing is ordered in {ms:d} ms')
def nothing_ordered(context, ms):
    green.sleep_ms(ms)
    assert not context.fleet.cloud.orders, context.fleet.cloud.orders

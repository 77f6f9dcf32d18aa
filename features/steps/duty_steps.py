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
import returning_store
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


@when('{count:d} requests are sent to all routers within a usage window')
def send_within_window(context, count):
    context.window, context.sent_count = None, 0
    # Requests that a slow machine spreads over two windows are left to the
    # reports of these windows, and sent again in a later one.
    for _ in range(5):
        if sends_within_window(context, count):
            return
    raise AssertionError('too slow')


def sends_within_window(context, count):
    """Send requests in a window that has none; return whether they fit."""
    fleet = context.fleet
    usage = fleet.routers[0].serving.usage
    clock = fleet.routers[0].fleet_state.fleet_clock
    if context.window is not None:
        last = usage.window_now()
        helpers.wait_until(lambda: usage.window_now() > last, 'a new window')
    green.sleep_ms(1000 - clock.now() % 1000 + 20)
    context.window = usage.window_now()
    tasks = [
        green.spawn(helpers.send_request, fleet.routers[n % 3].address)
        for n in range(count)
    ]
    context.sent_count += count
    for task in tasks:
        assert task.wait().status == 200
    return usage.window_now() == context.window


@then('the report of that usage window has {count:d} requests of "{team}"')
def check_window_report(context, count, team):
    def reported():
        return [
            report
            for report in context.fleet.cloud.reports
            if report.window == context.window
        ]

    helpers.wait_until(reported, 'the report')
    assert reported()[0].counts == {team: count}, reported()


@then('no two reports of the same usage window differ')
def check_reports_agree(context):
    assert not context.fleet.cloud.conflicting_reports()


@given('five routers that started one after another')
def set_start_times(context):
    context.clock = clock_.ManualClock()
    context.starts = {f'r{number}': 1000 + number for number in range(5)}


def contention_order(context):
    """Return the routers in the order in which they contend for the lease."""
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


@then('the routers contend for a vacant lease in that order')
def check_contention_order(context):
    assert contention_order(context) == ['r0', 'r1', 'r2', 'r3', 'r4']


@when('the first of the five routers is stopped and started again')
def restart_first_router(context):
    context.starts['r0'] = 9000


@then('the restarted router contends last')
def check_contends_last(context):
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

    def on_saved(self):
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
        self.store.is_down = 'store_is_down' in context
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


def start_all_routers(context, run):
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


@given('the last of the routers held the lease when all of them were killed')
def start_with_last_holding(context):
    start_all_routers(context, 1)
    context.runs[-1].lease.attempt()
    context.hint = context.runs[-1].lease.hint()
    context.clock.advance(1000)


@when('all five routers start again, and {ms:d} ms pass')
def restart_all_routers(context, ms):
    start_all_routers(context, 2)
    advance(context, ms)


@when(
    'all five routers start again with the former holder known, and {ms:d} ms'
    ' pass'
)
def restart_with_known_holder(context, ms):
    start_all_routers(context, 2)
    for one in context.runs:
        one.lease.receive_hint(context.hint)
    advance(context, ms)


@when('all five routers start, and {ms:d} ms pass')
def start_all_routers_and_wait(context, ms):
    start_all_routers(context, 1)
    advance(context, ms)


@when(
    'beacons are sent every {ms:d} ms, and the lease holder is killed after a'
    ' renewal'
)
def kill_after_renewal(context, ms):
    start_all_routers(context, 1)
    advance(context, ms, ms)
    holder = current_lease_holder(context)
    renewed = holder.lease.hint().revision + 1
    while holder.lease.hint().revision < renewed:
        advance(context, 200, 1 << 30)
    context.runs.remove(holder)


@then('the second router holds the lease {ms:d} ms later')
def check_second_holds(context, ms):
    advance(context, ms, 1400)
    held = [one.name for one in context.runs if one.lease.is_held()]
    assert held == ['r1'], held


@when('all five routers start, and the first one requires {count:d} upstreams')
def start_and_set_required(context, count):
    start_all_routers_and_wait(context, 3000)
    first = context.runs[0]
    assert first.lease.is_held() and first.duty.received == [pb.DutiesLeft()]
    first.duty.required = count


@when(
    'the first router orders upstreams after {ms:d} ms, and is killed'
    ' {later:d} ms later'
)
def order_and_kill_first(context, ms, later):
    advance(context, ms)
    context.runs[0].duty.state_version += 1
    advance(context, later)
    context.runs.pop(0)


@then(
    'the next lease holder knows the {count:d} required upstreams and the'
    ' pending order'
)
def check_next_holder_state(context, count):
    state = state_received_by_next(context, 5000)
    assert state.needs['pool'] == count, state
    assert [order.coming for order in state.orders] == [5], state


def state_received_by_next(context, ms):
    """Advance the time; return the state that the lease holder received."""
    advance(context, ms)
    (state,) = current_lease_holder(context).duty.received
    return state


def current_lease_holder(context):
    (holder,) = [one for one in context.runs if one.lease.is_held()]
    return holder


@when(
    'the first router is stopped, and so is the second before it runs its'
    ' duties'
)
def stop_two_holders(context):
    advance(context, 2000)
    first, second = context.runs[:2]
    first.stop()
    second.lease.attempt()
    assert second.lease.is_held() and not second.duty.received
    second.stop()
    del context.runs[:2]


@then('the third lease holder knows the {count:d} required upstreams')
def check_third_holder_state(context, count):
    state = state_received_by_next(context, 6000)
    assert state.needs['pool'] == count, state


@when('the store is unavailable for {ms:d} ms')
def make_store_unavailable(context, ms):
    for one in context.runs:
        one.store.is_down = True
    advance(context, ms)
    for one in context.runs:
        one.store.is_down = False
    advance(context, 1000)


@then('the first router holds the lease again and still has its own state')
def check_first_holds_again(context):
    first = context.runs[0]
    assert first.lease.is_held() and first.lease.fencing == 2, (
        first.lease.fencing
    )
    assert first.duty.received[-1] is None, first.duty.received


@then('the {which} router holds the lease with fencing number {number:d}')
def check_holder_and_fencing(context, which, number):
    lease = context.runs[{'first': 0, 'last': -1}[which]].lease
    held = [(one.lease.is_held(), one.lease.fencing) for one in context.runs]
    assert lease.is_held() and lease.fencing == number, held


@then('each router has called the store at most {count:d} times')
def check_call_count(context, count):
    calls = [one.store.calls for one in context.runs]
    assert max(calls) <= count, calls


@given('the store is unavailable to all routers')
def store_unavailable_to_all(context):
    context.store_is_down = True


@then('the last router has not called the store')
def check_no_calls_of_last(context):
    assert not context.runs[-1].store.calls


@then('the other routers have not called the store')
def check_no_calls_of_others(context):
    assert not any(one.store.calls for one in context.runs[1:])


@then("the stored lease on the duties contains its holder's endpoint")
def check_stored_endpoint(context):
    def holder():
        routers = context.fleet.routers
        return next((one for one in routers if one.lease.is_held()), None)

    helpers.wait_until(holder, 'a holder')
    found = holder()
    stored = found.store.read(lease_.KIND, 'duties')
    boot, net, address = stored.spec['place'].split(':', 2)
    assert boot and net and address == found.beacons.address, stored


@when('the lease holder is killed, and requests are sent')
def kill_holder_and_send_requests(context):
    fleet = context.fleet
    helpers.wait_until(lambda: fleet.cloud.reports, 'a first report')
    context.former = stop_steps.holder_of(context)
    context.fencing = context.former.lease.fencing
    others = [r for r in fleet.routers if r is not context.former]
    context.former.stop()
    for number in range(60):
        assert helpers.send_request(others[number % 2].address).status == 200
        green.sleep_ms(20)


@then('the next usage reports have a higher fencing number')
def check_higher_fencing(context):
    helpers.wait_until(
        lambda: any(
            report.fencing > context.fencing
            for report in context.fleet.cloud.reports
        ),
        'reports of the next holder',
        15_000,
    )


@when(
    'the store delays its answers to the lease holder until another router'
    ' holds the lease'
)
def delay_store_answers(context):
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
                lambda: has_next_holder_reported(context), 'another holder'
            )
            context.answered += 1
        return read(*args)

    store.read, store.write = delayed_read, failing_write


def has_next_holder_reported(context):
    """Return whether the next holder has sent a report."""
    reports = context.fleet.cloud.reports
    return any(report.fencing > context.fencing for report in reports)


@then('the former lease holder has received an answer from the store')
def check_former_answered(context):
    helpers.wait_until(lambda: context.answered, 'an answer')
    green.sleep_ms(500)


@given('a platform that receives slowly and never answers')
def platform_that_never_answers(context):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    context.closing.append(listener.close)
    context.listener = listener


@when('a usage report of {size:d} bytes times out after {ms:d} ms')
def report_times_out(context, size, ms):
    host, port = context.listener.getsockname()
    cloud = cloud_api.PlatformCloud(f'{host}:{port}', ms, 'router-1')
    context.size = size
    failure = cloud.report_usage(7, {'n' * size: 1}, 1)
    assert isinstance(failure, failures.Failure), failure


@then('the platform never receives the whole usage report')
def check_report_incomplete(context):
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


@given(
    'a usage reporter that was killed after storing the counts'
    ' of window {window:d}'
)
def reporter_killed_after_store(context, window):
    set_up_usage(context, window + 1)
    spec = {'window': window, 'counts': {'noor': 12}}
    context.store.write(usage_reporter.KIND, usage_reporter.NAME, spec, 0)
    context.usage.count_started('noor')


@when('the next lease holder starts')
def start_next_holder(context):
    context.reporter = make_reporter(context)
    context.reporter.start(None)
    for _ in range(4):
        context.reporter.run(2)
        context.clock.advance(WINDOW_MS // 2)


@then(
    'the next holder sends window {first:d} with the stored counts, and then'
    ' window {second:d}'
)
def check_sent_windows(context, first, second):
    sent = context.reports.sent
    assert sent[0] == (first, {'noor': 12}, 2), sent
    assert sent[1] == (second, {'noor': 1}, 2), sent


@given('a usage reporter whose next write to the store gets no answer')
def reporter_with_lost_answer(context):
    set_up_usage(context, 10)
    context.usage.count_started('noor')
    context.reporter = make_reporter(context)
    context.reporter.start(None)
    context.store.lose_replies = 1


@when('two usage windows have ended')
def run_for_two_windows(context):
    for number in range(40):
        context.clock.advance(400)
        if number == 15:
            context.usage.count_started('noor')
        context.reporter.run(1)


@then('each usage window was sent once, with the stored counts')
def check_sent_once(context):
    windows = [window for window, _, _ in context.reports.sent]
    assert windows == sorted(set(windows)) and 10 in windows, windows
    assert context.reports.sent[0] == (10, {'noor': 1}, 1)


@given(
    'a usage reporter that has sent window {window:d} before the store comes'
    ' back without its record'
)
def report_before_return(context, window):
    set_up_usage(context, window)
    context.returning = returning_store.ReturningStore(era=1)
    context.store = context.returning.client(context.clock)
    context.usage.count_started('noor')
    context.reporter = make_reporter(context)
    context.reporter.start(None)
    context.clock.advance(2 * WINDOW_MS - 500)
    context.reporter.run(1)
    assert context.reports.sent == [(window, {'noor': 1}, 1)]
    context.returning.come_back()


@when('late counts of that window arrive')
def count_late(context):
    context.usage.count_started('noor', context.clock.wall_time() % WINDOW_MS)
    context.usage.count_started('noor', WINDOW_MS)


@when('the reporter goes on for {count:d} windows')
def go_on(context, count):
    for _ in range(4 * count):
        context.clock.advance(WINDOW_MS // 4)
        context.reporter.run(1)


@when('its record is copied')
def copy_record(context):
    context.returning.take_copy()


@when('the store comes back without its record')
def lose_record(context):
    context.returning.come_back()


@when('the next lease holder goes on for {count:d} windows')
def go_on_as_next_holder(context, count):
    for windows in (1, 2, 3):
        context.usage.count_started('noor', windows * WINDOW_MS)
    context.store = context.returning.client(context.clock)
    context.reporter = make_reporter(context)
    context.reporter.start(None)
    go_on(context, count)


@then('no usage window was sent with two counts')
def check_one_count(context):
    sent = {}
    for window, counts, _ in context.reports.sent:
        assert sent.setdefault(window, counts) == counts, context.reports.sent


@then('the usage windows {windows} were sent')
def check_windows_sent(context, windows):
    wanted = [int(n) for n in windows.replace(' and', ',').split(',')]
    sent = {window for window, _, _ in context.reports.sent}
    assert sent >= set(wanted), context.reports.sent


@given('a usage reporter that has sent no report for {count:d} windows')
def reporter_with_gap(context, count):
    set_up_usage(context, 10)
    spec = {'window': 10, 'counts': {}}
    context.store.write(usage_reporter.KIND, usage_reporter.NAME, spec, 0)
    context.clock.advance(count * WINDOW_MS)


@then('the next holder reports only windows whose report can still be in time')
def check_reported_windows(context):
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


@then(
    "the usage window's total includes the requests before and after the"
    ' restart'
)
def check_window_total(context):
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
    """Return the number of live firm engines, and the reclaimable ones."""
    live = [
        guest
        for guest in helpers.guests(context, shape_.ENGINE_SERVICE)
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
def wait_until_all_reclaimable(context, ms):
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
def reclaim_domain_without_capacity(context):
    context.fleet.exhausted_domains.update(context.fleet.domains)
    _, reclaimable = count_engines(context)
    context.fleet.reclaim(reclaimable[0].record.upstream.failure_domain, 400)


@then('firm engines replace the reclaimed ones within {ms:d} ms')
def check_firm_replacements(context, ms):
    helpers.wait_until(
        lambda: count_engines(context)[0] > 0, 'a firm engine', ms
    )


@then('no upstreams are ordered within {ms:d} ms')
def check_nothing_ordered(context, ms):
    green.sleep_ms(ms)
    assert not context.fleet.cloud.orders, context.fleet.cloud.orders

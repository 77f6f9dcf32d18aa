"""Steps for answers of the platform's store that are slow or incomplete."""

from __future__ import annotations

import itertools
import json
from unittest import mock

from behave import given
from behave import then
from behave import when
import helpers
import prometheus_client
import raw_store
import raw_upstream
import store_outage_steps

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.coordination import kind_watch
from peridotmast.coordination import objects
from peridotmast.coordination import outage as outage_
from peridotmast import failures
from peridotmast import green
from peridotmast import ini
from peridotmast import invariants
from peridotmast.platform import cloud_api
from peridotmast.platform import names
from peridotmast.platform import store as store_
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import fleet_state as fleet_state_
from peridotmast.router import peering as peering_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_
from peridotmast.standin import store as store_standin
from peridotmast.wire import http_client

KIND = 'things'
KINDS = {
    'configuration': (names.CONFIG_KIND, config_feed.KIND),
    'upstreams': (names.UPSTREAM_KIND,),
}
WAIT_MS = 1000
LOOPBACK_MS = 5
"""Real time, in ms, in which a receiver processes data sent over loopback."""

OBJECT = {
    names.META: {'name': 'x', names.REVISION: 2},
    names.SPEC: {'text': 'some words'},
}
STORED = objects.StoredObject('x', 2, OBJECT[names.SPEC])
LISTING = {names.ITEMS: [OBJECT], names.HAS_MORE: False, names.AT_REVISION: 2}
CHANGES = {
    names.EVENTS: [{names.OBJECT: OBJECT, names.DELETED: False}],
    names.AT_REVISION: 2,
}

REQUESTS = {
    'a listing': (
        LISTING,
        lambda store, cloud: store.list(KIND),
        objects.Listing([STORED], 2),
    ),
    'an object': (
        OBJECT,
        lambda store, cloud: store.read(KIND, 'x'),
        STORED,
    ),
    'changes': (
        CHANGES,
        lambda store, cloud: store.watch(KIND, 1, WAIT_MS),
        objects.Changes([STORED], 2),
    ),
    'a write': (
        OBJECT,
        lambda store, cloud: store.write(KIND, 'x', {}, 1),
        STORED,
    ),
    'a removal': (
        OBJECT,
        lambda store, cloud: store.remove(KIND, 'x', 1),
        None,
    ),
    'an order': (
        {},
        lambda store, cloud: cloud.order('pool', 'fd-1', 1, False, 1),
        None,
    ),
}
"""For each request: the answer's body, the call, and what it returns."""


def wire_answer(body):
    data = json.dumps(body).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(data),
        data,
    )


def split_answer(data, count):
    """Split an answer into parts; the head is sent with the first one."""
    head, _, body = data.partition(b'\r\n\r\n')
    # Spaces after the value are valid JSON.
    body += b' ' * count
    size = -(-len(body) // count)
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    head = head.rpartition(b':')[0] + b': %d\r\n\r\n' % len(body)
    return [head + parts[0], *parts[1:]]


class SlowStore:
    """Sends an answer in parts, and advances its clock before each.

    The caller's time-outs use this clock, so that the test does not depend on
    the speed of the machine.
    """

    def __init__(self, context, count=1, apart_ms=0, stops=False):
        self.clock = clock_.ManualClock()
        self.body = {}
        self.sent = 0
        self._count, self._apart_ms, self._stops = count, apart_ms, stops
        self._stopped = green.Event()
        self.raw = raw_upstream.RawUpstream(self._answer)
        context.closing.append(self.raw.stop)
        context.closing.append(self._stopped.send)

    def _answer(self, sock, request_id, number):
        for part in split_answer(wire_answer(self.body), self._count):
            self.clock.advance(self._apart_ms)
            sock.sendall(part)
            self.sent += 1
            if self._stops:
                self._stopped.wait()
                return False
            green.sleep_ms(LOOPBACK_MS)
        return True


@given('a store whose answers arrive in {count:d} parts, {ms:d} ms apart')
def start_slow_store(context, count, ms):
    context.slow = SlowStore(context, count, ms)


@given('a store whose answers stop after their first part')
def start_stopping_store(context):
    context.slow = SlowStore(context, 2, stops=True)


@when('the router requests {what} with a time-out of {ms:d} ms')
def make_request(context, what, ms):
    slow = context.slow
    outage = outage_.OutageTracker(slow.clock, 1000)
    store = store_.PlatformStore(slow.raw.address, ms, outage)
    cloud = cloud_api.PlatformCloud(slow.raw.address, ms, 'router-1')
    store._http = cloud._http = http_client.HttpClient(ms, slow.clock)
    context.closing.append(store.close)
    slow.body, call, context.expected = REQUESTS[what]
    calling = green.spawn(call, store, cloud)
    context.closing.append(calling.kill)
    # This limit is longer than each time-out here, and shorter than the
    # duration of a call whose time-out is missing.
    helpers.wait_until(lambda: calling.dead, 'the call is over')
    context.result = calling.wait()
    context.sent = slow.sent


@then('the whole answer is received with a single request')
def check_answer_complete(context):
    assert context.result == context.expected, context.result
    assert len(context.slow.raw.requests) == 1


@then('the call fails with the reason silent')
def check_call_silent(context):
    assert isinstance(context.result, failures.Failure), context.result
    assert context.result.reason == 'silent', context.result


@then('the call fails after fewer than {count:d} parts')
def check_fails_before_part(context, count):
    assert context.sent < count, context.sent


class Peer:
    """A peer that knows an upstream that the router does not know."""

    def call(self, address, method, request, *args, **kwargs):
        assert method == 'FetchUpstreams', method
        upstream = pb.Upstream(
            name='a',
            address='10.0.0.1:1',
            service='pool',
            slots=4,
            failure_domain='fd-1',
        )
        record = pb.UpstreamRecord(
            upstream=upstream, state=upstreams_.LIVE, revision=9
        )
        return pb.UpstreamsReply(upstreams=[record], revision=9)


def call_count(context, kind):
    """Return the number of calls of the store for a kind."""
    path = f'{names.OBJECTS_PATH}/{kind}'
    return context.standin.app.calls.get(path, 0)


def start_router(context, watches=True):
    """Start a router's fleet state with a stand-in of the store."""
    context.clock = clock_.ManualClock()
    context.standin = store_standin.StoreStandin()
    context.closing.append(context.standin.stop)
    file = pb.RouterFile(
        router=ini.defaults(pb.RouterSettings, name='r1'),
        platform=ini.defaults(
            pb.PlatformSettings,
            objects=context.standin.address,
            cloud=context.standin.address,
        ),
        bounds=ini.defaults(pb.BoundsSettings),
    )
    checks = invariants.Invariants(prometheus_client.CollectorRegistry(), True)
    context.fleet_state = fleet_state_.FleetState(file, context.clock, checks)
    context.errors = []
    tasks = green.Tasks(lambda *error: context.errors.append(error))
    context.closing.append(tasks.stop)
    if not watches:
        context.fleet_state.watchers.should_watch = lambda kind: False
    context.fleet_state.start(tasks, lambda: False, lambda: None)


@given('a router that has watched the store for {ms:d} ms')
def start_watching_router(context, ms):
    start_router(context)
    for kind in itertools.chain(*KINDS.values()):
        helpers.wait_until(
            lambda kind=kind: call_count(context, kind) == 2,
            f'a listing and a watch of {kind}',
        )
    context.clock.advance(ms)


@given('a router that does not watch the store')
def start_router_without_watches(context):
    start_router(context, watches=False)
    for kind in itertools.chain(*KINDS.values()):
        helpers.wait_until(
            lambda kind=kind: call_count(context, kind) == 1,
            f'a listing of {kind}',
        )


@when('a call of the router is rejected, and the store answers again')
def reject_store_call(context):
    store = context.fleet_state.store

    def is_settled():
        # The router registers once; after that it has no calls to make.
        calls = store.calls
        green.sleep_ms(60 * LOOPBACK_MS)
        return store.calls == calls

    helpers.wait_until(is_settled, 'no call under way')
    context.fleet_state.outage.record_failure('429')


@then('the router detects the recovery by a probe')
def check_recovery_detected(context):
    helpers.wait_until(
        lambda: not context.fleet_state.outage.is_out, 'an answer'
    )


@when('another call of the router fails and the next one is answered')
def fail_and_answer_calls(context):
    context.fleet_state.outage.record_failure('silent')
    context.fleet_state.outage.record_answer()


@when("{ms:d} ms pass on the router's clock")
def router_time_passes(context, ms):
    context.clock.advance(ms)


@when('a call of the router is answered, and then an earlier one fails')
def answer_then_fail_earlier_call(context):
    context.fleet_state.outage.record_answer()
    context.clock.advance(500)
    context.fleet_state.outage.record_failure('silent', 1500)
    context.clock.advance(500)
    context.fleet_state.outage.record_answer()


@when('a second peer reports an outage after long reports by a first one')
def report_outages_by_two_peers(context):
    fleet_state = context.fleet_state
    catch_up = catch_up_.CatchUp(
        context.clock, fleet_state, Peer(), lambda name, *args: None
    )
    peering = peering_.Peering(
        context.clock,
        fleet_state,
        helpers.make_limits(context.clock),
        None,
        None,
        catch_up,
    )

    def report_outage(name, rounds):
        member = pb.Member(name=name, incarnation=1)
        for _ in range(rounds):
            peering.receive(pb.Beacon(member=member, outage_felt=True))
            green.sleep_ms(2 * LOOPBACK_MS)
            context.clock.advance(250)

    report_outage('r3', 20)
    for kind in itertools.chain(*KINDS.values()):
        assert call_count(context, kind) == 3, kind
    for _ in range(4):
        report_outage('r3', 1)
        report_outage('r2', 1)


@then('the router has restarted the watch on the upstreams a second time')
def check_watch_restarted_twice(context):
    helpers.wait_until(
        lambda: call_count(context, names.UPSTREAM_KIND) == 4,
        'a watch after the second outage',
    )


@when('a peer reports repeatedly that the store does not answer')
def report_outage_repeatedly(context):
    serving = helpers.make_limits(context.clock)
    fleet_state = context.fleet_state
    catch_up = catch_up_.CatchUp(
        context.clock, fleet_state, Peer(), lambda name, *args: None
    )
    peering = peering_.Peering(
        context.clock, fleet_state, serving, None, None, catch_up
    )
    member = pb.Member(name='r2', incarnation=1)
    # Beside the first watches.
    helpers.wait_until(
        lambda: call_count(context, store_.PROBE_KIND), 'a probe'
    )
    context.probes = call_count(context, store_.PROBE_KIND)
    for _ in range(20):
        peering.receive(pb.Beacon(member=member, outage_felt=True))
        # Long enough for the calls of another restart to arrive.
        green.sleep_ms(2 * LOOPBACK_MS)
        context.clock.advance(250)


@then('the router has probed the store once')
def check_probed_once(context):
    probes = call_count(context, store_.PROBE_KIND) - context.probes
    assert probes == 1, context.standin.app.calls


@when('a peer announces a newer state of the upstreams')
def announce_newer_upstreams(context):
    catch_up = catch_up_.CatchUp(
        context.clock,
        context.fleet_state,
        Peer(),
        lambda name, func, *args: func(*args),
    )
    beacon = pb.Beacon(
        member=pb.Member(name='r2', peer_address='10.0.0.2:1'),
        upstreams_revision=9,
    )
    catch_up.fetch_if_behind(beacon)
    context.clock.advance(1000)
    catch_up.fetch_if_behind(beacon)
    assert context.fleet_state.upstream_table.get('a') is not None


@when('a peer announces a newer state of the configuration')
def announce_newer_configuration(context):
    context.fleet_state.restart_outdated_watches('config')


@then('the router restarts the watch on the {what}')
def check_watch_restarted(context, what):
    for kind in KINDS[what]:
        helpers.wait_until(
            lambda kind=kind: call_count(context, kind) == 3,
            f'another watch on {kind}',
        )


@then('the router has watched the {what} once')
def check_watched_once(context, what):
    # Watches that are restarted end in one iteration of the event loop; their
    # next calls would arrive within this time.
    green.sleep_ms(10 * LOOPBACK_MS)
    for kind in KINDS[what]:
        assert call_count(context, kind) == 2, (
            kind,
            call_count(context, kind),
        )
    assert not context.errors, context.errors


class HalvingStore:
    """Lists no objects; sends each half of a watch's answer when told to."""

    def __init__(self, context):
        self.halves = [green.Event(), green.Event()]
        self.raw = raw_upstream.RawUpstream(self._answer)
        context.closing.append(self.raw.stop)

    @property
    def watches(self):
        parameter = f'{names.WATCH}='.encode()
        return sum(parameter in head for head in self.raw.requests)

    def _answer(self, sock, request_id, number):
        if not self.watches:
            listing = {
                names.ITEMS: [],
                names.HAS_MORE: False,
                names.AT_REVISION: 1,
            }
            sock.sendall(wire_answer(listing))
            return True
        data = wire_answer(CHANGES)
        if self.watches > 1:
            sock.sendall(data)
            return True
        middle = len(data) - 20
        for half, part in zip(
            self.halves, (data[:middle], data[middle:]), strict=True
        ):
            half.wait()
            sock.sendall(part)
        return True


@given('a watch whose answer arrives in two halves')
def start_halved_watch(context):
    context.clock = clock_.ManualClock()
    context.halving = HalvingStore(context)
    context.listener = store_outage_steps.RecordingListener()
    # A long time-out, so that only a peer's newer state can end the watch.
    store = store_.PlatformStore(
        context.halving.raw.address,
        60_000,
        outage_.OutageTracker(context.clock, 1),
    )
    context.closing.append(store.close)
    context.watch = kind_watch.KindWatch(
        store, KIND, context.listener, context.clock
    )
    context.watch.step()
    context.stepping = green.spawn(context.watch.step)
    context.closing.append(context.stepping.kill)
    helpers.wait_until(lambda: context.halving.watches == 1, 'the watch')


@when('the first half arrives {ms:d} ms after the start of the watch')
def send_first_half(context, ms):
    context.clock.advance(ms)
    context.halving.halves[0].send()
    green.sleep_ms(10 * LOOPBACK_MS)


@when('a peer announces a newer state {ms:d} ms later')
def announce_newer_state(context, ms):
    context.clock.advance(ms)
    context.watch.on_peer_ahead()
    green.sleep_ms(10 * LOOPBACK_MS)


@then('the watch continues')
def check_watch_continues(context):
    assert not context.stepping.dead, 'the watch was ended'


@when('the second half arrives')
def send_second_half(context):
    context.halving.halves[1].send()
    helpers.wait_until(lambda: context.stepping.dead, "the step's end")


@then('the changes have been received by the first watch')
def check_received_by_first_watch(context):
    assert context.listener.names == ['x'], context.listener.names
    assert context.halving.watches == 1, context.halving.watches


@then('the changes have been received by a second watch')
def check_received_by_second_watch(context):
    assert context.stepping.dead, 'the watch still waits'
    context.watch.step()
    assert context.halving.watches == 2, context.halving.watches
    assert context.listener.names == ['x'], context.listener.names


@given(
    'a store with {pages:d} pages, which refuses the second one {count:d}'
    ' times because of its rate'
)
def store_with_pages(context, pages, count):
    second = f'{names.OBJECTS_PATH}/kind?{names.AFTER}=o-1'
    context.raw_store = raw_store.RawStore(
        page_size=1, refused={second: count}
    )
    for number in range(pages):
        context.raw_store.put(f'o-{number + 1}', '{}')


@when('the router lists the pages')
def list_pages(context):
    with mock.patch.object(green, 'sleep_ms'):
        context.listing = context.raw_store.client().list('kind')


@then('all {count:d} objects are listed with {calls:d} calls')
def all_listed(context, count, calls):
    found = [stored.name for stored in context.listing.objects]
    assert found == [f'o-{n + 1}' for n in range(count)], found
    paths = context.raw_store.paths
    assert len(paths) == calls, paths

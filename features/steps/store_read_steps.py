"""Answers of the platform's store that come in slowly, or not to the end."""

from __future__ import annotations

import itertools
import json

from behave import given
from behave import then
from behave import when
import helpers
import prometheus_client
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
TURN_MS = 5
"""Real time in which the other side takes what was sent over loopback."""

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

ASKED = {
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
"""What is asked for: the answer's body, the call, and what it returns."""


def wire_answer(body):
    data = json.dumps(body).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(data),
        data,
    )


def parts_of(data, count):
    """Return the head with the first byte, and the rest in so many parts."""
    head, _, body = data.partition(b'\r\n\r\n')
    # Spaces after the value are part of the JSON text.
    body += b' ' * count
    size = -(-len(body) // count)
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    head = head.rpartition(b':')[0] + b': %d\r\n\r\n' % len(body)
    return [head + parts[0], *parts[1:]]


class SlowStore:
    """Sends an answer in parts; its clock moves on before each.

    What the caller's bounds are worth is told by this clock alone, so that
    no part of the test depends on how fast the machine is.
    """

    def __init__(self, context, count=1, apart_ms=0, stops=False):
        self.clock = clock_.ManualClock()
        self.body = {}
        self.sent = 0
        self._count, self._apart_ms, self._stops = count, apart_ms, stops
        self._over = green.Event()
        self.raw = raw_upstream.RawUpstream(self._answer)
        context.closing.append(self.raw.stop)
        context.closing.append(self._over.send)

    def _answer(self, sock, request_id, number):
        for part in parts_of(wire_answer(self.body), self._count):
            self.clock.advance(self._apart_ms)
            sock.sendall(part)
            self.sent += 1
            if self._stops:
                self._over.wait()
                return False
            green.sleep_ms(TURN_MS)
        return True


@given('a store whose answers come in {count:d} parts, {ms:d} ms apart')
def answers_in_parts(context, count, ms):
    context.slow = SlowStore(context, count, ms)


@given('a store whose answers stop after their first part')
def answers_stop(context):
    context.slow = SlowStore(context, 2, stops=True)


@when('it is asked for {what} with a bound of {ms:d} ms')
def is_asked(context, what, ms):
    slow = context.slow
    outage = outage_.OutageTracker(slow.clock, 1000)
    store = store_.PlatformStore(slow.raw.address, ms, outage)
    cloud = cloud_api.PlatformCloud(slow.raw.address, ms, 'router-1')
    store._http = cloud._http = http_client.HttpClient(ms, slow.clock)
    context.closing.append(store.close)
    slow.body, call, context.wanted = ASKED[what]
    asking = green.spawn(call, store, cloud)
    context.closing.append(asking.kill)
    # Long for each bound here, and short for one that is not kept.
    helpers.wait_until(lambda: asking.dead, 'the call is over')
    context.result = asking.wait()
    context.sent = slow.sent


@then('the answer is whole, and was asked for once')
def is_whole(context):
    assert context.result == context.wanted, context.result
    assert len(context.slow.raw.requests) == 1


@then('the answer is given up as silent')
def is_given_up(context):
    assert isinstance(context.result, failures.Failure), context.result
    assert context.result.reason == 'silent', context.result


@then('it was after fewer than {count:d} parts')
def after_parts(context, count):
    assert context.sent < count, context.sent


class Peer:
    """A peer that knows an upstream more."""

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


def asked_for(context, kind):
    """Return how often the store was asked about a kind."""
    path = f'{names.OBJECTS_PATH}/{kind}'
    return context.standin.app.calls.get(path, 0)


def begin_router(context, watches=True):
    """Begin to follow a stand-in of the store, as one router does."""
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
def has_watched(context, ms):
    begin_router(context)
    for kind in itertools.chain(*KINDS.values()):
        helpers.wait_until(
            lambda kind=kind: asked_for(context, kind) == 2,
            f'a listing and a watch of {kind}',
        )
    context.clock.advance(ms)


@given('a router that does not watch the store')
def does_not_watch(context):
    begin_router(context, watches=False)
    for kind in itertools.chain(*KINDS.values()):
        helpers.wait_until(
            lambda kind=kind: asked_for(context, kind) == 1,
            f'a listing of {kind}',
        )


@when('a call of it is refused, and the store answers again')
def refused_once(context):
    store = context.fleet_state.store

    def is_settled():
        # It enters itself there once; after that it has nothing to ask.
        calls = store.calls
        green.sleep_ms(60 * TURN_MS)
        return store.calls == calls

    helpers.wait_until(is_settled, 'no call under way')
    context.fleet_state.outage.record_failure('429')


@then('it finds out by itself')
def finds_out(context):
    helpers.wait_until(
        lambda: not context.fleet_state.outage.is_out, 'an answer'
    )


@when('another call of it fails and the next one is answered')
def fails_and_answered(context):
    context.fleet_state.outage.record_failure('silent')
    context.fleet_state.outage.record_answer()


@when('a call of it is answered, and then one made before that fails')
def answered_then_failed(context):
    context.fleet_state.outage.record_answer()
    context.clock.advance(500)
    context.fleet_state.outage.record_failure('silent', 1500)
    context.clock.advance(500)
    context.fleet_state.outage.record_answer()


@when('another peer says so after one that is refused for long')
def peer_after_refused(context):
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

    def say(name, rounds):
        member = pb.Member(name=name, incarnation=1)
        for _ in range(rounds):
            peering.receive(pb.Beacon(member=member, outage_felt=True))
            green.sleep_ms(2 * TURN_MS)
            context.clock.advance(250)

    say('r3', 20)
    for kind in itertools.chain(*KINDS.values()):
        assert asked_for(context, kind) == 3, kind
    for _ in range(4):
        say('r3', 1)
        say('r2', 1)


@then('it has asked for the upstreams once more')
def asked_once_more(context):
    helpers.wait_until(
        lambda: asked_for(context, names.UPSTREAM_KIND) == 4,
        'a watch after the second outage',
    )


@when('a peer says that the store does not answer it, again and again')
def peer_says_out(context):
    serving = helpers.make_limits(context.clock)
    fleet_state = context.fleet_state
    catch_up = catch_up_.CatchUp(
        context.clock, fleet_state, Peer(), lambda name, *args: None
    )
    peering = peering_.Peering(
        context.clock, fleet_state, serving, None, None, catch_up
    )
    member = pb.Member(name='r2', incarnation=1)
    for _ in range(20):
        peering.receive(pb.Beacon(member=member, outage_felt=True))
        # Those of a watch that was begun anew would follow by then.
        green.sleep_ms(2 * TURN_MS)
        context.clock.advance(250)


@then('it has asked the store once whether it answers')
def has_asked(context):
    assert asked_for(context, store_.PROBE_KIND) == 1, (
        context.standin.app.calls
    )


@when('a peer has news on upstreams')
def news_on_upstreams(context):
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
    catch_up.compare(beacon)
    context.clock.advance(1000)
    catch_up.compare(beacon)
    assert context.fleet_state.upstream_table.get('a') is not None


@when('a peer has news on the configuration')
def news_on_configuration(context):
    context.fleet_state.refresh('config')


@then('it watches the {what} anew')
def watches_anew(context, what):
    for kind in KINDS[what]:
        helpers.wait_until(
            lambda kind=kind: asked_for(context, kind) == 3,
            f'another watch on {kind}',
        )


@then('it has watched the {what} once')
def watched_once(context, what):
    # All watches that end do so in one turn of the loop; what they ask next
    # would be here by then.
    green.sleep_ms(10 * TURN_MS)
    for kind in KINDS[what]:
        assert asked_for(context, kind) == 2, (kind, asked_for(context, kind))
    assert not context.errors, context.errors


class HalvingStore:
    """Lists nothing; its first watch is answered in two halves, when told."""

    def __init__(self, context):
        self.halves = [green.Event(), green.Event()]
        self.raw = raw_upstream.RawUpstream(self._answer)
        context.closing.append(self.raw.stop)

    @property
    def watches(self):
        wanted = f'{names.WATCH}='.encode()
        return sum(wanted in head for head in self.raw.requests)

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


@given('a watch whose answer comes in two halves')
def in_two_halves(context):
    context.clock = clock_.ManualClock()
    context.halving = HalvingStore(context)
    context.follower = store_outage_steps.Follower()
    # Long, so that only a peer's news can end the watch.
    store = store_.PlatformStore(
        context.halving.raw.address,
        60_000,
        outage_.OutageTracker(context.clock, 1),
    )
    context.closing.append(store.close)
    context.watch = kind_watch.KindWatch(
        store, KIND, context.follower, context.clock
    )
    context.watch.step()
    context.stepping = green.spawn(context.watch.step)
    context.closing.append(context.stepping.kill)
    helpers.wait_until(lambda: context.halving.watches == 1, 'the watch')


@when('the first half comes {ms:d} ms after it began')
def first_half(context, ms):
    context.clock.advance(ms)
    context.halving.halves[0].send()
    green.sleep_ms(10 * TURN_MS)


@when('a peer has news {ms:d} ms later')
def news_later(context, ms):
    context.clock.advance(ms)
    context.watch.on_peer_ahead()
    green.sleep_ms(10 * TURN_MS)


@then('it goes on')
def goes_on(context):
    assert not context.stepping.dead, 'the watch was given up'


@when('the second half comes')
def second_half(context):
    context.halving.halves[1].send()
    helpers.wait_until(lambda: context.stepping.dead, "the step's end")


@then('it has brought the news, and was asked for once')
def brought_at_once(context):
    assert context.follower.names == ['x'], context.follower.names
    assert context.halving.watches == 1, context.halving.watches


@then('it is asked for once more, and has brought the news')
def asked_after_second(context):
    assert context.stepping.dead, 'the watch waits on'
    context.watch.step()
    assert context.halving.watches == 2, context.halving.watches
    assert context.follower.names == ['x'], context.follower.names

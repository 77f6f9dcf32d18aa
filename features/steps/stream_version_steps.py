"""Steps for streams at upstreams of several software versions."""

from __future__ import annotations

import itertools
import re

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import histories
import raw_upstream
import upstream_steps
import version_model

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

LAST = 5
"""Id of the last event of each stream."""
PAUSE_MS = 30
"""Time between the events of a stream, in ms."""

SLOW_MS = 700
"""The same for a stream that outlasts the notice of its engine."""

_numbers = itertools.count(1)


class VersionEngine:
    """An engine whose events name its version."""

    def __init__(self, name, version):
        self.name, self.version = name, version
        self.breaks_at = lambda number: False
        """Returns whether a stream breaks off after its first event."""
        self.is_down = False
        self.pause_ms = PAUSE_MS
        self.streams = 0
        self.moves = []
        """Addresses that runs were to be moved to."""
        self.upstream = raw_upstream.RawUpstream(self._answer)

    def register(self, fleet, state=pb.UPSTREAM_STATE_LIVE):
        self.upstream.register(
            fleet,
            shape_.ENGINE_SERVICE,
            self.name,
            version=self.version,
            state=state,
        )

    def _answer(self, sock, request_id, number):
        head = self.upstream.requests[-1].decode()
        if not head.startswith('POST /chat/'):
            self.moves += [head] if names.MOVE_PATH in head else []
            sock.sendall(upstream_steps.make_head('', 'Content-Length: 0'))
            return False
        if self.is_down:
            return False
        found = re.search(rf'(?i)\r\n{names.LAST_EVENT}: (\d+)', head)
        first = int(found[1]) + 1 if found else 1
        self.streams += 1
        breaks = self.breaks_at(first)
        sock.sendall(
            upstream_steps.make_head(
                request_id,
                'Transfer-Encoding: chunked',
                'Content-Type: text/event-stream',
            )
        )
        for event in range(first, LAST + 1):
            text = f'id: {event}\ndata: {self.version}\n\n'.encode()
            sock.sendall(b'%x\r\n%b\r\n' % (len(text), text))
            green.sleep_ms(self.pause_ms)
            if breaks:
                return False
        sock.sendall(b'0\r\n\r\n')
        return True


@given(
    'a fleet of {count:d} routers with scripted engines of versions'
    ' "{versions}"'
)
def fleet_of_versions(context, count, versions):
    fleet = helpers.start_fleet(context, routers=count, engines=0)
    context.engines = [
        VersionEngine(f'raw-{number}', version)
        for number, version in enumerate(versions.split())
    ]
    for engine in context.engines:
        context.closing.append(engine.upstream.stop)
        engine.register(fleet)
    fleet_steps.wait_until_known(
        context, len(context.engines), shape_.ENGINE_SERVICE
    )


def stream(context, router, on_bytes=None, headers=()):
    return helpers.send_request(
        router.address,
        '/chat/x',
        body=b'letter %d' % next(_numbers),
        headers=[(names.TOKEN_COUNTS, '64,10'), *headers],
        on_bytes=on_bytes,
    )


def versions_in(answer):
    return set(re.findall(rb'data: (\w+)', answer.body))


def is_whole(answer):
    ids = helpers.event_ids(answer.body)
    return answer.complete and ids == list(range(1, LAST + 1))


@when('{count:d} streams break off after their first event')
def break_streams(context, count):
    for engine in context.engines:
        engine.breaks_at = lambda first: first == 1
    send_streams(context, count)


def send_streams(context, count):
    routers = itertools.cycle(context.fleet.running_routers())
    tasks = [green.spawn(stream, context, next(routers)) for _ in range(count)]
    context.answers = [task.wait() for task in tasks]


@then('each stream is complete, of one version')
def complete_of_one_version(context):
    wrong = [
        answer
        for answer in context.answers
        if not is_whole(answer) or len(versions_in(answer)) != 1
    ]
    assert not wrong, (len(wrong), wrong[:2])


@when(
    'all engines of "{gone}" and all but one of "{left}" crash with their'
    ' first stream'
)
def crash_engines(context, gone, left):
    spared = next(e for e in context.engines if e.version == left)
    for engine in context.engines:
        engine.breaks_at = lambda first: first == 1
        if engine is not spared:
            engine.breaks_at = _crash_of(engine)
    send_streams(context, 12)


def _crash_of(engine):
    def crash(first):
        engine.is_down = True
        return True

    return crash


@then('each stream is of one version, complete or broken at once')
def one_version_or_broken(context):
    for answer in context.answers:
        assert len(versions_in(answer)) <= 1, answer
        # A request whose first three engines have crashed is refused.
        is_refused = answer.status == 502 and b'crashes' in answer.body
        assert is_whole(answer) or not answer.complete or is_refused, answer
        assert answer.ms < 1500, answer.ms


@when('the router of {count:d} streams is killed after their first events')
def kill_router_of_streams(context, count):
    router = context.fleet.routers[0]
    context.begun = []

    def stop_once(answer):
        if answer not in context.begun:
            context.begun.append(answer)
        if len(context.begun) == count:
            router.stop()

    tasks = [
        green.spawn(stream, context, router, stop_once) for _ in range(count)
    ]
    for task in tasks:
        task.wait()
    assert len(context.begun) == count


@when('their callers take them up at the other routers')
def take_up(context):
    routers = itertools.cycle(context.fleet.running_routers())
    context.answers = []
    for begun in context.begun:
        last = helpers.event_ids(begun.body)[-1]
        answer = stream(
            context,
            next(routers),
            headers=[
                (names.LAST_EVENT, str(last)),
                ('Resumes', begun.request_id),
            ],
        )
        answer.body = begun.body + answer.body
        context.answers.append(answer)


@when('a caller takes up a stream that no router knows')
def take_up_unknown(context):
    router = context.fleet.routers[0]
    headers = [(names.LAST_EVENT, '2'), ('Resumes', 'nobody-knows')]
    context.last = stream(context, router, headers=headers)


@then('it is refused at once with a retry time, and no engine was asked')
def refused_at_once(context):
    assert context.last.status == 503, context.last
    assert float(context.last.header(names.RETRY_AFTER)) > 0, context.last
    assert context.last.ms < 500, context.last.ms
    assert not sum(engine.streams for engine in context.engines)


@when('the engine of a stream of "{version}" leaves')
def engine_leaves(context, version):
    router = context.fleet.routers[0]
    (leaving,) = [e for e in context.engines if e.version == version]
    others = [e for e in context.engines if e is not leaving]
    for engine in others:
        engine.register(context.fleet, pb.UPSTREAM_STATE_LEAVING)
    helpers.wait_until(
        lambda: stream(context, router).body.count(b'data: v1') == LAST,
        'only the engine of the version serves',
    )
    leaving.pause_ms = SLOW_MS
    task = green.spawn(stream, context, router)
    helpers.wait_until(lambda: leaving.streams > 1, 'the stream begins')
    for engine in others:
        engine.register(context.fleet)
    leaving.register(context.fleet, pb.UPSTREAM_STATE_LEAVING)
    context.last = task.wait()
    context.leaving = leaving


@then('the stream is moved nowhere')
def moved_nowhere(context):
    assert not context.leaving.moves, context.leaving.moves


@then(
    '{count:d} random histories of streams that are taken up keep their'
    ' versions'
)
def versions_kept(context, count):
    histories.run(version_model.VersionHistory, count, steps=30)


@when('the engine of a stream is upgraded to "{version}" under its id')
def upgrade_engine(context, version):
    (engine,) = context.engines
    engine.pause_ms = SLOW_MS
    task = green.spawn(stream, context, context.fleet.routers[0])
    helpers.wait_until(lambda: engine.streams, 'the stream begins')
    engine.version = version
    engine.register(context.fleet)
    context.last = task.wait()


@then('the stream is broken at once, with events of "{version}" only')
def broken_with_events(context, version):
    assert not context.last.complete, context.last
    assert versions_in(context.last) == {version.encode()}, context.last
    assert context.last.ms < 2 * SLOW_MS, context.last.ms


@given(
    'upstreams of "{missing}" whose entries are missing after an outage, and'
    ' one of "{live}"'
)
def missing_entries(context, missing, live):
    context.clock = clock_.ManualClock(1_000_000)
    context.known = upstreams_.UpstreamTable(context.clock, 2000, 60_000)
    context.revision = 0
    for name, version in (('u-1', missing), ('u-2', missing), ('u-3', live)):
        merge(context, name, version, pb.UPSTREAM_STATE_LIVE)
    for name in ('u-1', 'u-2'):
        merge(context, name, missing, pb.UPSTREAM_STATE_LAPSED)
    context.clock.advance(3000)


def merge(context, name, version, state):
    context.revision += 1
    context.known.merge(
        pb.UpstreamRecord(
            upstream=pb.Upstream(
                name=name,
                address='127.0.0.1:9',
                service='pool',
                slots=4,
                version=version,
            ),
            state=state,
            revision=context.revision,
        )
    )


@then('streams of "{missing}" go on nowhere, and those of "{live}" there')
def go_on_nowhere(context, missing, live):
    assert not context.known.at_version('pool', missing)
    (view,) = context.known.at_version('pool', live)
    assert view.name == 'u-3'


@when('the entry of "{version}" is missing too')
def all_missing(context, version):
    merge(context, 'u-3', version, pb.UPSTREAM_STATE_LAPSED)
    context.clock.advance(3000)


@then('streams of "{version}" go on at theirs')
def go_on_at_theirs(context, version):
    found = {view.name for view in context.known.at_version('pool', version)}
    assert found == {'u-1', 'u-2'}, found


@given(
    'a fleet of {count:d} routers with scripted engines of versions'
    ' "{versions}", and a time limit of {ms:d} ms'
)
def fleet_with_time_limit(context, count, versions, ms):
    context.route_config = fleet_steps.replace_route_keys(
        fleet_steps.CONFIG, 'chat', timeout_ms=ms, target_ms=200
    )
    fleet_of_versions(context, count, versions)
    fleet_steps.change_config(context, context.route_config)


@when(
    'a stream of "{old}" is broken off, "{new}" replaces "{old_again}", and'
    ' {what}'
)
def version_replaced(context, old, new, old_again, what):
    (engine,) = context.engines
    engine.breaks_at = lambda first: engine.streams > 0
    engine.pause_ms = 100
    context.begun = stream(context, context.fleet.routers[0])
    assert helpers.event_ids(context.begun.body), context.begun
    assert not context.begun.complete, context.begun
    engine.register(context.fleet, pb.UPSTREAM_STATE_LEAVING)
    context.engines.append(VersionEngine('raw-new', new))
    context.closing.append(context.engines[-1].upstream.stop)
    context.engines[-1].register(context.fleet)
    fleet_steps.wait_until_known(context, 1, shape_.ENGINE_SERVICE)
    if what == 'all routers are replaced':
        for router in context.fleet.running_routers():
            router.stop()
        for router in list(context.fleet.routers):
            context.fleet.restart_router(router)
        fleet_steps.wait_until_known(context, 1, shape_.ENGINE_SERVICE)


@when('its caller takes it up {ms:d} ms later')
def take_up_later(context, ms):
    green.sleep_ms(ms)
    last = helpers.event_ids(context.begun.body)[-1]
    headers = [
        (names.LAST_EVENT, str(last)),
        ('Resumes', context.begun.request_id),
    ]
    router = context.fleet.running_routers()[0]
    context.last = stream(context, router, headers=headers)


@then('it is refused, and no engine of "{version}" was asked')
def refused_without_engine(context, version):
    assert context.last.status == 503, context.last
    asked = [
        e.name for e in context.engines if e.version == version and e.streams
    ]
    assert not asked, asked


@given(
    '{routers:d} routers that know one version, of which {count:d} are cut off'
    ' together'
)
def cut_off_together(context, routers, count):
    assert routers == version_model.COUNT
    context.history = version_model.VersionHistory()
    context.apart = set(range(routers - count, routers))
    context.history.cut_from_all(context.apart)


@when('another version starts, and streams of it begin at the other routers')
def begin_at_other_version(context):
    context.history.pass_time(100)
    context.history.set_version('b', 2)
    context.begun = [f'stream-{number}' for number in range(20)]
    for number, id_ in enumerate(context.begun):
        router = context.history.routers[number % min(context.apart)]
        router.versions.begin(
            version_model.make_exchange(id_, None), version_model.SERVICE, 'b'
        )


@then('no stream goes on at another version at the routers that are cut off')
def check_not_joined(context):
    found = [take_up_at(context, n, i) for n, i in product_of(context)]
    joined = [f for f in found if not isinstance(f, failures.Failure)]
    assert set(joined) <= {'b'}, joined


@then('with the store back, streams of the version that all know go on there')
def check_go_on(context):
    history = context.history
    history.cut_from_all(set())
    history.set_version('b', 0)
    history.pass_time(2 * version_model.WINDOW_MS)
    found = [take_up_at(context, n, i) for n, i in product_of(context)]
    assert set(found) == {'a'}, found


def product_of(context):
    return itertools.product(sorted(context.apart), context.begun)


def take_up_at(context, number, request_id):
    return context.history.routers[number].versions.find(
        version_model.make_exchange('again', request_id),
        version_model.SERVICE,
    )

"""Steps of streams: passed on, gone on with, moved, left by their callers."""

from __future__ import annotations

import itertools
import json

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import engine_control
from peridotmast.platform import names
from peridotmast.standin import answers
from peridotmast.standin import engine as engine_
from peridotmast.wire import connection as connection_
from peridotmast.wire import event_reader

BODY = b'letter'


@when('a caller streams {tokens:d} tokens from "{path}"')
def streams(context, tokens, path):
    context.tokens = tokens
    context.moments = []
    clock = clock_.SystemClock()
    context.last = fleet_steps.stream(
        fleet_steps.router_address(context),
        path,
        tokens,
        BODY,
        on_bytes=lambda answer: context.moments.append(clock.now()),
    )


def upstream_of(context, request_id):
    return next(
        (
            guest
            for guest in helpers.guests(context, shape_.ENGINES)
            if guest.upstream.app.runs[request_id]
        ),
        None,
    )


def stream_and(context, tokens, path, act):
    """Stream, and do something to its upstream after a few events."""
    context.tokens = tokens
    done = []

    def on_bytes(answer):
        if not done and len(helpers.event_ids(answer.body)) >= 5:
            done.append(upstream_of(context, answer.request_id))
            act(done[0])

    context.last = fleet_steps.stream(
        fleet_steps.router_address(context),
        path,
        tokens,
        BODY,
        on_bytes=on_bytes,
    )
    context.first_upstream = done[0] if done else None


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its upstream is'
    ' killed'
)
def stream_killed(context, tokens, path):
    stream_and(context, tokens, path, context.fleet.lose)


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its connection'
    ' goes silent'
)
def stream_silent(context, tokens, path):
    stream_and(context, tokens, path, lambda guest: guest.upstream.mute())


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its upstream pauses'
    ' for {ms:d} ms'
)
def stream_pauses(context, tokens, path, ms):
    stream_and(context, tokens, path, lambda guest: guest.upstream.mute(ms))


@then('its events are complete and in order')
def complete(context):
    assert fleet_steps.is_complete(context.last, BODY, context.tokens), (
        context.last.failure,
        helpers.event_ids(context.last.body),
    )


@then('the first event came well before the last')
def spread(context):
    assert context.moments[-1] - context.moments[0] > 100, context.moments


@then('the answer has the headers of its first upstream only')
def first_headers(context):
    seals = [v for n, v in context.last.headers if n == names.SEAL]
    assert len(seals) == 1, seals
    assert seals[0].startswith(context.first_upstream.name + '.'), seals


@then('the stream is visibly broken after less than {ms:d} ms')
def broken_soon(context, ms):
    assert not context.last.complete, context.last
    assert context.last.ms < ms, context.last.ms


@then('the stream is visibly broken and was run once')
def broken_once(context):
    assert context.last.status == 200 and not context.last.complete
    assert helpers.run_count(context, context.last.request_id) == 1


@then('each is complete and in order, or visibly broken')
def whole_or_broken(context):
    answers = [task.wait() for task in context.tasks]
    for body, answer in zip(context.bodies, answers):
        whole = fleet_steps.is_complete(answer, body, context.tokens)
        assert whole or not answer.complete, answer
    assert any(answer.complete for answer in answers)


@then('each is complete and in order')
def each_whole(context):
    context.answers = [task.wait() for task in context.tasks]
    for body, answer in zip(context.bodies, context.answers):
        whole = fleet_steps.is_complete(answer, body, context.tokens)
        assert whole, (answer.failure, helpers.event_ids(answer.body)[-3:])


@then('of a stream cut anywhere only whole events are passed on')
def whole_events_only(context):
    events = [b'id: %d\ndata: x y\n\n' % n for n in range(1, 5)]
    stream = b''.join(events)
    ends = {len(b''.join(events[:n])) for n in range(len(events) + 1)}
    for first, second in itertools.combinations(range(len(stream)), 2):
        reader = event_reader.EventReader()
        passed = reader.feed(stream[:first])
        passed += reader.feed(stream[first:second])
        assert len(passed) == max(e for e in ends if e <= second), passed
        reader.restart()
        rest = reader.feed(stream)
        assert passed + rest == stream, (first, second, rest)


def open_raw(context, path, tokens=400):
    sock = helpers.raw_connect(fleet_steps.router_address(context))
    sock.sendall(
        (
            f'POST {path} HTTP/1.1\r\nHost: {shape_.HOST}\r\n'
            f'{names.REQUEST_ID}: leaver\r\n'
            f'{names.AUTHORIZATION}: {helpers.KEY}\r\n'
            f'{names.TOKEN_COUNTS}: 10,{tokens}\r\nContent-Length: 0\r\n\r\n'
        ).encode()
    )
    return sock


@when('a caller of "{path}" closes in the middle of its stream')
def leaves_stream(context, path):
    sock = open_raw(context, path)
    assert sock.recv(1000)
    green.sleep_ms(100)
    sock.close()


@when('a caller of "{path}" closes while it waits')
def leaves_waiting(context, path):
    sock = open_raw(context, path)
    helpers.wait_until(
        lambda: helpers.arrival_count(context, 'leaver'), 'its arrival'
    )
    sock.close()


@then('the upstream hears of it within {ms:d} ms')
def hears_of_it(context, ms):
    def heard():
        return any(
            'leaver' in guest.upstream.app.left_early
            for guest in context.fleet.guests
        )

    helpers.wait_until(heard, 'the upstream hears', ms)


@then('it was not run again')
def not_again(context):
    green.sleep_ms(300)
    assert helpers.arrival_count(context, 'leaver') == 1


@when('a caller asks for a long stream and reads nothing')
def reads_nothing(context):
    context.sock = open_raw(context, '/once/x', 200_000)
    context.closing.append(context.sock.close)
    for guest in helpers.guests(context, shape_.ENGINES):
        guest.upstream.times.step_ms = 0.2
        guest.upstream.times.stride = 2000


@then('the router gives it up')
def gives_up(context):
    router = context.fleet.routers[0]
    helpers.wait_until(
        lambda: router.serving.gateway.in_flight == 0,
        'the router gives it up',
        15_000,
    )


@when('the fullest failure domain is reclaimed with {ms:d} ms notice')
def reclaim_fullest(context, ms):
    engines = [
        guest
        for guest in helpers.guests(context, shape_.ENGINES)
        if guest.record.reclaimable and not guest.upstream.app.leaves_at
    ]
    fullest = max(engines, key=lambda guest: guest.upstream.app.in_work)
    assert fullest.upstream.app.in_work, 'nothing is in work there'
    domain = fullest.record.upstream.failure_domain
    context.fleet.reclaim(domain, ms)
    green.sleep_ms(100)


def totals(context, name):
    return sum(
        guest.upstream.totals[name]
        for guest in context.fleet.guests
        if guest.record.upstream.service == shape_.ENGINES
    )


@then('none was run twice and nothing was read again')
def nothing_again(context):
    for answer in context.answers:
        assert helpers.run_count(context, answer.request_id) == 1, answer
    assert totals(context, 'recomputed') == 0
    assert totals(context, 'moved') > 0


@then('nothing was moved')
def nothing_moved(context):
    assert totals(context, 'moved') == 0


@when('an engine says that it leaves while callers go on asking')
def leaves_under_load(context):
    context.leaver = helpers.guests(context, shape_.ENGINES)[0]
    clock = context.fleet.clock
    context.left_at = clock.now() + 300
    green.spawn_after_ms(300, context.fleet.announce_leaving, context.leaver)
    tasks = []
    for number in range(120):
        address = fleet_steps.router_address(context, number % 3)
        tasks.append(
            green.spawn(fleet_steps.stream, address, '/chat/x', 4, b'%d'
                        % number)
        )  # fmt: skip
        green.sleep_ms(15)
    for task in tasks:
        assert task.wait().status == 200


@then('no request reaches it later than {ms:d} ms after')
def none_late(context, ms):
    late = [
        at
        for at, _ in context.leaver.upstream.app.arrivals
        if at > context.left_at + ms
    ]
    assert not late, (context.left_at, late)
    assert context.leaver.upstream.app.arrivals, 'it got work before'


@when("an engine leaves and one router's store calls fail from then on")
def leaves_and_cut(context):
    context.cut = context.fleet.routers[0]
    context.cut.store.address = '127.0.0.1:1'
    context.leaver = helpers.guests(context, shape_.ENGINES)[0]
    context.left_at = context.fleet.clock.now()
    context.fleet.store.app.set_faults(0)
    for address in list(context.cut.store._http._pool._idle):
        context.cut.store._http._pool.close_idle(address)
    context.fleet.announce_leaving(context.leaver)


@then('that router sends it nothing after {ms:d} ms')
def cut_sends_nothing(context, ms):
    green.sleep_ms(ms)
    for number in range(30):
        body = b'cut %d' % number
        answer = fleet_steps.stream(context.cut.address, '/chat/x', 2, body)
        assert answer.status == 200, answer
    none_late(context, ms) if context.leaver.upstream.app.arrivals else None


@when("the store is out and an engine's entry runs out meanwhile")
def entry_runs_out(context):
    context.leaver = helpers.guests(context, shape_.ENGINES)[0]
    context.fleet.store.app.set_faults(600, outage=1.0)
    green.sleep_ms(300)
    context.states = []
    for router in context.fleet.serving():
        router.upstream_table.listen(
            lambda view: context.states.append((view.name, view.record.state))
        )
    context.fleet.drop_entry(context.leaver)
    green.sleep_ms(400)


@when('the entry is back {ms:d} ms after the store')
def entry_back(context, ms):
    green.sleep_ms(ms)
    context.fleet._write_entry(context.leaver)


@then('the engine was never taken for gone')
def never_gone(context):
    green.sleep_ms(2000)
    gone = [
        s for n, s in context.states if n == context.leaver.name and s == 3
    ]
    assert not gone, context.states


@then('the engine is taken for gone within {ms:d} ms')
def taken_for_gone(context, ms):
    helpers.wait_until(
        lambda: all(
            router.upstream_table.get(context.leaver.name).record.state == 3
            for router in context.fleet.serving()
        ),
        'gone everywhere',
        ms,
    )


def send_to(context, engine, request_id, body, extra=()):
    """Send a stream's request to an engine; return its connection."""
    clock = clock_.SystemClock()
    conn = connection_.Connection(engine.address, clock)
    context.closing.append(conn.close)
    assert conn.connect(1000) is None
    headers = [
        ('Host', 'engine'),
        (names.REQUEST_ID, request_id),
        (names.TOKEN_COUNTS, '4,200'),
        *extra,
    ]
    deadline = clock.now() + helpers.LONG_MS
    assert conn.send('POST', '/x', headers, body, deadline) is None
    head = conn.read_head('POST', deadline)
    assert head.status == 200, head
    return conn


@given('two engines that run a stream each and a third one')
def two_streams(context):
    times = engine_.EngineTimes(step_ms=5)
    context.engines = [engine_.Engine(f'e-{n}', times=times) for n in range(3)]
    for engine in context.engines:
        context.closing.append(engine.stop)
    context.bodies = {'one': b'first prompt', 'two': b'second prompt'}
    for engine, (name, body) in zip(context.engines, context.bodies.items()):
        send_to(context, engine, name, body)
    green.sleep_ms(100)


@when('both streams are moved to the third one under one handle')
def move_both(context):
    control = engine_control.EngineControl(2000)
    *sources, target = context.engines
    context.copies = {}
    for engine, name in zip(sources, context.bodies):
        engine.app.numbers = itertools.count(77)
        copy = control.move(engine.address, name, target.address)
        assert copy.is_at_target, copy
        context.copies[name] = copy.location
    handles = {at.rpartition('/')[2] for at in context.copies.values()}
    assert handles == {'h77'}, context.copies


@then('each goes on there as itself')
def as_itself(context):
    for name, body in context.bodies.items():
        conn = send_to(
            context, context.engines[2], name, body,
            [(names.COPY_FROM, context.copies[name]), (names.LAST_EVENT, '1')],
        )  # fmt: skip
        rest = conn.read_all(clock_.SystemClock().now() + 8000, 1 << 20)
        texts = [
            json.loads(line[6:])['text']
            for line in rest.decode().splitlines()
            if line.startswith('data: ')
        ]
        seed = answers.answer_seed('', '', body.decode())
        whole = ''.join(answers.token(seed, at) for at in range(200))
        assert whole.endswith(''.join(texts)), (name, texts[:3])

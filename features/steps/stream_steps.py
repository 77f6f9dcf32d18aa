"""Steps for streams: forwarding, resuming, migration and disconnects."""

from __future__ import annotations

import itertools
import json

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import raw_upstream

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
def stream_tokens(context, tokens, path):
    context.tokens = tokens
    context.event_times = []
    clock = clock_.SystemClock()
    context.last = fleet_steps.stream(
        fleet_steps.router_address(context),
        path,
        tokens,
        BODY,
        on_bytes=lambda answer: context.event_times.append(clock.now()),
    )


def find_upstream(context, request_id):
    return next(
        (
            guest
            for guest in helpers.guests(context, shape_.ENGINE_SERVICE)
            if guest.upstream.app.runs[request_id]
        ),
        None,
    )


def stream_with_action(context, tokens, path, act):
    """Stream, and call `act` with the upstream after five events."""
    context.tokens = tokens
    done = []

    def on_bytes(answer):
        if not done and len(helpers.event_ids(answer.body)) >= 5:
            done.append(find_upstream(context, answer.request_id))
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
def stream_and_kill(context, tokens, path):
    stream_with_action(context, tokens, path, context.fleet.kill_upstream)


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its connection'
    ' goes silent'
)
def stream_and_silence(context, tokens, path):
    stream_with_action(
        context, tokens, path, lambda guest: guest.upstream.stall_streams()
    )


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its upstream pauses'
    ' for {ms:d} ms'
)
def stream_and_pause(context, tokens, path, ms):
    stream_with_action(
        context, tokens, path, lambda guest: guest.upstream.stall_streams(ms)
    )


@then('the events of the stream are complete and in order')
def events_complete(context):
    assert fleet_steps.is_complete(context.last, BODY, context.tokens), (
        context.last.failure,
        helpers.event_ids(context.last.body),
    )


@then('the first event arrives well before the last')
def events_arrive_spread(context):
    assert context.event_times[-1] - context.event_times[0] > 100, (
        context.event_times
    )


@then('the response has only the headers of its first upstream')
def only_headers_of_first_upstream(context):
    seals = [v for n, v in context.last.headers if n == names.SEAL]
    assert len(seals) == 1, seals
    assert seals[0].startswith(context.first_upstream.name + '.'), seals


@then('the stream ends incomplete after less than {ms:d} ms')
def incomplete_within(context, ms):
    assert not context.last.complete, context.last
    assert context.last.ms < ms, context.last.ms


@then('the stream ends incomplete and the request ran once')
def incomplete_and_ran_once(context):
    assert context.last.status == 200 and not context.last.complete
    assert helpers.run_count(context, context.last.request_id) == 1


@then('each stream is complete and in order, or detectably incomplete')
def each_stream_complete_or_detectably_incomplete(context):
    answers = [task.wait() for task in context.tasks]
    for body, answer in zip(context.bodies, answers):
        is_whole = fleet_steps.is_complete(answer, body, context.tokens)
        assert is_whole or not answer.complete, answer
    assert any(answer.complete for answer in answers)


@then('each stream is complete and in order')
def each_stream_complete(context):
    context.answers = [task.wait() for task in context.tasks]
    for body, answer in zip(context.bodies, context.answers):
        is_whole = fleet_steps.is_complete(answer, body, context.tokens)
        assert is_whole, (answer.failure, helpers.event_ids(answer.body)[-3:])


@then('only complete events are forwarded wherever a stream is cut')
def only_complete_events(context):
    events = [b'id: %d\ndata: x y\n\n' % n for n in range(1, 5)]
    stream = b''.join(events)
    ends = {len(b''.join(events[:n])) for n in range(len(events) + 1)}
    for first, second in itertools.combinations(range(len(stream)), 2):
        reader = event_reader.EventReader()
        forwarded = reader.feed(stream[:first])
        forwarded += reader.feed(stream[first:second])
        assert len(forwarded) == max(e for e in ends if e <= second), forwarded
        reader.restart()
        rest = reader.feed(stream)
        assert forwarded + rest == stream, (first, second, rest)


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


@when('a caller of "{path}" disconnects in the middle of its stream')
def disconnect_in_stream(context, path):
    sock = open_raw(context, path)
    assert sock.recv(1000)
    green.sleep_ms(100)
    sock.close()


@when('a caller of "{path}" disconnects while it waits')
def disconnect_while_waiting(context, path):
    sock = open_raw(context, path)
    helpers.wait_until(
        lambda: helpers.arrival_count(context, 'leaver'),
        'the request has arrived at the upstream',
    )
    sock.close()


@then('the upstream of the request detects the disconnect within {ms:d} ms')
def upstream_detects_disconnect(context, ms):
    def detected():
        return any(
            'leaver' in guest.upstream.app.abandoned
            for guest in context.fleet.instances
        )

    helpers.wait_until(detected, 'the upstream detects the disconnect', ms)


@then('the abandoned request was not run again')
def not_run_again(context):
    green.sleep_ms(300)
    assert helpers.arrival_count(context, 'leaver') == 1


@when('a caller requests a long stream and reads nothing')
def request_and_read_nothing(context):
    context.sock = open_raw(context, '/once/x', 200_000)
    context.closing.append(context.sock.close)
    for guest in helpers.guests(context, shape_.ENGINE_SERVICE):
        guest.upstream.profile.step_ms = 0.2
        guest.upstream.profile.tokens_per_event = 2000


@then('the router aborts the request')
def router_aborts(context):
    router = context.fleet.routers[0]
    helpers.wait_until(
        lambda: router.serving.gateway.in_flight == 0,
        'the router aborts the request',
        15_000,
    )


@when('the fullest failure domain is reclaimed with {ms:d} ms notice')
def reclaim_fullest_failure_domain(context, ms):
    engines = [
        guest
        for guest in helpers.guests(context, shape_.ENGINE_SERVICE)
        if guest.record.reclaimable and not guest.upstream.app.leaves_at
    ]
    fullest = max(engines, key=lambda guest: guest.upstream.app.in_progress)
    assert fullest.upstream.app.in_progress, (
        'no engine has a request in progress'
    )
    domain = fullest.record.upstream.failure_domain
    context.fleet.reclaim(domain, ms)
    green.sleep_ms(100)


def engine_total(context, name):
    return sum(
        guest.upstream.totals[name]
        for guest in context.fleet.instances
        if guest.record.upstream.service == shape_.ENGINE_SERVICE
    )


@then('no request ran twice and no prefill was recomputed')
def nothing_recomputed(context):
    for answer in context.answers:
        assert helpers.run_count(context, answer.request_id) == 1, answer
    assert engine_total(context, 'recomputed') == 0
    assert engine_total(context, 'moved') > 0


@then('no stream was migrated')
def no_stream_migrated(context):
    assert engine_total(context, 'moved') == 0


@when('an engine announces that it leaves while callers send requests')
def engine_leaves_under_load(context):
    context.leaver = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
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


@then('no request reaches that engine more than {ms:d} ms later')
def no_late_request(context, ms):
    late_arrivals = [
        at
        for at, _ in context.leaver.upstream.app.arrivals
        if at > context.left_at + ms
    ]
    assert not late_arrivals, (context.left_at, late_arrivals)
    assert context.leaver.upstream.app.arrivals, (
        'the engine received no requests'
    )


@when("an engine leaves and one router's store calls fail from then on")
def engine_leaves_and_router_loses_store(context):
    context.cut_router = context.fleet.routers[0]
    context.cut_router.store.address = '127.0.0.1:1'
    context.leaver = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
    context.left_at = context.fleet.clock.now()
    context.fleet.store.app.set_faults(0)
    for address in list(context.cut_router.store._http._pool._idle):
        context.cut_router.store._http._pool.close_idle(address)
    context.fleet.announce_leaving(context.leaver)


@then('that router sends the engine no request after {ms:d} ms')
def cut_router_sends_no_request(context, ms):
    green.sleep_ms(ms)
    for number in range(30):
        body = b'cut %d' % number
        answer = fleet_steps.stream(
            context.cut_router.address, '/chat/x', 2, body
        )
        assert answer.status == 200, answer
    no_late_request(
        context, ms
    ) if context.leaver.upstream.app.arrivals else None


@when('the store is down and the entry of an engine expires meanwhile')
def entry_expires_in_outage(context):
    context.leaver = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
    context.fleet.store.app.set_faults(600, outage=1.0)
    green.sleep_ms(300)
    context.states = []
    for router in context.fleet.running_routers():
        router.upstream_table.listen(
            lambda view: context.states.append((view.name, view.record.state))
        )
    context.fleet.remove_entry(context.leaver)
    green.sleep_ms(400)


@when('the entry is written again {ms:d} ms after the store is back')
def write_entry_again(context, ms):
    green.sleep_ms(ms)
    context.fleet._write_entry(context.leaver)


@then('no router ever considers the engine gone')
def engine_never_gone(context):
    green.sleep_ms(2000)
    gone = [
        s for n, s in context.states if n == context.leaver.name and s == 3
    ]
    assert not gone, context.states


@then('all routers consider the engine gone within {ms:d} ms')
def engine_gone_everywhere(context, ms):
    helpers.wait_until(
        lambda: all(
            router.upstream_table.get(context.leaver.name).record.state == 3
            for router in context.fleet.running_routers()
        ),
        'all routers consider the engine gone',
        ms,
    )


def send_stream_request(context, engine, request_id, body, extra=()):
    """Send a stream request to an engine; return the connection."""
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


@given('two engines that run one stream each and a third engine')
def two_engines_with_streams(context):
    profile = engine_.EngineProfile(step_ms=5)
    context.engines = [
        engine_.Engine(f'e-{n}', profile=profile) for n in range(3)
    ]
    for engine in context.engines:
        context.closing.append(engine.stop)
    context.bodies = {'one': b'first prompt', 'two': b'second prompt'}
    for engine, (name, body) in zip(context.engines, context.bodies.items()):
        send_stream_request(context, engine, name, body)
    green.sleep_ms(100)


@when('both streams are migrated to the third engine with equal handles')
def migrate_both_streams(context):
    control = engine_control.EngineControl(2000, 2000)
    *sources, target = context.engines
    context.copies = {}
    for engine, name in zip(sources, context.bodies):
        engine.app.numbers = itertools.count(77)
        copy = control.move(engine.address, name, target.address)
        assert copy.is_at_target, copy
        context.copies[name] = copy.location
    handles = {at.rpartition('/')[2] for at in context.copies.values()}
    assert handles == {'h77'}, context.copies


@when('an engine that repeats its answers late is asked to move two runs')
def move_at_repeating_engine(context):
    handles = iter(('of-one', 'of-two'))
    sent = []

    def script(sock, request_id, number):
        body = json.dumps({names.HANDLE: next(handles)}).encode()
        response = raw_upstream.ok_response(request_id, body)
        repeated = sent[-1] if number > 1 else b''
        sent.append(response)
        sock.sendall(repeated + response)
        return True

    engine = raw_upstream.RawUpstream(script)
    context.closing.append(engine.stop)
    control = engine_control.EngineControl(2000, 2000)
    context.copies = [
        control.move(engine.address, run, '127.0.0.1:9')
        for run in ('one', 'two')
    ]


@then('each move has the handle of its own run')
def moves_have_own_handles(context):
    handles = [copy.location.partition('/')[2] for copy in context.copies]
    assert handles == ['of-one', 'of-two'], context.copies


@then('each stream resumes there with its own content')
def resumes_with_own_content(context):
    for name, body in context.bodies.items():
        conn = send_stream_request(
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
        full_text = ''.join(answers.token(seed, at) for at in range(200))
        assert full_text.endswith(''.join(texts)), (name, texts[:3])

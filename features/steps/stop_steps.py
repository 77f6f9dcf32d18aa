"""Steps on planned stops, killed routers, directories and shared state."""

from __future__ import annotations

import contextlib
import json
import socket
import types
import zlib

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.coordination import watchers
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast import ini
from peridotmast.platform import names
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import peering as peering_
from peridotmast.router import settings_watch
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc
from peridotmast.serving import upstreams as upstreams_
from peridotmast.wire import connection as connection_
from peridotmast.wire import http_client
from peridotmast.wire.overload import connection_table


FITTING_MS = 5000
"""Time limit of a request that ends within the grace time, in ms."""


def resolve(router, domain='fd-1'):
    """Return the addresses that a router's directory lists."""
    path = f'{names.RESOLVE_PATH}?name=a&{names.FAILURE_DOMAIN}={domain}'
    reply = http_client.HttpClient().request(
        'GET', router.address_of('directory'), path
    )
    return reply.json().get(names.ADDRESSES, []) if reply else []


def readiness(router):
    reply = http_client.HttpClient().request(
        'GET', router.address_of('ready'), names.READY_PATH
    )
    return reply.status


@when(
    'a router starts to drain while it serves {count:d} streams of {tokens:d}'
    ' tokens'
)
def drain_under_load(context, count, tokens):
    fleet = context.fleet
    context.tokens = tokens
    context.draining = fleet.routers[0]
    context.bodies = [b'letter %d' % number for number in range(count)]
    context.tasks = [
        green.spawn(fleet_steps.stream, context.draining.address, '/once/x',
                    tokens, body)
        for body in context.bodies
    ]  # fmt: skip
    green.sleep_ms(150)
    assert context.draining.serving.gateway.in_flight == count
    context.drain = green.spawn(context.draining.drain)
    green.sleep_ms(100)


@then('all streams are complete and in order')
def check_streams_complete(context):
    for body, task in zip(context.bodies, context.tasks):
        answer = task.wait()
        assert fleet_steps.is_complete(answer, body, context.tokens), answer


@then('the draining router is no longer ready nor listed in any directory')
def check_withdrawn(context):
    assert readiness(context.draining) == 503
    for router in context.fleet.routers:
        assert context.draining.address not in resolve(router)


@then('during the drain each new connection is served for one request')
def check_served_during_drain(context):
    answer = helpers.send_request(
        context.draining.address, deadline_ms=FITTING_MS
    )
    assert answer.status == 200, answer
    assert answer.header('Connection') == 'close', answer
    # The time limit of this one is later than the end of the grace time.
    answer = helpers.send_request(context.draining.address)
    assert answer.status == 503 and answer.body == b'leaving', answer
    assert answer.header('Connection') == 'close', answer
    assert not helpers.arrival_count(context, answer.request_id)


@then('the drain ends within the grace time and no request is running')
def check_drained_in_time(context):
    with green.Timeout(8):
        context.drain.wait()
    assert context.draining.serving.gateway.in_flight == 0


@then('after {ms:d} ms a stream that may outlast the grace time is refused')
def check_long_stream_refused(context, ms):
    green.sleep_ms(ms)
    answer = helpers.send_request(context.draining.address, '/chat/x')
    assert answer.status == 503, answer
    assert answer.body == b'leaving', answer
    assert float(answer.header(names.RETRY_AFTER)) < 0.1, answer


@then('a request with a short deadline is served')
def check_short_request_served(context):
    answer = helpers.send_request(context.draining.address, deadline_ms=1000)
    assert answer.status == 200, answer


@when('a request arrives after the drain and before the router stops')
def send_request_after_drain(context):
    router = context.fleet.routers[0]
    router.drain()
    context.last = helpers.send_request(router.address)


@then('the request is refused as not run and reaches no upstream')
def check_refused_as_not_run(context):
    assert context.last.status == 503, context.last
    assert context.last.body == b'leaving', context.last
    assert not helpers.arrival_count(context, context.last.request_id)


@then('no request is running when the drain ends')
def check_no_request_running(context):
    context.drain.wait()
    assert context.draining.serving.gateway.in_flight == 0
    check_streams_complete(context)


@when('a router starts to drain while a caller keeps an idle connection')
def drain_with_idle_connection(context):
    router = context.fleet.routers[0]
    context.conn = connection_.Connection(router.address, clock_.SystemClock())
    assert context.conn.connect(1000) is None
    assert helpers.send_request('', conn=context.conn).status == 200
    green.spawn(router.drain)


@when(
    'a request arrives on a kept-alive connection just before idle ones are'
    ' closed'
)
def send_request_before_close(context):
    open_kept_alive(context)
    # No other task runs between these two calls.
    send_on_kept_alive(context, 'crossing-2')
    context.fleet.routers[0]._http_servers.close_idle()


@when(
    'a request arrives on a kept-alive connection just after it was shut down'
)
def send_request_after_shutdown(context):
    open_kept_alive(context)
    real = connection_table.shutdown
    context.closing.append(lambda: setattr(connection_table, 'shutdown', real))
    # The kernel may still accept bytes after the shutdown, but sends none.
    connection_table.shutdown = shutdown_sending
    context.fleet.routers[0]._http_servers.close_idle()
    send_on_kept_alive(context, 'crossing-2')


def shutdown_sending(sock):
    # A connection whose task has ended is closed already.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


def open_kept_alive(context):
    """Open a connection on which the router waits for a second request."""
    context.sock = helpers.raw_connect(context.fleet.routers[0].address)
    send_on_kept_alive(context, 'crossing-1')
    assert b'200 OK' in context.sock.recv(65536)
    green.sleep_ms(100)


def send_on_kept_alive(context, request_id):
    context.sock.sendall(
        f'POST /holds/seat HTTP/1.1\r\nHost: {shape_.HOST}\r\n'
        f'{names.REQUEST_ID}: {request_id}\r\n'
        f'{names.AUTHORIZATION}: {helpers.KEY}\r\n'
        'Content-Length: 6\r\n\r\nseat 1'.encode()
    )


@then('no answer is sent and the request reaches no upstream')
def check_not_answered(context):
    # The connection ends at once; a forwarded request would arrive soon after.
    green.sleep_ms(500)
    assert not helpers.arrival_count(context, 'crossing-2')
    try:
        rest = helpers.read_rest(context.sock, 2000)
    except ConnectionResetError:
        rest = b''
    assert not rest, rest


@then('the request is answered and its connection is closed')
def check_answered_and_closed(context):
    rest = helpers.read_rest(context.sock, 5000)
    assert b'200 OK' in rest, rest
    assert b'Connection: close' in rest, rest


@when('a router starts to drain just after a caller has connected')
def drain_after_connect(context):
    router = context.fleet.routers[0]
    context.conn = connection_.Connection(router.address, clock_.SystemClock())
    assert context.conn.connect(1000) is None
    # The router has accepted the connection and waits for a request.
    green.sleep_ms(100)
    context.drain = green.spawn(router.drain)
    green.sleep_ms(100)


@then("the caller's first request is answered and its connection is closed")
def check_first_request_answered(context):
    answer = helpers.send_request(
        '', conn=context.conn, deadline_ms=FITTING_MS
    )
    assert answer.status == 200, answer
    assert answer.header('Connection') == 'close', answer
    context.drain.wait()


@then('the idle connection is closed within {ms:d} ms')
def check_idle_closed(context, ms):
    helpers.wait_until(
        lambda: not context.conn.is_clean(), 'the connection to close', ms
    )


def holder_of(context):
    return next(
        (r for r in context.fleet.running_routers() if r.lease.is_held()), None
    )


@when('the holder of the duties starts to drain')
def drain_holder(context):
    helpers.wait_until(lambda: holder_of(context), 'a holder of the duties')
    context.old_holder = holder_of(context)
    green.spawn(context.old_holder.drain)


@then('another router holds the duties within {ms:d} ms')
def check_another_router_holds(context, ms):
    def has_moved():
        holder = holder_of(context)
        return holder is not None and holder is not context.old_holder

    helpers.wait_until(has_moved, 'another holder of the duties', ms)


@then('no platform call carried an outdated fencing token')
def check_no_outdated_token(context):
    assert not context.fleet.cloud.stale_call_times


@when('a router is killed')
def kill_router(context):
    context.killed = context.fleet.routers[1]
    context.killed.stop()


@then('all directories stop listing the killed router within {ms:d} ms')
def check_not_listed(context, ms):
    helpers.wait_until(
        lambda: all(
            context.killed.address not in resolve(router)
            for router in context.fleet.running_routers()
        ),
        'removal from the directories',
        ms,
    )


@when('a router is killed and restarted')
def kill_and_restart(context):
    killed = context.fleet.routers[1]
    killed.stop()
    green.sleep_ms(100)
    context.fleet.add_router(killed.cfg.name, wait=False)


SETTINGS = """[router]
name = a
listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
failure_domain = fd-1
[platform]
objects = 127.0.0.1:{port}
cloud = 127.0.0.1:2
"""


def write_settings(context, text):
    with open(context.path, 'w') as file:
        file.write(text)


@given('a settings file that names one store')
def create_settings_file(context):
    context.path = f'{context.folder}/router.ini'
    write_settings(context, SETTINGS.format(port=1))
    settings, found = ini.load_file(context.path, pb.RouterFile)
    assert not found, str(found)
    context.applied = []
    context.watch = settings_watch.SettingsWatch(
        context.path,
        settings,
        lambda path: ini.load_file(path, pb.RouterFile),
        context.applied.append,
    )


@when('the file is changed to name another store')
def change_settings_file(context):
    write_settings(context, SETTINGS.format(port=9))
    context.watch.reload_if_changed()


@then('the new settings are applied')
def check_new_settings_applied(context):
    assert [s.platform.objects for s in context.applied] == ['127.0.0.1:9']


@when('the file becomes malformed')
def write_malformed_settings(context):
    write_settings(context, '[router]\nlisten = nowhere\n')
    context.watch.reload_if_changed()


@then('the last valid settings stay in force')
def check_last_valid_settings(context):
    assert len(context.applied) == 1, context.applied


@then(
    'every directory lists all {count:d} routers, the routers of its failure'
    ' domain first'
)
def check_lists_all_routers(context, count):
    def all_listed():
        serving = context.fleet.running_routers()
        wanted = {router.address for router in serving}
        return len(wanted) == count and all(
            set(resolve(router)) == wanted for router in serving
        )

    helpers.wait_until(all_listed, f'all {count} routers in the directories')
    for router in context.fleet.running_routers():
        domain = router.cfg.failure_domain
        near = {
            r.address
            for r in context.fleet.running_routers()
            if r.cfg.failure_domain == domain
        }
        assert set(resolve(router, domain)[: len(near)]) == near


@when('the store is unavailable and a third router starts')
def start_third_router_in_outage(context):
    context.fleet.store.app.set_faults(outage=1.0)
    context.fleet.add_router('router-3')


@given('a fleet of {count:d} routers that sign their beacons')
def start_signing_fleet(context, count):
    secret = f'{context.folder}/secret'
    with open(secret, 'w') as file:
        file.write('the fleet shares this')
    context.fleet = fleet_.Fleet(shape_.FleetShape(routers=0), seed=7)
    context.fleet.start()
    router_file = context.fleet.router_file

    def signing_file(name, **settings):
        file = router_file(name, **settings)
        file.tls.secret_file = secret
        return file

    context.fleet.router_file = signing_file
    for number in range(count):
        context.fleet.add_router(f'router-{number + 1}')
    context.fleet.wait_ready()


@when('a forged beacon announces a third router')
def send_forged_beacon(context):
    import socket

    forged = pb.Beacon(
        member=pb.Member(
            name='router-9',
            incarnation=1,
            address='127.0.0.1:9',
            state=members_.ALIVE,
            ready=True,
        )
    )
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for router in context.fleet.routers:
        host, _, port = router.beacons.address.rpartition(':')
        data = zlib.compress(forged.SerializeToString())
        for data in (data, bytes(16) + data, b'x' * 40, b''):
            sender.sendto(data, (host, int(port)))
    sender.close()
    green.sleep_ms(100)


@then('no router knows a third router')
def check_third_router_unknown(context):
    for router in context.fleet.routers:
        assert router.members.get('router-9') is None, router.cfg.name


def bare_peering(clock, watches, spawned):
    """Return a peering that only compares its versions with those of peers."""
    fleet_state = types.SimpleNamespace(
        members=members_.Members(
            pb.Member(name='me', incarnation=1), clock, 1000
        ),
        config=types.SimpleNamespace(
            routes=types.SimpleNamespace(version=3),
            product=types.SimpleNamespace(version=0),
        ),
        upstream_table=upstreams_.UpstreamTable(clock),
        is_watching=lambda part: watches,
        check_store=lambda: None,
        **helpers.era_parts(clock),
    )
    catch_up = catch_up_.CatchUp(
        clock, fleet_state, None, lambda name, *rest: spawned.append(name)
    )
    serving = helpers.make_limits(clock)
    return peering_.Peering(clock, fleet_state, serving, None, None, catch_up)


@given('a router that does not watch the store and one that does')
def create_two_peerings(context):
    context.clock = clock_.ManualClock()
    context.spawned = [], []
    context.peerings = [
        bare_peering(context.clock, watches, spawned)
        for watches, spawned in zip((False, True), context.spawned)
    ]


def receive_newer_version(context):
    for peering in context.peerings:
        member = pb.Member(
            name='peer', incarnation=1, peer_address='10.0.0.1:1'
        )
        beacon = pb.Beacon(member=member, config_version=4, news_only=True)
        peering.receive(beacon)


@when(
    'both routers receive two beacons {ms:d} ms apart from a peer with newer'
    ' data'
)
def receive_two_beacons(context, ms):
    receive_newer_version(context)
    context.clock.advance(ms)
    receive_newer_version(context)


@when('both routers receive another such beacon after {ms:d} ms')
def receive_another_beacon(context, ms):
    context.clock.advance(ms)
    receive_newer_version(context)


@then('the router that does not watch calls the peer')
def check_non_watcher_calls(context):
    assert context.spawned[0] == ['fetch_config'], context.spawned


@then('the router that watches does not call the peer')
def check_watcher_does_not_call(context):
    assert not context.spawned[1], context.spawned


@then('the router that watches calls the peer too')
def check_watcher_calls(context):
    assert context.spawned[1] == ['fetch_config'], context.spawned


@when('an engine announces that it is leaving')
def announce_leaving_engine(context):
    context.leaver = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
    context.fleet.announce_leaving(context.leaver)


@then('every router marks the engine as leaving within {ms:d} ms')
def check_all_mark_leaving(context, ms):
    def is_leaving(router):
        view = router.upstream_table.get(context.leaver.name)
        return view.record.state == upstreams_.LEAVING

    helpers.wait_until(
        lambda: all(map(is_leaving, context.fleet.running_routers())),
        'the state leaving everywhere',
        ms,
    )


@when('one router has an upstream revision for which no record exists')
def raise_revision_without_record(context):
    ahead, context.behind = context.fleet.routers
    ahead.upstream_table.revision += 100
    context.restarted = []
    for watch in context.behind.fleet_state._watches:
        watch._watch_interrupt.fire = lambda: context.restarted.append(1)


@then('the other router reaches the same revision within {ms:d} ms')
def check_same_revision(context, ms):
    ahead = context.fleet.routers[0]
    helpers.wait_until(
        lambda: (
            context.behind.upstream_table.revision
            >= ahead.upstream_table.revision
        ),
        'the same revision',
        ms,
    )


@then('the other router restarts no watch')
def check_no_watch_restarted(context):
    green.sleep_ms(2500)
    assert not context.restarted


@then('the router is not ready')
def check_not_ready(context):
    assert readiness(context.router) == 503


@when('the store is available again')
def restore_store(context):
    context.fleet.store.app.set_faults()


@then('the router is ready within {ms:d} ms')
def check_ready_within(context, ms):
    helpers.wait_until(
        lambda: readiness(context.router) == 200, 'readiness', ms
    )


@given('{count:d} members that receive beacons from each other')
def create_members(context, count):
    clock = clock_.ManualClock()
    everyone = [
        pb.Member(name=f'r{n}', incarnation=1, state=members_.ALIVE)
        for n in range(count)
    ]
    context.clock = clock
    context.everyone = everyone
    context.members = []
    for me in everyone:
        members = members_.Members(me, clock, 1000)
        for other in everyone:
            members.receive(other)
        context.members.append(members)


@given('{count:d} members that start together and know each other')
def create_starting_members(context, count):
    create_members(context, count)
    context.members = []
    for me in context.everyone:
        members = members_.Members(me, context.clock, 1000)
        for other in context.everyone:
            members.merge_entry(other)
        context.members.append(members)


@when('{ms:d} ms pass in which {count:d} of the members send nothing')
def silence_some_members(context, ms, count):
    context.clock.advance(ms)
    context.members = context.members[count:]
    for members in context.members:
        for other in context.everyone[count:]:
            members.receive(other)


def watching(context, kind):
    return [
        members
        for members in context.members
        if watchers.Watchers(members).should_watch(kind)
    ]


@then('{count:d} of the members watch each kind of object in the store')
def check_watcher_count(context, count):
    for kind in ('config', 'upstreams'):
        assert len(watching(context, kind)) == count


@when('half of the members fall silent')
def silence_half_of_members(context):
    half = len(context.members) // 2
    context.clock.advance(2000)
    context.members = context.members[:half]
    for members in context.members:
        for other in context.everyone[:half]:
            members.receive(other)


@then(
    '{count:d} of the remaining members watch each kind of object in the store'
)
def check_remaining_watcher_count(context, count):
    check_watcher_count(context, count)


@when(
    'a caller sends a request to one router and an operator looks the request'
    ' up at the other'
)
def look_up_request(context):
    first, second = context.fleet.routers
    context.last = helpers.send_request(first.address)
    client = rpc.RpcClient(pb_grpc.OperatorsStub)
    context.closing.append(client.close)
    request = pb.RequestShowRequest(request_id=context.last.request_id)
    context.steps = client.call(
        second.peer_address, 'RequestShow', request, 3000
    ).steps


@then('the operator gets the upstream, the status and the duration')
def check_steps_shown(context):
    texts = ' '.join(step.text for step in context.steps)
    for part in ('attempt', 'upstream=service-', 'status=200', 'ms='):
        assert part in texts, texts
    assert {step.router for step in context.steps} == {'router-1'}


@then(
    'the operator gets the data that the choice of the upstream was based on'
)
def check_choice_shown(context):
    texts = ' '.join(step.text for step in context.steps)
    for part in ('revision=', 'among=2', 'home=False', 'running=0'):
        assert part in texts, texts


@then(
    'the metrics count {count:d} requests with status 200 and their latencies'
)
def check_metrics(context, count):
    text = metrics(context)
    wanted = (
        'peridotmast_requests_total{outcome="200",service="booking"} '
        f'{count}.0'
    )
    assert wanted in text, text
    assert 'peridotmast_first_byte_seconds_bucket' in text
    assert 'process_cpu_seconds_total' in text


def metrics(context):
    address = context.fleet.routers[0].chat_address
    return (
        http_client.HttpClient()
        .request('GET', address, '/metrics')
        .body.decode()
    )


@then('the health endpoint reports the versions in force')
def check_health_endpoint(context):
    router = context.fleet.routers[0]
    reply = http_client.HttpClient().request(
        'GET', router.chat_address, '/healthz'
    )
    assert reply.status == 200
    assert reply.json()['config'] == router.config.routes.version > 0
    assert reply.json()['document'] == router.config.product.version > 0


TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'


@when('a caller sends a request with a trace context')
def send_request_with_trace(context):
    router = context.fleet.routers[0]
    body = json.dumps({'payload': 'seat 1', 'idempotent': False}).encode()
    reply = http_client.HttpClient().request(
        'POST',
        router.chat_address,
        f'/v1/services/{shape_.PLAIN_SERVICE}/hold',
        body,
        {
            'traceparent': f'00-{TRACE}-00f067aa0ba902b7-01',
            'Authorization': helpers.KEY,
        },
    )
    assert reply.status == 200, reply


@then('the router and attempt spans belong to that trace')
def check_spans(context):
    with open(context.spans) as file:
        spans = [json.loads(line) for line in file]
    mine = [s for s in spans if TRACE in s['context']['trace_id']]
    assert {s['name'] for s in mine} == {'router.request', 'router.attempt'}


@given(
    'a fleet of {count:d} routers with a grace time of {grace:d} s, whose'
    ' services take {work:d} ms'
)
def start_slow_fleet(context, count, grace, work):
    helpers.start_fleet(
        context, routers=count, engines=0, bounds={'grace_s': grace}
    )
    context.grace_ms = grace * 1000
    for guest in helpers.guests(context):
        guest.upstream.app._work_ms = work


def stop_as_planned(context):
    """Stop a router as its program does."""
    context.draining = context.fleet.routers[0]
    context.stopped_at = clock_.SystemClock().now()
    context.draining.drain()
    context.draining.stop()


def send_kept(context, address, path, limit_ms, conn=None):
    """Send a request; keep its connection while the router does."""
    clock = clock_.SystemClock()
    sent_at = clock.now()
    if conn is None or not conn.is_reusable():
        conn = connection_.Connection(address, clock)
        if conn.connect(1000) is not None:
            return None
    answer = helpers.send_request(
        address, path, deadline_ms=limit_ms, conn=conn
    )
    context.sent.append((sent_at, path, answer))
    return conn


def send_until(context, path, limit_ms, ends, keeps):
    """Send requests one after the other, or ever new ones."""
    address, conn = context.fleet.routers[0].address, None
    while not ends.ready():
        if keeps:
            conn = send_kept(context, address, path, limit_ms, conn)
        else:
            context.tasks.append(
                green.spawn(send_kept, context, address, path, limit_ms)
            )
        green.sleep_ms(100)


@when(
    'a router is stopped while requests with a time limit of {limit:d} ms come'
    ' on new and kept connections'
)
def stop_beside_requests(context, limit):
    context.sent, context.tasks = [], []
    ends = green.Event()
    senders = [
        green.spawn(send_until, context, path, limit, ends, keeps)
        for path in ('/holds/x', '/pages/x')
        for keeps in (False, True)
    ]
    green.sleep_ms(400)
    stop_as_planned(context)
    ends.send()
    for task in (*senders, *context.tasks):
        task.wait()


@then('each request is answered, and those that are refused have not run')
def check_none_cut(context):
    wrong = []
    for sent_at, path, answer in context.sent:
        ran = helpers.arrival_count(context, answer.request_id)
        is_cut = not answer.complete and ran
        is_denied = answer.status == 503 and ran
        if is_cut or is_denied or answer.status not in (0, 200, 503):
            wrong.append((sent_at - context.stopped_at, path, ran, answer))
    total = len(context.sent)
    assert not wrong, f'{len(wrong)} of {total}: {wrong[:3]}'


@then('requests that were sent before the stop are answered with success')
def check_earlier_succeed(context):
    earlier = [
        answer for at, _, answer in context.sent if at < context.stopped_at
    ]
    assert earlier and all(a.status == 200 for a in earlier), earlier


@when('a router is stopped while requests of each kind wait for their answers')
def stop_with_waiting(context):
    context.sent, address = [], context.fleet.routers[0].address
    tasks = [
        green.spawn(send_kept, context, address, path, helpers.LONG_MS)
        for path in ('/holds/x', '/pages/x') * 3
    ]
    green.sleep_ms(200)
    stop_as_planned(context)
    for task in tasks:
        task.wait()


@then('each of them is answered with {status:d} before the grace time is over')
def check_failed_in_time(context, status):
    assert len(context.sent) == 6, context.sent
    for sent_at, _, answer in context.sent:
        assert answer.complete and answer.status == status, answer
        ended_ms = sent_at + answer.ms - context.stopped_at
        assert ended_ms <= context.grace_ms, ended_ms


@then('each of them is answered with {status:d} and "Connection: close"')
def check_answered_with_close(context, status):
    assert len(context.sent) == 6, context.sent
    for _, _, answer in context.sent:
        assert answer.complete and answer.status == status, answer
        assert answer.header('Connection') == 'close', answer

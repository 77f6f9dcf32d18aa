"""Steps for upstreams that restart under their id."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import raw_upstream
import store_outage_steps
import stream_steps

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import engine_control
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast import web
from peridotmast.wire import connection as connection_
from peridotmast.wire import server as server_


def make_record(born, revision, state=upstreams_.LIVE):
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name='a',
            address='10.0.0.1:1',
            service=store_outage_steps.SERVICE,
            slots=4,
            failure_domain='fd-1',
            born=born,
        ),
        state=state,
        revision=revision,
    )


@given('an upstream "a" whose run started at {born:d}')
def create_upstream(context, born):
    context.upstreams = upstreams_.UpstreamTable(clock_.ManualClock())
    context.ended = []
    context.upstreams.listen_replacements(context.ended.append)
    context.upstreams.merge(make_record(born, 10))
    context.earlier = context.upstreams.get('a')


def report_load(context, born):
    load = pb.UpstreamLoad(
        upstream='a', running=3, unread=900, memory=1000, born=born
    )
    context.upstreams.set_peer_loads('router-2', [load])


@given(
    '"a" has work of two routers, is failing and is the preferred upstream of'
    ' some prompts'
)
def add_state_of_run(context):
    view = context.earlier
    view.add_load(upstream_view.Load(1, 100, 200))
    report_load(context, view.born)
    for _ in range(3):
        view.health.record_failure()
    assert not view.health.allows_request()
    context.homes = homes_of(view)


def homes_of(view):
    others = [
        upstream_view.UpstreamView(
            pb.UpstreamRecord(upstream=pb.Upstream(name=f'u-{n}')),
            clock_.ManualClock(),
            set(),
        )
        for n in range(4)
    ]
    among = candidates.Candidates('router-1', [view, *others])
    return [among.ranked_homes(f'part-{n}')[0].name for n in range(200)]


@when('the entry of "a" changes to a run started at {born:d}')
def change_entry(context, born):
    assert context.upstreams.merge(make_record(born, 20))


@then(
    '"a" has no work, is not failing and is the preferred upstream of other'
    ' prompts'
)
def check_no_state_kept(context):
    view = context.upstreams.get('a')
    assert view is not context.earlier
    assert view.total_load() == upstream_view.Load(), view.total_load()
    assert view.health.allows_request() and not view.health.failure_share()
    assert homes_of(view) != context.homes
    # Requests that end at the earlier run do not affect the later one.
    context.earlier.remove_load(upstream_view.Load(1, 100, 200))
    context.earlier.health.record_failure()
    assert view.total_load() == upstream_view.Load()
    assert not context.upstreams.local_loads()


@then('the view of the earlier run has ended')
def check_earlier_view_ended(context):
    assert context.ended == [context.earlier]
    assert not context.earlier.is_available


@when('the run started at {born:d} announces later that it is leaving')
def announce_leaving_late(context, born):
    assert not context.upstreams.merge(
        make_record(born, 30, upstreams_.LEAVING)
    )


@then('"a" may get new work and is the run started at {born:d}')
def check_may_get_work(context, born):
    (view,) = context.upstreams.live(store_outage_steps.SERVICE)
    assert view.born == born, view.born


@when('another router reports its work at the run started at {born:d}')
def report_work_of_router(context, born):
    report_load(context, born)


@then('"a" has no work')
def check_no_work(context):
    assert not context.upstreams.get('a').total_load().running


@then('"a" has the reported work')
def check_reported_work(context):
    assert context.upstreams.get('a').total_load().running == 3


@given('a peer that knows the earlier run')
def record_known_upstreams(context):
    context.known = [view.record for view in context.upstreams.all()]


@when('the peer reports the upstreams that it knows')
def merge_known_upstreams(context):
    context.upstreams.merge_all(context.known)


@given('an engine that reports on its run started at {born:d}')
def start_reporting_engine(context, born):
    app = web.WebApp('engine', 1 << 16)
    body = {names.BORN: born, names.LEAVES_MS: 700}
    app.route('GET', names.REPORT_PATH, lambda req: web.json_response(body))
    context.server = server_.HttpServer('127.0.0.1:0', app)
    context.server.start()
    context.closing.append(context.server.stop)


def fetch_remaining_ms(context, born):
    control = engine_control.EngineControl(1000, 1000)
    return control.remaining_ms(context.server.address, born)


@then('a report for the run started at {born:d} has no time of leaving')
def check_no_leaving_time(context, born):
    assert isinstance(fetch_remaining_ms(context, born), failures.Failure)


@then('a report for the run started at {born:d} has a time of leaving')
def check_leaving_time(context, born):
    assert fetch_remaining_ms(context, born) == 700


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its upstream'
    ' restarts'
)
def stream_and_restart(context, tokens, path):
    stream_steps.stream_with_action(
        context, tokens, path, context.fleet.restart_upstream
    )


def change_entry_only(context, guest):
    """Write the next run's entry; connections to the earlier run stay open."""
    guest.record.upstream.born += 1
    context.fleet._write_entry(guest)


@when(
    'a caller streams {tokens:d} tokens from "{path}" and its upstream'
    ' restarts while the connection stays silent'
)
def stream_and_restart_silently(context, tokens, path):
    def act(guest):
        guest.upstream.stall_streams()
        change_entry_only(context, guest)

    stream_steps.stream_with_action(context, tokens, path, act)


@when(
    'a caller requests "{path}" and its upstream restarts while the'
    ' connection stays silent'
)
def request_and_restart_silently(context, path):
    task = green.spawn(
        helpers.send_request,
        fleet_steps.router_address(context),
        path,
        request_id='seat-1',
    )

    def running():
        return [
            guest
            for guest in helpers.guests(context, shape_.PLAIN_SERVICE)
            if guest.upstream.app.in_progress
        ]

    helpers.wait_until(running, 'the request runs')
    change_entry_only(context, running()[0])
    context.last = task.wait()


@then(
    'the answer does not claim that the request did not run, and it ran once'
)
def check_ran_once_without_claim(context):
    # An answer that only arrives at the deadline would have status 504.
    assert context.last.status == 502, context.last
    runs = [
        guest.upstream.app.runs['seat-1']
        for guest in helpers.guests(context, shape_.PLAIN_SERVICE)
    ]
    assert sum(runs) == 1, runs


@when('every upstream of "{service}" restarts')
def restart_all_upstreams(context, service):
    context.later = [
        context.fleet.restart_upstream(guest)
        for guest in helpers.guests(context, service)
    ]
    table = context.fleet.routers[0].upstream_table
    helpers.wait_until(
        lambda: all(
            table.get(guest.name).born == guest.record.upstream.born
            for guest in context.later
        ),
        'the later runs are known',
    )


@then('{count:d} requests to "{path}" are answered by the later runs')
def check_answered_by_later_runs(context, count, path):
    for _ in range(count):
        answer = helpers.send_request(
            fleet_steps.router_address(context), path
        )
        assert answer.status == 200, answer
    runs = sum(
        sum(guest.upstream.app.runs.values()) for guest in context.later
    )
    assert runs == count, runs


@given(
    'a connection to an upstream that has sent half of an answer without a'
    ' length'
)
def read_half_of_answer(context):
    def script(sock, request_id, number):
        head = f'HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: {request_id}\r\n'
        sock.sendall(f'{head}\r\nhalf'.encode())
        green.sleep_ms(20_000)

    upstream = raw_upstream.RawUpstream(script)
    context.closing.append(upstream.stop)
    clock = clock_.SystemClock()
    conn = connection_.Connection(upstream.address, clock)
    context.closing.append(conn.close)
    context.deadline = clock.now() + 8000
    assert conn.connect(1000) is None
    lines = [('Host', 'a'), (names.REQUEST_ID, 'half')]
    assert conn.send('GET', '/x', lines, b'', context.deadline) is None
    assert conn.read_head('GET', context.deadline).status == 200
    assert conn.read_some(context.deadline) == b'half'
    context.conn = conn


@when('the connection is cancelled since the upstream has restarted')
def cancel_connection(context):
    green.spawn_after_ms(50, context.conn.cancel, 'upstream_restarted')


@then('the rest of the answer is a failure, not its end')
def check_rest_is_failure(context):
    rest = context.conn.read_some(context.deadline)
    assert isinstance(rest, failures.Failure), rest
    assert rest.reason == 'upstream_restarted', rest

"""Steps for statuses which promise that a request did not run."""

from __future__ import annotations

from unittest import mock

from behave import then
import peer_model
import promise_model

from peridotmast import failures
from peridotmast.platform import caller_app
from peridotmast.platform import names
from peridotmast.router import chat_api
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import dialect
from peridotmast.serving import peer_sender
from peridotmast.serving import stream as stream_
from peridotmast import web


@then(
    'in {count:d} drawn worlds, no status promises more than is known of each'
    ' attempt'
)
def statuses_are_true(context, count):
    seen = promise_model.run(count)
    # Draws that end in few refusals or few calls to a peer would prove little.
    assert seen[503] > count / 20 and seen[502] > count / 20, seen
    assert seen['forwarded'] > count / 20, seen


@then('the last caller receives 502 for a request that ran')
def last_is_unknown(context):
    assert context.raw_upstream.numbers == [1, 2], context.raw_upstream.numbers
    assert context.last.status == 502, context.last


def ask_through_peer(world, kind, connect_peer=None):
    """Send a request at `r-0`, and return what its caller gets."""
    if connect_peer is not None:
        peers = world.routers['r-0'].serving.peers
        peers._pool.acquire = lambda address: connect_peer(
            world, address.partition(':')[0], 'pass'
        )
    return world.routers['r-0'].ask(kind, 'request')


@then(
    'the answer of an upstream that sets the result header is passed on as it'
    ' is'
)
def result_header_of_upstream(context):
    world = peer_model.World(
        {'r-0': set(peer_model.UPSTREAMS), 'r-1': ()}, (), ()
    )
    refused = pb.ForwardResult(kind='not_run', reason='leaving')

    class Conn(peer_model.UpstreamConn):
        def read_head(self, method, deadline):
            head = super().read_head(method, deadline)
            head.headers.insert(0, peer_sender.encode_result(refused))
            return head

    world.routers['r-1'].serving.pool.acquire = lambda address: Conn(
        world, f'u-{address[-1]}'
    )
    got = ask_through_peer(world, 'once')
    assert world.runs == ['request'], world.runs
    assert got[0] == 200, got


@then(
    'an answer of a peer with the status {status:d} becomes a failure of'
    ' unknown outcome'
)
def status_of_peer(context, status):
    world = peer_model.World(
        {'r-0': set(peer_model.UPSTREAMS), 'r-1': ()}, (), ()
    )

    class Conn(peer_model.PeerConn):
        def start(self, line, headers):
            super().start(f'{status} Status', headers)

    got = ask_through_peer(world, 'once', Conn)
    assert world.runs == ['request'], world.runs
    assert isinstance(got, failures.Failure), got
    assert got.kind is failures.FailureKind.OUTCOME_UNKNOWN, got


@then(
    'a request that ran before a peer did not accept it has an unknown outcome'
)
def not_accepted_by_peer(context):
    world = peer_model.World({'r-0': {'u-2', 'u-3'}, 'r-1': ()}, ['lost'], ())
    world.routers['r-1'].app._secret = b'another'
    got = ask_through_peer(world, 'again')
    assert world.runs == ['request'] and world.forwarded, world.forwarded
    assert got.kind is failures.FailureKind.OUTCOME_UNKNOWN, got


@then(
    'a stream that may run once is not begun again after its move has failed'
)
def move_is_refused(context):
    world = peer_model.World({'r-0': ()}, ['moved', 'refuse'], ())
    router = world.routers['r-0']
    places, relay = router.serving.placement, router.serving._relay

    class Conn(peer_model.UpstreamConn):
        def read_head(self, method, deadline):
            head = super().read_head(method, deadline)
            if self.outcome == 'moved':
                head.headers.append((names.SEAL, self.upstream))
                self.parts = self.move()
            return head

        def move(self):
            stream = relay._open[-1]
            target = places.choose(
                stream.exchange, peer_model.SERVICE, {self.upstream}
            )
            stream.begin_migration()
            stream.end_migration(stream_.MigratedRun(target, 'kv'))
            yield failures.unknown('broke_off')

    router.serving.pool.acquire = lambda address: Conn(
        world, f'u-{address[-1]}'
    )
    route = pb.Route(name='fixed', kind=pb.STREAMING, attempts=1)
    route.timeout_ms, route.target_ms, route.target_gap_ms = 9000, 400, 800
    with mock.patch.dict(peer_model.ROUTES, fixed=route):
        got = router.ask('fixed', 'request')
    assert world.arrived == ['request'] * 2, world.arrived
    assert got.kind is failures.FailureKind.OUTCOME_UNKNOWN, got


@then(
    'at both APIs, no other kind of failure has the status 408, 421, 429 or'
    ' 503'
)
def statuses_of_failures(context):
    lines = []
    app = caller_app.PlatformCallerApp(None, None, None, None)
    for kind in failures.FailureKind:
        for reason in ('team_limit', 'silent', 'no_route', 'other'):
            failure = failures.Failure(kind, reason)
            app._refuse(lambda line, headers: lines.append(line), failure, '')
            status = chat_api._http_status(failure)
            response = web.failure_response(failure, 'id', status)
            found = {int(lines[-1][:3]), response.status}
            is_promise = kind is failures.FailureKind.NOT_RUN
            refusals = found & set(dialect.NOT_RUN_STATUSES)
            assert is_promise or not refusals, (failure, found)

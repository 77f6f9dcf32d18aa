"""Model of requests forwarded between routers, with scripted connections.

Routers serve with their real components; connections to upstreams and between
routers are replaced by calls whose outcomes are drawn.
"""

from __future__ import annotations

import base64
import dataclasses
import itertools
import types

import histories
import hypothesis
from hypothesis import strategies
import prometheus_client

from peridotmast import clock as clock_
from peridotmast.embedded import router_settings
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import invariants
from peridotmast.platform import names
from peridotmast.router import forward_app
from peridotmast.router import serving as serving_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import peer_sender
from peridotmast.serving import reply as reply_
from peridotmast.serving import upstreams as upstreams_
from peridotmast import signing
from peridotmast import tracing
from peridotmast.wire import connection as connection_
from peridotmast.wire import framing as framing_
from peridotmast.wire.overload import shared_resources
from peridotmast.wire.overload import stream_hold
from peridotmast.wire import server as server_
from peridotmast.wire import strict_protocol

SECRET = b'secret'
SERVICE = pb.Service(name='pool')
UPSTREAMS = ('u-1', 'u-2', 'u-3')
VERSIONS = {'u-1': 'a', 'u-2': 'b', 'u-3': 'b'}
EVENTS = {
    version: [
        b'id: %d\ndata: %b\n\n' % (n, version.encode()) for n in range(1, 5)
    ]
    for version in 'ab'
}
ROUTES = {
    'once': pb.Route(name='once', kind=pb.NON_IDEMPOTENT, attempts=1),
    'again': pb.Route(name='again', kind=pb.IDEMPOTENT, attempts=3),
    'stream': pb.Route(
        name='stream', kind=pb.STREAMING, attempts=3, resumable=True
    ),
}
for _route in ROUTES.values():
    _route.timeout_ms, _route.target_ms, _route.target_gap_ms = 9000, 400, 800

ARRIVALS = ('answer', 'answer', 'answer', 'refuse', 'error', 'lost', 'part')
ARRIVALS += ('unframed', 'inside', 'unframed_inside')
"""What an upstream does with a request that arrives: it answers, states that
it did not run it, fails it, runs it without an answer, ends a stream after two
events; answers without a length; or ends a stream inside an event, with or
without a length."""

HOPS = ('pass', 'pass', 'pass', 'refuse', 'lose_call', 'lose_answer', 'part')
HOPS += ('old',)
"""What becomes of a call between routers: it passes, is not connected, is lost
before or after the peer has answered it, breaks off in the answer, or reaches
a peer whose software knows no versions of streams."""


class World:
    """Routers, which upstreams they reach, and the drawn outcomes."""

    def __init__(self, cuts, arrivals, hops):
        self.clock = clock_.ManualClock(1_000_000)
        self.cuts = cuts
        self._arrivals = itertools.chain(arrivals, itertools.repeat('answer'))
        self._hops = itertools.chain(hops, itertools.repeat('pass'))
        self.runs, self.arrived, self.forwarded = [], [], []
        self.granted, self.requests, self.usage = [], [], []
        self.hops_broken = 0
        self.framing = framing_.Framing.LENGTH
        """Framing of the last answer of an upstream."""
        self.routers = {
            f'r-{n}': Router(self, f'r-{n}') for n in range(len(cuts))
        }

    def next_arrival(self):
        return next(self._arrivals)

    def next_hop(self):
        return next(self._hops)


class Router:
    """The serving components of one router."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        clock = world.clock
        self.table = upstreams_.UpstreamTable(clock)
        for upstream in UPSTREAMS:
            record = pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name=upstream,
                    address=f'127.0.0.1:{upstream[-1]}',
                    service=SERVICE.name,
                    slots=8,
                    version=VERSIONS[upstream],
                ),
                state=pb.UPSTREAM_STATE_LIVE,
                revision=1,
            )
            self.table.merge(record)
        shape = shape_.FleetShape(chat=False)
        file = router_settings.make(
            shape,
            '127.0.0.1',
            {'name': name, 'failure_domain': 'fd', 'seeds': []},
            pb.PlatformSettings(),
        )
        registry = prometheus_client.CollectorRegistry()
        self.serving = serving_.Serving(
            file,
            clock,
            types.SimpleNamespace(
                upstream_table=self.table,
                members=types.SimpleNamespace(
                    serving=self.members, limit_sharer_count=lambda: 4
                ),
                fleet_clock=types.SimpleNamespace(now=clock.now),
            ),
            registry,
            invariants.Invariants(registry, fatal=True),
            tracing.Tracing(name, pb.TelemetrySettings()),
            lambda *args: None,
            SECRET,
        )
        self.serving.retry_budget.is_first_run = lambda: True
        self.app = forward_app.ForwardApp(
            clock,
            self.serving.gateway,
            self.table,
            server_.ServerLimits(),
            self.serving.decisions,
            SECRET,
        )
        self.connect()
        self.count()

    def members(self):
        return [
            pb.Member(name=name, incarnation=1, forward_address=f'{name}:1')
            for name in self.world.routers
        ]

    def connect(self):
        pool, peers = self.serving.pool, self.serving.peers._pool
        pool.acquire, pool.release = self.reach_upstream, lambda *args: None
        peers.acquire, peers.release = self.reach_peer, lambda *args: None

    def count(self):
        budget, usage, world = (
            self.serving.retry_budget,
            self.serving.usage,
            self.world,
        )
        take = budget.take

        def take_and_count(service, request_id):
            granted = take(service, request_id)
            world.granted += [request_id] * granted
            return granted

        budget.take = take_and_count
        budget.count_request = world.requests.append
        usage.count_started = lambda team, ago_ms: world.usage.append(team)

    def reach_upstream(self, address):
        upstream = f'u-{address[-1]}'
        if upstream in self.world.cuts[self.name]:
            return failures.not_run('no_connection', connection_.TIMED_OUT)
        return UpstreamConn(self.world, upstream)

    def reach_peer(self, address):
        hop = self.world.next_hop()
        if hop == 'refuse':
            return failures.not_run('no_connection', 'error 111')
        return PeerConn(self.world, address.partition(':')[0], hop)

    def ask(self, kind, request_id, headers=()):
        """Handle a request as its entry router; return what the caller got."""
        now = self.world.clock.now()
        exchange = exchange_.Exchange(
            id=request_id,
            method='POST',
            target='/',
            headers=[('Host', 'h'), (names.REQUEST_ID, request_id), *headers],
            body=b'',
            route=ROUTES[kind],
            team='t',
            priority=1,
            urgency=1,
            arrived_at=now,
            deadline=now + 9000,
            caller=types.SimpleNamespace(begin_hold=begin_hold),
        )
        result = self.serving.gateway._dispatcher.answer(exchange, SERVICE)
        if isinstance(result, failures.Failure):
            return result
        try:
            parts = [result.body]
            if not isinstance(result.body, bytes):
                parts = list(result.body)
            return result.head.status, b''.join(parts), result.head.framing
        except reply_.BrokenAnswer as exc:
            return failures.unknown(str(exc))
        finally:
            result.close()


def begin_hold():
    """Return a hold of a request in a process with enough memory."""
    account = shared_resources.SharedResources().memory.open()
    return stream_hold.StreamHold(account)


class Conn:
    """The parts that connections of both kinds share."""

    requests = 0

    def __init__(self, world):
        self.world = world
        self.parts = iter(())

    def read_some(self, deadline):
        return next(self.parts)

    def read_all(self, deadline, limit, reserve=None):
        found = b''
        while part := self.read_some(deadline):
            if isinstance(part, failures.Failure):
                return part
            found += part
        return found

    def cancel(self, reason):
        pass

    def close(self):
        pass


class UpstreamConn(Conn):
    """A connection to an upstream."""

    def __init__(self, world, upstream):
        super().__init__(world)
        self.upstream = upstream

    def send(self, method, target, headers, body, deadline):
        fields = dict(headers)
        self.request_id = fields[names.REQUEST_ID]
        self.resumed = int(fields.get(names.LAST_EVENT, 0))
        self.outcome = self.world.next_arrival()
        self.is_stream = names.PRIORITY in fields
        self.world.arrived.append(self.request_id)
        if self.outcome != 'refuse':
            self.world.runs.append(self.request_id)

    def read_head(self, method, deadline):
        if self.outcome == 'lost':
            return failures.unknown('broke_off')
        headers = [(names.REQUEST_ID, self.request_id)]
        statuses = {'refuse': 503, 'error': 500}
        if self.outcome == 'refuse':
            headers.append((names.NOT_RUN, '1'))
        self.parts = iter((b'x', b''))
        if self.outcome in ('answer', 'part', 'inside') or self.is_unframed:
            headers.append((names.SEAL, self.upstream))
            if self.is_stream:
                self.parts = self.events()
        self.world.framing = (
            framing_.Framing.CONNECTION
            if self.is_unframed
            else framing_.Framing.CHUNKS
        )
        return connection_.ResponseHead(
            statuses.get(self.outcome, 200), headers, self.world.framing
        )

    @property
    def is_unframed(self):
        return self.outcome.startswith('unframed')

    def events(self):
        events = EVENTS[VERSIONS[self.upstream]][self.resumed :]
        if self.outcome == 'part':
            yield from events[:2]
            yield failures.unknown('broke_off')
        if self.outcome.endswith('inside') and events:
            yield events[0][:-1]
            yield b''
        yield from events
        yield b''


class PeerConn(Conn):
    """A connection to a peer."""

    def __init__(self, world, peer, hop):
        super().__init__(world)
        self.peer, self.hop = world.routers[peer], hop

    def send(self, method, target, headers, body, deadline):
        self.world.hops_broken += self.hop in ('lose_call', 'lose_answer')
        if self.hop == 'lose_call':
            return failures.unknown('broke_off')
        message = pb.ForwardedRequest.FromString(body)
        self.world.forwarded.append((message.id, message.router))
        signature = dict(headers)[peer_sender.SIGNATURE_HEADER]
        if self.hop == 'old':
            message.ClearField('version')
            body = message.SerializeToString()
            signature = signing.sign(SECRET, body).hex()
        self.ask(self.peer, target, body, signature)
        if self.hop == 'old':
            self.forget_version()
        self.parts = self.pass_parts()

    def ask(self, router, target, data, signature):
        """Make the call, and keep what the router answers."""
        caller = types.SimpleNamespace(
            read_body=lambda *args: data,
            watch_for_close=lambda: None,
            stop_watching=lambda: None,
            reset=lambda: None,
            accepts_chunks=True,
            is_head=False,
            end_with_connection=lambda: self.note_framing(
                framing_.Framing.CONNECTION
            ),
            close_orderly=lambda: None,
            close_if_pressed=lambda: None,
            begin_hold=begin_hold,
            account=shared_resources.SharedResources().memory.open(),
        )
        self.framing = framing_.Framing.CHUNKS
        environ = {
            strict_protocol.CONNECTION: caller,
            strict_protocol.TARGET: target,
            'HTTP_FORWARD_SIGNATURE': signature,
        }
        self.body = router.app(environ, self.start)

    def forget_version(self):
        """Answer as a peer does that knows no versions of streams."""
        headers = dict(self.head.headers)
        text = headers.pop(peer_sender.RESULT_HEADER)
        result = pb.ForwardResult.FromString(base64.b64decode(text))
        result.ClearField('version')
        headers = [*headers.items(), peer_sender.encode_result(result)]
        self.head = dataclasses.replace(self.head, headers=headers)

    def call(self, router, target, data, signature):
        """Return status and result of a call."""
        self.ask(router, target, data, signature)
        text = self.head.get(peer_sender.RESULT_HEADER)
        result = pb.ForwardResult.FromString(base64.b64decode(text))
        return self.head.status, result

    def note_framing(self, framing):
        self.framing = framing

    def start(self, status, headers):
        self.head = connection_.ResponseHead(
            int(status[:3]), headers, self.framing
        )

    def read_head(self, method, deadline):
        if self.hop == 'lose_answer':
            self.close()
            return failures.unknown('broke_off')
        return self.head

    def pass_parts(self):
        try:
            for part in self.body:
                yield part
                if self.hop == 'part':
                    self.world.hops_broken += 1
                    yield failures.unknown('broke_off')
        except reply_.BrokenAnswer:
            yield failures.unknown('broke_off')
        self.close()
        yield b''

    def close(self):
        close = getattr(getattr(self, 'body', None), 'close', None)
        if close is not None and not isinstance(self.body, list):
            self.body = []
            close()


def check(world, kind, request_id, got):
    """Check the promises to one request."""
    runs = world.runs.count(request_id)
    arrivals = world.arrived.count(request_id)
    route = ROUTES[kind]
    assert kind != 'once' or runs <= 1, 'ran twice'
    assert runs <= route.attempts, 'over attempts'
    granted = world.granted.count(request_id)
    assert arrivals <= 1 + granted, f'{arrivals} arrivals, {granted} granted'
    if isinstance(got, failures.Failure):
        is_promise = got.kind is failures.FailureKind.NOT_RUN
        assert not (is_promise and runs), 'said "not run", and ran'
    elif got[0] == 200:
        streams = {b''.join(events) for events in EVENTS.values()}
        assert got[1] in (streams if kind == 'stream' else {b'x'}), got
        is_unframed = world.framing is framing_.Framing.CONNECTION
        assert not is_unframed or got[2] is world.framing, 'claims an end'
        assert len(world.usage) == 1, world.usage
    assert len(world.usage) <= 1, world.usage
    assert len(world.requests) == 1, world.requests
    senders = [sender for id_, sender in world.forwarded if id_ == request_id]
    assert set(senders) <= {'r-0'}, 'forwarded more than once'


@strategies.composite
def worlds(draw):
    """Draw routers, cut upstreams and outcomes."""
    count = draw(strategies.integers(1, 4))
    cut = strategies.sets(strategies.sampled_from(UPSTREAMS))
    cuts = {f'r-{n}': draw(cut) for n in range(1, count)}
    cuts['r-0'] = set(draw(strategies.sampled_from((UPSTREAMS, ('u-1',)))))
    few = {'max_size': 6}
    return World(
        cuts,
        draw(strategies.lists(strategies.sampled_from(ARRIVALS), **few)),
        draw(strategies.lists(strategies.sampled_from(HOPS), **few)),
    )


def run(count):
    """Check random requests, outcomes and cuts."""

    @hypothesis.seed(41)
    @histories.settings(count)
    @hypothesis.given(
        worlds(),
        strategies.lists(
            strategies.sampled_from(sorted(ROUTES)), min_size=1, max_size=4
        ),
    )
    def test(world, kinds):
        for number, kind in enumerate(kinds):
            request_id = f'{kind}-{number}'
            world.usage.clear()
            world.requests.clear()
            got = world.routers['r-0'].ask(kind, request_id)
            check(world, kind, request_id, got)

    test()


def run_old_peers(count):
    """Check streams that go on through a peer that knows no versions."""
    for number in range(count):
        cuts = {
            'r-0': set(UPSTREAMS),
            'r-1': {'u-2', 'u-3'},
            'r-2': {'u-1'},
        }
        world = World(cuts, (), ('part', 'old'))
        got = world.routers['r-0'].ask('stream', f'stream-{number}')
        check(world, 'stream', f'stream-{number}', got)

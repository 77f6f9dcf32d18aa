"""Model of attempts whose outcomes are drawn, over real connections.

Callers, an entry router, a peer and upstreams are connected over loopback. All
parts of the routers that handle a request are real; upstreams and the path
between the routers are scripted. Upstreams record which requests ran or may
still run.
"""

from __future__ import annotations

import collections
import dataclasses
import socket
import struct

from eventlet.green import socket as green_socket
import histories
import hypothesis
from hypothesis import strategies
import peer_model
import raw_upstream

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import caller_app
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.wire import connection as connection_
from peridotmast.wire import server as server_

REFUSALS = (408, 421, 429, 503)
HOST = 'h'
DEADLINE_MS = 150
"""Time limit of a request, in ms: the duration of an example in which an
upstream or a peer is silent."""
LEAVE_MS = 15
LONG_BODY = b'.' * 400_000
"""Padding that does not fit into the buffers of a connection that is not
read."""

ROUTES = {
    f'{kind}{attempts}': (pb.Route(kind=value, resumable=resumable), attempts)
    for kind, value, resumable, limit in (
        ('once', pb.NON_IDEMPOTENT, False, 2),
        ('again', pb.IDEMPOTENT, False, 4),
        ('stream', pb.STREAMING, True, 4),
        ('fixed', pb.STREAMING, False, 2),
    )
    for attempts in range(1, limit)
}


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What an upstream does with one request."""

    cut: str = ''
    """Where the connection breaks: it is reset before, while or after the
    request is read, closed instead of a response, or silent."""
    status: int = 200
    claim: str = ''
    """Value of the header that states that the request did not run."""
    id: str = 'own'
    """Id in the response: that of the request, of another one, or none."""
    form: str = 'whole'
    """The response is whole, its head or body is cut, it is sent twice, has
    two lengths, or is preceded by a refusal of another request, which has the
    id of that request or, on a connection that had a request, none."""
    instance: str = ''
    """Name of the upstream in the response."""
    leaving: bool = False

    @property
    def is_run(self):
        """Whether the request ran or may run, as far as anybody can know."""
        if self.cut in ('before', 'during'):
            return False
        if self.cut or self.form == 'cut_head' or self.id == 'other':
            return True
        states = self.status in REFUSALS and self.claim == '1'
        return not states and not (self.status == 421 and self.instance)


class Upstream(raw_upstream.RawUpstream):
    """Plays the drawn outcomes of one upstream, then answers."""

    def __init__(self, world, name, outcomes):
        self.world, self.name = world, name
        self.outcomes = list(outcomes)
        super().__init__(None)

    def _serve(self, sock):
        number = 0
        try:
            while sock.recv(1, socket.MSG_PEEK):
                outcome = self.outcomes.pop(0) if self.outcomes else Outcome()
                number += 1
                if not self._play(sock, outcome, number):
                    break
        except OSError:
            pass
        finally:
            sock.close()

    def _play(self, sock, outcome, number):
        if outcome.cut == 'before':
            return reset(sock)
        if outcome.cut == 'during':
            sock.recv(64)
            return reset(sock)
        fields, body = read_message(sock)
        self.world.arrived[body.strip(b'.')] += 1
        if outcome.is_run:
            self.world.ran[body.strip(b'.')] += 1
        if outcome.cut == 'after':
            return reset(sock)
        if outcome.cut == 'silent':
            return bool(sock.recv(1))
        if not outcome.cut:
            self._respond(sock, outcome, fields, number)
        return not outcome.cut and not outcome.form.startswith('cut')

    def _respond(self, sock, outcome, fields, number):
        own = fields.get(names.REQUEST_ID.lower(), '')
        request_id = {'own': own, 'other': 'other', 'none': ''}[outcome.id]
        is_stream = names.PRIORITY.lower() in fields
        body = b'id: 1\ndata: x\n\n' if is_stream else b'fine'
        head = [f'HTTP/1.1 {outcome.status} Status', f'{names.SEAL}: s.1']
        head.append(f'Content-Length: {len(body)}')
        if outcome.form == 'two_lengths':
            head.append(f'Content-Length: {len(body) + 1}')
        optional = {
            names.REQUEST_ID: request_id,
            names.NOT_RUN: outcome.claim,
            names.UPSTREAM: outcome.instance,
            names.LEAVING: '1' if outcome.leaving else '',
        }
        head += [
            f'{name}: {value}' for name, value in optional.items() if value
        ]
        data = '\r\n'.join(head).encode()
        if outcome.form != 'cut_head':
            data += b'\r\n\r\n' + body
        if outcome.form == 'cut_body':
            data = data[:-2]
        if outcome.form == 'twice':
            data *= 2
        if outcome.form.startswith('stale'):
            data = stale(outcome.form, number) + data
        sock.sendall(data)


def stale(form, number):
    """Return a refusal of an earlier request on the same connection."""
    status = 421 if form.endswith('421') else 503
    lines = [f'HTTP/1.1 {status} Status', 'Content-Length: 0']
    lines.append(f'{names.NOT_RUN}: 1')
    lines.append(f'{names.UPSTREAM}: other')
    if 'foreign' in form:
        lines.append(f'{names.REQUEST_ID}: other')
    elif number == 1:
        return b''
    return '\r\n'.join([*lines, '', '']).encode()


def reset(sock):
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


def read_message(sock):
    """Return the headers, in lower case, and the body of a request."""
    data = b''
    while b'\r\n\r\n' not in data:
        data += receive(sock)
    head, _, body = data.partition(b'\r\n\r\n')
    lines = (line.partition(': ') for line in head.decode().split('\r\n')[1:])
    fields = {name.lower(): value for name, _, value in lines}
    while len(body) < int(fields.get('content-length', 0)):
        body += receive(sock)
    return fields, body


def receive(sock):
    data = sock.recv(65536)
    if not data:
        raise ConnectionResetError('the request is incomplete')
    return data


@dataclasses.dataclass(frozen=True)
class Hop:
    """What becomes of a call to the peer, which passes if all is default."""

    cut: str = ''
    """Whether the connection is reset before or after the call is read."""
    passed: int = 1 << 30
    """Number of bytes of the answer after which the call breaks; it does not
    break before the answer begins."""
    is_silent: bool = False
    """Whether it then stays open."""


class Path(raw_upstream.RawUpstream):
    """The path to a peer, which breaks as drawn."""

    def __init__(self, target, hops):
        self.target, self.hops = target, list(hops)
        super().__init__(None)

    def _serve(self, sock):
        hop = self.hops.pop(0) if self.hops else Hop()
        host, _, port = self.target.rpartition(':')
        peer = green_socket.create_connection((host, int(port)))
        pump = None
        try:
            if hop.cut:
                if hop.cut == 'after':
                    read_message(sock)
                reset(sock)
                return
            pump = green.spawn(self._pump, sock, peer)
            left = hop.passed
            while data := peer.recv(65536):
                sock.sendall(data[:left])
                left -= len(data)
                if left <= 0:
                    break
            if hop.is_silent:
                green.sleep_ms(2 * DEADLINE_MS)
        except OSError:
            pass
        finally:
            # A socket must not be closed while another task reads from it.
            if pump is not None:
                pump.kill()
            peer.close()
            sock.close()

    def _pump(self, sock, peer):
        try:
            while data := sock.recv(65536):
                peer.sendall(data)
            peer.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class Router(peer_model.Router):
    """A router with real connections."""

    def connect(self):
        self.serving.pool.connect_address = self._upstream_address
        self.serving.peers._pool.connect_address = self._peer_address
        self.serving.gateway.configure(self.world.config)
        self.server = server_.HttpServer('127.0.0.1:0', self.app)
        app = caller_app.PlatformCallerApp(
            self.world.clock,
            self.serving.gateway,
            server_.ServerLimits(),
            self.serving.decisions,
        )
        self.platform = server_.HttpServer('127.0.0.1:0', app)
        for server in (self.server, self.platform):
            server.start()

    def count(self):
        self.serving.retry_budget.set_limits(1, 60_000, 100)

    def _upstream_address(self, address):
        upstream = f'u-{address[-1]}'
        if upstream in self.world.cuts[self.name]:
            return self.world.closed_address
        return self.world.upstreams[upstream].address

    def _peer_address(self, address):
        name = address.partition(':')[0]
        if self.world.peer_is_refused:
            return self.world.closed_address
        return self.world.paths[name].address

    def stop(self):
        self.server.stop()
        self.platform.stop()
        self.serving.pool.close()
        self.serving.peers.close()


class World:
    """One caller, two routers and the upstreams with their outcomes."""

    def __init__(self, outcomes, cuts, hops, peer_is_refused):
        self.clock = clock_.SystemClock()
        self.cuts = cuts
        self.peer_is_refused = peer_is_refused
        self.arrived = collections.Counter()
        self.ran = collections.Counter()
        self.config = pb.Config(services=[peer_model.SERVICE])
        for name, (route, attempts) in ROUTES.items():
            added = self.config.routes.add()
            added.CopyFrom(route)
            added.name, added.host, added.prefix = name, HOST, f'/{name}/'
            added.attempts, added.timeout_ms = attempts, 9000
            added.target_ms, added.target_gap_ms = 400, 800
            added.services.append(peer_model.SERVICE.name)
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            self.closed_address = '127.0.0.1:%d' % sock.getsockname()[1]
        self.upstreams = {
            name: Upstream(self, name, outcomes[name])
            for name in peer_model.UPSTREAMS
        }
        self.routers = {}
        for name in cuts:
            self.routers[name] = Router(self, name)
        self.paths = {
            name: Path(router.server.address, hops)
            for name, router in self.routers.items()
        }

    def was_forwarded(self, token):
        """Return whether the entry router called a peer."""
        decisions = self.routers['r-0'].serving.decisions
        steps = decisions.history(token.decode())
        return any(text.startswith('forwarded ') for _, text in steps)

    def stop(self):
        for part in (*self.upstreams.values(), *self.paths.values()):
            part.stop()
        for router in self.routers.values():
            router.stop()

    def ask(self, route, token, request):
        """Send a request as a caller; return the status, 0 for none."""
        address = self.routers['r-0'].platform.address
        conn = connection_.Connection(address, self.clock)
        assert conn.connect(1000) is None
        headers = [('Host', HOST), (names.DEADLINE_MS, str(DEADLINE_MS))]
        if request.has_id:
            headers.append((names.REQUEST_ID, token.decode()))
        body = token + (LONG_BODY if request.is_long else b'')
        limit = self.clock.now() + (
            LEAVE_MS if request.leaves else 20 * DEADLINE_MS
        )
        head = conn.send('POST', f'/{route}/x', headers, body, limit)
        if head is None:
            head = conn.read_head('POST', limit)
        if isinstance(head, failures.Failure):
            assert request.leaves or head.reason != 'silent', head
        else:
            conn.read_all(limit, 1 << 20)
        conn.close()
        return 0 if isinstance(head, failures.Failure) else head.status


@dataclasses.dataclass(frozen=True)
class Request:
    """How a caller sends a request."""

    has_id: bool = True
    is_long: bool = False
    leaves: bool = False
    """Whether the caller closes its connection before a late response."""


def check(world, route, token, status):
    """Check what a status states against what happened at the upstreams."""
    kind, attempts = ROUTES[route]
    runs = world.ran[token]
    if status in REFUSALS:
        assert not runs, f'{status} for a request that ran or may run'
    may_repeat = kind.kind == pb.IDEMPOTENT or kind.resumable
    assert runs <= (attempts if may_repeat else 1), f'{runs} runs'


def rarely(value, default):
    """Draw `default` in most cases, and else from `value`."""
    return strategies.sampled_from((True, True, False)).flatmap(
        lambda usual: strategies.just(default) if usual else value
    )


OUTCOMES = strategies.builds(
    Outcome,
    cut=rarely(
        strategies.sampled_from(
            ('before', 'during', 'after', 'closed', 'silent')
        ),
        '',
    ),
    status=strategies.sampled_from((200, 404, 500, *REFUSALS)),
    claim=strategies.sampled_from(('', '1', '0')),
    id=rarely(strategies.sampled_from(('none', 'other')), 'own'),
    form=rarely(
        strategies.sampled_from(
            (
                'cut_head',
                'cut_body',
                'twice',
                'two_lengths',
                'stale_foreign',
                'stale_foreign_421',
                'stale',
                'stale_421',
            )
        ),
        'whole',
    ),
    instance=rarely(strategies.just('other'), ''),
    leaving=rarely(strategies.just(True), False),
)
HOPS = strategies.builds(
    Hop,
    cut=rarely(strategies.sampled_from(('before', 'after')), ''),
    passed=strategies.sampled_from((1 << 30, 0, 20, 120)),
    is_silent=rarely(strategies.just(True), False),
)
REQUESTS = strategies.builds(
    Request,
    has_id=rarely(strategies.just(False), True),
    is_long=rarely(strategies.just(True), False),
    leaves=rarely(rarely(strategies.just(True), False), False),
)


@strategies.composite
def worlds(draw):
    """Draw the outcomes at each upstream, and what each router reaches."""
    some = strategies.lists(OUTCOMES, min_size=1, max_size=3)
    every = set(peer_model.UPSTREAMS)
    cut = strategies.sets(strategies.sampled_from(peer_model.UPSTREAMS))
    return (
        {name: draw(some) for name in peer_model.UPSTREAMS},
        {
            'r-0': draw(strategies.just(every) | strategies.just(set()) | cut),
            'r-1': draw(rarely(cut, set())),
        },
        draw(strategies.lists(HOPS, min_size=1, max_size=3)),
        draw(rarely(strategies.just(True), False)),
    )


def run(count):
    """Check random outcomes; return how often each status was seen."""
    seen = collections.Counter()

    @hypothesis.seed(53)
    # Shrinking would take minutes, as silence lasts in real time.
    @histories.settings(count, phases=[hypothesis.Phase.generate])
    @hypothesis.given(
        worlds(),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(sorted(ROUTES)), REQUESTS
            ),
            min_size=1,
            max_size=3,
        ),
    )
    def test(drawn, requests):
        world = World(*drawn)
        try:
            for number, (route, request) in enumerate(requests):
                token = b'%d-%s' % (number, route.encode())
                status = world.ask(route, token, request)
                check(world, route, token, status)
                seen[status] += 1
                seen['forwarded'] += world.was_forwarded(token)
        finally:
            world.stop()

    test()
    return seen

"""Steps for upstreams that are silent for a while, and then go on."""

from __future__ import annotations

import itertools
import json
import re

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import histories
import hypothesis
from hypothesis import strategies
import raw_upstream
import upstream_steps

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb

LAST = 5
"""Id of the last event of each stream."""
EVENT_MS = 20
SILENT_AFTER = 2
"""Id of the event after which an upstream is silent in a stream."""

NOTICE_MS = 1200
"""Time after which a leaving upstream is gone, in ms."""

_numbers = itertools.count(1)


class Upstream:
    """An upstream that is silent at one place of its next answers.

    It serves streams and pages.
    """

    def __init__(self, name, version='v1'):
        self.name, self.version = name, version
        self.silences = {}
        """Time of silence before each place, in ms: an event, or 0 for the
        head."""
        self.mode = 'answers'
        self.ids = []
        """Requests that were answered to their end."""
        self.began_at, self.closed_at = 0, 0
        """Time of the first event of the last stream, and of its close by the
        router."""
        self.move_ms = 0
        """Time for which it is silent when it is to move a run, in ms."""
        self.is_moved = False
        self.raw = raw_upstream.RawUpstream(self._answer)

    def _answer(self, sock, request_id, number):
        path = self.raw.requests[-1].split()[1].decode()
        if path == names.REPORT_PATH:
            return self._send_json(sock, {names.LEAVES_MS: NOTICE_MS})
        if path == names.MOVE_PATH:
            green.sleep_ms(self.move_ms)
            self.is_moved = True
            return self._send_json(sock, {names.HANDLE: 'h1'})
        if self.mode == 'refuses':
            lines = (f'{names.NOT_RUN}: 1', 'Content-Length: 0')
            status = '503 Service Unavailable'
            head = upstream_steps.make_head(request_id, *lines, status=status)
            sock.sendall(head)
            return True
        request = self.raw.requests[-1].decode()
        green.sleep_ms(self.silences.get(0, 0))
        if '/pages/' in request.partition('\r\n')[0]:
            sock.sendall(raw_upstream.ok_response(request_id))
            self.ids.append(request_id)
            return True
        found = re.search(rf'(?i)\r\n{names.LAST_EVENT}: (\d+)', request)
        return self._stream(sock, request_id, int(found[1]) if found else 0)

    def _stream(self, sock, request_id, last):
        lines = ('Transfer-Encoding: chunked', 'Content-Type: text/plain')
        sock.sendall(upstream_steps.make_head(request_id, *lines))
        if self.mode == 'closes':
            return False
        for event in range(last + 1, LAST + 1):
            if event > last + 1 or not last:
                self._pause(sock, self.silences.get(event, 0))
            self.began_at = self.began_at or clock_.SystemClock().now()
            text = f'id: {event}\ndata: {self.name}\n\n'.encode()
            sock.sendall(b'%x\r\n%b\r\n' % (len(text), text))
            green.sleep_ms(EVENT_MS)
        sock.sendall(b'0\r\n\r\n')
        self.ids.append(request_id)
        return True

    def _send_json(self, sock, fields):
        body = json.dumps(fields)
        lines = (f'Content-Length: {len(body)}',)
        sock.sendall(upstream_steps.make_head('', *lines) + body.encode())
        return True

    def _pause(self, sock, ms):
        """Be silent, and note when the router closes the connection.

        The stream ends there if its run is moved meanwhile.
        """
        for _ in range(0, ms, EVENT_MS):
            with green.Timeout(EVENT_MS / 1000, False):
                if not sock.recv(1):
                    self.closed_at = clock_.SystemClock().now()
                    raise ConnectionResetError
            if self.is_moved:
                raise ConnectionResetError


def start(context, versions=('v1', 'v1')):
    config = fleet_steps.CONFIG
    config = fleet_steps.replace_route_keys(
        config, 'chat', target_gap_ms=100, target_ms=200
    )
    config = fleet_steps.replace_route_keys(
        config, 'pages', target_ms=200, services=shape_.ENGINE_SERVICE
    )
    helpers.start_fleet(context, routers=1, engines=0, config=config)
    context.upstreams = [
        Upstream(f'raw-{number}', version)
        for number, version in enumerate(versions)
    ]
    for upstream in context.upstreams:
        context.closing.append(upstream.raw.stop)


def register(context):
    for upstream in context.upstreams:
        upstream.raw.register(
            context.fleet,
            shape_.ENGINE_SERVICE,
            upstream.name,
            version=upstream.version,
        )
    fleet_steps.wait_until_known(
        context, len(context.upstreams), shape_.ENGINE_SERVICE
    )


@given(
    'a fleet of 1 routers with two scripted upstreams that count as silent'
    ' after 400 ms'
)
def two_upstreams(context):
    start(context)


def ask(context, path):
    router = context.fleet.running_routers()[0]
    is_page = path.startswith('/pages')
    return helpers.send_request(
        router.address,
        path,
        method='GET' if is_page else 'POST',
        body=b'' if is_page else b'letter %d' % next(_numbers),
        headers=[(names.TOKEN_COUNTS, '64,10')],
    )


def hinder(context, obstacle, silences):
    """Bring about what keeps an answer from going on elsewhere."""
    first, other = context.upstreams
    router = context.fleet.routers[0]
    if obstacle == 'no retry is left':
        router.serving.retry_budget.is_first_run = lambda: False
    elif obstacle == 'the other upstream is silent too':
        other.silences = silences
    elif obstacle == 'the other upstream refuses':
        other.mode = 'refuses'
    elif obstacle == 'the other upstream is closed after its head':
        other.mode = 'closes'
    elif obstacle == "the other upstream can't be connected to":
        other.raw.stop()
    elif obstacle == 'the other upstream has another version':
        other.version = 'v2'


PLACES = {
    'in the middle of a stream': ('/chat/x', SILENT_AFTER + 1),
    'before the head of a stream': ('/chat/x', 0),
    'before the head of a page': ('/pages/x', 0),
}


@when(
    'an upstream is silent for {ms:d} ms {place} while {obstacle}',
)
def silent_while(context, ms, place, obstacle):
    path, before = PLACES[place]
    first, other = context.upstreams
    silences = {before: ms}
    first.silences = silences
    hinder(context, obstacle, silences)
    register(context)
    # Placement prefers the upstream with less load; the other one must not
    # get the first request.
    placement = context.fleet.routers[0].serving.placement
    choose, chosen = placement.choose, []

    def choose_first(exchange, service, avoid=()):
        if not avoid and len(chosen) < 1:
            chosen.append(exchange.id)
            return choose(exchange, service, {other.name})
        return choose(exchange, service, avoid)

    placement.choose = choose_first
    tasks = [green.spawn(ask, context, path)]
    if obstacle == 'the other upstream is silent too':
        helpers.wait_until(lambda: first.raw.requests, 'the request arrives')
        tasks.append(green.spawn(ask, context, path))
    context.answers = [task.wait() for task in tasks]


def is_whole(answer):
    if answer.status != 200 or not answer.complete:
        return False
    ids = helpers.event_ids(answer.body)
    return answer.body == b'fine' or ids == list(range(1, LAST + 1))


@then('the answer is whole, and its first upstream has brought it')
def whole_from_first(context):
    assert all(map(is_whole, context.answers)), context.answers
    first = context.upstreams[0]
    assert context.answers[0].request_id in first.ids, first.ids


@then(
    'the answer is whole after less than {ms:d} ms, and the other upstream has'
    ' ended it'
)
def whole_from_other(context, ms):
    (answer,) = context.answers
    assert is_whole(answer), answer
    assert answer.request_id in context.upstreams[1].ids
    assert answer.ms < ms, answer.ms


@then(
    'the silent upstream was closed within {ms:d} ms of the first event of the'
    ' other one'
)
def closed_within(context, ms):
    first, other = context.upstreams
    assert is_whole(context.answers[0]), context.answers
    assert first.closed_at, 'not closed'
    assert abs(first.closed_at - other.began_at) <= ms, (
        first.closed_at - other.began_at
    )


@when(
    'the upstream of a stream that may not be resumed leaves, and is silent'
    ' for {ms:d} ms when it is to move the stream'
)
def leaves_and_is_silent(context, ms):
    first, other = context.upstreams
    first.silences, first.move_ms = {SILENT_AFTER + 1: 20_000}, ms
    first.raw.register(context.fleet, shape_.ENGINE_SERVICE, first.name)
    fleet_steps.wait_until_known(context, 1, shape_.ENGINE_SERVICE)
    task = green.spawn(ask, context, '/once/x')
    helpers.wait_until(lambda: first.began_at, 'the stream begins')
    other.raw.register(context.fleet, shape_.ENGINE_SERVICE, other.name)
    fleet_steps.wait_until_known(context, 2, shape_.ENGINE_SERVICE)
    leaving = pb.UPSTREAM_STATE_LEAVING
    first.raw.register(
        context.fleet, shape_.ENGINE_SERVICE, first.name, state=leaving
    )
    context.answers = [task.wait()]


SILENCES = strategies.dictionaries(
    strategies.sampled_from((0, 1, 3, 5)),
    strategies.sampled_from((150, 500, 900)),
    max_size=2,
)
MODES = strategies.sampled_from(('answers', 'answers', 'refuses', 'closes'))


@then(
    'in {count:d} drawn worlds each answer of an upstream that goes on is'
    ' whole'
)
def drawn_silences(context, count):
    start(context, versions=('v1', 'v1', 'v2'))
    register(context)
    budget = context.fleet.routers[0].serving.retry_budget
    seen = []

    @hypothesis.seed(68)
    @histories.settings(count)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(SILENCES, MODES), min_size=3, max_size=3
        ),
        strategies.booleans(),
        strategies.integers(1, 4),
    )
    def test(plays, has_retries, streams):
        budget.is_first_run = lambda: has_retries
        for upstream, (silences, mode) in zip(context.upstreams, plays):
            upstream.silences = silences
            upstream.mode = mode
        # An upstream that goes on brings its answers; the others may not.
        context.upstreams[0].mode = 'answers'
        tasks = [green.spawn(ask, context, '/chat/x') for _ in range(streams)]
        for task in tasks:
            answer = task.wait()
            seen.append(answer.status)
            names_in = set(re.findall(rb'data: (\S+)', answer.body))
            versions = {
                u.version
                for u in context.upstreams
                if u.name.encode() in names_in
            }
            assert len(versions) <= 1, (names_in, answer)
            ids = helpers.event_ids(answer.body)
            assert ids == list(range(1, len(ids) + 1)), ids
            if ids and all(mode != 'closes' for _, mode in plays[1:]):
                assert is_whole(answer), (answer, plays, has_retries)

    test()
    # Draws in which few answers begin would prove little.
    assert seen.count(200) > len(seen) / 3, seen

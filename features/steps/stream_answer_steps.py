"""Steps for what an upstream answers that is to go on with a stream."""

from __future__ import annotations

import collections
import itertools
import json
import re
from unittest import mock

import answer_end_steps
from behave import given
from behave import then
import fleet_steps
import helpers
import histories
import hypothesis
from hypothesis import strategies
import raw_upstream
import stream_answers
import upstream_steps

from peridotmast.client import caller
from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import oracle
from peridotmast.platform import engine_control
from peridotmast.platform import names
from peridotmast.serving import stream_migrator
from peridotmast.wire import event_reader

ENGINES = 6
STALL_GAP_MS = 25
"""Target gap of the routes: an engine counts as silent after four of them."""
SILENT_MS = 400
MOVE_MS = 2000
CHAT_MS = 4000

_numbers = itertools.count(1)


class BrokenStream:
    """The first events of a stream, which then breaks off."""

    last = stream_answers.BROKEN_AFTER

    def send(self, sock, request_id, last_event):
        self.begin(sock, request_id)
        self.send_events(sock, last_event + 1, self.last)
        self.end(sock, last_event)

    def begin(self, sock, request_id):
        lines = (stream_answers.STREAM_TYPE, 'Transfer-Encoding: chunked')
        sock.sendall(upstream_steps.make_head(request_id, *lines))

    def send_events(self, sock, first, last):
        body = stream_answers.events(first, last)
        if body:
            sock.sendall(b'%x\r\n%b\r\n' % (len(body), body))

    def end(self, sock, last_event):
        """Break off in the middle of a chunk."""
        sock.sendall(b'40\r\nid: ')


class SilentStream(BrokenStream):
    """A stream that is silent for a while, and then goes on."""

    def end(self, sock, last_event):
        green.sleep_ms(SILENT_MS)
        self.send_events(sock, self.last + 1, stream_answers.LAST)
        sock.sendall(b'0\r\n\r\n')


class MovedStream(BrokenStream):
    """A stream whose run is moved after some events."""

    def __init__(self, engines, last):
        self.engines, self.last = engines, last

    def end(self, sock, last_event):
        moved = self.engines.moved = green.Event()
        with green.Timeout(MOVE_MS / 1000, False):
            moved.wait()


class SoundStream:
    """All events that follow the stated one."""

    def send(self, sock, request_id, last_event):
        stream_answers.Sound('plain', stream_answers.PLAIN).send(
            sock, request_id, last_event
        )


class OwnStream:
    """A stream into which its engine writes an answer before its end."""

    def __init__(self, answer, framing):
        self.answer, self.framing = answer, framing

    def send(self, sock, request_id, last_event):
        kept = stream_answers.events(last_event + 1, 4)
        body = kept + self.answer
        lines = [stream_answers.STREAM_TYPE]
        if self.framing == 'chunks':
            lines.append('Transfer-Encoding: chunked')
        sock.sendall(upstream_steps.make_head(request_id, *lines))
        sock.sendall(stream_answers.frame(body, self.framing))


class Engines:
    """Engines of which the next one that is asked plays the next answer."""

    def __init__(self, context):
        self.plays = collections.deque()
        self.moved = None
        self.upstreams = [
            raw_upstream.RawUpstream(self._player(n)) for n in range(ENGINES)
        ]
        for number, upstream in enumerate(self.upstreams):
            context.closing.append(upstream.stop)
            upstream.register(
                context.fleet,
                shape_.ENGINE_SERVICE,
                f'raw-{number}',
                version='v1',
            )
        fleet_steps.wait_until_known(context, ENGINES, shape_.ENGINE_SERVICE)

    def _player(self, number):
        def play(sock, request_id, _):
            head = self.upstreams[number].requests[-1].decode()
            if head.split()[1] == names.MOVE_PATH:
                return self._move(sock)
            found = re.search(rf'(?i)\r\n{names.LAST_EVENT}: (\d+)', head)
            if self.plays:
                answer = self.plays.popleft()
                answer.send(sock, request_id, int(found[1]) if found else 0)
            return False

        return play

    def _move(self, sock):
        body = json.dumps({names.HANDLE: 'h1'}).encode()
        line = f'Content-Length: {len(body)}'
        sock.sendall(upstream_steps.make_head('', line) + body)
        self.moved.send(True)
        return False


@given('a fleet of 2 routers with engines that play answers')
def start(context):
    config = fleet_steps.CONFIG
    for attempts in (1, 2, 3):
        config += route(f'tries-{attempts}', attempts)
    config += route('moves', 1, resumable=False)
    helpers.start_fleet(context, routers=2, engines=0, config=config)
    context.engines = Engines(context)
    for router in context.fleet.routers:
        serving = router.serving
        # Hundreds of streams break off on purpose within seconds.
        serving.retry_budget.take = lambda service, request: True
        serving.retry_budget.has_left = lambda service: True
        for number in range(ENGINES):
            view = router.upstream_table.get(f'raw-{number}')
            view.health.allows_request = lambda: True


def route(name, attempts, resumable=True):
    return f"""
[route {name}]
host = {shape_.HOST}
prefix = /{name}/
kind = streaming
services = {shape_.ENGINE_SERVICE}
timeout_ms = 60000
target_ms = 300
target_gap_ms = {STALL_GAP_MS}
attempts = {attempts}
resumable = {str(resumable).lower()}
"""


def ask(context, path, *plays, lines='', request_id=''):
    """Play a request; return what its caller received."""
    engines = context.engines
    engines.plays.clear()
    engines.plays.extend(plays)
    return answer_end_steps.ask(
        context,
        path,
        body=b'letter %d' % next(_numbers),
        tokens=stream_answers.OUTPUT_TOKENS,
        lines=lines,
        request_id=request_id,
    )


def after_break(context, answer):
    """The stream breaks off, and another engine gives the answer."""
    return ask(context, '/tries-2/x', BrokenStream(), answer)


def before_third(context, answer):
    """A third engine goes on with the stream."""
    return ask(context, '/tries-3/x', BrokenStream(), answer, SoundStream())


def beside_silent(context, answer):
    """The engine of the stream is silent, and then goes on."""
    return ask(context, '/tries-2/x', SilentStream(), answer)


def after_move(context, answer, last=stream_answers.BROKEN_AFTER):
    """The run is moved to the engine that gives the answer."""
    return move(context, MovedStream(context.engines, last), answer)


def move(context, moved, answer):
    """Play a stream whose run is moved after its last event."""
    last = moved.last
    task = green.spawn(ask, context, '/moves/x', moved, answer)
    router = context.fleet.routers[0]
    relay = router.serving._relay
    helpers.wait_until(
        lambda: any(
            stream.reader.last_id == (last or -1) for stream in streams(relay)
        ),
        'the stream has come so far',
    )
    (stream,) = streams(relay)
    view = stream.sent.reservation.view
    stream_migrator.StreamMigrator(
        clock_.SystemClock(),
        relay,
        router.serving.placement,
        engine_control.EngineControl(MOVE_MS, MOVE_MS),
        router.serving.decisions,
        green.spawn,
        MOVE_MS,
    ).move(stream, view)
    return task.wait()


def streams(relay):
    return list(itertools.chain(*map(relay.streams_at, relay.busy_views())))


def after_early_move(context, answer):
    """The same before the first event."""
    return after_move(context, answer, 0)


def through_peer(context, answer):
    """The stream breaks off; its router reaches no other engine."""
    placement = context.fleet.routers[0].serving.placement
    choose = placement.choose
    placement.choose = lambda exchange, service, avoid=(): (
        None if avoid else choose(exchange, service, avoid)
    )
    try:
        return ask(context, '/tries-2/x', BrokenStream(), answer)
    finally:
        placement.choose = choose


def taken_up(context, answer):
    """The stream breaks off, and its caller takes it up."""
    return take_up(context, answer, SoundStream())


def taken_up_and_broken(context, answer):
    """The same, and it breaks off again."""
    second = BrokenStream()
    second.last = 6
    return take_up(context, second, answer)


def take_up(context, *plays):
    request_id = f'taken-{next(_numbers)}'
    first = ask(context, '/tries-1/x', BrokenStream(), request_id=request_id)
    assert first.result == 'broken', first
    lines = (
        f'{names.LAST_EVENT}: {stream_answers.BROKEN_AFTER}\r\n'
        f'{names.RESUMES}: {request_id}\r\n'
    )
    return ask(context, '/tries-2/x', *plays, lines=lines)


PLACES = {
    'after a break': (after_break, 0, (4,), stream_answers.ALL),
    'before a third engine': (before_third, 0, (12,), stream_answers.ALL),
    'beside a silent engine': (beside_silent, 0, (12,), stream_answers.FEW),
    'after a move': (after_move, 0, (4,), stream_answers.ALL),
    'after a move before the first event': (
        after_early_move, 0, (0,), stream_answers.EARLY
    ),
    'through a peer': (through_peer, 0, (4,), stream_answers.ALL),
    'to a caller that takes the stream up': (
        taken_up, 4, (4, 12), stream_answers.FIRST
    ),
    'to such a caller, after a break': (
        taken_up_and_broken, 4, (6,), stream_answers.ALL
    ),
}  # fmt: skip
"""How an answer comes to be asked for, the id of the event before the first
one, those at which the stream may end, and the answers."""


@then('what is no stream never becomes a part of one {place}')
def never_part_of_stream(context, place):
    play, before, ends, answers = PLACES[place]
    wrong = []
    for answer in answers:
        found = play(context, answer)
        if not is_allowed(found, answer, before, ends):
            wrong.append(
                f'{answer.name}: {found.status} {found.result} {found.body}'
            )
    count = len(answers)
    assert not wrong, '\n'.join([f'{len(wrong)} of {count}', *wrong])


def is_allowed(found, answer, before, ends):
    """Return whether what a caller received is whole or visibly broken off.

    Before the first event it may be an error.
    """
    if found.status != 200:
        return found.status != 0 and min(ends) <= before
    bodies = [stream_answers.events(before + 1, last) for last in ends]
    # Comments keep a connection alive, and are no part of a stream.
    body = found.body.replace(stream_answers.COMMENT, b'')
    if body not in bodies:
        return False
    is_whole = body == stream_answers.events(before + 1)
    return is_whole == (found.result in ('complete', 'until close'))


OWN = [
    stream_answers.ERROR_HEAD,
    stream_answers.ERROR_HEAD + b'\n\n',
    stream_answers.ERROR_TEXT,
    stream_answers.ERROR_EVENT,
    b'unavailable\n\n',
    b'Error: gone\n\n',
    b'{"error": "gone"}\n\n',
    b'<html>\n<body>gone</body>\n</html>\n\n',
    stream_answers.event(5)[:9] + stream_answers.ERROR_HEAD,
    stream_answers.event(5)[:-4] + stream_answers.ERROR_HEAD,
    stream_answers.event(5)[:-1] + stream_answers.ERROR_HEAD,
    stream_answers.event(5)[:-4]
    + b'HTTP/1.1 502 Bad Gateway\r\n\r\ngone\r\n\r\n',
    stream_answers.event(3),
    b'id:\ndata: {"error": "gone"}\n\n',
    b'id: err\nevent: error\ndata: {"error": "gone"}\n\n',
]
"""What engines write into their own streams."""


@then('what an engine writes into its own stream never becomes a part of it')
def never_part_of_own_stream(context):
    wrong = []
    whole = stream_answers.events(1)
    for answer, framing in itertools.product(OWN, ('chunks', 'connection')):
        alone = ask(context, '/moves/x', OwnStream(answer, framing))
        kept = alone.body == stream_answers.events(1, 4)
        if not kept or alone.result != 'broken':
            wrong.append((framing, answer, alone))
        followed = ask(
            context, '/tries-2/x', OwnStream(answer, framing), SoundStream()
        )
        ends = {'chunks': 'complete', 'connection': 'until close'}
        if followed.body != whole or followed.result != ends[framing]:
            wrong.append((framing, answer, followed))
    count = 4 * len(OWN)
    assert not wrong, '\n'.join([f'{len(wrong)} of {count}', *map(str, wrong)])


class Part:
    """A sound stream that breaks off after some events."""

    def __init__(self, sound):
        self.sound = sound

    def send(self, sock, request_id, last_event):
        body = self.sound.body(1, stream_answers.BROKEN_AFTER)
        lines = (*self.sound.lines, 'Transfer-Encoding: chunked')
        sock.sendall(upstream_steps.make_head(request_id, *lines))
        sock.sendall(b'%x\r\n%b\r\n' % (len(body), body))


@then('sound streams of unusual form pass whole, and go on whole')
def sound_streams_pass(context):
    wrong = []
    for sound in stream_answers.SOUND:
        expected = sound.body(1)
        for plays in ((sound,), (Part(sound), sound)):
            found = ask(context, '/tries-2/x', *plays)
            if found.body != expected or found.result != 'complete':
                wrong.append((sound.name, len(plays), found))
    assert not wrong, '\n'.join(map(str, wrong))


@then('a stream whose events have no ids passes whole, and goes on nowhere')
def stream_without_ids(context):
    sound = stream_answers.Sound('no ids', 'data: w{n}\n\n')
    found = ask(context, '/tries-2/x', sound)
    assert found.body == sound.body(1), found
    assert found.result == 'complete', found
    found = ask(context, '/tries-2/x', Part(sound), sound)
    assert found.body == sound.body(1, stream_answers.BROKEN_AFTER), found
    assert found.result == 'broken', found


class Ended(BrokenStream):
    """All events of a stream, without its end."""

    last = stream_answers.LAST


class Nothing:
    """A stream in order that has no events."""

    def __init__(self, framing):
        self.framing = framing

    def send(self, sock, request_id, last_event):
        stream_answers.Answer(
            'nothing',
            '200 OK',
            b'',
            (stream_answers.STREAM_TYPE,),
            self.framing,
        ).send(sock, request_id, last_event)


@then('a stream that has all its tokens ends where no event follows')
def stream_with_all_tokens(context):
    for framing in ('length', 'chunks'):
        found = ask(context, '/tries-2/x', Ended(), Nothing(framing))
        assert found.body == stream_answers.events(1), found
        assert found.result == 'complete', found


@then('a stream ends early where two engines say that no event follows')
def two_engines_state_end(context):
    found = ask(
        context,
        '/tries-3/x',
        BrokenStream(),
        Nothing('length'),
        Nothing('chunks'),
    )
    assert found.body == stream_answers.events(1, 4), found
    assert found.result == 'complete', found


@then('a chat that goes on with an error reports that it broke off')
def chats_report_errors(context):
    (address,) = [r.chat_address for r in context.fleet.routers[:1]]
    wrong = []
    for answer in stream_answers.FEW:
        engines = context.engines
        engines.plays.clear()
        engines.plays.extend((BrokenStream(), answer))
        # Another request of the caller would take the next play.
        with mock.patch.object(caller, '_DEFAULT_RETRY_MS', CHAT_MS):
            found = caller.Caller([address], 'key-noor').chat(
                oracle.MODEL,
                f'letter {answer.name}',
                stream_answers.OUTPUT_TOKENS,
                deadline_ms=CHAT_MS,
            )
        assert len(found.attempts) == 1, found
        first = found.attempts[0]
        if not first.error_reported:
            wrong.append((answer.name, found))
    assert not wrong, '\n'.join(map(str, wrong))


@then('a caller that takes a stream up has each event once')
def taken_up_once(context):
    follows = stream_answers.events(5)
    for repeats in (0, 2, 4):
        again = stream_answers.Sound(
            'again', stream_answers.PLAIN, repeats=repeats
        )
        found = take_up(context, again)
        assert found.body == follows, (repeats, found)
        assert found.result == 'complete', (repeats, found)


JUNK = strategies.sampled_from(
    [
        junk
        for junk in OWN
        # Sound where no event stands before them.
        if junk != stream_answers.event(3) and b'data: {"error"' not in junk
    ]
) | strategies.builds(
    lambda text: text + b'\n\n',
    strategies.from_regex(rb'\A[A-Z][a-z]* [a-z ]+[.!]?\Z'),
)
"""Errors that an engine writes: those of the table, and drawn texts."""


@then(
    'in {count:d} drawn streams, in pieces of any size, only whole events are'
    ' passed on, in order'
)
def drawn_streams(context, count):
    @hypothesis.seed(88)
    @histories.settings(count)
    @hypothesis.given(
        strategies.sampled_from(stream_answers.SOUND),
        strategies.lists(
            strategies.tuples(strategies.integers(0, 4), JUNK), max_size=3
        ),
        strategies.integers(0, 3),
        strategies.integers(1, 40),
    )
    def test(sound, breaks, repeats, size):
        reader = event_reader.EventReader()
        received, last = b'', 0
        for count, junk in breaks:
            end = min(last + count, stream_answers.LAST - 1)
            data = sound.body(max(1, last + 1 - repeats), end) + junk
            received += feed(reader, data, size)
            assert contents(received) == contents(sound.body(1, end)), junk
            is_visible = reader.fault is not None or reader.is_inside_event
            assert is_visible, (end, junk)
            reader.restart()
            last = end
        data = sound.body(max(1, last + 1 - repeats))
        received += feed(reader, data, size)
        assert contents(received) == contents(sound.body(1)), received
        assert reader.fault is None, reader.fault

    test()


def feed(reader, data, size):
    pieces = (data[at : at + size] for at in range(0, len(data), size))
    return b''.join(map(reader.feed, pieces))


def contents(data):
    """Return the ids and texts of all events."""
    return re.findall(rb'^(?:id|data)(?![a-z])[^\r\n]*', data, re.MULTILINE)


@then('streams break off where an attempt proves too little')
def little_proof(context):
    early = BrokenStream()
    early.last = 1
    empty = Nothing('connection')
    gap = stream_answers.Answer(
        'a gap', '200 OK', stream_answers.events(8), (), 'length'
    )
    for plays in (
        (early, gap),
        (BrokenStream(), empty, Nothing('length')),
        (BrokenStream(), empty, empty),
    ):
        found = ask(context, f'/tries-{len(plays)}/x', *plays)
        last = getattr(plays[0], 'last')
        assert found.body == stream_answers.events(1, last), (plays, found)
        assert found.result == 'broken', (plays, found)


@then('a run that is moved and brings nothing has not ended')
def moved_without_event(context):
    moved = MovedStream(context.engines, stream_answers.BROKEN_AFTER)
    moved.begin = lambda sock, request_id: sock.sendall(
        upstream_steps.make_head(request_id, stream_answers.STREAM_TYPE)
    )
    moved.send_events = lambda sock, first, last: sock.sendall(
        stream_answers.events(first, last)
    )
    found = move(context, moved, Nothing('length'))
    assert found.body == stream_answers.events(1, 4), found
    assert found.result == 'broken', found


@then('a caller whose engine ends before its position gets no whole answer')
def ends_before_position(context):
    short = stream_answers.Answer(
        'short', '200 OK', stream_answers.events(1, 3), (), 'length'
    )
    found = take_up(context, short, short)
    assert found.status == 502, found

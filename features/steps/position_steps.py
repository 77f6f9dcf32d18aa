"""Steps for streams that callers take up, and that are moved or break off."""

from __future__ import annotations

import dataclasses
import re
from unittest import mock

from behave import then
from behave import when
import histories
import hypothesis
from hypothesis import strategies
import peer_model

from peridotmast import failures
from peridotmast.platform import names
from peridotmast.serving import stream as stream_
from peridotmast.serving import stream_migrator

ONE_VERSION = dict.fromkeys(peer_model.UPSTREAMS, 'a')
EVENTS = peer_model.EVENTS['a']
MOST_ATTEMPTS = 6


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What becomes of one attempt after some events."""

    is_moved: bool
    events: int
    late_events: tuple[bytes, ...] = ()
    """Events that are sent after the run was stopped for its move."""


class Conn(peer_model.UpstreamConn):
    """A connection on which one attempt of a script is played."""

    def __init__(self, world, upstream, router):
        super().__init__(world, upstream)
        self.router = router

    def send(self, method, target, headers, body, deadline):
        stated = dict(headers).get(names.LAST_EVENT)
        self.world.positions.append(stated)
        is_read = stated is not None and re.fullmatch('[0-9]{1,18}', stated)
        fields = {**dict(headers), names.LAST_EVENT: stated if is_read else 0}
        super().send(method, target, fields.items(), body, deadline)
        is_scripted = bool(self.world.script)
        self.attempt = self.world.script.pop(0) if is_scripted else None

    def events(self):
        events = self.world.events[self.resumed :]
        if self.attempt is None:
            yield from events
            yield b''
        yield from events[: self.attempt.events]
        if self.attempt.is_moved:
            self.move()
        yield from self.attempt.late_events
        yield failures.unknown('broke_off')

    def move(self):
        serving = self.router.serving
        migrator = stream_migrator.StreamMigrator(
            self.world.clock,
            serving._relay,
            serving.placement,
            Control(),
            serving.decisions,
            lambda name, func, *args: func(*args),
            3000,
        )
        view = self.router.table.get(self.upstream)
        migrator._move_streams(view, gone_at=0)


class Control:
    """Control calls to engines, which all succeed."""

    def move(self, address, request_id, target):
        return stream_migrator.KvCopy('kv', is_at_target=True)


def play(position, script, is_through_peer=False, hops=(), events=EVENTS):
    """Return the world and what a caller got of a stream it takes up."""
    cuts = {'r-0': ()}
    if is_through_peer:
        cuts = {'r-0': set(peer_model.UPSTREAMS), 'r-1': (), 'r-2': ()}
    with mock.patch.dict(peer_model.VERSIONS, ONE_VERSION):
        world = peer_model.World(cuts, (), hops)
        world.script, world.positions = list(script), []
        world.events = events
        for router in world.routers.values():
            connect(world, router)
        headers = [] if position is None else [(names.LAST_EVENT, position)]
        got = world.routers['r-0'].ask('stream', 'request', headers)
    return world, got


def connect(world, router):
    cut = world.cuts[router.name]

    def acquire(address):
        upstream = f'u-{address[-1]}'
        if upstream in cut:
            return router.reach_upstream(address)
        return Conn(world, upstream, router)

    router.serving.pool.acquire = acquire


@when('a caller takes a stream up after event {position}, {attempts}')
def take_up(context, position, attempts):
    stated = {'none': None, 'empty': ''}.get(position, position)
    through = re.match(r'through a peer(?P<lost> that is lost)?', attempts)
    script = [
        Attempt(how == 'moved', int(count) if count.isdigit() else 0)
        for how, count in re.findall(
            r'(moved|broken off) (?:before|after) (an|\d) event', attempts
        )
    ]
    hops = ('part',) if through and through['lost'] else ()
    context.world, context.got = play(stated, script, bool(through), hops)


@then('it receives the events from {first:d} on, each once')
def receives_from(context, first):
    assert not isinstance(context.got, failures.Failure), context.got
    assert context.got[1] == b''.join(EVENTS[first - 1 :]), context.got
    assert not context.world.script, 'not all attempts were made'


@then('each upstream received the position {position}')
def received_position(context, position):
    assert context.world.positions == [position] * 3, context.world.positions


WITHOUT_IDS = [event.partition(b'\n')[2] for event in EVENTS]
SCRIPTS = {
    'is moved after 1 event': Attempt(True, 1),
    'is broken off after 1 event': Attempt(False, 1),
    'is moved while its first event arrives': Attempt(
        True, 0, (WITHOUT_IDS[0],)
    ),
    'is moved before an event': Attempt(True, 0),
}


@when('a stream whose events have no ids {what}')
def stream_without_ids(context, what):
    _, context.got = play('0', [SCRIPTS[what]], events=WITHOUT_IDS)


@then('the caller receives it {how}')
def receives_how(context, how):
    if how == 'broken off, and no event twice':
        assert isinstance(context.got, failures.Failure), context.got
        assert context.got.reason == stream_.NO_POSITION, context.got
    else:
        assert context.got[1] == b''.join(WITHOUT_IDS), context.got


ATTEMPTS = strategies.builds(
    Attempt, strategies.booleans(), strategies.integers(0, 2)
)


@then(
    'in {count:d} drawn worlds, a stream that is taken up brings the events'
    ' after its position, each once'
)
def drawn_worlds(context, count):
    whole = 0

    @hypothesis.seed(64)
    @histories.settings(count)
    @hypothesis.given(
        strategies.sampled_from([None, '', '0', '1', '2', '3', '4']),
        strategies.lists(ATTEMPTS, max_size=MOST_ATTEMPTS),
        strategies.booleans(),
        strategies.lists(strategies.sampled_from(peer_model.HOPS), max_size=2),
    )
    def test(position, script, is_through_peer, hops):
        nonlocal whole
        _, got = play(position, script, is_through_peer, hops)
        if isinstance(got, failures.Failure):
            return
        status, body, _ = got
        if status == 200:
            whole += 1
            expected = b''.join(EVENTS[int(position or 0) :])
            assert body == expected, (body, expected)

    test()
    # Streams that all break off would prove little.
    assert whole > count / 4, whole

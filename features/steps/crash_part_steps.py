"""Steps for parts of prompts that crash upstreams."""

from __future__ import annotations

import itertools
import types

from behave import given
from behave import then
from behave import when
import crash_model
import crash_steps
import helpers
import part_model

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_keys
from peridotmast.serving import crash_tracker
from peridotmast.serving import decisions
from peridotmast.serving import stream_migrator

PATH = '/once/tag'
PLAY_MS = 30_000
MAX_ARRIVALS = 3
SOUND_SHARE = 0.98
"""Share of sound requests that must be sent at the first try. Half of them
would do."""

PLAYS = {
    'of 10 requests a second': {},
    'of 40 requests a second': {'routers': 6, 'rate': 40},
    'of 20 requests a second, in one failure domain': {
        'rate': 20,
        'domains': 1,
    },
    'with two such parts': {'bad': ('bad', 'worse'), 'rate': 20},
    'with other parts that nobody else sends': {},
    'from the first moment on': {},
    'beside kills of single routers': {},
    'beside a kill of all routers': {},
}
_numbers = itertools.count(1)


def send_prompt(router, *parts, path=PATH, tokens_out=4, on_bytes=None):
    """Send a request with shared parts; its own last part is new."""
    number = next(_numbers)
    prompt = ','.join([*(f'{part}:20' for part in parts), f'{number:x}:8'])
    return helpers.send_request(
        router.address,
        path,
        body=f'tag {number}'.encode(),
        headers=[
            (names.TOKEN_COUNTS, f'60,{tokens_out}'),
            (names.PROMPT_PARTS, prompt),
        ],
        on_bytes=on_bytes,
    )


def set_crash_part(context, part, guest):
    """Make a part crash an upstream, which is then replaced."""
    guest.upstream.app.crash_part = part

    def crash():
        context.crashed.append(guest.name)
        context.fleet.kill_upstream(guest)
        domain = guest.record.upstream.failure_domain
        set_crash_part(context, part, context.fleet.add_engine(domain))

    guest.upstream.app.on_crash = crash


@given('sound requests with the parts "{a}" and "{b}" have been answered')
@then(
    'sound requests with the parts "{a}" and "{b}" are answered at each router'
)
def send_sound_requests(context, a, b):
    for router in context.fleet.running_routers():
        answer = send_prompt(router, a, b)
        assert answer.status == 200 and answer.complete, answer


@given('the part "{part}" of a prompt crashes the upstream that runs it')
def crashing_part(context, part):
    context.crashed, context.answers = [], []
    for guest in helpers.guests(context):
        set_crash_part(context, part, guest)


@when(
    '{count:d} requests with the parts "{a}", "{b}" and "{c}" are sent, to'
    ' each router in turn'
)
def send_requests_in_turn(context, count, a, b, c):
    routers = context.fleet.running_routers()
    for router in itertools.islice(itertools.cycle(routers), count):
        context.answers.append(send_prompt(router, a, b, c))
        green.sleep_ms(crash_steps.PROPAGATION_MS)


@when(
    '{percent:d} of 100 requests have a part that crashes upstreams, in'
    ' {count:d} plays {beside}'
)
def play_crashing_parts(context, percent, count, beside):
    context.plays = []
    for seed in range(count):
        play = part_model.Play(seed, bad_share=percent / 100, **PLAYS[beside])
        if 'nobody else' in beside:
            play.own_parts_with_bad = True
        if 'first moment' in beside:
            play.bad_from = 0
        if 'single routers' in beside:
            for number in range(4):
                play.at(4000 + 3000 * number, play.restart, [number % 3])
        if 'all routers' in beside:
            play.at(9000, play.restart, [0, 1, 2])
        play.run(PLAY_MS)
        context.plays.append(play)


@then('at most three requests with such a part arrive after the fifth crash')
def check_arrivals(context):
    found = [
        (play.excess(part), len(play.crashes[part]))
        for play in context.plays
        for part in play.bad
    ]
    assert all(excess <= MAX_ARRIVALS for excess, _ in found), found
    assert all(crashes for _, crashes in found), found


@then('sound requests are sent at the first try')
def check_sound_sent(context):
    shares = [play.served_share() for play in context.plays]
    assert min(shares) > SOUND_SHARE, shares


@when(
    'failure domains are lost at the start and later, in {count:d} plays of'
    ' {rate:d} requests a second'
)
def play_lost_domains(context, count, rate):
    context.plays = []
    for seed in range(count):
        play = part_model.Play(
            seed, routers=6, upstreams=20, bad=(), bad_share=0, rate=rate
        )
        play.at(400, play.lose_domain, 'd-1', 2500)
        play.at(9000, play.lose_domain, 'd-2', 200)
        play.at(14_000, play.lose_domain, 'd-3', 2500)
        play.run(PLAY_MS)
        context.plays.append(play)


@then('no part has been blocked')
def check_none_blocked(context):
    blocked = {
        key
        for play in context.plays
        for key in play.blocked
        if crash_keys.is_part(key)
    }
    assert not blocked, blocked


def keys_of(*parts):
    return crash_keys.CrashKeys(
        f'request-{next(_numbers)}', crash_keys.of_parts(parts)
    )


def exchange_updates(context):
    for _ in range(2):
        for one, other in itertools.permutations(context.trackers, 2):
            other.merge_updates(one.updates_for_peers())


def lose_upstream(context, keys, name, domain):
    """Lose an upstream 100 ms after a request was sent to it."""
    context.trackers[0].note_failure(
        keys,
        crash_model.make_view(name, failure_domain=domain),
        crash_model.BROKE_OFF,
        context.clock.now() - 100,
    )


def is_refused(tracker, *parts):
    return bool(tracker.retry_after_ms(keys_of(*parts)))


@given('two crash trackers, and the first one holds the lease of the duties')
def two_trackers(context):
    context.clock = clock_.ManualClock(5_000_000)
    context.trackers = [
        crash_tracker.CrashTracker(context.clock, f'r-{number}')
        for number in range(2)
    ]
    context.trackers[0].may_retry = lambda: True


@when(
    'a request with the parts "{a}" and "{b}" is answered at the second router'
)
def answered_at_second_router(context, a, b):
    context.trackers[1].note_success(keys_of(a, b))


@when('the request with the part "{part}" is answered at the first router')
def answered_at_first_router(context, part):
    context.trackers[0].note_success(keys_of(part))
    exchange_updates(context)


@when(
    'requests with the parts "{a}" and "{b}" crash {count:d} upstreams within'
    ' {ms:d} ms'
)
def crash_in_succession(context, a, b, count, ms):
    for number in range(count):
        context.clock.advance(ms // count)
        keys = keys_of(*a.split(', '), b)
        lose_upstream(context, keys, f'i-{number}', f'd-{number}')
        exchange_updates(context)


@when(
    'requests with the part "{part}" run at {count:d} upstreams of a failure'
    ' domain that are lost {ms:d} ms apart'
)
def lose_domain(context, part, count, ms):
    for number in range(count):
        lose_upstream(context, keys_of(part), f'i-{number}', 'd-1')
        context.clock.advance(ms)
    exchange_updates(context)


@when('{ms:d} ms pass for both routers')
def time_passes(context, ms):
    context.clock.advance(ms)


@then('both routers refuse requests with the parts "{a}" and "{b}"')
def refused_by_both(context, a, b):
    assert all(is_refused(tracker, a, b) for tracker in context.trackers)


@then('neither router refuses requests with the parts "{a}" and "{b}"')
def refused_by_neither(context, a, b):
    assert not any(is_refused(tracker, a, b) for tracker in context.trackers)


@then('the second router refuses requests with the part "{part}"')
def refused_by_second(context, part):
    assert is_refused(context.trackers[1], part)


@then('the first router sends a request with the part "{part}" once')
def sent_once_by_first(context, part):
    refused = [is_refused(context.trackers[0], part) for _ in range(5)]
    assert refused == [False, True, True, True, True], refused


@given(
    'a request with the part "{part}" is being answered, and another one waits'
)
def answering_and_waiting(context, part):
    [router] = context.fleet.routers
    context.started = green.Event()

    def note_start(data):
        if not context.started.ready():
            context.started.send(None)

    context.answering = green.spawn(
        send_prompt, router, part, tokens_out=120, on_bytes=note_start
    )
    context.started.wait()
    guests = helpers.guests(context)
    for guest in guests:
        guest.upstream.app.faults['hang'] = 1.0
    before = sum(len(guest.upstream.app.arrivals) for guest in guests)
    context.waiting = green.spawn(send_prompt, router, part)
    helpers.wait_until(
        lambda: sum(len(g.upstream.app.arrivals) for g in guests) > before,
        'the second request has arrived',
    )


@when('the part "{part}" has crashed three upstreams at other routers')
def crashed_elsewhere(context, part):
    [router] = context.fleet.routers
    [key] = crash_keys.of_parts([part])
    crashes = [
        pb.Crash(run=f'i-{n}', ago_ms=n * 500, failure_domain=f'd-{n}')
        for n in range(3)
    ]
    router.serving.crashes.merge_updates(
        [pb.CrashSuspect(fingerprint=key, crashes=crashes)]
    )


@then('the request that waited ends with 502')
def waiting_ends(context):
    answer = context.waiting.wait()
    assert answer.status == 502, answer


@then('the request that was being answered is answered whole')
def answering_ends(context):
    answer = context.answering.wait()
    assert answer.status == 200 and answer.complete, answer


@given('a stream at an upstream that leaves')
def stream_at_leaving_upstream(context):
    clock = clock_.ManualClock()
    context.stream = types.SimpleNamespace(
        service=types.SimpleNamespace(moves=True),
        is_migrating=False,
        has_position=True,
        exchange=types.SimpleNamespace(id='request'),
        reader=types.SimpleNamespace(last_id=1),
        expected_end=lambda now: None,
    )
    context.moved = []
    context.migrator = stream_migrator.StreamMigrator(
        clock,
        types.SimpleNamespace(streams_at=lambda view: [context.stream]),
        None,
        None,
        decisions.Decisions(clock, 'r-0'),
        lambda name, move, *args: context.moved.append(args),
        2000,
    )


@when('its request is {state}')
def request_is_blocked_or_not(context, state):
    context.migrator.is_blocked = lambda exchange: state == 'blocked'
    view = crash_model.make_view('i-0')
    context.migrator._move_streams(view, 10_000_000)


@then('it stays at its upstream')
def stream_stays(context):
    assert not context.moved, context.moved


@then('it is moved')
def stream_is_moved(context):
    [(stream, _)] = context.moved
    assert stream is context.stream

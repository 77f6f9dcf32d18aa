"""Steps for routers that are cut from upstreams."""

from __future__ import annotations

import collections
import itertools
import sys
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import helpers
import peer_model

from peridotmast.embedded import shape as shape_
from peridotmast.embedded import upstream_cut
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_keys
from peridotmast.serving import peer_sender
from peridotmast.serving import reachability
from peridotmast.serving import upstream_view
from peridotmast import signing
from peridotmast.wire import connection as connection_

TOKENS = [(names.TOKEN_COUNTS, '20,8')]
KINDS = (('/chat/a', TOKENS), ('/holds/a', ()), ('/pages/a', ()))
DEADLINE_MS = helpers.LONG_MS
PAUSE_MS = 600
LOST = crash_keys.CrashKeys('lost')


@given('a fleet of {count:d} routers whose links to the upstreams can be cut')
def start_cuttable(context, count):
    fleet = helpers.start_fleet(context, routers=count)
    context.cuts = {
        router.cfg.name: upstream_cut.UpstreamCut(router)
        for router in fleet.routers
    }
    context.closing += [cut.close for cut in context.cuts.values()]
    context.cut_routers = []
    context.numbers = itertools.count()
    for router in fleet.routers:
        for path, headers in KINDS:
            answer = send(context, router, path, headers)
            assert answer.status == 200, answer


def send(context, router, path, headers, **values):
    """Send one request, and return the answer with what it should be."""
    body = f'prompt {next(context.numbers)}'.encode()
    answer = helpers.send_request(
        router.address,
        path,
        body=body,
        headers=headers,
        **{'deadline_ms': DEADLINE_MS, **values},
    )
    answer.path, answer.sent_body = path, body
    return answer


@when('{count:d} routers are cut from all upstreams, {how}')
def cut_routers(context, count, how):
    context.cut_routers = context.fleet.running_routers()[:count]
    addresses = [
        instance.record.upstream.address
        for instance in context.fleet.running_upstreams()
    ]
    for router in context.cut_routers:
        cut = context.cuts[router.cfg.name]
        cut.begin(upstream_cut.CutMode(how), addresses)


@when('{ms:d} ms pass at the fleet')
def pass_time(context, ms):
    green.sleep_ms(ms)


@when(
    '{count:d} requests of each kind are sent to each router, {batch:d} at a'
    ' time, none of them again'
)
def send_to_each(context, count, batch):
    tasks = collections.defaultdict(list)
    routers = context.fleet.running_routers()
    for number, router, kind in itertools.product(
        range(count), routers, KINDS
    ):
        task = green.spawn(send, context, router, *kind)
        tasks[router.cfg.name].append(task)
        is_last = router is routers[-1] and kind is KINDS[-1]
        if is_last and number % batch == batch - 1:
            green.sleep_ms(PAUSE_MS)
    context.answers = {
        name: [task.wait() for task in found] for name, found in tasks.items()
    }


def served_share(answers):
    return sum(a.status == 200 and a.complete for a in answers) / len(answers)


@then(
    'the routers that are cut serve at least two thirds as often as the others'
)
def check_served(context):
    names_of_cut = {router.cfg.name for router in context.cut_routers}
    shares = {
        name: served_share(found) for name, found in context.answers.items()
    }
    others = [s for name, s in shares.items() if name not in names_of_cut]
    least = min(shares[name] for name in names_of_cut)
    assert least >= 2 / 3 * max(others), shares


@then(
    'no request has waited for more than two connections before it was'
    ' forwarded'
)
def check_waits(context):
    for answer in itertools.chain(*context.answers.values()):
        tries = steps_of(context, answer.request_id, 'attempt')
        failed = [router for router, text in tries if 'no_connection' in text]
        counts = collections.Counter(failed)
        entry = {
            router.cfg.name: counts[router.cfg.name]
            for router in context.cut_routers
        }
        assert max(entry.values()) <= 2, tries


@then('no request that may run once has run twice')
def check_runs(context):
    runs = {
        a.request_id: helpers.run_count(context, a.request_id)
        for answers in context.answers.values()
        for a in answers
        if a.path == '/holds/a'
    }
    assert runs and max(runs.values()) <= 1, runs


@then('the answers to all requests are their own and whole')
def check_whole(context):
    for answer in itertools.chain(*context.answers.values()):
        if answer.status != 200:
            continue
        assert answer.complete and answer.failure is None, answer
        if answer.path == '/chat/a':
            ids = helpers.event_ids(answer.body)
            assert ids == [1, 2, 3, 4], answer
        else:
            assert answer.body == b'done:' + answer.sent_body, answer


@then(
    '{count:d} streams that break off and go on through such a peer keep all'
    ' promises'
)
def check_old_peers(context, count):
    peer_model.run_old_peers(count)


@then('{count:d} random histories of forwarded requests keep all promises')
def check_histories(context, count):
    peer_model.run(count)


@then('all of them are refused with {status:d} and a retry time')
def check_refused_at_once(context, status):
    answers = list(itertools.chain(*context.answers.values()))
    assert {answer.status for answer in answers} == {status}, answers[:3]
    untimed = [a for a in answers if not a.header(names.RETRY_AFTER)]
    assert not untimed, untimed[:3]


@given('3 routers of which none reaches an upstream')
def start_unreaching(context):
    cuts = {f'r-{n}': set(peer_model.UPSTREAMS) for n in range(3)}
    context.world = peer_model.World(cuts, (), ())


@then(
    'the first of {count:d} requests at a moment is offered to two peers, and'
    ' the others to none'
)
def check_offers(context, count):
    world, offers = context.world, []
    for number in range(count):
        before = len(world.forwarded)
        got = world.routers['r-0'].ask(
            'again', f'{world.clock.now()}-{number}'
        )
        assert got.reason == 'no_upstream' and got.retry_after_ms, got
        offers.append(len(world.forwarded) - before)
    assert offers == [2] + [0] * (count - 1), offers
    assert not world.arrived


@then('so it is a second later')
def check_offers_later(context):
    context.world.clock.advance(1001)
    check_offers(context, 20)


def steps_of(context, request_id, event):
    """Return the decisions of one kind on a request, by router."""
    return [
        (router.cfg.name, text)
        for router in context.fleet.routers
        for _, text in router.serving.decisions.history(request_id)
        if text.split()[0] == event
    ]


@then('no request was forwarded by more than one router')
def check_one_hop(context):
    for answer in itertools.chain(*context.answers.values()):
        found = steps_of(context, answer.request_id, 'forwarded')
        assert len({router for router, _ in found}) <= 1, found


@when('the links are back, and {ms:d} ms pass')
def restore_links(context, ms):
    for router in context.cut_routers:
        context.cuts[router.cfg.name].end()
    green.sleep_ms(ms)


@then('all requests are answered, and none of them was forwarded')
def check_not_forwarded(context):
    for answer in itertools.chain(*context.answers.values()):
        assert answer.status == 200, answer
        assert not steps_of(context, answer.request_id, 'forwarded')


@then(
    'each peer has received between {least:d} and {most:d} of its {count:d}'
    ' requests'
)
def check_spread(context, least, most, count):
    answers = context.answers[context.cut_routers[0].cfg.name]
    found = collections.Counter(
        router
        for answer in answers
        for router, _ in steps_of(
            context, answer.request_id, 'forward_received'
        )
    )
    assert len(answers) == count and len(found) == 4, found
    assert least <= min(found.values()) <= max(found.values()) <= most, found


@when('the routers count what they take for requests of their own')
def count_requests(context):
    context.counted = []
    for router in context.fleet.routers:
        budget = router.serving.retry_budget
        budget.count_request = context.counted.append


@then('the routers have counted each request once for the retry budget')
def check_counted(context):
    assert len(context.counted) == context.sent_count, context.counted


def start_through_peer(context, path, headers):
    """Send a request to a cut router; wait until a peer has it."""
    router = context.cut_routers[0]
    context.request_id = 'through-peer'
    context.conn = connection_.Connection(router.address, context.fleet.clock)
    assert context.conn.connect(1000) is None
    context.closing.append(context.conn.close)
    context.task = green.spawn(
        send,
        context,
        router,
        path,
        headers,
        request_id=context.request_id,
        conn=context.conn,
        deadline_ms=helpers.LONG_MS,
    )

    def received():
        return steps_of(context, context.request_id, 'forward_received')

    helpers.wait_until(received, 'a forwarded request')
    context.peer = helpers.routers(context)[received()[0][0]]


def wait_for_work(context):
    def is_running():
        return any(
            guest.upstream.app.runs[context.request_id]
            for guest in helpers.guests(context)
        )

    helpers.wait_until(is_running, 'a run at an upstream')


@when(
    'a stream of {tokens:d} tokens passes through a peer, and that peer is'
    ' killed'
)
def kill_peer_of_stream(context, tokens):
    headers = [(names.TOKEN_COUNTS, f'64,{tokens}')]
    start_through_peer(context, '/chat/a', headers)
    wait_for_work(context)
    green.sleep_ms(200)
    context.peer.stop()
    context.last = context.task.wait()


@then('the stream is whole, and was forwarded to {count} peers')
@then('the stream is whole, and was forwarded to {count} peer')
def check_stream_whole(context, count):
    answer = context.last
    assert answer.status == 200 and answer.complete, answer
    ids = helpers.event_ids(answer.body)
    assert ids == list(range(1, 151)), ids
    found = steps_of(context, context.request_id, 'forward_received')
    assert len(found) == {'one': 1, 'two': 2}[count], found


@when(
    'a request that may run once runs through a peer, and that peer is killed'
)
def kill_peer_of_request(context):
    for guest in helpers.guests(context, shape_.PLAIN_SERVICE):
        guest.upstream.app.delay_factor = lambda environ: 25
    start_through_peer(context, '/holds/a', ())
    wait_for_work(context)
    context.peer.stop()
    context.last = context.task.wait()


@then('its caller gets {status:d}, and it has run once')
def check_ran_once(context, status):
    green.sleep_ms(500)
    assert context.last.status == status, context.last
    assert helpers.run_count(context, context.request_id) == 1


@when(
    'a stream of {tokens:d} tokens passes through a peer, and that peer drains'
)
def drain_peer_of_stream(context, tokens):
    headers = [(names.TOKEN_COUNTS, f'64,{tokens}')]
    start_through_peer(context, '/chat/a', headers)
    wait_for_work(context)
    context.peer.drain()
    context.last = context.task.wait()


@then('the peer that drained accepts no other forwarded request')
def check_drained_refuses(context):
    for _ in range(4):
        answer = send(context, context.cut_routers[0], '/pages/a', ())
        assert answer.status == 200, answer
        found = steps_of(context, answer.request_id, 'forward_answered')
        served_by = {router for router, text in found if '=200' in text}
        assert served_by - {context.peer.cfg.name} == served_by, found


@when(
    'a stream of {tokens:d} tokens passes through a peer, and its caller'
    ' leaves'
)
def leave_stream(context, tokens):
    headers = [(names.TOKEN_COUNTS, f'64,{tokens}')]
    start_through_peer(context, '/chat/a', headers)
    wait_for_work(context)
    context.task.kill()
    context.conn.close()


@then('no upstream and no router has work within {ms:d} ms')
def check_no_work(context, ms):
    def is_idle():
        engines = helpers.guests(context, shape_.ENGINE_SERVICE)
        return not any(g.upstream.app._running for g in engines) and all(
            not router.serving.gateway.in_flight
            for router in context.fleet.routers
        )

    helpers.wait_until(is_idle, 'work for a caller that has left', ms)


@given('a router with a secret that accepts forwarded requests')
def start_signed(context):
    context.world = peer_model.World({'r-0': set()}, (), ())


def signed(data, secret=peer_model.SECRET):
    return data, signing.sign(secret, data).hex()


@when('{what} arrives at its forwarding address')
def send_to_forwarding(context, what):
    whole = pb.ForwardedRequest(
        id='x',
        router='r-1',
        method='POST',
        target='/',
        route=peer_model.ROUTES['once'],
        service=peer_model.SERVICE,
    )
    timed = pb.ForwardedRequest()
    timed.CopyFrom(whole)
    timed.left_ms = 1000
    data, signature = {
        'a request without a signature': (timed.SerializeToString(), ''),
        'a request signed by others': signed(
            timed.SerializeToString(), b'other'
        ),
        'a signed text': signed(b'GET / HTTP/1.1'),
        'a signed request without times': signed(whole.SerializeToString()),
        'a request for another path': signed(timed.SerializeToString()),
    }[what]
    path = '/admin' if 'path' in what else peer_sender.PATH
    router = context.world.routers['r-0']
    conn = peer_model.PeerConn(context.world, 'r-0', 'pass')
    context.refusal = conn.call(router, path, data, signature)


@then('it is refused as {reason}, and nothing runs')
def check_forward_refused(context, reason):
    status, result = context.refusal
    assert status == 503 and result.reason == reason, result
    assert result.kind == failures.FailureKind.INVALID.value, result
    assert not context.world.arrived


@given('an upstream that a router cannot connect to')
def start_reachability(context):
    world = context.world = peer_model.World({'r-0': set()}, (), ())
    router = world.routers['r-0']
    context.view = router.table.get('u-1')
    context.trials = []
    context.failure = failures.not_run('no_connection', connection_.TIMED_OUT)

    def open_idle(address):
        context.trials.append(world.clock.now())
        return context.failure

    pool = types.SimpleNamespace(open_idle=open_idle)
    context.reach = reachability.Reachability(
        world.clock, pool, router.table, 'r-0', lambda name, f, *args: f(*args)
    )
    context.reach.note_failure(context.view, context.failure)


@then('it is tried {least:d} to {most:d} times in {seconds:d} s')
def check_trials(context, least, most, seconds):
    for _ in range(seconds * 10):
        context.world.clock.advance(100)
        context.reach.tick()
    assert least <= len(context.trials) <= most, len(context.trials)
    assert context.view.is_unreachable


@then('after one trial that connects it is used again')
def check_reachable(context):
    context.failure = None
    context.world.clock.advance(1000)
    context.reach.tick()
    assert not context.view.is_unreachable
    assert not context.reach.has_unreachable(peer_model.SERVICE.name)


@given(
    'a router that lost a request at three upstreams when its links were reset'
)
def lose_request(context):
    cuts = {'r-0': set(peer_model.UPSTREAMS), 'r-1': set()}
    context.world = peer_model.World(cuts, (), ())
    router = context.world.routers['r-0']
    for upstream in peer_model.UPSTREAMS:
        context.world.clock.advance(1000)
        router.serving.crashes.note_failure(
            LOST,
            router.table.get(upstream),
            failures.unknown('broke_off'),
            context.world.clock.now(),
        )


@then(
    'it blocks the request until peers have answered others at these upstreams'
)
def check_unblocked(context):
    router = context.world.routers['r-0']
    assert router.serving.crashes.retry_after_ms(LOST)
    context.world.clock.advance(1000)
    for number in range(20):
        assert router.ask('again', f'other-{number}')[0] == 200
    assert not router.serving.crashes.retry_after_ms(LOST)


@when('its entry is lost, and returns {ms:d} ms later')
def return_entry(context, ms):
    table = context.world.routers['r-0'].table
    for state, wait_ms in ((pb.UPSTREAM_STATE_GONE, ms), (1, 0)):
        record = pb.UpstreamRecord()
        record.CopyFrom(context.view.record)
        record.state, record.revision = state, record.revision + 1
        table.merge(record)
        context.world.clock.advance(wait_ms)
        context.reach.tick()


@then('it is used again without a trial')
def check_used_again(context):
    assert context.view.is_available and not context.view.is_unreachable
    assert not context.trials


@given('a router whose two peers reach one upstream, which refuses a request')
def start_refusing(context):
    cut = set(peer_model.UPSTREAMS)
    cuts = {'r-0': cut, 'r-1': cut - {'u-1'}, 'r-2': cut - {'u-1'}}
    context.world = peer_model.World(cuts, ['refuse'], ())


@then('that request is refused as not run, and was forwarded once')
def check_refused_once(context):
    got = context.world.routers['r-0'].ask('once', 'refused')
    assert got.kind is failures.FailureKind.NOT_RUN, got
    assert got.retry_after_ms, got
    assert len(context.world.forwarded) == 1, context.world.forwarded


@given(
    'a router whose two peers reach one upstream, which refuses all requests'
)
def start_refusing_all(context):
    start_refusing(context)
    context.world._arrivals = itertools.repeat('refuse')


@then('an idempotent request is refused as not run')
def check_idempotent_refused(context):
    got = context.world.routers['r-0'].ask('again', 'refused')
    assert got.kind is failures.FailureKind.NOT_RUN, got
    assert got.retry_after_ms, got


@given('{count:d} routers before one brittle upstream of {slots:d} slots')
def start_brittle(context, count, slots):
    cut = set(peer_model.UPSTREAMS) - {'u-1'}
    names = [f'r-{number}' for number in range(count)]
    context.world = peer_model.World({name: cut for name in names}, (), ())
    for router in context.world.routers.values():
        for name in cut:
            record = pb.UpstreamRecord()
            record.CopyFrom(router.table.get(name).record)
            record.state, record.revision = pb.UPSTREAM_STATE_GONE, 2
            router.table.merge(record)
        router.table.get('u-1').slots = slots
        router.serving.brittleness.shares.set_routers(names)
    state_brittle(context.world)


def state_brittle(world):
    """Let all routers learn of a statement newer than any answer."""
    world.clock.advance(10)
    statement = pb.BrittleService(service=peer_model.SERVICE.name, limit=3)
    for router in world.routers.values():
        router.serving.brittleness.merge_updates('r-9', [statement], [])


@then(
    'a request at each of them is answered, through one of {count:d} routers'
)
def check_answered_by_owners(context, count):
    world = context.world
    for name, router in world.routers.items():
        got = router.ask('once', f'at-{name}')
        assert not isinstance(got, failures.Failure), (name, got)
    owners = [
        name
        for name, router in world.routers.items()
        if router.serving.brittleness.shares.share(router.table.get('u-1'))
    ]
    assert len(owners) == count, owners
    assert len(world.forwarded) == len(world.routers) - count, world.forwarded


@then(
    'while both slots are taken, requests are refused as not run and forwarded'
    ' to nobody'
)
def check_refused_when_full(context):
    world = context.world
    state_brittle(world)
    before = len(world.forwarded)
    for router in world.routers.values():
        view = router.table.get('u-1')
        share = router.serving.brittleness.shares.share(view)
        view.add_load(upstream_view.Load(share))
        for other in world.routers.values():
            if other is not router:
                load = upstream_view.Load(share)
                other.table.get('u-1').set_peer_load(router.name, load)
    for name, router in world.routers.items():
        got = router.ask('once', f'full-at-{name}')
        assert got.kind is failures.FailureKind.NOT_RUN, got
        assert got.retry_after_ms, got
    assert len(world.forwarded) == before, world.forwarded


@given('a router that reaches no upstream, and two peers, of which one drains')
def start_draining(context):
    cuts = {'r-0': set(peer_model.UPSTREAMS), 'r-1': set(), 'r-2': set()}
    context.world = peer_model.World(cuts, (), ())
    now = context.world.clock.now()
    context.world.routers['r-1'].serving.gateway.drain(now + 8000)


@then(
    '{count:d} requests are answered, and the peer that drains has sent none'
    ' of them'
)
def check_left_to_other(context, count):
    routers = context.world.routers
    for number in range(count):
        assert routers['r-0'].ask('once', f'r-{number}')[0] == 200
        steps = routers['r-1'].serving.decisions.history(f'r-{number}')
        assert not [text for _, text in steps if text.startswith('attempt')]


@given('a router with open connections to upstreams, and new ones that {end}')
def start_with_open_connections(context, end):
    context.world = peer_model.World({'r-0': set(), 'r-1': set()}, (), ())
    router = context.world.routers['r-0']
    router.serving.placement.has_idle_connection = lambda address: True
    detail = 'error 111' if end == 'are refused' else connection_.TIMED_OUT
    for view in router.table.all():
        router.serving._reach.note_failure(
            view, failures.not_run('no_connection', detail)
        )


@then('its next request is forwarded to {count:d} peers')
def check_forwards(context, count):
    assert context.world.routers['r-0'].ask('once', 'next')[0] == 200
    assert len(context.world.forwarded) == count, context.world.forwarded


@when('a body of {size:d} bytes passes through a peer')
def forward_body(context, size):
    context.sent_bytes, context.copies = size, []
    context.awaited = 0
    real = connection_.Connection.read_head

    def read_head(conn, method, deadline):
        context.awaited += 1
        context.copies += local_copies(sys._getframe(1), size)
        return real(conn, method, deadline)

    with mock.patch.object(connection_.Connection, 'read_head', read_head):
        answer = helpers.send_request(
            context.cut_routers[0].address, '/pages/a', body=b'a' * size
        )
    assert answer.status == 200, answer


def local_copies(frame, size):
    """Return the functions that hold more bytes than `size` at once."""
    found = []
    while frame is not None:
        found += [
            frame.f_code.co_qualname
            for value in frame.f_locals.values()
            if isinstance(value, bytes) and len(value) > size
        ]
        frame = frame.f_back
    return found


@then(
    'no function of the first router holds more than it while it awaits the'
    ' answer'
)
def check_no_copies(context):
    # The caller's own call, the one to the peer, and the one to the upstream.
    assert context.awaited >= 3, context.awaited
    held = [name for name in context.copies if name.startswith('PeerSender')]
    assert not held, held

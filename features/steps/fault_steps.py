"""Steps that bring faults about in a fleet over real sockets."""

from __future__ import annotations

import json
import socket

from behave import given
from behave import then
from behave import when
import eventlet
import fleet_steps
import odd_engine

from peridotmast import client as client_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast.router import ledger as ledger_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import cloud_api

MODEL = fleet_steps.MODEL


def engines_in(context, domain):
    return context.fleet.cloud.in_domain(domain, 'engine')


def moves(context, result):
    return sum(
        router.metrics.moves.labels(result)._value.get()
        for router in context.fleet.routers
    )


# ------------------------------------------------------------------ upstreams


@when('the VMs of "{domain}" get {ms:d} ms of notice')
def get_notice(context, domain, ms):
    names = engines_in(context, domain)
    context.noticed = getattr(context, 'noticed', []) + names
    context.fleet.cloud.reclaim(names, ms)


@when('the VMs of "{domain}" get {ms:d} ms of notice and are taken at once')
def notice_and_taken(context, domain, ms):
    get_notice(context, domain, ms)
    green.sleep_ms(60)
    for name in context.noticed:
        context.fleet.cloud.kill(name)


@when('the VMs of "{domain}" are taken without notice')
def taken(context, domain):
    for name in engines_in(context, domain):
        context.fleet.cloud.kill(name)


@given('every engine dies when a KV cache arrives, but the last')
def dies_on_import(context):
    for engine in context.fleet.engines()[:-1]:
        engine.on_import = lambda e=engine: green.spawn(e.stop) is None


@given('no engine takes a KV cache')
def takes_no_cache(context):
    for engine in context.fleet.engines():
        engine.on_import = lambda: False


@given('the cloud refuses VMs in "{one}" and "{two}"')
def cloud_refuses(context, one, two):
    context.fleet.cloud.refusing = {one, two}


@then('streams were moved {how} their cache')
def were_moved(context, how):
    assert moves(context, f'{how}_cache') > 0


@then('no stream was moved')
def none_moved(context):
    total = moves(context, 'with_cache') + moves(context, 'without_cache')
    assert total == 0, total


@then('every router has marked them as leaving')
def all_marked(context):
    def marked():
        return all(
            router.table.get(name).record.state == pb.UPSTREAM_STATE_LEAVING
            for router in context.fleet.routers
            for name in context.noticed
        )

    assert context.fleet.wait_until(marked, 5000)
    context.begun = {
        engine.name: engine.totals['streams']
        for engine in context.fleet.engines()
    }


@then('the VMs of "{domain}" were sent nothing')
def sent_nothing(context, domain):
    for engine in context.fleet.engines():
        if engine.name in context.noticed:
            begun = engine.totals['streams'] - context.begun[engine.name]
            assert begun == 0, begun


@when('an operator drains a VM of "{domain}" at one router')
def operator_drains(context, domain):
    context.noticed = engines_in(context, domain)
    service = context.fleet.routers[0]._operator_service
    for name in context.noticed:
        reply = service.UpstreamDrain(pb.UpstreamDrainRequest(name=name), '')
        assert reply.begun, reply.reason


@when('{count:d} callers ask for {size:d} tokens each that may run only once')
def ask_once(context, count, size):
    fleet_steps.begin_chats(context, count, size, idempotent=False)


@then('every stream was begun once')
def begun_once(context):
    begun = {}
    for engine in context.fleet.engines():
        for stream_id, count in engine.begun.items():
            begun[stream_id] = begun.get(stream_id, 0) + count
    assert len(begun) == len(context.answers), begun
    assert set(begun.values()) == {1}, begun


# -------------------------------------------------------------------- routers


@when('"{name}" is drained')
def is_drained(context, name):
    router = fleet_steps.routers_of(context)[name]
    router.drain()
    router.stop()


@when('a call that may run only once waits for a place at "{name}"')
def waits_for_place(context, name):
    router = fleet_steps.routers_of(context)[name]
    context.services = [
        view
        for view in router.table.all()
        if view.record.upstream.kind == 'service'
    ]
    for view in context.services:
        view.in_flight += 1000
    ticket = router.guard.issue_ticket()
    client = context.fleet.client('noor', seed=4)
    client.use(router.address)
    client.resolve = lambda: client._known
    context.tasks = [
        green.spawn(
            client.call,
            'booking',
            'hold',
            'seat',
            idempotent=False,
            request_id=ticket,
            retry_refused=True,
        )
    ]
    assert context.fleet.wait_until(lambda: router.admission.waiting, 5000)


@when('"{name}" is drained while it waits')
def drained_waiting(context, name):
    router = fleet_steps.routers_of(context)[name]
    context.other = next(r for r in context.fleet.routers if r is not router)
    router.drain()


@when('there is room again')
def room_again(context):
    for view in context.services:
        view.in_flight -= 1000
    context.routers_known = context.fleet.routers


@then('"{name}" began nothing')
def began_nothing(context, name):
    router = fleet_steps.routers_of(context)[name]
    green.sleep_ms(300)
    answered = router.metrics.ended.labels('answered')._value.get()
    assert answered == 0, answered


@then('the call ran once at the other router')
def ran_at_other(context):
    ticket = context.fleet.routers[0].guard.owner + '.1'
    client = context.fleet.client('noor', seed=5)
    client.use(context.other.address)
    client.resolve = lambda: [context.other.address]
    result = client.call(
        'booking', 'hold', 'seat', idempotent=False, request_id=f't.{ticket}'
    )
    assert result, result
    assert fleet_steps.runs_of(context, f'noor/t.{ticket}') == 1


@when('"{name}" is killed')
def is_killed(context, name):
    fleet_steps.routers_of(context)[name].kill()


@when('"{name}" begins to drain and is killed before its hand-over')
def killed_draining(context, name):
    router = fleet_steps.routers_of(context)[name]
    draining = green.spawn(router.drain)
    green.sleep_ms(100)
    draining.kill()
    router.kill()


@then('some answers went on at another router')
def went_on(context):
    assert any(len(set(a.routers)) > 1 for a in context.answers)


@then('no other router names "{name}"')
def names_no_more(context, name):
    gone = fleet_steps.routers_of(context)[name]
    others = [r for r in context.fleet.routers if r is not gone]

    def named():
        return [
            member
            for router in others
            for member in router.members.serving()
            if member.name == name
        ]

    assert context.fleet.wait_until(lambda: not named(), 5000), named()


@when(
    'a caller begins {size:d} tokens under the id "{request_id}" and leaves '
    'after {count:d}'
)
def begin_and_leave(context, size, request_id, count):
    client = fleet_steps.client_of(context)
    seen = []

    def leave(tokens):
        seen.extend(tokens)
        if len(seen) >= count:
            raise ConnectionAbortedError

    try:
        client.chat(
            MODEL,
            fleet_steps.prompt_of(0),
            size,
            request_id=request_id,
            on_tokens=leave,
        )
    except ConnectionAbortedError:
        pass


@when(
    'the answer to "{request_id}" is resumed at position {position:d} at '
    'another router'
)
def resumed_elsewhere(context, request_id, position):
    key = f'kalnins/{request_id}'
    others = [r for r in context.fleet.routers if r.ledger.find(key) is None]
    body = {
        'model': MODEL,
        'team': 'kalnins',
        'stream': True,
        'max_tokens': 100,
        'request_id': request_id,
        'work': 'interactive',
        'messages': [{'role': 'user', 'content': fleet_steps.prompt_of(0)}],
        'resume': {'position': position},
    }
    context.reply = http_client.HttpClient(8000).call(
        'POST', others[0].address, '/v1/chat/completions', body
    )


@when(
    'one request for {size:d} tokens is made on two connections to one router'
)
def two_connections(context, size):
    address = context.fleet.routers[0].address
    context.size = size

    def ask():
        client = client_.Client([address], 'kalnins')
        client.resolve = lambda: [address]
        prompt = fleet_steps.prompt_of(0)
        return client.chat(MODEL, prompt, size, request_id='double')

    tasks = [green.spawn(ask), green.spawn(ask)]
    context.answers = [task.wait() for task in tasks]


@then('both connections got the whole answer')
def both_whole(context):
    for answer in context.answers:
        assert fleet_steps.whole(answer, 0, context.size), answer.failure


@when('"{name}" hears late that "{request_id}" is still running')
def hears_late(context, name, request_id):
    node = context.world.nodes[name]
    entry = pb.LedgerEntry(
        key=f'noor/{request_id}', state=ledger_.SENT, idempotent=False
    )
    request = pb.HandOverRequest(entries=[entry])
    setattr(request, 'from', 'a.1')
    node.peers_see.HandOver(request)


# -------------------------------------------------------------------- silence


@when('the open connections of every engine go silent')
def go_silent(context):
    for engine in context.fleet.engines():
        engine.mute()


@then('no caller had to ask again')
def none_asked_again(context):
    resumes = [answer.resumes for answer in context.answers]
    assert not any(resumes), resumes


@given('the engine of "{domain}" swallows everything')
def engine_swallows(context, domain):
    for name in engines_in(context, domain):
        context.fleet.cloud.vms[name].guest.app.set_faults(hang=1.0)


@given('one service swallows everything')
def service_swallows(context):
    context.fleet.services()[0].app.set_faults(hang=1.0)


def call_services(context, idempotent):
    clients = [context.fleet.client('noor', seed=n) for n in range(6)]
    tasks = [
        green.spawn(
            client.call,
            'booking',
            'hold',
            f'seat {number}',
            idempotent=idempotent,
            deadline_ms=8000,
        )
        for number, client in enumerate(clients)
    ]
    context.results = [task.wait() for task in tasks]


@when('6 callers call the service with repeatable calls')
def repeatable_calls(context):
    call_services(context, True)


@when('6 callers call the service with calls that may run only once')
def single_calls(context):
    call_services(context, False)


@then('all of them got their own answer')
def own_answers(context):
    for number, result in enumerate(context.results):
        assert result and result.body['payload'] == f'seat {number}', result


@then('each got its own answer or an unknown outcome')
def own_or_unknown(context):
    answered = 0
    for number, result in enumerate(context.results):
        if isinstance(result, failures.Failure):
            kind = result.kind
            assert kind is failures.FailureKind.OUTCOME_UNKNOWN, result
        else:
            answered += 1
            assert result.body['payload'] == f'seat {number}', result
    assert 0 < answered < 6, context.results


@then('nothing ran twice')
def nothing_twice(context):
    for service in context.fleet.services():
        assert all(count == 1 for count in service.runs.values())


@when('a caller asks for a long answer and takes nothing of it')
def takes_nothing(context):
    host, _, port = context.fleet.routers[0].address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
    sock.connect((host, int(port)))
    context.closing.append(sock.close)
    body = json.dumps(
        {
            'model': MODEL,
            'team': 'kalnins',
            'stream': True,
            'max_tokens': 4000,
            'messages': [{'role': 'user', 'content': 'x' * 100}],
        }
    ).encode()
    sock.sendall(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: %d\r\n\r\n' % len(body) + body
    )
    for engine in context.fleet.engines():
        # Fast enough to fill the buffers between router and caller.
        engine.times.step_ms = 0.2


@then('its place at the upstream is free again')
def place_is_free(context):
    router = context.fleet.routers[0]

    def begun():
        return any(e.totals['streams'] for e in context.fleet.engines())

    def free():
        return router.desk.in_work == 0 and not any(
            view.in_flight for view in router.table.all()
        )

    assert context.fleet.wait_until(begun, 5000)
    assert context.fleet.wait_until(free, 15_000)
    written = router.metrics.tokens._value.get()
    assert written < 4000, 'the caller was not silent at all'


@when('a member appears whose address swallows everything')
def silent_member(context):
    silent = eventlet.listen(('127.0.0.1', 0))
    context.closing.append(silent.close)
    port = silent.getsockname()[1]
    member = pb.Member(
        name='silent',
        incarnation=1,
        address='127.0.0.1:1',
        peer_address=f'127.0.0.1:{port}',
        state=pb.MEMBER_STATE_ALIVE,
    )
    for router in context.fleet.routers:
        router.members.merge(member)


def states_of(context, name):
    return [
        router.members.get(name).state
        for router in context.fleet.routers
        if router.cfg.name != name
    ]


@then('every router declares it dead')
def declared_dead(context):
    def dead():
        return set(states_of(context, 'silent')) == {pb.MEMBER_STATE_DEAD}

    assert context.fleet.wait_until(dead, 15_000)


@then('every router still knows the others to be alive')
def still_alive(context):
    for router in context.fleet.routers:
        states = states_of(context, router.cfg.name)
        assert set(states) == {pb.MEMBER_STATE_ALIVE}, states


@when('"{name}" hears that "{other}" is dead')
def hears_dead(context, name, other):
    router = fleet_steps.routers_of(context)[name]
    member = pb.Member()
    member.CopyFrom(router.members.get(other))
    member.state = pb.MEMBER_STATE_DEAD
    context.revision = member.revision
    assert router.members.merge(member)
    router.gossip.spread(pb.Rumor(member=member), urgent=True)


@then('every router knows "{name}" to be alive again')
def alive_again(context, name):
    def alive():
        return all(
            router.members.get(name).state == pb.MEMBER_STATE_ALIVE
            and router.members.get(name).revision > context.revision
            for router in context.fleet.routers
        )

    assert context.fleet.wait_until(alive, 8000)


@given('an engine that sends {what}')
def odd(context, what):
    fleet = context.fleet
    engine = odd_engine.OddEngine(what)
    vm = cloud_api.Vm('odd', 'fd-1', True, 'engine', 0.1, slots=32)
    vm.state = cloud_api.VmState.LIVE
    vm.guest, vm.address = engine, engine.address
    # The real engine of that failure domain makes room for it.
    for name in engines_in(context, 'fd-1'):
        fleet.cloud.reclaim([name], 60_000)
    fleet.cloud.vms['odd'] = vm

    def known():
        return all(
            len(router.table.usable('engine')) == 2
            and router.table.get('odd') is not None
            for router in fleet.routers
        )

    assert fleet.wait_until(known, 5000)
    context.odd = engine


@then('each answer is whole or its outcome is unknown')
def whole_or_unknown(context):
    context.answers = fleet_steps.answers_of(context)
    kinds = []
    for number, answer in enumerate(context.answers):
        if fleet_steps.whole(answer, number, context.size):
            kinds.append('whole')
        else:
            kinds.append(answer.failure.kind.value)
    assert set(kinds) == {'whole', 'outcome_unknown'}, kinds


@then('every stream was begun at most once')
def begun_at_most_once(context):
    for engine in context.fleet.engines():
        assert all(count == 1 for count in engine.begun.values())
    total = sum(len(engine.begun) for engine in context.fleet.engines())
    assert total == len(context.answers), total


@then('all were refused as not run')
def all_refused(context):
    for answer in fleet_steps.answers_of(context):
        kind = answer.failure.kind
        assert kind is failures.FailureKind.NOT_RUN, answer.failure


@then('no stream was begun')
def no_stream_begun(context):
    assert not any(engine.begun for engine in context.fleet.engines())

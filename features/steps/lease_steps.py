"""Steps of the lease on duties, on a clock that is set."""

from __future__ import annotations

import errno
import random
import signal
import subprocess
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when
import lease_model
from memory_store import MemoryStore

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import lease as lease_

BINDS = """
import sys
from unittest import mock
from peridotmast.coordination import beacons
found = beacons.Beacons('127.0.0.1:0', *[mock.Mock()] * 4)
print(found.address, flush=True)
sys.stdin.read()
"""


def contender(context, name, run=1):
    return lease_.Lease(
        context.store,
        'duties',
        name,
        f'{name}.{run}',
        context.length,
        context.guard,
        context.clock,
    )


@given(
    'two contenders for a lease of {length:d} ms with a guard of {guard:d} ms'
)
def two_contenders(context, length, guard):
    context.length, context.guard = length, guard
    context.clock = clock_.ManualClock()
    context.store = MemoryStore()
    context.leases = {
        name: contender(context, name) for name in ('first', 'second')
    }


@given('a third contender for it')
def third_contender(context):
    context.leases['third'] = contender(context, 'third')


@when('the {name} contender attempts it')
def attempts(context, name):
    before = context.store.calls
    context.leases[name].attempt()
    context.spent = context.store.calls - before


@when('{ms:d} ms pass on the clock')
def pass_ms(context, ms):
    context.clock.advance(ms)


@when("the next write's reply is lost")
def lose_reply(context):
    context.store.lose_replies = 1


@when('the next write is carried out late')
def late_write(context):
    context.store.delay_writes = 1


@when('the late write is carried out')
def carry_out(context):
    context.store.apply_delayed_writes()


@when('the store is out')
def store_out(context):
    context.store.is_down = True


@when('an older version has given it up, and the first had it before')
def older_version(context):
    spec = {
        'holder': 'other.1',
        'router': 'other',
        'before': 'first',
        'fencing': 7,
        'length-ms': context.length,
        'released': True,
    }
    context.store.write(lease_.KIND, 'duties', spec, 0)


@when('the {name} contender gives it up')
def gives_up(context, name):
    context.leases[name].release()


@when("the second hears the first's beacon")
def hears(context):
    hint = context.leases['first'].hint()
    if 'first_heard' not in context:
        context.first_heard = hint
    context.leases['second'].receive_hint(hint)


@when(
    '{count:d} others pass on to each other what they have heard, for {ms:d}'
    ' ms'
)
def pass_on(context, count, ms):
    if 'others' not in context:
        context.others = [
            contender(context, f'other-{number}') for number in range(count)
        ]
        context.others.append(context.leases['second'])
    for _ in range(ms // 100):
        hints = [lease.known_holder() for lease in context.others]
        for lease in context.others:
            for hint in hints:
                if hint is not None:
                    lease.receive_hint(hint)
        context.clock.advance(100)


@then('all of them think that it is held')
def all_think(context):
    assert all(lease.is_held_elsewhere() for lease in context.others)


@then('none of them thinks that it is held')
def none_thinks(context):
    assert not any(lease.is_held_elsewhere() for lease in context.others)


@when('what the second heard first comes once more')
def once_more(context):
    context.leases['second'].receive_hint(context.first_heard)


@then('the second thinks that it is held for {ms:d} ms')
def held_for(context, ms):
    second = context.leases['second']
    assert second.known_holder().left_ms == ms, second.known_holder()


@when('the first router is started again')
def started_again(context):
    context.leases['first'] = contender(context, 'first', 2)


@then('the first holds it and the second does not')
def first_holds(context):
    assert context.leases['first'].is_held()
    assert not context.leases['second'].is_held()


@then('the {name} holds it with the number {number:d}')
def holds_with(context, name, number):
    lease = context.leases[name]
    assert lease.is_held() and lease.fencing == number, lease.fencing


@then('the {name} holds it no more')
def holds_no_more(context, name):
    assert not context.leases[name].is_held()


@then('the {name} still holds it')
def still_holds(context, name):
    assert context.leases[name].is_held()


@then('the last attempt was {count:d} call')
def calls_spent(context, count):
    assert context.spent == count, context.spent


@then('the first may act')
def may_act(context):
    assert context.leases['first'].may_act()


@then('the first may not act but holds it')
def may_not_act(context):
    lease = context.leases['first']
    assert lease.is_held() and not lease.may_act()


@then('in {count:d} random histories never two may act at one moment')
def random_histories(context, count):
    for seed in range(count):
        play(context, random.Random(seed))


def play(context, draws):
    context.clock = clock_.ManualClock()
    context.store = store = MemoryStore()
    leases = {name: contender(context, name) for name in 'abc'}
    numbers = {}
    for step in range(120):
        fault = draws.random()
        store.is_down = fault < 0.1
        store.lose_replies = 1 if 0.1 <= fault < 0.2 else 0
        store.delay_writes = 1 if 0.2 <= fault < 0.3 else 0
        name = draws.choice('abc')
        lease = leases[name]
        if draws.random() < 0.03:
            leases[name] = lease = contender(context, name, step + 2)
        elif draws.random() < 0.05:
            lease.release()
        elif draws.random() < 0.7:
            lease.attempt()
        if draws.random() < 0.3:
            store.apply_delayed_writes()
        hint = lease.hint()
        for other in leases.values():
            if hint is not None and other is not lease:
                if draws.random() < 0.5:
                    other.receive_hint(hint)
        context.clock.advance(draws.choice((10, 200, 700, 2500)))
        acting = [n for n, found in leases.items() if found.may_act()]
        assert len(acting) <= 1, (step, acting)
        for n in acting:
            fencing = leases[n].fencing
            assert numbers.setdefault(fencing, n) == n, (fencing, n)
            assert fencing == max(numbers), (fencing, numbers)


@given('the {name} contender stands at "{place}"')
def stands_at(context, name, place):
    context.leases[name].set_endpoint(place)


@given('the {name} contender stands at ""')
def stands_nowhere(context, name):
    context.leases[name].set_endpoint('')


@when('the {name} is killed and started again at "{place}"')
def killed_and_started(context, name, place):
    lease = context.leases[name] = contender(context, name, 2)
    lease.set_endpoint(place)


@when('the {name} is killed and started again at ""')
def killed_and_started_nowhere(context, name):
    killed_and_started(context, name, '')


@when('their VM is suspended for {ms:d} ms')
def suspended(context, ms):
    boot = context.clock.boot
    context.clock.boot = lambda: boot() + ms


@when('the {name} contender looks whether it was its own')
def looks(context, name):
    context.leases[name].take_over()


@then('the store says that it is held with the number {number:d}')
def store_says(context, number):
    stored = context.store.read(lease_.KIND, 'duties')
    assert stored.spec['fencing'] == number, stored


@then(
    'in {count:d} random histories of three places never two act in turn'
    ' too soon'
)
def random_places(context, count):
    taken_over = sum(
        play_places(context, random.Random(seed)) for seed in range(count)
    )
    assert taken_over > count, taken_over


def play_places(context, draws):
    """Return how often a run took over from the one before it.

    Two of three machines bear one name. A machine has one run at a time; a
    run that is paused acts on its belief when it goes on.
    """
    names = {'vm-1': 'a', 'vm-2': 'a', 'vm-3': 'b'}
    context.clock = clock_.ManualClock()
    context.store = store = MemoryStore()
    leases, killed, orders, taken_over = {}, {}, [], 0
    for step in range(150):
        now = context.clock.boot()
        place = draws.choice(sorted(names))
        if place not in leases or draws.random() < 0.1:
            leases[place] = contender(context, names[place], f'{place}-{step}')
            leases[place].set_endpoint(place)
            killed[place] = now
        lease = leases[place]
        fault = draws.random()
        store.is_down = fault < 0.1
        store.lose_replies = 1 if 0.1 <= fault < 0.2 else 0
        store.delay_writes = 1 if 0.2 <= fault < 0.3 else 0
        draws.choice((lease.attempt, lease.attempt, lease.take_over))()
        if draws.random() < 0.3:
            store.apply_delayed_writes()
        acting = [p for p, found in leases.items() if found.may_act()]
        assert len(acting) <= 1, (step, acting)
        for p in acting:
            fencing = leases[p].fencing
            taken_over += check_order(orders, (now, p, fencing), killed[p])
        context.clock.advance(draws.choice((10, 100, 200, 700, 2500)))
    return taken_over


def check_order(orders, order, killed):
    """Add an order; return whether it is a run's first after its own dead."""
    now, place, fencing = order
    own = [o for o in orders if o[1] == place]
    others = [o for o in orders if o[1] != place]
    assert all(o[2] <= fencing for o in orders), (order, orders[-3:])
    assert all(o[2] != fencing for o in others), (order, orders[-3:])
    new = bool(orders) and orders[-1][2] < fencing
    if new and orders[-1][1] == place:
        assert now >= killed + 600, (order, killed, orders[-3:])
    if own and others and others[-1][0] > own[-1][0]:
        # From this machine to another and back.
        assert now - own[-1][0] >= 3000, (order, orders[-3:])
    orders.append(order)
    return new and orders[-2][1] == place and now < orders[-2][0] + 3000


@given('a process that has bound an address for beacons')
def has_bound(context):
    context.child = subprocess.Popen(
        [sys.executable, '-c', BINDS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(end, context.child)
    context.address = context.child.stdout.readline().strip()


def end(child):
    child.kill()
    child.communicate()


@when('it is paused')
def is_paused(context):
    context.child.send_signal(signal.SIGSTOP)


@when('it is killed')
def is_killed(context):
    end(context.child)


@then('nobody else can bind that address')
def cannot_bind(context):
    try:
        bind(context.address)
    except OSError as exc:
        assert exc.errno == errno.EADDRINUSE, exc
    else:
        raise AssertionError(context.address)


@then('another can bind that address')
def bind_again(context):
    bind(context.address)


def bind(address):
    beacons_.Beacons(address, *[mock.Mock()] * 4).stop()


@then('in {count:d} histories of {steps:d} steps, as hypothesis draws them')
def drawn_histories(context, count, steps):
    lease_model.play(count, steps)

"""Steps of leases, on a manual clock."""

from __future__ import annotations

import random

from behave import given
from behave import then
from behave import when
import memory_store

from peridotmast import clock as clock_
from peridotmast.coordination import lease as lease_
from peridotmast import http_client
from peridotmast.standin import engine as engine_


def make_lease(context, name, length=6000, guard=1500):
    store = memory_store.MemoryStore(context.objects, context.clock)
    return lease_.Lease(store, 'lease', name, length, guard, context.clock)


@given(
    'two contenders for a lease of {length:d} ms with a guard of {guard:d} ms'
)
def two_contenders(context, length, guard):
    context.clock = clock_.ManualClock()
    context.objects = memory_store.Objects()
    context.leases = {
        name: make_lease(context, name, length, guard)
        for name in ('first', 'second')
    }


@given('the reply of the next write is lost')
def lose_reply(context):
    context.objects.lose_replies = 1


@given('the platform is out')
def platform_out(context):
    context.objects.out = True


@when('the {name} contender attempts it')
def attempt(context, name):
    context.leases[name].attempt()


@when('the {name} contender gives it up')
def give_up(context, name):
    context.leases[name].release()


@when('{ms:d} ms pass on the clock')
def pass_on_clock(context, ms):
    context.clock.advance(ms)


@then('the first holds it and the second does not')
def one_holds(context):
    assert context.leases['first'].held()
    assert not context.leases['second'].held()


@then('the {name} holds it with the fencing number {number:d}')
def holds_with(context, name, number):
    lease = context.leases[name]
    assert lease.held()
    assert lease.fencing == number, lease.fencing


@then('the {name} holds it no more')
def holds_no_more(context, name):
    assert not context.leases[name].held()


@then('the {name} still holds it')
def still_holds(context, name):
    assert context.leases[name].held()


@then('the {name} may give orders')
def may_order(context, name):
    assert context.leases[name].may_order()


@then('the {name} may give no orders')
def may_not_order(context, name):
    assert not context.leases[name].may_order()


@given('an engine that checks fencing numbers')
def checking_engine(context):
    context.engine = engine_.Engine('vm-1')
    context.closing.append(context.engine.stop)


@when('an order with fencing number {number:d} arrives')
def order_arrives(context, number):
    order = {'action': 'load_model', 'model': f'm{number}', 'fencing': number}
    http_client.HttpClient().call(
        'POST', context.engine.address, '/v1/orders', order
    )


@then('only the order with fencing number {number:d} was carried out')
def only_order(context, number):
    numbers = [order['fencing'] for order in context.engine.orders]
    assert numbers == [number], numbers


@then('in {count:d} random histories never two may give orders at one moment')
def random_histories(context, count):
    handed_over = 0
    for seed in range(count):
        handed_over += _history(context, random.Random(seed))
    assert handed_over > count, handed_over


def _history(context, draws):
    """Run one history; return how often the lease changed hands."""
    context.clock = clock_.ManualClock()
    context.objects = memory_store.Objects()
    leases = [make_lease(context, f'c{n}', 1000, 250) for n in range(3)]
    numbers = []
    for _ in range(120):
        lease = draws.choice(leases)
        context.objects.out = draws.random() < 0.1
        context.objects.lose_replies = int(draws.random() < 0.15)
        context.objects.drop_writes = int(draws.random() < 0.1)
        if draws.random() < 0.05:
            lease.release()
        else:
            lease.attempt()
        ordering = [item for item in leases if item.may_order()]
        assert len(ordering) <= 1, 'two may give orders'
        if ordering and ordering[0].fencing not in numbers:
            assert ordering[0].fencing > max(numbers, default=0)
            numbers.append(ordering[0].fencing)
        context.clock.advance(draws.choice((10, 50, 200, 700, 1500)))
    return len(numbers)

"""Steps for the lease on the duties, on a clock set by the test."""

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
import histories
import lease_model
from memory_store import MemoryStore
from returning_store import ReturningStore

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import lease as lease_

BIND_SCRIPT = """
import sys
from unittest import mock
from peridotmast.coordination import beacons
bound = beacons.Beacons('127.0.0.1:0', *[mock.Mock()] * 4)
print(bound.address, flush=True)
sys.stdin.read()
"""


def make_contender(context, name, run=1):
    is_shared = isinstance(context.store, MemoryStore)
    return lease_.Lease(
        context.store if is_shared else context.store.client(context.clock),
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
def create_contenders(context, length, guard):
    context.length, context.guard = length, guard
    context.clock = clock_.ManualClock()
    context.store = MemoryStore()
    context.leases = {
        name: make_contender(context, name) for name in ('first', 'second')
    }


@given('the contenders use a store in era {era:d}')
def use_returning_store(context, era):
    context.store = ReturningStore(era)
    for name in context.leases:
        context.leases[name] = make_contender(context, name)


@when('the store is copied')
def copy_store(context):
    context.store.take_copy()


@when('the store comes back from the copy')
def bring_store_back(context):
    context.store.come_back()


@when('the store comes back at the next write')
def bring_store_back_at_write(context):
    context.store.returns_at_write = True


@given('a third contender for the lease')
def create_third_contender(context):
    context.leases['third'] = make_contender(context, 'third')


@when('the {name} contender requests the lease')
def request_lease(context, name):
    before = context.store.calls
    context.leases[name].attempt()
    context.calls = context.store.calls - before


@when('the clock advances by {ms:d} ms')
def advance_clock(context, ms):
    context.clock.advance(ms)


@when("the next write's reply is lost")
def lose_reply(context):
    context.store.lose_replies = 1


@when('the store delays the next write')
def delay_write(context):
    context.store.delay_writes = 1


@when('the delayed write takes effect')
def apply_delayed_write(context):
    context.store.apply_delayed_writes()


@when('the store does not answer any contender')
def stop_store_answers(context):
    context.store.is_down = True


@when(
    'a router of an older version has released the lease, and the first'
    ' contender held it before'
)
def write_release_of_older_version(context):
    spec = {
        'holder': 'other.1',
        'router': 'other',
        'before': 'first',
        'fencing': 7,
        'length-ms': context.length,
        'released': True,
    }
    context.store.write(lease_.KIND, 'duties', spec, 0)


@when('the {name} contender releases the lease')
def release_lease(context, name):
    context.leases[name].release()


@when("the second contender receives the first's hint")
def receive_hint(context):
    hint = context.leases['first'].hint()
    if 'first_hint' not in context:
        context.first_hint = hint
    context.leases['second'].receive_hint(hint)


@when(
    '{count:d} other contenders relay their hints to each other for {ms:d} ms'
)
def relay_hints(context, count, ms):
    if 'others' not in context:
        context.others = [
            make_contender(context, f'other-{number}')
            for number in range(count)
        ]
        context.others.append(context.leases['second'])
    for _ in range(ms // 100):
        hints = [lease.known_holder() for lease in context.others]
        for lease in context.others:
            for hint in hints:
                if hint is not None:
                    lease.receive_hint(hint)
        context.clock.advance(100)


@then('all relaying contenders consider the lease held')
def check_all_consider_held(context):
    assert all(lease.is_held_elsewhere() for lease in context.others)


@then('none of the relaying contenders considers the lease held')
def check_none_considers_held(context):
    assert not any(lease.is_held_elsewhere() for lease in context.others)


@when('the second contender receives its first hint again')
def repeat_first_hint(context):
    context.leases['second'].receive_hint(context.first_hint)


@then('the second contender considers the lease held for another {ms:d} ms')
def check_considered_held_for(context, ms):
    second = context.leases['second']
    assert second.known_holder().left_ms == ms, second.known_holder()


@when('the first contender is restarted')
def restart_first(context):
    context.leases['first'] = make_contender(context, 'first', 2)


@then('the first contender holds the lease and the second does not')
def check_only_first_holds(context):
    assert context.leases['first'].is_held()
    assert not context.leases['second'].is_held()


@then('the {name} contender holds the lease with fencing number {number:d}')
def check_held_with_number(context, name, number):
    lease = context.leases[name]
    assert lease.is_held() and lease.fencing == number, lease.fencing


@then('the {name} contender does not hold the lease')
def check_not_held(context, name):
    assert not context.leases[name].is_held()


@then('the {name} contender still holds the lease')
def check_still_held(context, name):
    assert context.leases[name].is_held()


@then('the last request took {count:d} call to the store')
def check_calls_of_last_request(context, count):
    assert context.calls == count, context.calls


@then('the first contender may start orders to the platform')
def check_may_start_orders(context):
    assert context.leases['first'].may_act()


@then(
    'the first contender holds the lease but may not start orders to the'
    ' platform'
)
def check_may_not_start_orders(context):
    lease = context.leases['first']
    assert lease.is_held() and not lease.may_act()


@then(
    'in {count:d} random histories at most one contender may start orders at'
    ' any time'
)
def check_random_histories(context, count):
    for seed in range(count):
        run_contender_history(context, random.Random(seed))


def run_contender_history(context, draws):
    context.clock = clock_.ManualClock()
    context.store = store = MemoryStore()
    leases = {name: make_contender(context, name) for name in 'abc'}
    holders = {}
    for step in range(120):
        fault = draws.random()
        store.is_down = fault < 0.1
        store.lose_replies = 1 if 0.1 <= fault < 0.2 else 0
        store.delay_writes = 1 if 0.2 <= fault < 0.3 else 0
        name = draws.choice('abc')
        lease = leases[name]
        if draws.random() < 0.03:
            leases[name] = lease = make_contender(context, name, step + 2)
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
            assert holders.setdefault(fencing, n) == n, (fencing, n)
            assert fencing == max(holders), (fencing, holders)


@given('the {name} contender has the endpoint "{endpoint}"')
def set_contender_endpoint(context, name, endpoint):
    context.leases[name].set_endpoint(endpoint)


@given('the {name} contender has the endpoint ""')
def set_empty_endpoint(context, name):
    context.leases[name].set_endpoint('')


@when('the {name} contender is killed and restarted at "{endpoint}"')
def kill_and_restart(context, name, endpoint):
    lease = context.leases[name] = make_contender(context, name, 2)
    lease.set_endpoint(endpoint)


@when('the {name} contender is killed and restarted at ""')
def kill_and_restart_without_endpoint(context, name):
    kill_and_restart(context, name, '')


@when('the VM of both runs is suspended for {ms:d} ms')
def suspend_vm(context, ms):
    boot = context.clock.boot_time
    context.clock.boot_time = lambda: boot() + ms


@when('the {name} contender attempts a takeover')
def attempt_takeover(context, name):
    context.leases[name].take_over()


@then('the stored lease has fencing number {number:d}')
def check_stored_fencing_number(context, number):
    stored = context.store.read(lease_.KIND, 'duties')
    assert stored.spec['fencing'] == number, stored


@then(
    'in {count:d} random histories of three endpoints no run starts orders too'
    ' soon after another'
)
def check_random_endpoint_histories(context, count):
    taken_over = sum(
        run_endpoint_history(context, random.Random(seed))
        for seed in range(count)
    )
    assert taken_over > count, taken_over


def run_endpoint_history(context, draws):
    """Run one history; return the number of takeovers from dead runs.

    Two of the three VMs have the same router name. A VM has one run at a
    time. Any run may be paused between its steps, and relies on its earlier
    state when it resumes.
    """
    names = {'vm-1': 'a', 'vm-2': 'a', 'vm-3': 'b'}
    context.clock = clock_.ManualClock()
    context.store = store = MemoryStore()
    leases, killed, orders, taken_over = {}, {}, [], 0
    for step in range(150):
        now = context.clock.boot_time()
        endpoint = draws.choice(sorted(names))
        if endpoint not in leases or draws.random() < 0.1:
            leases[endpoint] = make_contender(
                context, names[endpoint], f'{endpoint}-{step}'
            )
            leases[endpoint].set_endpoint(endpoint)
            killed[endpoint] = now
        lease = leases[endpoint]
        fault = draws.random()
        store.is_down = fault < 0.1
        store.lose_replies = 1 if 0.1 <= fault < 0.2 else 0
        store.delay_writes = 1 if 0.2 <= fault < 0.3 else 0
        draws.choice((lease.attempt, lease.attempt, lease.take_over))()
        if draws.random() < 0.3:
            store.apply_delayed_writes()
        acting = [e for e, found in leases.items() if found.may_act()]
        assert len(acting) <= 1, (step, acting)
        for e in acting:
            fencing = leases[e].fencing
            taken_over += check_order(orders, (now, e, fencing), killed[e])
        context.clock.advance(draws.choice((10, 100, 200, 700, 2500)))
    return taken_over


def check_order(orders, order, killed):
    """Check and add an order; return whether it is the first after a takeover.

    In a takeover, the new run on a VM acts before the lease of the killed run
    on that VM has expired.
    """
    now, endpoint, fencing = order
    own = [o for o in orders if o[1] == endpoint]
    others = [o for o in orders if o[1] != endpoint]
    assert all(o[2] <= fencing for o in orders), (order, orders[-3:])
    assert all(o[2] != fencing for o in others), (order, orders[-3:])
    new = bool(orders) and orders[-1][2] < fencing
    if new and orders[-1][1] == endpoint:
        assert now >= killed + 600, (order, killed, orders[-3:])
    if own and others and others[-1][0] > own[-1][0]:
        # The duties moved from this VM to another VM and back.
        assert now - own[-1][0] >= 3000, (order, orders[-3:])
    orders.append(order)
    return new and orders[-2][1] == endpoint and now < orders[-2][0] + 3000


@given('a process that has bound a beacon address')
def start_bound_process(context):
    context.child = subprocess.Popen(
        [sys.executable, '-c', BIND_SCRIPT],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(kill_process, context.child)
    context.address = context.child.stdout.readline().strip()


def kill_process(child):
    child.kill()
    child.communicate()


@when('the process with the address is paused')
def pause_process(context):
    context.child.send_signal(signal.SIGSTOP)


@when('the process with the address is killed')
def kill_bound_process(context):
    kill_process(context.child)


@then('no other process can bind the address')
def check_cannot_bind(context):
    try:
        bind_and_release(context.address)
    except OSError as exc:
        assert exc.errno == errno.EADDRINUSE, exc
    else:
        raise AssertionError(context.address)


@then('another process can bind the address')
def check_can_bind(context):
    bind_and_release(context.address)


def bind_and_release(address):
    beacons_.Beacons(address, *[mock.Mock()] * 4).stop()


@then(
    'the guarantees of the lease hold in {count:d} drawn histories of'
    ' {steps:d} steps'
)
def check_drawn_histories(context, count, steps):
    histories.run(lease_model.LeaseHistory, count, steps)


@then(
    'the guarantees of the lease hold in {count:d} drawn histories of'
    ' {steps:d} steps with returns of the store'
)
def check_drawn_returns(context, count, steps):
    histories.run(lease_model.ReturnHistory, count, steps)

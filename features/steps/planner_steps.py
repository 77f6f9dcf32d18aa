"""Steps of live events: the plan by itself, and a managed fleet."""

from __future__ import annotations

import collections
import random

from behave import given
from behave import then
from behave import when
import fleet_steps

from peridotmast.controller import planner
from peridotmast.embedded import fleet as fleet_
from peridotmast.platform import cloud as cloud_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import cloud_api
from peridotmast.standin import engine as engine_

START = 10_000_000
NOW = START - 3_600_000


@given(
    'prices of {a:g}, {b:g}, {c:g} and {d:g} in four failure domains, on '
    'demand {factor:g} times that'
)
def four_prices(context, a, b, c, d, factor):
    domains = {f'fd-{n}': price for n, price in enumerate((a, b, c, d), 1)}
    context.prices = cloud_.Prices(domains, factor)
    context.refused = []
    context.observed = 0.0
    context.now = NOW


@given('an event "{name}" of {load:d} tokens/s on VMs of {each:d} tokens/s')
def an_event(context, name, load, each):
    context.event_config = pb.Config(
        models=[
            pb.Model(name='m', weight_bytes=10**10, vm_tokens_per_second=each)
        ],
        events=[
            pb.Event(
                name=name,
                start_ms=START,
                duration_ms=600_000,
                tokens_per_second=load,
                model='m',
            )
        ],
        policy=pb.Policy(
            headroom=1.15,
            boot_ms=90_000,
            weight_bytes_per_second=2e9,
            warmup_ms=20_000,
            margin_ms=30_000,
            linger_ms=60_000,
        ),
    )


def plan_of(context):
    return planner.plan(
        context.event_config,
        context.prices,
        planner.Fleet({}),
        context.now,
        context.observed,
        context.refused,
    )


def mix_of(context):
    return plan_of(context).phases[0].mix


def left_without(mix, domain):
    return sum(
        not slot.reclaimable or slot.failure_domain != domain
        for slot in mix.slots
    )


@given('on demand costs {factor:g} times as much')
def on_demand_costs(context, factor):
    context.prices = cloud_.Prices(context.prices.reclaimable, factor)


@given('only the failure domain of price 1.0 has reclaimable VMs')
def only_one(context):
    context.refused = [(f'fd-{n}', True) for n in (2, 3, 4)]


@given('the first failure domain refuses reclaimable VMs')
def first_refuses(context):
    context.refused = [('fd-1', True)]


@when('{load:d} tokens/s are observed during the event')
def observed(context, load):
    context.observed = load
    context.now = START + 1000


@then('without any failure domain at least {count:d} VMs are left')
def enough_left(context, count):
    mix = mix_of(context)
    for domain in context.prices.reclaimable:
        assert left_without(mix, domain) >= count, (domain, mix.slots)


@then('the plan costs less than {count:d} VMs on demand')
def costs_less(context, count):
    cheapest = min(context.prices.reclaimable.values())
    fixed = count * cheapest * context.prices.on_demand_factor
    assert mix_of(context).price < fixed, mix_of(context).price


@then('the mix holds VMs on demand only')
def on_demand_only(context):
    slots = mix_of(context).slots
    assert slots and not any(slot.reclaimable for slot in slots), slots


@then('no reclaimable VM is planned there')
def none_there(context):
    for slot in mix_of(context).slots:
        assert not slot.reclaimable or slot.failure_domain != 'fd-1', slot


@then('the order comes before the start by boot, loads, warm-up and margin')
def backward(context):
    phase = plan_of(context).phases[0]
    loads = len(phase.mix.slots) * 10**10 / 2e9 * 1000
    lead = 90_000 + loads + 20_000 + 30_000
    assert phase.order_at == START - lead, phase


@then('nothing is wanted before the order and after the end')
def wanted_between(context):
    plan = plan_of(context)
    phase = plan.phases[0]
    assert not plan.wanted(phase.order_at - 1)
    assert len(plan.wanted(phase.order_at)) == len(phase.mix.slots)
    assert not plan.wanted(phase.gives_back_at)


@then('the plan explains each step with its time, reason and cost')
def explains(context):
    text = '\n'.join(plan_of(context).explain())
    for part in ('order', 'load m', 'warm prefixes', 'opens', 'give back'):
        assert part in text, text
    assert '/h' in text and '|' in text, text


@then('in {count:d} random markets the mix outlasts any failure domain')
def random_markets(context, count):
    for seed in range(count):
        needed, prices, mix = _market(random.Random(seed))
        for domain in prices.reclaimable:
            assert left_without(mix, domain) >= needed, (seed, mix)


@then('no cheaper even spread exists')
def no_cheaper(context):
    for seed in range(400):
        needed, prices, mix = _market(random.Random(seed))
        for width in range(2, len(prices.reclaimable) + 1):
            cheapest = sorted(prices.reclaimable.values())[:width]
            each = -(-needed // (width - 1))
            assert mix.price <= each * sum(cheapest) + 1e-9, seed


def _market(draws):
    domains = {
        f'fd-{n}': round(draws.uniform(0.5, 2), 2)
        for n in range(draws.randint(1, 6))
    }
    prices = cloud_.Prices(domains, draws.uniform(1.05, 5))
    needed = draws.randint(1, 40)
    return needed, prices, planner.cheapest_mix('e', 'm', needed, prices)


# --------------------------------------------------------------- real fleets

POLICY = """
[policy]
managed = true
headroom = 1.0
boot_ms = 300
weight_bytes_per_second = 1e12
warmup_ms = 100
margin_ms = 100
linger_ms = 200
refused_ms = 5000

[event opening]
start_ms = {start}
duration_ms = {duration}
tokens_per_second = 700
model = draft-7b
"""


@given('a managed fleet with two controllers and an event in {ms:d} ms')
def managed_fleet(context, ms):
    shape = fleet_.FleetShape(
        routers=2,
        engines=0,
        services=0,
        controllers=0,
        times=engine_.EngineTimes(step_ms=10, batch=8),
        weights_per_second=1e12,
        router=dict(fleet_steps.FAST),
        controller={
            'lease_ms': 600,
            'guard_ms': 150,
            'tick_ms': 50,
        },
    )
    fleet = context.fleet = fleet_.Fleet(shape, 3)
    model = '\n[model draft-7b]\nvm_tokens_per_second = 200\n'
    base = fleet_.CONFIG.partition('[model')[0] + model
    event = POLICY.format(start=fleet.clock.wall() + ms, duration=2500)
    shape.config = base + event
    fleet.start()
    peer = fleet.routers[0].peer_address
    shape.controller['router'] = peer
    for number in range(2):
        fleet.add_controller(f'controller-{number}')


def planned(context):
    fleet = context.fleet
    config = fleet.routers[0].feed.config
    prices = cloud_.Prices(fleet.cloud.prices, fleet.cloud.on_demand_factor)
    plan = planner.plan(
        config, prices, planner.Fleet({}), config.events[0].start_ms
    )
    return [slot.name for slot in plan.phases[0].mix.slots]


def vms_of(context, *states):
    return [
        vm
        for vm in context.fleet.cloud.vms.values()
        if vm.state in states and '.g' in vm.name
    ]


def live_names(context):
    return sorted(vm.name for vm in vms_of(context, cloud_api.VmState.LIVE))


@when('the holder is killed after its first orders')
def holder_killed(context):
    fleet = context.fleet
    assert fleet.wait_until(lambda: fleet.cloud.vms, 8000)
    for controller in fleet.controllers:
        if controller.lease.held():
            controller._tasks.stop()


@when('the planned VMs are there')
def planned_there(context):
    names = sorted(f'{name}.g1' for name in planned(context))
    assert context.fleet.wait_until(
        lambda: live_names(context) == names, 8000
    ), (names, live_names(context))


@then('the planned VMs are there once, with their models loaded')
def there_once(context):
    planned_there(context)
    slots = collections.Counter(
        vm.name.partition('.g')[0] for vm in context.fleet.cloud.vms.values()
    )
    assert set(slots.values()) == {1}, slots
    assert context.fleet.wait_until(
        lambda: all('draft-7b' in e.models for e in context.fleet.engines()),
        8000,
    )


@then("the event's answers are whole")
def event_answers(context):
    fleet = context.fleet

    def known():
        return all(r.table.usable('engine') for r in fleet.routers)

    assert fleet.wait_until(known, 8000)
    fleet_steps.begin_chats(context, 6, 20, deadline_ms=10_000)
    fleet_steps.every_answer_whole(context)


@when('one of them is reclaimed')
def one_reclaimed(context):
    context.lost = live_names(context)[0]
    context.fleet.cloud.reclaim([context.lost], 100)


@then('another takes its place')
def another_there(context):
    name = context.lost.replace('.g1', '.g2')
    assert context.fleet.wait_until(
        lambda: name in live_names(context), 8000
    ), live_names(context)


@then('after the event its VMs are drained and given back')
def given_back(context):
    live = cloud_api.VmState.LIVE, cloud_api.VmState.BOOTING
    assert context.fleet.wait_until(
        lambda: not vms_of(context, *live), 20_000
    ), live_names(context)


def is_empty(context, address):
    controller = context.fleet.controllers[0]
    record = pb.UpstreamRecord(
        upstream=pb.Upstream(name='vm', address=address, slots=8)
    )
    controller._draining['vm'] = controller._clock.now() - 4000
    return controller._is_empty(record)


@then('an engine that answers without work is empty after its drain')
def answers_empty(context):
    assert is_empty(context, context.fleet.engines()[0].address)


@then('an engine that does not answer is not')
def silent_not_empty(context):
    assert not is_empty(context, '127.0.0.1:1')


@then('the planned VMs come from other failure domains')
def from_others(context):
    count = len(planned(context))
    assert context.fleet.wait_until(
        lambda: len(live_names(context)) >= count - 1, 8000
    ), live_names(context)
    live = vms_of(context, cloud_api.VmState.LIVE)
    assert all(vm.failure_domain != 'fd-1' for vm in live)

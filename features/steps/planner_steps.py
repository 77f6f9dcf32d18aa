"""Steps for capacity plans, orders, events, demand and required upstreams."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random

from behave import given
from behave import then
from behave import when
import histories
import hypothesis
from hypothesis import strategies

from peridotmast import clock as clock_
from peridotmast.coordination import fleet_counts
from peridotmast.duties import capacity_plan
from peridotmast.duties import event_plan
from peridotmast.duties import order_tracker
from peridotmast.duties import required_capacity
from peridotmast.duties import scaler as scaler_
from peridotmast.duties import service_reconciler
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import demand as demand_
from peridotmast.serving.limits import upstream_limits
from peridotmast.serving import prefill_rate
from peridotmast.serving import upstreams as upstreams_

DOMAINS = ('a', 'b', 'c', 'd')


@given(
    'firm prices of {a:g}, {b:g}, {c:g} and {d:g}, and reclaimable prices'
    ' of {ratio:g} times the firm ones'
)
def set_prices(context, a, b, c, d, ratio):
    context.limits = {}
    context.existing = None
    context.market = capacity_plan.Market(
        dict(zip(DOMAINS, (a, b, c, d))), ratio, 1, 6
    )


@given('no reclaimable upstreams are available')
def no_reclaimable_available(context):
    market = context.market
    context.market = capacity_plan.Market(
        market.prices,
        market.reclaimable_price,
        market.min_per_domain,
        market.max_per_domain,
        dict.fromkeys(DOMAINS, 0),
    )


@given('{count:d} firm upstreams exist already')
def set_existing_firm(context, count):
    context.existing = capacity_plan.Mix({}, {'c': count})


@when('{needed:d} upstreams are needed')
def compute_mix(context, needed):
    context.mix = capacity_plan.cheapest_mix(
        context.market, needed, context.existing
    )


@then('the mix has {reclaimable:d} reclaimable and {firm:d} firm upstreams')
def check_mix_counts(context, reclaimable, firm):
    mix = context.mix
    found = sum(mix.reclaimable.values()), sum(mix.firm.values())
    assert found == (reclaimable, firm), mix


@then('the mix includes these {count:d} firm upstreams')
def check_mix_includes(context, count):
    assert context.mix.firm['c'] >= count, context.mix
    assert context.mix.left_after_loss >= 3, context.mix


@then(
    'in {count:d} random markets the mix has enough upstreams after any loss,'
    ' and no valid mix is cheaper'
)
def random_markets(context, count):
    @histories.settings(count)
    @hypothesis.given(
        strategies.lists(strategies.floats(0.5, 2), min_size=2, max_size=3),
        strategies.floats(0.1, 1.0),
        strategies.integers(0, 2),
        strategies.integers(1, 3),
        strategies.integers(1, 4),
        strategies.lists(strategies.integers(0, 3), min_size=3, max_size=3),
    )
    def check(costs, part, least, most, needed, limits):
        names = DOMAINS[: len(costs)]
        market = capacity_plan.Market(
            dict(zip(names, costs)),
            part,
            min(least, most),
            most,
            dict(zip(names, limits)),
        )
        check_market(market, needed)

    check()


def check_market(market, needed):
    mix = capacity_plan.cheapest_mix(market, needed)
    for domain in market.prices:
        total = mix.reclaimable[domain] + mix.firm[domain]
        assert total <= max(market.max_per_domain, market.min_per_domain), mix
        assert mix.reclaimable[domain] <= market.max_upstreams(domain, True), (
            mix
        )
    best = brute_force(market, needed)
    if best is not None:
        assert mix.left_after_loss >= needed, (mix, best)
        assert market.price(mix) <= market.price(best) + 1e-9, (mix, best)


def brute_force(market, needed):
    """Return the cheapest of all valid mixes, or None if there is none."""
    names = sorted(market.prices, key=lambda d: (market.prices[d], d))
    ranges = [
        range(market.max_upstreams(domain, True) + 1) for domain in names
    ] + [range(market.max_per_domain + 1) for _ in names]
    found = []
    for counts in itertools.product(*ranges):
        reclaimable, firm = counts[: len(names)], counts[len(names) :]
        totals = [a + b for a, b in zip(reclaimable, firm)]
        if any(t > market.max_per_domain for t in totals):
            continue
        mix = capacity_plan.Mix(
            dict(zip(names, reclaimable)), dict(zip(names, firm))
        )
        if (
            mix.left_after_loss >= needed
            and min(totals) >= market.min_per_domain
        ):
            found.append(mix)
    return min(found, key=market.price, default=None)


@then(
    'of {reclaimable:d} reclaimable and {firm:d} firm upstreams, with'
    ' {needed:d} needed, the most expensive firm one is removed'
)
def check_most_expensive_removed(context, reclaimable, firm, needed):
    mix = capacity_plan.Mix(
        dict.fromkeys(DOMAINS, reclaimable // 4), {'b': 1, 'c': firm - 1}
    )
    found = capacity_plan.find_removable(context.market, mix, needed)
    assert found == ('c', False), found
    tight = capacity_plan.Mix(dict.fromkeys(DOMAINS, 1), {})
    assert capacity_plan.find_removable(context.market, tight, needed) is None


@then(
    'a cached plan is used only for the same market, needed and existing'
    ' upstreams'
)
def check_plans_cached(context):
    cache = capacity_plan.PlanCache()
    existing = capacity_plan.Mix({'a': 1}, {'b': 1})
    scarce = dataclasses.replace(context.market, reclaimable_limits={'b': 0})
    queries = [
        (context.market, 3, None),
        (context.market, 4, None),
        (context.market, 3, existing),
        (scarce, 3, None),
    ]
    first = [cache.cheapest(*query) for query in queries]
    again = [cache.cheapest(*query) for query in queries]
    assert all(one is other for one, other in zip(first, again))
    uncached = [capacity_plan.cheapest_mix(*query) for query in queries]
    assert first == uncached, (first, uncached)
    for need in range(200):
        plan = cache.cheapest(context.market, need)
        assert plan == capacity_plan.cheapest_mix(context.market, need)


class _RecordingOrders:
    """Accepts and records every order for upstreams."""

    def __init__(self):
        self.accepted = []

    def order(self, service, domain, count, reclaimable, fencing):
        self.accepted.append((domain, count, reclaimable))


def make_service(domains):
    """Return the configuration of a service that is scaled."""
    return pb.Service(
        name='pool',
        scaled=True,
        domains=domains,
        prices=(1.0, 0.8, 1.25, 0.9),
        reclaimable_price=0.22,
        scale_min=1,
        scale_max=6,
        boot_ms=4000,
    )


def reconcile(context, needed=5, reserve=5, out_of_use=None):
    """Order and remove upstreams of the service once, as the scaler does."""
    service = make_service(DOMAINS)
    context.orders.accepted.clear()
    reconciler = service_reconciler.ServiceReconciler(
        context.orders,
        context.tracker,
        context.plan_cache,
        service,
        context.live_mix,
        needed=needed,
        reserve=reserve,
        fencing=1,
        demand=0,
        out_of_use=out_of_use,
    )
    reconciler.order_reclaimable()
    reconciler.order_firm()
    reconciler.remove_excess(only_one=False)


@given(
    '{needed:d} upstreams are needed, and one reclaimable per failure'
    ' domain and {firm:d} firm ones are live'
)
def set_needed_and_live(context, needed, firm):
    context.needed = needed
    context.clock = clock_.ManualClock()
    context.tracker = order_tracker.OrderTracker(context.clock)
    context.orders = _RecordingOrders()
    context.plan_cache = capacity_plan.PlanCache()
    context.live_mix = capacity_plan.Mix(
        dict.fromkeys(DOMAINS, 1), {**dict.fromkeys(DOMAINS, 0), 'b': firm}
    )


@when(
    'a second reclaimable upstream is ordered in each of "a", "b" and "d", and'
    ' the one in "b" starts first'
)
def start_second_in_b_first(context):
    reconcile(context, context.needed, context.needed)
    ordered = {(d, count, kind) for d, count, kind in context.orders.accepted}
    assert ordered == {(d, 2, True) for d in 'abd'}, ordered
    context.live_mix.reclaimable['b'] = 2
    reconcile(context, context.needed, context.needed)


@then(
    'one firm upstream is removed, which is not needed after any single loss'
)
def check_one_firm_removed(context):
    assert context.orders.accepted == [('b', 1, False)], (
        context.orders.accepted
    )
    context.live_mix.firm['b'] = 1


@when('the second upstreams in "a" and "d" have started too')
def start_rest_of_order(context):
    context.live_mix.reclaimable.update(a=2, d=2)
    reconcile(context, context.needed, context.needed)


@then('the last firm upstream is removed, and no reclaimable one')
def check_last_firm_removed(context):
    assert context.orders.accepted == [('b', 0, False)], (
        context.orders.accepted
    )


KEY = ('pool', 'a', True)


@given('an order tracker')
def create_order_tracker(context):
    context.clock = clock_.ManualClock()
    context.tracker = order_tracker.OrderTracker(context.clock)


@when('an order is refused {count:d} times')
def refuse_order(context, count):
    context.pauses = []
    for _ in range(count):
        context.tracker.record_refused(KEY)
        waited = 0
        while not context.tracker.may_order(KEY):
            context.clock.advance(100)
            waited += 100
        context.pauses.append(waited)


@then('the pauses before the next attempts were {a:d}, {b:d} and {c:d} ms')
def check_pauses(context, a, b, c):
    assert context.pauses == [a, b, c], context.pauses
    assert context.tracker.has_backoff(KEY)
    context.tracker.record_accepted(KEY, 0, 1, 0)
    assert not context.tracker.has_backoff(KEY)


@when('{count:d} upstreams are ordered that boot in {ms:d} ms')
def order_upstreams(context, count, ms):
    context.tracker.record_accepted(KEY, 0, count, ms)


@then('{count:d} upstreams are expected at once, and 0 after {ms:d} ms')
def check_expected(context, count, ms):
    assert context.tracker.expected_count(KEY, 0) == count
    context.clock.advance(ms)
    assert context.tracker.expected_count(KEY, 0) == 0


@given(
    'a live event of {tokens:d} tokens per second that starts in {seconds:d} s'
)
def configure_live_event(context, tokens, seconds):
    context.now = 1_700_000_000_000
    context.start = context.now + seconds * 1000
    context.event_config = pb.Config(
        models=[pb.Model(name='m', route='chat', vm_tokens_per_second=24_000)],
        routes=[pb.Route(name='chat', services=['pool'])],
        services=[
            pb.Service(
                name='pool',
                scaled=True,
                scale_max=4,
                boot_ms=4000,
                reclaimable_price=0.22,
                domains=DOMAINS,
                prices=[1.0, 0.8, 1.25, 0.9],
            )
        ],
        events=[
            pb.Event(
                name='opening',
                start_ms=context.start,
                duration_ms=600_000,
                tokens_per_second=tokens,
                model='m',
            )
        ],
        policy=pb.Policy(
            headroom=1.0,
            warmup_ms=20_000,
            margin_ms=30_000,
            linger_ms=60_000,
        ),
    )


@then(
    "the event's upstreams are ordered {lead:d} ms before the event and"
    ' released {linger:d} ms after it'
)
def check_reservation_times(context, lead, linger):
    (reservation,) = event_plan.plan(context.event_config, context.now)
    assert reservation.order_at == context.start - lead, reservation
    ends = context.start + 600_000 + linger
    assert reservation.release_at == ends, reservation
    assert reservation.needed == 4, reservation
    for at, needed in (
        (reservation.order_at - 1, 0),
        (reservation.order_at, 4),
        (ends, 0),
    ):
        found = event_plan.upstreams_needed([reservation], 'pool', at)
        assert found == needed, (at, found)
    assert not event_plan.plan(context.event_config, ends)


@then('the text of the event plan states the cost and the redundancy')
def check_plan_text(context):
    reservations = event_plan.plan(context.event_config, context.now)
    text = '\n'.join(event_plan.explain(reservations))
    for part in (
        'order 6 of pool',
        'in all',
        'are left after losing any',
        '#',
    ):
        assert part in text, text


@given(
    'two routers that received requests for {a:d} and {b:d} tokens in {s:d} s'
)
def two_routers_with_demand(context, a, b, s):
    clock = clock_.ManualClock()
    context.demands = [demand_.Demand(clock) for _ in range(2)]
    tallies = [
        fleet_counts.FleetCounts(demand.counts, demand.count_from_peers)
        for demand in context.demands
    ]
    exchange_counts(context.demands, tallies)
    for _ in range(s * 4):
        for demand, tokens in zip(context.demands, (a, b)):
            demand.tick()
            demand.count_request('pool', tokens // (s * 4))
        exchange_counts(context.demands, tallies)
        clock.advance(250)


def exchange_counts(demands, tallies):
    for number, tally in enumerate(tallies):
        other = 1 - number
        tally.receive(f'r{other}', 1, demands[other].counts(), True)


@then('both routers measure a demand of {rate:d} tokens per second')
def check_both_demand_rates(context, rate):
    for demand in context.demands:
        found = demand.rate('pool')
        assert abs(found - rate) < rate * 0.1, found


@given('a router that has just started')
def router_just_started(context):
    context.clock = clock_.ManualClock()
    context.demand = demand_.Demand(context.clock)
    context.demand.tick()


@when(
    'the router receives a request for {tokens:d} tokens, and {ms:d} ms pass'
)
def receive_request(context, tokens, ms):
    context.demand.count_request('pool', tokens)
    context.clock.advance(ms)


@then('the mean request size of the router is unknown')
def check_request_size_unknown(context):
    assert not context.demand.mean_request_tokens('pool')


@then('the mean request size of the router is {tokens:d} tokens')
def check_mean_request_size(context, tokens):
    assert context.demand.mean_request_tokens('pool') == tokens


@then('the router measures a demand of {rate:d} tokens per second')
def check_demand_rate(context, rate):
    assert context.demand.rate('pool') == rate


RATED_SPEED = 1000.0
"""Configured capacity of an upstream, in tokens per second."""


def demand_for(count):
    """Return a demand that `count` upstreams carry, but one fewer can't."""
    root = (
        math.sqrt(required_capacity._LOAD_MARGIN**2 + 4 * count)
        - required_capacity._LOAD_MARGIN
    ) / 2
    speed = RATED_SPEED * required_capacity._MAX_SPEED_FACTOR
    return 0.999 * root**2 * speed / required_capacity._PREFILL_SHARE


class _FixedDemand:
    """Demand whose measurements a test sets."""

    def __init__(self):
        self.value = 0.0
        self.is_measured = True

        self.peak = 0.0
        self.speed = None
        self.request_tokens = 0.0

    def rate(self, service):
        return self.value

    def quantile(self, service, share):
        return max(self.value, self.peak)

    def has_full_window(self, service):
        return self.is_measured

    def prefill_rate(self, service):
        return self.speed

    def mean_request_tokens(self, service):
        return self.request_tokens


@given('a scaler with {count:d} upstreams')
def create_scaler(context, count):
    context.clock = clock_.ManualClock()
    context.demand = _FixedDemand()
    policy = pb.Policy(tokens_per_second=RATED_SPEED, shortage_price=7)
    config = pb.Config(policy=policy)
    context.scaler_config = config
    context.upstreams = upstreams_.UpstreamTable(context.clock)
    context.upstream_limits = upstream_limits.UpstreamLimits(
        context.clock, 'router-1'
    )
    context.stated_limits = []
    context.scaler = scaler_.Scaler(
        None,
        lambda: config,
        context.upstreams,
        context.demand,
        context.upstream_limits,
        context.clock,
        context.clock.wall_time,
    )
    context.scaler.estimator.startup_complete = True
    context.service = pb.Service(name='pool')
    context.live_count = count
    context.revision = 0


def estimate(context, ms=0):
    context.clock.advance(ms)
    rated_speed = context.scaler_config.policy.tokens_per_second
    return context.scaler.estimator.estimate(
        context.service.name,
        context.live_count,
        0,
        rated_speed,
        0.0,
        context.stated_limits,
    ).count


@given('an upstream can carry {count:d} requests per second')
def set_request_size(context, count):
    speed = RATED_SPEED * required_capacity._MAX_SPEED_FACTOR
    context.demand.request_tokens = (
        speed / required_capacity._PREFILL_SHARE / count
    )


@when(
    'upstreams state rate limits of {a:d}, {b:d} and {c:d} requests per second'
)
def set_stated_limits(context, a, b, c):
    context.stated_limits = [a, b, c]


@when('no upstream states a rate limit')
def clear_stated_limits(context):
    context.stated_limits = []


@given(
    '{count:d} live upstreams state a rate limit of {rate:d} request per'
    ' second'
)
def limit_live_upstreams(context, count, rate):
    for view in context.upstreams.live('pool')[:count]:
        context.upstream_limits.note_limit(view, rate)


@given('a scaler at the start of a fleet with {count:d} upstreams')
def scaler_at_startup(context, count):
    create_scaler(context, count)
    context.scaler.estimator.startup_complete = False
    context.demand.is_measured = False


@when('{count:d} upstreams have started, and no more for {ms:d} ms')
def start_upstreams_and_wait(context, count, ms):
    context.live_count = count
    for number in range(count):
        add_upstream(context, f'u-{number}', 'fd-1', False)
    context.scaler.estimator.track_startup(is_first_holder=True)
    assert not context.scaler.estimator.startup_complete
    context.clock.advance(ms)
    context.scaler.run(1)


@when(
    '{count:d} upstreams have started, and {more:d} reclaimable ones start'
    ' {ms:d} ms later'
)
def reclaimable_start_later(context, count, more, ms):
    for number in range(count):
        add_upstream(context, f'u-{number}', 'fd-1', False)
    context.scaler.estimator.track_startup(is_first_holder=True)
    context.clock.advance(ms)
    for number in range(more):
        add_upstream(context, f'r-{number}', 'fd-1', True)
    context.scaler.estimator.track_startup(is_first_holder=True)
    assert not context.scaler.estimator.startup_complete


@then('the startup of the fleet is over {ms:d} ms after that')
def check_startup_complete(context, ms):
    context.clock.advance(ms)
    context.scaler.estimator.track_startup(is_first_holder=True)
    assert context.scaler.estimator.startup_complete


@when('the demand is measured as that of {count:d} upstreams')
def measure_demand(context, count):
    context.demand.value = demand_for(count)
    context.demand.is_measured = True


def add_upstream(context, name, domain, reclaimable, state=upstreams_.LIVE):
    context.revision += 1
    context.upstreams.merge(
        pb.UpstreamRecord(
            upstream=pb.Upstream(
                name=name,
                address='10.0.0.1:1',
                service='pool',
                slots=4,
                failure_domain=domain,
            ),
            state=state,
            revision=context.revision,
            reclaimable=reclaimable,
        )
    )


class _ImmediateOrders:
    """Accepts and records orders, and removes excess upstreams at once."""

    def __init__(self, context):
        self._context = context
        self.accepted = []

    def order(self, service, domain, count, reclaimable, fencing):
        self.accepted.append((domain, count, reclaimable))
        existing = [
            view
            for view in self._context.upstreams.live(service)
            if view.failure_domain == domain
            and view.record.reclaimable == reclaimable
        ]
        for view in existing[count:]:
            add_upstream(
                self._context, view.name, domain, reclaimable, upstreams_.GONE
            )


START_DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')


@given('a starting fleet with {count:d} firm upstreams in 4 failure domains')
def create_starting_fleet(context, count):
    create_scaler(context, count)
    context.demand.is_measured = False
    context.orders = context.scaler._orders = _ImmediateOrders(context)
    context.scaler_config.services.append(make_service(START_DOMAINS))
    context.scaler.estimator.startup_complete = False
    for number in range(count):
        add_upstream(
            context, f'firm-{number}', START_DOMAINS[number % 4], False
        )


@when('the scaler runs until its reclaimable upstreams have started')
def run_until_reclaimable_started(context):
    for _ in range(12):
        context.scaler.run(1)
        context.clock.advance(250)
    context.first_orders = list(context.orders.accepted)
    for domain, count, reclaimable in context.first_orders:
        for number in range(count if reclaimable else 0):
            add_upstream(context, f'{domain}-{number}', domain, True)
    context.scaler.run(1)


@given(
    'a new lease holder with {reclaimable:d} reclaimable upstreams in each'
    ' failure domain'
)
def create_new_holder(context, reclaimable):
    create_scaler(context, 0)
    context.demand.is_measured = False
    context.orders = context.scaler._orders = _ImmediateOrders(context)
    context.scaler_config.services.append(make_service(START_DOMAINS))
    context.scaler.estimator.startup_complete = False
    for domain in START_DOMAINS:
        for number in range(reclaimable):
            add_upstream(context, f'{domain}-{number}', domain, True)
    context.initial_count = reclaimable * len(START_DOMAINS)
    context.state = pb.DutiesLeft(at_ms=context.clock.wall_time())
    context.scaler.start(context.state)


@given('the previous holder required {count:d} upstreams')
def set_previous_required(context, count):
    context.state.needs['pool'] = count
    context.scaler.start(context.state)


@given(
    'the previous holder ordered {count:d} more upstreams in "{domain}",'
    ' which start within {ms:d} ms'
)
def add_previous_order(context, count, domain, ms):
    live = live_by_domain(context)[domain]
    context.state.orders.add(
        service='pool',
        failure_domain=domain,
        reclaimable=True,
        live=live,
        coming=count,
        within_ms=ms,
    )
    context.scaler.start(context.state)


@given('the state of the previous holder is {ms:d} ms old')
def age_previous_state(context, ms):
    context.clock.advance(ms)
    context.scaler.start(context.state)


@then('no order was for fewer than {count:d} upstreams in "{domain}"')
def check_no_smaller_order(context, count, domain):
    ordered = [n for d, n, _ in context.orders.accepted if d == domain]
    assert all(n >= count for n in ordered), context.orders.accepted


@when('the new holder runs for {ms:d} ms, with little demand reported so far')
def run_with_little_demand(context, ms):
    context.demand.value = 100.0
    for _ in range(ms // 250):
        context.scaler.run(2)
        context.clock.advance(250)


@when('the demand is measured, as that of 2 upstreams')
def measure_demand_of_two(context):
    measure_demand(context, 2)


@then('no upstream was removed')
def check_nothing_removed(context):
    counts = live_by_domain(context)
    for domain, count, reclaimable in context.orders.accepted:
        assert not reclaimable or count >= counts[domain], (domain, count)
    assert sum(counts.values()) == context.initial_count, counts


def live_by_domain(context):
    return collections.Counter(
        view.failure_domain for view in context.upstreams.live('pool')
    )


@then('the first run of the new holder orders {count:d} more upstreams')
def check_first_run_orders(context, count):
    context.scaler.run(2)
    counts = live_by_domain(context)
    wanted = {d: n for d, n, reclaimable in context.orders.accepted}
    more = sum(n - counts[domain] for domain, n in wanted.items())
    assert more == count, context.orders.accepted


@then('the new holder has removed {count:d} upstreams after {ms:d} ms')
def check_removed_after(context, count, ms):
    before = sum(live_by_domain(context).values())
    for _ in range(ms // 250):
        context.scaler.run(2)
        context.clock.advance(250)
    after = sum(live_by_domain(context).values())
    assert before - after == count, (before, after)


@then('the scaler has ordered reclaimable upstreams first')
def check_reclaimable_ordered_first(context):
    assert all(kind for _, _, kind in context.first_orders[:4]), (
        context.first_orders
    )


@then(
    'the scaler kept {count:d} firm upstreams until the reclaimable ones had'
    ' started, and none after that'
)
def check_kept_firm(context, count):
    remaining = remaining_firm_counts(context.first_orders)
    assert sum(remaining.values()) == count, (
        remaining,
        context.orders.accepted,
    )
    remaining = remaining_firm_counts(context.orders.accepted)
    assert not sum(remaining.values()), (remaining, context.orders.accepted)


def remaining_firm_counts(orders):
    remaining = {'fd-1': 3, 'fd-2': 2, 'fd-3': 2, 'fd-4': 2}
    remaining.update({d: count for d, count, kind in orders if not kind})
    return remaining


@when('the demand falls from that of {high:d} upstreams to that of {low:d}')
def lower_demand(context, high, low):
    context.demand.value = demand_for(high)
    assert estimate(context) == high
    context.demand.value = demand_for(low)


@then(
    'the estimate is still {high:d} upstreams after {ms:d} ms, and {low:d}'
    ' after {later:d} ms'
)
def check_estimate_falls(context, high, ms, low, later):
    assert estimate(context, ms) == high
    assert estimate(context, later - ms) == low


@when('the demand rises to that of {high:d} upstreams')
def raise_demand(context, high):
    context.demand.value = demand_for(high)


@then('the estimate is {high:d} upstreams at once')
def check_estimate(context, high):
    assert estimate(context) == high


def estimate_with_reserve(context):
    return context.scaler.estimator.estimate(
        'pool', context.live_count, 0, RATED_SPEED, 0.03
    )


@when(
    'the demand is usually that of {usual:d} upstreams, and rarely that of'
    ' {rare:d}'
)
def demand_with_peaks(context, usual, rare):
    context.demand.value = demand_for(usual)
    context.demand.peak = demand_for(rare)


@then(
    '{needed:d} upstreams are needed, and {held:d} are held while'
    ' reclaimable ones are available'
)
def check_count_and_reserve(context, needed, held):
    found = estimate_with_reserve(context)
    assert (found.count, found.reserve) == (needed, held), found


@then('{held:d} upstreams are held while reclaimable ones are available')
def check_reserve(context, held):
    assert estimate_with_reserve(context).reserve == held


@given(
    'a demand of {low:d} tokens per second for {long:d} s, and of {high:d}'
    ' for {short:d} s'
)
def demand_over_time(context, low, long, high, short):
    clock = clock_.ManualClock()
    context.demand = demand_.Demand(clock)
    for rate, seconds in ((low, long), (high, short)):
        for _ in range(4 * seconds):
            clock.advance(250)
            context.demand.count_request('pool', rate // 4)
            context.demand.tick()


@then(
    'the 0.9 quantile of the demand is about {rate:d}, and the 0.97 quantile'
    ' is more than twice that'
)
def check_quantiles(context, rate):
    assert context.demand.quantile('pool', 0.9) <= rate * 1.2
    assert context.demand.quantile('pool', 0.97) > rate * 2


@when(
    '{count:d} upstreams are ordered in addition to {live:d}, and these'
    ' {lost:d} are lost'
)
def order_and_lose(context, count, live, lost):
    context.tracker.record_accepted(KEY, live, count, 4000)
    assert context.tracker.expected_count(KEY, live) == live + count
    context.live_count = live - lost


@then('{count:d} upstreams are expected')
def check_expected_count(context, count):
    found = context.tracker.expected_count(KEY, context.live_count)
    assert found == count, found


@when('one of the ordered upstreams has started')
def start_one_ordered(context):
    context.live_count += 1


@given('a maximum of {count:d} upstreams in each failure domain')
def set_domain_maximum(context, count):
    context.scaler_config.services[0].scale_max = count


@when('the scaler runs once for the demand of {count:d} upstreams')
def run_scaler_once(context, count):
    context.demand.value = demand_for(count)
    context.scaler.run(1)


@then(
    'no failure domain has orders for more than {count:d} upstreams in total'
)
def check_orders_within_maximum(context, count):
    remaining = remaining_firm_counts(context.orders.accepted)
    for domain, wanted, reclaimable in context.orders.accepted:
        firm = remaining[domain] if reclaimable else 0
        assert wanted + firm <= count, context.orders.accepted


@given(
    '{needed:d} upstreams are needed, {count:d} reclaimable ones are live'
    ' in each failure domain, and no more are available'
)
def set_more_than_needed(context, needed, count):
    set_needed_and_live(context, needed, 0)
    context.live_mix.reclaimable.update(dict.fromkeys(DOMAINS, count))
    context.tracker.record_refused(('pool', 'a', True))


@then('no reclaimable upstream is removed')
def check_no_reclaimable_removed(context):
    reconcile(context)
    assert not context.orders.accepted, context.orders.accepted


@then('ten times the demand requires less than ten times the upstreams')
def check_spare_capacity(context):
    context.demand.value = demand_for(5)
    few = estimate(context)
    context.demand.value *= 10
    assert few == 5 and 20 < estimate(context) < 50, estimate(context)


@when(
    'the engines are measured to prefill {times:g} times as fast as expected'
)
def measure_speed(context, times):
    speed = RATED_SPEED * required_capacity._MAX_SPEED_FACTOR / 1000
    context.demand.speed = speed * times


@then(
    'fewer than {count:d} upstreams are needed for the demand of {same:d} at'
    ' the expected speed'
)
def check_fewer_needed(context, count, same):
    context.demand.value = demand_for(same)
    assert estimate(context) < count, estimate(context)


@then(
    'as many upstreams are needed as with {times:g} times the expected speed'
)
def check_same_estimate(context, times):
    found = estimate(context)
    measure_speed(context, times)
    assert found == estimate(context)


@given(
    'engines that prefill {speed:g} tokens per ms, with some slower requests'
)
def add_prefill_samples(context, speed):
    context.prefill_rates = prefill_rate.PrefillRates()
    draws = random.Random(5)
    for number in range(60):
        tokens = draws.randint(1000, 9000)
        slow = 1 if draws.random() < 0.6 else draws.uniform(1, 8)
        context.prefill_rates.add_sample(
            'pool', tokens, 20 + tokens / speed * slow
        )
        context.prefill_rates.add_sample('pool', 100, 22)


@then('the measured prefill rate is {speed:g}, within a tenth')
def check_measured_speed(context, speed):
    found = context.prefill_rates.tokens_per_ms('pool')
    assert abs(found - speed) < 0.1 * speed, found


@then('fewer than 12 samples give no measured prefill rate')
def check_no_measurement(context):
    empty = prefill_rate.PrefillRates()
    for _ in range(11):
        empty.add_sample('pool', 5000, 100)
    assert empty.tokens_per_ms('pool') is None


@then(
    'with {needed:d} upstreams needed and a reserve of {reserve:d},'
    ' {count:d} reclaimable and no firm ones are ordered'
)
def check_reserve_ordered(context, needed, reserve, count):
    set_needed_and_live(context, needed, 0)
    context.live_mix = capacity_plan.Mix(
        dict.fromkeys(DOMAINS, 0), dict.fromkeys(DOMAINS, 0)
    )
    reconcile(context, needed, reserve)
    ordered = {(d, n) for d, n, kind in context.orders.accepted if kind}
    assert sum(n for _, n in ordered) == count, context.orders.accepted
    assert all(kind for _, _, kind in context.orders.accepted)


@given(
    'two routers that measured prefill rates of {a:d} and {b:d} tokens per ms'
)
def set_two_prefill_rates(context, a, b):
    context.demand = demand_.Demand(clock_.ManualClock())
    context.prefill_rates = a, b
    for name, speed in (('r-a', a), ('r-b', b)):
        context.demand.set_peer_prefill_rates(name, {'pool': float(speed)})


@when('the router that measured {speed:d} is removed')
def remove_router(context, speed):
    names = ('r-a', 'r-b')
    [removed] = [
        name
        for name, rate in zip(names, context.prefill_rates)
        if rate == speed
    ]
    context.demand.retain_routers({*names} - {removed})


@then('the prefill rate is {speed:d} tokens per ms')
def check_prefill_rate(context, speed):
    assert context.demand.prefill_rate('pool') == speed


@given(
    '{count:d} reclaimable upstreams of another version are live in each'
    ' failure domain'
)
def others_out_of_use(context, count):
    context.out_of_use = capacity_plan.Mix(dict.fromkeys(DOMAINS, count), {})


@when('missing upstreams are ordered')
def order_missing(context):
    orders = []
    for out_of_use in (None, context.out_of_use):
        context.tracker.clear()
        reconcile(context, context.needed, context.needed, out_of_use)
        orders.append(list(context.orders.accepted))
    context.planned, context.ordered = orders


@then('each order exceeds the planned number by {count:d}')
def orders_exceed_plan(context, count):
    assert context.planned
    expected = [(d, n + count, kind) for d, n, kind in context.planned]
    assert context.ordered == expected, (context.planned, context.ordered)


@given('the service is rolled out')
def service_is_rolled_out(context):
    context.scaler.is_rolled_out = lambda service: True


@when('the service is no longer rolled out')
def service_not_rolled_out(context):
    context.scaler.is_rolled_out = lambda service: False


@when(
    'the scaler runs {runs:d} times, {seconds:d} s apart, for the demand of'
    ' {count:d} upstreams'
)
def run_scaler_repeatedly(context, runs, seconds, count):
    context.demand.value = demand_for(count)
    context.demand.is_measured = True
    for _ in range(runs):
        context.scaler.run(1)
        context.clock.advance(1000 * seconds)


def count_given_back(context):
    """Return the orders for fewer upstreams than are live in their domain."""
    live = collections.Counter(
        view.failure_domain
        for view in context.upstreams.all()
        if not view.record.reclaimable
    )
    return [
        (domain, count)
        for domain, count, kind in context.orders.accepted
        if not kind and count < live[domain]
    ]


@then('nothing is ordered back')
def nothing_given_back(context):
    assert not count_given_back(context), context.orders.accepted


@then('an upstream is ordered back')
def upstream_given_back(context):
    assert count_given_back(context), context.orders.accepted

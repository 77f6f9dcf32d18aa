"""Steps of the planner: mixes, orders, events, demand, need."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random

from behave import given
from behave import then
from behave import when
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
from peridotmast.serving import prefill_rate
from peridotmast.serving import upstream_limits
from peridotmast.serving import upstreams as upstreams_

DOMAINS = ('a', 'b', 'c', 'd')


@given(
    'prices of {a:g}, {b:g}, {c:g} and {d:g} and reclaimable ones at'
    ' {part:g} of them'
)
def prices(context, a, b, c, d, part):
    context.limits = {}
    context.floor = None
    context.market = capacity_plan.Market(
        dict(zip(DOMAINS, (a, b, c, d))), part, 1, 6
    )


@given('no reclaimable upstream is to be had')
def none_reclaimable(context):
    market = context.market
    context.market = capacity_plan.Market(
        market.prices,
        market.reclaimable_price,
        market.min_per_domain,
        market.max_per_domain,
        dict.fromkeys(DOMAINS, 0),
    )


@given('{count:d} firm upstreams are there already')
def there_already(context, count):
    context.floor = capacity_plan.Mix({}, {'c': count})


@when('{needed:d} upstreams are needed')
def are_needed(context, needed):
    context.mix = capacity_plan.cheapest_mix(
        context.market, needed, context.floor
    )


@then('{reclaimable:d} reclaimable and {firm:d} firm ones are wanted')
def are_wanted(context, reclaimable, firm):
    mix = context.mix
    found = sum(mix.reclaimable.values()), sum(mix.firm.values())
    assert found == (reclaimable, firm), mix


@then('the wanted ones include those {count:d}')
def include(context, count):
    assert context.mix.firm['c'] >= count, context.mix
    assert context.mix.left_after_loss >= 3, context.mix


@then(
    'in {count:d} random markets the mix carries the need at any loss, and'
    ' none cheaper was weighed'
)
def random_markets(context, count):
    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
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
        assert mix.reclaimable[domain] <= market.limit(domain, True), mix
    best = brute_force(market, needed)
    if best is not None:
        assert mix.left_after_loss >= needed, (mix, best)
        assert market.price(mix) <= market.price(best) + 1e-9, (mix, best)


def brute_force(market, needed):
    """Return the cheapest mix of a shape that the planner weighs.

    That is: reclaimable ones filled up in the order of price.
    """
    names = sorted(market.prices, key=lambda d: (market.prices[d], d))
    ranges = [range(market.limit(domain, True) + 1) for domain in names] + [
        range(market.max_per_domain + 1) for _ in names
    ]
    found = []
    for counts in itertools.product(*ranges):
        spot, firm = counts[: len(names)], counts[len(names) :]
        totals = [a + b for a, b in zip(spot, firm)]
        if any(t > market.max_per_domain for t in totals):
            continue
        mix = capacity_plan.Mix(dict(zip(names, spot)), dict(zip(names, firm)))
        if (
            mix.left_after_loss >= needed
            and min(totals) >= market.min_per_domain
        ):
            found.append(mix)
    return min(found, key=market.price, default=None)


@then(
    'of {spot:d} reclaimable and {firm:d} firm upstreams for a need of'
    ' {needed:d} the dearest firm one goes'
)
def dearest_goes(context, spot, firm, needed):
    mix = capacity_plan.Mix(
        dict.fromkeys(DOMAINS, spot // 4), {'b': 1, 'c': firm - 1}
    )
    found = capacity_plan.find_removable(context.market, mix, needed)
    assert found == ('c', False), found
    tight = capacity_plan.Mix(dict.fromkeys(DOMAINS, 1), {})
    assert capacity_plan.find_removable(context.market, tight, needed) is None


@then('a plan is kept for the same need, floor and market, and for no other')
def plan_kept(context):
    plans = capacity_plan.PlanCache()
    floor = capacity_plan.Mix({'a': 1}, {'b': 1})
    scarce = dataclasses.replace(context.market, reclaimable_limits={'b': 0})
    asked = [
        (context.market, 3, None),
        (context.market, 4, None),
        (context.market, 3, floor),
        (scarce, 3, None),
    ]
    first = [plans.cheapest(*inputs) for inputs in asked]
    again = [plans.cheapest(*inputs) for inputs in asked]
    assert all(one is other for one, other in zip(first, again))
    anew = [capacity_plan.cheapest_mix(*inputs) for inputs in asked]
    assert first == anew, (first, anew)
    for need in range(200):
        made = plans.cheapest(context.market, need)
        assert made == capacity_plan.cheapest_mix(context.market, need)


class _TakenOrders:
    """Takes every order and notes it."""

    def __init__(self):
        self.taken = []

    def order(self, service, domain, count, reclaimable, fencing):
        self.taken.append((domain, count, reclaimable))


def scaled_service(domains):
    """Return a service whose engines are ordered, as it is configured."""
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


def look(context, needed=5, reserve=5):
    """Look at the service once, as the scaler does."""
    service = scaled_service(DOMAINS)
    context.orders.taken.clear()
    round_ = service_reconciler.ServiceReconciler(
        context.orders,
        context.book,
        context.plans,
        service,
        context.there,
        needed=needed,
        reserve=reserve,
        fencing=1,
        demand=0,
    )
    round_.order_reclaimable()
    round_.order_firm()
    round_.remove_excess(only_one=False)


@given('{needed:d} are needed and one each is there, and {firm:d} firm ones')
def needed_and_there(context, needed, firm):
    context.clock = clock_.ManualClock()
    context.book = order_tracker.OrderTracker(context.clock)
    context.orders = _TakenOrders()
    context.plans = capacity_plan.PlanCache()
    context.there = capacity_plan.Mix(
        dict.fromkeys(DOMAINS, 1), {**dict.fromkeys(DOMAINS, 0), 'b': firm}
    )


@when(
    'second ones are ordered in "a", "b" and "d" and that in "b" comes first'
)
def b_comes_first(context):
    look(context)
    ordered = {(d, count, kind) for d, count, kind in context.orders.taken}
    assert ordered == {(d, 2, True) for d in 'abd'}, ordered
    context.there.reclaimable['b'] = 2
    look(context)


@then('one firm one is given back, which no single loss would miss')
def one_firm_back(context):
    assert context.orders.taken == [('b', 1, False)], context.orders.taken
    context.there.firm['b'] = 1


@when('those in "a" and "d" have come too')
def all_have_come(context):
    context.there.reclaimable.update(a=2, d=2)
    look(context)


@then('the last firm one is given back and no reclaimable one')
def firm_given_back(context):
    assert context.orders.taken == [('b', 0, False)], context.orders.taken


KEY = ('pool', 'a', True)


@given('an order book')
def an_order_book(context):
    context.clock = clock_.ManualClock()
    context.book = order_tracker.OrderTracker(context.clock)


@when('an order is refused {count:d} times')
def refused_times(context, count):
    context.pauses = []
    for _ in range(count):
        context.book.record_refused(KEY)
        waited = 0
        while not context.book.may_order(KEY):
            context.clock.advance(100)
            waited += 100
        context.pauses.append(waited)


@then('the pauses before the next were {a:d}, {b:d} and {c:d} ms')
def the_pauses(context, a, b, c):
    assert context.pauses == [a, b, c], context.pauses
    assert context.book.is_refused(KEY)
    context.book.record_accepted(KEY, 0, 1, 0)
    assert not context.book.is_refused(KEY)


@when('{count:d} upstreams are ordered that boot in {ms:d} ms')
def are_ordered(context, count, ms):
    context.book.record_accepted(KEY, 0, count, ms)


@then('{count:d} are expected at once, and 0 after {ms:d} ms')
def are_expected(context, count, ms):
    assert context.book.expected(KEY, 0) == count
    context.clock.advance(ms)
    assert context.book.expected(KEY, 0) == 0


@given('a live event of {tokens:d} tokens a second in {seconds:d} s')
def live_event(context, tokens, seconds):
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
    'its upstreams are ordered {lead:d} ms before it opens and given back'
    ' {linger:d} ms after its end'
)
def ordered_in_time(context, lead, linger):
    (phase,) = event_plan.plan(context.event_config, context.now)
    assert phase.order_at == context.start - lead, phase
    ends = context.start + 600_000 + linger
    assert phase.release_at == ends, phase
    assert phase.needed == 4, phase
    for at, needed in (
        (phase.order_at - 1, 0),
        (phase.order_at, 4),
        (ends, 0),
    ):
        found = event_plan.upstreams_needed([phase], 'pool', at)
        assert found == needed, (at, found)
    assert not event_plan.plan(context.event_config, ends)


@then("the plan's lines name what it costs and why")
def plan_lines(context):
    phases = event_plan.plan(context.event_config, context.now)
    text = '\n'.join(event_plan.explain(phases))
    for part in ('order 6 of pool', 'in all', 'are left without', '#'):
        assert part in text, text


@given('two routers that were asked for {a:d} and {b:d} tokens in {s:d} s')
def two_asked(context, a, b, s):
    clock = clock_.ManualClock()
    context.demands = [demand_.Demand(clock) for _ in range(2)]
    tallies = [
        fleet_counts.FleetCounts(demand.counts, demand.count_from_peers)
        for demand in context.demands
    ]
    exchange(context.demands, tallies)
    for _ in range(s * 4):
        for demand, tokens in zip(context.demands, (a, b)):
            demand.tick()
            demand.count_request('pool', tokens // (s * 4))
        exchange(context.demands, tallies)
        clock.advance(250)


def exchange(demands, tallies):
    for number, known in enumerate(tallies):
        other = 1 - number
        known.receive(f'r{other}', 1, demands[other].counts(), True)


@then('both measure {rate:d} tokens a second')
def both_measure(context, rate):
    for demand in context.demands:
        found = demand.rate('pool')
        assert abs(found - rate) < rate * 0.1, found


@given('a router that has just started')
def just_started(context):
    context.clock = clock_.ManualClock()
    context.demand = demand_.Demand(context.clock)
    context.demand.tick()


@when('it is asked for {tokens:d} tokens in {ms:d} ms')
def asked_for(context, tokens, ms):
    context.demand.count_request('pool', tokens)
    context.clock.advance(ms)


@then('its mean request size is unknown')
def mean_request_size_is_unknown(context):
    assert not context.demand.mean_request_tokens('pool')


@then('its mean request size is {tokens:d} tokens')
def mean_request_size_is(context, tokens):
    assert context.demand.mean_request_tokens('pool') == tokens


@then('it measures {rate:d} tokens a second')
def measures(context, rate):
    assert context.demand.rate('pool') == rate


PER_ENGINE = 1000.0
"""Tokens a second that an upstream is said to carry."""


def rate_of(count):
    """Return a rate that `count` upstreams carry and one less does not."""
    root = (
        math.sqrt(required_capacity._SCATTER**2 + 4 * count)
        - required_capacity._SCATTER
    ) / 2
    speed = PER_ENGINE * required_capacity._PRIOR_SPEED
    return 0.999 * root**2 * speed / required_capacity._READ_SHARE


class _Demand:
    def __init__(self):
        self.value = 0.0
        self.known = True

        self.peak = 0.0
        self.speed = None
        self.request_tokens = 0.0

    def rate(self, service):
        return self.value

    def quantile(self, service, part):
        return max(self.value, self.peak)

    def has_full_window(self, service):
        return self.known

    def prefill_rate(self, service):
        return self.speed

    def mean_request_tokens(self, service):
        return self.request_tokens


@given('a scaler with {count:d} upstreams')
def a_scaler(context, count):
    context.clock = clock_.ManualClock()
    context.demand = _Demand()
    policy = pb.Policy(tokens_per_second=PER_ENGINE, shortage_price=7)
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
        context.clock.wall,
    )
    context.scaler.estimator.startup_complete = True
    context.service = pb.Service(name='pool')
    context.live = count
    context.revision = 0


def need(context, ms=0):
    context.clock.advance(ms)
    per_engine = context.scaler_config.policy.tokens_per_second
    return context.scaler.estimator.estimate(
        context.service.name,
        context.live,
        0,
        per_engine,
        0.0,
        context.stated_limits,
    ).count


@given('an upstream can carry {count:d} requests per second')
def set_request_size(context, count):
    speed = PER_ENGINE * required_capacity._PRIOR_SPEED
    context.demand.request_tokens = (
        speed / required_capacity._READ_SHARE / count
    )


@when('upstreams state limits of {a:d}, {b:d} and {c:d} requests per second')
def state_limits(context, a, b, c):
    context.stated_limits = [a, b, c]


@when('no upstream states a limit')
def state_no_limits(context):
    context.stated_limits = []


@given('{count:d} live upstreams state a limit of {rate:d} request per second')
def limit_live_upstreams(context, count, rate):
    for view in context.upstreams.live('pool')[:count]:
        context.upstream_limits.note_limit(view, rate)


@given('a scaler with {count:d} upstreams at the start of its fleet')
def scaler_at_start(context, count):
    a_scaler(context, count)
    context.scaler.estimator.startup_complete = False
    context.demand.known = False


@when('{count:d} upstreams are there and no more have come for {ms:d} ms')
def no_more_came(context, count, ms):
    context.live = count
    for number in range(count):
        enter(context, f'u-{number}', 'fd-1', False)
    context.scaler.estimator.track_startup(is_first=True)
    assert not context.scaler.estimator.startup_complete
    context.clock.advance(ms)
    context.scaler.run(1)


@when(
    '{count:d} upstreams are there, and {more:d} reclaimable ones come {ms:d}'
    ' ms later'
)
def reclaimable_come(context, count, more, ms):
    for number in range(count):
        enter(context, f'u-{number}', 'fd-1', False)
    context.scaler.estimator.track_startup(is_first=True)
    context.clock.advance(ms)
    for number in range(more):
        enter(context, f'r-{number}', 'fd-1', True)
    context.scaler.estimator.track_startup(is_first=True)
    assert not context.scaler.estimator.startup_complete


@then('the start is over {ms:d} ms after that')
def start_is_over(context, ms):
    context.clock.advance(ms)
    context.scaler.estimator.track_startup(is_first=True)
    assert context.scaler.estimator.startup_complete


@when("the demand comes to be known as {count:d} upstreams'")
def comes_to_be_known(context, count):
    context.demand.value = rate_of(count)
    context.demand.known = True


def enter(context, name, domain, reclaimable, state=upstreams_.LIVE):
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


class _Orders:
    """Takes every order and brings what is reclaimable after a while."""

    def __init__(self, context):
        self._context = context
        self.taken = []

    def order(self, service, domain, count, reclaimable, fencing):
        self.taken.append((domain, count, reclaimable))
        there = [
            view
            for view in self._context.upstreams.live(service)
            if view.failure_domain == domain
            and view.record.reclaimable == reclaimable
        ]
        for view in there[count:]:
            enter(
                self._context, view.name, domain, reclaimable, upstreams_.GONE
            )


START_DOMAINS = ('fd-1', 'fd-2', 'fd-3', 'fd-4')


@given("a fleet's start with {count:d} firm upstreams in 4 failure domains")
def fleet_start(context, count):
    a_scaler(context, count)
    context.demand.known = False
    context.orders = context.scaler._orders = _Orders(context)
    context.scaler_config.services.append(scaled_service(START_DOMAINS))
    context.scaler.estimator.startup_complete = False
    for number in range(count):
        enter(context, f'firm-{number}', START_DOMAINS[number % 4], False)


@when('the scaler acts until its reclaimable ones are there')
def acts_until(context):
    for _ in range(12):
        context.scaler.run(1)
        context.clock.advance(250)
    context.ordered = list(context.orders.taken)
    for domain, count, reclaimable in context.ordered:
        for number in range(count if reclaimable else 0):
            enter(context, f'{domain}-{number}', domain, True)
    context.scaler.run(1)


@given(
    'a holder that takes over {reclaimable:d} reclaimable ones in each domain'
)
def takes_over(context, reclaimable):
    a_scaler(context, 0)
    context.demand.known = False
    context.orders = context.scaler._orders = _Orders(context)
    context.scaler_config.services.append(scaled_service(START_DOMAINS))
    context.scaler.estimator.startup_complete = False
    for domain in START_DOMAINS:
        for number in range(reclaimable):
            enter(context, f'{domain}-{number}', domain, True)
    context.took_over = reclaimable * len(START_DOMAINS)
    context.left = pb.DutiesLeft(at_ms=context.clock.wall())
    context.scaler.start(context.left)


@given('the one before has found {count:d} to be needed')
def found_needed(context, count):
    context.left.needs['pool'] = count
    context.scaler.start(context.left)


@given('it has ordered {count:d} more in "{domain}", which come in {ms:d} ms')
def has_ordered(context, count, domain, ms):
    live = live_by_domain(context)[domain]
    context.left.orders.add(
        service='pool',
        failure_domain=domain,
        reclaimable=True,
        live=live,
        coming=count,
        within_ms=ms,
    )
    context.scaler.start(context.left)


@given('all that was {ms:d} ms ago')
def was_ago(context, ms):
    context.clock.advance(ms)
    context.scaler.start(context.left)


@then('no order was for fewer than {count:d} in "{domain}"')
def no_fewer(context, count, domain):
    ordered = [n for d, n, _ in context.orders.taken if d == domain]
    assert all(n >= count for n in ordered), context.orders.taken


@when('it acts for {ms:d} ms, and hears of little demand yet')
def acts_for(context, ms):
    context.demand.value = 100.0
    for _ in range(ms // 250):
        context.scaler.run(2)
        context.clock.advance(250)


@when("the demand is known, and it is 2 upstreams'")
def demand_known(context):
    comes_to_be_known(context, 2)


@then('nothing was given back')
def nothing_given_back(context):
    counts = live_by_domain(context)
    for domain, count, reclaimable in context.orders.taken:
        assert not reclaimable or count >= counts[domain], (domain, count)
    assert sum(counts.values()) == context.took_over, counts


def live_by_domain(context):
    return collections.Counter(
        view.failure_domain for view in context.upstreams.live('pool')
    )


@then('at its first look {count:d} more were ordered')
def ordered_at_first(context, count):
    context.scaler.run(2)
    counts = live_by_domain(context)
    wanted = {d: n for d, n, reclaimable in context.orders.taken}
    more = sum(n - counts[domain] for domain, n in wanted.items())
    assert more == count, context.orders.taken


@then('it has given back {count:d} after {ms:d} ms')
def given_back_after(context, count, ms):
    before = sum(live_by_domain(context).values())
    for _ in range(ms // 250):
        context.scaler.run(2)
        context.clock.advance(250)
    after = sum(live_by_domain(context).values())
    assert before - after == count, (before, after)


@then('it has ordered reclaimable ones first')
def reclaimable_first(context):
    assert all(kind for _, _, kind in context.ordered[:4]), context.ordered


@then('it kept {count:d} firm ones until those were there, and none after')
def kept_firm(context, count):
    left = firm_left(context.ordered)
    assert sum(left.values()) == count, (left, context.orders.taken)
    left = firm_left(context.orders.taken)
    assert not sum(left.values()), (left, context.orders.taken)


def firm_left(orders):
    left = {'fd-1': 3, 'fd-2': 2, 'fd-3': 2, 'fd-4': 2}
    left.update({d: count for d, count, kind in orders if not kind})
    return left


@when("the demand falls from {high:d} upstreams' to {low:d}'s")
def demand_falls(context, high, low):
    context.demand.value = rate_of(high)
    assert need(context) == high
    context.demand.value = rate_of(low)


@then(
    'the need is still {high:d} after {ms:d} ms and {low:d} after {later:d} ms'
)
def need_falls(context, high, ms, low, later):
    assert need(context, ms) == high
    assert need(context, later - ms) == low


@when("the demand rises to {high:d} upstreams'")
def demand_rises(context, high):
    context.demand.value = rate_of(high)


@then('the need is {high:d} at once')
def need_at_once(context, high):
    assert need(context) == high


def whole_need(context):
    return context.scaler.estimator.estimate(
        'pool', context.live, 0, PER_ENGINE, 0.03
    )


@when("the demand is {usual:d} upstreams' and seldom {seldom:d}")
def usual_and_seldom(context, usual, seldom):
    context.demand.value = rate_of(usual)
    context.demand.peak = rate_of(seldom)


@then(
    '{needed:d} are needed and {held:d} are held where reclaimable ones can be'
    ' had'
)
def needed_and_held(context, needed, held):
    found = whole_need(context)
    assert (found.count, found.reserve) == (needed, held), found


@then('{held:d} are held where reclaimable ones can be had')
def are_held(context, held):
    assert whole_need(context).reserve == held


@given(
    'a minute of demand that was {low:d} for {long:d} s and {high:d} for'
    ' {short:d} s'
)
def minute_of_demand(context, low, long, high, short):
    clock = clock_.ManualClock()
    context.demand = demand_.Demand(clock)
    for rate, seconds in ((low, long), (high, short)):
        for _ in range(4 * seconds):
            clock.advance(250)
            context.demand.count_request('pool', rate // 4)
            context.demand.tick()


@then(
    'it was not over {rate:d} for 9 tenths of the time, and once over that for'
    ' 97 hundredths'
)
def how_seldom(context, rate):
    assert context.demand.quantile('pool', 0.9) <= rate * 1.2
    assert context.demand.quantile('pool', 0.97) > rate * 2


@when(
    '{count:d} upstreams are ordered beside {live:d}, and the {lost:d} are'
    ' lost'
)
def ordered_beside(context, count, live, lost):
    context.book.record_accepted(KEY, live, count, 4000)
    assert context.book.expected(KEY, live) == live + count
    context.there = live - lost


@then('{count:d} are expected, not {other:d}')
def expected_not(context, count, other):
    found = context.book.expected(KEY, context.there)
    assert found == count, found


@when('one has come')
def one_has_come(context):
    context.there += 1


@given('at most {count:d} in each failure domain')
def at_most(context, count):
    context.scaler_config.services[0].scale_max = count


@when('the scaler acts once for a demand of {count:d} upstreams')
def acts_once(context, count):
    context.demand.value = rate_of(count)
    context.scaler.run(1)


@then('no failure domain is asked for more than {count:d} in all')
def within_limit(context, count):
    left = firm_left(context.orders.taken)
    for domain, wanted, reclaimable in context.orders.taken:
        there = left[domain] if reclaimable else 0
        assert wanted + there <= count, context.orders.taken


@given(
    '{needed:d} are needed, {count:d} reclaimable ones are in each failure'
    ' domain, and no more are to be had'
)
def more_than_needed(context, needed, count):
    needed_and_there(context, needed, 0)
    context.there.reclaimable.update(dict.fromkeys(DOMAINS, count))
    context.book.record_refused(('pool', 'a', True))


@then('no reclaimable one is given back')
def no_reclaimable_back(context):
    look(context)
    assert not context.orders.taken, context.orders.taken


@then('ten times the demand needs less than ten times the upstreams')
def scatters_less(context):
    context.demand.value = rate_of(5)
    few = need(context)
    context.demand.value *= 10
    assert few == 5 and 20 < need(context) < 50, need(context)


@when('its engines are seen to read {times:g} times as fast as is said')
def seen_to_read(context, times):
    speed = PER_ENGINE * required_capacity._PRIOR_SPEED / 1000
    context.demand.speed = speed * times


@then('fewer than {count:d} upstreams are needed for the demand of {same:d}')
def fewer_needed(context, count, same):
    context.demand.value = rate_of(same)
    assert need(context) < count, need(context)


@then('as many are needed as if it were {times:g} times')
def as_if(context, times):
    found = need(context)
    seen_to_read(context, times)
    assert found == need(context)


@given('engines that read {speed:g} tokens a ms, and some that are slow')
def some_slow(context, speed):
    context.prefill_rates = prefill_rate.PrefillRates()
    draws = random.Random(5)
    for number in range(60):
        tokens = draws.randint(1000, 9000)
        slow = 1 if draws.random() < 0.6 else draws.uniform(1, 8)
        context.prefill_rates.add_sample(
            'pool', tokens, 20 + tokens / speed * slow
        )
        context.prefill_rates.add_sample('pool', 100, 22)


@then('{speed:g} is what is gone by, within a tenth')
def gone_by(context, speed):
    found = context.prefill_rates.tokens_per_ms('pool')
    assert abs(found - speed) < 0.1 * speed, found


@then('of fewer than 12 samples nothing is said')
def nothing_said(context):
    fresh = prefill_rate.PrefillRates()
    for _ in range(11):
        fresh.add_sample('pool', 5000, 100)
    assert fresh.tokens_per_ms('pool') is None


@then(
    'for a need of {needed:d} and a reserve of {reserve:d}, {count:d}'
    ' reclaimable and no firm ones are ordered'
)
def reserve_ordered(context, needed, reserve, count):
    needed_and_there(context, needed, 0)
    context.there = capacity_plan.Mix(
        dict.fromkeys(DOMAINS, 0), dict.fromkeys(DOMAINS, 0)
    )
    look(context, needed, reserve)
    ordered = {(d, n) for d, n, kind in context.orders.taken if kind}
    assert sum(n for _, n in ordered) == count, context.orders.taken
    assert all(kind for _, _, kind in context.orders.taken)


@given('a demand of which two routers have seen {a:d} and {b:d} tokens a ms')
def two_have_seen(context, a, b):
    context.demand = demand_.Demand(clock_.ManualClock())
    for name, speed in (('r-a', a), ('r-b', b)):
        context.demand.set_peer_prefill_rates(name, {'pool': float(speed)})


@when('the one that saw {speed:d} is forgotten')
def one_forgotten(context, speed):
    context.demand.retain_routers({'r-b'})


@then('{speed:d} tokens a ms are read')
def are_read(context, speed):
    assert context.demand.prefill_rate('pool') == speed

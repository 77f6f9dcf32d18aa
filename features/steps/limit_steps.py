"""Steps of limits, budgets, health and placement, by patterns of load."""

from __future__ import annotations

import collections

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers

from peridotmast import clock as clock_
from peridotmast.coordination import fleet_counts
from peridotmast.coordination import groups
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import health as health_
from peridotmast.serving import placement
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving import upstream_limits
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import urgency

STEP_MS = 50
BEACON_MS = 250


@given(
    '{count:d} routers that share a limit of {rate:g} a second and a burst'
    ' of {burst:d}'
)
def share_limit(context, count, rate, burst):
    context.clock = clock_.ManualClock()
    context.quotas = [quota_.Quota(context.clock) for _ in range(count)]
    context.cut = None
    context.passed = collections.Counter()
    context.refused = 0
    set_limit(context, rate, burst)
    exchange(context)


def set_limit(context, rate, burst):
    for quota in context.quotas:
        quota.configure([pb.Team(name='noor', rate=rate, burst=burst)])


def exchange(context):
    """Let each router hear the others, but over a cut."""
    for number in range(len(context.quotas)):
        for other, sender in enumerate(context.quotas):
            if number != other and context.cut not in (number, other):
                heard(context, number, f'r{other}', 1, sender)


def heard(context, number, router, run, sender):
    """Let one router hear what another has let pass."""
    quota = context.quotas[number]
    if 'tallies' not in context:
        context.tallies = {}
    known = context.tallies.setdefault(
        id(quota),
        fleet_counts.FleetCounts(quota.spent, quota.subtract_peer_spends),
    )
    known.receive(router, run, sender.spent(), True)


@given('router 1 is cut off from the others')
def cut_off(context):
    context.cut = 0
    count = len(context.quotas)
    for number, quota in enumerate(context.quotas):
        heard = 1 if number == 0 else count - 1
        quota.known_share = heard / count


@when('{tokens:d} are spent')
def are_spent(context, tokens):
    assert not context.quotas[0].take('noor', tokens)


@then('a request of {tokens:d} is told to wait {ms:d} ms')
def told_to_wait(context, tokens, ms):
    assert context.quotas[0].take('noor', tokens) == ms


@then('one of {tokens:d} passes')
def one_passes(context, tokens):
    assert not context.quotas[0].take('noor', tokens)


@then('one of {tokens:d} passes after {ms:d} ms')
def one_passes_after(context, tokens, ms):
    assert context.quotas[0].take('noor', tokens)
    context.clock.advance(ms)
    assert not context.quotas[0].take('noor', tokens)


@when('the limit is lowered to {rate:d} a second and a burst of {burst:d}')
def lowered(context, rate, burst):
    set_limit(context, rate, burst)


@when('each is asked for {tokens:d} every {ms:d} ms over {seconds:d} s')
def asked_for(context, tokens, ms, seconds):
    for step in range(seconds * 1000 // STEP_MS):
        if step % (ms // STEP_MS) == 0:
            for number, quota in enumerate(context.quotas):
                if quota.take('noor', tokens):
                    context.refused += 1
                else:
                    context.passed[number] += tokens
        context.clock.advance(STEP_MS)
        if step % (BEACON_MS // STEP_MS) == 0:
            exchange(context)


@then('between {least:d} and {most:d} passed in all')
def between(context, least, most):
    total = sum(context.passed.values())
    assert least <= total <= most, total


@then('nothing was refused')
def nothing_refused(context):
    assert not context.refused, context.refused


@then('router 1 let at most {most:d} pass')
def at_most(context, most):
    assert context.passed[0] <= most, context.passed


@when('router 1 spends {tokens:d} and is started again')
def spends_and_starts(context, tokens):
    first, _ = context.quotas
    assert not first.take('noor', tokens)
    for _ in range(3):
        heard(context, 1, 'r0', 1, first)
    again = quota_.Quota(context.clock)
    for _ in range(3):
        heard(context, 1, 'r0', 2, again)
    # A beacon of the run before that comes late.
    heard(context, 1, 'r0', 1, first)
    heard(context, 1, 'r0', 2, again)


@then('router 2 has taken {tokens:d} off, once')
def taken_off(context, tokens):
    left = context.quotas[1]._buckets['noor'].level
    assert left == 2000 - tokens, left


@when('a request of {tokens:d} passes and does not run')
def passes_not_run(context, tokens):
    (quota,) = context.quotas
    assert not quota.take('noor', tokens)
    assert not quota.take('noor', 200)
    assert quota.take('noor', tokens)
    quota.refund('noor', tokens)


@then('another one of {tokens:d} passes')
def another_passes(context, tokens):
    assert not context.quotas[0].take('noor', tokens)


@when('a caller uses it up at one router')
def uses_up(context):
    for _ in range(12):
        fleet_steps.stream(context.fleet.routers[0].address, '/chat/x', 20)


@then(
    'the other router refuses within {ms:d} ms with {status:d} and a time'
    ' to come back'
)
def other_refuses(context, ms, status):
    def refused():
        context.last = fleet_steps.stream(
            context.fleet.routers[1].address, '/chat/x', 20
        )
        return context.last.status == status

    helpers.wait_until(refused, 'a refusal', ms)
    fleet_steps.status_with_time(context, status)


@given(
    'a budget of {ratio:g} repeats a request and {slack:d} beside in'
    ' {seconds:d} s, for {routers:d} routers'
)
def a_budget(context, ratio, slack, seconds, routers):
    context.clock = clock_.ManualClock()
    context.budget = retry_budget.RetryBudget(
        context.clock, ratio, seconds * 1000, slack
    )
    context.budget.routers = lambda: routers


@when(
    '{count:d} requests come to a service in {seconds:d} s and every one'
    ' wants {repeats:d} repeats'
)
def requests_come(context, count, seconds, repeats):
    context.allowed = repeat_all(context, count, seconds, repeats)


def repeat_all(context, count, seconds, repeats):
    allowed = 0
    for _ in range(count):
        context.budget.count_request('pool')
        allowed += sum(context.budget.take('pool') for _ in range(repeats))
        context.clock.advance(seconds * 1000 // count)
    return allowed


@then('at most {most:d} repeats are allowed')
def at_most_repeats(context, most):
    assert 0 < context.allowed <= most, context.allowed


@then(
    'at most {most:d} more in the {seconds:d} s after {count:d} more requests'
)
def at_most_more(context, most, seconds, count):
    allowed = repeat_all(context, count, seconds, 3)
    assert 0 < allowed <= most, allowed


@given("an upstream's health")
def upstream_health(context):
    context.clock = clock_.ManualClock()
    context.health = health_.Health(context.clock)


@when('it fails {count:d} times in a row')
def fails_times(context, count):
    for _ in range(count):
        context.health.record_failure()


@then('it gets no work for {ms:d} ms, and then one request')
def no_work_for(context, ms):
    health = context.health
    context.clock.advance(ms - 1)
    assert not health.allows_request()
    context.clock.advance(1)
    assert health.allows_request()
    health.record_sent()
    assert not health.allows_request()


@when('that one ends without an outcome')
def without_outcome(context):
    """Nothing is told of it."""


@when('that one fails too')
def fails_too(context):
    context.health.record_failure()


@when('that one succeeds')
def succeeds(context):
    context.health.record_success()


@then('it gets work again')
def work_again(context):
    assert context.health.allows_request()
    context.health.record_sent()
    assert context.health.allows_request()


def table_of(clock, count):
    table = upstreams_.UpstreamTable(clock)
    for number in range(count):
        table.merge(
            pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name=f'engine-{number}',
                    address=f'10.0.{number // 250}.{number % 250}:80',
                    failure_domain=f'fd-{number}',
                    service='pool',
                    slots=64,
                ),
                state=upstreams_.LIVE,
                revision=number + 1,
            )
        )
    return table


SERVICE = pb.Service(name='pool', engine=True, slots=64, memory_tokens=600_000)


def exchange_with(beginning, own='own'):
    parts = (
        exchange_.PromptPart('everyone', 500),
        exchange_.PromptPart(beginning, 5000),
        exchange_.PromptPart(own, 1500),
    )
    return exchange_.Exchange(
        id='1',
        method='POST',
        target='/x',
        headers=[],
        body=b'',
        route=pb.Route(name='r', kind=pb.STREAMING),
        team='t',
        priority=1,
        urgency=4,
        arrived_at=0,
        deadline=0,
        caller=None,
        prompt=exchange_.Prompt('m', 7000, 300, parts),
    )


def make_placement(table, policy, name):
    limits = upstream_limits.UpstreamLimits(clock_.ManualClock(), name)
    return placement.Placement(table, policy, name, limits)


def places_of(table, router=0):
    policy = placement.ScoredPolicy(f'fd-{router}')
    return make_placement(table, policy, f'router-{router}')


def choose(places, exchange):
    place = places.choose(exchange, SERVICE)
    place.release()
    return place.view.name


@given('two upstreams of which one fails half of its requests')
def one_fails_half(context):
    context.clock = clock_.ManualClock()
    table = table_of(context.clock, 2)
    for _ in range(6):
        table.get('engine-0').health.record_error()
        table.get('engine-0').health.record_success()
        table.get('engine-1').health.record_success()
    context.places = places_of(table)


@then('the other one is chosen while both are idle')
def other_chosen(context):
    for number in range(20):
        exchange = exchange_with(f'b{number}')
        assert choose(context.places, exchange) == 'engine-1'


@given('two idle upstreams of which one has a request and is silent')
def one_silent(context):
    context.clock = clock_.ManualClock()
    table = table_of(context.clock, 2)
    context.places = places_of(table)
    context.waits = context.places.choose(exchange_with('b0'), SERVICE)
    context.waits.mark_prompt_read()


@then(
    'a new request goes there after {soon:d} ms and elsewhere after'
    ' {late:d} ms'
)
def elsewhere_after(context, soon, late):
    silent = context.waits.view.name
    context.clock.advance(soon)
    assert choose(context.places, exchange_with('b0')) == silent
    context.clock.advance(late - soon)
    assert choose(context.places, exchange_with('b0')) != silent


@then('after a byte from there it is as good as the other')
def good_again(context):
    context.waits.view.note_activity()
    found = choose(context.places, exchange_with('b0'))
    assert found == context.waits.view.name


@given('{count:d} idle engines as seen by {routers:d} routers')
def idle_engines(context, count, routers):
    context.clock = clock_.ManualClock()
    context.tables = [table_of(context.clock, count) for _ in range(routers)]
    context.views = [
        places_of(table, number) for number, table in enumerate(context.tables)
    ]


@then('requests that share a beginning go to the same engine from all of them')
def same_engine(context):
    context.homes = []
    for number in range(200):
        chosen = {
            choose(places, exchange_with(f'b{number}', f'own{router}'))
            for router, places in enumerate(context.views)
        }
        assert len(chosen) == 1, chosen
        context.homes += chosen


@then('{count:d} beginnings are spread over all {engines:d}')
def spread_over(context, count, engines):
    found = collections.Counter(context.homes)
    assert len(found) == engines, found
    assert min(found.values()) > count / engines / 2, found


class Watched(placement.ScoredPolicy):
    """Notes how many upstreams it was to order."""

    seen = 0

    def order(self, exchange, service, views, home):
        self.seen = len(views)
        return super().order(exchange, service, views, home)


@then('each looks at {count:d} of them for a request')
def looks_at(context, count):
    for number, table in enumerate(context.tables):
        policy = Watched(f'fd-{number}')
        places = make_placement(table, policy, f'router-{number}')
        # Most homes are not among the engines that are near.
        seen = set()
        for beginning in range(20):
            choose(places, exchange_with(f'b{beginning}'))
            seen.add(policy.seen)
        assert max(seen) == count, seen


@when('the home of the first beginning leaves')
def home_leaves(context):
    context.left = context.homes[0]
    for table in context.tables:
        record = pb.UpstreamRecord()
        record.CopyFrom(table.get(context.left).record)
        record.state, record.revision = upstreams_.LEAVING, table.revision + 1
        table.merge(record)


@then('only the beginnings that were at home there go elsewhere')
def only_those(context):
    for number, home in enumerate(context.homes):
        found = choose(context.views[0], exchange_with(f'b{number}'))
        assert (found != home) == (home == context.left), (number, found)


def without_beginning():
    exchange = exchange_with('none')
    exchange.prompt = exchange_.Prompt('m', 100, 20, ())
    return exchange


@when('all that it looks at fail')
def all_near_fail(context):
    context.failing = set()
    for _ in range(candidates.SUBSET_SIZE):
        name = choose(context.views[0], without_beginning())
        context.failing.add(name)
        health = context.tables[0].get(name).health
        health.record_failure()
        health.record_failure()


@then('a request without a beginning goes to another one')
def goes_to_another(context):
    assert len(context.failing) == candidates.SUBSET_SIZE
    found = choose(context.views[0], without_beginning())
    assert found not in context.failing


@when('routers "{a}" and "{b}" say that they have {count:d} requests at each')
def say_they_have(context, a, b, count):
    (table,) = context.tables
    for router in (a, b):
        table.set_peer_loads(
            router,
            [
                pb.UpstreamLoad(upstream=view.name, running=count)
                for view in table.all()
            ],
        )


@when('router "{router}" says that it has none any more')
def says_none(context, router):
    context.tables[0].set_peer_loads(router, [])


@when('only "{router}" is heard')
def only_heard(context, router):
    context.tables[0].retain_peer_loads({router})


@then('{count:d} requests count at each')
def count_at_each(context, count):
    counts = {view.total_load().running for view in context.tables[0].all()}
    assert counts == {count}, counts


@when('the home of a beginning has {tokens:d} unread tokens')
def busy_home(context, tokens):
    context.home = choose(context.views[0], exchange_with('b0'))
    for table in context.tables:
        load = upstream_view.Load(5, tokens, tokens)
        table.get(context.home).set_peer_load('r9', load)


@then('requests with that beginning go elsewhere')
def go_elsewhere(context):
    for places in context.views:
        assert choose(places, exchange_with('b0')) != context.home


@then('green time passes')
def green_time(context):
    green.sleep_ms(1)


@then(
    'a prompt of {tokens:d} tokens with a target of {target:d} ms and rank'
    ' {rank:d} is at level {level:d}'
)
def at_level(context, tokens, target, rank, level):
    found = urgency.level(rank, tokens, target, None)
    assert found == level, found


@then(
    'a prompt of {tokens:d} tokens is more urgent where {fast:d} tokens a ms'
    ' are read than where {slow:d} are'
)
def more_urgent(context, tokens, fast, slow):
    levels = [urgency.level(1, tokens, 800, speed) for speed in (fast, slow)]
    assert levels[0] < levels[1], levels


@given('a fleet of {count:d} routers whose beacons come every {ms:d} ms')
def seldom_beacons(context, count, ms):
    helpers.start_fleet(context, routers=count)
    for router in context.fleet.routers:
        # The tasks that send them have been started; they find nothing due.
        router.beacons._due = lambda: []


@when('one router sends a prompt of {tokens:d} tokens to an engine')
def sends_prompt(context, tokens):
    service = pb.Service(name=shape_.ENGINE_SERVICE, slots=64)
    exchange = exchange_with('a')
    exchange.prompt = exchange_.Prompt(tokens_in=tokens, tokens_out=10)
    places = context.fleet.routers[0].serving.placement
    context.place = places.choose(exchange, service)


@when('its prompt is read')
def prompt_read(context):
    context.place.mark_prompt_read()


@then('the others know of {tokens:d} unread tokens there')
def others_know(context, tokens):
    name = context.place.view.name
    helpers.wait_until(
        lambda: all(
            router.upstream_table.get(name).total_load().unread == tokens
            for router in context.fleet.routers[1:]
        ),
        'the others know',
    )


def place_all(context, hears):
    """Let routers place prompts by turns; return how many went where."""
    counts = collections.Counter()
    tables = [table_of(context.clock, 20) for _ in range(40)]
    routers = [
        make_placement(table, placement.LeastLoadedPolicy(), f'r-{n}')
        for n, table in enumerate(tables)
    ]
    for router in routers:
        router.has_stale_peer_data = lambda: not hears
    for turn in range(3):
        for number, router in enumerate(routers):
            exchange = exchange_with('', own=f'{turn}-{number}')
            exchange.prompt = exchange_.Prompt(tokens_in=2000, tokens_out=10)
            place = router.choose(exchange, SERVICE)
            counts[place.view.name] += 1
            if hears:
                for other, table in enumerate(tables):
                    if other != number:
                        table.set_peer_loads(
                            f'r-{number}', tables[number].local_loads()
                        )
    return counts


@when('each of them places {count:d} prompts without hearing of the others')
def places_unheard(context, count):
    context.placed = place_all(context, hears=False)


@then('no engine has more than {most:d} of the {all_:d}')
def none_has_more(context, most, all_):
    assert sum(context.placed.values()) == all_
    assert max(context.placed.values()) <= most, context.placed


@then(
    'where each has heard all, the engines have {each:d} each, one more or'
    ' less'
)
def evenly(context, each):
    placed = place_all(context, hears=True)
    assert len(placed) == 20
    assert all(abs(n - each) <= 1 for n in placed.values()), placed


@given("one of {n:d} routers, where little is left of a team's limit")
def little_left(context, n):
    context.clock = clock_.ManualClock()
    context.quota = quota_.Quota(context.clock)
    context.quota.count_routers = lambda: n
    context.quota.has_stale_peer_data = lambda: n > groups.FULL_MESH_LIMIT
    team = pb.Team(name='a', rate=1000, burst=8000)
    context.quota.configure([team])
    context.clock.advance(5000)
    context.quota.tick()
    context.clock.advance(10_000)
    context.quota.subtract_peer_spends({'a': 5000})
    assert context.quota.levels() == {'a': 3000}, context.quota.levels()


@when('a small request is let pass there')
def small_passes(context):
    assert context.quota.take('a', 500) == 0


@when('a small request is let pass there and does not run')
def small_not_run(context):
    small_passes(context)
    context.quota.refund('a', 500)


@then('the next one waits for nothing')
def next_waits_not(context):
    wait_ms = context.quota.take('a', 500)
    assert wait_ms == 0, wait_ms

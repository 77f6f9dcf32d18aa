"""Steps for token limits, retry budgets, health and placement."""

from __future__ import annotations

import collections
import functools

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
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import health as health_
from peridotmast.serving.limits import brittleness
from peridotmast.serving.limits import slot_shares
from peridotmast.serving.limits import upstream_limits
from peridotmast.serving import placement
from peridotmast.serving import policies
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import urgency
from peridotmast.serving import version_gate

STEP_MS = 50
BEACON_MS = 250


@given(
    '{count:d} routers that share a limit of {rate:g} tokens a second and a'
    ' burst of {burst:d}'
)
def routers_share_limit(context, count, rate, burst):
    context.clock = clock_.ManualClock()
    context.quotas = [quota_.Quota(context.clock) for _ in range(count)]
    for quota in context.quotas:
        quota.is_first_run = lambda: True
    context.isolated = None
    context.admitted = collections.Counter()
    context.refused = 0
    set_limit(context, rate, burst)
    share_spending(context)


def set_limit(context, rate, burst):
    for quota in context.quotas:
        quota.configure([pb.Team(name='noor', rate=rate, burst=burst)])


def share_spending(context):
    """Send the spending of each router to all others, except isolated ones."""
    for number in range(len(context.quotas)):
        for other, sender in enumerate(context.quotas):
            if number != other and context.isolated not in (number, other):
                receive_spending(context, number, f'r{other}', 1, sender)


def receive_spending(context, number, router, run, sender):
    """Send the spending of one router to another one."""
    quota = context.quotas[number]
    if 'tallies' not in context:
        context.tallies = {}
    known = context.tallies.setdefault(
        id(quota),
        fleet_counts.FleetCounts(quota.spent, quota.subtract_peer_spends),
    )
    known.receive(router, run, sender.spent(), True)


@given('router 1 is isolated from the others')
def isolate_router(context):
    context.isolated = 0
    count = len(context.quotas)
    for number, quota in enumerate(context.quotas):
        known = 1 if number == 0 else count - 1
        quota.known_share = known / count


@when('a request spends {tokens:d} tokens')
def tokens_spent(context, tokens):
    assert not context.quotas[0].take('noor', tokens)


@then('a request of {tokens:d} tokens is refused with a wait of {ms:d} ms')
def request_refused_with_wait(context, tokens, ms):
    assert context.quotas[0].take('noor', tokens) == ms


@then('a request of {tokens:d} tokens is admitted')
def request_admitted(context, tokens):
    assert not context.quotas[0].take('noor', tokens)


@then(
    'a request of {tokens:d} tokens is refused, and admitted after {ms:d} ms'
)
def request_refused_then_admitted(context, tokens, ms):
    assert context.quotas[0].take('noor', tokens)
    context.clock.advance(ms)
    assert not context.quotas[0].take('noor', tokens)


@when(
    'the limit is lowered to {rate:d} tokens a second and a burst of {burst:d}'
)
def limit_lowered(context, rate, burst):
    set_limit(context, rate, burst)


@when(
    'each router receives a request of {tokens:d} tokens every {ms:d} ms for'
    ' {seconds:d} s'
)
def each_receives_requests(context, tokens, ms, seconds):
    for step in range(seconds * 1000 // STEP_MS):
        if step % (ms // STEP_MS) == 0:
            for number, quota in enumerate(context.quotas):
                if quota.take('noor', tokens):
                    context.refused += 1
                else:
                    context.admitted[number] += tokens
        context.clock.advance(STEP_MS)
        if step % (BEACON_MS // STEP_MS) == 0:
            share_spending(context)


@then('between {least:d} and {most:d} tokens are admitted in total')
def admitted_between(context, least, most):
    total = sum(context.admitted.values())
    assert least <= total <= most, total


@then('no request is refused')
def no_request_refused(context):
    assert not context.refused, context.refused


@then('router 1 admits at most {most:d} tokens')
def router_admits_at_most(context, most):
    assert context.admitted[0] <= most, context.admitted


@when('router 1 spends {tokens:d} tokens and is restarted')
def spends_and_restarts(context, tokens):
    first, _ = context.quotas
    assert not first.take('noor', tokens)
    for _ in range(3):
        receive_spending(context, 1, 'r0', 1, first)
    restarted = quota_.Quota(context.clock)
    for _ in range(3):
        receive_spending(context, 1, 'r0', 2, restarted)
    # A late beacon of the previous run.
    receive_spending(context, 1, 'r0', 1, first)
    receive_spending(context, 1, 'r0', 2, restarted)


@then('router 2 has subtracted {tokens:d} tokens once')
def subtracted_once(context, tokens):
    left = context.quotas[1]._buckets['noor'].level
    assert left == 2000 - tokens, left


@when('a request of {tokens:d} tokens is admitted but does not run')
def admitted_but_not_run(context, tokens):
    (quota,) = context.quotas
    assert not quota.take('noor', tokens)
    assert not quota.take('noor', 200)
    assert quota.take('noor', tokens)
    quota.refund('noor', tokens)


@then('another request of {tokens:d} tokens is admitted')
def another_admitted(context, tokens):
    assert not context.quotas[0].take('noor', tokens)


@when('a caller spends the whole limit at one router')
def spends_whole_limit(context):
    for _ in range(12):
        fleet_steps.stream(context.fleet.routers[0].address, '/chat/x', 20)


@then(
    'the other router refuses requests within {ms:d} ms with {status:d} and a'
    ' retry time'
)
def other_router_refuses(context, ms, status):
    def refused():
        context.last = fleet_steps.stream(
            context.fleet.routers[1].address, '/chat/x', 20
        )
        return context.last.status == status

    helpers.wait_until(refused, 'the other router refuses', ms)
    fleet_steps.status_with_time(context, status)


@given(
    'a budget of {ratio:g} retries per request and {slack:d} more retries in'
    ' {seconds:d} s, for {routers:d} routers'
)
def retry_budget_for_routers(context, ratio, slack, seconds, routers):
    context.clock = clock_.ManualClock()
    context.budget = retry_budget.RetryBudget(
        context.clock,
        ratio,
        seconds * 1000,
        slack,
        decisions_.Decisions(context.clock, 'r-1'),
    )
    context.budget.share = lambda: 1 / routers
    context.budget.is_first_run = lambda: True


@when(
    'a service receives {count:d} requests in {seconds:d} s that need'
    ' {retries:d} retries each'
)
def requests_need_retries(context, count, seconds, retries):
    context.allowed = count_allowed_retries(context, count, seconds, retries)


def count_allowed_retries(context, count, seconds, retries):
    allowed = 0
    for _ in range(count):
        context.budget.count_request('pool')
        allowed += sum(
            context.budget.take('pool', 'r') for _ in range(retries)
        )
        context.clock.advance(seconds * 1000 // count)
    return allowed


@then('at most {most:d} retries are allowed')
def at_most_retries_allowed(context, most):
    assert 0 < context.allowed <= most, context.allowed


@then(
    'at most {most:d} more retries are allowed in the next {seconds:d} s,'
    ' with {count:d} more requests'
)
def at_most_more_retries_allowed(context, most, seconds, count):
    allowed = count_allowed_retries(context, count, seconds, 3)
    assert 0 < allowed <= most, allowed


@given('the health state of an upstream')
def upstream_health(context):
    context.clock = clock_.ManualClock()
    context.health = health_.Health(context.clock)


@when('the upstream fails {count:d} times in a row')
def upstream_fails_in_a_row(context, count):
    for _ in range(count):
        context.health.record_failure()


@then('the upstream gets no request for {ms:d} ms, and then only one')
def no_request_for_a_time_then_one(context, ms):
    health = context.health
    context.clock.advance(ms - 1)
    assert not health.allows_request()
    context.clock.advance(1)
    assert health.allows_request()
    health.record_sent()
    assert not health.allows_request()


@when('the probe request ends without an outcome')
def probe_without_outcome(context):
    """Record nothing, as for a probe whose caller has left."""


@when('the probe request fails')
def probe_fails(context):
    context.health.record_failure()


@when('the probe request succeeds')
def probe_succeeds(context):
    context.health.record_success()


@then('the upstream gets any number of requests again')
def any_number_of_requests_again(context):
    assert context.health.allows_request()
    context.health.record_sent()
    assert context.health.allows_request()


def make_table(clock, count):
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


def make_exchange(prefix, own='own'):
    parts = (
        exchange_.PromptPart('everyone', 500),
        exchange_.PromptPart(prefix, 5000),
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
    clock = clock_.ManualClock()
    limits = upstream_limits.UpstreamLimits(clock, name)
    versions = version_gate.VersionGate(clock, name, False)
    brittle = brittleness.Brittleness(
        clock, name, slot_shares.SlotShares(clock, name)
    )
    return placement.Placement(table, policy, name, limits, brittle, versions)


def make_scored_placement(table, router=0):
    policy = policies.ScoredPolicy(f'fd-{router}')
    return make_placement(table, policy, f'router-{router}')


def choose(selector, exchange):
    reservation = selector.choose(exchange, SERVICE)
    reservation.release()
    return reservation.view.name


@given('two upstreams of which one fails half of its requests')
def one_upstream_fails_half(context):
    context.clock = clock_.ManualClock()
    table = make_table(context.clock, 2)
    for _ in range(6):
        table.get('engine-0').health.record_error()
        table.get('engine-0').health.record_success()
        table.get('engine-1').health.record_success()
    context.selector = make_scored_placement(table)


@then(
    'the upstream without failures is selected while both upstreams are idle'
)
def upstream_without_failures_selected(context):
    for number in range(20):
        exchange = make_exchange(f'b{number}')
        assert choose(context.selector, exchange) == 'engine-1'


@given('two upstreams, one of which has a request and sends nothing')
def one_upstream_is_silent(context):
    context.clock = clock_.ManualClock()
    table = make_table(context.clock, 2)
    context.selector = make_scored_placement(table)
    context.reservation = context.selector.choose(make_exchange('b0'), SERVICE)
    context.reservation.mark_prefill_ended()


@then(
    'a new request goes to the silent upstream after {soon:d} ms, and to the'
    ' other upstream after {late:d} ms'
)
def silent_upstream_avoided_later(context, soon, late):
    silent = context.reservation.view.name
    context.clock.advance(soon)
    assert choose(context.selector, make_exchange('b0')) == silent
    context.clock.advance(late - soon)
    assert choose(context.selector, make_exchange('b0')) != silent


@then('the silent upstream is selected again once it has sent a byte')
def selected_after_byte(context):
    context.reservation.view.note_activity()
    found = choose(context.selector, make_exchange('b0'))
    assert found == context.reservation.view.name


@given('{count:d} idle engines and {routers:d} routers')
def idle_engines_and_routers(context, count, routers):
    context.clock = clock_.ManualClock()
    context.tables = [make_table(context.clock, count) for _ in range(routers)]
    context.placements = [
        make_scored_placement(table, number)
        for number, table in enumerate(context.tables)
    ]


@then('all routers send requests with a common prefix to the same engine')
def same_home_on_all_routers(context):
    context.homes = []
    for number in range(200):
        chosen = {
            choose(selector, make_exchange(f'b{number}', f'own{router}'))
            for router, selector in enumerate(context.placements)
        }
        assert len(chosen) == 1, chosen
        context.homes += chosen


@then('{count:d} prefixes are spread over all {engines:d} engines')
def homes_are_spread(context, count, engines):
    found = collections.Counter(context.homes)
    assert len(found) == engines, found
    assert min(found.values()) > count / engines / 2, found


class RecordingPolicy(policies.ScoredPolicy):
    """Records the number of upstreams that it orders."""

    compared = 0

    def order(self, exchange, service, views, home):
        self.compared = len(views)
        return super().order(exchange, service, views, home)


@then('each router compares up to {count:d} engines for a request')
def router_compares_up_to(context, count):
    for number, table in enumerate(context.tables):
        policy = RecordingPolicy(f'fd-{number}')
        selector = make_placement(table, policy, f'router-{number}')
        # Most homes are outside the subset of the router.
        compared = set()
        for prefix in range(20):
            choose(selector, make_exchange(f'b{prefix}'))
            compared.add(policy.compared)
        assert max(compared) == count, compared


@when('the home of the first prefix leaves')
def home_leaves(context):
    context.left = context.homes[0]
    for table in context.tables:
        record = pb.UpstreamRecord()
        record.CopyFrom(table.get(context.left).record)
        record.state, record.revision = upstreams_.LEAVING, table.revision + 1
        table.merge(record)


@then('only the prefixes whose home has left move to other engines')
def only_its_prefixes_move(context):
    for number, home in enumerate(context.homes):
        found = choose(context.placements[0], make_exchange(f'b{number}'))
        assert (found != home) == (home == context.left), (number, found)


def make_exchange_without_prefix():
    exchange = make_exchange('none')
    exchange.prompt = exchange_.Prompt('m', 100, 20, ())
    return exchange


@when('all engines in the subset of the router fail')
def whole_subset_fails(context):
    context.failing = set()
    for _ in range(candidates.SUBSET_SIZE):
        name = choose(context.placements[0], make_exchange_without_prefix())
        context.failing.add(name)
        health = context.tables[0].get(name).health
        health.record_failure()
        health.record_failure()


@then('a request without a prefix goes to another engine')
def goes_to_another_engine(context):
    assert len(context.failing) == candidates.SUBSET_SIZE
    found = choose(context.placements[0], make_exchange_without_prefix())
    assert found not in context.failing


@when('routers "{a}" and "{b}" report {count:d} requests on each engine')
def report_loads(context, a, b, count):
    (table,) = context.tables
    for router in (a, b):
        table.set_peer_loads(
            router,
            [
                pb.UpstreamLoad(upstream=view.name, running=count)
                for view in table.all()
            ],
        )


@when('router "{router}" reports no requests')
def report_no_load(context, router):
    context.tables[0].set_peer_loads(router, [])


@when('beacons arrive only from router "{router}"')
def beacons_from_one_router_only(context, router):
    context.tables[0].retain_peer_loads({router})


@then('{count:d} requests are counted on each engine')
def counted_on_each_engine(context, count):
    counts = {view.total_load().running for view in context.tables[0].all()}
    assert counts == {count}, counts


@when('the home of a prefix has {tokens:d} tokens waiting for prefill')
def home_is_loaded(context, tokens):
    context.home = choose(context.placements[0], make_exchange('b0'))
    for table in context.tables:
        load = upstream_view.Load(5, tokens, tokens)
        table.get(context.home).set_peer_load('r9', load)


@then('requests with this prefix go to other engines')
def requests_avoid_loaded_home(context):
    for selector in context.placements:
        assert choose(selector, make_exchange('b0')) != context.home


@then('other tasks run for a while')
def other_tasks_run(context):
    green.sleep_ms(1)


@then(
    'a prompt of {tokens:d} tokens with a target of {target:d} ms and'
    ' priority {priority:d} has urgency level {level:d}'
)
def has_urgency_level(context, tokens, target, priority, level):
    found = urgency.level(priority, tokens, target, None)
    assert found == level, found


@then(
    'a prompt of {tokens:d} tokens is more urgent at a prefill rate of'
    ' {fast:d} tokens per ms than at {slow:d}'
)
def prompt_more_urgent_at_fast_prefill(context, tokens, fast, slow):
    levels = [urgency.level(1, tokens, 800, speed) for speed in (fast, slow)]
    assert levels[0] < levels[1], levels


@given('a fleet of {count:d} routers that send beacons every {ms:d} ms')
def fleet_without_due_beacons(context, count, ms):
    helpers.start_fleet(context, routers=count)
    for router in context.fleet.routers:
        # The fleet starts with short intervals, to be ready soon. From now on
        # the tasks that send beacons find none due before `ms` have passed.
        router.beacons._next_round = functools.partial(
            rounds_from,
            context.fleet.clock.now() + ms,
            context.fleet.clock,
            router.beacons._next_round,
        )


def rounds_from(start, clock, next_round):
    """Return the beacons of a round, none before the time `start`."""
    return next_round() if clock.now() >= start else []


@when('one router sends a prompt of {tokens:d} tokens to an engine')
def sends_prompt(context, tokens):
    service = pb.Service(name=shape_.ENGINE_SERVICE, slots=64)
    exchange = make_exchange('a')
    exchange.prompt = exchange_.Prompt(tokens_in=tokens, tokens_out=10)
    selector = context.fleet.routers[0].serving.placement
    context.reservation = selector.choose(exchange, service)


@when('the prefill of the prompt ends')
def prefill_ends(context):
    context.reservation.mark_prefill_ended()


@then(
    'the other routers know of {tokens:d} tokens waiting for prefill at that'
    ' engine'
)
def other_routers_know(context, tokens):
    name = context.reservation.view.name
    helpers.wait_until(
        lambda: all(
            router.upstream_table.get(name).total_load().unread == tokens
            for router in context.fleet.routers[1:]
        ),
        'the other routers know the prompt tokens at the engine',
    )


def place_prompts_on_routers(context, count, is_reported):
    """Place prompts on routers in turn; return the number per engine.

    Parameters
    ----------
    count : int
        Number of prompts per router.
    is_reported : bool
        Whether each router receives the loads of the others at once.
    """
    counts = collections.Counter()
    tables = [make_table(context.clock, 20) for _ in range(40)]
    routers = [
        make_placement(table, policies.LeastLoadedPolicy(), f'r-{n}')
        for n, table in enumerate(tables)
    ]
    for router in routers:
        router.has_stale_peer_data = lambda: not is_reported
    for turn in range(count):
        for number, router in enumerate(routers):
            exchange = make_exchange('', own=f'{turn}-{number}')
            exchange.prompt = exchange_.Prompt(tokens_in=2000, tokens_out=10)
            reservation = router.choose(exchange, SERVICE)
            counts[reservation.view.name] += 1
            if is_reported:
                for other, table in enumerate(tables):
                    if other != number:
                        table.set_peer_loads(
                            f'r-{number}', tables[number].local_loads()
                        )
    return counts


@when('each router places {count:d} prompts without data from the others')
def place_prompts_without_reports(context, count):
    context.placed = place_prompts_on_routers(context, count, False)
    context.count = count


@then('no engine receives more than {most:d} of the {all_:d} prompts')
def no_engine_receives_more(context, most, all_):
    assert sum(context.placed.values()) == all_
    assert max(context.placed.values()) <= most, context.placed


@then(
    'with current data from the other routers, each engine receives {each:d}'
    ' prompts, plus or minus one'
)
def each_engine_receives(context, each):
    placed = place_prompts_on_routers(context, context.count, True)
    assert len(placed) == 20
    assert all(abs(n - each) <= 1 for n in placed.values()), placed


@given('one of {n:d} routers, and a team whose token bucket is at a low level')
def token_bucket_at_low_level(context, n):
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


@when('the router admits a small request')
def admit_small_request(context):
    assert context.quota.take('a', 500) == 0


@when('the router admits a small request that does not run')
def admit_small_request_not_run(context):
    admit_small_request(context)
    context.quota.refund('a', 500)


@when('the head of its group admits {count:d} requests that do not run')
def head_admits_not_run(context, count):
    context.quota.follows_head = lambda: True
    for _ in range(count):
        context.clock.advance(10)
        context.quota.refund('a', 500)


@then('the router keeps no record of its own spending')
def no_record_of_spending(context):
    bucket = context.quota._buckets['a']
    assert not bucket.spending._admitted, len(bucket.spending._admitted)


@then('the next request is admitted at once')
def next_admitted_at_once(context):
    wait_ms = context.quota.take('a', 500)
    assert wait_ms == 0, wait_ms


@then(
    'as the head it lends {tokens:d} tokens to a team that it does not know,'
    ' uncounted'
)
def head_lends_to_unknown_team(context, tokens):
    loan = context.quota.lend('unknown', tokens, members=7)
    assert loan == quota_.Loan(wait_ms=0, is_counted=False), loan
    assert 'unknown' not in context.quota.spent()

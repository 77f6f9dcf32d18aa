"""Steps of admission, placement and routing, on a manual clock."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.router import admission as admission_
from peridotmast.router import call as call_
from peridotmast.router import policy as policy_
from peridotmast.router import prefix_record
from peridotmast.router import retry
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb

WORKS = {
    'interactive': pb.WORK_INTERACTIVE,
    'standard': pb.WORK_STANDARD,
    'draft': pb.WORK_DRAFT,
}


def record(name, domain='fd-1', state=pb.UPSTREAM_STATE_LIVE, slots=2):
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=name,
            address='127.0.0.1:1',
            failure_domain=domain,
            kind='engine',
            slots=slots,
            price=1.0,
        ),
        state=state,
    )


def make_call(context, team='large', work='interactive', deadline_ms=60_000):
    context.count = getattr(context, 'count', 0) + 1
    now = context.clock.now()
    return call_.Call(
        key=f'{team}/{context.count}',
        request_id=str(context.count),
        team=team,
        work=WORKS[work],
        idempotent=True,
        deadline=now + deadline_ms,
        digest=b'',
        body={},
        model='m',
        prompt=f'prompt {context.count}',
        max_tokens=10,
        entered=now,
    )


def put_in_force(context):
    context.admission.configure(pb.Config(teams=context.teams))


@given('an admission with upstreams of {slots:d} slots')
def an_admission(context, slots):
    context.clock = clock_.ManualClock()
    context.upstreams = upstreams_.UpstreamTable(context.clock, 'r', 40)
    context.upstreams.merge(record('u1', slots=slots))
    context.admission = admission_.Admission(
        context.clock, context.upstreams, policy_.LeastLoadedPolicy(), 20
    )
    context.teams = []
    context.placed = []


@given('a team "{name}" with rate {rate:d} and weight {weight:d}')
def a_team(context, name, rate, weight):
    context.teams.append(
        pb.Team(
            name=name, rate=rate, burst=rate, weight=weight, concurrency=1000
        )
    )
    put_in_force(context)


@given('a team "{name}" with concurrency {count:d}')
def a_small_team(context, name, count):
    context.teams.append(
        pb.Team(name=name, rate=99, burst=99, weight=1, concurrency=count)
    )
    put_in_force(context)


@then('{admitted:d} of {count:d} requests of "{team}" are admitted at once')
def admitted_at_once(context, admitted, count, team):
    results = [
        context.admission.admit(make_call(context, team)) for _ in range(count)
    ]
    refused = [result for result in results if result is not None]
    assert len(results) - len(refused) == admitted, results
    context.refusal = refused[-1]


@then('the refusal is "{reason}" with a hint of at most {ms:d} ms')
def refusal_is(context, reason, ms):
    assert context.refusal.reason == reason, context.refusal
    assert context.refusal.kind is failures.FailureKind.NOT_RUN
    assert 0 < context.refusal.retry_after_ms <= ms, context.refusal


def take_slots(context):
    """Fill the upstream; return the places."""
    view = context.upstreams.get('u1')
    places = []
    while policy_.has_room(view):
        places.append(context.admission.place(make_call(context)))
    context.taken = places


def wait_for_place(context, team, work):
    """Begin to wait for a place in a task of its own."""
    call = make_call(context, team, work)

    def wait():
        place = context.admission.place(call)
        context.placed.append((call, place))

    green.spawn(wait)
    green.sleep_ms(0)


@when('the slots are taken')
def slots_taken(context):
    take_slots(context)


@when(
    'the slots are taken and these wait: {drafts:d} draft, '
    '{standard:d} standard, {interactive:d} interactive'
)
def these_wait(context, drafts, standard, interactive):
    take_slots(context)
    for work, count in (
        ('draft', drafts),
        ('standard', standard),
        ('interactive', interactive),
    ):
        for _ in range(count):
            wait_for_place(context, 'large', work)
        context.clock.advance(1)


@when(
    'the slots are taken and {first:d} requests of "{one}" and {second:d} '
    'of "{two}" wait'
)
def teams_wait(context, first, one, second, two):
    take_slots(context)
    for _ in range(first):
        wait_for_place(context, one, 'standard')
    for _ in range(second):
        wait_for_place(context, two, 'standard')


def serve(context, count):
    """End requests one by one; return those placed next, in order."""
    context.taken = getattr(context, 'taken', [])
    while len(context.placed) < count:
        done = context.taken.pop(0)
        before = len(context.placed)
        done.release()
        green.sleep_ms(0)
        context.taken += [place for _, place in context.placed[before:]]
    return [call for call, _ in context.placed[:count]]


@then('the next {count:d} placed are all interactive')
def all_interactive(context, count):
    works = [call.work for call in serve(context, count)]
    assert works == [pb.WORK_INTERACTIVE] * count, works


@then('the draft is among the next {count:d} placed')
def draft_among(context, count):
    works = [call.work for call in serve(context, count)]
    assert pb.WORK_DRAFT in works, works


@then('of the next {count:d} placed {share:d} are of "{team}"')
def of_the_next(context, count, share, team):
    teams = [call.team for call in serve(context, count)]
    assert teams.count(team) == share, teams


@when('{count:d} requests of "{team}" are placed and ended')
def placed_and_ended(context, count, team):
    for _ in range(count):
        context.admission.place(make_call(context, team)).release()


@then('another request is refused as "{reason}" and nothing was placed for it')
def another_refused(context, reason):
    before = context.upstreams.get('u1').in_flight
    refusal = context.admission.admit(make_call(context))
    assert refusal is not None and refusal.reason == reason, refusal
    assert context.upstreams.get('u1').in_flight == before


@when('{count:d} requests a second are served')
def served_each_second(context, count):
    for _ in range(2 * count):
        context.admission.place(make_call(context)).release()
        context.clock.advance(1000 // count)


@then('a request with a deadline of {ms:d} ms is refused as "{reason}"')
def refused_as(context, ms, reason):
    call = make_call(context, deadline_ms=ms)
    refusal = context.admission.admit(call)
    assert refusal is not None and refusal.reason == reason, refusal


@then('a request with a deadline of {ms:d} ms is admitted')
def is_admitted(context, ms):
    call = make_call(context, deadline_ms=ms)
    assert context.admission.admit(call) is None


@then(
    'a request with a deadline of {ms:d} ms that waits is refused as '
    '"{reason}" and waits no more'
)
def refused_waiting(context, ms, reason):
    call = make_call(context, deadline_ms=ms)
    waiting = green.spawn(context.admission.place, call)
    green.sleep_ms(1)
    assert context.admission.waiting == 1
    context.clock.advance(ms)
    refusal = waiting.wait()
    assert refusal.reason == reason, refusal
    assert context.admission.waiting == 0


@when('the upstream "{name}" fails {count:d} times')
def fails_times(context, name, count):
    for _ in range(count):
        context.upstreams.failed(context.upstreams.get(name))


@when('the upstream "{name}" succeeds')
def succeeds(context, name):
    context.upstreams.succeeded(context.upstreams.get(name))


def usable_names(context):
    return [view.name for view in context.upstreams.usable('engine')]


@then('"{name}" is not usable')
def not_usable(context, name):
    assert name not in usable_names(context)


@then('"{name}" is usable')
def is_usable(context, name):
    assert name in usable_names(context)


@then('"{name}" is usable for one request')
def usable_once(context, name):
    assert name in usable_names(context)
    context.upstreams.get(name).in_flight += 1
    assert name not in usable_names(context)
    context.upstreams.get(name).in_flight -= 1


@when('"{name}" answers that it has not loaded "{model}"')
def not_loaded(context, name, model):
    view = context.upstreams.get(name)
    view.models_missing[model] = context.clock.now()


@then('a request for "{model}" is placed at "{name}"')
def placed_at(context, model, name):
    place = context.admission.place(make_call(context))
    assert place.view.name == name
    place.release()


@when('"{name}" is marked as leaving')
def mark_leaving(context, name):
    assert context.upstreams.merge(
        record(name, state=pb.UPSTREAM_STATE_LEAVING)
    )


@then('a statement that "{name}" is live changes nothing')
def live_changes_nothing(context, name):
    assert not context.upstreams.merge(record(name))
    assert name not in usable_names(context)


def engines_table(context, router):
    table = upstreams_.UpstreamTable(context.clock, router, 40)
    for number in range(600):
        table.merge(record(f'e{number}', f'fd-{number % 5}'))
    return table


@given('600 engines in 5 failure domains and a subset of 40')
def many_engines(context):
    context.upstreams = engines_table(context, 'router-1')


@then('the router serves 40 engines, 8 in each failure domain')
def serves_forty(context):
    views = context.upstreams.usable('engine')
    context.served = {view.name for view in views}
    domains = [view.record.upstream.failure_domain for view in views]
    assert [domains.count(f'fd-{n}') for n in range(5)] == [8] * 5, domains


@then('another router serves mostly others')
def serves_others(context):
    table = engines_table(context, 'router-2')
    other = {view.name for view in table.usable('engine')}
    assert len(other & context.served) < 15, len(other & context.served)


@when("one of the router's engines is lost")
def engine_lost(context):
    context.lost = sorted(context.served)[0]
    view = context.upstreams.get(context.lost)
    domain = view.record.upstream.failure_domain
    context.upstreams.merge(
        record(context.lost, domain, pb.UPSTREAM_STATE_GONE)
    )


@then('39 of the 40 are still served, and one is new')
def mostly_kept(context):
    now = {view.name for view in context.upstreams.usable('engine')}
    assert len(now) == 40 and len(now & context.served) == 39


@given('two idle engines')
def two_engines(context):
    context.upstreams = upstreams_.UpstreamTable(context.clock, 'r', 40)
    context.upstreams.merge(record('e1', slots=8))
    context.upstreams.merge(record('e2', slots=8))
    context.policy = policy_.ScoredPolicy('fd-1')
    context.shared = 'the rules of the club ' * 40


@when('a prompt was sent to "{name}"')
def prompt_sent(context, name):
    blocks = prefix_record.prefix_blocks(context.shared + 'first')
    context.upstreams.get(name).prefixes.sent(blocks)


@when('a late cache event says that "{name}" has dropped it')
def cache_event(context, name):
    block = prefix_record.prefix_blocks(context.shared)[0]
    context.upstreams.get(name).prefixes.event(9, 'removed', block)


@when('"{name}" is full')
def engine_full(context, name):
    view = context.upstreams.get(name)
    context.upstreams.report(view, running=view.slots, waiting=5)


@given('{count:d} routers share the engines')
def routers_share(context, count):
    context.upstreams.share_among(count)


@when('"{one}" and "{two}" are full of others\' requests')
def full_of_others(context, one, two):
    for name in (one, two):
        view = context.upstreams.get(name)
        context.upstreams.report(view, running=view.slots, waiting=9)


@then('this router may still place {count:d} requests at each, and no more')
def may_place(context, count):
    for view in context.upstreams.usable('engine'):
        for _ in range(count):
            assert policy_.has_room(view)
            view.in_flight += 1
        assert not policy_.has_room(view)


@then('a prompt that begins alike goes to "{name}"')
def goes_to(context, name):
    call = make_call(context)
    call.prompt = context.shared + 'second'
    chosen = context.policy.choose(call, context.upstreams.usable('engine'))
    assert chosen.name == name, chosen.name


@given('a retry budget of {share:g} of {count:d} requests')
def retry_budget(context, share, count):
    context.pacer = retry.RetryPacer(context.clock, share)
    for _ in range(count):
        context.pacer.accepted()


@then('the first retry comes at once')
def first_retry(context):
    assert context.pacer.delay_ms(1) == 0


@then('the fifth comes after a growing pause')
def fifth_retry(context):
    second, fifth = context.pacer.delay_ms(2), context.pacer.delay_ms(5)
    assert 0 < second < fifth < 1000, (second, fifth)


@then('400 retries at once are spread over more than {seconds:d} seconds')
def spread(context, seconds):
    total = 0.0
    for _ in range(400):
        delay = context.pacer.delay_ms(1)
        context.clock.advance(int(delay))
        total += delay
    assert total > seconds * 1000, total

"""Steps for roll-outs of versions."""

from __future__ import annotations

import itertools
import random
import shlex

from behave import given
from behave import then
from behave import when
import click.testing
import exposure_model
import helpers
import histories

from peridotmast.cli import main as cli
from peridotmast.cli import rollout as rollout_cli
from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast.embedded import rollout_driver
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import rollout_model
from peridotmast.load import rollout_scenario
from peridotmast.load import rollouts
from peridotmast.platform import names
from peridotmast.platform import rollout_orders
from peridotmast.rollout import exposure_ledger
from peridotmast.rollout import report_book
from peridotmast.rollout import rollout_duty
from peridotmast.rollout import rollout_inputs
from peridotmast.rollout import verdict as verdict_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import version_gate
from peridotmast.standin import version_faults

SERVICE = 'pool'
BASELINE_REQUESTS = 200
TICK_MS = 250
SHARE, SLACK = 0.1, 50
DURATION_MS = 8000
ENGINE_PATHS = ('/chat/a', '/chat/b', '/once/c')
HEADERS = [(names.TOKEN_COUNTS, '200,30')]


@then(
    'in {count:d} random histories of {steps:d} steps, a target never gets'
    ' more requests than its bound'
)
def bound_kept_in_histories(context, count, steps):
    histories.run(exposure_model.ExposureHistory, count, steps)


def simulate(badness, trouble, count, is_swapped=False):
    return [
        rollout_model.RolloutModel(
            rollout_scenario.draw(
                rollout_scenario.Badness(badness),
                rollout_scenario.Trouble(trouble),
                seed,
            ),
            is_swapped=is_swapped,
        ).run()
        for seed in range(count)
    ]


@when(
    '{count:d} roll-outs are simulated for "{badness}" versions with the'
    ' trouble "{trouble}"'
)
def simulate_rollouts(context, count, badness, trouble):
    context.results = simulate(badness, trouble, count)


@then('all of them are completed in time')
def all_completed(context):
    for result in context.results:
        assert result.outcome == 'completed', result
        assert result.ended_ms <= result.scenario.duration_ms, result


@then(
    'all of them are rolled back, and none has broken the bound of its'
    ' exposure'
)
def all_rolled_back(context):
    for result in context.results:
        assert result.outcome == 'rolled_back', result.scenario
        assert not result.is_exposure_broken, result.scenario


@then('none is completed whose version was bad at the shift')
def none_completed_if_bad(context):
    for result in context.results:
        is_completed = result.outcome == 'completed'
        assert not (is_completed and result.was_bad_at_shift), result.scenario


@when(
    '{count:d} roll-outs are simulated for "{badness}" versions with each'
    ' outcome recorded for the other version'
)
def simulate_swapped(context, count, badness):
    context.broken = rollouts.run(
        count,
        0,
        context.folder,
        lambda line: None,
        [badness],
        ['none'],
        is_swapped=True,
    )


@then('the checks of the simulation fail')
def checks_fail(context):
    assert any('bad_completed' in text for text in context.broken)


def add_answers(context, upstream, total, failed, window=0):
    """Add answers of a target's upstream; '' is the other version."""
    context.numbers = getattr(context, 'numbers', itertools.count(1))
    cell = pb.EvidenceCell(
        window=window,
        route='r',
        upstream=upstream,
        ended=total,
        failed=failed,
    )
    report = pb.RolloutReport(requests=next(context.numbers), cells=[cell])
    context.book.receive((f'router-{upstream}', 1), report)


@given(
    'answers of {count:d} upstreams of the target, of which one fails each of'
    ' its {total:d} requests'
)
def one_upstream_fails(context, count, total):
    context.book = report_book.ReportBook()
    add_answers(context, '', BASELINE_REQUESTS, 1)
    for number in range(count):
        add_answers(context, f'u-{number}', total, 0 if number else total)


@given(
    'answers of {count:d} upstreams of the target, of which each fails'
    ' {failed:d} of its {total:d} requests'
)
def each_upstream_fails(context, count, failed, total):
    context.book = report_book.ReportBook()
    add_answers(context, '', BASELINE_REQUESTS, 1)
    for number in range(count):
        add_answers(context, f'u-{number}', total, failed)


@given(
    'answers of {count:d} upstreams of the target in a window in which half of'
    ' all requests fail'
)
def all_fail_in_window(context, count):
    context.book = report_book.ReportBook()
    add_answers(context, '', BASELINE_REQUESTS, 1, window=0)
    add_answers(context, '', BASELINE_REQUESTS, 100, window=1)
    for number in range(count):
        add_answers(context, f'u-{number}', 20, 10, window=1)


@then('the target is not bad')
def target_not_bad(context):
    verdict = verdict_.judge(context.book.cells, 4)
    assert not verdict.is_bad, verdict.strongest


@then('the target is bad')
def target_bad(context):
    verdict = verdict_.judge(context.book.cells, 4)
    assert verdict.is_bad, verdict.strongest


@given('a version gate that knows upstreams of "{version}"')
def gate_with_version(context, version):
    gate_without_versions(context)
    assert set(context.gate.select(SERVICE, {version: 1})) == {version}


@given('a version gate that knows no upstreams')
def gate_without_versions(context):
    context.clock = clock_.ManualClock()
    context.gate = version_gate.VersionGate(context.clock, 'router-1', True)
    context.order = 5
    context.number = 0


def in_use(context, versions):
    ages = {}
    for revision, version in enumerate(versions.split(), 1):
        ages.setdefault(version, revision)
    return {v for v in ages if v in context.gate.select(SERVICE, ages)}


@then('of "{versions}" the versions in use are "{expected}"')
def versions_in_use(context, versions, expected):
    found = in_use(context, versions)
    assert found == set(expected.split()), found


@then('of "{versions}" the versions in use are ""')
def no_versions_in_use(context, versions):
    versions_in_use(context, versions, '')


@then(
    'of "{versions}" the versions in use are "{expected}", and the orders must'
    ' be read'
)
def versions_in_use_and_orders_needed(context, versions, expected):
    versions_in_use(context, versions, expected)
    assert context.gate.must_read_orders


def tell(context, target, phase, allowance=0):
    """Deliver a message of the holder to the gate."""
    context.number += 1
    context.gate.receive(
        pb.RolloutState(
            service=SERVICE,
            target=target,
            order=context.order,
            phase=phase,
            fencing=3,
            number=context.number,
            trial_upstreams=['u-1'],
            allowance=allowance,
            window_ms=1000,
        )
    )


@when('the holder allows {count:d} trial requests of "{target}"')
def holder_allows_trials(context, count, target):
    tell(context, target, pb.ROLLOUT_PHASE_TRIAL, count)
    context.target = target


@when('the holder shifts all requests to "{target}"')
def holder_shifts(context, target):
    tell(context, target, pb.ROLLOUT_PHASE_SHIFT)


@when('the holder begins to store the completion of "{target}"')
def holder_commits(context, target):
    tell(context, target, pb.ROLLOUT_PHASE_COMMIT)


@when('{ms:d} ms pass without word from the holder')
def time_without_word(context, ms):
    context.clock.advance(ms)
    context.gate.tick()


@then('{count:d} requests in a row are trials, and a third is not')
def requests_are_trials(context, count):
    record = pb.UpstreamRecord(
        upstream=pb.Upstream(
            name='u-1', service=SERVICE, version=context.target
        )
    )
    table = upstreams_.UpstreamTable(context.clock)
    view = upstreams_.upstream_view.UpstreamView(
        record, context.clock, table._busy
    )
    for _ in range(count):
        found = context.gate.trial_upstreams(SERVICE, 'r')
        assert list(found) == ['u-1'], found
        context.gate.note_placed(view, True)
    assert not context.gate.trial_upstreams(SERVICE, 'r')


@when('a peer reports that "{target}" was rolled back')
def peer_reports_roll_back(context, target):
    context.gate.receive(
        pb.RolloutState(
            service=SERVICE,
            target=target,
            order=context.order,
            phase=pb.ROLLOUT_PHASE_ROLLED_BACK,
            fencing=3,
        )
    )


@when('a later order names "{target}"')
def later_order(context, target):
    context.order += 10
    tell(context, target, pb.ROLLOUT_PHASE_TRIAL)


@when('the stored order for "{target}" is read as completed')
def stored_order_read(context, target):
    context.gate.read_orders(
        [
            pb.RolloutOrder(
                service=SERVICE,
                target=target,
                duration_ms=12_000,
                revision=9,
                outcome=pb.ROLLOUT_PHASE_COMPLETED,
            )
        ]
    )


class Orders:
    """The stored order of one service."""

    def __init__(self, order):
        self.order = order
        self.writes = []
        self.is_reply_lost = False
        self.now = lambda: 0
        self.before_completion = lambda: None

    @property
    def orders(self):
        return [self.order] if self.order else []

    def write_outcome(self, order, outcome):
        if order.revision != self.order.revision:
            return failures.conflict('changed')
        if outcome == pb.ROLLOUT_PHASE_COMPLETED:
            self.before_completion()
        self.order.revision += 1
        self.order.outcome = outcome
        self.writes.append(outcome)
        self.written_at = self.now()
        return failures.unknown('silent') if self.is_reply_lost else None

    def read_again(self, service):
        return None


class Holder:
    """A holder of the duties and its own gate, in virtual time.

    Its only router sends ten requests to the service in each tick, and reports
    them.
    """

    def __init__(self, orders, versions):
        self.clock = clock_.ManualClock()
        self.started_at = self.clock.now()
        orders.now = self.clock.now
        self.gate = version_gate.VersionGate(self.clock, 'router-1', True)
        self.table = upstreams_.UpstreamTable(self.clock)
        self.table.select_versions = self.gate.select
        self.gate.on_change = self.table.update_versions
        self.run = 'router-1', 1
        self.is_shift_unsaved = False
        self.in_flight = 0
        self.is_failing = False
        self.sent = 0
        for number, version in enumerate(versions):
            self.add_upstream(f'{version}-{number}', version)
        self.duty = rollout_duty.RolloutDuty(
            orders,
            self.table,
            self.gate,
            rollout_inputs.RolloutLimits(SHARE, SLACK),
            self.clock,
            self.clock.now,
            lambda: True,
            lambda: [self.run],
            lambda run, states: [self.gate.receive(s) for s in states],
            lambda name, func, *args: func(*args),
        )
        self.duty.start(pb.DutiesLeft())
        self.duty.run(1)

    def add_upstream(self, name, version):
        self.table.merge(
            pb.UpstreamRecord(
                upstream=pb.Upstream(
                    name=name,
                    address='127.0.0.1:9',
                    service=SERVICE,
                    slots=8,
                    version=version,
                ),
                state=pb.UPSTREAM_STATE_LIVE,
                revision=1,
            )
        )

    def advance(self, ms):
        for _ in range(0, ms, TICK_MS):
            self.clock.advance(TICK_MS)
            for _ in range(10):
                self.send_request()
            for report in self.gate.reports(lambda s, t: self.in_flight):
                self.duty.receive(self.run, report)
            self.duty.tick()
            if not self.is_shift_unsaved or not self.has_shifted():
                self.duty.save(pb.DutiesLeft())
                self.duty.on_saved()

    def has_shifted(self):
        run = self.duty.show(SERVICE)
        return run is not None and run.phase != pb.ROLLOUT_PHASE_TRIAL

    def send_request(self):
        views = [
            view
            for name in self.gate.trial_upstreams(SERVICE, 'r')
            if (view := self.table.get(name))
        ] or self.table.live(SERVICE)
        self.sent += 1
        view = views[self.sent % len(views) if self.is_failing else 0]
        now = self.clock.now()
        self.gate.note_placed(view, True)
        self.gate.note_first('r', view, now, 50, 0)
        self.gate.note_end('r', view, now, self.is_failing)


@given(
    'a holder of the duties and an order of "{target}" within {seconds:d} s'
    ' {condition}'
)
def holder_with_order(context, target, seconds, condition):
    versions = {
        'without upstreams of it': ['v1'] * 4,
        'with upstreams of it': ['v1'] * 4 + [target] * 4,
        'that was rolled back before': ['v1'] * 4 + [target] * 4,
        'that all upstreams have': [target] * 4,
        'with one upstream of it for four': ['v1'] * 4 + [target],
    }[condition]
    context.orders = Orders(
        pb.RolloutOrder(
            service=SERVICE,
            target=target,
            duration_ms=seconds * 1000,
            revision=5,
        )
    )
    context.holder = Holder(context.orders, versions)
    if condition == 'that was rolled back before':
        context.holder.gate.receive(
            pb.RolloutState(
                service=SERVICE, target='v0', order=3, rolled_back=[target]
            )
        )


@given('the reply to each write of an outcome is lost')
def replies_lost(context):
    context.orders.is_reply_lost = True
    context.closing.append(lambda: None)


@then(
    'its outcome was stored at most {ms:d} ms before the time limit, and not'
    ' after it'
)
def outcome_stored_near_limit(context, ms):
    order = context.orders.order
    limit = context.holder.started_at + order.duration_ms
    left_ms = limit - context.orders.written_at
    assert 0 <= left_ms <= ms, left_ms


@given('a router has a request in flight at another version')
def request_in_flight(context):
    context.holder.in_flight = 1


@then('no completion is written, and that router is waited for')
def router_waited_for(context):
    run = context.holder.duty.show(SERVICE)
    assert run.phase == pb.ROLLOUT_PHASE_SHIFT, run.state
    assert run.waiting_for == ['router-1'], run.waiting_for
    assert context.orders.writes == [pb.ROLLOUT_PHASE_TRIAL]


@when('that request ends')
def request_ends(context):
    context.holder.in_flight = 0


@given(
    'a holder that has stored a ceiling of {ceiling:d} trial requests and'
    ' given out {count:d}'
)
def holder_with_ceiling(context, ceiling, count):
    ledger = exposure_ledger.ExposureLedger(SHARE, SLACK)
    ledger.raise_ceiling(ceiling, 0)
    context.stored = ledger.write()
    ledger.confirm()
    ledger.report(('router-1', 1), 0)
    assert ledger.give(('router-1', 1), count) == count


@when('a new holder begins with the stored ceiling')
def new_holder_begins(context):
    context.ledger = exposure_ledger.ExposureLedger(
        SHARE, SLACK, context.stored
    )


@then('it can give out nothing before it has stored a higher ceiling')
def nothing_before_higher_ceiling(context):
    run = 'router-2', 1
    context.ledger.report(run, 0)
    assert context.ledger.give(run, 5) == 0
    assert context.ledger.raise_ceiling(5, 0)
    assert context.ledger.give(run, 5) == 0
    context.ledger.write()
    context.ledger.confirm()
    assert context.ledger.give(run, 5) == 5


@given('nothing is stored with the lease from the shift on')
def shift_not_stored(context):
    context.holder.is_shift_unsaved = True


@then('no completion is written')
def no_completion_written(context):
    run = context.holder.duty.show(SERVICE)
    assert run.phase == pb.ROLLOUT_PHASE_COMMIT, run.state
    assert context.orders.writes == [pb.ROLLOUT_PHASE_TRIAL]


@given('the target fails all requests while its completion is being stored')
def fails_during_write(context):
    holder = context.holder

    def fail():
        holder.is_failing = True
        holder.advance(1000)
        assert holder.duty.show(SERVICE).verdict.is_bad

    context.orders.before_completion = fail


@then('only "{target}" is in use')
def only_target_used(context, target):
    live = context.holder.table.live(SERVICE)
    assert {view.version for view in live} == {target}, live


@when('the roll-out runs to its end')
def run_to_end(context):
    real, green.sleep_ms = green.sleep_ms, lambda ms: None
    try:
        context.holder.advance(15_000)
    finally:
        green.sleep_ms = real


@then('its stored outcome is "{outcome}" with the reason "{reason}"')
def stored_outcome(context, outcome, reason):
    expected = names.ROLLOUT_OUTCOMES[outcome]
    run = context.holder.duty.show(SERVICE)
    assert context.orders.order.outcome == expected, run.state
    assert run.state.reason == reason, run.state


@then('each outcome was written once')
def outcomes_written_once(context):
    writes = context.orders.writes
    assert len(writes) == len(set(writes)) == 2, writes


@when('the order is withdrawn after {seconds:d} s')
def order_withdrawn(context, seconds):
    context.holder.advance(seconds * 1000)
    context.orders.order = None
    context.holder.advance(10_000)


@then('no outcome is stored, and the target is not used')
def no_outcome(context):
    assert context.orders.writes == [pb.ROLLOUT_PHASE_TRIAL]
    live = context.holder.table.live(SERVICE)
    assert {view.version for view in live} == {'v1'}, live


@when('the order names "{target}" after {seconds:d} s')
def order_replaced(context, target, seconds):
    context.holder.advance(seconds * 1000)
    context.orders.order = pb.RolloutOrder(
        service=SERVICE, target=target, duration_ms=12_000, revision=50
    )


@given(
    'stored orders of which one has no target and one has another'
    " service's name"
)
def malformed_orders(context):
    specs = {
        'good': {'service': 'good', 'target': 'v2', 'duration-s': 12},
        'bare': {'service': 'bare', 'duration-s': 12},
        'other': {'service': 'good', 'target': 'v2', 'duration-s': 'x'},
    }
    stored = [
        objects.StoredObject(name, 4, spec) for name, spec in specs.items()
    ]
    context.rollout_orders = rollout_orders.RolloutOrders(None)
    context.rollout_orders.on_listing(objects.Listing(stored, 9), False)


@then('1 order is read, and there are findings on 2 others')
def orders_and_findings(context):
    found = context.rollout_orders
    assert [order.service for order in found.orders] == ['good']
    places = {finding.place.split()[1] for finding in found.findings}
    assert places == {'bare', 'other'}, found.findings


@given('a fleet of {count:d} routers with roll-outs')
def fleet_with_rollouts(context, count):
    bounds = {'expose_share': SHARE, 'expose_slack': SLACK}
    helpers.start_fleet(context, routers=count, bounds=bounds)
    context.driver = rollout_driver.RolloutDriver(context.fleet)
    context.results = []
    context.sending = []


@given('the new version of the engines fails half of its answers')
def new_version_fails(context):
    fault = version_faults.VersionFault(failing=0.5)
    context.fleet.version_faults['v2'] = fault


def send_one(context, number, router):
    path = ENGINE_PATHS[number % len(ENGINE_PATHS)]
    body = b'letter %d' % number
    context.results.append(
        helpers.send_request(router.address, path, body=body, headers=HEADERS)
    )


def send_requests(context, ms, per_second=50):
    """Send requests to all routers for `ms`, without waiting for answers."""
    rng = random.Random(1)
    end = context.fleet.clock.now() + ms
    for number in itertools.count():
        if context.fleet.clock.now() >= end:
            return
        routers = context.fleet.running_routers()
        router = routers[number % len(routers)]
        task = green.spawn(send_one, context, number, router)
        context.sending.append(task)
        green.sleep_ms(1000 * rng.expovariate(per_second))


def roll_out_engines(context, ms=DURATION_MS + 2000):
    context.driver.order(shape_.ENGINE_SERVICE, 'v2', DURATION_MS)
    context.ordered_at = context.fleet.clock.now()
    send_requests(context, ms)
    for task in context.sending:
        task.wait()


@when(
    'callers send requests while the engines are rolled out to a good version'
)
@when('callers send requests while the engines are rolled out to that version')
def requests_during_rollout(context):
    roll_out_engines(context)


@then('the roll-out is completed, and each answer was whole')
def rollout_completed(context):
    state = context.driver.state(shape_.ENGINE_SERVICE)
    assert state == 'completed', state
    broken = [a for a in context.results if a.status != 200 or not a.complete]
    assert not broken, broken[:3]


@then('the roll-out is rolled back')
def rollout_rolled_back(context):
    helpers.wait_until(
        lambda: context.driver.state(shape_.ENGINE_SERVICE) == 'rolled_back',
        'the roll-back is stored',
    )


@then('the engines of the other version had no request when they stopped')
def engines_were_idle(context):
    stopped = [
        instance
        for instance in context.fleet.instances
        if instance.ended_ms and instance.record.upstream.version == 'v1'
    ]
    assert len(stopped) == 4, stopped
    abandoned = [i.upstream.app.abandoned for i in stopped]
    moved = [
        request
        for ids in abandoned
        for request in ids
        if helpers.run_count(context, request) > 1
    ]
    assert not moved, moved


@then('no engine was ordered or given back during the roll-out')
def nothing_ordered(context):
    assert not context.fleet.cloud.orders, context.fleet.cloud.orders


@then('the command line shows the roll-out of the engines as completed')
def command_line_shows_rollout(context):
    runner = click.testing.CliRunner()
    operator = cli.Operator(
        context.fleet.routers[0].peer_address, pb.TlsSettings()
    )
    for command in ('list', f'show {shape_.ENGINE_SERVICE}'):
        result = runner.invoke(
            rollout_cli.rollout, shlex.split(command), obj=operator
        )
        assert not result.exit_code, result.output
        assert 'target=v2 phase=completed' in result.output, result.output


def target_arrivals(context):
    """Return the arrival times at the engines of the new version."""
    return sorted(
        at
        for instance in context.fleet.instances
        if instance.record.upstream.version == 'v2'
        for at, _ in instance.upstream.app.arrivals
    )


def fiftieth_bad_at(context):
    """Return when the new version has given half of 100 answers, in ms."""
    arrivals = target_arrivals(context)
    return arrivals[99] if len(arrivals) >= 100 else None


@then(
    'the version got no more requests than its bound, and none {ms:d} ms after'
    ' its 50th bad answer'
)
def exposure_bounded(context, ms):
    arrivals = target_arrivals(context)
    end = context.ordered_at + DURATION_MS
    reached = sum(
        context.ordered_at <= at <= end
        for instance in context.fleet.instances
        if instance.record.upstream.service == shape_.ENGINE_SERVICE
        for at, _ in instance.upstream.app.arrivals
    )
    assert 0 < len(arrivals) <= SHARE * reached + SLACK, len(arrivals)
    assert_no_arrival_after(context, ms)


def assert_no_arrival_after(context, ms):
    fiftieth = fiftieth_bad_at(context)
    if fiftieth is not None:
        late = target_arrivals(context)[-1] - fiftieth
        assert late <= ms, late


@when('the store fails once the version gets requests')
def store_fails_during_rollout(context):
    context.driver.order(shape_.ENGINE_SERVICE, 'v2', DURATION_MS)
    task = green.spawn(send_requests, context, DURATION_MS)
    helpers.wait_until(
        lambda: len(target_arrivals(context)) >= 10,
        'the version gets requests',
    )
    context.fleet.store.app.set_faults(60_000, outage=True)
    task.wait()


@then('no router uses the version {ms:d} ms after its 50th bad answer')
def version_not_used(context, ms):
    assert_no_arrival_after(context, ms)
    last = target_arrivals(context)[-1]
    assert last < context.fleet.clock.now() - ms, last


@then('the roll-back is stored once the store answers again')
def roll_back_stored(context):
    context.fleet.store.app.set_faults(0)
    rollout_rolled_back(context)


@when('the holder of the duties is killed during the roll-out')
def holder_killed(context):
    def kill():
        helpers.wait_until(
            lambda: len(target_arrivals(context)) >= 10,
            'the version gets requests',
        )
        for router in context.fleet.running_routers():
            if router.lease.is_held():
                router.stop()

    green.spawn(kill)
    roll_out_engines(context, DURATION_MS)

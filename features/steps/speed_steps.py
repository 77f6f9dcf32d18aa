"""Steps for the estimated speeds of upstreams."""

from __future__ import annotations

import math
import random
import re
import statistics
from unittest import mock

from behave import given
from behave import then
from behave import when
import click.testing
import fleet_steps
import group_steps
import helpers
import hypothesis
from hypothesis import strategies as st
import prometheus_client
import speed_model

from peridotmast.cli import main as cli
from peridotmast import clock as clock_
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import policies
from peridotmast.serving.speeds import estimate
from peridotmast.serving.speeds import reports
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_

EXPECTED_MS = 100.0
TOKENS = 4000


def record(number, born=1, state=upstreams_.LIVE, revision=1):
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=f'u-{number}',
            address=f'10.0.{number // 250}.{number % 250}:80',
            service='pool',
            slots=32,
            born=born,
        ),
        state=state,
        revision=revision,
    )


class SpeedRouter:
    """The table and the speeds of one router, without a network."""

    def __init__(self, clock, count, mode=speeds_.OWN, name='r'):
        self.clock = clock
        self.table = upstreams_.UpstreamTable(clock)
        self.registry = prometheus_client.CollectorRegistry()
        gauge = metrics_.ServingMetrics(self.registry).upstream_speed
        self.speeds = speeds_.Speeds(clock, mode, name, self.table.get, gauge)
        self.speeds._log = mock.Mock()
        self.table.listen(self.speeds.on_upstream_change)
        self.table.listen_replacements(self.speeds.on_replaced)
        for number in range(count):
            self.table.merge(record(number))

    def view(self, number):
        return self.table.get(f'u-{number}')

    def prefill(self, number, factor):
        """Add a prefill that takes `factor` times the expected time."""
        self.speeds.add_prefill(
            self.view(number), TOKENS, EXPECTED_MS, EXPECTED_MS * factor
        )

    def metric(self, number):
        return self.registry.get_sample_value(
            'peridotmast_upstream_speed', {'upstream': f'u-{number}'}
        )


@given('{count:d} upstreams of which none is slower')
def equal_upstreams(context, count):
    context.clock = clock_.ManualClock()
    context.clock.advance(1_000_000)
    context.router = SpeedRouter(context.clock, count)
    context.factors = [1.0] * count


@given(
    '{count:d} upstreams of which none is slower, and routers with speeds'
    ' "{mode}"'
)
def equal_upstreams_with_setting(context, count, mode):
    equal_upstreams(context, count)
    value = pb.RouterSettings.Speeds.Value(mode.upper())
    context.router = SpeedRouter(context.clock, count, value)


@given('{count:d} upstreams of which every 3rd is {factor:g} times slower')
def unequal_upstreams(context, count, factor):
    equal_upstreams(context, count)
    context.factors = [1.0 if n % 3 else factor for n in range(count)]


@when(
    'each of them prefills {rate:d} times a second for {seconds:d} s, with'
    ' noise of {sigma:g}'
)
def prefill_with_noise(context, rate, seconds, sigma):
    draws = random.Random(1)
    for _ in range(rate * seconds):
        context.clock.advance(1000 // rate)
        for number, factor in enumerate(context.factors):
            noise = draws.lognormvariate(0, sigma)
            context.router.prefill(number, factor * noise)
        context.router.speeds.tick()


@then(
    'the estimates are between {a:g} and {b:g} at slow upstreams, between'
    ' {c:g} and {d:g} at others'
)
def estimates_between(context, a, b, c, d):
    for number, factor in enumerate(context.factors):
        low, high = (a, b) if factor > 1 else (c, d)
        speed = context.router.view(number).speed
        assert low <= speed <= high, (number, speed)


@when('upstream {number:d} prefills once, {factor:g} times slower than'
      ' expected')  # fmt: skip
def prefill_once(context, number, factor):
    context.router.prefill(number, factor)


@when(
    'upstream {number:d} prefills {rate:d} times a second for {seconds:d} s,'
    ' at {factor:g} times the expected time'
)
def prefill_steadily(context, number, rate, seconds, factor):
    for _ in range(rate * seconds):
        context.clock.advance(1000 // rate)
        context.router.prefill(number, factor)
        context.router.speeds.tick()


@when('{seconds:d} s pass without requests')
def pass_time(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1000)
        context.router.speeds.tick()


@then('the speed of upstream {number:d} is between {low:g} and {high:g}')
def speed_between(context, number, low, high):
    speed = context.router.view(number).speed
    assert low <= speed <= high, speed


@then('nothing is kept of upstream {number:d}')
def nothing_kept(context, number):
    assert context.router.speeds.speeds() == {}
    assert context.router.view(number).speed == 1
    assert context.router.metric(number) is None


@when('upstream {number:d} begins again under its id')
def begins_again(context, number):
    context.earlier = context.router.view(number)
    context.router.table.merge(record(number, born=2, revision=2))
    assert context.router.view(number) is not context.earlier


@when('upstream {number:d} appears with an unknown start time')
def appears_without_start_time(context, number):
    context.router.table.merge(record(number, born=0))
    assert not context.router.view(number).born


@when('the start time of upstream {number:d} becomes known')
def start_time_known(context, number):
    context.router.table.merge(record(number, born=2, revision=2))
    assert context.router.view(number).born == 2
    context.clock.advance(1000)
    context.router.speeds.tick()


@when(
    'a request of the earlier run of upstream {number:d} has its first event'
)
def late_first_event(context, number):
    context.router.speeds.add_prefill(
        context.earlier, TOKENS, EXPECTED_MS, 4 * EXPECTED_MS
    )


@when('upstream {number:d} is gone')
def upstream_gone(context, number):
    context.router.table.merge(
        record(number, state=upstreams_.GONE, revision=2)
    )


@then('the metric shows a speed of upstreams {a:d} and {b:d}')
def metric_shows_both(context, a, b):
    for number in (a, b):
        assert context.router.metric(number) is not None


@then('the metric shows a speed of upstream {number:d} only')
def metric_shows_one(context, number):
    for other in range(len(context.factors)):
        value = context.router.metric(other)
        assert (value is not None) == (other == number), (other, value)


@then('{count:d} changes of a speed were logged, the last to "{band}"')
def changes_logged(context, count, band):
    lines = context.router.speeds._log.info.call_args_list
    assert len(lines) == count, lines
    assert lines[-1].kwargs['band'] == band, lines


@then('0 changes of a speed were logged')
def nothing_logged(context):
    assert not context.router.speeds._log.info.called


@then('estimates from random samples are between {low:g} and {high:g}')
def random_estimates_between(context, low, high):
    times = st.floats(0, 1e9, allow_nan=False)
    steps = st.tuples(st.integers(0, 60_000), times, times)

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=200
    )
    @hypothesis.given(st.lists(steps, max_size=30))
    def check(history):
        now, samples = 0, estimate.Samples()
        for pause_ms, expected_ms, took_ms in history:
            now += pause_ms
            samples.add(now, expected_ms, took_ms)
            assert low <= samples.speed() <= high

    check()


def choose(context, tokens, waiting=0):
    """Return which upstream gets a prompt if `waiting` tokens are at 1."""
    policy = policies.ScoredPolicy('')
    views = [context.router.view(n) for n in range(2)]
    load = upstream_view.Load(unread=waiting)
    views[1].add_load(load)
    exchange = mock.Mock()
    exchange.prompt = exchange_.Prompt('m', tokens, 10, ())
    best = policy.order(exchange, pb.Service(name='pool'), views, None)[0]
    views[1].remove_load(load)
    return views.index(best)


@then('a prompt of {tokens:d} tokens goes to upstream {number:d} if 0 tokens'
      ' wait at each')  # fmt: skip
def prompt_goes_to(context, tokens, number):
    assert choose(context, tokens) == number


@then('a prompt of {tokens:d} tokens goes to upstream {number:d} if'
      ' {waiting:d} more tokens wait there')  # fmt: skip
def prompt_goes_there(context, tokens, number, waiting):
    assert choose(context, tokens, waiting) == number


@then('a prompt of {tokens:d} tokens goes to upstream {number:d} if'
      ' {waiting:d} more tokens wait at upstream 1')  # fmt: skip
def prompt_goes_elsewhere(context, tokens, number, waiting):
    assert choose(context, tokens, waiting) == number


@when('the setting becomes "{mode}"')
def setting_becomes(context, mode):
    value = pb.RouterSettings.Speeds.Value(mode.upper())
    context.router.speeds.set_mode(value)


@given('a fleet of {count:d} routers with speeds "{mode}"')
def fleet_with_speeds(context, count, mode):
    value = pb.RouterSettings.Speeds.Value(mode.upper())
    helpers.start_fleet(context, routers=count, router={'speeds': value})
    fleet_steps.wait_until_known(context, 4)


@when('{count:d} prompts of {tokens:d} tokens are sent to one router')
def send_prompts(context, count, tokens):
    address = context.fleet.routers[0].address
    headers = [(names.TOKEN_COUNTS, f'{tokens},4')]
    for _ in range(count):
        answer = helpers.send_request(address, '/chat/x', headers=headers)
        assert answer.status == 200, answer


def show_node(context, name):
    address = context.fleet.routers[1].peer_address
    return click.testing.CliRunner().invoke(
        cli.node, ['show', name], obj=cli.Operator(address, pb.TlsSettings())
    )


@then('"node show" prints a speed of an engine at that router')
def shows_speed(context):
    name = context.fleet.routers[0].cfg.name
    result = show_node(context, name)
    assert not result.exit_code, result.output
    scarcity, setting, *lines = result.output.splitlines()
    assert scarcity == f'{name}: scarcity order=slack refuse=no', result.output
    assert setting == f'{name}: speeds = own', result.output
    assert lines, result.output
    speeds = [float(re.search(r'speed=([\d.]+)', line)[1]) for line in lines]
    assert all(0.25 <= speed <= 4 for speed in speeds), result.output


@then('"node show" prints no speed at the other router')
def shows_no_speed(context):
    result = show_node(context, '')
    name = context.fleet.routers[1].cfg.name
    expected = (
        f'{name}: scarcity order=slack refuse=no\n{name}: speeds = own\n'
    )
    assert result.output == expected, result.output


@then('"node show" of an unknown router fails')
def unknown_router_fails(context):
    result = show_node(context, 'nobody')
    assert result.exit_code == 1 and 'no router nobody' in result.output


def prefill_at_all(context, factor):
    for node in context.simulated.nodes.values():
        view = node.table.get('u-1')
        node.serving.speeds.add_prefill(
            view, TOKENS, EXPECTED_MS, EXPECTED_MS * factor
        )


@when(
    'each router has a prefill at "u-1" that takes {factor:g} times the'
    ' expected time'
)
def each_router_prefills(context, factor):
    prefill_at_all(context, factor)


def samples_at(node):
    """Return speed and weight of the samples that a router knows of u-1."""
    node.serving.speeds._updated_at = 0
    node.serving.speeds.tick()
    return node.serving.speeds.speeds().get(('u-1', 0), (1.0, 0.0))


@then(
    'each router knows the samples of {count:d} routers at "u-1", all {ms:d}'
    ' ms old'
)
def knows_samples(context, count, ms):
    decay = 0.5 ** (ms / estimate.HALF_LIFE_MS)
    for node in context.simulated.nodes.values():
        _, weight = samples_at(node)
        assert abs(weight - count * decay) < 1e-3, (node.name, weight)


@when('one router has the speeds "{mode}"')
def one_router_has_mode(context, mode):
    context.other = context.simulated.nodes['router-003']
    value = pb.RouterSettings.Speeds.Value(mode.upper())
    context.other.serving.speeds.set_mode(value)


@then('that router knows the samples of 1 router at "u-1"')
def that_router_knows(context):
    _, weight = samples_at(context.other)
    assert abs(weight - 0.5) < 1e-3, weight


@then('the others know the samples of {count:d} routers at "u-1"')
def others_know(context, count):
    for node in context.simulated.nodes.values():
        if node is not context.other:
            _, weight = samples_at(node)
            assert abs(weight - count / 2) < 1e-3, (node.name, weight)


def run_with_prefills(context, ms):
    for _ in range(ms // 1000):
        prefill_at_all(context, 3)
        context.simulated.run(1000)


@when(
    'all beacons are lost for {ms:d} ms, with a prefill a second at each'
    ' router'
)
def beacons_lost(context, ms):
    context.simulated.loss_rate = 1
    run_with_prefills(context, ms)


@when(
    'beacons arrive again for {ms:d} ms, with a prefill a second at each'
    ' router'
)
def beacons_arrive_again(context, ms):
    if context.simulated.loss_rate == 1:
        context.simulated.loss_rate = 0
    run_with_prefills(context, ms)


@then(
    'each router estimates the speed of "u-1" from {least:g} to {most:g}'
    ' samples, as {low:g} to {high:g}'
)
def estimates_from_samples(context, least, most, low, high):
    for node in context.simulated.nodes.values():
        speed, weight = samples_at(node)
        assert least <= weight <= most, (node.name, weight)
        assert low <= speed <= high, (node.name, speed)


@given('{count:d} routers of which a tenth of the beacons is lost')
def lossy_fleet(context, count):
    context.simulated = group_steps.Fleet(count, lost=0.1)


@when('each of them prefills, the later ones more often')
def later_ones_more_often(context):
    for number in range(len(context.factors)):
        for _ in range(1 + number):
            context.router.prefill(number, 1)


def check_report(entries, count, total, most_bytes):
    assert len(entries) == count, len(entries)
    expected = {f'u-{n}' for n in range(total - count, total)}
    assert {entry.upstream for entry in entries} == expected
    size = pb.Totals(speeds=entries).ByteSize()
    assert size <= most_bytes, size


@then(
    'a report of the router has {count:d} runs, those with most samples, in at'
    ' most {most:d} bytes'
)
def report_of_router(context, count, most):
    report = context.router.speeds.own_report()
    entries = reports.to_messages(report, reports.MAX_OWN)
    check_report(entries, count, len(context.factors), most)


@then(
    'a report of a head has {count:d} runs, those with most samples, in at'
    ' most {most:d} bytes'
)
def report_of_head(context, count, most):
    report = context.router.speeds.own_report()
    total = reports.total(context.clock.now(), [report, report])
    entries = reports.to_messages(total, reports.MAX_RELAYED)
    check_report(entries, count, len(context.factors), most)


@then('the report of the router is empty')
def report_empty(context):
    report = context.router.speeds.own_report()
    assert reports.to_messages(report, reports.MAX_OWN) == []


@then('no malformed entry has an effect on an estimate')
def malformed_entries_ignored(context):
    values = st.floats(allow_nan=True, allow_infinity=True, width=32)

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=300
    )
    @hypothesis.given(values, values)
    @hypothesis.example(math.nan, 0.0)
    @hypothesis.example(1.0, math.nan)
    @hypothesis.example(math.inf, 0.0)
    @hypothesis.example(-1.0, 0.0)
    @hypothesis.example(0.0, 1.0)
    @hypothesis.example(1.0, 100.0)
    def check(weight, log_sum):
        entry = pb.SpeedSamples(
            upstream='u', born=1, weight=weight, log_sum=log_sum
        )
        found = reports.from_messages([entry], 0)
        bound = math.log(4) * weight
        is_possible = 0 < weight <= 1e6 and abs(log_sum) <= bound
        if is_possible:
            assert found['u', 1].weight == weight
        elif abs(log_sum) > 1.01 * bound or not 0 < weight <= 1e6:
            assert not found, found

    check()


@when(
    'a peer reports {count:d} samples of {factor:g} times the expected time'
    ' for upstream {number:d}'
)
def peer_reports(context, count, factor, number):
    context.peer_entry = pb.SpeedSamples(
        upstream=f'u-{number}',
        born=1,
        weight=count,
        log_sum=-math.log(factor) * count,
    )
    report_of_peer(context)


def report_of_peer(context):
    report = reports.from_messages([context.peer_entry], context.clock.now())
    context.router.speeds.set_peer_report('peer', report)
    context.clock.advance(1000)
    context.router.speeds.tick()


@when(
    'a peer reports {count:d} samples of {factor:g} times the expected time'
    ' for the earlier run'
)
def peer_reports_earlier_run(context, count, factor):
    report_of_peer(context)


@then(
    'in the model the 95th percentile of the time to the first event is at'
    ' most {share:g} of that without speeds if they are shared'
)
def model_improves(context, share):
    case = speed_model.CASES['third 2.5']
    policy = policies.ScoredPolicy
    waits = {
        mode: speed_model.Model(case, mode, policy, 0).run(15_000)
        for mode in (speeds_.OFF, speeds_.SHARED)
    }
    tails = {m: statistics.quantiles(w, n=20)[18] for m, w in waits.items()}
    assert tails[speeds_.SHARED] <= share * tails[speeds_.OFF], tails

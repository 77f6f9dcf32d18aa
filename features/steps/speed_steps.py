"""Steps for the estimated speeds of upstreams."""

from __future__ import annotations

import random
import re
from unittest import mock

from behave import given
from behave import then
from behave import when
import click.testing
import fleet_steps
import helpers
import hypothesis
from hypothesis import strategies as st
import prometheus_client

from peridotmast.cli import main as cli
from peridotmast import clock as clock_
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import policies
from peridotmast.serving.speeds import estimate
from peridotmast.serving.speeds import speeds as speeds_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_

EXPECTED_MS = 100.0
TOKENS = 4000


def record(number, born=1, state=upstreams_.LIVE, revision=1):
    return pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=f'u-{number}',
            address=f'10.0.0.{number}:80',
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
    first, *lines = result.output.splitlines()
    assert first == f'{name}: speeds = own', result.output
    assert lines, result.output
    speeds = [float(re.search(r'speed=([\d.]+)', line)[1]) for line in lines]
    assert all(0.25 <= speed <= 4 for speed in speeds), result.output


@then('"node show" prints no speed at the other router')
def shows_no_speed(context):
    result = show_node(context, '')
    name = context.fleet.routers[1].cfg.name
    assert result.output == f'{name}: speeds = own\n', result.output


@then('"node show" of an unknown router fails')
def unknown_router_fails(context):
    result = show_node(context, 'nobody')
    assert result.exit_code == 1 and 'no router nobody' in result.output

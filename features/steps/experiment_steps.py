"""Steps of experiment files, arrivals and timetables."""

from __future__ import annotations

import json
import pathlib

from behave import given
from behave import then
from behave import when

from peridotmast.load import arrivals
from peridotmast.load import experiment
from peridotmast.load import faults
from peridotmast.load import oracle
from peridotmast.load import soak

EXPERIMENTS = pathlib.Path(__file__).parents[2] / 'experiments'


@when('this experiment is checked')
def check_experiment(context):
    path = f'{context.folder}/e.ini'
    with open(path, 'w') as file:
        file.write(context.text)
    _, context.found = experiment.load(path)


@then("the experiment's findings name")
def findings_name(context):
    text = str(context.found)
    for row in context.table:
        assert row['text'] in text, (row['text'], text)


@then('"{first}" and "{second}" have no findings')
def no_findings(context, first, second):
    for name in (first, second):
        _, found = experiment.load(str(EXPERIMENTS / f'{name}.ini'))
        assert not found, str(found)


def digest(seed):
    drawn = arrivals.draw(soak.WORKLOADS, 20, seed)
    return arrivals.digest(drawn, faults.draw(20, seed))


@then('seed {one:d} gives one digest twice, and seed {other:d} another')
def same_digest(context, one, other):
    assert digest(one) == digest(one) != digest(other)


@then('seeds {first:d} to {last:d} have each kind of fault at least once')
def each_kind(context, first, last):
    for fault_kinds in (
        faults.EMBEDDED_FAULT_KINDS,
        faults.PROCESS_FAULT_KINDS,
    ):
        wanted = {kind.value for kind in fault_kinds}
        for seed in range(first, last + 1):
            drawn = faults.draw(40, seed, fault_kinds=fault_kinds)
            assert {fault.kind for fault in drawn} == wanted
    assert set(faults.PROCESS_FAULT_KINDS) == set(faults.FaultKind)


@when(
    '{seconds:d} s of random load and faults with seed {seed:d} are run on'
    ' processes'
)
def run_on_processes(context, seconds, seed):
    context.broken = soak.run(
        seconds, seed, context.folder, lambda line: None, processes=True
    )
    context.command = soak.reproduction_command(seconds, seed, processes=True)
    with open(f'{context.folder}/report.json', encoding='utf-8') as file:
        context.report = json.load(file)


@then('no promise is broken and every kind of fault was brought about')
def none_broken(context):
    lost = context.report['lost']
    assert not context.broken, (context.command, context.broken, lost)
    kinds = {kind.value for kind in faults.FaultKind}
    assert set(context.report['faults']) == kinds, context.report['faults']
    assert context.report['answered_whole'], context.report


def parse_times(text):
    return [int(word) for word in text.split()]


@when(
    'one request crashes engines at {crashes} ms, and routers start at'
    ' {starts} ms'
)
def count_excess_crashes(context, crashes, starts):
    context.excess_crashes = oracle.count_excess_crashes(
        parse_times(crashes), parse_times(starts)
    )


@then('{count:d} crashes exceed the limit')
def check_excess_crashes(context, count):
    assert context.excess_crashes == count, context.excess_crashes


@given(
    'an engine that states a limit of {rate:d} request per second from'
    ' {first:d} to {last:d} ms'
)
def engine_states_limit(context, rate, first, last):
    context.rate, context.span = rate, (first, last)


@when(
    'it receives {count:d} requests from {first:d} ms, {interval:d} ms apart'
)
def engine_receives_requests(context, count, first, interval):
    context.arrival_times = [first + n * interval for n in range(count)]


@when('all routers are killed at {at:d} ms')
def all_routers_killed(context, at):
    context.kill_all_times = [at]


@then('its limit is {outcome}')
def check_limit_outcome(context, outcome):
    exceeds = oracle.exceeds_limit(
        context.arrival_times,
        context.rate,
        context.span,
        context.kill_all_times,
    )
    assert exceeds == (outcome == 'exceeded'), exceeds

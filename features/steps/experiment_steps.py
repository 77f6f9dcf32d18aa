"""Steps of experiment files, arrivals and timetables."""

from __future__ import annotations

import pathlib

from behave import then
from behave import when

from peridotmast.load import arrivals
from peridotmast.load import experiment
from peridotmast.load import faults
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
    wanted = {kind.value for kind in faults.FaultKind}
    for seed in range(first, last + 1):
        assert {fault.kind for fault in faults.draw(40, seed)} == wanted

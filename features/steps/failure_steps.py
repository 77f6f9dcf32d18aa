"""Steps that run a separate feature and check the output of the run."""

from __future__ import annotations

import os
import pathlib
import re
import shutil
import subprocess
import sys

from behave import given
from behave import then
from behave import when

FEATURES = pathlib.Path(__file__).parent.parent
FEATURE = """\
Feature: Counting
  Scenario: Engines are counted
    Given a log
    When engines are counted
"""
STEPS = """\
import pathlib
from behave import given, when

@given('a log')
def log(context):
    pathlib.Path(context.folder, 'router-1.ini.log').write_text('event=odd')

@when('engines are counted')
def count(context):
    {statement}
"""
RUN_S = 60
"""Time limit of a run of one scenario, in s: imports take seconds on a busy
machine."""


def write_project(context, statement):
    context.features_folder = pathlib.Path(
        context.folder, 'project', 'features'
    )
    steps = context.features_folder / 'steps'
    steps.mkdir(parents=True)
    shutil.copy(FEATURES / 'environment.py', context.features_folder)
    (context.features_folder / 'counting.feature').write_text(FEATURE)
    (steps / 'steps.py').write_text(STEPS.format(statement=statement))


@given('features with a step that fails with {error}')
def failing_feature(context, error):
    kind, _, text = error.partition(': ')
    write_project(context, f'raise {kind}({text!r})')


@given('features without a failing step')
def passing_feature(context):
    write_project(context, 'pass')


@when('the features run with the options of `make test`')
def run_features(context):
    dry_run = subprocess.run(
        ['make', '--no-print-directory', '-n', 'test', 'VENV=.venv'],
        cwd=FEATURES.parent,
        capture_output=True,
        text=True,
        check=True,
    )
    command = dry_run.stdout.splitlines()[-1].split()
    start = next(n for n, w in enumerate(command) if w.endswith('/behave'))
    context.run = subprocess.run(
        [sys.executable, '-m', 'behave', *command[start + 1 :]],
        cwd=context.features_folder.parent,
        env={**os.environ, 'PYTHONWARNINGS': 'ignore'},
        capture_output=True,
        text=True,
        timeout=RUN_S,
    )
    context.output = context.run.stdout + context.run.stderr


@then(
    'the run fails and prints the location and name of the step and "{error}"'
)
def prints_failed_step(context, error):
    assert context.run.returncode == 1, context.output
    location = 'failed: features/counting.feature:4: When engines are counted'
    assert location in context.output, context.output
    assert error in context.output, context.output


@then('the run prints the end of the log file of the scenario')
def prints_log_end(context):
    expected = 'end of router-1.ini.log:\nevent=odd'
    assert expected in context.output, context.output


@then('the run prints its summary as usual')
def prints_summary(context):
    # .ci/run takes the last line of its output from this summary.
    found = re.findall(
        r'^\d+ scenarios? passed, \d+ failed.*', context.output, re.M
    )
    assert len(found) == 1, context.output


@then('the run passes and prints no failed step')
def prints_no_failure(context):
    assert context.run.returncode == 0, context.output
    assert 'failed: ' not in context.output, context.output
    assert 'event=odd' not in context.output, context.output

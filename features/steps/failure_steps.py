"""Steps that run features of their own, to see what a run prints."""

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
"""Bound on a run of one scenario: an import on a busy machine takes
seconds."""


def write(context, statement):
    context.inner = pathlib.Path(context.folder, 'project', 'features')
    steps = context.inner / 'steps'
    steps.mkdir(parents=True)
    shutil.copy(FEATURES / 'environment.py', context.inner)
    (context.inner / 'counting.feature').write_text(FEATURE)
    (steps / 'steps.py').write_text(STEPS.format(statement=statement))


@given('features of which a step fails with {error}')
def failing(context, error):
    kind, _, text = error.partition(': ')
    write(context, f'raise {kind}({text!r})')


@given('features of which no step fails')
def passing(context):
    write(context, 'pass')


@when('they are run as `make test` runs them')
def run_them(context):
    made = subprocess.run(
        ['make', '--no-print-directory', '-n', 'test', 'VENV=.venv'],
        cwd=FEATURES.parent,
        capture_output=True,
        text=True,
        check=True,
    )
    words = made.stdout.splitlines()[-1].split()
    start = next(n for n, w in enumerate(words) if w.endswith('/behave'))
    context.run = subprocess.run(
        [sys.executable, '-m', 'behave', *words[start + 1 :]],
        cwd=context.inner.parent,
        env={**os.environ, 'PYTHONWARNINGS': 'ignore'},
        capture_output=True,
        text=True,
        timeout=RUN_S,
    )
    context.printed = context.run.stdout + context.run.stderr


@then('the run fails, and prints the step\'s place, its name and "{error}"')
def names_step(context, error):
    assert context.run.returncode == 1, context.printed
    place = 'failed: features/counting.feature:4: When engines are counted'
    assert place in context.printed, context.printed
    assert error in context.printed, context.printed


@then('it prints the end of the log that the scenario left')
def shows_log(context):
    wanted = 'end of router-1.ini.log:\nevent=odd'
    assert wanted in context.printed, context.printed


@then('its counts are told as before')
def counts_told(context):
    # What .ci/run takes its last line from.
    found = re.findall(
        r'^\d+ scenarios? passed, \d+ failed.*', context.printed, re.M
    )
    assert len(found) == 1, context.printed


@then('the run passes, and prints no failed step')
def prints_none(context):
    assert context.run.returncode == 0, context.printed
    assert 'failed: ' not in context.printed, context.printed
    assert 'event=odd' not in context.printed, context.printed

"""Behave hooks: one event hub for all scenarios, clean-up after each."""

from __future__ import annotations

import os
import pathlib
import shutil
import tempfile
import traceback

from peridotmast import green
from peridotmast import logs

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
"""List of scenarios that fail because of an open fault, one per line:
``file: scenario | cause | issue | command, seed and what was seen``."""
MAX_KNOWN_RED = 3
UNCAPPED_ISSUE = '88'
"""Issue whose entries do not count against the cap, as it says."""
LOG_BYTES = 3000
"""Bytes printed from the end of each process log after a failed step: about 15
lines, so that the output of a run with many failures stays readable."""


def before_all(context):
    green.setup()
    logs.setup(os.environ.get('PERIDOTMAST_TEST_LOG', 'critical'))
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    capped = [line for line in lines if issue_of(line) != UNCAPPED_ISSUE]
    assert len(capped) <= MAX_KNOWN_RED, f'{KNOWN_RED.name}: too many lines'
    context.known_red = {
        line.partition('|')[0].strip(): line for line in lines
    }
    context.runs_known_red = context.config.userdata.getbool('red')


def issue_of(line):
    """Return the issue that a line of the list names."""
    return line.split('|')[2].strip()


def name_of(scenario):
    """Return file and name, without the number of a row of an outline."""
    return f'{scenario.filename}: {scenario.name.partition(" -- @")[0]}'


def after_feature(context, feature):
    listed = {
        n for n in context.known_red if n.startswith(f'{feature.filename}: ')
    }
    existing = {name_of(scenario) for scenario in feature.walk_scenarios()}
    assert listed <= existing, f'{KNOWN_RED.name} names {listed - existing}'


def before_scenario(context, scenario):
    line = context.known_red.get(name_of(scenario))
    if line and not context.runs_known_red:
        print(f'known red, passed over: {line}')
        scenario.skip('known red')
    context.folder = tempfile.mkdtemp()
    context.fleet = None
    context.closing = []
    context.last = None


def after_step(context, step):
    # The formatter of `make test` prints only one letter for each scenario.
    if not step.status.has_failed():
        return
    print(f'\nfailed: {step.location}: {step.keyword} {step.name}')
    exc = step.exception
    if exc is not None:
        lines = traceback.format_exception(exc, exc, step.exc_traceback)
        print(''.join(lines).rstrip())
    for path in sorted(pathlib.Path(context.folder).glob('*.log')):
        print(f'end of {path.name}:')
        print(path.read_bytes()[-LOG_BYTES:].decode(errors='replace'))


def after_scenario(context, scenario):
    for close in reversed(context.closing):
        close()
    if context.fleet is not None:
        violations = {
            router.cfg.name: router.invariants.violations
            for router in context.fleet.routers
            if router.invariants.violations
        }
        context.fleet.stop()
        assert not violations, f'invariants violated: {violations}'
    if scenario.status.has_failed():
        print(f'kept: {context.folder}')
    else:
        shutil.rmtree(context.folder)

"""Set-up around the scenarios: one hub, nothing left behind."""

from __future__ import annotations

import os
import pathlib
import shutil
import tempfile
import traceback

from peridotmast import green
from peridotmast import logs

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
"""Scenarios that fail for a fault that is not mended yet, one a line:
``file: scenario | cause | issue | command, seed and what was seen``."""
MOST_RED = 3
LOG_BYTES = 3000
"""Shown of each process's log where a step fails: about 15 of its lines, so
that the output of a run in which much fails can still be read."""


def before_all(context):
    green.setup()
    logs.setup(os.environ.get('PERIDOTMAST_TEST_LOG', 'critical'))
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    assert len(lines) <= MOST_RED, f'{KNOWN_RED.name}: too many lines'
    context.red = {line.partition('|')[0].strip(): line for line in lines}
    context.runs_red = context.config.userdata.getbool('red')


def after_feature(context, feature):
    named = {n for n in context.red if n.startswith(f'{feature.filename}: ')}
    known = {f'{feature.filename}: {s.name}' for s in feature.scenarios}
    assert named <= known, f'{KNOWN_RED.name} names {named - known}'


def before_scenario(context, scenario):
    line = context.red.get(f'{scenario.filename}: {scenario.name}')
    if line and not context.runs_red:
        print(f'known red, passed over: {line}')
        scenario.skip('known red')
    context.folder = tempfile.mkdtemp()
    context.fleet = None
    context.closing = []
    context.last = None


def after_step(context, step):
    # The formatter of `make test` shows a letter for each scenario, no more.
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
        broken = {
            router.cfg.name: router.invariants.violations
            for router in context.fleet.routers
            if router.invariants.violations
        }
        context.fleet.stop()
        assert not broken, f'promises broken inside: {broken}'
    shutil.rmtree(context.folder)
